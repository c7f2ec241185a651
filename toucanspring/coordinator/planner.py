"""Planning of starts, approval requests and preemptions.

The planner performs no I/O and reads no clock: it reads and updates the cell state and
returns its decisions.
"""

from __future__ import annotations

import math

from toucanspring import resources
from toucanspring.coordinator import (
    attempts,
    availability,
    catalogue,
    cell_state,
    gangs,
    order_pacing,
    placement,
    plans,
    state,
    workers,
)

TOP_PRIORITY = 0
# A job counts as late once this fraction of its estimated run time does not fit before
# the deadline; estimates are off by up to 0.9 in either direction.
LATE_ESTIMATE_FRACTION = 0.6
# A fresh ticket is used for this fraction of its validity, however late orders arrive.
MIN_USABLE_VALIDITY = 0.5
# A step of which nothing runs after this long in a lightly used pool may use workers
# that are paused or reserved for gangs: a doubtful start is better than none.
MAX_HELD_BACK_S = 1.5
# Limits the duration of a round.
MAX_STEPS_PER_ROUND = 400
MAX_WORKERS_PER_REQUEST = 100


class Planner:
    """Planner for the jobs of one cell."""

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        self._available = availability.Availability(cell)
        self._gangs = gangs.Gangs(cell, self)
        self.max_starts = order_pacing.MIN_STARTS_PER_ROUND
        # Remaining validity of a ticket at a start: the order may be delayed.
        self.ticket_margin_s = order_pacing.MIN_TICKET_MARGIN_S

    def plan(self, now: float) -> plans.Plan:
        """Plan one round and allocate the resources for its starts.

        Jobs without attempts left fail here, since this needs as recent a configuration
        as starts do.
        """
        attempts.fail_exhausted(self._cell, now)
        plan = plans.Plan()
        self._available.begin_round(now)
        over_share = self._find_over_share()
        steps = sorted(
            self._cell.ready.values(),
            key=lambda step_run: self._rank(step_run, over_share, now),
        )
        left = MAX_STEPS_PER_ROUND
        for step_run in steps:
            if not left or len(plan.starts) >= self.max_starts:
                break
            queue = self._cell.catalogue.queue(step_run.job.spec.queue)
            if step_run.job.is_final:
                continue
            if queue is None:
                plan.record_wait(step_run, plans.UNKNOWN_QUEUE)
                continue
            if self._must_wait(step_run, queue, plan, now):
                continue
            left -= 1
            self._plan_step(step_run, queue, plan, now)
        self._available.end_round()
        return plan

    def _must_wait(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        plan: plans.Plan,
        now: float,
    ) -> bool:
        """Return whether a step need not be looked at; costs little for each step."""
        if (
            step_run.blocked_version == self._available.version
            and now < step_run.blocked_until
        ):
            return True
        if self._ceiling(step_run) is None:
            plan.record_wait(step_run, plans.UNKNOWN_ORGANISATION)
            return True
        if step_run.approval_pending and not step_run.tickets:
            plan.record_wait(step_run, plans.AWAITING_APPROVAL)
            return True
        if queue.approval is None and not self._within_ceiling(step_run):
            plan.record_wait(step_run, plans.ABOVE_CEILING)
            return True
        step = step_run.step
        if (
            queue.approval is None
            and not step.gang
            and plan.is_full_for((queue.pool, step.required_label), step.occupied())
            and not self._is_held_back(step_run, self._available.pool(queue.pool), now)
        ):
            plan.record_wait(step_run, plans.NO_ROOM)
            self.block(step_run, now)
            return True
        return False

    def block(
        self, step_run: state.StepRun, now: float, at_most_s: float = math.inf
    ) -> None:
        """Skip a step until a worker could take more, or it is held back for long."""
        times = (
            step_run.ready_at + MAX_HELD_BACK_S,
            step_run.approval_retry_at,
            now + at_most_s,
        )
        step_run.blocked_version = self._available.version
        step_run.blocked_until = min(
            (each for each in times if each > now), default=math.inf
        )

    def _find_over_share(self) -> frozenset[str]:
        """Return the organisations that use more than their fair share of the cell."""
        capacity = workers.total_capacity(self._cell.workers.values())
        organisations = self._cell.catalogue.organisations.values()
        total = sum(each.weight for each in organisations)
        return frozenset(
            each.name
            for each in organisations
            if each.weight > 0
            and self._cell.used[each.name].dominant(capacity) > each.weight / total
        )

    def _rank(
        self, step_run: state.StepRun, over_share: frozenset[str], now: float
    ) -> tuple[bool, bool, int, bool, bool, float]:
        """Return a sort key: fair share and priority first, then the deadline.

        Under overload, earliest deadline first alone would make all jobs late. So late
        jobs wait for jobs that are not, except at the top priority.
        """
        spec = step_run.job.spec
        queue = self._cell.catalogue.queue(spec.queue)
        priority = queue.priority if queue is not None else 9
        needed_s = LATE_ESTIMATE_FRACTION * step_run.step.estimate_ms / 1000
        late = now + needed_s > step_run.job.due_at
        return (
            bool(step_run.job.over_rate),
            late and priority > TOP_PRIORITY,
            priority,
            late,
            spec.organisation in over_share,
            step_run.job.due_at,
        )

    def _plan_step(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        plan: plans.Plan,
        now: float,
    ) -> None:
        pool = self._available.pool(queue.pool)
        held_back = self._is_held_back(step_run, pool, now)
        candidates = [*pool.usable, *pool.paused] if held_back else pool.usable
        eligible = placement.find_eligible(step_run, candidates)
        if not eligible:
            plan.record_wait(step_run, plans.NO_USABLE_WORKER)
            step = step_run.step
            plan.record_full((queue.pool, step.required_label), step.occupied())
            self.block(step_run, now)
            return
        if queue.approval is not None:
            self._request_new_approvals(step_run, queue, eligible, plan, now)
            step_run.not_requested = [
                each for each in eligible if each.id not in step_run.allowed
            ]
            eligible = [
                worker for worker in eligible if step_run.allowed.get(worker.id)
            ]
            if not eligible:
                names = self.not_requested_with_room(step_run)
                if names:
                    self.request_approval(step_run, queue, names, plan, now)
                elif not step_run.approval_pending:
                    self.block(step_run, now)
                plan.record_wait(
                    step_run,
                    plans.AWAITING_APPROVAL
                    if step_run.approval_pending
                    else plans.NOT_APPROVED,
                )
                return
        if not self._within_ceiling(step_run):
            plan.record_wait(step_run, plans.ABOVE_CEILING)
            return
        if step_run.step.gang:
            self._gangs.plan(step_run, queue, eligible, held_back, plan, now)
        else:
            self._plan_tasks(step_run, queue, eligible, held_back, plan, now)

    @staticmethod
    def _is_held_back(
        step_run: state.StepRun, pool: availability.Pool, now: float
    ) -> bool:
        """Return whether nothing of a step runs although its pool is mostly idle."""
        return (
            now >= step_run.ready_at + MAX_HELD_BACK_S
            and pool.lightly_used
            and (
                step_run.step.long_running
                or not any(task.worker for task in step_run.tasks)
            )
        )

    # Approvals

    def _request_new_approvals(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: plans.Plan,
        now: float,
    ) -> None:
        unknown = [
            worker.id for worker in eligible if worker.id not in step_run.allowed
        ]
        known = len(eligible) - len(unknown)
        # A few new workers are not worth a request while others have a decision.
        if unknown and len(unknown) * 3 > known:
            self.request_approval(step_run, queue, unknown, plan, now)

    def request_approval(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        names: list[str],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Request approval of workers, unless a request is pending or must wait."""
        if (
            step_run.approval_pending
            or now < step_run.approval_retry_at
            or queue.approval is None
        ):
            return
        step_run.approval_pending = True
        names = names[:MAX_WORKERS_PER_REQUEST]
        cost_s = queue.approval.decision_s + queue.approval.per_worker_s * len(names)
        plan.approval_requests.append(
            plans.ApprovalRequest(
                step_run,
                tuple(names),
                cost_s,
                queue.priority,
                queue.approval.validity_s,
            )
        )

    @staticmethod
    def not_requested_with_room(step_run: state.StepRun) -> list[str]:
        """Return workers with free capacity that no approval was requested for."""
        demand = step_run.step.occupied()
        return [each.id for each in step_run.not_requested if each.has_room(demand)]

    def ticket(
        self, step_run: state.StepRun, queue: catalogue.Queue, worker: str, now: float
    ) -> str | None:
        """Return a valid ticket, "" if none is needed, or None if there is none."""
        if queue.approval is None:
            return ""
        ticket = step_run.tickets.get(worker)
        margin_s = min(
            self.ticket_margin_s, MIN_USABLE_VALIDITY * queue.approval.validity_s
        )
        if ticket is None or ticket.expires_at < now + margin_s:
            return None
        return ticket.text

    # Single tasks

    def _plan_tasks(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        held_back: bool,
        plan: plans.Plan,
        now: float,
    ) -> None:
        on_worker = placement.count_per_worker(step_run)
        open_workers = eligible
        if queue.priority > TOP_PRIORITY and not held_back:
            open_workers = [each for each in eligible if each.id not in plan.reserved]
        demand = step_run.step.occupied()
        for index in sorted(step_run.waiting):
            if (
                not self._within_ceiling(step_run)
                or len(plan.starts) >= self.max_starts
            ):
                return
            task = step_run.tasks[index]
            fits = [
                worker
                for worker in open_workers
                if worker.has_room(demand)
                and placement.may_place(step_run, task, worker, on_worker, now)
            ]
            valid = [
                worker
                for worker in fits
                if self.ticket(step_run, queue, worker.id, now) is not None
            ]
            if not valid and task.avoided_workers and now < task.avoid_until:
                continue  # other tasks of the step may still fit
            if not valid:
                # Reservations may end at any time.
                may_block = len(open_workers) == len(eligible)
                if (
                    may_block
                    and queue.approval is None
                    and not step_run.step.max_per_worker
                    and not task.avoided_workers
                ):
                    plan.record_full((queue.pool, step_run.step.required_label), demand)
                self._request_or_block(
                    step_run, queue, [each.id for each in fits], may_block, plan, now
                )
                return
            best = min(
                valid,
                key=lambda worker: (
                    held_back and (worker.is_paused(now) or worker.id in plan.reserved),
                    placement.rank(step_run, worker, worker.free()),
                ),
            )
            on_worker[best.id] = on_worker.get(best.id, 0) + 1
            self.start(step_run, task, best, task.run + 1, queue, plan, now)

    def _request_or_block(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        without_ticket: list[str],
        may_block: bool,
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Request approval of workers with capacity, or block the step without any."""
        names = without_ticket or self.not_requested_with_room(step_run)
        plan.record_wait(step_run, plans.AWAITING_APPROVAL if names else plans.NO_ROOM)
        if names:
            self.request_approval(step_run, queue, names, plan, now)
        elif not step_run.approval_pending and may_block:
            self.block(step_run, now)

    def start(
        self,
        step_run: state.StepRun,
        task: state.Task,
        worker: workers.Worker,
        run_number: int,
        queue: catalogue.Queue,
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Allocate resources for a run and add its start to the plan."""
        ticket = self.ticket(step_run, queue, worker.id, now) or ""
        self._cell.allocate(step_run, task, worker, run_number)
        plan.starts.append(
            plans.Start(
                step_run, task, worker, run_number, ticket, worker.backoff_until
            )
        )

    def _ceiling(self, step_run: state.StepRun) -> resources.Resources | None:
        """Return the ceiling of a step's organisation (0: no limit), None if unknown.

        Jobs of open queues may have no organisation.
        """
        name = step_run.job.spec.organisation
        if not name:
            return resources.ZERO
        organisation = self._cell.organisations.get(name)
        return None if organisation is None else organisation.ceiling

    def _within_ceiling(self, step_run: state.StepRun) -> bool:
        """Return whether one more task, or the whole gang, stays below the ceiling."""
        ceiling = self._ceiling(step_run)
        if ceiling is None:
            return False
        count = step_run.step.count if step_run.step.gang else 1
        used = self._cell.used[step_run.job.spec.organisation]
        wanted = used + step_run.step.demand.times(count)
        return (
            (not ceiling.cpus or wanted.cpus <= ceiling.cpus)
            and (not ceiling.memory or wanted.memory <= ceiling.memory)
            and (
                not ceiling.accelerators or wanted.accelerators <= ceiling.accelerators
            )
        )
