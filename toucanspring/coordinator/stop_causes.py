"""Why runs are stopped before their end, and what that costs."""

from __future__ import annotations

import collections
import dataclasses
import enum


class StopCause(enum.Enum):
    """Reason of a stop; the value is its name in logs and metrics."""

    JOB_ENDED = "job_ended"  # cancelled by its caller, or failed
    GANG_BROKEN = "gang_broken"  # another member of the gang does not run
    IN_DOUBT = "in_doubt"  # it is not known whether the start took effect
    GANG_PREEMPTION = "gang_preemption"  # a more urgent gang needs the worker
    CEILING_PREEMPTION = "ceiling_preemption"  # a more urgent step of the organisation
    SLOW_WORKER = "slow_worker"
    STUCK = "stuck"  # no progress
    TAIL = "tail"  # takes far longer than its siblings, and moves to a fast worker
    UNKNOWN_RUN = "unknown_run"  # the worker holds a run that is not allocated to it


@dataclasses.dataclass(slots=True)
class StopCounts:
    """Runs that ended since they were stopped, and the work lost, by cause."""

    runs: collections.Counter[StopCause] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Core-seconds that no checkpoint holds; an upper bound, as the age of the latest
    # checkpoint is not known.
    lost_core_s: collections.Counter[StopCause] = dataclasses.field(
        default_factory=collections.Counter
    )

    def record(self, cause: StopCause, core_s: float, saved: bool) -> None:
        """Count a run that has ended after `core_s` core-seconds of work."""
        self.runs[cause] += 1
        if not saved:
            self.lost_core_s[cause] += core_s

    def take(self) -> StopCounts:
        """Return the counts so far and start anew."""
        taken = StopCounts(self.runs, self.lost_core_s)
        self.runs, self.lost_core_s = collections.Counter(), collections.Counter()
        return taken
