"""Service `handover`: IDs and ended work of former numbers of partitions.

A new ID is accepted only after each partition to which a former number maps it has
denied it. Ended work moves to the log of the partition of the present number, so that
a former number can be removed once its work has ended.
"""

from __future__ import annotations

import collections
import dataclasses
import time
from collections.abc import Callable

import gevent
import logbook
import msgspec

from toucanspring import errors, job, kernel, settings
from toucanspring.cell import layout, ownership_rows, reply
from toucanspring.owners import duplicate_check, log_records, partition, roster, routes

log = logbook.Logger(__name__)

STEP_INTERVAL_S = 0.5
# Each try asks the owners of all partitions.
REMOVAL_INTERVAL_S = 2.0
ADOPT_LIMIT_S = 5.0
MAX_ENTRIES_PER_CALL = 200
MAX_BYTES_PER_CALL = 512 * 1024  # frames between processes hold 1 MiB
ENTRIES_PER_SLICE = 1000  # so that a long search does not hold up other greenlets
REMOVING_PARTITION = 0


class Transfer(msgspec.Struct, frozen=True):
    """Hand ended work over to the partition of the present number."""

    generation: int
    entries: log_records.Adopted


class Remaining(msgspec.Struct, frozen=True):
    """Say for which former numbers a partition still holds work, and how much.

    `in_use` says that workers or allowances belong to a partition that only a former
    number has.
    """

    generation: int
    numbers: list[int]
    jobs: int
    requests: int
    in_use: bool


@dataclasses.dataclass(slots=True)
class Misplaced:
    """Hold what one owned partition has for the partitions of the present number.

    Within a generation nothing is added, since such IDs are accepted elsewhere.
    """

    epoch: int
    generation: int
    job_ids: set[str]
    request_ids: set[str]


