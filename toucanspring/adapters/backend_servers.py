"""Client of the backend servers that execute requests."""

from __future__ import annotations

import dataclasses
import math
import urllib.parse
from collections.abc import Iterator
from typing import Protocol

import msgspec

from toucanspring import errors
from toucanspring.adapters import exchange

# Nine entry VMs share the 64 connections of one executor.
CONNECTIONS_PER_SERVER = 7
EPOCH_TIMEOUT_S = 2.0
MAX_WHOLE_ANSWER_BYTES = 1 << 26
MAX_SHORT_ANSWER_BYTES = 1 << 16  # of refusals, and of answers to `POST /epochs`

BrokenAnswer = exchange.BrokenAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Epoch:
    """Identify a partition and the epoch of its owner."""

    partition: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The backend server is still running the request."""


@dataclasses.dataclass(slots=True)
class Answer:
    """Hold an answer whose body is still being received.

    Iterating `chunks` raises `BrokenAnswer` if the declared end does not arrive;
    a consumer that stops early calls `close`.
    """

    status: int
    headers: dict[str, str]
    chunks: Iterator[bytes]
    reply: exchange.OpenReply

    def close(self) -> None:
        """Abandon the rest of the answer."""
        self.reply.close()

    def read(
        self, max_bytes: int = MAX_WHOLE_ANSWER_BYTES
    ) -> bytes | errors.Ambiguous | errors.Oversized:
        """Return the complete body, or why there is none."""
        whole = exchange.read_reply(self.reply, max_bytes)
        return whole.body if isinstance(whole, exchange.Reply) else whole


class BackendServerClient(Protocol):
    """Send requests to backend servers; a server is named `address:port`."""

    def send(
        self,
        server: str,
        request_id: str,
        body: bytes,
        timeout_s: float,
        epoch: Epoch | None = None,
        headers: dict[str, str] | None = None,
        send_by: float = math.inf,
    ) -> Answer | errors.Failure:
        """Send a request and return its answer once the head has arrived.

        `NotRun` (refused, or no connection was free) and `Unavailable` (the server was
        not reached) mean that it certainly did not run, `Ambiguous` that it may have.
        `epoch` is given for non-idempotent requests. Nothing is sent after `send_by`
        (seconds of `uptime`).
        """

    def lookup(
        self, server: str, request_id: str, timeout_s: float
    ) -> Running | Answer | errors.Failure:
        """Return the state of a request; `NotFound` if the server never saw it."""

    def raise_epoch(self, server: str, epoch: Epoch) -> None | errors.Failure:
        """Make the server refuse lower epochs of the partition, or get `Fenced`."""

    def forget(self, server: str) -> None:
        """Close the idle connections to a server that left."""

    def close(self) -> None:
        """Close all idle connections."""


class EpochBody(msgspec.Struct):
    """Body of `POST /epochs` and of its answer, in JSON."""

    partition: int
    epoch: int


class HttpBackendServerClient:
    """Call backend servers over HTTP with a limited pool for each."""

    def __init__(
        self,
        client: str = "",
        connections_per_server: int = CONNECTIONS_PER_SERVER,
        connect_timeout_s: float = exchange.CONNECT_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._connections = connections_per_server
        self._connect_timeout_s = connect_timeout_s
        self._endpoints: dict[str, exchange.Endpoint] = {}

    def send(
        self,
        server: str,
        request_id: str,
        body: bytes,
        timeout_s: float,
        epoch: Epoch | None = None,
        headers: dict[str, str] | None = None,
        send_by: float = math.inf,
    ) -> Answer | errors.Failure:
        """Send a request and return its answer once the head has arrived."""
        sent = dict(headers or {})
        sent["X-Deadline-Ms"] = str(int(timeout_s * 1000))
        if epoch is not None:
            sent["X-Epoch"] = f"{epoch.partition}:{epoch.epoch}"
        endpoint = self._endpoint(server)
        if isinstance(endpoint, errors.Failure):
            return endpoint
        reply = endpoint.open(
            "POST", _target(request_id), body, sent, timeout_s, send_by
        )
        if isinstance(reply, errors.Overloaded):
            return errors.NotRun(reason=reply.reason)
        if isinstance(reply, errors.Failure):
            return reply
        cause = reply.headers.get("x-not-run")
        if reply.status in (409, 503) and cause is not None:
            _discard(reply)
            return errors.NotRun(reason=cause)
        return _answer(reply)

    def lookup(
        self, server: str, request_id: str, timeout_s: float
    ) -> Running | Answer | errors.Failure:
        """Return the state of a request; `NotFound` if the server never saw it."""
        endpoint = self._endpoint(server)
        if isinstance(endpoint, errors.Failure):
            return endpoint
        reply = endpoint.open("GET", _target(request_id), timeout_s=timeout_s)
        match reply:
            case errors.Ambiguous() | errors.Overloaded():
                return errors.Unavailable(reason=reply.reason)  # a read has no effect
            case errors.Failure():
                return reply
        state = reply.headers.get("x-state")
        if reply.status == 404 and state == "unseen":
            _discard(reply)
            return errors.NotFound(reason=f"{server} never saw {request_id}")
        if state == "running":
            _discard(reply)
            return Running()
        if state == "done":
            return _answer(reply)
        _discard(reply)
        return errors.Unavailable(reason=f"lookup answered {reply.status}")

    def raise_epoch(self, server: str, epoch: Epoch) -> None | errors.Failure:
        """Make the server refuse lower epochs of the partition, or get `Fenced`."""
        endpoint = self._endpoint(server)
        if isinstance(endpoint, errors.Failure):
            return endpoint
        reply = endpoint.call(
            "POST",
            "/epochs",
            msgspec.json.encode(EpochBody(epoch.partition, epoch.epoch)),
            {"Content-Type": "application/json"},
            EPOCH_TIMEOUT_S,
            MAX_SHORT_ANSWER_BYTES,
        )
        match reply:
            case exchange.Reply(status=200):
                return None
            case exchange.Reply(status=409):
                try:
                    current = msgspec.json.decode(reply.body, type=EpochBody)
                except msgspec.DecodeError as error:
                    return errors.Malformed(reason=str(error))
                return errors.Fenced(
                    reason=f"{server} has seen epoch {current.epoch}",
                    epoch=current.epoch,
                )
            case exchange.Reply():
                return errors.Ambiguous(reason=f"{server} answered {reply.status}")
            case _:
                return reply

    def forget(self, server: str) -> None:
        """Close the idle connections to a server that left."""
        endpoint = self._endpoints.pop(server, None)
        if endpoint is not None:
            endpoint.close()

    def close(self) -> None:
        """Close all idle connections."""
        for server in list(self._endpoints):
            self.forget(server)

    def _endpoint(self, server: str) -> exchange.Endpoint | errors.Invalid:
        endpoint = self._endpoints.get(server)
        if endpoint is None:
            host_and_port = exchange.parse_address(server)
            if isinstance(host_and_port, errors.Invalid):
                return host_and_port
            endpoint = exchange.Endpoint(
                *host_and_port, self._connections, self._client, self._connect_timeout_s
            )
            self._endpoints[server] = endpoint
        return endpoint


def _target(request_id: str) -> str:
    return "/requests/" + urllib.parse.quote(request_id, safe="")


def _answer(reply: exchange.OpenReply) -> Answer:
    return Answer(reply.status, reply.headers, reply.blocks(), reply)


def _discard(reply: exchange.OpenReply) -> None:
    """Read a short body so that the connection can be used again."""
    exchange.read_reply(reply, MAX_SHORT_ANSWER_BYTES)
