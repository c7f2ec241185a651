"""Messages between toucanspring and workers, and the frame codec for streams."""

import struct

import msgspec

from toucanspring import errors, resources

MAX_FRAME_BYTES = 1 << 20
HEADER = struct.Struct(">I")


class TaskStart(msgspec.Struct, frozen=True, array_like=True):
    """Ask a worker to start one attempt of a task."""

    task_id: str
    attempt: int
    demand: resources.Resources
    team: str
    idempotent: bool
    payload: bytes = b""
    progress: bytes = b""


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """Describe a task that a worker runs; `age_ms` counts from its start.

    `throttle` is the fraction of its processors that it may use.
    """

    task_id: str
    attempt: int
    demand: resources.Resources
    team: str
    age_ms: int = 0
    throttle: float = 1.0


class FinishedTask(msgspec.Struct, frozen=True, array_like=True):
    """Describe an ended attempt; `state` is `done`, `failed` or `checkpointed`."""

    task_id: str
    attempt: int
    state: str
    reason: str = ""
    answer: bytes = b""
    run_ms: int = 0
    usage: resources.Resources = resources.ZERO


class Attach(msgspec.Struct, frozen=True, tag="attach", array_like=True):
    """Open a worker stream for a partition and raise the epoch of the worker.

    It does not extend the worker's lease: a delayed attach would otherwise extend
    the lease of tasks that a former owner started.
    `owner` names the calling process, for logs and records.
    """

    partition: int
    epoch: int
    lease_ms: int
    owner: str = ""


class Attached(msgspec.Struct, frozen=True, tag="attached", array_like=True):
    """Answer `Attach`; `tick` is the worker's monotonic clock in milliseconds."""

    worker: str
    incarnation: int
    capacity: resources.Resources
    availability_zone: str
    rack: str
    tick: int
    running: list[RunningTask]
    finished: list[FinishedTask]


class Fenced(msgspec.Struct, frozen=True, tag="fenced", array_like=True):
    """Refuse any message with a lower epoch than the one given."""

    epoch: int


class Renew(msgspec.Struct, frozen=True, tag="renew", array_like=True):
    """Extend the lease of all tasks to `lease_ms` after `tick`.

    `tick` is the worker's own clock in the last report seen. Counting from it, and
    not from the receipt of this message, keeps a delayed renewal from extending the
    lease beyond what the sender assumes.
    """

    epoch: int
    lease_ms: int
    tick: int


class Start(msgspec.Struct, frozen=True, tag="start", array_like=True):
    """Start tasks; `tick` is the worker's clock in the last report seen."""

    epoch: int
    tick: int
    batch: int
    tasks: list[TaskStart]


class Started(msgspec.Struct, frozen=True, tag="started", array_like=True):
    """Answer `Start`; refused tasks did not run."""

    batch: int
    accepted: list[str]
    refused: list[tuple[str, str]]


class Stop(msgspec.Struct, frozen=True, tag="stop", array_like=True):
    """Stop tasks; `mode` is `kill` or `checkpoint`."""

    epoch: int
    task_ids: list[str]
    mode: str


class Throttle(msgspec.Struct, frozen=True, tag="throttle", array_like=True):
    """Limit a task to a fraction (0 to 1) of its processors."""

    epoch: int
    task_id: str
    fraction: float


class Acknowledge(msgspec.Struct, frozen=True, tag="acknowledge", array_like=True):
    """Let the worker forget finished tasks."""

    epoch: int
    task_ids: list[str]


class Poll(msgspec.Struct, frozen=True, tag="poll", array_like=True):
    """Ask for an immediate report, for the `tick` in it."""

    epoch: int


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """End the lease of a worker without tasks, so that another partition may attach."""

    epoch: int


class Report(msgspec.Struct, frozen=True, tag="report", array_like=True):
    """Report finished tasks and changes in the delayed usage of running tasks."""

    tick: int
    finished: list[FinishedTask]
    usage: dict[str, resources.Resources]


WorkerMessage = (
    Attach
    | Attached
    | Fenced
    | Renew
    | Start
    | Started
    | Stop
    | Throttle
    | Acknowledge
    | Poll
    | Release
    | Report
)

_encoder = msgspec.msgpack.Encoder()
_worker_decoder = msgspec.msgpack.Decoder(WorkerMessage)


def encode(message: object) -> bytes:
    """Return a message as one frame: 4 byte big-endian length and msgpack body."""
    body = _encoder.encode(message)
    return HEADER.pack(len(body)) + body


def decode_worker(body: bytes) -> WorkerMessage | errors.Malformed:
    """Return the worker message in a frame body."""
    try:
        return _worker_decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return errors.Malformed(reason=str(error))
