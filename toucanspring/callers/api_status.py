"""HTTP resources that describe the cell: workers, processes, reports, health."""

from __future__ import annotations

from collections.abc import Callable

import falcon
import msgspec
from gevent import pool

from toucanspring import errors, kernel, uptime
from toucanspring.callers import api
from toucanspring.reporting import report, survey

REPORT_TIMEOUT_S = 2.0
MAX_PEER_CALLS = 32


class Resource:
    """Base class of the resources for operators."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access


class Workers(Resource):
    """`GET /v1/workers`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the workers of the cell, and what is missing from the list."""
        self._access.require_operator(request)
        api.send_json(response, survey.describe(self._kernel))


class Members(Resource):
    """`GET /v1/members`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the toucanspring processes that this one knows."""
        self._access.require_operator(request)
        membership = self._kernel.find("membership")
        documents = self._kernel.find("documents")
        reachable = membership.reachable()
        own = membership.identity.process
        members = [
            {
                **msgspec.to_builtins(member),
                "reachable": name in reachable or name == own,
            }
            for name, member in sorted(membership.members().items())
        ]
        api.send_json(
            response,
            {
                "answered_by": own,
                "members": members,
                "versions": msgspec.structs.asdict(documents.versions()),
                "fresh": documents.fresh(uptime.now()),
            },
        )


class Reports(Resource):
    """`GET /v1/reports/<share|waiting|burn>`."""

    def on_get(self, request, response, name: str) -> None:
        """Answer with a report merged from all reachable processes."""
        self._access.require_operator(request)
        if name not in report.NAMES:
            raise api.ApiError(errors.NotFound(reason=f"no report {name[:80]}"))
        membership = self._kernel.find("membership")
        peers = self._kernel.find("peers")
        own = membership.identity.process
        others = [process for process in membership.members() if process != own]

        def ask(process: str) -> bytes | errors.Failure:
            return peers.call(process, "report", name.encode(), REPORT_TIMEOUT_S)

        stored = report.read_store(self._kernel, name)
        answers = pool.Pool(MAX_PEER_CALLS).map(ask, others)
        parts = [report.collect(self._kernel, name)]
        missing = []
        for process, answer in zip(others, answers, strict=True):
            part = report.decode(answer) if isinstance(answer, bytes) else answer
            if isinstance(part, errors.Failure):
                missing.append(process)
            else:
                parts.append(part)
        cell = self._kernel.find("documents").cell()
        built = report.build(name, cell, parts, stored)
        api.send_json(response, {"report": name, "missing": missing, **built})


class Health:
    """`GET /healthz`: the process serves HTTP."""

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer that the process is alive."""
        api.send_json(response, {"status": "alive"})


class Ready:
    """`GET /readyz`: the load balancer may send callers here."""

    def __init__(
        self, has_documents: Callable[[], bool], is_draining: Callable[[], bool]
    ) -> None:
        self._has_documents = has_documents
        self._is_draining = is_draining

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer 503 until the documents have been read once, and while stopping."""
        if self._is_draining():
            api.send_json(response, {"status": "stopping"}, 503)
        elif not self._has_documents():
            api.send_json(response, {"status": "documents not read yet"}, 503)
        else:
            api.send_json(response, {"status": "ready"})


class Metrics:
    """`GET /metrics`."""

    def __init__(self, core: kernel.Kernel) -> None:
        self._kernel = core

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the metrics in the Prometheus text format."""
        response.content_type = "text/plain; version=0.0.4; charset=utf-8"
        response.data = self._kernel.find("metrics").render()
