"""Sessions on backend servers in the platform's statement protocol."""

import asyncio
import socket
from collections.abc import Awaitable
from typing import TypeVar

from ..catalog.model import ServerEntry
from ..gateways.server import (
    ReplicationStatus,
    ServerLost,
    ServerRefused,
    ServerReply,
    ServerUnreachable,
)
from ..statements.model import (
    Done,
    Failed,
    Failure,
    Position,
    PreparedStatement,
    StatementOutcome,
    TransactionState,
)
from .documents import ROLES
from .statements import (
    LINE_END,
    MAX_LINE_BYTES,
    NO_VALUE,
    READ_WORD,
    STATES,
    WRITE_WORD,
    build_failure,
    build_success,
    decode_position,
)

# A server closes connections whose remote end acknowledges nothing for 3 s; so does this end.
USER_TIMEOUT_MS = 3000
STATUS_FIELD_COUNT = 7
OWN_REQUEST_ID = NO_VALUE

T = TypeVar("T")


class PlatformServerConnector:
    """Implement ServerConnector."""

    async def connect(
        self, server: ServerEntry, *, account: str, timeout_s: float
    ) -> "PlatformServerSession":
        """Open a session for a client account; raise ServerUnreachable or ServerRefused."""
        host, _, port = server.address.rpartition(":")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=2 * MAX_LINE_BYTES
                )
                server_socket = writer.get_extra_info("socket")
                server_socket.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
                )
                server_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                session = PlatformServerSession(server=server.id, reader=reader, writer=writer)
                await session.open(service=server.service, account=account)
                return session
        except BaseException as error:
            if writer is not None:
                writer.transport.abort()
            if isinstance(
                error, (OSError, TimeoutError, EOFError, ValueError, OverflowError, ServerLost)
            ):
                raise ServerUnreachable(
                    server=server.id,
                    detail=repr(error),
                    is_down=isinstance(error, ConnectionRefusedError),
                ) from error
            raise


