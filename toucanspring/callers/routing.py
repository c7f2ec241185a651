"""Choice of a backend server for each request, circuit breakers, retry budget."""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from collections.abc import Iterable

from toucanspring import errors

FAILURES_TO_OPEN = 5  # consecutive failures that open a server's breaker
FIRST_OPEN_S = 1.0
MAX_OPEN_S = 30.0
# After a server refuses a request for lack of slots, a process limits its requests in
# flight there to their current number. It raises the limit by one after this fraction
# of the mean answer time, between MIN_LIMIT_RAISE_S and MAX_LIMIT_RAISE_S. Without the
# limit, nine processes at 1.1 times the capacity got 140 refusals for each answer
# (bench.overload).
LIMIT_RAISE_FRACTION = 0.5
# When servers are full, a freed slot is reserved for requests of the class check for
# this fraction of the mean answer time.
RESERVED_FRACTION = 0.05
# Background requests wait this many times longer before they raise the limit, so that
# free slots go to processes with requests of the class check.
BACKGROUND_DELAY_FACTOR = 4.0
MIN_LIMIT_RAISE_S = 0.002
MAX_LIMIT_RAISE_S = 0.1
NEWEST_WEIGHT = 0.1  # weight of the newest answer in the mean answer time
MAX_RETRY_AFTER_S = 1.0
SAMPLE_ATTEMPTS = 4  # random pairs drawn before all servers are compared

RETRY_FRACTION = 0.1  # retries per request
RETRY_BURST = 50.0
RETRIES_PER_S = 1.0  # allows retries in a process with few requests


