"""Parser of the configuration: validates it and builds a `text.Cell`."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator

import msgspec

from toucanspring import errors, job, resources
from toucanspring.configuration import checks, model, syntax, text

SECTION_MODELS: dict[str, type[model.Model]] = {
    "availability_zones": model.AvailabilityZone,
    "organisations": model.Organisation,
    "teams": model.Team,
    "queues": model.Queue,
    "services": model.Service,
    "jobs": model.Job,
}
TOP_LEVEL = ("cell", "limits", *SECTION_MODELS)

_PATH = re.compile(r" - at `\$(.*)`$")
_PATH_PART = re.compile(r"\.([^.\[]+)|\[([0-9]+)\]")
_GOT_VALUE = re.compile(r", got (.*)$")

# Valid values of the fields for which the message of msgspec does not list them.
_VALID_VALUES = {
    "kind": tuple(job.Kind),
    "class": tuple(job.JobClass),
    "default_class": tuple(job.JobClass),
    "access": ("keyed", "open"),
    "placement": ("any", "compact", "spread"),
    "start": ("apply", "submit"),
}

# Many errors are usually one mistake repeated; the first ones show it.
MAX_FAULTS = 100


class FaultCollector:
    """Collect validation errors with their lines."""

    def __init__(self, document: syntax.Document) -> None:
        self._document = document
        self.found: list[errors.Invalid] = []

    def add(self, path: syntax.Path, value: object, expected: str, reason: str) -> None:
        """Record an error at a path of the configuration."""
        self.found.append(
            errors.Invalid(
                reason=reason,
                path=syntax.format_path(path),
                line=self._document.line(path),
                value=syntax.shorten(value),
                expected=expected,
            )
        )


def parse(source: str) -> text.Cell | errors.Invalid:
    """Return the declared cell, or the first validation error."""
    match parse_all(source):
        case text.Cell() as cell:
            return cell
        case [first, *_]:
            return first


def parse_all(source: str) -> text.Cell | list[errors.Invalid]:
    """Return the declared cell, or its validation errors in the order of lines.

    An empty source is the state before the first configuration: a cell without entries.
    """
    if not source:
        return text.Cell()
    document = syntax.read(source)
    if isinstance(document, errors.Invalid):
        return [document]
    cell, faults = read_cell(document)
    if faults:
        return sorted(faults, key=lambda fault: fault.line)[:MAX_FAULTS]
    return cell


def read_cell(document: syntax.Document) -> tuple[text.Cell, list[errors.Invalid]]:
    """Return the cell and its errors; with errors the cell is incomplete."""
    faults = FaultCollector(document)
    root = document.value
    if not isinstance(root, dict):
        faults.add(
            (),
            root,
            "a mapping with the key `cell`",
            "the configuration is not a mapping",
        )
        return text.Cell(), faults.found
    for key in root:
        if key not in TOP_LEVEL:
            expected = "one of " + ", ".join(TOP_LEVEL)
            faults.add((key,), key, expected, "unknown section")
    name = root.get("cell")
    _check_name(("cell",), name, faults)
    models = {
        section: dict(_read_section(section, kind, root.get(section), faults))
        for section, kind in SECTION_MODELS.items()
    }
    declared = {
        section: frozenset(entries) if isinstance(entries, dict) else frozenset()
        for section, entries in ((key, root.get(key)) for key in SECTION_MODELS)
    }
    builder = Builder(models, declared, faults)
    cell = text.Cell(
        name=str(name),
        availability_zones=builder.section("availability_zones", _zone),
        organisations=builder.section("organisations", _organisation),
        teams=builder.section("teams", builder.team),
        queues=builder.section("queues", builder.queue),
        services=builder.section("services", builder.service),
        jobs=builder.section("jobs", builder.job),
        largest_task=builder.limits(root.get("limits")),
    )
    if not faults.found:
        checks.check_jobs(cell, faults)
    return cell, faults.found


def _read_section(
    section: str, kind: type[model.Model], entries: object, faults: FaultCollector
) -> Iterator[tuple[str, model.Model]]:
    if entries is None:
        return
    if not isinstance(entries, dict):
        faults.add(
            (section,), entries, "a mapping of names", "the section is not a mapping"
        )
        return
    for name, entry in entries.items():
        path = (section, name)
        if _check_name(path, name, faults):
            converted = _convert({} if entry is None else entry, kind, path, faults)
            if converted is not None:
                yield name, converted


def _check_name(path: syntax.Path, name: object, faults: FaultCollector) -> bool:
    if isinstance(name, str) and model.NAME.fullmatch(name):
        return True
    expected = "1 to 63 lower case letters, digits and hyphens"
    reason = "name missing" if name is None else "invalid name"
    faults.add(path, name, expected, reason)
    return False


def _convert(
    entry: object, kind: type[model.Model], path: syntax.Path, faults: FaultCollector
) -> model.Model | None:
    """Return the validated entry, or record the error at the field that caused it."""
    try:
        return msgspec.convert(entry, kind)
    except msgspec.ValidationError as error:
        message = str(error)
    inner_path: list[str | int] = []
    value = entry
    if match := _PATH.search(message):
        message = message[: match.start()]
        for key, index in _PATH_PART.findall(match[1]):
            part = key or int(index)
            inner_path.append(part)
            value = _get_item(value, part)
    unknown = re.search(r"unknown field `(.*)`", message)
    if unknown:
        inner_path.append(unknown[1])
        value = unknown[1]
        fields = ", ".join(field.encode_name for field in msgspec.structs.fields(kind))
        message = (
            f"one of {fields}" if len(inner_path) == 1 else "a field of this entry"
        )
    reason = "unknown field" if unknown else "invalid value"
    if "missing required" in message:
        reason, value = "field missing", ""
    expected = _GOT_VALUE.sub("", message).removeprefix("Expected ").replace("`", "")
    if inner_path and inner_path[-1] in _VALID_VALUES:
        expected = "one of " + ", ".join(_VALID_VALUES[inner_path[-1]])
    faults.add((*path, *inner_path), value, expected, reason)
    return None


def _get_item(value: object, part: str | int) -> object:
    try:
        return value[part]
    except (KeyError, IndexError, TypeError):
        return None


def _zone(name: str, entry: model.AvailabilityZone) -> text.AvailabilityZone:
    return text.AvailabilityZone(name, entry.region, entry.description)


def _organisation(name: str, entry: model.Organisation) -> text.Organisation:
    return text.Organisation(name, entry.host, entry.description)


class Builder:
    """Turn validated entries into the data classes of the cell."""

    def __init__(
        self,
        models: dict[str, dict],
        declared: dict[str, frozenset[str]],
        faults: FaultCollector,
    ) -> None:
        self._models = models
        # Includes the names of invalid entries, so that one error is not reported again
        # for every reference to the name.
        self._declared = declared
        self._faults = faults

    def section(self, name: str, build: Callable[[str, object], object]) -> dict:
        """Return the built entries of a section."""
        return {key: build(key, entry) for key, entry in self._models[name].items()}

    def limits(self, entry: object) -> resources.Resources | None:
        """Return the size of the largest worker, if the configuration states it."""
        if entry is None:
            return None
        limits = _convert(entry, model.Limits, ("limits",), self._faults)
        if limits is None:
            return None
        return self._amounts(("limits", "largest_task"), limits.largest_task)

    def team(self, name: str, entry: model.Team) -> text.Team:
        """Return a team; its organisation must exist and its share be positive."""
        path = ("teams", name)
        self._check_reference(
            "organisations", (*path, "organisation"), entry.organisation
        )
        if not 0 < entry.share <= 1e9:
            self._faults.add(
                (*path, "share"),
                entry.share,
                "a positive number up to 1e9",
                "share is not positive" if entry.share <= 0 else "share is too large",
            )
        ceiling = self._amounts((*path, "ceiling"), entry.ceiling)
        return text.Team(
            name, entry.organisation, float(entry.share), ceiling, entry.description
        )

    def queue(self, name: str, entry: model.Queue) -> text.Queue:
        """Return a queue; its team must exist."""
        self._check_reference("teams", ("queues", name, "team"), entry.team)
        return text.Queue(name, entry.team, entry.access, entry.description)

    def service(self, name: str, entry: model.Service) -> text.Service:
        """Return a service; its queue and its default class must exist."""
        path = ("services", name)
        self._check_reference("queues", (*path, "queue"), entry.queue)
        timeout = self._seconds((*path, "timeout"), entry.timeout)
        if not entry.classes:
            self._faults.add((*path, "classes"), "", "at least one class", "no classes")
        if not 0 < entry.objective < 100:
            self._faults.add(
                (*path, "objective"),
                entry.objective,
                "a percentage above 0 and below 100",
                "invalid objective",
            )
        classes = dict(self._class_rules((*path, "classes"), entry.classes, timeout))
        default = entry.default_class or next(iter(classes), job.JobClass.CHECK)
        if entry.classes and default not in entry.classes:
            self._faults.add(
                (*path, "default_class"),
                str(default),
                "one of " + ", ".join(entry.classes),
                "unknown class",
            )
        return text.Service(
            name=name,
            queue=entry.queue,
            backend_servers=entry.backend_servers,
            timeout_seconds=timeout,
            retries=entry.retries,
            classes=classes,
            default_class=default,
            objective=float(entry.objective),
            description=entry.description,
        )

    def _class_rules(
        self, path: syntax.Path, entries: dict[str, object], timeout: float
    ) -> Iterator[tuple[job.JobClass, text.ClassRule]]:
        for name, entry in entries.items():
            if name not in tuple(job.JobClass):
                expected = "one of " + ", ".join(job.JobClass)
                self._faults.add((*path, name), name, expected, "unknown class")
                continue
            rule = _convert(entry or {}, model.ClassRule, (*path, name), self._faults)
            if rule is not None:
                built = self._class_rule((*path, name), rule, timeout)
                yield job.JobClass(name), built

    def _class_rule(
        self, path: syntax.Path, rule: model.ClassRule, timeout: float
    ) -> text.ClassRule:
        within = None
        if rule.within is not None:
            within = self._seconds((*path, "within"), rule.within)
        if rule.timeout is not None:
            timeout = self._seconds((*path, "timeout"), rule.timeout)
        return text.ClassRule(timeout, rule.max_waiting, rule.idempotent, within)

    def job(self, name: str, entry: model.Job) -> text.JobTemplate:
        """Return a job template; all entries that it refers to must exist."""
        path = ("jobs", name)
        self._check_reference("teams", (*path, "team"), entry.team)
        self._check_reference("queues", (*path, "queue"), entry.queue)
        for index, zone in enumerate(entry.zones):
            self._check_reference("availability_zones", (*path, "zones", index), zone)
        for index, other in enumerate(entry.after):
            self._check_reference("jobs", (*path, "after", index), other)
        for field in ("zones", "after"):
            names = getattr(entry, field)
            if len(set(names)) < len(names):
                self._faults.add(
                    (*path, field), ", ".join(names), "each name once", "duplicate name"
                )
        payload = entry.payload.encode()
        if len(payload) > model.MAX_PAYLOAD_BYTES:
            self._faults.add(
                (*path, "payload"),
                f"{len(payload)} bytes",
                f"at most {model.MAX_PAYLOAD_BYTES} bytes",
                "oversized payload",
            )
        deadline = None
        if entry.deadline is not None:
            deadline = self._seconds((*path, "deadline"), entry.deadline)
        return text.JobTemplate(
            name=name,
            team=entry.team,
            queue=entry.queue,
            kind=entry.kind,
            task_count=entry.tasks,
            demand=self._amounts((*path, "resources"), entry.resources),
            run_seconds=self._seconds((*path, "run_time"), entry.run_time),
            job_class=entry.job_class,
            deadline_seconds=deadline,
            idempotent=entry.idempotent,
            retries=entry.retries,
            after=tuple(entry.after),
            availability_zones=tuple(entry.zones),
            compact=entry.placement == "compact",
            spread=entry.placement == "spread",
            payload=payload,
            start=entry.start,
            run=entry.run,
            description=entry.description,
        )

    def _check_reference(self, section: str, path: syntax.Path, name: str) -> None:
        if name not in self._declared[section]:
            expected = f"a name of the section {section}"
            self._faults.add(path, name, expected, "unknown name")

    def _seconds(self, path: syntax.Path, quantity: model.Quantity) -> float:
        seconds = model.read_seconds(quantity)
        if seconds is None:
            expected = "a positive time such as 90 s, 20 min or 2 h"
            self._faults.add(path, quantity, expected, "invalid duration")
        return seconds or 1.0

    def _amounts(
        self, path: syntax.Path, amounts: model.Amounts
    ) -> resources.Resources:
        cpus = model.read_millicores(amounts.cpus)
        if cpus is None:
            self._faults.add(
                (*path, "cpus"),
                amounts.cpus,
                "cores, in steps of 0.001",
                "invalid size",
            )
        memory = model.read_memory(amounts.memory)
        if memory is None:
            self._faults.add(
                (*path, "memory"),
                amounts.memory,
                "such as 512 MiB or 8 GiB",
                "invalid size",
            )
        return resources.Resources(cpus or 0, memory or 0, amounts.accelerators)
