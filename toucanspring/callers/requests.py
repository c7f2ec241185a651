"""Requests to services, sent by this process or by the owner of the request ID."""

from __future__ import annotations

import random
from collections.abc import Iterator

import gevent
import logbook
import msgspec

from toucanspring import errors, kernel, uptime
from toucanspring.adapters import backend_servers, vms
from toucanspring.callers import answers, backend_pool, forwarding, listing, routing
from toucanspring.cell import claims, rpc
from toucanspring.configuration import text
from toucanspring.owners import runner, search
from toucanspring.reporting import burn, event_kinds

log = logbook.Logger(__name__)

Request = answers.Request
Answer = answers.Answer

RETRY_S = 0.05  # delay before the owner of a partition is called again
STATUS_TIMEOUT_S = 2.0
RECOVERY_TIMEOUT_S = 60.0  # limit on reading the log of a claimed partition
# Extra wait for the refusal that the owner sends just after the deadline.
OWNER_GRACE_S = 0.5
# The owner was not reached, or refused before it looked up the ID.
RETRYABLE_FAILURES = (errors.Unavailable, errors.Refused)
# The request may have run: the owner's answer was lost, or the owner lost its
# ownership while it processed the request.
AMBIGUOUS_FAILURES = (errors.Ambiguous, errors.Timeout, errors.Closed, errors.Fenced)


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Start the answer to a forwarded request; `length` bytes of body follow."""

    status: int
    headers: dict[str, str] = {}
    length: int = 0


class RequestState(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a status query for a request ID."""

    running: bool = False
    stored: answers.Stored | None = None


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(AnswerHead)
_state_decoder = msgspec.msgpack.Decoder(RequestState)


