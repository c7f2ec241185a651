"""Typed events for operators about the automatic actions of a process.

An event names its subjects: worker, rack, zone, job, partition, process or service.
Equal events of one minute are folded into one entry with a count; `SUMMED` names the
fields that are added up and `LATEST` those that keep the last value. Events that differ
in any other field are separate entries.
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
# Replaces the subjects of events that are folded to limit the number of entries.
ANY = "*"


def _to_tag(name: str) -> str:
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", name).lower()


class Event(msgspec.Struct, frozen=True, tag_field="kind", tag=_to_tag):
    """Base of all events."""

    SUMMED: ClassVar[tuple[str, ...]] = ()
    LATEST: ClassVar[tuple[str, ...]] = ()
    # Written soon, since the process may end.
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
    """Another process claimed a partition that this one still owned."""

    partition: int
    epoch: int
    URGENT: ClassVar[bool] = True


class OwnershipExtended(Event, frozen=True):
    """A majority promised not to claim, so ownership continues without the store."""

    partitions: int  # owned at that time
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
    """A periodic task of this process was late, so the process was suspended."""

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
    """The lease and the stop grace of a worker have expired; `tasks` were on it."""

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
    """A quarantined worker got one trial task."""

    worker: str


class WorkerReleased(Event, frozen=True):
    """A quarantined worker completed its trial task and is used again."""

    worker: str


class WorkerAvoided(Event, frozen=True):
    """A job avoids a worker on which its tasks fail, if others can run it."""

    job: str
    worker: str
    seconds: float
    LATEST: ClassVar[tuple[str, ...]] = ("seconds",)


class RackAvoided(Event, frozen=True):
    """A job avoids a rack, since its tasks fail on several of the rack's workers."""

    job: str
    rack: str


class WorkersMoved(Event, frozen=True):
    """Workers were assigned to another partition."""

    workers: tuple[str, ...]
    partition: int
    receiver: int


class TasksStopped(Event, frozen=True):
    """Running tasks of a job were stopped; `mode` is `checkpoint` or `kill`.

    `for_job` is the job that got the resources.
    """

    job: str
    worker: str
    zone: str
    cause: StopCause
    mode: str
    for_job: str


class TasksThrottled(Event, frozen=True):
    """Tasks of a job that use more CPU than they requested are limited."""

    job: str
    worker: str
    fraction: float
    LATEST: ClassVar[tuple[str, ...]] = ("fraction",)


class ThrottlesLifted(Event, frozen=True):
    """The CPU limits on tasks of a job are removed."""

    job: str
    worker: str


class GangRequeued(Event, frozen=True):
    """The members of a gang were stopped and queued together again."""

    job: str
    members: int  # that were running
    reason: str
    LATEST: ClassVar[tuple[str, ...]] = ("members", "reason")


class ZoneTakenOut(Event, frozen=True):
    """A zone went out of service with `workers` and `tasks` of a partition."""

    zone: str
    partition: int
    workers: int
    tasks: int
    LATEST: ClassVar[tuple[str, ...]] = ("workers", "tasks")


class ZoneReturned(Event, frozen=True):
    """A zone is in service again; `tasks_left` tasks were stopped to evacuate it."""

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
    """Requests to a service were rejected because of overload."""

    service: str
    job_class: str


KINDS: tuple[type[Event], ...] = tuple(Event.__subclasses__())


@functools.cache
def _key_fields(kind: type[Event]) -> tuple[str, ...]:
    folded = kind.SUMMED + kind.LATEST
    return tuple(name for name in kind.__struct_fields__ if name not in folded)


def fold_key(event: Event) -> tuple[object, ...]:
    """Return the key that events have in common if they can be folded."""
    kind = type(event)
    return kind, *(getattr(event, name) for name in _key_fields(kind))


def fold(earlier: Event, later: Event) -> Event:
    """Fold two events with the same key into one."""
    changes = {name: getattr(later, name) for name in later.LATEST}
    for name in later.SUMMED:
        changes[name] = getattr(earlier, name) + getattr(later, name)
    return msgspec.structs.replace(later, **changes) if changes else later


def without_subjects(event: Event) -> Event:
    """Return a copy of an event without its subjects."""
    changes: dict[str, object] = {}
    for name in event.__struct_fields__:
        if name in SUBJECTS and name not in event.SUMMED + event.LATEST:
            value = getattr(event, name)
            if isinstance(value, str):
                changes[name] = ANY
            elif isinstance(value, tuple):
                changes[name] = ()
    return msgspec.structs.replace(event, **changes)
