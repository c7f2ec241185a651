"""Sizes that the rows of a job may reach, known when the job is submitted."""

from __future__ import annotations

from toucanspring.coordinator import job_specs, rows

# Bytes in the progress row of a job: for a running task with worker ID and checkpoint
# of 16 characters, for a step besides its numbers, more for one that is open, and for
# all else.
TASK_BYTES = 55
STEP_BYTES = 3
OPEN_STEP_BYTES = 2
PROGRESS_BYTES = 16
# The progress of a recurring job that may exceed this has a row for each occurrence.
# Rows that are stored depend on it.
SPLIT_BYTES = 8192


def is_split(spec: job_specs.Job) -> bool:
    """Return whether each occurrence of a job has a row of its own for its progress.

    Any number of them may be open at once.
    """
    if spec.repeats <= 1:
        return False
    return TASK_BYTES * spec.repeats * bound_open_tasks(spec.steps) > SPLIT_BYTES


def fits(spec: job_specs.Job, max_row_bytes: int) -> bool:
    """Return whether the store can hold a job and the progress that it may have.

    All tasks of the steps that may be open at once count as running: those of one
    occurrence if each has a row of its own, else those of all.
    """
    count = len(spec.steps)
    # First, since the bound of the open tasks takes memory and time in proportion to
    # the square of the number of steps.
    if STEP_BYTES * count > max_row_bytes or len(rows.encode(spec)) > max_row_bytes:
        return False
    in_one_row = 1 if is_split(spec) else max(1, spec.repeats)
    step_bytes = STEP_BYTES + _number_bytes(count) + _number_bytes(spec.repeats)
    progress_bytes = (
        PROGRESS_BYTES
        + step_bytes * count * max(1, spec.repeats)
        + OPEN_STEP_BYTES * count
        + TASK_BYTES * in_one_row * bound_open_tasks(spec.steps)
    )
    return progress_bytes <= max_row_bytes


def _number_bytes(limit: int) -> int:
    """Return how many bytes a number below `limit` may take."""
    if limit <= 2**7:
        return 1
    if limit <= 2**8:
        return 2
    return 3 if limit <= 2**16 else 5


def bound_open_tasks(steps: tuple[job_specs.Step, ...]) -> int:
    """Return a bound of the tasks of steps that may be open at the same time.

    A step and those that it comes after, directly or not, are never open together, so
    each task is matched with one of an earlier step where possible.
    """
    total = 0
    before: list[int] = []  # by step, a bit for each step that it comes after
    unmatched = [step.count for step in steps]
    matchable = 0  # a bit for each step that has unmatched tasks
    for number, step in enumerate(steps):
        earlier = 0
        for each in step.after:
            earlier |= before[each] | 1 << each
        before.append(earlier)
        left = step.count
        while left and (candidates := earlier & matchable):
            other = candidates.bit_length() - 1
            matched = min(left, unmatched[other])
            left -= matched
            unmatched[other] -= matched
            if not unmatched[other]:
                matchable ^= 1 << other
        total += left
        matchable |= 1 << number
    return total
