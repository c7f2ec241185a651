"""Tests that expectations and the checks of the records can fail."""

import collections
import dataclasses
import json
import types

import testtools

from scenarios import actions, cell, client, language, loads
from standins import checker, events, executions, facts, violations
from toucanspring import resources, uptime


def reply(status, body=None, **more):
    return client.Reply(status, json.dumps(body).encode() if body else b"", **more)


def refusal(kind):
    return {"error": {"type": kind, "reason": ""}}


class FakeHttpClient:
    """Answer calls with prepared replies; the last one is repeated."""

    operator_key = "operator"

    def __init__(self, *replies):
        self.replies = collections.deque(replies)
        self.calls = []

    def call(self, method, path, body=None, key="", headers=None, **_more):
        self.calls.append((method, path, body, key))
        if len(self.replies) > 1:
            return self.replies.popleft()
        return self.replies[0]

    def active(self):
        return ["entry-1"]


KEY = loads.Key("k1", "desk", "secret")
KIND = loads.Kind("request-desk", "normal", False, 1, 4)


class RequestsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(loads, "RETRY_S", 0.0)

    def send(self, *replies, kind=KIND):
        load = loads.Requests("r", FakeHttpClient(*replies), KEY, kind)
        return load, load._send("r-1")

    def test_the_checker_finds_a_wrong_answer(self):
        load, state = self.send(client.Reply(200, b"cut"))
        self.assertEqual("done", state)
        known = facts.RunFacts(answers=tuple(load.answers))
        (violation,) = checker.check({}, known)
        self.assertIsInstance(violation, violations.WrongAnswer)

    def test_a_refusal_after_a_lost_answer_is_no_proof_that_it_did_not_run(self):
        # The refusal covers only the second attempt: with the request recorded as not
        # run, the checker would report the run of the first attempt.
        answer = client.Reply(200, b"x")
        load, state = self.send(
            client.Reply(0, cut_off=True), reply(503, refusal("NotRun")), answer
        )
        self.assertEqual("done", state)
        self.assertEqual(set(), load.not_run)
        self.assertEqual(1, load.counts["interrupted"])

    def test_a_first_refusal_guarantees_that_the_request_did_not_run(self):
        load, state = self.send(reply(503, refusal("NotRun")))
        self.assertEqual("not_run", state)
        self.assertEqual({"r-1"}, load.not_run)

    def test_an_unknown_outcome_is_counted(self):
        _, state = self.send(reply(502, refusal("Unknown")))
        self.assertEqual("unknown", state)

    def test_idempotent_requests_without_an_answer_are_lost(self):
        self.patch(loads, "FOLLOW_UP_LIMIT_S", 0.01)
        _, state = self.send(
            client.Reply(0), kind=dataclasses.replace(KIND, idempotent=True)
        )
        self.assertEqual("lost", state)

    def test_the_checker_finds_late_acceptance_of_a_withdrawn_key(self):
        load, _ = self.send(client.Reply(200, b"x"))
        known = facts.RunFacts(
            key_uses=tuple(load.key_uses), withdrawn_keys={"k1": uptime.now() - 4}
        )
        (violation,) = checker.check({}, known)
        self.assertIsInstance(violation, violations.KeyAccepted)


class JobsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(loads, "RETRY_S", 0.0)

    def submit(self, *replies, count=1):
        jobs = loads.Jobs("j", FakeHttpClient(*replies), KEY)
        jobs.submit(count, {"template": "invoice-run"}, 1)
        return jobs

    def test_each_job_of_a_call_has_its_own_result(self):
        error = refusal("NotRun")["error"]
        body = {"jobs": [{"id": "j-1"}, {"id": "j-2", "error": error}]}
        jobs = self.submit(reply(207, body), count=2)
        self.assertEqual({"j-1": 1}, jobs.accepted)
        self.assertEqual({"j-2"}, jobs.refused)

    def test_a_lost_answer_is_asked_for_again(self):
        accepted = reply(202, {"jobs": [{"id": "j-1"}]})
        jobs = self.submit(client.Reply(0), reply(503, refusal("NotRun")), accepted)
        self.assertEqual({"j-1": 1}, jobs.accepted)
        self.assertEqual(set(), jobs.refused)

    def test_a_key_withdrawn_after_a_lost_answer_leaves_the_job_to_be_found(self):
        forbidden = reply(403, refusal("Forbidden"))
        jobs = self.submit(client.Reply(0), forbidden, reply(200, {"id": "j-1"}))
        self.assertEqual(({"j-1": 1}, set()), (jobs.accepted, jobs.refused))
        jobs = self.submit(client.Reply(0), forbidden, reply(404, {}))
        self.assertEqual(({}, set()), (jobs.accepted, jobs.refused))

    def test_a_job_that_is_neither_accepted_nor_refused_is_a_problem(self):
        self.patch(loads, "FOLLOW_UP_LIMIT_S", 0.01)
        jobs = self.submit(client.Reply(0))
        self.assertEqual(1, len(jobs.problems))

    def test_a_job_without_an_outcome_is_lost(self):
        jobs = self.submit(reply(202, {"jobs": [{"id": "j-1"}]}))
        status = {"counts": {"running": 1}, "outcome": None}
        jobs._http_client.replies = [reply(200, status)]
        jobs.refresh()
        self.assertEqual((1, 0), (jobs.count("lost"), jobs.count("finished")))
        status = {"counts": {"done": 1}, "outcome": {"state": "done"}}
        jobs._http_client.replies = [reply(200, status)]
        jobs.refresh()
        self.assertEqual((0, 1), (jobs.count("lost"), jobs.count("done")))


