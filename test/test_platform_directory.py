import contextlib
import json
import pathlib
import tempfile

import gevent
import testtools

from standins import rowstore
from test import platform_case  # noqa: F401  finds the adapter's modules
from toucanspring import errors, resources
from toucanspring.coordinator import ports

import deployment  # isort: skip
import directory  # isort: skip

ROUTE = {
    "name": "r-1",
    "host": "nony24.example",
    "path_prefix": "/lohu930/",
    "service": "huvo11a",
    "type": "non_idempotent",
    "priority": 1,
    "max_attempts": 2,
    "stretch": 2.2,
    "target_runtime_ms": 1000,
    "advice": {"decision_ms": 720.0, "per_worker_ms": 6.5, "validity_ms": 2500},
    "unknown": "field",
}
TENANT = {
    "name": "kaje80",
    "api_keys": ["k1", "k2"],
    "weight": 14,
    "upper_bound": {"cpu": 402293, "mem_mb": 512533, "gpus": 0},
}
EXECUTOR = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "bern-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "seq": 4,
    "born": 7,
}


def encode(value):
    return json.dumps(value).encode()


class ConfigurationTest(testtools.TestCase):
    def test_routes_and_tenants_become_queues_and_organisations(self):
        value = {"version": 7, "routes": [ROUTE], "tenants": [TENANT]}
        found = directory.decode_configuration(encode(value))
        queue = found.route("nony24.example", "/lohu930/5c0e")
        self.assertEqual(
            ("r-1", "huvo11a", 1.0), (queue.name, queue.pool, queue.target_s)
        )
        self.assertEqual(0.72, queue.approval.decision_s)
        self.assertEqual("kaje80", found.organisation_of("k2", queue))
        self.assertIsInstance(found.organisation_of("k3", queue), errors.Forbidden)
        self.assertEqual(402293, found.organisations["kaje80"].ceiling.cpus)

    def test_the_longest_prefix_matches(self):
        longer = {**ROUTE, "name": "r-2", "path_prefix": "/lohu930/x/"}
        value = {"version": 7, "routes": [longer, ROUTE]}
        found = directory.decode_configuration(encode(value))
        self.assertEqual("r-2", found.route("nony24.example", "/lohu930/x/1").name)
        self.assertEqual("r-1", found.route("nony24.example", "/lohu930/y").name)
        self.assertIsInstance(found.route("other", "/lohu930/y"), errors.NotFound)

    def test_a_faulty_configuration_is_malformed(self):
        for value in (b"", b"[]", encode({"version": "x"})):
            found = directory.decode_configuration(value)
            self.assertIsInstance(found, errors.Malformed)


class ExecutorEntryTest(testtools.TestCase):
    def test_an_entry_becomes_a_worker(self):
        found = directory.decode_executor("i-1", encode(EXECUTOR))
        self.assertEqual(resources.Resources(16000, 32768, 0), found.capacity)
        self.assertEqual(
            ("r1-3", 7, False), (found.rack, found.incarnation, found.draining)
        )

    def test_invalid_entries_are_malformed(self):
        for value in (
            b"\xff",
            b"{}",
            encode({**EXECUTOR, "state": "odd"}),
            encode({**EXECUTOR, "address": 5}),
            encode({**EXECUTOR, "capacity": "much"}),
        ):
            found = directory.decode_executor("i-1", value)
            self.assertIsInstance(found, errors.Malformed)


class DirectoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.directory = directory.Directory(self.store)

    def put(self, key, value, table="op"):
        self.store.put(ports.RowId(table, "", key), encode(value))

    def test_zones_are_taken_out_of_service_and_back(self):
        self.put("evacuate/bern-a", {})
        self.directory._operators.poll()
        self.assertEqual({"bern-a"}, self.directory.zones_out)
        self.store.transact({}, {}, (ports.RowId("op", "", "evacuate/bern-a"),))
        self.directory._operators.poll()
        self.assertEqual(frozenset(), self.directory.zones_out)

    def test_an_older_configuration_does_not_replace_a_newer_one(self):
        self.put("config", {"version": 7})
        self.directory._operators.poll()
        self.put("config", {"version": 6})
        self.directory._operators.poll()
        self.assertEqual(7, self.directory.catalogue.version)

    def test_a_faulty_configuration_leaves_the_one_in_force(self):
        self.put("config", {"version": 7})
        self.directory._operators.poll()
        self.put("config", {"version": "x"})
        self.directory._operators.poll()
        self.assertEqual(7, self.directory.catalogue.version)

    # Guards against a scan of all workers for each of the entries read at a takeover.
    def test_entries_that_came_together_are_notified_once(self):
        calls = []
        for number in range(50):
            self.put(f"i-{number}", EXECUTOR, "servers")
        with self.directory.follow_workers(lambda: calls.append(1)):
            while not calls:
                gevent.sleep(0.001)
            gevent.sleep(0.01)
            self.assertEqual(50, len(self.directory.entries()))
            self.assertEqual([1], calls)

    # Guards against executors that stay although they left between two epochs.
    def test_an_epoch_that_ends_by_an_error_leaves_no_entries(self):
        self.put("i-1", EXECUTOR, "servers")
        calls = []
        with (
            contextlib.suppress(KeyError),
            self.directory.follow_workers(lambda: calls.append(1)),
        ):
            while not calls:
                gevent.sleep(0.001)
            raise KeyError
        self.assertEqual({}, self.directory.entries())
        self.put("evacuate/bern-a", {})
        self.directory._operators.poll()
        self.assertEqual([1], calls)


class DeploymentTest(testtools.TestCase):
    def read(self, text, **environment):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "local.toml"
        path.write_text(text)
        named = {deployment.SETTINGS_VARIABLE: str(path)}
        return deployment.read({**named, **environment})

    SETTINGS = """
node_name = "edge-1"
ip = "10.1.0.17"
zone = "bern-a"
internal_ports = [7420,7435]
advice = "10.200.1.9:8182"
new_field = true
[listen_addrs]
front = "10.1.0.17:8183"
ready = "10.1.0.17:8184"
[bounds]
max_hold_ms = 6000
grace_s = 6
[platform]
address = "10.200.1.7:8182"
"""

    def test_the_settings_are_read(self):
        found = self.read(self.SETTINGS)
        self.assertEqual(("10.1.0.17", 8183), found.callers)
        self.assertEqual((7420, 6000), (found.peer_port, found.max_lease_ms))

    def test_invalid_settings_are_rejected(self):
        for text in (
            "",
            "no = [toml",
            self.SETTINGS.replace('"10.200.1.7:8182"', '"nowhere"'),
            self.SETTINGS.replace('ip = "10.1.0.17"\n', ""),
        ):
            self.assertIsInstance(self.read(text), errors.Invalid)

    def test_the_metrics_port_is_checked(self):
        name = deployment.METRICS_PORT_VARIABLE
        self.assertEqual(0, self.read(self.SETTINGS).metrics_port)
        found = self.read(self.SETTINGS, **{name: "9464"})
        self.assertEqual(9464, found.metrics_port)
        for text in ("x", "", "-1", "65536"):
            found = self.read(self.SETTINGS, **{name: text})
            self.assertIsInstance(found, errors.Invalid)

    def test_a_missing_file_is_invalid(self):
        self.assertIsInstance(deployment.read({}), errors.Invalid)
