"""Rows that the processes store in the table store, and their encoding."""

from __future__ import annotations

import zlib

import msgspec
from gevent import pool

from toucanspring import decoding, errors
from toucanspring.coordinator import job_specs, ports

JOBS = "jobs"
PROGRESS = "progress"
LEADER_LEASE_TABLE = "seat"
MEMBERS = "members"
COORDINATOR_PART = "coordinator"
# Accepted jobs are spread over parts, since a part applies its transactions one at a
# time. When the store is 70 times slower than usual, each takes 0.4 s; at 40 jobs per
# second, 17 are in flight at once.
JOB_PARTS = 32
PARTS_PER_JOB = 3
PART_STRIDE = 11  # coprime to the number of parts

LEADER_LEASE_ROW = ports.RowId(LEADER_LEASE_TABLE, COORDINATOR_PART, "coordinator")


class LeaderLease(msgspec.Struct, frozen=True, array_like=True):
    """The leader lease; its holder is the coordinator, an empty `process` means none.

    `sequence` increases with each write under the lease. Until `renewals_end_ms` former
    holders may renew the leases of workers; rows of earlier versions don't tell. Times
    are on the store's clock.
    """

    process: str
    address: str
    epoch: int
    sequence: int
    expires_ms: int
    instance_id: str  # distinguishes the runs of one process
    renewals_end_ms: int | None = None


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """A process of the cell, with the address and port where peers connect to it.

    The other fields are what its VM can carry; 0 means unknown, as in the rows of
    processes that do not write them.
    """

    process: str
    address: str
    port: int
    cores: float = 0.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """A task that has started; `worker` is empty unless the task may be running.

    `incarnation` is that of the worker.
    """

    index: int
    run: int
    failures: int = 0
    worker: str = ""
    incarnation: int = 0
    checkpoint: str = ""
    done: bool = False
    failed_run: int = 0


class StepRow(msgspec.Struct, frozen=True, array_like=True):
    """The started tasks of one step in one occurrence of its job."""

    occurrence: int
    step: int
    tasks: tuple[TaskRow, ...]
    complete: bool = False


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """The durable progress of a job; `state` is a value of `state.JobState`.

    With `is_observed` it is active only if a run has been seen. Rows of earlier
    versions are active from the record of the first start on. With `is_mark` the job
    was cancelled before it was known; see `cancel_marks`.
    """

    state: str
    steps: tuple[StepRow, ...] = ()
    is_observed: bool = False
    is_mark: bool = False


CANCEL_MARK = Progress("cancelled", (), True, True)


_encoder = msgspec.msgpack.Encoder()
_decoders = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (LeaderLease, MemberRow, Progress, job_specs.Job)
}

encode = _encoder.encode


def decode(kind: type, value: bytes) -> object | errors.Malformed:
    """Decode the value of a row."""
    return decoding.decode(_decoders[kind], value, f"{kind.__name__} row")


def job_row_ids(job_id: str) -> list[ports.RowId]:
    """Return the rows where an accepted job may be stored, in the order of attempts.

    A single part of the store may be down. A job that is stored in several rows is
    still one job, since its progress is stored under its ID.
    """
    first = zlib.crc32(job_id.encode()) % JOB_PARTS
    return [
        ports.RowId(JOBS, f"{(first + number * PART_STRIDE) % JOB_PARTS}", job_id)
        for number in range(PARTS_PER_JOB)
    ]


def find_job(store: ports.Store, job_id: str) -> ports.Row | errors.Failure:
    """Return the row of an accepted job; `NotFound` if all its rows are absent.

    Most jobs are in the first of their rows. The others are read at the same time, as
    parts that are down may use up the timeout of a read.
    """
    first, *others = (*job_row_ids(job_id), job_copy_row_id(job_id))
    found = _find_row(store, first)
    if isinstance(found, ports.Row):
        return found
    readers = pool.Pool(len(others))
    answers = [found, *readers.map(lambda row_id: _find_row(store, row_id), others)]
    present = (each for each in answers if isinstance(each, ports.Row))
    failures = (each for each in answers if not isinstance(each, errors.NotFound))
    return next(present, None) or next(failures, found)


def _find_row(store: ports.Store, row_id: ports.RowId) -> ports.Row | errors.Failure:
    page = store.read(row_id.table, row_id.part, row_id.key, row_id.key + "\0")
    if isinstance(page, errors.Failure):
        return page
    if not page.rows:
        return errors.NotFound(reason=f"no job {row_id.key}")
    return page.rows[0]


def job_copy_row_id(job_id: str) -> ports.RowId:
    """Return the ID of the coordinator's copy of a job.

    The copy is written together with the job's first progress.
    """
    return ports.RowId(JOBS, COORDINATOR_PART, job_id)


def progress_row_id(job_id: str) -> ports.RowId:
    """Return the ID of the row with a job's progress."""
    return ports.RowId(PROGRESS, COORDINATOR_PART, job_id)


def occurrence_row_id(job_id: str, occurrence: int) -> ports.RowId:
    """Return the ID of the row with the progress of one occurrence of a job."""
    return ports.RowId(PROGRESS, COORDINATOR_PART, f"{job_id}.{occurrence}")


def parse_progress_key(key: str) -> tuple[str, int | None]:
    """Return the job of a progress row, and the occurrence if it is the row of one."""
    job_id, _, occurrence = key.rpartition(".")
    if job_id and occurrence.isdecimal():
        return job_id, int(occurrence)
    return key, None
