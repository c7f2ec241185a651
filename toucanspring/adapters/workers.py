"""Client of the workers, with one framed stream per worker."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent
from gevent import event

from toucanspring import deadline, errors, stream, wire

# A worker reports at least every 7 s, and every 4 s while it has tasks. A late report
# is requested, so that a single lost message does not close the link. Starts and polls
# have the shorter limit ANSWER_TIMEOUT_S, so that work does not wait for this one.
REPORT_REQUEST_AFTER_S = 7.5
REPORT_TIMEOUT_S = 9.0
ANSWER_TIMEOUT_S = 2.0
ATTACH_TIMEOUT_S = 2.0
# Leaves room below the frame limit for the frame's own fields.
MAX_BATCH_BYTES = wire.MAX_FRAME_BYTES - 4096
# Upper bound of what msgpack adds to the variable fields of one start.
START_OVERHEAD_BYTES = 80

WorkerEvent = wire.Started | wire.Report | wire.Fenced


class WorkerLink(Protocol):
    """Command one worker under an epoch.

    Every task given to `start` is answered exactly once: in a `wire.Started` passed
    to `on_message`, or in the `unanswered` list passed to `on_closed`. Callbacks run
    in the link's own greenlet and must not block.
    """

    tick: int  # the worker's clock in its last report, in milliseconds
    closed: bool

    def attach(
        self, partition: int, epoch: int, lease_ms: int
    ) -> wire.Attached | errors.Failure:
        """Take over the worker, or get `Fenced` with the higher epoch."""

    def start(
        self, epoch: int, tasks: list[wire.TaskStart], tick: int | None = None
    ) -> None:
        """Send starts; `tick` is the value of `self.tick` when starting was allowed."""

    def renew(self, epoch: int, lease_ms: int, tick: int) -> None | errors.Failure:
        """Extend the worker's lease to `lease_ms` after `tick`."""

    def poll(self, epoch: int) -> None | errors.Failure:
        """Ask for a report; without one the link closes after `ANSWER_TIMEOUT_S`."""

    def stop(self, epoch: int, task_ids: list[str], mode: str) -> None | errors.Failure:
        """Stop tasks; `mode` is `kill` or `checkpoint`."""

    def throttle(
        self, epoch: int, task_id: str, fraction: float
    ) -> None | errors.Failure:
        """Limit a task to a fraction (0 to 1) of its processors."""

    def acknowledge(self, epoch: int, task_ids: list[str]) -> None | errors.Failure:
        """Let the worker forget finished tasks."""

    def release(self, epoch: int) -> None | errors.Failure:
        """End the lease of a worker that has no tasks."""

    def close(self) -> None:
        """End the stream; tasks keep running until the lease expires."""


