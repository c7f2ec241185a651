"""Checks the invariants of the design page against the records of the stand-ins."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator

import msgspec

from standins import executions, facts, violations
from toucanspring import resources

# The design allows 3 s until all processes respect a zone taken out of service, a
# withdrawn key, a leaving backend server or a lowered ceiling.
IN_FORCE_S = 3.0
# Time that a task stopped for a lowered ceiling has to write its checkpoint.
STOP_GRACE_S = 2.0
# The loss of a gang member is detected after the worker lease (20 s), its grace (2 s)
# and the allowance for clock drift (1.1 s); then the other members are stopped (2 s).
GANG_SETTLE_S = 26.0
# Workers report usage every 4 s, and their data is up to 1 s old; the owner may just
# have died (3.2 s until the next one attaches), and a checkpoint takes 2 s.
OVERUSE_S = 12.0
NO_FACTS = facts.RunFacts()


def check(
    records: dict[str, dict], run_facts: facts.RunFacts = NO_FACTS
) -> list[violations.Violation]:
    """Return all violations in the records, by stand-in name, in order of time."""
    history = History(records)
    found = [
        *history.incomplete,
        *check_capacity(history),
        *check_use(history),
        *check_places(history),
        *check_single_starts(history),
        *check_zones(history, run_facts.zone_outages),
        *check_ceilings(history, run_facts.ceilings),
        *check_epochs(history),
        *check_gangs(history, run_facts.gang_sizes),
        *check_requests(history, run_facts.requests_not_run),
        *check_slots(history),
        *check_leaving(history),
        *check_outcomes(history, run_facts),
        *check_answers(run_facts.answers),
        *check_keys(run_facts),
    ]
    return sorted(found, key=lambda violation: violation.at)


class History:
    """The events of all records in order of time, and the attempts of tasks."""

    def __init__(self, records: dict[str, dict]) -> None:
        self.incomplete = [
            violations.IncompleteRecord(record=name, dropped=record["dropped"])
            for name, record in records.items()
            if record.get("dropped")
        ]
        self.events: list[dict] = sorted(
            (event for record in records.values() for event in record["events"]),
            key=lambda event: event["at"],
        )
        self.capacities: dict[str, resources.Resources] = {}
        paired = executions.Attempts()
        for event in self.events:
            paired.add(event)
            if event["kind"] == "worker":
                self.capacities[event["worker"]] = msgspec.convert(
                    event["capacity"], resources.Resources
                )
        paired.end_paused()
        self.attempts = paired.started


def _amount(value: resources.Resources) -> tuple[int, int, int]:
    return (value.cpus, value.memory, value.accelerators)


def check_capacity(history: History) -> Iterator[violations.OverCapacity]:
    """Invariant 1: no VM runs more than it has; one violation for each worker."""
    for worker, attempts in executions.group_by(history.attempts, "worker").items():
        capacity = history.capacities.get(worker, resources.ZERO)
        used = resources.ZERO
        for at, sign, attempt in executions.list_changes(attempts):
            used += attempt.start.demand.times(sign)
            if not used.fits(capacity):
                yield violations.OverCapacity(
                    at=at,
                    place=worker,
                    used=_amount(used),
                    capacity=_amount(capacity),
                )
                break


def check_use(history: History) -> Iterator[violations.Overused]:
    """Invariant 1 for the actual usage of tasks, whatever their declared demand."""
    over: dict[str, tuple[float, dict]] = {}
    last = history.events[-1]["at"] if history.events else 0.0
    ended = []
    for event in history.events:
        ends = event["kind"] in ("died", "paused")
        if not ends and event["kind"] != "use":
            continue
        if found := over.pop(event["worker"], None):
            ended.append((*found, event["at"]))
        if not ends and event["is_over"]:
            over[event["worker"]] = (event["at"], event)
    ended += [(*found, last) for found in over.values()]
    for since, event, until in ended:
        if until - since > OVERUSE_S:
            yield violations.Overused(
                at=since,
                place=event["worker"],
                used=tuple(event["used"]),
                seconds=until - since,
            )


def check_places(history: History) -> Iterator[violations.TwoPlaces]:
    """Invariant 2: no task runs in two places at once."""
    for task, attempts in executions.group_by(history.attempts, "task").items():
        ordered = sorted(attempts, key=lambda attempt: attempt.start.at)
        latest = ordered[0]
        for attempt in ordered[1:]:
            if attempt.start.at < latest.until:
                yield violations.TwoPlaces(
                    at=attempt.start.at,
                    task=task,
                    workers=(latest.start.worker, attempt.start.worker),
                )
            if attempt.until > latest.until:
                latest = attempt


def check_single_starts(history: History) -> Iterator[violations.StartedAgain]:
    """Invariant 8 for tasks: a non-idempotent task starts at most once."""
    for task, attempts in executions.group_by(history.attempts, "task").items():
        starts = [attempt.start for attempt in attempts if not attempt.start.idempotent]
        if len(starts) > 1:
            yield violations.StartedAgain(
                at=starts[1].at, task=task, starts=len(starts)
            )


def check_zones(
    history: History, outages: tuple[facts.ZoneOutage, ...]
) -> Iterator[violations.ZoneStart]:
    """Invariant 5: no start in a zone later than 3 s after it was taken out."""
    for outage in outages:
        for attempt in history.attempts:
            start = attempt.start
            if (
                start.availability_zone == outage.availability_zone
                and outage.out_at + IN_FORCE_S < start.at < outage.in_at
            ):
                yield violations.ZoneStart(
                    at=start.at,
                    task=start.task,
                    availability_zone=start.availability_zone,
                    seconds_after=start.at - outage.out_at,
                )


def check_ceilings(
    history: History, ceilings: tuple[facts.Ceiling, ...]
) -> Iterator[violations.OverCeiling]:
    """Invariant 4: no team runs more than its ceiling; one violation for each.

    A lowered ceiling applies once it is in force and the tasks above it have had time
    to stop, so it is also checked at that time.
    """
    by_team: dict[str, list[facts.Ceiling]] = collections.defaultdict(list)
    for ceiling in sorted(ceilings, key=lambda ceiling: ceiling.from_at):
        by_team[ceiling.team].append(ceiling)
    groups = executions.group_by(history.attempts, "team")
    for team, steps in by_team.items():
        changes = executions.list_changes(groups.get(team, []))
        changes += [
            executions.Change(step.from_at + IN_FORCE_S + STOP_GRACE_S, 0, None)
            for step in steps
        ]
        changes.sort(key=lambda change: (change.at, change.sign))
        used = resources.ZERO
        for at, sign, attempt in changes:
            if attempt is not None:
                used += attempt.start.demand.times(sign)
            allowed = _allowed(steps, at)
            if allowed is not None and not used.fits(allowed):
                yield violations.OverCeiling(
                    at=at, team=team, used=_amount(used), ceiling=_amount(allowed)
                )
                break


def _allowed(steps: list[facts.Ceiling], at: float) -> resources.Resources | None:
    """Return the largest ceiling that may still be in force; `None` if none is set."""
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


def check_epochs(history: History) -> Iterator[violations.StaleEpoch]:
    """Check that a worker starts no tasks of an owner once it knows a higher epoch."""
    highest: dict[tuple[str, int], int] = {}
    for event in history.events:
        if event["kind"] not in ("attach", "start"):
            continue
        key = (event["worker"], event["incarnation"], event["partition"])
        highest_epoch = highest.get(key, 0)
        if event["kind"] == "start" and event["epoch"] < highest_epoch:
            yield violations.StaleEpoch(
                at=event["at"],
                task=event["task"],
                worker=event["worker"],
                epoch=event["epoch"],
                highest=highest_epoch,
            )
        highest[key] = max(highest_epoch, event["epoch"])


def check_gangs(
    history: History, sizes: dict[str, int]
) -> Iterator[violations.PartialGang]:
    """All members of a gang run, or none; one violation for each gang."""
    by_job: dict[str, list[executions.Attempt]] = collections.defaultdict(list)
    for attempt in history.attempts:
        job_id = attempt.start.task.rpartition("/")[0]
        if job_id in sizes:
            by_job[job_id].append(attempt)
    last = history.events[-1]["at"] if history.events else 0.0
    for job_id, attempts in by_job.items():
        yield from _check_gang(job_id, attempts, sizes[job_id], last)


def _check_gang(
    job_id: str, attempts: list[executions.Attempt], size: int, last: float
) -> Iterator[violations.PartialGang]:
    running: set[str] = set()
    done: set[str] = set()
    partial_since: float | None = None
    changes = [
        *executions.list_changes(attempts),
        executions.Change(last, 0, None),
    ]
    for at, sign, attempt in changes:
        if partial_since is not None and at - partial_since > GANG_SETTLE_S:
            yield violations.PartialGang(
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
) -> Iterator[violations.RequestRanAgain | violations.RanAfterNotRun]:
    """Invariants 7 and 8 for requests."""
    runs: dict[str, list[dict]] = collections.defaultdict(list)
    for event in history.events:
        if event["kind"] == "run":
            runs[event["request"]].append(event)
    for request, ran in runs.items():
        non_idempotent = [event for event in ran if not event["idempotent"]]
        if len(non_idempotent) > 1:
            yield violations.RequestRanAgain(
                at=non_idempotent[1]["at"],
                request=request,
                executors=tuple(event["executor"] for event in non_idempotent),
            )
        if request in not_run:
            yield violations.RanAfterNotRun(at=ran[0]["at"], work=request)


def check_slots(history: History) -> Iterator[violations.OverCapacity]:
    """Invariant 1 for executors: no more requests at once than slots."""
    busy: collections.Counter[str] = collections.Counter()
    for event in history.events:
        if event["kind"] == "run":
            executor = event["executor"]
            busy[executor] += 1
            if busy[executor] > event["slots"]:
                yield violations.OverCapacity(
                    at=event["at"],
                    place=executor,
                    used=(busy[executor],),
                    capacity=(event["slots"],),
                )
        elif event["kind"] == "ran":
            busy[event["executor"]] -= 1


def check_leaving(history: History) -> Iterator[violations.LeavingRun]:
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
                yield violations.LeavingRun(
                    at=event["at"],
                    request=event["request"],
                    executor=event["executor"],
                    seconds_after=since,
                )


def check_outcomes(
    history: History, run_facts: facts.RunFacts
) -> Iterator[
    violations.RanAfterNotRun | violations.FalseOutcome | violations.LostWork
]:
    """Invariant 7 for tasks, and that each reported outcome matches the records."""
    by_task = executions.group_by(history.attempts, "task")
    for task, state in run_facts.task_outcomes.items():
        attempts = by_task.get(task, [])
        if state == "not_run" and attempts:
            yield violations.RanAfterNotRun(at=attempts[0].start.at, work=task)
        ends = {attempt.state for attempt in attempts}
        if state == "done" and "done" not in ends:
            yield violations.FalseOutcome(task=task, state=state)
        if state == "failed" and ends == {"done"}:
            yield violations.FalseOutcome(task=task, state=state)
    for task in sorted(run_facts.accepted_tasks - run_facts.task_outcomes.keys()):
        yield violations.LostWork(work=task)


def check_answers(
    answers: tuple[facts.ReceivedAnswer, ...],
) -> Iterator[violations.WrongAnswer]:
    """Invariant 6: each caller got the complete answer to its own request."""
    for answer in answers:
        if answer.body != answer.expected:
            yield violations.WrongAnswer(
                request=answer.request,
                length=len(answer.body),
                expected_length=len(answer.expected),
            )


def check_keys(run_facts: facts.RunFacts) -> Iterator[violations.KeyAccepted]:
    """Invariant 3: a withdrawn key stops working within 3 s."""
    for use in run_facts.key_uses:
        since = use.accepted_at - run_facts.withdrawn_keys.get(use.key, math.inf)
        if since > IN_FORCE_S:
            yield violations.KeyAccepted(
                at=use.accepted_at, key=use.key, seconds_after=since
            )
