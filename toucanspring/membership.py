"""The processes of the cell: member rows, renewals, heartbeats and promises."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import gevent
import logbook
import msgspec
from gevent import lock, pool

from toucanspring import errors, freshness, heartbeat, ownership, resources
from toucanspring.adapters import tables

log = logbook.Logger(__name__)

PREFIX = "members/"
# Two polls without an answer; early enough that all members have promised before the
# ownership lease ends.
NO_ACCESS_S = 1.0
# A member whose counter stands still this long is not counted for majorities.
COUNTED_S = 10.0
# Rows of members that own nothing are deleted after this time.
DELETE_AFTER_S = 60.0
SCAN_EVERY_POLLS = 4
WRITE_ATTEMPTS = 3


class Member(msgspec.Struct, frozen=True):
    """Describe one process."""

    process: str
    incarnation: int
    address: str
    peer_port: int
    http_port: int
    availability_zone: str


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row `members/<process>`; `known` is the list that majorities count against."""

    member: Member
    counter: int = 0
    known: list[str] = []
    settled: list[int] = []  # own partitions whose former owners are gone
    draining: bool = False
    # Lists of former incarnations of this process, for successors of their partitions.
    former: dict[str, list[str]] = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberRow)

Rows = dict[str, tables.Row]


def decode_row(value: bytes) -> MemberRow | None:
    """Return the member in a row value, or `None` if it is not one."""
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as error:
        log.error("a member row is malformed: {}", error)
        return None


class Guard:
    """Rows that each renewal must find unchanged; replaced by `claims`."""

    def checks(self) -> dict[str, int]:
        """Return the versions of the rows that a renewal checks."""
        return {}

    def recheck(self, rows: Rows) -> None:
        """Take in the rows after a renewal found one of them changed."""

    def settled(self) -> list[int]:
        """Return the own partitions whose former owners are gone."""
        return []

    def owned(self) -> dict[int, int]:
        """Return the epoch of each own partition."""
        return {}


