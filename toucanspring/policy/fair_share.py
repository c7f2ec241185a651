"""Fair shares: usage and targets of teams, and the order in which they are served.

As in the FairShare groups of Altair Accelerator, targets count active teams only and
usage is averaged over a window. `bench.share` compares this with ranking by current
usage.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from toucanspring import resources

ROUNDING_ERROR = 1e-9  # tolerance for sums of shares
# Time in which a team should recover its deficit. In bench.share, shorter times
# overshoot; with longer ones, or without recovery, large tasks fall behind.
DEFICIT_RECOVERY_S = 1.5
# Limits the correction for a deficit, as a multiple of the target, so that a team with
# a large deficit does not fill the cell with long tasks.
MAX_CORRECTION = 1.0
# A team this far above its target, as a fraction of it, yields to blocked teams.
YIELD_ABOVE = 0.25
# No team yields if a larger fraction of the cell is idle, because then it is not the
# usage of other teams that blocks a team.
MAX_IDLE_FRACTION = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Settings of a team; `share` is relative to those of other active teams."""

    name: str
    organisation: str = ""
    share: float = 1.0
    ceiling: resources.Resources = resources.UNLIMITED


class TeamUsage:
    """Usage of one team, current and averaged over the window."""

    __slots__ = (
        "average",
        "deficit",
        "ranked_integral",
        "integral",
        "updated_at",
        "current",
    )

    def __init__(self, now: float) -> None:
        self.current = resources.ZERO
        self.average = 0.0  # exponential moving average of the dominant share
        self.integral = 0.0  # of the dominant share since the start, in seconds
        self.ranked_integral = 0.0  # `integral` when the deficit was last updated
        # Decayed sum of entitlement less usage, in share seconds; negative if the team
        # used more than it was entitled to.
        self.deficit = 0.0
        self.updated_at = now


