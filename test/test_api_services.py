import http.client
import socket

import gevent
import gevent.event

from test import gateway_case
from toucanspring import errors
from toucanspring.callers import answers, handler, requests


class ServicesTest(gateway_case.GatewayCase):
    PATH = "/v1/services/request-desk/requests"

    def serve_with(self, result):
        self.seen = []

        def serve(request):
            self.seen.append(request)
            return result() if callable(result) else result

        self.patch(self.core.find("requests"), "serve", serve)

    def ask(self, **headers):
        return self.call("POST", self.PATH, "ask", gateway_case.DESK, **headers)

    def test_a_caller_cannot_make_a_non_idempotent_class_idempotent(self):
        # Guards against a request that runs twice because a caller marked it idempotent
        # by mistake.
        self.serve_with(gateway_case.make_answer)
        for name, word, expected in (
            ("check", None, True),
            ("check", "false", False),
            ("normal", "true", False),
            ("deferrable", None, False),
            ("deferrable", "true", True),
        ):
            headers = {"X_Idempotent": word} if word else {}
            self.assertEqual(200, self.ask(X_Class=name, **headers)[0])
            self.assertEqual(expected, self.seen[-1].idempotent, (name, word))

    def test_wrong_headers_are_refused_and_not_run(self):
        self.serve_with(gateway_case.make_answer)
        for name, value in (
            ("X_Class", "urgent"),
            ("X_Idempotent", "maybe"),
            ("X_Deadline_Ms", "0"),
            ("X_Deadline_Ms", "9" * 30),
            ("X_Request_Id", "a b"),
            ("X_Request_Id", "open.a"),
        ):
            self.check_failure(self.ask(**{name: value}), 400, "Invalid")
        large = "x" * (answers.MAX_BODY_BYTES + 1)
        answer = self.call("POST", self.PATH, large, gateway_case.DESK)
        self.check_failure(answer, 413, "Oversized")
        self.assertEqual([], self.seen)

    def test_a_key_that_is_withdrawn_during_the_upload_is_refused(self):
        # Guards against a slow upload that is accepted 30 s after the withdrawal.
        self.serve_with(gateway_case.make_answer)
        with socket.create_connection(("127.0.0.1", self.port)) as sock:
            head = (
                f"POST {self.PATH} HTTP/1.1\r\nAuthorization: {gateway_case.DESK}\r\n"
            )
            sock.sendall(f"{head}Content-Length: 3\r\n\r\na".encode())
            gevent.sleep(0.05)
            del self.documents.secrets["desk-key"]
            sock.sendall(b"sk")
            self.assertIn(b"403", sock.recv(65536))
        self.assertEqual([], self.seen)

    def test_the_shorter_of_both_deadlines_applies(self):
        self.serve_with(gateway_case.make_answer)
        for word, expected in (("500", 0.5), ("999999", 2.0)):
            self.ask(X_Deadline_Ms=word)
            self.assertEqual(expected, self.seen[-1].deadline_s)

    def test_failures_keep_their_type_and_status(self):
        # Guards against a caller that cannot tell "not run" from "unknown".
        for failure, status in (
            (errors.NotRun(reason="full"), 503),
            (errors.Unknown(reason="lost"), 502),
            (errors.Overloaded(reason="full", retry_after_s=3), 503),
            (errors.Conflict(reason="other"), 409),
            (errors.StoreUnavailable(reason="store"), 503),
        ):
            self.serve_with(failure)
            answer = self.ask(X_Request_Id="r1")
            self.check_failure(answer, status, failure.kind)
            if isinstance(failure, errors.Overloaded):
                self.assertEqual("3", answer[2]["Retry-After"])

    def test_a_new_id_that_reached_no_owner_is_not_run(self):
        self.serve_with(errors.Unavailable(reason="no owner"))
        self.check_failure(self.ask(), 503, "NotRun")
        self.check_failure(self.ask(X_Request_Id="r1"), 503, "Unavailable")

    def test_a_truncated_answer_reaches_the_caller_as_truncated(self):
        def chunks():
            yield b"part"
            raise handler.AnswerAborted("ended early")

        cuts = (http.client.IncompleteRead, ConnectionResetError)
        for make, length in ((chunks, 100), (chunks, None), (lambda: [b"part"], 100)):
            self.serve_with(answers.Answer(200, {}, iter(make()), length))
            self.assertRaises(cuts, self.ask)

    def test_a_stored_answer_is_for_its_team_only(self):
        stored = answers.Stored(
            team="desk",
            service="request-desk",
            digest=b"",
            status=201,
            headers={"content-type": "text/plain", "x-a": "1"},
            body=b"done",
        )
        service = self.core.find("requests")
        self.patch(service, "lookup", lambda request_id: stored)
        path = "/v1/requests/r1"
        status, body, headers = self.call("GET", path, key=gateway_case.DESK)
        self.assertEqual((201, b"done", "1"), (status, body, headers["X-A"]))
        self.check_failure(self.call("GET", path), 401, "Forbidden")
        other = self.call("GET", path, key="Bearer labels-key")
        self.check_failure(other, 403, "Forbidden")
        self.patch(service, "lookup", lambda request_id: requests.runner.Running())
        self.assertEqual(202, self.call("GET", path, key=gateway_case.DESK)[0])
