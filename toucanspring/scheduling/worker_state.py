"""What a partition knows of one of its workers."""

from __future__ import annotations

from toucanspring import wire
from toucanspring.scheduling import effects


class WorkerState:
    """Hold what is known of one attached worker."""

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
        self.attached = True  # its stream works
        self.leaving = False
        self.schedulable = False
        self.paused_until = 0.0
        self.refusals = 0  # in a row
        self.overused = False  # its tasks use more than it has
        # Tasks that run there but belong to no job or run elsewhere.
        self.orphans: dict[str, wire.RunningTask] = {}
