"""The row `workers`, which maps each worker to its partition."""

from __future__ import annotations

import msgspec

from toucanspring.adapters import tables

WORKERS_ROW = "workers"

_decoder = msgspec.msgpack.Decoder(dict[str, int])
encode = msgspec.msgpack.encode


class Roster:
    """Latest version of the row that this process has read or written."""

    def __init__(self) -> None:
        self.version = 0
        self.partitions: dict[str, int] = {}  # worker -> partition
        # Partition -> version of the row that last changed its set of workers.
        self.changed_at: dict[int, int] = {}
        # Worker -> monotonic time at which its last move was read.
        self.moved_at: dict[str, float] = {}

    def apply_row(self, row: tables.Row, now: float) -> None:
        """Apply a row that was read, unless a later version is known.

        Responses to concurrent reads may arrive out of order; an older one would return
        a moved worker to its former partition.
        """
        if row.version > self.version:
            self.replace(row.version, _decoder.decode(row.value), now)

    def replace(self, version: int, partitions: dict[str, int], now: float) -> None:
        """Replace the content by a later version of the row."""
        former = self.partitions
        for worker in former.keys() | partitions.keys():
            before, after = former.get(worker), partitions.get(worker)
            if before == after:
                continue
            for partition in (before, after):
                if partition is not None:
                    self.changed_at[partition] = version
            if after is None:
                self.moved_at.pop(worker, None)
            elif before is not None:
                self.moved_at[worker] = now
        self.version, self.partitions = version, partitions

    def workers_of(self, partition: int) -> set[str]:
        """Return the workers of a partition."""
        return {
            worker for worker, owner in self.partitions.items() if owner == partition
        }


def ambiguous_move_result(version: int, checked_version: int, still_owned: bool) -> str:
    """Return the result of a move with a lost response, from a later read.

    `repeat`: the transaction that checked `checked_version` may still take effect;
    `moved`: the worker is no longer `still_owned`; `kept`: it is, and the transaction
    can no longer take effect.
    """
    if version == checked_version:
        return "repeat"
    return "kept" if still_owned else "moved"
