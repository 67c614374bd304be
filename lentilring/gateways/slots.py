"""Which waiting statement of a backend server runs next, and which is refused at once.

Load that this answers: an account that sends many times its usual beside others at their usual,
and more work than a server's slots can do. Statements of open transactions come first, because
they hold a connection; then statements by priority; within a priority, accounts share equally.
"""

import asyncio
from dataclasses import dataclass

from ..clock import Clock
from ..pool.fairness import FairQueue

MAX_QUEUED_PER_ACCOUNT = 64
IN_TRANSACTION = 0
# One statement more than the slots waits at the server, which hides the way between two statements.
AHEAD = 1


@dataclass(kw_only=True, eq=False)
class _Waiter:
    admitted: asyncio.Future[None]


@dataclass(frozen=True, kw_only=True)
class SlotRefusal:
    """Say that a statement would wait longer than it may."""

    expected_wait_s: float


class SlotQueue:
    """Hand out the slots of one server; rank 0 goes first."""

    def __init__(self, *, clock: Clock, slots: int) -> None:
        self._clock = clock
        self.slots = slots
        self.running = 0
        self._queues: dict[int, FairQueue[_Waiter]] = {}
        self._cost_s = 0.005

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def expected_wait_s(self, account: str, rank: int) -> float:
        """Estimate the wait of new work, from the work ahead of it and its usual cost."""
        if self.running < self.slots + AHEAD and not len(self):
            return 0.0
        ahead = sum(len(queue) for key, queue in self._queues.items() if key < rank)
        own = self._queues.get(rank)
        own_s = 0.0 if own is None else own.expected_wait_s(account, self.slots)
        # Until the next slot falls free, half a statement on average.
        return own_s + (ahead + 0.5) * self._cost_s / self.slots

    async def acquire(self, account: str, *, rank: int, patience_s: float) -> SlotRefusal | None:
        """Wait for a slot; None: taken."""
        queue = self._queues.setdefault(
            rank, FairQueue(capacity_per_account=MAX_QUEUED_PER_ACCOUNT)
        )
        if self.running < self.slots + AHEAD and not len(self):
            self.running += 1
            queue.charge(account)
            return None
        expected = self.expected_wait_s(account, rank)
        if expected > patience_s:
            return SlotRefusal(expected_wait_s=expected)
        waiter = _Waiter(admitted=asyncio.get_running_loop().create_future())
        if not queue.push(account, waiter):
            return SlotRefusal(expected_wait_s=expected)
        return await self._wait(queue, account, waiter, patience_s)

    def release(self, account: str, *, rank: int, cost_s: float) -> None:
        """Return a slot and record how long it was used."""
        self._cost_s += 0.1 * (cost_s - self._cost_s)
        self._queues[rank].record_cost(account, cost_s)
        self.running -= 1
        self._admit_next()

    async def _wait(
        self, queue: FairQueue[_Waiter], account: str, waiter: _Waiter, patience_s: float
    ) -> SlotRefusal | None:
        try:
            async with asyncio.timeout(patience_s):
                await waiter.admitted
        except TimeoutError:
            if not self._took_slot(waiter):
                queue.discard(account, waiter)
                return SlotRefusal(expected_wait_s=patience_s)
        except BaseException:
            queue.discard(account, waiter)
            if self._took_slot(waiter):
                self.running -= 1
                self._admit_next()
            raise
        return None

    def _took_slot(self, waiter: _Waiter) -> bool:
        return waiter.admitted.done() and not waiter.admitted.cancelled()

    def _admit_next(self) -> None:
        while self.running < self.slots + AHEAD:
            waiter = self._pop()
            if waiter is None:
                return
            if not waiter.admitted.done():
                self.running += 1
                waiter.admitted.set_result(None)

    def _pop(self) -> _Waiter | None:
        for rank in sorted(self._queues):
            waiter = self._queues[rank].pop()
            if waiter is not None:
                return waiter
        return None
