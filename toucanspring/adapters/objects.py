"""Client of the platform's object store."""

from __future__ import annotations

import urllib.parse
from typing import Protocol

from toucanspring import errors
from toucanspring.adapters import exchange, platform

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


class HttpObjectClient(platform.HttpClient):
    """Call the object store over HTTP."""

    service = "object store"

    def __init__(
        self,
        address: str,
        port: int,
        client: str = "",
        timeout_s: float = TIMEOUT_S,
        connections: int = CONNECTIONS,
    ) -> None:
        super().__init__(address, port, client, timeout_s, connections)

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
            case _:
                return self._write_failure(reply)

    def get(self, key: str) -> bytes | errors.Failure:
        """Return an object, or `NotFound`; never a part of one."""
        reply = self._call("GET", key)
        match reply:
            case exchange.Reply(status=200):
                return reply.body
            case exchange.Reply(status=404):
                return errors.NotFound(reason=f"no object {key}")
            case _:
                return self._read_failure(reply)

    def delete(self, key: str) -> None | errors.Failure:
        """Remove an object; removing an absent one succeeds."""
        reply = self._call("DELETE", key)
        match reply:
            case exchange.Reply(status=status) if status < 300 or status == 404:
                return None
            case _:
                return self._write_failure(reply)

    def _call(
        self, method: str, key: str, body: bytes = b""
    ) -> exchange.Reply | errors.Failure:
        target = "/v1/objects/" + urllib.parse.quote(key)
        return self._endpoint.call(
            method, target, body, timeout_s=self._timeout_s, max_bytes=MAX_OBJECT_BYTES
        )
