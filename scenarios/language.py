"""Parses scenarios into steps; errors say what was expected."""

from __future__ import annotations

import dataclasses
import pathlib
import re

import lark
from lark import exceptions

GRAMMAR = pathlib.Path(__file__).with_name("grammar.lark")
DEFAULTS = {
    "deployment": "kernhalde",
    "daemons": 3,
    "workers": 12,
    "executors": 6,
    "partitions": 3,
    "finish_within": 40.0,
}
TERMINALS = {
    "COUNT": "a number",
    "DURATION": "a time such as 3 s or 200 ms",
    "NAME": "a name",
    "STRING": "a title in quotes",
    "STATE": "a state such as done or unknown",
    "DOCUMENT": "configuration, keys, zones, ownership, log, renewals, allowances, "
    "moves, events or layout",
    "LISTED": "live, leaving or gone",
    "KIND": "a kind of event such as worker_lost",
    "_NL": "the end of the line",
    "$END": "the end of the text",
}
MAX_SHOWN = 12


class ScenarioError(Exception):
    """Raised for a text that is not a scenario; names file, line and expectation."""

    def __init__(self, file: str, line: int, problem: str, expected: str = "") -> None:
        self.file = file
        self.line = line
        self.problem = problem
        self.expected = expected
        shown = f"; expected {expected}" if expected else ""
        super().__init__(f"{file}:{line}: {problem}{shown}")


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Hold one statement: its verb, its values in order, and its nested steps."""

    verb: str
    line: int
    args: tuple = ()
    steps: tuple[Step, ...] = ()
    source: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Name workers: one by its number, a rack of a zone, or a zone."""

    kind: str
    number: int = 0
    zone: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Name an entry of the VM list by its role and number."""

    role: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """Name what an event is about: a partition, or a daemon as `process`."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ceiling:
    """State processors for the ceiling of a team."""

    team: str
    cpus: int


