"""Rows that the processes keep in the table store, and their codec."""

from __future__ import annotations

import zlib

import msgspec

from toucanspring import errors
from toucanspring.coordinator import ports, work

JOBS = "jobs"
PROGRESS = "progress"
SEAT = "seat"
MEMBERS = "members"
COORDINATOR_PART = "coordinator"
# Acceptance is spread over parts, since a part takes its transactions one by one. While
# the store is 70 times slower, each takes 0.4 s; at 40 jobs a second 17 are under way.
JOB_PARTS = 32

SEAT_PLACE = ports.Place(SEAT, COORDINATOR_PART, "coordinator")


class Seat(msgspec.Struct, frozen=True, array_like=True):
    """Say which process coordinates; `commit` rises with each of its writes.

    `expires_ms` is on the store's clock.
    """

    process: str
    address: str
    epoch: int
    commit: int
    expires_ms: int
    life: str  # distinguishes the runs of one process


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """Say where a process listens for its peers."""

    process: str
    address: str
    port: int


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """Hold a task that has started; `worker` is empty unless it may be running."""

    index: int
    run: int
    failures: int = 0
    worker: str = ""
    born: int = 0
    checkpoint: str = ""
    done: bool = False


class StepRow(msgspec.Struct, frozen=True, array_like=True):
    """Hold the started tasks of one step in one occurrence."""

    occurrence: int
    step: int
    tasks: tuple[TaskRow, ...]
    complete: bool = False


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Hold what has become of a job; `state` is a value of `state.JobState`."""

    state: str
    steps: tuple[StepRow, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoders = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (Seat, MemberRow, Progress, work.Job)
}

encode = _encoder.encode


def decode(kind: type, value: bytes) -> object | errors.Malformed:
    """Return the record in a row."""
    try:
        return _decoders[kind].decode(value)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=f"{kind.__name__} row: {error}")


def job_place(job_id: str) -> ports.Place:
    """Return the row of an accepted job."""
    part = zlib.crc32(job_id.encode()) % JOB_PARTS
    return ports.Place(JOBS, f"{part}", job_id)


def progress_place(job_id: str) -> ports.Place:
    """Return the row of a job's progress."""
    return ports.Place(PROGRESS, COORDINATOR_PART, job_id)
