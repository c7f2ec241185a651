import contextlib
import json
import pathlib
import tempfile

import gevent
import hypothesis
import logbook
import msgspec
import testtools
from hypothesis import strategies

from standins import rowstore
from test import platform_case  # noqa: F401  finds the adapter's modules
from toucanspring import errors, resources
from toucanspring.adapters import exchange
from toucanspring.coordinator import leadership, ports

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


class LateStore(rowstore.MemoryStore):
    """A store without changes whose answers are late by `latency_s`."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.latency_s = 0.0
        self.waits_s = []
        self.on_answer = lambda: None

    def clock(self):
        return self.now

    def follow(self, _table, _after, wait_s, _answer_timeout_s=None):
        self.waits_s.append(wait_s)
        self.now += wait_s + self.latency_s
        self.on_answer()
        return ports.Changes((), self.timestamp())


class ViewAgeTest(testtools.TestCase):
    """Nothing is planned while the view of the operators' settings is too old."""

    def setUp(self):
        super().setUp()
        self.store = LateStore()
        self.directory = directory.Directory(self.store)
        self.cache = self.directory._operators
        self.cache._clock = self.store.clock
        self.ages = []
        self.store.on_answer = lambda: self.ages.append(
            self.directory.age(self.store.now)
        )
        self.assertIsNone(self.cache.poll())

    def follow(self, latency_s):
        self.store.latency_s = latency_s
        for _ in range(5):
            self.assertIsNone(self.cache.poll())

    def test_the_view_stays_young_enough_while_the_store_is_slow(self):
        for latency_s in (0.01, 0.6, 0.01, 0.3, 0.6, 0.15, 0.6):
            self.follow(latency_s)
        self.assertLess(max(self.ages), leadership.MAX_VIEW_AGE_S)

    def test_short_waits_are_made_only_while_answers_are_late(self):
        self.follow(0.01)
        usual = set(self.store.waits_s)
        self.follow(0.6)
        self.assertEqual(
            {directory.OPERATORS_LATE_WAIT_S}, set(self.store.waits_s[-4:])
        )
        self.follow(0.01)
        self.assertEqual(usual, set(self.store.waits_s[-4:]))


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(-(10**25), 10**25)
    | strategies.floats()
    | strategies.text()
    | strategies.sampled_from(("ready", "draining", "10.0.0.1:80", "a:1")),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(("cpu", "mem_mb", "gpus", "x")), inner
        )
    ),
    max_leaves=8,
)


def nest(depth, opening="[", closing="]"):
    return f"{opening * depth}{closing * depth}"


def nested_entries(good):
    """Return entries with an unknown field that is nested too deep to be read."""
    rest = json.dumps(good)[1:]
    members = nest(1100, '{"x":', "}").replace(":}", ":1}")
    return {
        "lists 1,100 deep": f'{{"zz":{nest(1100)},{rest}'.encode(),
        "lists 20,000 deep": f'{{"zz":{nest(20_000)},{rest}'.encode(),
        "maps 1,100 deep": f'{{"zz":{members},{rest}'.encode(),
    }


ODD_ADDRESSES = {
    "an empty address": "",
    "no port": "10.128.0.9",
    "no host": ":8080",
    "port 0": "10.128.0.9:0",
    "port 65,536": "10.128.0.9:65536",
    "a negative port": "10.128.0.9:-1",
    "a port of 5,000 digits": f"10.128.0.9:{'9' * 5000}",
    "a port that is no decimal number": "10.128.0.9:\N{SUPERSCRIPT TWO}",
    "a port in other digits": "10.128.0.9:\N{ARABIC-INDIC DIGIT THREE}",
    "an empty label": "a..b:8080",
    "a label of 64 characters": f"{'x' * 64}:8080",
    "a line break": "a\r\nX-B: 1\n:8080",
    "a null character": "a\0:8080",
    "a letter beyond ASCII": "\N{LATIN SMALL LETTER E WITH ACUTE}:8080",
}


REQUIRED = ("service", "address", "zone", "state", "capacity", "labels")
WRONG_TYPES = {
    "service": (None, 5, "", ["huvo11a"]),
    "address": (None, 5, {}),
    "zone": (None, 5, ""),
    "state": (None, 1, "", "READY", "gone"),
    "capacity": (None, 5, "much", [], [16000, 32768, 0]),
    "labels": (None, "a", [1], {"a": 1}),
    "born": (None, "7", 7.5, -1, 10**20, 10**400),
    "remaining_ms": ("7", 7.5, -2, 10**20, 10**400),
    "version": (1, []),
    "slots": ("8", -1, 10**20),
    "seq": ("4", -1, 10**20),
    "cold_remaining_ms": ("0", -1, 10**20),
}
ODD_AMOUNTS = (None, "1", 1.5, -1, -(10**20), 10**10, 2**63, 10**20, 10**400)
UNREADABLE = {
    "no bytes": b"",
    "bytes beyond UTF-8": b"\xff\xfe\x00",
    "half an entry": b'{"service":"huvo11a","addr',
    "a list": b"[]",
    "null": b"null",
    "a number of 5,000 digits": b"9" * 5000,
    "an infinite number": b"1e999",
    "half a surrogate pair": b'{"service":"\\ud800"}',
}


