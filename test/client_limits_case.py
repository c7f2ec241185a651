"""Real processes under a crowd of clients outside the limits, and what must hold.

The number of clients and the bounds were fixed on 3185f34, before the limits existed.
"""

import contextlib
import http.client
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import testtools

from standins import cluster, lease_workers, ports, processes, rowstore
from test import client_crowd, platform_case  # noqa: F401  puts platform/ on the path
from toucanspring.coordinator import candidacy, catalogue, rows
from toucanspring.coordinator import ports as types

import emulator  # isort: skip  from the folder of the adapter

KEY = "key"
HOST = "127.0.0.1"
JOB = "00000000000000aa"
MEMORY_MB = 160  # of the smallest VM
MAX_FDS = 500
MAX_SOCKETS = MAX_FDS - 200  # 200 descriptors are for files
SPARE_FDS = 20  # above those at the start, once the clients are gone
READ_TIMEOUT_S = 10.0
SETTLE_S = 120.0  # longer than any time limit of a connection
POLL_S = 0.1
TRIES = 20
HELD_BODY_BYTES = 32 << 20
DAEMON_CONNECTIONS = 100
# Settings of the daemon lowered for these tests.
DAEMON_VARIABLES = {
    "TOUCANSPRING_HELD_BODY_BYTES": str(HELD_BODY_BYTES),
    "TOUCANSPRING_MAX_CONNECTIONS": str(DAEMON_CONNECTIONS),
}
DAEMON_FDS = 200


def read_peak_mb(pid):
    """Return the largest resident memory that a process has had, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f"process {pid} has no memory")


def list_fds(pid):
    """Return what the open descriptors of a process refer to."""
    found = []
    for each in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            found.append(os.readlink(each))
    return found


def count_sockets(pid):
    """Return how many sockets a process has open."""
    return sum(name.startswith("socket:") for name in list_fds(pid))


def request(port, method, path, body=None, headers=()):
    """Send one request on a connection of its own; return status and body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=READ_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        return answer.status, answer.read()


