"""Configured cell, differences between configurations, and specs of their jobs."""

from __future__ import annotations

import dataclasses

from toucanspring import job, resources

APPLY_PREFIX = "apply"


@dataclasses.dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """Availability zone and the region it belongs to."""

    name: str
    region: str = ""
    description: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Organisation; `host` marks the operator of the cell."""

    name: str
    host: bool = False
    description: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Team with its share (a positive weight) and its ceiling in the whole cell."""

    name: str
    organisation: str
    share: float
    ceiling: resources.Resources
    description: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Queue of a team; an `open` one accepts work without a key."""

    name: str
    team: str
    access: str = "keyed"
    description: str = ""

    @property
    def is_open(self) -> bool:
        """Return whether work is accepted without a key."""
        return self.access == "open"


@dataclasses.dataclass(frozen=True, slots=True)
class ClassRule:
    """Limits on requests of one class; times are in seconds.

    `idempotent` applies to all requests of the class; None leaves it to the caller.
    A request is good when it is answered within `within_seconds`.
    """

    timeout_seconds: float
    max_waiting: int = 1000
    idempotent: bool | None = None
    within_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service; `objective` is the percentage of requests that must be good."""

    name: str
    queue: str
    backend_servers: str
    timeout_seconds: float
    retries: int
    classes: dict[job.JobClass, ClassRule]
    default_class: job.JobClass
    objective: float
    description: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobTemplate:
    """Configured job; `after` holds names of templates, `run` numbers its starts."""

    name: str
    team: str
    queue: str
    kind: job.Kind
    task_count: int
    demand: resources.Resources
    run_seconds: float
    job_class: job.JobClass
    deadline_seconds: float | None
    idempotent: bool
    retries: int
    after: tuple[str, ...]
    availability_zones: tuple[str, ...]
    compact: bool
    spread: bool
    payload: bytes
    start: str
    run: int
    description: str = ""

    @property
    def starts_on_apply(self) -> bool:
        """Return whether the job starts when the configuration is applied."""
        return self.start == "apply"


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """All entries of one configuration, by name."""

    name: str = ""
    availability_zones: dict[str, AvailabilityZone] = dataclasses.field(
        default_factory=dict
    )
    organisations: dict[str, Organisation] = dataclasses.field(default_factory=dict)
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    jobs: dict[str, JobTemplate] = dataclasses.field(default_factory=dict)
    largest_task: resources.Resources | None = None


SECTIONS = (
    "availability_zones",
    "organisations",
    "teams",
    "queues",
    "services",
    "jobs",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """Entry that only the new configuration has."""

    section: str
    name: str
    new: object


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """Entry that only the old configuration has."""

    section: str
    name: str
    old: object


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """Entry with changed fields: field -> (old, new)."""

    section: str
    name: str
    fields: dict[str, tuple[object, object]]


Change = Added | Removed | Changed


def diff(old: Cell, new: Cell) -> list[Change]:
    """Return the changes from one cell to another, by section and name."""
    changes: list[Change] = []
    for field in ("name", "largest_task"):
        values = getattr(old, field), getattr(new, field)
        if values[0] != values[1]:
            changes.append(Changed("cell", field, {field: values}))
    for section in SECTIONS:
        before, after = getattr(old, section), getattr(new, section)
        for name in sorted(before.keys() | after.keys()):
            if name not in before:
                changes.append(Added(section, name, after[name]))
            elif name not in after:
                changes.append(Removed(section, name, before[name]))
            elif fields := _changed_fields(before[name], after[name]):
                changes.append(Changed(section, name, fields))
    return changes


def _changed_fields(old: object, new: object) -> dict[str, tuple[object, object]]:
    return {
        field.name: (getattr(old, field.name), getattr(new, field.name))
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    }


def apply_id(template: JobTemplate) -> str:
    """Return the ID of a job that starts when the configuration is applied.

    It depends on the name and the run number only, so that every process submits the
    job under the same ID, and an edit of other fields starts nothing.
    """
    return f"{APPLY_PREFIX}.{template.name}.{template.run}"


def jobs_to_start(old: Cell, new: Cell) -> list[JobTemplate]:
    """Return the templates that start when `new` is applied, in their order."""
    known = {apply_id(item) for item in old.jobs.values() if item.starts_on_apply}
    return [
        item
        for item in new.jobs.values()
        if item.starts_on_apply and apply_id(item) not in known
    ]


def job_spec(
    cell: Cell,
    template: JobTemplate,
    job_id: str,
    overrides: dict[str, object] | None = None,
) -> job.JobSpec:
    """Return the job of a template.

    `overrides` replaces fields of `job.JobSpec`. Without an override of `after`, a
    dependency with `start: apply` is referred to by its `apply_id`, any other one by
    `<job_id>.<name>`, under which `job_specs` submits it.
    """
    fields = {
        "after": _after_ids(cell, template, job_id),
        "name": template.name,
        "team": template.team,
        "queue": template.queue,
        "kind": template.kind,
        "task_count": template.task_count,
        "demand": template.demand,
        "run_seconds": template.run_seconds,
        "idempotent": template.idempotent,
        "job_class": template.job_class,
        "deadline_seconds": template.deadline_seconds,
        "retries": template.retries,
        "availability_zones": template.availability_zones,
        "compact": template.compact,
        "spread": template.spread,
        "payload": template.payload,
    }
    return job.JobSpec(id=job_id, **{**fields, **(overrides or {})})


def job_specs(
    cell: Cell,
    template: JobTemplate,
    job_id: str,
    overrides: dict[str, object] | None = None,
) -> list[job.JobSpec]:
    """Return the job of a template preceded by the dependencies it is submitted with.

    Dependencies with `start: submit` run anew with each submission, under the IDs
    `<job_id>.<name>`; those with `start: apply` already have a job.
    """
    needed: dict[str, JobTemplate] = {}
    pending = [template]
    while pending:
        for name in pending.pop().after:
            dependency = cell.jobs[name]
            if not dependency.starts_on_apply and name not in needed:
                needed[name] = dependency
                pending.append(dependency)
    specs = [
        job_spec(
            cell, item, f"{job_id}.{name}", {"after": _after_ids(cell, item, job_id)}
        )
        for name, item in reversed(needed.items())
    ]
    return [*specs, job_spec(cell, template, job_id, overrides)]


def _after_ids(cell: Cell, template: JobTemplate, root_id: str) -> tuple[str, ...]:
    """Return the job IDs that a template waits for in the submission `root_id`."""
    return tuple(
        apply_id(cell.jobs[name])
        if cell.jobs[name].starts_on_apply
        else f"{root_id}.{name}"
        for name in template.after
    )
