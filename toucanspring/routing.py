"""Choice of a backend server for a request, circuit breakers and retry budget."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterable

from toucanspring import errors

FAILURES_TO_OPEN = 5  # failures in a row that open the breaker of a server
FIRST_OPEN_S = 1.0
MAX_OPEN_S = 30.0
# A server that refused for lack of slots is avoided until one is likely to be free:
# a fraction of its mean answer time, within these bounds.
MIN_FULL_S = 0.002
MAX_FULL_S = 0.1
SECONDS_WEIGHT = 0.1  # of the newest answer in the mean answer time
SAMPLE_ATTEMPTS = 4  # pairs that are drawn before all servers are looked at

RETRY_FRACTION = 0.1  # retries per request
RETRY_BURST = 50.0
RETRIES_PER_S = 1.0  # lets a process with few requests retry at all


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
    """Hold what this process knows of the load and health of one server."""

    __slots__ = (
        "facts",
        "failures",
        "full_until",
        "in_flight",
        "open_s",
        "open_until",
        "seconds",
        "trial",
    )

    def __init__(self, facts: ServerFacts) -> None:
        self.facts = facts
        self.in_flight = 0
        self.seconds = 0.0  # mean answer time
        self.full_until = 0.0
        self.failures = 0
        self.open_s = 0.0  # duration of the present opening; 0 when closed
        self.open_until = 0.0
        self.trial = False  # a request that tests an open breaker is in flight

    def blocked_until(self, now: float) -> float:
        """Return when the server may be used; not later than `now` if it may be."""
        if self.open_s:
            if self.trial:
                return now + MAX_FULL_S
            return max(self.open_until, self.full_until)
        return self.full_until

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
        self._tokens = RETRY_BURST / 5
        self._refilled_at: float | None = None

    def set_servers(self, servers: Iterable[ServerFacts]) -> None:
        """Replace the list of servers; state of those that stay is kept."""
        known = self._servers
        self._servers = {}
        for facts in servers:
            server = known.get(facts.id) or Server(facts)
            server.facts = facts
            self._servers[facts.id] = server
        self._refresh()

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Exclude the servers in availability zones that are out of service."""
        self._zones_out = zones
        self._refresh()

    def choose(
        self, now: float, excluded: frozenset[str] = frozenset()
    ) -> ServerFacts | errors.Overloaded:
        """Return the less loaded of two random servers that may be used."""
        usable = self._usable
        if not usable:
            return errors.Overloaded(reason="no backend server is in service")
        for _ in range(SAMPLE_ATTEMPTS):
            first = usable[int(self._rng.random() * len(usable))]
            second = usable[int(self._rng.random() * len(usable))]
            pair = [
                server
                for server in (first, second)
                if server.blocked_until(now) <= now and server.facts.id not in excluded
            ]
            if pair:
                return min(pair, key=Server.load).facts
        candidates = [server for server in usable if server.facts.id not in excluded]
        if not candidates:
            return errors.Overloaded(reason="every backend server was tried")
        free = [server for server in candidates if server.blocked_until(now) <= now]
        if free:
            return min(free, key=Server.load).facts
        soonest = min(server.blocked_until(now) for server in candidates)
        return errors.Overloaded(
            reason="every backend server is full or failing",
            retry_after_s=max(0.0, soonest - now),
        )

    def sent(self, server_id: str, retry: bool = False) -> None:
        """Record that a request was sent; first attempts earn retries."""
        server = self._servers.get(server_id)
        if server is not None:
            server.in_flight += 1
            if server.open_s:
                server.trial = True
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
        server.trial = False
        match outcome:
            case Outcome.OK:
                server.failures = 0
                server.open_s = 0.0
                server.full_until = 0.0
                weight = SECONDS_WEIGHT if server.seconds else 1.0
                server.seconds += weight * (seconds - server.seconds)
            case Outcome.REFUSED:
                wait = server.seconds / max(1, server.facts.slots)
                server.full_until = now + min(MAX_FULL_S, max(MIN_FULL_S, wait))
            case Outcome.FAILED:
                server.failures += 1
                if server.open_s or server.failures >= FAILURES_TO_OPEN:
                    server.open_s = min(
                        MAX_OPEN_S, max(FIRST_OPEN_S, server.open_s * 2)
                    )
                    server.open_until = now + server.open_s

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

    def _refresh(self) -> None:
        self._usable = [
            server
            for server in self._servers.values()
            if not server.facts.leaving
            and server.facts.availability_zone not in self._zones_out
        ]
