"""Non-idempotent requests in a partition's log: each is sent at most once."""

from __future__ import annotations

import dataclasses

from toucanspring import errors, job
from toucanspring.owners import journal, log_records


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """Allow exactly one send of a request, under this epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Give the recorded outcome of a request."""

    outcome: job.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Say that the request was sent to a server and has no outcome yet.

    `interrupted` means that an earlier owner sent it, so that nobody here waits for
    its answer; the server has to be asked under the new `epoch`.
    """

    server: str
    epoch: int
    interrupted: bool


Answer = Begun | Finished | Running


class RequestLog:
    """Record starts and outcomes of requests in a partition's log."""

    def __init__(self, owner: journal.Journal) -> None:
        self._journal = owner
        self._beginning: set[str] = set()

    def begin(
        self, request_id: str, server: str, layout_version: int | None = None
    ) -> Answer | errors.Failure:
        """Record that a request may be sent, unless it is known already.

        A new one is begun only while the row `layout` has the given version.
        """
        entry = self._journal.state.requests.get(request_id)
        if entry is not None:
            if entry.outcome is not None:
                return Finished(entry.outcome)
            return Running(
                entry.server, self._journal.epoch, entry.epoch != self._journal.epoch
            )
        if request_id in self._beginning:
            return Running(server, self._journal.epoch, interrupted=False)
        self._beginning.add(request_id)
        try:
            failure = self._journal.append(
                log_records.RequestStarted(request_id, server, self._journal.epoch),
                True,
                layout_version,
            ).get()
        finally:
            self._beginning.discard(request_id)
        return failure if failure is not None else Begun(self._journal.epoch)

    def move(self, request_id: str, server: str) -> Begun | errors.Failure:
        """Name another server, after the one named certainly did not run a request.

        Only the caller that got `Begun` may call this, and sends once more.
        """
        entry = self._journal.state.requests.get(request_id)
        epoch = self._journal.epoch
        if entry is None or entry.outcome is not None or entry.epoch != epoch:
            return errors.Refused(reason=f"request {request_id} is not running here")
        failure = self._journal.append(
            log_records.RequestStarted(request_id, server, epoch), droppable=True
        ).get()
        return failure if failure is not None else Begun(epoch)

    def finish(self, request_id: str, outcome: job.Outcome) -> None | errors.Failure:
        """Record the outcome of a request."""
        return self._journal.append(
            log_records.RequestFinished(request_id, outcome), droppable=False
        ).get()

    def find(self, request_id: str) -> log_records.RequestEntry | errors.NotFound:
        """Return the entry of a request."""
        entry = self._journal.state.requests.get(request_id)
        if entry is None:
            return errors.NotFound(reason=f"no request {request_id}")
        return entry

    def holds(self, request_id: str) -> bool:
        """Return whether a request was begun here, durably or not yet."""
        known = self._journal.state.requests
        return request_id in known or request_id in self._beginning

    def interrupted(self) -> dict[str, str]:
        """Return the server by ID of requests that an earlier owner began."""
        return {
            request_id: entry.server
            for request_id, entry in self._journal.state.requests.items()
            if entry.outcome is None and entry.epoch != self._journal.epoch
        }
