"""Simulated workers of the model of failing runs: they list ends until acknowledged."""

import dataclasses

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import ports, state

LEASE_S = 3.0
STOP_S = 0.2
ALONE_S = 0.6  # until a member without the others of its gang ends
RUN_TIMES_S = (0.1, 0.3, 1.0)


class Broken(Exception):
    """An invariant does not hold."""


def require(holds, message):
    """Raise `Broken` unless an invariant holds."""
    if not holds:
        raise Broken(message)


@dataclasses.dataclass(eq=False)
class Run:
    """A run; a member of a gang ends together with the others of its run."""

    task: str
    number: int
    step: state.StepRun
    ends_at: float
    outcome: str
    began_at: float
    stops_at: float = float("inf")


class Machine:
    """A simulated worker."""

    def __init__(self, entry):
        self.entry = entry
        self.epoch = 0
        self.incarnation = 1
        self.runs = {}
        self.ends = []
        self.count = 0
        self.void = 0  # ends up to this number were listed before the lease lapsed
        self.silent_until = 0.0
        self.answered_at = 0.0

    def end(self, run, how):
        del self.runs[run.task]
        self.count += 1
        self.ends.append(case.ended(self.count, run.task, run.number, how))

    def restart(self):
        self.incarnation += 1
        self.runs.clear()
        self.ends.clear()
        self.count = self.void = 0
        self.entry = dataclasses.replace(self.entry, incarnation=self.incarnation)

    def is_silent(self, now):
        return self.silent_until > now


class Fleet:
    """All workers, with what must hold for them whatever the coordinators do."""

    def __init__(self, rng, entries):
        self._rng = rng
        self.machines = {each.id: Machine(each) for each in entries}
        self.done = set()  # tasks of which the end was acknowledged
        self.started = 0

    def start(self, start, epoch, now, calm):
        """Start a run, unless the order is refused."""
        machine = self.machines[start.worker.id]
        name = start.step.task_id(start.task.index)
        if machine.epoch != epoch or machine.incarnation != start.worker.incarnation:
            return
        holders = [each for each in self.machines.values() if name in each.runs]
        require(not holders, f"{name} is started twice")
        require(name not in self.done, f"{name} is started after its end")
        outcome = "done"
        if not calm:
            outcome = self._rng.choice(("done", "done", "failed", "failed", "stopped"))
        ends_at = now + self._rng.choice(RUN_TIMES_S)
        machine.runs[name] = Run(name, start.run, start.step, ends_at, outcome, now)
        used = sum(
            (each.step.step.occupied() for each in machine.runs.values()),
            start=resources.ZERO,
        )
        require(used.fits(machine.entry.capacity), f"{machine.entry.id} is too full")
        self.started += 1

    def stop(self, stop, now):
        """Stop a run soon if it is there."""
        run = self.machines[stop.worker].runs.get(stop.task)
        if run is not None and run.number == stop.run:
            run.stops_at = min(run.stops_at, now + STOP_S)

    def poll(self, name, epoch, acked_end, now):
        """Return the reply to a poll, which forgets acknowledged ends."""
        machine = self.machines[name]
        machine.epoch, machine.answered_at = epoch, now
        for end in machine.ends:
            if machine.void < end.number <= acked_end and end.outcome == "done":
                self.done.add(end.task)
        machine.ends = [each for each in machine.ends if each.number > acked_end]
        running = tuple(
            ports.RunningTask(each.task, each.number, "", 50)
            for each in machine.runs.values()
        )
        return ports.PollReply(
            round(now * 1000), machine.incarnation, running, tuple(machine.ends)
        )

    def advance(self, now):
        """End the runs that are complete, were stopped, or whose lease has lapsed."""
        for machine in self.machines.values():
            lapsed = now - machine.answered_at > LEASE_S
            for run in list(machine.runs.values()):
                if lapsed:
                    machine.end(run, "lapsed")
                elif now >= run.stops_at:
                    machine.end(run, "stopped")
            if lapsed:
                machine.void = machine.count
        for machine in self.machines.values():
            for run in list(machine.runs.values()):
                if machine.runs.get(run.task) is run:
                    self._advance_run(machine, run, now)

    def _advance_run(self, machine, run, now):
        members = [
            (each, other)
            for each in self.machines.values()
            for other in each.runs.values()
            if run.step.step.gang
            and other.number == run.number
            and other.task.rpartition(".")[0] == run.task.rpartition(".")[0]
        ] or [(machine, run)]
        if run.step.step.gang and len(members) < run.step.step.count:
            if now - run.began_at > ALONE_S:
                machine.end(run, "broken")
            return
        if now < max(each.ends_at for _, each in members):
            return
        for each, other in members:
            if other is run or run.outcome == "done":
                each.end(other, run.outcome)
            else:  # several members may fail by themselves
                each.end(other, "failed" if other.outcome == "failed" else "broken")
