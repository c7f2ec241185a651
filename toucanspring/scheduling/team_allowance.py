"""Allowance of one team in one partition."""

from __future__ import annotations

Amount = tuple[int, int, int]  # millicores, MiB, accelerators
ZERO: Amount = (0, 0, 0)


class TeamAllowance:
    """Usage and allowance of one team in one partition.

    Amounts are plain tuples for speed.
    """

    __slots__ = (
        "requested_at",
        "ceiling",
        "ceiling_known",
        "held",
        "row_read",
        "limit",
        "peak",
        "unconfirmed",
        "returning",
        "peak_since",
        "target",
        "used",
    )

    def __init__(self) -> None:
        self.ceiling: Amount | None = None  # None for a team without a ceiling
        self.ceiling_known = False  # a configuration had the team
        self.held = ZERO  # this partition's part in the row
        self.limit: Amount | None = None  # set while other partitions contend
        self.row_read = False  # the row has been read at least once
        self.target: Amount | None = None  # of the pending request
        self.returning = False
        self.requested_at = 0.0
        self.used = ZERO
        self.unconfirmed = ZERO  # may be in use on workers that are not attached yet
        self.peak = ZERO  # highest usage since `peak_since`
        self.peak_since = 0.0

    def is_idle(self) -> bool:
        """Return whether the team holds, uses and requests nothing here."""
        return (
            self.target is None and self.held == self.used == self.unconfirmed == ZERO
        )

    def has_timer(self) -> bool:
        """Return whether a request or return may become due at a later time."""
        if self.ceiling is None:
            return False
        return (
            self.target is not None
            or self.limit is not None
            or self.held != self.used
            or self.unconfirmed != ZERO
        )

    def usable(self) -> Amount:
        """Return the amount that is safe to use.

        A pending return may have been written already, so its amount is excluded.
        """
        usable = self.held
        if self.returning:
            usable = tuple(map(min, usable, self.target))
        if self.limit is not None:
            usable = tuple(map(min, usable, self.limit))
        return usable
