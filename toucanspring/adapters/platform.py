"""Base class of the HTTP clients of the platform's services."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from toucanspring import errors
from toucanspring.adapters import exchange

TIMEOUT_S = 2.0
CONNECTIONS = 2


class HttpClient:
    """Hold the connections to one service; `service` names it in failures."""

    service: ClassVar[str]

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

    def close(self) -> None:
        """Close idle connections."""
        self._endpoint.close()

    def _read_failure(self, reply: exchange.Reply | errors.Failure) -> errors.Failure:
        """Return the failure of a read, which had no effect."""
        match reply:
            case exchange.Reply():
                return errors.Unavailable(
                    reason=f"{self.service} answered {reply.status}"
                )
            case errors.Ambiguous():
                return errors.Unavailable(reason=reply.reason)
            case _:
                return reply

    def _write_failure(self, reply: exchange.Reply | errors.Failure) -> errors.Failure:
        """Return the failure of a write; it may have taken effect despite an error."""
        if isinstance(reply, exchange.Reply):
            return errors.Ambiguous(reason=f"{self.service} answered {reply.status}")
        return reply

    def _decode(
        self, decoder: msgspec.json.Decoder | msgspec.msgpack.Decoder, body: bytes
    ) -> object | errors.Malformed:
        try:
            return decoder.decode(body)
        except msgspec.DecodeError as error:
            return errors.Malformed(reason=f"answer of the {self.service}: {error}")
