"""The soak's proxy, its in-memory workers and the invariants that it checks."""

import time

import gevent
import testtools
from gevent import server, socket

from soak import __main__ as soak
from soak import invariants, proxy
from standins import lease_workers, ports
from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import job_specs
from toucanspring.coordinator import ports as coordinator_ports

JOB = "0" * 16
TASK = f"{JOB}.0.0.0"


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
        self.assertTrue(all(len(line.split()) > 3 for line in lines))


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
