"""Common parts of the HTTP resources: keys, bodies, failures and their status."""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable

import falcon
import gevent
import logbook
import msgspec

from toucanspring import errors, kernel, uptime
from toucanspring.callers import handler, request_body

log = logbook.Logger(__name__)

JSON = "application/json"
MAX_KEY_CHARACTERS = 256
MAX_ID_CHARACTERS = 128
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
# IDs with this prefix belong to work of open queues. It keeps callers without a key
# from taking IDs of keyed work, and lets them read back their own.
OPEN_PREFIX = "open."

# Callers depend on this mapping; it changes only together with the API version.
HTTP_STATUS: dict[type[errors.Failure], int] = {
    errors.Invalid: 400,
    errors.Malformed: 400,
    errors.Forbidden: 403,
    errors.NotFound: 404,
    errors.Conflict: 409,
    errors.Refused: 409,
    errors.Oversized: 413,
    errors.Unknown: 502,
    errors.Ambiguous: 502,
    errors.Closed: 502,
    errors.NotRun: 503,
    errors.Overloaded: 503,
    errors.Unavailable: 503,
    errors.Fenced: 503,
    errors.Timeout: 504,
    errors.Failure: 500,
}


def status_of(failure: errors.Failure) -> int:
    """Return the HTTP status of a failure; a subtype has that of its base."""
    return next(
        HTTP_STATUS[kind] for kind in type(failure).__mro__ if kind in HTTP_STATUS
    )


class ApiError(Exception):
    """Raised to answer with a failure; `extra` is added to the JSON body."""

    def __init__(
        self,
        failure: errors.Failure,
        status: int | None = None,
        extra: dict[str, object] | None = None,
    ) -> None:
        super().__init__(failure.reason)
        self.failure = failure
        self.status = status or status_of(failure)
        self.extra = extra or {}


def answer_failure(
    _request, response: falcon.Response, error: ApiError, _params
) -> None:
    """Answer with the JSON form of a failure."""
    failure = error.failure
    response.status = falcon.code_to_http_status(error.status)
    response.content_type = JSON
    response.data = msgspec.json.encode(
        {"error": errors.to_dict(failure), **error.extra}
    )
    if isinstance(failure, errors.Overloaded):
        # Whole seconds only; 0 would invite an immediate retry.
        response.set_header("Retry-After", str(max(1, round(failure.retry_after_s))))
    if error.status == 401:
        response.set_header("WWW-Authenticate", "Bearer")


def answer_http_error(
    _request, response: falcon.Response, error: falcon.HTTPError, _params
) -> None:
    """Answer errors that falcon raises itself in the same form."""
    match error.status_code:
        case 404:
            failure: errors.Failure = errors.NotFound(reason="no such resource")
        case 413:
            failure = errors.Oversized(reason="the body is too large")
        case _:
            failure = errors.Malformed(reason=error.title or "malformed request")
    response.status = error.status
    if error.headers is not None:
        response.set_headers(error.headers)
    response.content_type = JSON
    response.data = handler.render(failure)


def unwrap(result: object) -> object:
    """Return a result, or raise `ApiError` if it is a failure."""
    if isinstance(result, errors.Failure):
        raise ApiError(result)
    return result


def send_json(
    response: falcon.Response, value: object, status: int = 200, **headers: str
) -> None:
    """Answer with a value in JSON."""
    response.status = falcon.code_to_http_status(status)
    response.content_type = JSON
    response.data = msgspec.json.encode(value)
    for name, text in headers.items():
        response.set_header(name.replace("_", "-"), text)


def read_body(request: falcon.Request, limit: int) -> bytes:
    """Return the body of a request; its size and the time to send it are bounded."""
    oversized = errors.Oversized(reason=f"the body exceeds {limit} bytes", limit=limit)
    if (request.content_length or 0) > limit:
        raise ApiError(oversized)
    received = bytearray()
    source = request.env["wsgi.input"]
    slow = errors.Timeout(
        reason=f"the body took longer than {handler.BODY_TIMEOUT_S:g} s; not run"
    )
    try:
        with gevent.Timeout(handler.BODY_TIMEOUT_S, ApiError(slow, 408)):
            for chunk in request_body.read_blocks(source):
                received += chunk
                if len(received) > limit:
                    raise ApiError(oversized)
    except request_body.BodyRefused as refused:
        raise ApiError(refused.failure, refused.status)
    except OSError as error:
        raise ApiError(errors.Malformed(reason=f"the body ended early: {error}"))
    return bytes(received)


