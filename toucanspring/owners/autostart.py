"""Service `autostart`: submits the jobs that a new configuration starts."""

from __future__ import annotations

import gevent
import gevent.event
import logbook

from toucanspring import errors, job, kernel, settings
from toucanspring.cell import claims
from toucanspring.configuration import documents, text

log = logbook.Logger(__name__)

RETRY_S = 2.0
SUBMITTING_PARTITION = 0


class Service:
    """Submit jobs with `start: apply` in the process that owns partition 0.

    Their IDs are derived from name and run number, and the log of their partition
    keeps them forever, so submitting them again has no effect.
    """

    def __init__(self, core: kernel.Kernel, options: settings.Settings) -> None:
        self._kernel = core
        self._settings = options
        self._wakeup = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Subscribe to changes of the configuration and of partition ownership."""
        self._kernel.subscribe(
            documents.ConfigurationChanged, lambda _event: self._wakeup.set()
        )
        self._kernel.subscribe(
            claims.PartitionAcquired, lambda _event: self._wakeup.set()
        )
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop submitting."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            try:
                if not self._submit_all():
                    gevent.sleep(RETRY_S)
                    self._wakeup.set()
            except Exception:
                log.exception("submitting the jobs of the configuration failed")

    def _submit_all(self) -> bool:
        """Submit all jobs with `start: apply`; return whether none must be retried."""
        if SUBMITTING_PARTITION not in self._kernel.find("claims").owned():
            return True
        cell = self._kernel.find("documents").cell()
        specs = [
            text.job_spec(cell, template, text.apply_id(template))
            for template in cell.jobs.values()
            if template.starts_on_apply
        ]
        if not specs:
            return True
        answers = self._kernel.find("partitions").submit(specs)
        return all(
            _is_settled(spec, answer)
            for spec, answer in zip(specs, answers, strict=True)
        )


def _is_settled(spec: job.JobSpec, answer: str | errors.Failure) -> bool:
    match answer:
        case str():
            return True
        case errors.Conflict():
            # The job was changed without a new run number; the first run counts.
            log.info("job {} was submitted before with other content", spec.id)
            return True
        case _:
            log.warning("job {}: {}", spec.id, answer)
            return False
