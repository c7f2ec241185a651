"""Scheduling state of tasks, steps and jobs."""

from __future__ import annotations

import dataclasses
import enum

from toucanspring import errors, resources
from toucanspring.coordinator import (
    catalogue,
    index_set,
    job_specs,
    ports,
    row_sizes,
    rows,
    step_table,
    stop_causes,
)


class TaskPhase(enum.Enum):
    """Phase of a task; all but the first and the last are allocated to a worker."""

    WAITING = "waiting"
    STARTING = "starting"  # the intent is being written or the order is in flight
    IN_DOUBT = "in doubt"  # it may be running, until its worker reports
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


ALLOCATED_PHASES = frozenset(
    {TaskPhase.STARTING, TaskPhase.IN_DOUBT, TaskPhase.RUNNING, TaskPhase.STOPPING}
)


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})

STATE_VALUES = frozenset(each.value for each in JobState)


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """State of one task; times are seconds of `uptime`."""

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
    # When the worker last confirmed an order about the task. If a poll sent later does
    # not list the task, it has ended. Infinite while an order is unconfirmed.
    confirmed_at: float = float("inf")
    # Workers where the task failed; not used again before `avoid_until`.
    avoided_workers: frozenset[str] = frozenset()
    avoid_until: float = 0.0
    preemptions: int = 0
    times_stuck: int = 0
    resumed: bool = False  # this run started from a checkpoint
    stop_cause: stop_causes.StopCause | None = None  # of the latest stop
    sampled_at: float = 0.0  # latest progress sample for the speed of the worker
    sampled_percent: int = 0
    moved_as_tail: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class StepRun:
    """The tasks of one step in one occurrence of a job."""

    job: JobRecord
    occurrence: int
    number: int
    step: job_specs.Step
    tasks: step_table.TaskTable[Task]
    waiting: index_set.IndexSet
    unfinished: int
    ready_at: float = 0.0
    has_begun: bool = False  # a run of one of its tasks was planned once
    most_failures: int = 0  # of any of its tasks
    # Approval by worker ID: a decision is final, but tickets expire.
    tickets: dict[str, ports.Ticket] = dataclasses.field(default_factory=dict)
    allowed: dict[str, bool] = dataclasses.field(default_factory=dict)
    approval_pending: bool = False
    approval_retry_at: float = 0.0
    wait_reason: str = ""  # reason logged last
    blocked_version: int = -1  # of the availability at which nothing could be placed
    blocked_until: float = 0.0  # looked at then, also at the same availability
    skipped_until: float = 0.0  # its planning raised an exception
    # The ceiling for which it is known whether the step exceeds it by itself.
    checked_ceiling: resources.Resources | None = None
    exceeds_ceiling: bool = False
    # How many of its tasks the workers could run at once, and what that depends on.
    slots: int = 0
    slots_pool: list | None = None
    slots_key: tuple = ()
    # Workers that are reserved for a gang.
    reserved: frozenset[str] = frozenset()
    reserved_until: float = 0.0
    # Workers that a gang holds while it waits for their tickets.
    held: frozenset[str] = frozenset()
    held_since: float = float("-inf")
    # Latest progress rate of a task by worker ID, as a fraction of the task per second.
    task_rates: dict[str, float] = dataclasses.field(default_factory=dict)
    # The same at nominal speed, by the speeds that were known then.
    nominal_rates: dict[str, float] = dataclasses.field(default_factory=dict)
    # Latest run times at nominal speed, and the remaining time of the step and those
    # that need it; see `job_times`.
    run_times_s: list[float] = dataclasses.field(default_factory=list)
    remaining_s: float = 0.0
    remaining_until: float = 0.0

    @property
    def id(self) -> str:
        """Return the ID of the step, unique in the cell."""
        return f"{self.job.spec.id}.{self.occurrence}.{self.number}"

    def task_id(self, index: int) -> str:
        """Return the ID of a task, unique in the cell."""
        return f"{self.id}.{index}"


