"""Failover before the leader lease expires: failure detection and handover.

A coordinator that cannot reach the store hands the lease over to a process that can,
and one on a weak VM to a process on a much stronger one.
One that is disconnected from its peers, or silent, is considered failed. Replacing a
live coordinator by mistake is safe; see `leader_lease.acquire`.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
import logbook
from gevent import queue

from toucanspring import errors, uptime
from toucanspring import log as structured
from toucanspring.cell import peers
from toucanspring.coordinator import (
    candidacy,
    lag,
    leader_lease,
    members,
    ports,
    rows,
)

log = logbook.Logger(__name__)

TAKE_OVER = "take over"
REACHES = "reaches"
HANDOVER_NOTICE = "handed over"
# A coordinator whose writes fail for this long asks its peers to take over, since they
# may reach the store.
HAND_OVER_AFTER_S = 0.2
HAND_OVER_ATTEMPTS = 4
PEER_CALL_TIMEOUT_S = 0.5
# The link of a weak coordinator may be full.
OFFER_TIMEOUT_S = 1.0
# A coordinator that is disconnected from this process and from another one for this
# long is considered failed.
CHECK_INTERVAL_S = 0.1
DISCONNECT_TIMEOUT_S = 0.5
# The streams of a VM that loses its power stay open. The failure of a coordinator on it
# is detected by missing heartbeats.
HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 1.0
# A new coordinator is not considered failed while it still connects to its peers.
NEW_COORDINATOR_GRACE_S = 3.0
# How many other peers are asked whether they reach the coordinator.
REACHABILITY_CHECK_PEERS = 2
# How often a coordinator checks its own lag, and by how many calls.
LAG_CHECK_INTERVAL_S = 0.5
LAG_CHECK_PEERS = 3
LAG_CALL_TIMEOUT_S = 2.0


class Failover:
    """Detects a failed coordinator, and hands the lease over while writes fail.

    `take_over(takeover)` makes this process acquire the lease although a process holds
    it under that epoch; `step_down(reason)` ends the leadership of this process.
    """

    def __init__(
        self,
        process: str,
        streams: peers.Service,
        store: ports.Store,
        take_over: Callable[[leader_lease.Takeover], None],
        step_down: Callable[[str], None],
        cell: members.Members,
        is_ready: Callable[[], bool],
    ) -> None:
        self.closing = False
        self._process = process
        self._peers = streams
        self._store = store
        self._take_over = take_over
        self._step_down = step_down
        self._members = cell
        self._is_ready = is_ready
        self._pace = candidacy.HandoverPace()
        self._lease: rows.LeaderLease | None = None
        self._lease_seen_at = 0.0
        self._heartbeat_at = 0.0
        self._taken_over_epoch = 0
        self._hand_over_task: gevent.Greenlet | None = None
        self._watcher: gevent.Greenlet | None = None
        self._lag = lag.LagTracker()
        self._lag_watcher: gevent.Greenlet | None = None

    def __enter__(self) -> Failover:
        self._peers.handle(TAKE_OVER, self._serve_take_over)
        self._peers.handle(REACHES, self._serve_reachability)
        self._peers.handle_notice(HANDOVER_NOTICE, self._record_handover)
        self._watcher = gevent.spawn(self._watch_coordinator)
        self._lag_watcher = gevent.spawn(self._watch_lag)
        return self

    def __exit__(self, *_exc: object) -> None:
        for watcher in (self._watcher, self._lag_watcher):
            if watcher is not None:
                watcher.kill(block=False)

    def set_coordinator(self, lease: rows.LeaderLease) -> None:
        """Watch the holder of a lease from now on."""
        self._lease, self._lease_seen_at = lease, uptime.now()
        self._heartbeat_at = self._lease_seen_at

    def record_heartbeat(self, process: str) -> None:
        """Record a heartbeat if it is from the coordinator."""
        if self._lease is not None and process == self._lease.process:
            self._heartbeat_at = uptime.now()

    def has_stable_coordinator(self) -> bool:
        """Return whether the coordinator is past its grace period and alive.

        Only its own heartbeats count.
        """
        now = uptime.now()
        return (
            self._lease is not None
            and now - self._lease_seen_at >= NEW_COORDINATOR_GRACE_S
            and now - self._heartbeat_at <= HEARTBEAT_TIMEOUT_S
        )

    def find_takeover_wait_s(self) -> float:
        """Return how long this process waits before it replaces the coordinator."""
        return candidacy.find_takeover_wait_s(
            self._process,
            self._members.strengths(),
            self._members.find_disconnected(),
            "" if self._lease is None else self._lease.process,
        )

    def find_weak_wait_s(self) -> float:
        """Return how long this process leaves a free lease to stronger ones."""
        gone = self._members.find_disconnected()
        if self._lease is not None:
            gone.add(self._lease.process)
        return candidacy.find_weak_wait_s(
            self._process, self._members.strengths(), gone
        )

    def report_write_failure(self, failing_for_s: float) -> None:
        """Start a handover to a process that reaches the store, if not under way.

        Writes of this process have failed for `failing_for_s` seconds.
        """
        if failing_for_s < HAND_OVER_AFTER_S:
            return
        if self._hand_over_task is None or self._hand_over_task.ready():
            self._hand_over_task = gevent.spawn(self._hand_over)

    def _hand_over(self) -> None:
        epoch = self._lease.epoch
        names = self._peers.connected()
        random.shuffle(names)
        names = candidacy.order_successors(names, self._members.strengths())
        body = f"{epoch}".encode()
        for name in names[:HAND_OVER_ATTEMPTS]:
            answer = self._peers.call(name, TAKE_OVER, body, PEER_CALL_TIMEOUT_S)
            self._log_offer(name, epoch, "writes fail", answer)
            if not isinstance(answer, errors.Failure):
                self._step_down(f"handed over to {name}, which reaches the store")
                return

    def _log_offer(
        self, name: str, epoch: int, why: str, answer: bytes | errors.Failure
    ) -> None:
        refused = answer.reason if isinstance(answer, errors.Failure) else ""
        strengths = self._members.strengths()
        structured.decide(
            log, "seat_offered", to=name, epoch=epoch, why=why, refused=refused,
            strength=round(strengths.get(self._process, 0.0)),
            strength_to=round(strengths.get(name, 0.0)),
        )  # fmt: skip

    def _offer_to_stronger(self, epoch: int, now: float) -> None:
        """Hand the lease over to a connected process on a much stronger VM.

        This process goes on coordinating until the other one has acquired the lease, so
        that a refused or lost offer costs nothing.
        """
        if self.closing or not self._pace.may_offer(epoch, now):
            return
        names = candidacy.find_successors(
            self._process, self._members.strengths(), self._peers.connected()
        )
        if not names:
            return
        self._offer(random.choice(names), epoch, "weak", now)

    def _offer(self, name: str, epoch: int, why: str, now: float) -> None:
        """Offer the lease to a process, and tell the others if it may have taken it."""
        self._pace.offered_at = now
        body = f"{epoch}".encode()
        answer = self._peers.call(name, TAKE_OVER, body, OFFER_TIMEOUT_S)
        self._log_offer(name, epoch, why, answer)
        # An offer without an answer may have been taken.
        if not isinstance(answer, errors.Failure) or isinstance(
            answer, errors.Ambiguous
        ):
            self._pace.record_handover(epoch, now)
            for peer in self._peers.connected():
                self._peers.notify(peer, HANDOVER_NOTICE, body)

    def _watch_lag(self) -> None:
        while True:
            gevent.sleep(LAG_CHECK_INTERVAL_S)
            try:
                self._check_lag()
            except Exception:
                log.exception("checking the lag failed")

    def _check_lag(self) -> None:
        """Hand the lease over if the VM of this coordinator has become slow.

        Its successor is the process that has answered first.
        """
        lease, now = self._lease, uptime.now()
        if (
            lease is None
            or lease.process != self._process
            or self.closing
            or now - self._lease_seen_at < NEW_COORDINATOR_GRACE_S
        ):
            self._lag.clear()
            return
        names = candidacy.find_equals(
            self._process, self._members.strengths(), self._peers.connected()
        )
        if not names:
            return
        answers = self._call_some(names)
        answered = self._await_first(answers, lag.MAX_ROUND_TRIP_S)
        self._lag.record(answered is not None)
        if not self._lag.is_lagging or not self._pace.may_offer(
            lease.epoch, now, candidacy.LAG_HANDOVER_INTERVAL_S
        ):
            return
        name = self._await_first(answers, LAG_CALL_TIMEOUT_S)
        if name is not None:  # else it is cut off, which the others notice
            self._offer(name, lease.epoch, "lags", uptime.now())

    def _call_some(self, names: list[str]) -> queue.SimpleQueue:
        """Call some of the processes; the queue gets those that answer."""
        answers: queue.SimpleQueue = queue.SimpleQueue()

        def call(name: str) -> None:
            body = self._process.encode()
            answer = self._peers.call(name, REACHES, body, LAG_CALL_TIMEOUT_S)
            if not isinstance(answer, errors.Failure):
                answers.put(name)

        for name in random.sample(names, min(len(names), LAG_CHECK_PEERS)):
            gevent.spawn(call, name)
        return answers

    @staticmethod
    def _await_first(answers: queue.SimpleQueue, timeout_s: float) -> str | None:
        """Return the process that has answered first, without removing it."""
        try:
            name = answers.get(timeout=timeout_s)
        except queue.Empty:
            return None
        answers.put(name)
        return name

    def _record_handover(self, sender: str, body: bytes) -> None:
        if not body.isdigit():
            log.warning("ignoring a malformed notice of {}: {!r}", sender, body[:20])
            return
        self._pace.record_handover(int(body), uptime.now())

    def _serve_take_over(self, sender: str, body: bytes) -> bytes | errors.Failure:
        """Take over from a coordinator that offers it, if the store is reachable."""
        if self.closing:
            return errors.Refused(reason="this process is stopping")
        if not self._is_ready():
            return errors.Refused(reason="this process has no configuration yet")
        found = leader_lease.read(self._store)
        if isinstance(found, errors.Failure):
            return found
        structured.decide(log, "seat_offered", by=sender, epoch=body.decode())
        self._take_over(leader_lease.Takeover(int(body), leader_lease.Reason.OFFERED))
        return b""

    def _watch_coordinator(self) -> None:
        """Take over from a coordinator that this and another process cannot reach."""
        disconnected_since = None
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            lease, now = self._lease, uptime.now()
            if lease is not None and lease.process == self._process:
                self._offer_to_stronger(lease.epoch, now)
            if (
                lease is None
                or self.closing
                or not self._is_ready()
                or lease.process == self._process
                or self._is_reachable(lease.process, now)
                or now - self._lease_seen_at < NEW_COORDINATOR_GRACE_S
            ):
                disconnected_since = None
                continue
            disconnected_since = disconnected_since or now
            wait_s = DISCONNECT_TIMEOUT_S + self.find_takeover_wait_s()
            if now - disconnected_since < wait_s:
                continue
            if lease.epoch != self._taken_over_epoch and self._confirm_unreachable(
                lease.process
            ):
                structured.decide(
                    log, "coordinator_missing", process=lease.process, epoch=lease.epoch
                )
                self._taken_over_epoch = lease.epoch
                self._take_over(
                    leader_lease.Takeover(lease.epoch, leader_lease.Reason.MISSING)
                )

    def _confirm_unreachable(self, process: str) -> bool:
        """Return whether one of the other peers cannot reach a process either."""
        for name in self._peers.connected()[:REACHABILITY_CHECK_PEERS]:
            answer = self._peers.call(
                name, REACHES, process.encode(), PEER_CALL_TIMEOUT_S
            )
            if answer == b"no":
                return True
        return False

    def _serve_reachability(self, _sender: str, body: bytes) -> bytes:
        now = uptime.now()
        if self._is_reachable(body.decode(), now):
            return b"yes"
        # A process that has just started or learned of a coordinator still connects.
        settled = (
            self._lease is not None
            and now - self._lease_seen_at >= NEW_COORDINATOR_GRACE_S
        )
        return b"no" if settled else b"unknown"

    def _is_reachable(self, process: str, now: float) -> bool:
        """Return whether a process is connected and, as coordinator, not silent."""
        if process == self._process:
            return True
        is_coordinator = self._lease is not None and self._lease.process == process
        if is_coordinator and now - self._heartbeat_at > HEARTBEAT_TIMEOUT_S:
            return False
        return process in self._peers.connected()
