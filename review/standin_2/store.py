"""Stand-in of the platform's metadata store: rows with versions and a change feed."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from standin_2 import http

RowKey = tuple[str, str, str]  # table, part, key
MAX_ROWS = 500


class Store:
    """Keep rows in memory; `latency_s` is the time of an answer."""

    def __init__(self, port: int) -> None:
        self.latency_s = 0.004
        self.server = http.Server(port, self._serve)
        self._rows: dict[RowKey, tuple[int, str]] = {}
        self._history: list[tuple[int, RowKey]] = []
        self._version = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row of the operator or of an executor; the part is empty."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, "", key), text)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row whose part is empty."""
        self._apply([((table, "", key), None)])

    def find(self, table: str) -> dict[str, bytes]:
        """Return the values of a table by key."""
        return {
            row[2]: base64.b64decode(value)
            for row, (_, value) in self._rows.items()
            if row[0] == table
        }

    def _apply(self, changes: list[tuple[RowKey, str | None]]) -> None:
        self._version += 1
        for row, value in changes:
            if value is None:
                self._rows.pop(row, None)
            else:
                self._rows[row] = (self._version, value)
            self._history.append((self._version, row))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _render(self, row: RowKey) -> dict[str, object]:
        found = {"table": row[0], "part": row[1], "key": row[2]}
        if row not in self._rows:
            return {**found, "ver": 0, "removed": True}
        version, value = self._rows[row]
        return {**found, "ver": version, "value": value}

    def _answer(self, rows: list[dict[str, object]], more: bool = False) -> object:
        now_ms = round(time.monotonic() * 1000)
        return {"ver": self._version, "now_ms": now_ms, "rows": rows, "has_more": more}

    async def _serve(
        self, _method: str, target: str, _headers: dict[str, str], body: bytes
    ) -> http.Answer:
        path, query = http.parse_query(target)
        match path.rpartition("/")[2]:
            case "rows-tx":
                await asyncio.sleep(self.latency_s)
                return self._transact(json.loads(body))
            case "rows-get":
                await asyncio.sleep(self.latency_s)
                return 200, self._read(query)
            case "rows-parts":
                await asyncio.sleep(self.latency_s)
                parts = {row[1] for row in self._rows if row[0] == query["table"]}
                left = sorted(p for p in parts if p > query.get("after", "") or not p)
                return 200, {"parts": left, "has_more": False}
            case "rows-feed":
                return 200, await self._follow(query)
        return 404, {}

    def _transact(self, call: dict) -> http.Answer:
        def key(entry: dict) -> RowKey:
            return entry["table"], entry["part"], entry["key"]

        checked = call.get("precondition", [])
        for entry in checked:
            if self._rows.get(key(entry), (0, ""))[0] != entry["ver"]:
                return 412, self._answer([self._render(key(each)) for each in checked])
        changes = [(key(entry), entry["value"]) for entry in call.get("puts", [])]
        changes += [(key(entry), None) for entry in call.get("remove", [])]
        self._apply(changes)
        return 200, self._answer([])

    def _read(self, query: dict[str, str]) -> object:
        first, stop = query.get("from", ""), query.get("target")
        found = sorted(
            row
            for row in self._rows
            if row[:2] == (query["table"], query.get("part", ""))
            and row[2] >= first
            and (stop is None or row[2] < stop)
        )
        limit = min(MAX_ROWS, int(query.get("limit", "0")) or MAX_ROWS)
        rows = [self._render(row) for row in found[:limit]]
        return self._answer(rows, len(found) > limit)

    async def _follow(self, query: dict[str, str]) -> object:
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = {
                row: None
                for version, row in self._history
                if version > after and row[0] == table
            }
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                # The rows and the version in the answer are those of one moment.
                answer = self._answer([self._render(row) for row in rows])
                await asyncio.sleep(self.latency_s)
                return answer
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
