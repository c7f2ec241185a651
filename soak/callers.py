"""Callers that hand jobs in, ask for them and cancel some, over HTTP."""

from __future__ import annotations

import random
import time

import gevent
import msgspec

from soak import cell, invariants
from toucanspring import errors, resources
from toucanspring.adapters import exchange
from toucanspring.coordinator import job_specs

TRIES = 5
RETRY_S = 0.3
TIMEOUT_S = 3.0
POLL_S = 0.25
JOBS_PER_S = 6.0
CANCELLED = 0.08  # part of the jobs
REPEATED = 0.1  # part of the jobs that are handed in again after the answer
GIVE_UP_S = 90.0  # after which a caller stops asking


class Callers:
    """Own the callers of one run."""

    def __init__(self, running: cell.Cell, rng: random.Random) -> None:
        self._cell = running
        self._rng = rng
        self._group: set[gevent.Greenlet] = set()
        self._source: gevent.Greenlet | None = None

    def __enter__(self) -> Callers:
        self._source = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()
        gevent.killall(list(self._group))

    def stop(self) -> None:
        """Hand no more jobs in."""
        if self._source is not None:
            self._source.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(self._rng.expovariate(JOBS_PER_S))
            greenlet = gevent.spawn(self._live, self._draw())
            self._group.add(greenlet)
            greenlet.rawlink(self._group.discard)

    def _draw(self) -> job_specs.Job:
        steps = tuple(
            job_specs.Step(
                count=self._rng.randrange(1, 5),
                demand=resources.Resources(self._rng.randrange(200, 4000), 512, 0),
                estimate_ms=self._rng.randrange(100, 1500),
                after=(number - 1,) if number else (),
            )
            for number in range(self._rng.choice((1, 1, 2)))
        )
        job_id = f"{self._rng.getrandbits(64):016x}"
        return job_specs.Job(
            id=job_id, queue="jobs", organisation="team", payload=f"work {job_id}",
            steps=steps,
        )  # fmt: skip

    def _live(self, spec: job_specs.Job) -> None:
        """Hand one job in and follow it to its end."""
        ordered = self._cell.promises.expect(spec)
        self._hand_in(ordered)
        if ordered.acceptance is invariants.Acceptance.REFUSED:
            return
        if self._rng.random() < CANCELLED:
            gevent.sleep(self._rng.random())
            self._cancel(ordered)
        with gevent.Timeout(GIVE_UP_S, False):
            while ordered.told not in ("completed", "cancelled", "failed"):
                self._ask(ordered)
                gevent.sleep(POLL_S)
            if self._rng.random() < REPEATED:
                self._call("POST", ordered)
            self._ask(ordered)

    def _hand_in(self, ordered: invariants.Ordered) -> None:
        uncertain = False
        for _ in range(TRIES):
            reply = self._call("POST", ordered)
            match reply:
                case exchange.Reply(status=200):
                    ordered.acceptance = invariants.Acceptance.ACCEPTED
                    return
                case exchange.Reply(status=503 | 429) | errors.Unavailable():
                    pass  # certainly not accepted
                case exchange.Reply(status=504) | errors.Failure():
                    uncertain = True
                case exchange.Reply(status=status):
                    self._cell.promises.break_(f"a correct job was answered {status}")
                    return
            gevent.sleep(RETRY_S)
        if uncertain:
            ordered.acceptance = invariants.Acceptance.UNKNOWN
        else:
            self._cell.promises.refused(ordered)

    def _cancel(self, ordered: invariants.Ordered) -> None:
        ordered.cancelling = True
        for _ in range(TRIES):
            reply = self._call("DELETE", ordered)
            if isinstance(reply, exchange.Reply) and reply.status == 200:
                self._take(ordered, reply)
                if ordered.told == "cancelled":
                    ordered.cancelled_at = time.monotonic()
                return
            gevent.sleep(RETRY_S)

    def _ask(self, ordered: invariants.Ordered) -> None:
        reply = self._call("GET", ordered)
        match reply:
            case exchange.Reply(status=200):
                self._take(ordered, reply)
            case exchange.Reply(status=404 | 410):
                self._cell.promises.unknown(ordered)

    def _take(self, ordered: invariants.Ordered, reply: exchange.Reply) -> None:
        shown = msgspec.json.decode(reply.body)["state"]
        self._cell.promises.told(ordered, shown)

    def _call(
        self, method: str, ordered: invariants.Ordered
    ) -> exchange.Reply | errors.Failure:
        name = self._rng.choice(self._cell.daemons)
        return self._cell.call(name, method, ordered.spec, TIMEOUT_S)
