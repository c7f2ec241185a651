"""Ceilings of organisations: what may start below them, and what makes way.

An organisation at its ceiling waits for its own tasks only, however much room the
workers have. Without a claim, its most urgent steps queue behind work that can wait.
"""

from __future__ import annotations

from toucanspring import resources
from toucanspring.coordinator import cell_state, preemption, state, workers


class Ceilings:
    """Ceilings of organisations, and what their urgent steps wait for in a round.

    The tasks of an organisation are looked at once in a round, and only if it needs it.
    """

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        # Of this round, by organisation.
        self._claimed: dict[str, resources.Resources] = {}
        self._victims: dict[str, list[workers.Allocation]] = {}
        self._freeing: dict[str, resources.Resources] = {}

    def begin_round(self) -> None:
        """Forget the claims of the round before."""
        self._claimed.clear()
        self._victims.clear()
        self._freeing.clear()

    def limit(self, step_run: state.StepRun) -> resources.Resources | None:
        """Return the ceiling of a step's organisation (0: no limit), None if unknown.

        Jobs of open queues may have no organisation.
        """
        name = step_run.job.spec.organisation
        if not name:
            return resources.ZERO
        organisation = self._cell.organisations.get(name)
        return None if organisation is None else organisation.ceiling

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

    def claim(self, step_run: state.StepRun, priority: int) -> None:
        """Claim the allowance that a step waits for; stop tasks that hold it."""
        ceiling = self.limit(step_run)
        if ceiling is None:
            return
        name = step_run.job.spec.organisation
        if name not in self._victims:
            self._collect(name, priority)
        wanted = step_run.step.demand.times(len(step_run.waiting))
        self._claimed[name] = self._claimed.get(name, resources.ZERO) + wanted
        excess = self._cell.used[name] + self._claimed[name] - self._freeing[name]
        victims = self._victims[name]
        while victims and not excess.fits(_without_zeros(ceiling)):
            victim = victims.pop()
            demand = victim.step.step.demand
            self._freeing[name] = self._freeing[name] + demand
            excess = excess - demand
            preemption.preempt(self._cell, victim)

    def _collect(self, name: str, priority: int) -> None:
        """Find the organisation's preemptible tasks, the best one last."""
        freeing, victims = resources.ZERO, []
        for worker in self._cell.workers.values():
            for allocation in worker.allocations.values():
                step_run = allocation.step
                if step_run.job.spec.organisation != name:
                    continue
                if allocation.task.phase is state.TaskPhase.STOPPING:
                    freeing = freeing + step_run.step.demand
                elif preemption.loses_nothing(self._cell, allocation, priority):
                    victims.append(allocation)
        victims.sort(key=lambda each: (_priority(self._cell, each), -each.task.percent))
        self._freeing[name], self._victims[name] = freeing, victims


def _priority(cell: cell_state.CellState, allocation: workers.Allocation) -> int:
    queue = cell.catalogue.queue(allocation.step.job.spec.queue)
    return queue.priority if queue is not None else 0


def _without_zeros(ceiling: resources.Resources) -> resources.Resources:
    """Return a ceiling in which 0 does not stand for no limit."""
    unlimited = resources.UNLIMITED
    return resources.Resources(
        ceiling.cpus or unlimited.cpus,
        ceiling.memory or unlimited.memory,
        ceiling.accelerators or unlimited.accelerators,
    )
