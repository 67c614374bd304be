"""The listener for callers' sessions: answers messages in order and drains sessions at shutdown."""

import asyncio
import os
import socket
import sys
import traceback
from collections.abc import Callable
from typing import Protocol

from ..byte_budget import BudgetHolder, ByteBudget, hold_bytes
from ..gateways.stopping import STOPPED
from ..kernel import Service
from ..statements.model import (
    ClientMessage,
    CloseSession,
    Deallocate,
    Failed,
    Failure,
    OpenSession,
    Position,
    Prepare,
    Query,
    SetValue,
    StatementOutcome,
    TransactionState,
    UnreadableMessage,
)
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .client_limits import (
    ClientLimit,
    ClientLimits,
    ClientWait,
    choose_for_room,
    choose_overdue,
)
from .context import SessionContext
from .reading import READ_LIMIT_BYTES, MessageReader, MessageTooLong, ReceivingProtocol
from .router import STOPPING, STOPPING_DETAIL, StatementRouter
from .session import PreparedNameRewriter, Session

# A connection is closed when its remote end stops acknowledging data or keep-alive probes.
USER_TIMEOUT_MS = 5000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
# A new session's first statement is usually sent as soon as the caller learns that it is open.
FIRST_STATEMENT_TIMEOUT_S = 0.5
# Callers that were asked to leave close their connection within a round trip.
LEAVE_TIMEOUT_S = 0.5
BACKLOG = 1024
# Limits the descriptors of connections that are about to be refused.
ACCEPTS_PER_PASS = 8
# How often connections are checked for messages and sessions that take too long.
CHECK_INTERVAL_S = 0.5
# While a statement runs, its bytes are in the request to the gateway, in the frame around it and in
# the buffer of the connection that carries the frame.
RUNNING_COPIES = 3
# Statements that still run at the end of a stop are given up and answered in this time.
LAST_ANSWERS_TIMEOUT_S = 0.3
ERROR_DETAIL = "internal error"
# Innermost calls that the log shows of an unexpected error.
TRACE_DEPTH = 4

log = Log(source="sessions")


class SessionCodec(PreparedNameRewriter, Protocol):
    """Translate between bytes and messages."""

    max_line_bytes: int
    line_end: bytes

    def decode(self, line: bytes) -> ClientMessage:
        """Return the message in a line, which is passed without its line end."""
        ...

    def encode_ready(self, state: TransactionState, position: Position | None) -> bytes:
        """Return the message that announces that the next statement may be sent."""
        ...

    def encode_outcome(self, outcome: StatementOutcome, state: TransactionState) -> bytes:
        """Return the answer to a statement."""
        ...

    def encode_failure(self, failed: Failed) -> bytes:
        """Return the message of a failure without the announcement of the next statement."""
        ...


