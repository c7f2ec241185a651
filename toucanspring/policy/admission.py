"""Admission of submissions under overload, and the Retry-After of refusals.

All times are seconds. A fraction from 0 to 1, drawn by the caller, spreads the callers;
the same fraction gets the same decision.
"""

from __future__ import annotations

import dataclasses
import math

from toucanspring import resources

# A result is worthless to its caller after this many times its objective.
WORTHLESS_AFTER_OBJECTIVES = 3.0
# A view of the load older than this refuses nothing. It outlasts the loss of three
# notices in a row; a takeover takes less than a second.
MAX_VIEW_AGE_S = 2.0
# The backlog of a pool with room waits for something else than room. Gangs and memory
# leave some of a full pool free; between the two shares the backlog counts in part,
# since a sharp limit would switch refusals on and off.
FREE_SHARE = 0.7
SATURATED_SHARE = 0.85
# Declared run times are off by up to 0.9 in either direction. The drain rate is
# measured in declared time, which leaves the differences between queues.
DRAIN_OPTIMISM = 1.5
MIN_DRAIN = 0.05
# The held signal follows once the wait leaves this band around it.
BAND = 0.25
# The share of refusals rises from 0 at the limit to 1 at this much above it. With a
# sharp limit the backlog swings by what arrives between two reports.
RAMP = 0.5
MAX_RETRY_AFTER_S = 30
NEVER_FITS_RETRY_S = 10
BACKLOG_RETRY_S = 5.0
# Outages of the store last 4 to 9 s. Shorter failures are interruptions, e.g. one part
# of the store or a link.
INTERRUPTION_S = 1.0
MIN_OUTAGE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of one pool for one priority and all more urgent ones.

    `backlog_s` and `timely_s` are core-seconds over the cores of the pool: of all work
    that waits, and of the part that can still be in time. `drain` is the part of a
    second of the pool that starts each second, `used` the share of the pool in use.
    """

    backlog_s: float
    timely_s: float
    drain: float
    used: float
    oldest_s: float = 0.0

    def wait_s(self) -> float:
        """Return the lower bound of the time until all waiting work has started."""
        return self._bound_wait_s(self.backlog_s)

    def timely_wait_s(self) -> float:
        """Return the lower bound for the work that can still be in time."""
        return self._bound_wait_s(self.timely_s)

    def _bound_wait_s(self, waiting_s: float) -> float:
        saturation = (self.used - FREE_SHARE) / (SATURATED_SHARE - FREE_SHARE)
        drain = DRAIN_OPTIMISM * max(MIN_DRAIN, self.drain)
        return min(1.0, max(0.0, saturation)) * waiting_s / drain


@dataclasses.dataclass(slots=True)
class Band:
    """Hold a signal against changes smaller than `BAND`.

    The shown value is 0.6 times a rising signal and all of a falling one, never more.
    """

    held: float = 0.0

    def update(self, value: float) -> float:
        """Follow the signal and return the shown value."""
        lowest, highest = value / (1 + BAND), value / (1 - BAND)
        self.held = min(max(self.held, lowest), highest)
        return self.held * (1 - BAND)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A submission: its declared chain of work and its objective."""

    chain_s: float
    objective_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """Accept the submission."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the submission; the caller may return after `retry_after_s`."""

    retry_after_s: int
    reason: str


OVERLOAD = "overload"
NEVER_FITS = "never_fits"
OVER_CEILING = "over_ceiling"
BACKLOG = "backlog"


def find_objective_s(chain_s: float, stretch: float, target_s: float) -> float:
    """Return the time within which a caller wants the result."""
    return stretch * chain_s + target_s


def decide(
    work: Work,
    load: PoolLoad | None,
    wait_s: float,
    timely_wait_s: float,
    age_s: float,
    fraction: float,
) -> Accept | Refuse:
    """Accept a job, or refuse it because its result would be worthless.

    `wait_s` and `timely_wait_s` are those of `load`, each shown by a `Band`. `load` is
    None, or `age_s` large, without a recent view.
    """
    if load is None or age_s > MAX_VIEW_AGE_S:
        return Accept()
    limit_s = WORTHLESS_AFTER_OBJECTIVES * work.objective_s
    if limit_s <= 0:
        return Accept()
    excess = min(
        (wait_s + work.chain_s) / limit_s,
        (timely_wait_s + work.chain_s) / work.objective_s,
    )
    if excess <= 1 + RAMP * fraction:
        return Accept()
    # The backlog falls to a limit within this time if nothing else is accepted.
    left_s = work.chain_s + min(wait_s - limit_s, timely_wait_s - work.objective_s)
    spread = _spread(fraction)
    left_s = min(left_s, MAX_RETRY_AFTER_S / 2)  # leaves room to spread long waits
    return Refuse(_to_retry_after(left_s * (1 + spread) + 2 * spread), OVERLOAD)


def refuse_for_backlog(fraction: float) -> Refuse:
    """Refuse a job since the coordinator can't hold the names of more of them."""
    return Refuse(_to_retry_after(BACKLOG_RETRY_S * (1 + _spread(fraction))), BACKLOG)


def judge_size(
    demands: list[tuple[resources.Resources, resources.Resources]],
    largest: tuple[resources.Resources, ...],
    ceiling: resources.Resources,
    fraction: float,
) -> Accept | Refuse:
    """Accept a job, or refuse it because one of its steps can never fit.

    `demands` holds for each step what one task occupies on a worker, and what it takes
    at least of the ceiling (0 is no ceiling). `largest` are workers that no other one
    exceeds; none means that the workers are not known.
    """
    limit = resources.Resources(
        ceiling.cpus or resources.UNLIMITED.cpus,
        ceiling.memory or resources.UNLIMITED.memory,
        ceiling.accelerators or resources.UNLIMITED.accelerators,
    )
    retry_after_s = _to_retry_after(NEVER_FITS_RETRY_S * (1 + _spread(fraction)))
    for occupied, taken in demands:
        if not taken.fits(limit):
            return Refuse(retry_after_s, OVER_CEILING)
        if largest and not any(occupied.fits(each) for each in largest):
            return Refuse(retry_after_s, NEVER_FITS)
    return Accept()


def find_outage_retry_s(outage_s: float | None, fraction: float) -> int:
    """Return when callers should return from an outage of the store.

    `outage_s` is its time so far, None if no outage is known.
    """
    if outage_s is None:
        return 1
    left_s = 1.0
    if INTERRUPTION_S <= outage_s < MIN_OUTAGE_S:
        left_s = max(1.0, MIN_OUTAGE_S - outage_s)
    return _to_retry_after(math.ceil(left_s) + (fraction >= 0.5))


def _spread(fraction: float) -> float:
    """Return another fraction, since those that are refused are low ones."""
    return fraction * 61 % 1.0


def _to_retry_after(seconds: float) -> int:
    return max(1, min(MAX_RETRY_AFTER_S, math.ceil(seconds)))
