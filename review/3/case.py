"""Kill the coordinator on a slow store; an executor is lost just after the takeover."""

from __future__ import annotations

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import cell  # noqa: E402  from the folder of the cases

NODES, EXECUTORS, CPU = 3, 8, 32_000
# One-task jobs for each executor, and a job whose tasks end during the takeover.
LONG_JOBS, LONG_MS, LONG_CPU = 12, 12_000, 9000
SHORT_TASKS, SHORT_MS, SHORT_CPU = 16, 1000, 4000
SLOWNESS, SLOW_S = 60.0, 4.5
LOST_AFTER_S = 0.1  # from the first hold of the new coordinator
LONG_AT_S, SHORT_AT_S, KILL_AT_S = 1.0, 3.0, 3.7
FINISH_S = 14.0  # after the end of the traffic the submissions are asked for


async def play(world: cell.Cell, trouble: bool) -> list[str]:
    """Return the breaks of the rule."""
    tenant = cell.Tenant("kette", "key-kette")
    world.tenants = [tenant]
    await world.open(NODES, EXECUTORS)
    for executor in world.executors:
        await executor.boot(cell.executors.Machine("a", CPU))
    await world.configure()
    for node in world.nodes:
        node.start()
    await world.await_ready()
    await asyncio.sleep(LONG_AT_S)
    jobs = []
    for _ in range(LONG_JOBS):
        job = cell.make_id()
        if await world.submit(job, tenant.key, make_body(1, LONG_MS, LONG_CPU)):
            jobs.append(job)
    await asyncio.sleep(SHORT_AT_S - LONG_AT_S)
    short = cell.make_id()
    body = make_body(SHORT_TASKS, SHORT_MS, SHORT_CPU)
    if len(jobs) < LONG_JOBS or not await world.submit(short, tenant.key, body):
        raise cell.NotRun("a job was not accepted")
    await asyncio.sleep(KILL_AT_S - SHORT_AT_S)
    if trouble:
        await disrupt(world)
    await asyncio.sleep(FINISH_S)
    demands = {job: cell.Demand(tenant.key, 1, LONG_CPU) for job in jobs}
    demands[short] = cell.Demand(tenant.key, SHORT_TASKS, SHORT_CPU)
    return await world.find_idle(demands)


def make_body(count: int, lasts_ms: int, cpu: int) -> dict:
    """Return a submission of one step."""
    return {
        "spec": f"{lasts_ms} {cpu}",
        "phases": [{"count": count, "cpu": cpu, "mem_mb": 128,
                    "estimate_ms": lasts_ms}],
    }  # fmt: skip


async def disrupt(world: cell.Cell) -> None:
    """Slow the store, kill the coordinator and lose an executor after the takeover."""
    leader = world.find_leader()
    if leader is None:
        raise cell.NotRun("no process coordinates")
    fence = max(executor.fence for executor in world.executors)
    lost = asyncio.get_running_loop().create_future()

    def note(executor: object, seen: int) -> None:
        busy = executor.running and executor.has_ends()
        if seen > fence and busy and not lost.done():
            lost.set_result(executor)

    for executor in world.executors:
        executor.on_hold = note
    world.store.slowness = SLOWNESS
    world.record("store_slow", times=SLOWNESS)
    leader.send(cell.signal.SIGKILL)
    slow_until = world.record.now() + SLOW_S
    try:
        executor = await asyncio.wait_for(lost, SLOW_S)
    except TimeoutError:
        raise cell.NotRun("no process took over while the store was slow") from None
    await asyncio.sleep(LOST_AFTER_S)
    world.record("lost", executor=executor.name, tasks=",".join(executor.running))
    executor.crash()
    await asyncio.sleep(max(0.0, slow_until - world.record.now()))
    world.store.slowness = 1.0
    world.record("store_normal")


if __name__ == "__main__":
    sys.exit(cell.run(HERE, play))