class ShareTracker:
    """Track the usage of teams and compare it with their targets.

    Shares and targets are fractions of the cell. The usage of a team is its dominant
    share, which is the largest fraction of the total in any resource.
    """

    def __init__(self, teams: Iterable[Team], window_s: float = 60.0) -> None:
        self._teams = {team.name: team for team in teams}
        self._usage_by_team: dict[str, TeamUsage] = {}
        self._window_s = window_s
        self._total = resources.ZERO
        self._deficits_updated_at = 0.0
        # Teams that were active at the last update of deficits.
        self._last_active: frozenset[str] = frozenset()

    def set_teams(self, teams: Iterable[Team]) -> None:
        """Replace the teams, but keep the usage of removed ones."""
        self._teams = {team.name: team for team in teams}

    def set_total(self, total: resources.Resources) -> None:
        """Set the total capacity, of which shares are fractions."""
        self._total = total

    def started(self, team: str, demand: resources.Resources, now: float) -> None:
        """Add the demand of a started task to the usage of its team."""
        usage = self._update_usage(team, now)
        usage.current += demand

    def ended(self, team: str, demand: resources.Resources, now: float) -> None:
        """Subtract the demand of an ended task from the usage of its team."""
        usage = self._update_usage(team, now)
        usage.current -= demand

    def current_usage(self, team: str) -> resources.Resources:
        """Return the current usage of a team."""
        usage = self._usage_by_team.get(team)
        return usage.current if usage else resources.ZERO

    def targets(self, active: Iterable[str]) -> dict[str, float]:
        """Divide the cell among the active teams by share, within their ceilings."""
        shares = {}
        for name in active:
            team = self._teams.get(name)
            shares[name] = team.share if team else 0.0
        limits = {name: self._limit(name) for name in shares}
        targets = dict.fromkeys(shares, 0.0)
        left = 1.0
        open_teams = {name for name, share in shares.items() if share > 0}
        while open_teams and left > 0:
            total = sum(shares[name] for name in open_teams)
            part = left / total
            capped = {
                name for name in open_teams if shares[name] * part >= limits[name]
            }
            if not capped:
                for name in open_teams:
                    targets[name] = shares[name] * part
                break
            for name in capped:
                targets[name] = limits[name]
                left -= limits[name]
            open_teams -= capped
        return targets

    def rank(self, active: Iterable[str], now: float) -> list[str]:
        """Return the active teams, the one most below its target first."""
        found = self._shortfalls_and_targets(active, now)

        def key(name: str) -> tuple:
            shortfall, target = found[name]
            return (-shortfall / target if target > 0 else math.inf, -shortfall, name)

        return sorted(found, key=key)

    def shortfalls(self, active: Iterable[str], now: float) -> dict[str, float]:
        """Return the shortfall of each active team in dominant share.

        This is the team's target part of all usage, less its own usage, plus a
        correction for its deficit. It is negative for teams above their target.
        """
        return {
            name: shortfall
            for name, (shortfall, _) in self._shortfalls_and_targets(
                active, now
            ).items()
        }

    def yielding(self, active: Iterable[str], now: float) -> set[str]:
        """Return the teams that start no tasks while one below its target is blocked.

        A team is blocked if no worker has enough free CPU or memory for its tasks.
        Without this rule, small tasks of teams above their target occupy all freed
        capacity before there is enough of it for a larger task.
        """
        total_held = resources.ZERO
        for usage in self._usage_by_team.values():
            total_held += usage.current
        if total_held.dominant(self._total) < 1 - MAX_IDLE_FRACTION:
            return set()
        return {
            name
            for name, (shortfall, target) in self._shortfalls_and_targets(
                active, now
            ).items()
            if shortfall < -YIELD_ABOVE * target
        }

    def _shortfalls_and_targets(
        self, active: Iterable[str], now: float
    ) -> dict[str, tuple[float, float]]:
        """Return the shortfall and target of each active team."""
        names = list(active)
        targets = self.targets(self._with_running_teams(names))
        self._update_deficits(frozenset(names), targets, now)
        total_usage = sum(
            usage.current.dominant(self._total)
            for usage in self._usage_by_team.values()
        )
        found = {}
        for name in names:
            usage = self._usage_by_team[name]
            entitled = targets[name] * total_usage
            bound = MAX_CORRECTION * entitled
            correction = max(-bound, min(bound, usage.deficit / DEFICIT_RECOVERY_S))
            shortfall = entitled - usage.current.dominant(self._total) + correction
            found[name] = (shortfall, targets[name])
        return found

    def average_usage(self, now: float) -> dict[str, float]:
        """Return the moving average of the dominant share of each team."""
        return {
            name: self._update_usage(name, now).average
            for name in list(self._usage_by_team)
        }

    def over_share(self, active: Iterable[str], now: float) -> dict[str, float]:
        """Return by how much teams exceed their share, the largest excess first.

        Teams that only have running tasks count as active and keep their share. No
        team is over its share while the teams together use less than the cell.
        """
        targets = self.targets(self._with_running_teams(active))
        usages = {
            name: self._update_usage(name, now).current.dominant(self._total)
            for name in targets
        }
        total_usage = max(1.0, sum(usages.values()))
        excess = {name: usages[name] - targets[name] * total_usage for name in targets}
        over = [name for name in excess if excess[name] > ROUNDING_ERROR]
        return {
            name: excess[name]
            for name in sorted(over, key=lambda name: (-excess[name], name))
        }

    def _limit(self, name: str) -> float:
        team = self._teams.get(name)
        return min(1.0, team.ceiling.dominant(self._total)) if team else 0.0

    def _with_running_teams(self, names: Iterable[str]) -> dict[str, None]:
        """Return the given teams and those with running tasks."""
        running = (
            name
            for name, usage in self._usage_by_team.items()
            if usage.current != resources.ZERO
        )
        return dict.fromkeys((*names, *running))

    def _update_deficits(
        self, active: frozenset[str], targets: dict[str, float], now: float
    ) -> None:
        """Add each team's entitlement since the last update, less its usage.

        A team is entitled to its target part of what all teams used. The deficit of a
        team that was not active at the last update does not grow, so idle time earns
        no credit.
        """
        for name in targets:
            self._update_usage(name, now)
        used = {}
        for name, usage in self._usage_by_team.items():
            self._update_usage(name, now)
            used[name] = usage.integral - usage.ranked_integral
            usage.ranked_integral = usage.integral
        total_usage = sum(used.values())
        decay = math.exp(-max(0.0, now - self._deficits_updated_at) / self._window_s)
        self._deficits_updated_at = now
        for name, usage in self._usage_by_team.items():
            gain = targets.get(name, 0.0) * total_usage - used[name]
            if name not in self._last_active:
                gain = min(0.0, gain)
            usage.deficit = usage.deficit * decay + gain
        self._last_active = active

    def _update_usage(self, name: str, now: float) -> TeamUsage:
        usage = self._usage_by_team.get(name)
        if usage is None:
            usage = self._usage_by_team[name] = TeamUsage(now)
            return usage
        elapsed = now - usage.updated_at
        if elapsed > 0:
            decay = math.exp(-elapsed / self._window_s)
            share = usage.current.dominant(self._total)
            usage.average = usage.average * decay + share * (1 - decay)
            usage.integral += share * elapsed
            usage.updated_at = now
        return usage
