import types

import testtools

from toucanspring import kernel, resources
from toucanspring.owners import worker_events, worker_link
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import effects


class Fleet:
    def link(self, _partition, worker):
        vm = types.SimpleNamespace(availability_zone="z1", rack="r1")
        return types.SimpleNamespace(vm=vm) if worker == "w1" else None


class WorkerWatchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        core = kernel.Kernel()
        core.register("fleet", Fleet())
        self.published = []
        for kind in event_kinds.KINDS:
            core.subscribe(kind, self.published.append)
        self.events = worker_events.WorkerEvents(2, 7, core)

    def attach(self, incarnation=1):
        zero = resources.ZERO
        facts = effects.WorkerFacts("w1", incarnation, zero, "z1", "r1")
        self.events.attached(facts)

    def test_a_first_attach_and_a_new_stream_are_not_published(self):
        # Guards against an event for each worker after each takeover.
        self.attach()
        self.attach()
        self.assertEqual([], self.published)

    def test_a_loss_and_the_return_are_published_with_zone_and_rack(self):
        self.attach()
        self.events.lost("w1", 3)
        self.attach()
        self.attach(incarnation=2)
        expected = [
            event_kinds.WorkerLost("w1", "z1", "r1", 2, 3),
            event_kinds.WorkerAttached("w1", "z1", "r1", 2, "lost"),
            event_kinds.WorkerAttached("w1", "z1", "r1", 2, "restarted"),
        ]
        self.assertEqual(expected, self.published)

    def test_the_loss_of_a_worker_without_a_link_is_published(self):
        self.events.lost("w2", 0)
        self.assertEqual([event_kinds.WorkerLost("w2", "", "", 2, 0)], self.published)

    def test_a_refusal_is_published_with_both_epochs(self):
        self.events.refused(worker_link.EpochRefused("w1", 9))
        self.assertEqual([event_kinds.EpochRefused("w1", 2, 7, 9)], self.published)
