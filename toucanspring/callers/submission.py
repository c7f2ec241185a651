"""Job submissions of callers, and their conversion to job specs."""

from __future__ import annotations

import secrets
from typing import Annotated

import msgspec

from toucanspring import errors, job, resources
from toucanspring.callers import api
from toucanspring.configuration import model, text

MAX_JOBS = 1000
MAX_TASKS = 10_000
MAX_AFTER = 100


class Submission(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One job of a call; fields that are set override those of `template`."""

    id: str = ""
    name: str = ""
    template: str = ""
    team: str = ""
    queue: str = ""
    kind: job.Kind | None = None
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] | None = None
    resources: model.Amounts | None = None
    run_time: model.Quantity | None = None
    job_class: job.JobClass | None = msgspec.field(name="class", default=None)
    deadline: model.Quantity | None = None
    idempotent: bool | None = None
    retries: Annotated[int, msgspec.Meta(ge=0, le=model.MAX_RETRIES)] | None = None
    after: Annotated[list[str], msgspec.Meta(max_length=MAX_AFTER)] | None = None
    zones: list[str] | None = None
    placement: str | None = None
    payload: str | None = None
    payload_base64: bytes | None = None


class BulkSubmission(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/jobs`."""

    jobs: Annotated[list[Submission], msgspec.Meta(min_length=1, max_length=MAX_JOBS)]


class NotConfigured(api.ApiError):
    """Raised for a job that the known configuration does not allow."""


def _invalid(
    path: str,
    value: object,
    expected: str,
    reason: str,
    kind: type[api.ApiError] = api.ApiError,
) -> api.ApiError:
    return kind(
        errors.Invalid(
            reason=reason, path=path, value=str(value)[:80], expected=expected
        )
    )


def _seconds(path: str, quantity: model.Quantity) -> float:
    seconds = model.read_seconds(quantity)
    if seconds is None:
        raise _invalid(path, quantity, "a time such as 90 s or 2 h", "invalid duration")
    return seconds


def _demand(path: str, amounts: model.Amounts) -> resources.Resources:
    cpus = model.read_millicores(amounts.cpus)
    memory = model.read_memory(amounts.memory)
    if not cpus or not memory:
        expected = "cpus and memory above 0, such as 0.5 and 512 MiB"
        raise _invalid(path, amounts, expected, "invalid size")
    return resources.Resources(cpus, memory, amounts.accelerators)


def _overrides(cell: text.Cell, item: Submission, path: str) -> dict[str, object]:
    """Return the fields of `job.JobSpec` that a submission sets."""
    fields: dict[str, object] = {}
    for name, value in (
        ("name", item.name or None),
        ("kind", item.kind),
        ("task_count", item.tasks),
        ("job_class", item.job_class),
        ("idempotent", item.idempotent),
        ("retries", item.retries),
    ):
        if value is not None:
            fields[name] = value
    if item.resources is not None:
        fields["demand"] = _demand(f"{path}.resources", item.resources)
    if item.run_time is not None:
        fields["run_seconds"] = _seconds(f"{path}.run_time", item.run_time)
    if item.deadline is not None:
        fields["deadline_seconds"] = _seconds(f"{path}.deadline", item.deadline)
    if item.after is not None:
        fields["after"] = tuple(api.check_id(other, "after") for other in item.after)
    _override_placement(cell, item, path, fields)
    payload = item.payload_base64
    if item.payload is not None:
        payload = item.payload.encode()
    if payload is not None:
        if len(payload) > model.MAX_PAYLOAD_BYTES:
            expected = f"at most {model.MAX_PAYLOAD_BYTES} bytes"
            value = f"{len(payload)} bytes"
            raise _invalid(f"{path}.payload", value, expected, "oversized payload")
        fields["payload"] = payload
    return fields


def _override_placement(
    cell: text.Cell, item: Submission, path: str, fields: dict[str, object]
) -> None:
    if item.zones is not None:
        for zone in item.zones:
            if zone not in cell.availability_zones:
                expected = "an availability zone of the configuration"
                raise _invalid(
                    f"{path}.zones", zone, expected, "unknown name", NotConfigured
                )
        fields["availability_zones"] = tuple(item.zones)
    if item.placement is not None:
        if item.placement not in ("any", "compact", "spread"):
            expected = "any, compact or spread"
            raise _invalid(
                f"{path}.placement", item.placement, expected, "invalid value"
            )
        fields["compact"] = item.placement == "compact"
        fields["spread"] = item.placement == "spread"


def _template(cell: text.Cell, item: Submission, path: str) -> text.JobTemplate | None:
    if not item.template:
        if not item.queue:
            raise _invalid(
                f"{path}.queue", "", "a queue or a template", "missing queue"
            )
        if item.resources is None:
            raise _invalid(
                f"{path}.resources", "", "cpus and memory", "missing resources"
            )
        return None
    template = cell.jobs.get(item.template)
    if template is None:
        expected = "a job of the configuration"
        raise _invalid(
            f"{path}.template", item.template, expected, "unknown name", NotConfigured
        )
    if item.queue and item.queue != template.queue:
        raise _invalid(
            f"{path}.queue",
            item.queue,
            template.queue,
            "the template belongs to another queue",
        )
    return template


class JobSpecBuilder:
    """Convert the submissions of one call to job specs, and check the key for each."""

    def __init__(self, cell: text.Cell, access: api.Access, secret: str | None) -> None:
        self._cell = cell
        self._access = access
        self._secret = secret
        self._team: str | None = None  # team of the key, once looked up

    def build(self, item: Submission, path: str) -> list[job.JobSpec]:
        """Return the job of a submission after the dependencies of its template."""
        cell = self._cell
        template = _template(cell, item, path)
        name = template.queue if template else item.queue
        queue = cell.queues.get(name)
        if queue is None:
            expected = "a queue of the configuration"
            raise _invalid(
                f"{path}.queue", name, expected, "unknown name", NotConfigured
            )
        if item.team and item.team != queue.team:
            raise _invalid(
                f"{path}.team",
                item.team,
                queue.team,
                "the queue belongs to another team",
            )
        job_id = self._authorise(item, queue, path)
        fields = _overrides(cell, item, path)
        if template is None:
            fields.setdefault("name", job_id)
            specs = [
                job.JobSpec(id=job_id, team=queue.team, queue=queue.name, **fields)
            ]
        else:
            specs = text.job_specs(cell, template, job_id, fields)
        self._check_size(specs[-1], path)
        return specs

    def _authorise(self, item: Submission, queue: text.Queue, path: str) -> str:
        """Check the key against the queue and return the ID of the job."""
        if not queue.is_open:
            if self._secret is None:
                raise api.ApiError(
                    errors.Forbidden(reason=f"queue {queue.name} needs a team key"), 401
                )
            if self._team is None:
                self._team = self._access.team(self._secret)
            if self._team != queue.team:
                reason = f"queue {queue.name} belongs to another team than the key"
                raise api.ApiError(errors.Forbidden(reason=reason))
        prefix = api.OPEN_PREFIX if queue.is_open else ""
        if not item.id:
            return f"{prefix}{secrets.token_hex(10)}"
        api.check_id(item.id, f"{path}.id")
        if item.id.startswith(api.OPEN_PREFIX) != queue.is_open:
            expected = (
                f"an ID that starts with {api.OPEN_PREFIX}"
                if queue.is_open
                else f"an ID that does not start with {api.OPEN_PREFIX}"
            )
            raise _invalid(
                f"{path}.id", item.id, expected, "the ID prefix does not fit the queue"
            )
        return item.id

    def _check_size(self, spec: job.JobSpec, path: str) -> None:
        gang = spec.kind is job.Kind.GANG
        together = spec.demand.times(spec.task_count) if gang else spec.demand
        ceiling = self._cell.teams[spec.team].ceiling
        largest = self._cell.largest_task or resources.UNLIMITED
        if not together.fits(ceiling) or not spec.demand.fits(largest):
            expected = "at most the ceiling of the team and the largest worker"
            reason = "the job can never run; not run"
            raise _invalid(
                f"{path}.resources", together, expected, reason, NotConfigured
            )


def check_total(built: list[job.JobSpec]) -> None:
    """Raise `ApiError` if a call has too many jobs or tasks, or an ID twice."""
    tasks = sum(spec.task_count for spec in built)
    if tasks > MAX_TASKS or len(built) > MAX_JOBS:
        raise _invalid(
            "jobs",
            f"{len(built)} jobs with {tasks} tasks",
            f"at most {MAX_JOBS} jobs and {MAX_TASKS} tasks a call",
            "too many jobs or tasks in one call; not run",
        )
    if len({spec.id for spec in built}) < len(built):
        raise _invalid("jobs", "", "each ID once", "duplicate ID; not run")
