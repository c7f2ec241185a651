"""Stand-in of the platform's metadata store: tables, transactions and change feeds."""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import time

import httpio

TXN_S = 0.006
READ_S = 0.004
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1 << 20
MAX_ROWS = 500
READ_ONLY = ("op", "servers")

Key = tuple[str, str, str]


@dataclasses.dataclass(slots=True)
class Row:
    """Hold a row as the protocol shows it; `value` is base64."""

    value: str
    version: int


class Store:
    """Keep rows in memory; `slowness` multiplies the time of each answer."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.rows: dict[Key, Row] = {}
        self.refused: collections.Counter[str] = collections.Counter()
        self.on_refused = lambda _reason: None
        self._version = 0
        self._history: dict[str, list[tuple[int, Key]]] = collections.defaultdict(list)
        self._changed = asyncio.Condition()
        self._parts: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self.server = httpio.Server(self.handle)

    def read_value(self, key: Key) -> bytes:
        """Return the value of a row, empty if it does not exist."""
        row = self.rows.get(key)
        return base64.b64decode(row.value) if row is not None else b""

    async def write(self, changes: dict[Key, bytes | None]) -> int:
        """Apply changes of an operator or a server; None removes a row."""
        encoded = {
            key: None if value is None else base64.b64encode(value).decode()
            for key, value in changes.items()
        }
        return await self._apply(encoded)

    async def _apply(self, changes: dict[Key, str | None]) -> int:
        self._version += 1
        for key, value in changes.items():
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = Row(value, self._version)
            self._history[key[0]].append((self._version, key))
        version = self._version
        async with self._changed:
            self._changed.notify_all()
        return version

    async def handle(self, request: httpio.Request) -> tuple[int, object] | None:
        """Answer one call."""
        match request.method, request.path:
            case "POST", "/toucanspring/rows-tx":
                return await self._transact(request.body)
            case "GET", "/toucanspring/rows-get":
                await asyncio.sleep(READ_S * self.slowness)
                return self._get(request.query)
            case "GET", "/toucanspring/rows-parts":
                await asyncio.sleep(READ_S * self.slowness)
                return self._list_parts(request.query)
            case "GET", "/toucanspring/rows-feed":
                return await self._feed(request.query)
        return 404, {}

    def _refuse(self, reason: str) -> tuple[int, object]:
        self.refused[reason] += 1
        self.on_refused(reason)
        return 400, {"error": reason}

    async def _transact(self, body: bytes) -> tuple[int, object]:
        call = json.loads(body)
        checks = {_key(row): row["ver"] for row in call.get("precondition", [])}
        puts = {_key(row): row["value"] for row in call.get("puts", [])}
        removals = [_key(row) for row in call.get("remove", [])]
        keys = [*checks, *puts, *removals]
        if len(keys) > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
            return self._refuse("call too large")
        if len({part for _, part, _ in keys}) != 1:
            return self._refuse("several parts")
        if any(table in READ_ONLY for table, _, _ in [*puts, *removals]):
            return 403, {}
        for key, value in puts.items():
            size = len(base64.b64decode(value))
            if size > ROW_BYTES:
                return self._refuse(f"row {key[0]}/{key[2]} has more than {ROW_BYTES}")
        async with self._parts[keys[0][1]]:
            await asyncio.sleep(TXN_S * self.slowness)
            current = {key: self.rows.get(key) for key in checks}
            if any(
                (row.version if row is not None else 0) != checks[key]
                for key, row in current.items()
            ):
                found = [_show(key, row) for key, row in current.items() if row]
                return 412, self._answer(found)
            version = await self._apply({**puts, **dict.fromkeys(removals)})
        return 200, {**self._answer([]), "ver": version}

    def _answer(self, rows: list[dict]) -> dict:
        now_ms = round(time.monotonic() * 1000)
        return {"rows": rows, "ver": self._version, "now_ms": now_ms}

    def _get(self, query: dict[str, str]) -> tuple[int, object]:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        limit = min(MAX_ROWS, int(query.get("limit", 0)) or MAX_ROWS)
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part)
            and key[2] >= first
            and (not end or key[2] < end)
        )
        shown, size = [], 0
        for key in keys[:limit]:
            row = self.rows[key]
            size += len(row.value)
            if shown and size > MAX_CALL_BYTES:
                break
            shown.append(_show(key, row))
        return 200, {**self._answer(shown), "has_more": len(shown) < len(keys)}

    def _list_parts(self, query: dict[str, str]) -> tuple[int, object]:
        found = sorted(
            {part for table, part, _ in self.rows if table == query["table"]}
        )
        found = [
            part for part in found if "after" not in query or part > query["after"]
        ]
        return 200, {"parts": found[:1000], "has_more": len(found) > 1000}

    async def _feed(self, query: dict[str, str]) -> tuple[int, object]:
        table, after = query["table"], int(query.get("after", 0))
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while not (keys := self._find_changed(table, after)):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                break
            # A change may come just as the wait ends, so the rows are looked at again.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
        rows = [
            _show(key, self.rows[key])
            if key in self.rows
            else {**_name(key), "ver": version, "removed": True}
            for key, version in keys.items()
        ]
        answer = self._answer(rows)
        await asyncio.sleep(READ_S * self.slowness)
        return 200, answer

    def _find_changed(self, table: str, after: int) -> dict[Key, int]:
        """Return the rows that have changed, in the order of their last change."""
        found: dict[Key, int] = {}
        for version, key in reversed(self._history[table]):
            if version <= after:
                break
            found.setdefault(key, version)
        return dict(reversed(found.items()))


def _key(row: dict) -> Key:
    return row["table"], row.get("part", ""), row["key"]


def _name(key: Key) -> dict:
    return {"table": key[0], "part": key[1], "key": key[2]}


def _show(key: Key, row: Row) -> dict:
    return {**_name(key), "value": row.value, "ver": row.version}
