"""Submissions of a tenant beside one of its own that can never be done."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cell  # noqa: E402
import executors  # noqa: E402

NODES, EXECUTORS, CPU = 3, 24, 32_000
MAX_CPU = 300_000  # upper bound of the tenant; the executors have 768,000
BUILDS = cell.Queue("builds", "/lohu930/", priority=1, stretch=2.2, target_ms=1000)
PROOFS = cell.Queue("proofs", "/mira417/", priority=2)
# Within the largest width, steps, processors and duration of the site's kind of
# request, and above the upper bound, its overage and one task more.
WIDTH, BUILD_CPU, BUILD_MS = 26, 15_000, 16_000
SMALL_CPU, SMALL_MS = 9000, 1000
PROOF_TASKS, PROOF_CPU, PROOF_MS = 10, 1800, 2200
# One of 21 builds can never be done, a share of less than 0.05.
BUILDS_BEFORE, BUILDS_AFTER, PROOFS_AFTER = 10, 10, 5
PAUSE_S = 0.1
FINISH_S = 14.0


def _make_hopeless() -> dict:
    step = {
        "cpu": BUILD_CPU, "mem_mb": 9000, "estimate_ms": BUILD_MS, "gang": True,
        "checkpointing": True,
    }  # fmt: skip
    return {
        "spec": f"{BUILD_MS} {BUILD_CPU}",
        "phases": [{"count": WIDTH, **step}, {"count": 4, "after": [0], **step}],
    }


def _make(tasks: int, cpu: int, lasts_ms: int) -> dict:
    step = {"count": tasks, "cpu": cpu, "mem_mb": 2600, "estimate_ms": lasts_ms}
    return {"spec": f"{lasts_ms} {cpu}", "phases": [step]}


async def _submit(
    world: cell.Cell, tenant: cell.Tenant, queue: cell.Queue, submission: dict
) -> dict[str, cell.Demand]:
    job, step = cell.make_id(), submission["phases"][0]
    if not await world.submit(job, tenant.key, submission, queue.prefix):
        raise cell.NotRun(f"{job} was not accepted")
    await asyncio.sleep(PAUSE_S)
    demand = cell.Demand(
        tenant.key, step["count"], step["cpu"], queue.prefix, tenant.max_cpu
    )
    return {job: demand}


async def _play(world: cell.Cell, trouble: bool) -> list[str]:
    tenant = cell.Tenant("desk", "key-of-desk", max_cpu=MAX_CPU)
    world.tenants.append(tenant)
    await world.open(NODES, EXECUTORS)
    await world.configure(BUILDS, PROOFS)
    for executor in world.executors:
        await executor.boot(executors.Machine("a", CPU))
    for node in world.nodes:
        node.start()
    await world.await_ready()
    await asyncio.sleep(3.0)
    build = _make(1, SMALL_CPU, SMALL_MS)
    proof = _make(PROOF_TASKS, PROOF_CPU, PROOF_MS)
    jobs: dict[str, cell.Demand] = {}
    for _ in range(BUILDS_BEFORE):
        jobs |= await _submit(world, tenant, BUILDS, build)
    if trouble:
        hopeless = await _submit(world, tenant, BUILDS, _make_hopeless())
        world.record("hopeless_submission", job=next(iter(hopeless)))
    for _ in range(BUILDS_AFTER):
        jobs |= await _submit(world, tenant, BUILDS, build)
    for _ in range(PROOFS_AFTER):
        jobs |= await _submit(world, tenant, PROOFS, proof)
    world.record("traffic_ended")
    await asyncio.sleep(FINISH_S)
    return await world.find_idle(jobs)


if __name__ == "__main__":
    sys.exit(cell.run(FOLDER, _play))
