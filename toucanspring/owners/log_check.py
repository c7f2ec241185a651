"""Certainty that an owner knows what its partition accepted before a change."""

from __future__ import annotations

from toucanspring import errors, kernel
from toucanspring.cell import ownership_rows
from toucanspring.owners import journal

WRITE_TIMEOUT_S = 3.0


class LogCheck:
    """Hold for one owner under which layout its log is completely known."""

    def __init__(self, core: kernel.Kernel, log: journal.Journal, row: int) -> None:
        self._kernel = core
        self._journal = log
        self._row_version = row
        self._verified_version: int | None = None

    def is_verified(self) -> bool:
        """Return whether `renew` has succeeded under the present layout."""
        return self._verified_version == self._kernel.find("layout").view.version

    def verify(self) -> None | errors.Unavailable:
        """Make sure that the log is known as it was when the layout last changed.

        Since then no ID that the present number maps elsewhere can have been accepted
        here: what was under way is settled, and had another process owned the
        partition by then, its ownership row would have changed.
        """
        version = self._kernel.find("layout").view.version
        if self._verified_version == version:
            return None
        if not self._journal.wait_for_write(WRITE_TIMEOUT_S):
            return errors.Unavailable(reason="the log is being written")
        key = ownership_rows.key_of(self._journal.partition)
        rows = self._kernel.find("store").tables.read([key])
        if isinstance(rows, errors.Failure):
            return errors.Unavailable(reason=f"store: {rows.reason}")
        if rows[key].version != self._row_version:
            return errors.Unavailable(reason="ownership of the partition was lost")
        self._verified_version = version
        return None
