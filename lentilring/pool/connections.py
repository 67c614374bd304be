"""The connections and slots that one gateway uses on one backend server."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Protocol

from ..clock import Clock
from ..database.backend import (
    BackendConnection,
    BackendConnector,
    BackendUnreachable,
    ConnectionRefused,
)
from ..errors import LentilringError
from ..outcomes import RefusalReason
from ..telemetry.metrics import Telemetry
from .fairness import FairQueue

CONTROL_CONNECTIONS = 5
GATEWAY_PART = 0.7
QUEUE_CAPACITY_PER_ACCOUNT = 64
# A connection that has been idle for long may have been forgotten by something in between.
MAX_IDLE_S = 20.0
RETRY_REFUSED_S = 0.02


@dataclass(kw_only=True, eq=False)
class SlotRefused(LentilringError):
    """Report that a statement got no slot or connection; nothing was sent."""

    reason: RefusalReason
    detail: str = ""
    retry_after_s: float | None = None


class Budget(Protocol):
    """Return the number of connections that this proxy may hold at the moment."""

    def __call__(self) -> int:
        """Return the number of connections."""
        ...


def split_connections(limit: int, *, is_gateway: bool) -> int:
    """Return the connection budget of a server's gateway or of its standby."""
    usable = limit - CONTROL_CONNECTIONS
    gateway_part = int(usable * GATEWAY_PART)
    return max(1, gateway_part if is_gateway else usable - gateway_part)


@dataclass(eq=False, kw_only=True)
class _Waiter:
    granted: asyncio.Future[None]


@dataclass(kw_only=True)
class _Idle:
    connection: BackendConnection
    since: float


