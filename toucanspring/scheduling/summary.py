"""Sums over one partition, for reports on the whole cell."""

from __future__ import annotations

import msgspec

from toucanspring import resources
from toucanspring.scheduling import lifecycle


class Waiting(msgspec.Struct, array_like=True):
    """Count the waiting tasks of one team and class; `oldest_s` is in seconds."""

    tasks: int = 0
    oldest_s: float = 0.0


class Summary(msgspec.Struct):
    """Hold the capacity, the use by team, and the waiting work by team and class."""

    capacity: resources.Resources = resources.ZERO
    use: dict[str, resources.Resources] = {}
    waiting: dict[str, dict[str, Waiting]] = {}

    def add(self, other: Summary) -> None:
        """Include the sums of another partition."""
        self.capacity += other.capacity
        for team, amount in other.use.items():
            self.use[team] = self.use.get(team, resources.ZERO) + amount
        for team, classes in other.waiting.items():
            joined = self.waiting.setdefault(team, {})
            for job_class, counted in classes.items():
                entry = joined.setdefault(job_class, Waiting())
                entry.tasks += counted.tasks
                entry.oldest_s = max(entry.oldest_s, counted.oldest_s)


def summarise(core: lifecycle.Lifecycle, now: float) -> Summary:
    """Return the sums of one partition; visits each waiting job once."""
    found = Summary(capacity=core.index.total())
    for team in core.teams:
        use = core.shares.use(team)
        if use != resources.ZERO:
            found.use[team] = use
    for team in core.queue.teams():
        classes = found.waiting.setdefault(team, {})
        for group in core.queue.next_groups(team):
            entry = classes.setdefault(str(group.spec.job_class), Waiting())
            entry.tasks += len(group)
            entry.oldest_s = max(entry.oldest_s, now - group.added_at)
    return found
