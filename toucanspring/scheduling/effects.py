"""Effects that a partition's scheduler asks its owner to carry out.

`scheduler.Scheduler(partition, rng, spread_move_s)` has the methods below. Times are
monotonic seconds. Except for the last two, each method returns a list of effects,
which the owner carries out in that order.

- `submit(specs: list[JobSpec], now)`: queue durable jobs; a job that can never
  run yields `RecordOutcomes` with `not_run` and the reason
- `restore(specs, finished: dict[task ID, Outcome], intents: dict[task ID, Intent],
  cancelled: set[job ID], expected_workers: set[str], now)`: restore after a
  takeover; tasks that may still run on a worker of `expected_workers` wait until that
  worker is attached or lost
- `cancel(job_ids, now)`
- `worker_attached(facts: WorkerFacts, running: list[wire.RunningTask],
  finished: list[wire.FinishedTask], now)`
- `worker_report(worker, finished: list[wire.FinishedTask], usage, now)`
- `starts_answered(worker, accepted: list[task ID],
  refused: list[(task ID, reason)], now)`: a refused task has not run
- `starts_unanswered(worker, task_ids, now)`: the stream broke after the starts
  were sent
- `worker_lost(worker, now)`: its lease and grace period must have expired
- `worker_leaving(worker, leaving: bool, now)`: no starts while leaving
- `set_availability_zones(out: frozenset[str], now)`
- `set_teams(teams: dict[str, fair_share.Team], now)`
- `set_allowances(held: dict[str, Resources], now)`
- `intents_durable(intents: list[Intent], now)` and `intents_failed(intents, now)`
- `dependency_finished(job_id, outcome, now)`: response to `WatchJobs`
- `tick(now)`: place waiting tasks; called at least every 20 ms while busy (see
  `tick_interval`) and after each event
- `lookup(job_id) -> JobStatus | errors.NotFound`, `explain(job_id) -> Explanation`
"""

import dataclasses

from toucanspring import job, resources, wire
from toucanspring.reporting import event_kinds


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Properties that a worker reports when it attaches."""

    worker: str
    incarnation: int
    capacity: resources.Resources
    availability_zone: str
    rack: str


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """Log entry: a non-idempotent attempt may be started on a worker."""

    task_id: str
    attempt: int
    worker: str
    incarnation: int
    demand: resources.Resources | None = None  # resources allocated to it


@dataclasses.dataclass(frozen=True, slots=True)
class StartTasks:
    """Start tasks on a worker."""

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
    """Limit a task to a fraction (0 to 1) of the CPU time it would use."""

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
    """Notify waiting callers that all tasks of a job are final."""

    job_id: str
    outcome: job.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Allow a worker to discard finished tasks once their outcomes are durable."""

    worker: str
    task_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAllowance:
    """Request `amount` more of a team's ceiling, `target` in total.

    The owner writes `allowance.resize(row, partition, target, ceiling, least)`.
    Less than `least` is not enough to start any waiting task.
    """

    team: str
    amount: resources.Resources
    target: resources.Resources = resources.ZERO
    least: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnAllowance:
    """Return an unused `amount` of a team's ceiling and keep `target`.

    The scheduler does not use the amount again until `set_allowances` shows that the
    row was written.
    """

    team: str
    amount: resources.Resources
    target: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class WatchJobs:
    """Request a `dependency_finished` call for each of `job_ids` once it is final.

    The jobs are unknown in this partition. An ID that is unknown in all partitions
    counts as `not_run`.
    """

    job_id: str
    job_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publish an event to the subscribers in this process."""

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
    """Number of tasks by state, and the outcome of the job once it is final."""

    job_id: str
    name: str
    team: str
    counts: dict[str, int]
    outcome: job.Outcome | None
    answers: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Reason why a job is waiting, or why its tasks were placed where they are."""

    job_id: str
    state: str
    rank: int
    waits_for: list[str]
    rejected: dict[str, int]  # reason -> number of workers
    placements: dict[str, str]  # task ID -> worker and reason
