"""Tasks that last, after the loss of the zone with the coordinator."""

from __future__ import annotations

import asyncio
import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

import cell  # noqa: E402
import executors  # noqa: E402

NODES, EXECUTORS, CPU = 6, 24, 32_000
DARK_S = 1.2  # machines and servers come back within 1.5 s
TASKS, TASK_CPU, LASTS_MS = 24, 4000, 600_000
# LOST counts from 6 s after the last run, and 4 s after the last impairment, 3 s long.
LAST_RUN_S, CALM_S, IDLE_S = 6.0, 4.0, 3.0
WATCH_S = 25.0


def _make_service() -> dict:
    step = {
        "count": TASKS, "cpu": TASK_CPU, "mem_mb": 1000, "estimate_ms": 1000,
        "long_running": True, "anti_affinity": 2,
    }  # fmt: skip
    return {"spec": f"{LASTS_MS} {TASK_CPU} done", "phases": [step]}


def _find_running(world: cell.Cell) -> set[str]:
    return {task for each in world.executors if each.up for task in each.running}


async def _lose_zone(world: cell.Cell, zone: str) -> None:
    """Cut the power of a zone, and bring its machines back as new boots."""
    lost_nodes = [node for node in world.nodes if zone in node.name]
    lost = [each for each in world.executors if each.zone == zone]
    for node in lost_nodes:
        node.cut_power()
    for executor in lost:
        executor.crash()
    world.record("zone_lost", zone=zone, nodes=len(lost_nodes), executors=len(lost))
    await asyncio.sleep(DARK_S)
    for node in lost_nodes:
        node.start()
    for executor in lost:
        await world.replace(executor, secrets.token_hex(8))


async def _play(world: cell.Cell, trouble: bool) -> list[str]:
    tenant = cell.Tenant("desk", "key-of-desk")
    world.tenants.append(tenant)
    await world.open(NODES, EXECUTORS)
    await world.configure()
    for executor in world.executors:
        await executor.boot(executors.Machine("a", CPU))
    for node in world.nodes:
        node.start()
    await world.await_ready()
    await asyncio.sleep(3.0)
    job = cell.make_id()
    if not await world.submit(job, tenant.key, _make_service()):
        raise cell.NotRun("the submission was not accepted")
    await asyncio.sleep(5.0)
    tasks = _find_running(world)
    if len(tasks) != TASKS:
        raise cell.NotRun(f"{len(tasks)} of {TASKS} tasks run")
    lost_at = world.record.now()
    if trouble:
        leader = world.find_leader()
        if leader is None:
            raise cell.NotRun("no coordinator")
        zone = next(each for each in cell.ZONES if each in leader.name)
        await _lose_zone(world, zone)
        await world.await_ready()
    calm_at = world.record.now()
    missing = tasks - _find_running(world)
    world.record("calm", missing=len(missing))
    # From here on, the first moment since which a task would have to run for LOST.
    owed_at = max(lost_at + LAST_RUN_S, calm_at + CALM_S)
    breaks: list[str] = []
    while world.record.now() < calm_at + WATCH_S and missing:
        await asyncio.sleep(cell.SAMPLE_S)
        now = world.record.now()
        back = missing & _find_running(world)
        for task in sorted(back):
            idle_s = now - lost_at
            world.record("runs_again", task=task, idle_s=round(idle_s, 2))
            if now - owed_at > IDLE_S:
                breaks.append(
                    f"LOST: {task} lasts and did not run for {idle_s:.1f} s, of which "
                    f"{now - owed_at:.1f} s count"
                )
                world.record("broken", text=breaks[-1])
        missing -= back
    breaks += [f"LOST: {task} lasts and did not run any more" for task in missing]
    return breaks


if __name__ == "__main__":
    sys.exit(cell.run(FOLDER, _play))
