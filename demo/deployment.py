"""The two example deployments, each with nine daemons in three zones."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import time
from collections.abc import Callable, Iterator

import gevent
import yaml

from demo import callers, entry, summary
from standins import checker, cluster, facts, processes
from toucanspring import errors
from toucanspring.configuration import reader

DAEMONS = 9
EXAMPLES = processes.ROOT / "examples"
JOB_LIMIT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment: its configuration file, its service and its load."""

    name: str
    file_name: str
    service: str
    partitions: int
    run: Callable[[Run], None]


@dataclasses.dataclass(slots=True)
class Run:
    """A running deployment and the facts needed to check its records."""

    cluster: cluster.Cluster
    client: entry.EntryClient
    counts: summary.Summary
    keys: dict[str, dict]
    log: Callable[[str], None]
    outages: list[facts.ZoneOutage] = dataclasses.field(default_factory=list)
    gangs: dict[str, int] = dataclasses.field(default_factory=dict)

    def submitter(self, team: str = "") -> callers.Submitter:
        """Return a submitter with the key of a team, or without a key."""
        secret = self.keys[team]["secret"] if team else ""
        return callers.Submitter(self.client, self.counts, secret)

    def expect(self, holds: bool, problem: str) -> None:
        """Report a problem unless `holds`."""
        if not holds:
            self.counts.problems.append(problem)


def make_payload(run_ms: int, answer: str = "") -> str:
    """Return the payload of a task for the worker stand-in."""
    return json.dumps({"run_ms": run_ms, "answer": answer})


def run_kernhalde(run: Run) -> None:
    """Serve checks and builds while a daemon is shut down and a key withdrawn."""
    load = callers.Callers(
        run.client, run.counts, "request-desk", run.keys["desk"]["secret"]
    )
    load.start(callers.RequestKind("check", True, 400, 5), 12)
    load.start(callers.RequestKind("normal", False, 2000, 20), 6)
    load.start(callers.RequestKind("deferrable", True, 200_000, 50), 3)
    labels = run.submitter("labels")
    labels.submit(
        [
            {
                "id": f"proofs-{n}",
                "template": "proof-rendering",
                "payload": make_payload(60),
            }
            for n in range(20)
        ]
    )
    desk = run.submitter("desk")
    desk.submit(
        [
            {
                "id": f"invoices-{n}",
                "template": "invoice-run",
                "payload": make_payload(30),
            }
            for n in range(40)
        ]
    )
    gevent.sleep(2)
    run.log("shutting down entry-4 under load")
    status = run.cluster.stop_daemon("entry-4")
    run.expect(status == 0, f"entry-4 exited with status {status}")
    run.cluster.start_daemon("entry-4")
    run.log("entry-4 answered all requests before it exited, and was restarted")
    _withdraw_key(run)
    gevent.sleep(1)
    load.stop()
    labels.wait(JOB_LIMIT_S)
    desk.wait(JOB_LIMIT_S)


def _withdraw_key(run: Run) -> None:
    key = run.keys["analytics"]
    run.client.call_as_operator("DELETE", f"/v1/keys/{key['id']}")
    gevent.sleep(checker.IN_FORCE_S)
    accepted = 0
    for number in range(18):
        item = {"id": f"late-{number}", "template": "sales-cubes"}
        reply = run.client.call("POST", "/v1/jobs", {"jobs": [item]}, key["secret"])
        accepted += reply.status < 400
    run.expect(accepted == 0, f"{accepted} jobs accepted with a withdrawn key")
    run.log("withdrew the key of team analytics: 18 of 18 later jobs were refused")


def run_zimna_patna(run: Run) -> None:
    """Run a gang and batch work during an outage of an availability zone."""
    load = callers.Callers(
        run.client, run.counts, "road-ice", run.keys["dispatch"]["secret"]
    )
    load.start(callers.RequestKind("check", True, 300, 5), 8)
    load.start(callers.RequestKind("urgent", False, 500, 20), 4)
    ensembles = run.submitter("ensembles")
    gang = {
        "id": "night-1",
        "template": "night-ensemble",
        "payload": make_payload(2500),
    }
    # Submitted with its dependencies, each with its own ID.
    ensembles.submit([gang])
    run.gangs["night-1"] = 20
    refreshes = run.submitter("sofia-roads")
    refreshes.submit(
        [
            {
                "id": f"refresh-{number}",
                "template": "route-temperatures-sofia",
                "payload": make_payload(400),
            }
            for number in range(12)
        ]
    )
    gevent.sleep(1)
    zone = run.cluster.zones[0]
    run.log(f"taking availability zone {zone} out of service")
    run.client.call_as_operator("POST", f"/v1/zones/{zone}/out")
    out_at = time.monotonic()
    gevent.sleep(checker.IN_FORCE_S + 3)
    run.client.call_as_operator("POST", f"/v1/zones/{zone}/in")
    run.outages.append(facts.ZoneOutage(zone, out_at, time.monotonic()))
    run.log(f"availability zone {zone} is back in service")
    gevent.sleep(1)
    load.stop()
    ensembles.wait(JOB_LIMIT_S)
    refreshes.wait(JOB_LIMIT_S)


DEPLOYMENTS = (
    # Three partitions show how ceilings are divided; the default is one.
    Deployment("Kernhalde", "kernhalde.yaml", "request-desk", 3, run_kernhalde),
    Deployment("Zimna Patna", "zimna-patna.yaml", "road-ice", 1, run_zimna_patna),
)


@contextlib.contextmanager
def start(deployment: Deployment, log: Callable[[str], None]) -> Iterator[Run]:
    """Start stand-ins and daemons, apply the configuration and grant the keys."""
    source = (EXAMPLES / deployment.file_name).read_text()
    cell = reader.parse(source)
    if isinstance(cell, errors.Invalid):
        raise ValueError(cell)
    with cluster.Cluster(
        workers=24,
        backend_servers=24,
        zones=tuple(cell.availability_zones),
        partitions=deployment.partitions,
        worker_options=("--accelerators", "4", "--accelerated", "24"),
        backend_options=("--service-name", deployment.service),
    ) as running:
        names = [f"entry-{number}" for number in range(1, DAEMONS + 1)]
        for name in names:
            running.start_daemon(name, wait=False)
        for name in names:
            running.wait_ready(name)
        client = entry.EntryClient(running, seed=7)
        counts = summary.Summary(deployment.name)
        version = client.apply_configuration(_with_short_tasks(source), 0)
        client.wait_in_force(version, DAEMONS)
        keys = {team: client.grant_key(team) for team in cell.teams}
        log(
            f"{deployment.name}: {DAEMONS} daemons, 24 workers, 24 executors, "
            f"configuration {version}, {len(keys)} keys"
        )
        yield Run(running, client, counts, keys, log)


def _with_short_tasks(source: str) -> str:
    """Return the configuration with tasks that end within the demo."""
    document = yaml.safe_load(source)
    for template in document["jobs"].values():
        if template.get("kind") != "service":
            template["payload"] = make_payload(300)
    return yaml.safe_dump(document, sort_keys=False)


def execute(deployment: Deployment, log: Callable[[str], None]) -> summary.Summary:
    """Run one deployment from start to end and check its records."""
    with start(deployment, log) as run:
        deployment.run(run)
        known = facts.RunFacts(zone_outages=tuple(run.outages), gang_sizes=run.gangs)
        run.counts.violations = checker.check(run.cluster.records(), known)
        return run.counts
