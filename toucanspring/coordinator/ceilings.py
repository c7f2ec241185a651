"""Ceilings of organisations: what may start below them, and what makes way.

An organisation at its ceiling waits for its own tasks only, however much room the
workers have. Without a claim, its most urgent steps queue behind work that can wait.
"""

from __future__ import annotations

from toucanspring import resources
from toucanspring.coordinator import cell_state, preemption, state, workers


class Ceilings:
    """Ceilings of organisations, and what their urgent steps wait for in a round.

    The running tasks are looked at once in a round, and only if a step claims some.
    """

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        # Of this round, by organisation.
        self._claimed: dict[str, resources.Resources] = {}
        # Tasks that lose nothing if they are stopped, with the priority of their queue.
        self._victims: dict[str, list[tuple[int, workers.Allocation]]] = {}
        self._freeing: dict[str, resources.Resources] = {}
        self._has_collected = False

    def begin_round(self) -> None:
        """Forget the claims of the round before."""
        self._claimed.clear()
        self._victims.clear()
        self._freeing.clear()
        self._has_collected = False

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
        """Claim the allowance that a step waits for; stop less urgent tasks for it."""
        ceiling = self.limit(step_run)
        if ceiling is None:
            return
        name = step_run.job.spec.organisation
        if not self._has_collected:
            self._collect()
        wanted = step_run.step.demand.times(len(step_run.waiting))
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
            preemption.preempt(self._cell, victim, step_run)
        self._freeing[name] = freeing

    def _collect(self) -> None:
        """Find the preemptible tasks of each organisation, the best one last."""
        self._has_collected = True
        for worker in self._cell.workers.values():
            for allocation in worker.allocations.values():
                name = allocation.step.job.spec.organisation
                if allocation.task.phase is state.TaskPhase.STOPPING:
                    freeing = self._freeing.get(name, resources.ZERO)
                    self._freeing[name] = freeing + allocation.step.step.demand
                    continue
                priority = preemption.find_cheap(self._cell, allocation)
                if priority is not None:
                    self._victims.setdefault(name, []).append((priority, allocation))
        for victims in self._victims.values():
            victims.sort(key=lambda each: (each[0], -each[1].task.percent))


def _without_zeros(ceiling: resources.Resources) -> resources.Resources:
    """Return a ceiling in which 0 does not stand for no limit."""
    unlimited = resources.UNLIMITED
    return resources.Resources(
        ceiling.cpus or unlimited.cpus,
        ceiling.memory or unlimited.memory,
        ceiling.accelerators or unlimited.accelerators,
    )
