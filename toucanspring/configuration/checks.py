"""Validation rules that involve several entries of the configuration."""

from __future__ import annotations

from typing import Protocol

from toucanspring import job, resources
from toucanspring.configuration import model, syntax, text


class FaultCollector(Protocol):
    """Collector of validation errors."""

    def add(self, path: syntax.Path, value: object, expected: str, reason: str) -> None:
        """Record an error at a path of the configuration."""


def check_jobs(cell: text.Cell, faults: FaultCollector) -> None:
    """Check jobs against teams, queues, the largest worker and one another."""
    for template in cell.jobs.values():
        path = ("jobs", template.name)
        queue = cell.queues[template.queue]
        if queue.team != template.team:
            faults.add(
                (*path, "queue"),
                template.queue,
                f"a queue of team {template.team}",
                f"the queue belongs to team {queue.team}",
            )
        _check_size(cell, template, (*path, "resources"), faults)
        if template.start == "apply":
            for index, name in enumerate(template.after):
                if not cell.jobs[name].starts_on_apply:
                    faults.add(
                        (*path, "after", index),
                        name,
                        "a job with `start: apply`",
                        "depends on a job that nothing starts",
                    )
    _check_cycles(cell, faults)


def _check_size(
    cell: text.Cell,
    template: text.JobTemplate,
    path: syntax.Path,
    faults: FaultCollector,
) -> None:
    demand = template.demand
    if demand.cpus <= 0 or demand.memory <= 0:
        faults.add(path, _show(demand), "cpus and memory above 0", "invalid size")
        return
    if cell.largest_task is not None and not demand.fits(cell.largest_task):
        expected = f"at most {_show(cell.largest_task)}"
        faults.add(path, _show(demand), expected, "larger than the largest worker")
    ceiling = cell.teams[template.team].ceiling
    gang = template.kind is job.Kind.GANG
    total = demand.times(template.task_count) if gang else demand
    if not total.fits(ceiling):
        unit = "gang" if gang else "task"
        faults.add(
            path,
            _show(total),
            f"at most {_show(ceiling)}",
            f"the {unit} exceeds the ceiling of team {template.team}",
        )


def _show(amount: resources.Resources) -> str:
    return (
        f"{amount.cpus / model.MILLICORES_PER_CPU:g} cpus, {amount.memory} MiB, "
        f"{amount.accelerators} accelerators"
    )


def _check_cycles(cell: text.Cell, faults: FaultCollector) -> None:
    """Record each job that depends on itself, once per cycle found."""
    finished: set[str] = set()
    for start in cell.jobs:
        visiting: dict[str, None] = {}
        stack = [(start, iter(cell.jobs[start].after))]
        if start in finished:
            continue
        visiting[start] = None
        while stack:
            name, dependencies = stack[-1]
            dependency = next(dependencies, None)
            if dependency is None:
                finished.add(name)
                del visiting[name]
                stack.pop()
            elif dependency in visiting:
                names = list(visiting)
                cycle = [*names[names.index(dependency) :], dependency]
                index = cell.jobs[name].after.index(dependency)
                faults.add(
                    ("jobs", name, "after", index),
                    " -> ".join(cycle),
                    "dependencies without a cycle",
                    "dependency cycle",
                )
            elif dependency not in finished:
                visiting[dependency] = None
                stack.append((dependency, iter(cell.jobs[dependency].after)))
