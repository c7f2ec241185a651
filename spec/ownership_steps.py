"""Steps of processes that renew, claim and lose the partition."""

from __future__ import annotations

from spec import states
from toucanspring.cell import ownership
from toucanspring.owners import recovery


class OwnershipSteps:
    """Enumerate the renewals and claims of one process."""

    def __init__(self, rules: states.Rules, bounds: states.Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def steps(self, s: states.State, p: int) -> states.Steps:
        """Return the renewal and claim steps of process `p`."""
        me, other = s.processes[p], s.processes[1 - p]
        if me.renewal < 0 and (me.epoch or s.owner == p):
            yield _step(s, p, "send renewal", renewal=0, written=False)
        if me.renewal >= 0:
            if not me.written:
                stale = s._replace(
                    processes=states.with_item(
                        s.processes, 1 - p, other._replace(seen=-1)
                    )
                )
                yield _step(stale, p, "renewal reaches store", written=True)
            else:
                yield self._answer_renewal(s, p)
                yield _step(s, p, "renewal answer lost", renewal=-1)
        if s.owner == p:
            return
        if me.seen < 0:
            yield _step(s, p, "read member row", seen=0)
        elif s.epoch < self._bounds.epochs and self._may_claim(me):
            claimed = s._replace(epoch=s.epoch + 1, owner=p)
            owner = self._take_over(claimed, p, 0)
            yield f"claim by {p}", states.with_process(claimed, p, owner)
            lost = me._replace(epoch=0)
            yield f"claim answer lost by {p}", states.with_process(claimed, p, lost)

    def _may_claim(self, me: states.Process) -> bool:
        if not self._rules.takeover_wait:
            return True
        observation = ownership.Observation(1, 1, -me.seen, -me.seen)
        expired = ownership.is_lease_expired(observation, 1, 0, states.TIMING)
        return ownership.may_claim(expired, ownership.NEVER, 0, states.TIMING)

    def _answer_renewal(self, s: states.State, p: int) -> tuple[str, states.State]:
        me = s.processes[p]._replace(renewal=-1)
        if s.owner != p:
            me = me._replace(epoch=0)
        elif me.epoch == s.epoch:
            me = me._replace(age=min(me.age, s.processes[p].renewal))
        else:
            # The claim had succeeded although its answer was lost.
            me = self._take_over(s, p, s.processes[p].renewal)._replace(renewal=-1)
        return f"renewal answered to {p}", states.with_process(s, p, me)

    def _take_over(self, s: states.State, p: int, age: int) -> states.Process:
        """Return the process after it has rebuilt its state from the log."""
        count = self._bounds.workers
        unattached = (False,) * count
        views = {}
        for task, idempotent in states.IDEMPOTENT.items():
            intent = s.intent is not None and not idempotent
            match recovery.restored_task(idempotent, intent, expected=True):
                case _ if task in s.final:
                    views[task] = states.FINAL
                case "held" if self._rules.restore_wait:
                    views[task] = states.HELD
                case "attributed":
                    views[task] = states.View(states.STARTING, *s.intent)
                case _:
                    views[task] = states.WAITING
        return s.processes[p]._replace(
            epoch=s.epoch,
            age=age,
            attached=unattached,
            settled=unattached,
            since_renewal=(0,) * count,
            n=views["N"],
            i=views["I"],
        )


def _step(
    s: states.State, p: int, label: str, **fields: object
) -> tuple[str, states.State]:
    changed = s.processes[p]._replace(**fields)
    return f"{label} by {p}", states.with_process(s, p, changed)
