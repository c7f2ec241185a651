"""HTTP resource for events, and the actions that `explain` shows for a job."""

from __future__ import annotations

import math

import falcon
import msgspec

from toucanspring import errors, kernel
from toucanspring.callers import api
from toucanspring.reporting import event_kinds, event_rows, events

DEFAULT_SINCE_S = 3600.0
RETENTION_S = event_rows.RETENTION_HOURS * 3600.0
# Bounds the answer; the newest entries are kept.
MAX_ENTRIES = 10_000
MAX_ACTIONS = 100
# Kinds about a job. A team sees those of its own jobs, without the IDs of other jobs.
JOB_KINDS = frozenset(
    kind.__struct_config__.tag
    for kind in event_kinds.KINDS
    if "job" in kind.__struct_fields__
)


class Events:
    """`GET /v1/events`."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the events of all processes, and name those that are missing.

        `since` is in seconds before now; `kind` and `subject` select entries.
        """
        self._access.require_operator(request)
        since_s = request.get_param_as_float("since", default=DEFAULT_SINCE_S)
        if math.isnan(since_s) or not 0 < since_s <= RETENTION_S:
            raise api.ApiError(
                errors.Invalid(
                    reason="events are not kept that long",
                    path="since",
                    value=str(since_s),
                    expected=f"seconds, at most {RETENTION_S:.0f}",
                )
            )
        kind = request.get_param("kind", default="")
        known = [each.__struct_config__.tag for each in event_kinds.KINDS]
        if kind and kind not in known:
            raise api.ApiError(
                errors.Invalid(
                    reason=f"no kind of event {kind[:80]}",
                    path="kind",
                    expected="one of " + ", ".join(known),
                )
            )
        subject = request.get_param("subject", default="")
        report = self._kernel.find("events").report(since_s, kind, subject)
        fields = msgspec.structs.asdict(report)
        omitted = max(0, len(report.events) - MAX_ENTRIES)
        fields |= {"events": report.events[omitted:], "omitted": omitted}
        api.send_json(response, fields)


def describe_actions(
    service: events.Service, job_id: str, for_operator: bool
) -> dict[str, object]:
    """Return the actions on a job, also by former owners of its partition."""
    report = service.report(RETENTION_S, subject=f"job:{job_id}")
    found = [item for item in report.events if item["kind"] in JOB_KINDS]
    if not for_operator:
        found = [
            {name: value for name, value in item.items() if name != "for_job"}
            for item in found
        ]
    return {
        "actions": found[-MAX_ACTIONS:],
        "actions_missing": report.missing,
        "actions_store_missing": report.store_missing,
    }
