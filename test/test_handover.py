import gevent
import testtools

from test import resized
from toucanspring import errors, job
from toucanspring.owners import duplicate_check, request_log, routes

DONE = job.Outcome(job.State.DONE, "", b"answer")


class HandoverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(routes, "ROUTE_LIMIT_S", 1.0)
        self.patch(routes, "RETRY_PAUSE_S", 0.01)
        self.patch(duplicate_check, "ASK_LIMIT_S", 0.1)
        self.cell = resized.Cell("a", "b")
        self.addCleanup(self.cell.stop)
        self.name = resized.moved_id(2, 5)
        self.former = job.partition_of(self.name, 2)
        self.present = job.partition_of(self.name, 5)

    def submit(self, process, *names, **fields):
        return self.cell[process].submit(*(names or [self.name]), **fields)

    def test_work_stays_where_it_was_accepted_and_is_found_there(self):
        # Guards against an ID that is not found any more because the new partition
        # count maps it to another log.
        self.submit("a")
        self.cell.change(5)
        for process in "ab":
            status = self.cell[process].partitions.lookup(self.name)
            self.assertEqual(self.name, status.job_id)
            self.assertEqual([self.name], self.submit(process))
            [conflict] = self.submit(process, task_count=2)
            self.assertIsInstance(conflict, errors.Conflict)
        self.assertEqual({self.name: [self.former]}, self.cell.accepted())
        service = self.cell["b"].partitions
        self.assertEqual({self.name: "cancelled"}, service.cancel([self.name]))

    def test_a_new_id_goes_to_the_partition_of_the_present_number(self):
        self.cell.change(5)
        self.assertEqual([self.name], self.submit("a"))
        self.assertEqual({self.name: [self.present]}, self.cell.accepted())

    def test_an_owner_that_has_not_seen_the_change_cannot_accept(self):
        # Guards against an owner that was paused during the change and then writes.
        owner = self.cell.owner(self.former)
        version = owner.journal._layout.view.version
        self.cell["a"].client.before_commit = None
        held = [
            owner.journal.append(record, True, version)
            for record in [resized.log_records.Accepted(resized.spec(self.name))]
        ]
        name = self.cell.owners[self.former][0]
        other = "b" if name == "a" else "a"
        self.cell[name].client.before_commit = lambda: self.cell[other].change(5)
        self.assertIsInstance(held[0].get(timeout=5), errors.LayoutChanged)
        self.assertFalse(owner.journal.fenced)
        self.assertEqual({}, self.cell.accepted())
        self.cell.reread()
        self.cell.claim_unowned(5)
        self.assertEqual([self.name], self.submit(name))
        self.assertEqual({self.name: [self.present]}, self.cell.accepted())

    def test_one_id_through_processes_of_different_generations_is_accepted_once(self):
        # Guards against two owners that each accept the ID, under different counts.
        for index in range(10):
            with self.subTest(index=index):
                cell = resized.Cell("a", "b")
                cell["a"].client.delay_s = cell["b"].client.delay_s = 0.001
                first = gevent.spawn(cell["a"].submit, self.name)
                gevent.sleep(index * 0.0005)
                cell.change(5, "b")
                second = gevent.spawn(cell["b"].submit, self.name)
                gevent.joinall([first, second])
                self.assertEqual([[self.name]] * 2, [first.value, second.value])
                self.assertEqual(1, len(cell.accepted()[self.name]))
                cell.stop()

    def test_a_write_in_doubt_is_settled_before_an_owner_denies_an_id(self):
        # Guards against a denial while an earlier acceptance may still take effect.
        name = self.cell.owners[self.former][0]
        other = "b" if name == "a" else "a"
        owner = self.cell.owner(self.former)
        key = owner.journal.key(1)
        self.cell[name].client.lose[key] = 1
        first = gevent.spawn(self.cell[name].submit, self.name)
        while key not in self.cell.shared.rows:
            gevent.sleep(0)
        self.cell.change(5, other)
        self.assertEqual([self.name], self.cell[other].submit(self.name))
        first.join()
        self.assertEqual({self.name: [self.former]}, self.cell.accepted())

    def test_an_owner_denies_nothing_under_an_older_layout(self):
        # Guards against a denial based on a log check before the last layout change.
        name = resized.moved_id(2, 3, 5)
        number = job.partition_of(name, 5)
        self.cell.change(5)
        process = self.cell.owners[number][0]
        other = "b" if process == "a" else "a"
        self.cell.claim(job.partition_of(name, 3), other)
        owner = self.cell.owner(number)
        self.assertIsNone(owner.log_check.verify())
        self.cell[process].client.lose[owner.journal.key(1)] = 1
        first = gevent.spawn(self.cell[process].submit, name)
        while owner.journal.key(1) not in self.cell.shared.rows:
            gevent.sleep(0)
        self.cell.change(3, other)
        self.assertEqual([name], self.cell[other].submit(name))
        first.join()
        self.assertEqual({name: [number]}, self.cell.accepted())

    def test_an_owner_that_lost_its_partition_denies_nothing(self):
        # Guards against a denial by a former owner whose successor accepted the ID.
        name = self.cell.owners[self.former][0]
        other = "b" if name == "a" else "a"
        self.cell.claim(self.former, other)
        self.assertEqual([self.name], self.cell[other].submit(self.name))
        self.cell.owners[self.former] = (name, *self.cell.owners[self.former][1:])
        self.cell.change(5)
        self.cell.claim(self.present, name)
        [answer] = self.submit(name)
        self.assertIsInstance(answer, errors.Unavailable)
        self.assertEqual({self.name: [self.former]}, self.cell.accepted())

    def test_nothing_is_accepted_while_a_former_owner_is_dead(self):
        # Guards against an acceptance without a response of the former partition.
        self.cell.change(5)
        name = self.cell.owners[self.former][0]
        self.cell.claim(self.present, "b" if name == "a" else "a")
        self.cell.dead.add(name)
        process = self.cell.owners[self.present][0]
        [answer] = self.submit(process)
        self.assertIsInstance(answer, errors.Unavailable)
        self.assertEqual({}, self.cell.accepted())
        self.cell.claim(self.former, process)
        self.assertEqual([self.name], self.submit(process))

    def test_an_unknown_job_is_not_found_only_under_the_present_layout(self):
        # Guards against `NotFound` by a process that knows only the former count.
        self.cell.change(5, "a")
        self.submit("a")
        status = self.cell["b"].partitions.lookup(self.name)
        self.assertEqual(self.name, status.job_id)
        found = self.cell["b"].partitions.lookup("none")
        self.assertIsInstance(found, errors.NotFound)
        self.cell["b"].client.down = True
        found = self.cell["b"].partitions.lookup("none")
        self.assertIsInstance(found, errors.Unavailable)

    def begin(self, process, request_id=None):
        service = self.cell[process].partitions
        return service.begin_request(request_id or self.name, "server")

    def test_a_request_begun_before_the_change_is_not_begun_again(self):
        # Guards against a non-idempotent request that runs under both counts.
        before = self.cell.owners[self.former][0]
        self.assertIsInstance(self.begin(before), request_log.Begun)
        self.cell.change(5)
        owner = self.cell.owners[self.present][0]
        service = self.cell[owner].partitions
        for _ in range(2):
            found = service._duplicate_check.check_request(
                self.cell.owner(self.present), self.name
            )
            self.assertEqual(self.former, found.partition)
            self.cell.step()  # a request without an outcome stays
        finish = self.cell[before].partitions.finish_request
        self.assertIsNone(finish(self.name, DONE))
        self.cell.step()
        entry = service.request_entry(self.name)
        self.assertEqual(DONE, entry.outcome)
        self.assertEqual(request_log.Finished(DONE), self.begin(owner))
        self.assertEqual({self.name: [self.former]}, self.cell.accepted())

    def test_ended_work_moves_and_the_former_number_is_removed(self):
        # Guards against lost outcomes and against former counts that stay forever.
        names = [f"job-{index}" for index in range(40)]
        self.assertEqual(names, self.submit("a", *names))
        self.cell.change(5)
        self.cell.end(*names[:-1])
        self.cell.step(3)
        self.assertEqual((2,), self.cell["a"].layout.layout.former)
        self.cell.end(names[-1])
        self.cell.step(3)
        self.cell.reread()
        self.assertEqual((), self.cell["a"].layout.layout.former)
        for name in names:
            self.assertEqual([name], self.submit("b", name))
            status = self.cell["b"].partitions.lookup(name)
            self.assertEqual(job.State.NOT_RUN, status.outcome.state)
            holder = self.cell.owner(job.partition_of(name, 5))
            self.assertTrue(holder.holds_job(name))
        self.assertEqual(names, sorted(self.cell.accepted(), key=names.index))

    def test_surplus_partitions_stay_until_nothing_is_left_in_them(self):
        self.cell.change(5)
        self.submit("a")
        self.cell.step(3)
        self.cell.change(2)
        self.cell.step(3)
        self.assertEqual(5, self.cell["a"].layout.layout.count)
        self.cell.end(self.name)
        fleet = self.cell["a"].kernel.find("fleet")
        fleet.roster.replace(0, {"w1": 4}, 0.0)
        self.cell.step(3)
        self.cell.reread()
        self.assertEqual(5, self.cell["a"].layout.layout.count)
        fleet.roster.replace(0, {"w1": 1}, 0.0)
        for node in self.cell.nodes.values():
            node.kernel.find("fleet").roster.replace(0, {"w1": 1}, 0.0)
        self.cell.step(3)
        self.cell.reread()
        self.assertEqual(2, self.cell["a"].layout.layout.count)
        self.assertTrue(self.cell.owner(self.former).holds_job(self.name))

    def test_a_handover_from_before_a_change_fails(self):
        # Guards against an ID that is not found because it moves during the queries.
        self.submit("a")
        self.cell.change(5)
        self.cell.end(self.name)
        receiver = self.cell.owners[self.present][0]
        node = self.cell[receiver]
        node.client.before_commit = lambda: node.layout.change(3, 1, "operator")
        self.cell.step()
        self.assertFalse(self.cell.owner(self.present).holds_job(self.name))
        self.assertTrue(self.cell.owner(self.former).holds_job(self.name))
        self.cell.reread()
        self.cell.step(3)
        accepting = job.partition_of(self.name, 3)
        self.assertTrue(self.cell.owner(accepting).holds_job(self.name))

    def test_a_handover_during_a_change_back_loses_nothing(self):
        # Guards against two logs that both delete a job, since each owner was told that
        # the other one has it.
        self.submit("a")
        self.cell.change(5)
        self.cell.end(self.name)
        sender = self.cell.owner(self.former)
        node = self.cell[self.cell.owners[self.former][0]]
        plain = node.partitions.routes.call

        def call(number, method, *more):
            answer = plain(number, method, *more)
            if method == "adopt":
                node.partitions.routes.call = plain
                node.change(2)
                self.cell.reread()
            return answer

        node.partitions.routes.call = call
        self.assertIsNone(sender.log_check.verify())
        node.handover._hand_over(sender)
        self.assertTrue(sender.holds_job(self.name))
        self.cell.step(3)
        self.cell.reread()
        self.assertEqual((2, ()), self.layout_numbers())
        self.assertTrue(self.cell.owner(self.former).holds_job(self.name))
        self.assertEqual([self.name], self.submit("b"))
        self.assertEqual({self.name: [self.former]}, self.cell.accepted())

    def layout_numbers(self):
        present = self.cell["a"].layout.layout
        return present.current, present.former

    def test_a_successor_finds_handed_over_work_once(self):
        # Guards against a job without its outcomes after a takeover.
        self.submit("a")
        self.cell.change(5)
        self.cell.end(self.name)
        self.cell.step()
        self.cell.claim(self.present, self.cell.owners[self.former][0])
        self.cell.claim(self.former, "b")
        state = self.cell.owner(self.present).journal.state
        self.assertTrue(state.is_finished(self.name))
        self.assertNotIn(self.name, self.cell.owner(self.former).journal.state.specs)

    def test_without_former_counts_a_submission_queries_no_other_owner(self):
        self.cell.change(5)
        self.cell.step(2)
        self.cell.reread()
        self.assertEqual((), self.cell["a"].layout.layout.former)
        self.cell.calls.clear()
        self.submit("a", *[f"job-{index}" for index in range(20)])
        self.assertEqual({"submit"}, set(self.cell.calls))
