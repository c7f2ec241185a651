"""Which jobs are late and which organisations are over their share.

Planning rounds rank by both; load reports count waiting work in the same way.
"""

from __future__ import annotations

from toucanspring.coordinator import cell_state, state

# A job counts as late once this fraction of its estimated run time does not fit before
# the deadline; estimates are off by up to 0.9 in either direction.
LATE_ESTIMATE_FRACTION = 0.6


def is_late(step_run: state.StepRun, now: float) -> bool:
    """Return whether a step can hardly end before the deadline of its job."""
    needed_s = LATE_ESTIMATE_FRACTION * step_run.step.estimate_ms / 1000
    return now + needed_s > step_run.job.due_at


def find_over_share(cell: cell_state.CellState) -> frozenset[str]:
    """Return the organisations that use more than their fair share of the cell."""
    capacity = cell.capacity()
    organisations = cell.catalogue.organisations.values()
    total = sum(each.weight for each in organisations)
    return frozenset(
        each.name
        for each in organisations
        if each.weight > 0
        and cell.used[each.name].dominant(capacity) > each.weight / total
    )
