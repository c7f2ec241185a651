"""Random faults in random order; `cell.Cell` checks the invariants."""

import random

import testtools

from test import cell
from toucanspring import job

SEEDS = range(40)
STEPS = 250


class Faults:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        ceiling = cell.resources.Resources(120_000, cell.UNLIMITED.memory, 0)
        teams = (
            cell.fair_share.Team("zimna"),
            cell.fair_share.Team("kern", ceiling=ceiling),
        )
        self.cell = cell.Cell(workers=6, seed=seed, teams=teams)
        self.cell.hold_intents = True
        self.jobs = 0

    def step(self):
        actions = {
            self.tick: 10,
            self.end_some: 10,
            self.submit: 3,
            self.write_intents: 5,
            self.fail_intents: 1,
            self.cancel: 1,
            self.break_stream: 2,
            self.attach: 4,
            self.lose: 1,
            self.restart: 1,
            self.repeat_report: 2,
            self.change_zones: 1,
            self.take_over: 0.3,
            self.cell.serve_allowances: 4,
            self.use_in_other_partition: 1,
        }
        choice = self.rng.choices(list(actions), list(actions.values()))[0]
        choice()

    def any_worker(self, connected):
        workers = self.cell.workers.values()
        names = [w.name for w in workers if w.connected == connected]
        return self.rng.choice(names) if names else None

    def tick(self):
        self.cell.deliver_unanswered = self.rng.random() < 0.5
        self.cell.tick(self.rng.choice([0.02, 0.5, 3.0]))

    def submit(self):
        self.jobs += 1
        rng = self.rng
        kind = rng.choice([job.Kind.BATCH, job.Kind.BATCH, job.Kind.GANG])
        after = ()
        if self.jobs > 1 and rng.random() < 0.2:
            after = (f"j{rng.randrange(1, self.jobs)}",)
        self.cell.submit(
            cell.spec(
                f"j{self.jobs}",
                kind=kind,
                task_count=rng.randrange(1, 30),
                idempotent=rng.random() < 0.5,
                team=rng.choice(["zimna", "kern"]),
                job_class=rng.choice(list(job.JobClass)),
                demand=cell.resources.Resources(rng.randrange(500, 6_000), 512, 0),
                run_seconds=rng.choice([1.0, 30.0]),
                after=after,
                retries=2,
            )
        )

    def end_some(self):
        rng = self.rng
        for worker in self.cell.workers.values():
            for task_id in list(worker.running):
                if rng.random() < 0.3:
                    state = rng.choice(["done", "done", "done", "failed"])
                    self.cell.end(worker.name, task_id, state, report=False)
            self.cell.report(worker.name)

    def write_intents(self):
        if self.cell.pending_intents:
            self.cell.write_intents()

    def fail_intents(self):
        intents, self.cell.pending_intents = self.cell.pending_intents, []
        self.cell.call("intents_failed", intents)

    def cancel(self):
        if self.jobs:
            self.cell.cancel(f"j{self.rng.randrange(1, self.jobs + 1)}")

    def break_stream(self):
        if name := self.any_worker(True):
            self.cell.disconnect(name)

    def attach(self):
        if name := self.any_worker(False):
            self.cell.attach(name)

    def lose(self):
        if name := self.any_worker(False):
            self.cell.lose(name)

    def restart(self):
        if name := self.any_worker(True):
            self.cell.restart(name)

    def repeat_report(self):
        if name := self.any_worker(True):
            worker = self.cell.workers[name]
            ends = list(worker.ended.values())
            self.cell.call("worker_report", name, ends + ends, {})

    def change_zones(self):
        out = frozenset(z for z in ("z0", "z1") if self.rng.random() < 0.3)
        self.cell.zones_out = out
        self.cell.call("set_availability_zones", out)

    def use_in_other_partition(self):
        """Request a part of the ceiling for another partition."""
        target = cell.resources.Resources(self.rng.randrange(0, 120_000), 1 << 30, 0)
        ceiling = self.cell.teams["kern"].ceiling
        row = self.cell.rows["kern"]
        self.cell.rows["kern"] = cell.allowance.resize(row, 1, target, ceiling)

    def take_over(self):
        self.cell.take_over()

    def heal(self):
        self.cell.rows["kern"] = cell.allowance.resize(
            self.cell.rows["kern"],
            1,
            cell.resources.ZERO,
            self.cell.teams["kern"].ceiling,
        )
        self.cell.zones_out = frozenset()
        self.cell.call("set_availability_zones", frozenset())
        self.write_intents()
        self.cell.hold_intents = False
        for worker in self.cell.workers.values():
            if not worker.connected:
                self.cell.attach(worker.name)


class FaultsTest(testtools.TestCase):
    def test_all_tasks_become_final_and_no_invariant_is_violated(self):
        # Guards against repeated starts, double placement, overcommitted workers and
        # lost tasks after combinations of faults.
        for seed in SEEDS:
            faults = Faults(seed)
            try:
                for _ in range(STEPS):
                    faults.step()
                faults.heal()
                faults.cell.run(step=2.0)
                core = faults.cell.scheduler._core
                self.assertEqual({}, core.table.live)
                for team in ("zimna", "kern"):
                    self.assertEqual(
                        cell.resources.ZERO, core.allowances.used(team), team
                    )
                for name in core.workers:
                    self.assertEqual(cell.CAPACITY, core.index.free(name))
            except Exception as error:
                raise AssertionError(f"seed {seed}") from error
