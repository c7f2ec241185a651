import gevent
import gevent.event
import testtools

from toucanspring import deadline


class DeadlineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.expired = gevent.event.Event()
        self.limit = deadline.Deadline(self.expired.set)
        self.addCleanup(self.limit.close)

    def test_a_limit_expires_once(self):
        self.limit.set(0.01)
        self.assertTrue(self.expired.wait(5))
        self.expired.clear()
        self.assertFalse(self.expired.wait(0.05))
        self.limit.set(0.01)
        self.assertTrue(self.expired.wait(5))

    def test_a_later_limit_replaces_an_earlier_one(self):
        # Guards against closing a stream on which frames still arrive.
        self.limit.set(0.01)
        self.limit.set(60)
        self.assertFalse(self.expired.wait(0.05))

    def test_an_earlier_limit_replaces_a_later_one(self):
        # Guards against a limit that expires only with the timer of the previous one.
        self.limit.set(60)
        self.limit.set(0.01)
        self.assertTrue(self.expired.wait(5))

    def test_a_limit_set_once_is_not_moved(self):
        # Guards against an answer that is never due because each call moves its limit.
        self.limit.set_once(0.01)
        self.limit.set_once(60)
        self.assertTrue(self.expired.wait(5))

    def test_a_cleared_limit_does_not_expire(self):
        self.limit.set(0.01)
        self.limit.clear()
        self.assertFalse(self.expired.wait(0.05))
