"""HTTP service for callers and operators."""

from __future__ import annotations

import mimetypes
from collections.abc import Iterator

import falcon
import logbook

from toucanspring import errors, kernel, uptime
from toucanspring.callers import (
    answers,
    api,
    api_events,
    api_jobs,
    api_operators,
    api_partitions,
    api_services,
    api_status,
    client_limits,
    handler,
    machine,
    refusals,
    server,
)
from toucanspring.reporting import report

log = logbook.Logger(__name__)


class RequestMetrics:
    """Record the number and duration of requests by route and status."""

    def __init__(self, core: kernel.Kernel) -> None:
        metrics = core.find("metrics")
        self._requests = metrics.counter(
            "toucanspring_http_requests_total", "HTTP requests by route and status."
        )
        self._seconds = metrics.histogram(
            "toucanspring_http_seconds", "Seconds until the head of the answer."
        )

    def process_request(self, request: falcon.Request, _response) -> None:
        """Record when a request started."""
        request.context.started = uptime.now()

    def process_response(
        self, request: falcon.Request, response: falcon.Response, _resource, _ok
    ) -> None:
        """Count an answered request."""
        route = request.uri_template or "none"
        status = response.status[:3]
        self._requests.inc({"route": route, "status": status})
        seconds = uptime.now() - request.context.started
        self._seconds.add({"route": route}, seconds)


class StartupGuard:
    """Refuse calls until the documents were read once.

    Before that, every team, queue and service looks unknown, and a caller would be
    told so although another process knows them.
    """

    def __init__(self, core: kernel.Kernel) -> None:
        self._kernel = core
        self._was_fresh = False

    def is_over(self) -> bool:
        """Return whether the documents were read.

        A stale view does not matter later: during an outage of the store all processes
        have one, and idempotent requests are still served.
        """
        if not self._was_fresh:
            documents = self._kernel.find("documents")
            self._was_fresh = documents.fresh(uptime.now())
        return self._was_fresh

    def process_request(self, request: falcon.Request, _response) -> None:
        """Answer 503 for all but the status routes."""
        if request.path.startswith("/v1/") and not self.is_over():
            raise api.ApiError(
                errors.Unavailable(reason="documents not read yet; not run")
            )


def build_application(core: kernel.Kernel, settings: object, is_draining) -> falcon.App:
    """Return the WSGI application with all routes of the API."""
    startup_guard = StartupGuard(core)
    # falcon would read the VM's tables of file types, 0.3 MB; no files are served here.
    mimetypes.knownfiles.clear()
    application = falcon.App(middleware=[RequestMetrics(core), startup_guard])
    application.req_options.strip_url_path_trailing_slash = True
    application.add_error_handler(api.ApiError, api.answer_failure)
    application.add_error_handler(falcon.HTTPError, api.answer_http_error)
    application.add_error_handler(Exception, _answer_internal_error)
    access = api.Access(core, settings)
    routes = {
        "/v1/jobs": api_jobs.Jobs(core, access),
        "/v1/jobs/{job_id}": api_jobs.JobStatus(core, access),
        "/v1/jobs/{job_id}/explain": api_jobs.Explain(core, access),
        "/v1/cancellations": api_jobs.Cancel(core, access),
        "/v1/services/{name}/requests": api_services.Requests(core, access),
        "/v1/requests/{request_id}": api_services.RequestStatus(core, access),
        "/v1/config": api_operators.Config(core, access),
        "/v1/config/history": api_operators.ConfigHistory(core, access),
        "/v1/config/confirmations": api_operators.Confirmations(core, access),
        "/v1/zones": api_operators.Zones(core, access),
        "/v1/zones/{name}/out": api_operators.ZoneChange(core, access, True),
        "/v1/zones/{name}/in": api_operators.ZoneChange(core, access, False),
        "/v1/partitions": api_partitions.Partitions(core, access),
        "/v1/keys": api_operators.Keys(core, access),
        "/v1/keys/{key_id}": api_operators.Key(core, access),
        "/v1/events": api_events.Events(core, access),
        "/v1/workers": api_status.Workers(core, access),
        "/v1/members/{name}/gone": api_operators.MemberGone(core, access),
        "/v1/members": api_status.Members(core, access),
        "/v1/reports/{name}": api_status.Reports(core, access),
        "/metrics": api_status.Metrics(core),
        "/healthz": api_status.Health(),
        "/readyz": api_status.Ready(startup_guard.is_over, is_draining),
    }
    for path, resource in routes.items():
        application.add_route(path, resource)
    return application


def _answer_internal_error(
    _request, response: falcon.Response, error: Exception, _params
):
    """Answer an unexpected exception; whether the work ran is then unknown."""
    log.error("request failed: {!r}", error, exc_info=True)
    response.status = falcon.HTTP_500
    response.content_type = api.JSON
    response.data = handler.render(errors.Unknown(reason="internal error"))


def load_certificate(settings: object) -> object | None:
    """Return the TLS context of the server, or `None` for plain HTTP.

    Raises `OSError` if the files cannot be used.
    """
    if not settings.http_certificate:
        return None
    from gevent import ssl  # only needed here; it costs memory

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(settings.http_certificate, settings.http_key)
    except OSError as error:
        names = f"{settings.http_certificate} and {settings.http_key}"
        raise OSError(f"http_certificate and http_key, {names}: {error}") from None
    return context


class Service:
    """Own the HTTP server of this process."""

    def __init__(self, core: kernel.Kernel, settings: object) -> None:
        self._kernel = core
        self._settings = settings
        self._server: server.Server | None = None
        self._draining = False
        self._drain_until = 0.0  # seconds of `uptime`

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Listen for callers."""
        self._kernel.find("peers").handle("report", self._serve_report)
        application = build_application(
            self._kernel, self._settings, lambda: self._draining
        )
        registry = self._kernel.find("metrics")
        refused = refusals.Refusals(registry, "callers")
        defaults = client_limits.choose(
            machine.read_memory_bytes(), machine.read_max_fds()
        )
        self._server = server.Server(
            (self._settings.address, self._settings.http_port),
            application,
            load_certificate(self._settings),
            client_limits.select(self._settings, defaults),
            refused,
        )
        table = self._server.table
        registry.on_render(lambda: refused.measure(table))
        self._server.start()

    def stop_accepting(self) -> None:
        """Close the listener; each connection ends with its current answer."""
        if not self._draining:
            self._drain_until = uptime.now() + self._settings.drain_s
        self._draining = True
        if self._server is not None:
            self._server.stop_accepting_connections()

    def in_flight(self) -> int:
        """Return the number of requests in progress, including those in transit."""
        return 0 if self._server is None else self._server.in_flight()

    def stop(self) -> None:
        """Wait for the requests in progress, then close all connections."""
        if self._server is None:
            return
        self.stop_accepting()
        # The daemon has already waited; both waits together take `drain_s` at most.
        left_s = max(0.0, self._drain_until - uptime.now())
        interrupted = self._server.drain(left_s)
        if interrupted:
            log.warning("{} requests were interrupted by the stop", interrupted)
        self._server = None

    def _serve_report(
        self, _sender: str, body: bytes
    ) -> Iterator[bytes] | errors.Failure:
        name = body.decode(errors="replace")
        if name not in report.NAMES:
            return errors.NotFound(reason=f"no report {name}")
        # In chunks: the error budgets of many teams exceed one frame.
        return answers.split(report.encode(report.collect(self._kernel, name)))
