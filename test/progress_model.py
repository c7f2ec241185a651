"""A cell with simulated workers and faults, to check that work which can run does.

Time is simulated. After `CALM_AT_S` no fault and no job is added. From then on the
model counts for each job how long it has had nothing running, although a task's turn
had come, there was capacity for it twice over and under half of the pool was in use.
"""

import dataclasses
import random

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import (
    catalogue,
    planner,
    plans,
    ports,
    reports,
    state,
    stop_causes,
    stragglers,
    workers,
)

TICK_S = 0.05
CALM_AT_S = 10.0
END_S = 32.0
LIMIT_S = 3.0
LEASE_S = 6.0
UNRESPONSIVE_AFTER_S = 0.8
STOP_S = 0.2
GANG_WAIT_S = 1.0
APPROVAL = catalogue.Approval(decision_s=0.05, per_worker_s=0.001, validity_s=2.5)
FAULTS = ("faulty", "slow", "stuck", "silent", "crash", "drain", "zone", "cancel")
MAX_FAULT_S = 3.0


@dataclasses.dataclass(eq=False)
class Run:
    """A run on a simulated worker; `done` is the completed fraction."""

    job: str
    step: state.StepRun
    task: str
    number: int
    work_s: float
    done: float = 0.0
    stops_at: float = float("inf")
    fails: bool = False
    alone_s: float = 0.0  # since the other members of its gang are absent


class Machine:
    """A simulated worker."""

    def __init__(self, entry):
        self.entry = entry
        self.incarnation = 1
        self.runs = {}
        self.ends = []
        self.count = 0
        self.until = dict.fromkeys(FAULTS, 0.0)
        self.answered_at = 0.0

    def has(self, fault, now):
        return now < self.until[fault]

    def end(self, run, how):
        self.count += 1
        self.ends.append(case.ended(self.count, run.task, run.number, how))
        self.runs.pop(run.task, None)

    def free(self):
        used = [run.step.step.occupied() for run in self.runs.values()]
        free = self.entry.capacity
        for each in used:
            free = free - each
        return free