@dataclasses.dataclass(frozen=True, slots=True)
class Amount:
    """Compare a count with a number; `all` compares with what was accepted."""

    word: str
    number: int = 0

    def holds(self, count: int, total: int) -> bool:
        """Return whether a count is as expected."""
        match self.word:
            case "all":
                return total > 0 and count == total
            case "at least":
                return count >= self.number
            case "at most":
                return count <= self.number
            case _:
                return count == self.number


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Hold a whole scenario; `settings` has a value for each of `DEFAULTS`."""

    name: str
    file: str
    title: str
    settings: dict[str, object]
    steps: tuple[Step, ...]


class _Builder(lark.Transformer):
    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self._lines = lines

    COUNT = int
    NAME = str
    STATE = str
    DOCUMENT = str
    LISTED = str
    KIND = str

    def STRING(self, token: lark.Token) -> str:  # noqa: N802
        return token[1:-1]

    def DURATION(self, token: lark.Token) -> float:  # noqa: N802
        number, unit = re.fullmatch(r"([\d.]+) ?(ms|s)", token).groups()
        return float(number) / 1000 if unit == "ms" else float(number)

    def daemon(self, children: list) -> str:
        return children[0]

    def ceiling(self, children: list) -> Ceiling:
        return Ceiling(*children)

    def place_worker(self, children: list) -> Place:
        return Place("worker", number=children[0])

    def place_rack(self, children: list) -> Place:
        return Place("rack", children[0], children[1])

    def place_zone(self, children: list) -> Place:
        return Place("zone", zone=children[0])

    def about_partition(self, children: list) -> Subject:
        return Subject("partition", str(children[0]))

    def about_daemon(self, children: list) -> Subject:
        return Subject("process", children[0])

    def host_worker(self, children: list) -> Host:
        return Host("worker", children[0])

    def host_executor(self, children: list) -> Host:
        return Host("executor", children[0])

    def all_of(self, _children: list) -> Amount:
        return Amount("all")

    def none_of(self, _children: list) -> Amount:
        return Amount("exactly", 0)

    def at_least(self, children: list) -> Amount:
        return Amount("at least", children[0])

    def at_most(self, children: list) -> Amount:
        return Amount("at most", children[0])

    def exactly(self, children: list) -> Amount:
        return Amount("exactly", children[0])


OPTIONS = frozenset(
    {
        "running",
        "answering",
        "tasks",
        "cpus",
        "using_cpus",
        "using_memory",
        "in_zone",
        "not_idempotent",
        "giving_up",
        "through",
        "retrying",
    }
)


def _read_options(trees: list[lark.Tree]) -> dict[str, object]:
    return {
        str(tree.data): tree.children[0] if tree.children else True for tree in trees
    }


def _build_step(tree: lark.Tree, lines: list[str]) -> Step:
    if tree.data == "step":
        return _build_step(tree.children[0], lines)
    verb = str(tree.data)
    line = tree.meta.line
    source = lines[line - 1].strip()
    if verb in ("together", "repeat"):
        inner = [child for child in tree.children if isinstance(child, lark.Tree)]
        args = tuple(
            child for child in tree.children if not isinstance(child, lark.Tree)
        )
        steps = tuple(_build_step(child, lines) for child in inner)
        return Step(verb, line, args, steps, source)
    options = [
        child
        for child in tree.children
        if isinstance(child, lark.Tree) and child.data in OPTIONS
    ]
    args = [child for child in tree.children if child not in options]
    if verb in ("submit", "keep_submitting", "keep_sending"):
        args.append(_read_options(options))
    return Step(verb, line, tuple(args), (), source)


_parser: lark.Lark | None = None


def _get_parser() -> lark.Lark:
    global _parser
    if _parser is None:
        _parser = lark.Lark(
            GRAMMAR.read_text(),
            parser="lalr",
            propagate_positions=True,
            maybe_placeholders=True,
        )
    return _parser


def _describe_expected(terminals: set[str], parser: lark.Lark) -> str:
    literal = {
        terminal.name: terminal.pattern.value
        for terminal in parser.terminals
        if terminal.pattern.type == "str"
    }
    words = sorted(
        TERMINALS.get(name) or f'"{literal.get(name, name)}"' for name in terminals
    )
    shown = words[:MAX_SHOWN] + (["..."] if len(words) > MAX_SHOWN else [])
    if len(shown) < 2:
        return "".join(shown)
    return ", ".join(shown[:-1]) + f" or {shown[-1]}"


def parse(source: str, file: str) -> Scenario:
    """Return the scenario in a text; raises `ScenarioError`."""
    parser = _get_parser()
    text = source if source.endswith("\n") else source + "\n"
    lines = text.splitlines()
    try:
        tree = parser.parse(text)
    except exceptions.UnexpectedCharacters as error:
        word = text[error.pos_in_stream :].split(maxsplit=1)
        raise ScenarioError(
            file,
            error.line,
            f'"{word[0] if word else ""}" is not understood',
            _describe_expected(set(error.allowed or ()), parser),
        ) from None
    except exceptions.UnexpectedToken as error:
        ends = error.token.type in ("_NL", "$END")
        line = error.line if error.line and error.line > 0 else len(lines)
        found = "the line ends here" if ends else f'"{error.token}" is not expected'
        raise ScenarioError(
            file, line, found, _describe_expected(set(error.expected), parser)
        ) from None
    built = _Builder(lines).transform(tree)
    settings = dict(DEFAULTS)
    steps = []
    for child in built.children[1:]:
        if child.data in DEFAULTS:
            settings[str(child.data)] = child.children[0]
        else:
            steps.append(_build_step(child, lines))
    return Scenario(
        name=pathlib.Path(file).stem,
        file=file,
        title=built.children[0],
        settings=settings,
        steps=tuple(steps),
    )


def load(path: pathlib.Path) -> Scenario:
    """Read a scenario from its file."""
    return parse(path.read_text(), str(path))
