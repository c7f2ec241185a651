import gevent
import msgspec
import testtools

from test import fake_tables
from toucanspring import errors, kernel
from toucanspring.reporting import event_kinds, event_rows, events

START = 2_000_000_000.0


class Peers:
    """Peers that answer calls by the services of the other processes."""

    def __init__(self):
        self.services = {}
        self.handlers = {}

    def handle(self, method, function):
        self.handlers[method] = function

    def call(self, process, _method, _body, _timeout_s):
        service = self.services.get(process)
        if service is None:
            return errors.Timeout(reason="no answer")
        return b"".join(service._serve("", b""))


class Members:
    def __init__(self, names):
        self.names = names

    def members(self):
        return dict.fromkeys(self.names)


class Claims:
    def owned(self):
        return {0: 1}


class Process:
    def __init__(self, name, shared, peers, names):
        self.tables = shared.client()
        self.now = 0.0
        self.core = kernel.Kernel()
        self.core.register("store", fake_tables.FakeStore(self.tables))
        self.core.register("peers", peers)
        self.core.register("membership", Members(names))
        self.core.register("claims", Claims())
        self.service = events.Service(
            self.core,
            fake_tables.settings_of(name),
            clock=lambda: self.now,
            wall_clock=lambda: START + self.now,
        )
        peers.services[name] = self.service

    def lose_worker(self, worker, zone="z0"):
        self.core.publish(event_kinds.WorkerLost(worker, zone, "r0", 2, 1))

    def write(self):
        self.service.write()

    def due_s(self):
        return self.service._due - self.now


class EventsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shared = fake_tables.FakeTables()
        self.peers = Peers()
        self.names = ["p1", "p2"]

    def process(self, name="p1"):
        return Process(name, self.shared, self.peers, self.names)

    def workers(self, reader, **options):
        report = reader.service.report(3600.0, **options)
        return [item.get("worker") for item in report.events]

    def test_the_record_outlives_the_process(self):
        former, reader = self.process("p1"), self.process("p2")
        former.lose_worker("w1")
        former.write()
        former.lose_worker("w2")
        former.service.stop()
        del self.peers.services["p1"]
        report = reader.service.report(3600.0)
        self.assertEqual(["w1", "w2"], [item["worker"] for item in report.events])
        self.assertEqual(["p1"], report.missing)
        self.assertEqual("p1", report.events[0]["process"])

    def test_unwritten_entries_are_asked_for_and_each_is_shown_once(self):
        one, two = self.process("p1"), self.process("p2")
        one.lose_worker("w1")
        one.write()
        one.now += 1
        one.lose_worker("w2")
        two.now += 2
        two.lose_worker("w3")
        self.assertEqual(["w1", "w2", "w3"], self.workers(two))
        self.assertEqual(["w1", "w2", "w3"], self.workers(one))

    def test_lost_answers_make_no_entry_twice(self):
        # Guards against double entries by a write that is retried although it took
        # effect, or takes effect late.
        for fault in ("lose", "drop", "late"):
            process = self.process(fault)
            process.lose_worker("w1")
            key = event_rows.key_of(
                fault, process.service._writer, process.service._buffer.segments[0]
            )
            getattr(process.tables, fault)[key] = 1
            process.write()
            process.lose_worker("w1")
            process.write()
            process.tables.deliver_late()
            process.lose_worker("w2")
            for _ in range(2):
                process.write()
            self.peers.services.clear()
            rows = event_rows.read(process.tables, START)
            found = event_rows.join(rows, [])
            self.assertEqual(
                [("w1", 2), ("w2", 1)],
                [(item["worker"], item["count"]) for item in found],
                fault,
            )
            self.shared.rows.clear()

    def test_an_outage_delays_and_does_not_lose(self):
        process = self.process()
        process.tables.down = True
        process.lose_worker("w1")
        process.write()
        self.assertEqual(events.RETRY_S, process.due_s())
        report = process.service.report(3600.0)
        self.assertEqual("down", report.store_missing)
        self.assertEqual(1, len(report.events))
        process.tables.down = False
        process.write()
        self.assertEqual(float("inf"), process.due_s())
        self.assertEqual(1, len(event_rows.read(process.tables, START)))

    def test_urgent_events_are_written_soon_and_others_rarely(self):
        process = self.process()
        process.lose_worker("w1")
        self.assertTrue(process.due_s() <= 2.0)
        process.write()
        process.core.publish(event_kinds.WorkerQuarantined("w2"))
        self.assertEqual(events.WRITE_INTERVAL_S, process.due_s())
        process.lose_worker("w3")
        self.assertTrue(process.due_s() <= 4.0)

    def test_a_write_under_way_keeps_what_arrives_meanwhile(self):
        process = self.process()
        process.lose_worker("w1")
        process.tables.delay_s = 0.001
        writing = gevent.spawn(process.write)
        gevent.sleep(0)
        process.lose_worker("w2")
        writing.join()
        process.write()
        self.peers.services.clear()
        rows = event_rows.read(process.tables, START)
        self.assertEqual(2, len(event_rows.join(rows, [])))

    def test_a_process_killed_during_a_write_leaves_it_unwritten(self):
        process = self.process()
        process.lose_worker("w1")
        process.tables.delay_s = 30.0
        writing = gevent.spawn(process.write)
        gevent.sleep(0)
        writing.kill()
        process.tables.delay_s = 0.0
        process.service.stop()
        self.assertEqual(1, len(event_rows.read(process.tables, START)))

    def test_entries_are_selected_by_kind_and_subject(self):
        process = self.process()
        process.lose_worker("w1", zone="z1")
        process.lose_worker("w2", zone="z2")
        process.core.publish(event_kinds.WorkersMoved(("w1", "w3"), 2, 0))
        report = process.service.report
        self.assertEqual(2, len(report(3600.0, "worker_lost").events))
        self.assertEqual(2, len(report(3600.0, subject="w1").events))
        self.assertEqual(1, len(report(3600.0, subject="zone:z2").events))
        self.assertEqual(3, len(report(3600.0, subject="partition:2").events))
        self.assertEqual(3, len(report(3600.0, subject="p1").events))

    def test_rows_are_deleted_after_the_retention(self):
        process = self.process()
        process.lose_worker("w1")
        process.write()
        process.now = 3600.0 * (event_rows.RETENTION_HOURS - 1)
        process.lose_worker("w2")
        process.write()
        wall = START + process.now + 2 * 3600.0
        self.assertEqual(1, event_rows.remove_old(process.tables, wall))
        rows = event_rows.read(process.tables, START)
        self.assertEqual("w2", event_rows.join(rows, [])[0]["worker"])

    def test_kinds_of_a_later_version_are_shown(self):
        # Guards against rows that an older process cannot read in a rolling upgrade.
        process = self.process()
        event = {"kind": "later", "worker": "w9", "other": [1]}
        entry = [0, START, START, 1, event]
        fields = {"process": "p9", "writer": "x", "lost": 3, "entries": [entry]}
        row = msgspec.msgpack.encode(fields)
        hour = int(START // 3600)
        process.tables.transact({}, {f"events/{hour:07d}/p9/x-1": row})
        report = process.service.report(3600.0, subject="w9")
        self.assertEqual("later", report.events[0]["kind"])
        self.assertEqual(3, report.lost)
