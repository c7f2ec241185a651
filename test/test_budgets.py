import random

import gevent
import testtools

from test import fake_tables
from toucanspring import kernel
from toucanspring.reporting import budgets, burn, report

START = 2_000_000_000.0  # wall clock in seconds


class Requests:
    def __init__(self):
        self.burn = burn.Recorder()


class Claims:
    def __init__(self):
        self.partitions = {}

    def owned(self):
        return self.partitions


class Process:
    """Service of one process with its own clocks, on a shared fake store."""

    def __init__(self, name, shared, offset_s=0.0):
        self.tables = shared.client()
        self.now = 0.0
        self.offset_s = offset_s
        self.requests = Requests()
        self.claims = Claims()
        core = kernel.Kernel()
        core.register("requests", self.requests)
        core.register("claims", self.claims)
        core.register("store", fake_tables.FakeStore(self.tables))
        self.core = core
        self.service = budgets.Service(
            core,
            fake_tables.settings_of(name),
            clock=lambda: self.now,
            wall_clock=lambda: START + self.offset_s + self.now,
            rng=random.Random(1),
        )
        core.register("budgets", self.service)

    def count(self, good, bad=0, seconds=60.0):
        for each in [True] * good + [False] * bad:
            self.requests.burn.record("desk", "reps", each, self.now)
        self.now += seconds

    def key(self):
        return self.service._key


class BudgetsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shared = fake_tables.FakeTables()

    def process(self, name="p1", **options):
        return Process(name, self.shared, **options)

    def total(self, *answering, reader=None):
        """Return the requests in a report, by the clock of the first process."""
        reader = reader or answering[0]
        rows = report.read_store(reader.core, "burn")
        exports = [each.service.export() for each in answering]
        minute = reader.service._minute()
        found = budgets.join(rows, exports, minute)
        return sum(good + bad for part in found for *_, good, bad in part)

    def rows_with_counts(self):
        """Return how many rows hold counts."""
        rows = [budgets._decoder.decode(row.value) for row in self.shared.rows.values()]
        return sum(bool(row.series) for row in rows)

    def test_counts_survive_the_replacement_of_all_processes(self):
        # Guards against windows of 6 hours and 3 days that lose counts with their VMs.
        for name in ("p1", "p2"):
            former = self.process(name)
            former.count(90, 10)
            former.service.write()
            former.count(5)
            former.service.stop()
        later = self.process("q1")
        later.now = 2 * 3600.0
        self.assertEqual(210, self.total(later))
        found = budgets.join(
            report.read_store(later.core, "burn"),
            [later.service.export()],
            later.service._minute(),
        )
        windows = burn.evaluate(found, {"desk": 99.0})[0].windows
        counts = [window.good + window.bad for window in windows]
        self.assertEqual([0, 0, 0, 210, 210], counts)

    def test_a_repeated_write_counts_once(self):
        # Guards against double counts by a write that is retried after a lost answer
        # or takes effect late.
        for fault in ("lose", "drop", "late"):
            process = self.process(fault)
            process.count(10)
            getattr(process.tables, fault)[process.key()] = 1
            process.service.write()
            self.assertEqual(10, self.total(process), fault)
            process.count(5)
            process.service.write()
            process.tables.deliver_late()
            process.count(1)
            process.service.write()
            self.assertEqual(16, self.total(process), fault)
            stored = self.process("reader")
            self.assertEqual(16, self.total(stored), fault)
            self.shared.rows.clear()

    def test_a_store_that_is_down_loses_nothing_and_is_reported(self):
        process = self.process()
        process.count(10)
        process.service.write()
        process.tables.down = True
        process.count(10)
        process.service.write()
        process.service.write()
        cell = fake_tables.documents.import_parser()("")
        part = report.collect(process.core, "burn")
        built = report.build(
            "burn", cell, [part], report.read_store(process.core, "burn")
        )
        self.assertEqual("down", built["store_missing"])
        self.assertEqual(
            20, burn.Counts(part.budgets.written + part.budgets.unwritten).requests()
        )
        process.tables.down = False
        process.service.write()
        self.assertEqual(20, self.total(self.process("reader")))

    def test_a_slow_store_delays_neither_requests_nor_the_stop(self):
        self.patch(budgets, "STOP_LIMIT_S", 0.05)
        process = self.process()
        process.count(10)
        process.tables.delay_s = 30.0
        writing = gevent.spawn(process.service.write)
        gevent.sleep(0)
        process.count(5)
        export = process.service.export()
        counts = burn.Counts(export.unwritten + export.doubtful)
        self.assertEqual(15, counts.requests())
        process.service.stop()
        writing.kill()

    def test_rows_of_ended_runs_are_folded_into_one(self):
        # Guards against rows that accumulate with each restart, and against counts that
        # are in two rows.
        for number in range(3):
            run = self.process("p1")
            run.now = 60.0 * number
            run.count(10)
            run.service.stop()
        self.assertEqual(1, self.rows_with_counts())
        gone = self.process("gone")
        gone.count(7)
        gone.service.stop()
        owner = self.process("p2")
        owner.claims.partitions = {0: 1}
        owner.now = 7 * 3600.0
        owner.service.write()
        self.assertEqual(1, self.rows_with_counts())
        self.assertEqual(37, self.total(owner))
        self.assertEqual(37, self.total(self.process("reader")))
        owner.now += 25 * 3600.0
        for _ in range(2):
            owner.service.write()
        self.assertEqual([owner.key()], list(self.shared.rows))
        version = self.shared.version
        owner.service.write()  # without changes
        self.assertEqual(version, self.shared.version)

    def test_a_row_folded_too_early_is_counted_once(self):
        # Guards against a paused process that resumes after its row was folded.
        for in_doubt, expected, lost in ((False, 25, 0), (True, 15, 10)):
            paused = self.process()
            paused.count(5)
            paused.service.write()
            paused.count(10)
            if in_doubt:
                paused.tables.drop[paused.key()] = 1
                paused.service.write()
            successor = self.process()
            successor.service.write()
            paused.count(10)
            if not in_doubt:
                # A report after the fold, which the paused process has not noticed yet.
                self.assertEqual(25, self.total(successor, paused))
            for _ in range(3):
                paused.service.write()
            self.assertEqual(expected, self.total(successor, paused))
            self.assertEqual(expected, self.total(self.process("reader")))
            self.assertEqual(lost, paused.service.export().lost)
            self.shared.rows.clear()

    def test_random_faults_neither_double_nor_lose_counts(self):
        # Guards against lost or double counts under interleavings of lost answers, late
        # writes, folds of live writers and restarts, which no other test covers.
        exact = 0
        for seed in range(60):
            rng = random.Random(seed)
            lost = 0
            self.shared = fake_tables.FakeTables()
            # Different clocks move counts in time but change no sum.
            offsets = [rng.uniform(-7200, 7200) for _ in range(3)]
            live = [self.process(f"p{n}", offset_s=offsets[n]) for n in range(3)]
            ended = []
            counted = 0
            for _ in range(60):
                each = rng.choice(live)
                match rng.randrange(7):
                    case 0 | 1:
                        each.count(3)
                        counted += 3
                    case 2 | 3:
                        each.service.write()
                    case 4:
                        fault = rng.choice(("lose", "drop", "late"))
                        getattr(each.tables, fault)[each.key()] = 1
                    case 5:
                        rng.choice([*live, *ended]).tables.deliver_late()
                    case 6 if rng.random() < 0.5:
                        each.claims.partitions = {0: 1}
                        each.service._fold_all_at = each.now
                        self.patch(budgets, "INACTIVE_MINUTES", rng.choice((0, 360)))
                    case 6:
                        each.tables.lose.clear()
                        each.tables.drop.clear()
                        each.tables.late.clear()
                        each.service.stop()
                        # Counts left in memory are lost; those in doubt may be.
                        left = each.service.export()
                        counted -= burn.Counts(left.unwritten).requests()
                        lost += burn.Counts(left.doubtful).requests() + left.lost
                        ended.append(each)
                        number = live.index(each)
                        live[number] = self.process(
                            f"p{number}", offset_s=offsets[number]
                        )
                # Doubtful counts of a folded writer are not in the total until it has
                # given them up as lost; lost ones may have been folded.
                exports = [each.service.export() for each in live]
                doubt = sum(burn.Counts(each.doubtful).requests() for each in exports)
                least = counted - lost - doubt - sum(each.lost for each in exports)
                self.assertTrue(least <= self.total(*live) <= counted, seed)
            for each in live * 4:
                for faults in (each.tables.lose, each.tables.drop, each.tables.late):
                    faults.clear()
                each.service.write()
            exports = [each.service.export() for each in live]
            self.assertFalse(any(each.doubtful for each in exports))
            least = counted - lost - sum(each.lost for each in exports)
            total = self.total(*live)
            self.assertTrue(least <= total <= counted, seed)
            unwritten = sum(burn.Counts(each.unwritten).requests() for each in exports)
            stored = self.total(self.process("reader"))
            self.assertEqual(total - unwritten, stored, seed)
            exact += least == counted
        self.assertGreater(exact, 30)  # most runs lose nothing

    def test_a_report_during_a_fold_counts_once(self):
        # The rows are read first, the export afterwards.
        former = self.process("former")
        former.count(5)
        former.service.stop()
        owner = self.process("owner")
        owner.claims.partitions = {0: 1}
        owner.now = 7 * 3600.0
        rows = report.read_store(owner.core, "burn")
        owner.service.write()
        found = budgets.join(rows, [owner.service.export()], 0)
        self.assertEqual(5, sum(good for part in found for *_, good, _ in part))

    def test_old_counts_are_merged_and_expire(self):
        process = self.process()
        sizes = []
        for _ in range(5 * 24):
            for _ in range(60):
                process.count(1)
            process.service.write()
            [row] = self.shared.rows.values()
            sizes.append(len(row.value))
        [series] = process.service.export().written
        kept = sum(good for _, _, good, _ in series.buckets)
        # Buckets of an hour expire as a whole.
        self.assertTrue(
            burn.RETENTION_MINUTES - 60 <= kept < burn.RETENTION_MINUTES, kept
        )
        self.assertLess(len(series.buckets), 65 + 10 + 37 + 96)
        self.assertLess(max(sizes), 3000)
