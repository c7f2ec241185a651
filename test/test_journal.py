import gevent
import testtools

from test import fake_tables
from toucanspring import errors, job
from toucanspring.adapters import tables
from toucanspring.owners import journal, log_records


class FakeObjects:
    def __init__(self):
        self.content = {}
        self.down = False

    def put(self, key, content):
        if self.down:
            return errors.Unavailable(reason="down")
        self.content[key] = content
        return None

    def get(self, key):
        return self.content.get(key, errors.NotFound(reason=key))

    def delete(self, key):
        self.content.pop(key, None)


def spec(name):
    return job.JobSpec(id=name, name="proofs", team="kernhalde")


class JournalTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shared = fake_tables.FakeTables()
        self.table = self.shared.client()
        self.objects = FakeObjects()
        committed = self.table.transact({}, {"partitions/1": b"owner"}, ())
        self.assertIsInstance(committed, tables.Committed)
        self.row_version = committed.versions["partitions/1"]

    def open(self, table=None):
        owner = journal.Journal(
            1,
            7,
            self.row_version,
            table or self.table,
            self.objects,
            interval_s=0.001,
        )
        owner.__enter__()
        self.addCleanup(owner.__exit__)
        return owner

    def append(self, owner, name, droppable=True):
        result = owner.append(log_records.Accepted(spec(name)), droppable)
        return result.get(timeout=5)

    def reload(self):
        successor = self.open(self.shared.client())
        self.assertIsNone(successor.load())
        return successor

    def test_records_survive_a_change_of_owner(self):
        owner = self.open()
        self.assertIsNone(self.append(owner, "a"))
        self.assertIsNone(self.append(owner, "b"))
        self.assertEqual(["a", "b"], list(self.reload().state.specs))

    def test_a_lost_answer_appends_the_row_once(self):
        # Guards against a retry that writes a batch twice or reports it as failed.
        owner = self.open()
        self.table.lose = {owner.key(1): 1}
        self.assertIsNone(self.append(owner, "a"))
        self.assertIsNone(self.append(owner, "b"))
        rows = self.shared.client().scan("log/1/")
        self.assertEqual([owner.key(1), owner.key(2)], [row.key for row in rows])
        self.assertEqual(["a", "b"], list(self.reload().state.specs))

    def test_a_late_write_cannot_take_effect_after_its_retry(self):
        owner = self.open()
        self.table.late = {owner.key(1): 1}
        self.assertIsNone(self.append(owner, "a"))
        late = self.table.deliver_late()
        self.assertIsInstance(late[0], errors.Conflict)
        self.assertEqual(["a"], list(self.reload().state.specs))

    def test_a_former_owner_cannot_append(self):
        # Guards against two owners writing the same log after a takeover.
        owner = self.open()
        self.assertIsNone(self.append(owner, "a"))
        self.shared.client().transact({}, {"partitions/1": b"successor"}, ())
        self.assertIsInstance(self.append(owner, "b"), errors.Fenced)
        self.assertTrue(owner.fenced)
        self.assertIsInstance(self.append(owner, "c"), errors.Fenced)

    def test_a_write_that_took_effect_before_the_takeover_counts(self):
        # The response is lost and a successor claims the partition meanwhile. The
        # record is durable, so the caller must not be told that it is not.
        owner = self.open()
        self.table.lose = {owner.key(1): 1}
        result = owner.append(log_records.Accepted(spec("a")), True)
        gevent.sleep(0.01)
        self.shared.client().transact({}, {"partitions/1": b"successor"}, ())
        self.assertIsNone(result.get(timeout=5))

    def test_a_journal_that_ends_answers_all_writers(self):
        # Guards against writers that wait forever after the partition was released, and
        # against an ambiguous write that is reported as certainly not written.
        owner = self.open()
        self.table.late = {owner.key(1): 1000}
        ambiguous = owner.append(log_records.Accepted(spec("a")), True)
        gevent.sleep(0.01)
        waiting = owner.append(log_records.Accepted(spec("b")), True)
        owner.__exit__()
        self.assertIsInstance(ambiguous.get(timeout=5), errors.Ambiguous)
        self.assertIsInstance(waiting.get(timeout=5), errors.Fenced)
        self.assertIsInstance(self.append(owner, "c"), errors.Fenced)

    def test_an_outage_refuses_new_jobs_and_keeps_outcomes(self):
        owner = self.open()
        self.table.down = True
        outcome = log_records.Finished({"a/0": job.Outcome(job.State.DONE)})
        kept = owner.append(outcome, droppable=False)
        refused = owner.append(log_records.Accepted(spec("b")), droppable=True)
        self.assertIsInstance(refused.get(timeout=5), errors.StoreUnavailable)
        self.assertFalse(kept.ready())
        self.table.down = False
        self.assertIsNone(kept.get(timeout=5))

    def test_a_snapshot_replaces_the_rows_that_it_covers(self):
        self.patch(journal, "ROWS_BEFORE_SNAPSHOT", 4)
        owner = self.open()
        for index in range(12):
            self.assertIsNone(self.append(owner, f"job-{index}"))
        owner.drain(1)
        rows = self.shared.client().scan("log/1/")
        self.assertLess(len(rows), 8)
        self.assertEqual(1, len(self.objects.content))
        names = {f"job-{index}" for index in range(12)}
        self.assertEqual(names, set(self.reload().state.specs))

    def test_a_snapshot_waits_until_the_log_has_grown_by_its_size(self):
        # Guards against rewriting all jobs after every few rows.
        self.patch(journal, "ROWS_BEFORE_SNAPSHOT", 2)
        owner = self.open()
        puts = []
        put = self.objects.put
        self.objects.put = lambda key, content: puts.append(key) or put(key, content)
        for index in range(40):
            self.append(owner, f"job-{index}")
        owner.drain(1)
        # The size doubles from one snapshot to the next.
        self.assertLess(len(puts), 8)
        self.patch(journal, "MAX_ROWS_BEFORE_SNAPSHOT", 3)
        before = len(puts)
        for index in range(40, 60):
            self.append(owner, f"job-{index}")
        owner.drain(1)
        self.assertGreaterEqual(len(puts) - before, 5)

    def test_a_successor_knows_the_sizes_of_snapshot_and_log(self):
        # Guards against a snapshot at each takeover, and against a log that grows for a
        # long time without one.
        self.patch(journal, "ROWS_BEFORE_SNAPSHOT", 2)
        owner = self.open()
        for index in range(20):
            self.append(owner, f"job-{index}")
        owner.drain(1)
        successor = self.reload()
        self.assertEqual(owner._snapshot_bytes, successor._snapshot_bytes)
        self.assertEqual(owner._bytes_since, successor._bytes_since)

    def test_a_failed_snapshot_keeps_the_rows(self):
        # Guards against deleting the only copy of the records.
        self.patch(journal, "ROWS_BEFORE_SNAPSHOT", 2)
        self.objects.down = True
        owner = self.open()
        for index in range(6):
            self.assertIsNone(self.append(owner, f"job-{index}"))
        self.assertEqual(6, len(self.shared.client().scan("log/1/")))


