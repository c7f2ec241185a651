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
        self._allowed = float(burst)
        self._counted_at = clock()
        self._rest = b""  # of a line that was written in part
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write one line, or count it as dropped."""
        now = self._clock()
        self._allowed = min(
            self._burst, self._allowed + (now - self._counted_at) * self._lines_per_s
        )
        self._counted_at = now
        if self._allowed < 1 or not self._flush_rest():
            self.dropped += 1
            return
        self._allowed -= 1
        line = text.encode("utf-8", "replace")
        if self.dropped:
            line = b'{"message":"lines_dropped","count":%d}\n' % self.dropped + line
            self.dropped = 0
        self._rest = line
        self._flush_rest()

    def flush(self) -> None:
        """Do nothing; each line is written at once."""

    def _flush_rest(self) -> bool:
        """Write what is left of the last line; return whether all of it went."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                self._rest = b""  # nobody reads any more
                return True
            self._rest = self._rest[written:]
        return True
