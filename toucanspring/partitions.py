"""Service `partitions`: runs owned partitions and routes calls to owners."""

from __future__ import annotations

import collections
import dataclasses
import time

import gevent
import gevent.event
import gevent.pool
import logbook
import msgspec

from toucanspring import (
    claims,
    documents,
    effects,
    errors,
    inbox,
    job,
    kernel,
    log_records,
    partition,
    request_log,
    resources,
    settings,
    survey,
)

log = logbook.Logger(__name__)

ROUTE_LIMIT_S = 8.0  # covers one takeover with its load from the store
CALL_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.2
ASK_TIMEOUT_S = 3.0
MAX_CONCURRENT_ROUTES = 32
MAX_SPECS_PER_CALL = 200


class Reply(msgspec.Struct, frozen=True):
    """Carry a value or a failure between processes."""

    value: bytes | None = None
    failure: dict[str, object] | None = None


_encode = msgspec.msgpack.encode


def encode_result(value: object) -> bytes:
    """Return a value or failure as bytes for a peer."""
    if isinstance(value, errors.Failure):
        return _encode(Reply(failure=errors.to_dict(value)))
    return _encode(Reply(value=_encode(value)))


def decode_result(body: bytes, kind: type) -> object | errors.Failure:
    """Return the value or failure that a peer sent."""
    try:
        reply = msgspec.msgpack.decode(body, type=Reply)
        if reply.failure is not None:
            return errors.from_dict(reply.failure)
        return msgspec.msgpack.decode(reply.value or b"", type=kind)
    except msgspec.DecodeError as error:
        return errors.Malformed(reason=str(error))