class StateTest(testtools.TestCase):
    def test_records_may_be_applied_twice(self):
        state = log_records.State()
        found = [
            log_records.Accepted(spec("a")),
            log_records.Finished({"a/0": job.Outcome(job.State.DONE)}),
            log_records.Finished({"a/0": job.Outcome(job.State.FAILED)}),
        ]
        for record in found + found:
            state.apply(record)
        self.assertEqual(job.State.DONE, state.outcomes["a"]["a/0"].state)

    def test_jobs_that_the_configuration_starts_are_never_deleted(self):
        # Guards against running one again at the next change of the configuration.
        state = log_records.State()
        for name in ("apply.nightly.1", "a", "b"):
            state.apply(log_records.Accepted(spec(name)))
            outcome = {f"{name}/0": job.Outcome(job.State.DONE)}
            state.apply(log_records.Finished(outcome))
        state.forget_oldest(keep=0)
        self.assertEqual(["apply.nightly.1"], list(state.specs))

    def test_acceptance_times_are_kept_in_a_snapshot(self):
        # Guards against gangs whose order changes after a takeover.
        state, copy = log_records.State(), log_records.State()
        state.apply(log_records.Accepted(spec("a"), 7))
        for record in state.to_records():
            copy.apply(record)
        self.assertEqual({"a": 7}, copy.accepted_ms)

    def test_unfinished_work_is_never_deleted(self):
        state = log_records.State()
        state.apply(log_records.Accepted(spec("a")))
        state.apply(log_records.RequestStarted("r", "server-1", 3))
        state.forget_oldest(keep=0)
        self.assertEqual(["a"], list(state.specs))
        self.assertEqual(["r"], list(state.requests))
