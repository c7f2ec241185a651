"""Inject random faults into a running cluster under load; print counts as JSON.

Run: .venv/bin/python -m bench.faults --seed 1
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import dataclasses  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402

from scenarios import actions, cell, fault_steps, language, loads  # noqa: E402
from standins import violations  # noqa: E402

DAEMONS = 5
WORKERS = 12
EXECUTORS = 6
FAULTS_S = 13.0
# Time for which a caller retries. With the default of `scenarios.loads`, one run
# took 60.8 s.
FOLLOW_S = 18.0
# Time since the start of the run at which the load ends; the check of the records and
# the shutdown of the processes follow.
FINISH_AT_S = 42.0
MAX_UNKNOWN = 0.01  # fraction of the accepted work with an unknown outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class Templates:
    """Job templates and request class that make up the load of a deployment."""

    keyed_class: str  # of non-idempotent requests
    batch: str
    single: str  # of non-idempotent jobs
    gang: str
    withdrawn: str  # of the team with the key that is withdrawn


TEMPLATES = {
    "kernhalde": Templates(
        keyed_class="normal",
        batch="proof-rendering",
        single="invoice-run",
        gang="demand-model",
        withdrawn="sales-cubes",
    ),
    "zimna-patna": Templates(
        keyed_class="urgent",
        batch="route-temperatures-sofia",
        single="council-warnings",
        gang="night-ensemble",
        withdrawn="timetable-search",
    ),
}
COUNTED = {
    violations.OverCapacity: "over_capacity",
    violations.Overused: "over_capacity",
    violations.OverCeiling: "over_ceiling",
    violations.ZoneStart: "late_zone_starts",
    violations.KeyAccepted: "late_key_accepts",
    violations.LostWork: "lost",
}
MUST_BE_ZERO = (
    "lost",
    "doubled",
    "over_capacity",
    "over_ceiling",
    "late_zone_starts",
    "late_key_accepts",
    "cut_off",
    "config_reverts",
)

# A generator that injects a fault, yields, and ends the fault.
Fault = Callable[["FaultMix"], Iterator[None]]


class FaultMix:
    """Inject and end faults, with at most one at a time on each daemon."""

    def __init__(self, running: cell.Cell, rng: random.Random) -> None:
        self.cell = running
        self.rng = rng
        self.runner = actions.StepRunner(running, lambda line: None)
        self.busy: set[str] = set()
        self.changing = False
        self.began: collections.Counter[str] = collections.Counter()

    def daemon(self) -> str:
        """Reserve a random daemon without a fault and return its name."""
        free = [name for name in self.cell.daemons if name not in self.busy]
        name = self.rng.choice(free)
        self.busy.add(name)
        return name

    def worker(self) -> language.Place:
        """Return a random worker."""
        return language.Place("worker", self.rng.randint(1, WORKERS))

    def run(self, fault: Fault, seconds: float) -> None:
        """Inject a fault and end it after some seconds."""
        steps = fault(self)
        self.began[fault.__name__] += 1
        next(steps)
        gevent.sleep(seconds)
        next(steps, None)


def _on_daemon(
    mix: FaultMix, begin: Callable[[str], None], end: Callable[[str], None]
) -> Iterator[None]:
    name = mix.daemon()
    begin(name)
    yield
    end(name)
    mix.busy.discard(name)


def kill(mix: FaultMix) -> Iterator[None]:
    """Kill a daemon and start it again."""
    return _on_daemon(mix, mix.runner.kill, mix.runner.restart)


def pause(mix: FaultMix) -> Iterator[None]:
    """Pause a daemon."""
    return _on_daemon(mix, mix.runner.pause, mix.runner.resume)


def stop(mix: FaultMix) -> Iterator[None]:
    """Stop a daemon gracefully and start it again."""
    return _on_daemon(mix, mix.runner.stop, mix.runner.restart)


def cut_store(mix: FaultMix) -> Iterator[None]:
    """Disconnect a daemon from the store."""
    return _on_daemon(mix, mix.runner.cut_store, mix.runner.heal_store)


def store_down(mix: FaultMix) -> Iterator[None]:
    """Make the store unavailable to all daemons."""
    mix.runner.store_down()
    yield
    mix.runner.store_up()


def store_slow(mix: FaultMix) -> Iterator[None]:
    """Slow the store down for all daemons."""
    mix.runner.store_slow(mix.rng.uniform(0.05, 0.5))
    yield
    mix.runner.store_up()


def lose_answers(mix: FaultMix) -> Iterator[None]:
    """Drop responses to writes of one kind of row."""
    document = mix.rng.choice(sorted(fault_steps.ROW_PREFIXES))
    mix.runner.lose_writes(mix.rng.randint(1, 3), document)
    yield


def lose_worker(mix: FaultMix) -> Iterator[None]:
    """End a worker, which restarts after a delay."""
    mix.runner.lose(mix.worker(), mix.rng.uniform(0.2, 2.0))
    yield


def cut_worker(mix: FaultMix) -> Iterator[None]:
    """Disconnect a worker from one daemon."""
    place = mix.worker()
    name = mix.rng.choice(mix.cell.daemons)
    mix.runner.cut_place(name, place)
    yield
    mix.runner.heal_place(name, place)


def take_zone(mix: FaultMix) -> Iterator[None]:
    """Take a zone out of service and return it."""
    if mix.cell.zones_out:
        yield
        return
    zone = mix.rng.choice(sorted(mix.cell.model.availability_zones))
    mix.cell.zones_out[zone] = float("inf")  # prevents an outage of a second zone
    mix.runner.zone_out(zone)
    yield
    mix.runner.zone_in(zone)


def change_ceiling(mix: FaultMix) -> Iterator[None]:
    """Apply a configuration with another ceiling."""
    if mix.changing:
        yield
        return
    mix.changing = True
    team = mix.rng.choice(sorted(mix.cell.model.teams))
    mix.runner.apply(language.Ceiling(team, mix.rng.randint(20, 200)), None)
    mix.changing = False
    yield


def withdraw_key(mix: FaultMix) -> Iterator[None]:
    """Withdraw the key of the team that is chosen for it, unless it was already."""
    template = TEMPLATES[mix.cell.model.name].withdrawn
    team = mix.cell.model.jobs[template].team
    if mix.cell.keys[team].id not in mix.cell.withdrawn:
        mix.runner.withdraw(team)
    yield


def fail_executor(mix: FaultMix) -> Iterator[None]:
    """Stop a backend server, or truncate a response."""
    if mix.rng.random() < 0.5:
        mix.runner.answers_cut(1)
        yield
        return
    number = mix.rng.randint(1, EXECUTORS)
    mix.runner.kill_executor(number)
    yield
    mix.runner.revive_executor(number)


FAULTS: tuple[Fault, ...] = (
    kill,
    pause,
    stop,
    cut_store,
    store_down,
    store_slow,
    lose_answers,
    lose_worker,
    cut_worker,
    take_zone,
    change_ceiling,
    withdraw_key,
    fail_executor,
)
# These set the same fault of the store, so that the end of one would end the other.
EXCLUSIVE = {store_down, store_slow}
NEEDS_STORE = {take_zone, change_ceiling, withdraw_key}


def choose(rng: random.Random) -> list[Fault]:
    """Return one to three faults that do not cancel each other."""
    chosen = rng.sample(FAULTS, rng.randint(1, 3))
    if set(chosen) >= EXCLUSIVE:
        chosen.remove(store_slow)
    if store_down in chosen:
        # Changes by operators are refused while the store is unavailable.
        chosen = [fault for fault in chosen if fault not in NEEDS_STORE]
    return chosen


def start_load(running: cell.Cell, runner: actions.StepRunner) -> None:
    """Start requests and jobs of all kinds."""
    load = TEMPLATES[running.model.name]
    jobs = running.model.jobs
    service = next(iter(running.model.services.values()))
    teams = {
        jobs[name].team for name in (load.batch, load.single, load.gang, load.withdrawn)
    }
    for team in sorted(teams | {running.model.queues[service.queue].team}):
        runner.grant(team)
    runner.keep_sending("checks", "check", 4, {"running": 0.005})
    runner.keep_sending("keyed", load.keyed_class, 4, {"running": 0.03})
    runner.keep_submitting("batch", load.batch, 0.2, {"running": 0.3, "tasks": 4})
    runner.keep_submitting("single", load.single, 0.1, {"running": 0.3})
    runner.keep_submitting(
        "withdrawn", load.withdrawn, 0.3, {"running": 0.2, "tasks": 2}
    )
    runner.submit(1, "gang", load.gang, {"running": 2.0, "tasks": 6})


def run(running: cell.Cell, seed: int, began: float) -> dict[str, int]:
    """Run the load and the faults; return the counts."""
    rng = random.Random(seed)
    mix = FaultMix(running, rng)
    running.start_all()
    running.apply({})
    mix.runner.expect_version(1, None)
    start_load(running, mix.runner)
    rounds = 0
    end = time.monotonic() + FAULTS_S
    while time.monotonic() < end:
        chosen = choose(rng)
        rounds += 1
        print(f"{time.monotonic() - began:5.1f} s: ", end="")
        print(", ".join(fault.__name__ for fault in chosen), flush=True)
        greenlets = [
            gevent.spawn(mix.run, fault, rng.uniform(0.5, 5.0)) for fault in chosen
        ]
        gevent.joinall(greenlets, raise_error=True)
        gevent.sleep(rng.uniform(0.0, 0.5))
    running.finish(FINISH_AT_S - (time.monotonic() - began))
    return count(running, rounds, sum(mix.began.values()))


def count(running: cell.Cell, rounds: int, faults: int) -> dict[str, int]:
    """Return the counts of a finished run; print violations and problems."""
    loads = (*running.jobs.values(), *running.requests.values())
    result = {"runs": rounds, "faults": faults}
    for state in ("accepted", "done", "not_run", "unknown"):
        result[state] = sum(each.count(state) for each in loads)
    result |= dict.fromkeys(MUST_BE_ZERO, 0)
    result["lost"] = sum(each.count("lost") for each in loads)
    result["cut_off"] = sum(each.counts["cut_off_by_stop"] for each in loads)
    result["config_reverts"] = len(running.regressions)
    other_violations = 0
    found = running.check_records()
    for violation in found:
        kind = type(violation)
        if kind is violations.LostWork:
            continue  # already counted by job
        if kind in violations.DUPLICATE_RUNS:
            result["doubled"] += 1
        elif kind in COUNTED:
            result[COUNTED[kind]] += 1
        else:
            other_violations += 1
    for line in [
        *found[:8],
        *running.problems()[:8],
        *running.explain_unfinished_jobs()[:4],
    ]:
        print(str(line)[:500])
    if other_violations:
        print(f"{other_violations} other violations")
        result["runs"] = -1  # marks the run as invalid
    return result


def main(*, seed: int = 1) -> int:
    """Run random faults and print the counts as JSON.

    :param seed: Seed of the choice of faults; odd seeds run the first deployment.
    """
    began = time.monotonic()
    loads.FOLLOW_UP_LIMIT_S = FOLLOW_S
    deployment = sorted(TEMPLATES)[(seed + 1) % 2]
    with cell.run(deployment, DAEMONS, WORKERS, EXECUTORS, 3) as running:
        result = run(running, seed, began)
        passed = not any(result[name] for name in MUST_BE_ZERO)
        passed = passed and result["unknown"] <= MAX_UNKNOWN * result["accepted"]
        passed = passed and result["runs"] > 0
        if not passed:
            path = running.cluster.directory / "records.json"
            path.write_text(json.dumps(running.cluster.records()))
            kept = running.cluster.directory.rename(
                running.cluster.directory.with_name(f"toucanspring-faults-{seed}")
            )
            print(f"records and logs: {kept}")
    print(f"took {time.monotonic() - began:.1f} s", file=sys.stderr)
    print(json.dumps(result))
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main, short={}))
