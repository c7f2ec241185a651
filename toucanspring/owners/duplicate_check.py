"""Check whether other partitions hold an ID before it is accepted.

After a change of the partition count, an ID may have been accepted by the partition to
which a former partition count maps it.
"""

from __future__ import annotations

import collections
import dataclasses

import gevent
import msgspec

from toucanspring import errors, job, kernel
from toucanspring.cell import layout, reply
from toucanspring.owners import log_records, partition, routes

# Less than the time that the caller of a submission waits for this owner.
ASK_LIMIT_S = 2.5
NOT_HELD, HELD, HELD_WITH_DIFFERENT_SPEC = range(3)


class HeldQuery(msgspec.Struct, frozen=True):
    """Query for the IDs a partition holds; the response has an entry each, in order."""

    generation: int
    specs: list[job.JobSpec] = []
    requests: list[str] = []


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedJobs:
    """Results for the jobs that must not be accepted; all others may be."""

    layout_version: int
    answers: dict[str, str | errors.Failure]


class DuplicateCheck:
    """Query the owners of the partitions to which former partition counts map an ID."""

    def __init__(self, core: kernel.Kernel, calls: routes.Routes) -> None:
        self._kernel = core
        self._routes = calls

    @property
    def _view(self) -> layout.VersionedLayout:
        return self._kernel.find("layout").view

    def check_jobs(
        self, owner: partition.Partition, specs: list[job.JobSpec]
    ) -> CheckedJobs:
        """Return the results for jobs that the owner of a partition must not accept."""
        self._refresh_layout([each.id for each in specs], owner)
        view = self._view
        answers: dict[str, str | errors.Failure] = {}
        asked: dict[int, list[job.JobSpec]] = collections.defaultdict(list)
        for spec in specs:
            if owner.holds_job(spec.id):
                continue
            first, *others = view.layout.possible_partitions(spec.id)
            if first != owner.number:
                answers[spec.id] = wrong_partition_failure()
                continue
            for number in others:
                asked[number].append(spec)
        if asked:
            self._ask_all(view.layout.generation, asked, answers)
        return CheckedJobs(view.version, answers)

    def check_request(
        self, owner: partition.Partition, request_id: str
    ) -> int | errors.Failure:
        """Return the layout version under which a request may be begun here."""
        self._refresh_layout([request_id], owner)
        view = self._view
        first, *others = view.layout.possible_partitions(request_id)
        if first != owner.number:
            return wrong_partition_failure()
        query = HeldQuery(view.layout.generation, requests=[request_id])
        for number in others:
            found = self._ask(number, query)
            if isinstance(found, errors.Failure):
                return found
            if found != [NOT_HELD]:
                return errors.HeldElsewhere(
                    reason=f"partition {number} has the request", partition=number
                )
        return view.version

    def _refresh_layout(self, names: list[str], owner: partition.Partition) -> None:
        """Read the layout if callers may know a later one than this process."""
        current_layout = self._view.layout
        if any(current_layout.partition_of(name) != owner.number for name in names):
            self._kernel.find("layout").reread()

    def _ask_all(
        self,
        generation: int,
        asked: dict[int, list[job.JobSpec]],
        answers: dict[str, str | errors.Failure],
    ) -> None:
        def ask(number: int, specs: list[job.JobSpec]) -> None:
            found = self._ask(number, HeldQuery(generation, specs=specs))
            for index, spec in enumerate(specs):
                if isinstance(found, errors.Failure):
                    # A partition that holds the job has precedence over a failure.
                    answers.setdefault(spec.id, found)
                elif found[index] == HELD:
                    answers[spec.id] = spec.id
                elif found[index] == HELD_WITH_DIFFERENT_SPEC:
                    answers[spec.id] = errors.Conflict(
                        key=spec.id, reason="another job with this ID was accepted"
                    )

        gevent.joinall([gevent.spawn(ask, *each) for each in asked.items()])

    def _ask(self, number: int, query: HeldQuery) -> list[int] | errors.Failure:
        """Query the owner of a partition; any failure becomes `Unavailable`."""
        found = self._routes.call(
            number, "held", reply.encode(query), list[int], ASK_LIMIT_S
        )
        if isinstance(found, errors.Failure):
            return errors.Unavailable(
                reason=f"cannot tell whether partition {number} has it: {found.reason}"
            )
        return found


def answer_query(state: log_records.State, query: HeldQuery) -> list[int]:
    """Return for each ID in a query whether the partition's log has it."""
    found = [_compare(state.specs.get(each.id), each) for each in query.specs]
    found += [HELD if each in state.requests else NOT_HELD for each in query.requests]
    return found


def wrong_partition_failure() -> errors.LayoutChanged:
    """Return the failure for an ID that belongs to another partition."""
    return errors.LayoutChanged(reason="the ID belongs to another partition")


def _compare(known: job.JobSpec | None, given: job.JobSpec) -> int:
    if known is None:
        return NOT_HELD
    return HELD if known == given else HELD_WITH_DIFFERENT_SPEC
