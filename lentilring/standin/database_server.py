"""The backend server stand-in over TCP."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..database.backend import BackendAnswerLost, BackendUnreachable, ConnectionRefused
from ..database.client import BackendChannel
from ..database.wire import (
    BackendHello,
    BackendRefusal,
    BackendWelcome,
    ConnectionKind,
    FrameStream,
)
from ..kernel import Service
from ..peers.frames import FrameTooLarge
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .database import DatabaseServer
from .messages import PulledEntries, PullEntries
from .sessions import DatabaseSession, NoAnswer

BACKLOG = 512

log = Log(source="standin.database_server")


class TcpReplicationLink:
    """Carry the pulls of one server; connects again after each failure."""

    def __init__(self, *, server: str, telemetry: Telemetry) -> None:
        self._server = server
        self._telemetry = telemetry
        self._channels: dict[str, BackendChannel] = {}

    async def pull(self, address: str, request: PullEntries, *, timeout_s: float) -> PulledEntries:
        """Return entries; raise BackendUnreachable or BackendAnswerLost."""
        channel = self._channels.get(address)
        if channel is None or not channel.is_open:
            channel = await self._open(address, timeout_s)
        try:
            return await channel.call(request, PulledEntries, timeout_s=timeout_s)
        except BackendAnswerLost:
            channel.close()
            raise

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()

    async def _open(self, address: str, timeout_s: float) -> BackendChannel:
        channel = BackendChannel(
            address=address, kind=ConnectionKind.REPLICATION, telemetry=self._telemetry
        )
        try:
            await channel.open(client=self._server, timeout_s=timeout_s)
        except ConnectionRefused as error:
            raise BackendUnreachable(address=address, detail=error.detail) from error
        self._channels[address] = channel
        return channel


class DatabaseListener(Service):
    """Accept connections for a database server; `address` is `ip:port`, port 0 takes a free one."""

    def __init__(self, *, server: DatabaseServer, address: str) -> None:
        self.database = server
        self.address = address
        self._listener: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()

    async def start(self) -> None:
        """Listen and begin to replicate."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._accept, host, int(port), backlog=BACKLOG)
        bound = self._listener.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        await self.database.start()
        log.info("listening", server=self.database.name, address=self.address)

    async def drain(self, *, deadline_s: float) -> None:
        """Stop accepting and let running statements finish."""
        if self._listener is not None:
            self._listener.close()
        running = [task for entry in self._connections for task in entry.running_statements()]
        if running:
            await asyncio.wait(running, timeout=deadline_s)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        await self.database.stop()
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> FrameStream:
        connection = ServerConnection(server=self.database, on_end=self._connections.discard)
        self._connections.add(connection)
        return connection.stream


class ServerConnection:
    """Serve one client: the hello, then requests."""

    def __init__(
        self, *, server: DatabaseServer, on_end: Callable[["ServerConnection"], None]
    ) -> None:
        self.stream = FrameStream(on_message=self._receive_request, on_lost=self._end)
        self._server = server
        self._on_end = on_end
        self._session: DatabaseSession | None = None
        self._greeted = False
        self._tasks: set[asyncio.Task[None]] = set()

    def running_statements(self) -> set[asyncio.Task[None]]:
        """Return the tasks of requests that have no answer yet on a statement connection."""
        is_statement = self._session and self._session.kind is ConnectionKind.STATEMENT
        return set(self._tasks) if is_statement else set()

    def close(self) -> None:
        """Close the connection after the answers that were sent."""
        self.stream.close()

    def _receive_request(self, stream: FrameStream, request_id: int, request: object) -> None:
        if not self._greeted and isinstance(request, BackendHello):
            self._greeted = True
            self._start_task(self._greet(request_id, request))
            return
        session = self._session
        if session is None:
            self._abort("no_hello")
        elif session.kind is ConnectionKind.STATEMENT and self._tasks:
            self._abort("pipelined")
        else:
            self._start_task(self._answer(session, request_id, request))

    def _start_task(self, answering: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(answering)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _greet(self, request_id: int, hello: BackendHello) -> None:
        try:
            session = await self._server.open_session(client=hello.client, kind=hello.kind)
        except ConnectionRefused as error:
            self.stream.send(request_id, BackendRefusal(detail=error.detail))
            self.stream.close()
            return
        except NoAnswer:
            return
        if not self.stream.is_open:
            session.close()
            return
        self._session = session
        session.on_close(self.stream.close)
        self.stream.send(request_id, BackendWelcome(server=self._server.name))

    async def _answer(self, session: DatabaseSession, request_id: int, request: object) -> None:
        try:
            answer = await self._server.handle(session, request)
        except NoAnswer:
            return
        if not self.stream.is_open:
            return
        try:
            self.stream.send(request_id, answer)
        except FrameTooLarge:
            self._abort("answer_too_large")

    def _abort(self, reason: str) -> None:
        self._server.telemetry.count("standin_connections_aborted", reason=reason)
        log.warning("connection_aborted", server=self._server.name, reason=reason)
        self.stream.abort()

    def _end(self, _: FrameStream) -> None:
        if self._session is not None:
            self._session.close()
        self._on_end(self)
