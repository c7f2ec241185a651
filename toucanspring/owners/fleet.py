"""Service `fleet`: links to the workers of the partitions that this process owns."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import gevent
import logbook

from toucanspring import errors, kernel, resources, settings, uptime
from toucanspring.adapters import tables, vms
from toucanspring.cell import ownership_rows
from toucanspring.owners import roster, worker_link
from toucanspring.scheduling import capacity_report

log = logbook.Logger(__name__)

POLL_INTERVAL_S = 1.0
# A lost worker that the VM list has not contained for this long is removed.
FORGET_ABSENT_S = 600.0
WORKERS_ROW = roster.WORKERS_ROW


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionOwnership:
    """Ownership of a partition by this process."""

    epoch: int
    row_version: int  # of the ownership row
    post: Callable[[object], None]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRemoval:
    """Lost workers that are being removed from the row; they are not used meanwhile.

    The transaction may still take effect while the row has the version it checks.
    """

    checked_version: int
    workers: frozenset[str]


class Service:
    """Maintain links to the workers of owned partitions (kernel name `fleet`)."""

    def __init__(
        self,
        core: kernel.Kernel,
        options: settings.Settings,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._kernel = core
        self._settings = options
        self._clock = clock
        self._links: dict[int, dict[str, worker_link.Link]] = {}
        self.roster = roster.Roster()
        self._vms: dict[str, vms.Vm] = {}
        self._last_list: list[vms.Vm] | None = None
        self._absent_since: dict[str, float] = {}
        self._ownerships: dict[int, PartitionOwnership] = {}
        self._removals: dict[int, WorkerRemoval] = {}
        self._leaving: dict[str, bool] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start polling the VM list and the row `workers`."""
        self._kernel.find("claims").is_pinned = self.has_unreachable
        self._greenlet = gevent.spawn(self._poll)

    def stop(self) -> None:
        """Close all links."""
        if self._greenlet is not None:
            self._greenlet.kill()
        for partition in list(self._ownerships):
            self.remove_partition(partition)

    def add_partition(
        self,
        partition: int,
        epoch: int,
        row_version: int,
        post: Callable[[object], None],
    ) -> None:
        """Connect to the workers of a partition and post their messages."""
        self._ownerships[partition] = PartitionOwnership(epoch, row_version, post)
        self._links[partition] = {}
        self._update_links(partition)

    def remove_partition(self, partition: int) -> None:
        """Close the links of a partition."""
        self._ownerships.pop(partition, None)
        self._removals.pop(partition, None)
        for link in self._links.pop(partition, {}).values():
            link.close()

    def link(self, partition: int, worker: str) -> worker_link.Link | None:
        """Return the link to a worker of an owned partition."""
        return self._links.get(partition, {}).get(worker)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent to and received from workers over current streams."""
        pairs = [
            link.traffic() for links in self._links.values() for link in links.values()
        ]
        return sum(pair[0] for pair in pairs), sum(pair[1] for pair in pairs)

    def links(self, partition: int) -> dict[str, worker_link.Link]:
        """Return the links of an owned partition by worker."""
        return self._links.get(partition, {})

    def has_unreachable(self, partition: int) -> bool:
        """Return whether any worker may still run tasks but cannot be reached.

        A new owner would have to wait for the whole lease of this worker.
        """
        return any(
            not (link.attached or link.lost) for link in self.links(partition).values()
        )

    def is_leaving(self, worker: str) -> bool:
        """Return whether the VM list has a worker as leaving, or not at all."""
        return self._leaving.get(worker, False)

    def assigned(
        self, partition: int
    ) -> dict[str, resources.Resources | None] | errors.Failure:
        """Read the workers of a partition, with their capacity in the VM list."""
        failure = self._read_assignment()
        if failure is not None:
            return failure
        if not self._vms:
            listed = self._kernel.find("store").vms.list(vms.SHARED_AGE_S)
            if not isinstance(listed, errors.Failure):
                self._update_vms(listed)
        return {
            worker: self._capacity(worker)
            for worker in self.roster.workers_of(partition)
        }

    def listed(self, partition: int) -> dict[str, capacity_report.ListedWorker]:
        """Return the workers of a partition that the VM list has contained."""
        return self._listed(lambda owner: owner == partition)

    def listed_elsewhere(
        self, partition: int
    ) -> dict[str, capacity_report.ListedWorker]:
        """Return those workers of all other partitions."""
        return self._listed(lambda owner: owner != partition)

    def _listed(
        self, matches: Callable[[int], bool]
    ) -> dict[str, capacity_report.ListedWorker]:
        return {
            worker: capacity_report.ListedWorker(
                self._vms[worker].availability_zone,
                self._capacity(worker),
                self.is_leaving(worker),
            )
            for worker, owner in self.roster.partitions.items()
            if matches(owner) and worker in self._vms
        }

    def reread(self) -> None | errors.Failure:
        """Read the row `workers` and update the links."""
        failure = self._read_assignment()
        if failure is None:
            for partition in list(self._ownerships):
                self._update_links(partition)
        return failure

    def release_worker(self, partition: int, worker: str) -> None:
        """Close the link to a worker that was moved to another partition."""
        link = self._links.get(partition, {}).pop(worker, None)
        if link is not None:
            link.release()

    def _capacity(self, worker: str) -> resources.Resources | None:
        listed = self._vms.get(worker)
        if listed is None or listed.resources == resources.ZERO:
            return None
        return listed.resources

    def _poll(self) -> None:
        while True:
            try:
                self._poll_once()
            except Exception:
                log.exception("polling the VM list failed")
            gevent.sleep(POLL_INTERVAL_S)

    def _poll_once(self) -> None:
        if not self._ownerships:
            return
        listed = self._kernel.find("store").vms.list(vms.SHARED_AGE_S)
        if not isinstance(listed, errors.Failure):
            self._update_vms(listed)
        if self._read_assignment() is None:
            if not isinstance(listed, errors.Failure):
                self._note_unlisted()
            if 0 in self._ownerships:
                self._assign_workers()
            for partition in list(self._ownerships):
                if partition in self._ownerships:  # may be lost during a transaction
                    self._remove_lost(partition)
        for partition in list(self._ownerships):
            self._update_links(partition)

    def _update_vms(self, listed: list[vms.Vm]) -> None:
        if listed is self._last_list:
            return
        self._last_list = listed
        now = self._clock()
        workers = {vm.id: vm for vm in listed if vm.role == "worker"}
        self._vms.update(workers)
        for worker in self._vms:
            if worker in workers:
                self._absent_since.pop(worker, None)
            else:
                self._absent_since.setdefault(worker, now)
        for worker in self._vms:
            vm = workers.get(worker)
            leaving = vm is None or vm.state == "leaving"
            if self._leaving.get(worker, False) != leaving:
                self._leaving[worker] = leaving
                self._post_leaving(worker, leaving)

    def _note_unlisted(self) -> None:
        """Note since when workers are absent that no VM list here has contained."""
        now = self._clock()
        for worker in self.roster.partitions.keys() - self._vms.keys():
            self._absent_since.setdefault(worker, now)

    def _post_leaving(self, worker: str, leaving: bool) -> None:
        ownership = self._ownerships.get(self.roster.partitions.get(worker, -1))
        if ownership is not None:
            ownership.post(worker_link.Leaving(worker, leaving))

    def _read_assignment(self) -> None | errors.Failure:
        rows = self._kernel.find("store").tables.read([WORKERS_ROW])
        if isinstance(rows, errors.Failure):
            return rows
        row = rows[WORKERS_ROW]
        self.roster.apply_row(row, uptime.now())
        return None

    def _assign_workers(self) -> None:
        """Assign new workers to the partitions with the fewest workers."""
        layout = self._kernel.find("layout").layout
        # Workers that another process moved before it knew of a lower partition count.
        surplus = {
            worker
            for worker, number in self.roster.partitions.items()
            if number >= layout.count
        }
        kept = self.roster.partitions.keys() - surplus
        new = sorted(
            self._vms.keys() - kept - self._absent_since.keys(),
            key=lambda worker: (
                self._vms[worker].availability_zone,
                self._vms[worker].rack,
                worker,
            ),
        )
        if not new and not surplus:
            return
        assigned = {worker: self.roster.partitions[worker] for worker in kept}
        assign(assigned, new, layout.current)
        answer = self._kernel.find("store").tables.transact(
            {WORKERS_ROW: self.roster.version},
            {WORKERS_ROW: roster.encode(assigned)},
            (),
        )
        if isinstance(answer, tables.Committed):
            log.info("assigned {} workers", len(new))
        self._read_assignment()

    def _remove_lost(self, partition: int) -> None:
        """Remove lost workers from the row that have long been absent from the VM list.

        Only the owner knows that no task of the partition can be running on a worker: a
        successor restarts the tasks of workers that are not in the row.
        """
        removal = self._removals.get(partition)
        if removal is None or removal.checked_version != self.roster.version:
            self._removals.pop(partition, None)
            removal = self._choose_removal(partition)
            if removal is None:
                return
            # Closed before the transaction, since the worker could attach again.
            for worker in removal.workers:
                self._links[partition].pop(worker).close()
            self._removals[partition] = removal
        left = {
            worker: owner
            for worker, owner in self.roster.partitions.items()
            if worker not in removal.workers
        }
        answer = self._kernel.find("store").tables.transact(
            {
                WORKERS_ROW: removal.checked_version,
                ownership_rows.key_of(partition): self._ownerships[
                    partition
                ].row_version,
            },
            {WORKERS_ROW: roster.encode(left)},
            (),
        )
        if isinstance(answer, tables.Committed):
            log.info(
                "partition {}: removed lost workers {}",
                partition,
                sorted(removal.workers),
            )
        self._read_assignment()

    def _choose_removal(self, partition: int) -> WorkerRemoval | None:
        now = self._clock()
        links = self._links[partition]
        workers = frozenset(
            worker
            for worker in self.roster.workers_of(partition) & links.keys()
            if links[worker].lost
            and now - self._absent_since.get(worker, now) > FORGET_ABSENT_S
        )
        return WorkerRemoval(self.roster.version, workers) if workers else None

    def _update_links(self, partition: int) -> None:
        ownership = self._ownerships[partition]
        owners = self._kernel.find("claims")
        links = self._links[partition]
        # Also workers that are not listed: their tasks wait until their lease is over.
        wanted = self.roster.workers_of(partition)
        removal = self._removals.get(partition)
        if removal is not None and removal.checked_version == self.roster.version:
            wanted -= removal.workers
        for worker in wanted - links.keys():
            links[worker] = worker_link.Link(
                partition,
                ownership.epoch,
                self._vms.get(worker) or _describe_unlisted(worker),
                ownership.post,
                lambda: owners.may_renew_workers(partition, uptime.now()),
                lambda: owners.previous_owner_gone(partition, uptime.now()),
                self._settings.process,
            )
            if self._leaving.get(worker):
                ownership.post(worker_link.Leaving(worker, True))
        for worker in wanted & links.keys() & self._vms.keys():
            links[worker].vm = self._vms[worker]  # a replaced VM has a new address
        for worker in links.keys() - wanted:
            if links[worker].lost:
                links.pop(worker).close()


def _describe_unlisted(worker: str) -> vms.Vm:
    """Return the entry of a worker whose address is not known."""
    return vms.Vm(
        id=worker, role=vms.Role.WORKER, availability_zone="", address="", port=0
    )


def assign(assigned: dict[str, int], new: list[str], partitions: int) -> None:
    """Assign each new worker to the partition with the fewest workers."""
    counts = dict.fromkeys(range(partitions), 0)
    for partition in assigned.values():
        if partition in counts:
            counts[partition] += 1
    for worker in new:
        partition = min(counts, key=lambda index: (counts[index], index))
        assigned[worker] = partition
        counts[partition] += 1
