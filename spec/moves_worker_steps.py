"""Steps of the worker and of the owners that use it in the model of moves."""

from __future__ import annotations

from spec import moves_states
from toucanspring import job
from toucanspring.owners import recovery
from toucanspring.scheduling import attempt


class WorkerSteps:
    """Enumerate the steps of the worker and of the owners that use it."""

    def __init__(self, rules: moves_states.Rules, bounds: moves_states.Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def _use_worker(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.Steps:
        if me.link in ("open", "lost"):
            yield from self._attach(s, p, e, me)
        if me.link == "open" and me.since_renewal == moves_states.STOPPED:
            changed = after_worker_loss(me)._replace(link="lost")
            yield f"lose worker {p}.{e}", moves_states.with_owner(s, p, e, changed)
        if me.link == "attached" and me.holds:
            yield from self._use_attached_worker(s, p, e, me)
        # The worker that never moves is fenced by the latest epoch.
        if e != s.epochs[p]:
            return
        if me.holds and me.task == "waiting":
            after = s._replace(on_fixed_worker=s.on_fixed_worker | {p})
            started = me._replace(task="fixed_worker")
            yield (
                f"start on fixed worker {p}.{e}",
                moves_states.with_owner(after, p, e, started),
            )
        if me.task == "fixed_worker":
            after = s._replace(
                on_fixed_worker=s.on_fixed_worker - {p}, final=s.final | {p}
            )
            ended = me._replace(task="final")
            yield (
                f"end on fixed worker {p}.{e}",
                moves_states.with_owner(after, p, e, ended),
            )

    def _use_attached_worker(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.Steps:
        def then(owner: moves_states.Owner, **fields: object) -> moves_states.State:
            return moves_states.with_owner(s._replace(**fields), p, e, owner)

        worker = s.worker
        remaining_starts = frozenset(
            x for x in s.starts if (x.partition, x.epoch) != (p, e)
        )
        yield (
            f"stream breaks {p}.{e}",
            then(me._replace(link="open"), starts=remaining_starts),
        )
        if worker.lease or me.since_renewal:
            renewed = worker._replace(lease=0)
            yield f"renew {p}.{e}", then(me._replace(since_renewal=0), worker=renewed)
        withheld = me.move is not None and self._rules.withhold
        may_start = me.task == "waiting" and me.attempt <= self._bounds.attempts
        if may_start and not withheld:
            starts = s.starts | {moves_states.Start(p, e, me.attempt)}
            started = me._replace(task="worker")
            yield f"start on worker by {p}.{e}", then(started, starts=starts)
        if e == s.epochs[p]:
            for entry in worker.ended:
                yield f"report to {p}.{e}", self._report(s, p, e, me, entry)
        for entry in worker.running:
            if entry != (p, me.attempt) or me.task != "worker":
                rest = worker._replace(running=worker.running - {entry})
                yield f"orphan stops {entry}", s._replace(worker=rest)

    def _attach(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.Steps:
        worker = s.worker
        if e < worker.epochs[p]:
            return
        other = worker.partition != p and worker.lease < moves_states.LEASE
        if other and self._rules.lease_wait:
            return
        owners = tuple(
            tuple(
                x and (x._replace(link="open") if x.link == "attached" else x)
                for x in own
            )
            for own in s.owners
        )
        epochs = tuple(e if q == p else x for q, x in enumerate(worker.epochs))
        known_entries = moves_states.running_or_stopping(worker) | worker.ended
        known = {number for q, number in known_entries if q == p}
        if me.task == "held":
            if known:
                me = me._replace(task="worker", attempt=max(known))
            else:
                me = me._replace(task="waiting")
        elif (
            me.task == "worker"
            and me.attempt not in known
            and recovery.absent_task(job.State.STARTING, False) == "never_ran"
        ):
            me = me._replace(task="waiting", attempt=me.attempt + 1)
        after = s._replace(
            owners=owners,
            starts=frozenset(),  # older streams are closed
            worker=worker._replace(partition=p, epochs=epochs),
        )
        me = me._replace(link="attached")
        yield f"attach {p}.{e}", moves_states.with_owner(after, p, e, me)

    def _report(
        self,
        s: moves_states.State,
        p: int,
        e: int,
        me: moves_states.Owner,
        entry: tuple[int, int],
    ) -> moves_states.State:
        worker = s.worker._replace(ended=s.worker.ended - {entry})
        s = s._replace(worker=worker)
        if me.task == "worker" and entry == (p, me.attempt):
            s = s._replace(final=s.final | {p})
            return moves_states.with_owner(s, p, e, me._replace(task="final"))
        return s

    def worker_events(self, s: moves_states.State) -> moves_states.Steps:
        """Return the steps of the worker."""
        worker = s.worker
        for start in s.starts:
            p, e, number = start
            after = s._replace(starts=s.starts - {start})
            valid = worker.partition == p and e >= worker.epochs[p]
            if valid and worker.lease < moves_states.LEASE:
                entry = (p, number)
                ran = worker._replace(running=worker.running | {entry})
                yield f"start arrives from {p}.{e}", after._replace(worker=ran)
                continue
            me = s.owners[p][e - 1]
            if me is not None and me.task == "worker" and me.attempt == number:
                me = me._replace(task="waiting", attempt=number + 1)
                after = moves_states.with_owner(after, p, e, me)
            yield f"start arrives from {p}.{e}, refused", after
        for entry in moves_states.running_or_stopping(worker):
            ended = worker._replace(
                running=worker.running - {entry},
                stopping=worker.stopping - {entry},
                ended=worker.ended | {entry},
            )
            yield f"task ends {entry}", s._replace(worker=ended)


def after_worker_loss(me: moves_states.Owner) -> moves_states.Owner:
    """Return an owner that has lost the worker, with the new state of its task."""
    if me.task == "worker":
        if attempt.after_loss(job.State.RUNNING, True) == "unknown":
            return me._replace(task="final")
        return me._replace(task="waiting", attempt=me.attempt + 1)
    return me._replace(task="waiting") if me.task == "held" else me
