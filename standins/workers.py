"""Stand-in for workers: many of them in one process, each on its own port."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import time  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402

from standins import events, injection, service, task_runs, worker  # noqa: E402
from toucanspring import resources  # noqa: E402
from toucanspring.adapters import vms  # noqa: E402

WORKERS_PER_RACK = 8


class Workers:
    """The workers of a process and their common control interface."""

    def __init__(self, workers: list[worker.Worker], record: events.Record) -> None:
        self._workers = {host.listed.id: host for host in workers}
        self._record = record

    def handle(self, request: service.Request) -> service.Response:
        """Answer one call of the control interface."""
        if request.method == "GET" and request.path == "/v1/vms":
            listed = [host.listed for host in self._workers.values()]
            return service.json_response(listed)
        answer = injection.control(request, self._record, self._set_faults)
        return answer or service.Response(404)

    def _set_faults(self, body: bytes) -> list[str]:
        faults = msgspec.json.decode(body, type=worker.WorkerFaults)
        names = faults.workers or list(self._workers)
        unknown = sorted(set(names) - set(self._workers))
        if unknown:
            raise msgspec.ValidationError(f"no worker named {', '.join(unknown)}")
        for name in names:
            self._workers[name].apply(faults)
        self._record.add("faults", changes=msgspec.to_builtins(faults))
        return names


def describe(
    index: int,
    address: str,
    first_port: int,
    zones: list[str],
    size: resources.Resources,
) -> vms.Vm:
    """Return the entry of one worker in the VM list."""
    zone = zones[index % len(zones)]
    rack = index // len(zones) // WORKERS_PER_RACK
    return vms.Vm(
        id=f"worker-{first_port + index}",
        role=vms.Role.WORKER,
        availability_zone=zone,
        rack=f"{zone}-rack-{rack}",
        address=address,
        port=first_port + index,
        resources=size,
    )


def main(
    *,
    address: str = "127.0.0.1",
    port: int,
    count: int = 24,
    first_port: int,
    zones: list[str] = ["zone-a", "zone-b", "zone-c"],  # noqa: B006
    cpus: int = 32_000,
    memory: int = 65_536,
    accelerators: int = 0,
    accelerated: int = 0,
    seed: int = 0,
) -> None:
    """Serve workers on consecutive ports, and one control interface.

    :param address: IP address to listen on.
    :param port: Port of the control interface; `GET /v1/vms` lists the workers.
    :param count: Number of workers.
    :param first_port: Port of the first worker.
    :param zones: Availability zones, assigned in turn; racks hold eight workers.
    :param cpus: Millicores of a worker.
    :param memory: MiB of memory of a worker.
    :param accelerators: Accelerators of an accelerated worker.
    :param accelerated: Number of workers that have accelerators.
    :param seed: Seed of incarnations and clock offsets.
    """
    record = events.Record()
    clock = task_runs.Clock()
    rng = random.Random(f"{seed}/{first_port}/{time.monotonic_ns()}")
    workers = []
    for index in range(count):
        size = resources.Resources(
            cpus, memory, accelerators if index < accelerated else 0
        )
        listed = describe(index, address, first_port, zones, size)
        host = worker.Worker(listed, clock, record, rng)
        host.revive()
        workers.append(host)
    gevent.spawn(clock.run)
    control = service.HttpServer(address, port, Workers(workers, record).handle)
    control.open()
    service.run_until_signal(f"{count} workers ready on {address}:{port}")


if __name__ == "__main__":
    defopt.run(main)
