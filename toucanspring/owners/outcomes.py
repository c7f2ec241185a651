"""Records of the outcomes of non-idempotent requests and of their responses."""

from __future__ import annotations

import dataclasses
import secrets

import gevent
import logbook
import msgspec

from toucanspring import errors, job, kernel
from toucanspring.callers import answers

log = logbook.Logger(__name__)

# The caller of a completed request waits at most this long for the outcome to be
# durable. During an outage of the store the response is returned without a record; a
# successor would ask the server for it again.
RECORD_LIMIT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Data about a request that is logged before the request is sent."""

    server: str  # address:port
    team: str = ""
    service: str = ""
    digest: bytes = b""

    def encode(self) -> str:
        """Encode the start as a string for a log record."""
        return " ".join((self.server, self.team, self.service, self.digest.hex()))


def decode_start(text: str) -> Start:
    """Decode the start in a log record; missing parts are empty."""
    parts = (text.split(" ") + ["", "", "", ""])[:4]
    try:
        digest = bytes.fromhex(parts[3])
    except ValueError:
        digest = b""
    return Start(parts[0], parts[1], parts[2], digest)


class Outcomes:
    """Store outcomes in the log, and large responses in the object store."""

    def __init__(self, core: kernel.Kernel) -> None:
        self._kernel = core

    def record(
        self, request_id: str, start: Start, result: answers.Stored | errors.Failure
    ) -> answers.Stored | errors.Failure:
        """Record an outcome, so that a repeated request returns the same one."""
        identity = answers.Stored(
            team=start.team, service=start.service, digest=start.digest
        )
        match result:
            case errors.Fenced() | errors.Refused():
                return result  # the current owner resolves the outcome
            case errors.NotRun():
                outcome = job.Outcome(
                    job.State.NOT_RUN, result.reason, answers.encode(identity)
                )
            case errors.Failure():
                outcome = job.Outcome(
                    job.State.UNKNOWN, result.reason, answers.encode(identity)
                )
            case _:
                outcome = None
        writing = gevent.spawn(self._write, request_id, outcome, result)
        writing.join(timeout=RECORD_LIMIT_S)
        if isinstance(result, errors.NotRun) and writing.value is True:
            return errors.RecordedNotRun(reason=result.reason)
        return result

    def _write(
        self, request_id: str, outcome: job.Outcome | None, result: object
    ) -> bool:
        """Write an outcome to the log; return whether it is durable."""
        if outcome is None:
            outcome = self._done_outcome(request_id, result)
        recorded = self._kernel.find("partitions").finish_request(request_id, outcome)
        if isinstance(recorded, errors.Failure):
            log.warning("outcome of {} not recorded: {}", request_id, recorded.reason)
        return recorded is None

    def _done_outcome(self, request_id: str, stored: answers.Stored) -> job.Outcome:
        if len(stored.body) <= answers.MAX_LOGGED_BYTES:
            return job.Outcome(job.State.DONE, answer=answers.encode(stored))
        key = f"answers/{request_id}/{secrets.token_hex(8)}"
        put = self._kernel.find("store").objects.put(key, stored.body)
        if isinstance(put, errors.Failure):
            reason = f"ran, but its answer could not be stored: {put.reason}"
            identity = answers.Stored(
                team=stored.team, service=stored.service, digest=stored.digest
            )
            return job.Outcome(job.State.UNKNOWN, reason, answers.encode(identity))
        reference = msgspec.structs.replace(stored, body=b"", object_key=key)
        return job.Outcome(job.State.DONE, answer=answers.encode(reference))

    def restore(self, outcome: job.Outcome) -> answers.Stored | errors.Failure:
        """Return the result of a recorded outcome, with the body of its response."""
        stored = answers.decode_stored(outcome.answer)
        if isinstance(stored, errors.Failure):
            return errors.Unknown(reason=f"{outcome.state}: {stored.reason}")
        if outcome.state is job.State.NOT_RUN:
            return errors.RecordedNotRun(reason=outcome.reason)
        if outcome.state is not job.State.DONE:
            return errors.Unknown(reason=outcome.reason)
        if not stored.object_key:
            return stored
        body = self._kernel.find("store").objects.get(stored.object_key)
        if isinstance(body, errors.Failure):
            return errors.Unavailable(reason=f"stored answer: {body.reason}")
        if len(body) != stored.length:
            return errors.Unavailable(reason="the stored answer is incomplete")
        return msgspec.structs.replace(stored, body=body, object_key="")
