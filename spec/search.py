"""Exhaustive search by minicheck, with the depth, goals and an early stop added."""

from __future__ import annotations

import collections
import dataclasses
import gc
from collections.abc import Callable, Mapping

import minicheck

State = tuple
Goals = Mapping[str, Callable[[State], bool]]


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a search; `broken` maps a property to the labels that break it."""

    states: int
    depth: int
    exhaustive: bool
    broken: Mapping[str, list[str]]

    @property
    def proved(self) -> bool:
        """Return whether the whole space was searched and all properties hold."""
        return self.exhaustive and not self.broken


class Graph:
    """Record depths, parents and the forced steps of a breadth-first search."""

    def __init__(
        self,
        protocol: minicheck.Protocol,
        is_forced: Callable[[str, State], bool] | None,
    ) -> None:
        self._transitions = protocol.transitions
        self._is_forced = is_forced
        self._initial = protocol.initial
        self._parents: dict[State, tuple[State, str] | None] = {self._initial: None}
        self._depths = {self._initial: 0}
        self._predecessors: dict[State, list[State]] = collections.defaultdict(list)
        self.depth = 0
        protocol.transitions = self._record

    def _record(self, state: State) -> list[tuple[str, State]]:
        found = self._transitions(state)
        depth = self._depths[state] + 1
        for label, after in found:
            if after not in self._depths:
                self._depths[after] = self.depth = depth
                if self._is_forced is not None:
                    self._parents[after] = state, label
            if self._is_forced is not None and self._is_forced(label, state):
                self._predecessors[after].append(state)
        return found

    def stuck(self, goal: Callable[[State], bool]) -> list[str] | None:
        """Return the labels to the first state without forced steps to the goal."""
        reached = {state for state in self._parents if goal(state)}
        frontier = list(reached)
        while frontier:
            for state in self._predecessors[frontier.pop()]:
                if state not in reached:
                    reached.add(state)
                    frontier.append(state)
        for state in self._parents:
            if state not in reached:
                return self._path(state)
        return None

    def _path(self, state: State) -> list[str]:
        labels = []
        while (step := self._parents[state]) is not None:
            state, label = step
            labels.append(label)
        return labels[::-1]


def check(
    protocol: minicheck.Protocol,
    max_states: int,
    goals: Goals | None = None,
    is_forced: Callable[[str, State], bool] | None = None,
    stop_early: bool = False,
) -> Result:
    """Check the invariants, and the goals if the whole space was searched.

    With `stop_early` the search ends at the first broken invariant.
    """
    graph = Graph(protocol, is_forced if goals else None)
    if stop_early:
        _stop_early(protocol)
    # The search only adds long-lived tuples, which garbage collections would scan.
    gc.disable()
    try:
        found = minicheck.check_safety(protocol, max_states=max_states)
    finally:
        gc.enable()
    broken = {
        name: [step["label"] for step in each["counterexample"][1:]]
        for name, each in found["properties"].items()
        if each["holds"] is False
    }
    exhaustive = found["exhaustive"] and not (stop_early and broken)
    # In an incomplete space a state may seem stuck since its successors are missing.
    if goals and exhaustive:
        for name, goal in goals.items():
            if (path := graph.stuck(goal)) is not None:
                broken[name] = path
    return Result(found["reachable_states"], graph.depth, exhaustive, broken)


def _stop_early(protocol: minicheck.Protocol) -> None:
    transitions = protocol.transitions
    invariants = list(protocol.invariants.values())
    broken = False

    def follow(state: State) -> list[tuple[str, State]]:
        nonlocal broken
        facts = protocol.d(state)
        broken = broken or not all(holds(facts) for holds in invariants)
        # minicheck has no other way to end a search: no state has a successor.
        return [] if broken else transitions(state)

    protocol.transitions = follow