class ServerPool:
    """Give statements slots in fair order and lend them connections."""

    def __init__(
        self,
        *,
        address: str,
        slots: int,
        budget: Budget,
        connector: BackendConnector,
        clock: Clock,
        telemetry: Telemetry,
        connect_timeout_s: float = 2.0,
    ) -> None:
        self.address = address
        self.slots = slots
        self.budget = budget
        self.queue: FairQueue[_Waiter] = FairQueue(capacity_per_account=QUEUE_CAPACITY_PER_ACCOUNT)
        self.running = 0
        self.open_connections = 0
        self.pinned_by: Counter[str] = Counter()
        self._connector = connector
        self._clock = clock
        self._telemetry = telemetry
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[_Idle] = []
        self._returned = asyncio.Event()

    @property
    def pinned(self) -> int:
        """Return the number of connections that open transactions hold."""
        return self.pinned_by.total()

    def pin(self, client_account: str) -> None:
        """Count a connection that a transaction of an account holds."""
        self.pinned_by[client_account] += 1

    def unpin(self, client_account: str) -> None:
        """Count the end of an account's transaction."""
        self.pinned_by[client_account] -= 1
        if not self.pinned_by[client_account]:
            del self.pinned_by[client_account]

    @asynccontextmanager
    async def take_slot(self, account: str, deadline: float) -> AsyncIterator[None]:
        """Hold a slot of the server; raise SlotRefused if none is free before the deadline."""
        await self._wait_for_slot(account, deadline)
        started = self._clock.monotonic()
        try:
            yield
        finally:
            self.queue.record_cost(account, self._clock.monotonic() - started)
            self.running -= 1
            self._grant_next()

    @asynccontextmanager
    async def lend(self, deadline: float) -> AsyncIterator[BackendConnection]:
        """Lend a connection; it returns to the pool only if it is still usable."""
        connection = await self.take_connection(deadline)
        try:
            yield connection
        finally:
            self.give_back(connection)

    async def take_connection(self, deadline: float) -> BackendConnection:
        """Take an idle connection or open one; raise SlotRefused if neither works in time."""
        while True:
            connection = self._pop_idle()
            if connection is not None:
                return connection
            if self.open_connections < self.budget():
                opened = await self._open(deadline)
                if opened is not None:
                    return opened
            await self._wait_for_connection(deadline)

    def give_back(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or forget it if it is closed."""
        if connection.usable and self.open_connections <= self.budget():
            self._idle.append(_Idle(connection=connection, since=self._clock.monotonic()))
        else:
            connection.close()
            self.open_connections -= 1
        self._returned.set()

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection whose state is unknown."""
        connection.close()
        self.open_connections -= 1
        self._returned.set()

    def close_idle(self, *, everything: bool = False) -> None:
        """Close connections that are idle for long, over the budget, or all idle ones."""
        now = self._clock.monotonic()
        kept = []
        for idle in self._idle:
            old = now - idle.since > MAX_IDLE_S or not idle.connection.usable
            if everything or old or self.open_connections > self.budget():
                idle.connection.close()
                self.open_connections -= 1
            else:
                kept.append(idle)
        self._idle = kept

    async def _wait_for_slot(self, account: str, deadline: float) -> None:
        if self.running < self.slots and not len(self.queue):
            self.running += 1
            self.queue.charge(account)
            return
        expected = self.queue.expected_wait_s(account, self.slots)
        if self._clock.monotonic() + expected > deadline:
            raise SlotRefused(
                reason=RefusalReason.DEADLINE_EXCEEDED,
                detail="the queue is longer than the deadline allows",
                retry_after_s=round(expected, 3),
            )
        waiter = _Waiter(granted=asyncio.get_running_loop().create_future())
        if not self.queue.push(account, waiter):
            raise SlotRefused(reason=RefusalReason.QUEUE_FULL, retry_after_s=round(expected, 3))
        await self._await_grant(account, waiter, deadline)

    async def _await_grant(self, account: str, waiter: _Waiter, deadline: float) -> None:
        remaining = max(0.0, deadline - self._clock.monotonic())
        try:
            await asyncio.wait_for(asyncio.shield(waiter.granted), remaining)
        except (TimeoutError, asyncio.CancelledError) as error:
            self.queue.discard(account, waiter)
            if waiter.granted.done() and not waiter.granted.cancelled():
                # The slot was granted in the moment of giving up: pass it on.
                self.running -= 1
                self._grant_next()
            waiter.granted.cancel()
            if isinstance(error, asyncio.CancelledError):
                raise
            raise SlotRefused(
                reason=RefusalReason.DEADLINE_EXCEEDED, detail="waited for a slot"
            ) from error

    def _grant_next(self) -> None:
        while self.running < self.slots:
            waiter = self.queue.pop()
            if waiter is None:
                return
            if not waiter.granted.done():
                self.running += 1
                waiter.granted.set_result(None)

    def _pop_idle(self) -> BackendConnection | None:
        self.close_idle()
        while self._idle:
            idle = self._idle.pop()
            if idle.connection.usable:
                return idle.connection
            self.open_connections -= 1
        return None

    async def _open(self, deadline: float) -> BackendConnection | None:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            raise SlotRefused(reason=RefusalReason.DEADLINE_EXCEEDED, detail="connecting")
        self.open_connections += 1
        connection: BackendConnection | None = None
        try:
            connection = await self._connector.connect(
                self.address, timeout_s=min(remaining, self._connect_timeout_s)
            )
            return connection
        except ConnectionRefused:
            self._telemetry.count("retries", reason="connection_refused")
            if self.open_connections == 1:
                raise SlotRefused(
                    reason=RefusalReason.CONNECTIONS_EXHAUSTED, detail=self.address
                ) from None
            return None
        except BackendUnreachable as error:
            raise SlotRefused(
                reason=RefusalReason.BACKEND_UNREACHABLE, detail=error.detail
            ) from error
        finally:
            if connection is None:
                self.open_connections -= 1

    async def _wait_for_connection(self, deadline: float) -> None:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            raise SlotRefused(
                reason=RefusalReason.CONNECTIONS_EXHAUSTED, detail="waited for a connection"
            )
        self._returned.clear()
        try:
            await asyncio.wait_for(self._returned.wait(), min(remaining, RETRY_REFUSED_S))
        except TimeoutError:
            return