class Service:
    """Own the backend pools of all services and the requests in progress."""

    def __init__(
        self,
        core: kernel.Kernel,
        settings: object,
        client: backend_servers.BackendServerClient | None = None,
    ) -> None:
        self._kernel = core
        self._settings = settings
        self._client = client or backend_servers.HttpBackendServerClient(
            settings.process
        )
        self._rng = random.Random()
        self._pools: dict[str, backend_pool.BackendPool] = {}
        self._cell: text.Cell | None = None
        self._zones_out: frozenset[str] = frozenset()
        self._listing = listing.VmListCache(lambda: core.find("store").vms.list())
        self._poller: gevent.Greenlet | None = None
        self._serving = 0
        self.burn = burn.Recorder()
        self._runner = runner.Runner(core, self._pool_of, self._client)

    def start(self) -> None:
        """Register the handlers of peer calls and start polling the VM list."""
        peers = self._kernel.find("peers")
        peers.handle("request", self._serve_forwarded)
        peers.handle("request_status", self._serve_status)
        self._kernel.subscribe(claims.PartitionAcquired, self._recover)
        self._poller = gevent.spawn(self._poll)

    def stop(self) -> None:
        """Stop polling the VM list and close idle connections."""
        if self._poller is not None:
            self._poller.kill()
        for each in self._pools.values():
            each.close()
        self._client.close()

    def in_flight(self) -> int:
        """Return the number of requests that this process is still handling."""
        return self._serving + self._runner.in_flight()

    def serve(self, request: Request) -> Answer | errors.Failure:
        """Run a request and return its answer.

        Idempotent requests are retried at other servers; others run at most once.
        """
        target = self._pool_of(request.service)
        if target is None:
            return errors.NotFound(reason=f"no service {request.service}")
        started = uptime.now()
        self._serving += 1
        try:
            if request.idempotent:
                result = forwarding.IdempotentCall(target, self._client, request).run()
            else:
                result = self._forward(request)
        finally:
            self._serving -= 1
        now = uptime.now()
        self._record(target.service, request, result, now - started, now)
        if isinstance(result, errors.Overloaded):
            self._kernel.publish(
                event_kinds.RequestsRefused(request.service, request.job_class)
            )
        if isinstance(result, Answer) and isinstance(result.chunks, forwarding.Stream):
            result.chunks.on_abort = lambda: self.burn.record(
                request.service, request.team, False, uptime.now()
            )
        return result

    def lookup(
        self, request_id: str
    ) -> answers.Stored | runner.Running | errors.Failure:
        """Return the outcome of a non-idempotent request from the owner of its ID."""
        deadline = uptime.now() + STATUS_TIMEOUT_S
        while True:
            result = search.find(
                self._kernel.find("layout"),
                request_id,
                lambda number: self._query_status(
                    number, request_id, deadline - uptime.now()
                ),
            )
            retry = isinstance(result, RETRYABLE_FAILURES + AMBIGUOUS_FAILURES)
            if not retry or uptime.now() + RETRY_S >= deadline:
                break
            gevent.sleep(RETRY_S)
        if isinstance(result, AMBIGUOUS_FAILURES):
            return errors.Unavailable(reason=result.reason)  # a read has no effect
        if isinstance(result, errors.RecordedNotRun):
            return errors.NotRun(reason=result.reason)
        return result

    def waiting(self) -> dict[str, dict[str, int]]:
        """Return the number of waiting requests by service and class."""
        return {name: each.waiting() for name, each in self._pools.items()}

    def _recover(self, event: claims.PartitionAcquired) -> None:
        """Determine the outcome of requests that the former owner started."""
        gevent.spawn(self._recover_partition, event.partition)

    def _recover_partition(self, number: int) -> None:
        owned = self._kernel.find("partitions").owned().get(number)
        if owned is not None and owned.ready.wait(RECOVERY_TIMEOUT_S):
            for request_id, server in owned.requests.interrupted().items():
                self._runner.recover(request_id, server)

    # Calls from the process that received the request

    def _forward(self, request: Request) -> Answer | errors.Failure:
        """Forward a request to the owner of its ID; retry if the owner is lost.

        The owner runs an ID at most once, so a retry is always safe.
        """
        deadline = uptime.now() + request.deadline_s
        ambiguous: errors.Failure | None = None
        number: int | None = None  # set if another partition has the request
        while True:
            left_s = deadline - uptime.now()
            result = self._forward_once(request, number, max(0.001, left_s))
            number = None
            match result:
                case Answer():
                    return result
                case errors.HeldElsewhere():
                    number = result.partition
                case errors.RecordedNotRun():
                    return errors.NotRun(reason=result.reason)
                case errors.NotRun() | errors.Overloaded() if ambiguous is not None:
                    # Only this attempt was refused; an earlier one may still arrive.
                    return errors.Unknown(reason=f"outcome unknown: {ambiguous.reason}")
            if isinstance(result, AMBIGUOUS_FAILURES):
                ambiguous = result
            elif not isinstance(result, RETRYABLE_FAILURES):
                return result
            if uptime.now() + RETRY_S >= deadline:
                break
            gevent.sleep(RETRY_S)
        if ambiguous is not None:
            return errors.Unknown(reason=f"outcome unknown: {ambiguous.reason}")
        # No log was read, so an earlier call with this ID may have run.
        return errors.Unavailable(reason=f"not run by this call: {result.reason}")

    def _forward_once(
        self, request: Request, number: int | None, left_s: float
    ) -> Answer | errors.Failure:
        if number is None:
            number = self._kernel.find("layout").layout.partition_of(request.id)
        owner_of = self._kernel.find("claims").owner_of
        owner = owner_of(number)
        if isinstance(owner, errors.Failure):
            return errors.Unavailable(reason=owner.reason or "no owner")
        sent = msgspec.structs.replace(request, deadline_s=left_s)
        if owner.process == self._kernel.find("membership").identity.process:
            stored = self._runner.run(sent)
            if isinstance(stored, errors.Failure):
                return stored
            return _build_answer(stored.status, stored.headers, stored.body)
        # A paused owner does not answer; its successor knows the outcome.
        chunks = self._kernel.find("peers").call_stream(
            owner.process,
            "request",
            answers.encode(sent),
            left_s + OWNER_GRACE_S,
            abandon=lambda: owner_of(number) != owner,
        )
        if isinstance(chunks, errors.Failure):
            return chunks
        return _receive_answer(chunks)

    def _query_status(
        self, number: int, request_id: str, left_s: float
    ) -> answers.Stored | runner.Running | errors.Failure:
        owner_of = self._kernel.find("claims").owner_of
        owner = owner_of(number)
        if isinstance(owner, errors.Failure):
            return errors.Unavailable(reason=owner.reason or "no owner")
        if owner.process == self._kernel.find("membership").identity.process:
            return self._runner.find(number, request_id)
        body = self._kernel.find("peers").call(
            owner.process,
            "request_status",
            _encoder.encode((number, request_id)),
            max(0.05, left_s),
            abandon=lambda: owner_of(number) != owner,
        )
        if isinstance(body, errors.Failure):
            return body
        try:
            state = _state_decoder.decode(body)
        except msgspec.MsgspecError as error:
            return errors.Malformed(reason=f"state of {request_id}: {error}")
        return runner.Running() if state.running else state.stored

    # Calls handled by the owner of the request ID

    def _serve_forwarded(
        self, sender: str, body: bytes
    ) -> Iterator[bytes] | errors.Failure:
        request = answers.decode_request(body)
        if isinstance(request, errors.Failure):
            log.error("invalid request forwarded by {}: {}", sender, request.reason)
            return request
        stored = self._runner.run(request)
        if isinstance(stored, errors.Failure):
            return stored
        return _stream_answer(stored)

    def _serve_status(self, _sender: str, body: bytes) -> bytes | errors.Failure:
        number, request_id = msgspec.msgpack.decode(body, type=tuple[int, str])
        found = self._runner.find(number, request_id)
        match found:
            case errors.Failure():
                return found
            case runner.Running():
                return _encoder.encode(RequestState(running=True))
        return _encoder.encode(RequestState(stored=found))

    # Backend pools

    def _pool_of(self, service: str) -> backend_pool.BackendPool | None:
        self._apply_documents()
        return self._pools.get(service)

    def _apply_documents(self) -> None:
        """Apply a changed configuration and changes of the zones out of service."""
        documents = self._kernel.find("documents")
        cell = documents.cell()
        if cell is not self._cell:
            self._cell = cell
            for name in [name for name in self._pools if name not in cell.services]:
                self._pools.pop(name).close()
            for name, service in cell.services.items():
                if name in self._pools:
                    self._pools[name].service = service
                else:
                    self._pools[name] = backend_pool.BackendPool(
                        service, self._rng, usable_until=self._listing.usable_until
                    )
                    self._pools[name].set_zones_out(self._zones_out)
            self._set_servers()
        zones_out = documents.zones_out()
        if zones_out != self._zones_out:
            self._zones_out = zones_out
            for each in self._pools.values():
                each.set_zones_out(zones_out)

    def _set_servers(self) -> None:
        for each in self._pools.values():
            each.set_servers(
                [
                    routing.ServerFacts(
                        vm.id,
                        vm.address,
                        vm.port,
                        vm.availability_zone,
                        vm.state is vms.State.LEAVING,
                    )
                    for vm in self._listing.vms
                    if vm.role is vms.Role.BACKEND_SERVER
                    and vm.service == each.service.backend_servers
                ]
            )

    def _poll(self) -> None:
        while True:
            pause_s = listing.POLL_S
            try:
                previous = self._listing.vms
                pause_s = self._listing.update()
                if self._listing.vms != previous:
                    self._forget_unlisted(previous)
                    self._set_servers()
                self._apply_documents()
                for each in self._pools.values():
                    each.dispatch()
            except Exception:
                log.exception("polling the VM list failed")
            gevent.sleep(pause_s)

    def _forget_unlisted(self, previous: list[vms.Vm]) -> None:
        """Close connections to servers that are no longer listed."""
        listed = {f"{vm.address}:{vm.port}" for vm in self._listing.vms}
        for server in {f"{vm.address}:{vm.port}" for vm in previous} - listed:
            self._client.forget(server)

    def _record(
        self,
        service: text.Service,
        request: Request,
        result: object,
        seconds: float,
        now: float,
    ) -> None:
        match result:
            case Answer(status=status):
                good = status < 500
            case errors.Conflict() | errors.NotFound() | errors.Forbidden():
                return  # errors of the caller are not counted
            case _:
                good = False
        rule = service.classes.get(request.job_class)
        if rule is not None and rule.within_seconds is not None:
            good = good and seconds <= rule.within_seconds
        self.burn.record(service.name, request.team, good, now)


def _build_answer(status: int, headers: dict[str, str], body: bytes) -> Answer:
    return Answer(status, headers, answers.split(body), len(body))


def _stream_answer(stored: answers.Stored) -> Iterator[bytes]:
    head = AnswerHead(
        status=stored.status, headers=stored.headers, length=len(stored.body)
    )
    yield _encoder.encode(head)
    yield from answers.split(stored.body)


def _receive_answer(chunks: Iterator[bytes]) -> Answer | errors.Failure:
    """Receive a complete answer; an incomplete one is `Ambiguous` and retried."""
    received = bytearray()
    try:
        head = _head_decoder.decode(next(chunks))
        for chunk in chunks:
            received += chunk
    except (StopIteration, msgspec.MsgspecError) as error:
        return errors.Ambiguous(reason=f"the owner's answer has no head: {error}")
    except rpc.StreamBrokenError as error:
        return errors.Ambiguous(reason=f"the owner's answer ended early: {error}")
    if len(received) != head.length:
        return errors.Ambiguous(reason="the owner's answer is incomplete")
    return _build_answer(head.status, head.headers, bytes(received))
