"""Starts and ends of tasks that the workers recorded, fetched incrementally."""

from __future__ import annotations

import json

from standins import cluster, executions


class History:
    """Follow starts and ends of tasks."""

    def __init__(self, running: cluster.Cluster) -> None:
        self._cluster = running
        self._next = 0
        self._attempts = executions.Attempts()

    @property
    def attempts(self) -> list[executions.Attempt]:
        """Return the attempts that were started, in the order of their starts."""
        return self._attempts.started

    def refresh(self) -> None:
        """Fetch the events since the last call."""
        port = self._cluster.control_ports["workers"]
        _, body = cluster.call(
            port, "GET", f"/record?after={self._next}", timeout_s=30.0
        )
        found = json.loads(body)
        self._next = found["next"]
        for event in found["events"]:
            self._attempts.add(event)

    def count(self, load: str, state: str) -> int:
        """Return how many tasks of a load run, or how many attempts were started."""
        return sum(
            attempt.start.task.rpartition("/")[0].rpartition("-")[0] == load
            and (state == "started" or not attempt.ended)
            for attempt in self.attempts
        )
