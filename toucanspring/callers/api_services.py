"""HTTP resources for requests to services."""

from __future__ import annotations

import secrets

import falcon

from toucanspring import errors, job, kernel
from toucanspring.callers import answers, api
from toucanspring.configuration import text
from toucanspring.owners import runner

MAX_DEADLINE_MS = 3_600_000
FALSE_VALUES = {"false", "0", "no"}
TRUE_VALUES = {"true", "1", "yes"}


def _choose_class(service: text.Service, name: str | None) -> job.JobClass:
    if name is None:
        return service.default_class
    if name not in service.classes:
        raise api.ApiError(
            errors.Invalid(
                reason=f"service {service.name} has no such class; not run",
                path="X-Class",
                value=name[:80],
                expected="one of " + ", ".join(service.classes),
            )
        )
    return job.JobClass(name)


def _is_idempotent(rule: text.ClassRule, header: str | None) -> bool:
    """Return whether a request may run more than once.

    The setting of the class decides, and a caller may only make it stricter. Without a
    setting, the request is idempotent only if the caller says so.
    """
    if header is not None and header.lower() not in TRUE_VALUES | FALSE_VALUES:
        raise api.ApiError(
            errors.Invalid(
                reason="invalid header; not run",
                path="X-Idempotent",
                value=header[:80],
                expected="true",
            )
        )
    requested = None if header is None else header.lower() in TRUE_VALUES
    if rule.idempotent is None:
        return bool(requested)
    return rule.idempotent and requested is not False


def _deadline_s(rule: text.ClassRule, header: str | None) -> float:
    if header is None:
        return rule.timeout_seconds
    if not header.isdecimal() or not 0 < int(header[:12]) <= MAX_DEADLINE_MS:
        raise api.ApiError(
            errors.Invalid(
                reason="invalid header; not run",
                path="X-Deadline-Ms",
                value=header[:80],
                expected=f"1 to {MAX_DEADLINE_MS}",
            )
        )
    return min(rule.timeout_seconds, int(header) / 1000)


class Requests:
    """`POST /v1/services/<name>/requests`."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    def on_post(self, request, response, name: str) -> None:
        """Run a request at a backend server and pass on its answer."""
        cell = self._kernel.find("documents").cell()
        service = cell.services.get(name)
        if service is None:
            unknown = errors.NotFound(reason=f"no service {name[:80]}; not run")
            raise api.deny(self._kernel, unknown)
        queue = cell.queues[service.queue]
        team = queue.team
        if not queue.is_open:
            team = self._access.require_team(request)
        job_class = _choose_class(service, request.get_header("X-Class"))
        rule = service.classes[job_class]
        idempotent = _is_idempotent(rule, request.get_header("X-Idempotent"))
        deadline_s = _deadline_s(rule, request.get_header("X-Deadline-Ms"))
        given = request.get_header("X-Request-Id")
        request_id = _request_id(given, queue)
        body = api.read_body(request, answers.MAX_BODY_BYTES)
        if not queue.is_open:
            # The key may have been withdrawn during a slow upload of the body.
            self._access.require_team(request)
        response.set_header("X-Request-Id", request_id)
        result = self._kernel.find("requests").serve(
            answers.Request(
                id=request_id,
                service=name,
                team=team,
                job_class=job_class,
                idempotent=idempotent,
                body=body,
                deadline_s=deadline_s,
                content_type=request.content_type or "",
            )
        )
        if given is None and isinstance(result, errors.Unavailable):
            # The ID is new, so no earlier call with it can have run.
            result = errors.NotRun(reason=result.reason)
        send_answer(response, api.unwrap(result))


def _request_id(given: str | None, queue: text.Queue) -> str:
    prefix = api.OPEN_PREFIX if queue.is_open else ""
    if given is None:
        return f"{prefix}{secrets.token_hex(10)}"
    api.check_id(given, "X-Request-Id")
    if given.startswith(api.OPEN_PREFIX) != queue.is_open:
        raise api.ApiError(
            errors.Invalid(
                reason="the request ID does not fit the queue; not run",
                path="X-Request-Id",
                value=given,
                expected=f"the prefix {api.OPEN_PREFIX} on open queues only",
            )
        )
    return given


def send_answer(response: falcon.Response, answer: answers.Answer) -> None:
    """Pass on an answer with its end-to-end headers."""
    response.status = falcon.code_to_http_status(answer.status)
    response.content_type = answer.headers.get("content-type", "")
    for name, value in answer.headers.items():
        if name != "content-type":
            response.set_header(name, value)
    if answer.length is not None:
        response.set_header("Content-Length", str(answer.length))
    response.stream = answer.chunks


class RequestStatus:
    """`GET /v1/requests/<id>`."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    def on_get(self, request, response, request_id: str) -> None:
        """Answer as the request was answered, or say that it is still running."""
        api.check_id(request_id)
        reader = self._access.reader(request)
        if reader == "" and not request_id.startswith(api.OPEN_PREFIX):
            raise api.ApiError(errors.Forbidden(reason="a team key is required"), 401)
        found = api.unwrap(self._kernel.find("requests").lookup(request_id))
        if isinstance(found, runner.Running):
            response.set_header("X-State", "running")
            api.send_json(response, {"id": request_id, "state": "running"}, 202)
            return
        api.check_reader(reader, found.team, request_id)
        response.set_header("X-State", "done")
        chunks = answers.split(found.body)
        send_answer(
            response,
            answers.Answer(found.status, found.headers, chunks, len(found.body)),
        )
