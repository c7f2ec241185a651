"""Steps that inject faults into the store, workers, backend servers and VM list."""

from __future__ import annotations

import time

import msgspec

from scenarios import cell, expectations, language
from standins import checker
from toucanspring.adapters import vms
from toucanspring.reporting import event_rows

ROW_PREFIXES = {
    "configuration": "config/",
    "keys": "keys",
    "zones": "zones",
    "ownership": "partitions/",
    "log": "log/",
    "renewals": "members/",
    "allowances": "allowances/",
    "moves": "workers",
    "events": "events/",
    "layout": "layout",
}


class FaultSteps(expectations.Expectations):
    """Set faults of the platform's stand-ins; each method is named after its verb."""

    def __init__(self, running: cell.Cell) -> None:
        super().__init__(running)
        self._blocked_daemons: list[str] = []
        self._blocked_owners: dict[str, list[str]] = {}
        self._large_answer_bytes = 0
        self._initial_vms: list[vms.Vm] = []
        self._published_vms: list[vms.Vm] | None = None
        self._changed_at: dict[str, float] = {}

    def cut_store(self, daemon: str) -> None:
        """Break the connections of a daemon to the table service and object store."""
        self._blocked_daemons.append(self.resolve(daemon))
        self._set_blocked()

    def heal_store(self, daemon: str) -> None:
        """Serve the calls of a daemon to the store again."""
        self._blocked_daemons.remove(self.resolve(daemon))
        self._set_blocked()

    def _set_blocked(self) -> None:
        for name in ("tables", "objects"):
            self._cell.cluster.set_faults(name, blocked=self._blocked_daemons)

    def store_down(self) -> None:
        """Refuse all connections to the store."""
        for name in ("tables", "objects"):
            self._cell.cluster.set_faults(name, down=True)

    def store_up(self) -> None:
        """End all faults of the store."""
        for name in ("tables", "objects"):
            self._cell.cluster.set_faults(name, down=False, delay_ms=0)

    def store_slow(self, seconds: float) -> None:
        """Delay each operation of the store."""
        for name in ("tables", "objects"):
            self._cell.cluster.set_faults(name, delay_ms=seconds * 1000)

    def lose_writes(self, count: int, document: str) -> None:
        """Drop answers to writes of one kind of row after they took effect."""
        lost = {ROW_PREFIXES[document]: count}
        self._cell.cluster.set_faults("tables", lose_writes=lost)

    def _worker_ids(self, place: language.Place) -> list[str]:
        listed = [vm for vm in self._vms() if vm.role is vms.Role.WORKER]
        match place.kind:
            case "worker":
                return [listed[place.number - 1].id]
            case "rack":
                rack = f"{place.zone}-rack-{place.number - 1}"
                return [vm.id for vm in listed if vm.rack == rack]
            case _:
                return [vm.id for vm in listed if vm.availability_zone == place.zone]

    def _vms(self) -> list[vms.Vm]:
        if not self._initial_vms:
            self._initial_vms = self._cell.cluster.list_vms()
        return self._initial_vms

    def _set_workers(self, place: language.Place, **faults: object) -> None:
        names = self._worker_ids(place)
        if not names:
            raise cell.StepFailed("no such workers")
        self._cell.cluster.set_faults("workers", workers=names, **faults)

    def cut_place(self, daemon: str, place: language.Place) -> None:
        """Hold back the traffic between a daemon and workers."""
        self._block(place, {self.resolve(daemon)}, set())

    def heal_place(self, daemon: str, place: language.Place) -> None:
        """Deliver the traffic between a daemon and workers."""
        self._block(place, set(), {self.resolve(daemon)})

    def _block(self, place: language.Place, add: set[str], drop: set[str]) -> None:
        for name in self._worker_ids(place):
            blocked = (set(self._blocked_owners.get(name, [])) | add) - drop
            self._blocked_owners[name] = sorted(blocked)
            self._cell.cluster.set_faults(
                "workers", workers=[name], blocked_owners=sorted(blocked)
            )

    def lose(self, place: language.Place, seconds: float | None) -> None:
        """End workers and their tasks, permanently or for a time."""
        back = None if seconds is None else seconds * 1000
        self._set_workers(place, die=True, return_after_ms=back)

    def revive(self, place: language.Place) -> None:
        """Start workers that were lost."""
        self._set_workers(place, revive=True)

    def fail_tasks(self, place: language.Place) -> None:
        """Make each new task on these workers fail."""
        self._set_workers(place, fail_all=True)

    def mend(self, place: language.Place) -> None:
        """Let tasks on these workers end as planned again."""
        self._set_workers(place, fail_all=False)

    def list_as(self, host: language.Host, listed_as: str) -> None:
        """Change the entry of a VM in the VM list."""
        target = self._vm_of(host)
        known = (
            self._cell.cluster.list_vms()
            if not self._published_vms
            else self._published_vms
        )
        known = [vm for vm in known if vm.id != target.id]
        if listed_as != "gone":
            state = vms.State.LEAVING if listed_as == "leaving" else vms.State.LIVE
            known.append(msgspec.structs.replace(target, state=state))
        self._published_vms = known
        self._cell.cluster.publish(known)
        self._changed_at[target.id] = time.monotonic()

    def expect_no_start_on(self, host: language.Host) -> None:
        """Check that a VM got no work later than 3 s after its entry was changed."""
        target = self._vm_of(host)
        since = self._changed_at[target.id] + checker.IN_FORCE_S
        if host.role == "worker":
            self._cell.history.refresh()
            late = [
                attempt.start
                for attempt in self._cell.history.attempts
                if attempt.start.worker == target.id and attempt.start.at > since
            ]
        else:
            record = self._cell.cluster.record("backend_servers")["events"]
            late = [
                event
                for event in record
                if event["kind"] == "run"
                and event["executor"] == target.id
                and event["at"] > since
            ]
        if late:
            raise cell.StepFailed(
                f"{len(late)} starts on {target.id}, such as {late[0]}"
            )

    def expect_event(
        self, kind: str, about: language.Subject | language.Place, within_s: float
    ) -> None:
        """Check that events of the cell name each worker, or the subject."""
        match about:
            case language.Subject(kind="process"):
                # An event names the process itself or, for a claim, the former owner.
                field = "former" if kind == "partition_claimed" else "process"
                subjects = [f"{field}:{self.resolve(about.name)}"]
            case language.Subject():
                subjects = [f"{about.kind}:{about.name}"]
            case language.Place(kind="zone"):
                subjects = [about.zone]
            case _:
                subjects = self._worker_ids(about)

        def find_problem() -> str:
            path = f"/v1/events?kind={kind}"
            reply = self._cell.operator_call("GET", path, timeout_s=4.0)
            if reply.status != 200:
                return f"events: {reply.status}"
            found = reply.json()["events"]
            absent = [
                name for name in subjects if not event_rows.select(found, subject=name)
            ]
            return f"no {kind} about {absent} among {found}" if absent else ""

        self._wait_until_ok(within_s, find_problem)

    def _vm_of(self, host: language.Host) -> vms.Vm:
        role = vms.Role.WORKER if host.role == "worker" else vms.Role.BACKEND_SERVER
        return [vm for vm in self._vms() if vm.role is role][host.number - 1]

    def _set_executors(self, number: int | None = None, **faults: object) -> None:
        names = [] if number is None else [self._vm_of(language.Host("e", number)).id]
        self._cell.cluster.set_faults("backend_servers", executors=names, **faults)

    def kill_executor(self, number: int) -> None:
        """Refuse all connections to a backend server."""
        self._set_executors(number, down=True)

    def revive_executor(self, number: int) -> None:
        """Accept connections to a backend server again."""
        self._set_executors(number, down=False)

    def answers_late(self, seconds: float) -> None:
        """Delay the answers of all backend servers after the work is done."""
        self._set_executors(answer_delay_ms=seconds * 1000)

    def answers_cut(self, count: int) -> None:
        """Truncate that many answers of each backend server."""
        self._set_executors(cut_answers=count)

    def answers_large(self, size: int) -> None:
        """Replace the length of the answers of requests sent from now on."""
        self._large_answer_bytes = size
        self._set_executors(large_bytes=size)

    def answers_normal(self) -> None:
        """End the faults of all backend servers."""
        self._set_executors(answer_delay_ms=0, cut_answers=0)
