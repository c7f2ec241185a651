"""Error budgets: burn rates and alerts of services and teams.

A budget is the fraction of requests that may be bad under the service's objective.
A burn rate of 1 uses it up exactly within the budget period. A fast burn should page
someone, a slow burn should open a ticket.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable

import msgspec

BUCKET_S = 60
BUDGET_PERIOD_S = 3 * 86400
# An alert fires if its rate is reached over a long and a short window: the long one
# shows that much of the budget is used, the short one that the burn continues.
FAST_WINDOWS_S = (3600, 300)
FAST_RATE = 14.4  # uses a third of the budget of 3 days in 100 minutes
SLOW_WINDOWS_S = (6 * 3600, 1800)
SLOW_RATE = 6.0
WINDOWS_S = (300, 1800, 3600, 6 * 3600, BUDGET_PERIOD_S)

# Lengths of stored buckets and the age from which they are used, in minutes. Windows of
# up to an hour consist of single minutes. At the edge of longer windows a bucket counts
# by its middle, an error of 5 min in 6 h and of 30 min in 3 days.
BUCKET_SPANS = ((60, 370), (10, 65))
# The budget period and a day, so that a clock that is wrong by less than a day deletes
# nothing that a report needs.
RETENTION_MINUTES = BUDGET_PERIOD_S // 60 + 1440

Key = tuple[str, str]  # service, team
# Service, team, age in buckets, good, bad.
Sample = tuple[str, str, float, int, int]


@dataclasses.dataclass(slots=True)
class Bucket:
    """Requests of one minute."""

    start: int  # in units of `BUCKET_S`
    good: int = 0
    bad: int = 0


class Recorder:
    """Counter of good and bad requests by minute; times are seconds of `uptime`."""

    def __init__(self) -> None:
        self._buckets: dict[Key, collections.deque[Bucket]] = {}

    def record(self, service: str, team: str, good: bool, now: float) -> None:
        """Count one request."""
        buckets = self._buckets.setdefault(
            (service, team), collections.deque(maxlen=BUDGET_PERIOD_S // BUCKET_S)
        )
        start = int(now // BUCKET_S)
        if not buckets or buckets[-1].start != start:
            buckets.append(Bucket(start))
        if good:
            buckets[-1].good += 1
        else:
            buckets[-1].bad += 1

    def export(self, now: float) -> list[Sample]:
        """Return `(service, team, age in buckets, good, bad)` of all buckets."""
        current = int(now // BUCKET_S)
        oldest = current - BUDGET_PERIOD_S // BUCKET_S
        return [
            (service, team, current - bucket.start, bucket.good, bucket.bad)
            for (service, team), buckets in self._buckets.items()
            for bucket in buckets
            if bucket.start > oldest
        ]

    def take(self, now: float, include_open: bool = False) -> list[Sample]:
        """Remove and return the complete buckets, optionally with the current one."""
        current = int(now // BUCKET_S)
        taken: list[Sample] = []
        for (service, team), buckets in list(self._buckets.items()):
            while buckets and (include_open or buckets[0].start < current):
                bucket = buckets.popleft()
                age = current - bucket.start
                taken.append((service, team, age, bucket.good, bucket.bad))
            if not buckets:
                del self._buckets[service, team]
        return taken


class Series(msgspec.Struct, frozen=True, array_like=True):
    """Buckets `(start, span, good, bad)` of a service and team.

    `start` and `span` are in minutes; `start` counts from the Unix epoch.
    """

    service: str
    team: str
    buckets: list[tuple[int, int, int, int]]


class Counts:
    """Good and bad requests by service, team and minutes of a wall clock.

    Old buckets are merged into longer ones, so that the counts of three days stay
    small. `pause` is called after each service and team, so that other greenlets can
    run; the counts must not be changed during a pause.
    """

    def __init__(
        self,
        series: Iterable[Series] = (),
        pause: Callable[[], None] = lambda: None,
    ) -> None:
        self._buckets: dict[Key, dict[tuple[int, int], list[int]]] = {}
        self._pause = pause
        self.add(series)

    def __bool__(self) -> bool:
        return bool(self._buckets)

    def add(self, series: Iterable[Series]) -> None:
        """Add stored counts."""
        for each in series:
            for start, span, good, bad in each.buckets:
                self._add((each.service, each.team), start, span, good, bad)
            self._pause()

    def add_samples(self, samples: Iterable[Sample], minute: int) -> None:
        """Add samples of single minutes; their age is relative to `minute`."""
        for service, team, age, good, bad in samples:
            self._add((service, team), minute - int(age), 1, good, bad)

    def series(self) -> list[Series]:
        """Return the counts in their stored form."""
        found = []
        for key, buckets in sorted(self._buckets.items()):
            listed = [
                (*interval, *count) for interval, count in sorted(buckets.items())
            ]
            found.append(Series(*key, listed))
            self._pause()
        return found

    def merged(self, minute: int) -> Counts:
        """Return a copy with old buckets merged and expired ones dropped."""
        found = Counts(pause=self._pause)
        for key, buckets in self._buckets.items():
            for (start, span), (good, bad) in buckets.items():
                if abs(minute - start) < RETENTION_MINUTES:
                    found._add(key, *_merge(start, span, minute), good, bad)
            self._pause()
        return found

    def newest(self) -> int:
        """Return the start of the latest bucket, 0 without any."""
        return max(
            (start for buckets in self._buckets.values() for start, _ in buckets),
            default=0,
        )

    def requests(self) -> int:
        """Return the number of requests counted."""
        return sum(
            sum(count)
            for buckets in self._buckets.values()
            for count in buckets.values()
        )

    def _add(self, key: Key, start: int, span: int, good: int, bad: int) -> None:
        count = self._buckets.setdefault(key, {}).setdefault((start, span), [0, 0])
        count[0] += good
        count[1] += bad


def _merge(start: int, span: int, minute: int) -> tuple[int, int]:
    """Return start and span of the longest bucket for this one at its age."""
    for longer, age in BUCKET_SPANS:
        whole = start - start % longer
        if span < longer and minute - (whole + longer) >= age:
            return whole, longer
    return start, span


def samples(series: Iterable[Series], minute: int) -> list[Sample]:
    """Return stored counts as samples; a bucket has the age of its middle."""
    return [
        (each.service, each.team, minute - start - (span - 1) / 2, good, bad)
        for each in series
        for start, span, good, bad in each.buckets
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Requests within a window; `rate` is the burn rate."""

    seconds: int
    good: int
    bad: int
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Use of one budget; `left` is the unused fraction, negative if overspent.

    `alert` is `fast`, `slow` or empty. `team` is empty for the service as a whole.
    `history` is the fraction of bad requests by hour, the latest last.
    """

    service: str
    team: str
    objective: float
    windows: list[Window]
    left: float
    alert: str
    history: list[float]


def burn_rate(good: int, bad: int, objective: float) -> float:
    """Return the burn rate of a budget; the objective is a percentage."""
    total = good + bad
    return 0.0 if not total else bad / total / (1 - objective / 100)


def evaluate(
    exports: Iterable[Iterable[Sample]], objectives: dict[str, float]
) -> list[Budget]:
    """Return the budgets of services and teams from the exports of all processes."""
    counts: dict[Key, dict[float, list[int]]] = {}
    for export in exports:
        for service, team, age, good, bad in export:
            if service not in objectives or age * BUCKET_S >= BUDGET_PERIOD_S:
                continue
            # Negative if counted by a clock that is ahead of this one.
            age = max(age, 0)
            for key in ((service, ""), (service, team)):
                bucket = counts.setdefault(key, {}).setdefault(age, [0, 0])
                bucket[0] += good
                bucket[1] += bad
    return [
        _budget(key, buckets, objectives[key[0]])
        for key, buckets in sorted(counts.items())
    ]


def _budget(key: Key, buckets: dict[float, list[int]], objective: float) -> Budget:
    windows = {seconds: _window(buckets, seconds, objective) for seconds in WINDOWS_S}
    fast = all(windows[seconds].rate >= FAST_RATE for seconds in FAST_WINDOWS_S)
    slow = all(windows[seconds].rate >= SLOW_RATE for seconds in SLOW_WINDOWS_S)
    return Budget(
        service=key[0],
        team=key[1],
        objective=objective,
        windows=list(windows.values()),
        left=1 - windows[BUDGET_PERIOD_S].rate,
        alert="fast" if fast else "slow" if slow else "",
        history=_history(buckets),
    )


def _window(buckets: dict[float, list[int]], seconds: int, objective: float) -> Window:
    recent = [count for age, count in buckets.items() if age * BUCKET_S < seconds]
    good = sum(count[0] for count in recent)
    bad = sum(count[1] for count in recent)
    return Window(seconds, good, bad, burn_rate(good, bad, objective))


def _history(buckets: dict[float, list[int]]) -> list[float]:
    hours: dict[int, list[int]] = {}
    for age, (good, bad) in buckets.items():
        hour = hours.setdefault(int(age * BUCKET_S // 3600), [0, 0])
        hour[0] += good
        hour[1] += bad
    if not hours:
        return []
    return [
        hours[age][1] / max(1, sum(hours[age])) if age in hours else 0.0
        for age in range(max(hours), -1, -1)
    ]
