"""Learned run times of tasks and remaining times of jobs, at nominal speed."""

from __future__ import annotations

import statistics

from toucanspring.coordinator import cell_state, state

# Progress is in whole percent, and the first ones are reported late.
MIN_PERCENT = 10
MAX_SIBLINGS = 16  # latest run times kept of a step
# Remaining times are valid for this long, so that rounds with many steps stay short.
RUNNING_VALIDITY_S = 0.5
WAITING_VALIDITY_S = 2.0  # of steps without running tasks


def record_end(
    cell: cell_state.CellState, step_run: state.StepRun, task: state.Task, now: float
) -> None:
    """Learn from a run that ended successfully; call it before the task is released."""
    step = step_run.step
    if step.long_running or task.resumed or not task.started_at:
        return
    speed = _find_speed(cell, task, _find_gang_speed(cell, step_run))
    run_s = (now - task.started_at) * speed
    step_run.run_times_s.append(run_s)
    del step_run.run_times_s[:-MAX_SIBLINGS]
    cell.run_times.observe(step_run.job.spec.queue, step.estimate_ms / 1000, run_s)


def task_s(cell: cell_state.CellState, step_run: state.StepRun) -> float:
    """Return the typical run time of a task.

    Its siblings tell most, those that ended and those that run; then the queue, then
    the declared time.
    """
    known = list(step_run.run_times_s)
    gang_speed = _find_gang_speed(cell, step_run)
    for task in step_run.tasks.known():
        total_s = _extrapolate(cell, task, gang_speed)
        if total_s is not None:
            known.append(total_s)
    if known:
        return statistics.median(known)
    declared_s = step_run.step.estimate_ms / 1000
    return cell.run_times.typical_s(step_run.job.spec.queue, declared_s)


def remaining_chain_s(
    cell: cell_state.CellState, step_run: state.StepRun, now: float
) -> float:
    """Return the seconds of a step and of the longest chain of steps that need it.

    The progress of what runs counts.
    """
    if now >= step_run.remaining_until:
        runs = any(task.started_at for task in step_run.tasks.known())
        validity_s = RUNNING_VALIDITY_S if runs else WAITING_VALIDITY_S
        step_run.remaining_until = now + validity_s
        step_run.remaining_s = _remaining_s(cell, step_run, now) + _find_following_s(
            cell, step_run
        )
    return step_run.remaining_s


def slack_s(cell: cell_state.CellState, step_run: state.StepRun, now: float) -> float:
    """Return the seconds that a step may wait so that its job is in time."""
    return step_run.job.due_at - now - remaining_chain_s(cell, step_run, now)


def _find_following_s(cell: cell_state.CellState, step_run: state.StepRun) -> float:
    """Return the seconds of the longest chain of steps that need a step."""
    spec = step_run.job.spec
    following = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, step_run.number - 1, -1):
        for other in range(number + 1, len(spec.steps)):
            if number in spec.steps[other].after:
                declared_s = spec.steps[other].estimate_ms / 1000
                own_s = cell.run_times.typical_s(spec.queue, declared_s)
                following[number] = max(following[number], own_s + following[other])
    return following[step_run.number]


def _remaining_s(
    cell: cell_state.CellState, step_run: state.StepRun, now: float
) -> float:
    """Return the seconds of the task of a step that has most left."""
    typical_s = task_s(cell, step_run)
    gang_speed = _find_gang_speed(cell, step_run)
    longest_s = typical_s if step_run.tasks.unknown() else 0.0
    for task in step_run.tasks.known():
        if task.phase is state.TaskPhase.DONE:
            continue
        left_s = typical_s
        if task.checkpoint:
            left_s *= 1 - task.percent / 100
        elif task.started_at:
            total_s = _extrapolate(cell, task, gang_speed) or typical_s
            ran_s = (now - task.started_at) * _find_speed(cell, task, gang_speed)
            left_s = max(0.0, total_s - ran_s)
        longest_s = max(longest_s, left_s)
    return longest_s


def _extrapolate(
    cell: cell_state.CellState, task: state.Task, gang_speed: float | None
) -> float | None:
    """Return the run time of a running task by its progress, None if unknown."""
    if (
        task.phase is not state.TaskPhase.RUNNING
        or task.percent < MIN_PERCENT
        or task.resumed
    ):
        return None
    speed = _find_speed(cell, task, gang_speed)
    ran_s = (task.progressed_at - task.started_at) * speed
    return ran_s * 100 / task.percent if ran_s > 0 else None


def _find_gang_speed(
    cell: cell_state.CellState, step_run: state.StepRun
) -> float | None:
    """Return the speed of the slowest member of a gang, None for other steps."""
    if not step_run.step.gang:
        return None
    return min(
        (
            _find_speed(cell, task, None)
            for task in step_run.tasks.known()
            if task.worker
        ),
        default=1.0,
    )


def _find_speed(
    cell: cell_state.CellState, task: state.Task, gang_speed: float | None
) -> float:
    """Return the speed of a task: that of its gang, else that of its worker."""
    if gang_speed is not None:
        return gang_speed
    worker = cell.workers.get(task.worker)
    return 1.0 if worker is None else cell.speeds.speed(worker.id, worker.kind)
