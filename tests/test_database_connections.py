"""Connections to backend servers, in memory and over TCP: limits, lost answers and faults."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import ExpectedException, TestCase

from lentilring.database.backend import (
    BackendAnswerLost,
    BackendConnector,
    BackendUnreachable,
    ConnectionRefused,
)
from lentilring.database.client import TcpBackendConnector
from lentilring.database.messages import (
    Action,
    AwaitPosition,
    Lead,
    ReportStatus,
    StatementReply,
    StatementStatus,
)
from lentilring.database.wire import (
    BackendHello,
    BackendWelcome,
    ConnectionKind,
    FrameStream,
)
from lentilring.standin.database import DatabaseServer, ServerSettings
from lentilring.standin.database_server import DatabaseListener, TcpReplicationLink
from lentilring.standin.sessions import Silence
from lentilring.telemetry.metrics import Telemetry

from .fakes_database import BackendNetwork, FakeBackends
from .test_database_standin import GET_K, A, ask, put
from .virtual_time import run_virtual

Check = Callable[[BackendConnector, str, DatabaseServer], Awaitable[None]]

# Real time on the loopback interface; only tests that wait for a time-out use the short one.
LONG_S = 20.0
SHORT_S = 0.2


class ConnectorTestCase(TestCase):
    """Run a check against the in-memory connector and against TCP on loopback."""

    def run_on_both(self, check: Check, *, settings: ServerSettings | None = None) -> None:
        run_virtual(self._run_in_memory(check, settings or ServerSettings()))
        asyncio.run(self._run_over_tcp(check, settings or ServerSettings()))

    async def _run_in_memory(self, check: Check, settings: ServerSettings) -> None:
        network = BackendNetwork()
        server = network.add(A, settings=settings)
        server.lead(Lead(term=1, start_position=0))
        await check(FakeBackends(network=network, source="vm-1"), A, server)

    async def _run_over_tcp(self, check: Check, settings: ServerSettings) -> None:
        server = DatabaseServer(name="a", settings=settings)
        server.lead(Lead(term=1, start_position=0))
        listener = DatabaseListener(server=server, address="127.0.0.1:0")
        await listener.start()
        connector = TcpBackendConnector(client="vm-1", telemetry=Telemetry())
        try:
            await check(connector, listener.address, server)
        finally:
            await listener.stop()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LONG_S):
        while not condition():
            await asyncio.sleep(0.005)


class ConnectionTests(ConnectorTestCase):
    def test_statements_and_control_requests_are_answered(self) -> None:
        """Guards against control requests that wait for each other on one connection."""

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            connection = await backends.connect(address, timeout_s=LONG_S)
            written = await connection.execute(ask(Action.WRITE, put(7)), timeout_s=LONG_S)
            reply = await connection.execute(ask(Action.READ, GET_K), timeout_s=LONG_S)
            self.assertEqual((StatementStatus.OK, 1), (written.status, written.position))
            self.assertEqual("7", reply.result)
            control = await backends.connect_control(address, timeout_s=LONG_S)
            waiting, status = await asyncio.gather(
                control.await_position(term=1, position=2, timeout_s=LONG_S),
                self._write_after_status(control, connection),
            )
            self.assertEqual(1, status)
            self.assertEqual((True, 2), (waiting.accepted, waiting.position))
            fenced = await control.fence(term=2, timeout_s=LONG_S)
            self.assertEqual(2, fenced.term)
            refused = await control.follow(
                term=1, primary_address=A, start_position=0, timeout_s=LONG_S
            )
            self.assertFalse(refused.accepted)

        self.run_on_both(check)

    async def _write_after_status(self, control: object, connection: object) -> int:
        """Return the position before a write; the control connection answers out of order."""
        status = await control.report_status(timeout_s=LONG_S)  # type: ignore[attr-defined]
        await connection.execute(ask(Action.WRITE, put(8)), timeout_s=LONG_S)  # type: ignore[attr-defined]
        return status.position

    def test_connection_limit_counts_statement_and_control_connections(self) -> None:
        """Guards against more open connections than a backend server allows."""

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            first = await backends.connect(address, timeout_s=LONG_S)
            await backends.connect_control(address, timeout_s=LONG_S)
            for open_another in (backends.connect, backends.connect_control):
                with ExpectedException(ConnectionRefused):
                    await open_another(address, timeout_s=LONG_S)
            await server.open_session(client="b", kind=ConnectionKind.REPLICATION)
            first.close()
            await until(lambda: server.open_connections == 1)
            await backends.connect(address, timeout_s=LONG_S)
            self.assertEqual(2, server.open_connections)

        self.run_on_both(check, settings=ServerSettings(connection_limit=2))

    def test_concurrent_opens_respect_the_limit(self) -> None:
        """Guards against connections beyond the limit that open at the same time.

        A limit that is checked only before the connect delay would be exceeded after it.
        """

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            opened = await asyncio.gather(
                *(backends.connect(address, timeout_s=LONG_S) for _ in range(5)),
                return_exceptions=True,
            )
            refused = [entry for entry in opened if isinstance(entry, ConnectionRefused)]
            self.assertEqual((3, 2), (len(refused), server.open_connections))

        self.run_on_both(check, settings=ServerSettings(connection_limit=2, connect_delay_s=0.05))

    def test_existing_connections_go_silent_and_new_ones_work(self) -> None:
        """Guards against waiting for ever, or giving a late answer to another request (I9).

        The server goes silent on existing connections and answers on new ones.
        """

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            connection = await backends.connect(address, timeout_s=LONG_S)
            server.silence(Silence.EXISTING)
            with ExpectedException(BackendAnswerLost):
                await connection.execute(ask(Action.READ, GET_K), timeout_s=SHORT_S)
            self.assertFalse(connection.usable)
            with ExpectedException(BackendUnreachable):
                await connection.execute(ask(Action.READ, GET_K), timeout_s=LONG_S)
            renewed = await backends.connect(address, timeout_s=LONG_S)
            reply = await renewed.execute(ask(Action.READ, GET_K), timeout_s=LONG_S)
            self.assertEqual(StatementStatus.OK, reply.status)

        self.run_on_both(check)

    def test_silent_server_accepts_and_never_answers(self) -> None:
        """Guards against waiting for ever on a server that accepts connections but is silent."""

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            connection = await backends.connect(address, timeout_s=LONG_S)
            server.silence(Silence.ALL)
            with ExpectedException(BackendUnreachable):
                await backends.connect(address, timeout_s=SHORT_S)
            with ExpectedException(BackendAnswerLost):
                await connection.execute(ask(Action.WRITE, put(1)), timeout_s=SHORT_S)
            server.silence(Silence.NONE)
            await backends.connect(address, timeout_s=LONG_S)
            self.assertEqual(0, server.log.position)

        self.run_on_both(check)

    def test_late_answer_is_lost_and_the_statement_runs(self) -> None:
        """Guards against reporting that a statement without an answer did not run (I10).

        The answer comes after the caller's time-out; the statement still runs.
        """

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            connection = await backends.connect(address, timeout_s=LONG_S)
            server.settings.statement_time_s = 2 * SHORT_S
            with ExpectedException(BackendAnswerLost):
                await connection.execute(ask(Action.WRITE, put(1)), timeout_s=SHORT_S)
            self.assertFalse(connection.usable)
            await until(lambda: server.log.position == 1)

        self.run_on_both(check)

    def test_answer_dropped_after_the_statement_ran(self) -> None:
        """Guards against reporting that a statement did not run when only its answer was lost."""

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            connection = await backends.connect(address, timeout_s=LONG_S)
            server.faults.lose_next_answers = 1
            with ExpectedException(BackendAnswerLost):
                await connection.execute(ask(Action.WRITE, put(1)), timeout_s=LONG_S)
            self.assertEqual(1, server.log.position)

        self.run_on_both(check)

    def test_refused_dropped_and_busy_connections(self) -> None:
        """Guards against using a connection that is busy or closed, or that was refused."""

        async def check(backends: BackendConnector, address: str, server: DatabaseServer) -> None:
            connection = await backends.connect(address, timeout_s=LONG_S)
            first = asyncio.ensure_future(
                connection.execute(ask(Action.READ, GET_K), timeout_s=LONG_S)
            )
            await asyncio.sleep(0)
            with ExpectedException(BackendUnreachable):
                await connection.execute(ask(Action.READ, GET_K), timeout_s=LONG_S)
            self.assertEqual(StatementStatus.OK, (await first).status)
            server.drop_connections()
            await until(lambda: not connection.usable)
            server.faults.refuse_connections = True
            with ExpectedException(ConnectionRefused):
                await backends.connect(address, timeout_s=LONG_S)

        self.run_on_both(check)


class FakeNetworkTests(TestCase):
    def test_cut_before_and_after_sending(self) -> None:
        """Guards against a fake network that reports a sent statement as not sent (I10).

        The link is cut while the statement runs, and before another connection is opened.
        """

        async def body() -> None:
            network = BackendNetwork()
            server = network.add(A, settings=ServerSettings(statement_time_s=1.0))
            server.lead(Lead(term=1, start_position=0))
            backends = FakeBackends(network=network, source="vm-1")
            connection = await backends.connect(A, timeout_s=LONG_S)
            writing = asyncio.ensure_future(
                connection.execute(ask(Action.WRITE, put(1)), timeout_s=5.0)
            )
            await asyncio.sleep(0.5)
            network.isolate(A, ["vm-1"])
            await asyncio.wait({writing})
            self.assertIsInstance(writing.exception(), BackendAnswerLost)
            self.assertEqual(1, server.log.position)
            outcomes = await asyncio.gather(
                backends.connect(A, timeout_s=1.0), return_exceptions=True
            )
            self.assertIsInstance(outcomes[0], BackendUnreachable)
            network.heal()
            await network.kill(A)
            outcomes = await asyncio.gather(
                backends.connect(A, timeout_s=1.0), return_exceptions=True
            )
            self.assertIsInstance(outcomes[0], BackendUnreachable)

        run_virtual(body())


class TcpTests(TestCase):
    def test_answer_to_another_request_closes_the_connection(self) -> None:
        """Guards against giving one request's answer to another (I9).

        The server answers with a request id that was never sent.
        """

        def answer(stream: FrameStream, request_id: int, request: object) -> None:
            if isinstance(request, BackendHello):
                stream.send(request_id, BackendWelcome(server="a"))
                return
            reply = StatementReply(status=StatementStatus.OK, term=1, position=0, result="1")
            stream.send(request_id + 1, reply)

        async def body() -> None:
            loop = asyncio.get_running_loop()
            listener = await loop.create_server(
                lambda: FrameStream(on_message=answer, on_lost=lambda _: None), "127.0.0.1", 0
            )
            host, port = listener.sockets[0].getsockname()
            telemetry = Telemetry()
            backends = TcpBackendConnector(client="vm-1", telemetry=telemetry)
            connection = await backends.connect(f"{host}:{port}", timeout_s=LONG_S)
            outcome = await asyncio.gather(
                connection.execute(ask(Action.READ, GET_K), timeout_s=LONG_S),
                return_exceptions=True,
            )
            self.assertIsInstance(outcome[0], BackendAnswerLost)
            self.assertIn("connection closed", str(outcome[0]))
            self.assertFalse(connection.usable)
            self.assertEqual(1, telemetry.read("backend_answers_dropped", reason="mismatched"))
            listener.close()

        asyncio.run(body())

    def test_requests_without_hello_or_beside_a_running_one_end_the_connection(self) -> None:
        """Guards against two statements of one connection that run at the same time.

        The server also closes a connection whose first request is not a BackendHello.
        """

        async def body() -> None:
            server = DatabaseServer(name="a", settings=ServerSettings(statement_time_s=LONG_S))
            server.lead(Lead(term=1, start_position=0))
            listener = DatabaseListener(server=server, address="127.0.0.1:0")
            await listener.start()
            host, _, port = listener.address.rpartition(":")
            hello = BackendHello(client="vm-1", kind=ConnectionKind.STATEMENT)
            read = ask(Action.READ, GET_K)
            for requests in ([ReportStatus()], [hello, read, read]):
                lost = asyncio.Event()
                welcomed = asyncio.Event()
                stream = FrameStream(
                    on_message=lambda *_, welcomed=welcomed: welcomed.set(),
                    on_lost=lambda _, lost=lost: lost.set(),
                )
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda stream=stream: stream, host, int(port))
                for number, request in enumerate(requests):
                    stream.send(number, request)
                    if request is hello:
                        await asyncio.wait_for(welcomed.wait(), LONG_S)
                await asyncio.wait_for(lost.wait(), LONG_S)
            await listener.stop()

        asyncio.run(body())

    def test_replication_over_tcp(self) -> None:
        """Guards against a replica that does not get the primary's entries over TCP."""

        async def body() -> None:
            listeners = []
            for name in ("a", "b"):
                telemetry = Telemetry()
                link = TcpReplicationLink(server=name, telemetry=telemetry)
                server = DatabaseServer(name=name, link=link, telemetry=telemetry)
                listeners.append(DatabaseListener(server=server, address="127.0.0.1:0"))
                await listeners[-1].start()
            a, b = (listener.database for listener in listeners)
            backends = TcpBackendConnector(client="vm-1", telemetry=Telemetry())
            first, second = [
                await backends.connect_control(entry.address, timeout_s=LONG_S)
                for entry in listeners
            ]
            await first.lead(term=2, start_position=0, timeout_s=LONG_S)
            await second.follow(
                term=2, primary_address=listeners[0].address, start_position=0, timeout_s=LONG_S
            )
            connection = await backends.connect(listeners[0].address, timeout_s=LONG_S)
            await connection.execute(ask(Action.WRITE, put(1), term=2), timeout_s=LONG_S)
            status = await b.await_position(AwaitPosition(term=2, position=1, wait_s=LONG_S))
            self.assertEqual((True, 1), (status.accepted, status.position))
            self.assertEqual(a.log.entries, b.log.entries)
            for listener in listeners:
                await listener.drain(deadline_s=LONG_S)
                await listener.stop()

        asyncio.run(body())

    def test_drain_lets_running_statements_finish(self) -> None:
        """Guards against a graceful stop that interrupts a running statement (I13)."""

        async def body() -> None:
            server = DatabaseServer(name="a", settings=ServerSettings(statement_time_s=SHORT_S))
            server.lead(Lead(term=1, start_position=0))
            listener = DatabaseListener(server=server, address="127.0.0.1:0")
            await listener.start()
            backends = TcpBackendConnector(client="vm-1", telemetry=Telemetry())
            connection = await backends.connect(listener.address, timeout_s=LONG_S)
            writing = asyncio.ensure_future(
                connection.execute(ask(Action.WRITE, put(1)), timeout_s=LONG_S)
            )
            await until(lambda: bool(server.journal.received))
            await listener.drain(deadline_s=LONG_S)
            await listener.stop()
            self.assertEqual(StatementStatus.OK, (await writing).status)

        asyncio.run(body())
