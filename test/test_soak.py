"""The soak's proxy, its in-memory workers and the invariants that it checks."""

import pathlib
import random
import signal
import tempfile
import time
import tomllib

import gevent
import testtools
from gevent import server, socket

from soak import __main__ as soak
from soak import blackouts, callers, cell, faults, invariants, proxy
from standins import lease_workers, ports
from test import coordinator_case as case
from toucanspring import errors, resources
from toucanspring.coordinator import candidacy, job_specs
from toucanspring.coordinator import ports as coordinator_ports

import directory  # isort: skip  from the adapter, which `soak.cell` puts on the path

JOB = "0" * 16
TASK = f"{JOB}.0.0.0"
ENDS_WITHIN_S = 60.0  # a process without settings, on a busy machine
# As drawn with 4 processes and 2 workers before there was a second version.
FIRST_FAULTS_OF_101 = [
    faults.End(("entry-2",), signal.SIGTERM),
    faults.WorkerCrash("w1"),
    faults.WorkerSilent("w1"),
]
# As drawn before there was a third version.
FIRST_SECOND_FAULTS_OF_2605 = [
    faults.OddEntries(("deep unknown", "deep", "open", "null"), faults.OddEnd.REMOVED),
    faults.SlowLinks(
        (
            "store of entry-4",
            "store of entry-2",
            "store of entry-3",
            "store of entry-1",
        ),
        43.9,
    ),
    faults.SpoiledEntry("w1", "null"),
]
FIRST_JOB_OF_2605 = "72045a017d5b58c6"


def echo(sock, _address):
    while block := sock.recv(100):
        sock.sendall(block)


class ProxyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        first = ports.find_ports(2)
        target = server.StreamServer(("127.0.0.1", first), echo)
        target.start()
        self.addCleanup(target.stop, timeout=0)
        self.proxy = proxy.Proxy(first + 1, ("127.0.0.1", first))
        self.proxy.__enter__()
        self.addCleanup(self.proxy.__exit__)
        self.address = ("127.0.0.1", first + 1)

    def connect(self):
        sock = socket.create_connection(self.address, 2.0)
        self.addCleanup(sock.close)
        sock.settimeout(0.2)
        return sock

    def ask(self, sock):
        try:
            sock.sendall(b"x")
            return sock.recv(10)
        except TimeoutError:
            return "silent"
        except ConnectionError:
            return "reset"

    def test_bytes_pass(self):
        self.assertEqual(b"x", self.ask(self.connect()))

    def test_a_cut_holds_bytes_back_until_it_ends(self):
        for cut in (
            proxy.Cut(),
            proxy.Cut(to_client=False),
            proxy.Cut(to_target=False),
        ):
            sock = self.connect()
            self.proxy.set_mode(cut)
            self.assertEqual("silent", self.ask(sock))
            self.proxy.set_mode(proxy.Pass())
            sock.settimeout(2.0)
            self.assertEqual(b"x", sock.recv(1))

    def test_a_reset_ends_open_and_new_connections(self):
        sock = self.connect()
        self.assertEqual(b"x", self.ask(sock))
        self.proxy.set_mode(proxy.Reset())
        gevent.sleep(0.05)
        self.assertIn(self.ask(sock), ("reset", b""))
        self.assertIn(self.ask(self.connect()), ("reset", b""))

    def test_a_silenced_connection_stays_silent_while_new_ones_work(self):
        sock = self.connect()
        self.assertEqual(b"x", self.ask(sock))
        self.proxy.silence()
        self.assertEqual("silent", self.ask(sock))
        self.assertEqual(b"x", self.ask(self.connect()))


class SlowLinkTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.slept_s = 0.0
        self.patch(proxy, "time", self)
        self.patch(proxy.gevent, "sleep", self.sleep)

    def monotonic(self):
        return self.slept_s

    def sleep(self, seconds):
        self.slept_s += seconds

    def test_both_directions_share_the_bytes_of_a_second(self):
        first, second = socket.socketpair()
        for sock in (first, second):
            self.addCleanup(sock.close)
        shared = proxy.Proxy(0, ("127.0.0.1", 0))
        shared.link = proxy.SlowLink(10_000)
        for sink, source in ((first, second), (second, first)):
            shared._send(sink, b"x" * 10_000)
            received = 0
            while received < 10_000:
                received += len(source.recv(10_000))
        self.assertAlmostEqual(2.0, self.slept_s)

    def test_a_transfer_is_fast_again_once_the_link_is(self):
        first, second = socket.socketpair()
        for sock in (first, second):
            self.addCleanup(sock.close)
        shared = proxy.Proxy(0, ("127.0.0.1", 0))
        shared.link = proxy.SlowLink(proxy.SLICE_BYTES)

        def lift(seconds):
            self.slept_s += seconds
            shared.link = None

        self.patch(proxy.gevent, "sleep", lift)
        shared._send(first, b"x" * 10_000)
        self.assertAlmostEqual(1.0, self.slept_s)


