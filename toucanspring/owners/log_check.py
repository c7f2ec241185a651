"""Check that an owner knows all IDs its partition accepted before a layout change."""

from __future__ import annotations

from toucanspring import errors, kernel
from toucanspring.cell import ownership_rows
from toucanspring.owners import journal

WRITE_TIMEOUT_S = 3.0  # limit of the wait for a log write in progress


class LogCheck:
    """Check one owner's copy of the log against the current layout version."""

    def __init__(self, core: kernel.Kernel, log: journal.Journal, row: int) -> None:
        self._kernel = core
        self._journal = log
        self._row_version = row
        self._verified_version: int | None = None

    def is_verified(self) -> bool:
        """Return whether `verify` has succeeded under the current layout."""
        return self._verified_version == self._kernel.find("layout").view.version

    def verify(self) -> None | errors.Unavailable:
        """Ensure that this owner knows all records from before the last layout change.

        After that change, no ID that the current partition count maps to another
        partition can be accepted here. Writes in progress have ended, and if another
        process had owned the partition, the ownership row would have changed.
        """
        version = self._kernel.find("layout").view.version
        if self._verified_version == version:
            return None
        if not self._journal.wait_for_write(WRITE_TIMEOUT_S):
            return errors.Unavailable(reason="a log write is in progress")
        key = ownership_rows.key_of(self._journal.partition)
        rows = self._kernel.find("store").tables.read([key])
        if isinstance(rows, errors.Failure):
            return errors.Unavailable(reason=f"store: {rows.reason}")
        if rows[key].version != self._row_version:
            return errors.Unavailable(reason="ownership of the partition was lost")
        self._verified_version = version
        return None