class SessionListener(Service):
    """Serve callers' sessions on one address."""

    def __init__(
        self,
        *,
        address: str,
        codec: SessionCodec,
        router: StatementRouter,
        telemetry: Telemetry,
        limits: ClientLimits,
        budget: ByteBudget[BudgetHolder],
        transaction_idle_s: Callable[[], float],
    ) -> None:
        self._address, self._codec, self._router = address, codec, router
        self._telemetry, self._limits, self._budget = telemetry, limits, budget
        self._transaction_idle_s = transaction_idle_s
        self._server: asyncio.Server | None = None
        self._connections: set[SessionConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._check_timer: asyncio.TimerHandle | None = None
        # Connections that were refused since the last check, for one line in the log.
        self._rejected = 0
        self._is_draining = False
        self._is_stopping = False

    @property
    def session_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self._address.rpartition(":")
        # asyncio accepts up to its backlog in one pass.
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, int(port), backlog=ACCEPTS_PER_PASS
        )
        for listening in self._server.sockets:
            with listening.dup() as duplicate:
                duplicate.listen(BACKLOG)
        self._telemetry.observe("sessions", "1", lambda: len(self._connections))
        self._telemetry.observe("connection_bytes", "By", lambda: self._budget.total_bytes)
        self._check_later()
        log.info("listening", address=self._address)

    async def stop(self) -> None:
        """Close the listener, answer every statement that was read, and close all connections."""
        self._is_stopping = True
        self._router.begin_stop(STOPPED)
        if self._server is not None:
            self._server.close()
        if self._check_timer is not None:
            self._check_timer.cancel()
        for connection in list(self._connections):
            connection.end()
        await self._wait_for_last_answers()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin_drain(self) -> None:
        """Mark in the log what ends from now on as part of a planned stop."""
        self._is_draining = True
        for connection in self._connections:
            connection.is_draining = True

    def end_idle(self, *, share: float = 1.0) -> int:
        """Ask the callers of a share of the idle sessions to leave; return how many were idle."""
        idle = [entry for entry in self._connections if entry.is_idle]
        for connection in idle[: int(len(idle) * share + 0.999)]:
            connection.announce_end()
        for connection in self._connections:
            connection.close_if_ignored()
        return len(idle)

    def count_busy(self) -> int:
        """Return the number of connections with a running statement or an open transaction."""
        return sum(not entry.is_idle for entry in self._connections)

    async def _wait_for_last_answers(self) -> None:
        """Wait a limited time for all connections, also for those accepted meanwhile."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LAST_ANSWERS_TIMEOUT_S
        while self._tasks and loop.time() < deadline:
            await asyncio.wait(self._tasks, timeout=deadline - loop.time())

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(CHECK_INTERVAL_S, self._close_overdue)

    def _close_overdue(self) -> None:
        """Close the connections whose clients have taken too long."""
        for connection, limit in choose_overdue(self._list_waits(), self._limits):
            connection.close_for(limit)
        if self._rejected:
            log.warning(
                "sessions_rejected", count=self._rejected, max_sessions=self._limits.max_sessions
            )
            self._rejected = 0
        self._check_later()

    def _list_waits(self) -> list[ClientWait["SessionConnection"]]:
        now = asyncio.get_running_loop().time()
        return [connection.describe_wait(now) for connection in self._connections]

    def _make_room(self) -> bool:
        """Close a connection for a new one if one keeps its place without using it."""
        connection = choose_for_room(self._list_waits(), self._limits)
        if connection is None:
            return False
        connection.close_for(ClientLimit.MAX_SESSIONS)
        return True

    def _forget(self, connection: "SessionConnection") -> None:
        """Let others take the place and the bytes of a connection that is being closed."""
        self._connections.discard(connection)
        self._budget.release(connection)

    def _account(self, connection: "SessionConnection") -> None:
        """Count what a connection holds; close those that hold most when it is too much."""
        if not connection.is_closed:
            hold_bytes(self._budget, connection, connection.held_bytes)

    def _make_protocol(self) -> ReceivingProtocol:
        reader = asyncio.StreamReader(limit=READ_LIMIT_BYTES)
        return ReceivingProtocol(reader, self._accept)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._connections) >= self._limits.max_sessions and not self._make_room():
            self._telemetry.count("sessions_rejected", reason="too_many")
            self._rejected += 1
            writer.close()
            return
        _set_socket_options(writer.get_extra_info("socket"))
        connection = SessionConnection(
            reader=reader,
            writer=writer,
            codec=self._codec,
            router=self._router,
            telemetry=self._telemetry,
            answer_timeout_s=self._limits.answer_timeout_s,
            transaction_idle_s=self._transaction_idle_s(),
            account=self._account,
            on_closing=self._forget,
        )
        connection.is_draining = self._is_draining
        self._connections.add(connection)
        self._tasks.add(task)
        if self._is_stopping:
            connection.end()
        try:
            await connection.serve()
        finally:
            self._budget.release(connection)
            self._connections.discard(connection)
            self._tasks.discard(task)


class SessionConnection:
    """Read one caller's messages and write the answers."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: SessionCodec,
        router: StatementRouter,
        telemetry: Telemetry,
        answer_timeout_s: float,
        transaction_idle_s: float,
        account: Callable[["SessionConnection"], None],
        on_closing: Callable[["SessionConnection"], None],
    ) -> None:
        self._reader, self._writer, self._codec = reader, writer, codec
        # drain() then waits for the whole answer, which the end of the process would cut otherwise.
        writer.transport.set_write_buffer_limits(high=0)
        protocol = writer.transport.get_protocol()
        assert isinstance(protocol, ReceivingProtocol)
        self._protocol = protocol
        protocol.on_received = self._note_received
        self._messages = MessageReader(
            reader=reader,
            transport=writer.transport,  # type: ignore[arg-type]
            line_end=codec.line_end,
            max_bytes=codec.max_line_bytes,
        )
        self._telemetry, self._account, self._on_closing = telemetry, account, on_closing
        self._answer_timeout_s = answer_timeout_s
        self._router, self._transaction_idle_s = router, transaction_idle_s
        self._session: Session | None = None
        self._accepted_at = asyncio.get_running_loop().time()
        self._running_bytes = self._session_bytes = 0
        # Set when the connection is closed because its client met a limit.
        self._met_limit: ClientLimit | None = None
        self._is_ending = False
        # Until this time on the event loop's clock, the first statement is expected.
        self._expects_statement_until = 0.0
        self._running: asyncio.Task[None] | None = None
        # The newest statement until its answer has been passed to the operating system.
        self._unanswered: Query | None = None
        # When the caller was asked to leave, on the event loop's clock.
        self._end_announced_at: float | None = None
        self.is_draining = False

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is running or expected, no transaction open and no end announced."""
        return (
            self._is_between_operations
            and self._end_announced_at is None
            and asyncio.get_running_loop().time() >= self._expects_statement_until
        )

    @property
    def _is_between_operations(self) -> bool:
        session = self._session
        return (
            self._messages.is_reading
            and session is not None
            and session.state is TransactionState.IDLE
            and not self._has_unread_data
        )

    @property
    def _has_unread_data(self) -> bool:
        """Tell whether bytes have arrived, also if the event loop has not read them yet."""
        return bool(self._messages.held_bytes) or _holds_received_bytes(
            self._writer.get_extra_info("socket")
        )

    @property
    def held_bytes(self) -> int:
        """Return the bytes of received messages, the running one, the session and its answers."""
        return (
            self._messages.held_bytes
            + self._running_bytes
            + self._session_bytes
            + self._writer.transport.get_write_buffer_size()
        )

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection is being closed because of a limit."""
        return self._met_limit is not None

    def describe_wait(self, now: float) -> ClientWait["SessionConnection"]:
        """Return what is waited for at a time of the event loop's clock."""
        began_at = self._messages.began_at
        return ClientWait(
            client=self,
            unopened_s=now - self._accepted_at if self._session is None else None,
            incomplete_s=None if began_at is None else now - began_at,
        )

    def close_for(self, limit: ClientLimit, **details: object) -> None:
        """Close the connection at once because its client met a limit; log it with details."""
        if self._met_limit is not None:
            return
        self._met_limit = limit
        self._telemetry.count("connections_closed", limit=limit)
        log.info(
            "connection_closed",
            limit=limit,
            remote=self._writer.get_extra_info("peername"),
            database="-" if self._session is None else self._session.context.database,
            held=self.held_bytes,
            **details,
        )
        self._on_closing(self)
        self._writer.transport.abort()
        if self._running is not None:
            self._running.cancel()

    def close_over_budget(self, *, held: int, total: int, allowed: int) -> None:
        """Close the connection because it holds most and all together hold too much."""
        self.close_for(ClientLimit.CONNECTION_BYTES, total=total, allowed=allowed)

    def _note_received(self) -> None:
        self._messages.note_received()
        self._account(self)

    def announce_end(self) -> None:
        """Ask the caller of an idle session to leave."""
        self._writer.write(self._announce_end())

    def _announce_end(self) -> bytes:
        """Return the message that asks the caller to leave.

        The protocol allows an error at any time. It also answers a statement that is on its way.
        """
        self._end_announced_at = asyncio.get_running_loop().time()
        return self._codec.encode_failure(STOPPING)

    def close_if_ignored(self) -> None:
        """Close the connection of a caller that was asked to leave and has done nothing since."""
        if self._end_announced_at is None or self._has_unread_data:
            return
        if asyncio.get_running_loop().time() - self._end_announced_at > LEAVE_TIMEOUT_S:
            self._writer.close()

    def end(self) -> None:
        """Read nothing more, give the running statement up, and close after the last answer."""
        if self._is_between_operations and self._end_announced_at is None:
            self.announce_end()
        self._is_ending = True
        self._messages.end()
        if self._running is not None:
            self._running.cancel()

    async def serve(self) -> None:
        """Serve until either end closes the connection."""
        reason = "closed"
        try:
            await self._open_session()
            while self._session is not None and not self._writer.is_closing():
                if not await self._serve_message(self._session):
                    return
        except (OSError, EOFError, TimeoutError) as error:
            reason = repr(error)
            log.debug("session_lost", detail=reason)
        except asyncio.CancelledError:
            # The listener is stopping; asyncio would log a cancelled callback as an error.
            reason = "cancelled"
            log.debug("session_cancelled")
        except Exception as error:
            reason = repr(error)
            log.error(
                "session_error", detail=reason, trace=traceback.format_exc(limit=-TRACE_DEPTH)
            )
        finally:
            self._report_unanswered(reason)
            if self._session is not None:
                self._session.abandon()
            # Otherwise a cycle of references keeps the session until the next garbage collection.
            self._protocol.on_received = None
            self._writer.close()

    def _report_unanswered(self, reason: str) -> None:
        """Log a statement that was read and whose answer the caller does not get in full."""
        query, session = self._unanswered, self._session
        if query is None or session is None:
            return
        self._telemetry.count("statements_unanswered", stopping=str(self.is_draining).lower())
        log.warning(
            "statement_unanswered",
            request=query.request_id,
            database=session.context.database,
            transaction=session.transaction_id or "-",
            running=self._running is not None,
            unsent_bytes=self._writer.transport.get_write_buffer_size(),
            stopping=self.is_draining,
            detail=reason,
        )

    async def _open_session(self) -> None:
        message = await self._read_message()
        if not isinstance(message, OpenSession):
            failure = (
                message.failure if isinstance(message, UnreadableMessage) else Failure.MALFORMED
            )
            if message is not None and not isinstance(message, CloseSession):
                await self._write(self._codec.encode_failure(Failed(failure=failure)))
            return
        context = SessionContext(database=message.database, key=message.key)
        admission = self._router.check_new_work(context)
        if isinstance(admission, Failed):
            log.info(
                "session_refused",
                database=message.database,
                failure=admission.failure,
                detail=admission.detail,
            )
            await self._write(self._codec.encode_failure(admission))
            return
        self._session = Session(
            context=context,
            router=self._router,
            name_rewriter=self._codec,
            transaction_idle_s=self._transaction_idle_s,
        )
        loop = asyncio.get_running_loop()
        self._expects_statement_until = loop.time() + FIRST_STATEMENT_TIMEOUT_S
        await self._write(self._codec.encode_ready(TransactionState.IDLE, None))

    async def _serve_message(self, session: Session) -> bool:
        """Answer the next message; return False when the session ends."""
        message = await self._read_message()
        if message is None or isinstance(message, CloseSession):
            return False
        if isinstance(message, Query):
            self._expects_statement_until = 0.0
            if self._end_announced_at is not None:
                await self._finish_announced_answer(session, message)
                return True
            await self._write(await self._build_answer(session, message))
            self._unanswered = None
            return True
        failure = message.failure if isinstance(message, UnreadableMessage) else Failure.MALFORMED
        detail = message.detail if isinstance(message, UnreadableMessage) else "the session is open"
        failed = Failed(failure=failure, detail=detail)
        log.info("message_rejected", failure=failure, detail=detail)
        if isinstance(message, UnreadableMessage) and message.request_id:
            await self._write(self._codec.encode_outcome(failed, session.state))
            return True
        await self._write(self._codec.encode_failure(failed))
        return False

    async def _build_answer(self, session: Session, query: Query) -> bytes:
        """Run a statement and return its answer, which is then its only copy here."""
        outcome = await self._run_query(session, query)
        if isinstance(query.statement, (SetValue, Prepare, Deallocate)):
            self._session_bytes = session.context.measure_bytes()
        answer = self._codec.encode_outcome(outcome, session.state)
        if outcome == STOPPING:
            answer += self._announce_end()
        return answer

    async def _finish_announced_answer(self, session: Session, query: Query) -> None:
        """Complete the answer to a statement that met the announcement of the end."""
        self._router.log_refusal(session.context, query.request_id, STOPPING)
        ready = self._codec.encode_ready(session.state, None)
        await self._write(ready + self._announce_end())
        self._unanswered = None

    async def _run_query(self, session: Session, query: Query) -> StatementOutcome:
        task = self._running = asyncio.current_task()
        assert task is not None
        try:
            return await session.handle(query)
        except asyncio.CancelledError as error:
            if self._is_ending:
                task.uncancel()
                return session.fail_unfinished(query, STOPPING_DETAIL)
            if task.cancelling():
                raise
            # Not this task was cancelled, but another one for whose result it waited.
            return self._fail_after_error(session, query, error)
        except Exception as error:
            return self._fail_after_error(session, query, error)
        finally:
            self._running = None

    def _fail_after_error(
        self, session: Session, query: Query, error: BaseException
    ) -> StatementOutcome:
        self._telemetry.count("statement_errors")
        log.error(
            "statement_error",
            request=query.request_id,
            database=session.context.database,
            detail=repr(error),
            trace=traceback.format_exc(limit=-TRACE_DEPTH),
        )
        return session.fail_unfinished(query, ERROR_DETAIL)

    async def _read_message(self) -> ClientMessage | None:
        line = await self._messages.read()
        if line is None:
            return None
        if isinstance(line, MessageTooLong):
            return UnreadableMessage(
                request_id="", failure=Failure.TOO_LARGE, detail="line too long"
            )
        if self.is_closed:
            return None
        message = self._codec.decode(line)
        if isinstance(message, Query):
            # Set first, as counting the bytes may close this connection.
            self._unanswered = message
            # The copies that decoding makes in between are those of one message at a time.
            self._running_bytes = sys.getsizeof(message.text) + RUNNING_COPIES * len(line)
            self._account(self)
        return None if self.is_closed else message

    async def _write(self, data: bytes) -> None:
        self._writer.write(data)
        # The transport keeps what is left to send.
        del data
        self._account(self)
        try:
            async with asyncio.timeout(self._answer_timeout_s):
                await self._writer.drain()
        except TimeoutError:
            self.close_for(ClientLimit.ANSWER_TIMEOUT)
            raise
        self._running_bytes = 0
        self._account(self)


def _holds_received_bytes(client_socket: socket.socket) -> bool:
    try:
        with socket.socket(fileno=os.dup(client_socket.fileno())) as duplicate:
            return bool(duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # Nothing has arrived, or the connection was reset.
        return False


def _set_socket_options(client_socket: socket.socket) -> None:
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
