"""A read of the table service that concurrent callers share."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from toucanspring import uptime


class SharedRead:
    """Start at most one read per interval and share its result among the callers.

    A caller gets the result of a read that began after its call, so it sees every
    change made before. `read` must return a value and not raise.
    """

    def __init__(
        self,
        read: Callable[[], object],
        interval_s: float,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._read = read
        self._interval_s = interval_s
        self._clock = clock
        self._began_at = float("-inf")  # seconds of `uptime`
        self._next: gevent.Greenlet | None = None  # has not begun its read

    def get(self) -> object:
        """Return the result of the next read."""
        if self._next is None:
            self._next = gevent.spawn(self._run)
        return self._next.get()

    def _run(self) -> object:
        now = self._clock()
        if now < self._began_at + self._interval_s:
            gevent.sleep(self._began_at + self._interval_s - now)
        self._next = None
        self._began_at = self._clock()
        return self._read()
