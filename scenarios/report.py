"""Runs one scenario and prints its progress and problems."""

from __future__ import annotations

import json
import time
import traceback

from scenarios import actions, cell, language

MAX_SHOWN = 8
MAX_LINE_CHARACTERS = 900


def run(scenario: language.Scenario) -> int:
    """Run a scenario; return the exit status."""
    began = time.monotonic()

    def print_line(line: str) -> None:
        print(
            f"[{time.monotonic() - began:5.1f} s] {line}"[:MAX_LINE_CHARACTERS],
            flush=True,
        )

    problems: list[str] = []
    settings = scenario.settings
    directory = ""
    try:
        with cell.run(
            settings["deployment"],
            settings["daemons"],
            settings["workers"],
            settings["executors"],
            settings["partitions"],
        ) as running:
            directory = str(running.cluster.directory)
            problems = run_steps(scenario, running, print_line)
            if problems:
                # Leaving by an exception keeps the logs of the processes.
                raise cell.StepFailed(problems[0])
    except cell.StepFailed as failed:
        problems = problems or [str(failed)]
    except Exception as error:
        traceback.print_exc()
        problems = problems or [f"{type(error).__name__}: {error}"]
    for problem in problems[:MAX_SHOWN]:
        print(f"FAILED {problem}"[:MAX_LINE_CHARACTERS])
    if problems:
        print(f"logs of the processes: {directory}")
    print_line("failed" if problems else "passed")
    return 1 if problems else 0


def run_steps(scenario: language.Scenario, running: cell.Cell, print_line) -> list[str]:
    """Run all steps and check the records; return the problems."""
    runner = actions.StepRunner(running, print_line)
    runner.finish_within_s = scenario.settings["finish_within"]
    problems = []
    try:
        runner.run_steps(scenario.steps)
    except cell.StepFailed as failed:
        problems.append(str(failed))
    try:
        running.finish(runner.finish_within_s if not problems else 5.0)
        problems += running.problems()
        for line in running.explain_unfinished_jobs():
            print_line(line)
        violations = running.check_records()
        problems += [f"violation {item}" for item in violations]
        if problems:
            path = running.cluster.directory / "records.json"
            path.write_text(json.dumps(running.cluster.records()))
    finally:
        for load in (*running.jobs.values(), *running.requests.values()):
            shown = {
                state: load.count(state)
                for state in ("accepted", "done", "failed", "not_run", "unknown")
                if load.count(state)
            }
            print_line(f"{load.name}: {shown} {dict(load.counts)}")
    return problems