class PlatformServerSession:
    """Implement ServerSession on one connection."""

    def __init__(
        self, *, server: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._server, self._reader, self._writer = server, reader, writer
        self._closed = False
        self.position: Position | None = None

    @property
    def is_closed(self) -> bool:
        """Tell whether either end has closed the connection."""
        return self._closed or self._reader.at_eof() or self._reader.exception() is not None

    async def open(self, *, service: str, account: str) -> None:
        """Open the session for a service and an account; name the server that is expected."""
        self._writer.write(f"START {service} {account} {self._server}\r\n".encode())
        word, rest = await self._read_message()
        if word == "ERROR":
            code, _, detail = rest.partition(" ")
            failed = build_failure(code, detail, None)
            raise ServerRefused(server=self._server, failure=failed.failure, detail=rest)
        self._apply_ready(rest)

    async def run(
        self, request_id: str, text: str, *, after: Position | None, timeout_s: float
    ) -> ServerReply:
        """Run a caller's statement."""
        return await self._exchange(request_id, _add_position(text, after), timeout_s)

    async def begin(
        self, *, read_only: bool, after: Position | None, timeout_s: float
    ) -> ServerReply:
        """Open a transaction."""
        text = "BEGIN READ" if read_only else "BEGIN"
        return await self._exchange(OWN_REQUEST_ID, _add_position(text, after), timeout_s)

    async def roll_back(self, *, timeout_s: float) -> ServerReply:
        """Roll the open transaction back."""
        return await self._exchange(OWN_REQUEST_ID, "ROLLBACK", timeout_s)

    async def reset(self, *, timeout_s: float) -> ServerReply:
        """Drop session values and prepared statements."""
        return await self._exchange(OWN_REQUEST_ID, "RESET", timeout_s)

    async def set_value(self, name: str, value: str, *, timeout_s: float) -> ServerReply:
        """Set a session value."""
        return await self._exchange(OWN_REQUEST_ID, f"SET {name} {value}", timeout_s)

    async def prepare(self, prepared: PreparedStatement, *, timeout_s: float) -> ServerReply:
        """Prepare a statement."""
        word = WRITE_WORD if prepared.writes else READ_WORD
        text = f"PREPARE {prepared.name} {word} {prepared.shape}"
        return await self._exchange(OWN_REQUEST_ID, text, timeout_s)

    async def read_status(self, *, timeout_s: float) -> ReplicationStatus | Failure:
        """Return the status that the server reports."""
        return self._parse_status(await self._exchange(OWN_REQUEST_ID, "STATUS", timeout_s))

    async def pause(self, *, term: int, timeout_s: float) -> ReplicationStatus | Failure:
        """Stop a replica from receiving commits of terms below `term`."""
        return self._parse_status(await self._exchange(OWN_REQUEST_ID, f"PAUSE {term}", timeout_s))

    async def step_down(self, *, term: int, timeout_s: float) -> ReplicationStatus | Failure:
        """Make a primary of a term below `term` a replica."""
        return self._parse_status(
            await self._exchange(OWN_REQUEST_ID, f"STEPDOWN {term}", timeout_s)
        )

    async def resume(self, *, timeout_s: float) -> ReplicationStatus | Failure:
        """Let a paused replica receive commits again."""
        return self._parse_status(await self._exchange(OWN_REQUEST_ID, "RESUME", timeout_s))

    def close(self) -> None:
        """Close the connection."""
        self._closed = True
        self._writer.close()

    async def _exchange(self, request_id: str, text: str, timeout_s: float) -> ServerReply:
        if self.is_closed:
            raise ServerUnreachable(server=self._server, detail="the connection is closed")
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        return await self._await_answer(self._read_answer(), timeout_s)

    async def _await_answer(self, answer: Awaitable[T], timeout_s: float) -> T:
        """Return an answer; without one close the connection, as it could pass for a later one."""
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError as error:
            self._abort()
            raise ServerLost(server=self._server, detail="timed out", timed_out=True) from error
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
            self._abort()
            raise ServerLost(server=self._server, detail=repr(error)) from error
        except BaseException:
            self._abort()
            raise

    def _abort(self) -> None:
        self._closed = True
        self._writer.transport.abort()

    async def _read_answer(self) -> ServerReply:
        rows: list[str] = []
        proof, failure = "", None
        while True:
            word, rest = await self._read_message()
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                proof = rest
            elif word == "ERROR":
                failure = rest
            elif word == "READY":
                state = self._apply_ready(rest)
                return ServerReply(outcome=self._build_outcome(rows, proof, failure), state=state)
            else:
                raise ValueError(f"unexpected message {word!r}")

    def _build_outcome(self, rows: list[str], proof: str, failure: str | None) -> StatementOutcome:
        if failure is None:
            if not proof:
                raise ValueError("the answer has no end")
            return build_success(rows, proof, self.position)
        code, _, detail = failure.partition(" ")
        return build_failure(code, detail, self.position)

    async def _read_message(self) -> tuple[str, str]:
        line = await self._reader.readuntil(LINE_END)
        word, _, rest = line.removesuffix(LINE_END).decode().partition(" ")
        return word, rest

    def _apply_ready(self, rest: str) -> TransactionState:
        state, _, position = rest.partition(" ")
        self.position = decode_position(position)
        if state not in STATES:
            raise ValueError(f"unknown state {state!r}")
        return STATES[state]

    def _parse_status(self, reply: ServerReply) -> ReplicationStatus | Failure:
        outcome = reply.outcome
        if isinstance(outcome, Failed):
            return outcome.failure
        assert isinstance(outcome, Done)
        fields = outcome.rows[0].split(" ") if outcome.rows else []
        received = decode_position(fields[2]) if len(fields) >= STATUS_FIELD_COUNT else None
        if received is None or fields[0] not in ROLES or not fields[1].isdecimal():
            return Failure.MALFORMED
        return ReplicationStatus(
            role=ROLES[fields[0]],
            term=int(fields[1]),
            received=received,
            paused_below_term=int(fields[3]) if fields[3].isdecimal() else 0,
        )


def _add_position(text: str, after: Position | None) -> str:
    return text if after is None else f"AFTERLSN {after} {text}"
