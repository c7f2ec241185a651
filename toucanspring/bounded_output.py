"""Standard output for logs that never blocks and is bounded in volume."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

import gevent.os

# A busy coordinator writes some 200 lines a second; a storm of failures is cut here.
LINES_PER_S = 400
BURST_LINES = 800


class Output:
    """Write lines to a descriptor; what does not fit is counted and reported later."""

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: int = BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        gevent.os.make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock()
        self._unwritten = b""  # of a line that was written in part
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write one line, or count it as dropped."""
        now = self._clock()
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._lines_per_s
        )
        self._refilled_at = now
        if self._tokens < 1 or not self._flush_unwritten():
            self.dropped += 1
            return
        self._tokens -= 1
        line = text.encode("utf-8", "replace")
        if self.dropped:
            line = b'{"message":"lines_dropped","count":%d}\n' % self.dropped + line
            self.dropped = 0
        self._unwritten = line
        self._flush_unwritten()

    def flush(self) -> None:
        """Do nothing; each line is written at once."""

    def _flush_unwritten(self) -> bool:
        """Write what is left of the last line; return whether all of it went."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                self._unwritten = b""  # nobody reads any more
                return True
            self._unwritten = self._unwritten[written:]
        return True
