"""Shares of teams: use, targets and the order in which teams are served."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from toucanspring import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Describe a team; `share` is relative to the shares of other active teams."""

    name: str
    organisation: str = ""
    share: float = 1.0
    ceiling: resources.Resources = resources.UNLIMITED


class Account:
    """Hold the use of one team, now and averaged over the recent past."""

    __slots__ = ("average", "deficit", "target", "updated_at", "use")

    def __init__(self, now: float) -> None:
        self.use = resources.ZERO
        self.average = 0.0  # decayed mean of the dominant share
        self.deficit = 0.0  # decayed integral of target minus use, in share seconds
        self.target = 0.0  # target since `updated_at`
        self.updated_at = now


class Ledger:
    """Record the use of teams and compare it with their targets.

    Shares and targets are fractions of the cell: the use of a team is its
    dominant share, the largest fraction of the total in any resource.
    """

    def __init__(self, teams: Iterable[Team], window_s: float = 60.0) -> None:
        self._teams = {team.name: team for team in teams}
        self._accounts: dict[str, Account] = {}
        self._window_s = window_s
        self._total = resources.ZERO

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
        targets = self._set_targets(active, now)
        keys = {}
        for name, target in targets.items():
            account = self._accounts[name]
            use = account.use.dominant(self._total)
            aim = target + account.deficit / self._window_s
            keys[name] = (
                use / aim if aim > 0 else math.inf,
                use / target if target > 0 else math.inf,
                name,
            )
        return sorted(keys, key=keys.__getitem__)

    def actual(self, now: float) -> dict[str, float]:
        """Return the decayed mean of the dominant share of every team."""
        return {name: self._advance(name, now).average for name in list(self._accounts)}

    def over_share(self, active: Iterable[str], now: float) -> dict[str, float]:
        """Return by how much teams exceed their target now, the largest first.

        Teams that are not active but still run work have the target 0.
        """
        targets = self._set_targets(active, now)
        excess = {}
        for name, account in self._accounts.items():
            over = account.use.dominant(self._total) - targets.get(name, 0.0)
            if over > 1e-9:
                excess[name] = over
        return dict(sorted(excess.items(), key=lambda item: (-item[1], item[0])))

    def _limit(self, name: str) -> float:
        team = self._teams.get(name)
        return min(1.0, team.ceiling.dominant(self._total)) if team else 0.0

    def _set_targets(self, active: Iterable[str], now: float) -> dict[str, float]:
        targets = self.targets(active)
        for name in targets:
            self._advance(name, now).target = targets[name]
        for name, account in self._accounts.items():
            if name not in targets and account.target:
                self._advance(name, now).target = 0.0
        return targets

    def _advance(self, name: str, now: float) -> Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(now)
            return account
        elapsed = now - account.updated_at
        if elapsed > 0:
            kept = math.exp(-elapsed / self._window_s)
            use = account.use.dominant(self._total)
            account.average = account.average * kept + use * (1 - kept)
            account.deficit = account.deficit * kept
            if account.target > 0:
                account.deficit += (account.target - use) * self._window_s * (1 - kept)
            account.updated_at = now
        return account
