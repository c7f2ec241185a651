"""What a process did by itself, as typed events for operators.

An event states where it happened by subjects: worker, rack, zone, job, partition,
process or service. Equal events of one minute are folded into one entry with a count;
`SUMMED` names the fields that are added up then, and `LATEST` those of which the last
value stays. All other fields tell events apart.
"""

from __future__ import annotations

import enum
import functools
import re
from typing import ClassVar

import msgspec

SUBJECTS = (
    "worker",
    "workers",
    "job",
    "for_job",
    "zone",
    "rack",
    "partition",
    "receiver",
    "former",
    "service",
)
# Stands for the subjects of entries that were folded to bound their number.
ANY = "*"


def _to_tag(name: str) -> str:
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", name).lower()


class Event(msgspec.Struct, frozen=True, tag_field="kind", tag=_to_tag):
    """Base of all events."""

    SUMMED: ClassVar[tuple[str, ...]] = ()
    LATEST: ClassVar[tuple[str, ...]] = ()
    # Written at once, since the process may end soon.
    URGENT: ClassVar[bool] = False


class StopCause(enum.StrEnum):
    """Why the owner of a partition stopped a running task."""

    CEILING = "ceiling_lowered"
    ZONE_OUT = "zone_out"
    LEAVING = "worker_leaving"
    PREEMPTED = "preempted"
    MEMORY = "worker_out_of_memory"
    GANG = "gang_stopped"
    MOVE = "worker_drained_for_move"
    SPREAD = "service_spread_again"


class PartitionClaimed(Event, frozen=True):
    """This process claimed a partition.

    `why` is `silent` (the former owner did not renew), `released`, `first` or
    `own_claim` (an earlier claim whose answer was lost).
    """

    partition: int
    epoch: int
    former: str
    why: str
    URGENT: ClassVar[bool] = True


class PartitionReleased(Event, frozen=True):
    """This process handed over a partition: `stopping`, `even_out` or `fenced`."""

    partition: int
    epoch: int
    why: str
    URGENT: ClassVar[bool] = True


class OwnershipEnded(Event, frozen=True):
    """Another process claimed a partition that this one still held."""

    partition: int
    epoch: int
    URGENT: ClassVar[bool] = True


class OwnershipExtended(Event, frozen=True):
    """A majority promised to claim nothing, so ownership goes on without the store."""

    partitions: int  # held at that moment
    URGENT: ClassVar[bool] = True
    LATEST: ClassVar[tuple[str, ...]] = ("partitions",)


class OwnershipNarrowed(Event, frozen=True):
    """Neither the store nor a majority answers: nothing starts, no lease is renewed."""

    partitions: int
    URGENT: ClassVar[bool] = True
    LATEST: ClassVar[tuple[str, ...]] = ("partitions",)


class OwnershipResumed(Event, frozen=True):
    """The lease in the store is valid again."""

    partitions: int
    seconds: float  # since it was extended or narrowed
    URGENT: ClassVar[bool] = True
    LATEST: ClassVar[tuple[str, ...]] = ("partitions", "seconds")


class ProcessPaused(Event, frozen=True):
    """A round of this process came late, so the process did not run for a time."""

    seconds: float
    URGENT: ClassVar[bool] = True
    SUMMED: ClassVar[tuple[str, ...]] = ("seconds",)


class StoreUnavailable(Event, frozen=True):
    """The table service did not answer this process."""

    seconds: float  # since the last answer
    URGENT: ClassVar[bool] = True
    LATEST: ClassVar[tuple[str, ...]] = ("seconds",)


class StoreAvailable(Event, frozen=True):
    """The table service answers again after `seconds`."""

    seconds: float
    URGENT: ClassVar[bool] = True
    SUMMED: ClassVar[tuple[str, ...]] = ("seconds",)


class WorkerLost(Event, frozen=True):
    """The lease and the stop grace of a worker have ended; `tasks` were on it."""

    worker: str
    zone: str
    rack: str
    partition: int
    tasks: int
    URGENT: ClassVar[bool] = True
    SUMMED: ClassVar[tuple[str, ...]] = ("tasks",)


