"""Measure whom the coordinator's planning rounds serve in time on heavy days.

Simulated workers run three kinds of jobs: urgent checks, proofs of many single tasks
and builds that are gangs of large tasks. Each placement needs an approval. A job is
worth its size, a fifth of that when late, nothing beyond three times its time. The
baseline takes the jobs in order of arrival and the first workers with room.

Loads: `calm`; `burst`, three times the checks for 4 s; `zone`, a third of the workers
out of service for half of the time; `outage`, no rounds for 4 s while jobs arrive.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from bench import arrivals
from bench import work as measured
from toucanspring import resources
from toucanspring.coordinator import (
    cell_state,
    planner,
    plans,
    ports,
    reports,
    state,
)

LOADS = ("calm", "burst", "zone", "outage")
DAYS = 3  # of each load, with seeds that follow each other
DRAIN_S = 30.0  # after the last arrival
ROUND_S = 0.015  # a round and its durable write
ORDER_S = 0.01
STOP_S = 0.3
LOOK_S = 1.0
CHECKPOINT_S = 0.5
RESTORE_S = 0.1
CALLERS = 8  # of the approval service
RACK = 8
ZONES = ("a", "b", "c")
MISSED = 3.0  # times its time, after which a job is worth nothing
LATE_WORTH = 0.2


@dataclasses.dataclass(eq=False)
class Run:
    """Hold one run of a task on a simulated worker."""

    task: str
    run: int
    began: float
    done_s: float  # work that a checkpoint saved
    total_s: float
    fails: bool
    stopping: bool = False

    def progress_s(self, now: float) -> float:
        """Return the work that is done."""
        return min(self.total_s, self.done_s + max(0.0, now - self.began))


class Machine:
    """Run tasks as a worker does and list what has ended."""

    def __init__(self, worker) -> None:
        self.worker = worker
        self.runs: dict[str, Run] = {}
        self.ended: list[ports.EndedTask] = []
        self.count = 0

    def end(self, run: Run, how: str, checkpoint: str = "") -> None:
        """End a run, if it is still there."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self.count += 1
            self.ended.append(
                ports.EndedTask(self.count, run.task, run.run, how, checkpoint)
            )

    def look(self, now: float) -> ports.PollReply:
        """Return what runs and what has ended."""
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


