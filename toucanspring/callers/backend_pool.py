"""Backend servers of one service, and the requests that wait for a slot."""

from __future__ import annotations

import collections
import itertools
import math
import random
from collections.abc import Callable

import gevent
from gevent import event

from toucanspring import errors, job, uptime
from toucanspring.callers import admission, routing
from toucanspring.configuration import text

# A server may free a slot without notifying this process, so waiting requests are
# dispatched again at least at this interval.
MAX_DISPATCH_DELAY_S = 0.1
MIN_DISPATCH_DELAY_S = 0.002
# Classes that may not use a slot freed on a full server while it is kept for checks.
BACKGROUND_CLASSES = frozenset({job.JobClass.NORMAL, job.JobClass.DEFERRABLE})


class Waiter:
    """Hold one request that waits for a slot."""

    __slots__ = ("deadline", "excluded", "job_class", "result", "retry")

    def __init__(
        self,
        job_class: job.JobClass,
        deadline: float,
        excluded: frozenset[str],
        retry: bool,
    ) -> None:
        self.job_class = job_class
        self.deadline = deadline
        self.excluded = excluded
        self.retry = retry
        self.result = event.AsyncResult()


class BackendPool:
    """Own the router and the queue of one service in this process."""

    def __init__(
        self,
        service: text.Service,
        rng: random.Random,
        clock: Callable[[], float] = uptime.now,
        usable_until: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.service = service
        # Returns the monotonic time after which the VM list must be read before a send.
        self.usable_until = usable_until
        self.router = routing.Router(rng)
        self._admission = admission.Admission()
        self._clock = clock
        self._keys = itertools.count()
        self._waiters: dict[str, Waiter] = {}
        self._waiting: collections.Counter[job.JobClass] = collections.Counter()
        self._timer: gevent.Greenlet | None = None
        self._servers: dict[str, routing.ServerFacts] = {}
        self._zones_out: frozenset[str] = frozenset()

    def close(self) -> None:
        """Stop dispatching; waiting requests fail with `NotRun`."""
        if self._timer is not None:
            self._timer.kill()
            self._timer = None
        for waiter in list(self._waiters.values()):
            waiter.result.set(errors.NotRun(reason="not run: the process stops"))

    def set_servers(self, servers: list[routing.ServerFacts]) -> None:
        """Replace the backend servers and dispatch waiting requests."""
        self._servers = {facts.id: facts for facts in servers}
        self.router.set_servers(servers)
        self.dispatch()

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Exclude the servers in these availability zones."""
        self._zones_out = zones
        self.router.set_zones_out(zones)
        self.dispatch()

    def is_usable(self, server_id: str) -> bool:
        """Return whether a server is listed, not leaving and in a zone in service."""
        facts = self._servers.get(server_id)
        return (
            facts is not None
            and not facts.leaving
            and facts.availability_zone not in self._zones_out
        )

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by class."""
        return {str(name): count for name, count in self._waiting.items() if count}

    def acquire(
        self,
        job_class: job.JobClass,
        deadline: float,
        excluded: frozenset[str] = frozenset(),
        retry: bool = False,
    ) -> routing.ServerFacts | errors.Failure:
        """Wait for a server; the caller then sends and calls `finished` once.

        Fails with `NotRun` at the deadline and `Overloaded` when shed.
        """
        now = self._clock()
        if now >= deadline:
            return errors.NotRun(
                reason="not run: the deadline passed before the request was sent"
            )
        rule = self.service.classes.get(job_class)
        if rule is not None and self._waiting[job_class] >= rule.max_waiting:
            return errors.Overloaded(
                reason=f"not run: {rule.max_waiting} {job_class} requests already wait"
            )
        key = str(next(self._keys))
        waiter = Waiter(job_class, deadline, excluded, retry)
        self._waiters[key] = waiter
        self._waiting[job_class] += 1
        try:
            offered = self._admission.offer(key, job_class, deadline, now)
            if isinstance(offered, errors.Failure):
                return offered
            self.dispatch()
            return waiter.result.get(timeout=deadline - now)
        except gevent.Timeout:
            if waiter.result.ready():  # a server was assigned at the same time
                return waiter.result.get()
            return errors.NotRun(
                reason="not run: the deadline passed before the request was sent"
            )
        finally:
            self._waiting[job_class] -= 1
            del self._waiters[key]
            self._admission.cancel(key)

    def finished(
        self,
        server_id: str,
        outcome: routing.Outcome,
        job_class: job.JobClass,
        seconds: float,
    ) -> None:
        """Record how a request ended at a server and dispatch the next one."""
        self.router.finished(server_id, outcome, seconds, self._clock())
        if outcome is routing.Outcome.OK:
            self._admission.record_service_time(job_class, seconds)
        self.dispatch()

    def release(self, server_id: str) -> None:
        """Release a server to which nothing was sent."""
        self.router.unsent(server_id)
        self.dispatch()

    def dispatch(self) -> None:
        """Assign servers to waiting requests while there are both."""
        while self._waiters:
            now = self._clock()
            if now > self.usable_until():
                self._schedule_dispatch(MAX_DISPATCH_DELAY_S)
                return
            background = self._admission.next_class() in BACKGROUND_CLASSES
            available = self.router.choose(now, background=background)
            if isinstance(available, errors.Failure):
                self._schedule_dispatch(available.retry_after_s)
                return
            item = self._admission.next(now)
            if item is None:
                return
            key, entry = item
            waiter = self._waiters.get(key)
            if waiter is None or waiter.result.ready():
                continue
            if isinstance(entry, errors.Failure):
                waiter.result.set(entry)
                continue
            server = self.router.choose(now, waiter.excluded, background)
            if isinstance(server, errors.Failure):
                # All others are full; an excluded server is better than waiting.
                server = available
            self.router.sent(server.id, waiter.retry)
            waiter.result.set(server)

    def _schedule_dispatch(self, delay_s: float) -> None:
        if self._timer is None:
            delay = min(MAX_DISPATCH_DELAY_S, max(MIN_DISPATCH_DELAY_S, delay_s))
            self._timer = gevent.spawn_later(delay, self._run_timer)

    def _run_timer(self) -> None:
        self._timer = None
        self.dispatch()
