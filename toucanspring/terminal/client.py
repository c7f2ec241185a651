"""HTTP client of the command line, with failover between endpoints."""

from __future__ import annotations

import dataclasses
import urllib.parse

import msgspec

from toucanspring import errors
from toucanspring.adapters import exchange

DEFAULT_PORT = 8080
CONNECT_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 1 << 26
# Failures without an effect, after which the next endpoint is tried.
FAILOVER_ERRORS = (errors.NotRun, errors.Unavailable, errors.Overloaded, errors.Fenced)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Successful response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Host and port of an endpoint; `secure` means HTTPS."""

    host: str
    port: int
    secure: bool = False


def parse_endpoint(text: str) -> EndpointAddress | errors.Invalid:
    """Parse `host`, `host:port`, `http://...` or `https://...`."""
    expected = "host:port, http://host:port or https://host:port"
    parts = urllib.parse.urlsplit(text if "//" in text else f"//{text}", "http")
    try:
        port = parts.port or DEFAULT_PORT
    except ValueError:
        port = 0
    if (
        parts.scheme not in ("http", "https")
        or not parts.hostname
        or parts.path.strip("/")
        or not port
    ):
        return errors.Invalid(
            reason="invalid endpoint", path="endpoints", value=text, expected=expected
        )
    return EndpointAddress(parts.hostname, port, parts.scheme == "https")


def create_tls_context(ca_file: str) -> object | errors.Invalid:
    """Return a TLS context that trusts the certificate authorities in a file.

    Without a file, it trusts those of the host.
    """
    from gevent import ssl  # costs memory and time; most calls use no TLS

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # checks chain and host name
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        if ca_file:
            context.load_verify_locations(ca_file)
        else:
            context.load_default_certs()
    except OSError as error:
        return errors.Invalid(
            reason=f"cannot be read: {error.strerror or error}",
            path="ca_file",
            value=ca_file,
            expected="a PEM file with CA certificates",
        )
    return context


class Client:
    """Call the first endpoint that answers."""

    def __init__(
        self,
        endpoints: list[EndpointAddress],
        key: str,
        operator_key: str,
        operator: str,
        timeout_s: float,
        tls: object | None = None,
    ) -> None:
        self._endpoints = [
            exchange.Endpoint(
                address.host,
                address.port,
                1,
                connect_timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
                tls=tls if address.secure else None,
            )
            for address in endpoints
        ]
        self._key = key
        self._operator_key = operator_key
        self._operator = operator
        self._timeout_s = timeout_s
        self.answer_was_lost = False  # by any endpoint during the last call

    def close(self) -> None:
        """Close all connections."""
        for endpoint in self._endpoints:
            endpoint.close()

    def get(self, target: str, operator: bool = False) -> Answer | errors.Failure:
        """Read a resource."""
        return self.call("GET", target, operator=operator)

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        operator: bool = False,
        repeatable: bool = True,
    ) -> Answer | errors.Failure:
        """Call the endpoints in turn until one answers.

        After a lost answer the call is retried at the next endpoint only if it is
        `repeatable`, otherwise the result is `Ambiguous`. Later calls start with the
        endpoint that answered.
        """
        all_headers = self._headers(operator) | (headers or {})
        last: errors.Failure = errors.Unavailable(reason="no endpoint is set")
        ambiguous: errors.Ambiguous | None = None
        self.answer_was_lost = False
        for endpoint in list(self._endpoints):
            reply = endpoint.call(
                method, target, body, all_headers, self._timeout_s, MAX_ANSWER_BYTES
            )
            match reply:
                case exchange.Reply():
                    result = _interpret(reply)
                    if not isinstance(result, FAILOVER_ERRORS):
                        self._prefer(endpoint)
                        return result
                    last = result
                case errors.Ambiguous():
                    if not repeatable:
                        return reply
                    last = ambiguous = reply
                    self.answer_was_lost = True
                case _:
                    last = reply
        return ambiguous or last

    def _prefer(self, endpoint: exchange.Endpoint) -> None:
        self._endpoints.remove(endpoint)
        self._endpoints.insert(0, endpoint)

    def _headers(self, operator: bool) -> dict[str, str]:
        headers = {"Accept": "application/json"}
        secret = self._operator_key if operator or not self._key else self._key
        if secret:
            headers["Authorization"] = f"Bearer {secret}"
        if operator and self._operator:
            headers["X-Operator"] = self._operator
        return headers


def _interpret(reply: exchange.Reply) -> Answer | errors.Failure:
    if reply.status < 400:
        return Answer(reply.status, reply.headers, reply.body)
    try:
        fields = msgspec.json.decode(reply.body)["error"]
        return errors.from_dict(fields)
    except (msgspec.DecodeError, KeyError, TypeError):
        return errors.Malformed(
            reason=f"unexpected response with status {reply.status}"
        )
