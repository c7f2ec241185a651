"""HTTP resource for operators: the number of partitions."""

from __future__ import annotations

from typing import Annotated

import falcon
import logbook
import msgspec

from toucanspring import errors, settings
from toucanspring.callers import api, api_operators
from toucanspring.cell import layout
from toucanspring.owners import handover

log = logbook.Logger(__name__)

MAX_BODY_BYTES = 1024


class PartitionCount(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `PUT /v1/partitions`."""

    partitions: Annotated[int, msgspec.Meta(ge=1, le=settings.MAX_PARTITIONS)]


class Partitions(api_operators.Resource):
    """`GET` and `PUT /v1/partitions`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the partition count, the former ones and the work they hold."""
        self._access.require_operator(request)
        service = self._kernel.find("layout")
        failure = service.reread()
        if failure is not None:
            raise api.ApiError(errors.Unavailable(reason=f"store: {failure.reason}"))
        present = service.layout
        held = self._kernel.find("handover").remaining_work() if present.former else {}
        value = {
            **_describe(present),
            "held": [_describe_held(*each) for each in sorted(held.items())],
        }
        api.send_json(response, value, ETag=f'"{present.generation}"')

    def on_put(self, request: falcon.Request, response: falcon.Response) -> None:
        """Change the partition count if `If-Match` names the current generation."""
        operator = self._access.require_operator(request)
        expected = api_operators.expected_version(request)
        body = api.read_json(request, PartitionCount, MAX_BODY_BYTES)
        service = self._kernel.find("layout")
        changed = api.unwrap(service.change(body.partitions, expected, operator))
        log.info("operator {} set {} partitions", operator, body.partitions)
        api.send_json(response, _describe(changed), ETag=f'"{changed.generation}"')


def _describe(present: layout.Layout) -> dict[str, object]:
    return {
        "generation": present.generation,
        "partitions": present.current,
        "former": list(present.former),
        "operator": present.operator,
    }


def _describe_held(
    number: int, found: handover.Remaining | errors.Failure
) -> dict[str, object]:
    if isinstance(found, errors.Failure):
        return {"partition": number, "silent": found.reason or found.kind}
    return {
        "partition": number,
        "jobs": found.jobs,
        "requests": found.requests,
        "in_use": found.in_use,
        "former": found.numbers,
    }
