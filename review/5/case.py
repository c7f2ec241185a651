"""The count of submissions that have not begun, with executors that refuse starts."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cell  # noqa: E402
import executors  # noqa: E402

NODES, EXECUTORS, CPU = 3, 24, 32_000
UNHEALTHY, UNHEALTHY_S = 2, 6.5  # a share of 0.083
# Work of the site's largest demand and duration fills the other executors: two tasks
# on each leave 2 cores, less than a check needs.
BUILD_TASKS, BUILD_CPU, BUILD_MS = 44, 15_000, 16_000
CHECKS, CHECK_CPU, CHECK_MS = 20, 2600, 1000
VISIBLE_S, COUNT_AGE_S = 3.0, 2.0
ASK_FOR_S = 0.5
PAUSE_S = 0.1


def _make(tasks: int, cpu: int, lasts_ms: int) -> dict:
    step = {"count": tasks, "cpu": cpu, "mem_mb": 2600, "estimate_ms": lasts_ms}
    return {"spec": f"{lasts_ms} {cpu}", "phases": [step]}


async def _open(world: cell.Cell, tenant: cell.Tenant, begun: set[str]) -> None:
    world.tenants.append(tenant)
    await world.open(NODES, EXECUTORS)
    await world.configure()
    for executor in world.executors:
        executor.on_start = lambda _executor, task, *_: begun.add(
            task.partition(".")[0]
        )
        await executor.boot(executors.Machine("a", CPU))
    for node in world.nodes:
        node.start()
    await world.await_ready()
    await asyncio.sleep(3.0)


async def _fill(world: cell.Cell, tenant: cell.Tenant) -> list[executors.Executor]:
    """Fill all executors but some, and return these."""
    build = _make(BUILD_TASKS, BUILD_CPU, BUILD_MS)
    if not await world.submit(cell.make_id(), tenant.key, build):
        raise cell.NotRun("the build was not accepted")
    await asyncio.sleep(2.0)
    idle = [each for each in world.executors if not each.running]
    if len(idle) != UNHEALTHY:
        raise cell.NotRun(f"{len(idle)} executors are idle instead of {UNHEALTHY}")
    return idle


async def _count(
    world: cell.Cell,
    tenant: cell.Tenant,
    accepted: dict[str, float],
    begun: set[str],
) -> list[str]:
    """Ask each node once for the number that has not begun; return the breaks."""
    breaks = []
    for node in world.nodes:
        asked_at = world.record.now()
        answer = await world.call("GET", "", tenant.key, node=node)
        # Those that have not begun when the answer is there had not before either.
        owed = [
            job
            for job, at in accepted.items()
            if job not in begun and asked_at - at > VISIBLE_S + COUNT_AGE_S
        ]
        if answer is None or answer[0] != 200:
            continue
        count = json.loads(answer[1])["pending"]
        if 2 * count < len(owed):
            breaks.append(
                f"MIXED: {node.name} gives {count} as pending, and {len(owed)} "
                f"submissions that were accepted over 5 s before have not begun"
            )
            world.record("broken", text=breaks[-1])
    return breaks


async def _play(world: cell.Cell, trouble: bool) -> list[str]:
    tenant = cell.Tenant("desk", "key-of-desk")
    begun: set[str] = set()
    await _open(world, tenant, begun)
    idle = await _fill(world, tenant)
    for executor in idle:
        executor.unhealthy = trouble
        world.record("unhealthy", executor=executor.name, is_unhealthy=trouble)
    healthy_at = world.record.now() + UNHEALTHY_S
    accepted: dict[str, float] = {}
    for _ in range(CHECKS):
        job = cell.make_id()
        if await world.submit(job, tenant.key, _make(1, CHECK_CPU, CHECK_MS)):
            accepted[job] = world.record.now()
    ask_at = max(accepted.values(), default=0.0) + VISIBLE_S + COUNT_AGE_S
    await asyncio.sleep(ask_at - world.record.now())
    breaks = []
    while world.record.now() < min(ask_at + ASK_FOR_S, healthy_at):
        breaks += await _count(world, tenant, accepted, begun)
        await asyncio.sleep(PAUSE_S)
    for executor in idle:
        executor.unhealthy = False
    return breaks


if __name__ == "__main__":
    sys.exit(cell.run(FOLDER, _play))
