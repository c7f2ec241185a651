"""Let the tasks of one tenant's services fail; another's must be started again."""

from __future__ import annotations

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import cell  # noqa: E402  from the folder of the cases

NODES, EXECUTORS, CPU = 3, 24, 32_000
# A service that takes 480 of 768 cores and never fails.
LARGE_TASKS, LARGE_CPU = 160, 3000
# Two services whose tasks fail after their start, in ms, and the time without trouble.
SERVICES, SERVICE_TASKS, SERVICE_CPU = 2, 6, 500
FAILS_MS, STAYS_MS = 200, 3_600_000
# The service of another tenant: one task, which fails now and then.
OTHER_CPU, OTHER_FAILS_MS = 500, 1500
OTHER_AT_S, SERVICES_AT_S, END_S = 3.0, 6.0, 75.0
# A task that lasts may be away from 6 s after its last run for less than 3 s.
AWAY_S = 6.0 + 3.0
SAMPLE_S = 0.1


async def play(world: cell.Cell, trouble: bool) -> list[str]:
    """Return the breaks of the rule."""
    large, failing, other = (
        cell.Tenant(name, f"key-{name}") for name in ("kette", "laden", "schule")
    )
    world.tenants = [large, failing, other]
    await world.open(NODES, EXECUTORS)
    for executor in world.executors:
        await executor.boot(cell.executors.Machine("a", CPU))
    await world.configure()
    for node in world.nodes:
        node.start()
    await world.await_ready()
    began = world.record.now()
    body = make_body(LARGE_TASKS, STAYS_MS, LARGE_CPU)
    accepted = await world.submit(cell.make_id(), large.key, body)
    await asyncio.sleep(OTHER_AT_S)
    job = cell.make_id()
    body = make_body(1, OTHER_FAILS_MS, OTHER_CPU)
    accepted &= await world.submit(job, other.key, body)
    await asyncio.sleep(SERVICES_AT_S - OTHER_AT_S)
    for _ in range(SERVICES):
        lasts_ms = FAILS_MS if trouble else STAYS_MS
        body = make_body(SERVICE_TASKS, lasts_ms, SERVICE_CPU)
        accepted &= await world.submit(cell.make_id(), failing.key, body)
    if not accepted:
        raise cell.NotRun("a job was not accepted")
    return await watch(world, f"{job}.0.0.0", began + END_S)


def make_body(count: int, fails_ms: int, cpu: int) -> dict:
    """Return a submission of tasks that last; each run fails after `fails_ms`."""
    phase = {"count": count, "cpu": cpu, "mem_mb": 128, "estimate_ms": 1000}
    return {
        "spec": f"{fails_ms} {cpu} failed",
        "phases": [phase | {"long_running": True}],
    }


async def watch(world: cell.Cell, task: str, end: float) -> list[str]:
    """Return for how long the task was away while there was room for two of it."""
    breaks: list[str] = []
    away_since = world.record.now()
    reported = False
    while world.record.now() < end:
        await asyncio.sleep(SAMPLE_S)
        now = world.record.now()
        room = max(CPU - executor.used_cpu() for executor in world.executors)
        runs = any(task in executor.running for executor in world.executors)
        if runs or room < 2 * OTHER_CPU:
            away_since, reported = now, False
        elif now - away_since > AWAY_S and not reported:
            reported = True
            used = sum(executor.used_cpu() for executor in world.executors)
            breaks.append(
                f"LOST: {task} lasts and has not run since {away_since:.1f} s, for "
                f"{now - away_since:.1f} s; room for it on one executor: "
                f"{room // OTHER_CPU}; in use: {used / (EXECUTORS * CPU):.0%}"
            )
            world.record("broken", text=breaks[-1])
    return breaks


if __name__ == "__main__":
    sys.exit(cell.run(HERE, play))
