"""Rows that the processes keep in the table store, and their codec."""

from __future__ import annotations

import zlib

import msgspec

from toucanspring import errors
from toucanspring.coordinator import job_specs, ports

JOBS = "jobs"
PROGRESS = "progress"
LEADER_LEASE_TABLE = "seat"
MEMBERS = "members"
COORDINATOR_PART = "coordinator"
# Acceptance is spread over parts, since a part takes its transactions one by one. While
# the store is 70 times slower, each takes 0.4 s; at 40 jobs a second 17 are under way.
JOB_PARTS = 32
PARTS_PER_JOB = 3
PART_STRIDE = 11  # no divisor of the number of parts

LEADER_LEASE_ROW = ports.RowId(LEADER_LEASE_TABLE, COORDINATOR_PART, "coordinator")


class LeaderLease(msgspec.Struct, frozen=True, array_like=True):
    """Say which process coordinates; `sequence` rises with each of its writes.

    `expires_ms` is on the store's clock.
    """

    process: str
    address: str
    epoch: int
    sequence: int
    expires_ms: int
    instance_id: str  # distinguishes the runs of one process


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
    incarnation: int = 0
    checkpoint: str = ""
    done: bool = False
    failed_run: int = 0


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
    for kind in (LeaderLease, MemberRow, Progress, job_specs.Job)
}

encode = _encoder.encode


def decode(kind: type, value: bytes) -> object | errors.Malformed:
    """Return the record in a row."""
    try:
        return _decoders[kind].decode(value)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=f"{kind.__name__} row: {error}")


def job_row_ids(job_id: str) -> list[ports.RowId]:
    """Return where an accepted job may be, in the order in which that is tried.

    A part of the store may be down alone. A job in several places is one job, since
    all that becomes of it is kept under its ID.
    """
    first = zlib.crc32(job_id.encode()) % JOB_PARTS
    return [
        ports.RowId(JOBS, f"{(first + number * PART_STRIDE) % JOB_PARTS}", job_id)
        for number in range(PARTS_PER_JOB)
    ]


def find_job(store: ports.Store, job_id: str) -> ports.Row | errors.Failure:
    """Return the row of an accepted job; `NotFound` only if no place has it."""
    failure: errors.Failure | None = None
    for place in (*job_row_ids(job_id), job_copy_row_id(job_id)):
        page = store.read(place.table, place.part, job_id, job_id + "\0")
        if isinstance(page, errors.Failure):
            failure = page
        elif page.rows:
            return page.rows[0]
    return failure or errors.NotFound(reason=f"no job {job_id}")


def job_copy_row_id(job_id: str) -> ports.RowId:
    """Return the coordinator's copy of a job, written with its first progress."""
    return ports.RowId(JOBS, COORDINATOR_PART, job_id)


def progress_row_id(job_id: str) -> ports.RowId:
    """Return the row of a job's progress."""
    return ports.RowId(PROGRESS, COORDINATOR_PART, job_id)
