"""Transitions of the model of worker moves.

Two partitions share one worker that can move; each has one idempotent task, which may
run there or on a worker of its own that never moves. `ownership_model.py` covers
ownership leases in time; here an ownership ends in one step, which a claim requires. A
paused owner takes no step while others do.
"""

from __future__ import annotations

import minicheck

from spec import moves_states, moves_worker_steps
from toucanspring.owners import recovery, roster

# Action -> the function that implements it.
ACTIONS = {
    "time passes": "toucanspring.owners.worker_link.Link",
    "ownership ends": "toucanspring.cell.ownership.lease_state",
    "owner dies": "toucanspring.cell.claims.Service",
    "claim": "toucanspring.cell.ownership.may_claim",
    "load": "toucanspring.owners.partition.Partition",
    "read row": "toucanspring.owners.fleet.Service.reread",
    "attach": "toucanspring.owners.recovery.attach",
    "stream breaks": "toucanspring.owners.worker_link.Link",
    "renew": "toucanspring.owners.worker_link.Link",
    "lose": "toucanspring.owners.recovery.handle_lost_worker",
    "start on worker": "toucanspring.scheduling.lifecycle.Lifecycle.start",
    "start on fixed worker": "toucanspring.scheduling.lifecycle.Lifecycle.start",
    "end on fixed worker": "toucanspring.scheduling.attempt.report",
    "report": "toucanspring.scheduling.attempt.report",
    "plan move": "toucanspring.scheduling.move_planner.MovePlanner.plan",
    "plan drop": "toucanspring.owners.fleet.Service",
    "send transaction": "toucanspring.owners.mover.Service.step",
    "transaction": "toucanspring.owners.roster.Roster.apply_row",
    "repeated transaction": "toucanspring.owners.mover.Service",
    "answer lost": "toucanspring.owners.mover.AmbiguousMove",
    "resolve": "toucanspring.owners.roster.ambiguous_move_result",
    "other write": "toucanspring.owners.fleet.assign",
    "assign": "toucanspring.owners.fleet.assign",
    "drop by another": "toucanspring.owners.fleet.Service",
    "start arrives": "standins.worker.Worker.handle",
    "task ends": "standins.worker.Worker",
    "orphan stops": "toucanspring.owners.recovery.attach",
}
# Steps that may never be taken: faults, and moves that are optional.
UNFORCED = (
    "ownership ends",
    "owner dies",
    "stream breaks",
    "answer lost",
    "other write",
    "plan",
    "drop by another",
)


def is_forced(label: str, s: moves_states.State) -> bool:
    """Return whether a step belongs to a run without further faults."""
    if label == "time passes":
        # An owner that has the worker renews its lease, so time alone changes nothing.
        return not any(
            me and me.holds and me.link == "attached" for own in s.owners for me in own
        )
    return not label.startswith(UNFORCED) and "answer lost" not in label