class Service:
    """Own the row of this process and the view of the other processes."""

    def __init__(
        self,
        kernel: object,
        settings: object,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self.clock = clock
        self.timing = ownership.Timing(lease_s=settings.lease_s)
        # Only compared for equality, so a step of the wall clock does no harm.
        incarnation = time.time_ns() // 1000
        self.identity = Member(
            settings.process,
            incarnation,
            settings.address,
            settings.peer_port,
            settings.http_port,
            settings.availability_zone,
        )
        self.guard = Guard()
        self.ledger = heartbeat.Ledger(incarnation, self.timing)
        self.tenure = ownership.Tenure()
        self.sightings: dict[str, ownership.Sighting] = {}
        self.rows: dict[str, tuple[int, MemberRow]] = {}
        self.draining = False
        self.replaced = False  # another incarnation has taken this process's name
        self.free_resources: Callable[[], resources.Resources] = lambda: resources.ZERO
        self._started_at = self._promised_at = clock()
        self._lists: list[list[str]] = [[settings.process]]
        self._row_version = 0
        self._counter = 0
        self._former: dict[str, list[str]] = {}
        self._claim_unresolved = False
        self._registered = False
        self._row_lock = lock.RLock()
        self._store_answer_at = ownership.NEVER
        self._watches: list[tuple[Callable, Callable]] = []
        self._listeners: list[Callable[[str, heartbeat.Heartbeat, float], None]] = []
        self._polls = 0
        self._greenlets = pool.Group()

    # Life cycle

    def start(self) -> None:
        """Start renewing, polling and sending heartbeats."""
        peers = self._kernel.find("peers")
        peers.incarnation = self.identity.incarnation
        if not self._settings.peer_port:
            self.identity = msgspec.structs.replace(self.identity, peer_port=peers.port)
        peers.handle_notice("heartbeat", self._take_heartbeat)
        settings = self._settings
        self._greenlets.spawn(self._repeat, settings.renew_s, self._renew)
        self._greenlets.spawn(self._repeat, settings.poll_s, self.poll)
        self._greenlets.spawn(self._send_heartbeats)

    def stop(self) -> None:
        """Stop all loops and delete the own row, which tells the others at once."""
        self._greenlets.kill()
        if self._registered and not self.replaced and not self.guard.owned():
            self._tables.transact({self._key: self._row_version}, {}, [self._key])

    def drain(self) -> None:
        """Tell the other processes that this one is about to stop."""
        self.draining = True
        self.write_row()
        self.send_heartbeats()

    # Interface

    def members(self) -> dict[str, Member]:
        """Return the processes that count as members, this one included."""
        found = {
            name: row.member
            for name, (_, row) in self.rows.items()
            if self._counts(name)
        }
        found[self.identity.process] = self.identity
        return found

    def candidates(self) -> list[str]:
        """Return the live processes that may own partitions."""
        now = self.clock()
        names = {
            name
            for name, (_, row) in self.rows.items()
            if not row.draining
            and not ownership.is_silent(
                self.sightings[name], row.member.incarnation, now, self.timing
            )
        }
        own = self.identity.process
        names.discard(own)
        if not self.draining:
            names.add(own)
        return sorted(names)

    def store_age(self, now: float) -> float:
        """Return seconds since the last request that the store answered was sent."""
        return now - max(self._store_answer_at, self._started_at)

    def reachable(self) -> set[str]:
        """Return the processes with a heartbeat within 2 s, this one included."""
        return self.ledger.reachable(self.clock()) | {self.identity.process}

    def peer_states(self) -> dict[str, heartbeat.Heartbeat]:
        """Return the latest heartbeat of each reachable process."""
        reachable = self.ledger.reachable(self.clock())
        return {name: self.ledger.peers[name].message for name in reachable}

    def watch(
        self, keys: Callable[[], Iterable[str]], take: Callable[[Rows, float], None]
    ) -> None:
        """Read rows with each poll; `take(rows, sent_at)` gets them.

        Sharing one read among the services keeps the load on the store low.
        """
        self._watches.append((keys, take))

    def on_heartbeat(
        self, listener: Callable[[str, heartbeat.Heartbeat, float], None]
    ) -> None:
        """Call `listener(process, message, echoed_at)` for each new heartbeat."""
        self._listeners.append(listener)

    # Promises and tenure

    def promises(self) -> dict[str, float]:
        """Return the promises of all members, this one's included."""
        now = self.clock()
        found = dict(self.ledger.promises)
        if self._may_promise(now):
            self._promised_at = now
            found[self.identity.process] = now
        return found

    def quiet(self) -> dict[str, ownership.Quiet]:
        """Return in which interval each member certainly sent no promise."""
        found = dict(self.ledger.quiet)
        found[self.identity.process] = ownership.Quiet(self._promised_at, self.clock())
        return found

    def lists(self) -> list[list[str]]:
        """Return each member list that the own row may contain."""
        return self._lists

    def standing(self, now: float) -> ownership.Standing:
        """Return what this process may do as an owner."""
        return ownership.judge(self.tenure, now)

    def promised_at(self) -> float:
        """Return when this process last promised to claim nothing."""
        return self._promised_at

    def _may_promise(self, now: float) -> bool:
        """Return whether this process lacks store access and has no claim under way.

        A claim with a lost answer may still take effect, until a later write of the
        own row, which the claim checks, has succeeded.
        """
        return self.store_age(now) >= NO_ACCESS_S and not self._claim_unresolved

    def _extend(self, now: float) -> None:
        if not self.tenure.ended:
            self.tenure = ownership.extend(
                self.tenure, self._lists, self.promises(), now, self.timing
            )
            if self.tenure.ended:
                log.warning("ownership has ended: neither the store nor a majority")

    # Own row

    @property
    def _key(self) -> str:
        return PREFIX + self.identity.process

    @property
    def _tables(self) -> tables.TableClient:
        return self._kernel.find("store").tables

    def write_row(
        self,
        checks: dict[str, int] | None = None,
        writes: dict[str, bytes] | None = None,
    ) -> tables.Committed | errors.Failure:
        """Renew the own row, together with further checks and writes.

        The renewal checks the ownership rows, so a success proves that no other
        process had claimed a partition of this one. After a lost answer the own row
        is read: its counter tells whether the transaction took effect.
        """
        with self._row_lock:
            result: tables.Committed | errors.Failure = errors.Unavailable()
            for _ in range(WRITE_ATTEMPTS):
                if not self._registered:
                    failure = self._register()
                    if failure is not None:
                        return failure
                result = self._attempt(checks or {}, writes or {})
                if not isinstance(result, errors.Conflict):
                    return result
                known = {self._key, *self.guard.checks()}
                reread = self._reread()
                if isinstance(reread, errors.Failure) or result.key not in known:
                    return result
            return result

    def _attempt(
        self, checks: dict[str, int], writes: dict[str, bytes]
    ) -> tables.Committed | errors.Failure:
        counter = self._counter + 1
        known = sorted(self.members())
        row = MemberRow(
            member=self.identity,
            counter=counter,
            known=known,
            settled=self.guard.settled(),
            draining=self.draining,
            former=self._former,
        )
        # Until the answer arrives, the row may contain either list.
        if known not in self._lists:
            self._lists.append(known)
        if writes:
            self._claim_unresolved = True
        sent_at = self.clock()
        result = self._tables.transact(
            {**self.guard.checks(), **checks, self._key: self._row_version},
            {**writes, self._key: _encoder.encode(row)},
        )
        if isinstance(result, errors.Ambiguous):
            result = self._resolve(counter, result, writes)
        match result:
            case tables.Committed(versions=versions):
                self._counter = counter
                self._row_version = versions[self._key]
                self._lists = [known]
                self._claim_unresolved = False
                self._answered(sent_at)
                self.tenure = ownership.renew(self.tenure, sent_at, self.timing)
            case errors.Conflict():
                self._answered(sent_at)
        return result

    def _resolve(
        self, counter: int, lost: errors.Ambiguous, writes: dict[str, bytes]
    ) -> tables.Committed | errors.Failure:
        """Find out whether a transaction with a lost answer took effect."""
        rows = self._tables.read([self._key, *writes])
        if isinstance(rows, errors.Failure):
            return lost
        row = rows[self._key]
        current = decode_row(row.value) if row.version else None
        if (
            current is not None
            and current.member.incarnation == self.identity.incarnation
            and current.counter == counter
        ):
            return tables.Committed({key: row.version for key, row in rows.items()})
        return errors.Unavailable(reason=f"not in effect: {lost.reason}")

    def _register(self) -> errors.Failure | None:
        """Take over the row of a former incarnation of this process."""
        sent_at = self.clock()
        rows = self._tables.read([self._key])
        if isinstance(rows, errors.Failure):
            return rows
        self._answered(sent_at)
        row = rows[self._key]
        previous = decode_row(row.value) if row.version else None
        if previous is not None and previous.member != self.identity:
            self._former = {
                **dict(list(previous.former.items())[-3:]),
                str(previous.member.incarnation): previous.known,
            }
        self._row_version = row.version
        self._registered = True
        return None

    def _reread(self) -> None | errors.Failure:
        """Learn why a renewal conflicted."""
        keys = [self._key, *self.guard.checks()]
        rows = self._tables.read(keys)
        if isinstance(rows, errors.Failure):
            return rows
        own = rows[self._key]
        current = decode_row(own.value) if own.version else None
        if (
            current is not None
            and current.member.incarnation != self.identity.incarnation
        ):
            self.replaced = True
            log.critical("another process uses the name {}", self.identity.process)
            return errors.Fenced(reason="another process uses this name")
        self._row_version = own.version
        if current is not None:
            self._counter = max(self._counter, current.counter)
        self.guard.recheck(rows)
        return None

    # Loops

    def _repeat(self, interval_s: float, work: Callable[[], object]) -> None:
        """Call `work` at a fixed rate; an overrun skips calls instead of piling up."""
        due = self.clock()
        while not self.replaced:
            try:
                work()
            except Exception:
                log.exception("{} failed", getattr(work, "__name__", "loop"))
            due = max(due + interval_s, self.clock())
            gevent.sleep(max(due - self.clock(), 0.001))

    def _send_heartbeats(self) -> None:
        """Send heartbeats at a fixed rate, and at once when store access is lost.

        The ownership lease may end half a second after that, so promises must not wait
        for the next regular heartbeat.
        """
        while True:
            try:
                self.send_heartbeats()
            except Exception:
                log.exception("heartbeats failed")
            wait_s = self._settings.heartbeat_s
            lost_in_s = NO_ACCESS_S - self.store_age(self.clock())
            if 0 < lost_in_s < wait_s:
                wait_s = lost_in_s + 0.001
            gevent.sleep(wait_s)

    def _renew(self) -> None:
        result = self.write_row()
        if isinstance(result, errors.Failure):
            log.warning("renewal failed: {}", result.reason)

    def _answered(self, sent_at: float) -> None:
        self._store_answer_at = max(self._store_answer_at, sent_at)

    def poll(self) -> None | errors.Failure:
        """Read the member rows and the watched rows in one request."""
        wanted = {PREFIX + name for name in self.rows}
        watched = [(list(keys()), take) for keys, take in self._watches]
        for keys, _ in watched:
            wanted.update(keys)
        sent_at = self.clock()
        if self._polls % SCAN_EVERY_POLLS == 0:
            found = self._scan()
            if isinstance(found, errors.Failure):
                return found
            wanted.update(found)
        rows = self._tables.read(sorted(wanted))
        if isinstance(rows, errors.Failure):
            return rows
        self._polls += 1
        self._answered(sent_at)
        self._take_rows(rows)
        for keys, take in watched:
            take({key: rows[key] for key in keys}, sent_at)
        return None

    def _scan(self) -> list[str] | errors.Failure:
        found: list[str] = []
        while True:
            after = found[-1] if found else ""
            rows = self._tables.scan(PREFIX, after)
            if isinstance(rows, errors.Failure):
                return rows
            if not rows:
                return found
            found += [row.key for row in rows]
            if len(rows) < 500:
                return found

    def _take_rows(self, rows: Rows) -> None:
        received_at = self.clock()
        for key, row in rows.items():
            if not key.startswith(PREFIX):
                continue
            name = key.removeprefix(PREFIX)
            current = decode_row(row.value) if row.version else None
            incarnation = current.member.incarnation if current else 0
            self.sightings[name] = ownership.observe(
                self.sightings.get(name),
                incarnation,
                current.counter if current else 0,
                received_at,
            )
            if current is None:
                self.rows.pop(name, None)
                self.ledger.drop(name)
            else:
                self.rows[name] = (row.version, current)
        self._connect_peers()

    def _connect_peers(self) -> None:
        own = self.identity.process
        self._kernel.find("peers").set_targets(
            {
                name: (row.member.address, row.member.peer_port)
                for name, (_, row) in self.rows.items()
                if name != own and self._counts(name)
            }
        )

    def _counts(self, name: str) -> bool:
        """Return whether a member is recent enough to be counted for majorities.

        Without store access the list stays as it was last read.
        """
        seen_at = self.sightings[name].counter_at
        return max(self._store_answer_at, seen_at) - seen_at <= COUNTED_S

    # Heartbeats

    def send_heartbeats(self) -> None:
        """Send the own state to all other members."""
        now = self.clock()
        peers = self._kernel.find("peers")
        promise = self._may_promise(now)
        if promise:
            self._promised_at = now
        view = self._view(now)
        owned = self.guard.owned()
        free = self.free_resources()
        quiet_ms = 0 if promise else int((now - self._promised_at) * 1000)
        for name in self.members():
            if name == self.identity.process:
                continue
            echo, echo_incarnation = self.ledger.echo_for(name)
            message = heartbeat.Heartbeat(
                self.identity.incarnation,
                heartbeat.to_clock(now),
                echo,
                echo_incarnation,
                view[0],
                view[1],
                promise,
                quiet_ms,
                owned,
                free,
                self.draining,
            )
            peers.notify(name, "heartbeat", heartbeat.encode(message))
        self._extend(now)

    def _view(self, now: float) -> tuple[freshness.Versions, int]:
        view = self._kernel.find("documents").view()
        age_s = min(now - view.confirmed_at, 1e6)
        return view.versions, int(age_s * 1000) + 1

    def _take_heartbeat(self, sender: str, body: bytes) -> None:
        message = heartbeat.decode(body)
        if isinstance(message, errors.Failure):
            log.warning("malformed heartbeat of {}: {}", sender, message.reason)
            return
        now = self.clock()
        if not self.ledger.take(sender, message, now):
            return
        if message.promise:
            self._extend(now)
        echoed_at = self.ledger.peers[sender].echoed_at
        for listener in self._listeners:
            listener(sender, message, echoed_at)
