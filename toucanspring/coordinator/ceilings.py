"""Ceilings of organisations: what may start below them, and what makes way.

An organisation at its ceiling waits for its own tasks only, however much room the
workers have. Without a claim, its most urgent steps queue behind work that can wait.
"""

from __future__ import annotations

from toucanspring import resources
from toucanspring.coordinator import (
    catalogue,
    cell_state,
    placement,
    preemption,
    state,
    stop_causes,
    workers,
)


class Ceilings:
    """Ceilings of organisations, and what their urgent steps wait for in a round.

    The running tasks are looked at once in a round, and only if a step claims some. A
    claim that can't be met, also once all that ends has ended, holds nobody back.
    """

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        # Of this round, by organisation.
        self._claimed: dict[str, resources.Resources] = {}
        # Tasks that lose nothing if they are stopped, with the priority of their queue.
        self._victims: dict[str, list[tuple[int, workers.Allocation]]] = {}
        self._freeing: dict[str, resources.Resources] = {}
        # What long-running tasks use, by organisation and by worker.
        self._lasting: dict[str, resources.Resources] = {}
        self._lasting_on: dict[str, resources.Resources] = {}
        self._lasting_total = resources.ZERO
        self._has_collected = False

    def begin_round(self) -> None:
        """Forget the claims of the round before."""
        self._claimed.clear()
        self._victims.clear()
        self._freeing.clear()
        self._lasting.clear()
        self._lasting_on.clear()
        self._lasting_total = resources.ZERO
        self._has_collected = False

    def limit(self, step_run: state.StepRun) -> resources.Resources | None:
        """Return the ceiling of a step's organisation (0: no limit), None if unknown.

        Jobs of open queues may have no organisation.
        """
        return find(self._cell, step_run)

    def permits(self, step_run: state.StepRun) -> bool:
        """Return whether one more task, or the whole gang, stays below the ceiling.

        What more urgent steps of the organisation wait for is left to them.
        """
        ceiling = self.limit(step_run)
        if ceiling is None:
            return False
        count = step_run.step.count if step_run.step.gang else 1
        name = step_run.job.spec.organisation
        used = self._cell.used[name] + self._claimed.get(name, resources.ZERO)
        wanted = used + step_run.step.demand.times(count)
        return wanted.fits(_without_zeros(ceiling))

    def exceeds_alone(self, step_run: state.StepRun) -> bool:
        """Return whether one task, or the whole gang, exceeds the ceiling by itself.

        Costs little for each step and round.
        """
        ceiling = self.limit(step_run)
        if ceiling is not step_run.checked_ceiling:
            count = step_run.step.count if step_run.step.gang else 1
            wanted = step_run.step.demand.times(count)
            step_run.checked_ceiling = ceiling
            step_run.exceeds_ceiling = ceiling is not None and not wanted.fits(
                _without_zeros(ceiling)
            )
        return step_run.exceeds_ceiling

    def hold(self, step_run: state.StepRun) -> None:
        """Keep the allowance of a permitted gang from the steps ranked behind it.

        A gang needs room and allowance at the same time. Without a hold, its
        organisation's other steps take the allowance while it waits for room.
        """
        name = step_run.job.spec.organisation
        wanted = step_run.step.demand.times(step_run.step.count)
        self._claimed[name] = self._claimed.get(name, resources.ZERO) + wanted

    def claim(self, step_run: state.StepRun, queue: catalogue.Queue) -> bool:
        """Claim the allowance that a step waits for; stop less urgent tasks for it.

        No more is claimed than the step can use at once. Return whether the claim is
        met once the stopped tasks have ended.
        """
        ceiling = self.limit(step_run)
        if ceiling is None:
            return False
        name, priority = step_run.job.spec.organisation, queue.priority
        if not self._has_collected:
            self._collect()
        count = self._count_claimable(step_run, queue, _without_zeros(ceiling))
        if not count:
            return False
        wanted = step_run.step.demand.times(count)
        claimed = self._claimed.get(name, resources.ZERO) + wanted
        self._claimed[name] = claimed
        freeing = self._freeing.get(name, resources.ZERO)
        excess = self._cell.used[name] + claimed - freeing
        victims = self._victims.get(name, [])
        while (
            victims
            and victims[-1][0] > priority
            and not excess.fits(_without_zeros(ceiling))
        ):
            _, victim = victims.pop()
            demand = victim.step.step.demand
            freeing = freeing + demand
            excess = excess - demand
            preemption.preempt(
                self._cell, victim, step_run, stop_causes.StopCause.CEILING_PREEMPTION
            )
        self._freeing[name] = freeing
        return excess.fits(_without_zeros(ceiling))

    def _count_claimable(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        ceiling: resources.Resources,
    ) -> int:
        """Return how many waiting tasks could run once what runs has ended."""
        step = step_run.step
        lasting = self._lasting.get(step_run.job.spec.organisation, resources.ZERO)
        slots = min(
            step.demand.count_in(ceiling - lasting),
            self._count_slots(step_run, queue),
        )
        if step.gang:
            return len(step_run.waiting) if slots >= step.count else 0
        allocated = sum(bool(task.worker) for task in step_run.tasks.known())
        if step.long_running:
            slots += allocated  # its own tasks count as lasting
        return max(0, min(len(step_run.waiting), slots - allocated))

    def _count_slots(self, step_run: state.StepRun, queue: catalogue.Queue) -> int:
        """Return how many tasks of a step the workers could run at once.

        All workers are looked at only if they, the approvals of the step or the
        services have changed.
        """
        pool, zones_out = self._cell.pool(queue.pool), self._cell.zones_out
        key = (len(step_run.allowed), zones_out, self._lasting_total)
        if step_run.slots_pool is pool and step_run.slots_key == key:
            return step_run.slots
        step_run.slots = sum(
            placement.count_capacity_slots(
                step_run, worker, self._lasting_on.get(worker.id, resources.ZERO)
            )
            for worker in pool
            if step_run.allowed.get(worker.id, True)
            and not worker.entry.draining
            and worker.entry.zone not in zones_out
            and placement.is_eligible(step_run, worker)
        )
        step_run.slots_pool, step_run.slots_key = pool, key
        return step_run.slots

    def _collect(self) -> None:
        """Find the preemptible tasks of each organisation, the best one last."""
        self._has_collected = True
        for worker in self._cell.workers.values():
            for allocation in worker.allocations.values():
                name, step = allocation.step.job.spec.organisation, allocation.step.step
                if step.long_running:
                    lasting = self._lasting.get(name, resources.ZERO)
                    self._lasting[name] = lasting + step.demand
                    lasting = self._lasting_on.get(worker.id, resources.ZERO)
                    self._lasting_on[worker.id] = lasting + step.occupied()
                    self._lasting_total = self._lasting_total + step.occupied()
                if allocation.task.phase is state.TaskPhase.STOPPING:
                    freeing = self._freeing.get(name, resources.ZERO)
                    self._freeing[name] = freeing + allocation.step.step.demand
                    continue
                priority = preemption.find_cheap(allocation)
                if priority is not None:
                    self._victims.setdefault(name, []).append((priority, allocation))
        for victims in self._victims.values():
            victims.sort(key=lambda each: (each[0], -each[1].task.percent))


def find(
    cell: cell_state.CellState, step_run: state.StepRun
) -> resources.Resources | None:
    """Return the ceiling of a step's organisation (0: no limit), None if unknown."""
    name = step_run.job.spec.organisation
    if not name:
        return resources.ZERO
    organisation = cell.organisations.get(name)
    return None if organisation is None else organisation.ceiling


def are_exceeded(cell: cell_state.CellState, step_run: state.StepRun) -> bool:
    """Return whether a step's organisation has more placed than its ceiling permits."""
    ceiling = find(cell, step_run)
    used = cell.used[step_run.job.spec.organisation]
    return ceiling is not None and not used.fits(_without_zeros(ceiling))


def _without_zeros(ceiling: resources.Resources) -> resources.Resources:
    """Return a ceiling in which 0 does not stand for no limit."""
    unlimited = resources.UNLIMITED
    return resources.Resources(
        ceiling.cpus or unlimited.cpus,
        ceiling.memory or unlimited.memory,
        ceiling.accelerators or unlimited.accelerators,
    )
