"""Messages to the task that owns a partition."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import gevent.event

from toucanspring import errors, job, resources
from toucanspring.scheduling import effects, scheduler


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Accept jobs; the result is a list of job IDs and failures, once durable.

    `answers` are those of the owners of former partitions; other new jobs may be
    accepted while the row `layout` has the given version.
    """

    specs: list[job.JobSpec]
    result: gevent.event.AsyncResult
    layout_version: int | None = None
    answers: dict[str, str | errors.Failure] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel jobs; the result maps each job ID to `cancelled` or a failure."""

    job_ids: list[str]
    result: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Run a function of the scheduler without effects in the partition's task."""

    function: Callable[[scheduler.Scheduler], object]
    result: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Durable:
    """Say that an append has ended; `failure` is None when it is durable."""

    action: Callable[[errors.Failure | None], list[effects.Effect]]
    failure: errors.Failure | None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerMoved:
    """Say that a worker without tasks belongs to another partition now."""

    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class TeamsChanged:
    """Say that teams or availability zones have changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllowancesChanged:
    """Deliver the parts of the ceilings that the partition holds.

    `limits` has an entry for each team of whose ceiling other partitions want more.
    """

    held: dict[str, resources.Resources]
    limits: dict[str, resources.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class DependencyFinished:
    """Deliver the outcome of a job of another partition that jobs here wait for."""

    job_id: str
    outcome: job.Outcome
