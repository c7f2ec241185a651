"""Amounts of processors, memory and accelerators."""

from __future__ import annotations

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Hold millicores, MiB of memory and a count of accelerators."""

    cpus: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpus + other.cpus,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpus - other.cpus,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return `count` times this amount."""
        return Resources(
            self.cpus * count, self.memory * count, self.accelerators * count
        )

    def fits(self, free: Resources) -> bool:
        """Return whether this amount fits into `free`."""
        return (
            self.cpus <= free.cpus
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )

    def count_in(self, free: Resources) -> int:
        """Return how many times this amount fits into `free`."""
        counts = [
            available // needed
            for needed, available in (
                (self.cpus, free.cpus),
                (self.memory, free.memory),
                (self.accelerators, free.accelerators),
            )
            if needed > 0
        ]
        return max(0, min(counts)) if counts else UNBOUNDED_COUNT

    def dominant(self, total: Resources) -> float:
        """Return the largest fraction of `total` in any dimension."""
        return max(
            self.cpus / total.cpus if total.cpus else 0.0,
            self.memory / total.memory if total.memory else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )


ZERO = Resources()
UNBOUNDED_COUNT = 1 << 40
# Stands for "no ceiling" in one dimension; small enough that sums stay in 64 bits.
UNLIMITED = Resources(1 << 50, 1 << 50, 1 << 50)
