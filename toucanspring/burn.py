"""Error budgets: how fast services and teams use up the failures they may have.

A budget is the fraction of requests that may be bad under the service's objective.
A burn rate of 1 uses it up exactly within the budget period; a fast burn is worth
waking someone, a slow burn a ticket.
"""

from __future__ import annotations

import collections
import dataclasses

BUCKET_S = 60
BUDGET_PERIOD_S = 3 * 86400
# Each alert needs its rate over a long and a short window: the long one proves that
# much budget is gone, the short one that it still goes on.
FAST_WINDOWS_S = (3600, 300)
FAST_RATE = 14.4  # uses a third of the budget of 3 days in 100 minutes
SLOW_WINDOWS_S = (6 * 3600, 1800)
SLOW_RATE = 6.0
WINDOWS_S = (300, 1800, 3600, 6 * 3600, BUDGET_PERIOD_S)

Key = tuple[str, str]  # service, team


@dataclasses.dataclass(slots=True)
class Bucket:
    """Count the requests of one minute."""

    start: int  # in units of `BUCKET_S`
    good: int = 0
    bad: int = 0


class Recorder:
    """Count good and bad requests of this process; times are monotonic seconds."""

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

    def export(self, now: float) -> list[list[object]]:
        """Return `[service, team, age in buckets, good, bad]` of all buckets."""
        current = int(now // BUCKET_S)
        oldest = current - BUDGET_PERIOD_S // BUCKET_S
        return [
            [service, team, current - bucket.start, bucket.good, bucket.bad]
            for (service, team), buckets in self._buckets.items()
            for bucket in buckets
            if bucket.start > oldest
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Count the requests of a window; `rate` is the burn rate."""

    seconds: int
    good: int
    bad: int
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """State the use of one budget; `left` is the unused fraction, below 0 if overspent.

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
    """Return the rate at which a budget is used; the objective is a percentage."""
    total = good + bad
    return 0.0 if not total else bad / total / (1 - objective / 100)


def evaluate(
    exports: list[list[list[object]]], objectives: dict[str, float]
) -> list[Budget]:
    """Return the budgets of services and teams from the exports of all processes."""
    counts: dict[Key, dict[int, list[int]]] = {}
    for export in exports:
        for service, team, age, good, bad in export:
            if service not in objectives:
                continue
            for key in ((service, ""), (service, team)):
                bucket = counts.setdefault(key, {}).setdefault(age, [0, 0])
                bucket[0] += good
                bucket[1] += bad
    return [
        _budget(key, buckets, objectives[key[0]])
        for key, buckets in sorted(counts.items())
    ]


def _budget(key: Key, buckets: dict[int, list[int]], objective: float) -> Budget:
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


def _window(buckets: dict[int, list[int]], seconds: int, objective: float) -> Window:
    recent = [count for age, count in buckets.items() if age * BUCKET_S < seconds]
    good = sum(count[0] for count in recent)
    bad = sum(count[1] for count in recent)
    return Window(seconds, good, bad, burn_rate(good, bad, objective))


def _history(buckets: dict[int, list[int]]) -> list[float]:
    hours: dict[int, list[int]] = {}
    for age, (good, bad) in buckets.items():
        hour = hours.setdefault(age * BUCKET_S // 3600, [0, 0])
        hour[0] += good
        hour[1] += bad
    if not hours:
        return []
    return [
        hours[age][1] / max(1, sum(hours[age])) if age in hours else 0.0
        for age in range(max(hours), -1, -1)
    ]
