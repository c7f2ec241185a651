"""How many stops may follow each other if all of a cancellation are to be in time.

It performs no I/O; times are seconds.
"""

from __future__ import annotations

import dataclasses

# A stop may take as long as the platform permits, and the network adds to that.
ANSWER_MARGIN_S = 0.2
RETRY_S = 0.25  # pause before a stop without an answer is repeated
# Time of a stop besides the stop itself: a new connection, its check, the answer.
ORDER_S = 0.05
# Capacity of stopped tasks becomes free early also where more time is permitted.
MAX_ROUNDS = 6
# To a worker between orders: starts, few stops and a poll.
KEPT_CONNECTIONS = 7


@dataclasses.dataclass(frozen=True, slots=True)
class StopLimits:
    """Times that a platform permits.

    `stop_s` is the longest time of a stop, `cancel_s` the time from the acknowledgement
    of a cancellation until the last stop has reached its worker.
    """

    stop_s: float = 0.4
    cancel_s: float = 4.0

    def count_rounds(self) -> int:
        """Return how many stops may follow each other, one of which may be lost."""
        lost_s = self.stop_s + ANSWER_MARGIN_S + RETRY_S
        spare_s = max(0.0, self.cancel_s - lost_s)
        return min(MAX_ROUNDS, 1 + int(spare_s / (self.stop_s + ORDER_S)))


DEFAULT = StopLimits()
