"""Submissions of which one process can't tell whether they are stored, known to all.

A write without an answer may take effect seconds later. The caller returns to any
process, and one that refuses the job would promise that it never runs.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable
from typing import Annotated

import gevent
import logbook
import msgspec
from gevent import event, pool

from toucanspring import decoding, errors
from toucanspring import log as structured

log = logbook.Logger(__name__)

METHOD = "doubts"
GATHER_S = 0.02  # doubts of one call are gathered for this long
MAX_IDS = 1000  # of one call; those of a process that wait are as many
CALL_TIMEOUT_S = 0.5
MAX_CALLS = 16

JobId = Annotated[str, msgspec.Meta(max_length=64)]


class Told(msgspec.Struct, array_like=True):
    """Jobs in doubt; the coordinator passes them on to all processes once."""

    jobs: Annotated[list[JobId], msgspec.Meta(max_length=MAX_IDS)]
    is_passed_on: bool = False


_decoder = msgspec.msgpack.Decoder(Told)


class Doubts:
    """Tells the other processes of jobs in doubt, through the coordinator.

    `find_receivers` returns the processes to tell and whether this one coordinates, so
    that they are all others.
    """

    def __init__(
        self, kernel: object, find_receivers: Callable[[], tuple[list[str], bool]]
    ) -> None:
        self.on_doubt: Callable[[str], None] = lambda _job_id: None
        self._kernel = kernel
        self._find_receivers = find_receivers
        self._waiting: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._wake = event.Event()
        self._calls = pool.Pool(MAX_CALLS)
        self._greenlet: gevent.Greenlet | None = None

    def __enter__(self) -> Doubts:
        self._kernel.find("peers").handle(METHOD, self._serve)
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        gevent.kill(self._greenlet, block=False)
        self._calls.kill(block=False)

    def tell(self, job_id: str) -> None:
        """Tell all processes that a job may be stored; never blocks."""
        self._add([job_id])

    def _add(self, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            self._waiting[job_id] = None
        if len(self._waiting) > MAX_IDS:
            structured.decide(log, "doubts_dropped", jobs=len(self._waiting) - MAX_IDS)
        while len(self._waiting) > MAX_IDS:
            self._waiting.popitem(last=False)
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            gevent.sleep(GATHER_S)
            self._wake.clear()
            job_ids, self._waiting = list(self._waiting), collections.OrderedDict()
            receivers, coordinates = self._find_receivers()
            body = msgspec.msgpack.encode(Told(job_ids, coordinates))
            for name in receivers:
                self._calls.spawn(self._call, name, body, len(job_ids))

    def _call(self, name: str, body: bytes, count: int) -> None:
        answer = self._kernel.find("peers").call(name, METHOD, body, CALL_TIMEOUT_S)
        if isinstance(answer, errors.Failure):
            structured.decide(
                log, "doubts_not_told", process=name, jobs=count, reason=answer.reason
            )

    def _serve(self, sender: str, body: bytes) -> bytes | errors.Failure:
        told = decoding.decode(_decoder, body, f"doubts of {sender}")
        if isinstance(told, errors.Malformed):
            return told
        for job_id in told.jobs:
            self.on_doubt(job_id)
        if not told.is_passed_on and self._find_receivers()[1]:
            self._add(told.jobs)
        return b""
