"""States, actions and invariants of the model.

Two processes may own one partition; one or two workers run one idempotent task
`I` and one non-idempotent task `N`. Time advances in whole units for all at once;
a pause of a process is any order in which it takes no step while time and others
go on, and a message that was decided before the pause may arrive after it. Ages
are capped where no rule can tell larger ones apart, so the space is finite.

The decisions are those of the product: `ownership` for leases and claims, `recovery`
and `attempt` for what follows for a task. The refusals of a worker and of the log
are restated here, since their owners perform I/O; `ACTIONS` names them.
"""

from __future__ import annotations

import minicheck

from spec import hosting, serving, tenure, world

# Action -> the function of the product that implements it.
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

    def __init__(self, rules: world.Rules, bounds: world.Bounds) -> None:
        self._rules = rules
        self._bounds = bounds
        self._tenure = tenure.Tenure(rules, bounds)
        self._serving = serving.Serving(rules, bounds)
        self._hosting = hosting.Hosting(rules, bounds)

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that minicheck checks."""
        return minicheck.Protocol(
            name="ownership",
            candidate=False,
            fields=world.State._fields,
            initial=world.initial(self._bounds),
            transitions=self.transitions,
            invariants=world.INVARIANTS,
        )

    def transitions(self, state: world.State) -> list[tuple[str, world.State]]:
        """Return all labelled successors of a state."""
        found = [("time passes", self._pass_time(state))]
        for p in (0, 1):
            found += self._tenure.steps(state, p)
            if world.holds(state.processes[p]):
                for w in range(self._bounds.workers):
                    found += self._serving.steps(state, p, w)
        for start in state.starts:
            found += self._hosting.deliver(state, start)
        for w in range(self._bounds.workers):
            found += self._hosting.work(state, w)
        return [(label, self._reduce(after)) for label, after in found]

    def _reduce(self, s: world.State) -> world.State:
        """Drop what can no longer have an effect, which keeps the space small."""
        for p in (0, 1):
            me = s.processes[p]
            reduced = me
            if s.owner == p:
                reduced = reduced._replace(seen=-1)  # it does not claim
            else:
                reduced = reduced._replace(renewal=-1, written=False)
                if not world.holds(reduced):
                    # It starts nothing any more, and no renewal can resume it.
                    reduced = reduced._replace(epoch=0)
            if not reduced.epoch:
                reduced = world.forget(reduced)
            if reduced != me:
                s = s._replace(processes=world.put(s.processes, p, reduced))
        if self._rules.fence:
            starts = frozenset(
                start
                for start in s.starts
                if start.epoch >= s.workers[start.worker].epoch
            )
            if len(starts) != len(s.starts):
                s = s._replace(starts=starts)  # they would be refused
        return s

    def _pass_time(self, s: world.State) -> world.State:
        processes = tuple(
            p._replace(
                age=min(p.age + 1, world.LEASE),
                renewal=p.renewal if p.renewal < 0 else min(p.renewal + 1, world.LEASE),
                seen=p.seen if p.seen < 0 else min(p.seen + 1, world.LEASE),
                waited=tuple(min(age + 1, world.WORKER_LEASE) for age in p.waited),
            )
            for p in s.processes
        )
        workers = []
        for worker in s.workers:
            lease = min(worker.lease + 1, world.WORKER_LEASE)
            if lease >= world.WORKER_LEASE and worker.running:
                # The lease expired: the tasks are checkpointed and stop.
                ended = worker.ended | worker.running
                worker = worker._replace(running=frozenset(), ended=ended)
            workers.append(worker._replace(lease=lease))
        return s._replace(processes=processes, workers=tuple(workers))
