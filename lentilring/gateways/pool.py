"""Pool of connections to one backend server, kept by client account."""

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

# A handshake waits for a slot, which takes about 0.2 s with a full queue.
CONNECT_TIMEOUT_S = 0.5
# Statements that need no slot are answered within a round trip.
CONTROL_TIMEOUT_S = 1.0
# The server still counts a closed connection until the close reaches it.
CLOSE_DELAY_S = 0.05
# A gateway that is not the first choice for a server closes connections idle for this long. Eight
# such gateways with two idle connections each kept a server that allows 16 permanently full
# (khaima-ops inc-3ba6).
STANDBY_IDLE_S = 1.0
# How long the pool opens no more connections than it had when the server refused one as full: the
# others belong to other users.
FULL_LIMIT_S = 1.0

log = Log(source="gateway")


@dataclass(kw_only=True, eq=False)
class PooledConnection:
    """Hold a session on a server, and the values and prepared statements that were set on it."""

    session: ServerSession
    account: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    last_used_at: float = 0.0


class ConnectionPool:
    """Open, keep and close connections within a limit."""

    def __init__(
        self,
        *,
        server: ServerEntry,
        connector: ServerConnector,
        limit: Callable[[], int],
        keeps_idle: Callable[[], bool],
        clock: Clock,
        telemetry: Telemetry,
        on_full: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_full = on_full
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
        """Return how many connections are open or being opened."""
        idle = sum(len(entries) for entries in self._idle.values())
        return idle + len(self._in_use) + self._opening

    async def acquire(self, account: str, *, timeout_s: float) -> PooledConnection:
        """Return a connection of an account; raise ServerUnreachable or ServerRefused."""
        deadline = self._clock.monotonic() + timeout_s
        while True:
            idle = self._acquire_idle(account)
            if idle is not None:
                return idle
            if self.open_count < self.limit or self._close_oldest_idle():
                opened = await self._open(account, max(0.001, deadline - self._clock.monotonic()))
                if opened is not None:
                    return opened
            else:
                await self._wait_for_release(deadline)

    def release(self, connection: PooledConnection) -> None:
        """Take back a connection whose session is outside of a transaction."""
        self._in_use.discard(connection)
        if connection.session.is_closed or self.open_count >= self.limit:
            connection.session.close()
            self._wake_waiter()
            return
        connection.last_used_at = self._clock.monotonic()
        self._idle.setdefault(connection.account, []).append(connection)
        self._wake_waiter()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection."""
        self._in_use.discard(connection)
        connection.session.close()
        self._wake_waiter()

    def trim(self) -> None:
        """Close idle connections that another gateway may need."""
        while self.open_count > self.limit and self._close_oldest_idle():
            pass
        if self._keeps_idle():
            return
        oldest = self._clock.monotonic() - STANDBY_IDLE_S
        for entries in self._idle.values():
            for connection in [entry for entry in entries if entry.last_used_at < oldest]:
                entries.remove(connection)
                connection.session.close()

    def close(self) -> None:
        """Close all idle connections; those in use are closed when they are released."""
        self._is_closed = True
        for entries in self._idle.values():
            for connection in entries:
                connection.session.close()
        self._idle.clear()

    def _acquire_idle(self, account: str) -> PooledConnection | None:
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
        oldest = min(idle, key=lambda entry: entry.last_used_at)
        self._idle[oldest.account].remove(oldest)
        oldest.session.close()
        self._evicted_at = self._clock.monotonic()
        self._telemetry.count("gateway_connections_evicted")
        return True

    async def _open(self, account: str, timeout_s: float) -> PooledConnection | None:
        """Open a connection; None if the server is full and one of this pool may become free."""
        self._opening += 1
        try:
            session = await self._connector.connect(
                self.server, account=account, timeout_s=min(timeout_s, CONNECT_TIMEOUT_S)
            )
        except ServerRefused as refused:
            if refused.failure is not Failure.CONNECTIONS_EXHAUSTED:
                raise
            await self._handle_full_server(refused)
            return None
        finally:
            self._opening -= 1
        self._telemetry.count("gateway_connections_opened")
        connection = PooledConnection(session=session, account=account)
        self._in_use.add(connection)
        return connection

    async def _handle_full_server(self, refused: ServerRefused) -> None:
        """Limit the pool to the connections that it has, as a full server accepts no more.

        Raise the refusal if the pool has none.
        """
        if self._clock.monotonic() - self._evicted_at < 2 * CLOSE_DELAY_S:
            await self._clock.sleep(CLOSE_DELAY_S)
            return
        open_connections = self.open_count - self._opening
        self._telemetry.count("gateway_server_full")
        self._on_full()
        log.info(
            "server_full", server=self.server.id, connections=open_connections, limit=self._limit()
        )
        if not open_connections:
            raise refused
        self._full_limit = open_connections
        self._full_until = self._clock.monotonic() + FULL_LIMIT_S

    async def _wait_for_release(self, deadline: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.monotonic())):
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

    def _wake_waiter(self) -> None:
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
    """Set exactly a caller's values on a connection and prepare the statement that it executes.

    Values cannot be removed one by one, so a connection with other values is reset first. Raise
    ServerLost or ServerUnreachable when a step fails; the connection is then unusable.
    """
    session = connection.session
    wanted = {entry.name: entry.value for entry in values}
    if not connection.values.keys() <= wanted.keys():
        _require_success(session, await session.reset(timeout_s=CONTROL_TIMEOUT_S))
        connection.values.clear()
        connection.prepared.clear()
    for name, value in wanted.items():
        if connection.values.get(name) != value:
            reply = await session.set_value(name, value, timeout_s=CONTROL_TIMEOUT_S)
            _require_success(session, reply)
            connection.values[name] = value
    if prepared is not None and prepared.name not in connection.prepared:
        _require_success(session, await session.prepare(prepared, timeout_s=CONTROL_TIMEOUT_S))
        connection.prepared.add(prepared.name)


def _require_success(session: ServerSession, reply: ServerReply) -> None:
    if isinstance(reply.outcome, Done) and reply.state is not TransactionState.FAILED:
        return
    session.close()
    raise ServerUnreachable(server="", detail=f"session setup failed: {reply.outcome}")
