"""Connections to in-memory backend servers on virtual time; faults are set by the tests."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from lentilring.database.backend import BackendAnswerLost, BackendUnreachable, ConnectionRefused
from lentilring.database.messages import (
    AwaitPosition,
    Fence,
    Follow,
    Lead,
    ReportStatus,
    ServerStatus,
    StatementReply,
    StatementRequest,
)
from lentilring.database.wire import ConnectionKind
from lentilring.standin.database import DatabaseServer, ServerSettings
from lentilring.standin.messages import PulledEntries, PullEntries
from lentilring.standin.sessions import DatabaseSession, NoAnswer


@dataclass(kw_only=True)
class BackendNetwork:
    """Connect clients and servers; `cut` holds the (source, server address) pairs that fail.

    A source is the name of a client: a VM, or the address of a server that replicates from
    another. A killed server is unreachable; it keeps its log and term, as one with a disk does.
    """

    delay_s: float = 0.001
    servers: dict[str, DatabaseServer] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)
    killed: set[str] = field(default_factory=set)

    def add(
        self, address: str, *, settings: ServerSettings | None = None, **options: Any
    ) -> DatabaseServer:
        """Create a server without starting it; `options` are passed to DatabaseServer."""
        options.setdefault("name", address)
        server = DatabaseServer(
            settings=settings, link=FakeLink(network=self, source=address), **options
        )
        self.servers[address] = server
        return server

    async def add_group(
        self, addresses: list[str], *, settings: ServerSettings | None = None, term: int = 1
    ) -> list[DatabaseServer]:
        """Create and start the servers of a group; the first address is the primary."""
        lead = Lead(term=term, start_position=0, replica_addresses=tuple(addresses[1:]))
        follow = Follow(term=term, primary_address=addresses[0], start_position=0)
        servers = []
        for address in addresses:
            copied_settings = ServerSettings(**vars(settings)) if settings else None
            servers.append(self.add(address, settings=copied_settings))
            await servers[-1].start()
            if address == addresses[0]:
                servers[-1].lead(lead)
            else:
                servers[-1].follow(follow)
        return servers

    def isolate(self, address: str, sources: list[str]) -> None:
        """Cut the links between a server and some sources and all other servers, both ways."""
        for other in [*sources, *self.servers]:
            self.cut |= {(other, address), (address, other)}

    def heal(self) -> None:
        """Restore all links; connections that were cut off stay open."""
        self.cut.clear()

    async def kill(self, address: str) -> None:
        """Stop a server and reset its connections."""
        self.killed.add(address)
        await self.servers[address].stop()

    async def restart(self, address: str) -> None:
        """Start a killed server with its log and term."""
        self.killed.discard(address)
        await self.servers[address].start()

    def reaches(self, source: str, address: str) -> bool:
        """Tell whether a message from a source reaches an address."""
        return address in self.servers and (source, address) not in self.cut

    async def open(
        self, source: str, address: str, kind: ConnectionKind, timeout_s: float
    ) -> DatabaseSession:
        """Open a session; raise BackendUnreachable or ConnectionRefused."""
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(2 * self.delay_s)
                if address in self.killed:
                    raise BackendUnreachable(address=address, detail="refused")
                if not self.reaches(source, address):
                    await asyncio.Event().wait()
                return await self.servers[address].open_session(client=source, kind=kind)
        except ConnectionRefused as error:
            raise ConnectionRefused(address=address, detail=error.detail) from error
        except NoAnswer as error:
            await asyncio.sleep(timeout_s)
            raise BackendUnreachable(address=address, detail="silent") from error
        except TimeoutError as error:
            raise BackendUnreachable(address=address, detail="timed out") from error

    async def call(
        self, session: DatabaseSession, address: str, request: object, timeout_s: float
    ) -> Any:
        """Send a request; it keeps running on the server after the caller has given up."""
        if session.closed.is_set():
            raise BackendUnreachable(address=address, detail="closed")
        answer = asyncio.ensure_future(self._deliver(session, address, request))
        closing = asyncio.ensure_future(session.closed.wait())
        answer.add_done_callback(_ignore_failure)
        try:
            done, _ = await asyncio.wait(
                {answer, closing}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            closing.cancel()
        if answer not in done:
            detail = "connection reset" if session.closed.is_set() else "timed out"
            raise BackendAnswerLost(address=address, detail=detail)
        return answer.result()

    async def _deliver(self, session: DatabaseSession, address: str, request: object) -> object:
        await asyncio.sleep(self.delay_s)
        if not self.reaches(session.client, address) or address in self.killed:
            await asyncio.Event().wait()
        try:
            answer = await self.servers[address].handle(session, request)
        except NoAnswer:
            return await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        if (address, session.client) in self.cut or address in self.killed:
            await asyncio.Event().wait()
        return answer


class FakeBackends:
    """Open connections from one source, the name of a VM."""

    def __init__(self, *, network: BackendNetwork, source: str) -> None:
        self.network = network
        self.source = source

    async def connect(self, address: str, *, timeout_s: float) -> "FakeConnection":
        session = await self.network.open(self.source, address, ConnectionKind.STATEMENT, timeout_s)
        return FakeConnection(network=self.network, address=address, session=session)

    async def connect_control(self, address: str, *, timeout_s: float) -> "FakeControl":
        session = await self.network.open(self.source, address, ConnectionKind.CONTROL, timeout_s)
        return FakeControl(network=self.network, address=address, session=session)


class FakeConnection:
    """Run one statement at a time on a server; closed after a lost answer."""

    def __init__(self, *, network: BackendNetwork, address: str, session: DatabaseSession) -> None:
        self.network = network
        self.address = address
        self.session = session
        self._busy = False

    @property
    def usable(self) -> bool:
        return not self.session.closed.is_set()

    async def execute(self, request: StatementRequest, *, timeout_s: float) -> StatementReply:
        if self._busy:
            raise BackendUnreachable(address=self.address, detail="connection is busy")
        self._busy = True
        try:
            return await self.network.call(self.session, self.address, request, timeout_s)
        except (BackendAnswerLost, asyncio.CancelledError):
            self.close()
            raise
        finally:
            self._busy = False

    def close(self) -> None:
        self.session.close()


class FakeControl:
    """Send control requests, several at a time."""

    def __init__(self, *, network: BackendNetwork, address: str, session: DatabaseSession) -> None:
        self.network = network
        self.address = address
        self.session = session

    async def report_status(self, *, timeout_s: float) -> ServerStatus:
        return await self._call(ReportStatus(), timeout_s)

    async def fence(self, *, term: int, timeout_s: float) -> ServerStatus:
        return await self._call(Fence(term=term), timeout_s)

    async def lead(
        self,
        *,
        term: int,
        start_position: int,
        replica_addresses: tuple[str, ...] = (),
        timeout_s: float,
    ) -> ServerStatus:
        request = Lead(
            term=term, start_position=start_position, replica_addresses=replica_addresses
        )
        return await self._call(request, timeout_s)

    async def follow(
        self, *, term: int, primary_address: str, start_position: int, timeout_s: float
    ) -> ServerStatus:
        request = Follow(term=term, primary_address=primary_address, start_position=start_position)
        return await self._call(request, timeout_s)

    async def await_position(self, *, term: int, position: int, timeout_s: float) -> ServerStatus:
        # The server must answer before the caller's time-out.
        wait_s = max(0.0, timeout_s - 4 * self.network.delay_s)
        return await self._call(
            AwaitPosition(term=term, position=position, wait_s=wait_s), timeout_s
        )

    async def _call(self, request: object, timeout_s: float) -> ServerStatus:
        return await self.network.call(self.session, self.address, request, timeout_s)

    def close(self) -> None:
        self.session.close()


class FakeLink:
    """Send one server's replication requests; opens a new session after each failure."""

    def __init__(self, *, network: BackendNetwork, source: str) -> None:
        self.network = network
        self.source = source
        self._sessions: dict[str, DatabaseSession] = {}

    async def pull(self, address: str, request: PullEntries, *, timeout_s: float) -> PulledEntries:
        session = self._sessions.get(address)
        if session is None or session.closed.is_set():
            session = await self.network.open(
                self.source, address, ConnectionKind.REPLICATION, timeout_s
            )
            self._sessions[address] = session
        try:
            return await self.network.call(session, address, request, timeout_s)
        except BackendAnswerLost:
            session.close()
            raise

    def close(self) -> None:
        for session in self._sessions.values():
            session.close()


def _ignore_failure(answer: "asyncio.Future[object]") -> None:
    """Read the outcome, so that asyncio logs no error for an answer that nobody awaits."""
    if not answer.cancelled():
        answer.exception()
