import random

import testtools

from test import cell, partitioned
from toucanspring.owners import roster
from toucanspring.scheduling import move_planner

WHOLE = cell.CAPACITY
ROW = roster.WORKERS_ROW


class MoveTest(testtools.TestCase):
    def partitions(self, *counts):
        self.cells = partitioned.Partitions(*counts)
        return self.cells

    def in_need(self, *counts):
        """Return partitions of which the first waits for more workers."""
        p = self.partitions(*counts)
        p.submit(0, "a", demand=WHOLE, task_count=counts[0] + 1)
        return p

    def test_waiting_work_gets_an_idle_worker_of_another_partition(self):
        p = self.in_need(2, 3)
        p.run(4)
        self.assertEqual({0: {"w00", "w01", "w10"}, 1: {"w11", "w12"}}, p.row())
        self.assertEqual(3, p.running("a"))
        self.assertEqual(["w10"], p[1].fleet.closed)

    def test_a_donor_keeps_what_its_own_waiting_work_needs(self):
        # Guards against moving workers away that the own work is about to use.
        p = self.in_need(1, 3)
        p.run(0.5)
        core = p[1].cell.scheduler._core
        core.cordoned_workers = {"w10", "w11", "w12"}
        for name in core.cordoned_workers:
            core.update_schedulable(name, p.clock.now)
        p.submit(1, "own", demand=WHOLE, task_count=3)
        p.run(1)
        self.assertEqual({"w10", "w11", "w12"}, p.row()[1])
        self.assertEqual(3, p.running("own"))

    def test_a_partition_keeps_its_last_worker(self):
        p = self.in_need(1, 1)
        p.run(20)
        self.assertEqual({"w10"}, p.row()[1])

    def test_a_busy_worker_does_not_move_for_waiting_work(self):
        # Guards against work that is stopped or delayed for another partition's work.
        p = self.partitions(1, 2)
        p.submit(1, "own", demand=WHOLE, task_count=2)
        p.run(1)
        p.submit(0, "a", demand=WHOLE, task_count=3)
        p.run(20)
        self.assertEqual({"w10", "w11"}, p.row()[1])
        self.assertEqual(set(), p[1].cordoned_workers)

    def test_a_worker_named_by_an_incomplete_record_stays(self):
        # Guards against a successor that cannot ask the worker about a start or an end
        # that the log does not contain.
        p = self.in_need(1, 3)
        p[1].bound = frozenset({"w10", "w11", "w12"})
        p.run(5)
        p.gang(0, "gang", 3)
        p.run(15)
        self.assertEqual({"w10", "w11", "w12"}, p.row()[1])

    def test_a_worker_that_has_just_attached_counts_before_placement_uses_it(self):
        # Guards against a second worker for a need that is already met.
        p = self.in_need(1, 2)
        p.run(1)
        self.assertEqual(1, len(p[0].mover.capacity_reports()[0].waiting))
        p.write_row({"w00": 0, "w10": 0, "w11": 1})
        p[0].fleet.follow()
        p[0].move()
        self.assertEqual([], p[0].mover.capacity_reports()[0].waiting)

    def return_moved(self):
        """Move one worker, let it become idle, and let its donor need it."""
        p = self.in_need(1, 3)
        p.run(4)
        [task] = p.workers["w10"].running
        p[0].cell.end("w10", task)
        p.submit(1, "b", demand=WHOLE, task_count=3)
        p.run(4)
        return p

    def test_a_moved_worker_moves_for_waiting_work_only_after_a_cooldown(self):
        # Guards against a worker that moves back and forth.
        p = self.return_moved()
        self.assertEqual({"w00", "w10"}, p.row()[0])
        p.run(move_planner.MOVE_COOLDOWN_S)
        self.assertEqual(3, p.running("b"))

    def test_a_moved_worker_moves_at_once_for_a_gang(self):
        p = self.return_moved()
        p[1].cell.cancel("b")
        for name in list(p[1].cell.workers):
            p[1].cell.report(name)
        p.gang(1, "gang", 3)
        p.run(3)
        self.assertEqual(3, p.running("gang"))


class TransactionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cells = p = partitioned.Partitions(1, 3)
        p.submit(0, "a", demand=WHOLE, task_count=2)
        self.donor = p[1]

    def run_until_moving(self, action):
        """Run `action` between a move's checks and its transaction."""
        seen = []

        def act():
            seen.append(True)
            action()

        self.donor.client.before_commit = act
        for _ in range(20):
            if seen:
                return
            self.cells.run(0.5)
        self.fail("no move was tried")

    def test_a_paused_former_donor_moves_nothing(self):
        # Guards against moving a worker on which the successor starts tasks.
        p = self.cells
        self.run_until_moving(lambda: p.take_over(1))
        self.assertEqual({"w10", "w11", "w12"}, p.row()[1])
        p.submit(1, "own", demand=WHOLE, task_count=3)
        p.run(1)
        self.donor.move()
        self.donor.move()
        self.assertEqual({"w10", "w11", "w12"}, p.row()[1])
        self.assertEqual([], self.donor.fleet.closed)

    def test_a_late_transaction_of_a_dead_donor_has_no_effect(self):
        p = self.cells
        self.donor.client.late[ROW] = 1
        self.run_until_moving(lambda: None)
        p.take_over(1)
        self.donor.client.deliver_late()
        self.assertEqual({"w10", "w11", "w12"}, p.row()[1])
        p.run(3)
        self.assertEqual(2, p.running("a"))

    def test_the_successor_of_a_donor_that_died_after_a_move_lets_the_worker_go(self):
        # Guards against starting tasks on a worker of another partition.
        p = self.cells
        self.donor.client.lose[ROW] = 1
        self.run_until_moving(lambda: None)
        p.submit(1, "own", demand=WHOLE, task_count=3)
        p.take_over(1)
        self.assertEqual({"w11", "w12"}, set(p[1].cell.workers))
        p.run(1.5)
        self.assertEqual((2, 2), (p.running("a"), p.running("own")))

    def test_a_worker_in_doubt_is_not_used_until_the_row_is_read(self):
        # Guards against tasks on a worker that may already belong to the receiver.
        p = self.cells
        client = self.donor.client
        client.lose[ROW] = 1
        self.run_until_moving(lambda: None)
        client.down = True
        p[0].paused = True  # its report is no longer received
        p.submit(1, "own", demand=WHOLE, task_count=3)
        p.run(3)
        self.assertEqual({}, p.workers["w10"].running)
        self.assertEqual(2, p.running("own"))
        client.down = False
        p.run(1)
        self.assertEqual(["w10"], self.donor.fleet.closed)

    def test_a_worker_whose_move_certainly_failed_is_used_again(self):
        p = self.cells
        client = self.donor.client
        client.drop[ROW] = 1
        self.run_until_moving(lambda: None)
        p[0].paused = True
        # After this change the lost transaction can never take effect.
        p.write_row({"w00": 0, "w10": 1, "w11": 1, "w12": 1, "w13": 1})
        p.workers["w13"] = cell.Worker("w13", "z0", WHOLE)
        p.submit(1, "own", demand=WHOLE, task_count=4)
        p.run(2)
        self.assertEqual(4, p.running("own"))
        self.assertEqual([], self.donor.fleet.closed)

    def test_a_lost_transaction_is_repeated_until_its_effect_is_known(self):
        # Guards against a move that stays ambiguous because no other process writes the
        # row, and against a delayed first transaction that moves the worker after its
        # return.
        p = self.cells
        self.donor.client.late[ROW] = 1
        self.run_until_moving(lambda: None)
        p.run(2)
        self.donor.client.deliver_late()
        p.run(2)
        self.assertEqual({"w00", "w10"}, p.row()[0])
        self.assertEqual(2, p.running("a"))

    def test_a_late_transaction_before_its_repetition_counts_as_the_move(self):
        # Guards against taking a conflict with the own first attempt for a failure.
        p = self.cells
        client = self.donor.client
        client.late[ROW] = 1
        self.run_until_moving(lambda: None)
        client.before_commit = client.deliver_late
        p.run(2)
        self.assertEqual({"w00", "w10"}, p.row()[0])
        self.assertEqual(["w10"], self.donor.fleet.closed)
        self.assertNotIn("w10", self.donor.cell.workers)

    def test_a_conflict_keeps_what_the_other_writer_changed(self):
        p = self.cells
        p.workers["w13"] = cell.Worker("w13", "z0", WHOLE)
        row = {"w00": 0, "w10": 1, "w11": 1, "w12": 1, "w13": 1}
        self.run_until_moving(lambda: p.write_row(row))
        p.run(2)
        self.assertEqual({0: {"w00", "w10"}, 1: {"w11", "w12", "w13"}}, p.row())

    def test_the_successor_of_a_receiver_uses_the_moved_worker(self):
        p = self.cells
        self.run_until_moving(lambda: setattr(p[0], "paused", True))
        p.run(3)
        self.assertEqual({"w00", "w10"}, p.row()[0])
        former = p.take_over(0)
        self.assertNotIn("w10", former.cell.workers)
        p.run(2)
        self.assertEqual(2, p.running("a"))

    def test_a_report_from_before_a_move_moves_no_second_worker(self):
        # Guards against one more worker for each time that the same need is reported.
        p = self.cells
        self.run_until_moving(lambda: None)
        p[0].paused = True
        # Its report is received but not updated.
        p[0].paused, p[0].step = False, lambda: None
        p.run(5)
        self.assertEqual({"w00", "w10"}, p.row()[0])


