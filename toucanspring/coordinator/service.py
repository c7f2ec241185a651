"""Part of the coordinator that runs in each process of the cell.

Each process is a candidate for the leader lease and coordinates while it holds it. The
others forward calls to the coordinator.
"""

from __future__ import annotations

import dataclasses
import math
import random
import uuid
from collections.abc import Callable

import gevent
import logbook
import msgspec
from gevent import event

from toucanspring import decoding, errors, uptime
from toucanspring import log as structured
from toucanspring.coordinator import (
    approval_dispatcher,
    candidacy,
    doubts,
    failover,
    job_specs,
    job_writer,
    leader_lease,
    leadership,
    load_report,
    load_view,
    members,
    metered,
    plans,
    ports,
    rows,
    state,
    stop_limits,
)

log = logbook.Logger(__name__)

LEASE_CHECK_INTERVAL_S = 1.0
STORE_RETRY_S = 0.15
VIEW_CHECK_INTERVAL_S = 0.05  # of a process that has not read the settings yet
CALL_TIMEOUT_S = 1.2
KEEPALIVE_INTERVAL_S = 3.0  # streams between peers close after 10 s without traffic
# The event loop of a coordinator whose heartbeats are later than this is overloaded.
LATE_HEARTBEAT_S = 0.1
HEARTBEAT_NOTICE = "seat"
UNKNOWN_VIEW_AGE_S = 1e6  # reported until the view has been complete once
HOLDS = "holds"
# Earlier versions know "cancel", which leaves no mark of an unknown job. They refuse
# this one.
CANCEL = "cancel_marked"
METHODS = ("status", CANCEL, "pending", HOLDS)
# Counting the load takes at most this share of the time of the coordinator. 20,000
# waiting steps take 0.14 s, which still gives a report each second.
MAX_COUNT_SHARE = 0.15

