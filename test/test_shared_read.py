import gevent
import gevent.event
import testtools

from toucanspring import shared_read


class SharedReadTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stored = 0
        self.began = 0
        self.answer = gevent.event.Event()
        self.shared = shared_read.SharedRead(self.read, 0.0)

    def read(self):
        self.began += 1
        found = self.stored
        self.answer.wait()
        return found

    def test_concurrent_callers_share_two_reads(self):
        # Guards against lookups of unknown IDs that overload the store: with one read
        # for each, a single caller could cause thousands of reads per second.
        first = gevent.spawn(self.shared.get)
        gevent.sleep(0.01)
        self.stored = 1
        others = [gevent.spawn(self.shared.get) for _ in range(100)]
        gevent.sleep(0.01)
        self.answer.set()
        gevent.joinall([first, *others], raise_error=True)
        self.assertEqual(2, self.began)
        # The first read began before the change, and only its own caller gets it.
        self.assertEqual(0, first.value)
        self.assertEqual({1}, {each.value for each in others})

    def test_reads_begin_at_most_once_in_an_interval(self):
        # Guards against reads that follow each other as fast as the store answers.
        now, waits = [10.0], []
        self.patch(shared_read.gevent, "sleep", waits.append)
        self.answer.set()
        shared = shared_read.SharedRead(self.read, 0.05, lambda: now[0])
        for at in (10.0, 10.01, 10.06, 11.0):
            now[0] = at
            shared.get()
        self.assertEqual([0.04], [round(each, 3) for each in waits[:1]])
        self.assertEqual(1, len(waits))
