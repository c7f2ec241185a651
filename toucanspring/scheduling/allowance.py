"""Division of a team's ceiling among partitions.

The row `allowances/<team>` contains one part per partition. `resize` computes the next
row from absolute targets, so repeating a request whose response was lost is
idempotent. `AllowanceTracker` tracks what one partition holds and uses.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from toucanspring import resources
from toucanspring.scheduling import effects, team_allowance

RETURN_AFTER_S = 5.0  # time after which an unused amount is returned
CONTENDED_RETURN_AFTER_S = 0.5  # the same under contention
REQUEST_RETRY_S = 1.0  # repeats a request without a response
CHUNKS_PER_CEILING = 16  # limits one request to this fraction of the ceiling

Amount = team_allowance.Amount
ZERO = team_allowance.ZERO
UNLIMITED: Amount = msgspec.structs.astuple(resources.UNLIMITED)


class Row(msgspec.Struct, frozen=True):
    """Parts of one team's ceiling, by partition.

    `wants` lists the partitions that were granted less than they requested, with the
    least amount that is useful to each.
    """

    parts: dict[int, resources.Resources] = {}
    wants: dict[int, resources.Resources] = {}


def contended_limit(
    row: Row, partition: int, ceiling: resources.Resources
) -> resources.Resources | None:
    """Return the limit of a partition under contention, or None without contention.

    All partitions that hold or request an amount get equal limits. A request for
    more than that, such as a gang's, is satisfied first. Of several, the lowest
    partition comes first, because partitions that each hold half of what they need
    would deadlock.
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
    """Scale values down to a sum of `limit` by the largest remainder method."""
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
    """Return the row after `partition` requests to hold `target`.

    A target below the current part returns the difference. One above it is granted
    as far as the unallocated remainder permits; if that is not enough, `wants` lists
    the partition. If the sum exceeds a lowered ceiling, all parts shrink in
    proportion, except those of `ownerless` partitions, whose tasks cannot be stopped.
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
    """Allowances and usage of all teams in one partition."""

    def __init__(self) -> None:
        self._allowances: dict[str, team_allowance.TeamAllowance] = {}
        self._active: set[str] = set()  # all other teams are idle
        # Amounts that waiting tasks need: for all of them, and the least useful one.
        self._shortages: dict[str, tuple[Amount, Amount]] = {}

    def _allowance(self, team: str) -> team_allowance.TeamAllowance:
        allowance = self._allowances.get(team)
        if allowance is None:
            allowance = self._allowances[team] = team_allowance.TeamAllowance()
        return allowance

    def set_ceilings(self, ceilings: Mapping[str, resources.Resources]) -> None:
        """Set ceilings; a team that is not listed keeps its ceiling."""
        for team, ceiling in ceilings.items():
            limits = _as_tuple(ceiling)
            allowance = self._allowance(team)
            allowance.ceiling = None if limits == UNLIMITED else limits
            allowance.ceiling_known = True

    def knows_ceiling(self, team: str) -> bool:
        """Return whether any configuration had the team, even if it was unlimited."""
        return self._allowance(team).ceiling_known

    def set_held(self, held: Mapping[str, resources.Resources], now: float) -> None:
        """Set the parts that the rows assign to this partition."""
        for team, amount in held.items():
            allowance = self._allowance(team)
            value = _as_tuple(amount)
            changed, allowance.held = value != allowance.held, value
            if value != ZERO:
                self._active.add(team)
            if not allowance.row_read:
                allowance.row_read = True
                allowance.peak, allowance.peak_since = allowance.used, now
            if allowance.target is None:
                continue
            if allowance.returning:
                # Until the row confirms the return, another partition may hold it.
                answered = all(map(int.__le__, value, allowance.target))
            else:
                answered = changed
            if answered:
                allowance.target = None
                allowance.returning = False
                allowance.peak, allowance.peak_since = allowance.used, now

    def set_limits(self, limits: Mapping[str, resources.Resources]) -> None:
        """Set the limits of teams whose ceilings are contended."""
        for team, allowance in self._allowances.items():
            limit = limits.get(team)
            allowance.limit = None if limit is None else _as_tuple(limit)

    def max_starts(self, team: str, demand: resources.Resources) -> int:
        """Return how many tasks of size `demand` may start within the allowance."""
        allowance = self._allowance(team)
        ceiling = allowance.ceiling
        if ceiling is None:
            return resources.UNBOUNDED_COUNT
        count = resources.UNBOUNDED_COUNT
        needs = (demand.cpus, demand.memory, demand.accelerators)
        for need, limit, usable, used, unlimited in zip(
            needs,
            ceiling,
            allowance.usable(),
            map(int.__add__, allowance.used, allowance.unconfirmed),
            UNLIMITED,
            strict=True,
        ):
            if need and limit < unlimited:
                count = min(count, (usable - used) // need)
        return max(0, count)

    def use(self, team: str, amount: resources.Resources) -> None:
        """Add the demand of started tasks to the usage."""
        allowance = self._allowance(team)
        cpus, memory, accelerators = allowance.used
        used = allowance.used = (
            cpus + amount.cpus,
            memory + amount.memory,
            accelerators + amount.accelerators,
        )
        allowance.peak = tuple(map(max, allowance.peak, used))
        self._active.add(team)

    def free(self, team: str, amount: resources.Resources) -> None:
        """Subtract the demand of ended tasks from the usage."""
        allowance = self._allowance(team)
        cpus, memory, accelerators = allowance.used
        allowance.used = (
            cpus - amount.cpus,
            memory - amount.memory,
            accelerators - amount.accelerators,
        )

    def used(self, team: str) -> resources.Resources:
        """Return the usage of a team in this partition."""
        return resources.Resources(*self._allowance(team).used)

    def excess(self, team: str) -> resources.Resources:
        """Return the usage above the held part, as after a lowered ceiling."""
        allowance = self._allowance(team)
        # Fast path: most teams run nothing in most partitions.
        if (
            allowance.used == ZERO
            or allowance.ceiling is None
            or not allowance.row_read
        ):
            return resources.ZERO
        return resources.Resources(
            *(
                max(0, used - held) if limit < unlimited else 0
                for used, held, limit, unlimited in zip(
                    allowance.used,
                    allowance.held,
                    allowance.ceiling,
                    UNLIMITED,
                    strict=True,
                )
            )
        )

    def teams(self) -> list[str]:
        """Return the teams that may hold, use or request an amount."""
        return sorted(self._active)

    def set_unconfirmed(self, amounts: Mapping[str, resources.Resources]) -> None:
        """Set what teams may be using on workers that have not attached yet."""
        for team, allowance in self._allowances.items():
            if team not in amounts:
                allowance.unconfirmed = ZERO
        for team, amount in amounts.items():
            self._allowance(team).unconfirmed = _as_tuple(amount)
            self._active.add(team)

    def report_shortage(
        self, team: str, amount: resources.Resources, least: resources.Resources
    ) -> None:
        """Record that tasks of size `amount` in total wait only for allowance."""
        present, floor = self._shortages.get(team, (ZERO, ZERO))
        self._shortages[team] = (
            tuple(map(max, present, _as_tuple(amount))),
            tuple(map(max, floor, _as_tuple(least))),
        )

    def step(
        self, now: float, all_teams: bool = True
    ) -> list[effects.RequestAllowance | effects.ReturnAllowance]:
        """Return the requests and returns that are due.

        Unless `all_teams` is set, only teams with a reported shortage are checked.
        """
        due = []
        self._active.update(self._shortages)
        for team in self.teams() if all_teams else list(self._shortages):
            allowance = self._allowances[team]
            effect = self._next_effect(team, allowance, self._shortages.get(team), now)
            if effect is not None:
                due.append(effect)
            elif allowance.is_idle():
                self._active.discard(team)
        self._shortages.clear()
        return due

    def has_timer(self) -> bool:
        """Return whether a request or return may become due at a later time."""
        return any(self._allowances[team].has_timer() for team in self._active)

    def _next_effect(
        self,
        team: str,
        allowance: team_allowance.TeamAllowance,
        shortage: tuple[Amount, Amount] | None,
        now: float,
    ) -> effects.RequestAllowance | effects.ReturnAllowance | None:
        if allowance.ceiling is None or not allowance.row_read:
            # Before the row is read, a target could be below the current part and
            # return an amount that running tasks use.
            return None
        if allowance.target is not None:
            if now - allowance.requested_at < REQUEST_RETRY_S:
                return None
            if allowance.returning:
                # Repeating is idempotent because the target is absolute.
                return self._request(team, allowance, allowance.target, now)
            allowance.target = None
        if allowance.limit is not None:
            kept = self._contended_target(allowance, shortage is not None, now)
            if kept != allowance.held:
                return self._request(team, allowance, kept, now)
        if shortage is not None:
            target = self._requested_target(allowance, shortage)
            return self._request(team, allowance, target, now, least=shortage[1])
        if now - allowance.peak_since < RETURN_AFTER_S:
            return None
        peak, allowance.peak, allowance.peak_since = allowance.peak, allowance.used, now
        needed = map(int.__add__, map(max, peak, allowance.used), allowance.unconfirmed)
        target = tuple(map(min, allowance.held, needed))
        if target != allowance.held:
            return self._request(team, allowance, target, now)
        return None

    @staticmethod
    def _contended_target(
        allowance: team_allowance.TeamAllowance, has_shortage: bool, now: float
    ) -> Amount:
        """Return the amount to keep under contention.

        An amount above the limit is returned at once. Below the limit a short delay
        avoids a return and a new request for every short task.
        """
        used = tuple(map(int.__add__, allowance.used, allowance.unconfirmed))
        keep = tuple(map(max, used, allowance.limit))
        if not has_shortage and now - allowance.peak_since >= CONTENDED_RETURN_AFTER_S:
            keep = tuple(map(max, used, allowance.peak))
            allowance.peak, allowance.peak_since = allowance.used, now
        return tuple(map(min, allowance.held, keep))

    @staticmethod
    def _requested_target(
        allowance: team_allowance.TeamAllowance, shortage: tuple[Amount, Amount]
    ) -> Amount:
        """Return the amount to request for waiting tasks, in steps of one chunk."""
        limits = allowance.ceiling if allowance.limit is None else allowance.limit
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
                allowance.used,
                *shortage,
                allowance.held,
                limits,
                allowance.ceiling,
                UNLIMITED,
                strict=True,
            )
        )

    @staticmethod
    def _request(
        team: str,
        allowance: team_allowance.TeamAllowance,
        target: Amount,
        now: float,
        least: Amount = ZERO,
    ) -> effects.RequestAllowance | effects.ReturnAllowance | None:
        if target == allowance.held:
            return None
        allowance.target, allowance.requested_at = target, now
        target_amount = resources.Resources(*target)
        held = resources.Resources(*allowance.held)
        allowance.returning = any(map(int.__lt__, target, allowance.held))
        if not allowance.returning:
            needed = resources.Resources(*least)
            return effects.RequestAllowance(
                team, target_amount - held, target_amount, needed
            )
        return effects.ReturnAllowance(team, held - target_amount, target_amount)
