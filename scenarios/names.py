"""Checks the names in a scenario before anything starts."""

from __future__ import annotations

from scenarios import cell, language
from toucanspring.configuration import reader, text
from toucanspring.reporting import event_kinds

DEPLOYMENTS = ("kernhalde", "zimna-patna")
# Verbs whose value at the given index is a daemon.
DAEMON_AT = {
    "start_daemon": (0,),
    "pause": (0,),
    "resume": (0,),
    "kill": (0,),
    "restart": (0,),
    "stop": (0,),
    "cut_store": (0,),
    "heal_store": (0,),
    "cut_place": (0,),
    "heal_place": (0,),
    "apply": (1,),
    "race": (1, 3),
    "expect_takeover": (1,),
}
TEAM_AT = {
    "grant": 0,
    "withdraw": 0,
    "expect_key_refused": 0,
    "expect_key_accepted": 0,
}
ZONE_AT = {"zone_out": 0, "zone_in": 0, "expect_no_start": 0}
LOAD_AT = {"finish": 0, "cancel": 0, "expect_count": 1, "expect_more": 1}
PARTITION_AT = {"let_owner": 1, "expect_takeover": 0}
TEMPLATE_AT = {"submit": 2, "keep_submitting": 1}
LOAD_DEFINED_AT = {"submit": 1, "keep_submitting": 0, "keep_sending": 0}


def check(scenario: language.Scenario) -> None:
    """Raise `ScenarioError` for the first name that is not defined."""
    deployment = scenario.settings["deployment"]
    if deployment not in DEPLOYMENTS:
        raise language.ScenarioError(
            scenario.file,
            1,
            f"there is no deployment {deployment}",
            " or ".join(DEPLOYMENTS),
        )
    _Checker(scenario, reader.parse(cell.read_deployment(deployment))).check(
        scenario.steps
    )


class _Checker:
    def __init__(self, scenario: language.Scenario, model: text.Cell) -> None:
        self._file = scenario.file
        self._model = model
        self._settings = scenario.settings
        numbers = range(1, scenario.settings["daemons"] + 1)
        self._daemons = {f"entry-{number}" for number in numbers}
        self._partitions = scenario.settings["partitions"]
        self._loads: set[str] = set()
        self._keys: set[str] = set()

    def check(self, steps: tuple[language.Step, ...]) -> None:
        for step in steps:
            self._check_step(step)
            self.check(step.steps)

    def _require(self, step: language.Step, kind: str, name: object, known) -> None:
        if name is not None and name not in known:
            raise language.ScenarioError(
                self._file,
                step.line,
                f"there is no {kind} {name}",
                "one of " + ", ".join(str(each) for each in sorted(known)),
            )

    def _check_step(self, step: language.Step) -> None:
        verb, args = step.verb, step.args
        model = self._model
        if verb == "set_partitions":
            # Surplus partitions still have owners.
            self._partitions = max(self._partitions, args[0])
        partitions = range(self._partitions)
        for index in DAEMON_AT.get(verb, ()):
            self._require(step, "daemon", args[index], self._daemons)
        for table, kind, known in (
            (TEAM_AT, "team", model.teams),
            (ZONE_AT, "zone", model.availability_zones),
            (LOAD_AT, "load", self._loads),
            (PARTITION_AT, "partition", partitions),
            (TEMPLATE_AT, "job", model.jobs),
        ):
            if verb in table:
                self._require(step, kind, args[table[verb]], known)
        if verb == "expect_event":
            kinds = {each.__struct_config__.tag for each in event_kinds.KINDS}
            self._require(step, "kind of event", args[0], kinds)
        for value in args:
            self._check_value(step, value)
        if verb == "let_owner":
            self._daemons.add(args[0])
        if verb == "keep_sending":
            service = next(iter(model.services.values()))
            self._require(step, "class", args[1], service.classes)
        if verb in ("kill_executor", "revive_executor"):
            self._check_number(step, "executor", args[0], "executors")
        if verb in LOAD_DEFINED_AT:
            self._loads.add(args[LOAD_DEFINED_AT[verb]])

    def _check_value(self, step: language.Step, value: object) -> None:
        match value:
            case language.Ceiling():
                self._require(step, "team", value.team, self._model.teams)
            case language.Subject(kind="process"):
                self._require(step, "daemon", value.name, self._daemons)
            case language.Subject():
                numbers = {str(n) for n in range(self._settings["partitions"])}
                self._require(step, value.kind, value.name, numbers)
            case language.Place(kind="worker"):
                self._check_number(step, "worker", value.number, "workers")
            case language.Place():
                zones = self._model.availability_zones
                self._require(step, "zone", value.zone, zones)
            case language.Host():
                self._check_number(step, value.role, value.number, f"{value.role}s")
            case dict():
                self._require(step, "daemon", value.get("through"), self._daemons)
                zones = self._model.availability_zones
                self._require(step, "zone", value.get("in_zone"), zones)

    def _check_number(
        self, step: language.Step, kind: str, number: int, setting: str
    ) -> None:
        if not 1 <= number <= self._settings[setting]:
            raise language.ScenarioError(
                self._file,
                step.line,
                f"there is no {kind} {number}",
                f"a number from 1 to {self._settings[setting]}",
            )
