"""Reasons why workers cannot take a task now."""

from __future__ import annotations

import collections
import random

from toucanspring import resources
from toucanspring.scheduling import inventory

# Reasons are counted exactly for up to EXACT_COUNT_LIMIT workers and otherwise
# estimated from a sample, so that a rejection costs no more than a placement.
EXACT_COUNT_LIMIT = 64
SAMPLE_SIZE = 16


def count_reasons(
    entries: list[inventory.Worker],
    demand: resources.Resources,
    zones: frozenset[str] | None,
    excluded: frozenset[str],
    avoided: frozenset[str] = frozenset(),
) -> dict[str, int]:
    """Count workers that cannot take the demand, by their first reason."""
    rejected: collections.Counter[str] = collections.Counter()
    for entry in entries:
        if zones is not None and entry.availability_zone not in zones:
            rejected["availability zone"] += 1
        elif not entry.schedulable:
            rejected["not schedulable"] += 1
        elif entry.name in avoided:
            rejected["avoided"] += 1
        elif entry.name in excluded:
            rejected["held for other work"] += 1
        elif entry.accelerators < demand.accelerators:
            rejected["accelerators"] += 1
        elif entry.cpus < demand.cpus:
            rejected["cpus"] += 1
        elif entry.memory < demand.memory:
            rejected["memory"] += 1
    return dict(rejected)


def estimate_reasons(
    entries: list[inventory.Worker],
    demand: resources.Resources,
    zones: frozenset[str] | None,
    excluded: frozenset[str],
    rng: random.Random,
    avoided: frozenset[str] = frozenset(),
) -> dict[str, int]:
    """Count reasons as above; with many workers, extrapolate from a sample."""
    size = len(entries)
    if size <= EXACT_COUNT_LIMIT:
        return count_reasons(entries, demand, zones, excluded, avoided)
    start = int(rng.random() * size)
    step = size / SAMPLE_SIZE
    sample = [
        entries[(start + int(number * step)) % size] for number in range(SAMPLE_SIZE)
    ]
    reasons = count_reasons(sample, demand, zones, excluded, avoided)
    return {reason: round(count * step) for reason, count in reasons.items()}
