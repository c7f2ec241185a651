"""Model of approvals without network and clock: service, tickets, tasks and rounds."""

import heapq
import itertools
import random

from test import coordinator_case as case
from toucanspring.coordinator import catalogue, planner, plans

GANG_QUEUE, CHURN_QUEUE, URGENT_QUEUE = "builds", "labels", "checks"
VALIDITY_S = 2.5
ROUND_S = 0.02


class Model:
    """A cell whose gangs need approval, beside tasks that start and end all the time.

    Each request is answered after the time of the service, and a share of the workers
    is approved. `callers` requests are answered at a time, in the order of `queue`, an
    object with `add(request, now)` and `pop(now)`; without it all are at once.
    """

    def __init__(self, approval, seed=1, workers=60, share=0.7, callers=0, queue=None):
        self.rng = random.Random(seed)
        self.share, self.callers, self.queue = share, callers, queue
        self.cell = case.new_cell(
            *(case.entry(f"w{number}") for number in range(workers)),
            catalogue_=case.configure(
                case.queue(GANG_QUEUE, priority=1, approval=approval),
                case.queue(CHURN_QUEUE, priority=2),
                case.queue(URGENT_QUEUE, priority=0),
            ),
        )
        self.planner = planner.Planner(self.cell)
        self.now = 1.0
        self.started_at, self.requests, self.free_slots = {}, [], []
        self._busy = 0
        self._events, self._sequence = [], itertools.count()
        self._numbers = itertools.count(1)
        self._ends = dict.fromkeys(self.cell.workers, 0)
        self._approved = {}

    def at(self, when, action):
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def submit(self, step, queue):
        job_id = f"{next(self._numbers):016x}"
        self.cell.accept(case.job(job_id, step, queue=queue), self.now)
        return job_id

    def submit_regularly(self, step, queue, per_s, run_s):
        """Submit jobs of one step whose tasks run for up to twice `run_s`."""

        def submit(when):
            self.submit(step, queue)
            then = when + self.rng.expovariate(per_s)
            self.at(then, lambda: submit(then))

        self._run_s = run_s
        self.at(self.now, lambda at=self.now: submit(at))

    def run_until(self, end):
        while self.now < end:
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._round()
            self.now += ROUND_S

    def _round(self):
        plan = self.planner.plan(self.now)
        for start in plan.starts:
            self.cell.confirm_start(start.step, start.task, start.run, self.now)
            self.started_at.setdefault(start.step.job.spec.id, self.now)
            run_s = (
                60.0 if start.step.step.gang else self.rng.random() * self._run_s * 2
            )
            self.at(self.now + run_s, lambda each=start: self._end(each))
        for request in plan.approval_requests:
            self.requests.append((round(self.now, 2), request))
            if self.queue is None:
                self._ask(request)
            else:
                self.queue.add(request, self.now)
        self._dispatch()

    def _dispatch(self):
        while self.queue is not None and self._busy < self.callers:
            request = self.queue.pop(self.now)
            if request is None:
                return
            self._busy += 1
            self._ask(request)

    def _ask(self, request):
        self.at(self.now + request.cost_s, lambda: self._answer(request))

    def _answer(self, request):
        self._busy -= self.queue is not None
        names = [name for name in request.workers if self._is_approved(request, name)]
        tickets = dict.fromkeys(names, "t")
        plans.record_approvals(request, tickets, self.now + VALIDITY_S)
        self._dispatch()

    def _is_approved(self, request, name):
        # The answer for a step and a worker never changes.
        key = (request.step.id, name)
        if key not in self._approved:
            self._approved[key] = self.rng.random() < self.share
        return self._approved[key]

    def _end(self, start):
        worker = start.worker.id
        self._ends[worker] += 1
        task_id = start.step.task_id(start.task.index)
        end = case.ended(self._ends[worker], task_id, start.run)
        case.poll(self.cell, worker, self._others(worker, task_id), [end], self.now)
        self.cell.workers[worker].acked_end = self._ends[worker]

    def _others(self, worker, task_id):
        return [
            case.running(each.step.task_id(each.task.index), each.task.run)
            for each in self.cell.workers[worker].allocations.values()
            if each.step.task_id(each.task.index) != task_id
        ]

    def count_room(self, step):
        """Return for how many tasks of a step the cell has room."""
        return sum(
            step.occupied().count_in(worker.free())
            for worker in self.cell.workers.values()
        )


REBUILD = catalogue.Approval(
    decision_s=0.34, per_worker_s=0.0049, validity_s=VALIDITY_S
)
