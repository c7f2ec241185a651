"""Assignment of partitions to processes by rendezvous hashing."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence


def score(partition: int, process: str) -> int:
    """Return the rendezvous hash of a partition and a process."""
    return zlib.crc32(f"{partition}\0{process}".encode())


def rank(partition: int, processes: Iterable[str]) -> list[str]:
    """Return the processes in descending order of their score for a partition."""
    return sorted(processes, key=lambda name: (-score(partition, name), name))


def assign(partitions: int, processes: Sequence[str]) -> dict[int, str]:
    """Return the preferred owner of each partition.

    Plain rendezvous hashing may assign several partitions to one process and none to
    others, so each process gets at most ceil(partitions / processes).
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
    """Cache the preferred owners until the partition count or the candidates change."""

    def __init__(self) -> None:
        self._partitions = 0
        self._candidates: list[str] = []
        self._preferred: dict[int, str] = {}

    def get(self, partitions: int, candidates: list[str]) -> dict[int, str]:
        """Return the preferred owner of each partition among the candidates."""
        if (self._partitions, self._candidates) != (partitions, candidates):
            self._partitions, self._candidates = partitions, candidates
            self._preferred = assign(partitions, candidates)
        return self._preferred
