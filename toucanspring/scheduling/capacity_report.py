"""Capacity reports that partition owners exchange to move workers."""

from __future__ import annotations

import msgspec

from toucanspring import resources

# Limits for one report, so that heartbeats stay below a few kilobytes.
MAX_WAITING = 4
MAX_IDLE = 16


class CapacityRequest(msgspec.Struct, frozen=True, array_like=True):
    """Capacity that a job lacks: `tasks` of `demand` in some availability zones.

    `accepted_ms` is the acceptance time in the log, in milliseconds of the wall clock
    of the owner at that time. It is used only to order jobs. All owners compare the
    same reported value, so a wrong clock makes a job early or late, but all owners
    agree on the order.
    """

    accepted_ms: int
    job_id: str
    demand: resources.Resources
    tasks: int
    availability_zones: tuple[str, ...] = ()  # empty means any zone
    waited_ms: int = 0

    @property
    def order(self) -> tuple[int, str]:
        """Return the sort key for the order of service."""
        return self.accepted_ms, self.job_id

    def with_tasks(self, tasks: int) -> CapacityRequest:
        """Return this request with another number of tasks."""
        return msgspec.structs.replace(self, tasks=tasks)

    def room_in(self, availability_zone: str, amount: resources.Resources) -> int:
        """Return how many tasks of this demand fit into an amount in a zone."""
        zones = self.availability_zones
        if zones and availability_zone not in zones:
            return 0
        return self.demand.count_in(amount)


class IdleWorker(msgspec.Struct, frozen=True, array_like=True):
    """Worker on which nothing runs."""

    worker: str
    availability_zone: str
    capacity: resources.Resources


class CapacityReport(msgspec.Struct, frozen=True, array_like=True):
    """Capacity that one partition lacks and the workers that it does not use.

    `workers_version` is the version of the row `workers` that the report is based on.
    """

    workers_version: int = 0
    gang: CapacityRequest | None = None
    waiting: list[CapacityRequest] = []
    idle: list[IdleWorker] = []


class ListedWorker(msgspec.Struct, frozen=True):
    """Worker that is not attached here, by its entry in the VM list."""

    availability_zone: str
    capacity: resources.Resources | None  # None if not known
    leaving: bool = False


def merge(first: CapacityRequest | None, second: CapacityRequest) -> CapacityRequest:
    """Merge the requests of two jobs of the same shape, ordered as the older one."""
    if first is None:
        return second
    older = min(first, second, key=lambda entry: entry.order)
    return older.with_tasks(first.tasks + second.tasks)


def oldest_gang(
    reports: dict[int, CapacityReport],
) -> tuple[int, CapacityRequest] | None:
    """Return the gang that is served now and its partition.

    Only one gang of the cell gets workers at a time. Otherwise two gangs could each
    hold a part of the workers that both need and deadlock.
    """
    gangs = [
        (report.gang.order, partition, report.gang)
        for partition, report in reports.items()
        if report.gang is not None
    ]
    if not gangs:
        return None
    _, partition, gang = min(gangs, key=lambda entry: entry[:2])
    return partition, gang
