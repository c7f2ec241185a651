import testtools

from toucanspring.reporting import event_buffer, event_kinds, event_rows

START = 2_000_000_000.0


def lost(number=0, tasks=1):
    return event_kinds.WorkerLost(f"w{number}", "z0", "r0", 0, tasks)


def stopped(job="a", worker="w0"):
    cause = event_kinds.StopCause.PREEMPTED
    return event_kinds.TasksStopped(job, worker, "z0", cause, "checkpoint", "b")


class EventBufferTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.buffer = event_buffer.Buffer()

    def entries(self):
        return [entry for each in self.buffer.segments for entry in each.entries]

    def test_equal_events_of_a_minute_are_one_entry(self):
        for second in (0, 10, 59, 60):
            self.buffer.add(stopped(), START - START % 60 + second)
        self.assertEqual([3, 1], [entry.count for entry in self.entries()])

    def test_sums_and_latest_values_are_folded(self):
        for tasks in (2, 3):
            self.buffer.add(lost(tasks=tasks), START)
        for fraction in (0.5, 0.3):
            self.buffer.add(event_kinds.TasksThrottled("a", "w0", fraction), START)
        worker, throttled = self.entries()
        self.assertEqual(5, worker.event.tasks)
        self.assertEqual(0.3, throttled.event.fraction)

    def test_a_burst_over_many_jobs_keeps_its_count(self):
        # Guards against memory and rows that grow with the number of jobs in a burst.
        for number in range(5000):
            self.buffer.add(stopped(job=f"job-{number}"), START)
        entries = self.entries()
        self.assertEqual(5000, sum(entry.count for entry in entries))
        self.assertTrue(len(entries) <= event_buffer.ENTRIES_PER_MINUTE + 1)
        self.assertEqual(event_kinds.ANY, entries[-1].event.job)

    def test_a_loss_of_workers_keeps_its_subjects_in_a_burst(self):
        for number in range(event_buffer.ENTRIES_PER_MINUTE + 10):
            self.buffer.add(stopped(job=f"job-{number}"), START)
        self.buffer.add(lost(7), START)
        self.assertEqual("w7", self.entries()[-1].event.worker)

    def test_an_hour_is_bounded_and_what_is_dropped_is_counted(self):
        for minute in range(59):
            for number in range(event_buffer.ENTRIES_PER_MINUTE):
                moment = START - START % 3600 + 60 * minute
                self.buffer.add(stopped(job=f"job-{number}"), moment)
        size = sum(segment.size for segment in self.buffer.segments)
        self.assertTrue(size <= event_buffer.MAX_BYTES_PER_HOUR)
        kept = sum(entry.count for entry in self.entries())
        total = 59 * event_buffer.ENTRIES_PER_MINUTE
        self.assertEqual(total, kept + self.buffer.lost)
        for segment in self.buffer.segments:
            body = event_rows.encode("p", "w", 0, segment.entries)
            self.assertTrue(len(body) <= event_buffer.SEGMENT_BYTES + 100)

    def test_a_long_outage_is_bounded(self):
        for hour in range(50):
            for number in range(1000):
                moment = START + 3600 * hour + number
                self.buffer.add(lost(number), moment)
        buffered = sum(segment.size for segment in self.buffer.segments)
        self.assertTrue(buffered <= 2 * event_buffer.MAX_BUFFERED_BYTES)
        self.assertTrue(self.buffer.lost > 0)
        # Guards against a number of lost events that is never written.
        for segment in self.buffer.segments:
            segment.unwritten = False
        self.buffer.add(lost(), START + 3600 * 51)
        self.assertEqual(1, len(self.buffer.unwritten()))

    def test_written_segments_are_forgotten_after_a_while(self):
        for number in range(300):
            self.buffer.add(lost(number), START)
        for segment in self.buffer.segments:
            segment.unwritten, segment.written_at = False, 5.0
        self.buffer.drop_written(5.0 + event_buffer.WRITTEN_RETENTION_S - 1)
        self.assertEqual(300, len(self.entries()))
        self.buffer.drop_written(5.0 + event_buffer.WRITTEN_RETENTION_S)
        self.assertEqual(1, len(self.buffer.segments))


class EventKindsTest(testtools.TestCase):
    def test_folded_fields_exist(self):
        # Guards against a misspelt name, with which no events would be folded.
        for kind in event_kinds.KINDS:
            folded = set(kind.SUMMED + kind.LATEST)
            self.assertEqual(set(), folded - set(kind.__struct_fields__), kind)
