"""Execution of non-idempotent requests by the owner of the partition of their ID.

The server of each request is written to the log before the request is sent, so that a
successor knows which server to ask. The record also contains what is needed to compare
a repeated request with the first one; both are encoded as one string.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import gevent
import logbook
from gevent import event

from toucanspring import errors, job, kernel, uptime
from toucanspring.adapters import backend_servers
from toucanspring.callers import (
    answers,
    backend_pool,
    forwarding,
    outcome_lookup,
    routing,
)
from toucanspring.owners import log_records, outcomes, request_log

log = logbook.Logger(__name__)

Clock = Callable[[], float]

RESEND_PAUSE_S = 0.02
# After a server has refused a request for this long, another one is tried.
MOVE_AFTER_S = 0.2
PROBE_TIMEOUT_S = 0.5
# The server is asked for the outcome of a request for this long, also after the
# deadline, so that callers can still look it up. Then it is recorded as unknown.
FOLLOW_S = 120.0
# A request that waited until its deadline is refused shortly after the deadline.
REFUSAL_GRACE_S = 0.25
# Another process may own the partition after these failures, and a concurrent repeat of
# the request may run there.
OWNER_UNCERTAIN = (
    errors.Ambiguous,
    errors.Fenced,
    errors.Refused,
    errors.LayoutChanged,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """State of a request that was begun and has no outcome yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """A request that this process runs or whose outcome it resolves."""

    digest: bytes
    result: event.AsyncResult


