"""A cell in memory that carries out a scheduler's effects, for tests."""

import collections
import random

from toucanspring import effects, fairness, job, resources, scheduler, wire

CAPACITY = resources.Resources(32_000, 65_536, 0)
ONE = resources.Resources(1_000, 1_024, 0)


def spec(job_id="a", **fields):
    fields.setdefault("name", job_id)
    fields.setdefault("team", "zimna")
    fields.setdefault("demand", ONE)
    return job.JobSpec(id=job_id, **fields)


class Cell:
    """Keep the log, the workers' tasks and the effects that were seen."""

    def __init__(self, workers=1, seed=1, teams=None, capacity=CAPACITY):
        self.scheduler = scheduler.Scheduler(0, random.Random(seed))
        self.now = 100.0
        self.seen = []
        self.running = collections.defaultdict(dict)  # worker -> task ID -> start
        self.starts = collections.Counter()  # task ID -> accepted starts
        self.outcomes = {}
        self.finished = {}
        self.intents = {}
        self.pending_intents = []
        self.manual_intents = False
        self.silent = set()  # workers that receive nothing
        self.facts = {}
        self.capacity = capacity
        if teams is None:
            teams = [fairness.Team("zimna"), fairness.Team("kern")]
        self.call("set_teams", {team.name: team for team in teams})
        for number in range(workers):
            self.attach(f"w{number}", zone=f"z{number % 3}")

    def call(self, method, *arguments):
        """Call a method, carry out its effects, and return them."""
        found = getattr(self.scheduler, method)(*arguments, self.now)
        for effect in found:
            self.seen.append(effect)
            self.perform(effect)
        return found

    def perform(self, effect):
        match effect:
            case effects.RecordIntents(intents):
                self.pending_intents += intents
                if not self.manual_intents:
                    self.write_intents()
            case effects.RecordOutcomes(outcomes):
                assert not self.outcomes.keys() & outcomes.keys(), "outcome changed"
                self.outcomes.update(outcomes)
            case effects.JobFinished(job_id, outcome):
                assert job_id not in self.finished
                self.finished[job_id] = outcome
            case effects.StartTasks(worker, tasks) if worker not in self.silent:
                for task in tasks:
                    assert task.task_id not in self.running[worker]
                    self.running[worker][task.task_id] = task
                    self.starts[task.task_id] += 1
                used = sum(
                    (t.demand for t in self.running[worker].values()), resources.ZERO
                )
                assert used.fits(self.facts[worker].capacity), (worker, used)
                ids = [task.task_id for task in tasks]
                self.call("starts_answered", worker, ids, [])

    def write_intents(self):
        intents, self.pending_intents = self.pending_intents, []
        self.intents.update((intent.task_id, intent) for intent in intents)
        self.call("intents_durable", intents)

    def attach(self, worker, zone="z0", incarnation=1, running=None, finished=()):
        facts = effects.WorkerFacts(
            worker, incarnation, self.capacity, zone, f"{zone}-r0"
        )
        self.facts[worker] = facts
        self.silent.discard(worker)
        if running is None:
            running = [
                wire.RunningTask(t.task_id, t.attempt, t.demand, t.team)
                for t in self.running[worker].values()
            ]
        return self.call("worker_attached", facts, running, list(finished))

    def end(self, worker, task_id, state="done", **fields):
        """End a running task and report it."""
        task = self.running[worker].pop(task_id)
        end = wire.FinishedTask(task_id, task.attempt, state, **fields)
        self.call("worker_report", worker, [end], {})
        return end

    def end_all(self, state="done", **fields):
        for worker, tasks in list(self.running.items()):
            if worker in self.silent:
                continue
            ends = [
                wire.FinishedTask(t.task_id, t.attempt, state, **fields)
                for t in tasks.values()
            ]
            tasks.clear()
            self.call("worker_report", worker, ends, {})

    def stopped(self, mode=None):
        """Return the IDs of the tasks that were asked to stop."""
        return [
            task_id
            for effect in self.seen
            if isinstance(effect, effects.StopTasks) and mode in (None, effect.mode)
            for task_id in effect.task_ids
        ]

    def tick(self, seconds=0.02):
        self.now += seconds
        return self.call("tick")

    def worker_of(self, task_id):
        return next(w for w, tasks in self.running.items() if task_id in tasks)

    def run(self, limit=1000, step=1.0):
        """Tick and end everything until nothing runs; return the ticks needed."""
        for ticks in range(limit):
            self.tick(step)
            if not any(self.running.values()) and not self.pending_intents:
                return ticks
            self.end_all()
        raise AssertionError("work never ended")
