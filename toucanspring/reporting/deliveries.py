"""Ordered delivery of events outside of the greenlet that publishes them."""

from __future__ import annotations

import dataclasses

import gevent
from gevent import event, queue

from toucanspring import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """Event to deliver; `done` is set once all listeners have handled it."""

    occurrence: object
    done: event.Event


class Deliveries:
    """Run the greenlet in which listeners handle the events of one service."""

    def __init__(self, core: kernel.Kernel) -> None:
        self._kernel = core
        self._queue: queue.Queue = queue.Queue()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to deliver."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop without delivering queued events."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def publish(self, occurrence: object) -> event.Event:
        """Queue an event; the result is set once all listeners have handled it."""
        delivery = Delivery(occurrence, event.Event())
        self._queue.put(delivery)
        return delivery.done

    def _run(self) -> None:
        while True:
            delivery = self._queue.get()
            self._kernel.publish(delivery.occurrence)
            delivery.done.set()
