"""Workers of the cell for operators, with those that no owner reports."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

import msgspec

from toucanspring import errors, kernel, resources
from toucanspring.adapters import vms
from toucanspring.owners import roster, worker_link

_decode_assignment = msgspec.msgpack.Decoder(dict[str, int]).decode


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerStatus:
    """Status of a worker as shown to operators."""

    worker: str
    partition: int
    availability_zone: str
    rack: str
    capacity: resources.Resources
    free: resources.Resources
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSurvey:
    """Workers that owners report, and the failures of partitions without an answer."""

    workers: list[WorkerStatus]
    silent: dict[int, errors.Failure]


def list_workers(
    partition: int,
    links: Mapping[str, worker_link.Link],
    facts: Mapping[str, object],
    free: Mapping[str, resources.Resources],
    is_leaving: Callable[[str], bool],
) -> list[WorkerStatus]:
    """Return the workers that the owner of a partition has links to."""
    statuses = []
    for worker, link in sorted(links.items()):
        known = facts.get(worker)
        state = "leaving" if is_leaving(link.vm.id) else "attached"
        statuses.append(
            WorkerStatus(
                worker,
                partition,
                link.vm.availability_zone,
                link.vm.rack,
                known.capacity if known else resources.ZERO,
                free.get(worker, resources.ZERO),
                state if link.attached else "unreachable",
            )
        )
    return statuses


def describe(core: kernel.Kernel) -> dict[str, object]:
    """Return the workers that owners report, and the missing ones with the reason.

    `not_attached` has the workers of the VM list that no owner reports. `unchecked` is
    the reason why the list could not be compared, or empty.
    """
    found: WorkerSurvey = core.find("partitions").workers()
    # Read after the answers, so that a new worker is listed as not attached.
    listed = core.find("store").vms.list()
    reported = {status.worker for status in found.workers}
    missing = []
    unchecked = ""
    if isinstance(listed, errors.Failure):
        unchecked = f"the VM list could not be read: {listed.reason}"
    else:
        missing = [
            vm for vm in listed if vm.role is vms.Role.WORKER and vm.id not in reported
        ]
    assigned = _read_assignment(core) if missing else {}
    return {
        "workers": found.workers,
        "silent_partitions": [
            {"partition": number, "reason": failure.reason or failure.kind}
            for number, failure in sorted(found.silent.items())
        ],
        "not_attached": [_describe(vm, assigned, found.silent) for vm in missing],
        "unchecked": unchecked,
    }


def _read_assignment(core: kernel.Kernel) -> dict[str, int] | errors.Failure:
    rows = core.find("store").tables.read([roster.WORKERS_ROW])
    if isinstance(rows, errors.Failure):
        return rows
    try:
        value = rows[roster.WORKERS_ROW].value
        return _decode_assignment(value) if value else {}
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=f"row {roster.WORKERS_ROW}: {error}")


def _describe(
    vm: vms.Vm,
    assigned: dict[str, int] | errors.Failure,
    silent: dict[int, errors.Failure],
) -> dict[str, object]:
    partition = None
    if isinstance(assigned, errors.Failure):
        reason = f"its partition is unknown: {assigned.reason}"
    elif vm.id not in assigned:
        reason = "not assigned to a partition yet"
    else:
        partition = assigned[vm.id]
        reason = f"the owner of partition {partition} has not connected to it yet"
        if partition in silent:
            reason = f"the owner of partition {partition} did not answer"
    return {
        "worker": vm.id,
        "availability_zone": vm.availability_zone,
        "rack": vm.rack,
        "listed_as": vm.state,
        "partition": partition,
        "reason": reason,
    }
