"""A cell of nine daemons on stand-ins, with counters of its resource usage."""

from __future__ import annotations

import dataclasses
import itertools
import json
import os
import pathlib
import re
import sys
import time

import yaml

from demo import entry
from standins import cluster, ports
from toucanspring import job, settings
from toucanspring.adapters import tables

DAEMONS = 9
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BYTES_METRIC = re.compile(rb"^toucanspring_\w*bytes\w*\{[^}]*\} (\S+)$", re.MULTILINE)
START_LIMIT_S = 20.0  # for all tasks to run
MAX_JOBS_PER_CALL = 500
MAX_TASKS_PER_CALL = 10_000


def environment_command(options: cluster.DaemonOptions) -> list[str]:
    """Return a command that passes settings in the environment to save memory."""
    variables = [
        f"{settings.PREFIX}{field.name.upper()}={getattr(options, field.name)}"
        for field in dataclasses.fields(options)
        if field.name != "extra"
    ]
    return [
        "env",
        *variables,
        sys.executable,
        "-m",
        "toucanspring.daemon",
        *options.extra,
    ]


def make_configuration(
    zones: tuple[str, ...], teams: int = 1, ceiling: bool = False
) -> str:
    """Return a configuration of teams that each have one queue."""
    amounts = {"cpus": 700, "memory": "1400 GiB"}
    document = {
        "cell": "bench",
        "availability_zones": {zone: {"region": "bench"} for zone in zones},
        "organisations": {"bench": {"host": True}},
        "teams": {
            f"team-{number}": {
                "organisation": "bench",
                "share": 1,
                "ceiling": amounts if ceiling else {"cpus": 100_000, "memory": "9 TiB"},
            }
            for number in range(teams)
        },
        "queues": {
            f"queue-{number}": {"team": f"team-{number}"} for number in range(teams)
        },
    }
    return yaml.safe_dump(document, sort_keys=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Counters of the daemons and of the table service at one point in time."""

    at: float
    cpu_s: dict[str, float]
    bytes: dict[str, float]
    writes: int
    reads: int


class Cell:
    """Run a cell with an applied configuration; a context manager."""

    def __init__(
        self,
        seed: int,
        workers: int = 24,
        daemons: int = DAEMONS,
        teams: int = 1,
        **options,
    ) -> None:
        self.cluster = cluster.Cluster(
            workers=workers,
            backend_servers=0,
            build_command=environment_command,
            **options,
        )
        self.client = entry.EntryClient(self.cluster, seed)
        self.names = [f"entry-{number}" for number in range(1, daemons + 1)]
        self.source = make_configuration(self.cluster.zones, teams)
        self.version = 0
        self.keys: list[str] = []
        self._seen_rows = 0

    def __enter__(self) -> Cell:
        self.cluster.__enter__()
        try:
            for name in self.names:
                self.cluster.start_daemon(name, wait=False)
            for name in self.names:
                self.cluster.wait_ready(name)
            self.version = self.client.apply_configuration(self.source, 0)
            self.client.wait_in_force(self.version, len(self.names))
            self.keys = [self.client.grant_key("team-0")["secret"]]
        except BaseException:
            self.cluster.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.cluster.__exit__(*exc)

    # Counters

    def sample(self) -> Sample:
        """Read the counters of the daemons and of the table service."""
        counts = self.operations()
        names = [name for name in self.names if name in self.cluster.processes]
        at = time.monotonic()
        return Sample(
            at,
            {name: cpu_seconds(self.pid(name)) for name in names},
            {name: self._transferred_bytes(name) for name in names},
            *counts,
        )

    def pid(self, name: str) -> int:
        """Return the process ID of a daemon or stand-in."""
        return self.cluster.processes[name].pid

    def operations(self) -> tuple[int, int]:
        """Return how many transactions, and how many reads and scans were served."""
        events = self.cluster.record("tables")["events"]
        writes = sum(item["kind"] in ("commit", "conflict") for item in events)
        reads = sum(item["kind"] in ("read", "scan") for item in events)
        return writes, reads

    def tables(self) -> tables.HttpTableClient:
        """Return a client of the table service for reading only."""
        port = self.cluster.service_ports["tables"]
        return tables.HttpTableClient(ports.ADDRESS, port, "observer", 1.0)

    def resident_mb(self) -> dict[str, float]:
        """Return the resident memory of each daemon in MB of 2^20 bytes."""
        return {name: resident_mb(self.pid(name)) for name in self.names}

    def _transferred_bytes(self, name: str) -> float:
        port = self.cluster.daemon_options[name].http_port
        _, body = cluster.call(port, "GET", "/metrics")
        return sum(float(value) for value in BYTES_METRIC.findall(body))

    # Work

    def submit(
        self,
        prefix: str,
        jobs: int,
        tasks: int,
        run_ms: float | None,
        cpus: float = 0.5,
        job_ids: list[str] | None = None,
        **options: object,
    ) -> list[str]:
        """Submit jobs of identical tasks; return their IDs once accepted."""
        payload = json.dumps({"run_ms": run_ms})
        items = [
            {
                "id": job_ids[number] if job_ids else f"{prefix}-{number}",
                "queue": "queue-0",
                "tasks": tasks,
                "resources": {"cpus": cpus, "memory": "64 MiB"},
                "run_time": "1 h" if run_ms is None else "1 s",
                "payload": payload,
                **options,
            }
            for number in range(jobs)
        ]
        batch_size = max(1, min(MAX_JOBS_PER_CALL, MAX_TASKS_PER_CALL // tasks))
        for start in range(0, jobs, batch_size):
            body = {"jobs": items[start : start + batch_size]}
            reply = self.client.call("POST", "/v1/jobs", body, self.keys[0])
            if reply.status != 202:
                raise RuntimeError(f"{reply.status} {reply.body[:300]!r}")
        return [item["id"] for item in items]

    def submit_evenly(
        self,
        prefix: str,
        jobs: int,
        tasks: int,
        run_ms: float | None,
        **options: object,
    ) -> list[str]:
        """Submit jobs with IDs that map to the partitions in turn."""
        partitions = self.cluster.partitions
        job_ids: list[str] = []
        for number in itertools.count():
            job_id = f"{prefix}-{number}"
            if job.partition_of(job_id, partitions) == len(job_ids) % partitions:
                job_ids.append(job_id)
            if len(job_ids) == jobs:
                break
        return self.submit("", jobs, tasks, run_ms, job_ids=job_ids, **options)

    def status(self, job_id: str) -> dict:
        """Return the status of a job."""
        reply = self.client.call("GET", f"/v1/jobs/{job_id}", key=self.keys[0])
        return reply.json() if reply.status == 200 else {}

    def wait_running(self, job_ids: list[str], tasks: int) -> bool:
        """Wait until so many tasks of the jobs run; return whether they do."""
        deadline = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline:
            running = sum(
                self.status(job_id).get("counts", {}).get("running", 0)
                for job_id in job_ids
            )
            if running >= tasks:
                return True
            time.sleep(0.2)
        return False

    def wait_done(self, job_ids: list[str], limit_s: float) -> bool:
        """Wait until all jobs have an outcome; return whether they are done."""
        deadline = time.monotonic() + limit_s
        unfinished = list(job_ids)
        while unfinished and time.monotonic() < deadline:
            outcome = self.status(unfinished[-1]).get("outcome")
            if outcome is None:
                time.sleep(0.05)
            else:
                unfinished.pop()
        return not unfinished


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process, user and system, in seconds."""
    content = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = content.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB of 2^20 bytes."""
    content = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(content.split()[1]) * PAGE_KB / 1024


def resident_mb_self() -> float:
    """Return the resident memory of this process in MB of 2^20 bytes."""
    return resident_mb(os.getpid())


def per_second(before: Sample, after: Sample) -> dict[str, float]:
    """Return the rates between two samples; CPU and bytes are means per daemon."""
    elapsed = after.at - before.at
    daemons = len(after.cpu_s)
    cpu = {name: after.cpu_s[name] - before.cpu_s[name] for name in after.cpu_s}
    transferred = sum(after.bytes[name] - before.bytes[name] for name in after.bytes)
    return {
        "core_percent": round(100 * sum(cpu.values()) / daemons / elapsed, 2),
        "core_percent_max": round(100 * max(cpu.values()) / elapsed, 2),
        "bytes_per_s": round(transferred / daemons / elapsed),
        "store_writes_per_s": round((after.writes - before.writes) / elapsed, 1),
        "store_reads_per_s": round((after.reads - before.reads) / elapsed, 1),
    }