class Service:
    """Own the partitions of this process and reach those of others."""

    def __init__(self, core: kernel.Kernel, options: settings.Settings) -> None:
        self._kernel = core
        self._settings = options
        self._owned: dict[int, partition.Partition] = {}
        self._stopping = False

    def start(self) -> None:
        """Follow ownership and serve calls of other processes."""
        self._kernel.subscribe(claims.PartitionAcquired, self._acquire)
        self._kernel.subscribe(claims.PartitionLost, self._lose)
        self._kernel.subscribe(documents.ConfigurationChanged, self._documents_changed)
        self._kernel.subscribe(
            documents.AvailabilityZonesChanged, self._documents_changed
        )
        peers = self._kernel.find("peers")
        peers.handle("submit", self._serve_submit)
        peers.handle("lookup", self._serve_lookup)
        peers.handle("cancel", self._serve_cancel)
        peers.handle("explain", self._serve_explain)
        peers.handle("workers", self._serve_workers)

    def stop_accepting(self) -> None:
        """Give up all partitions after their logs are written."""
        self.stop()

    def stop(self) -> None:
        """Give up all partitions after their logs are written."""
        self._stopping = True
        gevent.joinall(
            [gevent.spawn(self._close, number) for number in list(self._owned)]
        )

    def _acquire(self, event: claims.PartitionAcquired) -> None:
        if self._stopping:
            return
        self._close(event.partition)
        owned = partition.Partition(
            event.partition, event.epoch, self._kernel, self._settings
        )
        self._owned[event.partition] = owned
        owned.__enter__()

    def _lose(self, event: claims.PartitionLost) -> None:
        owned = self._owned.get(event.partition)
        if owned is not None and event.superseded:
            owned.superseded = True
        self._close(event.partition)

    def _close(self, number: int) -> None:
        owned = self._owned.pop(number, None)
        if owned is not None:
            owned.__exit__()

    def _documents_changed(self, _event: object) -> None:
        for owned in self._owned.values():
            owned.post(inbox.TeamsChanged())

    # Calls

    def submit(self, specs: list[job.JobSpec]) -> list[str | errors.Failure]:
        """Accept jobs; each answer is the job ID, once durable, or a failure.

        A failure of type `Ambiguous` means that the job may still be accepted.
        """
        groups: dict[int, list[int]] = collections.defaultdict(list)
        for index, spec in enumerate(specs):
            groups[self.number_of(spec.id)].append(index)
        answers: list[str | errors.Failure] = [errors.Unavailable()] * len(specs)

        def submit_group(number: int, indices: list[int]) -> None:
            body = _encode([specs[index] for index in indices])
            found = self._route(number, "submit", body, list[str | dict[str, object]])
            for position, index in enumerate(indices):
                if isinstance(found, errors.Failure):
                    answers[index] = found
                else:
                    answers[index] = _unpack(found[position])

        pool = gevent.pool.Pool(MAX_CONCURRENT_ROUTES)
        for number, indices in groups.items():
            for start in range(0, len(indices), MAX_SPECS_PER_CALL):
                pool.spawn(
                    submit_group, number, indices[start : start + MAX_SPECS_PER_CALL]
                )
        pool.join()
        return answers

    def lookup(self, job_id: str) -> effects.JobStatus | errors.Failure:
        """Return the state of a job, from its owner."""
        return self._route(
            self.number_of(job_id), "lookup", job_id.encode(), effects.JobStatus
        )

    def explain(self, job_id: str) -> effects.Explanation | errors.Failure:
        """Return why a job waits or ran where it did, from its owner."""
        return self._route(
            self.number_of(job_id), "explain", job_id.encode(), effects.Explanation
        )

    def cancel(self, job_ids: list[str]) -> dict[str, str | errors.Failure]:
        """Cancel jobs at their owners."""
        groups: dict[int, list[str]] = collections.defaultdict(list)
        for job_id in job_ids:
            groups[self.number_of(job_id)].append(job_id)
        answers: dict[str, str | errors.Failure] = {}

        def cancel_group(number: int, names: list[str]) -> None:
            found = self._route(
                number, "cancel", _encode(names), dict[str, str | dict[str, object]]
            )
            for name in names:
                if isinstance(found, errors.Failure):
                    answers[name] = found
                else:
                    answers[name] = _unpack(found[name])

        gevent.joinall([gevent.spawn(cancel_group, *group) for group in groups.items()])
        return answers

    def workers(self) -> survey.WorkerSurvey:
        """Return the workers of all partitions, and which owners did not answer."""
        jobs = [
            gevent.spawn(self._route, number, "workers", b"", list[survey.WorkerStatus])
            for number in range(self._settings.partitions)
        ]
        gevent.joinall(jobs)
        answered = survey.WorkerSurvey([], {})
        for number, found in enumerate(jobs):
            match found.value:
                case list():
                    answered.workers.extend(found.value)
                case errors.Failure():
                    answered.silent[number] = found.value
                case _:
                    answered.silent[number] = errors.Unknown(reason="internal error")
        return answered

    def begin_request(
        self, request_id: str, server: str
    ) -> (
        request_log.Begun | request_log.Finished | request_log.Running | errors.Failure
    ):
        """Record that a request may be sent; only at the owner of its partition."""
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        return owned.requests.begin(request_id, server)

    def move_request(
        self, request_id: str, server: str
    ) -> request_log.Begun | errors.Failure:
        """Record another server for a request that certainly did not run yet."""
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        return owned.requests.move(request_id, server)

    def finish_request(
        self, request_id: str, outcome: job.Outcome
    ) -> None | errors.Failure:
        """Record the outcome of a request; only at the owner of its partition."""
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        return owned.requests.finish(request_id, outcome)

    def request_entry(
        self, request_id: str
    ) -> log_records.RequestEntry | errors.Failure:
        """Return the log entry of a request; only at the owner of its partition."""
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        return owned.requests.find(request_id)

    def number_of(self, name: str) -> int:
        """Return the partition of a job or request ID."""
        return job.partition_of(name, self._settings.partitions)

    def owned(self) -> dict[int, partition.Partition]:
        """Return the partitions that run in this process."""
        return dict(self._owned)

    def _find_owned(self, name: str) -> partition.Partition | errors.Failure:
        owned = self._owned.get(self.number_of(name))
        if owned is None or not owned.ready.wait(ASK_TIMEOUT_S):
            # Not `NotFound`, which says that the log has no such request.
            return errors.Refused(reason="this process does not own the partition")
        if not self._kernel.find("claims").may_start(owned.number, time.monotonic()):
            return errors.Unavailable(reason="ownership of the partition is in doubt")
        return owned

    # Routing

    def _route(
        self, number: int, method: str, body: bytes, kind: type
    ) -> object | errors.Failure:
        """Call the owner of a partition; wait through a takeover.

        All routed calls are idempotent, so that an unanswered one is repeated.
        """
        deadline = time.monotonic() + ROUTE_LIMIT_S
        envelope = _encode((number, body))
        last: errors.Failure = errors.Unavailable(reason="no owner")
        sent = False
        while time.monotonic() < deadline:
            found = self._call_owner(number, method, envelope)
            match found:
                case bytes():
                    result = decode_result(found, kind)
                    match result:
                        case errors.StoreUnavailable():
                            return result
                        case errors.Unavailable():
                            last = result
                        case errors.Fenced():
                            sent = True
                            last = result
                        case _:
                            return result
                case errors.Ambiguous() | errors.Timeout():
                    sent = True
                    last = found
                case errors.Failure():
                    last = found
            gevent.sleep(RETRY_PAUSE_S)
        if sent:
            return errors.Ambiguous(reason=f"no answer from the owner: {last.reason}")
        return last

    def _call_owner(
        self, number: int, method: str, envelope: bytes
    ) -> bytes | errors.Failure:
        if number in self._owned:
            return self._handlers[method](self, "", envelope)
        owner_of = self._kernel.find("claims").owner_of
        owner = owner_of(number)
        if isinstance(owner, errors.Failure):
            return errors.Unavailable(reason=owner.reason)
        # A call that was sent right before a takeover would else wait for the former
        # owner until its timeout, longer than the takeover takes.
        return self._kernel.find("peers").call(
            owner.process,
            method,
            envelope,
            CALL_TIMEOUT_S,
            abandon=lambda: owner_of(number) != owner,
        )

    def _ask(self, number: int, make: object) -> object | errors.Failure:
        owned = self._owned.get(number)
        if owned is None or not owned.ready.wait(ASK_TIMEOUT_S):
            return errors.Unavailable(reason="this process does not own the partition")
        result = gevent.event.AsyncResult()
        owned.post(make(result))
        gevent.wait([result, owned.closed], timeout=CALL_TIMEOUT_S, count=1)
        if result.ready():
            return result.get()
        if owned.closed.is_set():
            return errors.Fenced(reason="the partition has moved to another owner")
        return errors.Ambiguous(reason="the partition did not answer in time")

    def _serve_submit(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        specs = msgspec.msgpack.decode(body, type=list[job.JobSpec])
        found = self._ask(number, lambda result: inbox.Submit(specs, result))
        if isinstance(found, list):
            return encode_result(
                _moved(found) or _refused_by_store(found) or [_pack(i) for i in found]
            )
        return encode_result(found)

    def _serve_cancel(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        names = msgspec.msgpack.decode(body, type=list[str])
        found = self._ask(number, lambda result: inbox.Cancel(names, result))
        if isinstance(found, dict):
            found = {name: _pack(item) for name, item in found.items()}
        return encode_result(found)

    def _serve_lookup(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        name = body.decode()
        found = self._ask(
            number, lambda result: inbox.Ask(lambda owner: owner.lookup(name), result)
        )
        owned = self._owned.get(number)
        if isinstance(found, effects.JobStatus) and not (
            owned is not None and owned.is_durable(name)
        ):
            found = dataclasses.replace(found, outcome=None)
        return encode_result(found)

    def _serve_explain(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        name = body.decode()
        return encode_result(
            self._ask(
                number,
                lambda result: inbox.Ask(lambda owner: owner.explain(name), result),
            )
        )

    def _serve_workers(self, _sender: str, envelope: bytes) -> bytes:
        number, _ = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        owned = self._owned.get(number)
        if owned is None:
            return encode_result(errors.Unavailable(reason="not the owner"))
        found = self._ask(number, lambda result: inbox.Ask(_free, result))
        if isinstance(found, errors.Failure):
            return encode_result(found)
        links = self._kernel.find("fleet").links(number)
        is_leaving = self._kernel.find("fleet").is_leaving
        return encode_result(
            survey.list_links(number, links, owned.facts(), found, is_leaving)
        )

    _handlers = {
        "submit": _serve_submit,
        "cancel": _serve_cancel,
        "lookup": _serve_lookup,
        "explain": _serve_explain,
        "workers": _serve_workers,
    }


def _free(owner: object) -> dict[str, resources.Resources]:
    return owner.free_by_worker()


def _moved(found: list[str | errors.Failure]) -> errors.Failure | None:
    """Return why jobs have to be submitted again, to the successor of an owner.

    `Fenced` says that some of them may be in the log. Jobs that were accepted are
    repeated with the others, which changes nothing.
    """
    for item in found:
        if isinstance(item, errors.Ambiguous):
            return errors.Fenced(reason=item.reason)
    for item in found:
        match item:
            case errors.StoreUnavailable():
                continue
            case errors.Fenced() | errors.Unavailable():
                return errors.Unavailable(reason=item.reason)
    return None


def _refused_by_store(
    found: list[str | errors.Failure],
) -> errors.StoreUnavailable | None:
    """Return the failure if all jobs were refused because of the store."""
    if found and all(isinstance(item, errors.StoreUnavailable) for item in found):
        return found[0]
    return None


def _pack(item: str | errors.Failure) -> str | dict[str, object]:
    return errors.to_dict(item) if isinstance(item, errors.Failure) else item


def _unpack(item: str | dict[str, object]) -> str | errors.Failure:
    return errors.from_dict(item) if isinstance(item, dict) else item
