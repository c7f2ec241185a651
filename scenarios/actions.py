"""Runs the steps of a scenario; each method is named after its verb."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

import gevent

from scenarios import cell, fault_steps, language, loads

DEFAULT_RUN_S = 0.01
DEFAULT_ANSWER_BYTES = 400
# A stop hands over partitions and finishes requests, 30 s at most by the settings.
STOP_LIMIT_S = 40.0
# The requirements set no limit for the start of a whole cell.
FIRST_CLAIMS_S = 10.0


class StepRunner(fault_steps.FaultSteps):
    """Run steps against a cell; `print_line` prints a line of progress."""

    def __init__(self, running: cell.Cell, print_line: Callable[[str], None]) -> None:
        super().__init__(running)
        self._print_line = print_line
        self._names: dict[str, str] = {}

    def run_steps(self, steps: tuple[language.Step, ...]) -> None:
        """Run steps; raises `cell.StepFailed` at the one that fails."""
        for step in steps:
            self._run_step(step)

    def _run_step(self, step: language.Step) -> None:
        if step.verb == "together":
            parts = [gevent.spawn(self._run_step, inner) for inner in step.steps]
            gevent.joinall(parts, raise_error=True)
        elif step.verb == "repeat":
            for _ in range(step.args[0]):
                self.run_steps(step.steps)
        else:
            self._print_line(f"line {step.line}: {step.source}")
            try:
                getattr(self, step.verb)(*step.args)
            except cell.StepFailed as failed:
                raise cell.StepFailed(
                    f"line {step.line}: {step.source}: {failed}"
                ) from None

    # Daemons

    def resolve(self, name: str) -> str:
        """Return the daemon that a name stands for."""
        return self._names.get(name, name)

    def let_owner(self, name: str, partition: int) -> None:
        """Give the owner of a partition a name."""
        self._names[name] = self._cell.owner(partition)
        self._print_line(f"  {name} is {self._names[name]}")

    def start_all(self) -> None:
        """Start all daemons and wait for the first claims of the partitions.

        A key is checked with a look-up, which needs an owner. Without this wait, the
        first claims take 1.6 to 2.4 s of the 3 s in which a granted key must work.
        """
        self._cell.start_all()
        self.expect_owned(FIRST_CLAIMS_S)

    def start_daemon(self, daemon: str) -> None:
        """Start one daemon."""
        self._cell.start_daemon(self.resolve(daemon))

    def pause(self, daemon: str) -> None:
        """Send SIGSTOP."""
        name = self.resolve(daemon)
        self._cell.cluster.processes[name].signal(signal.SIGSTOP)
        self._cell.http_client.paused[name] = time.monotonic()

    def resume(self, daemon: str) -> None:
        """Send SIGCONT."""
        name = self.resolve(daemon)
        self._cell.cluster.processes[name].signal(signal.SIGCONT)
        self._cell.http_client.paused.pop(name, None)

    def kill(self, daemon: str) -> None:
        """Send SIGKILL."""
        name = self.resolve(daemon)
        self._cell.cluster.kill_daemon(name)
        self._cell.http_client.paused.pop(name, None)

    def restart(self, daemon: str) -> None:
        """Start a daemon that was killed or stopped."""
        self._cell.start_daemon(self.resolve(daemon))

    def stop(self, daemon: str) -> None:
        """Send SIGTERM and wait for the end."""
        name = self.resolve(daemon)
        process = self._cell.cluster.processes[name]
        # Callers reach the daemon until it closes its port, and its requests end.
        self._cell.http_client.stopping.add(name)
        process.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_LIMIT_S
        while process.status() is None:
            if time.monotonic() > deadline:
                raise cell.StepFailed(f"{name} did not end within {STOP_LIMIT_S:g} s")
            gevent.sleep(0.02)
        self._cell.cluster.processes.pop(name)
        self._cell.http_client.stopping.discard(name)
        if process.status() != 0:
            raise cell.StepFailed(f"{name} ended with status {process.status()}")

    def replace_all(self) -> None:
        """Stop and start each daemon, one after the other."""
        for name in self._cell.daemons:
            self.stop(name)
            self._cell.start_daemon(name)

    # Operators

    def apply(self, ceiling: language.Ceiling | None, daemon: str | None) -> None:
        """Apply the configuration."""
        ceilings = {ceiling.team: ceiling.cpus} if ceiling else {}
        self._cell.apply(ceilings, self.resolve(daemon or ""))

    def race(
        self,
        first: language.Ceiling,
        one: str,
        second: language.Ceiling,
        other: str,
    ) -> None:
        """Apply two configurations at once; exactly one operator may succeed."""
        before = time.monotonic()
        sources = [
            cell.with_ceilings(self._cell.source, {each.team: each.cpus})
            for each in (first, second)
        ]
        calls = [
            gevent.spawn(
                self._cell.operator_call,
                "PUT",
                "/v1/config",
                self.resolve(daemon),
                source.encode(),
                headers={"If-Match": str(self._cell.version)},
                timeout_s=15.0,
            )
            for source, daemon in zip(sources, (one, other), strict=True)
        ]
        replies = [call.get() for call in calls]
        kinds = sorted(reply.failure or "accepted" for reply in replies)
        if kinds != ["Conflict", "accepted"]:
            bodies = [reply.body[:200] for reply in replies]
            raise cell.StepFailed(f"the operators got {kinds}: {bodies}")
        won = 0 if not replies[0].failure else 1
        lost = replies[1 - won].error
        version = replies[won].json()["version"]
        if (lost["current_version"], lost["given_version"]) != (
            version,
            self._cell.version,
        ):
            raise cell.StepFailed(f"the conflict names unexpected versions: {lost}")
        self._cell.record_in_force(sources[won], version, before)

    def grant(self, team: str) -> None:
        """Grant a key, which all daemons accept within 3 s."""
        self._cell.grant(team)
        self.expect_key_accepted(team)

    def withdraw(self, team: str) -> None:
        """Withdraw a key."""
        self._cell.withdraw(team)

    def zone_out(self, zone: str) -> None:
        """Take a zone out of service."""
        self._cell.take_zone_out(zone)

    def zone_in(self, zone: str) -> None:
        """Return a zone to service."""
        self._cell.return_zone(zone)

    def set_partitions(self, number: int) -> None:
        """Change the number of partitions."""
        self._cell.set_partitions(number)

    # Work

    def submit(self, count: int, name: str, template: str, options: dict) -> None:
        """Submit jobs."""
        fields, tasks = self._cell.job_fields(template, options)
        jobs = self._cell.job_set(name, template)
        jobs.retrying = "retrying" in options
        jobs.submit(count, fields, tasks, self.resolve(options.get("through", "")))
        if self._cell.is_gang(template):
            self._cell.gangs |= dict.fromkeys(jobs.accepted, tasks)

    def keep_submitting(
        self, name: str, template: str, every_s: float, options: dict
    ) -> None:
        """Submit jobs in the background."""
        fields, tasks = self._cell.job_fields(template, options)
        jobs = self._cell.job_set(name, template)
        jobs.retrying = "retrying" in options
        jobs.spawn(jobs.keep_submitting, fields, tasks, every_s)

    def keep_sending(
        self, name: str, job_class: str, callers: int, options: dict
    ) -> None:
        """Send requests in the background."""
        service = next(iter(self._cell.model.services.values()))
        team = self._cell.model.queues[service.queue].team
        rule = service.classes[job_class]
        kind = loads.Kind(
            service=service.name,
            job_class=job_class,
            idempotent=rule.idempotent is not False and "not_idempotent" not in options,
            run_ms=options.get("running", DEFAULT_RUN_S) * 1000,
            answer_bytes=options.get("answering", DEFAULT_ANSWER_BYTES),
            give_up_s=options.get("giving_up", 0.0),
        )
        key = self._cell.keys.get(team, loads.Key())
        load = loads.Requests(name, self._cell.http_client, key, kind)
        load.answer_bytes = self._large_answer_bytes or kind.answer_bytes
        self._cell.requests[name] = load
        load.start(callers)

    def finish(self, name: str) -> None:
        """Stop a load and wait for its pending calls."""
        self._cell.load(name).stop()

    def cancel(self, name: str) -> None:
        """Cancel all jobs of a set."""
        self._cell.jobs[name].cancel()

    def wait(self, seconds: float) -> None:
        """Wait for a time in seconds."""
        gevent.sleep(seconds)
