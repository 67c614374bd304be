"""Pool of connections to one backend server, kept by client account."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..catalog.model import ServerEntry
from ..clock import SuspensionClock
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
    SessionSetupFailed,
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
    # On the boot clock; the server has run at least since then.
    opened_at: float
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    last_used_at: float = 0.0


@dataclass(kw_only=True, eq=False)
class ConnectionGrant:
    """Hold the right to a connection: an idle one, or to open one. It is used once."""

    account: str
    connection: PooledConnection | None
    is_spent: bool = False


class ConnectionPool:
    """Open, keep and close connections within a limit."""

    def __init__(
        self,
        *,
        server: ServerEntry,
        connector: ServerConnector,
        limit: Callable[[], int],
        keeps_idle: Callable[[], bool],
        clock: SuspensionClock,
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
        self._waiters: deque[tuple[str, int, asyncio.Future[ConnectionGrant]]] = deque()
        # Called whenever a connection may have become available.
        self.on_available: Callable[[], None] = _ignore

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

    @property
    def is_available(self) -> bool:
        """Tell whether a connection can be granted now; a closed pool grants and then fails."""
        return self._is_closed or any(self._idle.values()) or self.open_count < self.limit

    def _has_room(self, beyond_limit: int) -> bool:
        is_known_full = self._clock.monotonic() < self._full_until
        allowed = self.limit + (0 if is_known_full else beyond_limit)
        return self.is_available or self.open_count < allowed

    def grant(self, account: str) -> ConnectionGrant:
        """Give the right to a connection of an account; only while `is_available`."""
        connection = self._acquire_idle(account)
        if connection is None:
            if self.open_count >= self.limit:
                self._close_oldest_idle()
            self._opening += 1
        return ConnectionGrant(account=account, connection=connection)

    def give_back(self, grant: ConnectionGrant) -> None:
        """Take back a grant that is not used; a spent one is ignored."""
        if grant.is_spent:
            return
        grant.is_spent = True
        if grant.connection is not None:
            self.release(grant.connection)
            return
        self._opening -= 1
        self._notify()

    async def open(self, grant: ConnectionGrant, *, timeout_s: float) -> PooledConnection | None:
        """Return the connection of a grant; raise ServerUnreachable or ServerRefused.

        Return None if the server is full. If the grant is not spent then, the server may take a
        connection after CLOSE_DELAY_S; otherwise one of this pool may become free.
        """
        connection = grant.connection
        if connection is None or connection.session.is_closed:
            return await self._open_new(grant, timeout_s)
        grant.is_spent = True
        return connection

    async def acquire(
        self, account: str, *, timeout_s: float, beyond_limit: int = 0
    ) -> PooledConnection:
        """Return a connection of an account; raise ServerUnreachable or ServerRefused.

        `beyond_limit` connections more than the limit allows may be open for it.
        """
        deadline = self._clock.monotonic() + timeout_s
        while True:
            if self._has_room(beyond_limit) and not self._waiters:
                grant = self.grant(account)
            else:
                grant = await self._wait_for_grant(account, deadline, beyond_limit)
            try:
                while not grant.is_spent:
                    remaining_s = max(0.001, deadline - self._clock.monotonic())
                    connection = await self.open(grant, timeout_s=remaining_s)
                    if connection is not None:
                        return connection
                    if not grant.is_spent:
                        await self._clock.sleep(CLOSE_DELAY_S)
            finally:
                self.give_back(grant)

    def release(self, connection: PooledConnection) -> None:
        """Take back a connection whose session is outside of a transaction."""
        self._in_use.discard(connection)
        if connection.session.is_closed or self.open_count >= self.limit:
            connection.session.close()
            self._notify()
            return
        connection.last_used_at = self._clock.monotonic()
        self._idle.setdefault(connection.account, []).append(connection)
        self._notify()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection."""
        self._in_use.discard(connection)
        connection.session.close()
        self._notify()

    def trim(self) -> None:
        """Close idle connections that another gateway may need."""
        while self.open_count > self.limit and self._close_oldest_idle():
            pass
        if not self._keeps_idle():
            self._close_unused()
        # The limit may have risen.
        self._notify()

    def close(self) -> None:
        """Close all idle connections; those in use are closed when they are released."""
        self._is_closed = True
        for entries in self._idle.values():
            for connection in entries:
                connection.session.close()
        self._idle.clear()
        self._notify()

    def _close_unused(self) -> None:
        oldest = self._clock.monotonic() - STANDBY_IDLE_S
        for entries in self._idle.values():
            for connection in [entry for entry in entries if entry.last_used_at < oldest]:
                entries.remove(connection)
                connection.session.close()

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

    async def _open_new(self, grant: ConnectionGrant, timeout_s: float) -> PooledConnection | None:
        if self._is_closed:
            raise ServerUnreachable(server=self.server.id, detail="the server was replaced")
        if grant.connection is not None:
            self._in_use.discard(grant.connection)
            grant.connection = None
            self._opening += 1
        try:
            session = await self._connector.connect(
                self.server, account=grant.account, timeout_s=min(timeout_s, CONNECT_TIMEOUT_S)
            )
        except ServerRefused as refused:
            if refused.failure is not Failure.CONNECTIONS_EXHAUSTED:
                raise
            self._handle_full_server(grant, refused)
            return None
        self._telemetry.count("gateway_connections_opened")
        grant.is_spent = True
        self._opening -= 1
        connection = PooledConnection(
            session=session, account=grant.account, opened_at=self._clock.boottime()
        )
        self._in_use.add(connection)
        return connection

    def _handle_full_server(self, grant: ConnectionGrant, refused: ServerRefused) -> None:
        """Limit the pool to the connections that it has, as a full server accepts no more.

        Raise the refusal if the pool has none.
        """
        if self._clock.monotonic() - self._evicted_at < 2 * CLOSE_DELAY_S:
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
        asyncio.get_running_loop().call_later(FULL_LIMIT_S, self._notify)
        self.give_back(grant)

    async def _wait_for_grant(
        self, account: str, deadline: float, beyond_limit: int
    ) -> ConnectionGrant:
        granted: asyncio.Future[ConnectionGrant] = asyncio.get_running_loop().create_future()
        waiter = (account, beyond_limit, granted)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.monotonic())):
                return await granted
        except BaseException as error:
            if granted.done() and not granted.cancelled():
                self.give_back(granted.result())
            if isinstance(error, TimeoutError):
                raise self.build_refusal() from error
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def build_refusal(self) -> ServerRefused:
        """Return the refusal of a statement that got no connection."""
        return ServerRefused(
            server=self.server.id,
            failure=Failure.CONNECTIONS_EXHAUSTED,
            detail=f"all {self.limit} connections are in use",
        )

    def _notify(self) -> None:
        """Grant connections to waiting proofs, then let statements take the others."""
        while self._waiters and self._has_room(self._waiters[0][1]):
            account, _, granted = self._waiters.popleft()
            if not granted.done():
                granted.set_result(self.grant(account))
        self.on_available()


def _ignore() -> None:
    """Do nothing; used until a queue is registered."""


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
    raise SessionSetupFailed(server="", detail=f"session setup failed: {reply.outcome}")
