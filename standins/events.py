"""Events of the stand-ins that occur thousands of times a second."""

import msgspec

from toucanspring import resources


class Start(
    msgspec.Struct, frozen=True, gc=False, tag_field="kind", tag="start", kw_only=True
):
    """A worker started an attempt of a task at `at` (monotonic seconds)."""

    at: float
    worker: str
    incarnation: int
    availability_zone: str
    partition: int
    epoch: int
    task: str
    attempt: int
    team: str
    demand: resources.Resources
    idempotent: bool
    resumed: bool  # carries the progress of an earlier attempt
    tick_age_ms: int


class End(
    msgspec.Struct, frozen=True, gc=False, tag_field="kind", tag="end", kw_only=True
):
    """An attempt ended; it last executed at `ran_until` (earlier after a pause)."""

    at: float
    worker: str
    incarnation: int
    task: str
    attempt: int
    state: str
    reason: str
    ran_until: float
