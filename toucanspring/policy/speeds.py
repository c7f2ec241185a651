"""Relative speeds of workers, learned from the rates of tasks of the same step.

A worker has attributes (its availability zone and labels). Which of them explains the
speeds is not known beforehand: for each worker the attribute counts whose workers are
most alike. The worker's own samples count as far as they differ significantly.
"""

from __future__ import annotations

import bisect
import collections
import math
import statistics

MAX_SAMPLES = 32  # latest ones kept for a worker
MIN_SAMPLES = 5  # with fewer, a worker has the speed of its group
MIN_GROUP_WORKERS = 3
# Bounds a sample; tails take seven times as long.
MAX_RATIO = 16.0
# Deviations below this many standard errors count as noise.
SIGNIFICANCE = 3.0
# Classes of workers differ by at least this factor. A smaller difference is within the
# spread of the tasks of one step (0.15), so that callers do not notice it.
MIN_CLASS_RATIO = 1.15
# Of the variance, by the division into two classes. The best division of normally
# distributed speeds explains 0.64 of it.
MIN_EXPLAINED = 0.75
# Each class has at least this share of the workers: single slow workers are paused.
MIN_CLASS_SHARE = 0.1
MAX_CLASSES = 3
# Classes count once so many updates in turn have found them, and until as many have
# not: among few equal workers a single update found some by chance.
CONFIRMATIONS = 5
MIN_UPDATE_SAMPLES = 32  # samples between two updates of the speeds
# Standard error of a median, and standard deviation by median absolute deviation, of
# normally distributed values.
MEDIAN_ERROR = 1.25
DEVIATION_BY_MAD = 1.48
MIN_DEVIATION = 0.05


class Speeds:
    """Learned speeds; 1.0 is the mean of all workers."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._kinds: dict[str, tuple[str, ...]] = {}
        self._speeds: dict[str, float] = {}
        self._group_speeds: dict[str, tuple[float, float]] = {}  # with its error
        self._bounds: list[float] = []  # between classes, ascending
        self._new_samples = 0
        self._contrary_updates = 0

    @property
    def differ(self) -> bool:
        """Return whether there are several classes of workers."""
        return bool(self._bounds)

    def summarise(self) -> list[tuple[int, float]]:
        """Return the workers and the mean speed of each class, the slowest first."""
        classes: list[list[float]] = [[] for _ in range(len(self._bounds) + 1)]
        for speed in self._speeds.values():
            classes[bisect.bisect(self._bounds, speed)].append(speed)
        return [(len(each), statistics.fmean(each or [1.0])) for each in classes]

    def observe(self, worker: str, kind: tuple[str, ...], speed: float) -> None:
        """Record a sample of a worker's speed; `kind` is its attributes.

        The sample is relative to the other workers of a step at their learned speeds.
        """
        if speed <= 0:
            return
        samples = self._samples.get(worker)
        if samples is None:
            samples = self._samples[worker] = collections.deque(maxlen=MAX_SAMPLES)
        samples.append(math.log(min(MAX_RATIO, max(1 / MAX_RATIO, speed))))
        self._kinds[worker] = kind
        self._new_samples += 1
        if self._new_samples >= max(MIN_UPDATE_SAMPLES, len(self._samples)):
            self._update()

    def speed(self, worker: str, kind: tuple[str, ...]) -> float:
        """Return the speed of a worker, that of its group or else 1.0."""
        found = self._speeds.get(worker)
        if found is None:
            groups = [self._group_speeds[e] for e in kind if e in self._group_speeds]
            found = min(groups, key=lambda each: each[1])[0] if groups else 1.0
        return found

    def rank(self, worker: str, kind: tuple[str, ...]) -> int:
        """Return the class of a worker, 0 for the slowest."""
        return bisect.bisect(self._bounds, self.speed(worker, kind))

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone or has restarted."""
        self._samples.pop(worker, None)
        self._kinds.pop(worker, None)
        self._speeds.pop(worker, None)

    def _update(self) -> None:
        """Estimate all speeds anew; its cost is shared by the samples in between."""
        self._new_samples = 0
        own = {
            worker: _estimate(samples)
            for worker, samples in self._samples.items()
            if len(samples) >= MIN_SAMPLES
        }
        if not own:
            return
        level = statistics.median(value for value, _ in own.values())
        groups = self._estimate_groups(own, level)
        found = {}
        for worker, (value, error) in own.items():
            near = [groups[each] for each in self._kinds[worker] if each in groups]
            base = min(near, key=lambda each: each[1])[0] if near else level
            found[worker] = base + _shrink(value - base, error)
        scale = statistics.fmean(math.exp(each) for each in found.values())
        self._speeds = {name: math.exp(each) / scale for name, each in found.items()}
        self._group_speeds = {
            name: (math.exp(value) / scale, error)
            for name, (value, error) in groups.items()
        }
        self._set_bounds(_find_bounds(sorted(self._speeds.values())))

    def _set_bounds(self, found: list[float]) -> None:
        """Set the bounds, a new number of classes only once it is confirmed."""
        if len(found) != len(self._bounds):
            self._contrary_updates += 1
            if self._contrary_updates < CONFIRMATIONS:
                return
        self._bounds = found
        self._contrary_updates = 0

    def _estimate_groups(
        self, own: dict[str, tuple[float, float]], level: float
    ) -> dict[str, tuple[float, float]]:
        """Return by attribute the speed of its workers and the error for one of them.

        Workers that the attribute does not tell apart raise the error.
        """
        members: dict[str, list[tuple[float, float]]] = {}
        for worker, estimate in own.items():
            for attribute in self._kinds[worker]:
                members.setdefault(attribute, []).append(estimate)
        groups = {}
        for attribute, estimates in members.items():
            count = len(estimates)
            if count < MIN_GROUP_WORKERS:
                continue
            values = [value for value, _ in estimates]
            spread = max(_find_deviation(values), MIN_DEVIATION)
            error = MEDIAN_ERROR * spread / math.sqrt(count)
            value = level + _shrink(statistics.median(values) - level, error)
            groups[attribute] = value, math.hypot(spread, error)
        return groups


