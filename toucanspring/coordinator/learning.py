"""Use of learned speeds and run times between planning rounds, with their log lines."""

from __future__ import annotations

import logbook

from toucanspring import log as structured
from toucanspring.coordinator import cell_state, stop_causes, stragglers

log = logbook.Logger(__name__)

RUN_TIMES_LOG_INTERVAL_S = 30.0


class Learning:
    """Move tail tasks of a cell and log what the coordinator has learned."""

    def __init__(self, cell: cell_state.CellState, epoch: int) -> None:
        self._cell = cell
        self._epoch = epoch
        self._speed_classes = 1
        self._tails_moved = 0
        self._run_times_logged_at = 0.0

    def measure(self) -> dict[str, float]:
        """Return gauges by name."""
        return {
            "tails_moved": self._tails_moved,
            "speed_classes": len(self._cell.speeds.summarise()),
        }

    def move_tails(self, now: float) -> None:
        """Stop tasks in the tail that end sooner on fast workers."""
        for allocation in stragglers.find_tails(self._cell, now):
            task = allocation.task
            self._tails_moved += 1
            structured.decide(
                log, "tail_moved", task=allocation.step.task_id(task.index),
                worker=task.worker, percent=task.percent,
                ran_s=round(now - task.started_at, 2),
            )  # fmt: skip
            self._cell.stop(allocation.step, task, stop_causes.StopCause.TAIL)

    def log(self, now: float) -> None:
        """Log a changed number of classes of workers, and run times now and then."""
        classes = self._cell.speeds.summarise()
        if len(classes) != self._speed_classes:
            self._speed_classes = len(classes)
            structured.decide(
                log, "speeds_learned", epoch=self._epoch,
                classes=[(count, round(speed, 2)) for count, speed in classes],
            )  # fmt: skip
        if now - self._run_times_logged_at >= RUN_TIMES_LOG_INTERVAL_S:
            self._run_times_logged_at = now
            self._log_run_times()

    def _log_run_times(self) -> None:
        known = self._cell.run_times
        finders = known.typical_s, known.high_s, known.mean_s
        ratios = {
            queue.name: [round(find(queue.name, 1.0), 2) for find in finders]
            for queue in self._cell.catalogue.queues
            if known.find(queue.name) is not None
        }
        if ratios:
            structured.decide(
                log, "run_times_learned", epoch=self._epoch, ratios=ratios
            )
