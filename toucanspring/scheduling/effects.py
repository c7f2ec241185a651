"""Effects that a partition's scheduler asks its owner to carry out.

`scheduler.Scheduler(partition, rng, spread_move_s)` has these methods. Times are
monotonic seconds; each returns the list of effects, in the order to carry them out.

- `submit(specs: list[JobSpec], now)`: queue durable jobs; a job that can never
  run yields `RecordOutcomes` with `not_run` and the reason
- `restore(specs, finished: dict[task ID, Outcome], intents: dict[task ID, Intent],
  cancelled: set[job ID], expected_workers: set[str], now)`: rebuild after takeover;
  tasks that may still run on a worker of `expected_workers` wait until that worker
  is attached or lost
- `cancel(job_ids, now)`
- `worker_attached(facts: WorkerFacts, running: list[wire.RunningTask],
  finished: list[wire.FinishedTask], now)`
- `worker_report(worker, finished: list[wire.FinishedTask], usage, now)`
- `starts_answered(worker, accepted: list[task ID],
  refused: list[(task ID, reason)], now)`: a refused start certainly did not run
- `starts_unanswered(worker, task_ids, now)`: the stream broke after sending
- `worker_lost(worker, now)`: its lease and stop grace must have expired
- `worker_leaving(worker, leaving: bool, now)`: no new starts while leaving
- `set_availability_zones(out: frozenset[str], now)`
- `set_teams(teams: dict[str, fairness.Team], now)`
- `set_allowances(held: dict[str, Resources], now)`
- `intents_durable(intents: list[Intent], now)` and `intents_failed(intents, now)`
- `dependency_finished(job_id, outcome, now)`: answers `WatchJobs`
- `tick(now)`: place waiting work; called every 20 ms and after each event
- `lookup(job_id) -> JobStatus | errors.NotFound`, `explain(job_id) -> Explanation`
"""

import dataclasses

from toucanspring import job, resources, wire
from toucanspring.reporting import event_kinds


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Describe a worker as it reported itself when attached."""

    worker: str
    incarnation: int
    capacity: resources.Resources
    availability_zone: str
    rack: str


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """Record that a non-idempotent attempt may start on one worker."""

    task_id: str
    attempt: int
    worker: str
    incarnation: int
    demand: resources.Resources | None = None  # what the attempt holds there


@dataclasses.dataclass(frozen=True, slots=True)
class StartTasks:
    """Send starts to a worker."""

    worker: str
    tasks: list[wire.TaskStart]


@dataclasses.dataclass(frozen=True, slots=True)
class StopTasks:
    """Stop tasks on a worker; `mode` is `kill` or `checkpoint`."""

    worker: str
    task_ids: list[str]
    mode: str


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit a task to a fraction (0 to 1) of the processors that it would use."""

    worker: str
    task_id: str
    fraction: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordIntents:
    """Write intents to the log, then call `intents_durable`."""

    intents: list[Intent]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcomes:
    """Write final task outcomes to the log."""

    outcomes: dict[str, job.Outcome]


@dataclasses.dataclass(frozen=True, slots=True)
class JobFinished:
    """Tell waiters that all tasks of a job are final."""

    job_id: str
    outcome: job.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Let a worker forget finished tasks, once their outcomes are durable."""

    worker: str
    task_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAllowance:
    """Ask for `amount` more of a team's ceiling, up to `target` in all.

    The caller writes `allowance.resize(row, partition, target, ceiling, least)`.
    Room for less than `least` is of no use.
    """

    team: str
    amount: resources.Resources
    target: resources.Resources = resources.ZERO
    least: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnAllowance:
    """Give back `amount` of a team's ceiling that is not in use, and keep `target`.

    The scheduler does not use the amount again before `set_allowances` shows that
    the row was written.
    """

    team: str
    amount: resources.Resources
    target: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class WatchJobs:
    """Call `dependency_finished` for each of `job_ids`, once it is final.

    The jobs are not known in this partition. An ID that no partition knows counts
    as `not_run`.
    """

    job_id: str
    job_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Tell listeners of this process what was decided."""

    event: event_kinds.Event


Effect = (
    StartTasks
    | StopTasks
    | ThrottleTask
    | RecordIntents
    | RecordOutcomes
    | JobFinished
    | Acknowledge
    | RequestAllowance
    | ReturnAllowance
    | WatchJobs
    | Publish
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """Summarise a job: counts of tasks by state and the outcome once final."""

    job_id: str
    name: str
    team: str
    counts: dict[str, int]
    outcome: job.Outcome | None
    answers: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Say why a job waits, or why it ran where it did."""

    job_id: str
    state: str
    rank: int
    waits_for: list[str]
    rejected: dict[str, int]  # reason -> number of workers
    placements: dict[str, str]  # task ID -> worker and reason
