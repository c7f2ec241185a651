"""Which workers a step requests approval for: as many as its tasks need.

Each worker named in a request prolongs the decision and occupies the approval service.
Requests about a whole pool of hundreds of workers saturate it, and no step gets a
decision in time.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

from toucanspring.coordinator import (
    catalogue,
    order_pacing,
    placement,
    plans,
    state,
    workers,
)

# Of one call. Two calls for a gang that needs more took the callers of other requests
# at a busy time.
MAX_WORKERS_PER_REQUEST = 100
# Smaller requests save little, and some of the workers may fail.
MIN_WORKERS_PER_REQUEST = 10
# A decision that takes longer is made about several workers at once.
MAX_CHEAP_DECISION_S = 0.1
# Workers without room are named only up to this number; they may have room soon.
MAX_WITHOUT_ROOM = 30
# A fresh ticket is used for this fraction of its validity, however late orders arrive.
MIN_USABLE_VALIDITY = 0.5
# Other steps take capacity until the answer arrives.
SPARE_FACTOR = 1.5
# A gang needs room for all members at once, so it has to know workers whose capacity,
# not only what is free of it, is several times as much.
GANG_SPARE_FACTOR = 6.0


@dataclasses.dataclass(slots=True)
class _Choice:
    """Workers for a request, with the tasks that they are expected to take."""

    wanted: float
    share: float
    names: list[str] = dataclasses.field(default_factory=list)
    slots: float = 0.0

    @property
    def is_enough(self) -> bool:
        """Return whether the request needs no further worker."""
        count = len(self.names)
        return count >= MAX_WORKERS_PER_REQUEST or (
            count >= MIN_WORKERS_PER_REQUEST and self.slots >= self.wanted
        )

    def add(self, worker: workers.Worker, slots: int) -> None:
        """Name a worker that can take `slots` tasks if it is approved."""
        self.names.append(worker.id)
        self.slots += slots * self.share


class Approvals:
    """Requests of steps and their tickets; steps of a pool take turns among workers."""

    def __init__(self) -> None:
        self._shares: dict[str, plans.ApprovalShare] = {}
        self._next: dict[str, int] = {}  # by pool, where the next choice begins
        # Remaining validity of a ticket at a start: the order may be delayed.
        self.ticket_margin_s = order_pacing.MIN_TICKET_MARGIN_S

    def share(self, queue: str) -> plans.ApprovalShare:
        """Return the share of workers that is approved for steps of a queue."""
        return self._shares.setdefault(queue, plans.ApprovalShare())

    def choose(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        candidates: Sequence[workers.Worker],
    ) -> list[str]:
        """Return workers to request approval for, those with room first."""
        choice = self._begin(step_run, self.share(queue.name).value)
        full: list[workers.Worker] = []
        is_gang = step_run.step.gang
        max_without_room = MAX_WORKERS_PER_REQUEST if is_gang else MAX_WITHOUT_ROOM
        first, visited = self._next.get(queue.pool, 0), 0
        for worker in _in_turn(step_run, candidates, first):
            if choice.is_enough:
                break
            visited += 1
            if worker.id in step_run.allowed or not placement.is_eligible(
                step_run, worker
            ):
                continue
            slots = placement.count_slots(step_run, worker)
            if slots and is_gang:
                slots = placement.count_capacity_slots(step_run, worker)
            if slots:
                choice.add(worker, slots)
            elif len(full) < max_without_room:
                full.append(worker)
        if candidates:
            self._next[queue.pool] = (first + visited) % len(candidates)
        for worker in full:
            if choice.is_enough or len(choice.names) >= max_without_room:
                break
            choice.add(
                worker,
                placement.count_capacity_slots(step_run, worker) if is_gang else 1,
            )
        return choice.names

    def is_gang_informed(
        self, step_run: state.StepRun, approved: Iterable[workers.Worker]
    ) -> bool:
        """Return whether a gang knows enough approved workers to wait for room."""
        slots = sum(
            placement.count_capacity_slots(step_run, worker) for worker in approved
        )
        return slots >= GANG_SPARE_FACTOR * step_run.step.count

    @staticmethod
    def is_wasteful(queue: catalogue.Queue, names: Sequence[str]) -> bool:
        """Return whether a request brings an informed gang little for its cost.

        Such a gang waits for room on workers that it knows. Requests about the one or
        two that have room besides took 40% of the service's time at a busy time.
        """
        return (
            0 < len(names) < MIN_WORKERS_PER_REQUEST
            and queue.approval is not None
            and queue.approval.decision_s > MAX_CHEAP_DECISION_S
        )

    def choose_with_room(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        candidates: Sequence[workers.Worker],
        plan: plans.Plan | None,
    ) -> list[str]:
        """Return further workers with room to request approval for, if any.

        With a plan, the candidates are all that steps of the queue may use in its
        round, and what is found to be full is not looked at again.
        """
        demand = step_run.step.occupied()
        key = (queue.pool, step_run.step.required_label)
        if plan is not None and plan.is_full_for(key, demand):
            return []
        choice = self._begin(step_run, self.share(queue.name).value)
        has_room = False
        first = self._next.get(queue.pool, 0)
        for worker in _in_turn(step_run, candidates, first):
            if not worker.has_room(demand):
                continue
            if not placement.is_eligible(step_run, worker):
                continue
            has_room = True
            if worker.id not in step_run.allowed:
                choice.add(worker, placement.count_slots(step_run, worker))
                if choice.is_enough:
                    break
        if not has_room and plan is not None:
            plan.record_full(key, demand)
        return choice.names

    def choose_again(
        self, step_run: state.StepRun, approved: Iterable[workers.Worker]
    ) -> list[str]:
        """Return approved workers whose tickets are to be renewed."""
        choice = _Choice(SPARE_FACTOR * len(step_run.waiting), 1.0)
        for worker in approved:
            if choice.is_enough:
                break
            slots = placement.count_slots(step_run, worker)
            if slots:
                choice.add(worker, slots)
        return choice.names

    def request(
        self,
        step_run: state.StepRun,
        queue: catalogue.Queue,
        names: list[str],
        plan: plans.Plan,
        now: float,
        *,
        is_optional: bool = False,
    ) -> None:
        """Request approval of workers, unless a request is pending or must wait."""
        if (
            step_run.approval_pending
            or now < step_run.approval_retry_at
            or queue.approval is None
        ):
            return
        step_run.approval_pending = True
        names = names[:MAX_WORKERS_PER_REQUEST]
        is_first = all(name not in step_run.allowed for name in names)
        slack_s = step_run.job.due_at - now - step_run.step.estimate_ms / 1000
        plan.approval_requests.append(
            plans.ApprovalRequest(
                step_run,
                tuple(names),
                answer_s(queue.approval, len(names)),
                queue.priority,
                queue.approval.validity_s,
                self.share(queue.name) if is_first else None,
                queue.approval.per_worker_s,
                now - step_run.ready_at,
                slack_s,
                is_optional,
            )
        )

    def ticket(
        self, step_run: state.StepRun, queue: catalogue.Queue, worker: str, now: float
    ) -> str | None:
        """Return a valid ticket, "" if none is needed, or None if there is none."""
        if queue.approval is None:
            return ""
        ticket = step_run.tickets.get(worker)
        margin_s = min(
            self.ticket_margin_s, MIN_USABLE_VALIDITY * queue.approval.validity_s
        )
        if ticket is None or ticket.expires_at < now + margin_s:
            return None
        return ticket.text

    @staticmethod
    def _begin(step_run: state.StepRun, share: float) -> _Choice:
        spare = GANG_SPARE_FACTOR if step_run.step.gang else SPARE_FACTOR
        return _Choice(spare * len(step_run.waiting), share)


def answer_s(approval: catalogue.Approval, count: int) -> float:
    """Return how long the service takes for one call that names `count` workers."""
    return approval.decision_s + approval.per_worker_s * count


def _in_turn(
    step_run: state.StepRun, candidates: Sequence[workers.Worker], first: int
) -> list[workers.Worker]:
    """Return the candidates from `first` on, grouped by rack if racks matter."""
    first %= max(1, len(candidates))
    turned = [*candidates[first:], *candidates[:first]]
    step = step_run.step
    if step.preferred_rack:
        turned.sort(key=lambda worker: worker.entry.rack != step.preferred_rack)
    elif step.same_rack:
        free: dict[str, int] = {}
        for worker in turned:
            rack = worker.entry.rack
            free[rack] = free.get(rack, 0) + placement.count_slots(step_run, worker)
        turned.sort(key=lambda worker: (-free[worker.entry.rack], worker.entry.rack))
    return turned
