"""Counters and latency histograms of the calls and requests of a process."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from toucanspring import errors, metrics, uptime
from toucanspring.coordinator import ports, stop_causes

DONE = "done"
METHODS = frozenset(("GET", "POST", "DELETE"))
OTHER_METHOD = "other"
Answer = TypeVar("Answer")


class Meters:
    """The counters, histograms and gauges of one process."""

    def __init__(self, registry: metrics.Service) -> None:
        self._calls = registry.counter(
            "toucanspring_calls_total",
            "Calls of the store, workers and approvals by target, operation, outcome",
        )
        self._call_seconds = registry.histogram(
            "toucanspring_call_seconds", "Time of calls that do not wait for an event"
        )
        self._requests = registry.counter(
            "toucanspring_caller_requests_total",
            "Requests of callers by method, status",
        )
        self._request_seconds = registry.histogram(
            "toucanspring_caller_seconds", "Time of requests of callers by method"
        )
        self._round_seconds = registry.histogram(
            "toucanspring_round_seconds", "Time of planning rounds with their write"
        )
        self._starts = registry.counter(
            "toucanspring_runs_placed_total", "Runs whose intent is durable"
        )
        self._stops = registry.counter(
            "toucanspring_runs_stopped_total",
            "Runs that ended since the coordinator stopped them, by cause",
        )
        self._lost_core_seconds = registry.counter(
            "toucanspring_stopped_core_seconds_total",
            "Work of stopped runs that no checkpoint holds, by cause",
        )
        self._admissions = registry.counter(
            "toucanspring_admissions_total",
            "Submissions by queue and decision before their write",
        )
        self._gauges = registry.gauge(
            "toucanspring_coordinator", "State of this process by name"
        )

    def count_call(
        self, target: str, operation: str, outcome: str, took_s: float, waits: bool
    ) -> None:
        """Count one call, with its latency unless it waits for an event."""
        self._calls.inc({"target": target, "operation": operation, "outcome": outcome})
        if not waits:
            self._call_seconds.add({"target": target, "operation": operation}, took_s)

    def count_request(self, method: str, status: int, took_s: float) -> None:
        """Count one request of a caller and its latency."""
        # Callers choose the method, and each value of a label is kept for good.
        method = method if method in METHODS else OTHER_METHOD
        self._requests.inc({"method": method, "status": f"{status}"})
        self._request_seconds.add({"method": method}, took_s)

    def count_round(self, starts: int, took_s: float) -> None:
        """Count one planning round, its duration and the runs that it starts."""
        self._round_seconds.add({}, took_s)
        if starts:
            self._starts.add({}, starts)

    def count_stops(self, counts: stop_causes.StopCounts) -> None:
        """Count the runs that ended since they were stopped."""
        for cause, count in counts.runs.items():
            self._stops.add({"cause": cause.value}, count)
        for cause, core_s in counts.lost_core_s.items():
            self._lost_core_seconds.add({"cause": cause.value}, core_s)

    def count_admission(self, queue: str, decision: str) -> None:
        """Count a decision on a submission: accepted, or why not."""
        self._admissions.inc({"queue": queue, "decision": decision})

    def set_gauges(self, values: dict[str, float]) -> None:
        """Set the gauges to the given values by name."""
        for name, value in values.items():
            self._gauges.set({"name": name}, value)


class _Metered:
    """Base of the wrappers that measure the calls of one target."""

    target = ""

    def __init__(self, inner: object, meters: Meters) -> None:
        self._inner = inner
        self._meters = meters

    def _call(
        self, operation: str, call: Callable[[], Answer], waits: bool = False
    ) -> Answer:
        started = uptime.now()
        answer = call()
        outcome = answer.kind if isinstance(answer, errors.Failure) else DONE
        took_s = uptime.now() - started
        self._meters.count_call(self.target, operation, outcome, took_s, waits)
        return answer


class Store(_Metered):
    """Measures the calls of a store; implements `ports.Store`."""

    target = "store"

    def transact(
        self,
        checks: dict[ports.RowId, int],
        puts: dict[ports.RowId, bytes],
        removals: tuple[ports.RowId, ...] = (),
    ) -> ports.Committed | ports.Rejected | errors.Failure:
        """Apply a transaction; see `ports.Store.transact`."""
        return self._call(
            "transact", lambda: self._inner.transact(checks, puts, removals)
        )

    def read(
        self, table: str, part: str, start: str = "", stop: str = "", limit: int = 0
    ) -> ports.Page | errors.Failure:
        """Return the rows from key `start` up to, not including, `stop`."""
        return self._call(
            "read", lambda: self._inner.read(table, part, start, stop, limit)
        )

    def parts(self, table: str) -> list[str] | errors.Failure:
        """Return the parts of a table that hold rows."""
        return self._call("parts", lambda: self._inner.parts(table))

    def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
        answer_timeout_s: float | None = None,
    ) -> ports.Changes | ports.HistoryGone | errors.Failure:
        """Return the changes of a table; see `ports.Store.follow`."""
        return self._call(
            f"follow {table}",
            lambda: self._inner.follow(table, after, wait_s, answer_timeout_s),
            waits=True,
        )


class Workers(_Metered):
    """Measures the calls of workers; implements `ports.Workers`."""

    target = "worker"

    def start(
        self, worker: ports.WorkerEntry, order: ports.Start
    ) -> ports.OrderDone | ports.OrderRefused | errors.Failure:
        """Start a run; idempotent for the same run."""
        return self._call("start", lambda: self._inner.start(worker, order))

    def stop(
        self, worker: ports.WorkerEntry, task: str, run: int, epoch: int
    ) -> ports.OrderDone | ports.OrderRefused | errors.Failure:
        """Stop a run; if it has not started, make the worker refuse to start it."""
        return self._call("stop", lambda: self._inner.stop(worker, task, run, epoch))

    def poll(
        self,
        worker: ports.WorkerEntry,
        epoch: int,
        acked_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> ports.PollReply | ports.OrderRefused | errors.Failure:
        """Renew a lease and return the tasks of a worker; see `ports.Workers.poll`."""
        return self._call(
            "look",
            lambda: self._inner.poll(worker, epoch, acked_end, lease_until_ms, wait_ms),
            waits=True,
        )

    def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that is gone."""
        self._inner.forget(worker_id)

    def release(self, worker_id: str) -> None:
        """Close the idle connections to a worker that only many orders need."""
        self._inner.release(worker_id)


class Approvals(_Metered):
    """Measures the calls of the approval service; implements `ports.Approvals`."""

    target = "approval"

    def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> dict[str, str] | errors.Failure:
        """Return tickets, by worker, for those workers that may run the step."""
        return self._call("ask", lambda: self._inner.ask(step, workers, timeout_s))
