import json

import gevent
import logbook
import testtools
from gevent import event

from test import platform_case
from toucanspring import errors
from toucanspring.coordinator import job_specs, ports, rows

import rowstore  # isort: skip

ROW_ID = ports.RowId("my", "p7", "owner")


class RowStoreTest(testtools.TestCase):
    def store(self, status, body=b"{}"):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.server = platform_case.Server(lambda *_request: (status, content))
        self.addCleanup(self.server.stop)
        return rowstore.Store("127.0.0.1", self.server.port)

    def test_a_transaction_is_encoded_for_the_platform(self):
        store = self.store(200, {"ver": 412, "now_ms": 51230})
        answer = store.transact({ROW_ID: 0}, {ROW_ID: b"node-1"}, (ROW_ID,))
        self.assertEqual(ports.Committed(ports.StoreTimestamp(412, 51230)), answer)
        method, path, body, _ = self.server.requests[0]
        self.assertEqual(("POST", "/toucanspring/rows-tx"), (method, path))
        row = {"table": "my", "part": "p7", "key": "owner"}
        self.assertEqual(
            {
                "precondition": [{**row, "ver": 0}],
                "puts": [{**row, "value": "bm9kZS0x"}],
                "remove": [row],
            },
            json.loads(body),
        )

    # Guards against a coordinator that cannot write since submissions use all
    # connections to a store that is slow.
    def test_writes_of_the_coordinator_do_not_wait_for_those_of_jobs(self):
        release = event.Event()

        def answer(_method, _path, body, *_rest):
            if rows.LEADER_LEASE_TABLE.encode() not in body:
                release.wait()
            return 200, json.dumps({"ver": 1, "now_ms": 1}).encode()

        server = platform_case.Server(answer)
        self.addCleanup(server.stop)
        store = rowstore.Store("127.0.0.1", server.port)
        writes = [
            gevent.spawn(store.transact, {ROW_ID: 0}, {})
            for _ in range(2 * rowstore.WRITE_CONNECTIONS)
        ]
        gevent.sleep(0.05)
        answer = store.transact({rows.LEADER_LEASE_ROW: 1}, {})
        self.assertIsInstance(answer, ports.Committed)
        self.assertEqual([], [each for each in writes if each.ready()])
        release.set()
        gevent.joinall(writes, timeout=5.0)

    def test_a_failed_precondition_returns_the_rows(self):
        row = {"table": "my", "part": "p7", "key": "owner", "value": "eA==", "ver": 3}
        answer = self.store(412, {"rows": [row]}).transact({ROW_ID: 0}, {})
        self.assertEqual(ports.Rejected((ports.Row(ROW_ID, b"x", 3),)), answer)

    def test_refusals_had_no_effect_and_other_failures_may_have(self):
        for status, kind in (
            (429, errors.Unavailable),
            (503, errors.Unavailable),
            (403, errors.Unavailable),
            (400, ports.Unacceptable),
            (413, ports.Unacceptable),
            (500, errors.Ambiguous),
        ):
            answer = self.store(status).transact({}, {ROW_ID: b"x"})
            self.assertIs(kind, type(answer), status)

    def test_an_unreadable_answer_may_have_had_an_effect(self):
        answer = self.store(200, b"no JSON").transact({}, {ROW_ID: b"x"})
        self.assertIsInstance(answer, errors.Ambiguous)

    def test_a_range_is_read(self):
        row = {"table": "my", "part": "p7", "key": "owner", "value": "eA==", "ver": 3}
        answer = {"rows": [row], "has_more": True, "ver": 9, "now_ms": 5}
        page = self.store(200, answer).read("my", "p7", "o", "p", 50)
        self.assertEqual((ports.Row(ROW_ID, b"x", 3),), page.rows)
        self.assertTrue(page.has_more)
        path = self.server.requests[0][1]
        self.assertIn("from=o", path)
        self.assertIn("target=p", path)
        self.assertIn("limit=50", path)

    # Guards against accepted jobs that a new coordinator does not find for long, since
    # callers who ask for unknown jobs take all connections for reads.
    def test_tables_are_read_while_lookups_of_jobs_wait(self):
        release = event.Event()

        def answer(_method, path, *_request):
            if "target=" in path and "seat" not in path:
                release.wait()
            body = {"rows": [], "ver": 9, "now_ms": 5, "parts": ["p7"]}
            return 200, json.dumps(body).encode()

        server = platform_case.Server(answer)
        self.addCleanup(server.stop)
        store = rowstore.Store("127.0.0.1", server.port)
        lookups = [
            gevent.spawn(rows.find_job, store, f"{number:016x}")
            for number in range(4 * rowstore.READ_CONNECTIONS)
        ]
        gevent.sleep(0.1)
        found = [
            store.read(rows.JOBS, "p7", limit=50),
            store.read(rows.PROGRESS, "p7", "key", limit=50),
            store.read(rows.LEADER_LEASE_TABLE, "", "seat", "seat\0"),
        ]
        self.assertEqual([ports.Page] * 3, [type(each) for each in found])
        self.assertEqual(["p7"], store.parts(rows.JOBS))
        release.set()
        gevent.joinall(lookups)

    def test_a_removed_row_has_version_zero(self):
        row = {"table": "my", "part": "p7", "key": "owner", "removed": True, "ver": 8}
        changes = self.store(200, {"rows": [row], "ver": 9}).follow("my", 7, 0.1)
        self.assertEqual((ports.Row(ROW_ID, b"", 0),), changes.rows)

    # Guards against a copy of a table that is never current while the store is slow.
    def test_a_follow_is_given_as_long_as_other_calls_beyond_its_wait(self):
        def answer_late(*_request):
            gevent.sleep(0.1 + 0.75 * rowstore.TIMEOUT_S)
            return 200, json.dumps({"rows": [], "ver": 9, "now_ms": 5}).encode()

        server = platform_case.Server(answer_late)
        self.addCleanup(server.stop)
        found = rowstore.Store("127.0.0.1", server.port).follow("my", 7, 0.1)
        self.assertIsInstance(found, ports.Changes)

    def test_dropped_history_has_a_failure_of_its_own(self):
        answer = self.store(410).follow("my", 7, 0.1)
        self.assertIsInstance(answer, ports.HistoryGone)

    def test_parts_are_listed_to_the_end(self):
        pages = iter([{"parts": ["a", "b"], "has_more": True}, {"parts": ["c"]}])
        server = platform_case.Server(
            lambda *_request: (200, json.dumps(next(pages)).encode())
        )
        self.addCleanup(server.stop)
        store = rowstore.Store("127.0.0.1", server.port)
        self.assertEqual(["a", "b", "c"], store.parts("my"))
        self.assertIn("after=b", server.requests[1][1])

    def test_a_refused_connection_had_no_effect(self):
        store = self.store(200)
        self.server.stop()
        answer = store.transact({}, {ROW_ID: b"x"})
        self.assertIsInstance(answer, errors.Unavailable)

    def rows_with_an_odd_one(self, **changes):
        """Return an answer with a good row, an odd one and another good one."""
        good = {"table": "my", "part": "p7", "key": "a", "value": "eA==", "ver": 3}
        odd = {**good, "key": "b", "ver": 4, **changes}
        odd = {name: value for name, value in odd.items() if value is not ...}
        shown = [good, odd, {**good, "key": "c", "ver": 5}]
        return {"rows": shown, "ver": 9, "now_ms": 5}

    def test_one_unreadable_row_does_not_hide_the_others(self):
        # Guards against one row that made each read and the feed fail.
        good = [
            ports.Row(ports.RowId("my", "p7", name), b"x", version)
            for name, version in (("a", 3), ("c", 5))
        ]
        for field, value in (
            ("value", "no base64!"),
            ("value", "eA="),
            ("value", 5),
            ("value", {"x": [1]}),
            ("ver", "4"),
            ("ver", -4),
            ("ver", 10**20),
            ("removed", "yes"),
        ):
            store = self.store(200, self.rows_with_an_odd_one(**{field: value}))
            for found in (store.read("my", "p7"), store.follow("my", 2, 0.1)):
                self.assertEqual(good, [found.rows[0], found.rows[2]], field)
                odd = found.rows[1]
                self.assertEqual(ports.RowId("my", "p7", "b"), odd.id)
                # Guards against an unreadable row that counts as absent.
                self.assertTrue(odd.version)
                for kind in (rows.Progress, job_specs.Job, rows.LeaderLease):
                    self.assertIsInstance(
                        rows.decode(kind, odd.value), errors.Malformed
                    )

    def test_an_unreadable_row_is_rejected_as_present(self):
        # Guards against a write that takes such a row for its own or as absent.
        answer = self.rows_with_an_odd_one(value=5)
        found = self.store(412, answer).transact({ROW_ID: 0}, {})
        self.assertEqual([3, 4, 5], [row.version for row in found.rows])
        self.assertEqual(rowstore.UNREADABLE, found.rows[1].value)

    def test_an_unreadable_row_is_logged_once(self):
        store = self.store(200, self.rows_with_an_odd_one(value=5))
        with logbook.TestHandler() as handler:
            store.read("my", "p7")
            store.read("my", "p7")
        [record] = handler.records
        self.assertIn("my b: unreadable", record.message)

    def test_a_row_without_a_name_fails_a_read_of_the_systems_tables(self):
        # Guards against a row of the coordinator's that is silently taken as absent.
        for key in (..., 5, None):
            answer = self.rows_with_an_odd_one(key=key)
            store = self.store(200, answer)
            self.assertIsInstance(store.read("my", "p7"), errors.Malformed)
            self.assertIsInstance(store.follow("my", 2, 0.1), errors.Malformed)
            self.assertIsInstance(
                self.store(412, answer).transact({ROW_ID: 0}, {}), errors.Ambiguous
            )

    def test_a_row_without_a_name_is_skipped_in_tables_of_others(self):
        # Guards against one row of another writer that hides all executors.
        answer = self.rows_with_an_odd_one(key=5)
        for table in ("servers", "op"):
            store = self.store(200, answer)
            for found in (store.read(table, ""), store.follow(table, 2, 0.1)):
                self.assertEqual(["a", "c"], [row.id.key for row in found.rows])

    def test_a_page_without_readable_rows_is_a_failure(self):
        # Guards against IndexError where the next page is requested.
        answer = {"rows": [{"table": "op", "key": 5}], "has_more": True, "ver": 9}
        self.assertIsInstance(self.store(200, answer).read("op", ""), errors.Malformed)

    def test_an_answer_that_is_nested_too_deep_is_a_failure(self):
        # Guards against RecursionError in each caller of the store.
        for depth in (1100, 20_000):
            body = b'{"ver":1,"zz":' + b"[" * depth + b"]" * depth + b"}"
            self.assertIsInstance(self.store(200, body).read("my", ""), errors.Failure)
            answer = self.store(200, body).transact({}, {ROW_ID: b"x"})
            self.assertIsInstance(answer, errors.Ambiguous)
