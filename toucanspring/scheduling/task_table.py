"""Jobs of one partition with their tasks, dependencies and outcomes."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from toucanspring import errors, job, resources
from toucanspring.scheduling import effects, failure_tracking

# Bounds the memory of an owner. Older jobs are looked up in the log, if it still has
# them.
FINISHED_JOBS_KEPT = 50_000
DONE = job.Outcome(job.State.DONE)


class LiveTask(job.Task):
    """Task that is assigned to a worker."""

    demand: resources.Resources = resources.ZERO
    team: str = ""
    incarnation: int = 0
    expected_end: float = 0.0  # seconds of `uptime`
    stop_reason: str = ""  # set once a stop was requested
    stop_mode: str = ""
    usage: resources.Resources = resources.ZERO  # as last reported
    # Memory allocated before it was raised to the actual usage; 0 if it was not.
    granted_memory: int = 0
    throttle: float = 1.0  # fraction of its processors that it may use
    settled_at: float = 0.0  # when reports reflect the last throttling


class JobRecord:
    """State of one job; waiting tasks are represented by their index only."""

    __slots__ = (
        "accepted_at",
        "answers",
        "attempts",
        "failure_tracker",
        "blocked_on",
        "cancelled",
        "delayed",
        "failures",
        "finals",
        "gang_aborted",
        "gang_stop_reason",
        "gang_delay",
        "unconfirmed",
        "live",
        "losses",
        "outcome",
        "progress",
        "ran",
        "spec",
        "outcome_counts",
    )

    def __init__(self, spec: job.JobSpec, now: float) -> None:
        self.spec = spec
        self.accepted_at = now
        self.live: dict[int, LiveTask] = {}
        self.finals: dict[int, job.Outcome] = {}
        self.outcome_counts: dict[job.State, int] = {}
        self.answers: dict[str, bytes] = {}
        self.attempts: dict[int, int] = {}  # number of the last attempt
        self.failures: dict[int, list[str]] = {}  # workers of failed attempts
        # Created by the first failure.
        self.failure_tracker: failure_tracking.FailureTracker | None = None
        self.losses: dict[int, int] = {}  # attempts lost with their worker
        self.ran: set[int] = set()  # waiting tasks that ran before
        self.progress: dict[int, bytes] = {}
        self.delayed: set[int] = set()  # wait for their retry time
        self.unconfirmed: set[int] = set()  # may run on a detached worker
        self.blocked_on: set[str] = set()
        self.cancelled = False
        self.gang_stop_reason = ""  # set while members are being stopped
        self.gang_aborted = False  # a member became final
        self.gang_delay = 0.0  # seconds before the members restart
        self.outcome: job.Outcome | None = None

    def waiting_count(self) -> int:
        """Return the number of tasks that are neither started nor final."""
        return self.spec.task_count - len(self.live) - len(self.finals)

    def waiting_indices(self) -> Iterator[int]:
        """Yield the indices of tasks that are neither started nor final."""
        live, finals = self.live, self.finals
        return (
            index
            for index in range(self.spec.task_count)
            if index not in finals and index not in live
        )

    def next_attempt(self, index: int) -> int:
        """Allocate and return the number of a task's next attempt."""
        attempt = self.attempts.get(index, 0) + 1
        self.attempts[index] = attempt
        return attempt

    def set_final(self, index: int, outcome: job.Outcome) -> None:
        """Record the final outcome of a task."""
        self.finals[index] = outcome
        self.outcome_counts[outcome.state] = (
            self.outcome_counts.get(outcome.state, 0) + 1
        )
        if outcome.answer:
            self.answers[job.task_id(self.spec.id, index)] = outcome.answer
        self.attempts.pop(index, None)
        self.failures.pop(index, None)
        self.progress.pop(index, None)
        self.losses.pop(index, None)
        self.ran.discard(index)

    def complete(self) -> bool:
        """Return whether all tasks are final."""
        return len(self.finals) >= self.spec.task_count

    def combined_outcome(self) -> job.Outcome:
        """Return the job outcome derived from the final outcomes of its tasks.

        One unknown task makes the job unknown; `not_run` means that no task ran.
        """
        counts = self.outcome_counts
        count = self.spec.task_count
        if not self.finals:
            return job.Outcome(job.State.NOT_RUN, "the job has no tasks")
        if counts.get(job.State.DONE, 0) == count:
            answer = self.finals[0].answer if count == 1 else b""
            return job.Outcome(job.State.DONE, "", answer) if answer else DONE
        for state in (job.State.UNKNOWN, job.State.FAILED, job.State.NOT_RUN):
            if not counts.get(state):
                continue
            reason = next(o.reason for o in self.finals.values() if o.state is state)
            if state is job.State.NOT_RUN and counts[state] < count:
                state = job.State.FAILED  # other tasks were completed
            return job.Outcome(state, reason)
        return job.Outcome(job.State.FAILED, "no task has an outcome")

    def status(self) -> effects.JobStatus:
        """Return the counts of tasks by state."""
        counts: dict[str, int] = {
            state.value: number for state, number in self.outcome_counts.items()
        }
        for task in self.live.values():
            counts[task.state.value] = counts.get(task.state.value, 0) + 1
        if waiting := self.waiting_count():
            counts[job.State.WAITING.value] = waiting
        return effects.JobStatus(
            self.spec.id,
            self.spec.name,
            self.spec.team,
            counts,
            self.outcome,
            dict(self.answers),
        )