class FaultsTest(testtools.TestCase):
    """Combine takeovers, paused former owners and lost writes at random."""

    def submit(self, p, rng):
        for number in range(15):
            partition = rng.choice((0, 0, 1, 2))
            name = f"{partition}-{number}"
            if rng.random() < 0.3:
                p.gang(partition, name, rng.randrange(2, 8))
            else:
                demand = rng.choice((WHOLE, cell.ONE.times(9)))
                count = rng.randrange(1, 9)
                p.submit(partition, name, demand=demand, task_count=count)

    def end_some(self, p, rng, share):
        for owner in p.owners.values():
            for worker in list(owner.cell.workers.values()):
                for task in list(worker.running):
                    if task[0] == str(owner.number) and rng.random() < share:
                        demand = worker.running[task].demand
                        owner.cell.end(worker.name, task, usage=demand)

    def disturb(self, p, rng, former):
        number = rng.randrange(3)
        client = p[number].client
        match rng.randrange(6):
            case 0:
                client.lose[ROW] = 1
            case 1:
                client.drop[ROW] = 1
            case 2:
                client.late[ROW] = 1
            case 3:
                former.append(p.take_over(number))
            case 4:
                client.before_commit = lambda: former.append(p.take_over(number))
            case 5:
                for owner in [*former, *p.owners.values()]:
                    owner.client.deliver_late()
                    owner.client.kept_back.clear()
        for owner in former:
            owner.move()

    def check(self, p):
        """Check that each worker runs tasks of its own partition only."""
        for number, workers in p.row().items():
            for name in workers:
                for task in p.workers[name].running:
                    self.assertEqual(str(number), task[0], (name, task))

    def test_random_faults_lose_no_work_and_mix_no_partitions(self):
        # Guards against two partitions on one worker, and gangs that never start.
        for seed in range(12):
            rng = random.Random(seed)
            p, former = partitioned.Partitions(3, 3, 3), []
            self.submit(p, rng)
            for _ in range(60):
                if rng.random() < 0.4:
                    self.disturb(p, rng, former)
                p.run(0.5)
                self.check(p)
                self.end_some(p, rng, 0.2)
            for _ in range(400):
                p.run(0.5)
                self.check(p)
                self.end_some(p, rng, 0.5)
            names = {name for specs in p.specs.values() for name in specs}
            self.assertEqual(names, p.finished.keys(), seed)
