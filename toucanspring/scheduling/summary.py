"""Totals of one partition, for reports on the whole cell."""

from __future__ import annotations

import msgspec

from toucanspring import resources
from toucanspring.scheduling import lifecycle


class Waiting(msgspec.Struct, array_like=True):
    """Number of waiting tasks of a team and class, and the longest wait so far."""

    tasks: int = 0
    oldest_s: float = 0.0


class Summary(msgspec.Struct):
    """Capacity, usage by team, and waiting tasks by team and job class."""

    capacity: resources.Resources = resources.ZERO
    use: dict[str, resources.Resources] = {}
    waiting: dict[str, dict[str, Waiting]] = {}

    def add(self, other: Summary) -> None:
        """Add the totals of another partition."""
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
    """Return the totals of a partition in time linear in its waiting jobs."""
    found = Summary(capacity=core.index.total())
    for team in core.teams:
        usage = core.shares.current_usage(team)
        if usage != resources.ZERO:
            found.use[team] = usage
    for team in core.queue.teams():
        classes = found.waiting.setdefault(team, {})
        for group in core.queue.next_groups(team):
            entry = classes.setdefault(str(group.spec.job_class), Waiting())
            entry.tasks += len(group)
            entry.oldest_s = max(entry.oldest_s, now - group.added_at)
    return found
