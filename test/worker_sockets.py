"""A worker behind socket pairs that restarts under its ID, and its dispatcher's leader.

The platform's client opens a pair instead of a network connection. All connections of
an incarnation end with it.
"""

import json

import gevent
from gevent import event
from gevent import socket as gevent_socket

from toucanspring import stream, uptime


class Incarnation:
    """What one incarnation was sent, and the ends that it lists."""

    def __init__(self, born, started_at):
        self.born = born
        self.started_at = started_at
        self.calls = []  # (operation, body), in the order of arrival
        self.answered_polls = 0
        self.ends = []  # (number, task, run)
        self.sockets = []
        self.changed = event.Event()

    def clock_ms(self):
        return round((uptime.now() - self.started_at) * 1000) + 1

    def calls_of(self, operation):
        return [body for name, body in self.calls if name == operation]

    def polls_before_knowledge(self):
        """Return the polls up to the first, which make it known."""
        return self.calls_of("hold")[:1]


class Worker:
    """One worker; `answers` holds functions that replace its own, by operation."""

    def __init__(self, case):
        self.incarnations = []
        self.answers = {}
        self.connections = 0
        case.patch(stream, "open_socket", self._open)
        case.patch(stream, "disable_nagle", lambda _socket: None)
        case.addCleanup(self.crash)
        self.incarnations.append(Incarnation(1, 0.0))

    @property
    def current(self):
        return self.incarnations[-1]

    def crash(self):
        """End all connections of the current incarnation."""
        for each in self.current.sockets:
            if each.fileno() >= 0:
                # Its greenlet, which waits in `recv`, closes it.
                each.shutdown(gevent_socket.SHUT_RDWR)
        self.current.sockets = []

    def restart(self, born):
        """Replace the current incarnation by one that knows nothing."""
        self.crash()
        self.incarnations.append(Incarnation(born, uptime.now()))

    def _open(self, _address, _port, _timeout_s):
        ours, theirs = gevent_socket.socketpair()
        self.connections += 1
        self.current.sockets.append(theirs)
        gevent.spawn(self._serve, theirs, self.current)
        return ours

    def _serve(self, sock, incarnation):
        with sock, sock.makefile("rb") as lines:
            try:
                while first := lines.readline():
                    length = 0
                    while (line := lines.readline().strip()) != b"":
                        name, _, value = line.lower().partition(b":")
                        length = int(value) if name == b"content-length" else length
                    operation = first.split()[1].decode().rpartition("/")[2]
                    body = json.loads(lines.read(length) or b"{}")
                    incarnation.calls.append((operation, body))
                    answer = self._answer(operation, incarnation, body)
                    if answer is None or incarnation is not self.current:
                        return
                    content = json.dumps(answer).encode()
                    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
                    sock.sendall(head.encode() + content)
            except OSError:
                return  # the incarnation has ended

    def _answer(self, operation, incarnation, body):
        if operation in self.answers:
            return self.answers[operation](incarnation, body)
        if operation != "hold":
            return {"clock_ms": incarnation.clock_ms()}
        seen = body.get("last_seen", 0)
        incarnation.ends = [end for end in incarnation.ends if end[0] > seen]
        if not incarnation.ends:
            incarnation.changed.clear()
            incarnation.changed.wait(min(0.01, body.get("wait_ms", 0) / 1000))
        incarnation.answered_polls += 1
        return {
            "clock_ms": incarnation.clock_ms(),
            "born": incarnation.born,
            "running": [],
            "ended": [[*end, "done", ""] for end in incarnation.ends],
        }


class Leader:
    """Coordinator of a dispatcher; acknowledges when the test says so."""

    epoch = 1

    def __init__(self, cell):
        self.cell = cell
        self.pending = []  # (worker, number of the last end)

    def may_renew(self, _now):
        return True

    def may_start(self, _now):
        return True

    def acknowledge_ends(self, worker, last_end, _jobs):
        self.pending.append((worker, last_end))

    def step_down(self, reason):
        raise AssertionError(reason)

    def wake(self):
        pass
