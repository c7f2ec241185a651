"""Callers that submit jobs, query them and cancel some, over HTTP."""

from __future__ import annotations

import random
import time

import gevent
import msgspec

from soak import cell, invariants
from toucanspring import errors, resources
from toucanspring.adapters import exchange
from toucanspring.coordinator import job_specs

MAX_ATTEMPTS = 5
RETRY_S = 0.3
TIMEOUT_S = 3.0
POLL_S = 0.25
JOBS_PER_S = 6.0
CANCELLED_FRACTION = 0.08  # of the jobs
GANG_FRACTION = 0.2  # of the steps, in runs that have gangs
REPEATED_FRACTION = 0.1  # of the jobs are submitted again after their end
GIVE_UP_S = 90.0  # after which a caller stops querying its job


class Callers:
    """The callers of one run, as a context manager."""

    def __init__(
        self,
        running: cell.Cell,
        rng: random.Random,
        kind_rng: random.Random | None = None,  # None: one queue and no gangs
    ) -> None:
        self._cell = running
        self._rng = rng
        self._kind_rng = kind_rng
        self._group: set[gevent.Greenlet] = set()
        self._submitter: gevent.Greenlet | None = None

    def __enter__(self) -> Callers:
        self._submitter = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()
        gevent.killall(list(self._group))

    def stop(self) -> None:
        """Submit no more jobs."""
        if self._submitter is not None:
            self._submitter.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(self._rng.expovariate(JOBS_PER_S))
            greenlet = gevent.spawn(self._run_job, self._generate_job())
            self._group.add(greenlet)
            greenlet.rawlink(self._group.discard)

    def _generate_job(self) -> job_specs.Job:
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
        queue = cell.FIRST_QUEUE
        if self._kind_rng is not None:
            queue = self._kind_rng.choice(sorted(self._cell.attempts))
            steps = tuple(
                msgspec.structs.replace(
                    step, gang=self._kind_rng.random() < GANG_FRACTION
                )
                for step in steps
            )
        return job_specs.Job(
            id=job_id, queue=queue, organisation="team", payload=f"work {job_id}",
            steps=steps,
        )  # fmt: skip

    def _run_job(self, spec: job_specs.Job) -> None:
        """Submit one job and query it until its end."""
        submitted = self._cell.checker.add_job(spec)
        self._submit(submitted)
        if submitted.acceptance is invariants.Acceptance.REFUSED:
            return
        if self._rng.random() < CANCELLED_FRACTION:
            gevent.sleep(self._rng.random())
            self._cancel(submitted)
        with gevent.Timeout(GIVE_UP_S, False):
            while submitted.reported_state not in invariants.FINAL_STATES:
                self._query(submitted)
                gevent.sleep(POLL_S)
            if self._rng.random() < REPEATED_FRACTION:
                self._call("POST", submitted)
            self._query(submitted)

    def _submit(self, submitted: invariants.SubmittedJob) -> None:
        ambiguous = False
        for _ in range(MAX_ATTEMPTS):
            reply = self._call("POST", submitted)
            match reply:
                case exchange.Reply(status=200):
                    submitted.acceptance = invariants.Acceptance.ACCEPTED
                    return
                case exchange.Reply(status=503 | 429) | errors.Unavailable():
                    pass  # certainly not accepted
                case exchange.Reply(status=404) if self._may_lack_queue(submitted):
                    pass  # certainly not accepted either
                case exchange.Reply(status=504) | errors.Failure():
                    ambiguous = True
                case exchange.Reply(status=status):
                    self._cell.checker.add_violation(
                        f"a valid job was answered with {status}"
                    )
                    return
            gevent.sleep(RETRY_S)
        if ambiguous:
            submitted.acceptance = invariants.Acceptance.UNKNOWN
        else:
            self._cell.checker.record_refusal(submitted)

    def _cancel(self, submitted: invariants.SubmittedJob) -> None:
        submitted.cancelling = True
        for _ in range(MAX_ATTEMPTS):
            reply = self._call("DELETE", submitted)
            if isinstance(reply, exchange.Reply) and reply.status == 200:
                self._record_state(submitted, reply)
                if submitted.reported_state == "cancelled":
                    submitted.cancelled_at = time.monotonic()
                return
            gevent.sleep(RETRY_S)

    def _query(self, submitted: invariants.SubmittedJob) -> None:
        reply = self._call("GET", submitted)
        match reply:
            case exchange.Reply(status=200):
                self._record_state(submitted, reply)
            case exchange.Reply(status=404) if self._may_lack_queue(submitted):
                pass  # the route is unknown, not the job
            case exchange.Reply(status=404 | 410):
                self._cell.checker.record_unknown(submitted)

    def _may_lack_queue(self, submitted: invariants.SubmittedJob) -> bool:
        return None in self._cell.checker.find_attempts(submitted.spec.queue)

    def _record_state(
        self, submitted: invariants.SubmittedJob, reply: exchange.Reply
    ) -> None:
        job_state = msgspec.json.decode(reply.body)["state"]
        self._cell.checker.record_state(submitted, job_state)

    def _call(
        self, method: str, submitted: invariants.SubmittedJob
    ) -> exchange.Reply | errors.Failure:
        name = self._rng.choice(self._cell.daemons)
        return self._cell.call(name, method, submitted.spec, TIMEOUT_S)
