"""The transport between lentilring processes: calls over TCP and datagrams over UDP."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from ..byte_budget import BudgetHolder, ByteBudget, hold_bytes
from ..errors import LentilringError
from ..kernel import Service
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .authentication import Authenticator
from .codec import DecodeFailed, EncodeFailed, bind, decode, decode_struct, encode, encode_struct
from .connection import CallerConnection, ListenerConnection
from .envelope import Envelope, EnvelopeKind, RejectionReason
from .frames import MAX_FRAME_BYTES, FrameTooLarge, encode_frame
from .transport import (
    MAX_DATAGRAM_BYTES,
    PeerAnswerLost,
    PeerRejected,
    PeerUnreachable,
    Sender,
    describe_request,
)

M = TypeVar("M")

CONNECT_TIMEOUT_S = 1.0
# The system may choose a free TCP port whose number is already in use for UDP.
PORT_ATTEMPTS = 20
MAX_DETAIL_CHARACTERS = 500

# Connections that have not authenticated; the proxies of 82 VMs may all connect at once.
MAX_HANDSHAKES = 96
# Larger calls are counted while they run. Ordinary statements have 200 to 3,000 bytes.
SMALL_CALL_BYTES = 64 * 1024
# The body of a call that runs, its decoded text, and what is sent to the server.
CALL_COPIES = 3
DEFAULT_CONNECTION_BYTES = 64 * 1024 * 1024

log = Log(source="peers")


@dataclass(kw_only=True, eq=False)
class DatagramTooLarge(LentilringError):
    """Report an encoded message of more than MAX_DATAGRAM_BYTES."""

    message: str
    size: int


@dataclass(kw_only=True, eq=False)
class HandlerTaken(LentilringError):
    """Report a second handler for one type of message."""

    message: str


class TcpTransport(Service):
    """Exchange messages with peers of the same deployment; port 0 in `address` is any free one."""

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        address: str,
        deployment: str,
        secret: bytes,
        telemetry: Telemetry,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        budget: ByteBudget[BudgetHolder] | None = None,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.address = address
        self.telemetry = telemetry
        self._authenticator = Authenticator(deployment=deployment, secret=secret)
        self._connect_timeout_s = connect_timeout_s
        self._max_frame_bytes = max_frame_bytes
        self._request_ids = itertools.count(1)
        self._handlers: dict[type, Callable[[Sender, Any], Awaitable[object]]] = {}
        self._datagram_handlers: dict[type, Callable[[Sender, Any], None]] = {}
        self._callers: dict[str, CallerConnection] = {}
        self._retired: set[CallerConnection] = set()
        self._connecting: dict[str, asyncio.Task[CallerConnection]] = {}
        self._budget = budget or ByteBudget(limit_bytes=DEFAULT_CONNECTION_BYTES)
        # In the order of their arrival.
        self._listeners: dict[ListenerConnection, None] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._datagram_transport: asyncio.DatagramTransport | None = None

    def replace_secret(self, secret: bytes) -> None:
        """Authenticate new connections and datagrams with another secret."""
        self._authenticator.replace_secret(secret)

    def on_other_secret(self, callback: Callable[[], None]) -> None:
        """Call a function when a peer turns out to have another secret."""
        self._authenticator.on_mismatch = callback

    def handle(
        self, request_type: type[M], handler: Callable[[Sender, M], Awaitable[object]]
    ) -> None:
        """Answer requests of a type with a coroutine; raise HandlerTaken or IdlMismatch."""
        _add_handler(self._handlers, request_type, handler)

    def handle_datagram(self, message_type: type[M], handler: Callable[[Sender, M], None]) -> None:
        """Pass datagrams of a type to a function; raise HandlerTaken or IdlMismatch."""
        _add_handler(self._datagram_handlers, message_type, handler)

    async def start(self) -> None:
        """Listen on one port number for TCP and UDP."""
        host, port = _split_address(self.address)
        for attempt in range(PORT_ATTEMPTS):
            try:
                await self._listen(host, port)
                break
            except OSError:
                if port != 0 or attempt + 1 == PORT_ATTEMPTS:
                    raise
        log.info("peer_transport_started", address=self.address, incarnation=self.incarnation)

    async def drain(self, *, deadline_s: float) -> None:
        """Wait until the handlers that are running have finished."""
        if self._handler_tasks:
            await asyncio.wait(set(self._handler_tasks), timeout=deadline_s)

    async def stop(self) -> None:
        """Close everything; pending calls fail with PeerAnswerLost."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._datagram_transport is not None:
            self._datagram_transport.close()
            self._datagram_transport = None
        tasks: list[asyncio.Task[Any]] = [*self._handler_tasks, *self._connecting.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in [*self._callers.values(), *self._retired, *self._listeners]:
            connection.close()
        # asyncio calls connection_lost of the closed connections in the next loop iterations.
        await asyncio.sleep(0)

    async def call(self, address: str, request: object, *, timeout_s: float) -> object:
        """Return a peer's answer; raise PeerUnreachable, PeerAnswerLost or PeerRejected."""
        try:
            return await self._call(address, request, timeout_s)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self.telemetry.count("peer_calls_failed", reason=type(error).__name__)
            raise

    def send_datagram(self, address: str, message: object) -> None:
        """Send a message that may be lost; raise DatagramTooLarge above MAX_DATAGRAM_BYTES."""
        body = encode(message)
        if len(body) > MAX_DATAGRAM_BYTES:
            raise DatagramTooLarge(message=type(message).__name__, size=len(body))
        if self._datagram_transport is None:
            self.telemetry.count("peer_datagrams_unsent")
            return
        envelope = self._make_envelope(0, EnvelopeKind.DATAGRAM, body=body)
        datagram = self._authenticator.sign_datagram(encode_struct(envelope))
        try:
            self._datagram_transport.sendto(datagram, _split_address(address))
        except (OSError, ValueError):
            self.telemetry.count("peer_datagrams_unsent")

    async def _listen(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self._make_listener, host, port)
        bound_port = server.sockets[0].getsockname()[1]
        try:
            self._datagram_transport, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramReceiver(receive=self._receive_datagram, telemetry=self.telemetry),
                local_addr=(host, bound_port),
            )
        except OSError:
            server.close()
            raise
        self._server = server
        self.address = f"{host}:{bound_port}"

    def _make_listener(self) -> ListenerConnection:
        connection = ListenerConnection(
            authenticator=self._authenticator,
            telemetry=self.telemetry,
            max_frame_bytes=self._max_frame_bytes,
            dispatch=self._dispatch,
            on_closed=self._forget_listener,
            on_received=self._account,
        )
        self._close_oldest_handshakes()
        self._listeners[connection] = None
        return connection

    def _close_oldest_handshakes(self) -> None:
        """Close connections that have not authenticated when there are too many."""
        unauthenticated = [
            entry for entry in self._listeners if not entry.authenticated and not entry.closed
        ]
        excess = max(0, len(unauthenticated) + 1 - MAX_HANDSHAKES)
        for connection in unauthenticated[:excess]:
            connection.reject(RejectionReason.TOO_MANY_HANDSHAKES)
            connection.abort()

    def _forget_listener(self, connection: ListenerConnection) -> None:
        self._listeners.pop(connection, None)
        self._budget.release(connection)

    def _account(self, connection: ListenerConnection) -> None:
        """Count the incomplete frame of a connection."""
        if not connection.closed:
            hold_bytes(self._budget, connection, connection.held_bytes)

    async def _call(self, address: str, request: object, timeout_s: float) -> object:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        request_id = next(self._request_ids)
        envelope = self._make_envelope(request_id, EnvelopeKind.CALL, body=encode(request))
        try:
            frame = encode_frame(encode_struct(envelope), limit=self._max_frame_bytes)
        except FrameTooLarge as error:
            raise PeerUnreachable(address=address, detail=str(error)) from error
        connection = self._find_connection(address)
        if connection is None:
            connection = await self._await_connection(address, timeout_s)
        remaining_s = deadline - loop.time()
        if remaining_s <= 0:
            raise PeerUnreachable(address=address, detail="timed out before sending")
        answer = await connection.call(request_id, frame, timeout_s=remaining_s)
        try:
            return decode(answer.body)
        except DecodeFailed as error:
            raise PeerAnswerLost(address=address, detail=str(error)) from error

    def _find_connection(self, address: str) -> CallerConnection | None:
        connection = self._callers.get(address)
        if connection is None or connection.closed:
            return None
        if not connection.silent:
            return connection
        # A connection may stay silent indefinitely although new ones to the same peer work.
        self.telemetry.count("peer_connections_replaced")
        log.info("peer_connection_replaced", address=address)
        del self._callers[address]
        self._retired.add(connection)
        connection.retire()
        return None

    async def _await_connection(self, address: str, timeout_s: float) -> CallerConnection:
        """Wait for the connection attempt that all calls to one peer share."""
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.create_task(self._connect(address))
            self._connecting[address] = task
            task.add_done_callback(lambda done: self._finish_connecting(address, done))
        await asyncio.wait({task}, timeout=timeout_s)
        if not task.done():
            raise PeerUnreachable(address=address, detail="timed out while connecting")
        if task.cancelled():
            raise PeerUnreachable(address=address, detail="transport stopped")
        error = task.exception()
        if error is not None:
            detail = f"{type(error).__name__}: {error}"
            raise PeerUnreachable(address=address, detail=detail) from error
        return task.result()

    def _finish_connecting(self, address: str, task: asyncio.Task[CallerConnection]) -> None:
        del self._connecting[address]
        if not task.cancelled() and task.exception() is not None:
            log.info("peer_connect_failed", address=address, detail=task.exception())

    async def _connect(self, address: str) -> CallerConnection:
        if self._server is None:
            raise PeerUnreachable(address=address, detail="transport is not running")
        connection = CallerConnection(
            address=address,
            authenticator=self._authenticator,
            telemetry=self.telemetry,
            max_frame_bytes=self._max_frame_bytes,
            on_closed=self._remove_caller,
        )
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                host, port = _split_address(address)
                await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
                await connection.ready
        except BaseException:
            connection.abort()
            raise
        self._callers[address] = connection
        return connection

    def _remove_caller(self, connection: CallerConnection) -> None:
        self._retired.discard(connection)
        if self._callers.get(connection.address) is connection:
            del self._callers[connection.address]

    def _dispatch(self, connection: ListenerConnection, envelope: Envelope) -> None:
        size = len(envelope.body)
        reserved = CALL_COPIES * size if size > SMALL_CALL_BYTES else 0
        if not self._budget.reserve(reserved):
            self._reject_call(
                connection, envelope, RejectionReason.NO_ROOM, f"a call of {size} bytes"
            )
            return
        task = asyncio.create_task(self._answer(connection, envelope))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)
        if reserved:
            task.add_done_callback(lambda _: self._budget.free(reserved))

    async def _answer(self, connection: ListenerConnection, call: Envelope) -> None:
        """Run the handler of a call and send its answer, or a rejection with the reason."""
        try:
            request = decode(call.body)
            handler = self._handlers.get(type(request))
            if handler is None:
                self._reject_call(
                    connection, call, RejectionReason.NO_HANDLER, type(request).__name__
                )
                return
            answer = await handler(call.sender, request)
        except asyncio.CancelledError:
            self._report_unsent(call)
            raise
        except DecodeFailed as error:
            self._reject_call(connection, call, RejectionReason.MALFORMED, str(error))
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            self._reject_call(connection, call, RejectionReason.HANDLER_FAILED, detail)
        else:
            self._send_answer(connection, call, answer)

    def _send_answer(self, connection: ListenerConnection, call: Envelope, answer: object) -> None:
        try:
            envelope = self._make_envelope(
                call.request_id, EnvelopeKind.ANSWER, body=encode(answer)
            )
            frame = encode_frame(encode_struct(envelope), limit=self._max_frame_bytes)
        except (EncodeFailed, FrameTooLarge) as error:
            self._reject_call(connection, call, RejectionReason.ANSWER_INVALID, str(error))
            return
        self._send_to_caller(connection, call, frame)

    def _reject_call(
        self, connection: ListenerConnection, call: Envelope, reason: RejectionReason, detail: str
    ) -> None:
        self.telemetry.count("peer_requests_rejected", reason=reason)
        log.warning("peer_request_rejected", reason=reason, peer=call.vm, detail=detail)
        text = f"{reason}: {detail}"[:MAX_DETAIL_CHARACTERS]
        envelope = self._make_envelope(call.request_id, EnvelopeKind.REJECTION, detail=text)
        self._send_to_caller(connection, call, encode_frame(encode_struct(envelope)))

    def _send_to_caller(self, connection: ListenerConnection, call: Envelope, frame: bytes) -> None:
        if connection.is_send_buffer_full():
            connection.abort()
        if connection.closed:
            self._report_unsent(call)
            return
        connection.send(frame)

    def _report_unsent(self, call: Envelope) -> None:
        """Count a call that gets no answer; log it if its request has a description."""
        self.telemetry.count("peer_answers_unsent")
        try:
            description = describe_request(decode(call.body))
        except DecodeFailed:
            return
        if description:
            log.warning("peer_answer_unsent", peer=call.vm, **description)

    def _receive_datagram(self, datagram: bytes) -> None:
        payload = self._authenticator.verify_datagram(datagram)
        if payload is None:
            self._reject_datagram(RejectionReason.AUTHENTICATION, "wrong authentication code")
            return
        try:
            envelope = decode_struct(Envelope, payload)
            message = decode(envelope.body)
        except DecodeFailed as error:
            self._reject_datagram(RejectionReason.MALFORMED, str(error))
            return
        handler = self._datagram_handlers.get(type(message))
        if envelope.kind is not EnvelopeKind.DATAGRAM or handler is None:
            self._reject_datagram(RejectionReason.NO_HANDLER, type(message).__name__)
            return
        try:
            handler(envelope.sender, message)
        except Exception as error:
            self._reject_datagram(
                RejectionReason.HANDLER_FAILED, f"{type(error).__name__}: {error}"
            )

    def _reject_datagram(self, reason: RejectionReason, detail: str) -> None:
        self.telemetry.count("peer_datagrams_rejected", reason=reason)
        log.debug("peer_datagram_rejected", reason=reason, detail=detail)

    def _make_envelope(
        self, request_id: int, kind: EnvelopeKind, *, body: bytes = b"", detail: str = ""
    ) -> Envelope:
        return Envelope(
            request_id=request_id,
            kind=kind,
            vm=self.vm,
            incarnation=self.incarnation,
            address=self.address,
            body=body,
            detail=detail,
        )


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, *, receive: Callable[[bytes], None], telemetry: Telemetry) -> None:
        self._receive = receive
        self._telemetry = telemetry

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        self._telemetry.count("peer_datagrams_unsent")


def _add_handler(handlers: dict[type, Any], message_type: type, handler: Any) -> None:
    if message_type in handlers:
        raise HandlerTaken(message=message_type.__name__)
    bind(message_type)
    handlers[message_type] = handler


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
