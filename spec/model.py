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

from collections.abc import Iterator

import minicheck

from spec import world
from toucanspring import attempt, ownership, recovery

# Action -> the function of the product that implements it.
ACTIONS = {
    "time passes": "toucanspring.ownership.judge",
    "send renewal": "toucanspring.ownership.renew",
    "renewal reaches store": "toucanspring.ownership.observe",
    "renewal answered": "toucanspring.ownership.renew",
    "renewal answer lost": "toucanspring.ownership.judge",
    "read member row": "toucanspring.ownership.observe",
    "claim": "toucanspring.ownership.may_claim",
    "claim answer lost": "toucanspring.ownership.may_claim",
    "attach": "toucanspring.recovery.attach",
    "stream breaks": "toucanspring.scheduler.Scheduler.starts_unanswered",
    "renew worker": "toucanspring.worker_link.Link",
    "lose worker": "toucanspring.recovery.lose",
    "place": "toucanspring.lifecycle.Lifecycle.start",
    "write intent": "toucanspring.attempt.intents_durable",
    "intent answer lost": "toucanspring.journal.Journal",
    "intent fails": "toucanspring.attempt.intents_failed",
    "start of": "standins.worker.Worker.handle",
    "task": "standins.worker.Worker",
    "report": "toucanspring.attempt.report",
    "restart worker": "standins.worker.Worker",
}


