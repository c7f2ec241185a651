"""In-memory workers and log that carry out a scheduler's effects, for tests."""

import random

from toucanspring import job, resources, wire
from toucanspring.policy import fair_share
from toucanspring.scheduling import allowance, effects, scheduler

CAPACITY = resources.Resources(32_000, 65_536, 0)
ONE = resources.Resources(1_000, 1_024, 0)
UNLIMITED = resources.UNLIMITED
TEAMS = (fair_share.Team("zimna"), fair_share.Team("kern"))


def spec(job_id="a", **fields):
    fields.setdefault("name", job_id)
    fields.setdefault("team", "zimna")
    fields.setdefault("demand", ONE)
    return job.JobSpec(id=job_id, **fields)


class Worker:
    """Run tasks and keep ended ones until they are acknowledged."""

    def __init__(self, name, zone, capacity):
        self.name, self.zone, self.capacity = name, zone, capacity
        self.incarnation = 1
        self.connected = True
        self.running = {}
        self.ended = {}

    def facts(self):
        rack = f"{self.zone}-r0"
        return effects.WorkerFacts(
            self.name, self.incarnation, self.capacity, self.zone, rack
        )


class Cell:
    """Carry out the effects of a scheduler and check invariants on each."""

    def __init__(self, workers=1, seed=1, teams=TEAMS, capacity=CAPACITY):
        self.now = 100.0
        self.seed = seed
        self.teams = {team.name: team for team in teams}
        self.seen = []
        self.specs, self.outcomes, self.intents, self.finished = {}, {}, {}, {}
        self.cancelled = set()
        self.starts, self.zones_out = {}, frozenset()
        self.pending_intents = []
        self.hold_intents = False
        self.rows = {t.name: allowance.Row() for t in teams if t.ceiling != UNLIMITED}
        self.targets = {}  # team -> requested part
        self.deliver_unanswered = True  # whether starts on broken streams arrive
        self.workers = {}
        self.scheduler = scheduler.Scheduler(0, random.Random(seed))
        self.call("set_teams", self.teams)
        for number in range(workers):
            name = f"w{number}"
            self.workers[name] = Worker(name, f"z{number % 3}", capacity)
            self.attach(name)

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
                if not self.hold_intents:
                    self.write_intents()
            case effects.RecordOutcomes(outcomes):
                self.record(outcomes)
            case effects.JobFinished(job_id, outcome):
                assert job_id not in self.finished
                self.finished[job_id] = outcome
            case effects.StartTasks(name, tasks):
                self.start(self.workers[name], tasks)
            case effects.StopTasks(name, task_ids, mode):
                if self.workers[name].connected:
                    self.stop(self.workers[name], task_ids, mode)
            case effects.RequestAllowance() | effects.ReturnAllowance():
                self.targets[effect.team] = effect.target
            case effects.Acknowledge(name, task_ids):
                if self.workers[name].connected:
                    for task_id in task_ids:
                        self.workers[name].ended.pop(task_id, None)

    def record(self, outcomes):
        for task_id, outcome in outcomes.items():
            assert self.outcomes.get(task_id, outcome) == outcome, "outcome changed"
            if outcome.state is job.State.NOT_RUN:
                assert task_id not in self.starts, f"{task_id} did run"
        self.outcomes.update(outcomes)

    def stop(self, worker, task_ids, mode):
        state = "failed" if mode == "kill" else "checkpointed"
        for task_id in task_ids:
            if task_id in worker.running:
                self.end(worker.name, task_id, state, report=False, answer=b"mark")

    def start(self, worker, tasks):
        if not worker.connected:
            self.call("starts_unanswered", worker.name, [t.task_id for t in tasks])
            if not self.deliver_unanswered:
                return
        assert worker.zone not in self.zones_out, "start in a zone that is out"
        for task in tasks:
            owner = self.specs[job.job_of(task.task_id)]
            places = [w for w in self.workers.values() if task.task_id in w.running]
            assert not places, f"{task.task_id} runs twice"
            assert task.task_id not in self.outcomes, "start after the outcome"
            assert owner.idempotent or task.task_id not in self.starts, "second start"
            worker.running[task.task_id] = task
            self.starts[task.task_id] = self.starts.get(task.task_id, 0) + 1
        demands = [task.demand for task in worker.running.values()]
        used = sum(demands, resources.ZERO)
        assert used.fits(worker.capacity), (worker.name, used)
        for team, row in self.rows.items():
            used, part = self.used(team), row.parts.get(0, resources.ZERO)
            assert used.cpus <= part.cpus, (team, used, part)
        if worker.connected:
            self.call("starts_answered", worker.name, [t.task_id for t in tasks], [])

    def used(self, team):
        """Return the resources that a team's running tasks use."""
        tasks = [t for w in self.workers.values() for t in w.running.values()]
        return sum((t.demand for t in tasks if t.team == team), resources.ZERO)

    def grant(self, team, part):
        """Give partition 0 a part of a team's ceiling."""
        self.rows[team] = allowance.Row({0: part})
        return self.call("set_allowances", {team: part})

    def serve_allowances(self):
        """Write the rows and deliver the parts of partition 0."""
        held = {}
        for team, row in self.rows.items():
            target = self.targets.pop(team, row.parts.get(0, resources.ZERO))
            ceiling = self.teams[team].ceiling
            self.rows[team] = row = allowance.resize(row, 0, target, ceiling)
            held[team] = row.parts.get(0, resources.ZERO)
        self.call("set_allowances", held)

    def submit(self, *specs):
        self.specs.update((spec.id, spec) for spec in specs)
        return self.call("submit", list(specs))

    def cancel(self, job_id):
        self.cancelled.add(job_id)
        return self.call("cancel", [job_id])

    def write_intents(self):
        intents, self.pending_intents = self.pending_intents, []
        self.intents.update((intent.task_id, intent) for intent in intents)
        self.call("intents_durable", intents)

    def attach(self, name):
        worker = self.workers[name]
        worker.connected = True
        running = [
            wire.RunningTask(t.task_id, t.attempt, t.demand, t.team)
            for t in worker.running.values()
        ]
        finished = list(worker.ended.values())
        return self.call("worker_attached", worker.facts(), running, finished)

    def disconnect(self, name):
        """Break a stream; the scheduler learns of it with the next start."""
        self.workers[name].connected = False

    def restart(self, name):
        """Lose a worker's tasks; it returns with a new incarnation."""
        worker = self.workers[name]
        worker.connected = False
        worker.running.clear()
        worker.ended.clear()
        worker.incarnation += 1

    def lose(self, name):
        """Let a worker's lease expire; it returns empty, with a new incarnation."""
        self.restart(name)
        return self.call("worker_lost", name)

    def take_over(self):
        """Replace the scheduler by a successor that knows only the log."""
        self.seed += 1
        self.pending_intents = []  # not written yet
        self.targets = {}
        self.scheduler = scheduler.Scheduler(0, random.Random(self.seed))
        for worker in self.workers.values():
            worker.connected = False
        self.call("set_teams", self.teams)
        self.call("set_availability_zones", self.zones_out)
        names = set(self.workers)
        specs = list(self.specs.values())
        self.call("restore", specs, self.outcomes, self.intents, self.cancelled, names)

    def end(self, name, task_id, state="done", report=True, **fields):
        """End a running task, and report it if the stream works."""
        worker = self.workers[name]
        task = worker.running.pop(task_id)
        end = wire.FinishedTask(task_id, task.attempt, state, **fields)
        worker.ended[task_id] = end
        if report:
            self.report(name)
        return end

    def report(self, name):
        """Report the tasks that are not acknowledged, possibly again."""
        worker = self.workers[name]
        if worker.connected:
            self.call("worker_report", name, list(worker.ended.values()), {})

    def end_all(self, state="done", **fields):
        for name, worker in self.workers.items():
            for task_id in list(worker.running):
                self.end(name, task_id, state, report=False, **fields)
            self.report(name)

    def running(self, job_id=""):
        """Return the running tasks as task ID -> worker."""
        return {
            task_id: worker.name
            for worker in self.workers.values()
            for task_id in worker.running
            if task_id.startswith(job_id)
        }

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

    def run(self, limit=1000, step=1.0):
        """Tick and end everything until all jobs are final; return the ticks."""
        for ticks in range(limit):
            if self.specs.keys() <= self.finished.keys():
                return ticks
            self.tick(step)
            self.serve_allowances()
            self.end_all()
        left = self.specs.keys() - self.finished.keys()
        raise AssertionError(f"never final: {sorted(left)}")