class WorkerAttached(Event, frozen=True):
    """A worker attached again: `lost` before, or `restarted`."""

    worker: str
    zone: str
    rack: str
    partition: int
    why: str


class EpochRefused(Event, frozen=True):
    """A worker refused this process, since it knows a higher epoch."""

    worker: str
    partition: int
    epoch: int
    known: int


class WorkerQuarantined(Event, frozen=True):
    """A worker gets no tasks, since tasks of several jobs failed there at once."""

    worker: str


class WorkerProbed(Event, frozen=True):
    """A quarantined worker got one task as a trial."""

    worker: str


class WorkerReleased(Event, frozen=True):
    """A quarantined worker ran its trial well and is used again."""

    worker: str


class WorkerAvoided(Event, frozen=True):
    """A job stays away from a worker on which its tasks fail, if others can run it."""

    job: str
    worker: str
    seconds: float
    LATEST: ClassVar[tuple[str, ...]] = ("seconds",)


class RackAvoided(Event, frozen=True):
    """A job stays away from a rack, since it fails on several of its workers."""

    job: str
    rack: str


class WorkersMoved(Event, frozen=True):
    """Workers went to another partition."""

    workers: tuple[str, ...]
    partition: int
    receiver: int


class TasksStopped(Event, frozen=True):
    """Running tasks of a job were stopped; `mode` is `checkpoint` or `kill`.

    `for_job` is the job that got the room.
    """

    job: str
    worker: str
    zone: str
    cause: StopCause
    mode: str
    for_job: str


class TasksThrottled(Event, frozen=True):
    """Tasks of a job got a limit on their processors, being above their size."""

    job: str
    worker: str
    fraction: float
    LATEST: ClassVar[tuple[str, ...]] = ("fraction",)


class ThrottlesLifted(Event, frozen=True):
    """Tasks of a job may use all the processors they want again."""

    job: str
    worker: str


class GangRequeued(Event, frozen=True):
    """The members of a gang were stopped, to be queued together again."""

    job: str
    members: int  # that were running
    reason: str
    LATEST: ClassVar[tuple[str, ...]] = ("members", "reason")


class ZoneTakenOut(Event, frozen=True):
    """A zone went out of service with so many workers and tasks of a partition."""

    zone: str
    partition: int
    workers: int
    tasks: int
    LATEST: ClassVar[tuple[str, ...]] = ("workers", "tasks")


class ZoneReturned(Event, frozen=True):
    """A zone is in service again; so many tasks were stopped to leave it."""

    zone: str
    partition: int
    tasks_left: int
    SUMMED: ClassVar[tuple[str, ...]] = ("tasks_left",)


class VersionInForce(Event, frozen=True):
    """A document (`config`, `keys` or `zones`) came into force in this process."""

    document: str
    version: int
    LATEST: ClassVar[tuple[str, ...]] = ("version",)


class RequestsRefused(Event, frozen=True):
    """Requests to a service were refused as overload."""

    service: str
    job_class: str


KINDS: tuple[type[Event], ...] = tuple(Event.__subclasses__())


@functools.cache
def _key_fields(kind: type[Event]) -> tuple[str, ...]:
    folded = kind.SUMMED + kind.LATEST
    return tuple(name for name in kind.__struct_fields__ if name not in folded)


def fold_key(event: Event) -> tuple[object, ...]:
    """Return what two events have in common if they can be folded."""
    kind = type(event)
    return kind, *(getattr(event, name) for name in _key_fields(kind))


def fold(earlier: Event, later: Event) -> Event:
    """Return one event for two with the same key."""
    changes = {name: getattr(later, name) for name in later.LATEST}
    for name in later.SUMMED:
        changes[name] = getattr(earlier, name) + getattr(later, name)
    return msgspec.structs.replace(later, **changes) if changes else later


def without_subjects(event: Event) -> Event:
    """Return an event that stands for all subjects of its kind."""
    changes: dict[str, object] = {}
    for name in event.__struct_fields__:
        if name in SUBJECTS and name not in event.SUMMED + event.LATEST:
            value = getattr(event, name)
            if isinstance(value, str):
                changes[name] = ANY
            elif isinstance(value, tuple):
                changes[name] = ()
    return msgspec.structs.replace(event, **changes)
