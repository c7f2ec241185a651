"""Logs the outcome of each job."""

from __future__ import annotations

import logbook

from toucanspring import kernel
from toucanspring.scheduling import effects

log = logbook.Logger(__name__)


def attach(core: kernel.Kernel) -> None:
    """Log each job that has ended in a partition of this process."""
    core.subscribe(effects.JobFinished, _log_outcome)


def _log_outcome(event: effects.JobFinished) -> None:
    outcome = event.outcome
    log.info("job {} ended: {} {}", event.job_id, outcome.state.value, outcome.reason)
