"""Remaining times of jobs."""

from __future__ import annotations

from toucanspring.coordinator import state


def remaining_chain_s(step_run: state.StepRun) -> float:
    """Return the seconds of a step and the longest chain of steps that need it."""
    steps = step_run.job.spec.steps
    longest = [0.0] * len(steps)
    for number in range(len(steps) - 1, step_run.number - 1, -1):
        after_s = max(
            (
                longest[other]
                for other in range(number + 1, len(steps))
                if number in steps[other].after
            ),
            default=0.0,
        )
        longest[number] = steps[number].estimate_ms / 1000 + after_s
    return longest[step_run.number]
