"""Job admission: validation, dependencies and rejection of oversized jobs."""

from __future__ import annotations

from toucanspring import job
from toucanspring.cell import freshness
from toucanspring.scheduling import effects, lifecycle, task_table

# The workers of a partition are taken as complete once none was added for this time.
WORKERS_SETTLED_S = 5.0
# A lost worker of unknown capacity may be large enough for this time, after which a
# worker that the VM list does not have leaves the partition.
UNLISTED_LIMIT_S = 600.0


def rejection_reason(core: lifecycle.Lifecycle, spec: job.JobSpec) -> str:
    """Return why a job can never run, or an empty string."""
    demand = spec.demand
    if spec.task_count < 1:
        return "task_count must be at least 1"
    if min(demand.cpus, demand.memory, demand.accelerators) < 0:
        return "demand must not be negative"
    if spec.kind is job.Kind.SERVICE and not spec.idempotent:
        return "a service is restarted when it ends, so it must be idempotent"
    if core.table.depends_on_itself(spec):
        return "the job depends on itself"
    return ""


def limit_reason(core: lifecycle.Lifecycle, spec: job.JobSpec) -> str:
    """Return why the known configuration does not allow a job, or an empty string."""
    team = core.teams.get(spec.team)
    if team is None:
        return f"team {spec.team} is not configured"
    together = spec.task_count if spec.kind is job.Kind.GANG else 1
    if not spec.demand.times(together).fits(team.ceiling):
        return f"demand of {together} task(s) is above the team's ceiling"
    return ""


def judge_limits(core: lifecycle.Lifecycle, now: float) -> None:
    """Queue the jobs that the configuration now allows, and reject the others.

    The process that accepted a job may know a later configuration. This is called only
    with a view that was the latest at most `freshness.MAX_AGE_S` ago, so a job that was
    added before that is judged by a configuration at least as new.
    """
    for job_id, added_at in list(core.unjudged.items()):
        record = core.table.jobs[job_id]
        reason = limit_reason(core, record.spec)
        if record.outcome is not None or record.cancelled or not reason:
            del core.unjudged[job_id]
            if record.outcome is None and not record.cancelled:
                _admit(core, record, now)
        elif now - added_at > freshness.MAX_AGE_S:
            del core.unjudged[job_id]
            core.end_waiting(record, job.Outcome(job.State.NOT_RUN, reason), now)


def is_too_large(core: lifecycle.Lifecycle, spec: job.JobSpec) -> bool:
    """Return whether a job would not fit even if all known workers were idle."""
    room = 0
    needed = spec.task_count if spec.kind is job.Kind.GANG else 1
    zones = spec.availability_zones
    for facts in core.known_workers.values():
        if not zones or facts.availability_zone in zones:
            room += spec.demand.count_in(facts.capacity)
            if room >= needed:
                return False
    for amount in core.unseen_workers.values():
        room += spec.demand.count_in(amount)  # in a zone that is not known
        if room >= needed:
            return False
    for worker, listed in (core.other_partition_workers or {}).items():
        if worker in core.known_workers:
            continue  # counted above; it has moved to another partition
        if not zones or listed.availability_zone in zones:
            # A worker of unknown capacity may be large enough.
            amount = listed.capacity
            room += needed if amount is None else spec.demand.count_in(amount)
            if room >= needed:
                return False
    return True


def register_worker(
    core: lifecycle.Lifecycle, facts: effects.WorkerFacts, now: float
) -> None:
    """Record the capacity and zone of a worker."""
    if facts.worker not in core.known_workers:
        core.new_worker_at = now
    core.unseen_workers.pop(facts.worker, None)
    core.unlisted_until.pop(facts.worker, None)
    core.known_workers[facts.worker] = facts


def reject_too_large(core: lifecycle.Lifecycle, now: float) -> None:
    """Reject jobs that can never fit, once all workers are known."""
    if (
        not core.too_large
        or core.expected_workers
        or core.other_partition_workers is None
    ):
        return
    if not (core.known_workers or core.other_partition_workers):
        return
    if now - core.new_worker_at < WORKERS_SETTLED_S:
        return
    if any(now < until for until in core.unlisted_until.values()):
        return
    job_ids, core.too_large = core.too_large, set()
    for job_id in sorted(job_ids):
        record = core.table.jobs.get(job_id)
        if record and record.outcome is None and is_too_large(core, record.spec):
            what = "workers are" if record.spec.kind is job.Kind.GANG else "worker is"
            reason = f"no {what} large enough in the allowed availability zones"
            core.end_waiting(record, job.Outcome(job.State.NOT_RUN, reason), now)


def submit(core: lifecycle.Lifecycle, spec: job.JobSpec, now: float) -> None:
    """Admit a durable job; a repeated submission is ignored."""
    record = core.table.add(spec, now)
    if record is None:
        return
    if reason := rejection_reason(core, spec):
        core.end_waiting(record, job.Outcome(job.State.NOT_RUN, reason), now)
    elif limit_reason(core, spec):
        core.unjudged[spec.id] = now
    else:
        _admit(core, record, now)


def _admit(core: lifecycle.Lifecycle, record: task_table.JobRecord, now: float) -> None:
    spec = record.spec
    if core.other_partition_workers is None or is_too_large(core, spec):
        core.too_large.add(spec.id)
        reject_too_large(core, now)
    if record.outcome is None and wait_for_dependencies(core, record, now):
        core.enqueue(record, now)


def wait_for_dependencies(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    now: float,
    watch: bool = True,
) -> bool:
    """Return whether a job is ready; end it if a dependency did not succeed."""
    unknown = []
    for job_id in record.spec.after:
        other = core.table.jobs.get(job_id)
        if other is None:
            unknown.append(job_id)
            core.table.block(record, job_id)
        elif other.outcome is None:
            core.table.block(record, job_id)
        elif other.outcome.state is not job.State.DONE:
            core.end_waiting(
                record, lifecycle.dependency_failed(job_id, other.outcome), now
            )
            return False
    if unknown and watch:
        core.effects.add(effects.WatchJobs(record.spec.id, unknown))
    return not record.blocked_on