class Model:
    """One run of the model with a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        rng = self.rng
        self.cell = case.new_cell(
            *(self._entry(number) for number in range(rng.randint(5, 9))),
            catalogue_=case.configure(
                case.queue("urgent", priority=0, max_attempts=3),
                case.queue("advised", priority=1, max_attempts=3, approval=APPROVAL),
                case.queue("plain", priority=1, max_attempts=3),
                case.queue("labels", priority=2, max_attempts=3),
            ),
        )
        self.planner = planner.Planner(self.cell)
        self.machines = {
            name: Machine(worker.entry) for name, worker in self.cell.workers.items()
        }
        self.approvals = []
        self.policies = {}
        self.idle_since = {}
        self.work_s = {}
        self.poison = set()
        self.count = 0
        self.starts_when_light = 0  # starts in calm while the pool was lightly used

    def _entry(self, number):
        rack = f"r{number % 3}"
        labels = {rack, "a" if number % 2 else "b"}
        return case.entry(
            f"w{number}", cpus=10_000, memory=40_000, rack=rack,
            zone=f"zone-{'abc'[number % 3]}", labels=frozenset(labels),
        )  # fmt: skip

    def run(self):
        """Return what was left waiting: job, time and reason, or None."""
        for tick in range(round(END_S / TICK_S)):
            now = 1.0 + tick * TICK_S
            if now < CALM_AT_S:
                self._submit(now)
                self._disturb(now)
            self._advance(now)
            for name in self.machines:
                self._poll(name, now)
            self._answer_approvals(now)
            if tick % 5 == 0:
                for slow in stragglers.find_slow(self.cell.workers.values(), now):
                    for each in stragglers.find_movable(slow, now):
                        self.cell.stop(
                            each.step, each.task, stop_causes.StopCause.SLOW_WORKER
                        )
            started = self._plan(now)
            found = self._find_idle(now, started)
            if found is not None:
                return found
        return None

    # Load

    def _submit(self, now):
        rng = self.rng
        if rng.random() > 0.15:
            return
        self.count += 1
        name = f"{self.count:016x}"
        steps = []
        for number in range(rng.randint(1, 3)):
            kind = rng.choice(("plain", "plain", "gang", "spread", "label"))
            changes = {
                "plain": {},
                "gang": {"gang": True, "same_rack": rng.random() < 0.3},
                "spread": {"max_per_worker": rng.randint(1, 2)},
                "label": {"required_label": rng.choice("ab")},
            }[kind]
            if number:
                changes["after"] = (number - 1,)
            changes["checkpointing"] = rng.random() < 0.5
            cpus = rng.choice((500, 1000, 2000, 5000, 8000))
            steps.append(case.step(rng.randint(1, 6), cpus=cpus, **changes))
            self.work_s[name, number] = rng.choice((0.3, 0.6, 1.0, 2.0, 12.0))
        if rng.random() < 0.2:
            self.poison.add(name)
        queue = rng.choice(("urgent", "advised", "advised", "plain", "labels"))
        self.cell.accept(case.job(name, *steps, queue=queue), now)

    def _disturb(self, now):
        rng = self.rng
        if rng.random() > 0.06:
            return
        fault = rng.choice(FAULTS)
        until = min(CALM_AT_S, now + rng.uniform(0.3, MAX_FAULT_S))
        machine = rng.choice(list(self.machines.values()))
        match fault:
            case "cancel":
                jobs = [each for each in self.cell.jobs.values() if not each.is_final]
                if jobs:
                    self.cell.cancel(rng.choice(jobs).spec.id, now)
            case "zone":
                self.cell.zones_out = frozenset({machine.entry.zone})
                machine.until["zone"] = until
            case "crash":
                machine.incarnation += 1
                machine.runs.clear()
                machine.ends.clear()
                machine.count = 0
            case _:
                machine.until[fault] = until

    # Workers

    def _advance(self, now):
        zones = {
            each.entry.zone for each in self.machines.values() if each.has("zone", now)
        }
        self.cell.zones_out = frozenset(zones)
        for name, machine in self.machines.items():
            draining = machine.has("drain", now)
            entry = dataclasses.replace(
                machine.entry, draining=draining, incarnation=machine.incarnation
            )
            if machine.entry != entry:
                machine.entry = entry
                self.cell.register_worker(entry)
            worker = self.cell.workers[name]
            rate = 0.1 if machine.has("slow", now) else 1.0
            rate = 0.0 if machine.has("stuck", now) else rate
            for run in list(machine.runs.values()):
                if not self._is_whole(run):
                    continue
                run.done += rate * TICK_S / run.work_s
                if now >= run.stops_at:
                    machine.end(run, "stopped")
                elif run.fails or machine.has("faulty", now):
                    machine.end(run, "failed")
                elif run.done >= 1:
                    machine.end(run, "done")
            if machine.has("silent", now) and now - machine.answered_at > LEASE_S:
                machine.runs.clear()
            if worker.responsive and now - machine.answered_at > UNRESPONSIVE_AFTER_S:
                worker.responsive = False
            if now - machine.answered_at > LEASE_S + 0.5:
                reports.mark_lost(self.cell, worker, now)

    def _is_whole(self, run):
        """Return whether the members of a run are all present, and end broken ones."""
        if not run.step.step.gang or run.stops_at < float("inf"):
            return True
        found = [
            (machine, each)
            for machine in self.machines.values()
            for each in machine.runs.values()
            if each.step is run.step and each.number == run.number
        ]
        if len(found) == run.step.step.count:
            run.alone_s = 0.0
            return True
        run.alone_s += TICK_S
        if run.alone_s > GANG_WAIT_S:
            for machine, each in found:
                machine.end(each, "broken")
        return False

    def _poll(self, name, now):
        machine, worker = self.machines[name], self.cell.workers[name]
        if machine.has("silent", now):
            return
        machine.answered_at = now
        rows = tuple(
            ports.RunningTask(each.task, each.number, "", min(99, int(each.done * 100)))
            for each in machine.runs.values()
        )
        reply = ports.PollReply(
            round(now * 1000), machine.incarnation, rows, tuple(machine.ends)
        )
        reports.apply_poll_reply(self.cell, worker, reply, now, now)
        worker.acked_end = machine.count
        machine.ends.clear()
        for each in reports.find_stuck(worker, now):
            worker.backoff_until = now + workers.MIN_QUARANTINE_S
            self.cell.stop(each.step, each.task, stop_causes.StopCause.STUCK)

    # Decisions

    def _answer_approvals(self, now):
        due = [each for each in self.approvals if each[0] <= now]
        self.approvals = [each for each in self.approvals if each[0] > now]
        for _, request in due:
            if now < CALM_AT_S and self.rng.random() < 0.1:
                request.step.approval_pending = False
                request.step.approval_retry_at = now + 0.25
                continue
            policy = self._policy(request.step)
            tickets = {name: "t" for name in request.workers if name in policy}
            plans.record_approvals(request, tickets, now + request.validity_s)

    def _policy(self, step):
        if step.id not in self.policies:
            names = sorted(self.machines)
            count = self.rng.randint(max(1, len(names) // 2), len(names))
            self.policies[step.id] = set(self.rng.sample(names, count))
        return self.policies[step.id]

    def _plan(self, now):
        decided = self.planner.plan(now)
        for request in decided.approval_requests:
            self.approvals.append((now + self.rng.uniform(0.05, 0.4), request))
        stops, self.cell.stops[:] = list(self.cell.stops), []
        for start in decided.starts:
            self._start(start, now)
        for stop in stops:
            self._stop(stop, now)
        return decided.starts

    def _start(self, start, now):
        machine = self.machines[start.worker.id]
        step, task = start.step, start.task
        if machine.has("silent", now):
            start.worker.backoff_until = now + workers.BACKOFF_S
            self.cell.mark_start_ambiguous(step, task, start.run)
            return
        job = step.job.spec.id
        run = Run(
            job, step, step.task_id(task.index), start.run,
            self.work_s[job, step.number],
            fails=job in self.poison and self.rng.random() < 0.9,
        )  # fmt: skip
        machine.runs[run.task] = run
        self.cell.confirm_start(step, task, start.run, now)

    def _stop(self, stop, now):
        machine = self.machines[stop.worker]
        if machine.has("silent", now) or (now < CALM_AT_S and self.rng.random() < 0.1):
            return  # the order is lost
        run = machine.runs.get(stop.task)
        if run is not None and run.number == stop.run:
            run.stops_at = min(run.stops_at, now + STOP_S)
        self.cell.confirm_stop(stop.worker, stop.task, stop.run, now)

    # The rule

    def _find_idle(self, now, started):
        if now < CALM_AT_S:
            return None
        total = resources.ZERO
        free = resources.ZERO
        for machine in self.machines.values():
            total, free = total + machine.entry.capacity, free + machine.free()
        light = (total - free).dominant(total) < 0.5
        self.starts_when_light += light * len(started)
        running = {
            run.job
            for machine in self.machines.values()
            for run in machine.runs.values()
        }
        for name, record in self.cell.jobs.items():
            idle = (
                light
                and not record.is_final
                and name not in running
                and any(self._could_run(each) for each in record.steps.values())
            )
            since = self.idle_since.setdefault(name, now) if idle else None
            if since is None:
                self.idle_since.pop(name, None)
            elif now - since > LIMIT_S:
                reasons = [
                    (each.step, each.wait_reason)
                    for each in record.steps.values()
                    if each.unfinished
                ]
                return name, now, reasons
        return None

    def _could_run(self, step_run):
        step = step_run.step
        if not step_run.unfinished:
            return False
        policy = set(self.machines)
        if step_run.job.spec.queue == "advised":
            policy = self._policy(step_run)
        fits = 0
        for name in policy:
            machine = self.machines[name]
            if step.required_label and step.required_label not in machine.entry.labels:
                continue
            count = step.demand.count_in(machine.free())
            if step.max_per_worker:
                count = min(count, step.max_per_worker)
            fits += count
        return fits >= 2 * (step.count if step.gang else 1)
