"""Room on the workers of a partition for work that is stated to lack it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from toucanspring import job, resources
from toucanspring.scheduling import (
    capacity_report,
    gang,
    lifecycle,
    task_table,
    worker_state,
)


class Room:
    """Count the room of a partition's workers."""

    def __init__(self, core: lifecycle.Lifecycle) -> None:
        self._core = core

    def usable(self) -> Iterator[tuple[str, worker_state.WorkerState]]:
        """Return the workers that may get work of any partition."""
        core = self._core
        bad = set(core.quarantine.quarantined())
        for worker, state in core.workers.items():
            out = state.facts.availability_zone in core.zones_out
            if state.attached and not state.leaving and not out and worker not in bad:
                yield worker, state

    def services(self, worker: str) -> list[task_table.LiveTask]:
        """Return the tasks on a worker that never end by themselves."""
        jobs = self._core.table.jobs
        return [
            task
            for task in self._core.tasks_on.get(worker, {}).values()
            if jobs[task.job_id].spec.kind is job.Kind.SERVICE
        ]

    def lasting(self, worker: str) -> resources.Resources:
        """Return a worker's capacity without what services use."""
        used = (task.demand for task in self.services(worker))
        return self._core.workers[worker].facts.capacity - sum(used, resources.ZERO)

    def own(self, wanted: capacity_report.Need) -> int:
        """Return the room of all own workers once everything but services has ended."""
        return sum(
            wanted.room_in(state.facts.availability_zone, self.lasting(worker))
            for worker, state in self.usable()
        )

    def free(self, wanted: capacity_report.Need, now: float) -> int:
        """Return the room of workers that came after placement last looked."""
        core = self._core
        spec = core.table.jobs[wanted.job_id].spec
        excluded = gang.excluded_for(core, spec, now)
        return sum(
            wanted.room_in(state.facts.availability_zone, core.index.free(worker))
            for worker, state in self.usable()
            if state.schedulable and worker not in excluded
        )

    def listed(
        self, wanted: capacity_report.Need, listed: Mapping[str, capacity_report.Listed]
    ) -> int:
        """Return the room of workers that are known from the VM list only."""
        room = 0
        for entry in listed.values():
            if entry.leaving or entry.availability_zone in self._core.zones_out:
                continue
            # A worker of unknown size may be large enough.
            amount = entry.capacity
            amount = resources.UNLIMITED if amount is None else amount
            room += wanted.room_in(entry.availability_zone, amount)
        return room
