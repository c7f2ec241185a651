"""Room for capacity requests on the workers of a partition."""

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


class PartitionCapacity:
    """Counts how many tasks of a request fit on workers."""

    def __init__(self, core: lifecycle.Lifecycle) -> None:
        self._core = core

    def usable_workers(self) -> Iterator[tuple[str, worker_state.WorkerState]]:
        """Return the attached workers that are fit for new tasks in any partition."""
        core = self._core
        quarantined = set(core.quarantine.quarantined())
        for worker, state in core.workers.items():
            out = state.facts.availability_zone in core.zones_out
            if (
                state.attached
                and not state.leaving
                and not out
                and worker not in quarantined
            ):
                yield worker, state

    def services_on(self, worker: str) -> list[task_table.LiveTask]:
        """Return the service tasks on a worker, which never end by themselves."""
        jobs = self._core.table.jobs
        return [
            task
            for task in self._core.tasks_on.get(worker, {}).values()
            if jobs[task.job_id].spec.kind is job.Kind.SERVICE
        ]

    def capacity_without_services(self, worker: str) -> resources.Resources:
        """Return the capacity of a worker less the demand of its services."""
        used = (task.demand for task in self.services_on(worker))
        return self._core.workers[worker].facts.capacity - sum(used, resources.ZERO)

    def eventual_room(self, request: capacity_report.CapacityRequest) -> int:
        """Return the room on own workers once all tasks except services have ended."""
        return sum(
            request.room_in(
                state.facts.availability_zone, self.capacity_without_services(worker)
            )
            for worker, state in self.usable_workers()
        )

    def free_room(self, request: capacity_report.CapacityRequest, now: float) -> int:
        """Return the room now free on own workers, as on newly added ones."""
        core = self._core
        spec = core.table.jobs[request.job_id].spec
        excluded = gang.excluded_workers(core, spec, now)
        return sum(
            request.room_in(state.facts.availability_zone, core.index.free(worker))
            for worker, state in self.usable_workers()
            if state.schedulable and worker not in excluded
        )

    def listed_room(
        self,
        request: capacity_report.CapacityRequest,
        listed: Mapping[str, capacity_report.ListedWorker],
    ) -> int:
        """Return the room on workers that are known only from the VM list."""
        room = 0
        for entry in listed.values():
            if entry.leaving or entry.availability_zone in self._core.zones_out:
                continue
            # A worker of unknown size may be large enough.
            amount = entry.capacity
            amount = resources.UNLIMITED if amount is None else amount
            room += request.room_in(entry.availability_zone, amount)
        return room