class TaskTable:
    """Index of jobs and live tasks by ID, and of dependencies between jobs."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobRecord] = {}
        self.live: dict[str, LiveTask] = {}
        self._dependents: dict[str, set[str]] = collections.defaultdict(set)
        self._finished: collections.deque[str] = collections.deque()

    def add(self, spec: job.JobSpec, now: float) -> JobRecord | None:
        """Add a job; return None if it is already known."""
        if spec.id in self.jobs:
            return None
        record = self.jobs[spec.id] = JobRecord(spec, now)
        return record

    def open_task(self, record: JobRecord, task: LiveTask) -> None:
        """Add a task that is assigned to a worker."""
        record.live[task.index] = task
        self.live[task.id] = task

    def close_task(self, record: JobRecord, task: LiveTask) -> None:
        """Remove a task that is no longer on a worker."""
        del record.live[task.index]
        del self.live[task.id]

    def finish_job(self, record: JobRecord) -> job.Outcome:
        """Set the outcome of a complete job and evict the oldest finished jobs."""
        record.outcome = record.combined_outcome()
        self._finished.append(record.spec.id)
        while len(self._finished) > FINISHED_JOBS_KEPT:
            self.jobs.pop(self._finished.popleft(), None)
        return record.outcome

    def block(self, record: JobRecord, dependency: str) -> None:
        """Make a job depend on a job of this or another partition."""
        record.blocked_on.add(dependency)
        self._dependents[dependency].add(record.spec.id)

    def unblock(self, dependency: str) -> list[JobRecord]:
        """Remove a finished dependency and return the jobs that depended on it."""
        records = []
        for job_id in sorted(self._dependents.pop(dependency, ())):
            record = self.jobs.get(job_id)
            if record is None or record.outcome is not None:
                continue
            record.blocked_on.discard(dependency)
            records.append(record)
        return records

    def depends_on_itself(self, spec: job.JobSpec) -> bool:
        """Return whether a job is part of a dependency cycle of known jobs."""
        seen: set[str] = set()
        stack = list(spec.after)
        while stack:
            job_id = stack.pop()
            if job_id == spec.id:
                return True
            if job_id in seen:
                continue
            seen.add(job_id)
            if record := self.jobs.get(job_id):
                stack.extend(record.spec.after)
        return False

    def lookup(self, job_id: str) -> effects.JobStatus | errors.NotFound:
        """Return the status of a job."""
        record = self.jobs.get(job_id)
        if record is None:
            return errors.NotFound(reason=f"no job {job_id} in this partition")
        return record.status()


def task_index(task_id: str) -> int:
    """Return the index part of a task ID, or -1 if it has none."""
    index = task_id.rpartition("/")[2]
    return int(index) if index.isdecimal() else -1
