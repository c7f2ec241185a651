"""The coordinator's side of each process: candidacy, calls to whoever coordinates."""

from __future__ import annotations

import dataclasses
import random
import time
import uuid
from collections.abc import Callable

import gevent
import logbook
import msgspec
from gevent import event

from toucanspring import errors
from toucanspring import log as structured
from toucanspring.coordinator import (
    approval_dispatcher,
    failover,
    job_specs,
    job_writer,
    leader_lease,
    leadership,
    metered,
    plans,
    ports,
    rows,
    state,
    table_cache,
)

log = logbook.Logger(__name__)

LOOK_AT_SEAT_S = 1.0
RETRY_S = 0.15
# Processes come and go rarely, and a change ends the wait.
MEMBERS_WAIT_S = 4.0
CALL_TIMEOUT_S = 1.2
KEEPALIVE_S = 3.0  # streams of peers close after 10 s of silence
RELAY_LINKS = 2  # processes beside the coordinator that calls may be relayed to
ANNOUNCE = "seat"
UNKNOWN_AGE_S = 1e6  # shown for the age of a view that was never complete
METHODS = ("status", "cancel", "pending")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Settings of one process; `max_lease_ms` is the longest lease of a worker."""

    process: str
    address: str
    peer_port: int
    max_lease_ms: int


class Service:
    """Run for the seat, coordinate while it is held, and call who holds it."""

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
        self._clock = leader_lease.StoreClock()
        self._lease: rows.LeaderLease | None = None
        self._leadership: leadership.Leadership | None = None
        self._draining = False
        self._looked = event.Event()
        self._vacated = 0  # epoch of a coordinator that is given up
        self._members = table_cache.TableCache(
            store, rows.MEMBERS, self._take_member, wait_s=MEMBERS_WAIT_S
        )
        self._intake = job_writer.JobWriter(store)
        self._approvals = approval_dispatcher.ApprovalDispatcher(
            kernel, metered.Approvals(approvals, meters), self._answered
        )
        self._failover = failover.Failover(
            options.process, kernel.find("peers"), store, self._give_up, self._leave
        )
        self._greenlets: list[gevent.Greenlet] = []

    # Life

    def start(self) -> None:
        """Register, follow the members and run for the seat."""
        peers = self._kernel.find("peers")
        for method in METHODS:
            peers.handle(method, self._handler(method))
        peers.handle(approval_dispatcher.METHOD, self._approvals.serve)
        peers.handle_notice(ANNOUNCE, self._take_announcement)
        self._intake.__enter__()
        self._failover.__enter__()
        self._members.__enter__()
        self._greenlets = [
            gevent.spawn(self._register),
            gevent.spawn(self._run_for_seat),
            gevent.spawn(self._keep_streams),
        ]

    def stop_accepting(self) -> None:
        """Leave the seat to others."""
        self._draining = self._failover.closing = True
        if self._leadership is not None:
            self._leadership.release()
        self._announce_vacancy()

    def stop(self) -> None:
        """End all work of this process."""
        gevent.killall(self._greenlets, block=False)
        self._members.close()
        self._intake.__exit__()
        self._failover.__exit__()
        place = ports.RowId(rows.MEMBERS, "", self._options.process)
        row = self._members.rows.get(place)
        if row is not None:
            answer = self._store.transact({place: row.version}, {}, (place,))
            if isinstance(answer, errors.Failure):
                log.warning("the row of this process stays: {}", answer)

    def measure(self) -> dict[str, float]:
        """Return what this process believes, as numbers by name."""
        held = self._leadership
        known = {
            "epoch": self._lease.epoch if self._lease is not None else 0,
            "coordinates": float(held is not None and held.ready.is_set()),
            "view_age_seconds": min(
                UNKNOWN_AGE_S, self._directory.age(time.monotonic())
            ),
            "peers_connected": len(self._kernel.find("peers").connected()),
        }
        return {**known, **(held.measure() if held is not None else {})}

    # Calls

    def submit(self, spec: job_specs.Job, timeout_s: float) -> None | errors.Failure:
        """Store a job; see `job_writer.JobWriter.accept`."""
        return self._intake.accept(spec, timeout_s)

    def status(self, job_id: str) -> state.JobState | errors.Failure:
        """Return the state of a job, from the store if nobody coordinates."""
        answer = self._call("status", job_id)
        if isinstance(answer, errors.Failure) and not isinstance(
            answer, errors.NotFound
        ):
            return self._read_status(job_id)
        return answer if isinstance(answer, errors.Failure) else state.JobState(answer)

    def cancel(self, job_id: str) -> state.JobState | errors.Failure:
        """Cancel a job; returns once that is durable."""
        answer = self._call("cancel", job_id)
        return answer if isinstance(answer, errors.Failure) else state.JobState(answer)

    def pending(self, queue: str) -> int | errors.Failure:
        """Return how many accepted jobs of a queue have not begun."""
        return self._call("pending", queue)

    def relays(self) -> list[str]:
        """Return processes that calls may be passed to, the coordinator first."""
        names = self._targets()
        first = self._lease.process if self._lease is not None else ""
        return sorted(names, key=lambda name: (name != first, name))

    def _call(self, method: str, argument: str) -> object | errors.Failure:
        held = self._lease
        if held is None:
            return errors.Unavailable(reason="no coordinator is known")
        if held.process == self._options.process:
            return self._answer(method, argument)
        body = self._kernel.find("peers").call(
            held.process, method, argument.encode(), CALL_TIMEOUT_S
        )
        if isinstance(body, errors.Failure):
            return body
        return msgspec.msgpack.decode(body)

    def _handler(self, method: str) -> Callable[[str, bytes], bytes | errors.Failure]:
        def handle(_sender: str, body: bytes) -> bytes | errors.Failure:
            answer = self._answer(method, body.decode())
            if isinstance(answer, errors.Failure):
                return answer
            return msgspec.msgpack.encode(answer)

        return handle

    def _answer(self, method: str, argument: str) -> object | errors.Failure:
        held = self._leadership
        if held is None or not held.ready.is_set():
            return errors.Unavailable(reason="this process does not coordinate")
        match method:
            case "status":
                found = held.status(argument)
                return found if isinstance(found, errors.Failure) else found.value
            case "cancel":
                found = held.cancel(argument)
                return found if isinstance(found, errors.Failure) else found.value
            case _:
                return held.cell.pending(argument)

    def _read_status(self, job_id: str) -> state.JobState | errors.Failure:
        """Return the state of a job from its rows."""
        place = rows.progress_row_id(job_id)
        page = self._store.read(place.table, place.part, job_id, job_id + "\0")
        if isinstance(page, errors.Failure):
            return page
        if page.rows:
            progress = rows.decode(rows.Progress, page.rows[0].value)
            if isinstance(progress, errors.Malformed):
                return progress
            return state.JobState(progress.state)
        found = rows.find_job(self._store, job_id)
        return found if isinstance(found, errors.Failure) else state.JobState.QUEUED

    # Approvals

    def _answered(self, question: plans.ApprovalRequest) -> None:
        del question
        if self._leadership is not None:
            self._leadership.wake()

    # Members

    def _register(self) -> None:
        """Write where this process listens."""
        options = self._options
        place = ports.RowId(rows.MEMBERS, "", options.process)
        value = rows.encode(
            rows.MemberRow(options.process, options.address, options.peer_port)
        )
        while True:
            answer = self._store.transact({}, {place: value})
            if isinstance(answer, ports.Committed):
                return
            gevent.sleep(RETRY_S * (1 + random.random()))

    def _take_member(self, _row: ports.Row) -> None:
        self._set_targets()

    def _member_rows(self) -> dict[str, rows.MemberRow]:
        found = {}
        for row in self._members.rows.values():
            member = rows.decode(rows.MemberRow, row.value)
            if isinstance(member, rows.MemberRow):
                found[member.process] = member
        found.pop(self._options.process, None)
        return found

    def _targets(self) -> list[str]:
        """Return the processes that this one keeps a stream to."""
        members = sorted(self._member_rows())
        if self._leadership is not None:
            return members
        chosen = members
        own = self._options.process
        ring = [name for name in members if name > own]
        ring += [name for name in members if name < own]
        chosen = ring[:RELAY_LINKS]
        if self._lease is not None and self._lease.process in members:
            chosen = [self._lease.process, *chosen]
        return list(dict.fromkeys(chosen))

    def _set_targets(self) -> None:
        members = self._member_rows()
        self._kernel.find("peers").set_targets(
            {
                name: (members[name].address, members[name].port)
                for name in self._targets()
            }
        )

    def _keep_streams(self) -> None:
        while True:
            leading = self._leadership is not None
            gevent.sleep(failover.HEARTBEAT_S if leading else KEEPALIVE_S)
            self._announce()

    def _announce(self) -> None:
        """Tell the others who coordinates; keeps the streams to them open."""
        peers = self._kernel.find("peers")
        held = self._lease
        body = rows.encode(held) if held is not None else b""
        for name in self._targets():
            peers.notify(name, ANNOUNCE, body)

    def _announce_vacancy(self) -> None:
        held = self._lease
        if held is None or held.process != self._options.process:
            return
        vacant = rows.LeaderLease("", "", held.epoch, held.sequence, 0, "")
        for name in self._targets():
            self._kernel.find("peers").notify(name, ANNOUNCE, rows.encode(vacant))

    def _take_announcement(self, sender: str, body: bytes) -> None:
        self._failover.heard(sender)
        if not body:
            return
        heard = rows.decode(rows.LeaderLease, body)
        if isinstance(heard, errors.Malformed):
            log.warning("announcement of the seat: {}", heard)
            return
        known = self._lease
        if not heard.process:
            if known is None or heard.epoch >= known.epoch:
                self._give_up(heard.epoch)  # its holder has left
        elif known is None or heard.epoch > known.epoch:
            self._take_seat(heard)

    def _take_seat(self, held: rows.LeaderLease) -> None:
        changed = self._lease is None or held.epoch != self._lease.epoch
        self._lease = held
        if changed:
            self._failover.follow(held)
            structured.decide(
                log, "coordinator_known", process=held.process, epoch=held.epoch
            )
            self._set_targets()

    # The seat

    def _give_up(self, epoch: int) -> None:
        """Claim the seat of an epoch although its lease may not be over."""
        self._vacated = epoch
        self._looked.set()

    def _leave(self, reason: str) -> None:
        if self._leadership is not None:
            self._leadership.superseded(reason)

    def _run_for_seat(self) -> None:
        while True:
            if self._draining:
                self._follow_seat()
                continue
            found = leader_lease.acquire(
                self._store,
                self._options.process,
                self._options.address,
                self._instance_id,
                self._vacated,
            )
            match found:
                case leader_lease.Acquired():
                    self._coordinate(found)
                    self._looked.wait(LOOK_AT_SEAT_S)
                case leader_lease.HeldByOther(lease=held, expires_in_s=left_s):
                    if held.process:
                        self._take_seat(held)
                    pause = left_s + 0.05 * random.random()
                    if not self._failover.is_quiet():
                        pause = min(LOOK_AT_SEAT_S, pause)
                    self._looked.wait(pause)
                case errors.Conflict():
                    gevent.sleep(0.02)
                case errors.Failure():
                    log.debug("seat: {}", found)
                    gevent.sleep(RETRY_S * (1 + random.random()))
            self._looked.clear()

    def _follow_seat(self) -> None:
        found = leader_lease.read(self._store)
        if not isinstance(found, errors.Failure) and found[0] is not None:
            self._take_seat(found[0])
        gevent.sleep(LOOK_AT_SEAT_S / 2)

    def _coordinate(self, taken: leader_lease.Acquired) -> None:
        self._take_seat(taken.lease)
        structured.decide(log, "seat_taken", epoch=taken.lease.epoch)
        self._clock = leader_lease.StoreClock()
        self._clock.update(
            taken.lease.expires_ms - leader_lease.LEASE_MS, time.monotonic()
        )
        self._leadership = leadership.Leadership(
            self._store,
            self._client,
            self._directory,
            taken,
            self._clock,
            self._approvals.ask,
            self._options.max_lease_ms,
            self._failover.writes_fail,
            self._meters.count_round,
        )
        self._set_targets()
        self._announce()
        try:
            self._leadership.run()
        except Exception:
            log.exception("epoch {}: the tenure ended", taken.lease.epoch)
        finally:
            self._leadership = None
            self._approvals.clear()
            structured.decide(log, "seat_left", epoch=taken.lease.epoch)
