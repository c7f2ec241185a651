"""Messages to the task of a partition."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import gevent.event

from toucanspring import errors, job, resources
from toucanspring.scheduling import effects, scheduler


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Accept jobs; the result is a list of job IDs and failures, once durable.

    `answers` has the results for jobs that must not be accepted here, since a former
    partition may hold them. Other new jobs may be accepted while the row `layout` has
    the given version.
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
class SchedulerQuery:
    """Run a function of the scheduler that has no effects, in the partition's task."""

    function: Callable[[scheduler.Scheduler], object]
    result: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Durable:
    """Result of an append; `failure` is None if the record is durable."""

    action: Callable[[errors.Failure | None], list[effects.Effect]]
    failure: errors.Failure | None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerMoved:
    """Notice that a worker without tasks was moved to another partition."""

    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class TeamsChanged:
    """Notice that teams or availability zones have changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllowancesChanged:
    """Allowances: the parts of the teams' ceilings that the partition holds.

    `limits` has an entry for each team of whose ceiling other partitions want more.
    """

    held: dict[str, resources.Resources]
    limits: dict[str, resources.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class DependencyFinished:
    """Outcome of a job of another partition that jobs here depend on."""

    job_id: str
    outcome: job.Outcome
