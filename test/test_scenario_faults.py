import random

import testtools

from bench import faults
from standins import injection, service


class LostWritesTest(testtools.TestCase):
    def call(self, given, *written):
        request = service.Request("POST", "/", {}, {}, b"", "")
        return injection.apply_faults(
            given,
            request,
            lambda _request: service.Response(written=written),
            lambda: 0.0,
        )

    def test_answers_to_writes_of_one_kind_are_lost_as_often_as_given(self):
        given = injection.Faults(lose_writes={"log/": 2})
        self.assertIsNotNone(self.call(given, "members/entry-1"))
        self.assertIsNotNone(self.call(given))
        self.assertIs(service.CLOSE_CONNECTION, self.call(given, "head", "log/0/1"))
        self.assertIs(service.CLOSE_CONNECTION, self.call(given, "log/1/1"))
        self.assertIsNotNone(self.call(given, "log/1/1"))


class ChooseTest(testtools.TestCase):
    def test_a_seed_gives_the_same_faults_that_do_not_undo_each_other(self):
        for seed in range(200):
            chosen = faults.choose(random.Random(seed))
            self.assertEqual(chosen, faults.choose(random.Random(seed)))
            self.assertLessEqual(len(chosen), 3)
            self.assertFalse(set(chosen) >= faults.EXCLUSIVE)
            if faults.store_down in chosen:
                self.assertFalse(faults.NEEDS_STORE & set(chosen))
