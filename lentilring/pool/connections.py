"""The connections and slots that a gateway uses on one backend server."""

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

# Reserved for status and failover requests to the server.
CONTROL_CONNECTIONS = 5
GATEWAY_CONNECTION_FRACTION = 0.7
QUEUE_CAPACITY_PER_ACCOUNT = 64
# A network device on the path may silently drop a connection that was idle for long.
MAX_IDLE_S = 20.0
REFUSED_CONNECT_RETRY_S = 0.02
# After a failed connect, waiting statements are refused at once for this time. Otherwise each would
# hold a slot for the connect time-out, although another server may already be the primary.
REFUSE_AFTER_FAILED_CONNECT_S = 0.5


@dataclass(kw_only=True, eq=False)
class SlotRefused(LentilringError):
    """Report that a statement got no slot or connection; nothing was sent to the server."""

    reason: RefusalReason
    detail: str = ""
    retry_after_s: float | None = None


class ConnectionBudget(Protocol):
    """Compute how many connections to a server this proxy may currently hold."""

    def __call__(self) -> int:
        """Return the number of connections."""
        ...


def split_connections(limit: int, *, is_gateway: bool) -> int:
    """Return how many of a server's connections its gateway, or else its standby, may hold."""
    usable = limit - CONTROL_CONNECTIONS
    gateway_connections = int(usable * GATEWAY_CONNECTION_FRACTION)
    return max(1, gateway_connections if is_gateway else usable - gateway_connections)


@dataclass(eq=False, kw_only=True)
class _Waiter:
    granted: asyncio.Future[None]


@dataclass(kw_only=True)
class _IdleConnection:
    connection: BackendConnection
    idle_since: float


