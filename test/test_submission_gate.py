"""Admission in an entry process: repeats, outages and lost coordinators, with fakes."""

import json

import logbook
import testtools

from test import coordinator_case as case
from test import (
    platform_case,  # noqa: F401  finds the adapter's modules
    test_load_report,
    test_platform_ingress,
)
from toucanspring import errors, metrics, resources
from toucanspring.coordinator import (
    catalogue,
    job_specs,
    load_view,
    metered,
    ports,
    rows,
    submission_gate,
)

import ingress  # isort: skip

JOB = test_platform_ingress.JOB
OTHER = "6c0e7a21d94b36f9"
BODY = {
    "spec": "(text)",
    "phases": [{"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000}],
}
OUTAGE = errors.Unavailable(reason="store")
LOST = errors.Ambiguous(reason="no answer")


class Scheduler(test_platform_ingress.Scheduler):
    """Stores what it accepts; `result` is the failure of writes, if any."""

    def __init__(self):
        super().__init__()
        self.load = load_view.View()
        self.stored = {}
        self.in_memory = set()  # of the coordinator
        self.down = False
        self.reads = 0

    def submit(self, spec, timeout_s):
        known = self.stored.get(spec.id)
        if self.result is None and known is not None:
            same = job_specs.is_same(rows.decode(job_specs.Job, known), spec)
            return None if same else errors.Conflict(reason="another job")
        found = super().submit(spec, timeout_s)
        if found is None or isinstance(found, errors.Ambiguous):
            self.stored[spec.id] = rows.encode(spec)
        return found

    def has_slow_writes(self):
        return self.slow

    def read_job(self, job_id):
        self.reads += 1
        if self.down:
            return OUTAGE
        if job_id not in self.stored:
            return errors.NotFound(reason="no such job")
        row_id = rows.job_row_ids(job_id)[0]
        return ports.Row(row_id, self.stored[job_id], 1)

    def holds(self, job_id, _timeout_s):
        return job_id in self.in_memory


class GateCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.scheduler = Scheduler()
        self.view = test_platform_ingress.View()
        self.kernel = test_platform_ingress.Kernel()
        self.registry = metrics.Service(None, None)
        self.set_ceiling(resources.ZERO)
        self.gates = []
        self.scheduler.doubts = self
        self.ingress = self.start_entry()

    def tell(self, job_id):
        """Pass a doubt on to all processes."""
        for gate in self.gates:
            gate.note_doubt(job_id)

    def start_entry(self):
        """Return another entry process on the same store."""
        meters = metered.Meters(self.registry)
        self.gate = submission_gate.Gate(self.scheduler, meters, lambda: self.now)
        self.gates.append(self.gate)
        return ingress.Ingress(
            self.kernel, self.view, self.scheduler, meters, 65_536, self.gate
        )

    def set_ceiling(self, ceiling):
        queue = catalogue.Queue(
            name="r-1", host="h.example", path_prefix="/q/", pool=case.POOL, priority=2
        )
        team = catalogue.Organisation(
            name="desk", keys=frozenset({"k"}), ceiling=ceiling
        )
        self.view.catalogue = catalogue.Catalogue(
            version=3, queues=(queue,), organisations={"desk": team}
        )

    def overload(self, epoch=1, sequence=1, **changes):
        report = test_load_report.overloaded(epoch, sequence, **changes)
        self.scheduler.load.receive(report, self.now)

    def call(self, job_id=JOB, body=BODY, relay=True, entry=None, timeout_s=2.0):
        request = ingress.Request(
            "POST",
            "h.example",
            f"/q/{job_id}",
            "k",
            json.dumps(body).encode(),
            timeout_s,
            "a1",
        )
        return (entry or self.ingress).serve(request, relay)


class RefusalTest(GateCase):
    def test_a_refused_job_is_not_written(self):
        self.overload()
        answer = self.call()
        self.assertEqual(429, answer.status)
        self.assertGreaterEqual(answer.retry_after_s, 1)
        self.assertEqual([], self.scheduler.jobs)

    def test_without_overload_nothing_is_looked_up(self):
        self.overload(seconds=0)
        self.assertEqual(200, self.call().status)
        self.assertEqual(0, self.scheduler.reads)

    # Guards against a refusal of a job that another process may have accepted: a relay
    # repeats a write whose answer was lost.
    def test_a_relayed_submission_is_never_refused(self):
        self.overload()
        self.assertEqual(200, self.call(relay=False).status)

    def test_a_job_over_the_ceiling_is_refused_until_it_is_raised(self):
        self.set_ceiling(resources.Resources(cpus=400))
        answer = self.call()
        self.assertEqual(429, answer.status)
        self.assertIn(answer.retry_after_s, range(10, 21))
        self.set_ceiling(resources.Resources(cpus=500))
        self.assertEqual(200, self.call().status)

    def test_refusals_are_counted_and_logged_once_a_second(self):
        self.overload()
        with logbook.TestHandler() as handler:
            for number in range(50):
                self.call(f"{number:016x}")
            self.now += 1.0
            self.overload(sequence=2, counted_ms=1000)
            self.call()
        lines = [
            each.extra["decision"]
            for each in handler.records
            if each.message == "job_refused"
        ]
        refused = [each for each in lines if each["reason"] == "overload"]
        self.assertEqual([0, 49], [each["not_logged"] for each in refused])
        text = self.registry.render().decode()
        self.assertIn(
            'toucanspring_admissions_total{decision="overload",queue="r-1"} 51', text
        )


class RepeatTest(GateCase):
    # Guards against "not accepted" for a job that runs: its answer was lost, and the
    # caller returns to another process while the load is high.
    def test_an_accepted_job_is_accepted_again_by_any_process(self):
        self.assertEqual(200, self.call().status)
        self.overload()
        other = self.start_entry()
        self.assertEqual(200, self.call(entry=other).status)
        changed = {**BODY, "spec": "other"}
        self.assertEqual(409, self.call(body=changed, entry=other).status)
        self.assertEqual(429, self.call(OTHER, entry=other).status)
        self.assertEqual(1, len(self.scheduler.jobs))

    # Guards against a refusal while a write of this process may still take effect.
    def test_a_job_that_this_process_may_have_written_is_not_refused(self):
        self.scheduler.result = LOST
        self.assertEqual(504, self.call().status)
        self.scheduler.result = None
        self.scheduler.stored.clear()  # the write is still on its way
        self.assertEqual(200, self.call(OTHER).status)
        self.overload()
        self.assertEqual(200, self.call().status)
        self.assertEqual(429, self.call("7" * 16).status)

    # Guards against "never runs" for a job that another process may have written: its
    # write got no answer and is done seconds later.
    def test_a_job_that_another_process_may_have_written_is_not_refused(self):
        other = self.start_entry()
        self.scheduler.result = LOST
        self.assertEqual(504, self.call().status)
        self.scheduler.result = None
        self.scheduler.stored.clear()  # the write is still on its way
        self.overload()
        self.assertEqual(200, self.call(entry=other).status)
        self.assertEqual(429, self.call("7" * 16, entry=other).status)

    def test_what_cannot_be_looked_up_is_accepted_as_before(self):
        self.overload()
        self.scheduler.down = True
        self.assertEqual(200, self.call().status)

    # Guards against a lookup that overtakes a write in a slow store.
    def test_nothing_is_refused_while_writes_are_slow(self):
        self.overload()
        self.scheduler.slow = True
        accepted = ingress._pack(ingress.Answer(200, b"{}"))
        self.kernel.peers.answers["one"] = accepted
        self.assertEqual(200, self.call().status)
        spec = case.job(JOB)
        self.assertIsInstance(self.gate._find_accepted(spec), errors.Ambiguous)

    def test_a_slow_lookup_permits_no_refusal(self):
        self.overload()
        read = self.scheduler.read_job

        def read_slowly(job_id):
            self.now += submission_gate.MAX_LOOKUP_S + 0.01
            return read(job_id)

        self.scheduler.read_job = read_slowly
        self.assertEqual(200, self.call().status)

    def test_the_memory_of_written_jobs_is_bounded(self):
        self.patch(submission_gate, "MAX_WRITTEN", 10)
        for number in range(50):
            self.gate.note_written(f"{number:016x}", None)
        self.assertEqual(10, len(self.gate._written))
        self.now += submission_gate.WRITTEN_MEMORY_S + 1
        self.gate.note_written(JOB, None)
        self.assertEqual([JOB], list(self.gate._written))


class LostCoordinatorTest(GateCase):
    # Guards against refusals from the last view of a coordinator that died.
    def test_everything_is_accepted_once_the_view_is_old(self):
        self.overload()
        self.now += 1.9
        self.assertEqual(429, self.call().status)
        self.now += 0.2
        self.assertEqual(200, self.call().status)

    def test_the_view_of_the_next_coordinator_counts_at_once(self):
        self.overload()
        self.now += 0.5
        self.overload(epoch=2, seconds=0)
        self.overload(epoch=1, sequence=9)
        self.assertEqual(200, self.call().status)

    def test_two_entries_with_different_views_keep_their_promises(self):
        self.overload()
        refusing = self.ingress
        self.scheduler.load, full = load_view.View(), self.scheduler.load
        accepting = self.start_entry()
        self.assertEqual(200, self.call(entry=accepting).status)
        self.scheduler.load = full
        self.assertEqual(200, self.call(entry=refusing).status)
        self.assertEqual(429, self.call(OTHER, entry=refusing).status)


class OutageTest(GateCase):
    def setUp(self):
        super().setUp()
        self.overload()
        self.scheduler.result, self.scheduler.down = OUTAGE, True

    # Guards against 429 in an outage, when nothing tells whether the ID is known, and
    # against a job that is refused although it runs.
    def test_an_outage_at_the_peak_is_answered_503_or_504(self):
        self.scheduler.in_memory.add(JOB)
        self.assertEqual(504, self.call().status)
        self.assertEqual(503, self.call(OTHER).status)

    def test_a_job_accepted_by_this_process_is_not_refused(self):
        self.scheduler.result, self.scheduler.down = None, False
        self.scheduler.load = load_view.View()
        self.assertEqual(200, self.call().status)
        self.scheduler.result, self.scheduler.down = OUTAGE, True
        self.assertEqual(504, self.call().status)

    # Guards against callers that use up their tries within the outage.
    def test_retry_after_follows_the_time_of_the_outage(self):
        found = {}
        for second in range(8):
            self.now = 100.0 + second
            delays = {
                self.call(f"{number:016x}", timeout_s=20.0).retry_after_s
                for number in range(20)
            }
            found[second] = sorted(delays)
        self.assertEqual([1, 2], found[0])
        self.assertEqual([[3, 4], [2, 3], [1, 2]], [found[n] for n in (1, 2, 3)])
        self.assertEqual([1, 2], found[6])
        self.scheduler.result = None
        self.scheduler.load = load_view.View()
        self.assertEqual(200, self.call(OTHER).status)
        self.scheduler.result = OUTAGE
        self.assertIn(self.call("8" * 16, timeout_s=20.0).retry_after_s, (1, 2))

    # Guards against callers that are told to return after they have given up.
    def test_retry_after_leaves_time_for_another_try(self):
        for second in range(8):
            self.now = 100.0 + second
            self.assertEqual(1, self.call(timeout_s=3.0).retry_after_s)

    # Guards against 1 s in a process that writes nothing, as its configuration is old.
    def test_an_old_view_of_the_configuration_tells_of_the_outage(self):
        self.view.view_age = 2.8
        answer = self.call(timeout_s=20.0)
        self.assertEqual(503, answer.status)
        self.assertIn(answer.retry_after_s, (2, 3))
        self.assertEqual([], self.scheduler.jobs)


class SameJobTest(testtools.TestCase):
    def test_jobs_differ_by_what_the_caller_sent(self):
        one = case.job(JOB)
        self.assertTrue(job_specs.is_same(one, case.job(JOB, accepted_at_ms=5)))
        for changes in ({"payload": "x"}, {"queue": "x"}, {"organisation": "x"}):
            self.assertFalse(job_specs.is_same(one, case.job(JOB, **changes)))
