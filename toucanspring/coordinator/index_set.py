"""Sets of small numbers, held as the bits of one integer."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableSet


class IndexSet(MutableSet[int]):
    """A set of numbers from 0 on; its memory is a bit for each number up to the last.

    Iteration is in ascending order over the members at its beginning.
    """

    __slots__ = ("_bits",)

    def __init__(self, members: Iterable[int] = ()) -> None:
        self._bits = 0
        for each in members:
            self.add(each)

    @classmethod
    def below(cls, count: int) -> IndexSet:
        """Return the set of all numbers below `count`."""
        found = cls()
        found._bits = (1 << count) - 1
        return found

    def __contains__(self, number: object) -> bool:
        return (
            isinstance(number, int) and number >= 0 and bool(self._bits >> number & 1)
        )

    def __len__(self) -> int:
        return self._bits.bit_count()

    def __bool__(self) -> bool:
        return bool(self._bits)

    def __iter__(self) -> Iterator[int]:
        bits = self._bits
        while bits:
            lowest = bits & -bits
            yield lowest.bit_length() - 1
            bits ^= lowest

    def __repr__(self) -> str:
        return f"IndexSet({list(self)})"

    def add(self, value: int) -> None:
        """Add a number."""
        self._bits |= 1 << value

    def discard(self, value: int) -> None:
        """Remove a number if it is a member."""
        self._bits &= ~(1 << value)

    def clear(self) -> None:
        """Remove all numbers."""
        self._bits = 0

    def minus(self, other: IndexSet) -> IndexSet:
        """Return the members that another set does not have."""
        found = IndexSet()
        found._bits = self._bits & ~other._bits
        return found
