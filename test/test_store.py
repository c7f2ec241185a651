import random

import testtools
from gevent import server

from standins import events, injection, service
from standins import tables as standin_tables
from toucanspring import errors, store, uptime
from toucanspring.adapters import tables

LOST = errors.Ambiguous(reason="lost")


class FakeTables:
    """Applies transactions at the times given by a script of steps.

    Steps: `ok`, `lost` (applied, no answer), `never` (not applied, no answer), `late`
    (applied after the next call), `down`; each transaction takes the next step.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.rows = {}
        self.version = 0
        self.applied = []
        self.waiting = []
        self.readable = True

    def transact(self, checks, writes, deletes=()):
        step = self.steps.pop(0) if self.steps else "ok"
        if step == "down":
            return errors.Unavailable(reason="down")
        if step == "late":
            self.waiting.append((checks, writes, deletes))
            return LOST
        result = LOST if step == "never" else self.apply(checks, writes, deletes)
        self.deliver()
        return result if step == "ok" else LOST

    def deliver(self):
        while self.waiting:
            self.apply(*self.waiting.pop())

    def apply(self, checks, writes, deletes):
        for key, version in checks.items():
            current = self.rows.get(key, tables.Row(0, b"")).version
            if current != version:
                return errors.Conflict(
                    key=key, current_version=current, given_version=version
                )
        for key, value in writes.items():
            self.version += 1
            self.rows[key] = tables.Row(self.version, value)
        for key in deletes:
            self.rows.pop(key, None)
        self.applied.append(dict(writes))
        return tables.Committed({key: self.rows[key].version for key in writes})

    def read(self, keys):
        if not self.readable:
            return errors.Unavailable(reason="down")
        return {key: self.rows.get(key, tables.Row(0, b"")) for key in keys}


class ResolvedTransactionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(store, "RETRY_FIRST_S", 0.001)

    def append(self, client, value=b"mine", checks=None):
        return store.transact_resolved(
            client, {"log/1": 0} | (checks or {}), {"log/1": value}, timeout_s=0.1
        )

    def test_each_lost_answer_applies_once(self):
        # Guards against a second application by the retry.
        for steps in (
            ["lost"],
            ["never"],
            ["late"],
            ["late", "late", "lost"],
            ["never", "down", "late", "never"],
            ["lost", "down"],
        ):
            client = FakeTables(*steps)
            self.assertIsInstance(self.append(client), tables.Committed, steps)
            client.deliver()
            self.assertEqual([{"log/1": b"mine"}], client.applied, steps)

    def test_a_call_that_was_never_sent_is_left_to_the_caller(self):
        client = FakeTables("down")
        self.assertIsInstance(self.append(client), errors.Unavailable)
        self.assertEqual([], client.applied)

    def test_losing_against_another_writer_is_not_success(self):
        client = FakeTables("never")
        client.apply({}, {"log/1": b"theirs"}, ())
        self.assertIsInstance(self.append(client), errors.Ambiguous)

    def test_a_row_that_changed_again_leaves_the_effect_unknown(self):
        # Guards against returning `Conflict`, which says that nothing was applied.
        client = FakeTables("lost")
        client.rows["log/1"] = tables.Row(0, b"")
        original = client.read
        client.read = lambda keys: (
            client.apply({}, {"log/1": b"theirs"}, ()) and original(keys)
        )
        self.assertIsInstance(self.append(client), errors.Ambiguous)

    def test_a_lost_ownership_check_after_a_lost_answer(self):
        owned = {"partitions/0": 1}
        # Applied before the ownership changed.
        client = FakeTables()
        client.apply({}, {"partitions/0": b"me"}, ())
        client.steps = ["lost"]
        self.assertIsInstance(self.append(client, checks=owned), tables.Committed)
        # Not applied, and a late attempt can no longer pass the check.
        client = FakeTables()
        client.apply({}, {"partitions/0": b"me"}, ())
        client.steps = ["never"]
        client.read = lambda keys: (
            client.rows.update({"partitions/0": tables.Row(9, b"them")})
            or FakeTables.read(client, keys)
        )
        result = self.append(client, checks=owned)
        self.assertEqual("partitions/0", result.key)
        self.assertNotIn("log/1", client.rows)

    def test_unreadable_rows_leave_the_effect_unknown(self):
        client = FakeTables("lost")
        client.readable = False
        self.assertIsInstance(self.append(client), errors.Ambiguous)

    def test_deletes_are_resolved(self):
        client = FakeTables()
        client.apply({}, {"a": b"1"}, ())
        client.steps = ["lost"]
        result = store.transact_resolved(client, {"a": 1}, {}, ["a"], timeout_s=0.1)
        self.assertEqual(tables.Committed({}), result)

    def test_a_write_without_a_guard_is_a_programming_error(self):
        for checks in ({}, {"other": 3}):
            self.assertRaises(
                ValueError, store.transact_resolved, FakeTables(), checks, {"a": b"1"}
            )

    def test_random_losses_never_apply_twice_nor_return_a_wrong_result(self):
        rng = random.Random(7)
        steps = ["ok", "lost", "never", "late", "down"]
        for _ in range(300):
            script = rng.choices(steps, k=rng.randrange(6))
            client = FakeTables(*script)
            result = self.append(client)
            known = len(client.applied)
            client.deliver()
            self.assertLessEqual(len(client.applied), 1, script)
            if isinstance(result, tables.Committed):
                self.assertEqual(1, known, script)
            else:
                self.assertIsInstance(result, errors.Unavailable, script)
                self.assertEqual(0, len(client.applied), script)


class TablesTest(testtools.TestCase):
    """Runs the client against the stand-in in this process."""

    def setUp(self):
        super().setUp()
        self.record = events.Record()
        self.rows = standin_tables.Tables(self.record)
        self.served = injection.FaultyService(
            "127.0.0.1", 0, 0, self.rows.handle, self.record, random.Random(1).random
        )
        self.served.open()
        self.port = self.served.port
        self.addCleanup(self.served.close)
        self.client = tables.HttpTableClient("127.0.0.1", self.port, "me", 0.3)
        self.addCleanup(self.client.close)

    def faults(self, **faults):
        self.served.set_faults(faults)

    def test_checks_guard_all_writes_and_versions_are_never_reused(self):
        # Guards against mistaking a recreated row for the previous one.
        first = self.client.transact({"a": 0}, {"a": b"1", "b": b"2"}).versions
        conflict = self.client.transact({"a": 0}, {"b": b"3"})
        self.assertEqual(("a", first["a"]), (conflict.key, conflict.current_version))
        self.client.transact({"a": first["a"]}, {}, ["a"])
        again = self.client.transact({"a": 0}, {"a": b"1"}).versions
        self.assertGreater(again["a"], max(first.values()))
        rows = self.client.read(["a", "b", "c"])
        self.assertEqual([b"1", b"2", b""], [row.value for row in rows.values()])
        self.assertEqual(0, rows["c"].version)

    def test_scans_page_without_gaps_or_neighbours(self):
        keys = [f"log/1/{index:03}" for index in range(25)]
        for key in [*keys, "log/10/000", "log/0/999", "log"]:
            self.client.transact({}, {key: b"x"})
        seen, after = [], ""
        while page := self.client.scan("log/1/", after, limit=10):
            seen += [row.key for row in page]
            after = page[-1].key
        self.assertEqual(keys, seen)

    def test_a_lost_answer_is_resolved_over_http(self):
        self.faults(lose_answers=1)
        result = store.transact_resolved(self.client, {"a": 0}, {"a": b"1"})
        self.assertEqual(tables.Committed({"a": 1}), result)

    def test_server_errors_and_slow_answers(self):
        self.faults(error_fraction=1.0)
        self.assertIsInstance(self.client.transact({}, {"a": b"1"}), errors.Ambiguous)
        self.assertIsInstance(self.client.read(["a"]), errors.Unavailable)
        self.faults(error_fraction=0.0, answer_delay_ms=600)
        self.assertIsInstance(self.client.transact({}, {"b": b"1"}), errors.Ambiguous)
        self.assertIsInstance(self.client.scan(""), errors.Unavailable)
        self.faults(answer_delay_ms=0)
        rows = self.client.read(["a", "b"])
        self.assertEqual([0, 1], [row.version for row in rows.values()])

    def test_an_outage_refuses_connections_and_ends(self):
        self.client.read(["a"])  # leaves an idle connection
        self.faults(down=True)
        for _ in range(3):
            result = self.client.transact({}, {"a": b"1"})
            self.assertIsInstance(result, errors.Unavailable)
        self.faults(down=False)
        self.assertIsInstance(self.client.transact({}, {}), tables.Committed)

    def test_a_limited_service_makes_calls_wait(self):
        # Guards against benchmarks on a table service without a rate limit.
        self.faults(calls_per_second={"/v1/transactions": 50})
        began = uptime.now()
        for _ in range(11):
            self.client.transact({}, {"a": b"1"})
        # Only the lower bound: a busy machine may take longer, but never less.
        elapsed_s = uptime.now() - began
        self.assertTrue(elapsed_s > 0.19, elapsed_s)

    def test_only_named_clients_are_blocked(self):
        other = tables.HttpTableClient("127.0.0.1", self.port, "other", 0.3)
        self.addCleanup(other.close)
        self.faults(blocked=["other"])
        self.assertIsInstance(other.transact({}, {"a": b"1"}), errors.Ambiguous)
        self.assertEqual(0, self.client.read(["a"])["a"].version)

    def test_malformed_answers(self):
        def send_garbage(sock, _address):
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\xc1\xc1\xc1")

        broken = server.StreamServer(service.listen("127.0.0.1", 0), send_garbage)
        broken.start()
        self.addCleanup(broken.stop)
        client = tables.HttpTableClient("127.0.0.1", broken.server_port)
        self.assertIsInstance(client.transact({}, {}), errors.Ambiguous)
        self.assertIsInstance(client.read(["a"]), errors.Malformed)

    def test_the_store_counts_operations_by_kind(self):
        clock = [0.5]
        rate = store.OperationRate(lambda: clock[0])
        counted = store.CountingTables(self.client, rate)
        for second in range(20):
            clock[0] = second + 0.5
            counted.transact({}, {"a": b"1"})
            counted.read(["a"])
            counted.read(["a"])
        clock[0] = 20.0
        self.assertEqual({"write": 1.0, "read": 2.0}, rate.per_second())
        clock[0] = 25.0
        self.assertEqual(0.5, rate.per_second()["write"])
        clock[0] = 60.0
        self.assertEqual({}, rate.per_second())
