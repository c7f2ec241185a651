"""Run times learned as ratios of the real to the declared time, by name."""

from __future__ import annotations

import collections
import math
from collections.abc import Hashable, Iterable

MAX_NAMES = 20_000  # names kept; evicts the least recently observed
MAX_SAMPLES = 32  # latest ratios kept for a name
# With fewer ratios, the declared time counts for the missing ones.
MIN_SAMPLES = 5
TYPICAL_QUANTILE = 0.5
HIGH_QUANTILE = 0.9
# Weight of a ratio in the mean: 3 in 100 tasks take seven times as long, so that the
# mean of few ratios depends on whether a tail is among them.
MEAN_WEIGHT = 1 / 256
# Names in an export; queues are far fewer. About 200 bytes each.
MAX_EXPORTED = 100


class Ratios:
    """Latest ratios of one name; `mean` is of more of them."""

    __slots__ = ("_quantiles", "count", "latest", "mean")

    def __init__(self) -> None:
        self.latest: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self.mean = 0.0
        self.count = 0
        self._quantiles: tuple[float, float] | None = None

    def add(self, ratio: float) -> None:
        """Record a ratio."""
        self.count += 1
        self.mean += (ratio - self.mean) * max(1 / self.count, MEAN_WEIGHT)
        self.latest.append(ratio)
        self._quantiles = None

    def quantiles(self) -> tuple[float, float]:
        """Return the typical and the high ratio."""
        if self._quantiles is None:
            missing = MIN_SAMPLES - len(self.latest)
            known = [*self.latest, *[1.0] * missing]
            self._quantiles = (
                quantile(known, TYPICAL_QUANTILE),
                quantile(known, HIGH_QUANTILE),
            )
        return self._quantiles


class RunTimes:
    """Learned run times by name; all times are seconds at nominal speed."""

    def __init__(self) -> None:
        self._ratios: collections.OrderedDict[Hashable, Ratios] = (
            collections.OrderedDict()
        )

    def observe(self, name: Hashable, declared_s: float, run_s: float) -> None:
        """Record a run that ended successfully; ignored without a declared time."""
        if declared_s <= 0 or run_s < 0:
            return
        ratios = self._ratios.get(name)
        if ratios is None:
            ratios = self._ratios[name] = Ratios()
            if len(self._ratios) > MAX_NAMES:
                self._ratios.popitem(last=False)
        self._ratios.move_to_end(name)
        ratios.add(run_s / declared_s)

    def find(self, name: Hashable) -> Ratios | None:
        """Return the ratios of a name, or None if it was not observed."""
        return self._ratios.get(name)

    def typical_s(self, name: Hashable, declared_s: float) -> float:
        """Return the median; the declared time without observations."""
        found = self._ratios.get(name)
        return declared_s if found is None else declared_s * found.quantiles()[0]

    def high_s(self, name: Hashable, declared_s: float) -> float:
        """Return the 0.9 quantile; the declared time without observations."""
        found = self._ratios.get(name)
        return declared_s if found is None else declared_s * found.quantiles()[1]

    def mean_s(self, name: Hashable, declared_s: float) -> float:
        """Return the mean with tails; the declared time counts for missing ones."""
        found = self._ratios.get(name)
        if found is None:
            return declared_s
        missing = max(0, MIN_SAMPLES - found.count)
        total = found.mean * found.count + missing
        return declared_s * total / (found.count + missing)

    def export(self) -> dict:
        """Return the state of the latest names, of bounded size, for `restore`."""
        names = list(self._ratios)[-MAX_EXPORTED:]
        return {
            name: (self._ratios[name].mean, self._ratios[name].count,
                   [round(each, 3) for each in self._ratios[name].latest])
            for name in names
        }  # fmt: skip

    def restore(self, exported: dict) -> None:
        """Add exported names that have not been observed since."""
        for name, (mean, count, latest) in exported.items():
            if name in self._ratios:
                continue
            ratios = self._ratios[name] = Ratios()
            ratios.mean, ratios.count = mean, count
            ratios.latest.extend(latest)


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return the smallest value that at least `fraction` of values do not exceed.

    Without values the result is 0.
    """
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
