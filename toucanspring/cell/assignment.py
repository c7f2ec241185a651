"""Which process should own each partition."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence


def score(partition: int, process: str) -> int:
    """Return the rendezvous weight of a process for a partition."""
    return zlib.crc32(f"{partition}\0{process}".encode())


def rank(partition: int, processes: Iterable[str]) -> list[str]:
    """Order processes by preference for a partition."""
    return sorted(processes, key=lambda name: (-score(partition, name), name))


def assign(partitions: int, processes: Sequence[str]) -> dict[int, str]:
    """Return the preferred owner of each partition.

    Rendezvous hashing alone may give one process several partitions while others have
    none, so each takes at most its even part, rounded up.
    """
    preferred: dict[int, str] = {}
    if not processes:
        return preferred
    limit = -(-partitions // len(processes))
    load = dict.fromkeys(processes, 0)
    for partition in range(partitions):
        for name in rank(partition, processes):
            if load[name] < limit:
                preferred[partition] = name
                load[name] += 1
                break
    return preferred


class PreferredOwnersCache:
    """Keep the preferred owners until the partitions or the candidates change."""

    def __init__(self) -> None:
        self._partitions = 0
        self._candidates: list[str] = []
        self._preferred: dict[int, str] = {}

    def get(self, partitions: int, candidates: list[str]) -> dict[int, str]:
        """Return the preferred owner of each partition among some processes."""
        if (self._partitions, self._candidates) != (partitions, candidates):
            self._partitions, self._candidates = partitions, candidates
            self._preferred = assign(partitions, candidates)
        return self._preferred
