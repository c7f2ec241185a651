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
    stop_causes,
    task_room,
    workers,
)

# A blocked gang reserves workers after the first time, and preempts tasks of lower
# priority on them after the second, if these have not ended by then.
RESERVE_AFTER_S = 0.2
PREEMPT_AFTER_S = 1.5
# A gang preempts only if its slack to the deadline is positive and below this.
MAX_PREEMPTING_SLACK_S = 4.0
# A blocked gang that cannot reserve workers, since tasks that it may not preempt run
# there, has others avoid as many workers as it needs after this time.
DRAIN_AFTER_S = 0.8
# A gang keeps its reserved workers for this long.
RESERVATION_S = 3.0
MAX_RESERVING_GANGS = 3
# Gangs with a reservation, beyond which no further one has others avoid workers.
MAX_KEEPING_GANGS = 6
GANG_RETRY_S = 0.2  # until a gang that could reserve nothing tries again
# A gang holds the workers that it was placed on while it waits for their tickets, but
# not for longer than this, since the service may be slow; then it pauses.
MAX_HOLD_S = 3.0
HOLD_PAUSE_S = 1.0
# Share of the members for which there has to be room, since a step has one request
# under way at a time, and a renewal delays a request for workers with room.
MIN_ROOM_FOR_RENEWAL = 0.75
# Added to the time of an answer when tickets are renewed ahead of their expiry, for
# the queue of the service and the network.
RENEWAL_SLACK_S = 0.3


