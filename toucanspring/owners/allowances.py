"""Rows `allowances/<team>`: how the partitions share the ceiling of a team."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Mapping

import gevent
import gevent.event
import logbook
import msgspec

from toucanspring import errors, kernel, resources, uptime
from toucanspring.adapters import tables
from toucanspring.policy import fair_share
from toucanspring.scheduling import allowance

log = logbook.Logger(__name__)

BATCH_INTERVAL_S = 0.05  # collects the requests of one tick
RETRY_INTERVAL_S = 1.0  # after a read that failed
# While this partition or another one wants more. At other times the poll of the member
# rows detects changed rows: wants of other partitions, or parts reduced with a ceiling.
BUSY_POLL_INTERVAL_S = 0.25
# That poll also reads this fraction of the rows that the partition does not use, since
# a delayed write by its former owner may have given it a part.
UNUSED_FRACTION = 1 / 64
# A want that the scheduler has not requested again for this long is withdrawn.
WANT_LIMIT_S = 2.5
ROW_PREFIX = "allowances/"

_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(allowance.Row)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Requested part `amount` of a ceiling; less than `least` is of no use."""

    amount: resources.Resources
    least: resources.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class CachedRow:
    """Values from a row version that needed no write."""

    version: int
    ceiling: resources.Resources
    held: resources.Resources
    limit: resources.Resources | None


class AllowanceManager:
    """Read and write the allowance rows on behalf of one partition."""

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
        """Read the rows and start to serve requests."""
        self._kernel.find("membership").watch(self.watched_keys, self.handle_rows)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop; the rows remain, since they belong to the partition."""
        self._kernel.find("membership").unwatch(self.handle_rows)
        if self._greenlet is not None:
            self._greenlet.kill()

    def holds_any(self) -> bool:
        """Return whether the partition may hold a part of any ceiling."""
        used, _ = self._split_teams(self._targets)
        return bool(used)

    def set_teams(self, teams: Mapping[str, fair_share.Team]) -> None:
        """Set the current ceilings; lower ones reduce the parts in the rows."""
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
        """Request exactly `target` of a team's ceiling, or at least `least` of it."""
        self._targets[team] = Target(target, least)
        self._requested_at[team] = uptime.now()
        self._wakeup.set()

    def _run(self) -> None:
        while True:
            self._wakeup.wait(self._interval_s)
            gevent.sleep(BATCH_INTERVAL_S)
            self._wakeup.clear()
            try:
                self._update_rows()
            except Exception:
                log.exception(
                    "partition {}: updating allowances failed", self._partition
                )

    def _update_rows(self) -> None:
        targets, self._targets = self._targets, {}
        table = self._kernel.find("store").tables
        teams, _ = self._split_teams(targets)
        rows = table.read([ROW_PREFIX + team for team in teams]) if teams else {}
        if isinstance(rows, errors.Failure):
            self._interval_s = RETRY_INTERVAL_S
            return  # the scheduler repeats requests that are not met
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
            current = _decoder.decode(row.value) if row.version else allowance.Row()
            found, held[team] = self._update_row(
                table, team, row.version, current, targets.get(team)
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
        """Return the teams with a ceiling on at least one resource."""
        return [
            team
            for team, ceiling in self._ceilings.items()
            if ceiling != resources.UNLIMITED
        ]

    def watched_keys(self) -> list[str]:
        """Return the keys of the rows in use and of a fraction of the others."""
        used, unused = self._split_teams({})
        if unused:
            start = self._next_unused % len(unused)
            count = math.ceil(len(unused) * UNUSED_FRACTION)
            used += unused[start : start + count]
            self._next_unused = start + count
        return [ROW_PREFIX + team for team in used]

    def handle_rows(self, rows: Mapping[str, tables.Row], _sent_at: float) -> None:
        """Read the rows again if one of `rows` has another version than the cached one.

        `rows` may be older than the last write of this process, so their values are not
        used.
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
        """Return the teams with a ceiling: those the partition uses, and the others.

        A part of zero changes only if this partition requests more. A write with an
        uncertain result leaves no cached row, so its team counts as in use.
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
        current: allowance.Row,
        target: Target | None,
    ) -> tuple[allowance.Row, resources.Resources]:
        """Write the row if it must change; return it and the part that is certain."""
        self._cached.pop(team, None)
        part = current.parts.get(self._partition, resources.ZERO)
        wanted = self._resized_row(team, current, part, target)
        if wanted == current:
            # A want of this partition ends after a time, so a row with one is not
            # cached.
            if target is None and self._partition not in current.wants:
                ceiling = self._ceilings[team]
                limit = allowance.contended_limit(current, self._partition, ceiling)
                self._cached[team] = CachedRow(version, ceiling, part, limit)
            return current, part
        key = ROW_PREFIX + team
        answer = table.transact({key: version}, {key: _encode(wanted)}, ())
        new_part = wanted.parts.get(self._partition, resources.ZERO)
        if isinstance(answer, tables.Committed):
            return wanted, new_part
        # Another partition wrote first or the response was lost. A part that may have
        # been reduced must not be used in full until the row is read again.
        if target is not None:
            self._targets.setdefault(team, target)
        self._wakeup.set()
        return current, new_part if new_part.fits(part) else part

    def _resized_row(
        self,
        team: str,
        current: allowance.Row,
        part: resources.Resources,
        target: Target | None,
    ) -> allowance.Row:
        if target is not None:
            amount, least = target.amount, target.least
        elif self._keeps_want(team, current):
            return current
        else:
            amount, least = part, resources.ZERO
        return allowance.resize(
            current, self._partition, amount, self._ceilings[team], least=least
        )

    def _keeps_want(self, team: str, current: allowance.Row) -> bool:
        """Return whether an unmet want is recent enough to stay in the row."""
        if self._partition not in current.wants:
            return False
        return uptime.now() - self._requested_at.get(team, 0.0) < WANT_LIMIT_S
