"""Stand-in for the transactional table service."""

from gevent import monkey

monkey.patch_all()

import bisect  # noqa: E402

import defopt  # noqa: E402
import msgspec  # noqa: E402

from standins import events, host, service  # noqa: E402
from toucanspring.adapters import tables  # noqa: E402

MAX_SCAN_ROWS = 1000
ABSENT = tables.Row(0, b"")

_encode = msgspec.msgpack.Encoder().encode
_transaction = msgspec.msgpack.Decoder(tables.TransactionBody)
_read = msgspec.msgpack.Decoder(tables.ReadBody)
_scan = msgspec.msgpack.Decoder(tables.ScanBody)


class Tables:
    """Hold all rows in memory; one counter gives row versions, never reused."""

    def __init__(self, record: events.Record) -> None:
        self._rows: dict[str, tables.Row] = {}
        self._keys: list[str] = []
        self._version = 0
        self._record = record

    def handle(self, request: service.Request) -> service.Response:
        """Answer one call of the table service."""
        try:
            match request.method, request.path:
                case "POST", "/v1/transactions":
                    return self._transact(
                        _transaction.decode(request.body), request.client
                    )
                case "POST", "/v1/reads":
                    return self._answer_read(_read.decode(request.body), request.client)
                case "POST", "/v1/scans":
                    return self._answer_scan(_scan.decode(request.body), request.client)
                case _:
                    return service.Response(404)
        except msgspec.DecodeError as error:
            return service.Response(400, str(error).encode())

    def _transact(self, body: tables.TransactionBody, client: str) -> service.Response:
        for key, version in body.checks:
            current = self._rows.get(key, ABSENT).version
            if current != version:
                self._record.add("conflict", client=client, key=key)
                return service.Response(
                    409, _encode(tables.ConflictAnswer(key, current))
                )
        versions = {}
        for key, value in body.writes:
            self._version += 1
            if key not in self._rows:
                bisect.insort(self._keys, key)
            self._rows[key] = tables.Row(self._version, value)
            versions[key] = self._version
        for key in body.deletes:
            if self._rows.pop(key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, key)]
        self._record.add(
            "commit",
            client=client,
            versions=versions,
            sizes={key: len(value) for key, value in body.writes},
            deletes=body.deletes,
        )
        return service.Response(
            200, _encode(tables.TransactionAnswer(versions)), written=tuple(versions)
        )

    def _answer_read(self, body: tables.ReadBody, client: str) -> service.Response:
        rows = {key: self._rows[key] for key in body.keys if key in self._rows}
        self._record.add("read", client=client, keys=len(body.keys))
        return service.Response(200, _encode(tables.ReadAnswer(rows)))

    def _answer_scan(self, body: tables.ScanBody, client: str) -> service.Response:
        first = bisect.bisect_left(self._keys, body.prefix)
        if body.after:
            first = max(first, bisect.bisect_right(self._keys, body.after))
        rows = []
        for key in self._keys[first : first + min(body.limit, MAX_SCAN_ROWS)]:
            if not key.startswith(body.prefix):
                break
            row = self._rows[key]
            rows.append(tables.KeyedRow(key, row.version, row.value))
        self._record.add("scan", client=client, prefix=body.prefix)
        return service.Response(200, _encode(tables.ScanAnswer(rows)))


def main(
    *,
    address: str = "127.0.0.1",
    port: int,
    control_port: int | None = None,
    seed: int = 0,
) -> None:
    """Serve the table service.

    :param address: IP address to listen on.
    :param port: Port of the service, and of the control interface.
    :param control_port: Port that serves the control interface while the service
        is down.
    :param seed: Seed of the random choice of failing calls.
    """
    host.run(
        "tables",
        address,
        port,
        control_port,
        seed,
        lambda record: Tables(record).handle,
    )


if __name__ == "__main__":
    defopt.run(main)
