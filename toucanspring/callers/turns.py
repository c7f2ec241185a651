"""Order in which a listener works on the requests of its connections.

A connection whose next request has always arrived would otherwise be served without a
pause, and the other greenlets of the process, such as those that renew a lease, would
wait for all such connections each time they wait for anything.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import gevent
from gevent import event

from toucanspring import uptime

# Requests are worked on for this long, then all other greenlets that can run do so.
SLICE_S = 0.005
PAUSE_S = 0.0005
# While none waits, this many requests begin at once in a window.
FREE_STARTS = 8
FREE_WINDOW_S = 0.1


class Turns:
    """Give turns to connections, in rotation among the clients that wait."""

    def __init__(self, clock: Callable[[], float] = uptime.now) -> None:
        self._clock = clock
        # By client; the first one is next.
        self._waiting: dict[str, collections.deque[event.Event]] = {}
        self._dispatcher: gevent.Greenlet | None = None
        self._window_began = float("-inf")  # seconds of `clock`
        self._started = 0  # requests that began at once in this window

    def wait(self, client: str) -> None:
        """Wait until a request that has arrived may be worked on."""
        if self._dispatcher is None and self._may_start():
            return
        turn = event.Event()
        self._waiting.setdefault(client, collections.deque()).append(turn)
        if self._dispatcher is None:
            self._dispatcher = gevent.spawn(self._run)
        turn.wait()

    def _may_start(self) -> bool:
        now = self._clock()
        if now - self._window_began >= FREE_WINDOW_S:
            self._window_began, self._started = now, 0
        self._started += 1
        return self._started <= FREE_STARTS

    def _run(self) -> None:
        try:
            while self._waiting:
                began = self._clock()
                while self._waiting and self._clock() - began < SLICE_S:
                    self._take_next().set()
                    gevent.sleep(0)  # until the request ends or waits for something
                # A timer, so that the loop also looks for sockets that became ready.
                gevent.sleep(PAUSE_S)
        finally:
            self._dispatcher = None

    def _take_next(self) -> event.Event:
        client = next(iter(self._waiting))
        turns = self._waiting.pop(client)
        turn = turns.popleft()
        if turns:
            self._waiting[client] = turns  # behind the other clients
        return turn
