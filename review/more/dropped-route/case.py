"""Accepted submissions of a queue whose route a later configuration drops."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

import cell  # noqa: E402
import executors  # noqa: E402

NODES, EXECUTORS, CPU = 3, 24, 32_000
CHECKS = cell.Queue("checks", "/lohu930/")
PROOFS = cell.Queue("proofs", "/mira417/", priority=2)
TASKS, TASK_CPU, TASK_MS = 10, 1800, 2200
SUBMISSIONS, PAUSE_S = 5, 0.2
FINISH_S = 14.0


def _make_proof() -> dict:
    step = {"count": TASKS, "cpu": TASK_CPU, "mem_mb": 2600, "estimate_ms": TASK_MS}
    return {
        "spec": f"{TASK_MS} {TASK_CPU}",
        "phases": [step, {"after": [0], **step}],
    }


async def _play(world: cell.Cell, trouble: bool) -> list[str]:
    tenant = cell.Tenant("desk", "key-of-desk")
    world.tenants.append(tenant)
    await world.open(NODES, EXECUTORS)
    await world.configure(CHECKS, PROOFS)
    for executor in world.executors:
        await executor.boot(executors.Machine("a", CPU))
    for node in world.nodes:
        node.start()
    await world.await_ready()
    await asyncio.sleep(3.0)
    jobs = {}
    for _ in range(SUBMISSIONS):
        job = cell.make_id()
        if not await world.submit(job, tenant.key, _make_proof(), PROOFS.prefix):
            raise cell.NotRun(f"{job} was not accepted")
        jobs[job] = cell.Demand(tenant.key, TASKS, TASK_CPU, PROOFS.prefix)
        await asyncio.sleep(PAUSE_S)
    if trouble:
        await world.configure(CHECKS)
        world.record("route_dropped", queue=PROOFS.name)
    world.record("traffic_ended")
    await asyncio.sleep(FINISH_S)
    return await world.find_idle(jobs)


if __name__ == "__main__":
    sys.exit(cell.run(FOLDER, _play))