class Model:
    """Enumerate the transitions under some rules and bounds."""

    def __init__(self, rules: world.Rules, bounds: world.Bounds) -> None:
        self.rules = rules
        self.bounds = bounds

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that minicheck checks."""
        return minicheck.Protocol(
            name="ownership",
            candidate=False,
            fields=world.State._fields,
            initial=world.initial(self.bounds),
            transitions=self.transitions,
            invariants=world.INVARIANTS,
        )

    def transitions(self, state: world.State) -> list[tuple[str, world.State]]:
        """Return all labelled successors of a state."""
        found = [("time passes", self._pass_time(state))]
        for p in (0, 1):
            found += self._own(state, p)
            if world.holds(state.processes[p]):
                for w in range(self.bounds.workers):
                    found += self._serve(state, p, w)
        for start in state.starts:
            found += self._deliver(state, start)
        for w in range(self.bounds.workers):
            found += self._work(state, w)
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
        if self.rules.fence:
            starts = frozenset(
                start for start in s.starts if start[0] >= s.workers[start[3]].epoch
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

    # Ownership

    def _own(self, s: world.State, p: int) -> Iterator[tuple[str, world.State]]:
        me, other = s.processes[p], s.processes[1 - p]
        if me.renewal < 0 and (me.epoch or s.owner == p):
            yield self._step(s, p, "send renewal", renewal=0, written=False)
        if me.renewal >= 0:
            if not me.written:
                stale = s._replace(
                    processes=world.put(s.processes, 1 - p, other._replace(seen=-1))
                )
                yield self._step(stale, p, "renewal reaches store", written=True)
            else:
                yield self._answer_renewal(s, p)
                yield self._step(s, p, "renewal answer lost", renewal=-1)
        if s.owner == p:
            return
        if me.seen < 0:
            yield self._step(s, p, "read member row", seen=0)
        elif s.epoch < self.bounds.epochs and self._may_claim(me):
            claimed = s._replace(epoch=s.epoch + 1, owner=p)
            owner = self._take_over(claimed, p, 0)
            yield f"claim by {p}", self._with(claimed, p, owner)
            lost = me._replace(epoch=0)
            yield f"claim answer lost by {p}", self._with(claimed, p, lost)

    def _may_claim(self, me: world.Process) -> bool:
        if not self.rules.takeover_wait:
            return True
        sighting = ownership.Sighting(1, 1, -me.seen, -me.seen)
        silent = ownership.is_silent(sighting, 1, 0, world.TIMING)
        return ownership.may_claim(silent, ownership.NEVER, 0, world.TIMING)

    def _answer_renewal(self, s: world.State, p: int) -> tuple[str, world.State]:
        me = s.processes[p]._replace(renewal=-1)
        if s.owner != p:
            me = me._replace(epoch=0)
        elif me.epoch == s.epoch:
            me = me._replace(age=min(me.age, s.processes[p].renewal))
        else:
            # The claim had succeeded although its answer was lost.
            me = self._take_over(s, p, s.processes[p].renewal)._replace(renewal=-1)
        return f"renewal answered to {p}", self._with(s, p, me)

    def _take_over(self, s: world.State, p: int, age: int) -> world.Process:
        """Return the process after it has rebuilt its state from the log."""
        count = self.bounds.workers
        nobody = (False,) * count
        views = {}
        for task, idempotent in world.IDEMPOTENT.items():
            intent = s.intent is not None and not idempotent
            match recovery.restored_task(idempotent, intent, expected=True):
                case _ if task in s.final:
                    views[task] = world.FINAL
                case "held" if self.rules.hold:
                    views[task] = world.HELD
                case "attributed":
                    worker, number, incarnation = s.intent
                    views[task] = (world.STARTING, worker, number, incarnation)
                case _:
                    views[task] = world.WAITING
        return s.processes[p]._replace(
            epoch=s.epoch,
            age=age,
            attached=nobody,
            settled=nobody,
            waited=(0,) * count,
            n=views["N"],
            i=views["I"],
        )

    # The owner and its workers

    def _serve(
        self, s: world.State, p: int, w: int
    ) -> Iterator[tuple[str, world.State]]:
        me, worker = s.processes[p], s.workers[w]
        if not me.attached[w]:
            yield from self._attach(s, p, w)
            if me.waited[w] >= world.WORKER_LEASE or not self.rules.lost_wait:
                yield from self._lose(s, p, w)
            return
        broken = me._replace(attached=world.put(me.attached, w, False))
        yield f"stream breaks between {p} and {w}", self._with(s, p, broken)
        if me.epoch < worker.epoch:
            return
        if worker.lease or me.waited[w]:
            renewed = s._replace(
                workers=world.put(s.workers, w, worker._replace(lease=0))
            )
            renewer = me._replace(waited=world.put(me.waited, w, 0))
            yield f"renew worker {w} by {p}", self._with(renewed, p, renewer)
        for task in world.IDEMPOTENT:
            yield from self._place(s, p, w, task)
        yield from self._write_intent(s, p, w)
        for task, number in worker.ended:
            yield from self._report(s, p, w, task, number)

    def _attach(
        self, s: world.State, p: int, w: int
    ) -> Iterator[tuple[str, world.State]]:
        me, worker = s.processes[p], s.workers[w]
        if me.epoch < worker.epoch and self.rules.fence:
            yield f"attach by {p} is fenced", self._with(s, p, me._replace(epoch=0))
            return
        # The worker closes older streams of the same epoch, so their starts are lost.
        starts = frozenset(
            start for start in s.starts if (start[0], start[3]) != (me.epoch, w)
        )
        known = worker.running | worker.ended
        ended = worker.running
        me = me._replace(attached=world.put(me.attached, w, True))
        lost = []
        for task in world.IDEMPOTENT:
            view = self._view(me, task)
            here = [number for name, number in known if name == task]
            # Running attempts count before ended ones, the latest first.
            here.sort(key=lambda n: ((task, n) in worker.running, n), reverse=True)
            mine = (
                view[0] in (world.INTENDED, world.STARTING, world.RUNNING)
                and view[1] == w
            )
            if view[0] == "held" and here:
                view = (world.RUNNING, w, here[0], worker.incarnation)
            elif mine and view[2] in here:
                view = (world.RUNNING, w, view[2], worker.incarnation)
            elif mine:
                view, gone = self._absent(view, worker)
                lost += [task] if gone else []
            if not (view[0] is world.RUNNING and view[1] == w):
                # Nobody owns it: the worker is told to stop it.
                ended = frozenset(entry for entry in ended if entry[0] != task)
            me = self._seen(me, task, view)
        workers = world.put(
            s.workers, w, worker._replace(epoch=me.epoch, running=ended)
        )
        after = s._replace(workers=workers, starts=starts)
        yield from self._settle(
            f"attach {w} by {p}", self._with(after, p, me), p, w, lost
        )

    def _absent(self, view: tuple, worker: world.Worker) -> tuple[tuple, bool]:
        """Return the view of a task its worker does not know, and if it is final."""
        restarted = view[3] != worker.incarnation
        match recovery.absent_task(view[0], restarted):
            case "keep":
                return view, False
            case "never_ran":
                return ("waiting", 0, view[2] + 1, 0), False
        return view, True

    def _lose(
        self, s: world.State, p: int, w: int
    ) -> Iterator[tuple[str, world.State]]:
        me = s.processes[p]
        lost = [
            task
            for task in world.IDEMPOTENT
            if self._view(me, task)[0]
            in (world.INTENDED, world.STARTING, world.RUNNING)
            and self._view(me, task)[1] == w
        ]
        if not lost and me.settled[w]:
            return
        yield from self._settle(f"lose worker {w} by {p}", s, p, w, lost)

    def _settle(
        self, label: str, s: world.State, p: int, w: int, lost: list[str]
    ) -> Iterator[tuple[str, world.State]]:
        """Apply lost attempts, and release held work once all workers are settled."""
        me = s.processes[p]
        me = me._replace(settled=world.put(me.settled, w, True))
        final = set(s.final)
        for task in lost:
            view = self._view(me, task)
            follows = attempt.after_loss(view[0], world.IDEMPOTENT[task])
            if follows == "unknown":
                if me.epoch != s.epoch:
                    yield (
                        f"{label}, log is fenced",
                        self._with(s, p, s.processes[p]._replace(epoch=0)),
                    )
                    return
                final.add(task)
                view = world.FINAL
            else:
                view = ("waiting", 0, view[2] + 1, 0)
            me = self._seen(me, task, view)
        if all(me.settled) and me.i[0] == "held":
            me = me._replace(i=("waiting", 0, me.i[2], 0))
        yield label, self._with(s._replace(final=tuple(sorted(final))), p, me)

    def _place(
        self, s: world.State, p: int, w: int, task: str
    ) -> Iterator[tuple[str, world.State]]:
        me = s.processes[p]
        view = self._view(me, task)
        if view[0] != "waiting" or view[2] > self.bounds.attempts:
            return
        incarnation = s.workers[w].incarnation
        direct = world.IDEMPOTENT[task] or not self.rules.intent_record
        after = s
        if direct:
            after = s._replace(starts=s.starts | {(me.epoch, task, view[2], w)})
        state = world.STARTING if direct else world.INTENDED
        me = self._seen(me, task, (state, w, view[2], incarnation))
        yield f"place {task} on {w} by {p}", self._with(after, p, me)

    def _write_intent(
        self, s: world.State, p: int, w: int
    ) -> Iterator[tuple[str, world.State]]:
        me = s.processes[p]
        state, worker, number, incarnation = me.n
        if state is not world.INTENDED or worker != w:
            return
        if me.epoch != s.epoch:
            yield (
                f"intent fails at {p}, log is fenced",
                self._with(s, p, me._replace(epoch=0)),
            )
            return
        written = s._replace(intent=(w, number, incarnation))
        sent = written._replace(starts=s.starts | {(me.epoch, "N", number, w)})
        started = me._replace(n=(world.STARTING, w, number, incarnation))
        yield f"write intent by {p}", self._with(sent, p, started)
        if s.intent != written.intent:
            yield f"intent answer lost by {p}", written
        failed = me._replace(n=("waiting", 0, number + 1, 0))
        yield f"intent fails at {p}", self._with(s, p, failed)

    def _report(
        self, s: world.State, p: int, w: int, task: str, number: int
    ) -> Iterator[tuple[str, world.State]]:
        me, worker = s.processes[p], s.workers[w]
        if me.epoch != s.epoch:
            yield (
                f"report to {p}, log is fenced",
                self._with(s, p, me._replace(epoch=0)),
            )
            return
        view = self._view(me, task)
        after = s
        if view[0] in (world.STARTING, world.RUNNING) and view[1:3] == (w, number):
            after = s._replace(final=tuple(sorted({*s.final, task})))
            me = self._seen(me, task, world.FINAL)
        forgotten = worker._replace(ended=worker.ended - {(task, number)})
        acknowledged = after._replace(workers=world.put(s.workers, w, forgotten))
        yield f"report {task} to {p}", self._with(acknowledged, p, me)
        if after is not s:
            yield (
                f"report {task} to {p}, acknowledgement lost",
                self._with(after, p, me),
            )

    # Workers

    def _deliver(
        self, s: world.State, start: tuple
    ) -> Iterator[tuple[str, world.State]]:
        epoch, task, number, w = start
        worker = s.workers[w]
        after = s._replace(starts=s.starts - {start})
        fenced = epoch < worker.epoch and self.rules.fence
        known = any(name == task for name, _ in worker.running) or any(
            name == task and number <= other for name, other in worker.ended
        )
        if fenced or known or worker.lease >= world.WORKER_LEASE:
            yield f"start of {task} refused by {w}", self._refuse(after, start)
            yield f"start of {task} refused by {w}, answer lost", after
            return
        runs = s.n_runs + (task == "N")
        accepted = worker._replace(running=worker.running | {(task, number)})
        after = after._replace(workers=world.put(s.workers, w, accepted), n_runs=runs)
        yield f"start of {task} arrives at {w}, answer lost", after
        for p, me in enumerate(s.processes):
            view = self._view(me, task)
            mine = me.epoch == epoch and me.attached[w] and view[0] is world.STARTING
            if mine and view[1:3] == (w, number):
                seen = self._seen(me, task, (world.RUNNING, *view[1:]))
                yield f"start of {task} arrives at {w}", self._with(after, p, seen)

    def _refuse(self, s: world.State, start: tuple) -> world.State:
        epoch, task, number, w = start
        for p, me in enumerate(s.processes):
            view = self._view(me, task)
            mine = me.epoch == epoch and me.attached[w] and view[0] is world.STARTING
            if mine and view[1:3] == (w, number):
                return self._with(
                    s, p, self._seen(me, task, ("waiting", 0, number + 1, 0))
                )
        return s

    def _work(self, s: world.State, w: int) -> Iterator[tuple[str, world.State]]:
        worker = s.workers[w]
        for entry in worker.running:
            ended = worker._replace(
                running=worker.running - {entry}, ended=worker.ended | {entry}
            )
            yield (
                f"task {entry[0]} ends on {w}",
                s._replace(workers=world.put(s.workers, w, ended)),
            )
        if w == 0 and worker.incarnation < self.bounds.restarts:
            fresh = world.Worker(
                0, world.WORKER_LEASE, worker.incarnation + 1, frozenset(), frozenset()
            )
            processes = tuple(
                p._replace(attached=world.put(p.attached, w, False))
                for p in s.processes
            )
            yield (
                f"restart worker {w}",
                s._replace(
                    workers=world.put(s.workers, w, fresh),
                    processes=processes,
                    starts=frozenset(start for start in s.starts if start[3] != w),
                ),
            )

    # Helpers

    @staticmethod
    def _view(me: world.Process, task: str) -> tuple:
        return me.n if task == "N" else me.i

    @staticmethod
    def _seen(me: world.Process, task: str, view: tuple) -> world.Process:
        return me._replace(n=view) if task == "N" else me._replace(i=view)

    @staticmethod
    def _with(s: world.State, p: int, me: world.Process) -> world.State:
        return s._replace(processes=world.put(s.processes, p, me))

    def _step(
        self, s: world.State, p: int, label: str, **fields
    ) -> tuple[str, world.State]:
        return f"{label} by {p}", self._with(s, p, s.processes[p]._replace(**fields))
