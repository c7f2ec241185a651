"""Ticket margin of starts, from measured times.

It performs no I/O and reads no clock; times are seconds.
"""

from __future__ import annotations

import collections
import statistics

# Remaining validity of a ticket at planning time.
MIN_TICKET_MARGIN_S = 0.15
MAX_TICKET_MARGIN_S = 1.0
MARGIN_SLACK_S = 0.05  # added to the measured delay, for a retry or a longer round
DELAY_SAMPLES = 100
DELAY_QUANTILE = 0.9
WRITE_SAMPLES = 5
ORDER_SAMPLES = 32


class OrderPacing:
    """Measured times of writes and orders, and the margin that follows from them."""

    def __init__(self) -> None:
        self.order_s = 0.0  # median time from sending a start to its answer
        self._writes: collections.deque[float] = collections.deque(maxlen=WRITE_SAMPLES)
        self._delays: collections.deque[float] = collections.deque(maxlen=DELAY_SAMPLES)
        self._orders: list[float] = []

    def record_write(self, write_s: float) -> None:
        """Record the time of the write of a round."""
        self._writes.append(write_s)

    def record_delay(self, delay_s: float) -> None:
        """Record the time from the planning of a start to its arrival."""
        self._delays.append(delay_s)

    def record_order(self, order_s: float) -> None:
        """Record the time from sending a start to its answer or failure."""
        self._orders.append(order_s)
        if len(self._orders) < ORDER_SAMPLES:
            return
        self.order_s = statistics.median(self._orders)
        self._orders.clear()

    def ticket_margin_s(self) -> float:
        """Return the validity that a ticket needs at planning time."""
        delays = sorted(self._delays)
        delay_s = delays[int(DELAY_QUANTILE * len(delays))] if delays else 0.0
        expected_s = max(delay_s, *self._writes, 0.0) + MARGIN_SLACK_S
        return min(MAX_TICKET_MARGIN_S, max(MIN_TICKET_MARGIN_S, expected_s))
