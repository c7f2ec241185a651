"""Pace of the rounds in which a partition places work and does what is due."""

from __future__ import annotations

from collections.abc import Callable

TICK_INTERVAL_S = 0.02
# At rest, fifty rounds a second were half of an owner's processor time. Messages
# still wake the task at once; only decisions that wait for time alone come later.
IDLE_TICK_INTERVAL_S = 0.1
# With nothing that time alone makes due, ten rounds a second were still the largest
# part of what an idle partition costs. Two idle rounds come first, which are at least
# 0.1 s apart, so that the timed checks have seen the last change.
QUIESCENT_TICK_INTERVAL_S = 1.0
IDLE_TICKS_BEFORE_QUIESCENCE = 2


def next_interval(idle_ticks: int, is_quiescent: Callable[[], bool]) -> float:
    """Return the seconds until the next round, unless a message comes first.

    `idle_ticks` counts the last rounds without a message and without an effect.
    """
    if not idle_ticks:
        return TICK_INTERVAL_S
    if idle_ticks < IDLE_TICKS_BEFORE_QUIESCENCE or not is_quiescent():
        return IDLE_TICK_INTERVAL_S
    return QUIESCENT_TICK_INTERVAL_S
