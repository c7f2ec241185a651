"""Events about the workers of one owned partition."""

from __future__ import annotations

from toucanspring import kernel
from toucanspring.owners import worker_link
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import effects


class WorkerEvents:
    """Publish lost and returned workers, and refusals to attach."""

    def __init__(self, partition: int, epoch: int, core: kernel.Kernel) -> None:
        self._partition = partition
        self._epoch = epoch
        self._kernel = core
        self._incarnations: dict[str, int] = {}
        self._lost: set[str] = set()

    def lost(self, worker: str, tasks: int) -> None:
        """Publish that a worker's lease and stop grace have expired."""
        self._lost.add(worker)
        link = self._kernel.find("fleet").link(self._partition, worker)
        zone, rack = ("", "")
        if link is not None:
            zone, rack = link.vm.availability_zone, link.vm.rack
        self._kernel.publish(
            event_kinds.WorkerLost(worker, zone, rack, self._partition, tasks)
        )

    def attached(self, facts: effects.WorkerFacts) -> None:
        """Publish that a worker has returned after a restart or loss."""
        worker = facts.worker
        before = self._incarnations.get(worker)
        self._incarnations[worker] = facts.incarnation
        why = ""
        if before not in (None, facts.incarnation):
            why = "restarted"
        elif worker in self._lost:
            why = "lost"
        self._lost.discard(worker)
        if why:
            self._kernel.publish(
                event_kinds.WorkerAttached(
                    worker, facts.availability_zone, facts.rack, self._partition, why
                )
            )

    def refused(self, message: worker_link.EpochRefused) -> None:
        """Publish that a worker refused this owner because of a higher epoch."""
        self._kernel.publish(
            event_kinds.EpochRefused(
                message.worker, self._partition, self._epoch, message.known
            )
        )
