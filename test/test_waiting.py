import random

import testtools

from toucanspring import job
from toucanspring.scheduling import waiting


def make_spec(name, job_class="normal", team="t", deadline=None, run=10.0):
    return job.JobSpec(
        id=name,
        name=name,
        team=team,
        job_class=job.JobClass(job_class),
        deadline_seconds=deadline,
        run_seconds=run,
    )


class WaitingQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.queue = waiting.WaitingQueue()

    def order(self, team="t", now=None):
        return [group.spec.id for group in self.queue.next_groups(team, now)]

    def test_classes_are_served_in_order(self):
        for job_class in reversed(job.JobClass):
            deadline = 3600.0 if job_class == job.JobClass.DEADLINE else None
            self.queue.add(make_spec(job_class, job_class, deadline=deadline), [0], 0.0)
        self.assertEqual([str(job_class) for job_class in job.JobClass], self.order())

    def test_deadline_jobs_are_ordered_by_latest_start(self):
        # Guards against an earlier job with slack that makes another miss its deadline.
        self.queue.add(make_spec("late", "deadline", deadline=900.0), [0], 0.0)
        self.queue.add(make_spec("long", "deadline", deadline=800.0, run=700), [0], 1.0)
        self.queue.add(make_spec("soon", "deadline", deadline=300.0), [0], 2.0)
        self.assertEqual(["long", "soon", "late"], self.order())
        self.assertEqual(["soon", "late", "long"], self.order(now=150.0))

    def test_no_class_starves(self):
        # Guards against a steady flow of a higher class that starves a lower one.
        self.queue.add(make_spec("old", "deferrable"), [0], 0.0)
        self.queue.add(make_spec("young", "normal"), [0], 3000.0)
        self.assertEqual(["young", "old"], self.order())
        self.queue.remove("young")
        for job_class in ("check", "urgent", "deadline", "normal"):
            self.queue.add(make_spec(job_class, job_class, deadline=60.0), [0], 5000.0)
        self.assertEqual("old", self.order()[0])

    def test_a_job_with_many_tasks_is_one_entry(self):
        self.queue.add(make_spec("wide"), range(10_000), 0.0)
        self.assertEqual(1, len(self.queue))
        self.assertEqual([0, 1, 2], self.queue.take("wide", 3))
        self.assertEqual(9997, len(self.queue.take("wide", 20_000)))
        self.assertEqual([], self.queue.teams())

    def test_a_requeued_task_keeps_the_position_of_its_job(self):
        # Guards against tasks of lost workers that go to the end of the queue.
        first, second = make_spec("first"), make_spec("second")
        self.queue.add(first, [0, 1], 0.0)
        self.queue.add(second, [0], 1.0)
        self.queue.take("first", 1)
        self.queue.requeue(first, 0, 9.0)
        self.assertEqual(["first", "second"], self.order())
        self.assertEqual([0, 1], self.queue.take("first", 2))
        self.queue.requeue(first, 1, 9.0, accepted_at=0.0)
        self.assertEqual(["first", "second"], self.order())

    def test_oldest_wait_counts_from_the_first_group(self):
        self.assertEqual(0.0, self.queue.oldest_wait(5.0))
        self.queue.add(make_spec("a"), [0], 1.0)
        self.queue.add(make_spec("b"), [0], 4.0)
        self.assertEqual(4.0, self.queue.oldest_wait(5.0))

    def test_taking_during_iteration_and_random_use_lose_no_task(self):
        # Guards against tasks that are lost or taken twice.
        rng = random.Random(5)
        added, taken = set(), []
        for number in range(2000):
            name = f"j{number}"
            job_class = rng.choice(list(job.JobClass))
            team = rng.choice("ab")
            spec = make_spec(name, job_class, team, deadline=rng.uniform(20, 900))
            indices = range(rng.randrange(1, 4))
            self.queue.add(spec, indices, float(number))
            added |= {(name, index) for index in indices}
            if number % 3 == 0:
                for group in self.queue.next_groups(rng.choice("ab")):
                    for index in self.queue.take(group.spec.id, rng.randrange(3)):
                        if rng.random() < 0.2:
                            self.queue.requeue(group.spec, index, float(number))
                        else:
                            taken.append((group.spec.id, index))
                    if rng.random() < 0.5:
                        break
        for team in list(self.queue.teams()):
            for group in self.queue.next_groups(team):
                taken += [
                    (group.spec.id, index) for index in self.queue.remove(group.spec.id)
                ]
        self.assertEqual(sorted(added), sorted(taken))
        self.assertEqual(0, len(self.queue))
