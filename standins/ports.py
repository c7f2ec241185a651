"""Free ports of the loopback address, reserved for one cluster."""

from __future__ import annotations

import random
import socket

from standins import processes

ADDRESS = "127.0.0.1"
# Below the ephemeral ports, which the system uses for outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 32_000
RESERVE_ATTEMPTS = 1000


def find_ports(count: int) -> int:
    """Return the first of `count` consecutive ports that are free at present."""
    with PortReservation(count) as reserved:
        return reserved.first


class PortReservation:
    """Reserves consecutive ports against other clusters on this host until closed.

    The sockets bind exclusively and allow reuse only afterwards, so that a child that
    sets SO_REUSEADDR can listen while another reservation fails. Without it a cluster
    that starts during the restart of a daemon could take the daemon's port.
    """

    def __init__(self, count: int) -> None:
        self._sockets: list[socket.socket] = []
        for _ in range(RESERVE_ATTEMPTS):
            self.first = random.randrange(FIRST_PORT, LAST_PORT - count)
            if all(map(self._bind, range(self.first, self.first + count))):
                return
            self.close()
        raise processes.StartFailed(f"no {count} consecutive free ports")

    def __enter__(self) -> PortReservation:
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Release the ports."""
        while self._sockets:
            self._sockets.pop().close()

    def _bind(self, port: int) -> bool:
        sock = socket.socket()
        self._sockets.append(sock)
        try:
            sock.bind((ADDRESS, port))
        except OSError:
            return False
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return True
