"""Entry point `toucanspringd`: runs the services of one process of the cell."""

import gevent.monkey

# The daemon starts no subprocesses; patching `subprocess` would cost 0.6 MB of memory.
gevent.monkey.patch_all(subprocess=False)

import importlib  # noqa: E402
import importlib.util  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
import logbook  # noqa: E402
from gevent import event  # noqa: E402

from toucanspring import errors, kernel, log, plugins, settings, uptime  # noqa: E402
from toucanspring.cell import ownership  # noqa: E402

logger = logbook.Logger(__name__)

# Names of the services in the kernel and their modules, in the order of start. A
# service that is not installed is skipped.
SERVICES = {
    "metrics": "toucanspring.metrics",
    "store": "toucanspring.store",
    "peers": "toucanspring.cell.peers",
    "events": "toucanspring.reporting.events",
    "membership": "toucanspring.cell.membership",
    "layout": "toucanspring.cell.layout",
    "documents": "toucanspring.configuration.documents",
    "claims": "toucanspring.cell.claims",
    "fleet": "toucanspring.owners.fleet",
    "partitions": "toucanspring.owners.partitions",
    "handover": "toucanspring.owners.handover",
    "mover": "toucanspring.owners.mover",
    "autostart": "toucanspring.owners.autostart",
    "requests": "toucanspring.callers.requests",
    "budgets": "toucanspring.reporting.budgets",
    "gateway": "toucanspring.callers.gateway",
}
EXIT_SETTINGS = 2
EXIT_REPLACED = 3
IN_FLIGHT_POLL_S = 0.05


def build_service(
    name: str, core: kernel.Kernel, options: settings.Settings
) -> kernel.Service | errors.Failure:
    """Construct the service with the given name."""
    module = importlib.import_module(SERVICES[name])
    if name == "store":
        return module.connect(
            options.tables, options.objects, options.vms, options.process
        )
    return module.Service(core, options)


def build(options: settings.Settings) -> kernel.Kernel | errors.Failure:
    """Register all installed services in a kernel."""
    core = kernel.Kernel()
    for name, module in SERVICES.items():
        if importlib.util.find_spec(module) is None:
            logger.warning("service {} is not installed", name)
            continue
        service = build_service(name, core, options)
        if isinstance(service, errors.Failure):
            return service
        core.register(name, service)
    failure = plugins.load(options.plugins, core)
    return core if failure is None else failure


def publish_gauges(core: kernel.Kernel) -> None:
    """Export the state of the control services as metrics."""
    metrics = core.find("metrics")
    members = core.find("membership")
    documents = core.find("documents")
    traffic = metrics.counter(
        "toucanspring_peer_bytes_total", "Bytes exchanged with other processes."
    )
    # A gauge and not a counter: the sum loses the bytes of a stream that closes.
    worker_traffic = metrics.gauge(
        "toucanspring_worker_bytes", "Bytes exchanged on present streams to workers."
    )
    state = metrics.gauge("toucanspring_control", "State of the control services.")

    def read() -> None:
        now = members.clock()
        sent, received = core.find("peers").traffic()
        traffic.set({"direction": "sent"}, sent)
        traffic.set({"direction": "received"}, received)
        sent, received = core.find("fleet").traffic()
        worker_traffic.set({"direction": "sent"}, sent)
        worker_traffic.set({"direction": "received"}, received)
        held = members.lease_state(now) is not ownership.LeaseState.NARROWED
        view_age_s = min(now - documents.view().confirmed_at, members.clock())
        for name, value in (
            ("members", len(members.members())),
            ("members_reachable", len(members.reachable())),
            ("store_age_seconds", members.store_contact_age(now)),
            ("view_age_seconds", view_age_s),
            ("view_fresh", int(documents.fresh(now))),
            ("may_own", int(held)),
            ("partitions", core.find("layout").layout.count),
            ("partitions_owned", len(core.find("claims").owned())),
        ):
            state.set({"name": name}, value)

    metrics.on_render(read)


def find(core: kernel.Kernel, name: str) -> object | None:
    """Return a service, or `None` if it is not installed."""
    try:
        return core.find(name)
    except kernel.UnknownService:
        return None


def drain(core: kernel.Kernel, limit_s: float) -> bool:
    """Hand over partitions and finish requests; return whether all were finished.

    A service may have `stop_accepting()`, which refuses new work, and `in_flight()`,
    the number of requests that it still serves.
    """
    deadline = uptime.now() + limit_s
    services = [find(core, name) for name in reversed(SERVICES)]
    for service in services:
        if hasattr(service, "stop_accepting"):
            service.stop_accepting()
    core.find("membership").drain()
    core.find("claims").stop()
    request_services = [
        service for service in services if hasattr(service, "in_flight")
    ]
    while any(service.in_flight() for service in request_services):
        if uptime.now() >= deadline:
            return False
        gevent.sleep(IN_FLIGHT_POLL_S)
    return True


def run(options: settings.Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    core = build(options)
    if isinstance(core, errors.Failure):
        logger.error("cannot start: {}", core.reason)
        return EXIT_SETTINGS
    stopped = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    publish_gauges(core)
    try:
        core.start()
    except OSError as error:  # address or port in use, certificate without its key
        logger.error("cannot start: {}", error)
        core.stop()
        return EXIT_SETTINGS
    logger.info("process {} of cell {} is serving", options.process, options.cell)
    members = core.find("membership")
    while not stopped.wait(1.0):
        if members.replaced:
            core.stop()
            return EXIT_REPLACED
    logger.info("draining for at most {} s", options.drain_s)
    if not drain(core, options.drain_s):
        logger.warning("requests were still in flight after {} s", options.drain_s)
    core.stop()
    logger.info("process {} has stopped", options.process)
    return 0


def restart_without_flags(options: settings.Settings) -> None:
    """Execute this program again with its settings in the environment, not in flags.

    The flag parser costs 6 MB of memory, and secrets in flags are visible in process
    lists.
    """
    environment = {**os.environ, **settings.to_environment(options)}
    command = sys.orig_argv[: len(sys.orig_argv) - len(sys.argv) + 1]
    os.execve(sys.executable, command, environment)


def main() -> None:
    """Read the settings and run the daemon."""
    options = settings.load(sys.argv[1:], os.environ)
    if isinstance(options, errors.Invalid):
        print(f"toucanspringd: {options.reason}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if sys.argv[1:]:
        restart_without_flags(options)
    log.set_up(options.log_level, options.log_format)
    sys.exit(run(options))


if __name__ == "__main__":
    main()
