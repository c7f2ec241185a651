"""Gangs start whole; a blocked one keeps and clears the room that it needs."""

from __future__ import annotations

from typing import Protocol

from toucanspring import resources
from toucanspring.coordinator import (
    catalogue,
    cell_state,
    placement,
    plans,
    state,
    workers,
)

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


class Rounds(Protocol):
    """What the planner does for single tasks and gangs alike."""

    def ask(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        names: list[str],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Ask about workers, unless a question is open."""

    def ticket(
        self, run: state.StepRun, queue: catalogue.Queue, worker: str, now: float
    ) -> str | None:
        """Return a valid ticket; empty if none is needed, None if there is none."""

    def start(
        self,
        run: state.StepRun,
        task: state.Task,
        worker: workers.Worker,
        number: int,
        queue: catalogue.Queue,
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Book a run."""

    def unasked_with_room(self, run: state.StepRun) -> list[str]:
        """Return workers with room that the approval service was not asked about."""


class Gangs:
    """Plan the gangs of one book."""

    def __init__(self, records: cell_state.Book, rounds: Rounds) -> None:
        self._book = records
        self._rounds = rounds

    def plan(
        self,
        run: state.StepRun,
        queue: catalogue.Queue,
        eligible: list[workers.Worker],
        plan: plans.Plan,
        now: float,
    ) -> None:
        """Start a gang that fits, or make room for it."""
        count = run.step.count
        if len(run.waiting) < count:
            plan.wait(run, plans.MEMBERS)
            return
        if len({run.tasks[index].checkpoint for index in run.waiting}) > 1:
            self._align_checkpoints(run)
        open_workers = [
            worker
            for worker in eligible
            if worker.id not in plan.reserved
            and all(placement.is_tried(task, worker, now) for task in run.tasks)
        ]
        chosen = placement.place_gang(run, open_workers, {})
        if chosen is None:
            plan.wait(run, plans.NO_ROOM)
            if now - run.ready_at >= GANG_PATIENCE_S:
                self._make_room(run, queue, eligible, plan, now)
            return
        missing = [
            worker.id
            for worker, _ in chosen
            if self._rounds.ticket(run, queue, worker.id, now) is None
        ]
        if missing:
            plan.wait(run, plans.APPROVAL)
            # All that are allowed, as the room may have changed by the answer.
            names = [worker.id for worker in eligible]
            self._rounds.ask(run, queue, names, plan, now)
            plan.reserved.update(worker.id for worker, _ in chosen)
            return
        number = max(task.run for task in run.tasks) + 1
        indices = iter(sorted(run.waiting))
        for worker, share in chosen:
            for _ in range(share):
                task = run.tasks[next(indices)]
                self._rounds.start(run, task, worker, number, queue, plan, now)

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
        plan: plans.Plan,
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
            names = self._rounds.unasked_with_room(run)
            if names:
                self._rounds.ask(run, queue, names, plan, now)
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
            chosen = placement.place_gang(run, kept, extra)
            if chosen is not None:
                return chosen
        chosen = placement.place_gang(run, open_workers, extra)
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
