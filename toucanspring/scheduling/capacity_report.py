"""What the owner of a partition states about it to the owners of other partitions."""

from __future__ import annotations

import msgspec

from toucanspring import resources

# Bounds of one statement, so that heartbeats stay below a few kilobytes.
MAX_WAITING = 4
MAX_IDLE = 16


class Need(msgspec.Struct, frozen=True, array_like=True):
    """Room that a job lacks: `tasks` of `demand` in some availability zones.

    `accepted_ms` is the acceptance time in the log, in milliseconds of the wall clock
    of the owner at that time. It only orders jobs: all owners compare the same stated
    value, so a wrong clock makes a job early or late but the order stays the same.
    """

    accepted_ms: int
    job_id: str
    demand: resources.Resources
    tasks: int
    availability_zones: tuple[str, ...] = ()  # empty: any
    waited_ms: int = 0

    @property
    def order(self) -> tuple[int, str]:
        """Return the place in the order of service."""
        return self.accepted_ms, self.job_id

    def with_tasks(self, tasks: int) -> Need:
        """Return this need with another number of tasks."""
        return msgspec.structs.replace(self, tasks=tasks)

    def room_in(self, availability_zone: str, amount: resources.Resources) -> int:
        """Return how many of the tasks fit into an amount in a zone."""
        zones = self.availability_zones
        if zones and availability_zone not in zones:
            return 0
        return self.demand.count_in(amount)


class Idle(msgspec.Struct, frozen=True, array_like=True):
    """Describe a worker on which nothing runs."""

    worker: str
    availability_zone: str
    capacity: resources.Resources


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """State what one partition lacks and what it does not use.

    `workers_version` is the version of the row `workers` that it takes into account.
    """

    workers_version: int = 0
    gang: Need | None = None
    waiting: list[Need] = []
    idle: list[Idle] = []


class Listed(msgspec.Struct, frozen=True):
    """Describe a worker of another partition by its entry in the VM list."""

    availability_zone: str
    capacity: resources.Resources | None  # None: not known
    leaving: bool = False


def join(first: Need | None, second: Need) -> Need:
    """Return the need of two jobs of one shape, in the place of the older one."""
    if first is None:
        return second
    older = min(first, second, key=lambda entry: entry.order)
    return older.with_tasks(first.tasks + second.tasks)


def oldest_gang(statements: dict[int, Statement]) -> tuple[int, Need] | None:
    """Return the gang that is served now, and its partition.

    Only one gang of the cell gets workers at a time: two could each hold a part of
    the workers that both need.
    """
    gangs = [
        (stated.gang.order, partition, stated.gang)
        for partition, stated in statements.items()
        if stated.gang is not None
    ]
    if not gangs:
        return None
    _, partition, gang = min(gangs, key=lambda entry: entry[:2])
    return partition, gang
