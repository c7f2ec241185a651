import json

import testtools

from test import platform_case
from toucanspring import errors
from toucanspring.coordinator import ports

import rowstore  # isort: skip

ROW_ID = ports.RowId("my", "p7", "owner")


class RowStoreTest(testtools.TestCase):
    def store(self, status, body=b"{}"):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.server = platform_case.Server(lambda *_request: (status, content))
        self.addCleanup(self.server.stop)
        return rowstore.Store("127.0.0.1", self.server.port)

    def test_a_transaction_is_encoded_for_the_platform(self):
        store = self.store(200, {"ver": 412, "now_ms": 51230})
        answer = store.transact({ROW_ID: 0}, {ROW_ID: b"node-1"}, (ROW_ID,))
        self.assertEqual(ports.Committed(ports.StoreTimestamp(412, 51230)), answer)
        method, path, body, _ = self.server.requests[0]
        self.assertEqual(("POST", "/toucanspring/rows-tx"), (method, path))
        row = {"table": "my", "part": "p7", "key": "owner"}
        self.assertEqual(
            {
                "precondition": [{**row, "ver": 0}],
                "puts": [{**row, "value": "bm9kZS0x"}],
                "remove": [row],
            },
            json.loads(body),
        )

    def test_a_failed_precondition_returns_the_rows(self):
        row = {"table": "my", "part": "p7", "key": "owner", "value": "eA==", "ver": 3}
        answer = self.store(412, {"rows": [row]}).transact({ROW_ID: 0}, {})
        self.assertEqual(ports.Rejected((ports.Row(ROW_ID, b"x", 3),)), answer)

    def test_refusals_had_no_effect_and_other_failures_may_have(self):
        for status, kind in (
            (429, errors.Unavailable),
            (503, errors.Unavailable),
            (403, errors.Unavailable),
            (500, errors.Ambiguous),
        ):
            answer = self.store(status).transact({}, {ROW_ID: b"x"})
            self.assertIs(kind, type(answer), status)

    def test_an_unreadable_answer_may_have_had_an_effect(self):
        answer = self.store(200, b"no JSON").transact({}, {ROW_ID: b"x"})
        self.assertIsInstance(answer, errors.Ambiguous)

    def test_a_range_is_read(self):
        row = {"table": "my", "part": "p7", "key": "owner", "value": "eA==", "ver": 3}
        answer = {"rows": [row], "has_more": True, "ver": 9, "now_ms": 5}
        page = self.store(200, answer).read("my", "p7", "o", "p", 50)
        self.assertEqual((ports.Row(ROW_ID, b"x", 3),), page.rows)
        self.assertTrue(page.has_more)
        path = self.server.requests[0][1]
        self.assertIn("from=o", path)
        self.assertIn("target=p", path)
        self.assertIn("limit=50", path)

    def test_a_removed_row_has_version_zero(self):
        row = {"table": "my", "part": "p7", "key": "owner", "removed": True, "ver": 8}
        changes = self.store(200, {"rows": [row], "ver": 9}).follow("my", 7, 0.1)
        self.assertEqual((ports.Row(ROW_ID, b"", 0),), changes.rows)

    def test_dropped_history_has_a_failure_of_its_own(self):
        answer = self.store(410).follow("my", 7, 0.1)
        self.assertIsInstance(answer, ports.HistoryGone)

    def test_parts_are_listed_to_the_end(self):
        pages = iter([{"parts": ["a", "b"], "has_more": True}, {"parts": ["c"]}])
        server = platform_case.Server(
            lambda *_request: (200, json.dumps(next(pages)).encode())
        )
        self.addCleanup(server.stop)
        store = rowstore.Store("127.0.0.1", server.port)
        self.assertEqual(["a", "b", "c"], store.parts("my"))
        self.assertIn("after=b", server.requests[1][1])

    def test_a_refused_connection_had_no_effect(self):
        store = self.store(200)
        self.server.stop()
        answer = store.transact({}, {ROW_ID: b"x"})
        self.assertIsInstance(answer, errors.Unavailable)
