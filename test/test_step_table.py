"""Compact sets and tables, compared with plain sets and dicts."""

import hypothesis
import testtools
from hypothesis import strategies

from toucanspring.coordinator import index_set, step_table

NUMBERS = strategies.integers(0, 200)


class IndexSetTest(testtools.TestCase):
    # Guards against waiting tasks that get lost or never start.
    @hypothesis.given(
        strategies.lists(strategies.tuples(strategies.booleans(), NUMBERS)),
        strategies.sets(NUMBERS),
    )
    def test_it_is_a_set_in_ascending_order(self, changes, others):
        compact, plain = index_set.IndexSet(), set()
        for is_added, number in changes:
            (compact.add if is_added else compact.discard)(number)
            (plain.add if is_added else plain.discard)(number)
        self.assertEqual(sorted(plain), list(compact))
        self.assertEqual((len(plain), bool(plain)), (len(compact), bool(compact)))
        self.assertEqual(plain - others, set(compact.minus(index_set.IndexSet(others))))
        self.assertEqual(plain & others, {each for each in others if each in compact})

    def test_members_may_change_during_an_iteration(self):
        compact = index_set.IndexSet.below(5)
        seen = []
        for number in compact:
            seen.append(number)
            compact.discard(number)
            compact.add(number + 10)
        self.assertEqual([0, 1, 2, 3, 4], seen)
        self.assertEqual([10, 11, 12, 13, 14], list(compact))


def make_tasks(count, is_done=False):
    return step_table.TaskTable(
        count, lambda index: [index], lambda index: ("done", index), is_done
    )


class TaskTableTest(testtools.TestCase):
    # Guards against a task whose state is lost between two looks at it.
    def test_a_task_keeps_its_object_until_it_is_done(self):
        tasks = make_tasks(3)
        self.assertIsNone(tasks.find(1))
        tasks[1].append("run")
        self.assertEqual([1, "run"], tasks[1])
        self.assertEqual((1, 2), (len(tasks.known()), tasks.unknown()))
        tasks.complete(1)
        self.assertEqual(("done", 1), tasks[1])
        self.assertIsNone(tasks.find(1))
        self.assertEqual(
            (0, 2, [1]), (len(tasks.known()), tasks.unknown(), list(tasks.done()))
        )
        self.assertEqual([[0], ("done", 1), [2]], list(tasks))
        self.assertEqual([2], tasks[-1])
        self.assertRaises(IndexError, lambda: tasks[3])
        tasks.forget(0)
        self.assertIsNone(tasks.find(0))

    def test_all_tasks_of_a_done_step_are_done(self):
        tasks = make_tasks(2, is_done=True)
        self.assertEqual([("done", 0), ("done", 1)], list(tasks))
        self.assertEqual((0, 0), (len(tasks.known()), tasks.unknown()))


class StepTableTest(testtools.TestCase):
    # Guards against a step that runs again, or a job that never completes.
    @hypothesis.given(
        strategies.integers(1, 4),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("open", "complete", "forget")),
                strategies.integers(0, 5),
                strategies.integers(0, 3),
            )
        ),
    )
    def test_each_step_is_open_done_or_neither(self, steps, changes):
        table = step_table.StepTable(steps, lambda key: ("done", key))
        opened, done = {}, set()
        for change, occurrence, number in changes:
            key = (occurrence, number % steps)
            match change:
                case "open" if key not in done:
                    table[key] = opened[key] = key
                case "complete":
                    table.complete(key)
                    opened.pop(key, None)
                    done.add(key)
                case "forget":
                    table.forget(key)
                    opened.pop(key, None)
        table.compact()
        self.assertEqual(opened, dict(table.items()))
        self.assertEqual(len(done), table.count_done())
        for occurrence in range(6):
            numbers = {number for each, number in done if each == occurrence}
            self.assertEqual(numbers, set(table.done_of(occurrence)))
            is_finished = len(numbers) == steps
            self.assertEqual(is_finished, occurrence in table.finished())
            is_begun = any(each == occurrence for each, _ in opened) or (
                bool(numbers) and not is_finished
            )
            self.assertEqual(is_begun, occurrence in table.unfinished_occurrences())
        for key in done:
            self.assertEqual(("done", key), table[key])
            self.assertIsNone(table.get_open(key))
