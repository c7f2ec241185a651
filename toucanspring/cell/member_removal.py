"""Removal of members that are gone: deletion of rows and operators' confirmations.

Majorities are counted over the last member list of an owner, since each member in it
may have promised. When more than half of a list is destroyed at once, no process can
tell that these members promised nothing, and successors wait until the longest
extension is over (31.5 minutes). Operators can end this wait by confirming that a
process is gone.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.cell import member_rows, ownership

ATTEMPTS = 5
# Rows of silent members that own nothing are deleted after this time.
DELETE_AFTER_S = 60.0


class Members(Protocol):
    """The part of the membership service that is used here."""

    identity: member_rows.Member
    local_member: member_rows.LocalMember
    timing: ownership.Timing
    observations: dict[str, ownership.Observation]
    rows: dict[str, tuple[int, member_rows.MemberRow]]

    def clock(self) -> float:
        """Return the time in seconds of `uptime`."""

    def reachable(self) -> set[str]:
        """Return the processes with a recent heartbeat."""

    def candidates(self) -> list[str]:
        """Return the live processes that may own partitions, sorted."""

    def promise_free(self) -> dict[str, ownership.PromiseFreeInterval]:
        """Return the interval in which each member sent no promise."""

    def read_members(self) -> None | errors.Failure:
        """Read the rows of all processes."""


def confirm(
    members: Members, client: tables.TableClient, process: str
) -> None | errors.Failure:
    """Fence a process that operators have confirmed to be gone.

    Its row gets a higher incarnation, so that the process, if it still runs, finds
    its name taken at its next renewal and stops. The member list is emptied, so that
    the process can no longer extend its lease or its view.
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
                reason=f"process {process} is alive: it renews its row or is reachable"
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
    """Return whether a process sent a heartbeat or renewed its row recently."""
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
    """Delete the rows of members that have been silent for a long time.

    Only the first live process does so. The row of a member that owns a partition is
    kept, since successors need its list, and so is one whose lease a majority of its
    list may still extend. If a member returns at the same time, the version check
    fails and its row is kept.
    """
    live = members.candidates()
    owners = members.local_member.hooks.recorded_owners()
    if not live or live[0] != members.identity.process or owners is None:
        return
    now = members.clock()
    promise_free = members.promise_free()
    timing = members.timing
    for name, (version, row) in list(members.rows.items()):
        seen_at = members.observations[name].counter_seen_at
        ended = ownership.extension_ended(
            row.known, promise_free, seen_at + timing.lease_expiry_s, now, timing
        )
        if ended and now - seen_at >= DELETE_AFTER_S and name not in owners:
            key = member_rows.key_of(name)
            client.transact({key: version}, {}, [key])
