"""Measure a planning round of the coordinator with many waiting steps.

The workers are full. Rounds: `unchanged`, nothing has happened since the last round;
`one_end`, one task has ended; `crowded`, as `one_end` with `CROWD` waiting steps;
`approvals`, as `one_end` on a queue whose placements need approval.
"""

import random
import statistics
import time

from bench import work
from toucanspring import resources
from toucanspring.coordinator import (
    catalogue,
    cell_state,
    job_specs,
    planner,
    plans,
    ports,
    reports,
    state,
)

WORKERS = 176
STEPS = 400
CROWD = 2000
ROUNDS = 40
RACK_SIZE = 8
TASKS_PER_STEP = 3
APPROVAL = catalogue.Approval(decision_s=0.05, per_worker_s=0.001, validity_s=2.5)


def make_cell(approval: catalogue.Approval | None) -> cell_state.CellState:
    """Return a cell of idle workers."""
    cell = cell_state.CellState()
    queue = catalogue.Queue(
        name="q", host="h", path_prefix="/q/", pool="p", priority=1, approval=approval
    )
    cell.configure(catalogue.Catalogue(version=1, queues=(queue,)))
    for number in range(WORKERS):
        rack = f"r{number // RACK_SIZE}"
        entry = ports.WorkerEntry(
            id=f"w{number}", pool="p", address="10.0.0.1:80", zone="a", rack=rack,
            labels=frozenset({rack}), capacity=work.PLAIN, incarnation=1,
        )  # fmt: skip
        worker = cell.register_worker(entry)
        reply = ports.PollReply(1, 1, (), ())
        reports.apply_poll_reply(cell, worker, reply, 0.0, 0.0)
    return cell


def add_jobs(cell: cell_state.CellState, rng: random.Random, count: int) -> None:
    """Add jobs of one step of several small tasks."""
    for _ in range(count):
        demand = resources.Resources(rng.randrange(500, 4000, 100), 512, 0)
        step = job_specs.Step(count=TASKS_PER_STEP, demand=demand, estimate_ms=1000)
        name = f"{rng.getrandbits(64):016x}"
        spec = job_specs.Job(
            id=name, queue="q", organisation="", payload="", steps=(step,)
        )
        cell.accept(spec, 1.0)


def plan(cell_planner: planner.Planner, now: float) -> plans.Plan:
    """Plan a round; all workers are approved at once."""
    decided = cell_planner.plan(now)
    for request in decided.approval_requests:
        tickets = dict.fromkeys(request.workers, "t")
        plans.record_approvals(request, tickets, now + APPROVAL.validity_s)
    return decided


def fill(cell: cell_state.CellState, cell_planner: planner.Planner, rng) -> list:
    """Start tasks until no more fit; return the starts."""
    filling = job_specs.Step(
        count=WORKERS * 64, demand=resources.Resources(500, 1024, 0)
    )
    spec = job_specs.Job(
        id="f" * 16, queue="q", organisation="", payload="", steps=(filling,)
    )
    cell.accept(spec, 0.0)
    starts = []
    for round_number in range(400):
        starts += plan(cell_planner, 1.0 + round_number / 100).starts
    for start in starts:
        cell.confirm_start(start.step, start.task, start.run, 1.0)
    cell.cancel("f" * 16, 5.0)
    cell.stops.clear()
    rng.shuffle(starts)
    return starts


def measure(seed: int, steps: int, ends: int, approval=None) -> list[float]:
    """Return the milliseconds of each round."""
    rng = random.Random(seed)
    cell = make_cell(approval)
    cell_planner = planner.Planner(cell)
    running = fill(cell, cell_planner, rng)
    add_jobs(cell, rng, steps)
    now = 6.0
    for _ in range(5):
        now += 0.01
        plan(cell_planner, now)
    spent = []
    for _ in range(ROUNDS):
        now += 0.01
        for _ in range(ends):
            start = running.pop()
            cell.release(start.step, start.task)
            start.task.phase = state.TaskPhase.DONE
        started = time.perf_counter()
        plan(cell_planner, now)
        spent.append((time.perf_counter() - started) * 1000)
    return spent


def main() -> None:
    """Measure all rounds."""
    seed = work.parse_seed()
    found = {
        "unchanged": measure(seed, STEPS, 0),
        "one_end": measure(seed, STEPS, 1),
        "crowded": measure(seed, CROWD, 1),
        "approvals": measure(seed, STEPS, 1, APPROVAL),
    }
    figures = {}
    for name, spent in found.items():
        figures[f"{name}_ms"] = statistics.median(spent)
        figures[f"{name}_max_ms"] = max(spent)
    work.print_result(bench="planning", seed=seed, **figures)


if __name__ == "__main__":
    main()
