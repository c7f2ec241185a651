"""Calls of the entry processes, distributed like those of a load balancer."""

from __future__ import annotations

import random
import time

from standins import cluster, replies

ATTEMPTS = 20
RETRY_S = 0.1
CONFIRM_ATTEMPTS = 100


class CallFailed(Exception):
    """Raised when a call by the operator fails."""


class EntryClient:
    """Client that calls a random daemon among those that are ready."""

    def __init__(self, running: cluster.Cluster, seed: int) -> None:
        self._cluster = running
        self._rng = random.Random(seed)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> replies.Reply:
        """Call a random ready daemon; try another if it refuses the connection."""
        sent = dict(headers or {})
        if key:
            sent["Authorization"] = f"Bearer {key}"
        for _ in range(ATTEMPTS):
            ready = sorted(self._cluster.ready_daemons)
            if not ready:
                time.sleep(RETRY_S)
                continue
            options = self._cluster.daemon_options[self._rng.choice(ready)]
            try:
                answer = cluster.call(
                    options.http_port, method, path, body, sent, timeout_s=40.0
                )
            except ConnectionRefusedError:
                continue
            except OSError:
                return replies.Reply(0, b"")
            return replies.Reply(*answer)
        return replies.Reply(0, b"")

    def call_as_operator(
        self, method: str, path: str, body: object = None, **headers
    ) -> replies.Reply:
        """Call with the operator key; raise `CallFailed` unless it succeeds."""
        reply = replies.Reply(0, b"")
        for _ in range(ATTEMPTS):
            reply = self.call(
                method, path, body, key=self._cluster.operator_key, headers=headers
            )
            if 0 < reply.status < 400:
                return reply
            if reply.status and reply.status != 503:
                break
            time.sleep(RETRY_S)
        raise CallFailed(f"{method} {path}: {reply.status} {reply.body.decode()}")

    def apply_configuration(self, source: str, version: int) -> int:
        """Apply a configuration and return its version."""
        reply = self.call_as_operator(
            "PUT", "/v1/config", source.encode(), **{"If-Match": str(version)}
        )
        return reply.json()["version"]

    def wait_in_force(self, version: int, processes: int) -> None:
        """Wait until `processes` processes confirm a configuration version."""
        for _ in range(CONFIRM_ATTEMPTS):
            found = self.call_as_operator(
                "GET", f"/v1/config/confirmations?version={version}"
            )
            confirmed = found.json()["processes"]
            if len(confirmed) >= processes and all(confirmed.values()):
                return
            time.sleep(RETRY_S)
        raise CallFailed(f"configuration {version} was not confirmed by all processes")

    def grant_key(self, team: str) -> dict:
        """Grant a key to a team."""
        return self.call_as_operator("POST", "/v1/keys", {"team": team}).json()
