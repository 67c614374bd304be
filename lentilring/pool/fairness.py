"""Start-time fair queueing over the queues of client accounts.

Source: Goyal, Vin and Cheng, "Start-time fair queueing: a scheduling algorithm for integrated
services packet switching networks", 1996. The cost of a statement is the time that earlier
statements of its account held a slot.
"""

from collections import Counter, deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

INITIAL_COST_S = 0.005
MIN_COST_S = 0.0005
COST_SMOOTHING = 0.2


@dataclass
class _AccountQueue(Generic[T]):
    start_tag: float = 0.0
    finish_tag: float = 0.0
    cost_s: float = INITIAL_COST_S
    entries: deque[T] = field(default_factory=deque)
    kinds: Counter[Hashable] = field(default_factory=Counter)


class FairQueue(Generic[T]):
    """Hold waiting entries by client account and pop the one with the smallest start tag.

    All accounts have equal weight, which gives max-min fairness: an account that asks for less than
    an equal part is served in full, and large accounts share what the others leave idle. Weights by
    configured rate made a small account wait seconds beside a large one (docs/measurements.md).
    An account that was idle starts at the current virtual time, ahead of the backlog of others,
    and without credit for the time it was idle. Waits are expected by the `cost_of` the entries'
    kinds (`kind_of`) if it is given, by the average costs of their accounts otherwise. Entries are
    counted by kind, so that an estimate takes no longer the more of them wait.
    """

    def __init__(
        self,
        *,
        capacity_per_account: int,
        kind_of: Callable[[T], Hashable] = lambda _: None,
        cost_of: Callable[[Hashable], float] | None = None,
    ) -> None:
        self.capacity_per_account = capacity_per_account
        self._kind_of, self._cost_of = kind_of, cost_of
        self._kinds: Counter[Hashable] = Counter()
        self._queues: dict[str, _AccountQueue[T]] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return self._kinds.total()

    def push(self, account: str, entry: T, *, is_first: bool = False) -> bool:
        """Add an entry of an account; return False if the account's queue is full.

        One that `is_first` goes ahead of the account's other entries.
        """
        queue = self._queues.setdefault(account, _AccountQueue())
        if len(queue.entries) >= self.capacity_per_account:
            return False
        if not queue.entries:
            queue.start_tag = max(self._virtual_time, queue.finish_tag)
        if is_first:
            queue.entries.appendleft(entry)
        else:
            queue.entries.append(entry)
        self._count(queue, entry, 1)
        return True

    def pop(self) -> T | None:
        """Remove and return the next entry, or None if nothing waits."""
        waiting = [(q.start_tag, name) for name, q in self._queues.items() if q.entries]
        if not waiting:
            return None
        _, account = min(waiting)
        queue = self._queues[account]
        self.charge(account)
        entry = queue.entries.popleft()
        self._count(queue, entry, -1)
        return entry

    def charge(self, account: str) -> None:
        """Charge an account for a statement that takes a slot, at its expected cost."""
        queue = self._queues.setdefault(account, _AccountQueue())
        start = queue.start_tag if queue.entries else max(self._virtual_time, queue.finish_tag)
        self._virtual_time = max(self._virtual_time, start)
        queue.finish_tag = start + queue.cost_s
        queue.start_tag = queue.finish_tag

    def discard(self, account: str, entry: T) -> None:
        """Remove an entry that no longer waits."""
        queue = self._queues.get(account)
        if queue is not None and entry in queue.entries:
            queue.entries.remove(entry)
            self._count(queue, entry, -1)

    def record_cost(self, account: str, seconds: float) -> None:
        """Update the expected cost of an account's statements with a measured cost."""
        queue = self._queues.setdefault(account, _AccountQueue())
        measured = max(MIN_COST_S, seconds)
        queue.cost_s += COST_SMOOTHING * (measured - queue.cost_s)

    def expected_wait_s(self, account: str, slots: int) -> float:
        """Estimate how long a new entry of an account waits for a slot, in seconds.

        Waiting accounts share the slots equally, and no account waits longer than all waiting
        entries would take in order of arrival.
        """
        account_queue = self._queues.get(account)
        if account_queue is None:
            return 0.0
        waiting = sum(1 for name, q in self._queues.items() if q.entries or name == account)
        by_share_s = self._sum_costs(account_queue) * waiting
        return min(by_share_s, self.total_cost_s()) / slots

    def total_cost_s(self) -> float:
        """Return the expected cost of all waiting entries together."""
        if self._cost_of is None:
            return sum(len(queue.entries) * queue.cost_s for queue in self._queues.values())
        return self._sum_by_kind(self._kinds, self._cost_of)

    def _count(self, queue: _AccountQueue[T], entry: T, change: int) -> None:
        kind = self._kind_of(entry)
        for kinds in (queue.kinds, self._kinds):
            kinds[kind] += change
            if not kinds[kind]:
                del kinds[kind]

    def _sum_costs(self, queue: _AccountQueue[T]) -> float:
        if self._cost_of is None:
            return len(queue.entries) * queue.cost_s
        return self._sum_by_kind(queue.kinds, self._cost_of)

    def _sum_by_kind(self, kinds: Counter[Hashable], cost_of: Callable[[Hashable], float]) -> float:
        return sum(count * cost_of(kind) for kind, count in kinds.items())
