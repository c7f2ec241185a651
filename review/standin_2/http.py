"""Small HTTP/1.1 server and client on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Awaitable, Callable

LOOPBACK = "127.0.0.1"
MAX_LINE_BYTES = 1 << 20

Answer = tuple[int, object]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable["Answer | None"]]


class Server:
    """Serve requests on one port; a handler that returns None breaks the connection."""

    def __init__(self, port: int, handler: Handler) -> None:
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the port."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=MAX_LINE_BYTES, reuse_address=True
        )

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (found := await read_message(reader)) is not None:
                first, headers, body = found
                method, target, _ = first.split(" ", 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None or writer.transport.is_closing():
                    writer.transport.abort()
                    return
                status, content = answer
                data = b"" if content is None else json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side closed the connection, or the script ends
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body of a message, None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (header := (await reader.readline()).decode("latin-1").strip()) != "":
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


def parse_query(target: str) -> tuple[str, dict[str, str]]:
    """Split a request target into its path and its query."""
    parsed = urllib.parse.urlsplit(target)
    return parsed.path, dict(urllib.parse.parse_qsl(parsed.query))


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Send a request on a connection of its own; status 0 means no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            found = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    return (0, b"") if found is None else (int(found[0].split(" ")[1]), found[2])
