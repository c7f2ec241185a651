"""A read of the table service that concurrent callers share."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent


class SharedRead:
    """Begin a read at most once in an interval, for all callers that wait for it.

    A caller gets the result of a read that began after its call, so that it sees each
    change made before. `read` returns a value and raises nothing.
    """

    def __init__(
        self,
        read: Callable[[], object],
        interval_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._read = read
        self._interval_s = interval_s
        self._clock = clock
        self._began_at = float("-inf")  # monotonic seconds
        self._next: gevent.Greenlet | None = None  # has not begun to read

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
