"""Connections to backend servers over TCP."""

import asyncio
from collections.abc import Iterable
from typing import TypeVar

from ..peers.codec import EncodeFailed
from ..peers.frames import FrameTooLarge
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .backend import BackendAnswerLost, BackendUnreachable, ConnectionRefused
from .messages import (
    AwaitPosition,
    Fence,
    Follow,
    Lead,
    ReportStatus,
    ServerStatus,
    StatementReply,
    StatementRequest,
)
from .wire import BackendHello, BackendRefusal, BackendWelcome, ConnectionKind, FrameStream

M = TypeVar("M")

# The server's wait must end before the caller's time-out, even across regions (20 ms one way).
MAX_ANSWER_MARGIN_S = 0.1
ANSWER_MARGIN_FRACTION = 0.25

log = Log(source="database.client")


class BackendChannel:
    """Send requests on one connection and match answers to them by request id."""

    def __init__(self, *, address: str, kind: ConnectionKind, telemetry: Telemetry) -> None:
        self.address = address
        self.kind = kind
        self._telemetry = telemetry
        self._stream = FrameStream(on_message=self._handle_answer, on_lost=self._fail_pending)
        self._pending: dict[int, asyncio.Future[object]] = {}
        self._last_request_id = 0

    @property
    def is_open(self) -> bool:
        """Tell whether requests can be sent."""
        return self._stream.is_open

    async def open(self, *, client: str, timeout_s: float) -> None:
        """Connect; raise BackendUnreachable or ConnectionRefused."""
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: self._stream, host, int(port))
                reply = await self._send(BackendHello(client=client, kind=self.kind))
        except (TimeoutError, OSError, BackendAnswerLost, BackendUnreachable) as error:
            self.close()
            raise BackendUnreachable(address=self.address, detail=repr(error)) from error
        except asyncio.CancelledError:
            self.close()
            raise
        if isinstance(reply, BackendWelcome):
            return
        self.close()
        if isinstance(reply, BackendRefusal):
            raise ConnectionRefused(address=self.address, detail=reply.detail)
        raise BackendUnreachable(address=self.address, detail=f"answered {type(reply).__name__}")

    async def call(self, request: object, reply_type: type[M], *, timeout_s: float) -> M:
        """Return the answer; raise BackendUnreachable or BackendAnswerLost."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._send(request)
        except TimeoutError as error:
            raise BackendAnswerLost(address=self.address, detail="timed out") from error
        if not isinstance(reply, reply_type):
            self.close()
            detail = f"answered {type(reply).__name__}"
            raise BackendAnswerLost(address=self.address, detail=detail)
        return reply

    def close(self) -> None:
        """Close the connection at once and fail pending requests."""
        self._stream.abort()
        self._fail_pending(self._stream)

    async def _send(self, request: object) -> object:
        if not self._stream.is_open:
            raise BackendUnreachable(address=self.address, detail="connection is closed")
        self._last_request_id += 1
        request_id = self._last_request_id
        try:
            self._stream.send(request_id, request)
        except (EncodeFailed, FrameTooLarge) as error:
            raise BackendUnreachable(address=self.address, detail=str(error)) from error
        answer: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        try:
            return await answer
        finally:
            self._pending.pop(request_id, None)

    def _handle_answer(self, stream: FrameStream, request_id: int, answer: object) -> None:
        pending = self._pending.get(request_id)
        if pending is not None and not pending.done():
            pending.set_result(answer)
            return
        if self.kind is not ConnectionKind.STATEMENT and request_id <= self._last_request_id:
            self._telemetry.count("backend_answers_dropped", reason="late")
            return
        # No request with this id is pending: client and server disagree about the request ids, and
        # a later answer could be given to the wrong request.
        self._telemetry.count("backend_answers_dropped", reason="mismatched")
        log.warning("answer_mismatched", address=self.address, answer_id=request_id)
        self.close()

    def _fail_pending(self, _: FrameStream) -> None:
        for answer in self._pending.values():
            if not answer.done():
                answer.set_exception(
                    BackendAnswerLost(address=self.address, detail="connection closed")
                )


class TcpBackendConnection:
    """Run one statement at a time over TCP."""

    def __init__(self, *, channel: BackendChannel) -> None:
        self._channel = channel
        self._busy = False

    @property
    def usable(self) -> bool:
        """Tell whether another statement can be sent."""
        return self._channel.is_open and not self._busy

    async def execute(self, request: StatementRequest, *, timeout_s: float) -> StatementReply:
        """Run a statement; a lost answer or a cancellation closes the connection."""
        if self._busy:
            raise BackendUnreachable(address=self._channel.address, detail="connection is busy")
        self._busy = True
        try:
            return await self._channel.call(request, StatementReply, timeout_s=timeout_s)
        except (BackendAnswerLost, asyncio.CancelledError):
            self.close()
            raise
        finally:
            self._busy = False

    def close(self) -> None:
        """Close the connection; the server rolls back an open transaction."""
        self._channel.close()


class TcpBackendControl:
    """Send control requests, several at a time; a lost answer leaves the connection open."""

    def __init__(self, *, channel: BackendChannel) -> None:
        self._channel = channel

    @property
    def usable(self) -> bool:
        """Tell whether another request can be sent."""
        return self._channel.is_open

    async def report_status(self, *, timeout_s: float) -> ServerStatus:
        """Return the server's term, role and log position."""
        return await self._call(ReportStatus(), timeout_s)

    async def fence(self, *, term: int, timeout_s: float) -> ServerStatus:
        """Raise the server's term, so that it refuses requests of lower terms."""
        return await self._call(Fence(term=term), timeout_s)

    async def lead(
        self,
        *,
        term: int,
        start_position: int,
        replica_addresses: Iterable[str] = (),
        timeout_s: float,
    ) -> ServerStatus:
        """Make the server the primary of a term whose entries begin after `start_position`."""
        request = Lead(
            term=term, start_position=start_position, replica_addresses=tuple(replica_addresses)
        )
        return await self._call(request, timeout_s)

    async def follow(
        self, *, term: int, primary_address: str, start_position: int, timeout_s: float
    ) -> ServerStatus:
        """Make the server a replica of a term's primary."""
        request = Follow(term=term, primary_address=primary_address, start_position=start_position)
        return await self._call(request, timeout_s)

    async def await_position(self, *, term: int, position: int, timeout_s: float) -> ServerStatus:
        """Return the status once the log reaches a position under a term, or near the time-out."""
        margin_s = min(MAX_ANSWER_MARGIN_S, timeout_s * ANSWER_MARGIN_FRACTION)
        request = AwaitPosition(term=term, position=position, wait_s=timeout_s - margin_s)
        return await self._call(request, timeout_s)

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def _call(self, request: object, timeout_s: float) -> ServerStatus:
        return await self._channel.call(request, ServerStatus, timeout_s=timeout_s)


class TcpBackendConnector:
    """Open connections to backend servers; `client` is the VM's name."""

    def __init__(self, *, client: str, telemetry: Telemetry) -> None:
        self._client = client
        self._telemetry = telemetry

    async def connect(self, address: str, *, timeout_s: float) -> TcpBackendConnection:
        """Open a statement connection; raise BackendUnreachable or ConnectionRefused."""
        channel = await self._open(address, ConnectionKind.STATEMENT, timeout_s)
        return TcpBackendConnection(channel=channel)

    async def connect_control(self, address: str, *, timeout_s: float) -> TcpBackendControl:
        """Open a control connection; raise BackendUnreachable or ConnectionRefused."""
        channel = await self._open(address, ConnectionKind.CONTROL, timeout_s)
        return TcpBackendControl(channel=channel)

    async def _open(self, address: str, kind: ConnectionKind, timeout_s: float) -> BackendChannel:
        channel = BackendChannel(address=address, kind=kind, telemetry=self._telemetry)
        await channel.open(client=self._client, timeout_s=timeout_s)
        return channel
