"""Configuration revision and store reachability of each process, spread through gossip."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from .dissemination import DisseminationQueue, transmission_limit
from .messages import StatusGroup
from .sizes import KEY_BYTES

GROUP_HEADER_BYTES = 40
TRANSMISSION_MULTIPLIER = 1.0


class Status(NamedTuple):
    """Two counters that only grow, so that a merge takes the greater value of each.

    `flips` counts the changes between store reachable and store down; odd means down.
    """

    revision: int
    flips: int

    @property
    def store_is_down(self) -> bool:
        """Tell whether the process reports that the store is down."""
        return self.flips % 2 == 1


class StatusTable:
    """Merge the statuses of all processes, by process key."""

    def __init__(self) -> None:
        self.change_count = 0
        self._statuses: dict[int, Status] = {}
        self._queue: DisseminationQueue[int] = DisseminationQueue()

    def __bool__(self) -> bool:
        return bool(self._queue)

    def get(self, key: int) -> Status:
        """Return a process's status; an unknown process has revision 0 and a reachable store."""
        return self._statuses.get(key, Status(revision=0, flips=0))

    def merge(self, key: int, status: Status) -> None:
        """Keep the greater counters of a process; queue its status if they grew."""
        current = self.get(key)
        merged = Status(
            revision=max(current.revision, status.revision), flips=max(current.flips, status.flips)
        )
        if merged != current:
            self.change_count += 1
            self._statuses[key] = merged
            self._queue.add(key)

    def merge_groups(self, groups: Iterable[StatusGroup]) -> None:
        """Merge statuses received from a peer."""
        for group in groups:
            status = Status(revision=group.revision, flips=group.flips)
            for key in group.members:
                self.merge(key, status)

    def retain(self, keys: set[int]) -> None:
        """Remove the statuses of all processes except the given ones."""
        for key in self._statuses.keys() - keys:
            del self._statuses[key]
            self._queue.discard(key)

    def select_groups(self, *, budget: int, members: int) -> tuple[StatusGroup, ...]:
        """Select queued statuses for one datagram, up to `budget` bytes."""
        limit = transmission_limit(members, multiplier=TRANSMISSION_MULTIPLIER)
        seen: set[Status] = set()

        def measure(key: int) -> int:
            status = self.get(key)
            size = KEY_BYTES if status in seen else KEY_BYTES + GROUP_HEADER_BYTES
            seen.add(status)
            return size

        return self._group(self._queue.select_keys(limit=limit, budget=budget, measure=measure))

    def groups(self) -> tuple[StatusGroup, ...]:
        """Return all statuses."""
        return self._group(self._statuses)

    def digest(self) -> int:
        """Return a hash of the table; equal tables have equal hashes."""
        text = repr(sorted(self._statuses.items()))
        return int(xxhash.xxh64_intdigest(text.encode())) - 2**63

    def _group(self, keys: Iterable[int]) -> tuple[StatusGroup, ...]:
        grouped: dict[Status, list[int]] = {}
        for key in keys:
            grouped.setdefault(self.get(key), []).append(key)
        return tuple(
            StatusGroup(revision=status.revision, flips=status.flips, members=tuple(members))
            for status, members in grouped.items()
        )
