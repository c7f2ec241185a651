"""The searches that together check the models."""

from __future__ import annotations

import dataclasses

from spec import (
    coordination,
    moves_model,
    moves_states,
    ownership_model,
    resizing,
    search,
    states,
)

MAX_STATES = 2_000_000
# A search for a counterexample may be incomplete: each violation found is valid.
REMOVAL_STATES = 60_000
RELEASES_REMOVAL_STATES = 400_000  # its shortest counterexample has 12 steps


@dataclasses.dataclass(frozen=True)
class Run:
    """Bounds and rules of one search.

    `without` is the removed rule; then a property must be broken.
    """

    bounds: states.Bounds | moves_states.Bounds | resizing.Bounds | coordination.Bounds
    without: str = ""
    max_states: int = 0  # of a search that needs others than the limits above


# Together they cover both tasks on one worker, each task on two workers, a
# restarted worker and two takeovers.
SPACES = tuple(
    Run(bounds)
    for bounds in (
        states.Bounds(workers=1, epochs=2, attempts=2),
        states.Bounds(workers=2, epochs=2, attempts=2, tasks="I"),
        states.Bounds(workers=2, epochs=2, attempts=2, tasks="N"),
        states.Bounds(workers=1, epochs=2, attempts=2, restarts=1, tasks="N"),
        states.Bounds(workers=1, epochs=3, attempts=2, tasks="N"),
    )
)

# Together they cover a move and its return, other writers of the row, a takeover of
# the donor and of the receiver, tasks of both partitions, and lost workers that leave
# the row.
MOVES_SPACES = tuple(
    Run(bounds)
    for bounds in (
        moves_states.Bounds(epochs=(1, 1), writes=True),
        moves_states.Bounds(epochs=(2, 1), versions=2),
        moves_states.Bounds(epochs=(1, 2), versions=2),
        moves_states.Bounds(epochs=(1, 1), versions=2, tasks=(0, 1)),
        moves_states.Bounds(epochs=(2, 1), versions=2, drops=True),
    )
)

# Removed rule -> bounds that are large enough for the shortest counterexample.
REMOVALS = (
    Run(states.Bounds(tasks="N"), "fence"),
    Run(states.Bounds(workers=2, tasks="I"), "takeover_wait"),
    Run(states.Bounds(tasks="N"), "intent_record"),
    Run(states.Bounds(workers=2, tasks="I"), "restore_wait"),
    Run(states.Bounds(workers=2, tasks="I"), "lost_wait"),
)
MOVES_REMOVALS = (
    Run(moves_states.Bounds(epochs=(2, 1), versions=2), "ownership_check"),
    Run(moves_states.Bounds(epochs=(1, 1), versions=2, writes=True), "version_check"),
    Run(moves_states.Bounds(epochs=(1, 1), versions=3), "lease_wait"),
    Run(moves_states.Bounds(epochs=(1, 1), versions=2), "drain"),
    Run(moves_states.Bounds(epochs=(1, 1), versions=2), "withhold"),
    Run(moves_states.Bounds(epochs=(1, 1), versions=2), "release"),
    Run(moves_states.Bounds(versions=2, drops=True), "own_drop"),
)

RESIZING_SPACES = tuple(Run(bounds) for bounds in resizing.SPACES)
RESIZING_REMOVALS = tuple(
    Run(bounds, rule) for rule, bounds in resizing.REMOVALS.items()
)

COORDINATION_SPACES = tuple(Run(bounds) for bounds in coordination.SPACES)
COORDINATION_REMOVALS = tuple(
    Run(bounds, rule) for rule, bounds in coordination.REMOVALS.items()
)

RELEASES_SPACE = Run(coordination.RELEASES)
RELEASES_REMOVAL = Run(coordination.RELEASES, "known_renewals", RELEASES_REMOVAL_STATES)

ALL = (
    *SPACES,
    *MOVES_SPACES,
    *RESIZING_SPACES,
    *COORDINATION_SPACES,
    RELEASES_SPACE,
    *REMOVALS,
    *MOVES_REMOVALS,
    *RESIZING_REMOVALS,
    *COORDINATION_REMOVALS,
    RELEASES_REMOVAL,
)


def check(run: Run) -> search.Result:
    """Search the space of one run."""
    removed = {run.without: False} if run.without else {}
    limit = REMOVAL_STATES if run.without else MAX_STATES
    max_states = run.max_states or limit
    if isinstance(run.bounds, states.Bounds):
        protocol = ownership_model.Model(states.Rules(**removed), run.bounds).protocol()
        return search.check(protocol, max_states)
    if isinstance(run.bounds, resizing.Bounds):
        protocol = resizing.Model(resizing.Rules(**removed), run.bounds).protocol()
        return search.check(protocol, max_states)
    if isinstance(run.bounds, coordination.Bounds):
        rules = coordination.Rules(**removed)
        return search.check(
            coordination.Model(rules, run.bounds).protocol(), max_states
        )
    rules = moves_states.Rules(**removed)
    protocol = moves_model.Model(rules, run.bounds).protocol()
    return search.check(
        protocol,
        max_states,
        moves_states.GOALS,
        moves_model.is_forced,
        stop_early=bool(run.without),
    )
