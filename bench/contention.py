"""Measure planning rounds while organisations compete for too little capacity.

The jobs are those of `bench.contended_arrivals`, the simulation that of `bench.rounds`.
Prints the fraction of the value that is earned, in total, by kind, for the worst tenth
of the organisations and for the worst two windows of 4 s.
"""

from bench import contended_arrivals, rounds, work
from toucanspring.coordinator import planner

POLICIES = {"planner": planner.Planner}


def measure(load: str, seed: int, make_planner) -> dict:
    """Simulate one load."""
    simulation = rounds.Simulation(load, seed, make_planner, contended_arrivals)
    simulation.run()
    return simulation.summarise()


def main() -> None:
    """Simulate each load with one seed."""
    seed = work.parse_seed()
    found = {
        f"{load}, {name}": measure(load, seed, make_planner)
        for load in contended_arrivals.LOADS
        for name, make_planner in POLICIES.items()
    }
    work.print_result(bench="contention", seed=seed, **found)


if __name__ == "__main__":
    main()
