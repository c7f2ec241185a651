"""Former owners of a partition that this process is about to claim."""

from __future__ import annotations

from toucanspring.cell import membership, ownership_rows


def former_member_lists(
    members: membership.Service, partition: int, row: ownership_rows.PartitionRow
) -> list[list[str]]:
    """Return the member lists of owners whose leases may be extended after a claim."""
    if not row.process:
        return row.former
    own = members.identity
    if (row.process, row.incarnation) == (own.process, own.incarnation):
        return row.former
    found = members.rows.get(row.process)
    former = list(row.former)
    if found is None:
        known = sorted(members.members())
    elif found[1].member.incarnation == row.incarnation:
        known = found[1].known
        if partition in found[1].settled:
            former = []
    else:
        known = found[1].former.get(str(row.incarnation), found[1].known)
    return former if known in former else [*former, known]


def explain_claim(row: ownership_rows.PartitionRow, own: membership.Member) -> str:
    """Return why a claim of the partition with this row was allowed."""
    if not row.process:
        return "released" if row.epoch else "first"
    is_own = (row.process, row.incarnation) == (own.process, own.incarnation)
    return "own_claim" if is_own else "silent"
