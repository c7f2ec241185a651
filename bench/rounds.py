"""Measure which jobs the coordinator's planning rounds complete in time under load.

Simulated workers run three kinds of jobs: urgent checks, proofs of many single tasks
and builds that are gangs of large tasks. Each placement needs an approval. The value of
a job grows with its size; a job that ends late earns a fifth of its value, and nothing
after three times its target time. The baseline starts jobs in order of arrival on the
first workers with room; where speeds differ, it is the same planner without them.

Loads: `calm`; `burst`, three times the rate of checks for 4 s; `zone`, a third of the
workers out of service for half of the time; `outage`, no planning rounds for 4 s while
jobs arrive; `speeds`, workers of availability zone a have speed 1.7, the others 0.7;
`kinds`, as `speeds` by a label of every third worker.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from bench import arrivals, work
from toucanspring import resources
from toucanspring.coordinator import (
    cell_state,
    planner,
    plans,
    ports,
    reports,
    state,
    workers,
)
from toucanspring.policy import speeds

UNEQUAL_LOADS = ("speeds", "kinds")
LOADS = ("calm", "burst", "zone", "outage", *UNEQUAL_LOADS)
RUNS_PER_LOAD = 3  # with consecutive seeds
DRAIN_S = 30.0  # time for jobs to end after the last arrival
ROUND_S = 0.015  # a planning round and its durable write
DISPATCH_S = 0.01  # until a start or stop reaches the worker
STOP_S = 0.3  # longest time that a task takes to stop
POLL_S = 1.0  # between polls of a worker
CHECKPOINT_S = 0.5  # work between two checkpoints
RESTORE_S = 0.1  # time to restore a checkpoint
MAX_APPROVAL_CALLS = 8  # concurrent calls of the approval service
RACK_SIZE = 8
ZONES = ("a", "b", "c")
FAST, SLOW = 1.7, 0.7  # speeds of workers
WORTHLESS_AFTER = 3.0  # multiple of the target time after which a job has no value
WINDOW_S = 4.0  # of arrivals, for the worst seconds
LATE_VALUE = 0.2  # fraction of the value of a job that ends late


@dataclasses.dataclass(eq=False)
class Run:
    """One run of a task on a simulated worker."""

    task: str
    run: int
    started_at: float
    done_s: float  # work saved by a checkpoint
    total_s: float
    fails: bool
    speed: float = 1.0
    stopping: bool = False

    def progress_s(self, now: float) -> float:
        """Return the completed work in seconds."""
        worked_s = self.speed * max(0.0, now - self.started_at)
        return min(self.total_s, self.done_s + worked_s)


class Machine:
    """Simulated worker: run tasks and report which have ended."""

    def __init__(self, worker) -> None:
        self.worker = worker
        self.runs: dict[str, Run] = {}
        self.ended: list[ports.EndedTask] = []
        self.count = 0

    def end(self, run: Run, outcome: str, checkpoint: str = "") -> None:
        """End a run unless it has ended already."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self.count += 1
            self.ended.append(
                ports.EndedTask(self.count, run.task, run.run, outcome, checkpoint)
            )

    def poll(self, now: float) -> ports.PollReply:
        """Return the running tasks and those that ended since the last poll."""
        running = tuple(
            ports.RunningTask(
                run.task,
                run.run,
                _checkpoint(run.progress_s(now)),
                int(100 * run.progress_s(now) / run.total_s),
            )
            for run in self.runs.values()
        )
        ended, self.ended = tuple(self.ended), []
        return ports.PollReply(int(now * 1000) + 1, 1, running, ended)


def _checkpoint(progress_s: float) -> str:
    saved = progress_s // CHECKPOINT_S * CHECKPOINT_S
    return f"{saved:g}" if saved else ""