class SecondSeriesTest(testtools.TestCase):
    """Guards against faults that are drawn and have no effect."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def make_cell(self, capacity_rng=None):
        running = cell.Cell(random.Random(1), self.folder, 4, 2, capacity_rng)
        self.addCleanup(running.__exit__)
        return running

    def read_entry(self, running, name):
        page = running.store.read("servers", "", "", "", 100)
        found = {row.id.key: row.value for row in page.rows}
        if name not in found:
            return None
        return directory.decode_executor(name, found[name])

    def read_limits(self):
        settings = [
            tomllib.loads(path.read_text()) for path in self.folder.glob("*.toml")
        ]
        return [each.get("limits") for each in settings]

    def test_one_or_two_processes_are_strong_and_the_seed_chooses_them(self):
        running = self.make_cell(random.Random(3))
        limits = self.read_limits()
        self.assertEqual(4, len(limits))
        strong = [each for each in limits if each["link_mbps"] == 1000]
        self.assertIn(len(strong), (1, 2))
        for each in limits:
            names = {"cpu_share", "cores", "link_mbps", "memory_mb"}
            self.assertEqual(names, set(each))
        strengths = [
            candidacy.find_strength(
                each["cpu_share"] * each["cores"], each["link_mbps"]
            )
            for each in limits
        ]
        weak = [candidacy.is_weak(strength, strengths) for strength in strengths]
        self.assertEqual(4 - len(strong), sum(weak))
        names = running.daemons
        chosen = [cell.choose_capacities(random.Random(s), names) for s in (3, 3, 4)]
        self.assertEqual(running.capacities, chosen[0])
        self.assertEqual(chosen[0], chosen[1])
        self.assertNotEqual(chosen[0], chosen[2])

    def test_a_seed_of_the_first_version_plays_what_it_played(self):
        running = self.make_cell()
        self.assertEqual([None] * 4, self.read_limits())
        rng = random.Random(101)
        first = [faults.choose_fault(rng, running) for _ in range(3)]
        self.assertEqual(FIRST_FAULTS_OF_101, first)
        versions = soak.read_known_seeds()
        self.assertEqual([1] * 4, [versions[seed] for seed in (101, 102, 104, 303)])

    def test_a_seed_of_the_second_version_plays_what_it_played(self):
        running = self.make_cell()
        rng = random.Random("second series of 2605")
        first = [faults.choose_second_fault(rng, running) for _ in range(3)]
        self.assertEqual(FIRST_SECOND_FAULTS_OF_2605, first)
        self.assertEqual(2, soak.read_known_seeds()[2605])
        self.assertEqual({"jobs": 3}, running.attempts)
        drawn = [
            callers.Callers(running, random.Random(2607), kind_rng)._generate_job()
            for kind_rng in (None, random.Random(1))
        ]
        self.assertEqual([FIRST_JOB_OF_2605] * 2, [each.id for each in drawn])
        self.assertEqual("jobs", drawn[0].queue)
        self.assertFalse(any(step.gang for step in drawn[0].steps))

    def test_each_kind_is_drawn(self):
        running = self.make_cell()
        rng = random.Random(1)
        drawn = [faults.choose_second_fault(rng, running) for _ in range(1000)]
        slow = [each for each in drawn if isinstance(each, faults.SlowLinks)]
        odd = [each for each in drawn if isinstance(each, faults.OddEntries)]
        spoiled = [each for each in drawn if isinstance(each, faults.SpoiledEntry)]
        self.assertEqual({1, 2, 3, 4}, {len(each.names) for each in slow})
        self.assertEqual(set(faults.OddEnd), {each.end for each in odd})
        kinds = set(running.odd_kinds)
        self.assertEqual(kinds, {kind for each in odd for kind in each.kinds})
        self.assertEqual(kinds, {each.kind for each in spoiled})
        self.assertEqual({"w0", "w1"}, {each.name for each in spoiled})

    def test_a_slow_link_ends_unless_a_later_one_has_replaced_it(self):
        running = self.make_cell()
        injector = faults.FaultInjector(running, random.Random(1))
        link = running.proxies["store of entry-1"]
        fault = faults.SlowLinks(("store of entry-1",), 20.0)
        slow = gevent.spawn(injector.inject, fault, 0.02)
        gevent.sleep(0)
        self.assertIsNotNone(link.link)
        later = link.link = proxy.SlowLink(1000)
        slow.get()
        self.assertIs(later, link.link)
        link.link = None
        injector.inject(fault, 0.02)
        self.assertIsNone(link.link)

    def test_each_odd_entry_is_unreadable_until_it_is_mended_or_removed(self):
        running = self.make_cell()
        injector = faults.FaultInjector(running, random.Random(1))
        good = self.read_entry(running, "w0")
        for kind in running.odd_kinds:
            name = f"odd-{kind.replace(' ', '-')}"
            for end in faults.OddEnd:
                fault = faults.OddEntries((kind,), end)
                written = gevent.spawn(injector.inject, fault, 0.01)
                gevent.sleep(0)
                entry = self.read_entry(running, name)
                self.assertIsInstance(entry, errors.Malformed, kind)
                written.get()
                entry = self.read_entry(running, name)
                match end:
                    case faults.OddEnd.REMOVED:
                        self.assertIsNone(entry)
                    case faults.OddEnd.MENDED:
                        self.assertTrue(entry.draining)
                    case faults.OddEnd.LEFT:
                        self.assertIsInstance(entry, errors.Malformed)
        self.assertEqual(good, self.read_entry(running, "w0"))

    def test_a_spoiled_entry_is_written_again_unless_its_worker_is_silent(self):
        running = self.make_cell()
        self.patch(faults, "MOMENT_S", 0.01)
        injector = faults.FaultInjector(running, random.Random(1))
        good = self.read_entry(running, "w0")
        spoiled = gevent.spawn(injector.inject, faults.SpoiledEntry("w0", "deep"), 0)
        gevent.sleep(0)
        self.assertIsInstance(self.read_entry(running, "w0"), errors.Malformed)
        spoiled.get()
        self.assertEqual(good, self.read_entry(running, "w0"))
        running.workers.silent.add("w0")
        injector.inject(faults.SpoiledEntry("w0", "deep"), 0)
        self.assertIsInstance(self.read_entry(running, "w0"), errors.Malformed)

    def test_a_process_that_ends_by_itself_is_a_violation(self):
        running = cell.Cell(random.Random(1), self.folder, 1, 1)
        (self.folder / "entry-1.toml").write_text("no settings")
        with running, gevent.Timeout(ENDS_WITHIN_S):
            while not running.checker.violations:
                gevent.sleep(0.05)
        self.assertIn("entry-1 ended with", running.checker.violations[0])


class AcknowledgedEndTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.workers = lease_workers.LeaseWorkers(run_s=0.0)
        self.entry = case.entry("w1")
        self.workers.add(self.entry)
        step = job_specs.Step(count=1, demand=resources.Resources(100, 100, 0))
        self.workers.jobs[JOB] = case.job(JOB, step)

    def run_once(self):
        order = coordinator_ports.Start(
            task=TASK, run=1, payload="", lease_until_ms=5000, epoch=1
        )
        self.workers.start(self.entry, order)
        [end] = self.workers.poll(self.entry, 1, 0, None, 0).ended
        return end.number

    def test_an_end_acknowledged_under_the_lease_counts(self):
        number = self.run_once()
        self.workers.poll(self.entry, 1, number, None, 0)
        self.assertEqual({TASK}, self.workers.acknowledged)

    def test_an_end_acknowledged_after_the_lease_does_not_count(self):
        # Found by the soak, seed 303: the worker was silent beyond its lease.
        number = self.run_once()
        self.workers.incarnations["w1"].lease_until_ms = 1
        self.workers.poll(self.entry, 1, number, None, 0)
        self.assertEqual(set(), self.workers.acknowledged)


class SeedsTest(testtools.TestCase):
    def test_each_known_seed_has_a_cause(self):
        lines = soak.SEEDS_FILE.read_text().splitlines()
        self.assertEqual(len(lines), len(soak.read_known_seeds()))
        self.assertTrue(all(len(line.split()) > 4 for line in lines))


class InvariantCheckerTest(testtools.TestCase):
    """Each test guards against a violation that the checker would miss."""

    def setUp(self):
        super().setUp()
        self.workers = lease_workers.LeaseWorkers()
        self.checker = invariants.InvariantChecker(self.workers)
        step = job_specs.Step(count=1, demand=resources.Resources(100, 100, 0))
        self.spec = job_specs.Job(
            id=JOB, queue="jobs", organisation="team", payload="p", steps=(step,)
        )
        self.submitted = self.checker.add_job(self.spec)

    def test_a_start_of_a_job_that_was_not_submitted(self):
        self.assertEqual("", self.checker.check_start(TASK, "p", "a"))
        self.assertIn(
            "no such job was submitted",
            self.checker.check_start("f" * 16 + ".0.0.0", "p", "a"),
        )
        self.assertIn(
            "no such job was submitted", self.checker.check_start(TASK, "other", "a")
        )

    def test_a_start_after_a_refusal_and_a_refusal_after_a_start(self):
        self.submitted.acceptance = invariants.Acceptance.REFUSED
        self.assertIn("refused", self.checker.check_start(TASK, "p", "a"))
        self.checker.record_refusal(self.submitted)
        self.assertIn("had started", self.checker.violations[0])

    def test_a_start_long_after_a_cancellation_or_in_a_zone_out_of_service(self):
        long_ago = time.monotonic() - 60
        self.checker.zones_out_since["a"] = long_ago
        self.assertIn("zone", self.checker.check_start(TASK, "p", "a"))
        self.submitted.cancelled_at = long_ago
        self.assertIn("cancelled", self.checker.check_start(TASK, "p", "b"))

    def test_outcomes_without_cause(self):
        for shown, text in (
            ("completed", "without"),
            ("failed", "without cause"),
            ("cancelled", "without a request"),
        ):
            self.checker.record_state(self.checker.add_job(self.spec), shown)
            self.assertIn(text, self.checker.violations[-1])

    def test_a_job_without_an_answer_that_has_a_state_counts_as_accepted(self):
        self.submitted.acceptance = invariants.Acceptance.UNKNOWN
        self.assertEqual([], self.checker.unfinished())
        self.checker.record_state(self.submitted, "active")
        self.assertEqual([JOB], self.checker.unfinished())
        self.checker.record_unknown(self.submitted)
        self.assertIn("unknown now", self.checker.violations[0])

    def test_an_outcome_that_changes(self):
        self.workers.done[TASK] = 1
        self.checker.record_state(self.submitted, "completed")
        self.assertEqual([], self.checker.violations)
        self.checker.record_state(self.submitted, "active")
        self.assertIn("then active", self.checker.violations[0])

    def test_an_accepted_job_that_is_unknown_or_never_done(self):
        self.checker.record_unknown(self.submitted)
        self.assertEqual([], self.checker.violations)
        self.submitted.acceptance = invariants.Acceptance.ACCEPTED
        self.checker.record_unknown(self.submitted)
        self.assertIn("unknown now", self.checker.violations[0])
        self.assertEqual([JOB], self.checker.unfinished())


class FailedRunsTest(testtools.TestCase):
    """Each test guards against a wrong verdict on failed runs."""

    def setUp(self):
        super().setUp()
        self.workers = lease_workers.LeaseWorkers(run_s=0.0)
        self.checker = invariants.InvariantChecker(self.workers)
        self.now = 100.0
        self.patch(invariants.time, "monotonic", lambda: self.now)

    def add_job(self, gang=False):
        step = job_specs.Step(
            count=2, demand=resources.Resources(100, 100, 0), gang=gang
        )
        return self.checker.add_job(
            job_specs.Job(
                id=JOB, queue="jobs", organisation="team", payload="p", steps=(step,)
            )
        )

    def test_a_failed_job_has_a_task_that_failed_as_often_as_allowed(self):
        self.checker.record_attempts({"jobs": 2})
        submitted = self.add_job()
        self.workers.failed_runs = {TASK: {1}, f"{JOB}.0.0.1": {2}}
        self.checker.record_state(submitted, "failed")
        self.assertIn("1 failed runs of 2", self.checker.violations.pop())
        self.workers.failed_runs[TASK] = {1, 3}
        self.checker.record_state(submitted, "failed")
        self.assertEqual([], self.checker.violations)

    def test_a_gang_fails_by_the_runs_of_all_members_each_counted_once(self):
        self.checker.record_attempts({"jobs": 2})
        submitted = self.add_job(gang=True)
        self.workers.failed_runs = {TASK: {1}, f"{JOB}.0.0.1": {1}}
        self.checker.record_state(submitted, "failed")
        self.assertIn("1 failed runs of 2", self.checker.violations.pop())
        self.workers.failed_runs[f"{JOB}.0.0.1"] = {2}
        self.checker.record_state(submitted, "failed")
        self.assertEqual([], self.checker.violations)

    def test_the_lowest_attempts_since_the_submission_may_fail_a_job(self):
        self.checker.record_attempts({"jobs": 2})
        self.now += 1
        self.checker.record_attempts({"jobs": 3})
        submitted = self.add_job()
        self.workers.failed_runs = {TASK: {1, 2}}
        self.now += 100
        self.checker.record_state(submitted, "failed")
        self.assertEqual([], self.checker.violations)
        self.checker.record_state(self.add_job(), "failed")
        self.assertIn("2 failed runs of 3", self.checker.violations[0])

    def test_no_run_starts_after_as_many_noted_failures_as_allowed(self):
        self.checker.record_attempts({"jobs": 2})
        self.add_job()
        self.workers.noted_failures = {TASK: {1}, f"{JOB}.0.0.1": {1, 2}}
        self.assertEqual("", self.checker.check_attempts(TASK, 2))
        self.workers.noted_failures[TASK] = {1, 2}
        self.assertEqual("", self.checker.check_attempts(TASK, 2))
        self.assertIn("after 2 failed of 2", self.checker.check_attempts(TASK, 3))

    def test_the_highest_attempts_that_may_be_in_force_allow_a_run(self):
        self.checker.record_attempts({"jobs": 3})
        self.add_job()
        self.workers.noted_failures = {TASK: {1, 2}}
        self.checker.record_attempts({"jobs": 2})
        self.assertEqual("", self.checker.check_attempts(TASK, 3))
        self.now += 100
        self.assertIn("after 2 failed of 2", self.checker.check_attempts(TASK, 3))

    def test_an_accepted_job_ends_unless_its_queue_is_removed(self):
        submitted = self.add_job()
        submitted.acceptance = invariants.Acceptance.ACCEPTED
        self.checker.record_attempts({"jobs": 2})
        self.assertEqual([JOB], self.checker.unfinished())
        self.checker.record_attempts({})
        self.assertEqual([], self.checker.unfinished())
        self.assertEqual({2, None}, self.checker.find_attempts("jobs"))
        self.checker.record_attempts({"jobs": 2})
        for shown in invariants.FINAL_STATES:
            submitted.reported_state = shown
            self.assertEqual([], self.checker.unfinished())

    def test_failed_and_cancelled_jobs_stay_so(self):
        self.checker.record_attempts({"jobs": 1})
        self.workers.failed_runs = {TASK: {1}}
        for shown in ("failed", "cancelled"):
            submitted = self.add_job()
            submitted.cancelling = True
            self.checker.record_state(submitted, shown)
            self.assertEqual([], self.checker.violations)
            self.checker.record_state(submitted, "active")
            self.assertIn(f"{shown}, then active", self.checker.violations.pop())


class FailingWorkersTest(testtools.TestCase):
    """Guards against runs that fail, or gangs that complete, otherwise than told."""

    def setUp(self):
        super().setUp()
        self.workers = lease_workers.LeaseWorkers(run_s=0.0)
        self.entry = case.entry("w1")
        self.workers.add(self.entry)

    def run_gang(self, indices):
        step = job_specs.Step(
            count=2, demand=resources.Resources(100, 100, 0), gang=True
        )
        self.workers.jobs[JOB] = case.job(JOB, step)
        for index in indices:
            order = coordinator_ports.Start(
                task=f"{JOB}.0.0.{index}", run=1, payload="", lease_until_ms=5000,
                epoch=1,
            )  # fmt: skip
            self.workers.start(self.entry, order)
        return self.workers.poll(self.entry, 1, 0, None, 0)

    def test_a_member_of_a_gang_waits_for_the_others(self):
        found = self.run_gang([0])
        self.assertEqual((), found.ended)
        self.assertEqual([100], [each.percent for each in found.running])
        found = self.run_gang([1])
        self.assertEqual(["done"] * 2, [each.outcome for each in found.ended])

    def test_a_run_that_fails_is_counted_and_noted_once_acknowledged(self):
        self.workers.fails = lambda task, _run: task == TASK
        [end] = self.run_gang([0, 1]).ended
        self.assertEqual((TASK, "failed"), (end.task, end.outcome))
        self.assertEqual({TASK: {1}}, self.workers.failed_runs)
        self.assertEqual({}, self.workers.noted_failures)
        self.workers.poll(self.entry, 1, end.number, None, 0)
        self.assertEqual({TASK: {1}}, self.workers.noted_failures)

    def test_the_violation_of_a_run_is_recorded(self):
        self.workers.check_run = lambda task, run: f"{task} {run} is one too many"
        self.run_gang([0])
        self.assertEqual([f"{TASK} 1 is one too many"], self.workers.violations)

    def test_a_seed_fixes_which_runs_fail(self):
        runs = [(f"{job:016x}.0.0.0", run) for job in range(100) for run in (1, 2)]
        drawn = [
            [cell.draw_failure(seed, task, run) for task, run in runs]
            for seed in (1, 1, 2)
        ]
        self.assertEqual(drawn[0], drawn[1])
        self.assertNotEqual(drawn[0], drawn[2])
        self.assertIn(sum(drawn[0]), range(10, 60))


class ThirdSeriesTest(testtools.TestCase):
    """Guards against faults of the third series that are drawn and have no effect."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.running = cell.Cell(
            random.Random(1), pathlib.Path(folder.name), 3, 2, None,
            (cell.FIRST_QUEUE, cell.SECOND_QUEUE),
        )  # fmt: skip
        self.addCleanup(self.running.__exit__)
        self.killed = []
        self.patch(self.running, "signal", self.record_signal)
        for name in ("BETWEEN_KILLS_S", "START_S"):
            self.patch(blackouts, name, 0.01)

    def record_signal(self, name, number):
        self.assertIs(signal.SIGKILL, number)
        self.killed.append((name, self.is_away("op"), self.is_away("servers")))

    def is_away(self, table):
        page = self.running.store.read(table, "", "", "", 1)
        return isinstance(page, errors.Failure)

    def read_attempts(self):
        page = self.running.store.read("op", "", "", "", 1)
        configuration = directory.decode_configuration(page.rows[0].value)
        return {each.name: each.max_attempts for each in configuration.queues}

    def test_each_kind_is_drawn(self):
        rng = random.Random(1)
        drawn = [blackouts.choose_fault(rng, self.running) for _ in range(500)]
        attempts = {each for each in drawn if isinstance(each, blackouts.Attempts)}
        changes = {None} | {
            blackouts.Attempts(queue, count)
            for queue in ("jobs", "more")
            for count in (0, 2, 3, 4)
        }
        self.assertEqual(changes - {None}, attempts)
        dark = [each for each in drawn if isinstance(each, blackouts.Blackout)]
        self.assertEqual(changes, {each.change for each in dark})
        self.assertEqual({1, 2}, {each.kills for each in dark})
        self.assertEqual({(), ("op",), ("servers",)}, {each.tables for each in dark})
        self.assertIn("", {part for each in dark for part in each.parts})

    def test_all_processes_are_killed_while_the_store_is_away(self):
        injector = faults.FaultInjector(self.running, random.Random(1))
        for fault, away in (
            (blackouts.Blackout(0.0, 1), (True, True)),
            (blackouts.Blackout(0.0, 2, parts=("",)), (True, True)),
            (blackouts.Blackout(0.0, 1, tables=("op",)), (True, False)),
        ):
            self.killed = []
            injector.inject(fault, 0.01)
            expected = [(name, *away) for name in self.running.daemons] * fault.kills
            self.assertEqual(expected, self.killed)
            self.assertFalse(self.is_away("op") or self.is_away("servers"))

    def test_attempts_change_and_a_queue_is_removed_and_put_back(self):
        self.running.configure()
        self.assertEqual({"jobs": 3, "more": 2}, self.read_attempts())
        injector = faults.FaultInjector(self.running, random.Random(1))
        injector.inject(blackouts.Attempts("jobs", 4), 0.01)
        self.assertEqual({"jobs": 4, "more": 2}, self.read_attempts())
        change = blackouts.Attempts("more", 0)
        removed = gevent.spawn(
            injector.inject, blackouts.Blackout(0.0, 1, change=change), 0.05
        )
        gevent.sleep(0.02)
        self.assertEqual({2, None}, self.running.checker.find_attempts("more"))
        self.assertTrue(self.running.checker.find_attempts("jobs") >= {3, 4})
        removed.get()
        self.assertEqual({"jobs": 4, "more": 2}, self.read_attempts())
