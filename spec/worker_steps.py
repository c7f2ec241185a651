"""Steps of workers: starts that arrive, ends of tasks and restarts."""

from __future__ import annotations

from spec import states


class WorkerSteps:
    """Enumerate the steps of workers."""

    def __init__(self, rules: states.Rules, bounds: states.Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def deliver(self, s: states.State, start: states.Start) -> states.Steps:
        """Return the possible effects of a start message that reaches its worker."""
        epoch, task, number, w = start
        worker = s.workers[w]
        after = s._replace(starts=s.starts - {start})
        fenced = epoch < worker.epoch and self._rules.fence
        known = any(name == task for name, _ in worker.running) or any(
            name == task and number <= other for name, other in worker.ended
        )
        if fenced or known or worker.lease >= states.WORKER_LEASE:
            yield f"start of {task} refused by {w}", _refuse(after, start)
            yield f"start of {task} refused by {w}, answer lost", after
            return
        runs = s.n_runs + (task == "N")
        accepted = worker._replace(running=worker.running | {(task, number)})
        after = after._replace(
            workers=states.with_item(s.workers, w, accepted), n_runs=runs
        )
        yield f"start of {task} arrives at {w}, answer lost", after
        for p, me in enumerate(s.processes):
            view = states.view_of(me, task)
            mine = (
                me.epoch == epoch and me.attached[w] and view.state is states.STARTING
            )
            if mine and (view.worker, view.attempt) == (w, number):
                seen = states.with_view(me, task, view._replace(state=states.RUNNING))
                yield (
                    f"start of {task} arrives at {w}",
                    states.with_process(after, p, seen),
                )

    def local_steps(self, s: states.State, w: int) -> states.Steps:
        """Return the steps of worker `w` that need no message."""
        worker = s.workers[w]
        for entry in worker.running:
            ended = worker._replace(
                running=worker.running - {entry}, ended=worker.ended | {entry}
            )
            yield (
                f"task {entry[0]} ends on {w}",
                s._replace(workers=states.with_item(s.workers, w, ended)),
            )
        if w == 0 and worker.incarnation < self._bounds.restarts:
            fresh = states.Worker(
                0, states.WORKER_LEASE, worker.incarnation + 1, frozenset(), frozenset()
            )
            processes = tuple(
                p._replace(attached=states.with_item(p.attached, w, False))
                for p in s.processes
            )
            yield (
                f"restart worker {w}",
                s._replace(
                    workers=states.with_item(s.workers, w, fresh),
                    processes=processes,
                    starts=frozenset(start for start in s.starts if start.worker != w),
                ),
            )


def _refuse(s: states.State, start: states.Start) -> states.State:
    epoch, task, number, w = start
    for p, me in enumerate(s.processes):
        view = states.view_of(me, task)
        mine = me.epoch == epoch and me.attached[w] and view.state is states.STARTING
        if mine and (view.worker, view.attempt) == (w, number):
            return states.with_process(
                s, p, states.with_view(me, task, states.waiting(number + 1))
            )
    return s
