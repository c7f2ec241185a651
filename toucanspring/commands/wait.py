"""Command `wait`."""

import gevent

from toucanspring import errors, uptime
from toucanspring.commands import status
from toucanspring.terminal import console

FIRST_POLL_S = 0.2
LONGEST_POLL_S = 2.0


def run(context: console.Context, *jobs: str, limit_s: float = 0.0) -> console.Result:
    """Wait until jobs have ended; exit code 9 unless all are done.

    :param jobs: job IDs
    :param limit_s: limit on the wait in seconds; 0 means none
    """
    started = uptime.now()
    progress = console.Progress()
    open_jobs = list(jobs)
    statuses: dict[str, dict[str, object]] = {}
    pause_s = FIRST_POLL_S
    while True:
        for job_id in open_jobs:
            statuses[job_id] = status.fetch(context.client, job_id)
        open_jobs = [job_id for job_id in open_jobs if not statuses[job_id]["outcome"]]
        if not open_jobs:
            break
        waited_s = uptime.now() - started
        progress.show(_describe(statuses, open_jobs, waited_s))
        if limit_s and waited_s >= limit_s:
            progress.end()
            names = ", ".join(open_jobs)
            raise console.CommandError(errors.Timeout(reason=f"not ended yet: {names}"))
        gevent.sleep(pause_s)
        pause_s = min(LONGEST_POLL_S, pause_s * 1.5)
    progress.end()
    items = [statuses[job_id] for job_id in jobs]
    states = {item["outcome"]["state"] for item in items}
    code = 0
    if states - {"done"}:
        code = console.EXIT_JOB_FAILED
    if "unknown" in states:
        code = console.EXIT_UNKNOWN
    return console.Result({"jobs": items}, status.show(items), code)


def _describe(statuses: dict, open_jobs: list[str], waited_s: float) -> str:
    counts: dict[str, int] = {}
    for job_id in open_jobs:
        for state, count in statuses[job_id]["counts"].items():
            counts[state] = counts.get(state, 0) + count
    tasks = ", ".join(f"{count} {state}" for state, count in counts.items())
    return f"{len(open_jobs)} jobs open after {console.seconds(waited_s)}: {tasks}"
