import dataclasses

import testtools

from standins import checker, facts, violations
from toucanspring import resources

CORE = (1000, 100, 0)
ZONE = "zone-a"


class Records:
    """Builds the record of a stand-in event by event."""

    def __init__(self):
        self.events = []
        self.dropped = 0
        for worker in ("w1", "w2", "w3"):
            self.add(0, "worker", worker=worker, incarnation=1, capacity=(4000, 400, 0))

    def add(self, at, kind, **fields):
        self.events.append({"at": float(at), "kind": kind, **fields})

    def start(self, at, worker, task, attempt=0, **changes):
        fields = {
            "incarnation": 1,
            "availability_zone": ZONE,
            "partition": 0,
            "epoch": 1,
            "team": "t",
            "demand": CORE,
            "idempotent": True,
            "resumed": False,
            "tick_age_ms": 5,
        } | changes
        self.add(at, "start", worker=worker, task=task, attempt=attempt, **fields)

    def end(self, at, worker, task, attempt=0, state="done", ran_until=None):
        self.add(
            at,
            "end",
            worker=worker,
            incarnation=1,
            task=task,
            attempt=attempt,
            state=state,
            reason="",
            ran_until=float(at if ran_until is None else ran_until),
        )

    def run(self, at, executor, request, idempotent=False):
        self.add(
            at,
            "run",
            executor=executor,
            request=request,
            idempotent=idempotent,
            client="c",
            busy=1,
            slots=2,
        )

    def check(self, **known):
        record = {"events": self.events, "dropped": self.dropped}
        return checker.check({"all": record}, facts.RunFacts(**known))


