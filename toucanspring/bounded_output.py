"""Log output that never blocks and limits the rate of lines."""

from __future__ import annotations

import os
from collections.abc import Callable

import gevent.os

from toucanspring import line_rate, uptime

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
        self._rate = line_rate.LineRate(lines_per_s, burst, clock)
        self._unwritten = b""  # rest of a partly written line

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the last one."""
        return self._rate.dropped

    def write(self, text: str) -> None:
        """Write one line, or count it as dropped."""
        if not self._flush_unwritten():
            self._rate.dropped += 1
            return
        if not self._rate.take():
            return
        line = text.encode("utf-8", "replace")
        if self._rate.dropped:
            line = b'{"message":"lines_dropped","count":%d}\n' % self.dropped + line
            self._rate.dropped = 0
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
