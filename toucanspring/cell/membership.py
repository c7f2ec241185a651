"""Membership of the cell: polls of the member rows, renewals and heartbeats."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import gevent
import logbook
import msgspec
from gevent import pool

from toucanspring import errors, periodic, resources, uptime
from toucanspring.adapters import tables
from toucanspring.cell import (
    heartbeat,
    member_removal,
    member_rows,
    ownership,
    transitions,
)
from toucanspring.scheduling import capacity_report

log = logbook.Logger(__name__)

# A member whose counter has not changed for this long is not counted for majorities.
MEMBER_TIMEOUT_S = 10.0
SCAN_EVERY_POLLS = 4
# With polls of the store every 0.5 s, a higher age means that one was missed.
STEADY_CONTACT_AGE_S = 0.75
MAX_STEADY_INTERVAL_S = heartbeat.REACHABLE_S / 2
SCAN_ROWS = 500

Member = member_rows.Member
Rows = member_rows.Rows
HeartbeatListener = Callable[[str, heartbeat.Heartbeat, float], None]


class Service:
    """Maintain the member row of this process and track the other processes."""

    def __init__(
        self,
        kernel: object,
        settings: object,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self.clock = clock
        self.timing = ownership.Timing(lease_s=settings.lease_s)
        # Only compared for equality, so a step of the wall clock is harmless.
        incarnation = time.time_ns() // 1000
        identity = Member(
            settings.process,
            incarnation,
            settings.address,
            settings.peer_port,
            settings.http_port,
            settings.availability_zone,
        )
        self.local_member = member_rows.LocalMember(
            identity,
            self.timing,
            clock,
            lambda: self._tables,
            lambda: sorted(self.members()),
        )
        self.peer_tracker = heartbeat.PeerTracker(incarnation, self.timing)
        self.observations: dict[str, ownership.Observation] = {}
        self.rows: dict[str, tuple[int, member_rows.MemberRow]] = {}
        self.free_resources: Callable[[], resources.Resources] = lambda: resources.ZERO
        self.capacity_reports: Callable[
            [], dict[int, capacity_report.CapacityReport]
        ] = dict
        self._watches: list[tuple[Callable, Callable]] = []
        self._listeners: list[HeartbeatListener] = []
        self._polls = 0
        self._skipped_last = False
        self._reporter = transitions.TransitionReporter(self, kernel)
        self._greenlets = pool.Group()

    def start(self) -> None:
        """Start the loops for renewals, polls and heartbeats."""
        peers = self._kernel.find("peers")
        peers.incarnation = self.identity.incarnation
        if not self._settings.peer_port:
            self.local_member.identity = msgspec.structs.replace(
                self.identity, peer_port=peers.port
            )
        peers.handle_notice("heartbeat", self._handle_heartbeat)
        self._greenlets.spawn(self._repeat, self._settings.renew_s, self._renew)
        self._greenlets.spawn(self._repeat, self._settings.poll_s, self.poll)
        self._greenlets.spawn(self._send_heartbeats)

    def stop(self) -> None:
        """Stop all loops and delete the member row, so that others notice at once."""
        self._greenlets.kill()
        self.local_member.remove()

    def drain(self) -> None:
        """Announce to the other processes that this one is about to stop."""
        self.local_member.draining = True
        self.local_member.write()
        self.send_heartbeats()

    # Interface

    @property
    def identity(self) -> Member:
        """Return the identity of this process."""
        return self.local_member.identity

    @property
    def replaced(self) -> bool:
        """Return whether another process has taken over the name of this one."""
        return self.local_member.replaced

    def members(self) -> dict[str, Member]:
        """Return the processes that are counted for majorities, including this one."""
        found = {
            name: row.member
            for name, (_, row) in self.rows.items()
            if self._is_recent(name) and not row.gone
        }
        found[self.identity.process] = self.identity
        return found

    def candidates(self) -> list[str]:
        """Return the live processes that may own partitions, sorted."""
        now = self.clock()
        names = {
            name
            for name, (_, row) in self.rows.items()
            if not (row.draining or row.gone)
            and not ownership.is_lease_expired(
                self.observations[name], row.member.incarnation, now, self.timing
            )
        }
        names.discard(self.identity.process)
        if not self.local_member.draining:
            names.add(self.identity.process)
        return sorted(names)

    def store_contact_age(self, now: float) -> float:
        """Return seconds since the last request that the store answered was sent."""
        return self.local_member.store_contact_age(now)

    def reachable(self) -> set[str]:
        """Return this process and those with a heartbeat within 2 s."""
        return self.peer_tracker.reachable(self.clock()) | {self.identity.process}

    def peer_states(self) -> dict[str, heartbeat.Heartbeat]:
        """Return the latest heartbeat of each reachable process."""
        reachable = self.peer_tracker.reachable(self.clock())
        return {name: self.peer_tracker.peers[name].message for name in reachable}

    def watch(
        self, keys: Callable[[], Iterable[str]], callback: Callable[[Rows, float], None]
    ) -> None:
        """Read rows with each poll and pass them to `callback(rows, sent_at)`.

        The services share one read, which keeps the load on the store low.
        """
        self._watches.append((keys, callback))

    def unwatch(self, callback: Callable[[Rows, float], None]) -> None:
        """Stop reading rows for `callback`."""
        self._watches = [watch for watch in self._watches if watch[1] != callback]

    def on_heartbeat(self, listener: HeartbeatListener) -> None:
        """Call `listener(process, message, echoed_at)` for each new heartbeat."""
        self._listeners.append(listener)

    def promises(self) -> dict[str, float]:
        """Return the time that each member's latest promise counts from."""
        now = self.clock()
        found = dict(self.peer_tracker.promises)
        if self.local_member.try_promise(now):
            found[self.identity.process] = now
        return found

    def promise_free(self) -> dict[str, ownership.PromiseFreeInterval]:
        """Return the interval in which each member sent no promise."""
        now = self.clock()
        found = dict(self.peer_tracker.promise_free)
        for name, (_, row) in self.rows.items():
            if row.gone:
                found[name] = ownership.PromiseFreeInterval(ownership.NEVER, now)
        found[self.identity.process] = ownership.PromiseFreeInterval(
            self.local_member.promised_at, now
        )
        return found

    def lease_state(self, now: float) -> ownership.LeaseState:
        """Return the state of the lease of this process."""
        return ownership.lease_state(self.local_member.lease, now)

    def member_lists(self) -> dict[str, list[str]]:
        """Return the list in each member row, including those of silent members."""
        lists = {name: row.known for name, (_, row) in self.rows.items()}
        lists[self.identity.process] = sorted(self.members())
        return lists

    def confirm_gone(self, process: str) -> None | errors.Failure:
        """Record an operator's confirmation that no incarnation of a process runs.

        Fails with `NotFound`, with `Refused` if the process is alive, or with a failure
        of the store.
        """
        return member_removal.confirm(self, self._tables, process)

    # Polls

    @property
    def _tables(self) -> tables.TableClient:
        return self._kernel.find("store").tables

    def poll(self) -> None | errors.Failure:
        """Read the member rows and the watched rows in one request."""
        watched = [(list(keys()), callback) for keys, callback in self._watches]
        wanted = {key for keys, _ in watched for key in keys}
        scanning = self._polls % SCAN_EVERY_POLLS == 0
        if scanning:
            failure = self.read_members()
            if failure is not None:
                return failure
        else:
            wanted.update(member_rows.key_of(name) for name in self.rows)
        sent_at = self.clock()
        rows = self._tables.read(sorted(wanted))
        if isinstance(rows, errors.Failure):
            return rows
        self._polls += 1
        self.local_member.record_contact(sent_at)
        self._handle_rows(rows)
        for keys, callback in watched:
            callback({key: rows[key] for key in keys}, sent_at)
        if scanning:
            member_removal.delete_dead(self, self._tables)
        return None

    def read_members(self) -> None | errors.Failure:
        """Read all member rows, including new ones."""
        sent_at = self.clock()
        found: dict[str, tables.Row] = {}
        after = ""
        while True:
            rows = self._tables.scan(member_rows.PREFIX, after, SCAN_ROWS)
            if isinstance(rows, errors.Failure):
                return rows
            found.update({row.key: tables.Row(row.version, row.value) for row in rows})
            if len(rows) < SCAN_ROWS:
                break
            after = rows[-1].key
        self.local_member.record_contact(sent_at)
        self._handle_rows(found)
        return None

    def _handle_rows(self, rows: Rows) -> None:
        received_at = self.clock()
        for key, row in rows.items():
            if not key.startswith(member_rows.PREFIX):
                continue
            name = key.removeprefix(member_rows.PREFIX)
            # The responses to two concurrent reads may arrive in the other order.
            if 0 < row.version < self.rows.get(name, (0, None))[0]:
                continue
            current = member_rows.decode_row(row)
            self.observations[name] = ownership.observe(
                self.observations.get(name),
                current.member.incarnation if current else 0,
                current.counter if current else 0,
                received_at,
            )
            if current is None:
                self.rows.pop(name, None)
                self.peer_tracker.drop(name)
            else:
                self.rows[name] = (row.version, current)
        self._kernel.find("peers").set_targets(
            {
                name: (row.member.address, row.member.peer_port)
                for name, (_, row) in self.rows.items()
                if name != self.identity.process
                and self._is_recent(name)
                and not row.gone
            }
        )

    def _is_recent(self, name: str) -> bool:
        """Return whether a member was recently seen to renew its row.

        Time counts up to the last contact with the store, so that the member list does
        not change during an outage.
        """
        seen_at = self.observations[name].counter_seen_at
        return (
            max(self.local_member.last_contact_at, seen_at) - seen_at
            <= MEMBER_TIMEOUT_S
        )

    # Loops

    def _repeat(self, interval_s: float, work: Callable[[], object]) -> None:
        on_pause = self._reporter.report_pause
        periodic.repeat(interval_s, work, self.clock, lambda: self.replaced, on_pause)

    def _renew(self) -> None:
        # The member list in the first row must come from a read: in a list of this
        # process alone, it would be a majority by itself.
        if not self._polls:
            return
        result = self.local_member.write()
        if isinstance(result, errors.Failure):
            log.warning("renewal failed: {}", result.reason)

    # Heartbeats

    def _send_heartbeats(self) -> None:
        """Send heartbeats at a fixed rate and as soon as the store is unreachable.

        Leases may expire half a second after that, so promises must not wait for the
        next regular heartbeat.
        """
        while True:
            try:
                self.send_due_heartbeats()
            except Exception:
                log.exception("sending heartbeats failed")
            wait_s = self._settings.heartbeat_s
            lost_in_s = member_rows.STORE_UNREACHABLE_S - self.store_contact_age(
                self.clock()
            )
            if 0 < lost_in_s < wait_s:
                wait_s = lost_in_s + 0.001
            gevent.sleep(wait_s)

    def send_due_heartbeats(self) -> None:
        """Send heartbeats, but only every other time in the steady state.

        Promises and confirmations of views count from an echoed clock value. As soon as
        any process may need them, all processes that notice send at the full rate.
        """
        self._reporter.report_changes()
        self._skipped_last = not self._skipped_last and self.is_steady(self.clock())
        if not self._skipped_last:
            self.send_heartbeats()

    def is_steady(self, now: float) -> bool:
        """Return whether all members are reachable and none has lost the store."""
        interval_s = 2 * self._settings.heartbeat_s
        if (
            interval_s > MAX_STEADY_INTERVAL_S
            or self.store_contact_age(now) > STEADY_CONTACT_AGE_S
        ):
            return False
        names = self.members().keys() - {self.identity.process}
        messages = self.peer_states()
        return names <= messages.keys() and not any(
            messages[name].promise
            or messages[name].view_age_ms > STEADY_CONTACT_AGE_S * 1000
            or messages[name].draining
            for name in names
        )

    def send_heartbeats(self) -> None:
        """Send the state of this process to all other members."""
        now = self.clock()
        peers = self._kernel.find("peers")
        documents = self._kernel.find("documents")
        view = documents.view()
        promise = self.local_member.try_promise(now)
        message = heartbeat.Heartbeat(
            incarnation=self.identity.incarnation,
            clock=heartbeat.to_clock(now),
            echo=0,
            echo_incarnation=0,
            versions=view.versions,
            view_age_ms=int(min(now - view.confirmed_at, 1e6) * 1000) + 1,
            has_read_head=documents.has_read_head(),
            promise=promise,
            promise_free_ms=int((now - self.local_member.promised_at) * 1000),
            owned=self.local_member.hooks.owned(),
            free=self.free_resources(),
            draining=self.local_member.draining,
            capacity_reports=self.capacity_reports(),
        )
        for name in self.members():
            if name != self.identity.process:
                body = heartbeat.encode_for(message, *self.peer_tracker.echo_for(name))
                peers.notify(name, "heartbeat", body)
        self.local_member.extend(self.promises(), now)
        documents.extend(now)

    def _handle_heartbeat(self, sender: str, body: bytes) -> None:
        message = heartbeat.decode(body)
        if isinstance(message, errors.Failure):
            log.warning("malformed heartbeat from {}: {}", sender, message.reason)
            return
        now = self.clock()
        if not self.peer_tracker.record(sender, message, now):
            return
        if message.promise:
            self.local_member.extend(self.promises(), now)
        echoed_at = self.peer_tracker.peers[sender].echoed_at
        for listener in self._listeners:
            listener(sender, message, echoed_at)
