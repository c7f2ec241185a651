"""HTTP calls to the daemons, distributed as by the platform's load balancer."""

from __future__ import annotations

import dataclasses
import random
import time

import gevent

from standins import cluster, replies

TIMEOUT_S = 5.0
CONNECT_ATTEMPTS = 40
RETRY_S = 0.05
# The load balancer routes calls to a VM until its health checks failed for this long.
HEALTH_CHECK_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(replies.Reply):
    """Hold an answer and where it came from.

    `cut_off` distinguishes a broken connection from a timeout of the caller.
    """

    cut_off: bool = False
    daemon: str = ""
    while_stopping: bool = False


class Client:
    """Call daemons that are in service.

    `paused` maps a daemon to the time of its pause, `starting` holds the daemons that
    were not ready yet, to which the load balancer sends no calls, `stopping` those that
    shut down gracefully.
    """

    def __init__(self, running: cluster.Cluster, seed: int = 0) -> None:
        self._cluster = running
        self._rng = random.Random(seed)
        self.paused: dict[str, float] = {}
        self.starting: set[str] = set()
        self.stopping: set[str] = set()
        self.operator_key = running.operator_key

    def in_service(self) -> list[str]:
        """Return the daemons to which the load balancer sends calls."""
        limit = time.monotonic() - HEALTH_CHECK_S
        return [
            name
            for name in self._cluster.daemon_options
            if name in self._cluster.processes
            and name not in self.starting
            and self.paused.get(name, limit + 1) > limit
        ]

    def active(self) -> list[str]:
        """Return the daemons that run and are not paused."""
        return [name for name in self.in_service() if name not in self.paused]

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        key: str = "",
        headers: dict[str, str] | None = None,
        daemon: str = "",
        timeout_s: float = TIMEOUT_S,
        avoid: str = "",
    ) -> Reply:
        """Call a daemon, or any but `avoid`; a refused connection is retried."""
        sent = dict(headers or {})
        if key:
            sent["Authorization"] = f"Bearer {key}"
        for _ in range(CONNECT_ATTEMPTS):
            name = daemon or self._choose_daemon(avoid)
            if not name:
                gevent.sleep(RETRY_S)
                continue
            port = self._cluster.daemon_options[name].http_port
            try:
                answer = cluster.call(port, method, path, body, sent, timeout_s)
            except ConnectionRefusedError:
                if daemon:
                    return Reply(0, daemon=name)
                gevent.sleep(RETRY_S)
            except TimeoutError:
                return Reply(0, daemon=name)
            except Exception:  # http.client raises many types for a truncated answer
                stopping = name in self.stopping
                return Reply(0, cut_off=True, daemon=name, while_stopping=stopping)
            else:
                return Reply(*answer, daemon=name)
        return Reply(0)

    def _choose_daemon(self, avoid: str) -> str:
        names = self.in_service()
        others = [name for name in names if name != avoid]
        return self._rng.choice(others or names) if names else ""
