"""Rows of processes that are gone: their deletion, and operators' confirmations.

Majorities count the members in an owner's last list, since each of them could have
promised. When more than half of a list are destroyed at once, nobody can say that they
promised nothing, and successors wait until no extension can last (31.5 minutes). Only
the operators can know better.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.cell import member_rows, ownership

ATTEMPTS = 5
# Rows of members that own nothing are deleted after this time.
DELETE_AFTER_S = 60.0


class Members(Protocol):
    """What this process knows of the others."""

    identity: member_rows.Member
    local_member: member_rows.LocalMember
    timing: ownership.Timing
    observations: dict[str, ownership.Observation]
    rows: dict[str, tuple[int, member_rows.MemberRow]]

    def clock(self) -> float:
        """Return the monotonic time in seconds."""

    def reachable(self) -> set[str]:
        """Return the processes with a recent heartbeat."""

    def candidates(self) -> list[str]:
        """Return the processes that may own partitions, sorted."""

    def promise_free(self) -> dict[str, ownership.PromiseFreeInterval]:
        """Return the processes that have promised to claim nothing."""

    def read_members(self) -> None | errors.Failure:
        """Read the rows of all processes."""


def confirm(
    members: Members, client: tables.TableClient, process: str
) -> None | errors.Failure:
    """Replace the row of a dead process by one that fences it.

    The row gets a higher incarnation, so that the process, should it run after all,
    finds its name taken at its next renewal and stops. Its list is empty: it can no
    longer extend an ownership or a view.
    """
    key = member_rows.key_of(process)
    result: object = errors.Unavailable(reason=f"{key} was not written")
    for _ in range(ATTEMPTS):
        rows = client.read([key])
        if isinstance(rows, errors.Failure):
            return rows
        row = member_rows.decode_row(rows[key])
        if row is None:
            return errors.NotFound(reason=f"no process {process!r} is registered")
        if row.gone:
            return None
        if _is_alive(members, process, row):
            return errors.Refused(
                reason=f"process {process} is alive: it renews its row or is heard"
            )
        fenced = member_rows.MemberRow(
            member=msgspec.structs.replace(
                row.member, incarnation=row.member.incarnation + 1
            ),
            gone=True,
        )
        result = client.transact(
            {key: rows[key].version}, {key: member_rows.encode_row(fenced)}
        )
        if isinstance(result, tables.Committed):
            return members.read_members()
        if not isinstance(result, errors.Conflict | errors.Ambiguous):
            return result
    return result


def _is_alive(members: Members, process: str, row: member_rows.MemberRow) -> bool:
    """Return whether a process was heard, or renewed within its lease."""
    if process in members.reachable():
        return True
    observation = members.observations.get(process)
    if observation is None or observation.counter != row.counter:
        return True
    incarnation, now = row.member.incarnation, members.clock()
    if observation.incarnation != incarnation:
        return True
    return not ownership.is_lease_expired(observation, incarnation, now, members.timing)


def delete_dead(members: Members, client: tables.TableClient) -> None:
    """Delete rows of long dead members, from one process only.

    A member that owns a partition keeps its row: successors need its list. So does
    one that a majority of its list may still extend. The version check lets a
    member that came back win.
    """
    live = members.candidates()
    named = members.local_member.hooks.recorded_owners()
    if not live or live[0] != members.identity.process or named is None:
        return
    now = members.clock()
    promise_free = members.promise_free()
    timing = members.timing
    for name, (version, row) in list(members.rows.items()):
        seen_at = members.observations[name].counter_seen_at
        ended = ownership.extension_ended(
            row.known, promise_free, seen_at + timing.lease_expiry_s, now, timing
        )
        if ended and now - seen_at >= DELETE_AFTER_S and name not in named:
            key = member_rows.key_of(name)
            client.transact({key: version}, {}, [key])
