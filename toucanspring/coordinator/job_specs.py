"""Specifications of jobs and their dependent steps, as submitted by callers."""

from __future__ import annotations

import msgspec

from toucanspring import resources


class Step(msgspec.Struct, frozen=True, array_like=True, kw_only=True, gc=False):
    """A set of identical tasks that may start once the steps in `after` are done.

    `estimate_ms` is the caller's estimate of the run time of one task.
    `max_per_worker` 0 means no limit. A task of a long-running step is restarted
    however it ends.
    """

    count: int
    demand: resources.Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    checkpointing: bool = False
    long_running: bool = False
    uses_idle_cpus: bool = False  # CPUs are not counted against the worker's capacity

    def occupied(self) -> resources.Resources:
        """Return the worker capacity that one task occupies."""
        if self.uses_idle_cpus:
            return resources.Resources(0, self.demand.memory, self.demand.accelerators)
        return self.demand


class QueueSettings(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What decides how the jobs of a queue run; see `catalogue.Queue`.

    `approval` holds the seconds of `catalogue.Approval`, if the queue has one.
    """

    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    approval: tuple[float, float, float] | None = None


class Job(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A job as submitted; the payload is opaque and passed on to the tasks.

    With `repeats` above 0 the steps run that many times, first at `first_at_ms`
    (Unix milliseconds), then every `interval_ms`. `queue_settings` are those at its
    acceptance, which hold once the queue is in no configuration any more.
    """

    id: str
    queue: str
    organisation: str
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0
    accepted_at_ms: int = 0
    queue_settings: QueueSettings | None = None


def is_same(one: Job, other: Job) -> bool:
    """Return whether two submissions under one ID are of the same job."""
    return (one.organisation, one.queue, one.payload, one.steps) == (
        other.organisation,
        other.queue,
        other.payload,
        other.steps,
    )


class TaskId(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Identifier of one task in one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int
