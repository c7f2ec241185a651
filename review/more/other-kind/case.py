"""Crash executors that come back as another kind, while work waits for the first."""

from __future__ import annotations

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import cell  # noqa: E402  from the folder of the cases

NODES, EXECUTORS, CPU = 3, 24, 32_000
FIRST_KIND, OTHER_KIND = "a", "b"
# More tasks than the executors of the first kind can take at a time.
TASKS, TASK_CPU, LASTS_MS = 300, 8000, 3000
CRASH_AT_S, DOWN_S = (4.0, 9.0, 14.0), 2.5
CRASHED = 3  # of 24 executors at a time, 0.125
END_S = 20.0


async def play(world: cell.Cell, trouble: bool) -> list[str]:
    """Return the breaks of the rule."""
    tenant = cell.Tenant("kette", "key-kette")
    world.tenants = [tenant]
    await world.open(NODES, EXECUTORS)
    breaks = []

    def check(executor: object, task: str, run: int, _spec: str) -> None:
        if executor.machine.kind != FIRST_KIND:
            age_ms = executor.clock_ms()
            text = (
                f"ROUTE: {task} run {run} requires {FIRST_KIND} and was started on "
                f"{executor.name}, of kind {executor.machine.kind} since {age_ms} ms"
            )
            world.record("broken", text=text)
            breaks.append(text)

    for number, executor in enumerate(world.executors):
        executor.on_start = check
        kind = FIRST_KIND if number % 2 else OTHER_KIND
        await executor.boot(cell.executors.Machine(kind, CPU))
    await world.configure()
    for node in world.nodes:
        node.start()
    await world.await_ready()
    began = world.record.now()
    accepted = await world.submit(cell.make_id(), tenant.key, {
        "spec": f"{LASTS_MS} {TASK_CPU}",
        "phases": [{"count": TASKS, "cpu": TASK_CPU, "mem_mb": 128,
                    "estimate_ms": LASTS_MS, "requires": FIRST_KIND}],
    })  # fmt: skip
    if not accepted:
        raise cell.NotRun("the job was not accepted")
    first = [each for each in world.executors if each.machine.kind == FIRST_KIND]
    for at_s in CRASH_AT_S:
        await asyncio.sleep(max(0.0, began + at_s - world.record.now()))
        if not trouble:
            continue
        chosen, first = first[:CRASHED], first[CRASHED:]
        for executor in chosen:
            executor.crash()
        await asyncio.sleep(DOWN_S)
        for executor in chosen:
            await executor.boot(cell.executors.Machine(OTHER_KIND, CPU))
    await asyncio.sleep(max(0.0, began + END_S - world.record.now()))
    if not any(executor.running for executor in world.executors):
        raise cell.NotRun("no work was left")
    return breaks


if __name__ == "__main__":
    sys.exit(cell.run(HERE, play))
