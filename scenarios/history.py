"""What the workers recorded so far, fetched in parts."""

from __future__ import annotations

import dataclasses
import json

from standins import cluster


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt of a task; `ended` is false while it runs."""

    task: str
    worker: str
    availability_zone: str
    at: float
    ended: bool = False


class History:
    """Follow starts and ends of tasks."""

    def __init__(self, running: cluster.Cluster) -> None:
        self._cluster = running
        self._next = 0
        self._open: dict[tuple[str, str, int], Run] = {}
        self.runs: list[Run] = []

    def refresh(self) -> None:
        """Fetch the events since the last call."""
        port = self._cluster.control_ports["workers"]
        _, body = cluster.call(
            port, "GET", f"/record?after={self._next}", timeout_s=30.0
        )
        found = json.loads(body)
        self._next = found["next"]
        for event in found["events"]:
            self._add(event)

    def _add(self, event: dict) -> None:
        match event["kind"]:
            case "start":
                run = Run(
                    event["task"],
                    event["worker"],
                    event["availability_zone"],
                    event["at"],
                )
                self.runs.append(run)
                self._open[event["worker"], event["task"], event["attempt"]] = run
            case "end":
                place = (event["worker"], event["task"], event["attempt"])
                if place in self._open:
                    self._open.pop(place).ended = True
            case "died":
                for place in [p for p in self._open if p[0] == event["worker"]]:
                    self._open.pop(place).ended = True

    def count(self, load: str, state: str) -> int:
        """Return how many tasks of a load run, or how many attempts were started."""
        return sum(
            run.task.rpartition("/")[0].rpartition("-")[0] == load
            and (state == "started" or not run.ended)
            for run in self.runs
        )
