"""Log output that never blocks and limits the rate of lines."""

from __future__ import annotations

import os
from collections.abc import Callable

import gevent.os

from toucanspring import uptime

# A busy coordinator writes about 200 lines per second. Repeated failures could write
# many more; lines beyond this rate are dropped.
LINES_PER_S = 400
BURST_LINES = 800


class Output:
    """Write lines to a descriptor; lines that are dropped are counted and reported."""

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: int = BURST_LINES,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        gevent.os.make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock()
        self._unwritten = b""  # rest of a partly written line
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
        """Write the rest of the last line; return whether it is written completely."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                self._unwritten = b""  # the reader has closed the pipe
                return True
            self._unwritten = self._unwritten[written:]
        return True
