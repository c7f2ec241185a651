"""Faults in which all processes restart while the store is away, or in part."""

from __future__ import annotations

import dataclasses
import random
import signal

import gevent

from soak import cell
from toucanspring.coordinator import rows

MEAN_PAUSE_S = 4.0
MAX_LEAD_S = 1.0  # from the start of an outage to the first kill
BETWEEN_KILLS_S = 1.5
START_S = 1.2  # in which processes start again
ATTEMPTS_RANGE = (2, 4)
REMOVED_FACTOR = 2.0  # a queue is removed this much longer than other faults last
SOME_PARTS = 4
OPERATORS_TABLE = "op"
WORKERS_TABLE = "servers"


@dataclasses.dataclass(frozen=True)
class Blackout:
    """Kill all processes at once, while the store is down for all or some calls.

    Without parts and tables, it is down for all.
    """

    lead_s: float
    kills: int
    parts: tuple[str, ...] = ()
    tables: tuple[str, ...] = ()
    change: Attempts | None = None


@dataclasses.dataclass(frozen=True)
class Attempts:
    """Change the attempts of a queue; 0 removes it for a while."""

    queue: str
    count: int


Fault = Blackout | Attempts


def choose_fault(rng: random.Random, running: cell.Cell) -> Fault:
    """Choose a random fault of the third series by weight."""
    parts = ["", rows.COORDINATOR_PART, *map(str, range(rows.JOB_PARTS))]
    attempts = Attempts(
        rng.choice(sorted(running.attempts)),
        rng.choice((0, rng.randint(*ATTEMPTS_RANGE))),
    )
    lead_s, kills = rng.uniform(0, MAX_LEAD_S), rng.randint(1, 2)
    change = rng.choice((None, attempts))
    some_parts = tuple(rng.sample(parts, SOME_PARTS))
    choices: tuple[tuple[float, Fault], ...] = (
        (2, Blackout(lead_s, kills, change=change)),
        (2, Blackout(lead_s, kills, parts=some_parts, change=change)),
        (3, Blackout(lead_s, kills, tables=(OPERATORS_TABLE,), change=change)),
        (1, Blackout(lead_s, kills, tables=(WORKERS_TABLE,), change=change)),
        (2, attempts),
    )
    weights, faults = zip(*choices, strict=True)
    return rng.choices(faults, weights)[0]


def inject(running: cell.Cell, fault: Fault, duration_s: float) -> None:
    """Apply a fault and end it after a while."""
    match fault:
        case Blackout():
            _black_out(running, fault, duration_s)
        case Attempts():
            _change_attempts(running, fault, duration_s)


def _black_out(running: cell.Cell, fault: Blackout, duration_s: float) -> None:
    store = running.store
    whole = not fault.parts and not fault.tables
    store.reachable = not whole
    store.parts_down = set(fault.parts)
    store.tables_down = set(fault.tables)
    gevent.sleep(fault.lead_s)
    for number in range(fault.kills):
        if number:
            gevent.sleep(BETWEEN_KILLS_S)
        for name in running.daemons:
            running.signal(name, signal.SIGKILL)
    change = None
    if fault.change is not None:
        change = gevent.spawn(_change_attempts, running, fault.change, duration_s)
    gevent.sleep(START_S + duration_s)
    store.reachable = True
    store.parts_down = set()
    store.tables_down = set()
    if change is not None:
        change.get()


def _change_attempts(running: cell.Cell, fault: Attempts, duration_s: float) -> None:
    if fault.count:
        running.attempts[fault.queue] = fault.count
        running.configure()
        return
    running.removed_queues.add(fault.queue)
    running.configure()
    gevent.sleep(duration_s * REMOVED_FACTOR)
    running.removed_queues.discard(fault.queue)
    running.configure()