class Service:
    """Ask, answer and hand over; works only while there are former numbers."""

    def __init__(
        self,
        core: kernel.Kernel,
        options: settings.Settings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        del options
        self._kernel = core
        self._clock = clock
        self._misplaced: dict[int, Misplaced] = {}
        self._next_removal = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Serve other processes and hand over ended work."""
        self._routes.serve("held", self._serve_held)
        self._routes.serve("adopt", self._serve_adopt)
        self._routes.serve("remaining", self._serve_remaining)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Hand over nothing more."""
        if self._greenlet is not None:
            self._greenlet.kill()

    @property
    def _routes(self) -> routes.Routes:
        return self._kernel.find("partitions").routes

    @property
    def _view(self) -> layout.VersionedLayout:
        return self._kernel.find("layout").view

    # Answering

    def _find_owner(
        self, number: int, generation: int
    ) -> partition.Partition | errors.Failure:
        """Return an owned partition that knows all IDs of before a generation."""
        owner = self._kernel.find("partitions").owned().get(number)
        if owner is None or not owner.ready.wait(partition.ASK_TIMEOUT_S):
            return errors.Unavailable(reason="this process does not own the partition")
        if self._view.layout.generation < generation:
            failure = self._kernel.find("layout").reread()
            if failure is not None or self._view.layout.generation < generation:
                return errors.Unavailable(reason="the layout is not known here yet")
        return owner.log_check.verify() or owner

    def _serve_held(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        query = msgspec.msgpack.decode(body, type=duplicate_check.HeldQuery)
        owner = self._find_owner(number, query.generation)
        if isinstance(owner, errors.Failure):
            return reply.encode_result(owner)
        found = duplicate_check.answer_query(owner.journal.state, query)
        return reply.encode_result(found)

    def _serve_adopt(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        transfer = msgspec.msgpack.decode(body, type=Transfer)
        owner = self._kernel.find("partitions").owned().get(number)
        if owner is None or not owner.ready.is_set():
            return reply.encode_result(errors.Unavailable(reason="not the owner"))
        view = self._view
        entries = transfer.entries
        names = [each.spec.id for each in entries.jobs] + list(entries.requests)
        if view.layout.generation != transfer.generation or any(
            view.layout.partition_of(name) != number for name in names
        ):
            return reply.encode_result(duplicate_check.wrong_partition_failure())
        # Like an acceptance: in a later generation another partition is asked for it.
        failure = owner.journal.append(entries, True, view.version).get()
        if failure is None and entries.jobs:
            now = self._clock()
            failure = owner.ask(lambda found: found.adopt(entries.jobs, now))
        return reply.encode_result(failure or len(names))

    def _serve_remaining(self, _sender: str, envelope: bytes) -> bytes:
        number, body = msgspec.msgpack.decode(envelope, type=tuple[int, bytes])
        generation = msgspec.msgpack.decode(body, type=int)
        owner = self._find_owner(number, generation)
        if isinstance(owner, errors.Failure):
            return reply.encode_result(owner)
        return reply.encode_result(self._remaining(owner))

    def _remaining(self, owner: partition.Partition) -> Remaining | errors.Failure:
        found = self._find_misplaced(owner)
        if isinstance(found, errors.Failure):
            return found
        view = self._view
        names = found.job_ids | found.request_ids
        numbers = [
            former
            for former in view.layout.former
            if any(job.partition_of(name, former) == owner.number for name in names)
        ]
        in_use = False
        if owner.number >= view.layout.current:
            in_use = bool(
                self._kernel.find("fleet").roster.workers_of(owner.number)
                or owner.allowances.holds_any()
            )
        return Remaining(
            found.generation,
            numbers,
            len(found.job_ids),
            len(found.request_ids),
            in_use,
        )

    # Handing over

    def _run(self) -> None:
        while True:
            gevent.sleep(STEP_INTERVAL_S)
            try:
                if self._view.layout.former:
                    self.step()
                else:
                    self._misplaced.clear()
            except Exception:
                log.exception("handing over ended work failed")

    def step(self) -> None:
        """Hand over what has ended; remove former numbers that hold nothing."""
        owned = self._kernel.find("partitions").owned()
        for number in self._misplaced.keys() - owned.keys():
            del self._misplaced[number]
        for owner in owned.values():
            if owner.ready.is_set() and owner.log_check.verify() is None:
                self._hand_over(owner)
        due = self._clock() >= self._next_removal
        if REMOVING_PARTITION in owned and due:
            self._next_removal = self._clock() + REMOVAL_INTERVAL_S
            self._remove_former_counts(owned[REMOVING_PARTITION])

    def _find_misplaced(self, owner: partition.Partition) -> Misplaced | errors.Failure:
        """Return what is held for other partitions, of a sealed owner."""
        present = self._view.layout
        known = self._misplaced.get(owner.number)
        if not owner.log_check.is_verified():
            return errors.LayoutChanged(reason="the number changed meanwhile")
        if (
            known is None
            or known.generation != present.generation
            or known.epoch != owner.epoch
        ):
            state = owner.journal.state
            known = Misplaced(owner.epoch, present.generation, set(), set())
            for names, found in (
                (list(state.specs), known.job_ids),
                (list(state.requests), known.request_ids),
            ):
                for index, name in enumerate(names):
                    if present.partition_of(name) != owner.number:
                        found.add(name)
                    if index % ENTRIES_PER_SLICE == ENTRIES_PER_SLICE - 1:
                        gevent.sleep(0)
            if self._view.layout.generation != present.generation:
                return errors.LayoutChanged(reason="the number changed meanwhile")
            self._misplaced[owner.number] = known
        state = owner.journal.state
        known.job_ids &= state.specs.keys()
        known.request_ids &= state.requests.keys()
        return known

    def _hand_over(self, owner: partition.Partition) -> None:
        """Hand over what has ended to each partition of the present number."""
        found = self._find_misplaced(owner)
        if isinstance(found, errors.Failure):
            return
        state = owner.journal.state
        present = self._view.layout
        receivers: dict[int, list[str]] = collections.defaultdict(list)
        ended_requests = {
            name for name in found.request_ids if state.requests[name].outcome
        }
        for name in found.job_ids:
            if state.is_finished(name) and owner.is_durable(name):
                receivers[present.partition_of(name)].append(name)
        for name in ended_requests:
            receivers[present.partition_of(name)].append(name)
        for receiver, names in receivers.items():
            self._send(owner, found.generation, receiver, names)

    def _send(
        self,
        owner: partition.Partition,
        generation: int,
        receiver: int,
        names: list[str],
    ) -> None:
        """Hand over some entries; forget them once they are durable there.

        They are forgotten only under the same layout: in a later one, the receiver may
        hand them over itself, to this partition as well, which has them already.
        """
        view = self._view
        if view.layout.generation != generation:
            return
        entries = _pack(owner.journal.state, names)
        found = self._routes.call(
            receiver,
            "adopt",
            reply.encode(Transfer(generation, entries)),
            int,
            ADOPT_LIMIT_S,
        )
        if isinstance(found, errors.Failure):
            log.info("partition {}: no handover: {}", owner.number, found.reason)
            return
        owner.journal.append(
            log_records.HandedOver(
                [each.spec.id for each in entries.jobs], list(entries.requests)
            ),
            True,
            view.version,
        ).get()

    def _remove_former_counts(self, owner: partition.Partition) -> None:
        """Remove former numbers for which no partition holds anything any more."""
        service = self._kernel.find("layout")
        present = service.layout
        answers = self.survey()
        needed: set[int] = set()
        for number, found in answers.items():
            if (
                isinstance(found, errors.Failure)
                or found.generation != present.generation
            ):
                return
            needed.update(found.numbers)
            if found.in_use:
                needed.update(each for each in present.former if each > number)
        ended = set(present.former) - needed
        if not ended:
            return
        count = layout.without_former(present, ended).count
        workers = self._kernel.find("fleet").roster
        if any(number >= count for number in workers.partitions.values()):
            return
        failure = service.remove_former(
            ended,
            present.generation,
            {
                ownership_rows.key_of(owner.number): owner.row_version,
                roster.WORKERS_ROW: workers.version,
            },
        )
        if failure is None:
            log.info("former numbers {} hold nothing any more", sorted(ended))

    def survey(self) -> dict[int, Remaining | errors.Failure]:
        """Ask all owners what they hold for former numbers."""
        present = self._view.layout
        body = reply.encode(present.generation)
        limit_s = duplicate_check.ASK_LIMIT_S
        jobs = [
            gevent.spawn(
                self._routes.call, number, "remaining", body, Remaining, limit_s
            )
            for number in range(present.count)
        ]
        gevent.joinall(jobs)
        return {
            number: found.value
            if found.value is not None
            else errors.Unknown(reason="internal error")
            for number, found in enumerate(jobs)
        }


def _pack(state: log_records.State, names: list[str]) -> log_records.Adopted:
    """Return as many of the named ended entries as one call may carry."""
    jobs: list[log_records.EndedJob] = []
    requests: dict[str, log_records.RequestEntry] = {}
    size = 0
    for name in names[:MAX_ENTRIES_PER_CALL]:
        entries = []
        if name in state.specs and state.is_finished(name):
            entries.append(state.ended_job(name))
        entry = state.requests.get(name)
        if entry is not None and entry.outcome is not None:
            entries.append(entry)
        size += len(reply.encode(entries))
        if size > MAX_BYTES_PER_CALL and (jobs or requests):
            break
        for each in entries:
            if isinstance(each, log_records.EndedJob):
                jobs.append(each)
            else:
                requests[name] = each
    return log_records.Adopted(jobs, requests)
