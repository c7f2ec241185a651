import dataclasses

import testtools

from toucanspring import kernel


@dataclasses.dataclass(frozen=True)
class SampleEvent:
    value: int


class RecordingService:
    def __init__(self, name, calls):
        self.name = name
        self.calls = calls

    def start(self):
        self.calls.append(f"start {self.name}")

    def stop(self):
        self.calls.append(f"stop {self.name}")


class KernelTest(testtools.TestCase):
    def test_services_stop_in_reverse_order_of_start(self):
        # Guards against a service that runs after one that it depends on has stopped.
        calls = []
        core = kernel.Kernel()
        core.register("store", RecordingService("store", calls))
        core.register("peers", RecordingService("peers", calls))
        with core:
            pass
        self.assertEqual(
            ["start store", "start peers", "stop peers", "stop store"], calls
        )

    def test_find_rejects_an_unknown_name(self):
        self.assertRaises(kernel.UnknownService, kernel.Kernel().find, "absent")

    def test_register_rejects_a_name_twice(self):
        core = kernel.Kernel()
        core.register("store", RecordingService("store", []))
        self.assertRaises(
            kernel.DuplicateService,
            core.register,
            "store",
            RecordingService("store", []),
        )

    def test_a_failing_listener_does_not_stop_the_others(self):
        # Guards against a plugin whose failure keeps events from the others.
        core = kernel.Kernel()
        seen = []
        core.subscribe(SampleEvent, lambda event: 1 / 0)
        core.subscribe(SampleEvent, seen.append)
        core.publish(SampleEvent(3))
        self.assertEqual([SampleEvent(3)], seen)
