"""Compact tables of the tasks of a step and of the steps of a job.

Only what has begun or is next has an object: a submission of a few bytes may stand for
millions of tasks. What is done takes a bit.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from typing import Generic, TypeVar

from toucanspring.coordinator import index_set

Item = TypeVar("Item")
Key = tuple[int, int]  # occurrence and step number


class TaskTable(Sequence[Item], Generic[Item]):
    """The tasks of one step by index.

    A task gets its object by `make` when it is first asked for, by index or in an
    iteration. The object of a done task is made by `make_done` each time.
    """

    __slots__ = ("_count", "_make", "_make_done", "_known", "_done")

    def __init__(
        self,
        count: int,
        make: Callable[[int], Item],
        make_done: Callable[[int], Item],
        is_done: bool = False,
    ) -> None:
        self._count = count
        self._make = make
        self._make_done = make_done
        self._known: dict[int, Item] = {}
        self._done = index_set.IndexSet.below(count if is_done else 0)

    def __len__(self) -> int:
        return self._count

    def __getitem__(self, index: int | slice) -> Item | list[Item]:
        if isinstance(index, slice):
            return [self[each] for each in range(*index.indices(self._count))]
        if not -self._count <= index < self._count:
            raise IndexError(index)
        index %= self._count
        known = self._known.get(index)
        if known is not None:
            return known
        if index in self._done:
            return self._make_done(index)
        made = self._known[index] = self._make(index)
        return made

    def find(self, index: int) -> Item | None:
        """Return a task if it has an object, which all that have begun have."""
        return self._known.get(index)

    def known(self) -> Collection[Item]:
        """Return the tasks that have an object; all others are waiting or done."""
        return self._known.values()

    def unknown(self) -> int:
        """Return how many tasks have no object and are not done."""
        return self._count - len(self._known) - len(self._done)

    def done(self) -> index_set.IndexSet:
        """Return the indices of the done tasks."""
        return self._done

    def complete(self, index: int) -> None:
        """Mark a task as done, and drop its object."""
        self._known.pop(index, None)
        self._done.add(index)

    def forget(self, index: int) -> None:
        """Drop the object of a task that does not start again."""
        self._known.pop(index, None)


class StepTable(Generic[Item]):
    """The steps of one job by occurrence and number, each open, done or neither.

    `get` and `[]` return a step made by `make_done` for a done one; iteration covers
    the open ones only.
    """

    __slots__ = ("_steps", "_make_done", "_open", "_partly_done", "_finished", "_done")

    def __init__(self, steps: int, make_done: Callable[[Key], Item]) -> None:
        self._steps = steps
        self._make_done = make_done
        self._open: dict[Key, Item] = {}
        # Done steps of the occurrences of which not all are; the others.
        self._partly_done: dict[int, index_set.IndexSet] = {}
        self._finished = index_set.IndexSet()
        self._done = 0

    def __contains__(self, key: Key) -> bool:
        return key in self._open or self.is_done(key)

    def __getitem__(self, key: Key) -> Item:
        found = self.get(key)
        if found is None:
            raise KeyError(key)
        return found

    def __setitem__(self, key: Key, step: Item) -> None:
        self._open[key] = step

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[Key]:
        return iter(self._open)

    def get(self, key: Key) -> Item | None:
        """Return a step that is open or done, None if it is neither."""
        found = self._open.get(key)
        if found is None and self.is_done(key):
            return self._make_done(key)
        return found

    def get_open(self, key: Key) -> Item | None:
        """Return an open step, None if it is not open."""
        return self._open.get(key)

    def values(self) -> Collection[Item]:
        """Return the open steps."""
        return self._open.values()

    def items(self) -> Iterable[tuple[Key, Item]]:
        """Return the open steps with their keys."""
        return self._open.items()

    def is_done(self, key: Key) -> bool:
        """Return whether a step is done."""
        occurrence, number = key
        return occurrence in self._finished or number in self._partly_done.get(
            occurrence, ()
        )

    def done_of(self, occurrence: int) -> Iterable[int]:
        """Return the numbers of the done steps of an occurrence."""
        if occurrence in self._finished:
            return range(self._steps)
        return self._partly_done.get(occurrence, ())

    def count_done(self) -> int:
        """Return how many steps are done."""
        return self._done

    def complete(self, key: Key) -> None:
        """Mark a step as done, and drop its object."""
        self._open.pop(key, None)
        if self.is_done(key):
            return
        occurrence, number = key
        self._done += 1
        done = self._partly_done.setdefault(occurrence, index_set.IndexSet())
        done.add(number)
        if len(done) == self._steps:
            del self._partly_done[occurrence]
            self._finished.add(occurrence)

    def forget(self, key: Key) -> None:
        """Drop an open step of a job that has ended."""
        self._open.pop(key, None)

    def compact(self) -> None:
        """Free what the steps took that were open, which a dict keeps for others."""
        self._open = dict(self._open)

    def finished(self) -> index_set.IndexSet:
        """Return the occurrences of which all steps are done."""
        return self._finished

    def unfinished_occurrences(self) -> list[int]:
        """Return the occurrences that have open steps, or done ones but not all."""
        return list(
            dict.fromkeys([occurrence for occurrence, _ in self._open])
            | dict.fromkeys(self._partly_done)
        )
