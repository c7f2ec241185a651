"""Measure how long changes take to apply on all daemons under load."""

from __future__ import annotations

import json
import sys
import threading
import time

import defopt

from bench import cell
from standins import cluster

CONFIG_CHANGES = 15
WITHDRAWALS = 8
OUTAGES = 3
OUT_S = 3.5  # length of an outage
IN_S = 1.0  # between outages
LIMIT_S = 10.0  # for a change to apply on all daemons
TASK_MS = 300.0
JOBS = 12  # per submission
TASKS = 500  # per job


class Load:
    """Keep the workers of a cell busy with short batch tasks; a context manager."""

    def __init__(self, running: cell.Cell, run_ms: float = TASK_MS) -> None:
        self.submitted: list[str] = []
        self._running = running
        self._run_ms = run_ms
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> Load:
        self._submit()
        self._thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self._stopping.set()
        self._thread.join()

    def _submit(self) -> None:
        """Submit the same number of tasks to each partition."""
        number = len(self.submitted)
        self.submitted += self._running.submit_evenly(
            f"load-{number}", JOBS, TASKS, self._run_ms, cpus=1, retries=10
        )

    def _waiting(self) -> int:
        """Return the number of waiting tasks of the last two submissions."""
        return sum(
            self._running.status(name).get("counts", {}).get("waiting", 0)
            for name in self.submitted[-2 * JOBS :]
        )

    def _run(self) -> None:
        while not self._stopping.wait(0.2):
            if self._waiting() < JOBS * TASKS:
                self._submit()


def percentile(values: list[float], fraction: float = 0.99) -> float:
    """Return a percentile of the values; `fraction` is from 0 to 1."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 3)


def time_until_all(running: cell.Cell, holds) -> float:
    """Return the seconds until `holds(name)` was true once for each daemon.

    Time counts from the call. If that takes too long, `RuntimeError` is raised.
    """
    started = time.monotonic()
    left = list(running.names)
    while left:
        left = [name for name in left if not holds(name)]
        if time.monotonic() - started > LIMIT_S:
            raise RuntimeError(f"change not applied on {left} within {LIMIT_S} s")
    return time.monotonic() - started


def call_daemon(
    running: cell.Cell, name: str, method: str, path: str, key: str, body=None
):
    """Send a request to one daemon and return its response."""
    port = running.cluster.daemon_options[name].http_port
    headers = {"Authorization": f"Bearer {key}"}
    return cluster.call(port, method, path, body, headers)


def time_config(running: cell.Cell, number: int) -> float:
    """Apply a configuration; return the seconds until all daemons use it."""
    source = running.source.replace("share: 1", f"share: {number + 2}")
    started = time.monotonic()
    running.version = running.client.apply_configuration(source, running.version)

    def holds(name: str) -> bool:
        _, body = call_daemon(
            running, name, "GET", "/v1/members", running.cluster.operator_key
        )
        return json.loads(body)["versions"]["config"] >= running.version

    time_until_all(running, holds)
    return time.monotonic() - started


def time_withdrawal(running: cell.Cell, number: int) -> float:
    """Withdraw a key; return the seconds until all daemons refuse it."""
    key = running.client.grant_key("team-0")
    probe = {"queue": "queue-0", "resources": {"cpus": 0.1, "memory": "1 MiB"}}
    items = iter(range(1_000_000))

    def accepts(name: str) -> bool:
        item = {**probe, "id": f"probe-{number}-{next(items)}"}
        status, _ = call_daemon(
            running, name, "POST", "/v1/jobs", key["secret"], {"jobs": [item]}
        )
        return status == 202

    time_until_all(running, accepts)
    started = time.monotonic()
    running.client.call_as_operator("DELETE", f"/v1/keys/{key['id']}")
    time_until_all(running, lambda name: not accepts(name))
    return time.monotonic() - started


def time_outage(running: cell.Cell, zone: str) -> tuple[float, float]:
    """Take a zone out of service and return it; return the times of both changes."""
    running.client.call_as_operator("POST", f"/v1/zones/{zone}/out")
    out_at = time.monotonic()
    time.sleep(OUT_S)
    in_at = time.monotonic()
    running.client.call_as_operator("POST", f"/v1/zones/{zone}/in")
    time.sleep(IN_S)
    return out_at, in_at


def measure(*, seed: int = 1) -> None:
    """Print the times in seconds and one JSON line.

    :param seed: Seed of the choice of entry processes.
    """
    with cell.Cell(seed) as running, Load(running):
        time.sleep(2)
        configs = [time_config(running, number) for number in range(CONFIG_CHANGES)]
        withdrawals = [
            time_withdrawal(running, number) for number in range(WITHDRAWALS)
        ]
        zone = running.cluster.zones[0]
        spans = [time_outage(running, zone) for _ in range(OUTAGES)]
        record = running.cluster.record("workers")
    starts = [
        event["at"]
        for event in record["events"]
        if event["kind"] == "start" and event["availability_zone"] == zone
    ]
    if not starts:
        raise RuntimeError(f"no task ever started in {zone}")
    lags = []
    for out_at, in_at in spans:
        late = [at - out_at for at in starts if out_at <= at < in_at]
        lags.append(max(late, default=0.0))
    result = {
        "bench": "change",
        "seed": seed,
        "config_p99_s": percentile(configs),
        "key_withdrawal_p99_s": percentile(withdrawals),
        "zone_out_p99_s": percentile(lags),
        "samples": [len(configs), len(withdrawals), len(lags)],
        "events_dropped": record["dropped"],
    }
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
