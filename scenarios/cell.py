"""A running cell, and what its operators and callers know about it."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Iterator

import gevent
import msgspec
import yaml

from scenarios import client, history, loads
from standins import checker, cluster, facts, ports, processes, violations
from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.cell import ownership_rows
from toucanspring.configuration import reader

EXAMPLES = processes.ROOT / "examples"
WATCH_INTERVAL_S = 0.5
OPERATOR_RETRY_LIMIT_S = 15.0
RETRY_S = 0.1
TASK_MS = 300  # run time of tasks whose submission gives none
_decode_partition = msgspec.msgpack.Decoder(ownership_rows.PartitionRow).decode


class StepFailed(Exception):
    """Raised when a step or an expectation of a scenario does not hold."""


class Cell:
    """Hold the processes, the loads, and the facts to check the records against."""

    def __init__(self, running: cluster.Cluster, source: str, daemons: int) -> None:
        self.cluster = running
        self.partitions = running.partitions
        self.source = source
        self.model = reader.parse(source)
        self.daemons = [f"entry-{number}" for number in range(1, daemons + 1)]
        self.http_client = client.Client(running)
        self.history = history.History(running)
        self.jobs: dict[str, loads.Jobs] = {}
        self.requests: dict[str, loads.Requests] = {}
        self.keys: dict[str, loads.Key] = {}
        self.version = 0
        self.outages: list[facts.ZoneOutage] = []
        self.zones_out: dict[str, float] = {}
        self.ceilings: list[facts.Ceiling] = []
        self.gangs: dict[str, int] = {}
        self.withdrawn: dict[str, float] = {}
        self.regressions: list[str] = []
        self._versions: dict[str, dict[str, int]] = {}
        self._owners: dict[int, ownership_rows.PartitionRow] = {}
        port = running.service_ports["tables"]
        self._tables = tables.HttpTableClient(ports.ADDRESS, port, "observer", 1.0)
        self._version_watcher = gevent.spawn(self._watch_versions)

    def close(self) -> None:
        """Stop watching the cell."""
        self._version_watcher.kill()
        self._tables.close()

    # Daemons

    def start_all(self) -> None:
        """Start all daemons and wait until they are ready."""
        self.http_client.starting.update(self.daemons)
        for name in self.daemons:
            self.cluster.start_daemon(name, wait=False)
        for name in self.daemons:
            self.cluster.wait_ready(name)
        self.http_client.starting.clear()

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or start it again."""
        self._versions.pop(name, None)
        self.http_client.starting.add(name)
        self.cluster.start_daemon(name)
        self.http_client.starting.discard(name)

    def owner(self, partition: int) -> str:
        """Return the owner of a partition, as last seen in the table service."""
        found = self._tables.read([f"partitions/{partition}"])
        if not isinstance(found, errors.Failure):
            row = found[f"partitions/{partition}"]
            if row.version:
                self._owners[partition] = _decode_partition(row.value)
        row = self._owners.get(partition)
        return row.process if row else ""

    def _watch_versions(self) -> None:
        """Record each document version that decreases in a process."""
        while True:
            for name in self.http_client.active():
                reply = self.operator_call("GET", "/v1/members", name, timeout_s=1.0)
                if reply.status == 200 and name in self.http_client.active():
                    self._compare_versions(name, reply.json()["versions"])
            gevent.sleep(WATCH_INTERVAL_S)

    def _compare_versions(self, name: str, versions: dict[str, int]) -> None:
        seen = self._versions.setdefault(name, versions)
        for document, version in versions.items():
            if version < seen[document]:
                self.regressions.append(
                    f"{document} {seen[document]} -> {version}: {name}"
                )
        self._versions[name] = versions

    # Operators

    def operator_call(
        self, method: str, path: str, daemon: str = "", body: object = None, **more
    ) -> client.Reply:
        """Make one call with the operators' key."""
        return self.http_client.call(
            method, path, body, self.cluster.operator_key, daemon=daemon, **more
        )

    def retry_operator_call(
        self, method: str, path: str, body: object = None, daemon: str = "", **headers
    ) -> client.Reply:
        """Repeat an operator's call until it succeeds, also after lost answers."""
        deadline = time.monotonic() + OPERATOR_RETRY_LIMIT_S
        while True:
            reply = self.operator_call(method, path, daemon, body, headers=headers)
            if 0 < reply.status < 400:
                return reply
            repeat = reply.status == 0 or reply.status >= 500
            if not repeat or time.monotonic() > deadline:
                raise StepFailed(
                    f"{method} {path}: {reply.status} {reply.body[:300]!r}"
                )
            gevent.sleep(RETRY_S)

    def apply(self, ceilings: dict[str, int], daemon: str = "") -> None:
        """Apply the configuration with other ceilings, in processors."""
        before = time.monotonic()
        source = with_ceilings(self.source, ceilings)
        lost: list[str] = []
        while True:
            reply = self.operator_call(
                "PUT",
                "/v1/config",
                daemon,
                source.encode(),
                headers={"If-Match": str(self.version)},
            )
            if reply.status == 200:
                version = reply.json()["version"]
                break
            # The text in force can only be this one, as there is only one operator.
            if reply.failure == "Conflict" and lost:
                version = reply.error["current_version"]
                break
            reply_text = f"{reply.status} {reply.body[:300]!r}"
            if reply.status == 0 or reply.failure in ("Ambiguous", "Unknown"):
                lost.append(reply_text)
            elif reply.status < 500:
                raise StepFailed(f"PUT /v1/config: {reply_text}")
            if time.monotonic() > before + OPERATOR_RETRY_LIMIT_S:
                raise StepFailed(f"PUT /v1/config: {reply_text}")
            print(f"  PUT /v1/config: {reply_text}; retrying", flush=True)
            gevent.sleep(RETRY_S)
        self.record_in_force(source, version, before)

    def record_in_force(self, source: str, version: int, before: float) -> None:
        """Record an accepted text; a lower ceiling counts from its acceptance."""
        after = time.monotonic()
        known = {item.team: item.amount for item in self.ceilings}
        self.source = source
        self.model = reader.parse(source)
        for name, team in self.model.teams.items():
            former = known.get(name)
            if former != team.ceiling:
                lowered = former is not None and team.ceiling.fits(former)
                at = after if lowered else (before if former else 0.0)
                self.ceilings.append(facts.Ceiling(name, team.ceiling, at))
        self.version = version

    def grant(self, team: str) -> None:
        """Grant a key to a team."""
        granted = self.retry_operator_call("POST", "/v1/keys", {"team": team}).json()
        self.keys[team] = loads.Key(granted["id"], team, granted["secret"])

    def explain_unfinished_jobs(self) -> list[str]:
        """Return the status and explanation of some jobs without an outcome."""
        found = []
        for each in self.jobs.values():
            for job_id in [j for j in each.accepted if j not in each.outcomes][:2]:
                for path in (f"/v1/jobs/{job_id}", f"/v1/jobs/{job_id}/explain"):
                    reply = self.operator_call("GET", path)
                    found.append(f"{job_id}: {reply.status} {reply.body[:600]!r}")
        return found

    def withdraw(self, team: str) -> None:
        """Withdraw the key of a team."""
        key = self.keys[team]
        deadline = time.monotonic() + OPERATOR_RETRY_LIMIT_S
        while time.monotonic() < deadline:
            reply = self.operator_call("DELETE", f"/v1/keys/{key.id}")
            # Not found after a lost answer: the first call took effect.
            if reply.status in (200, 404):
                self.withdrawn[key.id] = time.monotonic()
                return
            gevent.sleep(RETRY_S)
        raise StepFailed(f"withdrawal: {reply.status} {reply.body[:200]!r}")

    def take_zone_out(self, zone: str) -> None:
        """Take a zone out of service."""
        self.retry_operator_call("POST", f"/v1/zones/{zone}/out")
        self.zones_out[zone] = time.monotonic()

    def return_zone(self, zone: str) -> None:
        """Return a zone to service."""
        if zone in self.zones_out:
            outage = facts.ZoneOutage(zone, self.zones_out.pop(zone), time.monotonic())
            self.outages.append(outage)
        self.retry_operator_call("POST", f"/v1/zones/{zone}/in")

    def read_layout(self) -> dict[str, object]:
        """Return the number of partitions and former ones."""
        return self.retry_operator_call("GET", "/v1/partitions").json()

    def set_partitions(self, number: int) -> None:
        """Change the number of partitions."""
        deadline = time.monotonic() + OPERATOR_RETRY_LIMIT_S
        while True:
            # After a lost answer, the row tells whether the change took effect.
            present = self.read_layout()
            if present["partitions"] == number:
                self.partitions = number
                return
            reply = self.operator_call(
                "PUT",
                "/v1/partitions",
                body={"partitions": number},
                headers={"If-Match": str(present["generation"])},
            )
            if time.monotonic() > deadline:
                raise StepFailed(f"set partitions: {reply.status} {reply.body[:300]!r}")

    # Loads

    def load(self, name: str) -> loads.Jobs | loads.Requests:
        """Return a load by its name."""
        return self.jobs.get(name) or self.requests[name]

    def job_fields(self, template: str, options: dict) -> tuple[dict, int]:
        """Return the fields of a submission and its number of tasks."""
        declared = self.model.jobs[template]
        fields: dict[str, object] = {"template": template, "after": []}
        if "running" in options:
            plan: dict[str, object] = {"run_ms": options["running"] * 1000}
            used = (options.get("using_cpus", 0), options.get("using_memory", 0))
            if any(used):
                plan["usage"] = [used[0] * 1000, used[1], 0]
            fields["payload"] = json.dumps(plan)
        if "tasks" in options:
            fields["tasks"] = options["tasks"]
        if "cpus" in options:
            fields["resources"] = {"cpus": options["cpus"], "memory": "256 MiB"}
        if "in_zone" in options:
            fields["zones"] = [options["in_zone"]]
        if "not_idempotent" in options:
            fields |= {"idempotent": False, "retries": 0}
        return fields, options.get("tasks", declared.task_count)

    def job_set(self, name: str, template: str) -> loads.Jobs:
        """Return the set of jobs of a name; its team is the template's."""
        if name not in self.jobs:
            team = self.model.jobs[template].team
            self.jobs[name] = loads.Jobs(
                name, self.http_client, self.keys.get(team, loads.Key())
            )
        return self.jobs[name]

    def is_gang(self, template: str) -> bool:
        """Return whether the tasks of a template start together."""
        return self.model.jobs[template].kind == "gang"

    # Checks

    def finish(self, limit_s: float) -> None:
        """Stop all loads and wait for the outcomes of all accepted work."""
        for load in (*self.requests.values(), *self.jobs.values()):
            load.stop()
        deadline = time.monotonic() + limit_s
        while True:
            for each in self.jobs.values():
                each.refresh()
            if not any(each.count("lost") for each in self.jobs.values()):
                return
            if time.monotonic() > deadline:
                return
            gevent.sleep(0.3)

    def known(self) -> facts.RunFacts:
        """Return what operators and callers know."""
        outcomes: dict[str, str] = {}
        accepted: set[str] = set()
        for each in self.jobs.values():
            outcomes |= {f"{job_id}/0": "not_run" for job_id in each.refused}
            for job_id, tasks in each.accepted.items():
                names = [f"{job_id}/{index}" for index in range(tasks)]
                state = each.outcomes.get(job_id)
                counts = each.task_counts.get(job_id, {})
                if state is None:
                    accepted.update(names)
                elif sum(bool(count) for count in counts.values()) <= 1:
                    accepted.update(names)
                    outcomes |= dict.fromkeys(names, state)
        every = (*self.jobs.values(), *self.requests.values())
        open_outages = [
            facts.ZoneOutage(zone, at) for zone, at in self.zones_out.items()
        ]
        return facts.RunFacts(
            zone_outages=(*self.outages, *open_outages),
            ceilings=tuple(self.ceilings),
            gang_sizes=self.gangs,
            accepted_tasks=frozenset(accepted),
            task_outcomes=outcomes,
            requests_not_run=frozenset().union(
                *(each.not_run for each in self.requests.values())
            ),
            answers=tuple(
                answer for each in self.requests.values() for answer in each.answers
            ),
            key_uses=tuple(use for each in every for use in each.key_uses),
            withdrawn_keys=self.withdrawn,
        )

    def problems(self) -> list[str]:
        """Return the problems so far, apart from violations in the records."""
        every = (*self.jobs.values(), *self.requests.values())
        found = [problem for each in every for problem in each.problems]
        found += [
            f"{each.count('lost')} of {each.name} lost"
            for each in every
            if each.count("lost")
        ]
        return found + [f"reverted: {item}" for item in self.regressions]

    def check_records(self) -> list[violations.Violation]:
        """Return the violations in the records of all processes."""
        return checker.check(self.cluster.records(), self.known())


