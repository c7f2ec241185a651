"""Service `handover`: transfer of ended work after a change of the partition count.

A new ID is accepted only after each partition to which a former partition count maps it
has answered that it does not have it. Ended work is handed over to the log of the
partition of the current partition count, so that a former count can be removed once its
work has ended.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

import gevent
import logbook
import msgspec

from toucanspring import errors, job, kernel, settings, uptime
from toucanspring.cell import layout, ownership_rows, reply
from toucanspring.owners import duplicate_check, log_records, partition, roster, routes

log = logbook.Logger(__name__)

STEP_INTERVAL_S = 0.5
# Each attempt to remove former partition counts queries the owners of all partitions.
REMOVAL_INTERVAL_S = 2.0
ADOPT_LIMIT_S = 5.0
MAX_ENTRIES_PER_CALL = 200
MAX_BYTES_PER_CALL = 512 * 1024  # frames between processes are limited to 1 MiB
ENTRIES_PER_SLICE = 1000  # a long search yields to other greenlets after so many
REMOVING_PARTITION = 0


class Transfer(msgspec.Struct, frozen=True):
    """Ended work for the partition of the current partition count."""

    generation: int
    entries: log_records.Adopted


class Remaining(msgspec.Struct, frozen=True):
    """Former partition counts for which a partition still holds work, and how much.

    `in_use` is set if workers or allowances belong to a partition that does not exist
    under the current partition count.
    """

    generation: int
    numbers: list[int]
    jobs: int
    requests: int
    in_use: bool


@dataclasses.dataclass(slots=True)
class Misplaced:
    """IDs held by an owned partition that the current partition count maps elsewhere.

    Within a generation none is added, since such IDs are accepted elsewhere.
    """

    epoch: int
    generation: int
    job_ids: set[str]
    request_ids: set[str]


class Service:
    """Hand over ended work while there are former partition counts."""

    def __init__(
        self,
        core: kernel.Kernel,
        options: settings.Settings,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        del options
        self._kernel = core
        self._clock = clock
        self._misplaced: dict[int, Misplaced] = {}
        self._next_removal = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Serve other processes and start to hand over ended work."""
        self._routes.serve("held", self._serve_held)
        self._routes.serve("adopt", self._serve_adopt)
        self._routes.serve("remaining", self._serve_remaining)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop handing over work."""
        if self._greenlet is not None:
            self._greenlet.kill()

    @property
    def _routes(self) -> routes.Routes:
        return self._kernel.find("partitions").routes

    @property
    def _view(self) -> layout.VersionedLayout:
        return self._kernel.find("layout").view

    # Calls of other processes

    def _find_owner(
        self, number: int, generation: int
    ) -> partition.Partition | errors.Failure:
        """Return an owned partition that knows all IDs from before a generation."""
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
        # Checks the layout version like an acceptance, since in a later generation
        # another partition is asked for the IDs.
        failure = owner.journal.append(entries, True, view.version).get()
        if failure is None and entries.jobs:
            now = self._clock()
            failure = owner.ask(lambda scheduler: scheduler.adopt(entries.jobs, now))
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
        """Hand over ended work; remove former partition counts without work."""
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
        """Return the IDs held for other partitions, if the owner's log is verified."""
        current_layout = self._view.layout
        known = self._misplaced.get(owner.number)
        if not owner.log_check.is_verified():
            return errors.LayoutChanged(
                reason="the number of partitions changed meanwhile"
            )
        if (
            known is None
            or known.generation != current_layout.generation
            or known.epoch != owner.epoch
        ):
            state = owner.journal.state
            known = Misplaced(owner.epoch, current_layout.generation, set(), set())
            for names, found in (
                (list(state.specs), known.job_ids),
                (list(state.requests), known.request_ids),
            ):
                for index, name in enumerate(names):
                    if current_layout.partition_of(name) != owner.number:
                        found.add(name)
                    if index % ENTRIES_PER_SLICE == ENTRIES_PER_SLICE - 1:
                        gevent.sleep(0)
            if self._view.layout.generation != current_layout.generation:
                return errors.LayoutChanged(
                    reason="the number of partitions changed meanwhile"
                )
            self._misplaced[owner.number] = known
        state = owner.journal.state
        known.job_ids &= state.specs.keys()
        known.request_ids &= state.requests.keys()
        return known

    def _hand_over(self, owner: partition.Partition) -> None:
        """Hand over ended work to the partitions of the current partition count."""
        found = self._find_misplaced(owner)
        if isinstance(found, errors.Failure):
            return
        state = owner.journal.state
        current_layout = self._view.layout
        receivers: dict[int, list[str]] = collections.defaultdict(list)
        ended_requests = {
            name for name in found.request_ids if state.requests[name].outcome
        }
        for name in found.job_ids:
            if state.is_finished(name) and owner.is_durable(name):
                receivers[current_layout.partition_of(name)].append(name)
        for name in ended_requests:
            receivers[current_layout.partition_of(name)].append(name)
        for receiver, names in receivers.items():
            self._send(owner, found.generation, receiver, names)

    def _send(
        self,
        owner: partition.Partition,
        generation: int,
        receiver: int,
        names: list[str],
    ) -> None:
        """Hand over some entries; delete them once they are durable at the receiver.

        They are deleted only under the same layout: in a later one, the receiver may
        itself hand them over, even to this partition, which would ignore them because
        it still has them.
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
            log.info("partition {}: handover failed: {}", owner.number, found.reason)
            return
        owner.journal.append(
            log_records.HandedOver(
                [each.spec.id for each in entries.jobs], list(entries.requests)
            ),
            True,
            view.version,
        ).get()

    def _remove_former_counts(self, owner: partition.Partition) -> None:
        """Remove former partition counts for which no partition holds any work."""
        service = self._kernel.find("layout")
        current_layout = service.layout
        answers = self.remaining_work()
        needed: set[int] = set()
        for number, found in answers.items():
            if (
                isinstance(found, errors.Failure)
                or found.generation != current_layout.generation
            ):
                return
            needed.update(found.numbers)
            if found.in_use:
                needed.update(each for each in current_layout.former if each > number)
        ended = set(current_layout.former) - needed
        if not ended:
            return
        count = layout.without_former(current_layout, ended).count
        workers = self._kernel.find("fleet").roster
        if any(number >= count for number in workers.partitions.values()):
            return
        failure = service.remove_former(
            ended,
            current_layout.generation,
            {
                ownership_rows.key_of(owner.number): owner.row_version,
                roster.WORKERS_ROW: workers.version,
            },
        )
        if failure is None:
            log.info(
                "removed former numbers {}, which held no more work",
                sorted(ended),
            )

    def remaining_work(self) -> dict[int, Remaining | errors.Failure]:
        """Query all owners for the work they hold for former partition counts."""
        current_layout = self._view.layout
        body = reply.encode(current_layout.generation)
        limit_s = duplicate_check.ASK_LIMIT_S
        jobs = [
            gevent.spawn(
                self._routes.call, number, "remaining", body, Remaining, limit_s
            )
            for number in range(current_layout.count)
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
