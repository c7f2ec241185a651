"""Tests of placement on workers of unequal speed."""

import random

import testtools

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import placement, planner, plans
from toucanspring.policy import speeds

JOB = "0" * 16
FAST, SLOW = 1.7, 0.7


def entries(count=12, cpus=4000):
    return [
        case.entry(
            f"w{n}", cpus=cpus, labels=frozenset({"b" if is_fast(n) else "a", f"r{n}"})
        )
        for n in range(count)
    ]


def is_fast(number):
    return number % 3 == 0


def teach(cell, fast=FAST, slow=SLOW):
    """Let the cell learn the speeds of its workers by samples with a spread."""
    rng = random.Random(1)
    for _ in range(speeds.MAX_SAMPLES * 12):
        for worker in cell.workers.values():
            speed = fast if "b" in worker.entry.labels else slow
            cell.speeds.observe(worker.id, worker.kind, speed * rng.uniform(0.85, 1.15))


class UnequalSpeedsTest(testtools.TestCase):
    def new_cell(self, learned=True, queue=None, count=12):
        cell = case.new_cell(
            *entries(count), catalogue_=case.configure(queue or case.queue())
        )
        if learned:
            teach(cell)
        return cell

    def place(self, cell, *steps, now=1.0, cell_planner=None, job_id=JOB):
        cell.accept(case.job(job_id, *steps), now)
        cell_planner = cell_planner or planner.Planner(cell)
        return self.workers_of(cell_planner.plan(now))

    def workers_of(self, plan):
        return [int(start.worker.id[1:]) for start in plan.starts]

    def fill(self, cell, numbers):
        for number in numbers:
            worker = cell.workers[f"w{number}"]
            worker.used = worker.entry.capacity

    def test_a_gang_is_placed_on_fast_workers_only(self):
        # Guards against members that wait for one on a slow worker. Without learned
        # speeds the gang is spread over the first workers.
        gang = case.step(8, cpus=2000, gang=True)
        self.assertTrue(all(map(is_fast, self.place(self.new_cell(), gang))))
        before = self.place(self.new_cell(learned=False), gang)
        self.assertFalse(all(map(is_fast, before)))

    def test_a_gang_does_not_wait_for_fast_workers(self):
        # Guards against a gang that is idle while slow workers have room.
        cell = self.new_cell()
        self.fill(cell, [0, 3, 6])
        placed = self.place(cell, case.step(8, cpus=2000, gang=True))
        self.assertEqual(8, len(placed))
        self.assertFalse(any(map(is_fast, placed)))

    def test_a_gang_that_fits_no_class_is_placed_across_classes(self):
        # Guards against a gang that waits for ever since it is wider than a class.
        placed = self.place(self.new_cell(), case.step(20, cpus=2000, gang=True))
        self.assertEqual(20, len(placed))

    def test_more_capacity_never_serves_less(self):
        # Guards against a class with little room that hides the room of all workers.
        rng = random.Random(4)
        known = self.new_cell().speeds
        for _ in range(200):
            cell = self.new_cell(learned=False)
            cell.speeds = known
            self.fill(cell, rng.sample(range(12), rng.randrange(12)))
            step = case.step(rng.randrange(1, 24), cpus=2000, gang=True)
            cell.accept(case.job(JOB, step), 1.0)
            step_run = cell.jobs[JOB].steps[0, 0]
            all_workers = list(cell.workers.values())
            blind = placement.place_gang(step_run, all_workers, {})
            found = placement.choose_gang(step_run, all_workers, cell, lambda _: 0.0)
            self.assertEqual(blind is None, found is None)

    def test_a_gang_waits_for_tickets_of_fast_workers_only_if_it_gains(self):
        # Guards against a request for approval that takes longer than it saves.
        cell = self.new_cell()
        cell.accept(case.job(JOB, case.step(4, cpus=2000, gang=True)), 1.0)
        step_run = cell.jobs[JOB].steps[0, 0]

        def choose(delay_s):
            def find_delay(chosen):
                return delay_s * any("b" in each.entry.labels for each, _ in chosen)

            chosen = placement.choose_gang(
                step_run, list(cell.workers.values()), cell, find_delay
            )
            return {"b" in each.entry.labels for each, _ in chosen}

        # A second at nominal speed takes about 0.84 s longer on slow workers.
        self.assertEqual({True}, choose(0.6))
        self.assertEqual({False}, choose(1.2))

    def test_work_with_slack_is_placed_as_before(self):
        # Guards against a preference that packs wide work worse for no gain.
        queue = case.queue(stretch=10.0)
        placed = self.place(self.new_cell(queue=queue), case.step(16, cpus=1000))
        before = self.place(
            self.new_cell(learned=False, queue=queue), case.step(16, cpus=1000)
        )
        self.assertEqual(before, placed)

    def test_work_with_slack_uses_fast_workers_if_others_are_full(self):
        # Guards against preference that leaves workers idle.
        cell = self.new_cell(queue=case.queue(stretch=10.0))
        self.assertEqual(48, len(self.place(cell, case.step(48, cpus=1000))))

    def test_work_with_little_slack_gets_fast_workers(self):
        # Guards against jobs that end late on slow workers though fast ones are free.
        cell = self.new_cell(queue=case.queue(stretch=1.0, target_s=0.1))
        placed = self.place(cell, case.step(4, cpus=1000))
        self.assertTrue(all(map(is_fast, placed)))

    def test_the_chain_of_the_whole_job_counts(self):
        # Guards against judging the first step of a long chain by itself.
        queue = case.queue(stretch=1.3, target_s=2.5)
        cells = [self.new_cell(queue=queue) for _ in range(2)]
        for cell in cells:  # a slow worker is the best fit
            cell.workers["w1"].used = resources.Resources(1000, 0, 0)
        alone = self.place(cells[0], case.step(3, cpus=1000))
        self.assertEqual([1, 1, 1], alone)
        steps = [
            case.step(3, cpus=1000),
            *(case.step(1, cpus=1000, after=(n,)) for n in range(3)),
        ]
        placed = self.place(cells[1], *steps)
        self.assertTrue(all(map(is_fast, placed)))

    def test_equal_workers_are_filled_as_before(self):
        # Guards against a placement that changes with noise: best fit by CPUs.
        rng = random.Random(7)
        cells = self.new_cell(learned=False), self.new_cell(learned=False)
        teach(cells[1], fast=1.0, slow=1.0)
        planners = [planner.Planner(each) for each in cells]
        for number in range(40):
            step = case.step(
                rng.randrange(1, 6), cpus=rng.randrange(500, 2000, 100),
                gang=rng.random() < 0.4,
            )  # fmt: skip
            found = [
                self.place(
                    each, step, now=1.0 + number, cell_planner=cell_planner,
                    job_id=f"{number:016x}",
                )
                for each, cell_planner in zip(cells, planners, strict=True)
            ]  # fmt: skip
            self.assertEqual(*found)

    def test_samples_of_progress_teach_the_speeds(self):
        # Guards against speeds that are never learned from reports.
        cell = self.new_cell(learned=False)
        cell_planner = planner.Planner(cell)
        rng, now = random.Random(5), 1.0
        for number in range(40):
            self.place(
                cell, case.step(12, cpus=4000), now=now, cell_planner=cell_planner,
                job_id=f"{number:016x}",
            )  # fmt: skip
            for worker in list(cell.workers.values()):
                for allocation in worker.allocations.values():
                    case.confirm(
                        cell,
                        plans.Plan(
                            [
                                plans.Start(
                                    allocation.step, allocation.task, worker, 1, "", 0.0
                                )
                            ]
                        ),
                        now,
                    )
            # The first end of a step has no others to compare with.
            shuffled = rng.sample(sorted(cell.workers.items()), len(cell.workers))
            for name, worker in sorted(
                shuffled, key=lambda each: "b" not in each[1].entry.labels
            ):
                took_s = 1 / (FAST if "b" in worker.entry.labels else SLOW)
                ends = [
                    case.ended(number + 1, task) for task in list(worker.allocations)
                ]
                case.poll(cell, name, ended=ends, now=now + took_s)
                worker.acked_end = number + 1
            now += 2.0
        self.assertEqual([8, 4], [count for count, _ in cell.speeds.summarise()])
        worker = cell.workers["w0"]
        # A restart under the ID starts anew.
        case.poll(cell, "w0", now=now, incarnation=2)
        self.assertNotIn("w0", cell.speeds._samples)
        self.assertEqual(1, cell.speeds.rank("w0", worker.kind))