class Simulation:
    """Simulate one load with one planner."""

    def __init__(self, load: str, seed: int, make_planner, site=arrivals) -> None:
        self.load = load
        self.site = site
        self.rng = random.Random(seed)
        self.cell = cell_state.CellState()
        self.cell.configure(site.make_catalogue())
        self.planner = make_planner(self.cell)
        self.machines: dict[str, Machine] = {}
        self.arrival_by_id = {
            each.spec.id: each for each in site.make_arrivals(load, random.Random(seed))
        }
        self.stops = 0
        self.lost_core_s = 0.0
        self._events: list[tuple[float, int, object]] = []
        self._sequence = itertools.count()
        self._approval_requests: list[
            tuple[int, float, int, plans.ApprovalRequest]
        ] = []
        self._free_approval_calls = getattr(site, "APPROVAL_CALLS", MAX_APPROVAL_CALLS)
        self._approved: dict[str, frozenset[str]] = {}
        for number in range(site.WORKERS):
            self._add_worker(number)

    def _add_worker(self, number: int) -> None:
        rack = f"r{number // RACK_SIZE}"
        entry = ports.WorkerEntry(
            id=f"w{number}", pool=self.site.POOL, address="x",
            zone=ZONES[number // RACK_SIZE % len(ZONES)], rack=rack,
            labels=frozenset({rack, "b" if number % 3 == 2 else "a"}),
            capacity=resources.Resources(32_000, 65_536, 0), incarnation=1,
        )  # fmt: skip
        machine = Machine(self.cell.register_worker(entry))
        self.machines[entry.id] = machine
        reports.apply_poll_reply(self.cell, machine.worker, machine.poll(0.0), 0.0, 0.0)

    def _find_speed(self, step_run: state.StepRun, worker: workers.Worker) -> float:
        """Return the speed of a task; members of a gang wait for the slowest."""
        members = [worker]
        if step_run.step.gang:
            members += [
                self.machines[task.worker].worker
                for task in step_run.tasks
                if task.worker
            ]
        return min(self._speed_of(each) for each in members)

    def _speed_of(self, worker: workers.Worker) -> float:
        find_speed = getattr(self.site, "speed", None)
        if find_speed is not None:
            return find_speed(int(worker.id[1:]))
        if self.load not in UNEQUAL_LOADS:
            return 1.0
        fast = "b" in worker.entry.labels
        if self.load == "speeds":
            fast = worker.entry.zone == "a"
        return FAST if fast else SLOW

    def at(self, when: float, action) -> None:
        """Call `action(now)` at a time."""
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def run(self) -> None:
        """Handle events until all jobs have had time to end."""
        for arrival in self.arrival_by_id.values():
            self.at(
                arrival.at,
                lambda now, each=arrival: self.cell.accept(each.spec, now),
            )
        if self.load == "zone":
            self.at(20.0, lambda _: self._set_zones_out(frozenset({"a"})))
            self.at(50.0, lambda _: self._set_zones_out(frozenset()))
        for machine in self.machines.values():
            self.at(self.rng.random() * POLL_S, self._poll_regularly(machine))
        now, planned_at = 0.0, -1.0
        while self._events and now < self.site.END_S + DRAIN_S:
            now = self._events[0][0]
            while self._events and self._events[0][0] <= now:
                heapq.heappop(self._events)[2](now)
            out = self.load == "outage" and 20 <= now < 24
            if now - planned_at >= ROUND_S and not out:
                planned_at = now
                self._plan(now)
                self.at(now + ROUND_S, lambda _: None)

    def _set_zones_out(self, zones: frozenset[str]) -> None:
        self.cell.zones_out = zones

    def _poll_regularly(self, machine: Machine):
        def poll(now: float) -> None:
            self._poll(machine, now)
            self.at(now + POLL_S, poll)

        return poll

    def _poll(self, machine: Machine, now: float) -> None:
        reply = machine.poll(now)
        if reply.ended:
            machine.worker.acked_end = reply.ended[0].number - 1
        reports.apply_poll_reply(self.cell, machine.worker, reply, now, now)
        machine.worker.acked_end = machine.count
        for job_id in list(self.cell.dirty):
            record, arrival = self.cell.jobs[job_id], self.arrival_by_id[job_id]
            if record.state is state.JobState.COMPLETED and not arrival.ended_at:
                arrival.ended_at = now
        self.cell.dirty.clear()

    def _plan(self, now: float) -> None:
        plan = self.planner.plan(now)
        for request in plan.approval_requests:
            entry = (request.priority, request.cost_s, next(self._sequence), request)
            heapq.heappush(self._approval_requests, entry)
        self._send_approval_requests(now)
        for start in plan.starts:
            self.at(now + DISPATCH_S, lambda then, each=start: self._start(each, then))
        stops, self.cell.stops[:] = list(self.cell.stops), []
        for stop in stops:
            self.at(now + DISPATCH_S, lambda then, each=stop: self._stop(each, then))

    def _send_approval_requests(self, now: float) -> None:
        while self._free_approval_calls and self._approval_requests:
            self._free_approval_calls -= 1
            request = heapq.heappop(self._approval_requests)[-1]
            self.at(
                now + request.cost_s + 0.003,
                lambda then, each=request: self._approve(each, then),
            )

    def _approve(self, request: plans.ApprovalRequest, now: float) -> None:
        self._free_approval_calls += 1
        step = request.step
        if step.id not in self._approved:
            kind = self.site.KINDS[step.job.spec.queue]
            rng = random.Random(step.id)
            self._approved[step.id] = frozenset(
                name for name in self.machines if rng.random() < kind.approved
            ) or frozenset(self.machines)
        approved = self._approved[step.id]
        tickets = {name: "t" for name in request.workers if name in approved}
        plans.record_approvals(request, tickets, now + request.validity_s)
        self._send_approval_requests(now)

    def _start(self, start: plans.Start, now: float) -> None:
        step_run, task = start.step, start.task
        if step_run.job.is_final or task.run != start.run:
            self.cell.cancel_start(step_run, task, start.run, now)
            return
        arrival = self.arrival_by_id[step_run.job.spec.id]
        kind = self.site.KINDS[arrival.kind]
        saved = float(task.checkpoint or 0)
        simulated = Run(
            step_run.task_id(task.index), start.run,
            now + (RESTORE_S if saved else 0.0), saved,
            arrival.task_seconds[step_run.number][task.index],
            self.rng.random() < kind.failure_fraction
            / (step_run.step.count if step_run.step.gang else 1),
            speed=self._find_speed(step_run, start.worker),
        )  # fmt: skip
        machine = self.machines[start.worker.id]
        machine.runs[simulated.task] = simulated
        self.cell.confirm_start(step_run, task, start.run, now)
        remaining_s = (simulated.total_s - saved) / simulated.speed
        ends = simulated.started_at + remaining_s * (
            self.rng.random() if simulated.fails else 1
        )
        outcome = reports.FAILED if simulated.fails else reports.DONE
        self.at(ends, lambda then: self._end(machine, simulated, outcome, then))

    def _end(self, machine: Machine, run: Run, outcome: str, now: float) -> None:
        if machine.runs.get(run.task) is not run:
            return
        if outcome != reports.DONE:
            self._add_lost_work(run, now, "")
        machine.end(run, outcome)
        if outcome == reports.DONE:
            self._end_gang(run)
        self._poll(machine, now)

    def _end_gang(self, run: Run) -> None:
        """End the other members without a report, as one end stands for the gang."""
        name = state.parse_task_id(run.task)
        step = self.cell.jobs[name.job].steps[name.occurrence, name.step]
        if step.step.gang:
            for other in step.tasks:
                if other.worker:
                    self.machines[other.worker].runs.pop(
                        step.task_id(other.index), None
                    )

    def _stop(self, stop: cell_state.Stop, now: float) -> None:
        machine = self.machines[stop.worker]
        run = machine.runs.get(stop.task)
        if run is None or run.run != stop.run or run.stopping:
            return
        run.stopping = True
        self.stops += 1

        def end(then: float) -> None:
            if machine.runs.get(run.task) is not run:
                return
            name = state.parse_task_id(run.task)
            step = self.arrival_by_id[name.job].spec.steps[name.step]
            saved = f"{run.progress_s(now):g}" if step.checkpointing else ""
            self._add_lost_work(run, then, saved)
            machine.end(run, "stopped", saved)
            self._poll(machine, then)

        self.at(now + STOP_S * self.rng.random(), end)

    def _add_lost_work(self, run: Run, now: float, saved: str) -> None:
        name = state.parse_task_id(run.task)
        step = self.arrival_by_id[name.job].spec.steps[name.step]
        lost_s = run.progress_s(now) - max(run.done_s, float(saved or 0))
        self.lost_core_s += max(0.0, lost_s) * step.demand.cpus / 1000

    def summarise(self) -> dict:
        """Return the fraction of the value that was earned, by kind and in total."""
        total: collections.Counter = collections.Counter()
        earned: collections.Counter = collections.Counter()
        for each in self.arrival_by_id.values():
            if self.cell.jobs[each.spec.id].over_rate:
                continue  # not owed to its organisation
            took = each.ended_at - each.at if each.ended_at else float("inf")
            fraction = 1.0 if took <= each.due_s else LATE_VALUE
            if took > WORTHLESS_AFTER * each.due_s:
                fraction = 0.0
            names = [each.kind, "all"]
            if each.spec.organisation:
                names += [each.spec.organisation, int(each.at / WINDOW_S)]
            for name in names:
                total[name] += each.value
                earned[name] += each.value * fraction
        worst = self._worst(total, earned)
        shares = {
            name: round(earned[name] / total[name], 3)
            for name in sorted(
                each for each in total if each in self.site.KINDS or each == "all"
            )
        }
        return {
            **shares, **worst, "stops": self.stops,
            "lost_core_s": round(self.lost_core_s),
        }  # fmt: skip

    @staticmethod
    def _worst(total: collections.Counter, earned: collections.Counter) -> dict:
        """Return the shares of the worst tenth of organisations and of two windows."""
        fractions = {name: earned[name] / total[name] for name in total if total[name]}
        windows = sorted(v for name, v in fractions.items() if isinstance(name, int))
        organisations = sorted(
            v for name, v in fractions.items() if str(name).startswith("o")
        )
        if not windows:
            return {}
        tenth = max(1, len(organisations) // 10)
        return {
            "worst_windows": round(sum(windows[:2]) / 2, 3),
            "worst_organisations": round(sum(organisations[:tenth]) / tenth, 3),
        }


class EqualSpeeds(speeds.Speeds):
    """Learned speeds that do not affect placement."""

    differ = False


def make_unaware(cell: cell_state.CellState) -> planner.Planner:
    """Return a planner that treats all workers as equally fast."""
    cell.speeds = EqualSpeeds()
    return planner.Planner(cell)


class FirstFit:
    """Start jobs in order of arrival on the first workers with room."""

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        self._planner = planner.Planner(cell)

    def plan(self, now: float) -> plans.Plan:
        """Return starts and approval requests; allocate resources for the starts."""
        plan = plans.Plan()
        for step_run in list(self._cell.ready.values()):
            queue = self._cell.catalogue.queue(step_run.job.spec.queue)
            usable = [
                worker
                for worker in self._cell.pool(queue.pool)
                if worker.is_usable(now, self._cell.zones_out)
            ]
            if any(worker.id not in step_run.allowed for worker in usable):
                self._planner.approvals.request(
                    step_run, queue, [each.id for each in usable], plan, now
                )
                continue
            chosen = self._choose(
                step_run, [each for each in usable if step_run.allowed[each.id]]
            )
            if chosen and any(
                self._planner.approvals.ticket(step_run, queue, worker.id, now) is None
                for worker in chosen
            ):
                self._planner.approvals.request(
                    step_run, queue, [each.id for each in usable], plan, now
                )
                continue
            run_number = max(task.run for task in step_run.tasks) + 1
            for index, worker in zip(sorted(step_run.waiting), chosen, strict=False):
                task = step_run.tasks[index]
                self._planner.start(
                    step_run, task, worker, run_number, queue, plan, now
                )
        return plan

    @staticmethod
    def _choose(step_run: state.StepRun, usable: list) -> list:
        """Return workers for the waiting tasks in order, as far as there is room."""
        if step_run.step.gang and len(step_run.waiting) < step_run.step.count:
            return []
        demand, chosen = step_run.step.occupied(), []
        for worker in usable:
            room = demand.count_in(worker.free())
            chosen += [worker] * min(room, len(step_run.waiting) - len(chosen))
        if step_run.step.gang and len(chosen) < step_run.step.count:
            return []
        return chosen


POLICIES = {"rounds": planner.Planner, "first fit": FirstFit}
UNEQUAL_POLICIES = {"rounds": planner.Planner, "equal speeds": make_unaware}


def main() -> None:
    """Simulate each load with both policies; print the means over the runs."""
    seed = work.parse_seed()
    result: dict[str, dict] = {}
    for load in LOADS:
        policies = UNEQUAL_POLICIES if load in UNEQUAL_LOADS else POLICIES
        for name, make_planner in policies.items():
            found = []
            for number in range(RUNS_PER_LOAD):
                simulation = Simulation(load, seed + number, make_planner)
                simulation.run()
                found.append(simulation.summarise())
            result[f"{load}, {name}"] = {
                key: round(sum(each[key] for each in found) / RUNS_PER_LOAD, 3)
                for key in found[0]
            }
    work.print_result(bench="rounds", seed=seed, **result)


if __name__ == "__main__":
    main()
