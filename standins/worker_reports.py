"""Reports of a worker stand-in: usage, finished tasks, and its state at attach."""

from __future__ import annotations

import time

from standins import events, task_runs, worker_link
from toucanspring import resources, wire
from toucanspring.adapters import vms

REPORT_INTERVAL_S = 4.0
# Wait after a skipped report, of the interval; without tasks, reports are 7 s apart.
SKIPPED_INTERVAL_FRACTION = 0.75
USAGE_REFRESH_S = 60.0  # interval for repeating unchanged usage
USAGE_LAG_S = 1.0  # run time of a task before its usage is reported


class ReportingHost(task_runs.TaskHost):
    """Reports to the owner of the partition; `worker.Worker` adds the lease."""

    def __init__(
        self, listed: vms.Vm, clock: task_runs.Clock, record: events.Record
    ) -> None:
        super().__init__(listed, clock, record)
        self.links: set[worker_link.Link] = set()
        self._partition = -1
        self._report_series = 0
        self._skipped_last = False  # the latest periodic report was skipped
        self._reported_usage: dict[tuple[str, int], resources.Resources] = {}
        self._usage_refreshed_at = 0.0

    def _post_attached(self, link: worker_link.Link, now: float) -> None:
        running = [
            wire.RunningTask(
                task_id,
                entry.start.attempt,
                entry.start.demand,
                entry.start.team,
                int((now - entry.started_at) * 1000),
                entry.rate,
            )
            for task_id, entry in self._running.items()
        ]
        finished = [
            task
            for partition, task in self._finished.values()
            if partition == link.partition
        ]
        # Finished tasks beyond the frame limit are listed as running and reported as
        # finished right after; the owner would take an omitted task as never started.
        size = task_runs.FINISHED_OVERHEAD_BYTES * len(running)
        included = []
        deferred = []
        for task in finished:
            size += len(task.answer) + task_runs.FINISHED_OVERHEAD_BYTES
            if size <= task_runs.MAX_REPORT_BYTES:
                included.append(task)
            else:
                size -= len(task.answer)
                deferred.append(task)
                running.append(
                    wire.RunningTask(task.task_id, task.attempt, resources.ZERO, "")
                )
        self._unreported = []
        self._reported_usage = {}  # a new owner has received none
        self._skipped_last = False
        link.post(
            wire.Attached(
                self.listed.id,
                self._incarnation,
                self.listed.resources,
                self.listed.availability_zone,
                self.listed.rack,
                self._tick(now),
                running,
                included,
            )
        )
        for report in self._split(deferred, {}, now):
            link.post(report)

    def _report_periodically(self, series: int) -> None:
        if series != self._report_series or self._paused_at is not None:
            return  # `resume` and `revive` start a new series
        now = time.monotonic()
        if now - self._usage_refreshed_at >= USAGE_REFRESH_S:
            self._usage_refreshed_at = now
            self._reported_usage = {}
        # Keyed by attempt, because the owner has no usage of a new attempt yet.
        usage = {
            (task_id, running.start.attempt): running.usage()
            for task_id, running in self._running.items()
            if now - running.started_at >= USAGE_LAG_S
        }
        reported, self._reported_usage = self._reported_usage, usage
        changed = {
            key[0]: amount
            for key, amount in usage.items()
            if reported.get(key) != amount
        }
        # At most one report in a row is skipped, so that the lease is renewed in time.
        # With tasks none is, so that they survive a broken link as long as possible.
        self._skipped_last = not (
            self._running or self._unreported or self._skipped_last
        )
        wait_s = REPORT_INTERVAL_S * (
            SKIPPED_INTERVAL_FRACTION if self._skipped_last else 1.0
        )
        if not self._skipped_last:
            self._report(changed)
        self._clock.at(now + wait_s, self._report_periodically, series)

    def _report(self, usage: dict[str, resources.Resources]) -> None:
        unreported, self._unreported = self._unreported, []
        now = time.monotonic()
        for link in self.links:
            if link.partition < 0 or link.partition != self._partition:
                continue
            finished = [
                task for partition, task in unreported if partition == link.partition
            ]
            for report in self._split(finished, usage, now) or [
                wire.Report(self._tick(now), [], usage)
            ]:
                link.post(report)

    def _split(
        self,
        finished: list[wire.FinishedTask],
        usage: dict[str, resources.Resources],
        now: float,
    ) -> list[wire.Report]:
        """Return reports below the frame limit; none if there are no finished tasks."""
        reports = []
        batch: list[wire.FinishedTask] = []
        size = task_runs.FINISHED_OVERHEAD_BYTES * len(usage)
        for task in finished:
            added = len(task.answer) + task_runs.FINISHED_OVERHEAD_BYTES
            if batch and size + added > task_runs.MAX_REPORT_BYTES:
                reports.append(wire.Report(self._tick(now), batch, usage))
                batch, size, usage = [], 0, {}
            batch.append(task)
            size += added
        if batch:
            reports.append(wire.Report(self._tick(now), batch, usage))
        return reports
