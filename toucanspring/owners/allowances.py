"""Rows `allowances/<team>`: the parts of the ceilings that one partition holds."""

from __future__ import annotations

import dataclasses
import math
import time
from collections.abc import Callable, Mapping

import gevent
import gevent.event
import logbook
import msgspec

from toucanspring import errors, kernel, resources
from toucanspring.adapters import tables
from toucanspring.scheduling import allowance, fairness

log = logbook.Logger(__name__)

BATCH_INTERVAL_S = 0.05  # collects the requests of one round
RETRY_INTERVAL_S = 1.0  # after a read that failed
# While this partition or another wants more. At other times the poll of the member
# rows finds changed rows, with wants of others or parts that shrank with a ceiling.
BUSY_POLL_INTERVAL_S = 0.25
# That poll also reads this part of the rows that the partition does not use: a late
# write by its former owner may have given it something.
UNUSED_FRACTION = 1 / 64
# A want that the ledger has not repeated for this long is withdrawn.
WANT_LIMIT_S = 2.5
ROW_PREFIX = "allowances/"

_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(allowance.Row)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Ask to hold `amount`; room for less than `least` is of no use."""

    amount: resources.Resources
    least: resources.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class CachedRow:
    """Remember what follows from a row in which nothing was due."""

    version: int
    ceiling: resources.Resources
    held: resources.Resources
    limit: resources.Resources | None


class AllowanceManager:
    """Own the writes to allowance rows on behalf of one partition."""

    def __init__(
        self,
        partition: int,
        core: kernel.Kernel,
        deliver: Callable[
            [dict[str, resources.Resources], dict[str, resources.Resources]], None
        ],
    ) -> None:
        self._partition = partition
        self._kernel = core
        self._deliver = deliver
        self._ceilings: dict[str, resources.Resources] = {}
        self._targets: dict[str, Target] = {}
        self._requested_at: dict[str, float] = {}
        self._cached: dict[str, CachedRow] = {}
        self._interval_s: float | None = RETRY_INTERVAL_S
        self._next_unused = 0
        self._wakeup = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Read the rows and begin to serve requests."""
        self._kernel.find("membership").watch(self.watched_keys, self.handle_rows)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop; the rows stay, since they belong to the partition."""
        self._kernel.find("membership").unwatch(self.handle_rows)
        if self._greenlet is not None:
            self._greenlet.kill()

    def holds_any(self) -> bool:
        """Return whether the partition may hold a part of any ceiling."""
        used, _ = self._split_teams(self._targets)
        return bool(used)

    def set_teams(self, teams: Mapping[str, fairness.Team]) -> None:
        """Set the ceilings in force; lowered ones shrink the parts in the rows."""
        ceilings = {name: team.ceiling for name, team in teams.items()}
        if ceilings != self._ceilings:
            self._ceilings = ceilings
            self._wakeup.set()

    def request_amount(
        self,
        team: str,
        target: resources.Resources,
        least: resources.Resources = resources.ZERO,
    ) -> None:
        """Ask to hold exactly `target` of a team's ceiling, or `least` of it."""
        self._targets[team] = Target(target, least)
        self._requested_at[team] = time.monotonic()
        self._wakeup.set()

    def _run(self) -> None:
        while True:
            self._wakeup.wait(self._interval_s)
            gevent.sleep(BATCH_INTERVAL_S)
            self._wakeup.clear()
            try:
                self._update_rows()
            except Exception:
                log.exception("allowances of partition {}", self._partition)

    def _update_rows(self) -> None:
        targets, self._targets = self._targets, {}
        table = self._kernel.find("store").tables
        teams, _ = self._split_teams(targets)
        rows = table.read([ROW_PREFIX + team for team in teams]) if teams else {}
        if isinstance(rows, errors.Failure):
            self._interval_s = RETRY_INTERVAL_S
            return  # the ledger repeats requests that stay unanswered
        held: dict[str, resources.Resources] = {}
        limits: dict[str, resources.Resources] = {}
        for team in teams:
            row = rows[ROW_PREFIX + team]
            known = self._cached.get(team)
            if (
                known is not None
                and team not in targets
                and known.version == row.version
                and known.ceiling == self._ceilings[team]
            ):
                held[team] = known.held
                if known.limit is not None:
                    limits[team] = known.limit
                continue
            present = _decoder.decode(row.value) if row.version else allowance.Row()
            found, held[team] = self._update_row(
                table, team, row.version, present, targets.get(team)
            )
            limit = allowance.contended_limit(
                found, self._partition, self._ceilings[team]
            )
            if limit is not None:
                limits[team] = limit
        is_busy = limits or targets or any(team not in self._cached for team in held)
        self._interval_s = BUSY_POLL_INTERVAL_S if is_busy else None
        if held:
            self._deliver(held, limits)

    def _limited_teams(self) -> list[str]:
        """Return the teams that have a ceiling in at least one dimension."""
        return [
            team
            for team, ceiling in self._ceilings.items()
            if ceiling != resources.UNLIMITED
        ]

    def watched_keys(self) -> list[str]:
        """Return the keys of the rows in use and of a few of the others."""
        used, unused = self._split_teams({})
        if unused:
            start = self._next_unused % len(unused)
            count = math.ceil(len(unused) * UNUSED_FRACTION)
            used += unused[start : start + count]
            self._next_unused = start + count
        return [ROW_PREFIX + team for team in used]

    def handle_rows(self, rows: Mapping[str, tables.Row], _sent_at: float) -> None:
        """Read the rows again if one of these has another version than known.

        These may be older than the own last write, so nothing else is taken from them.
        """
        for key, row in rows.items():
            team = key.removeprefix(ROW_PREFIX)
            known = self._cached.get(team)
            if known is not None and known.version != row.version:
                del self._cached[team]
                self._wakeup.set()

    def _split_teams(
        self, targets: Mapping[str, Target]
    ) -> tuple[list[str], list[str]]:
        """Return the limited teams in use by the partition, and the others.

        A part that is zero stays so until this partition asks for more. A write
        without a certain answer leaves its team unsettled, hence in use.
        """
        used, unused = [], []
        for team in self._limited_teams():
            known = self._cached.get(team)
            is_unused = (
                known is not None
                and team not in targets
                and known.held == resources.ZERO
                and known.ceiling == self._ceilings[team]
            )
            (unused if is_unused else used).append(team)
        return used, unused

    def _update_row(
        self,
        table: tables.TableClient,
        team: str,
        version: int,
        present: allowance.Row,
        target: Target | None,
    ) -> tuple[allowance.Row, resources.Resources]:
        """Write a new division if one is due; return it and the certain part."""
        self._cached.pop(team, None)
        part = present.parts.get(self._partition, resources.ZERO)
        wanted = self._resized_row(team, present, part, target)
        if wanted == present:
            # The own want ends by time, so that such a row is looked at each time.
            if target is None and self._partition not in present.wants:
                ceiling = self._ceilings[team]
                limit = allowance.contended_limit(present, self._partition, ceiling)
                self._cached[team] = CachedRow(version, ceiling, part, limit)
            return present, part
        key = ROW_PREFIX + team
        answer = table.transact({key: version}, {key: _encode(wanted)}, ())
        new_part = wanted.parts.get(self._partition, resources.ZERO)
        if isinstance(answer, tables.Committed):
            return wanted, new_part
        # Another partition wrote first or the answer was lost. A part that may
        # have shrunk must not be used in full until the row is read again.
        if target is not None:
            self._targets.setdefault(team, target)
        self._wakeup.set()
        return present, new_part if new_part.fits(part) else part

    def _resized_row(
        self,
        team: str,
        present: allowance.Row,
        part: resources.Resources,
        target: Target | None,
    ) -> allowance.Row:
        if target is not None:
            amount, least = target.amount, target.least
        elif self._keeps_want(team, present):
            return present
        else:
            amount, least = part, resources.ZERO
        return allowance.resize(
            present, self._partition, amount, self._ceilings[team], least=least
        )

    def _keeps_want(self, team: str, present: allowance.Row) -> bool:
        """Return whether an unmet want is still recent, so that it stays in the row."""
        if self._partition not in present.wants:
            return False
        return time.monotonic() - self._requested_at.get(team, 0.0) < WANT_LIMIT_S