def odd_entries(good):
    """Return entries, by what is odd about them, that name no executor to use."""
    found = {**nested_entries(good), **UNREADABLE}
    for name, address in ODD_ADDRESSES.items():
        found[name] = {**good, "address": address}
    for field in REQUIRED:
        found[f"{field} missing"] = {
            name: value for name, value in good.items() if name != field
        }
    for field, values in WRONG_TYPES.items():
        for number, value in enumerate(values):
            found[f"{field} odd {number}"] = {**good, field: value}
    for field in good["capacity"]:
        for number, value in enumerate(ODD_AMOUNTS):
            capacity = {**good["capacity"], field: value}
            found[f"{field} odd {number}"] = {**good, "capacity": capacity}
    return found


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

    def test_odd_entries_of_another_writer_are_malformed(self):
        # Guards against RecursionError and values that end later steps.
        for name, value in odd_entries(EXECUTOR).items():
            content = value if isinstance(value, bytes) else encode(value)
            found = directory.decode_executor("i-1", content)
            self.assertIsInstance(found, errors.Malformed, name)

    def test_an_id_that_no_header_can_hold_names_no_executor(self):
        # Guards against ValueError and UnicodeEncodeError when an order is sent.
        for executor_id in ("", "i\r\nX-B: 1", "i\0", "\N{EURO SIGN}"):
            found = directory.decode_executor(executor_id, encode(EXECUTOR))
            self.assertIsInstance(found, errors.Malformed)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_each_entry_is_a_usable_worker_or_malformed(self, data):
        # Guards against any other exception and against values beyond the limits.
        field = data.draw(strategies.sampled_from(sorted(EXECUTOR)))
        entry = {**EXECUTOR, field: data.draw(JSON)}
        found = directory.decode_executor("i-1", encode(entry))
        if isinstance(found, errors.Malformed):
            return
        amounts = (
            found.capacity.cpus, found.capacity.memory, found.capacity.accelerators
        )  # fmt: skip
        self.assertTrue(all(0 <= each <= 10**9 for each in amounts))
        self.assertTrue(0 <= found.incarnation <= 10**14)
        self.assertTrue(-1 <= found.leaves_in_ms <= 10**12)
        self.assertIsInstance(exchange.parse_address(found.address), tuple)
        msgspec.msgpack.encode(found)


class DirectoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.directory = directory.Directory(self.store)

    def put(self, key, value, table="op"):
        self.store.put(ports.RowId(table, "", key), encode(value))

    def test_an_odd_entry_is_logged_once_for_each_reason(self):
        # Guards against a line for each heartbeat of an odd entry.
        row_id = ports.RowId("servers", "", "i-1")
        with logbook.TestHandler() as handler:
            for version, field in enumerate(("slots", "slots", "seq", "seq"), 1):
                value = encode({**EXECUTOR, field: "odd"})
                self.directory._apply_executor_row(ports.Row(row_id, value, version))
        self.assertEqual(2, len(handler.records))

    def test_an_odd_route_or_tenant_leaves_the_configuration_in_force(self):
        # Guards against numbers that end later steps of the coordinator.
        self.put("config", {"version": 7, "routes": [ROUTE], "tenants": [TENANT]})
        self.directory._operators.poll()
        for field, value in (
            ("priority", 10**20),
            ("max_attempts", -1),
            ("stretch", -1),
            ("stretch", 10**400),
            ("target_runtime_ms", 10**20),
            ("advice", {"decision_ms": -1}),
            ("advice", {"validity_ms": 1e300}),
            ("public", 1),
        ):
            odd = {**ROUTE, field: value}
            self.put("config", {"version": 8, "routes": [ROUTE, odd]})
            self.directory._operators.poll()
            self.assertEqual(7, self.directory.catalogue.version, (field, value))
        for field, value in (
            ("weight", -1),
            ("weight", 10**400),
            ("api_keys", [1]),
            ("upper_bound", {"cpu": -1}),
            ("upper_bound", {"cpu": 10**20}),
        ):
            odd = {**TENANT, field: value}
            self.put("config", {"version": 8, "tenants": [TENANT, odd]})
            self.directory._operators.poll()
            self.assertEqual(7, self.directory.catalogue.version, (field, value))
        self.put("config", {"version": 10**20})
        self.directory._operators.poll()
        self.assertEqual(7, self.directory.catalogue.version)

    def test_a_deeply_nested_configuration_leaves_the_one_in_force(self):
        # Guards against RecursionError, which is no error of the decoder's own.
        value = f'{{"version":8,"zz":{nest(1100)}}}'.encode()
        found = directory.decode_configuration(value)
        self.assertIsInstance(found, errors.Malformed)

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
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
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

    # Guards against stops that are planned for the limits of another platform.
    def test_the_limits_of_stops_are_read(self):
        text = "grace_s = 6\nstop_timeout_ms = 900\ncancel_ms = 3000\nack_ms = 5000"
        found = self.read(self.SETTINGS.replace("grace_s = 6", text)).stop_limits
        self.assertEqual((0.9, 3.0), (found.stop_s, found.cancel_s))
        self.assertEqual(5.0, found.ack_s)
        self.assertEqual(2, found.count_rounds())

    # Guards against a number of stops that is the same on each VM.
    def test_a_vm_with_more_memory_sends_more_stops_at_a_time(self):
        sizes = "[limits]\nmax_fds = 4100\nmemory_mb = {}\n"
        found = [
            self.read(self.SETTINGS + sizes.format(size)).stop_limits
            for size in (160, 300)
        ]
        small, large = (each.find_max_in_flight(24) for each in found)
        self.assertLess(small, large)
        self.assertLessEqual(24 * 48, large)

    def test_what_the_vm_can_carry_is_read(self):
        limits = """
[limits]
cpu_share = 0.717
cores = 3
memory_mb = 552
link_mbps = 100.0
"""
        found = self.read(self.SETTINGS + limits).capacity
        self.assertAlmostEqual(2.151, found.cores)
        self.assertEqual((100.0, 552), (found.link_mbps, found.memory_mb))

    def test_settings_without_limits_leave_the_capacity_unknown(self):
        for text in ("", "[limits]\nnew_field = 1\n"):
            found = self.read(self.SETTINGS + text).capacity
            self.assertEqual((0, 0, 0), (found.cores, found.link_mbps, found.memory_mb))

    def test_invalid_settings_are_rejected(self):
        for text in (
            "",
            "no = [toml",
            self.SETTINGS.replace('"10.200.1.7:8182"', '"nowhere"'),
            self.SETTINGS.replace('ip = "10.1.0.17"\n', ""),
        ):
            self.assertIsInstance(self.read(text), errors.Invalid)

    def test_each_odd_settings_file_is_invalid(self):
        # Guards against a traceback instead of a reason when the process starts.
        for text in (
            f"zz = {nest(1100)}\n{self.SETTINGS}",
            f"zz = {'9' * 5000}\n{self.SETTINGS}",
            self.SETTINGS.replace('"edge-1"', '"\\ud800"'),
            self.SETTINGS.replace("7420", "-1"),
            self.SETTINGS.replace("7420", "70000"),
            self.SETTINGS.replace("max_hold_ms = 6000", "max_hold_ms = 0"),
            self.SETTINGS.replace("max_hold_ms = 6000", f"max_hold_ms = {10**20}"),
            self.SETTINGS.replace("grace_s = 6", "grace_s = inf"),
            self.SETTINGS.replace("grace_s = 6", "grace_s = nan"),
            self.SETTINGS.replace("10.200.1.9:8182", f"10.200.1.9:{'9' * 5000}"),
            self.SETTINGS.replace("10.200.1.9:8182", "a..b:8182"),
            b"\xff" + self.SETTINGS.encode(),
        ):
            self.assertIsInstance(self.read(text), errors.Invalid, text[:60])

    def test_the_metrics_port_is_checked(self):
        name = deployment.METRICS_PORT_VARIABLE
        self.assertEqual(0, self.read(self.SETTINGS).metrics_port)
        found = self.read(self.SETTINGS, **{name: "9464"})
        self.assertEqual(9464, found.metrics_port)
        for text in (
            "x",
            "",
            "-1",
            "65536",
            "9" * 5000,
            "\N{ARABIC-INDIC DIGIT THREE}",
        ):
            found = self.read(self.SETTINGS, **{name: text})
            self.assertIsInstance(found, errors.Invalid)

    def test_a_missing_file_is_invalid(self):
        self.assertIsInstance(deployment.read({}), errors.Invalid)
