"""Opening of the steps whose turn has come, a bounded number for each job.

An open step takes memory and time in each round. Steps of one kind are interchangeable
for placement: as long as some of them wait, opening more starts nothing sooner.
"""

from __future__ import annotations

from toucanspring.coordinator import index_set, state

MAX_NOT_BEGUN = 64  # open steps of one kind of a job of which nothing has started


def open_steps(record: state.JobRecord, now: float) -> list[state.StepRun]:
    """Open the steps whose turn has come, as many as may be open; return them."""
    record.has_unopened = False
    begun = record.steps.unfinished_occurrences()
    opened = [
        step_run
        for occurrence in begun
        for step_run in open_occurrence(record, occurrence, now)
    ]
    first_kinds = {
        kind
        for kind, step in zip(record.kinds, record.spec.steps, strict=True)
        if not step.after
    }
    due = index_set.IndexSet.below(record.due)
    for occurrence in due.minus(record.steps.finished()).minus(
        index_set.IndexSet(begun)
    ):
        if all(record.not_begun[kind] >= MAX_NOT_BEGUN for kind in first_kinds):
            record.has_unopened = True
            break
        opened += open_occurrence(record, occurrence, now)
    return opened


def open_occurrence(
    record: state.JobRecord, occurrence: int, now: float
) -> list[state.StepRun]:
    """Open the steps of one occurrence whose turn has come, if they may be open."""
    done = record.steps.done_of(occurrence)
    opened = []
    for number, step in enumerate(record.spec.steps):
        if (occurrence, number) in record.steps:
            continue
        if not all(before in done for before in step.after):
            continue
        if record.not_begun[record.kinds[number]] >= MAX_NOT_BEGUN:
            record.has_unopened = True
            continue
        opened.append(state.add_step(record, occurrence, number, now))
    return opened


def may_open_more(step_run: state.StepRun) -> bool:
    """Return whether enough steps of a kind have begun to look for further ones."""
    record = step_run.job
    left = record.not_begun[record.kinds[step_run.number]]
    return record.has_unopened and left <= MAX_NOT_BEGUN // 2


def find_due(record: state.JobRecord, unix_ms: int) -> int:
    """Return how many occurrences of a recurring job are due."""
    spec = record.spec
    passed_ms = unix_ms - spec.first_at_ms
    if passed_ms < 0:
        return 0
    return min(spec.repeats, passed_ms // max(1, spec.interval_ms) + 1)
