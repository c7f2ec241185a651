"""State of a worker as seen by its partition."""

from __future__ import annotations

from toucanspring import wire
from toucanspring.scheduling import effects


class WorkerState:
    """State of one worker that has attached."""

    __slots__ = (
        "attached",
        "facts",
        "leaving",
        "orphans",
        "overused",
        "paused_until",
        "refusals",
        "schedulable",
    )

    def __init__(self, facts: effects.WorkerFacts) -> None:
        self.facts = facts
        self.attached = True  # its stream is connected
        self.leaving = False
        self.schedulable = False
        self.paused_until = 0.0
        self.refusals = 0  # consecutive
        self.overused = False  # its tasks use more than its capacity
        # Tasks running there that belong to no known job or are assigned to another
        # worker.
        self.orphans: dict[str, wire.RunningTask] = {}
