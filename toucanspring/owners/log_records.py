"""Records of a partition's log and the state that results from them."""

from __future__ import annotations

import msgspec

from toucanspring import job
from toucanspring.scheduling import effects

# Number of finished jobs, and of finished requests, kept for lookups per partition.
MAX_FINISHED_KEPT = 20_000
APPLY_PREFIX = "apply."


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """A job was accepted; `at_ms`, of the owner's wall clock, only orders jobs."""

    spec: job.JobSpec
    at_ms: int = 0


class Intended(msgspec.Struct, frozen=True, tag="intended"):
    """Attempts of non-idempotent tasks may be started from now on."""

    intents: list[effects.Intent]


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """Tasks have reached their final outcome."""

    outcomes: dict[str, job.Outcome]


class Cancelled(msgspec.Struct, frozen=True, tag="cancelled"):
    """Jobs were cancelled."""

    job_ids: list[str]


class RequestStarted(msgspec.Struct, frozen=True, tag="request_started"):
    """A non-idempotent request may be sent to one backend server."""

    request_id: str
    server: str
    epoch: int


class RequestFinished(msgspec.Struct, frozen=True, tag="request_finished"):
    """A non-idempotent request has its final outcome."""

    request_id: str
    outcome: job.Outcome


class RequestEntry(msgspec.Struct):
    """State of a non-idempotent request; without an outcome it may be running."""

    server: str
    epoch: int
    outcome: job.Outcome | None = None


class EndedJob(msgspec.Struct, frozen=True):
    """All logged data of a job whose tasks have ended."""

    spec: job.JobSpec
    at_ms: int
    outcomes: dict[str, job.Outcome]
    cancelled: bool = False


class Adopted(msgspec.Struct, frozen=True, tag="adopted"):
    """Ended work was handed over by the partition of a former partition count.

    It is one record, so that a successor never reads a job without its outcomes.
    """

    jobs: list[EndedJob] = []
    requests: dict[str, RequestEntry] = {}


class HandedOver(msgspec.Struct, frozen=True, tag="handed_over"):
    """Ended work is durable in the partition of the current partition count."""

    job_ids: list[str] = []
    request_ids: list[str] = []


Record = (
    Accepted
    | Intended
    | Finished
    | Cancelled
    | RequestStarted
    | RequestFinished
    | Adopted
    | HandedOver
)


class Batch(msgspec.Struct, frozen=True):
    """Records of one log row; `batch_id` tells a retry from another write."""

    batch_id: str
    epoch: int
    records: list[Record]


class Snapshot(msgspec.Struct, frozen=True):
    """Reference to the object that replaces all log rows up to `sequence`."""

    object_key: str
    sequence: int


