import random

import testtools

from toucanspring import errors, job
from toucanspring.callers import admission

CHECK, URGENT, DEADLINE, NORMAL, DEFERRABLE = job.JobClass


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.admission = admission.Admission(limit=3)

    def drain(self, now=0.0):
        items = []
        while (item := self.admission.next(now)) is not None:
            items.append((item[0], type(item[1])))
        return items

    def test_classes_are_served_in_order_and_each_oldest_first(self):
        for name, job_class in (("n1", NORMAL), ("n2", NORMAL), ("c", CHECK)):
            self.admission.offer(name, job_class, 9.0, 0.0)
        self.assertEqual(CHECK, self.admission.next_class())
        names = [name for name, _ in self.drain()]
        self.assertEqual(["c", "n1", "n2"], names)
        self.assertIsNone(self.admission.next_class())

    def test_a_full_queue_sheds_the_lowest_class(self):
        # Guards against checks that are refused while less urgent requests are queued.
        for name, job_class in (("d", DEFERRABLE), ("n", NORMAL), ("u", URGENT)):
            self.admission.offer(name, job_class, 9.0, 0.0)
        refused = self.admission.offer("d2", DEFERRABLE, 9.0, 0.0)
        self.assertIsInstance(refused, errors.Overloaded)
        for name in ("c1", "c2", "c3"):
            admitted = self.admission.offer(name, CHECK, 9.0, 0.0)
            self.assertIsInstance(admitted, admission.QueuedRequest)
        refused = self.admission.offer("c4", CHECK, 9.0, 0.0)
        self.assertIsInstance(refused, errors.Overloaded)
        items = self.drain()
        shed = [name for name, kind in items if kind is errors.Overloaded]
        self.assertEqual(["d", "n", "u"], shed)
        admitted = [name for name, kind in items if kind is admission.QueuedRequest]
        self.assertEqual(["c1", "c2", "c3"], admitted)

    def test_expired_requests_are_returned_as_not_run(self):
        # Guards against requests that end without an answer.
        self.admission.offer("a", NORMAL, 1.0, 0.0)
        self.admission.offer("b", NORMAL, 5.0, 0.0)
        self.assertEqual(
            [("a", errors.NotRun), ("b", admission.QueuedRequest)], self.drain(2.0)
        )

    def test_ended_leaves_requests_that_can_still_be_sent(self):
        self.admission.offer("a", NORMAL, 1.0, 0.0)
        self.admission.offer("b", NORMAL, 5.0, 0.0)
        self.assertEqual(["a"], [name for name, _ in self.admission.ended(2.0)])
        self.assertEqual([], self.admission.ended(2.0))
        self.assertEqual([("b", admission.QueuedRequest)], self.drain(2.0))

    def test_memory_is_bounded_with_late_deadlines(self):
        for number in range(1000):
            self.admission.offer(f"r{number}", NORMAL, 1e6, 0.0)
            self.admission.next(0.0)
        self.assertLess(len(self.admission._deadlines), 20)

    def test_requests_that_cannot_meet_their_deadline_are_not_run(self):
        # Guards against slots used for answers that come too late.
        self.admission.offer("a", NORMAL, 5.0, 0.0)
        self.admission.record_service_time(NORMAL, 1.0)
        late = self.admission.offer("b", NORMAL, 1.0, 0.0)
        self.assertIsInstance(late, errors.Overloaded)
        self.assertEqual([("a", errors.NotRun)], self.drain(4.5))

    def test_a_refused_request_returns_to_the_head_of_the_queue(self):
        first = self.admission.offer("a", NORMAL, 9.0, 0.0)
        self.admission.offer("b", NORMAL, 9.0, 0.0)
        self.assertEqual(("a", first), self.admission.next(0.0))
        self.admission.requeue(first)
        self.assertEqual("a", self.admission.next(0.0)[0])

    def test_every_request_is_returned_exactly_once(self):
        # Guards against lost or duplicated requests.
        queue = admission.Admission(limit=20)
        rng = random.Random(2)
        offered, out = [], []
        for number in range(5000):
            now = number * 0.01
            name = f"r{number}"
            job_class = rng.choice(list(job.JobClass))
            result = queue.offer(name, job_class, now + rng.uniform(0.1, 2), now)
            if isinstance(result, admission.QueuedRequest):
                offered.append(name)
            if rng.random() < 0.4:
                item = queue.next(now)
                if item is None:
                    continue
                if isinstance(item[1], admission.QueuedRequest) and rng.random() < 0.3:
                    queue.requeue(item[1])
                elif rng.random() < 0.05 and queue.cancel(offered[-1]):
                    out += [item[0], offered[-1]]
                else:
                    out.append(item[0])
        while (item := queue.next(60.0)) is not None:
            out.append(item[0])
        self.assertEqual(sorted(offered), sorted(out))
        self.assertEqual(0, len(queue))
