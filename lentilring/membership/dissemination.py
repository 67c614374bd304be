"""A queue of changes that are each sent a limited number of times."""

import math
from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class DisseminationQueue(Generic[K]):
    """Hand out the keys of changed entries, the least often sent first."""

    def __init__(self) -> None:
        self._sent: dict[K, int] = {}

    def __bool__(self) -> bool:
        return bool(self._sent)

    def __iter__(self) -> Iterator[K]:
        return iter(self._sent)

    def add(self, key: K) -> None:
        """Queue an entry, or queue it anew after a further change."""
        self._sent[key] = 0

    def note_duplicate(self, key: K, *, limit: int) -> None:
        """Count an entry that a peer sent unchanged as sent, because others know it already."""
        if key in self._sent:
            self._sent[key] += 1
            if self._sent[key] >= limit:
                del self._sent[key]

    def discard(self, key: K) -> None:
        """Forget an entry."""
        self._sent.pop(key, None)

    def take(self, *, limit: int, budget: int, measure: Callable[[K], int]) -> Iterator[K]:
        """Yield keys until `budget` bytes are used; drop those sent `limit` times."""
        for key in sorted(self._sent, key=self._sent.__getitem__):
            budget -= measure(key)
            if budget < 0:
                return
            self._sent[key] += 1
            if self._sent[key] >= limit:
                del self._sent[key]
            yield key


def transmission_limit(members: int, *, multiplier: float) -> int:
    """Return how often one node sends one change so that it reaches all members."""
    return math.ceil(multiplier * math.log2(members + 2))