class ServerPool:
    """Grant slots to statements in fair order and lend them connections.

    A slot allows one statement to run on the server; `slots` limits how many this proxy runs at
    once.
    """

    def __init__(
        self,
        *,
        address: str,
        slots: int,
        budget: ConnectionBudget,
        connector: BackendConnector,
        clock: Clock,
        telemetry: Telemetry,
        connect_timeout_s: float = 1.0,
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
        self._idle_connections: list[_IdleConnection] = []
        self._refuse_until = float("-inf")
        self._connection_returned = asyncio.Event()

    @property
    def pinned(self) -> int:
        """Return the number of connections that are reserved by transactions."""
        return self.pinned_by.total()

    def pin(self, client_account: str) -> None:
        """Reserve a connection for a transaction of an account."""
        self.pinned_by[client_account] += 1

    def unpin(self, client_account: str) -> None:
        """End the reservation of an account's transaction."""
        self.pinned_by[client_account] -= 1
        if not self.pinned_by[client_account]:
            del self.pinned_by[client_account]

    @asynccontextmanager
    async def hold_slot(self, account: str, deadline: float) -> AsyncIterator[None]:
        """Hold a slot of the server; raise SlotRefused if none becomes free in time."""
        await self._wait_for_slot(account, deadline)
        started_at = self._clock.monotonic()
        try:
            yield
        finally:
            self.queue.record_cost(account, self._clock.monotonic() - started_at)
            self.running -= 1
            self._grant_free_slots()

    @asynccontextmanager
    async def borrow_connection(self, deadline: float) -> AsyncIterator[BackendConnection]:
        """Borrow a connection; it returns to the pool only if it is still usable."""
        connection = await self.acquire_connection(deadline)
        try:
            yield connection
        finally:
            self.release_connection(connection)

    async def acquire_connection(self, deadline: float) -> BackendConnection:
        """Take an idle connection or open one; raise SlotRefused if none is available in time."""
        while True:
            connection = self._pop_idle_connection()
            if connection is not None:
                return connection
            if self.open_connections < self.budget():
                opened = await self._open_connection(deadline)
                if opened is not None:
                    return opened
            await self._wait_for_connection(deadline)

    def release_connection(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it is unusable or over the budget."""
        if connection.usable and self.open_connections <= self.budget():
            self._idle_connections.append(
                _IdleConnection(connection=connection, idle_since=self._clock.monotonic())
            )
        else:
            connection.close()
            self.open_connections -= 1
        self._connection_returned.set()

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection whose state is unknown."""
        connection.close()
        self.open_connections -= 1
        self._connection_returned.set()

    def close_idle(self, *, everything: bool = False) -> None:
        """Close idle connections that are expired, broken or over the budget; or `everything`."""
        now = self._clock.monotonic()
        kept = []
        for entry in self._idle_connections:
            is_expired = now - entry.idle_since > MAX_IDLE_S or not entry.connection.usable
            if everything or is_expired or self.open_connections > self.budget():
                entry.connection.close()
                self.open_connections -= 1
            else:
                kept.append(entry)
        self._idle_connections = kept

    async def _wait_for_slot(self, account: str, deadline: float) -> None:
        if self.running < self.slots and not len(self.queue):
            self.running += 1
            self.queue.charge(account)
            return
        estimate_s = self.queue.expected_wait_s(account, self.slots)
        if self._clock.monotonic() + estimate_s > deadline:
            raise SlotRefused(
                reason=RefusalReason.DEADLINE_EXCEEDED,
                detail="the queue is longer than the deadline allows",
                retry_after_s=round(estimate_s, 3),
            )
        waiter = _Waiter(granted=asyncio.get_running_loop().create_future())
        if not self.queue.push(account, waiter):
            raise SlotRefused(reason=RefusalReason.QUEUE_FULL, retry_after_s=round(estimate_s, 3))
        await self._wait_for_grant(account, waiter, deadline)

    async def _wait_for_grant(self, account: str, waiter: _Waiter, deadline: float) -> None:
        remaining_s = max(0.0, deadline - self._clock.monotonic())
        try:
            await asyncio.wait_for(asyncio.shield(waiter.granted), remaining_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            self.queue.discard(account, waiter)
            if waiter.granted.done() and not waiter.granted.cancelled():
                # The slot was granted just as the wait ended: grant it to the next waiter.
                self.running -= 1
                self._grant_free_slots()
            waiter.granted.cancel()
            if isinstance(error, asyncio.CancelledError):
                raise
            raise SlotRefused(
                reason=RefusalReason.DEADLINE_EXCEEDED, detail="waited for a slot"
            ) from error

    def _grant_free_slots(self) -> None:
        while self.running < self.slots:
            waiter = self.queue.pop()
            if waiter is None:
                return
            if not waiter.granted.done():
                self.running += 1
                waiter.granted.set_result(None)

    def _pop_idle_connection(self) -> BackendConnection | None:
        self.close_idle()
        while self._idle_connections:
            entry = self._idle_connections.pop()
            if entry.connection.usable:
                return entry.connection
            self.open_connections -= 1
        return None

    async def _open_connection(self, deadline: float) -> BackendConnection | None:
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            raise SlotRefused(reason=RefusalReason.DEADLINE_EXCEEDED, detail="connecting")
        if self._clock.monotonic() < self._refuse_until:
            raise SlotRefused(reason=RefusalReason.BACKEND_UNREACHABLE, detail="a moment ago")
        self.open_connections += 1
        connection: BackendConnection | None = None
        try:
            connection = await self._connector.connect(
                self.address, timeout_s=min(remaining_s, self._connect_timeout_s)
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
            self._refuse_until = self._clock.monotonic() + REFUSE_AFTER_FAILED_CONNECT_S
            raise SlotRefused(
                reason=RefusalReason.BACKEND_UNREACHABLE, detail=error.detail
            ) from error
        finally:
            if connection is None:
                self.open_connections -= 1

    async def _wait_for_connection(self, deadline: float) -> None:
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            raise SlotRefused(
                reason=RefusalReason.CONNECTIONS_EXHAUSTED,
                detail="waited for a connection",
            )
        self._connection_returned.clear()
        try:
            await asyncio.wait_for(
                self._connection_returned.wait(), min(remaining_s, REFUSED_CONNECT_RETRY_S)
            )
        except TimeoutError:
            return
