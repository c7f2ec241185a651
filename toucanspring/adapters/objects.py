"""Client of the platform's object store."""

from __future__ import annotations

import urllib.parse
from typing import Protocol

from toucanspring import errors
from toucanspring.adapters import exchange

TIMEOUT_S = 10.0
CONNECTIONS = 4
MAX_OBJECT_BYTES = 1 << 28


class ObjectClient(Protocol):
    """Store whole objects by key."""

    def put(self, key: str, content: bytes) -> None | errors.Failure:
        """Store an object; after `Ambiguous` the same put may be repeated."""

    def get(self, key: str) -> bytes | errors.Failure:
        """Return an object, or `NotFound`; never a part of one."""

    def delete(self, key: str) -> None | errors.Failure:
        """Remove an object; removing an absent one succeeds."""

    def close(self) -> None:
        """Close idle connections."""


class HttpObjectClient:
    """Call the object store over HTTP."""

    def __init__(
        self,
        address: str,
        port: int,
        client: str = "",
        timeout_s: float = TIMEOUT_S,
        connections: int = CONNECTIONS,
    ) -> None:
        self._endpoint = exchange.Endpoint(address, port, connections, client)
        self._timeout_s = timeout_s

    def put(self, key: str, content: bytes) -> None | errors.Failure:
        """Store an object; after `Ambiguous` the same put may be repeated."""
        if len(content) > MAX_OBJECT_BYTES:
            return errors.Oversized(
                reason=f"object {key} has {len(content)} bytes", limit=MAX_OBJECT_BYTES
            )
        reply = self._call("PUT", key, content)
        match reply:
            case exchange.Reply(status=status) if 200 <= status < 300:
                return None
            case exchange.Reply():
                return errors.Ambiguous(reason=f"object store answered {reply.status}")
            case _:
                return reply

    def get(self, key: str) -> bytes | errors.Failure:
        """Return an object, or `NotFound`; never a part of one."""
        reply = self._call("GET", key)
        match reply:
            case exchange.Reply(status=200):
                return reply.body
            case exchange.Reply(status=404):
                return errors.NotFound(reason=f"no object {key}")
            case exchange.Reply():
                return errors.Unavailable(
                    reason=f"object store answered {reply.status}"
                )
            case errors.Ambiguous():
                return errors.Unavailable(reason=reply.reason)
            case _:
                return reply

    def delete(self, key: str) -> None | errors.Failure:
        """Remove an object; removing an absent one succeeds."""
        reply = self._call("DELETE", key)
        match reply:
            case exchange.Reply(status=status) if status < 300 or status == 404:
                return None
            case exchange.Reply():
                return errors.Ambiguous(reason=f"object store answered {reply.status}")
            case _:
                return reply

    def close(self) -> None:
        """Close idle connections."""
        self._endpoint.close()

    def _call(
        self, method: str, key: str, body: bytes = b""
    ) -> exchange.Reply | errors.Failure:
        target = "/v1/objects/" + urllib.parse.quote(key)
        return self._endpoint.call(
            method, target, body, timeout_s=self._timeout_s, max_bytes=MAX_OBJECT_BYTES
        )
