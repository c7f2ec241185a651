"""Measure goodput of idempotent requests from 0.9 to 3 times the capacity.

Nine entry processes, each with an admission queue and a router, send to 24 backend
servers with 8 slots each in simulated time. Goodput is the number of requests that end
before their deadline. The baseline queues all requests in arrival order without limit
and sends each to a random server, with a fixed share of the slots per process.
"""

import collections
import heapq
import itertools
import random
import statistics

from bench import work
from toucanspring import errors, job
from toucanspring.callers import admission, routing

ENTRIES = 9
SERVERS = 24
SLOTS = 8
END_S = 6.0
WARM_UP_S = 2.0
LATENCY_S = 0.0005  # one way, between entry process and backend server
MEAN_SERVICE_S = 0.1
LOADS = (0.9, 1.0, 1.2, 1.5, 2.0, 3.0)
# Fraction of the requests, and seconds from arrival to deadline.
CLASSES = {
    job.JobClass.CHECK: (0.2, 1.0),
    job.JobClass.URGENT: (0.1, 1.0),
    job.JobClass.NORMAL: (0.4, 2.0),
    job.JobClass.DEFERRABLE: (0.3, 3.0),
}

BACKGROUND = {job.JobClass.NORMAL, job.JobClass.DEFERRABLE}


class Policy:
    """Queue by class and send to the less loaded of two random servers."""

    def __init__(self, rng: random.Random, facts: list) -> None:
        self._queue = admission.Admission()
        self.router = routing.Router(rng)
        self.router.set_servers(facts)
        self._sent_at: dict[str, float] = {}

    def offer(self, request, now: float) -> None:
        """Queue or refuse a request."""
        self._queue.offer(request.id, request.job_class, request.deadline, now)

    def next(self, now: float):
        """Return (request ID, server) to send, the next time to try, or None."""
        while True:
            if not len(self._queue):
                return None
            background = self._queue.next_class() in BACKGROUND
            server = self.router.choose(now, background=background)
            if isinstance(server, errors.Overloaded):
                return now + max(server.retry_after_s, 0.0005)
            item = self._queue.next(now)
            if item is None:
                return None
            request_id, entry = item
            if isinstance(entry, admission.QueuedRequest):
                self.router.sent(server.id)
                self._sent_at[request_id] = now
                return request_id, server.id

    def refused(self, request, server: str, now: float) -> None:
        """Requeue a request that was refused because all slots were in use."""
        self.router.finished(server, routing.Outcome.REFUSED, 0.0, now)
        entry = admission.QueuedRequest(request.id, request.job_class, request.deadline)
        self._queue.requeue(entry)

    def answered(self, request, server: str, now: float) -> None:
        """Record the service time of an answered request."""
        seconds = now - self._sent_at.pop(request.id)
        self.router.finished(server, routing.Outcome.OK, seconds, now)
        self._queue.record_service_time(request.job_class, seconds)


class Baseline:
    """Queue in arrival order and send to a random server."""

    def __init__(self, rng: random.Random, facts: list) -> None:
        self._rng = rng
        self._servers = [fact.id for fact in facts]
        self._queue: collections.deque[str] = collections.deque()
        self._in_flight = 0
        self._max_in_flight = SERVERS * SLOTS // ENTRIES

    def offer(self, request, now: float) -> None:
        """Queue a request."""
        self._queue.append(request.id)

    def next(self, now: float):
        """Return (request ID, server) to send, the next time to try, or None."""
        if not self._queue or self._in_flight >= self._max_in_flight:
            return None
        self._in_flight += 1
        return self._queue.popleft(), self._rng.choice(self._servers)

    def refused(self, request, server: str, now: float) -> None:
        """Requeue a request that was refused because all slots were in use."""
        self._in_flight -= 1
        self._queue.appendleft(request.id)

    def answered(self, request, server: str, now: float) -> None:
        """Free the slot of an answered request."""
        self._in_flight -= 1


class Request:
    """A simulated request."""

    __slots__ = ("arrived", "deadline", "entry", "id", "job_class", "seconds", "wait")


