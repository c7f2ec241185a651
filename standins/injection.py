"""Faults of the stand-ins' HTTP services, and the interface that controls them."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
import msgspec

from standins import events, service


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of one HTTP service; `POST /faults` sets the given fields only.

    `down` refuses connections, `delay_ms` waits before the operation takes effect and
    `answer_delay_ms` after it, `error_fraction` answers 503 without an effect,
    `lose_answers` drops that many answers after the effect, `blocked` closes the
    connections of clients with these `X-Client` names before the effect. `lose_writes`
    maps the prefix of a row key to the number of answers to drop after writes of such
    rows.
    """

    down: bool = False
    delay_ms: float = 0.0
    answer_delay_ms: float = 0.0
    error_fraction: float = 0.0
    lose_answers: int = 0
    blocked: list[str] = []
    lose_writes: dict[str, int] = {}


class ServiceFaults(Faults):
    """Faults of the tables, the objects and the VM list.

    `calls_per_second` limits the calls whose path begins with each key, such as
    `{"/v1/transactions": 400}`; calls above the limit are delayed.
    """

    calls_per_second: dict[str, float] = {}


class FaultyService:
    """Apply `Faults` around an operation handler and serve the control interface.

    The control interface stays reachable on the control port while the service is
    `down`. Without a control port it shares the service's port, and `down` then
    closes the connection of each call instead of refusing it.
    """

    def __init__(
        self,
        address: str,
        port: int,
        control_port: int | None,
        handler: service.Handler,
        record: events.Record,
        rng: Callable[[], float],
    ) -> None:
        self.faults = ServiceFaults()
        self.record = record
        self._next_call_at: dict[str, float] = {}
        self._handler = handler
        self._rng = rng
        self._service = service.HttpServer(address, port, self._serve)
        self._control = (
            None
            if control_port is None
            else service.HttpServer(address, control_port, self._serve_control)
        )

    def open(self) -> None:
        """Start listening."""
        self._service.open()
        if self._control is not None:
            self._control.open()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._service.close()
        if self._control is not None:
            self._control.close()

    @property
    def port(self) -> int:
        """Return the port of the service."""
        return self._service.port

    def set_faults(self, changes: dict[str, object]) -> ServiceFaults:
        """Replace the given faults."""
        self.faults = merge_faults(self.faults, changes)
        self.record.add("faults", **msgspec.structs.asdict(self.faults))
        if self._control is not None:
            if self.faults.down:
                self._service.close()
            else:
                self._service.open()
        return self.faults

    def _serve_control(self, request: service.Request) -> service.Response:
        return control(request, self.record, self._set_faults) or service.Response(404)

    def _set_faults(self, body: bytes) -> ServiceFaults:
        return self.set_faults(msgspec.json.decode(body, type=dict))

    def _serve(self, request: service.Request) -> service.Response | None:
        answer = control(request, self.record, self._set_faults)
        if answer is not None:
            return answer
        self._limit_rate(request.path)
        return apply_faults(self.faults, request, self._handler, self._rng)

    def _limit_rate(self, path: str) -> None:
        for prefix, rate in self.faults.calls_per_second.items():
            if path.startswith(prefix):
                now = time.monotonic()
                call_at = max(now, self._next_call_at.get(prefix, 0.0))
                self._next_call_at[prefix] = call_at + 1 / rate
                gevent.sleep(call_at - now)


def merge_faults(current: Faults, changes: dict[str, object]) -> Faults:
    """Return the faults with some fields replaced."""
    return msgspec.convert(msgspec.structs.asdict(current) | changes, type(current))


def apply_faults(
    faults: Faults,
    request: service.Request,
    handler: service.Handler,
    rng: Callable[[], float],
) -> service.Response | None:
    """Run a handler under faults; `None` closes the connection."""
    if faults.down or request.client in faults.blocked:
        return service.CLOSE_CONNECTION
    if faults.delay_ms:
        gevent.sleep(faults.delay_ms / 1000)
    if faults.error_fraction and rng() < faults.error_fraction:
        return service.Response(503)
    response = handler(request)
    if faults.answer_delay_ms:
        gevent.sleep(faults.answer_delay_ms / 1000)
    if faults.lose_answers > 0:
        faults.lose_answers -= 1
        return service.CLOSE_CONNECTION
    for prefix, left in faults.lose_writes.items():
        if left > 0 and any(key.startswith(prefix) for key in response.written):
            faults.lose_writes[prefix] = left - 1
            return service.CLOSE_CONNECTION
    return response


def control(
    request: service.Request,
    record: events.Record,
    set_faults: Callable[[bytes], object],
) -> service.Response | None:
    """Answer a call of the control interface, or return `None` for other calls."""
    match request.method, request.path:
        case "POST", "/faults":
            try:
                return service.json_response(set_faults(request.body))
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                return service.Response(400, str(error).encode())
        case "GET", "/record":
            after = int(request.query.get("after", "0"))
            body = record.dump(after)
            return service.Response(200, body, {"Content-Type": "application/json"})
        case "DELETE", "/record":
            record.clear()
            return service.Response(204)
        case "GET", "/healthz":
            return service.Response(200, b"ok")
        case _:
            return None
