"""Function calls at a fixed rate."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import logbook

log = logbook.Logger(__name__)

# A sleep that ends this much late was not delayed by load: the process was paused.
MIN_PAUSE_S = 1.0


def repeat(
    interval_s: float,
    work: Callable[[], object],
    clock: Callable[[], float],
    is_over: Callable[[], bool],
    on_pause: Callable[[float], None],
) -> None:
    """Call `work` at a fixed rate; an overrun skips calls instead of piling up.

    `on_pause` gets the seconds by which a call was late after a pause of the process.
    """
    due = clock()
    while not is_over():
        try:
            work()
        except Exception:
            log.exception("{} failed", getattr(work, "__name__", "loop"))
        due = max(due + interval_s, clock())
        gevent.sleep(max(due - clock(), 0.001))
        late_s = clock() - due
        if late_s >= MIN_PAUSE_S:
            on_pause(late_s)
