"""Decisions of one planning round: starts, approval requests, reasons to wait."""

from __future__ import annotations

import dataclasses

from toucanspring import resources
from toucanspring.coordinator import ports, state, workers

# Reasons why a step waits, as logged.
NO_USABLE_WORKER = "no usable worker"
AWAITING_APPROVAL = "approval asked for"
NOT_APPROVED = "no approved worker"
ABOVE_CEILING = "ceiling of the organisation"
EXCEEDS_CEILING = "needs more than the ceiling of the organisation"
NO_ROOM = "no room"
TOO_MANY_TASKS = "the workers have as many tasks as can be stopped in time"
GANG_STILL_RUNNING = "members of the gang still run"
UNKNOWN_QUEUE = "queue not in the configuration"
UNKNOWN_ORGANISATION = "organisation in no known configuration"
# Until the answers to a queue's requests show its own.
FIRST_APPROVAL_SHARE = 0.5
MIN_APPROVAL_SHARE = 0.1
# Weight of an answer about so many workers.
APPROVAL_SHARE_SMOOTHING = 0.1
APPROVAL_SHARE_WORKERS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Decision to start a run of a task on a worker."""

    step: state.StepRun
    task: state.Task
    worker: workers.Worker
    run: int
    ticket: str
    # The pause of the worker at planning time, which the planner may have ignored.
    backoff_until: float = 0.0
    incarnation: int = 0  # of the worker at planning time


@dataclasses.dataclass(slots=True)
class ApprovalShare:
    """Moving average of the share of workers that a queue's requests approve."""

    value: float = FIRST_APPROVAL_SHARE

    def record(self, asked: int, approved: int) -> None:
        """Record the answer to a request, weighted by the workers that it names."""
        if asked:
            kept = (1 - APPROVAL_SHARE_SMOOTHING) ** (asked / APPROVAL_SHARE_WORKERS)
            moved = (1 - kept) * (approved / asked - self.value)
            self.value = max(MIN_APPROVAL_SHARE, self.value + moved)


@dataclasses.dataclass(frozen=True, slots=True)
class ApprovalRequest:
    """Request to approve workers for a step; durations are seconds."""

    step: state.StepRun
    workers: tuple[str, ...]
    cost_s: float
    priority: int
    validity_s: float
    share: ApprovalShare | None = None  # of the queue; None for workers approved before
    per_worker_s: float = 0.0  # part of `cost_s` for each worker
    waited_s: float = 0.0  # since the step was ready
    slack_s: float = 0.0  # to the deadline of the job, beyond the step's run time
    # Dropped unless a caller is free, since the step gains little by it.
    is_optional: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Reason why a step has waiting tasks."""

    step: state.StepRun
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class GangDecision:
    """Decision on the workers that a gang waits for, as logged and counted."""

    step: state.StepRun
    kind: str
    workers: int


# Kinds of decisions on gangs.
GANG_HELD = "gang_held"  # workers are held while an approval is in flight
GANG_HOLD_ENDED = "gang_hold_ended"  # by its bound
GANG_DRAINS = "gang_drains"  # other tasks avoid workers for it
GANG_TICKETS_RENEWED = "gang_tickets_renewed"  # renewal of reserved workers requested


GANG_DECISIONS = (GANG_HELD, GANG_HOLD_ENDED, GANG_DRAINS, GANG_TICKETS_RENEWED)


@dataclasses.dataclass(slots=True)
class Plan:
    """Decisions of one round; resources for the starts are already allocated."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    approval_requests: list[ApprovalRequest] = dataclasses.field(default_factory=list)
    # Steps whose reason to wait has changed.
    waits: list[Wait] = dataclasses.field(default_factory=list)
    reserved: set[str] = dataclasses.field(default_factory=set)
    # Reserved or held for gangs since earlier rounds: other tasks take them last.
    kept: set[str] = dataclasses.field(default_factory=set)
    reserving_gangs: int = 0
    gang_decisions: list[GangDecision] = dataclasses.field(default_factory=list)
    # Demands that fit no usable worker of a pool with a label, the smallest ones.
    full_for: dict[tuple[str, str], list[resources.Resources]] = dataclasses.field(
        default_factory=dict
    )

    def record_full(self, key: tuple[str, str], demand: resources.Resources) -> None:
        """Record that a demand fits no worker of a pool and label for the round."""
        larger = self.full_for.get(key, [])
        self.full_for[key] = [demand] + [
            each for each in larger if not demand.fits(each)
        ]

    def is_full_for(self, key: tuple[str, str], demand: resources.Resources) -> bool:
        """Return whether a demand as small as this is known to fit no worker."""
        return any(each.fits(demand) for each in self.full_for.get(key, ()))

    def record_wait(self, step_run: state.StepRun, reason: str) -> None:
        """Record why a step waits, if the reason has changed."""
        if step_run.wait_reason != reason:
            step_run.wait_reason = reason
            self.waits.append(Wait(step_run, reason))


def record_approvals(
    request: ApprovalRequest,
    tickets: dict[str, str],
    expires_at: float,
    *,
    is_last: bool = True,
) -> None:
    """Store the reply of the approval service in the step.

    The step may ask again after the last of the replies to its request.
    """
    step_run = request.step
    if request.share is not None:
        request.share.record(len(request.workers), len(tickets))
    for name in request.workers:
        step_run.allowed[name] = name in tickets
        if name in tickets:
            step_run.tickets[name] = ports.Ticket(tickets[name], expires_at)
    if is_last:
        step_run.approval_pending = False
    step_run.blocked_version = -1
