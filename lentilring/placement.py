"""Rendezvous hashing: all nodes compute the same ranking of members for a key, without messages.

Source of the weights: Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.
"""

import math
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import xxhash

HASH_RANGE = float(2**64)


class Placeable(Protocol):
    """Define the properties of a member that ranking reads."""

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
        """Return the share of keys relative to other members, above 0."""
        ...


M = TypeVar("M", bound=Placeable)


def score_member(key: str, name: str, weight: float = 1.0) -> float:
    """Return the rendezvous score of one member for a key; the highest score ranks first."""
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
    return -weight / math.log((digest + 0.5) / HASH_RANGE)


def rank_members(
    key: str, members: Iterable[M], *, preferred_failure_domain: str | None = None
) -> list[M]:
    """Return the members in order of preference; those of the preferred failure domain first."""

    def sort_key(member: M) -> tuple[bool, float, str]:
        outside = (
            preferred_failure_domain is not None
            and member.failure_domain != preferred_failure_domain
        )
        return outside, -score_member(key, member.vm, member.weight), member.vm

    return sorted(members, key=sort_key)


class Ranking(Generic[M]):
    """Cache the ranking of one set of members per key, since hashing all members is slow."""

    def __init__(self, *, members: Iterable[M]) -> None:
        self._members = tuple(members)
        self._rankings: dict[tuple[str, str | None], tuple[M, ...]] = {}

    def rank(self, key: str, *, preferred_failure_domain: str | None = None) -> tuple[M, ...]:
        """Return the members in order of preference, as `rank_members` does."""
        ranking = self._rankings.get((key, preferred_failure_domain))
        if ranking is None:
            ranking = tuple(
                rank_members(key, self._members, preferred_failure_domain=preferred_failure_domain)
            )
            self._rankings[key, preferred_failure_domain] = ranking
        return ranking
