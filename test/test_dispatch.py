import random

import msgspec
import testtools

from test import cell
from toucanspring import job, resources, wire
from toucanspring.policy import fair_share
from toucanspring.scheduling import effects, scheduler

CAPACITY = resources.Resources(32_000, 65_536)


def spec(name, team, cpus):
    demand = resources.Resources(cpus, 1024)
    return job.JobSpec(
        id=name, name=name, team=team, demand=demand, task_count=5000, run_seconds=1.0
    )


class ShareTest(testtools.TestCase):
    def mean_usage(self, shares, cpus):
        """Return the mean CPU usage of each team after the first ten seconds."""
        owner = scheduler.Scheduler(0, random.Random(3))
        teams = {
            name: fair_share.Team(name, "o", share) for name, share in shares.items()
        }
        owner.set_teams(teams, 0.0)
        facts = effects.WorkerFacts("w1", 1, CAPACITY, "zone-a", "rack-1")
        owner.worker_attached(facts, [], [], 0.0)
        owner.submit([spec(name, name, cpus[name]) for name in shares], 0.0)
        rng = random.Random(4)
        used = dict.fromkeys(shares, 0.0)
        live: dict[str, tuple] = {}  # task ID -> (end, attempt, team)
        stopped: set[str] = set()
        for step in range(3000):
            now = step * 0.02
            over = [name for name, task in live.items() if task[0] <= now]
            ended = []
            for name in {*over, *(stopped & live.keys())}:
                _, attempt, _ = live.pop(name)
                state = "done" if name in over else "checkpointed"
                ended.append(wire.FinishedTask(name, attempt, state))
            stopped.clear()
            found = owner.worker_report("w1", ended, {}, now) if ended else []
            for effect in [*found, *owner.tick(now)]:
                match effect:
                    case effects.StartTasks(tasks=tasks):
                        ids = [task.task_id for task in tasks]
                        owner.starts_answered("w1", ids, [], now)
                        for task in tasks:
                            end = now + rng.uniform(0.5, 1.5)
                            live[task.task_id] = (end, task.attempt, task.team)
                    case effects.StopTasks(task_ids=task_ids):
                        stopped.update(task_ids)
            if now >= 10:
                for _, _, team in live.values():
                    used[team] += cpus[team] / 2500
        return used

    def test_large_tasks_get_their_share_beside_many_small_ones(self):
        # Guards against small tasks that occupy freed capacity before there is enough
        # for a large one.
        used = self.mean_usage(
            {"small": 1.0, "large": 1.0}, {"small": 1000, "large": 8000}
        )
        self.assertGreater(used["large"], 0.4 * CAPACITY.cpus)

    def test_equal_tasks_follow_unequal_shares(self):
        used = self.mean_usage({"a": 3.0, "b": 1.0}, {"a": 1000, "b": 1000})
        self.assertAlmostEqual(0.75, used["a"] / CAPACITY.cpus, delta=0.05)


class OrderTest(testtools.TestCase):
    def test_a_job_behind_many_unplaceable_ones_starts(self):
        # Guards against a job that is never examined although it would fit.
        owner = scheduler.Scheduler(0, random.Random(3))
        owner.set_teams({"a": fair_share.Team("a", "o", 1.0)}, 0.0)
        facts = effects.WorkerFacts("w1", 1, CAPACITY, "zone-a", "rack-1")
        owner.worker_attached(facts, [], [], 0.0)
        owner.submit([spec("held", "a", 12_000)], 0.0)
        owner.tick(0.0)  # starts two tasks, which do not end
        large = [spec(f"large-{number}", "a", 12_000) for number in range(300)]
        owner.submit([*large, spec("last", "a", 1_000)], 0.0)
        for step in range(1, 30):
            owner.tick(float(step))
        self.assertEqual("running", owner.explain("last").state)

    def test_a_job_for_which_tasks_were_preempted_is_examined_first(self):
        # Guards against repeated preemption for a job far back in the queue that is not
        # examined before its reservation expires.
        c = cell.Cell(workers=1)
        c.submit(cell.spec("fill", task_count=32, run_seconds=9000))
        large = resources.Resources(32_000, 1024)
        for number in range(300):
            c.submit(cell.spec(f"large-{number}", demand=large, run_seconds=9000))
        c.tick()
        c.now += 1000
        due = job.JobClass.DEADLINE
        gang = cell.spec("gang", kind=job.Kind.GANG, task_count=16, job_class=due)
        c.submit(msgspec.structs.replace(gang, deadline_seconds=9000.0))
        for _ in range(30):
            if c.stopped("checkpoint"):
                break
            c.tick(1)
        self.assertEqual(16, len(c.stopped("checkpoint")))
        c.report("w0")
        c.tick(1)
        self.assertEqual(16, len(c.running("gang")))
