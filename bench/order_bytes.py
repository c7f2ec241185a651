"""Measure the bytes that a coordinator sends and receives for each order and poll.

A server answers the platform's client as an executor does, with short headers. The
answer of a poll lists all running tasks of the worker and one end.
"""

import pathlib
import sys

import gevent
from gevent import server

from bench import work
from toucanspring import resources
from toucanspring.coordinator import ports

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "platform"
PAYLOAD_BYTES = (250, 600, 2400)
RUNNING = (1, 8, 32)  # tasks of the worker
JOB = "5c0e7a21d94b36f8"


class Worker:
    """Counts the bytes of one connection and answers each request with `body`."""

    def __init__(self) -> None:
        self.received = self.sent = 0
        self.body = b'{"clock_ms":482113}'
        self.server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address) -> None:
        pending = b""
        while block := sock.recv(65536):
            self.received += len(block)
            pending += block
            head, separator, rest = pending.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            if separator and len(rest) >= length:
                pending = rest[length:]
                answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                answer += b"Content-Length: %d\r\n\r\n%s" % (len(self.body), self.body)
                self.sent += len(answer)
                sock.sendall(answer)

    def measure(self, call) -> dict[str, int]:
        """Return the bytes in both directions of one call."""
        before = self.received, self.sent
        answer = call()
        if not isinstance(answer, ports.OrderDone | ports.PollReply):
            raise RuntimeError(f"the call failed: {answer}")
        gevent.sleep(0)
        return {"out": self.received - before[0], "in": self.sent - before[1]}


def list_runs(running: int) -> bytes:
    """Return the answer of a poll with one end."""
    rows = ",".join(
        f'["{JOB}.0.1.{index}",2,"00000bb87a21d94b",41,900]' for index in range(running)
    )
    end = f'[58,"{JOB}.0.1.9",1,"done",""]'
    return (
        f'{{"clock_ms":482113,"born":1789000000000,"running":[{rows}],"ended":[{end}]}}'
    ).encode()


def main() -> None:
    """Print the bytes out and in of starts, stops and polls."""
    sys.path.append(str(FOLDER))
    import executors  # noqa: PLC0415

    worker, client = Worker(), executors.Executors()
    entry = ports.WorkerEntry(
        id="i-297ff6a641", pool="p", address=f"127.0.0.1:{worker.server.server_port}",
        zone="", rack="", labels=frozenset(), capacity=resources.ZERO,
    )  # fmt: skip
    found = {}
    for size in PAYLOAD_BYTES:
        order = ports.Start(
            task=f"{JOB}.0.1.17", run=2, payload="x" * size, lease_until_ms=486000,
            epoch=7, checkpoint="00000bb87a21d94b", ticket="5c0e7a21d94b36f8",
        )  # fmt: skip
        found[f"start, payload {size}"] = worker.measure(
            lambda order=order: client.start(entry, order)
        )
    found["stop"] = worker.measure(lambda: client.stop(entry, order.task, 2, 7))
    for running in RUNNING:
        worker.body = list_runs(running)
        found[f"poll, {running} running"] = worker.measure(
            lambda: client.poll(entry, 7, 57, 486000, 1400)
        )
    work.print_result(bench="order_bytes", **found)


if __name__ == "__main__":
    main()
