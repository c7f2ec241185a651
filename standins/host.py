"""Runs one stand-in service with its faults until the process gets a signal."""

from __future__ import annotations

import random
from collections.abc import Callable

from standins import events, injection, service


def run(
    name: str,
    address: str,
    port: int,
    control_port: int | None,
    seed: int,
    make_handler: Callable[
        [events.Record], Callable[[service.Request], service.Response]
    ],
) -> None:
    """Serve on `port`, and the control interface on both ports."""
    record = events.Record()
    served = injection.FaultyService(
        address,
        port,
        control_port,
        make_handler(record),
        record,
        random.Random(seed).random,
    )
    served.open()
    service.run_until_signal(f"{name} ready on {address}:{port}")
