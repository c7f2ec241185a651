import types

import msgspec
import testtools

from test import edge_fakes
from toucanspring import errors, resources
from toucanspring.adapters import tables, vms
from toucanspring.cell import reply
from toucanspring.owners import fleet, partitions, routes
from toucanspring.reporting import survey


def make_vm(name, role=vms.Role.WORKER):
    return vms.Vm(
        id=name, role=role, availability_zone="zug-1", address="127.0.0.1", port=1
    )


def make_status(name, partition):
    amount = resources.Resources(1000, 1024, 0)
    return survey.WorkerStatus(
        name, partition, "zug-1", "r1", amount, amount, "attached"
    )


class SurveyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        listed = [make_vm(name) for name in ("w0", "w1", "w2", "w3")]
        listed.append(make_vm("b0", vms.Role.BACKEND_SERVER))
        self.core = edge_fakes.build(listed=listed)
        self.store = self.core.find("store")
        assigned = msgspec.msgpack.encode({"w0": 0, "w1": 0, "w2": 1})
        self.store.tables.shared.rows[fleet.WORKERS_ROW] = tables.Row(1, assigned)
        self.core.find("partitions").survey = survey.WorkerSurvey(
            [make_status("w0", 0)], {1: errors.Unavailable(reason="no owner")}
        )

    def test_each_worker_of_the_vm_list_is_named_with_a_reason(self):
        # Guards against an incomplete list after a takeover that looks complete.
        found = survey.describe(self.core)
        self.assertEqual(["w0"], [each.worker for each in found["workers"]])
        self.assertEqual(
            [{"partition": 1, "reason": "no owner"}], found["silent_partitions"]
        )
        reasons = {each["worker"]: each["reason"] for each in found["not_attached"]}
        self.assertEqual(["w1", "w2", "w3"], list(reasons))
        self.assertIn("not connected", reasons["w1"])
        self.assertIn("did not answer", reasons["w2"])
        self.assertIn("not assigned", reasons["w3"])
        self.assertEqual("", found["unchecked"])

    def test_what_could_not_be_compared_is_said(self):
        # Guards against an outage of the store that looks like a complete list.
        self.store.tables.down = True
        [first, *_] = survey.describe(self.core)["not_attached"]
        self.assertIn("partition is unknown: down", first["reason"])
        self.store.vms.list = lambda: errors.Unavailable(reason="no list")
        found = survey.describe(self.core)
        self.assertEqual([], found["not_attached"])
        self.assertIn("no list", found["unchecked"])

    def test_owners_that_do_not_answer_are_named(self):
        self.patch(routes, "ROUTE_LIMIT_S", 0.05)
        service = partitions.Service(self.core, edge_fakes.make_settings())
        owners = {0: types.SimpleNamespace(process="entry-2")}
        self.core.find("claims").owner_of = lambda number: owners.get(
            number, errors.NotFound(reason="no claim")
        )
        statuses = reply.encode_result([make_status("w0", 0)])
        self.core.find("peers").call = lambda *_, **__: statuses
        found = service.workers()
        self.assertEqual(["w0"], [each.worker for each in found.workers])
        self.assertEqual({1, 2}, set(found.silent))
