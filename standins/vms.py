"""Stand-in for the VM list, which shows each change with a lag."""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import time  # noqa: E402

import defopt  # noqa: E402
import msgspec  # noqa: E402

from standins import events, host, service  # noqa: E402
from toucanspring.adapters import vms  # noqa: E402


class VmList:
    """Show the list that was set `lag_ms` ago; the first list shows at once."""

    def __init__(self, record: events.Record, lag_ms: float) -> None:
        self._record = record
        self._lag_ms = lag_ms
        self._pending: collections.deque[tuple[float, bytes]] = collections.deque()
        self._shown: bytes | None = None

    def handle(self, request: service.Request) -> service.Response:
        """Answer one call of the VM list."""
        match request.method, request.path:
            case "GET", "/v1/vms":
                return service.Response(
                    200, self._current(), {"Content-Type": "application/json"}
                )
            case "PUT", "/v1/vms":
                return self._set(request.body)
            case "PUT", "/v1/lag":
                self._lag_ms = msgspec.json.decode(request.body, type=float)
                return service.Response(204)
            case _:
                return service.Response(404)

    def _current(self) -> bytes:
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            self._shown = self._pending.popleft()[1]
        return self._shown if self._shown is not None else b"[]"

    def _set(self, body: bytes) -> service.Response:
        try:
            listed = msgspec.json.decode(body, type=list[vms.Vm])
        except msgspec.DecodeError as error:
            return service.Response(400, str(error).encode())
        self._current()
        if self._shown is None:
            self._shown = body
        else:
            self._pending.append((time.monotonic() + self._lag_ms / 1000, body))
        self._record.add(
            "list", states={vm.id: vm.state for vm in listed}, lag_ms=self._lag_ms
        )
        return service.Response(204)


def main(
    *,
    address: str = "127.0.0.1",
    port: int,
    control_port: int | None = None,
    lag_ms: float = 0.0,
    seed: int = 0,
) -> None:
    """Serve the VM list.

    :param address: IP address to listen on.
    :param port: Port of the service, and of the control interface.
    :param control_port: Port that serves the control interface while the service
        is down.
    :param lag_ms: Time in milliseconds until a change shows; `PUT /v1/lag` sets it.
    :param seed: Seed of the random choice of failing calls.
    """
    host.run(
        "VM list",
        address,
        port,
        control_port,
        seed,
        lambda record: VmList(record, lag_ms).handle,
    )


if __name__ == "__main__":
    defopt.run(main)