class TailSamplesTest(testtools.TestCase):
    """A step of two tasks, of which one takes seven times as long as the other."""

    # Guards against a worker that counts as slow since one of its tasks is in the tail:
    # it runs for several polls, each of which gave a sample.
    def test_a_run_gives_one_sample_of_its_worker(self):
        cell = case.new_cell(*entries(2, cpus=1000))
        cell.accept(case.job(JOB, case.step(2, checkpointing=True)), 0.0)
        plan = planner.Planner(cell).plan(1.0)
        case.confirm(cell, plan, 1.0)
        samples = []
        cell.speeds.observe = lambda worker, _kind, speed: samples.append(worker)
        names = {start.task.index: start.worker.id for start in plan.starts}
        for number in range(1, 8):
            now = 1.0 + number
            row = case.running(f"{JOB}.0.0.0", percent=number * 10)
            case.poll(cell, names[0], running=[row], now=now)
            row = case.running(f"{JOB}.0.0.1", percent=number)
            case.poll(cell, names[1], running=[row], now=now)
        self.assertEqual([], samples)
        for index, name in names.items():
            end = case.ended(1, f"{JOB}.0.0.{index}")
            case.poll(cell, name, ended=[end], now=9.0)
        self.assertEqual(sorted(names.values()), sorted(samples))
