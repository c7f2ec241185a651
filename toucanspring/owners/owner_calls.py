"""Handlers of the calls to the owner of a partition."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import gevent
import gevent.event
import msgspec

from toucanspring import errors, job, kernel, resources
from toucanspring.cell import reply
from toucanspring.owners import duplicate_check, inbox, partition, routes
from toucanspring.reporting import survey
from toucanspring.scheduling import effects

READY_LIMIT_S = 3.0


class OwnerCalls:
    """Serve the calls that `routes.Routes` sends to the owner of a partition."""

    def __init__(
        self,
        core: kernel.Kernel,
        owned: Mapping[int, partition.Partition],
        duplicates: duplicate_check.DuplicateCheck,
    ) -> None:
        self._kernel = core
        self._owned = owned
        self._duplicate_check = duplicates

    def serve(self, calls: routes.Routes) -> None:
        """Register the handlers for calls of this and other processes."""
        for method, function in (
            ("submit", self._serve_submit),
            ("lookup", self._serve_lookup),
            ("cancel", self._serve_cancel),
            ("explain", self._serve_explain),
            ("workers", self._serve_workers),
        ):
            calls.serve(method, function)

    def _wait_until_ready(
        self, number: int
    ) -> partition.Partition | errors.Unavailable:
        owned = self._owned.get(number)
        if owned is None or not owned.ready.wait(READY_LIMIT_S):
            return errors.Unavailable(reason="this process does not own the partition")
        return owned

    def _ask(self, number: int, make_message: object) -> object | errors.Failure:
        owned = self._wait_until_ready(number)
        if isinstance(owned, errors.Failure):
            return owned
        result = gevent.event.AsyncResult()
        owned.post(make_message(result))
        gevent.wait([result, owned.closed], timeout=routes.CALL_TIMEOUT_S, count=1)
        if result.ready():
            return result.get()
        if owned.closed.is_set():
            return errors.Fenced(reason="the partition has moved to another owner")
        return errors.Ambiguous(reason="the partition did not answer in time")

    def _serve_submit(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        specs = msgspec.msgpack.decode(body, type=list[job.JobSpec])
        owned = self._wait_until_ready(number)
        if isinstance(owned, errors.Failure):
            return reply.encode_result(owned)
        checked = self._duplicate_check.check_jobs(owned, specs)
        found = self._ask(
            number,
            lambda result: inbox.Submit(
                specs, result, checked.layout_version, checked.answers
            ),
        )
        if isinstance(found, list):
            found = reply.resubmission_failure(found) or [
                reply.pack(item) for item in found
            ]
        return reply.encode_result(found)

    def _serve_cancel(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        names = msgspec.msgpack.decode(body, type=list[str])
        found = self._ask(number, lambda result: inbox.Cancel(names, result))
        if isinstance(found, dict):
            # Cancellations are idempotent, so all of them are sent to the successor.
            for item in found.values():
                if isinstance(item, errors.Ambiguous | errors.Fenced):
                    return reply.encode_result(errors.Fenced(reason=item.reason))
            found = {name: reply.pack(item) for name, item in found.items()}
        return reply.encode_result(found)

    def _serve_lookup(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        name = body.decode()
        found = self._ask(
            number,
            lambda result: inbox.SchedulerQuery(
                lambda scheduler: scheduler.lookup(name), result
            ),
        )
        owned = self._owned.get(number)
        if isinstance(found, effects.JobStatus) and not (
            owned is not None and owned.is_durable(name)
        ):
            found = dataclasses.replace(found, outcome=None)
        return reply.encode_result(found)

    def _serve_explain(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        name = body.decode()
        return reply.encode_result(
            self._ask(
                number,
                lambda result: inbox.SchedulerQuery(
                    lambda scheduler: scheduler.explain(name), result
                ),
            )
        )

    def _serve_workers(self, _sender: str, envelope: bytes) -> bytes:
        number, _ = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        owned = self._owned.get(number)
        if owned is None:
            return reply.encode_result(errors.Unavailable(reason="not the owner"))
        found = self._ask(
            number, lambda result: inbox.SchedulerQuery(_free_resources, result)
        )
        if isinstance(found, errors.Failure):
            return reply.encode_result(found)
        links = self._kernel.find("fleet").links(number)
        is_leaving = self._kernel.find("fleet").is_leaving
        return reply.encode_result(
            survey.list_workers(
                number, links, owned.attached_workers(), found, is_leaving
            )
        )


def _free_resources(scheduler: object) -> dict[str, resources.Resources]:
    return scheduler.free_by_worker()
