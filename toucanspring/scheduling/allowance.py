"""Division of a team's ceiling among partitions.

The row `allowances/<team>` holds one part per partition. `resize` computes the
next row; its result depends on absolute targets, so repeating a request whose
answer was lost changes nothing. `AllowanceTracker` tracks what one partition holds and uses.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from toucanspring import resources
from toucanspring.scheduling import effects, team_allowance

RETURN_AFTER_S = 5.0  # unused for so long before it is given back
CONTENDED_RETURN_AFTER_S = 0.5  # the same while other partitions want more
REQUEST_RETRY_S = 1.0  # a request without answer is repeated
CHUNKS_PER_CEILING = 16  # requests ask for up to this fraction of the ceiling

Amount = team_allowance.Amount
ZERO = team_allowance.ZERO
UNLIMITED: Amount = msgspec.structs.astuple(resources.UNLIMITED)


class Row(msgspec.Struct, frozen=True):
    """Hold the part of one team's ceiling that each partition may use.

    `wants` names the partitions that were granted less than they asked for, with the
    least amount that is of use to each.
    """

    parts: dict[int, resources.Resources] = {}
    wants: dict[int, resources.Resources] = {}


def contended_limit(
    row: Row, partition: int, ceiling: resources.Resources
) -> resources.Resources | None:
    """Return what a partition may hold while others want more; None if none does.

    All that hold or want get the same. A want above that, such as a gang's, is met
    first, the one of the lowest partition if there are several, since partitions
    that each hold half of what they need would wait for each other.
    """
    if not row.wants.keys() - {partition}:
        return None
    contenders = row.parts.keys() | row.wants.keys() | {partition}
    fair = _divide(ceiling, len(contenders))
    large = sorted(name for name, least in row.wants.items() if not least.fits(fair))
    if not large:
        return fair
    if large[0] == partition:
        return ceiling
    rest = ceiling - row.wants[large[0]]
    return _divide(rest, len(contenders) - 1) if rest.fits(ceiling) else fair


def _divide(amount: resources.Resources, count: int) -> resources.Resources:
    return resources.Resources(
        max(0, amount.cpus) // count,
        max(0, amount.memory) // count,
        max(0, amount.accelerators) // count,
    )


def _as_tuple(amount: resources.Resources) -> Amount:
    return (amount.cpus, amount.memory, amount.accelerators)


def _shrink(values: list[int], limit: int) -> list[int]:
    """Scale values down to a sum of `limit`; largest remainders get the rest."""
    total = sum(values)
    if total <= limit:
        return values
    shares = [value * limit // total for value in values]
    order = sorted(
        range(len(values)), key=lambda i: (-(values[i] * limit % total), -values[i], i)
    )
    for i in order[: limit - sum(shares)]:
        shares[i] += 1
    return shares


def resize(
    row: Row,
    partition: int,
    target: resources.Resources,
    ceiling: resources.Resources,
    ownerless: frozenset[int] = frozenset(),
    least: resources.Resources = resources.ZERO,
) -> Row:
    """Return the row after `partition` asks to hold `target`.

    If it gets less, the row names it among the partitions that want more.
    A target below the present part returns the difference; one above is granted
    from the unallocated remainder as far as that goes. If the sum exceeds the
    ceiling because it was lowered, all parts shrink in proportion, except those of
    `ownerless` partitions, since nobody could stop their work.
    """
    keys = sorted(set(row.parts) | {partition})
    columns = []
    for present, want, limit in zip(
        zip(
            *(_as_tuple(row.parts.get(key, resources.ZERO)) for key in keys),
            strict=True,
        ),
        _as_tuple(target),
        _as_tuple(ceiling),
        strict=True,
    ):
        fixed = sum(v for k, v in zip(keys, present, strict=True) if k in ownerless)
        flexible = [k for k in keys if k not in ownerless]
        shrunk = _shrink(
            [present[keys.index(k)] for k in flexible], max(0, limit - fixed)
        )
        column = dict(zip(keys, present, strict=True))
        column.update(zip(flexible, shrunk, strict=True))
        remainder = max(0, limit - sum(column.values()))
        column[partition] = min(want, column[partition] + remainder)
        columns.append(column)
    parts = {
        key: resources.Resources(*(column[key] for column in columns)) for key in keys
    }
    wants = {key: want for key, want in row.wants.items() if key != partition}
    if not target.fits(parts[partition]):
        wants[partition] = least
    return Row(
        {key: part for key, part in parts.items() if part != resources.ZERO}, wants
    )


class AllowanceTracker:
    """Track what one partition holds and uses of each team's ceiling."""

    def __init__(self) -> None:
        self._accounts: dict[str, team_allowance.TeamAllowance] = {}
        self._active: set[str] = set()  # all others hold, use and ask for nothing
        # Amounts that waiting work needs: all of it, and the least that helps.
        self._shortages: dict[str, tuple[Amount, Amount]] = {}

    def _account(self, team: str) -> team_allowance.TeamAllowance:
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = team_allowance.TeamAllowance()
        return account

    def set_ceilings(self, ceilings: Mapping[str, resources.Resources]) -> None:
        """Set the ceilings in force; a team not named keeps its last one."""
        for team, ceiling in ceilings.items():
            limits = _as_tuple(ceiling)
            account = self._account(team)
            account.ceiling = None if limits == UNLIMITED else limits

    def set_held(self, held: Mapping[str, resources.Resources], now: float) -> None:
        """Set what the rows give to this partition."""
        for team, amount in held.items():
            account = self._account(team)
            value = _as_tuple(amount)
            changed, account.held = value != account.held, value
            if value != ZERO:
                self._active.add(team)
            if not account.row_read:
                account.row_read = True
                account.peak, account.peak_since = account.used, now
            if account.target is None:
                continue
            if account.returning:
                # Until the row confirms the return, the amount may be elsewhere.
                answered = all(map(int.__le__, value, account.target))
            else:
                answered = changed
            if answered:
                account.target = None
                account.returning = False
                account.peak, account.peak_since = account.used, now

    def set_limits(self, limits: Mapping[str, resources.Resources]) -> None:
        """Set what may be held of ceilings of which other partitions want more."""
        for team, account in self._accounts.items():
            limit = limits.get(team)
            account.limit = None if limit is None else _as_tuple(limit)

    def max_starts(self, team: str, demand: resources.Resources) -> int:
        """Return how many times `demand` may start within the allowance."""
        account = self._account(team)
        ceiling = account.ceiling
        if ceiling is None:
            return resources.UNBOUNDED_COUNT
        count = resources.UNBOUNDED_COUNT
        needs = (demand.cpus, demand.memory, demand.accelerators)
        for need, limit, usable, used, unlimited in zip(
            needs,
            ceiling,
            account.usable(),
            map(int.__add__, account.used, account.unconfirmed),
            UNLIMITED,
            strict=True,
        ):
            if need and limit < unlimited:
                count = min(count, (usable - used) // need)
        return max(0, count)

    def use(self, team: str, amount: resources.Resources) -> None:
        """Count work that starts."""
        account = self._account(team)
        cpus, memory, accelerators = account.used
        used = account.used = (
            cpus + amount.cpus,
            memory + amount.memory,
            accelerators + amount.accelerators,
        )
        account.peak = tuple(map(max, account.peak, used))
        self._active.add(team)

    def free(self, team: str, amount: resources.Resources) -> None:
        """Count work that has ended."""
        account = self._account(team)
        cpus, memory, accelerators = account.used
        account.used = (
            cpus - amount.cpus,
            memory - amount.memory,
            accelerators - amount.accelerators,
        )

    def used(self, team: str) -> resources.Resources:
        """Return what the team uses in this partition."""
        return resources.Resources(*self._account(team).used)

    def excess(self, team: str) -> resources.Resources:
        """Return what is used beyond the part held, after a ceiling was lowered."""
        account = self._account(team)
        # Most teams run nothing in most partitions, and this is asked often.
        if account.used == ZERO or account.ceiling is None or not account.row_read:
            return resources.ZERO
        return resources.Resources(
            *(
                max(0, used - held) if limit < unlimited else 0
                for used, held, limit, unlimited in zip(
                    account.used, account.held, account.ceiling, UNLIMITED, strict=True
                )
            )
        )

    def teams(self) -> list[str]:
        """Return the teams that may hold, use or ask for something."""
        return sorted(self._active)

    def set_unconfirmed(self, amounts: Mapping[str, resources.Resources]) -> None:
        """Set what teams may be using on workers that cannot be asked yet."""
        for team, account in self._accounts.items():
            if team not in amounts:
                account.unconfirmed = ZERO
        for team, amount in amounts.items():
            self._account(team).unconfirmed = _as_tuple(amount)
            self._active.add(team)

    def report_shortage(
        self, team: str, amount: resources.Resources, least: resources.Resources
    ) -> None:
        """Note that work of size `amount` waits only for allowance."""
        present, floor = self._shortages.get(team, (ZERO, ZERO))
        self._shortages[team] = (
            tuple(map(max, present, _as_tuple(amount))),
            tuple(map(max, floor, _as_tuple(least))),
        )

    def step(
        self, now: float, all_teams: bool = True
    ) -> list[effects.RequestAllowance | effects.ReturnAllowance]:
        """Return the requests and returns that are due.

        With `all_teams` false, only teams whose work waits are looked at.
        """
        due = []
        self._active.update(self._shortages)
        for team in self.teams() if all_teams else list(self._shortages):
            account = self._accounts[team]
            effect = self._next_effect(team, account, self._shortages.get(team), now)
            if effect is not None:
                due.append(effect)
            elif account.is_idle():
                self._active.discard(team)
        self._shortages.clear()
        return due

    def has_timer(self) -> bool:
        """Return whether a request or a return may become due with time."""
        return any(self._accounts[team].has_timer() for team in self._active)

    def _next_effect(
        self,
        team: str,
        account: team_allowance.TeamAllowance,
        shortage: tuple[Amount, Amount] | None,
        now: float,
    ) -> effects.RequestAllowance | effects.ReturnAllowance | None:
        if account.ceiling is None or not account.row_read:
            # A target chosen before the row is read could be below the present part
            # and give away what running work uses.
            return None
        if account.target is not None:
            if now - account.requested_at < REQUEST_RETRY_S:
                return None
            if account.returning:
                # Repeating is harmless, because the target is absolute.
                return self._request(team, account, account.target, now)
            account.target = None
        if account.limit is not None:
            excess = self._contended_target(account, shortage is not None, now)
            if excess != account.held:
                return self._request(team, account, excess, now)
        if shortage is not None:
            target = self._requested_target(account, shortage)
            return self._request(team, account, target, now, least=shortage[1])
        if now - account.peak_since < RETURN_AFTER_S:
            return None
        peak, account.peak, account.peak_since = account.peak, account.used, now
        needed = map(int.__add__, map(max, peak, account.used), account.unconfirmed)
        target = tuple(map(min, account.held, needed))
        if target != account.held:
            return self._request(team, account, target, now)
        return None

    @staticmethod
    def _contended_target(
        account: team_allowance.TeamAllowance, has_shortage: bool, now: float
    ) -> Amount:
        """Return what to keep while others want more.

        What is above the limit goes at once. Within the limit a short pause keeps
        teams with short tasks from returning and asking again for each of them.
        """
        used = tuple(map(int.__add__, account.used, account.unconfirmed))
        keep = tuple(map(max, used, account.limit))
        if not has_shortage and now - account.peak_since >= CONTENDED_RETURN_AFTER_S:
            keep = tuple(map(max, used, account.peak))
            account.peak, account.peak_since = account.used, now
        return tuple(map(min, account.held, keep))

    @staticmethod
    def _requested_target(
        account: team_allowance.TeamAllowance, shortage: tuple[Amount, Amount]
    ) -> Amount:
        """Return what to hold: the amount that waits, but one chunk at a time."""
        limits = account.ceiling if account.limit is None else account.limit
        return tuple(
            held
            if ceiling >= unlimited
            else max(
                held,
                min(
                    limit, used + max(least, min(amount, ceiling // CHUNKS_PER_CEILING))
                ),
            )
            for used, amount, least, held, limit, ceiling, unlimited in zip(
                account.used,
                *shortage,
                account.held,
                limits,
                account.ceiling,
                UNLIMITED,
                strict=True,
            )
        )

    @staticmethod
    def _request(
        team: str,
        account: team_allowance.TeamAllowance,
        target: Amount,
        now: float,
        least: Amount = ZERO,
    ) -> effects.RequestAllowance | effects.ReturnAllowance | None:
        if target == account.held:
            return None
        account.target, account.requested_at = target, now
        goal = resources.Resources(*target)
        held = resources.Resources(*account.held)
        account.returning = any(map(int.__lt__, target, account.held))
        if not account.returning:
            needed = resources.Resources(*least)
            return effects.RequestAllowance(team, goal - held, goal, needed)
        return effects.ReturnAllowance(team, held - goal, goal)
