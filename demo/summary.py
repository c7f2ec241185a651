"""Counts of what callers submitted and what they were told."""

from __future__ import annotations

import collections
import dataclasses

from standins import violations


@dataclasses.dataclass(slots=True)
class Summary:
    """Count accepted work by the outcome that its callers were given."""

    name: str
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    lost: list[str] = dataclasses.field(default_factory=list)
    violations: list[violations.Violation] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)

    @property
    def doubled(self) -> int:
        """Return how often work ran more than once."""
        return sum(isinstance(item, violations.DOUBLED) for item in self.violations)

    @property
    def passed(self) -> bool:
        """Return whether nothing was lost, doubled or otherwise wrong."""
        return not (self.lost or self.violations or self.problems)

    def lines(self) -> list[str]:
        """Return the account as text."""
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
