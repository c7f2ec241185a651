"""Queue of waiting tasks, grouped by job and ordered by class and age."""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Iterable, Iterator

from toucanspring import job

# Added to the arrival time of a group to order classes without starving any: a
# deferrable job is served before normal jobs that arrive more than 55 minutes later.
CLASS_DELAYS_S = {
    job.JobClass.CHECK: -600.0,
    job.JobClass.URGENT: 0.0,
    job.JobClass.DEADLINE: 120.0,
    job.JobClass.NORMAL: 300.0,
    job.JobClass.DEFERRABLE: 3600.0,
}


class Group:
    """Waiting tasks of one job."""

    __slots__ = ("added_at", "indices", "key", "latest_start", "spec")

    def __init__(
        self, spec: job.JobSpec, added_at: float, latest_start: float, number: int
    ) -> None:
        self.spec = spec
        self.added_at = added_at
        self.latest_start = latest_start
        self.indices: collections.deque[int] = collections.deque()
        by_deadline = spec.job_class == job.JobClass.DEADLINE
        self.key = (latest_start if by_deadline else added_at, number)

    def __len__(self) -> int:
        return len(self.indices)

    @property
    def order_time(self) -> float:
        """Return the key that orders groups of different classes, in seconds."""
        job_class = self.spec.job_class
        order_time = self.added_at + CLASS_DELAYS_S[job_class]
        if job_class == job.JobClass.DEADLINE:
            floor = self.added_at + CLASS_DELAYS_S[job.JobClass.URGENT]
            order_time = max(floor, min(order_time, self.latest_start))
        return order_time


class WaitingQueue:
    """Waiting groups of all teams, in the order of service within each team."""

    def __init__(self) -> None:
        self._groups: dict[str, Group] = {}
        self._teams: dict[str, dict[job.JobClass, list[tuple[tuple, Group]]]] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._groups)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._groups

    def add(
        self,
        spec: job.JobSpec,
        indices: Iterable[int],
        now: float,
        latest_start: float | None = None,
    ) -> None:
        """Add tasks of a job.

        By default `latest_start` is computed from the declared run time.
        """
        group = self._groups.get(spec.id)
        if group is None:
            indices = list(indices)
            if not indices:
                return
            group = self._add_group(spec, now, latest_start)
        group.indices.extend(indices)

    def requeue(
        self,
        spec: job.JobSpec,
        index: int,
        now: float,
        accepted_at: float | None = None,
        latest_start: float | None = None,
    ) -> None:
        """Put a task back at the front of its group, which keeps its age."""
        group = self._groups.get(spec.id)
        if group is None:
            since = now if accepted_at is None else accepted_at
            group = self._add_group(spec, since, latest_start)
        group.indices.appendleft(index)

    def remove(self, job_id: str) -> list[int]:
        """Remove a job and return the indices of its waiting tasks."""
        group = self._groups.get(job_id)
        if group is None:
            return []
        self._remove_group(group)
        return list(group.indices)

    def take(self, job_id: str, count: int) -> list[int]:
        """Remove up to `count` tasks of a job and return their indices."""
        group = self._groups.get(job_id)
        if group is None:
            return []
        taken = [group.indices.popleft() for _ in range(min(count, len(group)))]
        if not group.indices:
            self._remove_group(group)
        return taken

    def find(self, job_id: str) -> Group | None:
        """Return the group of a job, or None if it is not queued."""
        return self._groups.get(job_id)

    def next_groups(self, team: str, now: float | None = None) -> Iterator[Group]:
        """Iterate over the groups of a team in the order of service.

        The queue may change during the iteration. If `now` is given, groups that can
        no longer meet their deadline come after the other deadline groups.
        """
        lists = [
            self._in_order(job_class, entries, now)
            for job_class, entries in self._teams.get(team, {}).items()
        ]
        next_entries = [
            (groups[0].order_time, groups[0].key[1], groups) for groups in lists
        ]
        positions = {id(groups): 0 for groups in lists}
        while next_entries:
            next_entries.sort(key=lambda entry: entry[:2])
            _, _, groups = next_entries[0]
            position = positions[id(groups)]
            group = groups[position]
            positions[id(groups)] = position = position + 1
            if position < len(groups):
                following = groups[position]
                next_entries[0] = (following.order_time, following.key[1], groups)
            else:
                del next_entries[0]
            if group.indices and self._groups.get(group.spec.id) is group:
                yield group

    def teams(self) -> list[str]:
        """Return the teams that have waiting tasks."""
        return list(self._teams)

    def oldest_wait(self, now: float) -> float:
        """Return the longest time that any group has waited, in seconds."""
        oldest = min((group.added_at for group in self._groups.values()), default=now)
        return max(0.0, now - oldest)

    def _add_group(
        self, spec: job.JobSpec, now: float, latest_start: float | None
    ) -> Group:
        if latest_start is None:
            latest_start = math.inf
            if spec.deadline_seconds is not None:
                latest_start = now + spec.deadline_seconds - spec.run_seconds
        self._number += 1
        group = Group(spec, now, latest_start, self._number)
        self._groups[spec.id] = group
        classes = self._teams.setdefault(spec.team, {})
        entries = classes.setdefault(spec.job_class, [])
        bisect.insort(entries, (group.key, group), key=lambda entry: entry[0])
        return group

    def _remove_group(self, group: Group) -> None:
        spec = group.spec
        del self._groups[spec.id]
        classes = self._teams[spec.team]
        entries = classes[spec.job_class]
        position = bisect.bisect_left(entries, group.key, key=lambda entry: entry[0])
        del entries[position]
        if not entries:
            del classes[spec.job_class]
        if not classes:
            del self._teams[spec.team]

    @staticmethod
    def _in_order(
        job_class: job.JobClass, entries: list[tuple[tuple, Group]], now: float | None
    ) -> list[Group]:
        groups = [group for _, group in entries]
        if job_class == job.JobClass.DEADLINE and now is not None:
            groups.sort(key=lambda group: group.latest_start < now)
        return groups
