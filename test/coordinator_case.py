"""Builders of cells, workers and jobs for tests of the coordinator."""

from toucanspring import resources
from toucanspring.coordinator import (
    catalogue,
    cell_state,
    job_specs,
    ports,
    reports,
    state,
)

QUEUE = "builds"
POOL = "pool"
# The organisation of the jobs; it has no limits and no share.
DESK = catalogue.Organisation(name="desk", keys=frozenset(), weight=0.0)


def queue(name=QUEUE, **changes):
    values = {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "pool": POOL,
        "max_attempts": 2,
        "stretch": 2.0,
        "target_s": 1.0,
    }
    return catalogue.Queue(**{**values, **changes})


def configure(*queues, organisations=()):
    return catalogue.Catalogue(
        version=1,
        queues=queues or (queue(),),
        organisations={each.name: each for each in (DESK, *organisations)},
    )


def entry(name="w1", cpus=32_000, memory=65_536, **changes):
    values = {
        "id": name,
        "pool": POOL,
        "address": "10.0.0.1:80",
        "zone": "zone-a",
        "rack": "r1",
        "labels": frozenset({"a", "r1"}),
        "capacity": resources.Resources(cpus, memory, 0),
        "incarnation": 1,
    }
    return ports.WorkerEntry(**{**values, **changes})


def step(count=1, cpus=1000, memory=1024, **changes):
    demand = resources.Resources(cpus, memory, 0)
    return job_specs.Step(count=count, demand=demand, estimate_ms=1000, **changes)


def job(job_id="0" * 16, *steps, **changes):
    values = {
        "id": job_id,
        "queue": QUEUE,
        "organisation": "desk",
        "payload": "",
        "steps": steps or (step(),),
    }
    return job_specs.Job(**{**values, **changes})


def new_cell(*entries, now=0.0, catalogue_=None):
    """Return a cell whose workers have replied to one poll."""
    cell = cell_state.CellState()
    cell.configure(catalogue_ or configure())
    for each in entries or (entry(),):
        worker = cell.register_worker(each)
        poll(cell, worker.id, now=now)
    return cell


def poll(cell, worker_id, running=(), ended=(), now=0.0, incarnation=1, sent_at=None):
    """Apply the reply of a worker to a poll."""
    answer = ports.PollReply(
        round(now * 1000) + 1, incarnation, tuple(running), tuple(ended)
    )
    worker = cell.workers[worker_id]
    sent = now if sent_at is None else sent_at
    return reports.apply_poll_reply(cell, worker, answer, sent, now)


def running(task, run=1, checkpoint="", percent=10):
    return ports.RunningTask(task, run, checkpoint, percent)


def ended(number, task, run=1, how="done", checkpoint=""):
    return ports.EndedTask(number, task, run, how, checkpoint)


def confirm(cell, plan, now=0.0):
    """Confirm all starts of a plan."""
    for start in plan.starts:
        cell.confirm_start(start.step, start.task, start.run, now)


def phases(cell, job_id="0" * 16, number=0):
    run = cell.jobs[job_id].steps[0, number]
    return [task.phase for task in run.tasks]


WAITING = state.TaskPhase.WAITING
RUNNING = state.TaskPhase.RUNNING
STOPPING = state.TaskPhase.STOPPING
DONE = state.TaskPhase.DONE
