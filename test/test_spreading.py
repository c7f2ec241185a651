import collections

import testtools

from test import cell
from toucanspring import job
from toucanspring.scheduling import spreading

SERVICE = job.Kind.SERVICE


class SpreadTest(testtools.TestCase):
    def cell_after_return(self, **fields):
        """Return a cell with a service on two zones after the third has returned."""
        c = cell.Cell(workers=3)
        fields = {"kind": SERVICE, "spread": True, "task_count": 12, **fields}
        c.submit(cell.spec("service", **fields))
        c.tick()
        self.set_zones_out(c, "z1")
        self.advance(c, 3)
        self.assertEqual({"z0": 6, "z2": 6}, self.count_by_zone(c))
        self.set_zones_out(c)
        return c

    def set_zones_out(self, c, *zones):
        c.zones_out = frozenset(zones)
        c.call("set_availability_zones", c.zones_out)

    def count_by_zone(self, c):
        found = c.running("service").values()
        return dict(collections.Counter(c.workers[name].zone for name in found))

    def advance(self, c, seconds):
        """Advance the time; return the number of stops in each second."""
        stops = []
        for _ in range(seconds):
            before = len(c.stopped())
            c.tick(1)
            for name in c.workers:
                c.report(name)
            c.tick()
            stops.append(len(c.stopped()) - before)
        return stops

    def test_a_service_regains_its_spread_at_a_bounded_rate(self):
        # Guards against services that stay out of a returned zone, and against a burst
        # of checkpoints.
        c = self.cell_after_return()
        stops = self.advance(c, 60)
        self.assertEqual({"z0": 4, "z1": 4, "z2": 4}, self.count_by_zone(c))
        self.assertEqual(4, sum(stops))
        width = int(spreading.MOVE_INTERVAL_S)
        windows = [sum(stops[at : at + width]) for at in range(len(stops))]
        self.assertEqual(1, max(windows))

    def test_waiting_work_returns_without_any_stop(self):
        # Guards against checkpoints although the returned zone has room.
        c = cell.Cell(workers=3)
        self.set_zones_out(c, "z1")
        c.submit(cell.spec("batch", task_count=90, run_seconds=1000))
        c.tick()
        self.assertEqual(64, len(c.running()))
        self.set_zones_out(c)
        c.tick()
        self.assertEqual(90, len(c.running()))
        self.advance(c, 30)
        self.assertEqual([], c.stopped())

    def test_nothing_moves_without_room_in_the_zone(self):
        # Guards against stopping tasks in a full cell, where they cannot move.
        c = self.cell_after_return()
        before = len(c.stopped())
        c.submit(cell.spec("batch", task_count=500, run_seconds=1000))
        c.tick()
        self.advance(c, 60)
        self.assertEqual(before, len(c.stopped()))

    def test_waiting_work_does_not_take_the_room_of_a_task_that_stops(self):
        # Guards against a task that is stopped repeatedly and restarts where it was.
        c = self.cell_after_return()
        c.submit(cell.spec("batch", task_count=500, run_seconds=1000))
        before = len(c.stopped())
        c.tick()
        c.end("w1", next(t for t, w in c.running("batch").items() if w == "w1"))
        while len(c.stopped()) == before:
            c.tick(0.5)
            if len(c.stopped()) == before:
                some = next(t for t, w in c.running("batch").items() if w == "w1")
                c.end("w1", some)
        for _ in range(3):
            c.tick(0.5)  # the worker has not yet reported the checkpoint
        for name in c.workers:
            c.report(name)
        c.tick()
        self.assertEqual(1, self.count_by_zone(c).get("z1"))

    def test_zones_that_a_service_must_not_use_do_not_count(self):
        # Guards against moves that cannot improve the spread.
        c = cell.Cell(workers=3)
        zones = ("z0", "z2")
        c.submit(
            cell.spec(
                "service",
                kind=SERVICE,
                spread=True,
                task_count=12,
                availability_zones=zones,
            )
        )
        self.advance(c, 30)
        self.assertEqual([], c.stopped())

    def test_an_interval_of_zero_moves_nothing(self):
        # Guards against moves although the operator disabled them.
        c = self.cell_after_return()
        c.scheduler._spreader = spreading.Spreader(c.scheduler._core, 0.0)
        before = len(c.stopped())
        self.advance(c, 30)
        self.assertEqual(before, len(c.stopped()))

    def test_a_cancelled_service_gives_the_room_back(self):
        # Guards against a reservation for a task that never restarts.
        c = self.cell_after_return()
        c.tick(1)
        self.assertEqual(1, len(c.scheduler._core.reservations))
        c.cancel("service")
        for name in c.workers:
            c.report(name)
        self.advance(c, int(spreading.RESERVATION_S) + 1)
        self.assertEqual({}, c.scheduler._core.reservations)