class CheckerTest(testtools.TestCase):
    """Each test guards against a violation that is missed or reported falsely."""

    def setUp(self):
        super().setUp()
        self.records = Records()

    def expect(self, kind, **known):
        found = self.records.check(**known)
        self.assertEqual([kind], [type(violation) for violation in found], found)
        return found[0]

    def test_correct_work_has_no_violation(self):
        records = self.records
        for index in range(4):
            records.start(1, "w1", f"j/{index}")
            records.end(2, "w1", f"j/{index}")
        records.start(2, "w1", "k/0")  # uses the capacity freed at the same time
        records.end(3, "w1", "k/0", state="checkpointed")
        records.start(3, "w2", "k/0", attempt=1, resumed=True)
        records.end(4, "w2", "k/0", attempt=1)
        records.run(1, "e1", "r1")
        records.add(2, "ran", executor="e1", request="r1")
        found = records.check(
            ceilings=(facts.Ceiling("t", resources.Resources(4000, 400, 0)),),
            accepted_tasks=frozenset({"k/0"}),
            task_outcomes={"k/0": "done"},
            gang_sizes={"j": 4},
            zone_outages=(facts.ZoneOutage(ZONE, 10.0),),
        )
        self.assertEqual([], found)

    def test_dropped_events(self):
        self.records.dropped = 3
        self.expect(violations.IncompleteRecord)

    def test_capacity_in_each_dimension(self):
        for demand in ((1001, 0, 0), (0, 101, 0), (0, 0, 1)):
            self.records = Records()
            for index in range(4):
                self.records.start(1 + index, "w1", f"j/{index}", demand=demand)
            self.expect(violations.OverCapacity)

    def test_actual_usage_above_the_capacity_for_too_long(self):
        # Guards against tasks whose declared demand fits while the VM is overloaded.
        def use(at, worker, is_over):
            used = (5000, 100, 0)
            self.records.add(at, "use", worker=worker, is_over=is_over, used=used)

        use(10, "w1", True)
        use(20, "w1", False)  # in time
        use(30, "w2", True)
        self.records.add(35, "died", worker="w2", incarnation=1)
        use(40, "w3", True)
        use(40 + checker.OVERUSE_S + 1, "w3", False)
        found = self.expect(violations.Overused)
        self.assertEqual(("w3", 40.0), (found.place, found.at))

    def test_overlap_on_two_workers(self):
        self.records.start(1, "w1", "j/0")
        self.records.start(5, "w2", "j/0", attempt=1)
        self.records.end(6, "w1", "j/0")
        self.assertEqual(("w1", "w2"), self.expect(violations.TwoPlaces).workers)

    def test_overlap_with_an_attempt_before_the_previous_one(self):
        self.records.start(1, "w1", "j/0")
        self.records.start(2, "w2", "j/0", attempt=1)
        self.records.end(3, "w2", "j/0", attempt=1)
        self.records.start(4, "w3", "j/0", attempt=2)
        found = self.records.check()
        self.assertEqual(2, len(found), found)

    def test_the_same_attempt_started_twice_on_one_worker(self):
        self.records.start(1, "w1", "j/0")
        self.records.start(2, "w1", "j/0")
        self.expect(violations.TwoPlaces)

    def test_no_overlap_with_a_dead_or_paused_worker(self):
        self.records.start(1, "w1", "j/0")
        self.records.add(2, "died", worker="w1", incarnation=1)
        self.records.start(3, "w2", "j/0", attempt=1)
        self.records.add(4, "paused", worker="w2", incarnation=1)
        self.records.start(30, "w3", "j/0", attempt=2)
        self.assertEqual([], self.records.check())
        self.records.add(31, "resumed", worker="w2", incarnation=1)
        self.records.end(32, "w2", "j/0", attempt=1, ran_until=4)
        self.assertEqual([], self.records.check())

    def test_overlap_with_a_worker_that_ran_on_after_a_pause(self):
        self.records.start(1, "w2", "j/0")
        self.records.add(4, "paused", worker="w2", incarnation=1)
        self.records.start(30, "w3", "j/0", attempt=1)
        self.records.add(31, "resumed", worker="w2", incarnation=1)
        self.records.end(32, "w2", "j/0")
        self.expect(violations.TwoPlaces)

    def test_second_start_of_a_non_idempotent_task(self):
        self.records.start(1, "w1", "j/0", idempotent=False)
        self.records.end(2, "w1", "j/0", state="failed")
        self.records.start(3, "w2", "j/0", attempt=1, idempotent=False)
        self.expect(violations.StartedAgain)

    def test_second_run_of_a_non_idempotent_request(self):
        self.records.run(1, "e1", "r1")
        self.records.run(2, "e2", "r1")
        self.records.run(3, "e1", "r2", idempotent=True)
        self.records.run(4, "e2", "r2", idempotent=True)
        self.expect(violations.RequestRanAgain)

    def test_start_in_a_zone_taken_out(self):
        for at in (12.9, 40.0):  # within the time limit, and after its return
            self.records.start(at, "w1", f"a{at}/0")
        outages = (facts.ZoneOutage(ZONE, 10.0, 39.0),)
        self.assertEqual([], self.records.check(zone_outages=outages))
        self.records.start(13.1, "w1", "b/0")
        self.expect(violations.ZoneStart, zone_outages=outages)

    def test_ceiling_across_workers(self):
        self.records.start(1, "w1", "j/0")
        self.records.start(2, "w2", "j/1")
        ceilings = (facts.Ceiling("t", resources.Resources(1500, 1000, 0)),)
        self.expect(violations.OverCeiling, ceilings=ceilings)

    def test_lowered_ceiling_without_any_later_start(self):
        self.records.start(1, "w1", "j/0")
        self.records.start(2, "w2", "j/1")
        before = facts.Ceiling("t", resources.Resources(2000, 1000, 0))
        lowered = dataclasses.replace(
            before, amount=resources.Resources(1000, 1000, 0), from_at=10.0
        )
        found = self.expect(violations.OverCeiling, ceilings=(before, lowered))
        self.assertEqual(15.0, found.at)
        self.records.end(14, "w2", "j/1", state="checkpointed")
        self.assertEqual([], self.records.check(ceilings=(before, lowered)))

    def test_start_by_a_superseded_owner(self):
        self.records.add(1, "attach", worker="w1", incarnation=1, partition=0, epoch=2)
        self.records.start(2, "w1", "j/0", epoch=1)
        self.expect(violations.StaleEpoch)

    def test_gang_that_stays_partial(self):
        self.records.start(1, "w1", "g/0")
        self.records.start(1, "w2", "g/1")
        self.records.add(20, "read")
        self.assertEqual([], self.records.check(gang_sizes={"g": 3}))
        self.records.add(28, "read")
        self.expect(violations.PartialGang, gang_sizes={"g": 3})

    def test_work_that_ran_although_refused(self):
        self.records.run(1, "e1", "r1")
        self.expect(violations.RanAfterNotRun, requests_not_run=frozenset({"r1"}))
        self.records = Records()
        self.records.start(1, "w1", "j/0")
        self.expect(violations.RanAfterNotRun, task_outcomes={"j/0": "not_run"})

    def test_outcomes_that_no_worker_recorded(self):
        self.expect(violations.FalseOutcome, task_outcomes={"j/0": "done"})
        self.records.start(1, "w1", "j/0")
        self.records.end(2, "w1", "j/0", state="done")
        self.expect(violations.FalseOutcome, task_outcomes={"j/0": "failed"})

    def test_accepted_work_without_outcome(self):
        self.expect(violations.LostWork, accepted_tasks=frozenset({"j/0"}))

    def test_truncated_answers_and_answers_of_other_requests(self):
        for body in (b"righ", b"wrong"):
            answer = facts.ReceivedAnswer("r1", body, b"right")
            self.expect(violations.WrongAnswer, answers=(answer,))

    def test_more_requests_than_slots(self):
        for index in range(3):
            self.records.run(1 + index, "e1", f"r{index}")
        self.expect(violations.OverCapacity)

    def test_new_work_for_a_leaving_backend_server(self):
        self.records.add(1, "list", states={"e1": "leaving"}, lag_ms=1000.0)
        self.records.run(4.9, "e1", "r1")
        self.assertEqual([], self.records.check())
        self.records.run(5.1, "e1", "r2")
        self.expect(violations.LeavingRun)

    def test_work_accepted_with_a_withdrawn_key(self):
        use = facts.KeyUse("k1", 13.5)
        self.expect(
            violations.KeyAccepted, key_uses=(use,), withdrawn_keys={"k1": 10.0}
        )
        self.assertEqual(
            [], self.records.check(key_uses=(use,), withdrawn_keys={"k1": 11.0})
        )