class Model(moves_worker_steps.WorkerSteps):
    """Enumerate the transitions under some rules and bounds."""

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that minicheck checks."""
        return minicheck.Protocol(
            name="moves",
            candidate=False,
            fields=moves_states.State._fields,
            initial=moves_states.initial(self._bounds),
            transitions=self.transitions,
            invariants=moves_states.INVARIANTS,
        )

    def transitions(
        self, s: moves_states.State
    ) -> list[tuple[str, moves_states.State]]:
        """Return all labelled successors of a state."""
        found = [("time passes", _pass_time(s))]
        for p in (0, 1):
            found += self._claim(s, p)
            for e, me in enumerate(s.owners[p], 1):
                if me is not None:
                    if me.holds and me.link == "attached":
                        after = _renew_in_time(s, p, e)
                        found.append(("time passes, lease renewed", after))
                    found += self._owner_steps(s, p, e, me)
        found += self.worker_events(s)
        for write in s.writes:
            found += self._deliver(s, write)
        found += self._write_others(s)
        found = [(label, self._reduce(after)) for label, after in found]
        return [(label, after) for label, after in found if after != s]

    def _reduce(self, s: moves_states.State) -> moves_states.State:
        """Drop state that can no longer have an effect, which keeps the space small."""
        s = _reduce_ended(s)
        last = len(s.rows) - 1
        writes = frozenset(
            each
            for each in s.writes
            if (each.version == last or not self._rules.version_check)
            and (
                each.epoch == s.epochs[each.partition]
                or not self._rules.ownership_check
            )
            or _awaits_answer(s.owners[each.partition][each.epoch - 1], each)
        )
        return s if len(writes) == len(s.writes) else s._replace(writes=writes)

    # Ownership

    def _claim(self, s: moves_states.State, p: int) -> moves_states.Steps:
        former = s.owners[p][-1]
        if s.epochs[p] == self._bounds.epochs[p] or (former and former.holds):
            return
        epochs = tuple(e + (q == p) for q, e in enumerate(s.epochs))
        fresh = moves_states.Owner(
            True, moves_states.UNLOADED, "none", 0, None, "held", 1
        )
        owners = list(s.owners)
        owners[p] = (*owners[p], fresh)
        yield f"claim {p}", s._replace(epochs=epochs, owners=tuple(owners))

    def _owner_steps(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.Steps:
        if e < self._bounds.epochs[p]:
            without_starts = s._replace(
                starts=frozenset(
                    x for x in s.starts if (x.partition, x.epoch) != (p, e)
                )
            )
            yield (
                f"owner dies {p}.{e}",
                moves_states.with_owner(without_starts, p, e, None),
            )
            if me.holds:
                ended = me._replace(holds=False)
                yield f"ownership ends {p}.{e}", moves_states.with_owner(s, p, e, ended)
        if me.seen == moves_states.UNLOADED:
            if not me.holds:
                return
            yield f"load {p}.{e}", self._load(s, p, e, me)
            return
        yield from self._use_worker(s, p, e, me)
        yield from self._move(s, p, e, me)

    def _load(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.State:
        mine = s.rows[-1] == p
        if p in s.final:
            task = "final"
        elif p in s.on_fixed_worker:
            task = "fixed_worker"
        else:
            task = recovery.restored_task(True, False, mine) if mine else "waiting"
        number = me.attempt
        me = me._replace(
            seen=len(s.rows) - 1,
            link="open" if mine else "none",
            since_renewal=0,
            task=task,
            attempt=number,
        )
        return moves_states.with_owner(s, p, e, me)

    # Moves

    def _move(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.Steps:
        last = len(s.rows) - 1
        if me.seen < last or (me.link == "none" and s.rows[last] == p):
            yield (
                f"read row {p}.{e}",
                moves_states.with_owner(s, p, e, self._read_row(s, p, me)),
            )
        if me.move is None:
            yield from self._plan(s, p, e, me)
        elif me.move.state == "planned":
            if s.rows[me.seen] != p:
                changed = self._read_row(s, p, me._replace(move=None))
                yield (
                    f"send transaction {p}.{e}: not needed",
                    moves_states.with_owner(s, p, e, changed),
                )
            else:
                yield (
                    f"send transaction {p}.{e}",
                    self._send(s, p, e, me, me.seen, "sent"),
                )
        elif me.move.state in ("sent", "resent"):
            lost = me._replace(move=me.move._replace(state="doubt"))
            yield f"answer lost {p}.{e}", moves_states.with_owner(s, p, e, lost)
        elif me.holds:
            yield from self._resolve(s, p, e, self._read_row(s, p, me))

    def _plan(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.Steps:
        if not me.holds or len(s.rows) >= self._bounds.versions:
            return
        empty = me.task != "worker" and not moves_states.running_or_stopping(s.worker)
        if me.link == "attached" and (empty or not self._rules.drain):
            move = moves_states.Move("planned", me.seen, 1 - p)
            yield (
                f"plan move {p}.{e}",
                moves_states.with_owner(s, p, e, me._replace(move=move)),
            )
        if self._bounds.drops and self._rules.own_drop and me.link == "lost":
            move = moves_states.Move("planned", me.seen, moves_states.UNASSIGNED)
            yield (
                f"plan drop {p}.{e}",
                moves_states.with_owner(s, p, e, me._replace(move=move, link="none")),
            )

    def _send(
        self,
        s: moves_states.State,
        p: int,
        e: int,
        me: moves_states.Owner,
        version: int,
        state: str,
    ) -> moves_states.State:
        repeated = state == "resent"
        write = moves_states.Write(p, e, version, me.move.target, repeated)
        me = me._replace(move=moves_states.Move(state, version, me.move.target))
        after = s._replace(writes=s.writes | {write})
        return moves_states.with_owner(after, p, e, me)

    def _read_row(
        self, s: moves_states.State, p: int, me: moves_states.Owner
    ) -> moves_states.Owner:
        last = len(s.rows) - 1
        link, since_renewal = me.link, me.since_renewal
        dropping = me.move is not None and me.move.target == moves_states.UNASSIGNED
        if link == "none" and s.rows[last] == p and not dropping:
            link, since_renewal = "open", 0
        return me._replace(seen=last, link=link, since_renewal=since_renewal)

    def _resolve(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.Steps:
        mine = s.rows[me.seen] == p
        label = f"resolve {p}.{e}"
        match roster.ambiguous_move_result(me.seen, me.move.version, mine):
            case "repeat":
                yield label, self._send(s, p, e, me, me.move.version, "resent")
            case "moved":
                yield label, self._hand_over(s, p, e, me)
            case _:
                me = me._replace(move=None)
                yield label, moves_states.with_owner(s, p, e, me)

    def _deliver(
        self, s: moves_states.State, write: moves_states.Write
    ) -> moves_states.Steps:
        p, e, version, target, repeated = write
        s = s._replace(writes=s.writes - {write})
        me = s.owners[p][e - 1]
        awaited = _awaits_answer(me, write)
        name = f"{'repeated ' if repeated else ''}transaction of {p}.{e}"
        current = version == len(s.rows) - 1 or not self._rules.version_check
        owned = e == s.epochs[p] or not self._rules.ownership_check
        if current and owned:
            if len(s.rows) > self._bounds.versions:
                return
            s = s._replace(rows=(*s.rows, target))
            if not awaited:
                yield f"{name} commits late", s
                return
            seen = me._replace(seen=len(s.rows) - 1)
            yield f"{name} commits", self._hand_over(s, p, e, seen)
        elif not awaited:
            yield f"{name} conflicts", s
        elif repeated:
            # The first attempt may have taken effect and caused the conflict.
            me = self._read_row(s, p, me._replace(move=me.move._replace(state="doubt")))
            yield (
                f"{name} conflicts",
                moves_states.with_owner(s, p, e, me),
            )
        else:
            me = self._read_row(s, p, me._replace(move=None))
            yield f"{name} conflicts", moves_states.with_owner(s, p, e, me)

    def _doubt(self, s: moves_states.State, p: int, e: int) -> moves_states.State:
        me = s.owners[p][e - 1]
        me = me._replace(move=me.move._replace(state="doubt"))
        return moves_states.with_owner(s, p, e, me)

    def _hand_over(
        self, s: moves_states.State, p: int, e: int, me: moves_states.Owner
    ) -> moves_states.State:
        me = me._replace(move=None)
        if not self._rules.release:
            return moves_states.with_owner(s, p, e, me)
        worker = s.worker
        is_latest = (worker.partition, worker.epochs[p]) == (p, e)
        if (
            me.link == "attached"
            and is_latest
            and not moves_states.running_or_stopping(worker)
        ):
            worker = worker._replace(lease=moves_states.LEASE)
        starts = frozenset(x for x in s.starts if (x.partition, x.epoch) != (p, e))
        me = moves_worker_steps.after_worker_loss(me._replace(link="none"))
        after = s._replace(worker=worker, starts=starts)
        return moves_states.with_owner(after, p, e, me)

    def _write_others(self, s: moves_states.State) -> moves_states.Steps:
        last = s.rows[-1]
        if last == moves_states.UNASSIGNED:
            for p in (0, 1):
                yield f"assign to {p}", s._replace(rows=(*s.rows, p))
        elif len(s.rows) < self._bounds.versions:
            if self._bounds.writes:
                yield "other write", s._replace(rows=(*s.rows, last))
            if self._bounds.drops and not self._rules.own_drop:
                dropped = s._replace(rows=(*s.rows, moves_states.UNASSIGNED))
                yield "drop by another", dropped


def _awaits_answer(me: moves_states.Owner | None, write: moves_states.Write) -> bool:
    """Return whether an owner still waits for the answer to a transaction."""
    if me is None or me.move is None or me.move.version != write.version:
        return False
    return me.move.state == ("resent" if write.repeated else "sent")


def _reduce_ended(s: moves_states.State) -> moves_states.State:
    for p in (0, 1):
        for e, me in enumerate(s.owners[p], 1):
            if me is None or me.holds:
                continue
            # It no longer acts, but what it sent or planned may still take effect.
            planned = me.move is not None and me.move.state == "planned"
            reduced = me._replace(
                seen=me.seen if planned else min(me.seen, 0),
                link="open" if me.link in ("open", "lost") else "none",
                since_renewal=0,
                move=me.move if planned else None,
                task="final",
                attempt=1,
            )
            if e < s.worker.epochs[p]:
                reduced = reduced._replace(link="none")  # would be refused
            if reduced != me:
                s = moves_states.with_owner(s, p, e, reduced)
    worker = s.worker
    ended = frozenset(entry for entry in worker.ended if entry[0] not in s.final)
    if len(ended) != len(worker.ended):
        s = s._replace(worker=worker._replace(ended=ended))
    return s


def _renew_in_time(s: moves_states.State, p: int, e: int) -> moves_states.State:
    """Let time pass while an owner keeps the worker's lease valid."""
    before = s._replace(worker=s.worker._replace(lease=-1))
    after = _pass_time(before)
    me = after.owners[p][e - 1]._replace(since_renewal=0)
    return moves_states.with_owner(after, p, e, me)


def _pass_time(s: moves_states.State) -> moves_states.State:
    owners = tuple(
        tuple(
            me
            and me._replace(
                since_renewal=min(me.since_renewal + 1, moves_states.STOPPED)
            )
            for me in own
        )
        for own in s.owners
    )
    worker = s.worker
    lease = min(worker.lease + 1, moves_states.LEASE)
    ended = worker.ended | worker.stopping
    if lease == moves_states.LEASE:
        running, stopping = frozenset(), worker.running
    else:
        running, stopping = worker.running, frozenset()
    worker = worker._replace(
        lease=lease, running=running, stopping=stopping, ended=ended
    )
    return s._replace(owners=owners, worker=worker)
