"""Pace of orders: starts of a round and in flight, ticket margin, time limits.

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
# The start limit of a round grows with the time of the write before it, during which
# nothing can be planned.
MIN_STARTS_PER_ROUND = 120
MAX_STARTS_PER_ROUND = 400
STARTS_PER_WRITE_S = 800
# Starts in flight: fewer while most orders are slow, since more only queue on the link.
MIN_IN_FLIGHT = 60
MAX_IN_FLIGHT = 300
FIRST_IN_FLIGHT = 100
ORDER_SAMPLES = 32
SLOW_ORDER_S = 0.15
FAST_ORDER_S = 0.08
SHRINK, GROW = 0.7, 1.3
# Time limits of a start. Repeating it has no further effect, so an order that is lost
# is repeated after a few times what orders usually take.
MIN_ORDER_TIMEOUT_S = 0.1
MAX_ORDER_TIMEOUT_S = 0.4
TIMEOUT_FACTOR = 4.0
# Calls without an answer count as frequent from this number and share on, within two
# windows of this length.
LOSS_WINDOW_S = 2.0
MIN_LOST_CALLS = 3
FREQUENT_LOSS_SHARE = 0.01


class LossTracker:
    """Share of calls to responsive workers that got no answer lately."""

    def __init__(self) -> None:
        self._began_at = 0.0
        self._calls = [0, 0]  # in the window before and in the current one
        self._lost = [0, 0]

    def record(self, answered: bool, now: float) -> None:
        """Record a call that has ended."""
        self._advance(now)
        self._calls[1] += 1
        self._lost[1] += not answered

    def is_frequent(self, now: float) -> bool:
        """Return whether enough calls are lost to reckon with the next one."""
        self._advance(now)
        lost = sum(self._lost)
        return lost >= MIN_LOST_CALLS and lost > FREQUENT_LOSS_SHARE * sum(self._calls)

    def _advance(self, now: float) -> None:
        if now - self._began_at < LOSS_WINDOW_S:
            return
        is_next = now - self._began_at < 2 * LOSS_WINDOW_S
        self._calls = [self._calls[1] if is_next else 0, 0]
        self._lost = [self._lost[1] if is_next else 0, 0]
        self._began_at = now


class OrderPacing:
    """Measured times of writes and orders, and the limits that follow from them."""

    def __init__(self) -> None:
        self.max_in_flight = FIRST_IN_FLIGHT
        self.order_s = 0.0  # median time from sending a start to its answer
        self._writes: collections.deque[float] = collections.deque(maxlen=WRITE_SAMPLES)
        self._delays: collections.deque[float] = collections.deque(maxlen=DELAY_SAMPLES)
        self._orders: list[float] = []
        self.losses = LossTracker()

    def record_write(self, write_s: float) -> None:
        """Record the time of the write of a round."""
        self._writes.append(write_s)

    def record_delay(self, delay_s: float) -> None:
        """Record the time from the planning of a start to its arrival."""
        self._delays.append(delay_s)

    def record_void(self, delay_s: float) -> None:
        """Record the age of a start that was not sent since its ticket was too old.

        If no order is sent any more, no order can show that orders are faster again.
        """
        self.record_delay(delay_s)
        self.order_s *= SHRINK

    def record_order(self, order_s: float) -> None:
        """Record the time from sending a start to its answer or failure."""
        self._orders.append(order_s)
        if len(self._orders) < ORDER_SAMPLES:
            return
        self.order_s = statistics.median(self._orders)
        self._orders.clear()
        if self.order_s > SLOW_ORDER_S:
            self.max_in_flight = max(MIN_IN_FLIGHT, int(self.max_in_flight * SHRINK))
        elif self.order_s < FAST_ORDER_S:
            self.max_in_flight = min(MAX_IN_FLIGHT, int(self.max_in_flight * GROW))

    def order_timeout_s(self, attempt: int) -> float:
        """Return the time limit of an attempt, counted from 0, to send a start."""
        limit_s = max(MIN_ORDER_TIMEOUT_S, TIMEOUT_FACTOR * self.order_s)
        return min(MAX_ORDER_TIMEOUT_S, limit_s * 2**attempt)

    def ticket_margin_s(self) -> float:
        """Return the validity that a ticket needs at planning time."""
        delays = sorted(self._delays)
        delay_s = delays[int(DELAY_QUANTILE * len(delays))] if delays else 0.0
        expected_s = max(delay_s, *self._writes, 0.0) + MARGIN_SLACK_S
        return min(MAX_TICKET_MARGIN_S, max(MIN_TICKET_MARGIN_S, expected_s))

    def start_limit(self, backlog: int, in_flight: int, ended: int) -> int:
        """Return how many starts the next round may plan.

        `backlog` starts wait for a free slot, `in_flight` wait for an answer, and
        `ended` are over since the last round.
        """
        write_s = self._writes[-1] if self._writes else 0.0
        limit = round(STARTS_PER_WRITE_S * write_s)
        limit = min(MAX_STARTS_PER_ROUND, max(MIN_STARTS_PER_ROUND, limit))
        if backlog:
            return max(1, min(limit, ended) - backlog)
        return max(1, min(limit, max(self.max_in_flight - in_flight, 2 * ended)))
