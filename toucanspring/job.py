"""Jobs, their tasks and their outcomes."""

import enum
import zlib

import msgspec

from toucanspring import resources


class Kind(enum.StrEnum):
    """How the tasks of a job start."""

    BATCH = "batch"  # each task on its own
    GANG = "gang"  # all tasks together or none
    SERVICE = "service"  # each task is restarted whenever it ends


class JobClass(enum.StrEnum):
    """How urgent the work is; the order of the members is the order of service."""

    CHECK = "check"
    URGENT = "urgent"
    DEADLINE = "deadline"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


class State(enum.StrEnum):
    """State of a task."""

    WAITING = "waiting"
    INTENDED = "intended"  # the log record of a non-idempotent start is pending
    STARTING = "starting"  # sent to a worker, not yet confirmed
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {State.DONE, State.FAILED, State.NOT_RUN, State.UNKNOWN, State.CANCELLED}
)


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one accepted job; times are in seconds."""

    id: str
    name: str
    team: str
    queue: str = ""
    kind: Kind = Kind.BATCH
    task_count: int = 1
    demand: resources.Resources = resources.ZERO
    run_seconds: float = 60.0  # declared; a hint only
    idempotent: bool = True
    job_class: JobClass = JobClass.NORMAL
    deadline_seconds: float | None = None  # from acceptance to the last task's end
    after: tuple[str, ...] = ()  # job IDs that must be done first
    retries: int = 3
    availability_zones: tuple[str, ...] = ()  # empty means any
    compact: bool = False  # keep the tasks within one rack, else one zone, if possible
    spread: bool = False  # spread the tasks over zones and racks
    payload: bytes = b""


class Task(msgspec.Struct):
    """Track one task of a job; `started_at` is in monotonic seconds."""

    id: str
    job_id: str
    index: int
    attempt: int = 0
    state: State = State.WAITING
    worker: str = ""
    started_at: float = 0.0
    failures: int = 0
    progress: bytes = b""  # checkpoint reference handed to the next attempt


class Outcome(msgspec.Struct, frozen=True):
    """Hold a final result; `state` is a member of `FINAL_STATES`."""

    state: State
    reason: str = ""
    answer: bytes = b""


def task_id(job_id: str, index: int) -> str:
    """Return the ID of the task at `index` of a job."""
    return f"{job_id}/{index}"


def job_of(task: str) -> str:
    """Return the job ID part of a task ID."""
    return task.rpartition("/")[0]


def partition_of(job_id: str, partitions: int) -> int:
    """Return the partition that a job or request ID belongs to."""
    return zlib.crc32(job_id.encode()) % partitions
