"""Time limit that is moved often and rarely reached."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from toucanspring import uptime


class Deadline:
    """Call `on_expiry` once a limit has passed; it runs in the hub and must not block.

    The timer keeps running when the limit is cleared or moved to a later time, and is
    restarted only when it fires. A `gevent.Timeout` for each frame took a tenth of the
    cost of a heartbeat.
    """

    def __init__(self, on_expiry: Callable[[], None]) -> None:
        self._on_expiry = on_expiry
        self._due_at: float | None = None
        self._timer: object | None = None
        self._fires_at = 0.0

    def set(self, delay_s: float) -> None:
        """Set the limit to `delay_s` from now."""
        self._due_at = due_at = uptime.now() + delay_s
        if self._timer is None or due_at < self._fires_at:
            self._start_timer(delay_s)

    def set_once(self, delay_s: float) -> None:
        """Set the limit unless one is set."""
        if self._due_at is None:
            self.set(delay_s)

    def clear(self) -> None:
        """Remove the limit."""
        self._due_at = None

    def close(self) -> None:
        """Remove the limit and free the timer."""
        self._due_at = None
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def _start_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.close()
        self._fires_at = uptime.now() + delay_s
        self._timer = gevent.get_hub().loop.timer(delay_s)
        self._timer.start(self._fire)

    def _fire(self) -> None:
        due_at = self._due_at
        left_s = 0.0 if due_at is None else due_at - uptime.now()
        if left_s > 0:
            self._start_timer(left_s)
            return
        self.close()
        if due_at is not None:
            self._on_expiry()
