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

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from toucanspring import attempt, job, ownership, recovery

LEASE = 1  # units of time; a tenure holds while its age is below
WORKER_LEASE = 2
TIMING = ownership.Timing(lease_s=LEASE, promise_s=0, drift=0.0)
IDEMPOTENT = {"I": True, "N": False}
STARTING, RUNNING = job.State.STARTING, job.State.RUNNING
INTENDED = job.State.INTENDED

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
    "renew worker": "toucanspring.fleet.Link",
    "lose worker": "toucanspring.recovery.lose",
    "place": "toucanspring.lifecycle.Lifecycle.start",
    "write intent": "toucanspring.attempt.intents_durable",
    "intent answer lost": "toucanspring.journal.Journal",
    "intent fails": "toucanspring.attempt.intents_failed",
    "start of": "standins.workers.Worker.handle",
    "task": "standins.workers.Worker",
    "report": "toucanspring.attempt.report",
    "restart worker": "standins.workers.Worker",
}


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limit the space; all states within the bounds are visited."""

    workers: int = 1
    epochs: int = 2
    attempts: int = 2
    restarts: int = 0  # of worker 0
    tasks: str = "IN"  # the others are final from the start


@dataclasses.dataclass(frozen=True)
class Rules:
    """Say which rules are in force; removing one must break an invariant."""

    fence: bool = True  # workers refuse lower epochs
    takeover_wait: bool = True  # a claim waits for the owner's lease
    intent_record: bool = True  # a start of N waits for its durable intent
    hold: bool = True  # restored work waits for all workers
    lost_wait: bool = True  # a lost worker's lease must have expired


class Process(NamedTuple):
    """A process; `epoch` is 0 while it does not believe to own the partition.

    `n` and `i` are its views of the tasks: state, worker, attempt and incarnation.
    """

    epoch: int
    age: int  # since its last successful renewal was sent
    renewal: int  # age of a renewal without answer; -1 for none
    written: bool  # whether that renewal has reached the store
    seen: int  # age of the sighting of the other's counter; -1 if that has changed
    attached: tuple[bool, ...]
    settled: tuple[bool, ...]  # attached or lost since the takeover
    waited: tuple[int, ...]  # since it last renewed each worker
    n: tuple
    i: tuple


class Worker(NamedTuple):
    """A worker; `running` and `ended` hold (task, attempt)."""

    epoch: int  # highest seen
    lease: int  # age of the lease
    incarnation: int
    running: frozenset
    ended: frozenset


class State(NamedTuple):
    """The store, the processes, the workers and the starts under way."""

    epoch: int
    owner: int
    intent: tuple | None  # worker, attempt, incarnation
    final: tuple[str, ...]  # tasks with an outcome in the log
    processes: tuple[Process, Process]
    workers: tuple[Worker, ...]
    starts: frozenset  # of (epoch, task, attempt, worker)
    n_runs: int


WAITING = ("waiting", 0, 1, 0)
HELD = ("held", 0, 1, 0)
FINAL = ("final", 0, 0, 0)


def initial(bounds: Bounds) -> State:
    """Return the state in which process 0 owns and has attached all workers."""
    count = bounds.workers
    owner = Process(
        1,
        0,
        -1,
        False,
        -1,
        (True,) * count,
        (True,) * count,
        (0,) * count,
        WAITING if "N" in bounds.tasks else FINAL,
        WAITING if "I" in bounds.tasks else FINAL,
    )
    other = owner._replace(epoch=0, attached=(False,) * count)
    worker = Worker(1, 0, 0, frozenset(), frozenset())
    final = tuple(task for task in IDEMPOTENT if task not in bounds.tasks)
    return State(1, 0, None, final, (owner, other), (worker,) * count, frozenset(), 0)


def put(items: tuple, index: int, item: object) -> tuple:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def holds(process: Process) -> bool:
    """Return whether a process may act as the owner, by its own clock."""
    if not process.epoch:
        return False
    tenure = ownership.renew(ownership.Tenure(), -process.age, TIMING)
    return ownership.judge(tenure, 0) is ownership.Standing.HELD


def _forget(me: Process) -> Process:
    """Return a process without the memory of a partition it does not own."""
    count = len(me.attached)
    return me._replace(
        age=0,
        attached=(False,) * count,
        settled=(False,) * count,
        waited=(0,) * count,
        n=FINAL,
        i=FINAL,
    )


class Model:
    """Enumerate the transitions under some rules and bounds."""

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self.rules = rules
        self.bounds = bounds

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that minicheck checks."""
        return minicheck.Protocol(
            name="ownership",
            candidate=False,
            fields=State._fields,
            initial=initial(self.bounds),
            transitions=self.transitions,
            invariants=INVARIANTS,
        )

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all labelled successors of a state."""
        found = [("time passes", self._pass_time(state))]
        for p in (0, 1):
            found += self._own(state, p)
            if holds(state.processes[p]):
                for w in range(self.bounds.workers):
                    found += self._serve(state, p, w)
        for start in state.starts:
            found += self._deliver(state, start)
        for w in range(self.bounds.workers):
            found += self._work(state, w)
        return [(label, self._reduce(after)) for label, after in found]

    def _reduce(self, s: State) -> State:
        """Drop what can no longer have an effect, which keeps the space small."""
        for p in (0, 1):
            me = s.processes[p]
            reduced = me
            if s.owner == p:
                reduced = reduced._replace(seen=-1)  # it does not claim
            else:
                reduced = reduced._replace(renewal=-1, written=False)
                if not holds(reduced):
                    # It starts nothing any more, and no renewal can resume it.
                    reduced = reduced._replace(epoch=0)
            if not reduced.epoch:
                reduced = _forget(reduced)
            if reduced != me:
                s = s._replace(processes=put(s.processes, p, reduced))
        if self.rules.fence:
            starts = frozenset(
                start for start in s.starts if start[0] >= s.workers[start[3]].epoch
            )
            if len(starts) != len(s.starts):
                s = s._replace(starts=starts)  # they would be refused
        return s

    def _pass_time(self, s: State) -> State:
        processes = tuple(
            p._replace(
                age=min(p.age + 1, LEASE),
                renewal=p.renewal if p.renewal < 0 else min(p.renewal + 1, LEASE),
                seen=p.seen if p.seen < 0 else min(p.seen + 1, LEASE),
                waited=tuple(min(age + 1, WORKER_LEASE) for age in p.waited),
            )
            for p in s.processes
        )
        workers = []
        for worker in s.workers:
            lease = min(worker.lease + 1, WORKER_LEASE)
            if lease >= WORKER_LEASE and worker.running:
                # The lease expired: the tasks are checkpointed and stop.
                ended = worker.ended | worker.running
                worker = worker._replace(running=frozenset(), ended=ended)
            workers.append(worker._replace(lease=lease))
        return s._replace(processes=processes, workers=tuple(workers))

    # Ownership

    def _own(self, s: State, p: int) -> Iterator[tuple[str, State]]:
        me, other = s.processes[p], s.processes[1 - p]
        if me.renewal < 0 and (me.epoch or s.owner == p):
            yield self._step(s, p, "send renewal", renewal=0, written=False)
        if me.renewal >= 0:
            if not me.written:
                stale = s._replace(
                    processes=put(s.processes, 1 - p, other._replace(seen=-1))
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

    def _may_claim(self, me: Process) -> bool:
        if not self.rules.takeover_wait:
            return True
        sighting = ownership.Sighting(1, 1, -me.seen, -me.seen)
        silent = ownership.is_silent(sighting, 1, 0, TIMING)
        return ownership.may_claim(silent, ownership.NEVER, 0, TIMING)

    def _answer_renewal(self, s: State, p: int) -> tuple[str, State]:
        me = s.processes[p]._replace(renewal=-1)
        if s.owner != p:
            me = me._replace(epoch=0)
        elif me.epoch == s.epoch:
            me = me._replace(age=min(me.age, s.processes[p].renewal))
        else:
            # The claim had succeeded although its answer was lost.
            me = self._take_over(s, p, s.processes[p].renewal)._replace(renewal=-1)
        return f"renewal answered to {p}", self._with(s, p, me)

    def _take_over(self, s: State, p: int, age: int) -> Process:
        """Return the process after it has rebuilt its state from the log."""
        count = self.bounds.workers
        nobody = (False,) * count
        views = {}
        for task, idempotent in IDEMPOTENT.items():
            intent = s.intent is not None and not idempotent
            match recovery.restored_task(idempotent, intent, expected=True):
                case _ if task in s.final:
                    views[task] = FINAL
                case "held" if self.rules.hold:
                    views[task] = HELD
                case "attributed":
                    worker, number, incarnation = s.intent
                    views[task] = (STARTING, worker, number, incarnation)
                case _:
                    views[task] = WAITING
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

    def _serve(self, s: State, p: int, w: int) -> Iterator[tuple[str, State]]:
        me, worker = s.processes[p], s.workers[w]
        if not me.attached[w]:
            yield from self._attach(s, p, w)
            if me.waited[w] >= WORKER_LEASE or not self.rules.lost_wait:
                yield from self._lose(s, p, w)
            return
        broken = me._replace(attached=put(me.attached, w, False))
        yield f"stream breaks between {p} and {w}", self._with(s, p, broken)
        if me.epoch < worker.epoch:
            return
        if worker.lease or me.waited[w]:
            renewed = s._replace(workers=put(s.workers, w, worker._replace(lease=0)))
            renewer = me._replace(waited=put(me.waited, w, 0))
            yield f"renew worker {w} by {p}", self._with(renewed, p, renewer)
        for task in IDEMPOTENT:
            yield from self._place(s, p, w, task)
        yield from self._write_intent(s, p, w)
        for task, number in worker.ended:
            yield from self._report(s, p, w, task, number)

    def _attach(self, s: State, p: int, w: int) -> Iterator[tuple[str, State]]:
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
        me = me._replace(attached=put(me.attached, w, True))
        lost = []
        for task in IDEMPOTENT:
            view = self._view(me, task)
            here = [number for name, number in known if name == task]
            mine = view[0] in (INTENDED, STARTING, RUNNING) and view[1] == w
            if view[0] == "held" and here:
                view = (RUNNING, w, here[0], worker.incarnation)
            elif mine and view[2] in here:
                view = (RUNNING, w, view[2], worker.incarnation)
            elif mine:
                view, gone = self._absent(view, worker)
                lost += [task] if gone else []
            if not (view[0] is RUNNING and view[1] == w):
                # Nobody owns it: the worker is told to stop it.
                ended = frozenset(entry for entry in ended if entry[0] != task)
            me = self._seen(me, task, view)
        workers = put(s.workers, w, worker._replace(epoch=me.epoch, running=ended))
        after = s._replace(workers=workers, starts=starts)
        yield from self._settle(
            f"attach {w} by {p}", self._with(after, p, me), p, w, lost
        )

    def _absent(self, view: tuple, worker: Worker) -> tuple[tuple, bool]:
        """Return the view of a task its worker does not know, and if it is final."""
        restarted = view[3] != worker.incarnation
        match recovery.absent_task(view[0], restarted):
            case "keep":
                return view, False
            case "never_ran":
                return ("waiting", 0, view[2] + 1, 0), False
        return view, True

    def _lose(self, s: State, p: int, w: int) -> Iterator[tuple[str, State]]:
        me = s.processes[p]
        lost = [
            task
            for task in IDEMPOTENT
            if self._view(me, task)[0] in (INTENDED, STARTING, RUNNING)
            and self._view(me, task)[1] == w
        ]
        if not lost and me.settled[w]:
            return
        yield from self._settle(f"lose worker {w} by {p}", s, p, w, lost)

    def _settle(
        self, label: str, s: State, p: int, w: int, lost: list[str]
    ) -> Iterator[tuple[str, State]]:
        """Apply lost attempts, and release held work once all workers are settled."""
        me = s.processes[p]
        me = me._replace(settled=put(me.settled, w, True))
        final = set(s.final)
        for task in lost:
            view = self._view(me, task)
            follows = attempt.after_loss(view[0], IDEMPOTENT[task])
            if follows == "unknown":
                if me.epoch != s.epoch:
                    yield (
                        f"{label}, log is fenced",
                        self._with(s, p, s.processes[p]._replace(epoch=0)),
                    )
                    return
                final.add(task)
                view = FINAL
            else:
                view = ("waiting", 0, view[2] + 1, 0)
            me = self._seen(me, task, view)
        if all(me.settled) and me.i[0] == "held":
            me = me._replace(i=("waiting", 0, me.i[2], 0))
        yield label, self._with(s._replace(final=tuple(sorted(final))), p, me)

    def _place(
        self, s: State, p: int, w: int, task: str
    ) -> Iterator[tuple[str, State]]:
        me = s.processes[p]
        view = self._view(me, task)
        if view[0] != "waiting" or view[2] > self.bounds.attempts:
            return
        incarnation = s.workers[w].incarnation
        direct = IDEMPOTENT[task] or not self.rules.intent_record
        after = s
        if direct:
            after = s._replace(starts=s.starts | {(me.epoch, task, view[2], w)})
        state = STARTING if direct else INTENDED
        me = self._seen(me, task, (state, w, view[2], incarnation))
        yield f"place {task} on {w} by {p}", self._with(after, p, me)

    def _write_intent(self, s: State, p: int, w: int) -> Iterator[tuple[str, State]]:
        me = s.processes[p]
        state, worker, number, incarnation = me.n
        if state is not INTENDED or worker != w:
            return
        if me.epoch != s.epoch:
            yield (
                f"intent fails at {p}, log is fenced",
                self._with(s, p, me._replace(epoch=0)),
            )
            return
        written = s._replace(intent=(w, number, incarnation))
        sent = written._replace(starts=s.starts | {(me.epoch, "N", number, w)})
        started = me._replace(n=(STARTING, w, number, incarnation))
        yield f"write intent by {p}", self._with(sent, p, started)
        if s.intent != written.intent:
            yield f"intent answer lost by {p}", written
        failed = me._replace(n=("waiting", 0, number + 1, 0))
        yield f"intent fails at {p}", self._with(s, p, failed)

    def _report(
        self, s: State, p: int, w: int, task: str, number: int
    ) -> Iterator[tuple[str, State]]:
        me, worker = s.processes[p], s.workers[w]
        if me.epoch != s.epoch:
            yield (
                f"report to {p}, log is fenced",
                self._with(s, p, me._replace(epoch=0)),
            )
            return
        view = self._view(me, task)
        after = s
        if view[0] in (STARTING, RUNNING) and view[1:3] == (w, number):
            after = s._replace(final=tuple(sorted({*s.final, task})))
            me = self._seen(me, task, FINAL)
        forgotten = worker._replace(ended=worker.ended - {(task, number)})
        acknowledged = after._replace(workers=put(s.workers, w, forgotten))
        yield f"report {task} to {p}", self._with(acknowledged, p, me)
        if after is not s:
            yield (
                f"report {task} to {p}, acknowledgement lost",
                self._with(after, p, me),
            )

    # Workers

    def _deliver(self, s: State, start: tuple) -> Iterator[tuple[str, State]]:
        epoch, task, number, w = start
        worker = s.workers[w]
        after = s._replace(starts=s.starts - {start})
        fenced = epoch < worker.epoch and self.rules.fence
        known = any(name == task for name, _ in worker.running) or any(
            name == task and number <= other for name, other in worker.ended
        )
        if fenced or known or worker.lease >= WORKER_LEASE:
            yield f"start of {task} refused by {w}", self._refuse(after, start)
            yield f"start of {task} refused by {w}, answer lost", after
            return
        runs = s.n_runs + (task == "N")
        accepted = worker._replace(running=worker.running | {(task, number)})
        after = after._replace(workers=put(s.workers, w, accepted), n_runs=runs)
        yield f"start of {task} arrives at {w}, answer lost", after
        for p, me in enumerate(s.processes):
            view = self._view(me, task)
            mine = me.epoch == epoch and me.attached[w] and view[0] is STARTING
            if mine and view[1:3] == (w, number):
                seen = self._seen(me, task, (RUNNING, *view[1:]))
                yield f"start of {task} arrives at {w}", self._with(after, p, seen)

    def _refuse(self, s: State, start: tuple) -> State:
        epoch, task, number, w = start
        for p, me in enumerate(s.processes):
            view = self._view(me, task)
            mine = me.epoch == epoch and me.attached[w] and view[0] is STARTING
            if mine and view[1:3] == (w, number):
                return self._with(
                    s, p, self._seen(me, task, ("waiting", 0, number + 1, 0))
                )
        return s

    def _work(self, s: State, w: int) -> Iterator[tuple[str, State]]:
        worker = s.workers[w]
        for entry in worker.running:
            ended = worker._replace(
                running=worker.running - {entry}, ended=worker.ended | {entry}
            )
            yield (
                f"task {entry[0]} ends on {w}",
                s._replace(workers=put(s.workers, w, ended)),
            )
        if w == 0 and worker.incarnation < self.bounds.restarts:
            fresh = Worker(
                0, WORKER_LEASE, worker.incarnation + 1, frozenset(), frozenset()
            )
            processes = tuple(
                p._replace(attached=put(p.attached, w, False)) for p in s.processes
            )
            yield (
                f"restart worker {w}",
                s._replace(
                    workers=put(s.workers, w, fresh),
                    processes=processes,
                    starts=frozenset(start for start in s.starts if start[3] != w),
                ),
            )

    # Helpers

    @staticmethod
    def _view(me: Process, task: str) -> tuple:
        return me.n if task == "N" else me.i

    @staticmethod
    def _seen(me: Process, task: str, view: tuple) -> Process:
        return me._replace(n=view) if task == "N" else me._replace(i=view)

    @staticmethod
    def _with(s: State, p: int, me: Process) -> State:
        return s._replace(processes=put(s.processes, p, me))

    def _step(self, s: State, p: int, label: str, **fields) -> tuple[str, State]:
        return f"{label} by {p}", self._with(s, p, s.processes[p]._replace(**fields))


INVARIANTS = {
    "one owner at a time": lambda d: (
        sum(holds(process) for process in d["processes"]) <= 1
    ),
    "a non-idempotent task starts at most once": lambda d: d["n_runs"] <= 1,
    "no task runs in two places": lambda d: all(
        sum(task == name for worker in d["workers"] for name, _ in worker.running) <= 1
        for task in IDEMPOTENT
    ),
    "a non-idempotent task that ran has an intent or an outcome": lambda d: (
        not d["n_runs"] or d["intent"] is not None or "N" in d["final"]
    ),
}
