"""Jobs of dependent steps, as accepted from callers."""

from __future__ import annotations

import msgspec

from toucanspring import resources


class Step(msgspec.Struct, frozen=True, array_like=True, kw_only=True, gc=False):
    """Describe equal tasks that may start once the steps in `after` are done.

    `estimate_ms` is the caller's guess for one task. `max_per_worker` 0 means no limit.
    A long-running step has no end of its own and restarts whatever ends it.
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
    uses_idle_cpus: bool = False  # its cpus are not counted against a worker

    def occupied(self) -> resources.Resources:
        """Return what one task takes of a worker's capacity."""
        if self.uses_idle_cpus:
            return resources.Resources(0, self.demand.memory, self.demand.accelerators)
        return self.demand


class Job(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Hold what a caller submitted; the payload is passed to the tasks unread.

    With `repeats` above 0 the steps run that many times, the first at `first_at_ms`
    (Unix milliseconds) and each further one `interval_ms` later.
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


class TaskId(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Name one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int