class Runner:
    """Run each request of the owned partitions once and record its outcome."""

    def __init__(
        self,
        core: kernel.Kernel,
        pool_of: Callable[[str], backend_pool.BackendPool | None],
        client: backend_servers.BackendServerClient,
        clock: Clock = uptime.now,
    ) -> None:
        self._kernel = core
        self._pool_of = pool_of
        self._client = client
        self._clock = clock
        self._outcomes = outcomes.Outcomes(core)
        self._outcome_lookup = outcome_lookup.OutcomeLookup(client, clock)
        self._running: dict[str, InFlight] = {}  # by request ID
        self._waiting = 0

    def in_flight(self) -> int:
        """Return the number of callers that wait for a request.

        Requests without a waiting caller do not count: if this process stops, a
        successor asks the server for their outcome.
        """
        return self._waiting

    def run(self, request: answers.Request) -> answers.Stored | errors.Failure:
        """Return the outcome of a request, running it unless its ID is known."""
        known = self._running.get(request.id)
        digest = answers.digest(request)
        if known is not None:
            if known.digest != digest:
                return _id_conflict(request.id)
            result = known.result
        else:
            result = self._spawn(
                request.id, digest, lambda: self._execute(request, digest)
            )
        self._waiting += 1
        try:
            outcome = _wait(result, request.deadline_s + REFUSAL_GRACE_S)
        finally:
            self._waiting -= 1
        if isinstance(outcome, answers.Stored) and outcome.digest != digest:
            return _id_conflict(request.id)
        return outcome

    def find(
        self, number: int, request_id: str
    ) -> answers.Stored | Running | errors.Failure:
        """Return the outcome of a request of one partition, or its state."""
        if request_id in self._running:
            return Running()
        if number not in self._kernel.find("claims").owned():
            return errors.Refused(reason="not the owner of this request ID")
        entry = self._kernel.find("partitions").entry_in(number, request_id)
        if isinstance(entry, errors.Failure):
            return entry
        if entry.outcome is not None:
            return self._outcomes.restore(entry.outcome)
        self.recover(request_id, entry.server)
        return Running()

    def recover(self, request_id: str, server: str) -> None:
        """Resolve the outcome of a request that a former owner began."""
        if request_id not in self._running:
            start = outcomes.decode_start(server)
            self._spawn(
                request_id, start.digest, lambda: self._resolve(request_id, start)
            )

    def _spawn(
        self, request_id: str, digest: bytes, work: Callable[[], object]
    ) -> event.AsyncResult:
        """Run work independently of the caller; later calls for the ID join it."""
        result = event.AsyncResult()
        self._running[request_id] = InFlight(digest, result)

        def run() -> None:
            outcome: object = errors.Unknown(reason="outcome unknown: internal error")
            try:
                outcome = work()
            except Exception:
                log.exception("request {} failed", request_id)
            finally:
                del self._running[request_id]
                result.set(outcome)

        gevent.spawn(run)
        return result

    def _partition(self, request_id: str) -> int:
        return self._kernel.find("partitions").request_partition(request_id)

    def _epoch(self, request_id: str) -> int | None:
        partition = self._partition(request_id)
        return self._kernel.find("claims").owned().get(partition)

    def _execute(
        self, request: answers.Request, digest: bytes
    ) -> answers.Stored | errors.Failure:
        deadline = self._clock() + request.deadline_s
        if self._epoch(request.id) is None:
            return errors.Refused(reason="not the owner of this request ID")
        partitions = self._kernel.find("partitions")
        # The refusals below may say "not run" only because the log shows that the ID is
        # new.
        entry = partitions.request_entry(request.id)
        if not isinstance(entry, errors.NotFound):
            return self._resume(request.id, entry)
        target = self._pool_of(request.service)
        if target is None:
            # The process that received the request has a configuration with it.
            return errors.Unavailable(
                reason=f"the owner of this request ID knows no service "
                f"{request.service} yet"
            )
        server = self._find_server(request, target, deadline)
        if isinstance(server, errors.Failure):
            if self._epoch(request.id) is None:
                return errors.Refused(reason="not the owner of this request ID")
            return server
        start = outcomes.Start(
            forwarding.address_of(server), request.team, request.service, digest
        )
        begun = partitions.begin_request(request.id, start.encode())
        if not isinstance(begun, request_log.Begun):
            target.release(server.id)
            if isinstance(begun, errors.Failure) and not isinstance(
                begun, OWNER_UNCERTAIN
            ):
                # A request is sent only after its start is durable, and the log had no
                # earlier start of this ID.
                return errors.NotRun(reason=f"not run: {begun.reason}")
            return self._resume(request.id, begun)
        start, result = self._send_or_move(
            request, target, server, start, begun.epoch, deadline
        )
        return self._outcomes.record(request.id, start, result)

    def _send_or_move(
        self,
        request: answers.Request,
        target: backend_pool.BackendPool,
        server: routing.ServerFacts,
        start: outcomes.Start,
        epoch: int,
        deadline: float,
    ) -> tuple[outcomes.Start, answers.Stored | errors.Failure]:
        """Send a begun request; return its last start and its result.

        While no server can have run it, a server that stays full or goes down is
        replaced by another one, which is recorded in the log first.
        """
        excluded: frozenset[str] = frozenset()
        while True:
            started = self._clock()
            result = self._send(request, target, server, start, epoch, deadline)
            verdict = routing.Outcome.OK
            if isinstance(result, errors.NotRun):
                verdict = routing.Outcome.REFUSED
            elif isinstance(result, errors.Failure):
                verdict = routing.Outcome.FAILED
            seconds = self._clock() - started
            target.finished(server.id, verdict, request.job_class, seconds)
            if not isinstance(result, errors.NotRun):
                return start, result
            excluded |= {server.id}
            other = self._find_server(request, target, deadline, excluded)
            if isinstance(other, errors.Failure):
                return start, result
            server = other
            moved = outcomes.Start(
                forwarding.address_of(server), start.team, start.service, start.digest
            )
            begun = self._kernel.find("partitions").move_request(
                request.id, moved.encode()
            )
            if not isinstance(begun, request_log.Begun):
                target.release(server.id)
                if isinstance(begun, OWNER_UNCERTAIN):
                    return start, errors.Fenced(reason=begun.reason)
                return start, errors.NotRun(reason=f"not run: {begun.reason}")
            start = moved

    def _find_server(
        self,
        request: answers.Request,
        target: backend_pool.BackendPool,
        deadline: float,
        excluded: frozenset[str] = frozenset(),
    ) -> routing.ServerFacts | errors.Failure:
        """Wait for a server and probe it before it is recorded in the log.

        Replacing the recorded server later costs another log write.
        """
        while True:
            server = target.acquire(request.job_class, deadline, excluded)
            if isinstance(server, errors.Failure):
                return server
            state = self._client.lookup(
                forwarding.address_of(server), request.id, PROBE_TIMEOUT_S
            )
            match state:
                case errors.NotFound():
                    return server
                case errors.Failure():
                    target.finished(
                        server.id, routing.Outcome.FAILED, request.job_class, 0.0
                    )
                    excluded |= {server.id}
                case _:
                    # The ID was used for an idempotent request, which is not logged.
                    if isinstance(state, backend_servers.Answer):
                        state.close()
                    target.release(server.id)
                    return _id_conflict(request.id)

    def _resume(
        self, request_id: str, state: object
    ) -> answers.Stored | errors.Failure:
        """Return the outcome of a request that an earlier call began."""
        match state:
            case request_log.Finished(outcome=outcome):
                return self._outcomes.restore(outcome)
            case log_records.RequestEntry(outcome=job.Outcome() as outcome):
                return self._outcomes.restore(outcome)
            case request_log.Running() | log_records.RequestEntry():
                return self._resolve(request_id, outcomes.decode_start(state.server))
            case errors.Failure():
                return state
        raise TypeError(f"unexpected state {state!r}")

    def _send(
        self,
        request: answers.Request,
        target: backend_pool.BackendPool,
        server: routing.ServerFacts,
        start: outcomes.Start,
        epoch: int,
        deadline: float,
    ) -> answers.Stored | errors.Failure:
        """Send a begun request until the server recorded in the log accepts it once.

        `NotRun` means that this server has certainly not run it. After a refusal by a
        full server the send is retried for a short time, which is cheaper than
        recording another server in the log.
        """
        refused_since: float | None = None
        while True:
            now = self._clock()
            if deadline > now > target.usable_until():  # the process was paused
                gevent.sleep(RESEND_PAUSE_S)
                continue
            refusal = self._refusal(request, target, server, epoch, now >= deadline)
            if refusal is not None:
                return refusal
            result = self._client.send(
                start.server,
                request.id,
                request.body,
                deadline - now,
                backend_servers.Epoch(self._partition(request.id), epoch),
                forwarding.headers_of(request),
                min(deadline, target.usable_until()),
            )
            match result:
                case errors.NotRun(reason="epoch"):
                    return errors.Fenced(reason="the server knows a later owner")
                case errors.NotRun() | errors.Unavailable():
                    refused_since = refused_since or now
                    if self._clock() - refused_since >= MOVE_AFTER_S:
                        return errors.NotRun(reason=f"not run: {result.reason}")
                case errors.Failure():
                    return self._outcome_lookup.look_up(
                        request.id, start, FOLLOW_S, epoch_raised=False
                    )
                case _:
                    received = outcome_lookup.receive(result, start)
                    if isinstance(received, errors.Ambiguous):
                        # The response was incomplete; the server still has it.
                        return self._outcome_lookup.look_up(
                            request.id, start, FOLLOW_S, epoch_raised=False
                        )
                    return received
            gevent.sleep(RESEND_PAUSE_S)

    def _refusal(
        self,
        request: answers.Request,
        target: backend_pool.BackendPool,
        server: routing.ServerFacts,
        epoch: int,
        expired: bool,
    ) -> errors.Failure | None:
        """Return the failure if a begun request may not be sent now, else None."""
        if expired:
            return errors.NotRun(reason="not run: no free slot before the deadline")
        if not target.is_usable(server.id):  # may have changed during the log write
            return errors.NotRun(
                reason="not run: the server is being taken out of service"
            )
        # A send must not carry the epoch of a later claim: another owner may have
        # resolved the request in between, and servers then refuse only the old epoch.
        if self._epoch(request.id) != epoch:
            return errors.Fenced(reason="ownership was lost before the send")
        return None

    def _resolve(
        self, request_id: str, start: outcomes.Start
    ) -> answers.Stored | errors.Failure:
        """Resolve and record the outcome of a request that was begun earlier."""
        give_up_at = self._clock() + FOLLOW_S
        pause = outcome_lookup.FIRST_BACKOFF_S
        while True:
            epoch = self._epoch(request_id)
            if epoch is None:
                return errors.Fenced(
                    reason="ownership was lost; the request may have run"
                )
            partition = self._partition(request_id)
            raised = self._client.raise_epoch(
                start.server, backend_servers.Epoch(partition, epoch)
            )
            if raised is None:
                break
            if isinstance(raised, errors.Fenced):
                return raised
            if self._clock() > give_up_at:
                lost = errors.Unknown(reason=f"outcome unknown: {raised.reason}")
                return self._outcomes.record(request_id, start, lost)
            gevent.sleep(pause)
            pause = min(2 * pause, outcome_lookup.MAX_BACKOFF_S)
        left_s = max(outcome_lookup.LOOKUP_TIMEOUT_S, give_up_at - self._clock())
        result = self._outcome_lookup.look_up(
            request_id, start, left_s, epoch_raised=True
        )
        return self._outcomes.record(request_id, start, result)


def _wait(result: event.AsyncResult, limit_s: float) -> object:
    try:
        return result.get(timeout=limit_s)
    except gevent.Timeout:
        return errors.Unknown(reason="outcome unknown: still running at the deadline")


def _id_conflict(request_id: str) -> errors.Conflict:
    return errors.Conflict(
        reason=f"request ID {request_id} was used for another request", key=request_id
    )
