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
REST_TICK_INTERVAL_S = 1.0
IDLE_ROUNDS_BEFORE_REST = 2


def interval(idle_rounds: int, is_at_rest: Callable[[], bool]) -> float:
    """Return the seconds until the next round, unless a message comes first.

    `idle_rounds` counts the last rounds without a message and without an effect.
    """
    if not idle_rounds:
        return TICK_INTERVAL_S
    if idle_rounds < IDLE_ROUNDS_BEFORE_REST or not is_at_rest():
        return IDLE_TICK_INTERVAL_S
    return REST_TICK_INTERVAL_S