_body_decoder = msgspec.msgpack.Decoder(str | int)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Settings of one process; `max_lease_ms` is the longest worker lease.

    Jobs of which nothing runs take at most `max_job_bytes` of a coordinator's memory.
    """

    process: str
    address: str
    peer_port: int
    max_lease_ms: int
    capacity: candidacy.Capacity = candidacy.Capacity()
    stop_limits: stop_limits.StopLimits = stop_limits.DEFAULT
    max_job_bytes: float = math.inf


class Service:
    """Acquires the leader lease, coordinates while holding it, and forwards calls."""

    def __init__(
        self,
        kernel: object,
        options: Options,
        store: ports.Store,
        client: ports.Workers,
        approvals: ports.Approvals,
        directory: ports.Directory,
        meters: metered.Meters,
    ) -> None:
        self._kernel = kernel
        self._options = options
        self._store = store = metered.Store(store, meters)
        self._client = metered.Workers(client, meters)
        self._directory = directory
        self._meters = meters
        self._instance_id = uuid.uuid4().hex[:12]
        self._store_clock = leader_lease.StoreClock()
        self._lease: rows.LeaderLease | None = None
        self._leadership: leadership.Leadership | None = None
        self._draining = False
        self.load = load_view.View()
        self._takeover_event = event.Event()
        self._elected_event = event.Event()
        self._takeover = leader_lease.NO_TAKEOVER
        self._members = members.Members(
            rows.MemberRow(
                options.process,
                options.address,
                options.peer_port,
                **dataclasses.asdict(options.capacity),
            ),
            store,
            kernel.find("peers"),
        )
        self._job_writer = job_writer.JobWriter(store)
        self._approval_dispatcher = approval_dispatcher.ApprovalDispatcher(
            kernel, metered.Approvals(approvals, meters), self._on_approval_reply
        )
        self._failover = failover.Failover(
            options.process,
            kernel.find("peers"),
            store,
            self._take_over,
            self._step_down,
            self._members,
            self._has_view,
        )
        self.doubts = doubts.Doubts(kernel, self._find_doubt_receivers)
        self._greenlets: list[gevent.Greenlet] = []

    # Lifecycle

    def start(self) -> None:
        """Register this process, watch the members and start the election."""
        peers = self._kernel.find("peers")
        for method in METHODS:
            peers.handle(method, self._make_handler(method))
        peers.handle(approval_dispatcher.METHOD, self._approval_dispatcher.serve)
        peers.handle_notice(HEARTBEAT_NOTICE, self._handle_heartbeat)
        peers.handle_notice(load_report.NOTICE, self._handle_load)
        self._job_writer.__enter__()
        self._failover.__enter__()
        self._members.__enter__()
        self.doubts.__enter__()
        self._greenlets = [
            gevent.spawn(self._run_election),
            gevent.spawn(self._send_heartbeats),
            gevent.spawn(self._send_loads),
        ]

    def stop_accepting(self) -> None:
        """Release the leader lease and acquire it no more."""
        self._draining = self._failover.closing = True
        if self._leadership is not None:
            self._leadership.release()
        self._announce_release()

    def stop(self) -> None:
        """Stop all work and remove the member row of this process."""
        gevent.killall(self._greenlets, block=False)
        self._job_writer.__exit__()
        self._failover.__exit__()
        self._members.__exit__()
        self.doubts.__exit__()

    def measure(self) -> dict[str, float]:
        """Return the gauges of this process by name."""
        current = self._leadership
        known = {
            "epoch": self._lease.epoch if self._lease is not None else 0,
            "coordinates": float(current is not None and current.ready.is_set()),
            "view_age_seconds": min(
                UNKNOWN_VIEW_AGE_S, self._directory.age(uptime.now())
            ),
            "peers_connected": len(self._kernel.find("peers").connected()),
            **self._approval_dispatcher.measure(),
        }
        known.update(self.load.measure(uptime.now()))
        return {**known, **(current.measure() if current is not None else {})}

    def _has_view(self) -> bool:
        """Return whether the operators' settings have been read once.

        A process without them does not coordinate: the ranks of jobs, the rates of
        organisations and the outcome of failed runs depend on them.
        """
        read = self._directory.age(uptime.now()) < UNKNOWN_VIEW_AGE_S
        return read and self._directory.catalogue is not None

    # Calls

    def submit(self, spec: job_specs.Job, timeout_s: float) -> None | errors.Failure:
        """Store an accepted job; see `job_writer.JobWriter.accept`."""
        return self._job_writer.accept(spec, timeout_s)

    def find_write(self, job_id: str) -> event.AsyncResult | None:
        """Return the result to come of a write of a job by this process, if any."""
        return self._job_writer.find_write(job_id)

    def has_slow_writes(self) -> bool:
        """Return whether writes of this process are or have lately been slow."""
        return self._job_writer.is_slow(uptime.now())

    def has_faster_writer(self) -> bool:
        """Return whether the coordinator writes jobs for all processes for now.

        It batches them, which a slow store needs, and it reaches the store.
        """
        lease = self._lease
        return (
            lease is not None
            and lease.process not in ("", self._options.process)
            and self._job_writer.is_slow(uptime.now())
        )

    def read_job(self, job_id: str) -> ports.Row | errors.Failure:
        """Return the stored row of a job; `NotFound` if all its rows are absent."""
        return rows.find_job(self._store, job_id)

    def holds(self, job_id: str, timeout_s: float) -> bool:
        """Return whether the coordinator answers in time that it holds a job."""
        return self._call(HOLDS, job_id, timeout_s) == 1

    def status(self, job_id: str) -> state.JobState | errors.Failure:
        """Return the state of a job, from the store if the coordinator fails."""
        answer = self._call("status", job_id)
        if isinstance(answer, errors.Failure) and not isinstance(
            answer, errors.NotFound
        ):
            return self._read_status(job_id)
        return _to_state(answer)

    def cancel(
        self, job_id: str, organisation: str = ""
    ) -> state.JobState | errors.Failure:
        """Cancel a job; returns once the cancellation is durable.

        After `NotFound` a write of the job that is under way has no effect either.
        """
        answer = self._call(CANCEL, f"{job_id}/{organisation}")
        return _to_state(answer)

    def pending(self, queue: str) -> int | errors.Failure:
        """Return how many accepted jobs of a queue have not started."""
        return self._call("pending", queue)

    def relays(self) -> list[str]:
        """Return the processes that calls can be relayed to, the coordinator first."""
        names = self._members.targets()
        first = self._lease.process if self._lease is not None else ""
        return sorted(names, key=lambda name: (name != first, name))

    def _find_doubt_receivers(self) -> tuple[list[str], bool]:
        """Return the processes to tell of doubts, and whether this one coordinates."""
        if self._leadership is not None:
            return self._members.targets(), True
        return self.relays()[:1], False

    def _call(
        self, method: str, argument: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> object | errors.Failure:
        lease = self._lease
        if lease is None:
            return errors.Unavailable(reason="no coordinator is known")
        if lease.process == self._options.process:
            return self._answer(method, argument)
        body = self._kernel.find("peers").call(
            lease.process, method, argument.encode(), timeout_s
        )
        if isinstance(body, errors.Failure):
            return body
        return decoding.decode(_body_decoder, body, f"answer of {lease.process}")

    def _make_handler(
        self, method: str
    ) -> Callable[[str, bytes], bytes | errors.Failure]:
        def handle(_sender: str, body: bytes) -> bytes | errors.Failure:
            answer = self._answer(method, body.decode())
            if isinstance(answer, errors.Failure):
                return answer
            return msgspec.msgpack.encode(answer)

        return handle

    def _answer(self, method: str, argument: str) -> object | errors.Failure:
        current = self._leadership
        if current is None or not current.ready.is_set():
            return errors.Unavailable(reason="this process is not the coordinator")
        match method:
            case "status":
                found = current.status(argument)
                return found if isinstance(found, errors.Failure) else found.value
            case _ if method == CANCEL:
                job_id, _, organisation = argument.partition("/")
                found = current.cancel(job_id, organisation)
                return found if isinstance(found, errors.Failure) else found.value
            case _ if method == HOLDS:
                return int(current.holds(argument))
            case _:
                return current.pending(argument)

    def _read_status(self, job_id: str) -> state.JobState | errors.Failure:
        """Return the state of a job from its rows in the store."""
        row_id = rows.progress_row_id(job_id)
        page = self._store.read(row_id.table, row_id.part, job_id, job_id + "\0")
        if isinstance(page, errors.Failure):
            return page
        if page.rows:
            progress = rows.decode(rows.Progress, page.rows[0].value)
            if isinstance(progress, errors.Malformed):
                return progress
            if not progress.is_mark:
                return state.JobState(progress.state)
        found = rows.find_job(self._store, job_id)
        if isinstance(found, errors.Failure):
            return found
        return state.JobState.CANCELLED if page.rows else state.JobState.QUEUED

    # Approvals

    def _on_approval_reply(self, request: plans.ApprovalRequest) -> None:
        del request
        if self._leadership is not None:
            self._leadership.wake()

    # Heartbeats

    def _send_heartbeats(self) -> None:
        while True:
            is_coordinator = self._leadership is not None
            interval_s = (
                failover.HEARTBEAT_INTERVAL_S
                if is_coordinator
                else KEEPALIVE_INTERVAL_S
            )
            due = uptime.now() + interval_s
            self._elected_event.clear()
            if self._elected_event.wait(interval_s):
                continue  # the interval of a coordinator is shorter
            late_s = uptime.now() - due
            if is_coordinator and late_s > LATE_HEARTBEAT_S:
                structured.decide(log, "heartbeat_late", late_ms=round(late_s * 1000))
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        """Send the known lease to the connected peers, which keeps the streams open."""
        peers = self._kernel.find("peers")
        lease = self._lease
        body = rows.encode(lease) if lease is not None else b""
        for name in self._members.targets():
            peers.notify(name, HEARTBEAT_NOTICE, body)

    def _announce_release(self) -> None:
        lease = self._lease
        if lease is None or lease.process != self._options.process:
            return
        released = rows.LeaderLease("", "", lease.epoch, lease.sequence, 0, "")
        peers = self._kernel.find("peers")
        # The streams to all processes are still open, although this one no longer
        # coordinates and needs only a few of them.
        for name in peers.connected():
            peers.notify(name, HEARTBEAT_NOTICE, rows.encode(released))

    def _handle_heartbeat(self, sender: str, body: bytes) -> None:
        self._failover.record_heartbeat(sender)
        if not body:
            return
        announced = rows.decode(rows.LeaderLease, body)
        if isinstance(announced, errors.Malformed):
            log.warning("ignoring a malformed heartbeat: {}", announced)
            return
        known = self._lease
        if not announced.process:
            if known is None or announced.epoch >= known.epoch:
                gevent.spawn(self._replace_released, announced.epoch)
        elif known is None or announced.epoch > known.epoch:
            self._set_coordinator(announced)

    # Load

    def _send_loads(self) -> None:
        """Count the load and send it to all processes while this one coordinates."""
        pause_s = load_report.INTERVAL_S
        while True:
            gevent.sleep(pause_s)
            started = uptime.now()
            try:
                self._send_load(started)
            except Exception:
                log.exception("counting the load failed")
            took_s = uptime.now() - started
            pause_s = max(load_report.INTERVAL_S, took_s / MAX_COUNT_SHARE)

    def _send_load(self, now: float) -> None:
        current = self._leadership
        if current is None or not current.ready.is_set():
            return
        report = current.report_load()
        self._keep_load(report, now)
        peers, body = self._kernel.find("peers"), load_report.encode(report)
        for name in self._members.targets():
            peers.notify(name, load_report.NOTICE, body)

    def _handle_load(self, sender: str, body: bytes) -> None:
        report = load_report.decode(body)
        if isinstance(report, errors.Malformed):
            log.warning("ignoring a malformed load report of {}: {}", sender, report)
            return
        self._keep_load(report, uptime.now())

    def _keep_load(self, report: load_report.Report, now: float) -> None:
        known = self.load.report
        if self.load.receive(report, now) and (
            known is None or known.epoch != report.epoch
        ):
            structured.decide(
                log, "load_known", epoch=report.epoch, pools=len(report.pools)
            )

    def _set_coordinator(self, lease: rows.LeaderLease) -> None:
        changed = self._lease is None or lease.epoch != self._lease.epoch
        self._lease = lease
        if changed:
            self._failover.set_coordinator(lease)
            self._members.coordinator = lease.process
            self._step_down(f"{lease.process} coordinates under epoch {lease.epoch}")
            structured.decide(
                log, "coordinator_known", process=lease.process, epoch=lease.epoch
            )
            self._members.update_streams()

    # Election

    def _take_over(self, takeover: leader_lease.Takeover) -> None:
        """Acquire the lease even if it is held under this epoch and has not expired."""
        self._takeover = takeover
        self._takeover_event.set()

    def _replace_released(self, epoch: int) -> None:
        """Acquire a lease that was released, unless another process is faster."""
        gevent.sleep(self._failover.find_takeover_wait_s())
        if self._lease is None or self._lease.epoch <= epoch:
            reason = leader_lease.Reason.RELEASED
            self._take_over(leader_lease.Takeover(epoch, reason))

    def _step_down(self, reason: str) -> None:
        if self._leadership is not None:
            self._leadership.step_down(reason)

    def _run_election(self) -> None:
        while True:
            if self._draining:
                self._read_lease()
                continue
            if not self._has_view():
                gevent.sleep(VIEW_CHECK_INTERVAL_S)
                continue
            self._members.await_others()
            if self._draining:
                continue
            found = leader_lease.acquire(
                self._store,
                self._options.process,
                self._options.address,
                self._instance_id,
                self._takeover,
                self._failover.find_weak_wait_s(),
            )
            match found:
                case leader_lease.Acquired():
                    self._coordinate(found)
                    self._takeover_event.wait(LEASE_CHECK_INTERVAL_S)
                case leader_lease.HeldByOther(lease=lease, expires_in_s=expires_in_s):
                    if lease.process:
                        self._set_coordinator(lease)
                    if leader_lease.is_released(lease):
                        self._await_released(lease, expires_in_s)
                        continue
                    pause = expires_in_s + 0.05 * random.random()
                    if not self._failover.has_stable_coordinator():
                        pause = min(LEASE_CHECK_INTERVAL_S, pause)
                    self._takeover_event.wait(pause)
                case errors.Conflict():
                    gevent.sleep(0.02)
                case errors.Failure():
                    log.debug("could not acquire the leader lease: {}", found)
                    gevent.sleep(STORE_RETRY_S * (1 + random.random()))
            self._takeover_event.clear()

    def _await_released(self, lease: rows.LeaderLease, wait_s: float) -> None:
        """Leave a released lease to stronger processes before acquiring it."""
        if not self._takeover_event.wait(wait_s):
            reason = leader_lease.Reason.RELEASED
            self._takeover = leader_lease.Takeover(lease.epoch, reason)
        self._takeover_event.clear()

    def _read_lease(self) -> None:
        found = leader_lease.read(self._store)
        if not isinstance(found, errors.Failure) and found[0] is not None:
            self._set_coordinator(found[0])
        gevent.sleep(LEASE_CHECK_INTERVAL_S / 2)

    def _coordinate(self, acquired: leader_lease.Acquired) -> None:
        self._set_coordinator(acquired.lease)
        structured.decide(
            log, "seat_taken", epoch=acquired.lease.epoch, after=acquired.predecessor,
            renewals_left_s=round(acquired.renewals_left_s, 2),
            why=acquired.reason.value, strength=round(self._members.strength()),
        )  # fmt: skip
        self._store_clock = acquired.find_store_clock()
        self._leadership = leadership.Leadership(
            self._store,
            self._client,
            self._directory,
            acquired,
            self._store_clock,
            self._approval_dispatcher.submit,
            self._options.max_lease_ms,
            self._options.stop_limits,
            self._failover.report_write_failure,
            self._meters.count_round,
            self._meters.count_stops,
            self._options.max_job_bytes,
        )
        self._members.coordinates = True
        self._elected_event.set()
        self._members.update_streams()
        self._send_heartbeat()
        try:
            self._leadership.run()
        except Exception:
            log.exception(
                "epoch {}: coordination ended by an internal error",
                acquired.lease.epoch,
            )
        finally:
            self._leadership = None
            self._members.coordinates = False
            self._approval_dispatcher.clear()
            structured.decide(log, "seat_left", epoch=acquired.lease.epoch)


def _to_state(answer: object | errors.Failure) -> state.JobState | errors.Failure:
    """Return the state that another process has answered."""
    if isinstance(answer, errors.Failure):
        return answer
    if answer not in state.STATE_VALUES:
        return errors.Malformed(reason=f"unknown state {answer!r}")
    return state.JobState(answer)
