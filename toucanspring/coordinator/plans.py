"""Decisions of one round: starts, questions for approval, reasons to wait."""

from __future__ import annotations

import dataclasses

from toucanspring.coordinator import ports, state, workers

# Why a step waits, as logged.
NO_WORKER = "no usable worker"
APPROVAL = "approval asked for"
NOT_APPROVED = "no approved worker"
CEILING = "ceiling of the organisation"
NO_ROOM = "no room"
MEMBERS = "members of the gang still run"


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a run of a task on a worker."""

    step: state.StepRun
    task: state.Task
    worker: workers.Worker
    run: int
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Ask the approval service about workers for a step."""

    step: state.StepRun
    workers: tuple[str, ...]
    cost_s: float
    priority: int
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Say why a step has waiting tasks."""

    step: state.StepRun
    reason: str


@dataclasses.dataclass(slots=True)
class Plan:
    """Collect the decisions of one round; starts are already booked."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    questions: list[Question] = dataclasses.field(default_factory=list)
    # Steps that begin to wait for another reason than before.
    waits: list[Wait] = dataclasses.field(default_factory=list)
    reserved: set[str] = dataclasses.field(default_factory=set)
    gangs_making_room: int = 0

    def wait(self, run: state.StepRun, reason: str) -> None:
        """Take note of why a step waits, once for each reason in turn."""
        if run.waits_for != reason:
            run.waits_for = reason
            self.waits.append(Wait(run, reason))


def take_answer(
    question: Question,
    tickets: dict[str, str],
    expires_at: float,
) -> None:
    """Keep what the approval service said about a step."""
    run = question.step
    for name in question.workers:
        run.allowed[name] = name in tickets
        if name in tickets:
            run.tickets[name] = ports.Ticket(tickets[name], expires_at)
    run.asking = False
    run.blocked_at = -1