def read_json(
    request: falcon.Request,
    kind: type,
    limit: int,
    check: Callable[[bytes], None] | None = None,
) -> object:
    """Return the body decoded from JSON and checked against a model.

    `check` raises `msgspec.ValidationError` for a body that is not to be decoded.
    """
    body = read_body(request, limit)
    try:
        if check is not None:
            check(body)
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as error:
        path = (
            str(error).rpartition(" - at `")[2].rstrip("`")
            if " - at `" in str(error)
            else ""
        )
        raise ApiError(errors.Invalid(reason=str(error), path=path))
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise ApiError(errors.Malformed(reason=f"not JSON: {error}"))


def check_id(value: str, field: str = "id") -> str:
    """Return an ID that is safe in paths, rows and logs."""
    if not ID_PATTERN.fullmatch(value):
        raise ApiError(
            errors.Invalid(
                reason=f"not a valid {field}",
                path=field,
                value=value[:MAX_ID_CHARACTERS],
                expected="1 to 128 letters, digits, '.', '_', ':' and '-'",
            )
        )
    return value


def deny(core: kernel.Kernel, failure: errors.Failure) -> ApiError:
    """Return the error for something that the configuration here does not have.

    A view that may be out of date cannot tell that it does not exist.
    """
    if core.find("documents").fresh(uptime.now()):
        return ApiError(failure)
    reason = f"the configuration may be out of date; not run: {failure.reason}"
    return ApiError(errors.Unavailable(reason=reason))


class Access:
    """Check keys of teams and of operators."""

    def __init__(self, core: kernel.Kernel, settings: object) -> None:
        self._kernel = core
        self._operator_hash = settings.operator_key_hash

    def secret(self, request: falcon.Request) -> str | None:
        """Return the presented key, or None if there is none."""
        value = request.get_header("Authorization")
        if value is None:
            return None
        scheme, _, secret = value.partition(" ")
        secret = secret.strip()
        if scheme.lower() != "bearer" or not 0 < len(secret) <= MAX_KEY_CHARACTERS:
            raise ApiError(
                errors.Forbidden(reason="expected `Authorization: Bearer <key>`"), 401
            )
        return secret

    def is_operator(self, secret: str | None) -> bool:
        """Return whether a key is the operators' key, in constant time."""
        if not secret or not self._operator_hash:
            return False
        presented = hashlib.sha256(secret.encode()).hexdigest()
        return hmac.compare_digest(presented, self._operator_hash)

    def require_operator(self, request: falcon.Request) -> str:
        """Return the name of the operator; raises `ApiError` without the key."""
        secret = self.secret(request)
        if secret is None:
            raise ApiError(errors.Forbidden(reason="an operator key is required"), 401)
        if not self.is_operator(secret):
            raise ApiError(errors.Forbidden(reason="not the operator key"))
        name = request.get_header("X-Operator") or "operator"
        return "".join(char for char in name if char.isprintable())[:64]

    def team(self, secret: str) -> str:
        """Return the team of a key; raises `ApiError` if it is not in force.

        Keyed work is refused while the view of keys may be out of date, since a
        withdrawn key has to stop working within 3 s.
        """
        documents = self._kernel.find("documents")
        if not documents.fresh(uptime.now()):
            raise ApiError(
                errors.NotRun(reason="not run: the view of keys may be out of date")
            )
        return unwrap(documents.check_key(secret)).team

    def require_team(self, request: falcon.Request) -> str:
        """Return the team of the presented key."""
        secret = self.secret(request)
        if secret is None:
            raise ApiError(errors.Forbidden(reason="a team key is required"), 401)
        return self.team(secret)

    def reader(self, request: falcon.Request) -> str | None:
        """Return the team of the reader: None for operators, "" without a key."""
        secret = self.secret(request)
        if secret is None:
            return ""
        if self.is_operator(secret):
            return None
        return self.team(secret)


def check_reader(reader: str | None, owner: str, item_id: str) -> None:
    """Raise `ApiError` unless the reader may see work of the owning team."""
    if reader is None or reader == owner or item_id.startswith(OPEN_PREFIX):
        return
    if reader == "":
        raise ApiError(errors.Forbidden(reason="a team key is required"), 401)
    raise ApiError(errors.Forbidden(reason="the work belongs to another team"))
