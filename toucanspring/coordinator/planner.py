"""Which waiting tasks start where, which approvals to ask for, what makes room.

It does no I/O and reads no clock: it sees the book and returns decisions.
"""

from __future__ import annotations

import dataclasses

from toucanspring import resources
from toucanspring.coordinator import (
    book,
    catalogue,
    fitting,
    ports,
    state,
    workers,
)

MOST_URGENT = 0
# Estimates are off by up to 0.9 either way; a job counts as late once this part of the
# estimated time is missing.
LATE_SHARE = 0.6
# Why a step waits, as logged.
NO_WORKER = "no usable worker"
APPROVAL = "approval asked for"
NOT_APPROVED = "no approved worker"
CEILING = "ceiling of the organisation"
NO_ROOM = "no room"
MEMBERS = "members of the gang still run"
# An order travels and may be repeated before its ticket is read.
TICKET_MARGIN_S = 0.15
# More steps than this are not looked at in one round, to bound its time.
MAX_STEPS = 400
MAX_STARTS = 120
# A blocked gang keeps other work off the workers that it needs after this time, and
# stops less urgent work there after that one, if the work does not end by itself.
GANG_PATIENCE_S = 0.2
PREEMPT_AFTER_S = 1.5
# Work is stopped only for a gang that would be late otherwise, with so much to spare.
PREEMPT_SPARE_S = 4.0
# Each stop costs up to a second of a task's room.
MAX_PREEMPTIONS = 2
# It keeps to the workers that it chose for this long.
RESERVATION_S = 3.0
MAX_GANGS_MAKING_ROOM = 3
# Work of a preempted task that has no checkpoint is lost; tasks further than this
# are left alone.
MAX_LOST_S = 0.5
ASK_AT_MOST = 100  # workers in one question
ASK_PAUSE_S = 0.25  # after a question that failed


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a run of a task on a worker."""

    step: state.StepRun
    task: state.Task
    worker: workers.Worker
    run: int
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Ask the approval service about workers for a step."""

    step: state.StepRun
    workers: tuple[str, ...]
    cost_s: float
    priority: int
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Say why a step has waiting tasks."""

    step: state.StepRun
    reason: str


@dataclasses.dataclass(slots=True)
class Plan:
    """Collect the decisions of one round; starts are already booked."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    questions: list[Question] = dataclasses.field(default_factory=list)
    # Steps that begin to wait for another reason than before.
    waits: list[Wait] = dataclasses.field(default_factory=list)
    reserved: set[str] = dataclasses.field(default_factory=set)
    gangs_making_room: int = 0

    def wait(self, run: state.StepRun, reason: str) -> None:
        """Take note of why a step waits, once for each reason in turn."""
        if run.waits_for != reason:
            run.waits_for = reason
            self.waits.append(Wait(run, reason))


