"""Checks the invariants of the design page against the records of the stand-ins."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator

import msgspec

from standins import events
from toucanspring import resources

# The design allows 3 s until a taken out zone, a withdrawn key, a leaving backend
# server or a lowered ceiling is in force everywhere.
IN_FORCE_S = 3.0
# A task stopped for a lowered ceiling has the checkpoint grace to end.
STOP_GRACE_S = 2.0
# A lost gang member is noticed after the worker lease (20 s), its grace (2 s) and the
# drift allowance (1.1 s); then the other members are stopped (2 s).
GANG_SETTLE_S = 26.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A broken invariant; `at` is in monotonic seconds, 0 if it has no time."""

    at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncompleteRecord(Violation):
    """A stand-in dropped events, so the check would prove nothing."""

    record: str
    dropped: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OverCapacity(Violation):
    """A worker or an executor ran more than it has room for."""

    place: str
    used: tuple[int, ...]
    capacity: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class TwoPlaces(Violation):
    """Two attempts of one task ran at the same time."""

    task: str
    workers: tuple[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartedAgain(Violation):
    """A non-idempotent task started more than once."""

    task: str
    starts: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestRanAgain(Violation):
    """A non-idempotent request ran more than once."""

    request: str
    executors: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneStart(Violation):
    """A task started in an availability zone that had been taken out."""

    task: str
    availability_zone: str
    seconds_after: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class OverCeiling(Violation):
    """A team had more running than its ceiling."""

    team: str
    used: tuple[int, ...]
    ceiling: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingRun(Violation):
    """A backend server got new work after it was listed as leaving."""

    request: str
    executor: str
    seconds_after: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class StaleEpoch(Violation):
    """A worker started a task of an owner that had been superseded."""

    task: str
    worker: str
    epoch: int
    highest: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartialGang(Violation):
    """Some members of a gang ran for long while others did not."""

    job: str
    running: int
    size: int
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RanAfterNotRun(Violation):
    """Work ran although its caller was told that it did not."""

    work: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FalseOutcome(Violation):
    """A task was reported as done or failed, but no worker ended it so."""

    task: str
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostWork(Violation):
    """Accepted work has no final outcome."""

    work: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class WrongAnswer(Violation):
    """A caller got an answer that is cut, or that belongs to another request."""

    request: str
    length: int
    expected_length: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyAccepted(Violation):
    """Work was accepted with a key that had been withdrawn."""

    key: str
    seconds_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOutage:
    """State when operators took a zone out, and when it came back."""

    availability_zone: str
    out_at: float
    in_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Ceiling:
    """State a team's ceiling from a time on."""

    team: str
    amount: resources.Resources
    from_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """State what a caller received as a complete answer, and what was right."""

    request: str
    body: bytes
    expected: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUse:
    """State that work was accepted with a key."""

    key: str
    accepted_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Known:
    """What operators and callers know in addition to the records.

    `task_outcomes` maps task IDs to the final state that callers were given,
    `requests_not_run` holds the request IDs that were refused as not run.
    """

    zone_outages: tuple[ZoneOutage, ...] = ()
    ceilings: tuple[Ceiling, ...] = ()
    gang_sizes: dict[str, int] = dataclasses.field(default_factory=dict)
    accepted_tasks: frozenset[str] = frozenset()
    task_outcomes: dict[str, str] = dataclasses.field(default_factory=dict)
    requests_not_run: frozenset[str] = frozenset()
    answers: tuple[Answered, ...] = ()
    key_uses: tuple[KeyUse, ...] = ()
    withdrawn_keys: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One execution of a task from its start to the end that was recorded."""

    start: events.Start
    until: float = math.inf
    state: str = ""


def check(records: dict[str, dict], known: Known = Known()) -> list[Violation]:  # noqa: B008
    """Return all violations in the records, by stand-in name, in order of time."""
    history = History(records)
    found = [
        *history.incomplete,
        *check_capacity(history),
        *check_places(history),
        *check_single_starts(history),
        *check_zones(history, known.zone_outages),
        *check_ceilings(history, known.ceilings),
        *check_epochs(history),
        *check_gangs(history, known.gang_sizes),
        *check_requests(history, known.requests_not_run),
        *check_slots(history),
        *check_leaving(history),
        *check_outcomes(history, known),
        *check_answers(known.answers),
        *check_keys(known),
    ]
    return sorted(found, key=lambda violation: violation.at)


class History:
    """Sort the events of all records by time and pair starts with ends."""

    def __init__(self, records: dict[str, dict]) -> None:
        self.incomplete = [
            IncompleteRecord(record=name, dropped=record["dropped"])
            for name, record in records.items()
            if record.get("dropped")
        ]
        self.events: list[dict] = sorted(
            (event for record in records.values() for event in record["events"]),
            key=lambda event: event["at"],
        )
        self.capacities: dict[str, resources.Resources] = {}
        self.attempts: list[Attempt] = []
        self._open: dict[str, dict[tuple[str, int], Attempt]] = collections.defaultdict(
            dict
        )
        paused: dict[str, float] = {}
        for event in self.events:
            match event["kind"]:
                case "worker":
                    self.capacities[event["worker"]] = msgspec.convert(
                        event["capacity"], resources.Resources
                    )
                case "start":
                    self._add_start(event)
                case "end":
                    self._add_end(event)
                case "paused":
                    paused[event["worker"]] = event["at"]
                case "resumed":
                    paused.pop(event["worker"], None)
                case "died":
                    worker = event["worker"]
                    self._end_all(worker, paused.pop(worker, event["at"]))
        # The tasks of a worker that never resumed have not run since its pause.
        for worker, at in paused.items():
            self._end_all(worker, at)

    def _add_start(self, event: dict) -> None:
        start = msgspec.convert(_without_kind(event), events.Start)
        attempt = Attempt(start)
        self.attempts.append(attempt)
        # A second start of the same attempt replaces the first, which then counts
        # as running without an end.
        self._open[start.worker][start.task, start.attempt] = attempt

    def _add_end(self, event: dict) -> None:
        end = msgspec.convert(_without_kind(event), events.End)
        attempt = self._open[end.worker].pop((end.task, end.attempt), None)
        if attempt is not None:
            attempt.until = end.ran_until
            attempt.state = end.state

    def _end_all(self, worker: str, at: float) -> None:
        for attempt in self._open.pop(worker, {}).values():
            attempt.until = at
            attempt.state = "lost"


def _without_kind(event: dict) -> dict:
    return {name: value for name, value in event.items() if name != "kind"}


def _changes(attempts: Iterable[Attempt]) -> list[tuple[float, int, Attempt]]:
    """Return starts (1) and ends (-1) by time; at equal times ends come first."""
    changes = []
    for attempt in attempts:
        if attempt.until > attempt.start.at:
            changes.append((attempt.start.at, 1, attempt))
            if attempt.until < math.inf:
                changes.append((attempt.until, -1, attempt))
    changes.sort(key=lambda change: change[:2])
    return changes


def _grouped(history: History, name: str) -> dict[str, list[Attempt]]:
    groups: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in history.attempts:
        groups[getattr(attempt.start, name)].append(attempt)
    return groups


def _amount(value: resources.Resources) -> tuple[int, int, int]:
    return (value.cpus, value.memory, value.accelerators)


def check_capacity(history: History) -> Iterator[OverCapacity]:
    """Invariant 1: no VM runs more than it has; one violation for each worker."""
    for worker, attempts in _grouped(history, "worker").items():
        capacity = history.capacities.get(worker, resources.ZERO)
        used = resources.ZERO
        for at, sign, attempt in _changes(attempts):
            used += attempt.start.demand.times(sign)
            if not used.fits(capacity):
                yield OverCapacity(
                    at=at,
                    place=worker,
                    used=_amount(used),
                    capacity=_amount(capacity),
                )
                break


def check_places(history: History) -> Iterator[TwoPlaces]:
    """Invariant 2: no task runs in two places at once."""
    for task, attempts in _grouped(history, "task").items():
        ordered = sorted(attempts, key=lambda attempt: attempt.start.at)
        latest = ordered[0]
        for attempt in ordered[1:]:
            if attempt.start.at < latest.until:
                yield TwoPlaces(
                    at=attempt.start.at,
                    task=task,
                    workers=(latest.start.worker, attempt.start.worker),
                )
            if attempt.until > latest.until:
                latest = attempt


def check_single_starts(history: History) -> Iterator[StartedAgain]:
    """Invariant 8 for tasks: a non-idempotent task starts at most once."""
    for task, attempts in _grouped(history, "task").items():
        starts = [attempt.start for attempt in attempts if not attempt.start.idempotent]
        if len(starts) > 1:
            yield StartedAgain(at=starts[1].at, task=task, starts=len(starts))


def check_zones(
    history: History, outages: tuple[ZoneOutage, ...]
) -> Iterator[ZoneStart]:
    """Invariant 5: no start in a zone later than 3 s after it was taken out."""
    for outage in outages:
        for attempt in history.attempts:
            start = attempt.start
            if (
                start.availability_zone == outage.availability_zone
                and outage.out_at + IN_FORCE_S < start.at < outage.in_at
            ):
                yield ZoneStart(
                    at=start.at,
                    task=start.task,
                    availability_zone=start.availability_zone,
                    seconds_after=start.at - outage.out_at,
                )


def check_ceilings(
    history: History, ceilings: tuple[Ceiling, ...]
) -> Iterator[OverCeiling]:
    """Invariant 4: no team runs more than its ceiling; one violation for each.

    A lowered ceiling counts once it is in force and the tasks above it had the time
    to stop, so it is also checked at that moment.
    """
    by_team: dict[str, list[Ceiling]] = collections.defaultdict(list)
    for ceiling in sorted(ceilings, key=lambda ceiling: ceiling.from_at):
        by_team[ceiling.team].append(ceiling)
    groups = _grouped(history, "team")
    for team, steps in by_team.items():
        changes: list[tuple[float, int, Attempt | None]] = list(
            _changes(groups.get(team, []))
        )
        changes += [
            (step.from_at + IN_FORCE_S + STOP_GRACE_S, 0, None) for step in steps
        ]
        changes.sort(key=lambda change: change[:2])
        used = resources.ZERO
        for at, sign, attempt in changes:
            if attempt is not None:
                used += attempt.start.demand.times(sign)
            allowed = _allowed(steps, at)
            if allowed is not None and not used.fits(allowed):
                yield OverCeiling(
                    at=at, team=team, used=_amount(used), ceiling=_amount(allowed)
                )
                break


def _allowed(steps: list[Ceiling], at: float) -> resources.Resources | None:
    """Return the largest ceiling that may still have been in force, if any is set."""
    oldest = at - IN_FORCE_S - STOP_GRACE_S
    counted = [step.amount for step in steps if oldest < step.from_at <= at]
    settled = [step.amount for step in steps if step.from_at <= oldest]
    counted += settled[-1:]
    if not settled or not counted:
        return None
    return resources.Resources(
        max(amount.cpus for amount in counted),
        max(amount.memory for amount in counted),
        max(amount.accelerators for amount in counted),
    )


def check_epochs(history: History) -> Iterator[StaleEpoch]:
    """Check that a superseded owner starts nothing where its successor is known."""
    highest: dict[tuple[str, int], int] = {}
    for event in history.events:
        if event["kind"] not in ("attach", "start"):
            continue
        place = (event["worker"], event["incarnation"], event["partition"])
        known = highest.get(place, 0)
        if event["kind"] == "start" and event["epoch"] < known:
            yield StaleEpoch(
                at=event["at"],
                task=event["task"],
                worker=event["worker"],
                epoch=event["epoch"],
                highest=known,
            )
        highest[place] = max(known, event["epoch"])


def check_gangs(history: History, sizes: dict[str, int]) -> Iterator[PartialGang]:
    """All members of a gang run, or none; one violation for each gang."""
    by_job: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in history.attempts:
        job_id = attempt.start.task.rpartition("/")[0]
        if job_id in sizes:
            by_job[job_id].append(attempt)
    last = history.events[-1]["at"] if history.events else 0.0
    for job_id, attempts in by_job.items():
        yield from _check_gang(job_id, attempts, sizes[job_id], last)


def _check_gang(
    job_id: str, attempts: list[Attempt], size: int, last: float
) -> Iterator[PartialGang]:
    running: set[str] = set()
    done: set[str] = set()
    partial_since: float | None = None
    changes = [*_changes(attempts), (last, 0, None)]
    for at, sign, attempt in changes:
        if partial_since is not None and at - partial_since > GANG_SETTLE_S:
            yield PartialGang(
                at=partial_since,
                job=job_id,
                running=len(running),
                size=size,
                seconds=at - partial_since,
            )
            return
        if attempt is not None and sign > 0:
            running.add(attempt.start.task)
        elif attempt is not None:
            running.discard(attempt.start.task)
            if attempt.state == "done":
                done.add(attempt.start.task)
        if running and len(running | done) < size:
            partial_since = at if partial_since is None else partial_since
        else:
            partial_since = None


def check_requests(
    history: History, not_run: frozenset[str]
) -> Iterator[RequestRanAgain | RanAfterNotRun]:
    """Invariants 7 and 8 for requests."""
    runs: dict[str, list[dict]] = collections.defaultdict(list)
    for event in history.events:
        if event["kind"] == "run":
            runs[event["request"]].append(event)
    for request, ran in runs.items():
        keyed = [event for event in ran if not event["idempotent"]]
        if len(keyed) > 1:
            yield RequestRanAgain(
                at=keyed[1]["at"],
                request=request,
                executors=tuple(event["executor"] for event in keyed),
            )
        if request in not_run:
            yield RanAfterNotRun(at=ran[0]["at"], work=request)


def check_slots(history: History) -> Iterator[OverCapacity]:
    """Invariant 1 for executors: no more requests at once than slots."""
    busy: collections.Counter[str] = collections.Counter()
    for event in history.events:
        if event["kind"] == "run":
            executor = event["executor"]
            busy[executor] += 1
            if busy[executor] > event["slots"]:
                yield OverCapacity(
                    at=event["at"],
                    place=executor,
                    used=(busy[executor],),
                    capacity=(event["slots"],),
                )
        elif event["kind"] == "ran":
            busy[event["executor"]] -= 1


def check_leaving(history: History) -> Iterator[LeavingRun]:
    """Invariant 9: a backend server listed as leaving gets no new work after 3 s."""
    leaving_at: dict[str, float] = {}
    for event in history.events:
        if event["kind"] == "list":
            shown_at = event["at"] + event["lag_ms"] / 1000
            for name, state in event["states"].items():
                if state == "leaving":
                    leaving_at.setdefault(name, shown_at)
                else:
                    leaving_at.pop(name, None)
        elif event["kind"] == "run":
            since = event["at"] - leaving_at.get(event["executor"], math.inf)
            if since > IN_FORCE_S:
                yield LeavingRun(
                    at=event["at"],
                    request=event["request"],
                    executor=event["executor"],
                    seconds_after=since,
                )


def check_outcomes(
    history: History, known: Known
) -> Iterator[RanAfterNotRun | FalseOutcome | LostWork]:
    """Invariant 7 for tasks, and that each outcome is what happened."""
    by_task = _grouped(history, "task")
    for task, state in known.task_outcomes.items():
        attempts = by_task.get(task, [])
        if state == "not_run" and attempts:
            yield RanAfterNotRun(at=attempts[0].start.at, work=task)
        ends = {attempt.state for attempt in attempts}
        if state == "done" and "done" not in ends:
            yield FalseOutcome(task=task, state=state)
        if state == "failed" and ends == {"done"}:
            yield FalseOutcome(task=task, state=state)
    for task in sorted(known.accepted_tasks - known.task_outcomes.keys()):
        yield LostWork(work=task)


def check_answers(answers: tuple[Answered, ...]) -> Iterator[WrongAnswer]:
    """Invariant 6: each caller got the complete answer to its own request."""
    for answer in answers:
        if answer.body != answer.expected:
            yield WrongAnswer(
                request=answer.request,
                length=len(answer.body),
                expected_length=len(answer.expected),
            )


def check_keys(known: Known) -> Iterator[KeyAccepted]:
    """Invariant 3: a withdrawn key stops working within 3 s."""
    for use in known.key_uses:
        since = use.accepted_at - known.withdrawn_keys.get(use.key, math.inf)
        if since > IN_FORCE_S:
            yield KeyAccepted(at=use.accepted_at, key=use.key, seconds_after=since)