class StreamWorkerLink:
    """Exchange framed msgpack messages with a worker over TCP."""

    def __init__(
        self,
        connected: stream.Stream,
        on_message: Callable[[WorkerEvent], None],
        on_closed: Callable[[errors.Failure, list[str]], None],
        owner: str = "",
        report_timeout_s: float = REPORT_TIMEOUT_S,
    ) -> None:
        self._stream = connected
        self._on_message = on_message
        self._on_closed = on_closed
        self._owner = owner
        self._report_timeout_s = report_timeout_s
        self._answer_timeout_s = min(ANSWER_TIMEOUT_S, report_timeout_s)
        self._report_request_after_s = (
            report_timeout_s * REPORT_REQUEST_AFTER_S / REPORT_TIMEOUT_S
        )
        self._report_deadline = deadline.Deadline(self._request_report)
        self._answer_deadline = deadline.Deadline(self._expire)
        self._epoch: int | None = None
        self._expired: errors.Timeout | None = None
        self._attached: event.AsyncResult | None = None
        self._batch = 0
        self._pending: dict[int, list[str]] = {}
        self.tick = 0
        self.closed = False
        self._report_deadline.set(self._report_request_after_s)
        self._reader = gevent.spawn(self._read)

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent so far."""
        return self._stream.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Return the bytes received so far."""
        return self._stream.received_bytes

    def attach(
        self,
        partition: int,
        epoch: int,
        lease_ms: int,
        timeout_s: float = ATTACH_TIMEOUT_S,
    ) -> wire.Attached | errors.Failure:
        """Take over the worker, or get `Fenced` with the higher epoch."""
        self._attached = result = event.AsyncResult()
        self._epoch = epoch
        sent = self._stream.send(wire.Attach(partition, epoch, lease_ms, self._owner))
        if sent is not None:
            return sent
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            return errors.Ambiguous(reason=f"not attached within {timeout_s:g} s")
        finally:
            self._attached = None

    def start(
        self, epoch: int, tasks: list[wire.TaskStart], tick: int | None = None
    ) -> None:
        """Send starts; `tick` is the value of `self.tick` when starting was allowed."""
        start_tick = self.tick if tick is None else tick
        batch: list[wire.TaskStart] = []
        size = 0
        for task in tasks:
            added = _bound_size(task)
            if added > MAX_BATCH_BYTES:
                self._report_unsent([task], f"start exceeds {MAX_BATCH_BYTES} bytes")
                continue
            if size + added > MAX_BATCH_BYTES:
                self._send_batch(epoch, start_tick, batch)
                batch, size = [], 0
            batch.append(task)
            size += added
        if batch:
            self._send_batch(epoch, start_tick, batch)

    def renew(self, epoch: int, lease_ms: int, tick: int) -> None | errors.Failure:
        """Extend the worker's lease to `lease_ms` after `tick`."""
        return self._stream.send(wire.Renew(epoch, lease_ms, tick))

    def poll(self, epoch: int) -> None | errors.Failure:
        """Ask for a report; without one the link closes after `ANSWER_TIMEOUT_S`."""
        self._answer_deadline.set_once(self._answer_timeout_s)
        return self._stream.send(wire.Poll(epoch))

    def stop(self, epoch: int, task_ids: list[str], mode: str) -> None | errors.Failure:
        """Stop tasks; `mode` is `kill` or `checkpoint`."""
        return self._stream.send(wire.Stop(epoch, task_ids, mode))

    def throttle(
        self, epoch: int, task_id: str, fraction: float
    ) -> None | errors.Failure:
        """Limit a task to a fraction (0 to 1) of its processors."""
        return self._stream.send(wire.Throttle(epoch, task_id, fraction))

    def acknowledge(self, epoch: int, task_ids: list[str]) -> None | errors.Failure:
        """Let the worker forget finished tasks."""
        return self._stream.send(wire.Acknowledge(epoch, task_ids))

    def release(self, epoch: int) -> None | errors.Failure:
        """End the lease of a worker that has no tasks."""
        return self._stream.send(wire.Release(epoch))

    def close(self) -> None:
        """End the stream; tasks keep running until the lease expires."""
        self._stream.close()

    def _send_batch(self, epoch: int, tick: int, tasks: list[wire.TaskStart]) -> None:
        if self.closed or self._stream.closed:
            self._report_unsent(tasks, "the stream to the worker is closed")
            return
        self._batch += 1
        self._pending[self._batch] = [task.task_id for task in tasks]
        self._answer_deadline.set_once(self._answer_timeout_s)
        # After a failed send the reader finds the stream closed and reports the batch.
        self._stream.send(wire.Start(epoch, tick, self._batch, tasks))

    def _report_unsent(self, tasks: list[wire.TaskStart], reason: str) -> None:
        """Report starts that were never sent, outside the caller's greenlet."""
        refused = [(task.task_id, reason) for task in tasks]
        gevent.spawn(self._on_message, wire.Started(0, [], refused))

    def _read(self) -> None:
        failure: errors.Failure = errors.Closed(reason="the link was closed")
        try:
            while True:
                message = self._stream.receive()
                if isinstance(message, errors.Failure):
                    failure = self._expired or message
                    return
                self._report_deadline.set(self._report_request_after_s)
                self._answer_deadline.clear()
                unexpected = self._deliver(message)
                if unexpected is not None:
                    failure = unexpected
                    return
        finally:
            self.closed = True
            self._report_deadline.close()
            self._answer_deadline.close()
            self._stream.close()
            unanswered = [task for ids in self._pending.values() for task in ids]
            if self._attached is not None:
                self._attached.set(errors.Ambiguous(reason=failure.reason))
            self._on_closed(failure, unanswered)

    def _request_report(self) -> None:
        """Request a report from a silent worker, due within the rest of the timeout."""
        self._answer_deadline.set_once(
            self._report_timeout_s - self._report_request_after_s
        )
        if self._epoch is not None:
            # In a greenlet of its own: a send may block, and this runs in the hub.
            gevent.spawn(self._stream.send, wire.Poll(self._epoch))

    def _expire(self) -> None:
        self._expired = errors.Timeout(reason="no frame before the time limit")
        self._stream.close()

    def _deliver(self, message: object) -> errors.Malformed | None:
        match message:
            case wire.Attached():
                self.tick = message.tick
                if self._attached is not None:
                    self._attached.set(message)
                return None
            case wire.Fenced():
                if self._attached is not None:
                    self._attached.set(
                        errors.Fenced(reason="a higher epoch", epoch=message.epoch)
                    )
                    return None
            case wire.Started():
                # A task of an unknown batch would be reported twice or was never sent.
                if self._pending.pop(message.batch, None) is None:
                    return errors.Malformed(reason=f"unknown batch {message.batch}")
            case wire.Report():
                self.tick = message.tick
            case _:
                kind = type(message).__name__
                return errors.Malformed(reason=f"a worker sent {kind}")
        self._on_message(message)
        return None


def connect(
    address: str,
    port: int,
    on_message: Callable[[WorkerEvent], None],
    on_closed: Callable[[errors.Failure, list[str]], None],
    owner: str = "",
    timeout_s: float = stream.CONNECT_TIMEOUT_S,
    report_timeout_s: float = REPORT_TIMEOUT_S,
) -> StreamWorkerLink | errors.Unavailable:
    """Open a link to a worker; it stays idle until `attach`."""
    connected = stream.connect(address, port, wire.decode_worker, timeout_s)
    if isinstance(connected, errors.Unavailable):
        return connected
    return StreamWorkerLink(connected, on_message, on_closed, owner, report_timeout_s)


def _bound_size(task: wire.TaskStart) -> int:
    """Return an upper bound of a start's encoded size in bytes."""
    return (
        len(task.payload)
        + len(task.progress)
        + 4 * (len(task.task_id) + len(task.team))
        + START_OVERHEAD_BYTES
    )
