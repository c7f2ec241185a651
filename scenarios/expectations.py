"""Expectations of a scenario; a failed one raises `StepFailed` with what was seen."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from scenarios import cell, language
from standins import checker

POLL_S = 0.1
MAX_SHOWN = 5


class Expectations:
    """Compare the state of a cell with the expected one."""

    def __init__(self, running: cell.Cell) -> None:
        self._cell = running
        self._print_line: Callable[[str], None] = lambda _line: None

    def resolve(self, name: str) -> str:
        """Return the daemon that a name stands for."""
        return name

    def _wait_until_ok(
        self, within_s: float | None, find_problem: Callable[[], str]
    ) -> None:
        """Repeat `find_problem` until it returns an empty text.

        The time taken is printed, since a check that holds only just in time fails on
        a slower machine.
        """
        began = time.monotonic()
        deadline = began + (within_s or 0.0)
        while True:
            wrong = find_problem()
            if not wrong:
                if within_s:
                    took = time.monotonic() - began
                    self._print_line(f"  holds after {took:.1f} s of {within_s:g} s")
                return
            if time.monotonic() >= deadline:
                raise cell.StepFailed(wrong)
            gevent.sleep(POLL_S)

    def _count(self, name: str, state: str) -> int:
        if state in ("running", "started"):
            self._cell.history.refresh()
            return self._cell.history.count(name, state)
        load = self._cell.load(name)
        if name in self._cell.jobs and state not in ("accepted", "refused"):
            load.refresh()
        return load.count(state)

    def expect_count(
        self,
        amount: language.Amount,
        name: str,
        state: str,
        within_s: float | None,
    ) -> None:
        """Compare the number of jobs, requests or tasks in a state."""

        def find_problem() -> str:
            count = self._count(name, state)
            total = self._cell.load(name).total(state)
            if amount.holds(count, total):
                return ""
            counts = dict(self._cell.load(name).counts)
            return f"{count} of {total} are {state}; counts {counts}"

        self._wait_until_ok(within_s, find_problem)

    def expect_more(self, number: int, name: str, state: str, within_s: float) -> None:
        """Compare the growth of a count from now on."""
        before = self._count(name, state)

        def find_problem() -> str:
            more = self._count(name, state) - before
            return "" if more >= number else f"{more} more are {state}"

        self._wait_until_ok(within_s, find_problem)

    def expect_version(self, version: int, within_s: float | None) -> None:
        """Check that all running daemons have a configuration in force."""

        def find_problem() -> str:
            found = {}
            for name in self._cell.http_client.active():
                reply = self._cell.operator_call(
                    "GET", "/v1/members", name, timeout_s=1.0
                )
                found[name] = (
                    reply.json()["versions"]["config"] if reply.status == 200 else None
                )
            good = found and set(found.values()) == {version}
            return "" if good else f"configurations in force: {found}"

        self._wait_until_ok(within_s or checker.IN_FORCE_S, find_problem)

    def _try_key(self, team: str) -> dict[str, int]:
        """Look up an unknown job ID at each daemon with the key of a team."""
        secret = self._cell.keys[team].secret
        return {
            name: self._cell.http_client.call(
                "GET", "/v1/jobs/no-such-job", key=secret, daemon=name
            ).status
            for name in self._cell.http_client.active()
        }

    def expect_key_refused(self, team: str) -> None:
        """Check that no daemon accepts a key 3 s after its withdrawal."""
        key = self._cell.keys[team]
        in_force = self._cell.withdrawn.get(key.id, 0.0) + checker.IN_FORCE_S
        gevent.sleep(max(0.0, in_force - time.monotonic()))
        found = self._try_key(team)
        # 503: a daemon whose view may be out of date accepts no key at all.
        if not set(found.values()) <= {403, 503}:
            raise cell.StepFailed(f"status by daemon: {found}")

    def expect_key_accepted(self, team: str) -> None:
        """Check that all daemons accept a key within 3 s."""

        def find_problem() -> str:
            found = self._try_key(team)
            return "" if set(found.values()) == {404} else f"status: {found}"

        self._wait_until_ok(checker.IN_FORCE_S, find_problem)

    def expect_owned(self, within_s: float) -> None:
        """Check that each partition has an owner that runs."""

        def find_problem() -> str:
            active = self._cell.http_client.active()
            owners = [
                self._cell.owner(number) for number in range(self._cell.partitions)
            ]
            return "" if set(owners) <= set(active) else f"owners: {owners}"

        self._wait_until_ok(within_s, find_problem)

    def expect_no_former(self, within_s: float) -> None:
        """Check that all work of former numbers of partitions has ended or moved."""

        def find_problem() -> str:
            found = self._cell.read_layout()
            held = f"{found['former']}, held: {found['held']}"
            return f"former numbers: {held}" if found["former"] else ""

        self._wait_until_ok(within_s, find_problem)

    def expect_takeover(self, partition: int, daemon: str, within_s: float) -> None:
        """Check that another daemon owns a partition."""
        former = self.resolve(daemon)

        def find_problem() -> str:
            owner = self._cell.owner(partition)
            return "" if owner not in ("", former) else f"the owner is {owner!r}"

        self._wait_until_ok(within_s, find_problem)

    def expect_no_start(self, zone: str) -> None:
        """Check that no task started in a zone more than 3 s after it was taken out."""
        since = self._cell.zones_out[zone] + checker.IN_FORCE_S
        self._cell.history.refresh()
        late = [
            attempt.start
            for attempt in self._cell.history.attempts
            if attempt.start.availability_zone == zone and attempt.start.at > since
        ]
        if late:
            raise cell.StepFailed(f"{len(late)} starts, such as {late[:MAX_SHOWN]}")

    def expect_nothing_lost(self) -> None:
        """Check that all accepted work gets an outcome in time."""
        self._cell.finish(self.finish_within_s)
        lost = [problem for problem in self._cell.problems() if "lost" in problem]
        if lost:
            raise cell.StepFailed("; ".join(lost))

    finish_within_s = 40.0

    def expect_invariants(self) -> None:
        """Check all records so far for violations, except for unfinished work."""
        found = [
            item
            for item in self._cell.check_records()
            if type(item).__name__ not in ("LostWork",)
        ]
        if found:
            raise cell.StepFailed(f"{len(found)} violations: {found[:MAX_SHOWN]}")