class Crowd:
    """The clients outside the limits; a context manager that ends with them gone."""

    def __init__(self, kind, count, port, path, key=KEY):
        command = [sys.executable, "-m", "test.client_crowd", kind]
        self._child = subprocess.Popen(
            [*command, str(count), str(port), path, key],
            cwd=processes.ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def __enter__(self):
        assert self._child.stdout.readline() == b"held\n"
        return self

    def __exit__(self, *_exc):
        self._child.stdin.close()
        self._child.wait()
        self._child.stdout.close()


class LimitsCase(testtools.TestCase):
    """What holds for a process during a crowd and after it."""

    memory_mb = MEMORY_MB

    def wait_for(self, condition, what):
        limit = time.monotonic() + SETTLE_S
        while not condition():
            self.assertTrue(time.monotonic() < limit, what)
            time.sleep(POLL_S)

    def check_ordinary(self):
        """Send an ordinary request; one that was refused is repeated."""
        last = None
        for _ in range(TRIES):
            try:
                last = self.ordinary()
            except (OSError, http.client.HTTPException) as error:
                last = error
            else:
                if last == 200:
                    return
            time.sleep(0.25)
        self.fail(f"no ordinary request was answered: {last!r}")

    def check(self, kind, count, port, path, key=KEY):
        """Check that a process withstands a crowd."""
        before = len(list_fds(self.pid))
        with Crowd(kind, count, port, path, key):
            self.assertIsNone(self.process.status())
            self.check_bounds()
            self.check_ordinary()
            self.check_bounds()
        self.check_after(before)

    def check_after(self, fds_before):
        """Check the process once the clients are gone."""
        self.wait_for(
            lambda: len(list_fds(self.pid)) <= fds_before + SPARE_FDS,
            "descriptors stay open",
        )
        self.check_ordinary()
        self.check_bounds()
        self.assertIsNone(self.process.status())

    def check_bounds(self):
        self.assertLess(read_peak_mb(self.pid), self.memory_mb)
        self.assertLess(count_sockets(self.pid), self.max_sockets)


class PlatformCase(LimitsCase):
    """One `python3 platform` process, which coordinates."""

    max_sockets = MAX_SOCKETS

    def setUp(self):
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        reserved = stack.enter_context(ports.PortReservation(7))
        self.port = reserved.first + 2
        self.ready_port, self.metrics_port = self.port + 1, self.port + 4
        self.store = rowstore.MemoryStore()
        self.workers = lease_workers.LeaseWorkers()
        for port, resource in (
            (reserved.first, emulator.StoreResource(self.store)),
            (reserved.first + 1, emulator.ApprovalResource()),
        ):
            listener = emulator.Listener((HOST, port), resource.application())
            stack.enter_context(listener)
        queue = catalogue.Queue(
            name="jobs", host=HOST, path_prefix="/jobs/", pool="pool", max_attempts=2,
            stretch=2.0, target_s=1.0,
        )  # fmt: skip
        desk = catalogue.Organisation(name="desk", keys=frozenset({KEY}), weight=50)
        known = catalogue.Catalogue(
            version=1, queues=(queue,), organisations={"desk": desk}
        )
        row = types.RowId("op", "", "config")
        self.store.put(row, emulator.encode_configuration(known))
        settings = folder / "entry.toml"
        text = emulator.render_settings(
            "entry", "a", self.port, HOST, f"{HOST}:{reserved.first}",
            f"{HOST}:{reserved.first + 1}",
            candidacy.Capacity(cores=1.0, link_mbps=100.0, memory_mb=self.memory_mb),
        )  # fmt: skip
        settings.write_text(f"{text}max_fds = {MAX_FDS}\n")
        self.process = processes.ManagedProcess(
            "entry",
            [sys.executable, str(processes.ROOT / "platform")],
            folder,
            {
                "TOUCANSPRING_SETTINGS": str(settings),
                "TOUCANSPRING_METRICS_PORT": str(self.metrics_port),
            },
        )
        stack.callback(self.process.kill)
        self.pid = self.process.pid
        processes.wait_until(self.process, self.is_ready)
        self.wait_for(lambda: self.lease() is not None, "no coordinator")
        self.check_ordinary()
        self.led = self.lease()

    def is_ready(self):
        with contextlib.suppress(OSError):
            return request(self.ready_port, "GET", "/toucanspring/ready")[0] == 200
        return False

    def lease(self):
        """Return the holder of the leader lease and its epoch."""
        row = self.store.rows.get(rows.LEADER_LEASE_ROW)
        if row is None:
            return None
        held = rows.decode(rows.LeaderLease, row.value)
        return (held.process, held.instance_id, held.epoch) if held.process else None

    def submit(self, body, job_id=JOB):
        """Submit a job; return the status."""
        headers = emulator.caller_headers(KEY, 3.0)
        return request(self.port, "POST", f"/jobs/{job_id}", body, headers)[0]

    def ordinary(self):
        return self.submit(b'{"spec":"x","phases":[{"count":3,"cpu":1000}]}')

    def check_after(self, fds_before):
        super().check_after(fds_before)
        self.assertEqual(self.led, self.lease())


class DaemonCase(LimitsCase):
    """One `toucanspringd` with an operators' text and a team key."""

    max_sockets = DAEMON_FDS

    def setUp(self):
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)

        def build_command(options):
            changed = [f"{name}={value}" for name, value in DAEMON_VARIABLES.items()]
            return ["env", *changed, *cluster.daemon_command(options)]

        cell = stack.enter_context(
            cluster.Cluster(
                workers=0, backend_servers=0, partitions=1, build_command=build_command
            )
        )
        self.port = cell.start_daemon("p0").http_port
        self.process = cell.processes["p0"]
        self.pid = self.process.pid
        operator = {"Authorization": f"Bearer {cell.operator_key}"}
        source = (processes.ROOT / "examples" / "kernhalde.yaml").read_bytes()
        headers = {**operator, "If-Match": "0"}
        self.assertEqual(
            200, request(self.port, "PUT", "/v1/config", source, headers)[0]
        )
        status, body = request(
            self.port, "POST", "/v1/keys", b'{"team":"desk"}', operator
        )
        self.assertTrue(status < 300, body)
        self.key = json.loads(body)["secret"]
        self.operator = operator
        self.check_ordinary()

    def ordinary(self):
        return request(self.port, "GET", "/v1/members", None, self.operator)[0]

    def check_callers(self, kind, count):
        """Check with a crowd that sends jobs under a valid key."""
        self.check(kind, count, self.port, client_crowd.DAEMON_PATH, self.key)
