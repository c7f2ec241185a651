"""Schema of the configuration, and parsers of quantities with units.

Each entry of a section is validated on its own, so that an invalid entry does not hide
the errors in others.
"""

import re
from typing import Annotated, Literal

import msgspec

from toucanspring import job

MIB_PER_UNIT = {"MiB": 1, "GiB": 1024, "TiB": 1024 * 1024}
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1, "min": 60, "h": 3600, "d": 86400}
MILLICORES_PER_CPU = 1000
# Far above any real machine or cell; a sum of 100,000 such amounts fits in 64 bits.
MAX_AMOUNT = 1 << 40
MAX_TASKS = 10_000
MAX_RETRIES = 100
MAX_PAYLOAD_BYTES = 64 * 1024
MAX_SECONDS = 366 * 86400.0

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

_AMOUNT = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]+)")

Quantity = int | float | str
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class Model(msgspec.Struct, forbid_unknown_fields=True):
    """Base of all schema structures; rejects unknown fields."""


class Amounts(Model, kw_only=True):
    """Cores, memory (MiB, or a string with a unit) and accelerators."""

    cpus: int | float = 0
    memory: Quantity = 0
    accelerators: Count = 0


class Limits(Model, kw_only=True):
    """Size of the largest worker; larger tasks can never run."""

    largest_task: Amounts


class AvailabilityZone(Model, kw_only=True):
    """Availability zone with its region."""

    region: str = ""
    description: str = ""


class Organisation(Model, kw_only=True):
    """Organisation; `host` marks the one that operates the cell."""

    host: bool = False
    description: str = ""


class Team(Model, kw_only=True):
    """Team with its share of a fully used cell and its ceiling."""

    organisation: str
    share: int | float
    ceiling: Amounts
    description: str = ""


class Queue(Model, kw_only=True):
    """Queue of a team; an open queue accepts work without a key."""

    team: str
    access: Literal["keyed", "open"] = "keyed"
    description: str = ""


class ClassRule(Model, kw_only=True):
    """Limits on the requests of one class to a service."""

    timeout: Quantity | None = None
    max_waiting: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1000
    idempotent: bool | None = None
    within: Quantity | None = None


class Service(Model, kw_only=True):
    """Service whose requests are forwarded to backend servers."""

    queue: str
    backend_servers: str
    timeout: Quantity = 10
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    # Values are converted to `ClassRule` one by one, so that errors name the class.
    classes: dict[str, object]
    default_class: job.JobClass | None = None
    objective: int | float = 99.9
    description: str = ""


class Job(Model, kw_only=True):
    """Job that starts when the configuration is applied or on `submit`."""

    team: str
    queue: str
    kind: job.Kind = job.Kind.BATCH
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    resources: Amounts
    run_time: Quantity = 60
    job_class: job.JobClass = msgspec.field(name="class", default=job.JobClass.NORMAL)
    deadline: Quantity | None = None
    idempotent: bool = True
    retries: Annotated[int, msgspec.Meta(ge=0, le=MAX_RETRIES)] = 3
    after: list[str] = []
    zones: list[str] = []
    placement: Literal["any", "compact", "spread"] = "any"
    payload: str = ""
    start: Literal["apply", "submit"] = "submit"
    run: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1
    description: str = ""


def read_seconds(quantity: Quantity) -> float | None:
    """Return seconds of a number or a string like `20 min`; None if not positive."""
    seconds = _read_quantity(quantity, SECONDS_PER_UNIT)
    if seconds is None or not 0 < seconds <= MAX_SECONDS:
        return None
    return float(seconds)


def read_memory(quantity: Quantity) -> int | None:
    """Return MiB of an integer or a string like `8 GiB`; None if invalid."""
    amount = _read_quantity(quantity, MIB_PER_UNIT)
    if amount is None or not 0 <= amount <= MAX_AMOUNT or amount != int(amount):
        return None
    return int(amount)


def read_millicores(cpus: int | float) -> int | None:
    """Return millicores of a number of cores; None if negative or too small."""
    if not 0 <= cpus <= MAX_AMOUNT / MILLICORES_PER_CPU:
        return None
    millicores = round(cpus * MILLICORES_PER_CPU)
    return None if cpus and not millicores else millicores


def _read_quantity(quantity: Quantity, units: dict[str, float]) -> float | None:
    if not isinstance(quantity, str):
        return quantity
    match = _AMOUNT.fullmatch(quantity.strip())
    if match is None or match[2] not in units or len(match[1]) > 18:
        return None
    return float(match[1]) * units[match[2]]
