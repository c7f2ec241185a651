import shutil
import signal
import sys

import gevent
import testtools

from standins import cluster, ports, processes, service
from toucanspring import errors, store
from toucanspring.adapters import vms


class ClusterTest(testtools.TestCase):
    """Starts real processes, so one test covers many properties."""

    def test_a_platform_starts_takes_faults_and_ends_with_its_processes(self):
        with cluster.Cluster(workers=9, backend_servers=2, worker_processes=2) as cell:
            connected = store.connect(
                *(cell.url(name) for name in ("tables", "objects", "vms")), "me"
            )
            self.addCleanup(connected.stop)
            listed = connected.vms.list()
            self.assertEqual(11, len({vm.id for vm in listed}))
            self.assertEqual(
                {vms.Role.WORKER: 9, vms.Role.BACKEND_SERVER: 2},
                {
                    role: sum(vm.role == role for vm in listed)
                    for role in {vm.role for vm in listed}
                },
            )
            self.check_objects(cell, connected.objects)
            self.check_lag(cell, connected.vms, listed)
            self.check_pause(cell, connected.tables)
            self.assertRaises(ValueError, cell.set_faults, "workers", workers=["no"])
            self.assertRaises(ValueError, cell.set_faults, "tables", nonsense=1)
            self.assertRaises(
                ValueError, cell.set_faults, "backend_servers", executors=["no"]
            )
            cell.set_faults("backend_servers", executors=[], delay_ms=1)
            processes = list(cell.processes.values())
            self.assertEqual(6, len(processes))
            self.assertEqual(set(cell.processes), set(cell.records()))
        self.assertNotIn(None, [process.status() for process in processes])
        self.assertFalse(cell.directory.exists())

    def check_objects(self, cell, client):
        # Guards against object keys that are changed by their encoding in the URL path.
        key = "snapshots/3/a b?c#ü%2F"
        self.assertIsNone(client.put(key, b"x" * 3_000_000))
        self.assertEqual(3_000_000, len(client.get(key)))
        self.assertIsInstance(client.get("snapshots/3"), errors.NotFound)
        cell.set_faults("objects", lose_answers=1)
        self.assertIsInstance(client.put(key, b"new"), errors.Ambiguous)
        self.assertEqual(b"new", client.get(key))
        self.assertIsNone(client.delete(key))
        self.assertIsNone(client.delete(key))
        cell.set_faults("objects", down=True)
        self.assertIsInstance(client.get(key), errors.Unavailable)

    def check_lag(self, cell, client, listed):
        cluster.call(cell.service_ports["vms"], "PUT", "/v1/lag", 150)
        cell.publish(listed[:1])
        self.assertEqual(11, len(client.list()))
        gevent.sleep(0.2)
        self.assertEqual(listed[:1], client.list())

    def check_pause(self, cell, client):
        process = cell.processes["tables"]
        process.signal(signal.SIGSTOP)
        self.assertIsInstance(client.transact({}, {"a": b"1"}), errors.Ambiguous)
        process.signal(signal.SIGCONT)
        self.assertEqual(b"1", client.read(["a"])["a"].value)

    def test_a_process_that_fails_to_start_shows_its_output(self):
        cell = cluster.Cluster(
            workers=1, backend_servers=0, worker_options=["--no-such-option"]
        )
        self.addCleanup(shutil.rmtree, cell.directory)
        raised = self.assertRaises(processes.StartFailed, cell.__enter__)
        self.assertIn("no-such-option", str(raised))
        self.assertEqual({}, cell.processes)

    def test_reserved_ports_can_be_listened_on_but_not_reserved_again(self):
        # Guards against another cluster taking the ports of a restarting daemon.
        with ports.PortReservation(3) as reserved:
            self.patch(ports, "FIRST_PORT", reserved.first)
            self.patch(ports, "LAST_PORT", reserved.first + 4)
            for _ in range(2):
                listener = service.listen("127.0.0.1", reserved.first + 1)
                self.assertRaises(processes.StartFailed, ports.find_ports, 3)
                listener.close()
                self.assertRaises(processes.StartFailed, ports.find_ports, 3)
        self.assertEqual(reserved.first, ports.find_ports(3))

    def test_a_daemon_restarts_on_its_ports_and_is_killed_by_pid(self):
        def command(options):
            code = (
                "import http.server as h, sys\n"
                "class H(h.BaseHTTPRequestHandler):\n"
                "  def do_GET(self): self.send_response(200); self.end_headers()\n"
                f"h.HTTPServer(('127.0.0.1', {options.http_port}), H).serve_forever()"
            )
            return [sys.executable, "-c", code]

        cell = cluster.Cluster(workers=0, backend_servers=0, build_command=command)
        with cell:
            first = cell.start_daemon("d1")
            process = cell.processes["d1"]
            cell.kill_daemon("d1")
            self.assertEqual(-signal.SIGKILL, process.status())
            self.assertEqual(first, cell.start_daemon("d1"))
            self.assertNotEqual(process.pid, cell.processes["d1"].pid)
            line = cluster.daemon_command(first)
            self.assertIn("--operator-key-hash", line)
