"""Stand-in for backend servers: many executors, each on its own port."""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import dataclasses  # noqa: E402
import hashlib  # noqa: E402
import random  # noqa: E402
from collections.abc import Callable  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent import event  # noqa: E402

from standins import events, injection, service  # noqa: E402
from toucanspring.adapters import backend_servers, vms  # noqa: E402

SLOTS = 8
MAX_CONNECTIONS = 64
DEFAULT_RUN_MS = 5.0
MAX_REMEMBERED_REQUESTS = 20_000
MAX_REMEMBERED_BYTES = 1 << 27
PREFIX = "/requests/"


class Work(msgspec.Struct):
    """Body of a request, in JSON; an invalid body runs with the defaults.

    The answer is `answer`, or `answer_bytes` bytes that depend on the request ID.
    """

    run_ms: float = DEFAULT_RUN_MS
    answer: str = ""
    answer_bytes: int = 64
    status: int = 200
    chunked: bool = False
    cut_at: int | None = None
    stall_ms: float = 0.0


class ExecutorFaults(injection.Faults):
    """Faults of an executor; the body also takes `executors`, their names.

    Without names, or with an empty list, the faults apply to all executors.
    `cut_answers` closes the connection in the middle of that many answers, `no_slot`
    refuses all work, and `large_bytes` replaces the length of generated answers.
    """

    cut_answers: int = 0
    no_slot: bool = False
    large_bytes: int = 0


class Outcome(msgspec.Struct):
    """State and answer of a request; `done` is set once it has an answer."""

    done: event.Event
    response: service.Response | None = None


