"""Outcomes of submitted work as reported to its callers."""

from __future__ import annotations

import collections
import dataclasses

from standins import violations


@dataclasses.dataclass(slots=True)
class Summary:
    """Counts of accepted work by the outcome reported to its callers."""

    name: str
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    lost: list[str] = dataclasses.field(default_factory=list)
    violations: list[violations.Violation] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)

    @property
    def doubled(self) -> int:
        """Return the number of tasks or requests that ran more than once."""
        return sum(
            isinstance(item, violations.DUPLICATE_RUNS) for item in self.violations
        )

    @property
    def passed(self) -> bool:
        """Return whether there was no lost work, violation or problem."""
        return not (self.lost or self.violations or self.problems)

    def lines(self) -> list[str]:
        """Return the summary as lines of text."""
        counts = self.outcomes
        shown = [
            f"{self.name}:",
            f"  accepted  {sum(counts.values()) + len(self.lost)}",
            f"  done      {counts['done']}",
            f"  failed    {counts['failed']}",
            f"  not run   {counts['not_run']}",
            f"  unknown   {counts['unknown']}",
            f"  lost      {len(self.lost)}",
            f"  doubled   {self.doubled}",
        ]
        shown += [f"  violation {item}" for item in self.violations[:10]]
        shown += [f"  lost      {item}" for item in self.lost[:10]]
        return shown + [f"  problem   {item}" for item in self.problems[:10]]
