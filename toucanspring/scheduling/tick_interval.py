"""Interval between the scheduler ticks of a partition."""

from __future__ import annotations

from collections.abc import Callable

TICK_INTERVAL_S = 0.02
# On an idle owner, fifty ticks a second took half of its CPU time. Messages still
# trigger a tick at once, so only timed decisions are delayed.
IDLE_TICK_INTERVAL_S = 0.1
# Without pending timers, ten ticks a second were still the largest part of the cost of
# an idle partition. Two idle ticks come first. They are at least 0.1 s apart, so the
# timed checks have seen the last change.
QUIESCENT_TICK_INTERVAL_S = 1.0
IDLE_TICKS_BEFORE_QUIESCENCE = 2


def next_interval(idle_ticks: int, is_quiescent: Callable[[], bool]) -> float:
    """Return the seconds until the next tick, unless a message arrives first.

    `idle_ticks` is the number of last ticks without messages and effects.
    """
    if not idle_ticks:
        return TICK_INTERVAL_S
    if idle_ticks < IDLE_TICKS_BEFORE_QUIESCENCE or not is_quiescent():
        return IDLE_TICK_INTERVAL_S
    return QUIESCENT_TICK_INTERVAL_S