@dataclasses.dataclass(slots=True, eq=False)
class JobRecord:
    """An accepted job with its open steps by occurrence and step number."""

    spec: job_specs.Job
    accepted_at: float
    steps: step_table.StepTable[StepRun] = dataclasses.field(init=False)
    # Steps of one kind are interchangeable, so only some that have not begun are open
    # at a time; see `openings`. By step number, the kind; by kind, how many are open.
    kinds: tuple[int, ...] = dataclasses.field(init=False)
    not_begun: list[int] = dataclasses.field(init=False)
    due: int = 0  # occurrences whose time has come
    has_unopened: bool = False  # steps whose turn has come are not open
    state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED  # as last written
    # As in the configuration in force, else as at the acceptance of the job; None while
    # no configuration is known.
    queue: catalogue.Queue | None = None
    due_at: float = 0.0  # deadline for the result
    ended_at: float = 0.0
    # Submitted above the organisation's rate; None until that is known.
    over_rate: bool | None = None
    has_copy: bool = False  # a copy of the spec is stored in the coordinator's part
    allocated: int = 0  # tasks that are allocated to a worker
    # When runs failed, by worker, since one ended well.
    failed_on: dict[str, float] = dataclasses.field(default_factory=dict)
    # Of a job with a row for each occurrence: the occurrences that may have one, those
    # that are written as done, and the hash of the value written last of the others.
    stored: index_set.IndexSet = dataclasses.field(default_factory=index_set.IndexSet)
    written_done: index_set.IndexSet = dataclasses.field(
        default_factory=index_set.IndexSet
    )
    written_hashes: dict[int, int] = dataclasses.field(default_factory=dict)
    is_split: bool = dataclasses.field(init=False)  # a row for each occurrence
    # The store has refused a row of the job: its checkpoints are not stored any more,
    # and until then nothing of it starts or is written.
    is_refused: bool = False
    is_shrunk: bool = False  # it has ended, and parts of `spec` were dropped
    set_aside_until: float = 0.0

    def __post_init__(self) -> None:
        self.steps = step_table.StepTable(
            len(self.spec.steps), lambda key: _make_step(self, *key, is_done=True)
        )
        numbers: dict[tuple, int] = {}
        self.kinds = tuple(
            numbers.setdefault(find_kind(step), len(numbers))
            for step in self.spec.steps
        )
        self.not_begun = [0] * len(numbers)
        self.due = 0 if self.spec.repeats else 1
        self.is_split = row_sizes.is_split(self.spec)

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL_STATES


def is_complete(record: JobRecord) -> bool:
    """Return whether all tasks of all occurrences are done."""
    total = max(1, record.spec.repeats) * len(record.spec.steps)
    return record.steps.count_done() == total


def find_kind(step: job_specs.Step) -> tuple:
    """Return what decides where and when the tasks of a step may start."""
    return (
        step.demand, step.gang and step.count, step.same_rack, step.required_label,
        step.preferred_rack, step.max_per_worker, step.long_running,
        step.uses_idle_cpus,
    )  # fmt: skip


def parse_task_id(text: str) -> job_specs.TaskId | None:
    """Return a parsed task ID, or None if the text has another form."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return job_specs.TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def add_step(record: JobRecord, occurrence: int, number: int, now: float) -> StepRun:
    """Add a step to a job with all tasks waiting."""
    step_run = _make_step(record, occurrence, number, now)
    record.steps[occurrence, number] = step_run
    record.not_begun[record.kinds[number]] += 1
    return step_run


def _make_step(
    record: JobRecord,
    occurrence: int,
    number: int,
    now: float = 0.0,
    is_done: bool = False,
) -> StepRun:
    step = record.spec.steps[number]
    left = 0 if is_done else step.count
    return StepRun(
        record,
        occurrence,
        number,
        step,
        step_table.TaskTable(step.count, Task, _make_done_task, is_done),
        index_set.IndexSet.below(left),
        left,
        ready_at=now,
        has_begun=is_done,
    )


def _make_done_task(index: int) -> Task:
    return Task(index, phase=TaskPhase.DONE, run=1)


def note_begun(step_run: StepRun) -> None:
    """Record that a run of a step was planned; it counts no longer as not begun."""
    if not step_run.has_begun:
        step_run.has_begun = True
        step_run.job.not_begun[step_run.job.kinds[step_run.number]] -= 1


def to_progress(record: JobRecord) -> rows.Progress:
    """Return the part of a job's state that is stored."""
    occurrences = [*record.steps.unfinished_occurrences(), *record.steps.finished()]
    steps = [row for each in occurrences for row in to_step_rows(record, each)]
    return rows.Progress(record.state.value, tuple(steps), True)