class Outcome(enum.StrEnum):
    """How a request to a server ended; `refused` means it did not run."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFacts:
    """Describe a backend server from the VM list."""

    id: str
    address: str
    port: int
    availability_zone: str
    leaving: bool = False
    slots: int = 8


class Server:
    """Track the load and health of one server as seen by this process."""

    __slots__ = (
        "facts",
        "failures",
        "limit_raise_at",
        "in_flight",
        "limit",
        "open_s",
        "open_until",
        "reserved_until",
        "seconds",
        "probe_in_flight",
    )

    def __init__(self, facts: ServerFacts) -> None:
        self.facts = facts
        self.in_flight = 0
        self.seconds = 0.0  # mean answer time
        self.limit = facts.slots  # requests in flight that the server accepts
        self.limit_raise_at = 0.0  # monotonic time when `limit` may be raised by one
        self.reserved_until = 0.0  # freed slots are for checks until then
        self.failures = 0
        self.open_s = 0.0  # how long the breaker stays open; 0 when closed
        self.open_until = 0.0
        self.probe_in_flight = False  # whether a request tests an open breaker

    def blocked_until(self, background: bool) -> float:
        """Return when the server may be used; inf if an answer must arrive first."""
        if self.in_flight >= self.facts.slots or (self.open_s and self.probe_in_flight):
            return math.inf
        at = 0.0
        if background:
            at = self.reserved_until
        if self.in_flight >= self.limit:
            at = max(at, self.limit_raise_at)
            if background:
                at += (BACKGROUND_DELAY_FACTOR - 1) * self.limit_raise_delay()
        return max(at, self.open_until) if self.open_s else at

    def limit_raise_delay(self) -> float:
        """Return how many seconds to wait before the limit is raised by one."""
        return min(
            MAX_LIMIT_RAISE_S,
            max(MIN_LIMIT_RAISE_S, self.seconds * LIMIT_RAISE_FRACTION),
        )

    def load(self) -> float:
        """Return the estimated load per slot."""
        return (self.in_flight + 1) / max(1, self.facts.slots)


class Router:
    """Choose servers for requests."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._servers: dict[str, Server] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._usable: list[Server] = []
        # No server may be used before these times, by other and by background requests.
        self._blocked_until = [0.0, 0.0]
        self._tokens = RETRY_BURST / 5
        self._refilled_at: float | None = None

    def set_servers(self, servers: Iterable[ServerFacts]) -> None:
        """Replace the list of servers; state of those that stay is kept."""
        known = self._servers
        self._servers = {}
        for facts in servers:
            server = known.get(facts.id) or Server(facts)
            server.limit = min(server.limit, facts.slots)
            server.facts = facts
            self._servers[facts.id] = server
        self._refresh()

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Exclude the servers in availability zones that are out of service."""
        self._zones_out = zones
        self._refresh()

    def choose(
        self,
        now: float,
        excluded: frozenset[str] = frozenset(),
        background: bool = False,
    ) -> ServerFacts | errors.Overloaded:
        """Return the less loaded of two random servers that may be used.

        `background` marks a request of a class that can wait.
        """
        usable = self._usable
        if not usable:
            return errors.Overloaded(reason="no backend server is in service")
        if now < self._blocked_until[background] and not excluded:
            return self._overloaded(self._blocked_until[background], now)
        for _ in range(SAMPLE_ATTEMPTS):
            first = usable[int(self._rng.random() * len(usable))]
            second = usable[int(self._rng.random() * len(usable))]
            pair = [
                server
                for server in (first, second)
                if server.blocked_until(background) <= now
                and server.facts.id not in excluded
            ]
            if pair:
                return self._select(min(pair, key=Server.load), now)
        candidates = [server for server in usable if server.facts.id not in excluded]
        if not candidates:
            return errors.Overloaded(reason="every backend server was tried")
        free = [
            server for server in candidates if server.blocked_until(background) <= now
        ]
        if free:
            return self._select(min(free, key=Server.load), now)
        soonest = min(server.blocked_until(background) for server in candidates)
        if not excluded:
            self._blocked_until[background] = soonest
        return self._overloaded(soonest, now)

    def sent(self, server_id: str, retry: bool = False) -> None:
        """Record that a request was sent; first attempts add to the retry budget."""
        server = self._servers.get(server_id)
        if server is not None:
            server.in_flight += 1
            if server.open_s:
                server.probe_in_flight = True
        if not retry:
            self._tokens = min(RETRY_BURST, self._tokens + RETRY_FRACTION)

    def finished(
        self, server_id: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Record how a request ended."""
        server = self._servers.get(server_id)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        server.probe_in_flight = False
        self._blocked_until = [0.0, 0.0]
        match outcome:
            case Outcome.OK:
                server.failures = 0
                server.open_s = 0.0
                if server.limit < server.facts.slots:
                    server.reserved_until = now + RESERVED_FRACTION * server.seconds
                weight = NEWEST_WEIGHT if server.seconds else 1.0
                server.seconds += weight * (seconds - server.seconds)
            case Outcome.REFUSED:
                server.limit = server.in_flight
                server.limit_raise_at = now + server.limit_raise_delay()
            case Outcome.FAILED:
                server.failures += 1
                if server.open_s or server.failures >= FAILURES_TO_OPEN:
                    server.open_s = min(
                        MAX_OPEN_S, max(FIRST_OPEN_S, server.open_s * 2)
                    )
                    server.open_until = now + server.open_s

    def unsent(self, server_id: str) -> None:
        """Undo `sent` for a request that was not sent after all."""
        server = self._servers.get(server_id)
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)
            server.probe_in_flight = False
            self._blocked_until = [0.0, 0.0]

    def retry_allowed(self, now: float) -> bool:
        """Take one retry from the budget, if there is one."""
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * RETRIES_PER_S
            self._tokens = min(RETRY_BURST, self._tokens + max(0.0, earned))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def load(self, server_id: str) -> int:
        """Return the number of requests that this process has in flight there."""
        server = self._servers.get(server_id)
        return server.in_flight if server else 0

    @staticmethod
    def _select(server: Server, now: float) -> ServerFacts:
        if server.in_flight >= server.limit:
            server.limit_raise_at = now + server.limit_raise_delay()
            server.limit = server.in_flight + 1
        return server.facts

    @staticmethod
    def _overloaded(until: float, now: float) -> errors.Overloaded:
        return errors.Overloaded(
            reason="every backend server is full or failing",
            retry_after_s=min(MAX_RETRY_AFTER_S, max(0.0, until - now)),
        )

    def _refresh(self) -> None:
        self._blocked_until = [0.0, 0.0]
        self._usable = [
            server
            for server in self._servers.values()
            if not server.facts.leaving
            and server.facts.availability_zone not in self._zones_out
        ]
