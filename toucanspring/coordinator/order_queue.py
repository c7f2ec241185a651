"""Queue of orders to workers: limited in flight, in total and for each worker."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Generic, TypeVar

import gevent
from gevent import pool

Order = TypeVar("Order")


class OrderQueue(Generic[Order]):
    """Sends orders in the background; workers with waiting orders take turns.

    `send` returns 0, or the seconds after which the order is to be repeated. An order
    that waits to be repeated is not in flight, and its worker gets no other order.
    """

    def __init__(
        self,
        send: Callable[[Order], float],
        max_in_flight: int,
        max_per_worker: int,
    ) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self.waiting = 0
        self.ended = 0  # attempts that are over
        self._send = send
        self._max_per_worker = max_per_worker
        self._lines: dict[str, collections.deque[Order]] = {}
        self._busy: collections.Counter[str] = collections.Counter()
        self._resting: set[str] = set()
        # Workers whose next order waits only for a free slot.
        self._turns: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._greenlets = pool.Group()

    @property
    def backlog(self) -> int:
        """Return how many orders wait although their worker could take one."""
        return sum(len(self._lines[worker]) for worker in self._turns)

    def submit(self, worker: str, order: Order) -> None:
        """Queue an order; never blocks."""
        self._lines.setdefault(worker, collections.deque()).append(order)
        self.waiting += 1
        self._dispatch(worker)

    def close(self) -> None:
        """Drop the waiting orders and end those in flight."""
        self._lines.clear()
        self._turns.clear()
        self.waiting = 0
        self._greenlets.kill(block=False)

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
        if (
            worker in self._lines
            and worker not in self._resting
            and self._busy[worker] < self._max_per_worker
        ):
            self._turns.setdefault(worker)

    def _run(self, worker: str, order: Order) -> None:
        repeat_after_s = 0.0
        try:
            repeat_after_s = self._send(order)
        finally:
            self.in_flight -= 1
            self.ended += 1
            self._busy[worker] -= 1
            if not self._busy[worker]:
                del self._busy[worker]
            if repeat_after_s:
                self._rest(worker, order, repeat_after_s)
            self._dispatch(worker)

    def _rest(self, worker: str, order: Order, for_s: float) -> None:
        self._lines.setdefault(worker, collections.deque()).append(order)
        self.waiting += 1
        self._turns.pop(worker, None)
        if worker not in self._resting:
            self._resting.add(worker)
            greenlet = gevent.Greenlet(self._end_rest, worker)
            self._greenlets.add(greenlet)
            greenlet.start_later(for_s)

    def _end_rest(self, worker: str) -> None:
        self._resting.discard(worker)
        self._dispatch(worker)
