"""Shares of teams: use, targets and the order in which teams are served.

Targets among active teams only and a history of use in a window follow the
documentation of FairShare Groups in Altair Accelerator; bench.share compares them with
ranking by present use.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from toucanspring import resources

ROUNDING_ERROR = 1e-9  # of sums of shares
# Time in which a team should get back what it missed. Measured with bench.share:
# shorter times overshoot, longer ones and none at all leave large tasks behind.
DEFICIT_RECOVERY_S = 1.5
# Bound on what is repaid at once, as a multiple of the target, so that a team that
# missed much does not fill the cell with long tasks.
MAX_CORRECTION = 1.0
# A team this far above its target, as a fraction of it, yields to blocked teams.
YIELD_ABOVE = 0.25
# With a larger part of the cell idle, no team yields: what keeps a blocked team from
# starting is then not the use by others.
MAX_IDLE_FRACTION = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Describe a team; `share` is relative to the shares of other active teams."""

    name: str
    organisation: str = ""
    share: float = 1.0
    ceiling: resources.Resources = resources.UNLIMITED


class TeamUsage:
    """Hold the use of one team, now and averaged over the recent past."""

    __slots__ = (
        "average",
        "deficit",
        "ranked_integral",
        "integral",
        "updated_at",
        "use",
    )

    def __init__(self, now: float) -> None:
        self.use = resources.ZERO
        self.average = 0.0  # decayed mean of the dominant share
        self.integral = 0.0  # of the dominant share since the start, in seconds
        self.ranked_integral = 0.0  # `integral` when the deficit was last updated
        # Decayed sum of what the team was entitled to and did not use, in share
        # seconds; negative if it used more.
        self.deficit = 0.0
        self.updated_at = now


class ShareTracker:
    """Record the use of teams and compare it with their targets.

    Shares and targets are fractions of the cell: the use of a team is its
    dominant share, the largest fraction of the total in any resource.
    """

    def __init__(self, teams: Iterable[Team], window_s: float = 60.0) -> None:
        self._teams = {team.name: team for team in teams}
        self._accounts: dict[str, TeamUsage] = {}
        self._window_s = window_s
        self._total = resources.ZERO
        self._deficits_updated_at = 0.0
        self._last_active: frozenset[str] = frozenset()  # active when last ranked

    def set_teams(self, teams: Iterable[Team]) -> None:
        """Replace the teams; use by teams that are gone stays recorded."""
        self._teams = {team.name: team for team in teams}

    def set_total(self, total: resources.Resources) -> None:
        """Set the capacity that shares are fractions of."""
        self._total = total

    def started(self, team: str, demand: resources.Resources, now: float) -> None:
        """Record that a task of a team holds `demand` from now on."""
        account = self._advance(team, now)
        account.use += demand

    def ended(self, team: str, demand: resources.Resources, now: float) -> None:
        """Record that a task of a team gave `demand` back."""
        account = self._advance(team, now)
        account.use -= demand

    def use(self, team: str) -> resources.Resources:
        """Return what a team holds now."""
        account = self._accounts.get(team)
        return account.use if account else resources.ZERO

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
        """Return what each active team lacks, in dominant share; negative if over.

        That is its target part of all use, less its own use, plus what it missed in
        the window.
        """
        return {
            name: shortfall
            for name, (shortfall, _) in self._shortfalls_and_targets(
                active, now
            ).items()
        }

    def yielding(self, active: Iterable[str], now: float) -> set[str]:
        """Return the teams that are to start nothing while a lower one is blocked.

        Blocked means that a team under its target finds no room for lack of
        processors or memory. Otherwise small tasks of teams over their target take
        each gap before it is large enough.
        """
        held = resources.ZERO
        for account in self._accounts.values():
            held += account.use
        if held.dominant(self._total) < 1 - MAX_IDLE_FRACTION:
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
        """Return shortfall and target of the active teams."""
        names = list(active)
        targets = self.targets(self._with_running_teams(names))
        self._update_deficits(frozenset(names), targets, now)
        total_use = sum(
            account.use.dominant(self._total) for account in self._accounts.values()
        )
        found = {}
        for name in names:
            account = self._accounts[name]
            entitled = targets[name] * total_use
            bound = MAX_CORRECTION * entitled
            correction = max(-bound, min(bound, account.deficit / DEFICIT_RECOVERY_S))
            shortfall = entitled - account.use.dominant(self._total) + correction
            found[name] = (shortfall, targets[name])
        return found

    def average_use(self, now: float) -> dict[str, float]:
        """Return the decayed mean of the dominant share of every team."""
        return {name: self._advance(name, now).average for name in list(self._accounts)}

    def over_share(self, active: Iterable[str], now: float) -> dict[str, float]:
        """Return by how much teams exceed their share now, the largest first.

        Teams that only run work count as active: they keep their share. A team is
        not over its share while the teams together use less than the cell.
        """
        targets = self.targets(self._with_running_teams(active))
        uses = {
            name: self._advance(name, now).use.dominant(self._total) for name in targets
        }
        total_use = max(1.0, sum(uses.values()))
        excess = {name: uses[name] - targets[name] * total_use for name in targets}
        over = [name for name in excess if excess[name] > ROUNDING_ERROR]
        return {
            name: excess[name]
            for name in sorted(over, key=lambda name: (-excess[name], name))
        }

    def _limit(self, name: str) -> float:
        team = self._teams.get(name)
        return min(1.0, team.ceiling.dominant(self._total)) if team else 0.0

    def _with_running_teams(self, names: Iterable[str]) -> dict[str, None]:
        """Return the given teams and those that run work."""
        running = (
            name
            for name, account in self._accounts.items()
            if account.use != resources.ZERO
        )
        return dict.fromkeys((*names, *running))

    def _update_deficits(
        self, active: frozenset[str], targets: dict[str, float], now: float
    ) -> None:
        """Add what teams were entitled to since the last update, less their use.

        A team is entitled to its target part of what all teams used. A team that was
        not active at the last update gains nothing, so idle time earns no credit.
        """
        for name in targets:
            self._advance(name, now)
        used = {}
        for name, account in self._accounts.items():
            self._advance(name, now)
            used[name] = account.integral - account.ranked_integral
            account.ranked_integral = account.integral
        total_use = sum(used.values())
        decay = math.exp(-max(0.0, now - self._deficits_updated_at) / self._window_s)
        self._deficits_updated_at = now
        for name, account in self._accounts.items():
            gain = targets.get(name, 0.0) * total_use - used[name]
            if name not in self._last_active:
                gain = min(0.0, gain)
            account.deficit = account.deficit * decay + gain
        self._last_active = active

    def _advance(self, name: str, now: float) -> TeamUsage:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = TeamUsage(now)
            return account
        elapsed = now - account.updated_at
        if elapsed > 0:
            decay = math.exp(-elapsed / self._window_s)
            use = account.use.dominant(self._total)
            account.average = account.average * decay + use * (1 - decay)
            account.integral += use * elapsed
            account.updated_at = now
        return account
