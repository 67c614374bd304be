"""Start-time fair queueing over the queues of client accounts.

Source: Goyal, Vin and Cheng, "Start-time fair queueing: a scheduling algorithm for integrated
services packet switching networks", 1996. The cost of a statement is the time that earlier
statements of its account held a slot.
"""

from collections import deque
from collections.abc import Callable
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


class FairQueue(Generic[T]):
    """Hold waiting entries by client account and pop the one with the smallest start tag.

    All accounts have equal weight, which gives max-min fairness: an account that asks for less than
    an equal part is served in full, and large accounts share what the others leave idle. Weights by
    configured rate made a small account wait seconds beside a large one (docs/measurements.md).
    An account that was idle starts at the current virtual time, ahead of the backlog of others,
    and without credit for the time it was idle. Waits are expected by `cost_of` an entry if it is
    given, by the average cost of the entry's account otherwise.
    """

    def __init__(
        self, *, capacity_per_account: int, cost_of: Callable[[T], float] | None = None
    ) -> None:
        self.capacity_per_account = capacity_per_account
        self._cost_of = cost_of
        self._queues: dict[str, _AccountQueue[T]] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(queue.entries) for queue in self._queues.values())

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
        return True

    def pop(self) -> T | None:
        """Remove and return the next entry, or None if nothing waits."""
        waiting = [(q.start_tag, name) for name, q in self._queues.items() if q.entries]
        if not waiting:
            return None
        _, account = min(waiting)
        queue = self._queues[account]
        self.charge(account)
        return queue.entries.popleft()

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
        waiting = [q for name, q in self._queues.items() if q.entries or name == account]
        total_work_s = sum(self._sum_costs(q) for q in waiting)
        by_share_s = self._sum_costs(account_queue) * len(waiting)
        return min(by_share_s, total_work_s) / slots

    def total_cost_s(self) -> float:
        """Return the expected cost of all waiting entries together."""
        return sum(self._sum_costs(queue) for queue in self._queues.values())

    def _sum_costs(self, queue: _AccountQueue[T]) -> float:
        if self._cost_of is None:
            return len(queue.entries) * queue.cost_s
        return sum(map(self._cost_of, queue.entries))
