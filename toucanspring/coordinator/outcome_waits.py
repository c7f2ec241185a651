"""Waits of callers for the write that makes an outcome durable."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import event

from toucanspring import errors, uptime
from toucanspring.coordinator import state

CANCEL_TIMEOUT_S = 3.0
# With a short write, less than another process waits for the answer.
STOPS_WAIT_S = 1.0
STOPS_CHECK_S = 0.05
# A status request that arrives while the last tasks of a job end waits for the write in
# progress: after an answer that is stale by a few milliseconds, the caller would ask
# again only much later.
STATUS_ENDING_WAIT_S = 0.08
STATUS_WRITE_WAIT_S = 0.4


class OutcomeWaits:
    """Callers that wait for the next writes of one coordinator."""

    def __init__(self) -> None:
        self._committed = event.Event()
        self._cancellations: list[event.AsyncResult] = []

    def await_state(
        self, record: state.JobRecord
    ) -> state.JobState | errors.Unavailable:
        """Return the state, after a short wait if it is about to become final."""
        asked_at = uptime.now()
        while record.durable_state not in state.FINAL_STATES:
            has_ended = record.state in state.FINAL_STATES
            limit_s = STATUS_WRITE_WAIT_S if has_ended else STATUS_ENDING_WAIT_S
            left_s = asked_at + limit_s - uptime.now()
            if left_s <= 0 or not (has_ended or _are_all_running(record)):
                break
            self._committed.clear()
            self._committed.wait(left_s)
        known = record.durable_state
        if known not in state.FINAL_STATES and record.state in state.FINAL_STATES:
            # Another process may have read the outcome from the store already.
            return errors.Unavailable(reason="the write of the outcome is unanswered")
        # Only an outcome has to be durable before callers learn of it.
        return known if known in state.FINAL_STATES else record.state

    def add_cancellation(self) -> event.AsyncResult:
        """Return what the next write of the coordinator sets."""
        waiter = event.AsyncResult()
        self._cancellations.append(waiter)
        return waiter

    def take_cancellations(self) -> list[event.AsyncResult]:
        """Return the cancellations that the next write makes durable."""
        taken, self._cancellations = self._cancellations, []
        return taken

    def put_back(self, cancellations: list[event.AsyncResult]) -> None:
        """Let cancellations wait for a further write, since theirs has failed."""
        self._cancellations.extend(cancellations)

    def note_commit(self, cancellations: list[event.AsyncResult]) -> None:
        """End the waits for a write that has taken effect."""
        self._committed.set()
        for waiter in cancellations:
            waiter.set(None)

    def end(self, failure: errors.Failure) -> None:
        """Answer all cancellations that wait with a failure."""
        for waiter in self._cancellations:
            waiter.set(failure)


def await_cancellation(
    record: state.JobRecord, waiter: event.AsyncResult
) -> None | errors.Failure:
    """Wait until the write of a cancellation is answered; return why it failed."""
    failure = await_write(waiter)
    if failure is not None:
        return failure
    if record.durable_state not in state.FINAL_STATES:
        return errors.Ambiguous(reason="the store has not taken the cancellation")
    return None


def await_write(waiter: event.AsyncResult) -> None | errors.Failure:
    """Wait until the write that a cancellation waits for is answered."""
    try:
        return waiter.get(timeout=CANCEL_TIMEOUT_S)
    except gevent.Timeout:
        return errors.Ambiguous(reason="the cancellation is not durable yet")


def await_timely_stops(
    has_timely_stops: Callable[[], bool], has_ended: Callable[[], bool]
) -> None | errors.Ambiguous:
    """Wait until few enough stops are left that all of them will be in time.

    An acknowledged cancellation promises that no task runs on for long. Callers that
    get none repeat the cancellation.
    """
    asked_at = uptime.now()
    while not has_timely_stops():
        if has_ended():
            return errors.Ambiguous(reason="the next coordinator sends the stops")
        if uptime.now() - asked_at > STOPS_WAIT_S:
            return errors.Ambiguous(reason="too many stops wait to be sent")
        gevent.sleep(STOPS_CHECK_S)
    return None


def _are_all_running(record: state.JobRecord) -> bool:
    """Return whether no task of a job waits to be started."""
    return not (record.spec.repeats or record.has_unopened) and all(
        not run.waiting for run in record.steps.values()
    )
