"""Steps of an owner that attaches, renews and loses workers and starts tasks."""

from __future__ import annotations

from spec import states
from toucanspring.owners import recovery
from toucanspring.scheduling import attempt


class OwnerSteps:
    """Enumerate the steps of an owner that concern one worker."""

    def __init__(self, rules: states.Rules, bounds: states.Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def steps(self, s: states.State, p: int, w: int) -> states.Steps:
        """Return the steps of owner `p` that concern worker `w`."""
        me, worker = s.processes[p], s.workers[w]
        if not me.attached[w]:
            yield from self._attach(s, p, w)
            if me.since_renewal[w] >= states.WORKER_LEASE or not self._rules.lost_wait:
                yield from self._lose(s, p, w)
            return
        detached = me._replace(attached=states.with_item(me.attached, w, False))
        yield f"stream breaks between {p} and {w}", states.with_process(s, p, detached)
        if me.epoch < worker.epoch:
            return
        if worker.lease or me.since_renewal[w]:
            renewed = s._replace(
                workers=states.with_item(s.workers, w, worker._replace(lease=0))
            )
            renewer = me._replace(
                since_renewal=states.with_item(me.since_renewal, w, 0)
            )
            yield f"renew worker {w} by {p}", states.with_process(renewed, p, renewer)
        for task in states.IDEMPOTENT:
            yield from self._place(s, p, w, task)
        yield from self._write_intent(s, p, w)
        for task, number in worker.ended:
            yield from self._report(s, p, w, task, number)

    def _attach(self, s: states.State, p: int, w: int) -> states.Steps:
        me, worker = s.processes[p], s.workers[w]
        if me.epoch < worker.epoch and self._rules.fence:
            yield (
                f"attach by {p} is fenced",
                states.with_process(s, p, me._replace(epoch=0)),
            )
            return
        # The worker closes older streams of the same epoch, so their starts are lost.
        starts = frozenset(
            start for start in s.starts if (start.epoch, start.worker) != (me.epoch, w)
        )
        known = worker.running | worker.ended
        ended = worker.running
        me = me._replace(attached=states.with_item(me.attached, w, True))
        lost = []
        for task in states.IDEMPOTENT:
            view = states.view_of(me, task)
            attempts = [number for name, number in known if name == task]
            # Running attempts take precedence over ended ones, later over earlier ones.
            attempts.sort(key=lambda n: ((task, n) in worker.running, n), reverse=True)
            mine = (
                view.state in (states.INTENDED, states.STARTING, states.RUNNING)
                and view.worker == w
            )
            if view.state == "held" and attempts:
                view = states.View(states.RUNNING, w, attempts[0], worker.incarnation)
            elif mine and view.attempt in attempts:
                view = states.View(states.RUNNING, w, view.attempt, worker.incarnation)
            elif mine:
                view, is_lost = self._absent(view, worker)
                lost += [task] if is_lost else []
            if not (view.state is states.RUNNING and view.worker == w):
                # No record refers to the attempt, so the worker is told to stop it.
                ended = frozenset(entry for entry in ended if entry[0] != task)
            me = states.with_view(me, task, view)
        workers = states.with_item(
            s.workers, w, worker._replace(epoch=me.epoch, running=ended)
        )
        after = s._replace(workers=workers, starts=starts)
        yield from self._settle(
            f"attach {w} by {p}", states.with_process(after, p, me), p, w, lost
        )

    def _absent(
        self, view: states.View, worker: states.Worker
    ) -> tuple[states.View, bool]:
        """Return the view of a task its worker does not know, and if it is lost."""
        restarted = view.incarnation != worker.incarnation
        match recovery.absent_task(view.state, restarted):
            case "keep":
                return view, False
            case "never_ran":
                return states.waiting(view.attempt + 1), False
        return view, True

    def _lose(self, s: states.State, p: int, w: int) -> states.Steps:
        me = s.processes[p]
        lost = [
            task
            for task in states.IDEMPOTENT
            if states.view_of(me, task).state
            in (states.INTENDED, states.STARTING, states.RUNNING)
            and states.view_of(me, task).worker == w
        ]
        if not lost and me.settled[w]:
            return
        yield from self._settle(f"lose worker {w} by {p}", s, p, w, lost)

    def _settle(
        self, label: str, s: states.State, p: int, w: int, lost: list[str]
    ) -> states.Steps:
        """Apply lost attempts; release held tasks once all workers are settled."""
        me = s.processes[p]
        me = me._replace(settled=states.with_item(me.settled, w, True))
        final = set(s.final)
        for task in lost:
            view = states.view_of(me, task)
            follows = attempt.after_loss(view.state, states.IDEMPOTENT[task])
            if follows == "unknown":
                if me.epoch != s.epoch:
                    yield (
                        f"{label}, log is fenced",
                        states.with_process(s, p, s.processes[p]._replace(epoch=0)),
                    )
                    return
                final.add(task)
                view = states.FINAL
            else:
                view = states.waiting(view.attempt + 1)
            me = states.with_view(me, task, view)
        if all(me.settled) and me.i.state == "held":
            me = me._replace(i=states.waiting(me.i.attempt))
        yield label, states.with_process(s._replace(final=tuple(sorted(final))), p, me)

    def _place(self, s: states.State, p: int, w: int, task: str) -> states.Steps:
        me = s.processes[p]
        view = states.view_of(me, task)
        if view.state != "waiting" or view.attempt > self._bounds.attempts:
            return
        incarnation = s.workers[w].incarnation
        direct = states.IDEMPOTENT[task] or not self._rules.intent_record
        after = s
        if direct:
            after = s._replace(
                starts=s.starts | {states.Start(me.epoch, task, view.attempt, w)}
            )
        state = states.STARTING if direct else states.INTENDED
        me = states.with_view(
            me, task, states.View(state, w, view.attempt, incarnation)
        )
        yield f"place {task} on {w} by {p}", states.with_process(after, p, me)

    def _write_intent(self, s: states.State, p: int, w: int) -> states.Steps:
        me = s.processes[p]
        state, worker, number, incarnation = me.n
        if state is not states.INTENDED or worker != w:
            return
        if me.epoch != s.epoch:
            yield (
                f"intent fails at {p}, log is fenced",
                states.with_process(s, p, me._replace(epoch=0)),
            )
            return
        written = s._replace(intent=states.Intent(w, number, incarnation))
        sent = written._replace(
            starts=s.starts | {states.Start(me.epoch, "N", number, w)}
        )
        started = me._replace(n=states.View(states.STARTING, w, number, incarnation))
        yield f"write intent by {p}", states.with_process(sent, p, started)
        if s.intent != written.intent:
            yield f"intent answer lost by {p}", written
        failed = me._replace(n=states.waiting(number + 1))
        yield f"intent fails at {p}", states.with_process(s, p, failed)

    def _report(
        self, s: states.State, p: int, w: int, task: str, number: int
    ) -> states.Steps:
        me, worker = s.processes[p], s.workers[w]
        if me.epoch != s.epoch:
            yield (
                f"report to {p}, log is fenced",
                states.with_process(s, p, me._replace(epoch=0)),
            )
            return
        view = states.view_of(me, task)
        after = s
        if view.state in (states.STARTING, states.RUNNING) and (
            view.worker,
            view.attempt,
        ) == (w, number):
            after = s._replace(final=tuple(sorted({*s.final, task})))
            me = states.with_view(me, task, states.FINAL)
        forgotten = worker._replace(ended=worker.ended - {(task, number)})
        acknowledged = after._replace(workers=states.with_item(s.workers, w, forgotten))
        yield f"report {task} to {p}", states.with_process(acknowledged, p, me)
        if after is not s:
            yield (
                f"report {task} to {p}, acknowledgement lost",
                states.with_process(after, p, me),
            )
