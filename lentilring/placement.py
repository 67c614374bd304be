"""Rendezvous hashing: every node ranks members for a key alike, without messages.

Source of the weighted form: Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.
"""

import math
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import xxhash

HASH_RANGE = float(2**64)


class Placeable(Protocol):
    """Name what ranking needs to know of a member."""

    @property
    def vm(self) -> str:
        """Return the VM's name."""
        ...

    @property
    def failure_domain(self) -> str:
        """Return the failure domain's name."""
        ...

    @property
    def weight(self) -> float:
        """Return the share of work relative to other members, above 0."""
        ...


M = TypeVar("M", bound=Placeable)


def score_member(key: str, name: str, weight: float = 1.0) -> float:
    """Return the rendezvous score of one member for a key; the greatest wins."""
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
    return -weight / math.log((digest + 0.5) / HASH_RANGE)


def rank_members(
    key: str, members: Iterable[M], *, preferred_failure_domain: str | None = None
) -> list[M]:
    """Return the members in order of preference; those of the preferred failure domain first."""

    def order(member: M) -> tuple[bool, float, str]:
        outside = (
            preferred_failure_domain is not None
            and member.failure_domain != preferred_failure_domain
        )
        return outside, -score_member(key, member.vm, member.weight), member.vm

    return sorted(members, key=order)


class Ranking(Generic[M]):
    """Remember how one set of members ranks for each key, since hashing all of them is slow."""

    def __init__(self, *, members: Iterable[M]) -> None:
        self._members = tuple(members)
        self._orders: dict[tuple[str, str | None], tuple[M, ...]] = {}

    def rank(self, key: str, *, preferred_failure_domain: str | None = None) -> tuple[M, ...]:
        """Return the members in order of preference, as `rank_members` does."""
        order = self._orders.get((key, preferred_failure_domain))
        if order is None:
            order = tuple(
                rank_members(key, self._members, preferred_failure_domain=preferred_failure_domain)
            )
            self._orders[key, preferred_failure_domain] = order
        return order
