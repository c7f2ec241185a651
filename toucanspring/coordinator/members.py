"""The processes of the cell: registration of this one, streams to the others."""

from __future__ import annotations

import random

import gevent
import logbook
from gevent import event

from toucanspring import errors
from toucanspring.cell import peers
from toucanspring.coordinator import candidacy, ports, rows, table_cache

log = logbook.Logger(__name__)

STORE_RETRY_S = 0.15
# Processes rarely join or leave, and a change ends the wait.
MEMBERS_WAIT_S = 4.0
RELAY_PEERS = 2  # processes besides the coordinator that calls may be relayed to


class Members:
    """Follows the member rows; `own` is that of this process.

    `coordinator` is the process that coordinates, as far as known, and `coordinates`
    whether this one does.
    """

    def __init__(
        self, own: rows.MemberRow, store: ports.Store, streams: peers.Service
    ) -> None:
        self.coordinator = ""
        self.coordinates = False
        self._own = own
        self._store = store
        self._peers = streams
        self._others: dict[str, rows.MemberRow] = {}
        self._cache = table_cache.TableCache(
            store,
            rows.MEMBERS,
            self._on_member_row,
            wait_s=MEMBERS_WAIT_S,
            on_batch=self._note_read,
        )
        self._read = event.Event()
        self._registration: gevent.Greenlet | None = None

    def __enter__(self) -> Members:
        self._cache.__enter__()
        self._registration = gevent.spawn(self._register)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Remove the row of this process."""
        self.close()
        row_id = ports.RowId(rows.MEMBERS, "", self._own.process)
        row = self._cache.rows.get(row_id)
        if row is not None:
            answer = self._store.transact({row_id: row.version}, {}, (row_id,))
            if isinstance(answer, errors.Failure):
                log.warning("could not remove the member row: {}", answer)

    def close(self) -> None:
        """Stop following the members, and leave the row of this process."""
        self._cache.close()
        if self._registration is not None:
            self._registration.kill(block=False)

    def targets(self) -> list[str]:
        """Return the processes to which this one keeps a stream open.

        The coordinator is connected to all processes, the others to the coordinator and
        to the next `RELAY_PEERS` processes in the ring of names.
        """
        others = sorted(self._others)
        if self.coordinates:
            return others
        own = self._own.process
        ring = [name for name in others if name > own]
        ring += [name for name in others if name < own]
        chosen = ring[:RELAY_PEERS]
        if self.coordinator in others:
            chosen = [self.coordinator, *chosen]
        return list(dict.fromkeys(chosen))

    def update_streams(self) -> None:
        """Connect to the processes in `targets`, and close the other streams."""
        others = self._others
        self._peers.set_targets(
            {name: (others[name].address, others[name].port) for name in self.targets()}
        )

    def await_others(self) -> None:
        """Wait until the other processes are known, if this one may be a weak one.

        It waits no longer than a weak process leaves a free lease to the others.
        """
        if self.strength():
            self._read.wait(candidacy.WEAK_WAIT_S)

    def strength(self) -> float:
        """Return the strength of this process; see `candidacy`."""
        return candidacy.find_strength(self._own.cores, self._own.link_mbps)

    def strengths(self) -> dict[str, float]:
        """Return the strength of each known process, this one included."""
        return {
            name: candidacy.find_strength(each.cores, each.link_mbps)
            for name, each in (*self._others.items(), (self._own.process, self._own))
        }

    def find_disconnected(self) -> set[str]:
        """Return the processes that this one has no stream to although it wants one."""
        return set(self.targets()) - set(self._peers.connected())

    def _register(self) -> None:
        """Write the row of this process; retries until it is stored."""
        row_id = ports.RowId(rows.MEMBERS, "", self._own.process)
        value = rows.encode(self._own)
        while True:
            answer = self._store.transact({}, {row_id: value})
            if isinstance(answer, ports.Committed):
                return
            gevent.sleep(STORE_RETRY_S * (1 + random.random()))

    def _note_read(self) -> None:
        self._read.set()

    def _on_member_row(self, row: ports.Row) -> None:
        member = rows.decode(rows.MemberRow, row.value) if row.version else None
        if isinstance(member, rows.MemberRow) and row.id.key != self._own.process:
            self._others[row.id.key] = member
        else:
            self._others.pop(row.id.key, None)
        self.update_streams()
