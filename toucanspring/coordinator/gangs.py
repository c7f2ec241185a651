"""Gang scheduling: all or nothing, with reservation and preemption."""

from __future__ import annotations

import math
from typing import Protocol

from toucanspring import resources
from toucanspring.coordinator import (
    approvals,
    catalogue,
    cell_state,
    placement,
    plans,
    preemption,
    state,
    workers,
)

# A blocked gang reserves workers after the first time, and preempts tasks of lower
# priority on them after the second, if these have not ended by then.
RESERVE_AFTER_S = 0.2
PREEMPT_AFTER_S = 1.5
# A gang preempts only if its slack to the deadline is positive and below this.
MAX_PREEMPTING_SLACK_S = 4.0
# A gang keeps its reserved workers for this long.
RESERVATION_S = 3.0
MAX_RESERVING_GANGS = 3
GANG_RETRY_S = 0.2  # until a gang that could reserve nothing tries again


class PlannerInterface(Protocol):
    """Methods of the planner that single tasks and gangs share."""

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

    def block(
        self, step_run: state.StepRun, now: float, at_most_s: float = math.inf
    ) -> None:
        """Skip a step until a worker could take more, or it is held back for long."""

    def request_further(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        held_back: bool,
        plan: plans.Plan,
        now: float,
    ) -> bool:
        """Request approval of further workers with room; return whether any are."""


class Gangs:
    """Planner for the gangs of one cell."""

    def __init__(
        self,
        cell: cell_state.CellState,
        planner: PlannerInterface,
        requests: approvals.Approvals,
    ) -> None:
        self._cell = cell
        self._planner = planner
        self._approvals = requests

    def plan(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        held_back: bool,
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Start a gang if it fits, else reserve workers and preempt tasks for it.

        Paused and reserved workers are used only by a gang that is held back.
        """
        count = step_run.step.count
        if len(step_run.waiting) < count:
            plan.record_wait(step_run, plans.GANG_STILL_RUNNING)
            return
        if len({step_run.tasks[index].checkpoint for index in step_run.waiting}) > 1:
            self._align_checkpoints(step_run)
        allowed = [
            worker
            for worker in eligible
            if all(placement.may_retry_on(task, worker, now) for task in step_run.tasks)
        ]
        open_workers = [
            worker
            for worker in allowed
            if worker.id not in plan.reserved and not worker.is_paused(now)
        ]
        chosen = placement.choose_gang(
            step_run,
            open_workers,
            self._cell,
            lambda found: self._find_delay(step_run, queue, found, now),
        )
        if chosen is None and held_back:
            chosen = placement.place_gang(step_run, allowed, {})
        if chosen is None:
            plan.record_wait(step_run, plans.NO_ROOM)
            self._planner.request_further(step_run, queue, held_back, plan, now)
            if now - step_run.ready_at >= RESERVE_AFTER_S:
                usable = [each for each in eligible if not each.is_paused(now)]
                self._reserve_and_preempt(step_run, queue, usable, plan, now)
            return
        missing = [
            worker
            for worker, _ in chosen
            if self._approvals.ticket(step_run, queue, worker.id, now) is None
        ]
        if missing:
            plan.record_wait(step_run, plans.AWAITING_APPROVAL)
            # Others too, since capacity may change before the reply. The missing ones
            # come first, since the size of a request is limited.
            named = dict.fromkeys([*missing, *open_workers])
            names = self._approvals.choose_again(step_run, named)
            self._approvals.request(step_run, queue, names, plan, now)
            plan.reserved.update(worker.id for worker, _ in chosen)
            return
        run_number = max(task.run for task in step_run.tasks) + 1
        indices = iter(sorted(step_run.waiting))
        for worker, share in chosen:
            for _ in range(share):
                task = step_run.tasks[next(indices)]
                self._planner.start(
                    step_run, task, worker, run_number, queue, plan, now
                )

    def _find_delay(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        chosen: list[tuple[workers.Worker, int]],
        now: float,
    ) -> float:
        """Return the seconds until workers are approved again."""
        missing = sum(
            self._approvals.ticket(step_run, queue, worker.id, now) is None
            for worker, _ in chosen
        )
        if not missing or queue.approval is None:
            return 0.0
        return queue.approval.decision_s + missing * queue.approval.per_worker_s

    @staticmethod
    def _align_checkpoints(step_run: state.StepRun) -> None:
        """Set the latest checkpoint for all members; it is valid for each of them."""
        latest = max(step_run.tasks, key=lambda task: (task.percent, task.checkpoint))
        for task in step_run.tasks:
            task.checkpoint = latest.checkpoint

    def _reserve_and_preempt(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Reserve workers for a blocked gang; preempt tasks there if it is urgent."""
        if plan.reserving_gangs >= MAX_RESERVING_GANGS:
            self._planner.block(step_run, now, GANG_RETRY_S)
            return
        open_workers = [each for each in eligible if each.id not in plan.reserved]
        victims = {
            worker.id: preemption.find_victims(worker, queue.priority, now)
            for worker in open_workers
        }
        chosen = self._choose_reservation(step_run, open_workers, victims, now)
        if chosen is None:
            self._planner.block(step_run, now, GANG_RETRY_S)
            return
        plan.reserving_gangs += 1
        plan.reserved.update(worker.id for worker, _ in chosen)
        slack_s = step_run.job.due_at - now - step_run.step.estimate_ms / 1000
        waited_s = now - step_run.ready_at
        if waited_s < PREEMPT_AFTER_S or not 0 < slack_s < MAX_PREEMPTING_SLACK_S:
            return
        for worker, share in chosen:
            needed = step_run.step.occupied().times(share)
            free = worker.free()
            for allocation in victims[worker.id]:
                if needed.fits(free):
                    break
                free = free + allocation.step.step.occupied()
                if allocation.task.phase is state.TaskPhase.RUNNING:
                    preemption.preempt(self._cell, allocation, step_run)

    @staticmethod
    def _choose_reservation(
        step_run: state.StepRun,
        open_workers: list[workers.Worker],
        victims: dict[str, list[workers.Allocation]],
        now: float,
    ) -> list[tuple[workers.Worker, int]] | None:
        """Return the workers to reserve for a gang, the same as before if possible."""
        reclaimable = {
            name: sum(
                (allocation.step.step.occupied() for allocation in found),
                start=resources.ZERO,
            )
            for name, found in victims.items()
        }
        if now < step_run.reserved_until:
            kept = [each for each in open_workers if each.id in step_run.reserved]
            chosen = placement.place_gang(step_run, kept, reclaimable)
            if chosen is not None:
                return chosen
        chosen = placement.place_gang(step_run, open_workers, reclaimable)
        if chosen is not None:
            step_run.reserved = frozenset(worker.id for worker, _ in chosen)
            step_run.reserved_until = now + RESERVATION_S
        return chosen
