"""How rates and bursts are divided over shares, and in which order holders are asked."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol, TypeVar

from ..placement import Placeable, score_member
from .bucket import UNIT

TOKENS_PER_SHARE = 8


class Located(Placeable, Protocol):
    """Name what the order of holders needs to know of a member."""

    @property
    def region(self) -> str:
        """Return the region's name."""
        ...


M = TypeVar("M", bound=Located)


@dataclass(frozen=True, kw_only=True)
class ShareLimits:
    """Hold one share's part of an account's rate and burst."""

    rate_per_s: float
    burst: float


NO_LIMITS = ShareLimits(rate_per_s=0.0, burst=0.0)


@lru_cache(maxsize=4096)
def count_shares(burst: float, shares: int) -> int:
    """Return how many of the fleet's shares an account uses."""
    if burst < 2:
        return 1
    return min(shares, max(2, math.floor(burst / TOKENS_PER_SHARE)))


@lru_cache(maxsize=4096)
def choose_shares(account: str, burst: float, shares: int) -> tuple[int, ...]:
    """Return the shares of an account by rendezvous hashing of its name."""
    ranked = sorted(range(shares), key=lambda share: -score_member(account, str(share)))
    return tuple(ranked[: count_shares(burst, shares)])


def divide_amount(total: float, parts: int) -> list[float]:
    """Divide into multiples of UNIT whose exact sum is at most the total and within one UNIT."""
    whole, rest = divmod(math.floor(total / UNIT), parts)
    return [(whole + (index < rest)) * UNIT for index in range(parts)]


def divide_burst(burst: float, parts: int) -> list[float]:
    """Divide into whole tokens and leave the rest to the first part.

    Half a token in each of two shares admits nothing unless one of them lends its half in time.
    """
    whole, rest = divmod(math.floor(burst), parts)
    fraction = math.floor((burst - math.floor(burst)) / UNIT) * UNIT
    divided = [float(whole + (index < rest)) for index in range(parts)]
    return [divided[0] + fraction, *divided[1:]]


@lru_cache(maxsize=4096)
def divide_limits(
    account: str, rate_per_s: float, burst: float, shares: int
) -> dict[int, ShareLimits]:
    """Return the limits of each share that an account uses."""
    chosen = choose_shares(account, burst, shares)
    rates, bursts = divide_amount(rate_per_s, len(chosen)), divide_burst(burst, len(chosen))
    return {
        share: ShareLimits(rate_per_s=rate, burst=part)
        for share, rate, part in zip(chosen, rates, bursts, strict=True)
    }


def take_least(limits: Iterable[ShareLimits]) -> ShareLimits:
    """Return the lowest rate and the lowest burst of several divisions.

    Holders that pass from one division to another use this in between; so no sum over the shares
    exceeds the larger of both totals, whichever holders changed first.
    """
    listed = list(limits)
    return ShareLimits(
        rate_per_s=min(entry.rate_per_s for entry in listed),
        burst=min(entry.burst for entry in listed),
    )


def order_holders(account: str, local: Located, holders: Sequence[M]) -> list[M]:
    """Return holders in the order to ask: the own process, failure domain, region, then others.

    Within a group each asker has its own order, so that askers spread evenly.
    """

    def distance(holder: M) -> int:
        if holder.vm == local.vm:
            return 0
        if holder.failure_domain == local.failure_domain:
            return 1
        return 2 if holder.region == local.region else 3

    return sorted(
        holders,
        key=lambda holder: (distance(holder), -score_member(f"{account}\0{local.vm}", holder.vm)),
    )