def to_step_rows(record: JobRecord, occurrence: int) -> list[rows.StepRow]:
    """Return the part of the state of one occurrence that is stored."""
    found = []
    done = set(record.steps.done_of(occurrence))
    for number in range(len(record.spec.steps)):
        if number in done:
            found.append(rows.StepRow(occurrence, number, (), True))
            continue
        step_run = record.steps.get_open((occurrence, number))
        if step_run is not None:
            tasks = _to_task_rows(step_run)
            found.append(rows.StepRow(occurrence, number, tasks))
    return found


def _to_task_rows(step_run: StepRun) -> tuple[rows.TaskRow, ...]:
    """Return the rows of the tasks that have begun or are done."""
    done = [rows.TaskRow(index, 1, done=True) for index in step_run.tasks.done()]
    begun = [
        rows.TaskRow(
            task.index,
            task.run,
            task.failures,
            task.worker if task.phase in ALLOCATED_PHASES else "",
            task.incarnation if task.phase in ALLOCATED_PHASES else 0,
            ""
            if task.phase is TaskPhase.DONE or step_run.job.is_refused
            else task.checkpoint,
            task.phase is TaskPhase.DONE,
            task.failed_run,
        )
        for task in step_run.tasks.known()
        if task.run
    ]
    return tuple(sorted([*done, *begun], key=lambda row: row.index))


def check_progress(
    spec: job_specs.Job, progress: rows.Progress
) -> None | errors.Malformed:
    """Return why stored progress cannot be that of a job, or None if it can."""
    if progress.state not in STATE_VALUES:
        return errors.Malformed(reason=f"unknown state {progress.state!r}")
    seen = set()
    for row in progress.steps:
        key = (row.occurrence, row.step)
        if (
            key in seen
            or not 0 <= row.occurrence < max(1, spec.repeats)
            or not 0 <= row.step < len(spec.steps)
        ):
            return errors.Malformed(reason=f"unexpected step {key}")
        seen.add(key)
        indices = {task.index for task in row.tasks}
        count = spec.steps[row.step].count
        if len(indices) < len(row.tasks) or not all(0 <= i < count for i in indices):
            return errors.Malformed(reason=f"unexpected task in step {key}")
    return None


def may_be_running(progress: rows.Progress) -> bool:
    """Return whether a run of a job with stored progress may go on."""
    return any(task.worker for step in progress.steps for task in step.tasks)


def find_state(progress: rows.Progress) -> JobState:
    """Return the stored state of a job, active only if one of its runs has been seen.

    If the row doesn't tell, the workers will.
    """
    found = JobState(progress.state)
    if found is not JobState.ACTIVE or progress.is_observed:
        return found
    has_begun = any(
        step.complete
        or any(task.done or task.failures or task.checkpoint for task in step.tasks)
        for step in progress.steps
    )
    return JobState.ACTIVE if has_begun else JobState.QUEUED


def restore(record: JobRecord, progress: rows.Progress, now: float) -> list[Task]:
    """Restore the stored state; return the tasks that may be running."""
    record.state = record.durable_state = find_state(progress)
    uncertain = []
    for row in progress.steps:
        key = (row.occurrence, row.step)
        if row.complete:
            record.steps.complete(key)
        elif row.tasks:
            step_run = add_step(record, *key, now)
            note_begun(step_run)
            uncertain.extend(_restore_tasks(step_run, row))
            if not step_run.unfinished:
                record.steps.complete(key)
        record.stored.add(row.occurrence)
    return uncertain


def _restore_tasks(step_run: StepRun, row: rows.StepRow) -> list[Task]:
    """Restore the tasks of a step; return those that may be running."""
    uncertain = []
    for saved in row.tasks:
        if saved.done:
            step_run.tasks.complete(saved.index)
            step_run.waiting.discard(saved.index)
            step_run.unfinished -= 1
            continue
        task = step_run.tasks[saved.index]
        task.run, task.failures = saved.run, saved.failures
        task.failed_run = saved.failed_run
        step_run.most_failures = max(step_run.most_failures, saved.failures)
        task.checkpoint = saved.checkpoint
        if saved.worker:
            task.phase = TaskPhase.IN_DOUBT
            task.worker, task.incarnation = saved.worker, saved.incarnation
            task.confirmed_at = 0.0  # the new epoch fences all earlier orders
            step_run.waiting.discard(task.index)
            uncertain.append(task)
    return uncertain
