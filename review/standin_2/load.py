"""Clients of one tenant that hand jobs in, and the outline of a case."""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import sys
import traceback
from collections.abc import Awaitable, Callable

from standin_2 import deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
POOL, QUEUE, PREFIX = "pool", "jobs", "/jobs/"
ATTEMPTS = 5  # of a client whose call gets no final answer
PAUSE_S = 0.3
FINAL = ("completed", "failed", "cancelled")
HELD, BROKEN, UNABLE = 0, 1, 2


def configure(cell: deployment.Deployment, version: int = 1, **changes: object) -> None:
    """Write a configuration with one queue and one tenant."""
    route = {
        "name": QUEUE, "host": deployment.HOST, "path_prefix": PREFIX,
        "type": "non_idempotent", "timeout_ms": 3000, "service": POOL, "priority": 0,
        "max_attempts": 3, "stretch": 2.0, "target_runtime_ms": 1000, "public": False,
    }  # fmt: skip
    tenant = {
        "name": deployment.TENANT, "api_keys": [deployment.KEY], "weight": 100,
        "upper_bound": {"cpu": 0, "mem_mb": 0, "gpus": 0},
    }  # fmt: skip
    content = {"version": version, "routes": [route | changes], "services": []}
    cell.store.put("op", "config", content | {"tenants": [tenant]})


async def repeat(
    cell: deployment.Deployment, method: str, path: str, body: object = None
) -> tuple[int, bytes]:
    """Call any process, again after an answer that isn't final."""
    found = 0, b""
    for _ in range(ATTEMPTS):
        found = await cell.call(random.choice(cell.names), method, path, body)
        if found[0] not in (0, 502, 503, 504):
            break
        await asyncio.sleep(PAUSE_S)
    return found


async def submit(
    cell: deployment.Deployment, *steps: dict, on_id: Callable[[str], None] = len
) -> str:
    """Hand a job in and return its ID, "" if it was not accepted.

    `on_id` learns of the ID before the job is sent.
    """
    job_id = secrets.token_hex(8)
    on_id(job_id)
    body = {"spec": f"spec of {job_id}", "phases": list(steps)}
    status, _ = await repeat(cell, "POST", PREFIX + job_id, body)
    return job_id if 200 <= status < 300 else ""


async def find_state(cell: deployment.Deployment, job_id: str) -> str:
    """Return the state of a job, or its status if that is no success."""
    status, body = await repeat(cell, "GET", PREFIX + job_id)
    return json.loads(body)["state"] if status == 200 else f"{status}"


def play(run: Callable[[], Awaitable[int]]) -> None:
    """Run a case and end with its exit status."""
    try:
        status = asyncio.run(run())
    except Exception:
        traceback.print_exc()
        status = UNABLE
    sys.exit(status)
