"""Check the model exhaustively, then show what each removed rule breaks."""

import sys
import time

import minicheck

from spec import model, resizing, world

MAX_STATES = 2_000_000

# Together they cover both tasks on one worker, each task on two workers, a
# restarted worker and two takeovers.
SPACES = (
    world.Bounds(workers=1, epochs=2, attempts=2),
    world.Bounds(workers=2, epochs=2, attempts=2, tasks="I"),
    world.Bounds(workers=2, epochs=2, attempts=2, tasks="N"),
    world.Bounds(workers=1, epochs=2, attempts=2, restarts=1, tasks="N"),
    world.Bounds(workers=1, epochs=3, attempts=2, tasks="N"),
)

# Removed rule -> bounds that are large enough for the shortest counterexample.
REMOVALS = {
    "fence": (world.Rules(fence=False), world.Bounds(tasks="N")),
    "takeover_wait": (
        world.Rules(takeover_wait=False),
        world.Bounds(workers=2, tasks="I"),
    ),
    "intent_record": (world.Rules(intent_record=False), world.Bounds(tasks="N")),
    "hold": (world.Rules(hold=False), world.Bounds(workers=2, tasks="I")),
    "lost_wait": (world.Rules(lost_wait=False), world.Bounds(workers=2, tasks="I")),
}
# The search for a counterexample may stop early: a violation found is a violation.
REMOVAL_STATES = 25_000


class Depth:
    """Measure the depth of a breadth-first search."""

    def __init__(self, protocol: minicheck.Protocol) -> None:
        self._transitions = protocol.transitions
        self._depths = {protocol.initial: 0}
        self.largest = 0
        protocol.transitions = self._measure

    def _measure(self, before: world.State) -> list[tuple[str, world.State]]:
        found = self._transitions(before)
        depth = self._depths[before] + 1
        for _, after in found:
            if after not in self._depths:
                self._depths[after] = depth
                self.largest = depth
        return found


def check(
    rules: world.Rules | resizing.Rules,
    bounds: world.Bounds | resizing.Bounds,
    max_states: int = MAX_STATES,
) -> tuple[dict, int]:
    """Return minicheck's result and the depth of the search."""
    kind = model.Model if isinstance(rules, world.Rules) else resizing.Model
    protocol = kind(rules, bounds).protocol()
    depth = Depth(protocol)
    return minicheck.check_safety(protocol, max_states=max_states), depth.largest


def broken(result: dict) -> dict[str, list[str]]:
    """Return the labels of the shortest path to each broken invariant."""
    return {
        name: [step["label"] for step in found["counterexample"][1:]]
        for name, found in result["properties"].items()
        if found["holds"] is False
    }


def main() -> int:
    """Check all spaces and all removals; return 1 if one is not as expected."""
    failed = 0
    print("actions and their implementation:")
    for action, function in [*model.ACTIONS.items(), *resizing.ACTIONS.items()]:
        print(f"  {action}: {function}")
    spaces = [(world.Rules(), bounds) for bounds in SPACES]
    spaces += [(resizing.Rules(), bounds) for bounds in resizing.SPACES]
    for rules, bounds in spaces:
        started = time.monotonic()
        result, depth = check(rules, bounds)
        proved = all(found["holds"] for found in result["properties"].values())
        failed += not proved
        print(
            f"{bounds}: {result['reachable_states']} states, depth {depth}, "
            f"{'full space' if result['exhaustive'] else 'incomplete'}, "
            f"{'all invariants hold' if proved else 'NOT PROVED'}, "
            f"{time.monotonic() - started:.0f} s"
        )
        for name, path in broken(result).items():
            print(f"  {name}: " + "; ".join(path))
    for rule, (rules, bounds) in [*REMOVALS.items(), *resizing.REMOVALS.items()]:
        result, _ = check(rules, bounds, REMOVAL_STATES)
        found = broken(result)
        failed += not found
        print(f"without {rule}: {len(found)} invariant(s) broken")
        for name, path in found.items():
            print(f"  {name}, after {len(path)} steps:")
            for label in path:
                print(f"    {label}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
