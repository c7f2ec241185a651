"""Queue of orders to workers: limited in flight, in total and for each worker."""

from __future__ import annotations

import collections
import math
from collections.abc import Callable
from typing import Generic, TypeVar

import gevent
from gevent import pool

Order = TypeVar("Order")

# After so many attempts in a row without an answer a worker gets few orders at a time.
MAX_FAILED_ATTEMPTS = 4


class OrderQueue(Generic[Order]):
    """Sends orders in the background; workers with waiting orders take turns.

    `send` returns 0, or the seconds after which the order is to be repeated. An order
    that waits to be repeated is not in flight and holds up no other order.

    A worker has at most `max_per_worker` orders in flight. With `rounds` it may have
    more, up to `max_wide`, so that at most `rounds` orders follow each other in a slot
    however many there are. A worker that leaves several in a row unanswered gets few
    orders at a time, unless it answers other calls: its answers are late then, each
    round takes longer, and it gets as many as it may have.

    `on_idle` is called with each worker that had orders and has none left.
    """

    def __init__(
        self,
        send: Callable[[Order], float],
        max_in_flight: int,
        max_per_worker: int,
        rounds: int = 0,
        max_wide: int = 0,
        on_idle: Callable[[str], None] = lambda _worker: None,
    ) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self.waiting = 0
        self.ended = 0  # attempts that are over
        self._send = send
        self._max_per_worker = max_per_worker
        self._rounds = rounds
        self._max_wide = max_wide
        self._on_idle = on_idle
        self._lines: dict[str, collections.deque[Order]] = {}
        self._busy: collections.Counter[str] = collections.Counter()
        # Orders that wait to be repeated.
        self._paused: collections.Counter[str] = collections.Counter()
        # The most orders of a worker at a time since it last had none.
        self._peaks: collections.Counter[str] = collections.Counter()
        self._failed: collections.Counter[str] = collections.Counter()  # in a row
        # Workers whose answers come too late, until they have no orders left.
        self._late: set[str] = set()
        # Workers whose next order waits only for a free slot.
        self._turns: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._greenlets = pool.Group()

    @property
    def backlog(self) -> int:
        """Return how many orders wait although their worker could take one."""
        return sum(len(self._lines[worker]) for worker in self._turns)

    def count_rounds(self) -> int:
        """Return how many orders follow each other until all that wait are sent.

        Workers that leave all orders unanswered do not count: nobody knows when they
        take the next one.
        """
        lines = [
            len(self._lines.get(worker, ())) + self._busy[worker] + self._paused[worker]
            for worker in self._lines.keys() | self._paused.keys()
            if self._failed[worker] < MAX_FAILED_ATTEMPTS
        ]
        widest = max(self._max_per_worker, self._max_wide)
        return max(
            math.ceil(max(lines, default=0) / widest),
            math.ceil(sum(lines) / self.max_in_flight),
        )

    def submit(self, worker: str, order: Order) -> None:
        """Queue an order; never blocks."""
        self.waiting += 1
        self._enqueue(worker, order)

    def note_answer(self, worker: str) -> None:
        """Record that a worker has answered a call that is no order."""
        if self._failed.pop(worker, 0):
            self._late.add(worker)
            self._dispatch(worker)

    def close(self) -> None:
        """Drop the waiting orders and end those in flight."""
        self._lines.clear()
        self._turns.clear()
        self.waiting = 0
        self._greenlets.kill(block=False)

    def _enqueue(self, worker: str, order: Order, is_first: bool = False) -> None:
        line = self._lines.setdefault(worker, collections.deque())
        if is_first:
            line.appendleft(order)
        else:
            line.append(order)
        self._peaks[worker] = max(self._peaks[worker], len(line) + self._busy[worker])
        self._dispatch(worker)

    def _dispatch(self, worker: str) -> None:
        """Give a worker its turn and send the orders that have a free slot."""
        self._queue_turn(worker)
        while self._turns and self.in_flight < self.max_in_flight:
            name, _ = self._turns.popitem(last=False)
            order = self._lines[name].popleft()
            if not self._lines[name]:
                del self._lines[name]
            self.waiting -= 1
            self.in_flight += 1
            self._busy[name] += 1
            self._queue_turn(name)
            self._greenlets.spawn(self._run, name, order)

    def _queue_turn(self, worker: str) -> None:
        if worker in self._lines and self._busy[worker] < self._width(worker):
            self._turns.setdefault(worker)

    def _width(self, worker: str) -> int:
        """Return how many orders a worker may have in flight."""
        if not self._rounds or self._failed[worker] >= MAX_FAILED_ATTEMPTS:
            return self._max_per_worker
        if worker in self._late:
            return max(self._max_per_worker, self._max_wide)
        wide = min(self._max_wide, math.ceil(self._peaks[worker] / self._rounds))
        return max(self._max_per_worker, wide)

    def _run(self, worker: str, order: Order) -> None:
        repeat_after_s = 0.0
        try:
            repeat_after_s = self._send(order)
        finally:
            self.in_flight -= 1
            self.ended += 1
            self._busy[worker] -= 1
            if repeat_after_s:
                self._failed[worker] += 1
                self._repeat(worker, order, repeat_after_s)
            else:
                self._failed.pop(worker, None)
            if not self._busy[worker]:
                del self._busy[worker]
                if worker not in self._lines:
                    self._peaks.pop(worker, None)
                    self._failed.pop(worker, None)
                    self._late.discard(worker)
                    self._on_idle(worker)
            self._dispatch(worker)

    def _repeat(self, worker: str, order: Order, after_s: float) -> None:
        self.waiting += 1
        self._paused[worker] += 1
        greenlet = gevent.Greenlet(self._resume, worker, order)
        self._greenlets.add(greenlet)
        greenlet.start_later(after_s)

    def _resume(self, worker: str, order: Order) -> None:
        self._paused[worker] -= 1
        if not self._paused[worker]:
            del self._paused[worker]
        # What was submitted later does not delay it, unless the worker answers nothing.
        self._enqueue(worker, order, self._failed[worker] < MAX_FAILED_ATTEMPTS)
