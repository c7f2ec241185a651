"""Planning of starts, approval requests and preemptions.

The planner performs no I/O and reads no clock: it reads and updates the cell state and
returns its decisions.
"""

from __future__ import annotations

import math

import logbook

from toucanspring.coordinator import (
    approvals,
    attempts,
    availability,
    catalogue,
    ceilings,
    cell_state,
    gangs,
    order_pacing,
    placement,
    plans,
    state,
    task_room,
    urgency,
    workers,
)

log = logbook.Logger(__name__)

TOP_PRIORITY = 0
# A step of which nothing runs after this long in a lightly used pool, and a step of
# tasks that last in any, may use workers that are paused or reserved for gangs: a
# doubtful start is better than none.
MAX_HELD_BACK_S = 1.5
# Limits the duration of a round.
MAX_STEPS_PER_ROUND = 400
FAILED_STEP_PAUSE_S = 1.0  # of a step whose planning raised an exception


class Planner:
    """Planner for the jobs of one cell."""

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        self._available = availability.Availability(cell)
        self.approvals = approvals.Approvals()
        self._gangs = gangs.Gangs(cell, self, self.approvals)
        self._ceilings = ceilings.Ceilings(cell)
        self.task_room = task_room.TaskRoom(cell)
        self.max_starts = order_pacing.MIN_STARTS_PER_ROUND
        # A worker gets more tasks, up to the limit of `task_room`, only where all
        # others have as many or no room; then the one with the fewest does.
        self.max_tasks_stopped_in_time = math.inf
        # The latest round ended before all steps were looked at.
        self._was_cut_short = False

    def plan(self, now: float) -> plans.Plan:
        """Plan one round and allocate the resources for its starts.

        Jobs without attempts left fail here, since this needs as recent a configuration
        as starts do.
        """
        self._cell.open_further_steps(now)
        attempts.fail_exhausted(self._cell, now)
        plan = plans.Plan()
        self._available.begin_round(now)
        self._ceilings.begin_round()
        self.task_room.begin_round()
        self._gangs.begin_round(plan, now)
        over_share = urgency.find_over_share(self._cell)
        steps = sorted(
            self._cell.ready.values(),
            key=lambda step_run: self._rank(step_run, over_share, now),
        )
        left = MAX_STEPS_PER_ROUND
        self._was_cut_short = False
        for step_run in steps:
            if not left or len(plan.starts) >= self.max_starts:
                self._was_cut_short = True
                break
            skipped_until = max(step_run.skipped_until, step_run.job.set_aside_until)
            if step_run.job.is_final or now < skipped_until:
                continue
            try:
                left -= self._look_at(step_run, plan, now)
            except Exception:
                # One odd step must not end the coordination of all others.
                log.exception("planning step {} failed", step_run.id)
                step_run.skipped_until = now + FAILED_STEP_PAUSE_S
        self._available.end_round()
        return plan

    def _look_at(self, step_run: state.StepRun, plan: plans.Plan, now: float) -> bool:
        """Plan a step unless it must wait; return whether it was planned."""
        queue = step_run.job.queue
        if queue is None:
            plan.record_wait(step_run, plans.UNKNOWN_QUEUE)
            return False
        if self._must_wait(step_run, queue, plan, now):
            return False
        self._plan_step(step_run, queue, plan, now)
        return True

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
        if self._ceilings.limit(step_run) is None:
            plan.record_wait(step_run, plans.UNKNOWN_ORGANISATION)
            return True
        if self._ceilings.exceeds_alone(step_run):
            # Looked at in each round, since the next configuration may raise it.
            plan.record_wait(step_run, plans.EXCEEDS_CEILING)
            return True
        if not self.task_room.has_any(step_run):
            plan.record_wait(step_run, plans.TOO_MANY_TASKS)
            return True
        if step_run.approval_pending and not step_run.tickets:
            plan.record_wait(step_run, plans.AWAITING_APPROVAL)
            return True
        if queue.approval is None and not self._ceilings.permits(step_run):
            self._await_allowance(step_run, queue, plan, now)
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

    def _rank(
        self, step_run: state.StepRun, over_share: frozenset[str], now: float
    ) -> tuple[bool, bool, int, bool, bool, bool, float]:
        """Return a sort key: fair share and priority first, then the deadline.

        Under overload, earliest deadline first alone would make all jobs late. So late
        jobs wait for jobs that are not, except at the top priority. Among those alike,
        one that has waited beside free room comes first until something of it runs: a
        job of many tasks would else take all starts for as long as it lasts.
        """
        spec = step_run.job.spec
        queue = step_run.job.queue
        priority = queue.priority if queue is not None else 9
        late = urgency.is_late(step_run, now)
        return (
            bool(step_run.job.over_rate),
            late and priority > TOP_PRIORITY,
            priority,
            late,
            not self._is_passed_over(step_run, now),
            spec.organisation in over_share,
            step_run.job.due_at,
        )

    def _is_passed_over(self, step_run: state.StepRun, now: float) -> bool:
        """Return whether nothing of a job runs although there may be room for it.

        Tasks whose start has not been sent yet count as using the pool, so that it may
        seem full while the rate of starts is the bound.
        """
        job = step_run.job
        if job.allocated or job.queue is None:
            return False
        if now < step_run.ready_at + MAX_HELD_BACK_S:
            return False
        pool = self._available.pool(job.queue.pool)
        return pool.lightly_used or self._was_cut_short

    def _plan_step(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        plan: plans.Plan,
        now: float,
    ) -> None:
        held_back = self._is_held_back(step_run, self._available.pool(queue.pool), now)
        eligible = self._find_eligible(step_run, queue, held_back, now)
        if not eligible:
            self._await_worker(step_run, queue, held_back, plan, now)
            return
        if not self._ceilings.permits(step_run):
            is_met_soon = self._await_allowance(step_run, queue, plan, now)
            if is_met_soon and step_run.step.gang:
                self._gangs.reserve(step_run, queue, eligible, plan, now)
            return
        if step_run.step.gang:
            self._gangs.plan(step_run, queue, eligible, held_back, plan, now)
        else:
            self._plan_tasks(step_run, queue, eligible, held_back, plan, now)

    def _candidates(
        self, queue: catalogue.Queue, held_back: bool
    ) -> list[workers.Worker]:
        pool = self._available.pool(queue.pool)
        return [*pool.usable, *pool.paused] if held_back else pool.usable

    def _find_eligible(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        held_back: bool,
        now: float,
    ) -> list[workers.Worker]:
        """Return the workers that may run tasks of a step if they have room."""
        if queue.approval is None:
            candidates = self._candidates(queue, held_back)
            return placement.find_eligible(step_run, candidates)
        found = []
        for name, allowed in step_run.allowed.items():
            worker = self._cell.workers.get(name) if allowed else None
            if worker is None or worker.entry.pool != queue.pool:
                continue
            if worker.is_available(self._cell.zones_out) and (
                held_back or not worker.is_paused(now)
            ):
                found.append(worker)
        return placement.find_eligible(step_run, found)

    def _await_worker(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        held_back: bool,
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Request approval for a step without an eligible worker, or block it."""
        candidates = self._candidates(queue, held_back)
        if queue.approval is not None and not step_run.approval_pending:
            names = self.approvals.choose(step_run, queue, candidates)
            if names:
                self.approvals.request(step_run, queue, names, plan, now)
        if step_run.approval_pending:
            plan.record_wait(step_run, plans.AWAITING_APPROVAL)
            return
        if queue.approval is None or not placement.find_eligible(step_run, candidates):
            plan.record_wait(step_run, plans.NO_USABLE_WORKER)
            step = step_run.step
            plan.record_full((queue.pool, step.required_label), step.occupied())
        else:
            plan.record_wait(step_run, plans.NOT_APPROVED)
        self.block(step_run, now)

    @staticmethod
    def _is_held_back(
        step_run: state.StepRun, pool: availability.Pool, now: float
    ) -> bool:
        """Return whether a step has waited for too long for paused workers.

        That is if its tasks last, or if nothing of it runs and its pool is mostly idle.
        """
        if now < step_run.ready_at + MAX_HELD_BACK_S:
            return False
        return step_run.step.long_running or (
            pool.lightly_used
            and not any(task.worker for task in step_run.tasks.known())
        )

    # Approvals

    def request_further(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        held_back: bool,
        plan: plans.Plan,
        now: float,
    ) -> bool:
        """Request approval of further workers with room; return whether any are.

        Paused workers count only for a step that is held back.
        """
        if queue.approval is None or step_run.approval_pending:
            return False
        candidates = self._candidates(queue, held_back)
        names, is_informed = [], False
        if step_run.step.gang:
            approved = self._find_eligible(step_run, queue, held_back, now)
            is_informed = self.approvals.is_gang_informed(step_run, approved)
            if not is_informed:
                names = self.approvals.choose(step_run, queue, candidates)
        names = names or self.approvals.choose_with_room(
            step_run, queue, candidates, None if held_back else plan
        )
        if is_informed and self.approvals.is_wasteful(queue, names):
            return False
        if names:
            self.approvals.request(step_run, queue, names, plan, now)
        return bool(names)

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
        speed_order = None  # found once a worker has room, which is rare under load
        for index in step_run.waiting:
            if len(plan.starts) >= self.max_starts:
                return
            if not self._ceilings.permits(step_run):
                self._await_allowance(step_run, queue, plan, now)
                return
            task = step_run.tasks[index]
            max_tasks = self.task_room.max_per_worker(step_run)
            fits = [
                worker
                for worker in open_workers
                if worker.has_room(demand)
                and worker.count_tasks() < max_tasks
                and placement.may_place(step_run, task, worker, on_worker, now)
            ]
            valid = [
                worker
                for worker in fits
                if self.approvals.ticket(step_run, queue, worker.id, now) is not None
            ]
            if not valid and task.avoided_workers and now < task.avoid_until:
                continue  # other tasks of the step may still fit
            if not fits and self._waits_for_ends(step_run, queue, open_workers):
                plan.record_wait(step_run, plans.TOO_MANY_TASKS)
                self.block(step_run, now, task_room.RETRY_S)
                return
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
                    step_run, queue, fits, held_back, may_block, plan, now
                )
                return
            if speed_order is None:
                speed_order = placement.order_by_speed(
                    step_run, open_workers, self._cell.speeds
                )
            best = min(
                valid,
                key=lambda worker: (
                    held_back and (worker.is_paused(now) or worker.id in plan.reserved),
                    worker.id in plan.kept,
                    max(0, worker.count_tasks() + 1 - self.max_tasks_stopped_in_time),
                    placement.rank(step_run, worker, worker.free(), speed_order),
                ),
            )
            on_worker[best.id] = on_worker.get(best.id, 0) + 1
            self.start(step_run, task, best, task.run + 1, queue, plan, now)

    def _waits_for_ends(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        open_workers: list[workers.Worker],
    ) -> bool:
        """Return whether a step has capacity, but too many tasks would run there."""
        return queue.approval is None and any(
            worker.has_room(step_run.step.occupied())
            and worker.count_tasks() >= self.task_room.max_per_worker(step_run)
            for worker in open_workers
        )

    def _request_or_block(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        without_ticket: list[workers.Worker],
        held_back: bool,
        may_block: bool,
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Request approval of workers with capacity, or block the step without any."""
        if without_ticket:
            names = self.approvals.choose_again(step_run, without_ticket)
            self.approvals.request(step_run, queue, names, plan, now)
            requested = True
        else:
            requested = self.request_further(step_run, queue, held_back, plan, now)
        if requested or step_run.approval_pending:
            plan.record_wait(step_run, plans.AWAITING_APPROVAL)
            return
        plan.record_wait(step_run, plans.NO_ROOM)
        if may_block:
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
        ticket = self.approvals.ticket(step_run, queue, worker.id, now) or ""
        self._cell.allocate(step_run, task, worker, run_number)
        self.task_room.record_start()
        plan.starts.append(
            plans.Start(
                step_run,
                task,
                worker,
                run_number,
                ticket,
                worker.backoff_until,
                worker.incarnation,
            )
        )

    def _await_allowance(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        plan: plans.Plan,
        now: float,
    ) -> bool:
        """Leave a step waiting at the ceiling; make way for it if it is urgent.

        Return whether the allowance suffices once the tasks stopped for it have ended.
        """
        plan.record_wait(step_run, plans.ABOVE_CEILING)
        return (
            (queue.priority == TOP_PRIORITY or step_run.step.gang)
            and not step_run.job.over_rate
            and not urgency.is_late(step_run, now)
            and self._ceilings.claim(step_run, queue)
        )

    def hold_allowance(self, step_run: state.StepRun, now: float) -> None:
        """Keep the allowance of a gang that waits for room, unless it is late."""
        if not step_run.job.over_rate and not urgency.is_late(step_run, now):
            self._ceilings.hold(step_run)
