"""A queue of changes that are each sent a limited number of times."""

import math
from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class DisseminationQueue(Generic[K]):
    """Select the keys of changed entries for sending, those sent least often first."""

    def __init__(self) -> None:
        self._send_counts: dict[K, int] = {}

    def __bool__(self) -> bool:
        return bool(self._send_counts)

    def __iter__(self) -> Iterator[K]:
        return iter(self._send_counts)

    def add(self, key: K) -> None:
        """Queue an entry; a further change of a queued entry resets its send count."""
        self._send_counts[key] = 0

    def count_duplicate(self, key: K, *, limit: int) -> None:
        """Count an entry received unchanged from a peer as sent, because others already know it."""
        if key in self._send_counts:
            self._send_counts[key] += 1
            if self._send_counts[key] >= limit:
                del self._send_counts[key]

    def discard(self, key: K) -> None:
        """Remove an entry from the queue."""
        self._send_counts.pop(key, None)

    def select_keys(self, *, limit: int, budget: int, measure: Callable[[K], int]) -> Iterator[K]:
        """Yield keys until `budget` bytes are used; remove those sent `limit` times."""
        for key in sorted(self._send_counts, key=self._send_counts.__getitem__):
            budget -= measure(key)
            if budget < 0:
                return
            self._send_counts[key] += 1
            if self._send_counts[key] >= limit:
                del self._send_counts[key]
            yield key


def transmission_limit(members: int, *, multiplier: float) -> int:
    """Return how many times one node must send a change so that it reaches all members."""
    return math.ceil(multiplier * math.log2(members + 2))
