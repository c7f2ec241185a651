"""Check the models exhaustively, then show what each removed rule breaks."""

from __future__ import annotations

import concurrent.futures
import itertools
import multiprocessing
import sys
import time

from spec import coordination, moves_model, ownership_model, resizing, runs, search


def print_result(run: runs.Run, result: search.Result) -> bool:
    """Print the result of one run; return whether it is as expected."""
    if run.without:
        print(f"without {run.without}: {len(result.broken)} properties broken")
    else:
        print(
            f"{run.bounds}: {result.states} states, depth {result.depth}, "
            f"{'full space' if result.exhaustive else 'incomplete'}, "
            f"{'all properties hold' if result.proved else 'NOT PROVED'}"
        )
    for name, path in result.broken.items():
        print(f"  {name}, after {len(path)} steps:")
        for label in path:
            print(f"    {label}")
    return bool(result.broken) if run.without else result.proved


def main() -> int:
    """Check all spaces and all removals; return 1 if one is not as expected."""
    started = time.monotonic()
    print("actions and their implementation:")
    implemented = (
        ownership_model.ACTIONS,
        moves_model.ACTIONS,
        resizing.ACTIONS,
        coordination.ACTIONS,
    )
    for action, function in itertools.chain(*(each.items() for each in implemented)):
        print(f"  {action}: {function}")
    spawn = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=spawn) as pool:
        results = list(pool.map(runs.check, runs.ALL))
    expected = [
        print_result(run, result) for run, result in zip(runs.ALL, results, strict=True)
    ]
    states = sum(result.states for result in results)
    print(f"{states} states in {time.monotonic() - started:.0f} s")
    return 0 if all(expected) else 1


if __name__ == "__main__":
    sys.exit(main())
