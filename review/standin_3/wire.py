"""HTTP/1.1 with JSON bodies over asyncio, for servers and clients of a case."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import urllib.parse
from collections.abc import Awaitable, Callable

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request that a server has read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def read(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.body)


# A handler returns a status and a body, or None: the channel then delivers nothing
# further, and stays open.
Handler = Callable[[Request], Awaitable[tuple[int, dict] | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_request(reader: asyncio.StreamReader) -> Request:
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ", 2)
    split = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(split.query, keep_blank_values=True))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, split.path, query, headers, body)


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    try:
        while True:
            answer = await handler(await _read_request(reader))
            if answer is None:
                await reader.read()
                break
            status, body = answer
            data = json.dumps(body).encode()
            head = (
                f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass  # the other side has closed the channel
    finally:
        with contextlib.suppress(RuntimeError):
            writer.close()


async def listen(host: str, handler: Handler) -> tuple[asyncio.Server, str]:
    """Serve on a free port of an address; return the server and its address."""
    server = await asyncio.start_server(
        lambda reader, writer: _serve(reader, writer, handler), host, 0
    )
    port = server.sockets[0].getsockname()[1]
    return server, f"{host}:{port}"


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: object = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict]:
    """Send one request; return status and body, status 0 if no answer came in time."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(host, int(port), method, path, headers, body)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, {}


async def _call(
    host: str, port: int, method: str, path: str, headers: dict[str, str], body: object
) -> tuple[int, dict]:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(data)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        await writer.drain()
        first, answered = await _read_head(reader)
        length = int(answered.get("content-length", "0"))
        answer = await reader.readexactly(length)
        return int(first.split(" ")[1]), json.loads(answer) if answer else {}
    finally:
        writer.close()
