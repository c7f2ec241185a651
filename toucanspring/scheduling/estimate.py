"""Estimate the demand and run time of tasks from finished ones."""

from __future__ import annotations

import collections
import math

from toucanspring import job, resources
from toucanspring.policy import run_times

MAX_NAMES = 20_000  # names kept; evicts the least recently observed
MAX_SAMPLES = 32  # latest tasks kept per name
MIN_SAMPLES = 5  # with fewer, observations can only raise an estimate
SIZE_QUANTILE = 0.95
HEADROOM = 1.15  # factor applied to the observed quantile
# Limits an estimate with fewer than MIN_SAMPLES observations, as a multiple of the
# declared size, which is often inaccurate.
MAX_OF_DECLARED = 2.0
# Limits all learned sizes, as a multiple of the declared size. A task that uses all of
# its allocation reports that as its usage, so the headroom would otherwise raise each
# following estimate without bound.
MAX_LEARNED_OF_DECLARED = 4.0


class Samples:
    """Latest observations of one job name of a team."""

    __slots__ = ("cached_quantiles", "cpus", "memory")

    def __init__(self) -> None:
        self.cpus: collections.deque[int] = collections.deque(maxlen=MAX_SAMPLES)
        self.memory: collections.deque[int] = collections.deque(maxlen=MAX_SAMPLES)
        self.cached_quantiles: tuple[int, int] | None = None

    def quantiles(self) -> tuple[int, int]:
        """Return the high quantiles of CPU and memory."""
        if self.cached_quantiles is None:
            self.cached_quantiles = (
                run_times.quantile(self.cpus, SIZE_QUANTILE),
                run_times.quantile(self.memory, SIZE_QUANTILE),
            )
        return self.cached_quantiles


class Estimator:
    """Learn demands and run times by team and job name."""

    def __init__(self) -> None:
        self._samples: collections.OrderedDict[tuple[str, str], Samples] = (
            collections.OrderedDict()
        )
        # Ratios to 1 s: most jobs leave the declared time at its default.
        self._run_times = run_times.RunTimes()

    def observe(
        self,
        name: str,
        team: str,
        declared: resources.Resources,
        usage: resources.Resources,
        run_seconds: float,
    ) -> None:
        """Record the peak usage and the run time of one finished task."""
        samples = self._samples_of(name, team)
        _add_size(samples, declared, usage)
        self._run_times.observe((team, name), 1.0, run_seconds)
        samples.cached_quantiles = None

    def _samples_of(self, name: str, team: str) -> Samples:
        key = (team, name)
        samples = self._samples.get(key)
        if samples is None:
            samples = self._samples[key] = Samples()
            if len(self._samples) > MAX_NAMES:
                self._samples.popitem(last=False)
        self._samples.move_to_end(key)
        return samples

    def observe_size(
        self,
        name: str,
        team: str,
        declared: resources.Resources,
        usage: resources.Resources,
    ) -> None:
        """Record the usage of a running task."""
        samples = self._samples_of(name, team)
        _add_size(samples, declared, usage)
        samples.cached_quantiles = None

    def demand(self, spec: job.JobSpec) -> resources.Resources:
        """Return the resources to allocate to one task.

        Accelerators are allocated whole, so their declared number is kept.
        """
        declared = spec.demand
        samples = self._samples.get((spec.team, spec.name))
        if samples is None or not samples.cpus:
            return declared
        cpus, memory = samples.quantiles()
        cpus = _cap_learned(declared.cpus, math.ceil(cpus * HEADROOM))
        memory = _cap_learned(declared.memory, math.ceil(memory * HEADROOM))
        if len(samples.cpus) < MIN_SAMPLES:
            cpus = _raise_declared(declared.cpus, cpus)
            memory = _raise_declared(declared.memory, memory)
        return resources.Resources(cpus, memory, declared.accelerators)

    def run_seconds(self, spec: job.JobSpec) -> float:
        """Return a high quantile of the run times of tasks with this name."""
        found = self._run_times.find((spec.team, spec.name))
        if found is None:
            return spec.run_seconds
        if found.count < run_times.MIN_SAMPLES:
            return max(*found.latest, spec.run_seconds)
        return found.quantiles()[1]

    def latest_start(self, spec: job.JobSpec, accepted_at: float) -> float:
        """Return the latest start that meets the deadline, or inf without one."""
        if spec.deadline_seconds is None:
            return math.inf
        return accepted_at + spec.deadline_seconds - self.run_seconds(spec)


def _add_size(
    samples: Samples, declared: resources.Resources, usage: resources.Resources
) -> None:
    # Workers that do not measure usage report zero.
    if usage.cpus or usage.memory:
        samples.cpus.append(usage.cpus or declared.cpus)
        samples.memory.append(usage.memory or declared.memory)


def _raise_declared(declared: int, observed: int) -> int:
    """Raise a declared size to the observed one, up to the limit."""
    return max(declared, min(observed, int(declared * MAX_OF_DECLARED)))


def _cap_learned(declared: int, learned: int) -> int:
    """Limit a learned size to a multiple of the declared one."""
    return min(learned, int(declared * MAX_LEARNED_OF_DECLARED))
