"""Account of one team in the allowance ledger of a partition."""

from __future__ import annotations

Amount = tuple[int, int, int]  # millicores, MiB, accelerators
ZERO: Amount = (0, 0, 0)


class TeamAllowance:
    """Track the use and the part of one team; amounts are tuples for speed."""

    __slots__ = (
        "requested_at",
        "ceiling",
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
        self.ceiling: Amount | None = None  # None: the team has no ceiling
        self.held = ZERO  # as in the row
        self.limit: Amount | None = None  # while other partitions want more
        self.row_read = False  # whether the row was read
        self.target: Amount | None = None  # of the request that is under way
        self.returning = False
        self.requested_at = 0.0
        self.used = ZERO
        self.unconfirmed = ZERO  # of the former owner, on workers not yet attached
        self.peak = ZERO  # most used since `peak_since`
        self.peak_since = 0.0

    def is_idle(self) -> bool:
        """Return whether the account holds, uses and asks for nothing."""
        return (
            self.target is None and self.held == self.used == self.unconfirmed == ZERO
        )

    def has_timer(self) -> bool:
        """Return whether a request or a return of a part may become due with time."""
        if self.ceiling is None:
            return False
        return (
            self.target is not None
            or self.limit is not None
            or self.held != self.used
            or self.unconfirmed != ZERO
        )

    def usable(self) -> Amount:
        """Return what may be used while a return may or may not have been written."""
        usable = self.held
        if self.returning:
            usable = tuple(map(min, usable, self.target))
        if self.limit is not None:
            usable = tuple(map(min, usable, self.limit))
        return usable
