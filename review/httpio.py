"""Minimal HTTP/1.1 server and client for the stand-ins, on the standard library."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import urllib.parse
from collections.abc import Awaitable, Callable

MAX_HEAD_BYTES = 1 << 16


@dataclasses.dataclass(slots=True)
class Request:
    """Hold one request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


# Returns status and body, or None for a call that gets no answer.
Handler = Callable[[Request], Awaitable[tuple[int, object] | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): text.strip() for name, _, text in pairs}


class Server:
    """Serve a handler on one address; `abort` breaks all connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on an address; raises `OSError` if it is in use."""
        self._server = await asyncio.start_server(
            self._serve, *address, limit=MAX_HEAD_BYTES, backlog=512
        )

    def abort(self) -> None:
        """Stop listening and reset the connections, as a process that dies does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                found = await self._handler(
                    Request(method, url.path, query, headers, body)
                )
                if found is None:
                    await reader.read()  # until the caller gives up
                    return
                status, answer = found
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the peer has gone, or the case ends
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> tuple[int, bytes] | None:
    """Send one request on a new connection; return None if no answer arrives."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
            writer.write(
                f"{method} {path} HTTP/1.1\r\n{head}"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            first, found = await _read_head(reader)
            status = int(first.split(" ")[1])
            length = int(found.get("content-length", "0"))
            return status, await reader.readexactly(length)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
