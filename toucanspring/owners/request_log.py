"""Non-idempotent requests in a partition's log: each is sent at most once."""

from __future__ import annotations

import dataclasses

from toucanspring import errors, job
from toucanspring.owners import journal, log_records


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """Permission to send a request exactly once, under this epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Recorded outcome of a request."""

    outcome: job.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """State of a request that may have been sent and has no outcome yet.

    `interrupted` means that an earlier owner began it, so that no caller here waits for
    its response; the server must be asked for it under the new `epoch`.
    """

    server: str
    epoch: int
    interrupted: bool


Answer = Begun | Finished | Running


class RequestLog:
    """Record the starts and outcomes of requests in a partition's log."""

    def __init__(self, partition_journal: journal.Journal) -> None:
        self._journal = partition_journal
        self._beginning: set[str] = set()

    def begin(
        self, request_id: str, server: str, layout_version: int | None = None
    ) -> Answer | errors.Failure:
        """Record that a request may be sent, unless its ID is already known.

        With a `layout_version`, it is begun only while the row `layout` has that
        version.
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
        """Record another server after the recorded one certainly has not run a request.

        May be called only by the caller that got `Begun`, which may then send once
        more.
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
        """Return whether a request was begun here, even if not durably yet."""
        known = self._journal.state.requests
        return request_id in known or request_id in self._beginning

    def interrupted(self) -> dict[str, str]:
        """Return the unfinished requests of earlier owners: request ID to server."""
        return {
            request_id: entry.server
            for request_id, entry in self._journal.state.requests.items()
            if entry.outcome is None and entry.epoch != self._journal.epoch
        }
