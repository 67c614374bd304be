"""Queue for the slots of a backend server: which statement runs next, which is refused at once.

It handles an account that sends many times its usual load while others send their usual load, and
more work than a server's slots can run. Statements of open transactions come first, because they
hold a connection; then statements by priority; within a priority, accounts share equally. While
idle transactions hold all connections, other statements wait without a slot, so that the statements
that end these transactions get one.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from ..clock import Clock
from ..pool.fairness import FairQueue
from .costs import RunCosts

MAX_QUEUED_PER_ACCOUNT = 64
IN_TRANSACTION = 0
# Statements sent to the server beyond its slots. They wait there, so that no slot idles for a round
# trip between two statements.
MAX_WAITING_AT_SERVER = 1


@dataclass(kw_only=True, eq=False)
class _Waiter:
    kind: Hashable
    admitted: asyncio.Future[None]
    on_admitted: Callable[[], None]


@dataclass(frozen=True, kw_only=True)
class SlotRefusal:
    """Say that a statement is refused, because it would wait longer than it may.

    `lacks_connection` says that a slot was free, but no connection to the server.
    """

    expected_wait_s: float
    lacks_connection: bool = False


class SlotQueue:
    """Assign the slots of one server to statements; rank 0 goes first.

    `limit` returns how many statements may be at the server at once, `has_connection` whether a
    statement outside of transactions can have a connection at once; without one it gets no slot.
    Call `admit_waiting` after one of them has changed. `expected_limit` returns the limit that is
    expected soon, for estimates of waits. Statements of one `kind` are expected to take equally
    long.

    Statements of open transactions use all slots in any case: they hold a connection and locks, and
    a refusal would abort work that the server has already done.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int,
        limit: Callable[[], int] | None = None,
        expected_limit: Callable[[], int] | None = None,
        has_connection: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._max_limit = slots + MAX_WAITING_AT_SERVER
        self._limit = limit or (lambda: self._max_limit)
        self._expected_limit = expected_limit or self._limit
        self._has_connection = has_connection
        self.running = 0
        self._queues: dict[int, FairQueue[_Waiter]] = {}
        self.costs = RunCosts()
        self._running_kinds: Counter[Hashable] = Counter()
        self._without_connection_since: float | None = None

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def expected_wait_s(self, account: str, rank: int) -> float:
        """Estimate the wait of a new statement.

        While no connection is available, one is not expected sooner than the time since statements
        began to wait for one.
        """
        estimated_s = self._estimate_wait_s(account, rank)
        since = self._without_connection_since
        if rank == IN_TRANSACTION or since is None or self._has_connection():
            return estimated_s
        return max(estimated_s, self._clock.monotonic() - since)

    def _estimate_wait_s(self, account: str, rank: int) -> float:
        """Estimate the wait for a slot from the statements ahead and their costs by kind."""
        if self._has_room(rank):
            return 0.0
        limit = max(1, self._expected_limit())
        ahead = [queue for key, queue in self._queues.items() if key < rank and len(queue)]
        same_rank = self._queues.get(rank)
        same_rank_s = 0.0 if same_rank is None else same_rank.expected_wait_s(account, limit)
        ahead_s = sum(queue.total_cost_s() for queue in ahead)
        return same_rank_s + (ahead_s + self._next_release_s()) / limit

    def _next_release_s(self) -> float:
        """Return the time in which one slot becomes free: half a running statement on average."""
        running_s = sum(
            count * self.costs.expected_s(kind) for kind, count in self._running_kinds.items()
        )
        return 0.5 * running_s / max(1, self.running)

    async def acquire(
        self,
        account: str,
        *,
        rank: int,
        patience_s: float,
        kind: Hashable = None,
        on_admitted: Callable[[], None] = lambda: None,
        is_repeated: bool = False,
    ) -> SlotRefusal | None:
        """Wait for a slot; return None once it is acquired.

        `on_admitted` is called in the moment when the slot is assigned. A repeated statement had a
        slot without running and goes ahead of others of its account.
        """
        queue = self._get_queue(rank)
        expected = self._estimate_wait_s(account, rank)
        if expected > patience_s:
            return SlotRefusal(expected_wait_s=expected)
        waiter = _Waiter(
            kind=kind,
            admitted=asyncio.get_running_loop().create_future(),
            on_admitted=on_admitted,
        )
        if not queue.push(account, waiter, is_first=is_repeated):
            return SlotRefusal(expected_wait_s=expected)
        self.admit_waiting()
        if waiter.admitted.done():
            return None
        return await self._wait_for_slot(queue, account, waiter, rank, patience_s)

    def release(
        self, account: str, *, rank: int, cost_s: float, kind: Hashable = None, has_run: bool = True
    ) -> None:
        """Release a slot and record for how long it was used.

        The cost of a statement that has not run says nothing about its kind.
        """
        if has_run:
            self.costs.record(kind, cost_s)
        self._queues[rank].record_cost(account, cost_s)
        self._free_slot(kind)

    def _free_slot(self, kind: Hashable) -> None:
        self.running -= 1
        self._running_kinds[kind] -= 1
        self.admit_waiting()

    def _get_queue(self, rank: int) -> FairQueue[_Waiter]:
        if rank not in self._queues:
            self._queues[rank] = FairQueue(
                capacity_per_account=MAX_QUEUED_PER_ACCOUNT,
                kind_of=lambda waiter: waiter.kind,
                cost_of=lambda kind: self.costs.expected_s(kind),
            )
        return self._queues[rank]

    async def _wait_for_slot(
        self,
        queue: FairQueue[_Waiter],
        account: str,
        waiter: _Waiter,
        rank: int,
        patience_s: float,
    ) -> SlotRefusal | None:
        try:
            async with asyncio.timeout(patience_s):
                await waiter.admitted
        except TimeoutError:
            if not self._has_slot(waiter):
                queue.discard(account, waiter)
                return SlotRefusal(
                    expected_wait_s=patience_s,
                    lacks_connection=rank != IN_TRANSACTION
                    and self.running < self._limit()
                    and not self._has_connection(),
                )
        except BaseException:
            queue.discard(account, waiter)
            if self._has_slot(waiter):
                self._free_slot(waiter.kind)
            raise
        return None

    def _find_limit(self, rank: int) -> int:
        limit = self._limit()
        return max(limit, self._max_limit) if rank == IN_TRANSACTION else limit

    def _has_room(self, rank: int) -> bool:
        """Tell whether a statement of a rank may be sent now, before those that wait."""
        if any(len(queue) for key, queue in self._queues.items() if key <= rank):
            return False
        return self.running < self._find_limit(rank)

    def _has_slot(self, waiter: _Waiter) -> bool:
        return waiter.admitted.done() and not waiter.admitted.cancelled()

    def admit_waiting(self) -> None:
        """Assign the slots that are free now to waiting statements."""
        while (waiter := self._pop()) is not None:
            if not waiter.admitted.done():
                self.running += 1
                self._running_kinds[waiter.kind] += 1
                waiter.admitted.set_result(None)
                waiter.on_admitted()
        self._watch_connections()

    def _watch_connections(self) -> None:
        if self._has_connection():
            self._without_connection_since = None
        elif self._without_connection_since is None and self._count_waiting_for_connections():
            self._without_connection_since = self._clock.monotonic()

    def _count_waiting_for_connections(self) -> int:
        return sum(len(queue) for rank, queue in self._queues.items() if rank != IN_TRANSACTION)

    def _pop(self) -> _Waiter | None:
        """Remove and return the next statement that can run now."""
        for rank in sorted(self._queues):
            if self.running >= self._find_limit(rank):
                return None
            if rank != IN_TRANSACTION and not self._has_connection():
                return None
            waiter = self._queues[rank].pop()
            if waiter is not None:
                return waiter
        return None
