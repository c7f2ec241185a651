"""A crowd of HTTP clients outside the limits, as a process: KIND COUNT PORT.

It prints `held` once each client has sent what it sends, then keeps all connections
open until its standard input ends. It runs apart from the test, whose process also
serves the store of the processes under load.
"""

import gevent.monkey

gevent.monkey.patch_all()

import socket  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402

ADDRESS = "127.0.0.1"
BLOCK = b"x" * 65536
FAR_OVER_BYTES = 15_000_000
INSIDE_BYTES = 262_144  # what the platform's configuration allows
ENDLESS_FIELDS = 20_000
PIPELINED = 2_000
PIPELINED_UNREAD = 200
STALL_S = 3.0  # a client that cannot send for this long holds its connection
SEND_S = 20.0  # limit on all that one client sends
TRICKLE_S = 0.05
# A platform process routes the path and accepts the key; a daemon knows neither.
PATH = "/jobs/00000000000000ff"
DAEMON_PATH = "/v1/jobs"
FIELDS = (
    "Host: 127.0.0.1\r\nToucanspring-Credential: key\r\n"
    "Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
)


def head(method, path, key, fields=""):
    """Return a request head."""
    return (
        f"{method} {path} HTTP/1.1\r\n{FIELDS.format(key=key)}{fields}\r\n"
    ).encode()


def send_blocks(sock, size):
    while size > 0:
        sock.sendall(BLOCK[:size])
        size -= len(BLOCK)


def announced(sock, path, key):
    """Announce a large body and leave its last byte out."""
    sock.sendall(head("POST", path, key, f"Content-Length: {FAR_OVER_BYTES}\r\n"))
    send_blocks(sock, FAR_OVER_BYTES - 1)


def inside(sock, path, key):
    """Announce a body of the largest allowed size and leave its last byte out."""
    sock.sendall(head("POST", path, key, f"Content-Length: {INSIDE_BYTES}\r\n"))
    send_blocks(sock, INSIDE_BYTES - 1)


def chunked(sock, path, key):
    """Send a large body in chunks without an end."""
    sock.sendall(head("POST", path, key, "Transfer-Encoding: chunked\r\n"))
    for _ in range(FAR_OVER_BYTES // len(BLOCK)):
        sock.sendall(b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))


def one_chunk(sock, path, key):
    """Announce one large chunk and leave its last byte out."""
    sock.sendall(head("POST", path, key, "Transfer-Encoding: chunked\r\n"))
    sock.sendall(b"%x\r\n" % FAR_OVER_BYTES)
    send_blocks(sock, FAR_OVER_BYTES - 1)


def past_announced(sock, path, key):
    """Send far more than was announced."""
    sock.sendall(head("POST", path, key, "Content-Length: 10\r\n"))
    send_blocks(sock, FAR_OVER_BYTES)


def trickle(sock, path, key):
    """Send a body byte by byte."""
    sock.sendall(head("POST", path, key, f"Content-Length: {INSIDE_BYTES}\r\n"))
    for _ in range(round(STALL_S / TRICKLE_S)):
        sock.sendall(b" ")
        gevent.sleep(TRICKLE_S)


def trailers(sock, path, key):
    """Send trailers of a chunked body without an end."""
    sock.sendall(head("POST", path, key, "Transfer-Encoding: chunked\r\n"))
    sock.sendall(b"2\r\n{}\r\n0\r\n")
    for number in range(ENDLESS_FIELDS):
        sock.sendall(b"X-%d: x\r\n" % number)


def half_head(sock, path, key):
    """Send a part of a head."""
    sock.sendall(head("GET", path, key)[:-2])


def endless_head(sock, path, key):
    """Send one header field without an end."""
    sock.sendall(head("GET", path, key)[:-2] + b"X-A: ")
    send_blocks(sock, FAR_OVER_BYTES)


def many_fields(sock, path, key):
    """Send a head of many fields."""
    sock.sendall(head("GET", path, key)[:-2])
    for number in range(ENDLESS_FIELDS):
        sock.sendall(b"X-%d: x\r\n" % number)
    sock.sendall(b"\r\n")


def abandoned(sock, _path, _key):
    """Send nothing."""


def pipelined(sock, path, key):
    """Send many requests and read no answer."""
    for _ in range(PIPELINED):
        sock.sendall(head("GET", path, key))


def unread_metrics(sock, _path, key):
    """Ask for the metrics many times and read no answer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for _ in range(PIPELINED_UNREAD):
        sock.sendall(head("GET", "/metrics", key))


def connect(port):
    """Return a connection whose sends stall for a limited time."""
    sock = socket.create_connection((ADDRESS, port), timeout=STALL_S)
    sock.settimeout(STALL_S)
    return sock


def run_client(act, port, path, key, held):
    """Let one client send; it may be refused or disconnected at any time."""
    try:
        sock = connect(port)
    except OSError:
        return
    held.append(sock)
    try:
        with gevent.Timeout(SEND_S, False):
            act(sock, path, key)
    except OSError:
        pass


def main():
    """Run the clients."""
    kind, count, port, path, key = sys.argv[1:]
    act = globals()[kind]
    held = []
    clients = [
        gevent.spawn(run_client, act, int(port), path, key, held)
        for _ in range(int(count))
    ]
    gevent.joinall(clients)
    print("held", flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