class CellTest(testtools.TestCase):
    """Use a cell without processes."""

    def setUp(self):
        super().setUp()
        self.cell = made = cell.Cell.__new__(cell.Cell)
        made.http_client = FakeHttpClient(reply(200, {"versions": {"config": 1}}))
        made.cluster = types.SimpleNamespace(operator_key="operator", records=dict)
        made.partitions = 1
        made.jobs, made.requests, made.keys = {}, {}, {"desk": KEY}
        made.outages, made.zones_out, made.ceilings = [], {}, []
        made.gangs, made.withdrawn, made.regressions, made._versions = {}, {}, [], {}
        made.owner = lambda partition: "entry-2"
        made.history = types.SimpleNamespace(attempts=[], refresh=lambda: None)
        self.runner = actions.StepRunner(made, lambda line: None)
        self.runner.finish_within_s = 0.0

    def fails(self, function, *args):
        return self.assertRaises(cell.StepFailed, function, *args)

    def add_jobs(self, **outcomes):
        jobs = self.cell.jobs["j"] = loads.Jobs("j", self.cell.http_client, KEY)
        jobs.refresh = lambda: None
        jobs.accepted = dict.fromkeys(outcomes, 1)
        jobs.outcomes = {name: state for name, state in outcomes.items() if state}
        return jobs

    def test_a_count(self):
        self.add_jobs(a="done", b="unknown")
        self.runner.expect_count(language.Amount("exactly", 1), "j", "done", None)
        failed = self.fails(
            self.runner.expect_count, language.Amount("all"), "j", "done", None
        )
        self.assertIn("1 of 2 are done", str(failed))

    def test_a_version(self):
        self.runner.expect_version(1, 0.01)
        self.fails(self.runner.expect_version, 2, 0.01)

    def test_an_accepted_withdrawn_key(self):
        self.cell.withdrawn["k1"] = 0.0
        self.fails(self.runner.expect_key_refused, "desk")
        self.cell.http_client.replies = [reply(403, refusal("Forbidden"))]
        self.runner.expect_key_refused("desk")

    def test_an_owner_that_does_not_run(self):
        self.fails(self.runner.expect_owned, 0.0)
        self.fails(self.runner.expect_takeover, 0, "entry-2", 0.0)
        self.runner.expect_takeover(0, "entry-1", 0.0)

    def add_start(self, zone, at):
        start = events.Start(
            at=at,
            worker="w",
            incarnation=1,
            availability_zone=zone,
            partition=0,
            epoch=1,
            task="j/0",
            attempt=0,
            team="desk",
            demand=resources.ZERO,
            idempotent=True,
            resumed=False,
            tick_age_ms=0,
        )
        self.cell.history.attempts.append(executions.Attempt(start))

    def test_a_late_start_in_a_zone(self):
        self.cell.zones_out["zug-1"] = 100.0
        for at, zone in ((102.9, "zug-1"), (104.0, "luzern-1")):
            self.add_start(zone, at)
        self.runner.expect_no_start("zug-1")
        self.add_start("zug-1", 103.1)
        self.fails(self.runner.expect_no_start, "zug-1")

    def test_lost_work(self):
        self.add_jobs(a="done")
        self.runner.expect_nothing_lost()
        self.add_jobs(a="done", b="")
        self.fails(self.runner.expect_nothing_lost)
        self.assertIn(violations.LostWork(work="b/0"), self.cell.check_records())

    def test_an_outcome_without_a_run(self):
        self.add_jobs(a="done")
        self.cell.cluster.records = lambda: {"workers": {"events": []}}
        failed = self.fails(self.runner.expect_invariants)
        self.assertIn("FalseOutcome", str(failed))

    def test_a_version_that_goes_back(self):
        self.cell._compare_versions("entry-1", {"config": 2, "keys": 1, "zones": 0})
        self.cell._compare_versions("entry-1", {"config": 2, "keys": 3, "zones": 0})
        self.assertEqual([], self.cell.problems())
        self.cell._compare_versions("entry-1", {"config": 1, "keys": 3, "zones": 0})
        self.assertEqual(1, len(self.cell.problems()))

    def test_operators_who_both_succeed(self):
        self.cell.source = cell.read_deployment("kernhalde")
        self.cell.version = 1
        self.cell.http_client.replies = [reply(200, {"version": 2})]
        ceiling = language.Ceiling("desk", 10)
        self.fails(self.runner.race, ceiling, "entry-1", ceiling, "entry-2")

    def test_a_lowered_ceiling_counts_from_its_acceptance(self):
        self.cell.source = cell.read_deployment("kernhalde")
        self.cell.record_in_force(self.cell.source, 1, before=5.0)
        before = uptime.now()
        lowered = cell.with_ceilings(self.cell.source, {"desk": 10})
        self.cell.record_in_force(lowered, 2, before)
        last = self.cell.ceilings[-1]
        self.assertEqual(("desk", 10_000), (last.team, last.amount.cpus))
        self.assertGreaterEqual(last.from_at, before)
        self.cell.record_in_force(cell.with_ceilings(lowered, {"desk": 20}), 3, before)
        self.assertEqual(before, self.cell.ceilings[-1].from_at)