def read_deployment(name: str) -> str:
    """Return the text of a deployment with tasks that end within a scenario."""
    document = yaml.safe_load((EXAMPLES / f"{name}.yaml").read_text())
    for template in document["jobs"].values():
        run_ms = None if template.get("kind") == "service" else TASK_MS
        template["payload"] = json.dumps({"run_ms": run_ms})
    return yaml.safe_dump(document, sort_keys=False)


def with_ceilings(source: str, ceilings: dict[str, int]) -> str:
    """Return a text with other processors in the ceilings of teams."""
    document = yaml.safe_load(source)
    for team, cpus in ceilings.items():
        document["teams"][team]["ceiling"]["cpus"] = cpus
    return yaml.safe_dump(document, sort_keys=False)


@contextlib.contextmanager
def run(
    deployment: str, daemons: int, workers: int, executors: int, partitions: int
) -> Iterator[Cell]:
    """Run the stand-ins of a cell; daemons are started by steps."""
    source = read_deployment(deployment)
    model = reader.parse(source)
    service = next(iter(model.services.values())).backend_servers
    with cluster.Cluster(
        workers=workers,
        backend_servers=executors,
        zones=tuple(model.availability_zones),
        partitions=partitions,
        worker_options=("--accelerators", "4", "--accelerated", str(workers)),
        backend_options=("--service-name", service),
    ) as running:
        cell = Cell(running, source, daemons)
        try:
            yield cell
        finally:
            cell.close()
