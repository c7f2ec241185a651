"""Wide submissions that are cancelled, on executors whose stops take their time."""

from __future__ import annotations

import asyncio
import pathlib
import random
import time

from standin_2 import deployment, load

PROCESSES = 2
EXECUTORS = 6
CPUS = 32_000
CANCEL_S, STOP_TIMEOUT_S = 4.0, 0.4
STOP_S = (0.15, 0.35)
CYCLES, CYCLE_S, START_S = 4, 14.0, 3.0
RUN_S = (12.0, 16.0)
OTHERS = 3  # submissions beside each one that is cancelled, a quarter of all
SMALL = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 14_000}
STEP = {"count": 150, "cpu": 500, "mem_mb": 256, "estimate_ms": 14_000}


def find_run_s(task: str) -> float:
    """Return how long a task runs."""
    return random.Random(task).uniform(*RUN_S)


def check_stopped(cell: deployment.Deployment, job_id: str, acked_at: float) -> None:
    """Record the tasks that run although they should be gone."""
    for executor in cell.executors:
        for run in executor.runs.values():
            if run.task.startswith(f"{job_id}."):
                after_s = time.monotonic() - acked_at
                cell.record.break_rule(
                    f"UNASKED {run.task}: runs on {executor.name} {after_s:.2f} s "
                    "after the cancelling of its submission was acknowledged"
                )


async def cancel(cell: deployment.Deployment, job_id: str) -> None:
    """Cancel a submission and check that its tasks end in time."""
    status, _ = await load.repeat(cell, "DELETE", load.PREFIX + job_id)
    if 200 <= status < 300:
        acked_at = time.monotonic()
        await asyncio.sleep(CANCEL_S + STOP_TIMEOUT_S + 0.05)
        check_stopped(cell, job_id, acked_at)


async def run() -> int:
    """Return the exit status."""
    folder = pathlib.Path(__file__).parent
    cell = deployment.Deployment(folder / "record.txt", PROCESSES)
    for number in range(EXECUTORS):
        entry = {
            "service": load.POOL, "zone": "a", "labels": ["a", f"r-{number % 2}"],
            "capacity": {"cpu": CPUS, "mem_mb": 65_536, "gpus": 0},
        }  # fmt: skip
        cell.add_executor(f"i-{number}", entry, run_s=find_run_s)
        cell.executors[-1].stop_s = STOP_S
    load.configure(cell)
    async with cell:
        for _ in range(CYCLES):
            job_id = await load.submit(cell, STEP)
            for _ in range(OTHERS):
                await load.submit(cell, SMALL)
            await asyncio.sleep(START_S)
            if load.TROUBLE:
                await cancel(cell, job_id)
            await asyncio.sleep(CYCLE_S - START_S)
        return cell.judge()


if __name__ == "__main__":
    load.play(run)