class Simulation:
    """Simulation of one load."""

    def __init__(self, policy_type, load: float, seed: int) -> None:
        self._rng = random.Random(seed)
        facts = [
            routing.ServerFacts(f"s{number}", "127.0.0.1", 1, f"az{number % 3}")
            for number in range(SERVERS)
        ]
        self._entries = [
            policy_type(random.Random(seed + number), facts)
            for number in range(ENTRIES)
        ]
        self._rate = load * SERVERS * SLOTS / MEAN_SERVICE_S
        self._busy = {fact.id: 0 for fact in facts}
        self._requests: dict[str, Request] = {}
        self._sequence = itertools.count()
        self._events: list[tuple] = []
        self._wake_times = [0.0] * ENTRIES  # of each entry process
        self.done = 0
        self.refused = 0

    def check_p99(self) -> float:
        """Return the p99 wait of checks in seconds.

        A check without an answer counts as waiting until the end of the run.
        """
        last = END_S - CLASSES[job.JobClass.CHECK][1]
        waits = [
            END_S - request.arrived if request.wait is None else request.wait
            for request in self._requests.values()
            if request.job_class == job.JobClass.CHECK
            and WARM_UP_S < request.arrived < last
        ]
        return statistics.quantiles(waits, n=100)[98]

    def run(self) -> None:
        """Handle events until the end."""
        self._schedule(0.0, self._on_offer)
        while self._events:
            now, _, handler, details = heapq.heappop(self._events)
            if now > END_S:
                break
            handler(now, *details)

    def _schedule(self, at: float, handler, *details) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), handler, details))

    def _send_queued(self, entry: int, now: float) -> None:
        """Send the queued requests of an entry process that can be sent now."""
        while True:
            match self._entries[entry].next(now):
                case None:
                    return
                case (request_id, server):
                    request = self._requests[request_id]
                    self._schedule(now + LATENCY_S, self._on_arrival, request, server)
                case at:
                    if not now < self._wake_times[entry] <= at:
                        self._wake_times[entry] = at
                        self._schedule(at, self._on_wake, entry)
                    return

    def _on_offer(self, now: float) -> None:
        request = Request()
        request.id = f"r{len(self._requests)}"
        weights = [fraction for fraction, _ in CLASSES.values()]
        request.job_class = self._rng.choices(list(CLASSES), weights)[0]
        request.arrived = now
        request.wait = None
        request.deadline = now + CLASSES[request.job_class][1]
        request.seconds = self._rng.expovariate(1 / MEAN_SERVICE_S)
        request.entry = self._rng.randrange(ENTRIES)
        self._requests[request.id] = request
        self._entries[request.entry].offer(request, now)
        self._send_queued(request.entry, now)
        self._schedule(now + self._rng.expovariate(self._rate), self._on_offer)

    def _on_wake(self, now: float, entry: int) -> None:
        self._send_queued(entry, now)

    def _on_arrival(self, now: float, request: Request, server: str) -> None:
        if self._busy[server] < SLOTS:
            self._busy[server] += 1
            self._schedule(now + request.seconds, self._on_end, request, server)
        else:
            self.refused += 1
            self._schedule(now + LATENCY_S, self._on_refusal, request, server)

    def _on_end(self, now: float, request: Request, server: str) -> None:
        self._busy[server] -= 1
        self._schedule(now + LATENCY_S, self._on_answer, request, server)

    def _on_refusal(self, now: float, request: Request, server: str) -> None:
        self._entries[request.entry].refused(request, server, now)
        self._send_queued(request.entry, now)

    def _on_answer(self, now: float, request: Request, server: str) -> None:
        self._entries[request.entry].answered(request, server, now)
        if WARM_UP_S < now <= request.deadline:
            self.done += 1
        request.wait = now - request.arrived - request.seconds
        self._send_queued(request.entry, now)


def simulate(policy_type, load: float, seed: int) -> tuple[float, float]:
    """Return goodput per second and the p99 wait of checks in milliseconds."""
    simulation = Simulation(policy_type, load, seed)
    simulation.run()
    goodput = simulation.done / (END_S - WARM_UP_S)
    p99 = simulation.check_p99() * 1e3
    print(
        f"{policy_type.__name__} load {load}: {goodput:.0f}/s, checks wait"
        f" {p99:.1f} ms at p99, {simulation.refused / END_S:.0f} refusals/s"
    )
    return goodput, p99


def main() -> None:
    """Run the policy and the baseline at all loads."""
    seed = work.parse_seed()
    ratios = {}
    p99 = {}
    for policy_type in (Policy, Baseline):
        goodput = {}
        for load in LOADS:
            goodput[load], p99[policy_type] = simulate(policy_type, load, seed)
        ratios[policy_type] = goodput[LOADS[-1]] / max(goodput.values())
    work.print_result(
        bench="overload",
        seed=seed,
        goodput_ratio=ratios[Policy],
        check_p99_ms=p99[Policy],
        baseline_goodput_ratio=ratios[Baseline],
        baseline_check_p99_ms=p99[Baseline],
    )


if __name__ == "__main__":
    main()
