"""Model of partition ownership, worker leases and at-most-once starts.

Two processes may own one partition; one or two workers run one idempotent task
`I` and one non-idempotent task `N`. Time advances in whole units for all at once.
A paused process takes no step while time passes and others take steps; a message
that it decided to send before the pause may arrive after it. Ages are capped where
no rule distinguishes larger ones, so the space is finite.

The decisions are made by the functions of the implementation: `ownership` for leases
and claims, `recovery` and `attempt` for the next state of a task. The checks by which
workers and the log refuse requests are restated here, since the modules that make them
perform I/O; `ACTIONS` names them.
"""

from __future__ import annotations

import minicheck

from spec import owner_steps, ownership_steps, states, worker_steps

# Action -> the function that implements it.
ACTIONS = {
    "time passes": "toucanspring.cell.ownership.lease_state",
    "send renewal": "toucanspring.cell.ownership.renew",
    "renewal reaches store": "toucanspring.cell.ownership.observe",
    "renewal answered": "toucanspring.cell.ownership.renew",
    "renewal answer lost": "toucanspring.cell.ownership.lease_state",
    "read member row": "toucanspring.cell.ownership.observe",
    "claim": "toucanspring.cell.ownership.may_claim",
    "claim answer lost": "toucanspring.cell.ownership.may_claim",
    "attach": "toucanspring.owners.recovery.attach",
    "stream breaks": "toucanspring.scheduling.scheduler.Scheduler.starts_unanswered",
    "renew worker": "toucanspring.owners.worker_link.Link",
    "lose worker": "toucanspring.owners.recovery.handle_lost_worker",
    "place": "toucanspring.scheduling.lifecycle.Lifecycle.start",
    "write intent": "toucanspring.scheduling.attempt.intents_durable",
    "intent answer lost": "toucanspring.owners.journal.Journal",
    "intent fails": "toucanspring.scheduling.attempt.intents_failed",
    "start of": "standins.worker.Worker.handle",
    "task": "standins.worker.Worker",
    "report": "toucanspring.scheduling.attempt.report",
    "restart worker": "standins.worker.Worker",
}


class Model:
    """Enumerate the transitions under some rules and bounds."""

    def __init__(self, rules: states.Rules, bounds: states.Bounds) -> None:
        self._rules = rules
        self._bounds = bounds
        self._ownership_steps = ownership_steps.OwnershipSteps(rules, bounds)
        self._owner_steps = owner_steps.OwnerSteps(rules, bounds)
        self._worker_steps = worker_steps.WorkerSteps(rules, bounds)

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that minicheck checks."""
        return minicheck.Protocol(
            name="ownership",
            candidate=False,
            fields=states.State._fields,
            initial=states.initial(self._bounds),
            transitions=self.transitions,
            invariants=states.INVARIANTS,
        )

    def transitions(self, state: states.State) -> list[tuple[str, states.State]]:
        """Return all labelled successors of a state."""
        found = [("time passes", self._pass_time(state))]
        for p in (0, 1):
            found += self._ownership_steps.steps(state, p)
            if states.holds_lease(state.processes[p]):
                for w in range(self._bounds.workers):
                    found += self._owner_steps.steps(state, p, w)
        for start in state.starts:
            found += self._worker_steps.deliver(state, start)
        for w in range(self._bounds.workers):
            found += self._worker_steps.local_steps(state, w)
        return [(label, self._reduce(after)) for label, after in found]

    def _reduce(self, s: states.State) -> states.State:
        """Drop state that can no longer have an effect, which keeps the space small."""
        for p in (0, 1):
            me = s.processes[p]
            reduced = me
            if s.owner == p:
                reduced = reduced._replace(seen=-1)  # an owner does not claim
            else:
                reduced = reduced._replace(renewal=-1, written=False)
                if not states.holds_lease(reduced):
                    # It starts no more tasks, and no renewal can resume it.
                    reduced = reduced._replace(epoch=0)
            if not reduced.epoch:
                reduced = states.without_partition_state(reduced)
            if reduced != me:
                s = s._replace(processes=states.with_item(s.processes, p, reduced))
        if self._rules.fence:
            starts = frozenset(
                start
                for start in s.starts
                if start.epoch >= s.workers[start.worker].epoch
            )
            if len(starts) != len(s.starts):
                s = s._replace(starts=starts)  # they would be refused
        return s

    def _pass_time(self, s: states.State) -> states.State:
        processes = tuple(
            p._replace(
                age=min(p.age + 1, states.LEASE),
                renewal=p.renewal
                if p.renewal < 0
                else min(p.renewal + 1, states.LEASE),
                seen=p.seen if p.seen < 0 else min(p.seen + 1, states.LEASE),
                since_renewal=tuple(
                    min(age + 1, states.WORKER_LEASE) for age in p.since_renewal
                ),
            )
            for p in s.processes
        )
        workers = []
        for worker in s.workers:
            lease = min(worker.lease + 1, states.WORKER_LEASE)
            if lease >= states.WORKER_LEASE and worker.running:
                # The lease expired: the tasks are checkpointed and stop.
                ended = worker.ended | worker.running
                worker = worker._replace(running=frozenset(), ended=ended)
            workers.append(worker._replace(lease=lease))
        return s._replace(processes=processes, workers=tuple(workers))