class State:
    """State that results from the records of a partition's log."""

    def __init__(self) -> None:
        self.specs: dict[str, job.JobSpec] = {}
        self.outcomes: dict[str, dict[str, job.Outcome]] = {}
        self.intents: dict[str, effects.Intent] = {}
        self.cancelled: set[str] = set()
        self.accepted_ms: dict[str, int] = {}
        self.requests: dict[str, RequestEntry] = {}

    def apply(self, record: Record) -> None:
        """Apply one record; applying it again changes nothing."""
        match record:
            case Accepted(spec=spec, at_ms=at_ms):
                self.specs.setdefault(spec.id, spec)
                self.accepted_ms.setdefault(spec.id, at_ms)
            case Intended(intents=intents):
                self.intents.update({intent.task_id: intent for intent in intents})
            case Finished(outcomes=outcomes):
                for task_id, outcome in outcomes.items():
                    tasks = self.outcomes.setdefault(job.job_of(task_id), {})
                    tasks.setdefault(task_id, outcome)
                    self.intents.pop(task_id, None)
            case Cancelled(job_ids=job_ids):
                self.cancelled.update(job_ids)
            case RequestStarted(request_id=request_id, server=server, epoch=epoch):
                # After a later start, the former server has refused the request.
                entry = self.requests.setdefault(
                    request_id, RequestEntry(server, epoch)
                )
                if entry.outcome is None:
                    entry.server, entry.epoch = server, epoch
            case RequestFinished(request_id=request_id, outcome=outcome):
                entry = self.requests.setdefault(request_id, RequestEntry("", 0))
                if entry.outcome is None:
                    entry.outcome = outcome
            case Adopted() | HandedOver():
                self._apply_handover(record)

    def _apply_handover(self, record: Adopted | HandedOver) -> None:
        if isinstance(record, Adopted):
            for ended_job in record.jobs:
                self._adopt(ended_job)
            for request_id, entry in record.requests.items():
                self.requests.setdefault(request_id, entry)
            return
        for job_id in record.job_ids:
            self._forget(job_id)
        for request_id in record.request_ids:
            self.requests.pop(request_id, None)

    def _adopt(self, ended_job: EndedJob) -> None:
        job_id = ended_job.spec.id
        if job_id not in self.specs:
            self.specs[job_id] = ended_job.spec
            self.accepted_ms[job_id] = ended_job.at_ms
            self.outcomes[job_id] = dict(ended_job.outcomes)
            if ended_job.cancelled:
                self.cancelled.add(job_id)

    def _forget(self, job_id: str) -> None:
        self.specs.pop(job_id, None)
        self.accepted_ms.pop(job_id, None)
        self.outcomes.pop(job_id, None)
        self.cancelled.discard(job_id)

    def ended_job(self, job_id: str) -> EndedJob:
        """Return the logged data of a finished job."""
        return EndedJob(
            self.specs[job_id],
            self.accepted_ms.get(job_id, 0),
            self.outcomes.get(job_id, {}),
            job_id in self.cancelled,
        )

    def is_finished(self, job_id: str) -> bool:
        """Return whether every task of a job has an outcome."""
        spec = self.specs.get(job_id)
        return spec is not None and (
            len(self.outcomes.get(job_id, ())) >= spec.task_count
        )

    def outcome_map(self) -> dict[str, job.Outcome]:
        """Return the outcomes of all tasks."""
        return {
            task_id: outcome
            for tasks in self.outcomes.values()
            for task_id, outcome in tasks.items()
        }

    def forget_oldest(self, keep: int = MAX_FINISHED_KEPT) -> list[str]:
        """Drop the oldest finished jobs and requests beyond `keep`; return job IDs.

        Jobs that the configuration starts are kept, since they are submitted again
        after each change of the configuration and must not run twice.
        """
        finished = [
            job_id
            for job_id in self.specs
            if self.is_finished(job_id) and not job_id.startswith(APPLY_PREFIX)
        ]
        dropped = finished[: max(0, len(finished) - keep)]
        for job_id in dropped:
            self._forget(job_id)
        answered = [key for key, entry in self.requests.items() if entry.outcome]
        for key in answered[: max(0, len(answered) - keep)]:
            del self.requests[key]
        return dropped

    def to_records(self) -> list[Record]:
        """Return records that rebuild this state."""
        found: list[Record] = [
            Accepted(spec, self.accepted_ms.get(job_id, 0))
            for job_id, spec in self.specs.items()
        ]
        if self.intents:
            found.append(Intended(list(self.intents.values())))
        found.extend(Finished(tasks) for tasks in self.outcomes.values())
        if self.cancelled:
            found.append(Cancelled(sorted(self.cancelled)))
        for request_id, entry in self.requests.items():
            found.append(RequestStarted(request_id, entry.server, entry.epoch))
            if entry.outcome is not None:
                found.append(RequestFinished(request_id, entry.outcome))
        return found


_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(Batch)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode(value: Batch | Snapshot) -> bytes:
    """Encode a batch or snapshot for a row or object."""
    return _encoder.encode(value)


def decode_batch(value: bytes) -> Batch:
    """Decode the batch in a log row; raise `msgspec.DecodeError` if invalid."""
    return _batch_decoder.decode(value)


def decode_snapshot(value: bytes) -> Snapshot:
    """Decode the snapshot reference in a row."""
    return _snapshot_decoder.decode(value)
