"""HTTP resources for jobs: bulk submission, status, cancellation, explanation."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import falcon
import msgspec
from gevent import pool

from toucanspring import errors, job, kernel
from toucanspring.callers import api, api_events, outline, submission

MAX_SUBMISSION_BYTES = 16 << 20
MAX_CANCELLATIONS = 1000
MAX_CANCELLATION_BYTES = 1 << 18
# Concurrent lookups of one call.
MAX_PARALLEL_LOOKUPS = 32


class Cancellations(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/cancellations`."""

    ids: Annotated[list[str], msgspec.Meta(max_length=MAX_CANCELLATIONS)]


class Jobs:
    """`POST /v1/jobs`."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept jobs; the answer follows once they are durable."""
        bulk = api.read_json(
            request, submission.BulkSubmission, MAX_SUBMISSION_BYTES, outline.check
        )
        cell = self._kernel.find("documents").cell()
        specs = submission.JobSpecBuilder(
            cell, self._access, self._access.secret(request)
        )
        built: list[job.JobSpec] = []
        ends: list[int] = []  # index of the job of each submission in `built`
        for index, item in enumerate(bulk.jobs):
            try:
                built += specs.build(item, f"jobs.{index}")
            except submission.NotConfigured as error:
                raise api.deny(self._kernel, error.failure)
            ends.append(len(built) - 1)
        submission.check_total(built)
        results = self._kernel.find("partitions").submit(built)
        _answer_submission(response, built, results, ends)


def _answer_submission(
    response: falcon.Response,
    built: list[job.JobSpec],
    results: list[str | errors.Failure],
    ends: list[int],
) -> None:
    items = []
    failures = []
    for index in ends:
        item: dict[str, object] = {"id": built[index].id}
        if isinstance(results[index], errors.Failure):
            failures.append(results[index])
            item["error"] = errors.to_dict(results[index])
        items.append(item)
    # A job waits forever for a dependency that was not accepted, so the failure of
    # the dependency is reported although the caller did not name it.
    for index in sorted(set(range(len(built))) - set(ends)):
        if isinstance(results[index], errors.Failure):
            failures.append(results[index])
            items.append(
                {"id": built[index].id, "error": errors.to_dict(results[index])}
            )
    if failures and len(failures) == len(items):
        raise api.ApiError(failures[0], extra={"jobs": items})
    api.send_json(response, {"jobs": items}, 207 if failures else 202)


class JobStatus:
    """`GET /v1/jobs/<id>`."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    def on_get(self, request, response, job_id: str) -> None:
        """Answer with the counts of tasks by state and the outcome once final."""
        api.check_id(job_id)
        reader = self._access.reader(request)
        status = api.unwrap(self._kernel.find("partitions").lookup(job_id))
        api.check_reader(reader, status.team, job_id)
        fields = dataclasses.asdict(status)
        fields["outcome"] = (
            None if status.outcome is None else msgspec.to_builtins(status.outcome)
        )
        api.send_json(response, fields)


class Explain:
    """`GET /v1/jobs/<id>/explain`."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    def on_get(self, request, response, job_id: str) -> None:
        """Answer with the reasons why a job waits or ran where it did."""
        api.check_id(job_id)
        reader = self._access.reader(request)
        partitions = self._kernel.find("partitions")
        if reader is not None:
            status = api.unwrap(partitions.lookup(job_id))
            api.check_reader(reader, status.team, job_id)
        found = dataclasses.asdict(api.unwrap(partitions.explain(job_id)))
        events = self._kernel.find("events")
        found |= api_events.describe_actions(events, job_id, reader is None)
        api.send_json(response, found)


class Cancel:
    """`POST /v1/cancellations`."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Cancel jobs; each ID has its own result."""
        body = api.read_json(request, Cancellations, MAX_CANCELLATION_BYTES)
        ids = list(dict.fromkeys(api.check_id(item) for item in body.ids))
        reader = self._access.reader(request)
        results: dict[str, object] = {}
        allowed = ids
        if reader is not None:
            allowed = []
            owners = pool.Pool(MAX_PARALLEL_LOOKUPS).map(
                self._kernel.find("partitions").lookup, ids
            )
            for job_id, status in zip(ids, owners, strict=True):
                if isinstance(status, errors.Failure):
                    results[job_id] = status
                    continue
                try:
                    api.check_reader(reader, status.team, job_id)
                    allowed.append(job_id)
                except api.ApiError as api_error:
                    results[job_id] = api_error.failure
        if allowed:
            results.update(self._kernel.find("partitions").cancel(allowed))
        items = [
            {"id": job_id, "error": errors.to_dict(result)}
            if isinstance(result, errors.Failure)
            else {"id": job_id, "result": result}
            for job_id, result in results.items()
        ]
        failed_items = [item for item in items if "error" in item]
        api.send_json(response, {"jobs": items}, 207 if failed_items else 200)
