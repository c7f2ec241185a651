"""Kill all processes at once while a recurring job runs; others must still start."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import cell  # noqa: E402  from the folder of the cases

NODES, EXECUTORS, CPU = 3, 24, 32_000
# A recurring job whose occurrences overlap, up to 10 at a time: 1,500 tasks at work.
WIDTH, INTERVAL_S, LASTS_S, TIMES = 150, 5, 48, 40
TASK_CPU = 100  # thousandths of a core; 1,500 tasks take 150 of 768 cores
KILL_AT_S, DARK_S = 46.0, 9.5
# Small jobs of another tenant, the last traffic of the day.
SMALL_AT_S, SMALL_JOBS, SMALL_LASTS_S = 76.0, 4, 1.0
FINISH_S = 14.0  # after the end of the traffic the submissions are asked for


async def play(world: cell.Cell, trouble: bool) -> list[str]:
    """Return the breaks of the rule."""
    record = world.record
    wide, small = cell.Tenant("kette", "key-kette"), cell.Tenant("laden", "key-laden")
    world.tenants = [wide, small]
    await world.open(NODES, EXECUTORS)
    for executor in world.executors:
        await executor.boot(cell.executors.Machine("a", CPU))
    await world.configure()
    for node in world.nodes:
        node.start()
    await world.await_ready()
    began = record.now()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, began + at_s - record.now()))

    recurring = cell.make_id()
    accepted = await world.submit(recurring, wide.key, {
        "spec": f"{LASTS_S * 1000} {TASK_CPU}",
        "phases": [{"count": WIDTH, "cpu": TASK_CPU, "mem_mb": 64,
                    "estimate_ms": LASTS_S * 1000}],
        "repeat_count": TIMES, "start_at_ms": round(time.time() * 1000) + 500,
        "interval_ms": INTERVAL_S * 1000,
    })  # fmt: skip
    if not accepted:
        raise cell.NotRun("the recurring job was not accepted")
    await wait_until(KILL_AT_S)
    running = sum(len(executor.running) for executor in world.executors)
    record("at_work", tasks=running)
    if trouble:
        for node in world.nodes:
            node.cut_power()
        await asyncio.sleep(DARK_S)
        for node in world.nodes:
            node.start()
        await world.await_ready()
    await wait_until(SMALL_AT_S)
    jobs = {}
    for _ in range(SMALL_JOBS):
        job = cell.make_id()
        body = {"spec": f"{SMALL_LASTS_S * 1000:.0f} 1000",
                "phases": [{"count": 2, "cpu": 1000, "mem_mb": 128,
                            "estimate_ms": 1000}]}  # fmt: skip
        if await world.submit(job, small.key, body):
            jobs[job] = cell.Demand(small.key, 2, 1000)
        await asyncio.sleep(0.25)
    if not jobs:
        raise cell.NotRun("no small job was accepted")
    await asyncio.sleep(FINISH_S)
    return await world.find_idle(jobs)


if __name__ == "__main__":
    sys.exit(cell.run(HERE, play))
