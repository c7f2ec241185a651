"""The platform's store: rows in tables and parts, with transactions and a feed."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable

from review.standin_3 import wire

ANSWER_S = 0.004
TRANSACTION_S = 0.006
MAX_ROWS = 500

Key = tuple[str, str, str]  # table, part, key


class Lost:
    """What becomes of a write without an answer: done now, or `late_s` later."""

    def __init__(self, late_s: float = 0.0) -> None:
        self.late_s = late_s


class Store:
    """Keeps rows; each machine calls it at an address of its own."""

    def __init__(self) -> None:
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.version = 0
        self.writes = 0
        # Decides on a write, by machine and body, whether its answer is lost.
        self.lose: Callable[[str, dict], Lost | None] = lambda _machine, _body: None
        # Told of each write that was done without an answer.
        self.on_late: Callable[[str, bool], None] = lambda _machine, _done: None
        self._log: list[tuple[int, Key]] = []
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, machine: str) -> str:
        """Serve one machine; return the address."""

        async def handle(request: wire.Request) -> tuple[int, dict] | None:
            return await self._handle(machine, request)

        _, address = await wire.listen("127.0.0.1", handle)
        return address

    async def put(self, table: str, key: str, value: dict) -> None:
        """Write a row as the operator or an executor does."""
        await self._apply({(table, "", key): json.dumps(value).encode()}, [])

    async def _handle(
        self, machine: str, request: wire.Request
    ) -> tuple[int, dict] | None:
        match request.path.removeprefix("/toucanspring/"):
            case "rows-tx":
                return await self._transact(machine, request.read())
            case "rows-get":
                await asyncio.sleep(ANSWER_S)
                return 200, self._get(request.query)
            case "rows-parts":
                await asyncio.sleep(ANSWER_S)
                table, after = request.query["table"], request.query.get("after", "")
                parts = sorted({part for name, part, _ in self.rows if name == table})
                found = [part for part in parts if "after" not in request.query]
                found += [part for part in parts if after and part > after]
                return 200, {"parts": found[:1000], "has_more": len(found) > 1000}
            case "rows-feed":
                return 200, await self._follow(request.query)
        return 404, {}

    async def _transact(self, machine: str, body: dict) -> tuple[int, dict] | None:
        self.writes += 1
        lost = self.lose(machine, body)
        await asyncio.sleep(TRANSACTION_S)
        if lost is None:
            return await self._commit(body)
        if lost.late_s:
            task = asyncio.create_task(self._commit_late(machine, body, lost.late_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            status, _ = await self._commit(body)
            self.on_late(machine, status == 200)
        return None

    async def _commit_late(self, machine: str, body: dict, late_s: float) -> None:
        await asyncio.sleep(late_s)
        status, _ = await self._commit(body)
        self.on_late(machine, status == 200)

    async def _commit(self, body: dict) -> tuple[int, dict]:
        checks = body.get("precondition", ())
        keys = [_key(row) for row in checks]
        if any(
            self.rows.get(key, (b"", 0))[1] != row["ver"]
            for key, row in zip(keys, checks, strict=True)
        ):
            current = [self._row(key) for key in keys if key in self.rows]
            return 412, self._stamp({"rows": current})
        puts = {_key(r): base64.b64decode(r["value"]) for r in body.get("puts", ())}
        await self._apply(puts, [_key(row) for row in body.get("remove", ())])
        return 200, self._stamp({})

    async def _apply(self, puts: dict[Key, bytes], removals: list[Key]) -> None:
        async with self._changed:
            self.version += 1
            for key, value in puts.items():
                self.rows[key] = (value, self.version)
                self._log.append((self.version, key))
            for key in removals:
                if self.rows.pop(key, None) is not None:
                    self._log.append((self.version, key))
            self._changed.notify_all()

    def _get(self, query: dict[str, str]) -> dict:
        table, part = query["table"], query.get("part", "")
        start, stop = query.get("from", ""), query.get("target")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part)
            and key[2] >= start
            and (stop is None or key[2] < stop)
        )
        limit = min(MAX_ROWS, int(query.get("limit") or MAX_ROWS))
        found = [self._row(key) for key in keys[:limit]]
        return self._stamp({"rows": found, "has_more": len(keys) > limit})

    async def _follow(self, query: dict[str, str]) -> dict:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("wait_ms") or 0) / 1000
        async with self._changed:
            while True:
                changed = {k: v for v, k in self._log if v > after and k[0] == table}
                left_s = ends_at - time.monotonic()
                if changed or left_s <= 0:
                    break
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue
        ordered = sorted(changed, key=changed.__getitem__)
        found = [self._row(key, changed[key]) for key in ordered]
        return self._stamp({"rows": found})

    def _row(self, key: Key, changed_at: int = 0) -> dict:
        named = dict(zip(("table", "part", "key"), key, strict=True))
        if key not in self.rows:
            return {**named, "ver": changed_at, "removed": True}
        value, version = self.rows[key]
        return {**named, "value": base64.b64encode(value).decode(), "ver": version}

    def _stamp(self, answer: dict) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {"ver": self.version, "now_ms": now_ms, **answer}


def _key(row: dict) -> Key:
    return row["table"], row.get("part", ""), row["key"]