class Day:
    """Simulate one day with one planner."""

    def __init__(self, load: str, seed: int, make_planner) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.cell = cell_state.CellState()
        self.cell.catalogue = arrivals.make_catalogue()
        self.planner = make_planner(self.cell)
        self.machines: dict[str, Machine] = {}
        self.expected = {
            each.spec.id: each
            for each in arrivals.make_arrivals(load, random.Random(seed))
        }
        self.stops = 0
        self.lost_core_s = 0.0
        self._events: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self._questions: list[tuple[int, float, int, plans.ApprovalRequest]] = []
        self._callers = CALLERS
        self._allowed: dict[str, frozenset[str]] = {}
        for number in range(arrivals.WORKERS):
            self._add_worker(number)

    def _add_worker(self, number: int) -> None:
        rack = f"r{number // RACK}"
        entry = ports.WorkerEntry(
            id=f"w{number}", pool=arrivals.POOL, address="x",
            zone=ZONES[number // RACK], rack=rack, labels=frozenset({rack}),
            capacity=resources.Resources(32_000, 65_536, 0), incarnation=1,
        )  # fmt: skip
        machine = Machine(self.cell.register_worker(entry))
        self.machines[entry.id] = machine
        reports.apply_poll_reply(self.cell, machine.worker, machine.look(0.0), 0.0, 0.0)

    def at(self, when: float, action) -> None:
        """Call `action(now)` at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> None:
        """Play the day."""
        for arrival in self.expected.values():
            self.at(
                arrival.at,
                lambda now, each=arrival: self.cell.accept(each.spec, now),
            )
        if self.load == "zone":
            self.at(20.0, lambda _: self._take_out(frozenset({"a"})))
            self.at(50.0, lambda _: self._take_out(frozenset()))
        for machine in self.machines.values():
            self.at(self.rng.random() * LOOK_S, self._looks(machine))
        now, planned_at = 0.0, -1.0
        while self._events and now < arrivals.END_S + DRAIN_S:
            now = self._events[0][0]
            while self._events and self._events[0][0] <= now:
                heapq.heappop(self._events)[2](now)
            out = self.load == "outage" and 20 <= now < 24
            if now - planned_at >= ROUND_S and not out:
                planned_at = now
                self._plan(now)
                self.at(now + ROUND_S, lambda _: None)

    def _take_out(self, zones: frozenset[str]) -> None:
        self.cell.zones_out = zones
        self.cell.capacity_version += 1

    def _looks(self, machine: Machine):
        def look(now: float) -> None:
            self._take(machine, now)
            self.at(now + LOOK_S, look)

        return look

    def _take(self, machine: Machine, now: float) -> None:
        look = machine.look(now)
        if look.ended:
            machine.worker.acked_end = look.ended[0].number - 1
        reports.apply_poll_reply(self.cell, machine.worker, look, now, now)
        machine.worker.acked_end = machine.count
        for job_id in list(self.cell.dirty):
            record, arrival = self.cell.jobs[job_id], self.expected[job_id]
            if record.state is state.JobState.COMPLETED and not arrival.ended_at:
                arrival.ended_at = now
        self.cell.dirty.clear()

    def _plan(self, now: float) -> None:
        plan = self.planner.plan(now)
        for question in plan.approval_requests:
            entry = (question.priority, question.cost_s, next(self._order), question)
            heapq.heappush(self._questions, entry)
        self._ask(now)
        for start in plan.starts:
            self.at(now + ORDER_S, lambda then, each=start: self._start(each, then))
        stops, self.cell.stops[:] = list(self.cell.stops), []
        for stop in stops:
            self.at(now + ORDER_S, lambda then, each=stop: self._stop(each, then))

    def _ask(self, now: float) -> None:
        while self._callers and self._questions:
            self._callers -= 1
            question = heapq.heappop(self._questions)[-1]
            self.at(
                now + question.cost_s + 0.003,
                lambda then, each=question: self._answer(each, then),
            )

    def _answer(self, question: plans.ApprovalRequest, now: float) -> None:
        self._callers += 1
        step = question.step
        if step.id not in self._allowed:
            kind = arrivals.KINDS[step.job.spec.queue]
            draw = random.Random(step.id)
            self._allowed[step.id] = frozenset(
                name for name in self.machines if draw.random() < kind.approved
            ) or frozenset(self.machines)
        allowed = self._allowed[step.id]
        tickets = {name: "t" for name in question.workers if name in allowed}
        plans.record_approvals(question, tickets, now + question.validity_s)
        self._ask(now)

    def _start(self, start: plans.Start, now: float) -> None:
        run, task = start.step, start.task
        if run.job.is_final or task.run != start.run:
            self.cell.cancel_start(run, task, start.run, now)
            return
        arrival = self.expected[run.job.spec.id]
        kind = arrivals.KINDS[arrival.kind]
        saved = float(task.checkpoint or 0)
        simulated = Run(
            run.task_id(task.index), start.run, now + (RESTORE_S if saved else 0.0),
            saved, arrival.seconds[run.number][task.index],
            self.rng.random() < kind.error / (run.step.count if run.step.gang else 1),
        )  # fmt: skip
        machine = self.machines[start.worker.id]
        machine.runs[simulated.task] = simulated
        self.cell.confirm_start(run, task, start.run, now)
        left = simulated.total_s - saved
        ends = simulated.began + left * (self.rng.random() if simulated.fails else 1)
        how = reports.FAILED if simulated.fails else reports.DONE
        self.at(ends, lambda then: self._end(machine, simulated, how, then))

    def _end(self, machine: Machine, run: Run, how: str, now: float) -> None:
        if machine.runs.get(run.task) is not run:
            return
        if how != reports.DONE:
            self._lose(run, now, "")
        machine.end(run, how)
        if how == reports.DONE:
            self._end_gang(run)
        self._take(machine, now)

    def _end_gang(self, run: Run) -> None:
        """End the other members without a word, as one end stands for all."""
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
            step = self.expected[name.job].spec.steps[name.step]
            saved = f"{run.progress_s(now):g}" if step.checkpointing else ""
            self._lose(run, then, saved)
            machine.end(run, "stopped", saved)
            self._take(machine, then)

        self.at(now + STOP_S * self.rng.random(), end)

    def _lose(self, run: Run, now: float, saved: str) -> None:
        name = state.parse_task_id(run.task)
        step = self.expected[name.job].spec.steps[name.step]
        lost_s = run.progress_s(now) - max(run.done_s, float(saved or 0))
        self.lost_core_s += max(0.0, lost_s) * step.demand.cpus / 1000

    def summarise(self) -> dict:
        """Return the worth earned as a part of all worth, by kind and in all."""
        owed: collections.Counter = collections.Counter()
        earned: collections.Counter = collections.Counter()
        for each in self.expected.values():
            took = each.ended_at - each.at if each.ended_at else float("inf")
            part = 1.0 if took <= each.due else LATE_WORTH
            if took > MISSED * each.due:
                part = 0.0
            for name in (each.kind, "all"):
                owed[name] += each.worth
                earned[name] += each.worth * part
        shares = {name: round(earned[name] / owed[name], 3) for name in sorted(owed)}
        return {
            **shares, "stops": self.stops, "lost_core_s": round(self.lost_core_s),
        }  # fmt: skip


class FirstFit:
    """Start jobs in order of arrival on the first workers with room."""

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        self._planner = planner.Planner(cell)

    def plan(self, now: float) -> plans.Plan:
        """Return what to start and to ask now; takes the room for the starts."""
        plan = plans.Plan()
        for run in list(self._cell.ready.values()):
            queue = self._cell.catalogue.queue(run.job.spec.queue)
            usable = [
                worker
                for worker in self._cell.pool(queue.pool)
                if worker.is_usable(now, self._cell.zones_out)
            ]
            if any(worker.id not in run.allowed for worker in usable):
                self._planner.request_approval(
                    run, queue, [each.id for each in usable], plan, now
                )
                continue
            chosen = self._choose(
                run, [each for each in usable if run.allowed[each.id]]
            )
            if chosen and any(
                self._planner.ticket(run, queue, worker.id, now) is None
                for worker in chosen
            ):
                self._planner.request_approval(
                    run, queue, [each.id for each in usable], plan, now
                )
                continue
            number = max(task.run for task in run.tasks) + 1
            for index, worker in zip(sorted(run.waiting), chosen, strict=False):
                task = run.tasks[index]
                self._planner.start(run, task, worker, number, queue, plan, now)
        return plan

    @staticmethod
    def _choose(run: state.StepRun, usable: list) -> list:
        """Return a worker for each waiting task that finds one, in order."""
        if run.step.gang and len(run.waiting) < run.step.count:
            return []
        demand, chosen = run.step.occupied(), []
        for worker in usable:
            room = demand.count_in(worker.free())
            chosen += [worker] * min(room, len(run.waiting) - len(chosen))
        if run.step.gang and len(chosen) < run.step.count:
            return []
        return chosen


POLICIES = {"rounds": planner.Planner, "first fit": FirstFit}


def main() -> None:
    """Play days of each load with both policies; print means of the days."""
    seed = measured.parse_seed()
    result: dict[str, dict] = {}
    for load in LOADS:
        for name, make_planner in POLICIES.items():
            found = []
            for number in range(DAYS):
                day = Day(load, seed + number, make_planner)
                day.run()
                found.append(day.summarise())
            result[f"{load}, {name}"] = {
                key: round(sum(each[key] for each in found) / DAYS, 3)
                for key in found[0]
            }
    measured.print_result(bench="rounds", seed=seed, **result)


if __name__ == "__main__":
    main()