class PlannerInterface(Protocol):
    """What single tasks and gangs share of the planner."""

    max_tasks_stopped_in_time: float
    task_room: task_room.TaskRoom

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

    def hold_allowance(self, step_run: state.StepRun, now: float) -> None:
        """Keep the allowance of a gang that waits for room, unless it is late."""

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
        # Gangs that hold or reserve workers, by step ID, the oldest first.
        self._keeping: dict[str, state.StepRun] = {}

    def begin_round(self, plan: plans.Plan, now: float) -> None:
        """Keep the workers that gangs have held or reserved since earlier rounds.

        Steps ranked before such a gang take them last; steps ranked behind it do not
        take them once the gang has been looked at.
        """
        for name, step_run in list(self._keeping.items()):
            if step_run.job.is_final or len(step_run.waiting) < step_run.step.count:
                step_run.held = frozenset()
                del self._keeping[name]
                continue
            if step_run.held and now >= step_run.held_since + MAX_HOLD_S:
                _record(plan, plans.GANG_HOLD_ENDED, step_run, len(step_run.held))
                step_run.held = frozenset()
            plan.kept |= step_run.held
            if now < step_run.reserved_until:
                plan.kept |= step_run.reserved
            elif not step_run.held:
                del self._keeping[name]

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
        # A member that has not begun has none.
        checkpoints = {task.checkpoint for task in step_run.tasks.known()}
        if step_run.tasks.unknown():
            checkpoints.add("")
        if len(checkpoints) > 1:
            self._align_checkpoints(step_run)
        allowed = [
            worker
            for worker in eligible
            if all(
                placement.may_retry_on(task, worker, now)
                for task in step_run.tasks.known()
            )
        ]
        open_workers = [
            worker
            for worker in allowed
            if worker.id not in plan.reserved and not worker.is_paused(now)
        ]
        max_tasks = self._find_max_tasks(step_run, open_workers)
        if not max_tasks:
            plan.record_wait(step_run, plans.TOO_MANY_TASKS)
            self._planner.block(step_run, now, task_room.RETRY_S)
            return
        chosen = self._place(step_run, queue, open_workers, now, max_tasks)
        if chosen is None and held_back:
            max_tasks = self._find_max_tasks(step_run, allowed)
            chosen = placement.place_gang(step_run, allowed, {}, max_tasks)
        if chosen is None:
            step_run.held = frozenset()
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
            # come first, since the size of a request is limited, and then the other
            # chosen ones, so that the tickets of all members are valid together.
            placed = [worker for worker, _ in chosen]
            named = dict.fromkeys([*missing, *placed, *open_workers])
            names = self._approvals.choose_again(step_run, named)
            self._approvals.request(step_run, queue, names, plan, now)
            plan.reserved.update(worker.id for worker in placed)
            self._hold(step_run, placed, plan, now)
            self._planner.hold_allowance(step_run, now)
            return
        run_number = 1 + max((task.run for task in step_run.tasks.known()), default=0)
        indices = iter(step_run.waiting)
        for worker, share in chosen:
            for _ in range(share):
                task = step_run.tasks[next(indices)]
                self._planner.start(
                    step_run, task, worker, run_number, queue, plan, now
                )

    def _find_max_tasks(
        self, step_run: state.StepRun, eligible: list[workers.Worker]
    ) -> float:
        """Return how many tasks a worker may have with a gang; 0 if it has to wait."""
        return self._planner.task_room.find_max_with_gang(
            step_run, eligible, self._planner.max_tasks_stopped_in_time
        )

    def _place(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        open_workers: list[workers.Worker],
        now: float,
        max_tasks: float,
    ) -> list[tuple[workers.Worker, int]] | None:
        """Place a gang, if possible where it has tickets, else where it holds workers.

        The workers with the most room change with each task that starts or ends. A gang
        that is placed on these lacks a ticket again after each answer.
        """
        preferred = [open_workers]
        if queue.approval is not None:
            with_ticket = [
                worker
                for worker in open_workers
                if self._approvals.ticket(step_run, queue, worker.id, now) is not None
            ]
            held = [worker for worker in open_workers if worker.id in step_run.held]
            preferred = [with_ticket, held, open_workers]
        best, best_end_s = None, math.inf
        for candidates in preferred:
            chosen = placement.choose_gang(
                step_run,
                candidates,
                self._cell,
                lambda found: self._find_delay(step_run, queue, found, now),
                max_tasks,
            )
            if chosen is None:
                continue
            if not self._cell.speeds.differ:
                return chosen
            end_s = placement.estimate_gang_end(
                self._cell,
                step_run,
                chosen,
                self._find_delay(step_run, queue, chosen, now),
            )
            if end_s < best_end_s:
                best, best_end_s = chosen, end_s
        return best

    def _hold(
        self,
        step_run: state.StepRun,
        placed: list[workers.Worker],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Hold the workers that a gang was placed on until their tickets arrive."""
        if now >= step_run.held_since + MAX_HOLD_S + HOLD_PAUSE_S:
            step_run.held_since = now
        if now >= step_run.held_since + MAX_HOLD_S:
            return
        if not step_run.held:
            _record(plan, plans.GANG_HELD, step_run, len(placed))
        step_run.held = frozenset(worker.id for worker in placed)
        self._keeping[step_run.id] = step_run

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

    def _renew_tickets(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        chosen: list[tuple[workers.Worker, int]],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Renew tickets of reserved workers if a renewal takes until their expiry."""
        if queue.approval is None or step_run.approval_pending:
            return
        room = sum(
            min(share, placement.count_slots(step_run, worker))
            for worker, share in chosen
        )
        if room < MIN_ROOM_FOR_RENEWAL * step_run.step.count:
            return
        lead_s = approvals.answer_s(queue.approval, len(chosen)) + RENEWAL_SLACK_S
        if all(
            self._approvals.ticket(step_run, queue, worker.id, now + lead_s) is not None
            for worker, _ in chosen
        ):
            return
        names = [worker.id for worker, _ in chosen]
        requested = len(plan.approval_requests)
        self._approvals.request(step_run, queue, names, plan, now, is_optional=True)
        if len(plan.approval_requests) > requested:
            _record(plan, plans.GANG_TICKETS_RENEWED, step_run, len(names))

    def reserve(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Reserve workers for a gang whose allowance is about to suffice.

        Otherwise others take the room meanwhile, and room and allowance alternate.
        """
        usable = [each for each in eligible if not each.is_paused(now)]
        self._reserve_and_preempt(step_run, queue, usable, plan, now, False)

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
        may_preempt: bool = True,
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
            if now - step_run.ready_at >= DRAIN_AFTER_S:
                self._drain(step_run, queue, open_workers, plan, now)
            self._planner.block(step_run, now, GANG_RETRY_S)
            return
        plan.reserving_gangs += 1
        plan.reserved.update(worker.id for worker, _ in chosen)
        self._keeping[step_run.id] = step_run
        self._renew_tickets(step_run, queue, chosen, plan, now)
        if not may_preempt:
            return
        self._planner.hold_allowance(step_run, now)
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
                    preemption.preempt(
                        self._cell,
                        allocation,
                        step_run,
                        stop_causes.StopCause.GANG_PREEMPTION,
                    )

    def _drain(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        open_workers: list[workers.Worker],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Have tasks that fit elsewhere avoid workers until a gang has room there.

        Nothing stays idle for it: tasks that fit nowhere else start there.
        """
        if now >= step_run.reserved_until:
            keeping = sum(now < each.reserved_until for each in self._keeping.values())
            if keeping >= MAX_KEEPING_GANGS:
                return
            chosen = placement.place_gang(
                step_run,
                sorted(open_workers, key=lambda worker: -worker.free().cpus),
                {worker.id: worker.used for worker in open_workers},
            )
            if chosen is None:
                return
            step_run.reserved = frozenset(worker.id for worker, _ in chosen)
            step_run.reserved_until = now + RESERVATION_S
            _record(plan, plans.GANG_DRAINS, step_run, len(chosen))
        plan.kept |= step_run.reserved
        self._keeping[step_run.id] = step_run
        reserved = [
            (each, placement.count_slots(step_run, each))
            for each in open_workers
            if each.id in step_run.reserved
        ]
        self._renew_tickets(step_run, queue, reserved, plan, now)

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


def _record(plan: plans.Plan, kind: str, step_run: state.StepRun, count: int) -> None:
    plan.gang_decisions.append(plans.GangDecision(step_run, kind, count))
