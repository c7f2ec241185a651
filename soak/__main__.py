"""Inject random faults into real processes: `python -m soak --seed N`."""

import gevent.monkey

gevent.monkey.patch_all()

import argparse  # noqa: E402
import contextlib  # noqa: E402
import functools  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from soak import blackouts, callers, cell, crowds, faults, invariants  # noqa: E402

WARM_UP_S = 3.0
# Several times as long as a worker's lease, a takeover and the work itself.
SETTLE_S = 40.0
POLL_S = 0.2
# Version 1 has equal processes and one series of faults, version 2 unlike processes
# and a second series, version 3 a third one, runs that fail, gangs and two queues. A
# known seed keeps the version in which it failed.
VERSION = 3
# Each line has a seed, the version in which it failed and the cause of its violation.
SEEDS_FILE = pathlib.Path(__file__).parent / "seeds.txt"


def run_seed(
    seed: int,
    version: int,
    seconds: float,
    daemons: int,
    workers: int,
    folder: pathlib.Path,
    with_crowds: bool = False,
) -> dict:
    """Run one seed and return the results."""
    rng = random.Random(seed)
    second_rng = random.Random(f"second series of {seed}")
    capacity_rng = second_rng if version > 1 else None
    third_rng = random.Random(f"third series of {seed}")
    kind_rng = random.Random(f"kinds of jobs of {seed}") if version > 2 else None
    queues = (cell.FIRST_QUEUE, cell.SECOND_QUEUE)[: 2 if version > 2 else 1]
    with cell.Cell(
        random.Random(seed + 1), folder, daemons, workers, capacity_rng, queues
    ) as running:
        if version > 2:
            running.workers.fails = functools.partial(cell.draw_failure, seed)
        gevent.sleep(WARM_UP_S)
        with callers.Callers(running, random.Random(seed + 2), kind_rng) as clients:
            with contextlib.ExitStack() as stack:
                injectors = [faults.FaultInjector(running, rng)]
                if version > 1:
                    injectors.append(
                        faults.FaultInjector(
                            running,
                            second_rng,
                            faults.choose_second_fault,
                            faults.SECOND_MEAN_PAUSE_S,
                        )
                    )
                if version > 2:
                    injectors.append(
                        faults.FaultInjector(
                            running,
                            third_rng,
                            blackouts.choose_fault,
                            blackouts.MEAN_PAUSE_S,
                        )
                    )
                for each in injectors:
                    stack.enter_context(each)
                outside = crowds.Crowds(running, random.Random(f"crowds of {seed}"))
                if with_crowds:
                    stack.enter_context(outside)
                gevent.sleep(seconds)
                gevent.joinall([gevent.spawn(each.stop) for each in injectors])
            clients.stop()
            settle(running)
        checker = running.checker
        unfinished = checker.unfinished()
        for job_id in unfinished[:5]:
            checker.add_violation(
                f"{job_id} is not done {SETTLE_S} s after the last fault"
            )
        counts = {
            each.value: sum(job.acceptance is each for job in checker.jobs.values())
            for each in invariants.Acceptance
        }
        return {
            "seed": seed, "jobs": len(checker.jobs), **counts,
            "starts": running.workers.starts, "version": version,
            "faults": [fault for each in injectors for fault in each.injected],
            "crowds": outside.sent,
            "failed_runs": sum(map(len, running.workers.failed_runs.values())),
            "failed_jobs": sum(
                job.reported_state == "failed" for job in checker.jobs.values()
            ),
            "unfinished": len(unfinished), "broken": checker.violations[:20],
        }  # fmt: skip


def settle(running: cell.Cell) -> None:
    """Wait until all accepted jobs are done, at most `SETTLE_S`."""
    deadline = time.monotonic() + SETTLE_S
    while running.checker.unfinished() and time.monotonic() < deadline:
        gevent.sleep(POLL_S)


def read_known_seeds() -> dict[int, int]:
    """Return the seeds that have ever violated an invariant, with their versions."""
    lines = SEEDS_FILE.read_text().splitlines()
    found = [line.split(maxsplit=2)[:2] for line in lines]
    return {int(seed): int(version) for seed, version in found}


def main() -> int:
    """Run the seeds; return 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="consecutive seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="fault duration")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs")
    parser.add_argument(
        "--known", action="store_true", help="run the seeds that have ever failed"
    )
    parser.add_argument(
        "--crowds", action="store_true", help="with clients outside the limits"
    )
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.count)
    failed_seeds = 0
    known = read_known_seeds()
    for seed in known if options.known else seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = options.keep / f"{seed}" if options.keep else temporary
            folder = pathlib.Path(folder)
            folder.mkdir(parents=True, exist_ok=True)
            result = run_seed(
                seed, known.get(seed, VERSION), options.seconds, options.daemons,
                options.workers, folder, options.crowds,
            )  # fmt: skip
        print(json.dumps(result), flush=True)
        failed_seeds += bool(result["broken"])
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