def _estimate(samples: collections.deque[float]) -> tuple[float, float]:
    """Return the median and its standard error."""
    value = statistics.median(samples)
    spread = DEVIATION_BY_MAD * statistics.median(abs(each - value) for each in samples)
    return value, MEDIAN_ERROR * max(spread, MIN_DEVIATION) / math.sqrt(len(samples))


def _find_deviation(values: list[float]) -> float:
    """Return the standard deviation; `statistics.pstdev` takes ten times as long."""
    mean = statistics.fmean(values)
    return math.sqrt(statistics.fmean((each - mean) ** 2 for each in values))


def _shrink(deviation: float, error: float) -> float:
    """Return a deviation with less weight the less significant it is."""
    noise = SIGNIFICANCE * error
    if abs(deviation) <= noise:
        return 0.0
    return deviation * (1 - (noise / deviation) ** 2)


def _find_bounds(speeds: list[float]) -> list[float]:
    """Return the speeds between classes; `speeds` ascend."""
    least = max(MIN_GROUP_WORKERS, math.ceil(MIN_CLASS_SHARE * len(speeds)))
    bounds: list[float] = []
    parts = [speeds]
    while parts and len(bounds) < MAX_CLASSES - 1:
        part = parts.pop(0)
        number = _find_split(part, least)
        if number:
            bounds.append(math.sqrt(part[number] * part[number - 1]))
            parts += [part[:number], part[number:]]
    return sorted(bounds)


def _find_split(speeds: list[float], least: int) -> int:
    """Return where to divide ascending speeds into two classes, or 0.

    The division with the least variance within its parts counts if it explains most of
    the variance. A gap is no sign: workers with few samples lie between the classes.
    """
    logs = [math.log(each) for each in speeds]
    total, count = sum(logs), len(logs)
    squares = sum(each * each for each in logs) - total * total / max(1, count)
    best, best_between, left = 0, 0.0, 0.0
    for number in range(1, count):
        left += logs[number - 1]
        difference = (total - left) / (count - number) - left / number
        between = difference * difference * number * (count - number) / count
        if (
            least <= number <= count - least
            and between > best_between
            and difference >= math.log(MIN_CLASS_RATIO)
        ):
            best, best_between = number, between
    return best if best_between >= MIN_EXPLAINED * squares else 0
