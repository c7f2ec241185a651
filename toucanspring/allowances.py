"""Rows `allowances/<team>`: the parts of the ceilings that one partition holds."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import gevent
import gevent.event
import logbook
import msgspec

from toucanspring import allowance, errors, fairness, kernel, resources
from toucanspring.adapters import tables

log = logbook.Logger(__name__)

BATCH_INTERVAL_S = 0.05  # collects the requests of one round
POLL_INTERVAL_S = 1.0  # finds parts that shrank because a ceiling was lowered
ROW_PREFIX = "allowances/"

_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(allowance.Row)


class Keeper:
    """Own the writes to allowance rows on behalf of one partition."""

    def __init__(
        self,
        partition: int,
        core: kernel.Kernel,
        deliver: Callable[[dict[str, resources.Resources]], None],
    ) -> None:
        self._partition = partition
        self._kernel = core
        self._deliver = deliver
        self._ceilings: dict[str, resources.Resources] = {}
        self._targets: dict[str, resources.Resources] = {}
        self._wakeup = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Read the rows and begin to serve requests."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop; the rows stay, since they belong to the partition."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def set_teams(self, teams: Mapping[str, fairness.Team]) -> None:
        """Set the ceilings in force; lowered ones shrink the parts in the rows."""
        ceilings = {name: team.ceiling for name, team in teams.items()}
        if ceilings != self._ceilings:
            self._ceilings = ceilings
            self._wakeup.set()

    def hold(self, team: str, target: resources.Resources) -> None:
        """Ask to hold exactly `target` of a team's ceiling."""
        self._targets[team] = target
        self._wakeup.set()

    def _run(self) -> None:
        while True:
            self._wakeup.wait(POLL_INTERVAL_S)
            gevent.sleep(BATCH_INTERVAL_S)
            self._wakeup.clear()
            try:
                self._serve()
            except Exception:
                log.exception("allowances of partition {}", self._partition)

    def _serve(self) -> None:
        targets, self._targets = self._targets, {}
        table = self._kernel.find("store").tables
        keys = [ROW_PREFIX + team for team in self._limited_teams()]
        rows = table.read(keys) if keys else {}
        if isinstance(rows, errors.Failure):
            return  # the ledger repeats requests that stay unanswered
        held = {
            key.removeprefix(ROW_PREFIX): self._update(
                table, key, row, targets.get(key.removeprefix(ROW_PREFIX))
            )
            for key, row in rows.items()
        }
        if held:
            self._deliver(held)

    def _limited_teams(self) -> list[str]:
        """Return the teams that have a ceiling in at least one dimension."""
        return [
            team
            for team, ceiling in self._ceilings.items()
            if ceiling != resources.UNLIMITED
        ]

    def _update(
        self,
        table: tables.TableClient,
        key: str,
        row: tables.Row,
        target: resources.Resources | None,
    ) -> resources.Resources:
        """Write a new division if one is due; return the part that is certain."""
        present = _decoder.decode(row.value) if row.version else allowance.Row()
        part = present.parts.get(self._partition, resources.ZERO)
        ceiling = self._ceilings[key.removeprefix(ROW_PREFIX)]
        wanted = allowance.resize(
            present, self._partition, part if target is None else target, ceiling
        )
        if wanted == present:
            return part
        answer = table.transact({key: row.version}, {key: _encode(wanted)}, ())
        if isinstance(answer, tables.Committed):
            return wanted.parts.get(self._partition, resources.ZERO)
        # Another partition wrote first or the answer was lost. A part that may
        # have shrunk must not be used in full until the row is read again.
        self._wakeup.set()
        new_part = wanted.parts.get(self._partition, resources.ZERO)
        return new_part if new_part.fits(part) else part
