"""Connections to one backend server, kept by client account."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..catalog.model import ServerEntry
from ..clock import Clock
from ..statements.model import Done, Failure, PreparedStatement, TransactionState
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .messages import SessionValue
from .server import (
    ServerConnector,
    ServerRefused,
    ServerReply,
    ServerSession,
    ServerUnreachable,
)

# A handshake waits for a slot; with a full queue that is some 0.2 s.
CONNECT_TIMEOUT_S = 0.5
# Statements without a slot answer within a round trip.
CONTROL_TIMEOUT_S = 1.0
# A closed connection counts at the server until its end arrives there.
CLOSE_SETTLE_S = 0.05
# A gateway that is not the first choice gives back what it has not used for this long. Eight of
# them with two idle connections each filled a server of 16 for good (khaima-ops inc-3ba6).
STANDBY_IDLE_S = 1.0
# A server that is full has other users; for this long no more connections are tried than it took.
FULL_S = 1.0

log = Log(source="gateway")


@dataclass(kw_only=True, eq=False)
class PooledConnection:
    """Hold a session on a server and what was set on it."""

    session: ServerSession
    account: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    used_at: float = 0.0


class ConnectionPool:
    """Open, keep and close connections below a limit."""

    def __init__(
        self,
        *,
        server: ServerEntry,
        connector: ServerConnector,
        limit: Callable[[], int],
        keeps_idle: Callable[[], bool],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.server, self._limit, self._keeps_idle = server, limit, keeps_idle
        self._is_closed = False
        self._full_limit, self._full_until = 0, float("-inf")
        self._evicted_at = float("-inf")
        self._connector, self._clock, self._telemetry = connector, clock, telemetry
        self._idle: dict[str, list[PooledConnection]] = {}
        self._in_use: set[PooledConnection] = set()
        self._opening = 0
        self._waiters: deque[asyncio.Future[None]] = deque()

    @property
    def limit(self) -> int:
        """Return how many connections may be open now."""
        if self._is_closed:
            return 0
        if self._clock.monotonic() < self._full_until:
            return min(self._limit(), self._full_limit)
        return self._limit()

    @property
    def open_count(self) -> int:
        """Return how many connections count against the limit."""
        idle = sum(len(entries) for entries in self._idle.values())
        return idle + len(self._in_use) + self._opening

    async def acquire(self, account: str, *, timeout_s: float) -> PooledConnection:
        """Return a connection of an account; raise ServerUnreachable or ServerRefused."""
        end = self._clock.monotonic() + timeout_s
        while True:
            found = self._take_idle(account)
            if found is not None:
                return found
            if self.open_count < self.limit or self._close_oldest_idle():
                opened = await self._open(account, max(0.001, end - self._clock.monotonic()))
                if opened is not None:
                    return opened
            else:
                await self._wait_for_release(end)

    def release(self, connection: PooledConnection) -> None:
        """Take a connection back whose session is outside of a transaction."""
        self._in_use.discard(connection)
        if connection.session.is_closed or self.open_count >= self.limit:
            connection.session.close()
            self._wake()
            return
        connection.used_at = self._clock.monotonic()
        self._idle.setdefault(connection.account, []).append(connection)
        self._wake()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection."""
        self._in_use.discard(connection)
        connection.session.close()
        self._wake()

    def trim(self) -> None:
        """Close idle connections that another gateway may need."""
        while self.open_count > self.limit and self._close_oldest_idle():
            pass
        if self._keeps_idle():
            return
        oldest = self._clock.monotonic() - STANDBY_IDLE_S
        for entries in self._idle.values():
            for connection in [entry for entry in entries if entry.used_at < oldest]:
                entries.remove(connection)
                connection.session.close()

    def close(self) -> None:
        """Close all idle connections; those in use are closed when they come back."""
        self._is_closed = True
        for entries in self._idle.values():
            for connection in entries:
                connection.session.close()
        self._idle.clear()

    def _take_idle(self, account: str) -> PooledConnection | None:
        entries = self._idle.get(account, [])
        while entries:
            connection = entries.pop()
            if not connection.session.is_closed:
                self._in_use.add(connection)
                return connection
        return None

    def _close_oldest_idle(self) -> bool:
        idle = [entry for entries in self._idle.values() for entry in entries]
        if not idle:
            return False
        oldest = min(idle, key=lambda entry: entry.used_at)
        self._idle[oldest.account].remove(oldest)
        oldest.session.close()
        self._evicted_at = self._clock.monotonic()
        self._telemetry.count("gateway_connections_evicted")
        return True

    async def _open(self, account: str, timeout_s: float) -> PooledConnection | None:
        """Open a connection; None if the server is full and another may become free here."""
        self._opening += 1
        try:
            session = await self._connector.connect(
                self.server, account=account, timeout_s=min(timeout_s, CONNECT_TIMEOUT_S)
            )
        except ServerRefused as refused:
            if refused.failure is not Failure.CONNECTIONS_EXHAUSTED:
                raise
            await self._note_full(refused)
            return None
        finally:
            self._opening -= 1
        self._telemetry.count("gateway_connections_opened")
        connection = PooledConnection(session=session, account=account)
        self._in_use.add(connection)
        return connection

    async def _note_full(self, refused: ServerRefused) -> None:
        """Stay below what a full server took; raise the refusal if it took nothing from here."""
        if self._clock.monotonic() - self._evicted_at < 2 * CLOSE_SETTLE_S:
            await self._clock.sleep(CLOSE_SETTLE_S)
            return
        taken = self.open_count - self._opening
        self._telemetry.count("gateway_server_full")
        log.info("server_full", server=self.server.id, connections=taken, limit=self._limit())
        if not taken:
            raise refused
        self._full_limit = taken
        self._full_until = self._clock.monotonic() + FULL_S

    async def _wait_for_release(self, end: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, end - self._clock.monotonic())):
                await waiter
        except TimeoutError as error:
            raise ServerRefused(
                server=self.server.id,
                failure=Failure.CONNECTIONS_EXHAUSTED,
                detail=f"all {self.limit} connections are in use",
            ) from error
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


async def apply_session(
    connection: PooledConnection,
    values: tuple[SessionValue, ...],
    prepared: PreparedStatement | None,
) -> None:
    """Give a connection exactly a caller's values and the statement that it executes.

    Values cannot be removed one by one, so a connection with others is reset first. Raise
    ServerLost when a step fails, which leaves the connection unusable.
    """
    session = connection.session
    wanted = {entry.name: entry.value for entry in values}
    if not connection.values.keys() <= wanted.keys():
        _check(session, await session.reset(timeout_s=CONTROL_TIMEOUT_S))
        connection.values.clear()
        connection.prepared.clear()
    for name, value in wanted.items():
        if connection.values.get(name) != value:
            reply = await session.set_value(name, value, timeout_s=CONTROL_TIMEOUT_S)
            _check(session, reply)
            connection.values[name] = value
    if prepared is not None and prepared.name not in connection.prepared:
        _check(session, await session.prepare(prepared, timeout_s=CONTROL_TIMEOUT_S))
        connection.prepared.add(prepared.name)


def _check(session: ServerSession, reply: ServerReply) -> None:
    if isinstance(reply.outcome, Done) and reply.state is not TransactionState.FAILED:
        return
    session.close()
    raise ServerUnreachable(server="", detail=f"session setup failed: {reply.outcome}")