def expected_answer(request_id: str, length: int) -> bytes:
    """Return the generated answer of a request, different for each ID."""
    unit = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (unit * (length // len(unit) + 1))[:length]


class Executor:
    """Run requests in a limited number of slots and remember their outcomes."""

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        slots: int,
        record: events.Record,
        rng: Callable[[], float],
    ) -> None:
        self.name = name
        self.faults = ExecutorFaults()
        self._slots = slots
        self._busy = 0
        self._remembered_bytes = 0
        self._record = record
        self._rng = rng
        self._epochs: dict[int, int] = {}
        self._outcomes: collections.OrderedDict[str, Outcome] = (
            collections.OrderedDict()
        )
        self.server = service.HttpServer(address, port, self._serve, MAX_CONNECTIONS)

    def set_faults(self, changes: dict[str, object]) -> None:
        """Replace the given faults; `down` refuses connections."""
        self.faults = injection.merge_faults(self.faults, changes)
        if self.faults.down:
            self.server.close()
        else:
            self.server.open()

    def _serve(self, request: service.Request) -> service.Response | None:
        return injection.apply_faults(self.faults, request, self._handle, self._rng)

    def _handle(self, request: service.Request) -> service.Response:
        if request.method == "POST" and request.path == "/epochs":
            return self._raise_epoch(request.body)
        if not request.path.startswith(PREFIX):
            return service.Response(404)
        request_id = request.path[len(PREFIX) :]
        if request.method == "GET":
            return self._look_up(request_id)
        return self._run(request_id, request)

    def _raise_epoch(self, body: bytes) -> service.Response:
        given = msgspec.json.decode(body, type=backend_servers.EpochBody)
        current = self._epochs.get(given.partition, 0)
        if given.epoch < current:
            return service.json_response(
                backend_servers.EpochBody(given.partition, current), 409
            )
        self._epochs[given.partition] = given.epoch
        self._record.add(
            "epoch", executor=self.name, partition=given.partition, epoch=given.epoch
        )
        return service.json_response(given)

    def _look_up(self, request_id: str) -> service.Response:
        outcome = self._outcomes.get(request_id)
        if outcome is None:
            return service.Response(404, headers={"X-State": "unseen"})
        if outcome.response is None:
            return service.Response(202, headers={"X-State": "running"})
        done = outcome.response
        return service.Response(
            done.status, done.body, {**done.headers, "X-State": "done"}
        )

    def _run(self, request_id: str, request: service.Request) -> service.Response:
        epoch = request.headers.get("x-epoch")
        if epoch is not None:
            partition, _, number = epoch.partition(":")
            if int(number) < self._epochs.get(int(partition), 0):
                return self._refuse(request_id, request, 409, "epoch")
            self._epochs[int(partition)] = int(number)
            known = self._outcomes.get(request_id)
            if known is not None:
                # A repeated non-idempotent request gets the answer of the first one.
                known.done.wait()
                return known.response
        if self.faults.no_slot or self._busy >= self._slots:
            return self._refuse(request_id, request, 503, "slots")
        return self._execute(request_id, request, epoch is not None)

    def _refuse(
        self, request_id: str, request: service.Request, status: int, cause: str
    ) -> service.Response:
        self._record.add(
            "refused",
            executor=self.name,
            request=request_id,
            cause=cause,
            client=request.client,
        )
        return service.Response(status, headers={"X-Not-Run": cause})

    def _execute(
        self, request_id: str, request: service.Request, non_idempotent: bool
    ) -> service.Response:
        work = _parse(request.body)
        self._busy += 1
        self._forget(self._outcomes.pop(request_id, None))
        outcome = self._outcomes[request_id] = Outcome(event.Event())
        self._record.add(
            "run",
            executor=self.name,
            request=request_id,
            idempotent=not non_idempotent,
            client=request.client,
            busy=self._busy,
            slots=self._slots,
        )
        try:
            gevent.sleep(work.run_ms / 1000)
        finally:
            self._busy -= 1
            length = self.faults.large_bytes or work.answer_bytes
            body = work.answer.encode() or expected_answer(request_id, length)
            outcome.response = service.Response(
                work.status if work.status in service.STATUS_LINES else 500,
                body,
                {"Content-Type": "application/octet-stream"},
                chunked=work.chunked,
                stall_ms=work.stall_ms,
            )
            outcome.done.set()
            if self._outcomes.get(request_id) is outcome:
                self._remembered_bytes += len(body)
                self._forget_oldest()
            self._record.add("ran", executor=self.name, request=request_id)
        return self._cut(work, outcome.response)

    def _forget_oldest(self) -> None:
        while (
            len(self._outcomes) > MAX_REMEMBERED_REQUESTS
            or self._remembered_bytes > MAX_REMEMBERED_BYTES
        ):
            self._forget(self._outcomes.popitem(last=False)[1])

    def _forget(self, outcome: Outcome | None) -> None:
        if outcome is not None and outcome.response is not None:
            self._remembered_bytes -= len(outcome.response.body)

    def _cut(self, work: Work, response: service.Response) -> service.Response:
        cut_at = work.cut_at
        if self.faults.cut_answers > 0:
            self.faults.cut_answers -= 1
            cut_at = len(response.body) // 2
        if cut_at is None:
            return response
        return dataclasses.replace(response, cut_at=cut_at)


def _parse(body: bytes) -> Work:
    try:
        return msgspec.json.decode(body, type=Work)
    except msgspec.DecodeError:
        return Work()


class Executors:
    """The executors of a process and their common control interface."""

    def __init__(
        self, executors: list[Executor], listed: list[vms.Vm], record: events.Record
    ) -> None:
        self._executors = {executor.name: executor for executor in executors}
        self._listed = listed
        self._record = record

    def handle(self, request: service.Request) -> service.Response:
        """Answer one call of the control interface."""
        if request.method == "GET" and request.path == "/v1/vms":
            return service.json_response(self._listed)
        answer = injection.control(request, self._record, self._set_faults)
        return answer or service.Response(404)

    def _set_faults(self, body: bytes) -> dict[str, ExecutorFaults]:
        changes = msgspec.json.decode(body, type=dict)
        names = changes.pop("executors", None) or list(self._executors)
        unknown = sorted(set(names) - set(self._executors))
        if unknown:
            raise msgspec.ValidationError(f"no executor named {', '.join(unknown)}")
        for name in names:
            self._executors[name].set_faults(changes)
        self._record.add("faults", executors=names, changes=changes)
        return {name: self._executors[name].faults for name in names}


def main(
    *,
    address: str = "127.0.0.1",
    port: int,
    count: int = 3,
    first_port: int,
    slots: int = SLOTS,
    service_name: str = "checks",
    zones: list[str] = ["zone-a", "zone-b", "zone-c"],  # noqa: B006
    seed: int = 0,
) -> None:
    """Serve executors on consecutive ports, and one control interface.

    :param address: IP address to listen on.
    :param port: Port of the control interface; `GET /v1/vms` lists the executors.
    :param count: Number of executors.
    :param first_port: Port of the first executor.
    :param slots: Requests that an executor runs at the same time.
    :param service_name: Name of the service in the VM list.
    :param zones: Availability zones, assigned in turn.
    :param seed: Seed of the random choice of failing calls.
    """
    record = events.Record()
    rng = random.Random(seed).random
    listed = [
        vms.Vm(
            id=f"backend-{first_port + index}",
            role=vms.Role.BACKEND_SERVER,
            availability_zone=zones[index % len(zones)],
            address=address,
            port=first_port + index,
            service=service_name,
        )
        for index in range(count)
    ]
    executors = [
        Executor(vm.id, vm.address, vm.port, slots, record, rng) for vm in listed
    ]
    for executor in executors:
        executor.server.open()
    host = Executors(executors, listed, record)
    control = service.HttpServer(address, port, host.handle)
    control.open()
    service.run_until_signal(f"{count} backend servers ready on {address}:{port}")


if __name__ == "__main__":
    defopt.run(main)
