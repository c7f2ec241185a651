"""Histories of failing runs under changing configurations and coordinators.

A history is drawn from a seed and runs in simulated time. After each event the model
compares the cell with what it has seen itself: which failed runs were reported, which
rows are stored, what the workers run. At the end nothing fails any more, and all jobs
whose queue is configured have to end.
"""

import collections
import random

from test import attempts_observer, attempts_workers
from test import coordinator_case as case
from toucanspring.coordinator import (
    catalogue,
    cell_state,
    planner,
    ports,
    recovery,
    reports,
    rows,
    state,
    table_reader,
    workers,
)

TICK_S = 0.1
DISTURBED_TICKS = 90
SETTLE_TICKS = 150
LOST_AFTER_S = attempts_workers.LEASE_S + 0.5
UNRESPONSIVE_AFTER_S = 0.8
QUEUES = ("first", "second")
MAX_JOBS = 8
FAULTS = ("publish", "take over", "restart", "silent", "busy", "slow", "cancel")


class History:
    """One history; `take_over` begins the time of each coordinator."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 1.0
        self.calm = False
        self.busy_until = 0.0  # starts wait in the queue of orders until then
        self.epoch = 0
        self.counts = collections.Counter()
        self.specs = {}
        self.stored = {}  # progress by job, encoded
        self.stored_failures = {}  # by job, as written with its progress
        self.copies = set()  # jobs of which the coordinator's part has a copy
        self.published = []
        self.publish()
        count = self.rng.randint(3, 6)
        self.fleet = attempts_workers.Fleet(self.rng, map(self._entry, range(count)))
        self.machines = self.fleet.machines
        self.take_over()

    def _entry(self, number):
        return case.entry(f"w{number}", cpus=8000, memory=32_000, rack=f"r{number % 2}")

    def run(self):
        """Run the history; raise `Broken` if an invariant does not hold."""
        for _ in range(DISTURBED_TICKS):
            self._disturb()
            self._tick()
        self.calm = True
        self._settle()
        self.publish(share=1.0)  # the remaining jobs have a queue again
        self._settle()

    def _settle(self):
        """Require that all jobs whose queue is configured end soon."""
        for tick in range(SETTLE_TICKS):
            self._read_configuration()
            self._learn_jobs(1.0)
            self._tick()
            if not self._find_waiting():
                self.counts["longest settling"] = max(
                    self.counts["longest settling"], tick
                )
                return
        raise attempts_workers.Broken(f"left waiting: {self._find_waiting()}")

    def _find_waiting(self):
        return [
            (name, [(each.number, each.wait_reason) for each in record.steps.values()])
            for name, record in self.cell.jobs.items()
            if not record.is_final
            and self.cell.catalogue.queue(record.spec.queue) is not None
        ]

    def _tick(self):
        self.now += TICK_S
        self.fleet.advance(self.now)
        self._poll_all(1.0 if self.calm else 0.7)
        self._send_starts()
        self._run_round()

    # The operators

    def publish(self, share=0.75):
        """Publish a configuration with other attempts, of a share of the queues."""
        queues = [
            case.queue(name, priority=number, max_attempts=self.rng.randint(1, 4))
            for number, name in enumerate(QUEUES)
            if self.rng.random() < share
        ]
        version = len(self.published) + 1
        self.published.append(
            catalogue.Catalogue(
                version=version,
                queues=tuple(queues),
                organisations=case.configure().organisations,
            )
        )

    def _read_configuration(self):
        self.cell.configure(self.published[-1])

    @property
    def _plans(self):
        """Return whether rounds plan: not by a configuration that may be outdated."""
        return self.cell.catalogue.version in (0, self.published[-1].version)

    # Disturbances

    def _disturb(self):
        rng = self.rng
        self._learn_jobs(0.3)
        if rng.random() < 0.25:
            self._submit()
        if rng.random() < 0.4:
            self._read_configuration()
        if rng.random() > 0.3:
            return
        match rng.choice(FAULTS):
            case "publish":
                self.publish()
            case "take over":
                self.take_over()
            case "busy":
                self.busy_until = self.now + rng.choice((0.5, 5.0))
            case "cancel":
                if self.cell.jobs and rng.random() < 0.3:
                    self.cell.cancel(rng.choice(list(self.cell.jobs)), self.now)
            case fault:
                self._disturb_worker(fault)
        self._check()

    def _disturb_worker(self, fault):
        rng = self.rng
        machine = rng.choice(list(self.machines.values()))
        match fault:
            case "restart":
                machine.restart()
                if rng.random() < 0.5:
                    self.cell.register_worker(machine.entry)
            case "silent":
                machine.silent_until = self.now + rng.choice((0.5, 1.5, 5.0))
            case "slow":
                self.cell.workers[machine.entry.id].slow_until = self.now + 4.0

    def _submit(self):
        rng = self.rng
        if len(self.specs) >= MAX_JOBS:
            return
        steps = []
        for number in range(rng.randint(1, 3)):
            changes = {"gang": rng.random() < 0.4, "checkpointing": rng.random() < 0.5}
            changes["max_per_worker"] = rng.choice((0, 0, 1, 2))
            if number and rng.random() < 0.8:
                changes["after"] = (number - 1,)
            cpus = rng.choice((500, 2000, 5000))
            steps.append(case.step(rng.randint(1, 3), cpus=cpus, **changes))
        name = f"{len(self.specs) + 1:016x}"
        # Ages are 0: the wall clock has no influence.
        self.specs[name] = case.job(
            name, *steps, queue=rng.choice(QUEUES), accepted_at_ms=10**15
        )

    def _learn_jobs(self, share):
        """Deliver rows of jobs, known ones too."""
        for spec in self.specs.values():
            if self.rng.random() < share:
                self.cell.accept(spec, self.now)

    # Coordinators

    def take_over(self):
        """Replace the coordinator by one that restores the rows and knows little."""
        rng = self.rng
        if self.epoch:
            for start in self.orders:
                wanted = self.cell.may_order(start.step, start.task, start.run)
                if rng.random() < 0.5 and wanted and start.worker.responsive:
                    self._deliver_start(start)  # its confirmation is lost
        self.epoch += 1
        self.orders = []
        self.stops = []
        self.acks = []
        self.held = {}
        self.cell = cell_state.CellState()
        if rng.random() < 0.7:
            self.cell.configure(rng.choice(self.published))
        self.planner = planner.Planner(self.cell)
        for machine in self.machines.values():
            self.cell.register_worker(machine.entry)
        listed = [
            ports.Row(self._row_id(name), rows.encode(spec), 1)
            for name, spec in self.specs.items()
            if name in self.copies or rng.random() < 0.5
        ]
        progress = {
            rows.progress_row_id(name): ports.Row(rows.progress_row_id(name), value, 1)
            for name, value in self.stored.items()
        }
        snapshot = table_reader.TableSnapshot(progress, 1, {})
        recovery.restore(self.cell, listed, snapshot, self.now)
        self.observer = attempts_observer.Observer(
            self.cell, self.published, self.stored_failures
        )
        self.counts["takeovers"] += 1
        self._check()

    def _row_id(self, name):
        """Return the row of a job that is read: the copy, or one of its own rows."""
        if name in self.copies:
            return rows.job_copy_row_id(name)
        return rows.job_row_ids(name)[0]

    def _run_round(self):
        if self._plans:
            plan = self.planner.plan(self.now)
            for start in plan.starts:
                self.observer.check_start(start)
        stops, self.stops = [*self.stops, *self.cell.stops], []
        self.cell.stops.clear()
        self._check()
        for stop in stops:
            self._send_stop(stop)
        self._commit(plan.starts if self._plans else [])

    def _commit(self, starts):
        """Write the changed jobs; the write or its answer may be lost."""
        rng = self.rng
        dirty = dict(self.cell.dirty)
        self.cell.dirty.clear()
        acks, self.acks = self.acks, []
        failures = self.observer.failures
        puts = {
            name: (rows.encode(state.to_progress(record)), failures.of_job(name))
            for name, record in dirty.items()
        }
        copies = [name for name, record in dirty.items() if not record.has_copy]
        states = {name: record.state for name, record in dirty.items()}
        if not self.calm and rng.random() < 0.3:
            self._poll_all(0.5)  # while the write is in flight
        if not self.calm and puts and rng.random() < 0.06:
            # Rows are written in several transactions, and the last answer is lost.
            count = rng.randint(0, len(puts) + len(copies))
            self._store(dict(list(puts.items())[:count]))
            self.copies.update(copies[: max(0, count - len(puts))])
            self.counts["writes lost"] += 1
            self.take_over()
            return
        self._store(puts)
        self.copies.update(copies)
        for name, record in dirty.items():
            record.durable_state, record.has_copy = states[name], True
        for worker, incarnation, last in acks:
            if worker.incarnation == incarnation:
                worker.acked_end = max(worker.acked_end, last)
        self.orders.extend(starts)
        self._check()

    def _store(self, puts):
        for name, (value, seen) in puts.items():
            old = self.stored.get(name)
            if old is not None:
                before = rows.decode(rows.Progress, old).state
                after = rows.decode(rows.Progress, value).state
                final = state.JobState(before) in state.FINAL_STATES
                attempts_workers.require(
                    not final or before == after, f"{name}: {before} {after}"
                )
            self.stored[name], self.stored_failures[name] = value, seen

    # Orders

    def _send_starts(self):
        orders, self.orders = self.orders, []
        for start in orders:
            if self.now < self.busy_until or (
                not self.calm and self.rng.random() < 0.2
            ):
                self.orders.append(start)
                continue
            self._send_start(start)
            self._check()

    def _send_start(self, start):
        cell, step, task, worker = self.cell, start.step, start.task, start.worker
        machine = self.machines[worker.id]
        if not (cell.may_order(step, task, start.run) and worker.responsive):
            cell.cancel_start(step, task, start.run, self.now)
            return
        fate = self.rng.random() if not self.calm else 1.0
        if machine.is_silent(self.now) or fate < 0.05:
            if not machine.is_silent(self.now) and fate < 0.025:
                self._deliver_start(start)
            worker.backoff_until = self.now + workers.BACKOFF_S
            cell.mark_start_ambiguous(step, task, start.run)
        elif fate < 0.1 or machine.incarnation != worker.entry.incarnation:
            worker.backoff_until = self.now + workers.BACKOFF_S
            cell.cancel_start(step, task, start.run, self.now)
        else:
            self._deliver_start(start)
            cell.confirm_start(step, task, start.run, self.now)

    def _deliver_start(self, start):
        if not self.machines[start.worker.id].is_silent(self.now):
            self.fleet.start(start, self.epoch, self.now, self.calm)

    def _send_stop(self, stop):
        silent = self.machines[stop.worker].is_silent(self.now)
        if silent or (not self.calm and self.rng.random() < 0.1):
            if self.rng.random() < 0.5:
                self.stops.append(stop)  # else the order is dropped
            return
        self.fleet.stop(stop, self.now)
        self.cell.confirm_stop(stop.worker, stop.task, stop.run, self.now)

    # Polls

    def _poll_all(self, share):
        held, self.held = self.held, {}
        for name, (reply, sent_at) in held.items():
            self._apply_reply(name, reply, sent_at)
        for name, machine in self.machines.items():
            worker = self.cell.workers[name]
            silent_s = self.now - machine.answered_at
            if silent_s > UNRESPONSIVE_AFTER_S:
                worker.responsive = False
            if silent_s > LOST_AFTER_S and (worker.allocations or worker.unknown_tasks):
                reports.mark_lost(self.cell, worker, self.now)
                self._check()
            if machine.is_silent(self.now) or self.rng.random() >= share:
                continue
            if machine.entry is not worker.entry:
                self.cell.register_worker(machine.entry)
            known = worker.incarnation == machine.incarnation
            acked = worker.acked_end if known else 0
            reply = self.fleet.poll(name, self.epoch, acked, self.now)
            if not self.calm and self.rng.random() < 0.3:
                self.held[name] = reply, self.now
                continue
            self._apply_reply(name, reply, self.now)

    def _apply_reply(self, name, reply, sent_at):
        worker = self.cell.workers[name]
        first = worker.acked_end if reply.incarnation == worker.incarnation else 0
        for end in reply.ended:
            if end.outcome == "failed" and end.number > first:
                self.observer.see(name, end)
        reports.apply_poll_reply(self.cell, worker, reply, sent_at, self.now)
        last = max((end.number for end in reply.ended), default=0)
        if last > worker.acked_end:
            self.acks.append((worker, reply.incarnation, last))
        self._check()

    def _check(self):
        for record in self.observer.check():
            self.counts[record.state.value] += 1
