"""Tasks, steps and jobs as the coordinator knows them."""

from __future__ import annotations

import dataclasses
import enum

from toucanspring.coordinator import job_specs, ports, rows


class TaskPhase(enum.Enum):
    """Say where a task stands; all but the first and last occupy a worker."""

    WAITING = "waiting"
    STARTING = "starting"  # the intent is being written or the order is under way
    IN_DOUBT = "in doubt"  # it may be running; its worker has to tell
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


ALLOCATED_PHASES = frozenset(
    {TaskPhase.STARTING, TaskPhase.IN_DOUBT, TaskPhase.RUNNING, TaskPhase.STOPPING}
)


class JobState(enum.Enum):
    """Say what callers are told of a job."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """Hold one task; times are monotonic seconds."""

    index: int
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    failed_run: int = 0  # the latest run that failed
    worker: str = ""
    incarnation: int = 0
    checkpoint: str = ""
    percent: int = 0
    progressed_at: float = 0.0
    started_at: float = 0.0
    # When the worker last confirmed an order about the task; a later look that does
    # not list the task proves that it is gone. Infinite while that is not known.
    confirmed_at: float = float("inf")
    # Workers where it failed; it goes back to them once the others had their chance.
    avoided_workers: frozenset[str] = frozenset()
    avoid_until: float = 0.0
    preemptions: int = 0
    resumed: bool = False  # this run began at a checkpoint
    sampled_at: float = 0.0  # progress as last taken for the speed of its worker
    sampled_percent: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class StepRun:
    """Hold the tasks of one step in one occurrence of a job."""

    job: JobRecord
    occurrence: int
    number: int
    step: job_specs.Step
    tasks: list[Task]
    waiting: set[int]
    unfinished: int
    ready_at: float = 0.0
    # Approval of workers: a known answer never changes, tickets expire.
    tickets: dict[str, ports.Ticket] = dataclasses.field(default_factory=dict)
    allowed: dict[str, bool] = dataclasses.field(default_factory=dict)
    not_requested: list = dataclasses.field(default_factory=list)
    approval_pending: bool = False
    approval_retry_at: float = 0.0
    wait_reason: str = ""  # the reason told last
    blocked_version: int = -1  # capacity version at which no task found room
    # Workers that a gang waits for.
    reserved: frozenset[str] = frozenset()
    reserved_until: float = 0.0
    # Latest rate of a task on each worker, as part of its work a second.
    task_rates: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def id(self) -> str:
        """Return the step's name, unique in the cell."""
        return f"{self.job.spec.id}.{self.occurrence}.{self.number}"

    def task_id(self, index: int) -> str:
        """Return the name of a task, unique in the cell."""
        return f"{self.id}.{index}"


@dataclasses.dataclass(slots=True, eq=False)
class JobRecord:
    """Hold an accepted job and its steps, by occurrence and number."""

    spec: job_specs.Job
    accepted_at: float
    steps: dict[tuple[int, int], StepRun] = dataclasses.field(default_factory=dict)
    state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED  # what is durable
    due_at: float = 0.0  # when an answer in time must be there
    ended_at: float = 0.0
    over_rate: bool = False  # its organisation sent more than its share of jobs
    has_copy: bool = False  # the coordinator's part holds a copy of the job

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL_STATES


def parse_task_id(text: str) -> job_specs.TaskId | None:
    """Return the parts of a task's name; None if it has another form."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return job_specs.TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def add_step(record: JobRecord, occurrence: int, number: int, now: float) -> StepRun:
    """Add a step whose tasks all wait."""
    step = record.spec.steps[number]
    run = StepRun(
        record,
        occurrence,
        number,
        step,
        [Task(index) for index in range(step.count)],
        set(range(step.count)),
        step.count,
        ready_at=now,
    )
    record.steps[occurrence, number] = run
    return run


def to_progress(record: JobRecord) -> rows.Progress:
    """Return the durable part of a job's state."""
    steps = []
    for (occurrence, number), run in record.steps.items():
        if run.unfinished == 0:
            steps.append(rows.StepRow(occurrence, number, (), True))
            continue
        tasks = tuple(
            rows.TaskRow(
                task.index,
                task.run,
                task.failures,
                task.worker if task.phase in ALLOCATED_PHASES else "",
                task.incarnation if task.phase in ALLOCATED_PHASES else 0,
                task.checkpoint,
                task.phase is TaskPhase.DONE,
                task.failed_run,
            )
            for task in run.tasks
            if task.run
        )
        steps.append(rows.StepRow(occurrence, number, tasks))
    return rows.Progress(record.state.value, tuple(steps))


def restore(record: JobRecord, progress: rows.Progress, now: float) -> list[Task]:
    """Take in the durable state; return the tasks that may be running."""
    record.state = record.durable_state = JobState(progress.state)
    record.has_copy = True
    uncertain = []
    for row in progress.steps:
        run = record.steps.get((row.occurrence, row.step))
        if run is None:
            run = add_step(record, row.occurrence, row.step, now)
        if row.complete:
            for task in run.tasks:
                task.phase = TaskPhase.DONE
            run.waiting.clear()
            run.unfinished = 0
            continue
        for saved in row.tasks:
            task = run.tasks[saved.index]
            task.run, task.failures = saved.run, saved.failures
            task.failed_run = saved.failed_run
            task.checkpoint = saved.checkpoint
            if saved.done:
                task.phase = TaskPhase.DONE
                run.waiting.discard(task.index)
                run.unfinished -= 1
            elif saved.worker:
                task.phase = TaskPhase.IN_DOUBT
                task.worker, task.incarnation = saved.worker, saved.incarnation
                task.confirmed_at = 0.0  # the new epoch bars all earlier orders
                run.waiting.discard(task.index)
                uncertain.append(task)
    return uncertain