class Planner:
    """Decide for the jobs of one book."""

    def __init__(self, records: book.Book) -> None:
        self._book = records

    def plan(self, now: float) -> Plan:
        """Return what to start and to ask now; takes the room for the starts."""
        plan = Plan()
        usable: dict[str, list[workers.Worker]] = {}
        capacity = workers.total_capacity(self._book.workers.values())
        steps = sorted(
            self._book.ready.values(), key=lambda run: self._rank(run, capacity, now)
        )
        for run in steps[:MAX_STEPS]:
            if len(plan.starts) >= MAX_STARTS:
                break
            queue = self._book.catalogue.queue(run.job.spec.queue)
            if queue is None or run.job.is_final:
                continue
            if queue.pool not in usable:
                usable[queue.pool] = [
                    worker
                    for worker in self._book.pool(queue.pool)
                    if worker.is_usable(now, self._book.zones_out)
                ]
            self._plan_step(run, queue, usable[queue.pool], plan, now)
        return plan

    def _rank(
        self, run: state.StepRun, capacity: resources.Resources, now: float
    ) -> tuple[bool, bool, int, bool, bool, float]:
        """Order by entitlement and urgency, then by what can still be in time.

        Under overload the earliest due time alone makes everything late: work that is
        late already waits for work that is not, but for the most urgent.
        """
        spec = run.job.spec
        queue = self._book.catalogue.queue(spec.queue)
        priority = queue.priority if queue is not None else 9
        organisations = self._book.catalogue.organisations
        organisation = organisations.get(spec.organisation)
        over = False
        if organisation is not None and organisation.weight > 0:
            total = sum(each.weight for each in organisations.values())
            share = self._book.used[spec.organisation].dominant(capacity)
            over = share > organisation.weight / total
        left_s = LATE_SHARE * run.step.estimate_ms / 1000
        late = now + left_s > run.job.due_at
        return (
            run.job.beyond_rate,
            late and priority > MOST_URGENT,
            priority,
            late,
            over,
            run.job.due_at,
        )

    def _plan_step(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        usable: list[workers.Worker],
        plan: Plan,
        now: float,
    ) -> None:
        eligible = [worker for worker in usable if fitting.suits(run, worker)]
        if not eligible:
            plan.wait(run, NO_WORKER)
            return
        if queue.approval is not None:
            self._ask_new(run, queue, eligible, plan, now)
            run.unasked = [each for each in eligible if each.id not in run.allowed]
            eligible = [worker for worker in eligible if run.allowed.get(worker.id)]
            if not eligible:
                names = self._unasked_with_room(run, 1)
                if names:
                    self._ask(run, queue, names, plan, now)
                plan.wait(run, APPROVAL if run.asking else NOT_APPROVED)
                return
        # Capacity alone decides here; without a change nothing new can fit.
        if run.blocked_at == self._book.capacity_version and not run.step.gang:
            return
        if not self._within_ceiling(run, run.step.count if run.step.gang else 1):
            plan.wait(run, CEILING)
            return
        if run.step.gang:
            self._plan_gang(run, queue, eligible, plan, now)
        else:
            self._plan_tasks(run, queue, eligible, plan, now)

    # Approvals

    def _ask_new(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: Plan,
        now: float,
    ) -> None:
        unknown = [worker.id for worker in eligible if worker.id not in run.allowed]
        known = len(eligible) - len(unknown)
        # A few new workers are not worth a question while others are known.
        if unknown and len(unknown) * 3 > known:
            self._ask(run, queue, unknown, plan, now)

    def _ask(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        names: list[str],
        plan: Plan,
        now: float,
    ) -> None:
        if run.asking or now < run.ask_again_at or queue.approval is None:
            return
        run.asking = True
        names = names[:ASK_AT_MOST]
        cost_s = queue.approval.decision_s + queue.approval.per_worker_s * len(names)
        plan.questions.append(
            Question(
                run, tuple(names), cost_s, queue.priority, queue.approval.validity_s
            )
        )

    @staticmethod
    def _unasked_with_room(run: state.StepRun, count: int) -> list[str]:
        """Return workers with room that the approval service was not asked about."""
        demand = run.step.occupied()
        found = [each for each in run.unasked if demand.fits(each.free())]
        return [worker.id for worker in found] if len(found) >= count else []

    def _ticket(
        self, run: state.StepRun, queue: catalogue.Queue, worker: str, now: float
    ) -> str | None:
        if queue.approval is None:
            return ""
        ticket = run.tickets.get(worker)
        if ticket is None or ticket.expires_at < now + TICKET_MARGIN_S:
            return None
        return ticket.text

    # Single tasks

    def _plan_tasks(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: Plan,
        now: float,
    ) -> None:
        demand = run.step.occupied()
        expired: list[str] = []
        on_worker = fitting.count_on_workers(run)
        for index in sorted(run.waiting):
            if not self._within_ceiling(run, 1) or len(plan.starts) >= MAX_STARTS:
                return
            task = run.tasks[index]
            best: workers.Worker | None = None
            best_key: tuple = ()
            for worker in eligible:
                if not fitting.allows(run, task, worker, on_worker, now):
                    continue
                if worker.id in plan.reserved and queue.priority > 0:
                    continue
                free = worker.free()
                if not demand.fits(free):
                    continue
                if self._ticket(run, queue, worker.id, now) is None:
                    expired.append(worker.id)
                    continue
                key = fitting.rank(run, worker, free)
                if best is None or key < best_key:
                    best, best_key = worker, key
            if best is None:
                names = expired or self._unasked_with_room(run, 1)
                plan.wait(run, APPROVAL if names else NO_ROOM)
                if names:
                    self._ask(run, queue, sorted(set(names)), plan, now)
                elif not run.asking and now >= task.avoid_until:
                    run.blocked_at = self._book.capacity_version
                return
            on_worker[best.id] = on_worker.get(best.id, 0) + 1
            self._start(run, task, best, task.run + 1, queue, plan, now)

    def _start(
        self,
        run: state.StepRun,
        task: state.Task,
        worker: workers.Worker,
        number: int,
        queue: catalogue.Queue,
        plan: Plan,
        now: float,
    ) -> None:
        ticket = self._ticket(run, queue, worker.id, now) or ""
        self._book.begin(run, task, worker, number)
        plan.starts.append(Start(run, task, worker, number, ticket))

    def _within_ceiling(self, run: state.StepRun, count: int) -> bool:
        organisation = self._book.catalogue.organisations.get(run.job.spec.organisation)
        if organisation is None:
            return True
        ceiling = organisation.ceiling
        wanted = self._book.used[organisation.name] + run.step.demand.times(count)
        return (
            (not ceiling.cpus or wanted.cpus <= ceiling.cpus)
            and (not ceiling.memory or wanted.memory <= ceiling.memory)
            and (
                not ceiling.accelerators or wanted.accelerators <= ceiling.accelerators
            )
        )

    # Gangs

    def _plan_gang(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: Plan,
        now: float,
    ) -> None:
        count = run.step.count
        if len(run.waiting) < count:
            plan.wait(run, MEMBERS)
            return
        if len({run.tasks[index].checkpoint for index in run.waiting}) > 1:
            self._align_checkpoints(run)
        open_workers = [
            worker
            for worker in eligible
            if worker.id not in plan.reserved
            and all(fitting.is_tried(task, worker, now) for task in run.tasks)
        ]
        chosen = fitting.place_gang(run, open_workers, {})
        if chosen is None:
            plan.wait(run, NO_ROOM)
            if now - run.ready_at >= GANG_PATIENCE_S:
                self._make_room(run, queue, eligible, plan, now)
            return
        missing = [
            worker.id
            for worker, _ in chosen
            if self._ticket(run, queue, worker.id, now) is None
        ]
        if missing:
            plan.wait(run, APPROVAL)
            # All that are allowed, as the room may have changed by the answer.
            names = [worker.id for worker in eligible]
            self._ask(run, queue, names, plan, now)
            plan.reserved.update(worker.id for worker, _ in chosen)
            return
        number = max(task.run for task in run.tasks) + 1
        indices = iter(sorted(run.waiting))
        for worker, share in chosen:
            for _ in range(share):
                task = run.tasks[next(indices)]
                self._start(run, task, worker, number, queue, plan, now)

    @staticmethod
    def _align_checkpoints(run: state.StepRun) -> None:
        """Give all members the latest checkpoint, which is valid for each of them."""
        latest = max(run.tasks, key=lambda task: (task.percent, task.checkpoint))
        for task in run.tasks:
            task.checkpoint = latest.checkpoint

    def _make_room(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: Plan,
        now: float,
    ) -> None:
        """Keep others off the workers that a blocked gang needs, and clear them."""
        if plan.gangs_making_room >= MAX_GANGS_MAKING_ROOM:
            return
        plan.gangs_making_room += 1
        open_workers = [each for each in eligible if each.id not in plan.reserved]
        victims = {
            worker.id: self._victims(worker, queue.priority, now)
            for worker in open_workers
        }
        chosen = self._reserve(run, open_workers, victims, now)
        if chosen is None:
            names = self._unasked_with_room(run, 1)
            if names:
                self._ask(run, queue, names, plan, now)
            return
        plan.reserved.update(worker.id for worker, _ in chosen)
        spare_s = run.job.due_at - now - run.step.estimate_ms / 1000
        waited_s = now - run.ready_at
        if waited_s < PREEMPT_AFTER_S or not 0 < spare_s < PREEMPT_SPARE_S:
            return
        for worker, share in chosen:
            lack = run.step.occupied().times(share)
            free = worker.free()
            for held in victims[worker.id]:
                if lack.fits(free):
                    break
                free = free + held.step.step.occupied()
                if held.task.phase is state.Phase.RUNNING:
                    held.task.preempted += 1
                    self._book.stop(held.step, held.task)

    @staticmethod
    def _reserve(
        run: state.StepRun,
        open_workers: list[workers.Worker],
        victims: dict[str, list[workers.Held]],
        now: float,
    ) -> list[tuple[workers.Worker, int]] | None:
        """Return the workers that a gang waits for, the same as before if possible."""
        extra = {
            name: sum(
                (held.step.step.occupied() for held in found), start=resources.ZERO
            )
            for name, found in victims.items()
        }
        if now < run.reserved_until:
            kept = [each for each in open_workers if each.id in run.reserved]
            chosen = fitting.place_gang(run, kept, extra)
            if chosen is not None:
                return chosen
        chosen = fitting.place_gang(run, open_workers, extra)
        if chosen is not None:
            run.reserved = frozenset(worker.id for worker, _ in chosen)
            run.reserved_until = now + RESERVATION_S
        return chosen

    def _victims(
        self, worker: workers.Worker, priority: int, now: float
    ) -> list[workers.Held]:
        """Return the tasks that may be stopped, those already stopping first."""
        found: list[tuple[float, workers.Held]] = []
        for held in worker.held.values():
            if held.task.phase is state.Phase.STOPPING:
                found.append((-1.0, held))
                continue
            if held.task.phase is not state.Phase.RUNNING or held.step.step.gang:
                continue
            if held.task.preempted >= MAX_PREEMPTIONS:
                continue
            other = self._book.catalogue.queue(held.step.job.spec.queue)
            if other is None or other.priority <= priority:
                continue
            lost_s = now - held.task.started_at
            if held.step.step.checkpointing:
                lost_s = 0.0
            if lost_s <= MAX_LOST_S:
                found.append((lost_s, held))
        found.sort(key=lambda each: each[0])
        return [held for _, held in found]


def take_answer(
    question: Question,
    tickets: dict[str, str],
    expires_at: float,
) -> None:
    """Keep what the approval service said about a step."""
    run = question.step
    for name in question.workers:
        run.allowed[name] = name in tickets
        if name in tickets:
            run.tickets[name] = ports.Ticket(tickets[name], expires_at)
    run.asking = False
    run.blocked_at = -1
