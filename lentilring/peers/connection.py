"""Authenticated connections that carry envelopes in frames."""

import asyncio
import socket
from collections.abc import Callable

from ..errors import LentilringError
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .authentication import NONCE_BYTES, Authenticator
from .codec import DecodeFailed, decode, decode_struct, encode
from .envelope import (
    ConnectionChallenge,
    ConnectionHello,
    ConnectionProof,
    ConnectionRefusal,
    Envelope,
    EnvelopeKind,
    RejectionReason,
)
from .frames import FrameParser, FrameTooLarge, encode_frame
from .transport import PeerAnswerLost, PeerRejected, PeerUnreachable

MAX_HANDSHAKE_BYTES = 1024
HANDSHAKE_TIMEOUT_S = 5.0
# A peer that does not read must not fill this process's memory.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
# The peer's VM may disappear without closing its connections.
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3

log = Log(source="peers")


class FrameConnection(asyncio.Protocol):
    """Exchange frames; subclasses authenticate the peer before they accept anything else."""

    def __init__(
        self, *, authenticator: Authenticator, telemetry: Telemetry, max_frame_bytes: int
    ) -> None:
        self.authenticator = authenticator
        self.telemetry = telemetry
        self.max_frame_bytes = max_frame_bytes
        self.authenticated = False
        self.closed = False
        self._parser = FrameParser(limit=MAX_HANDSHAKE_BYTES)
        self._unsent: list[bytes] = []
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a connected socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _keep_alive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Handle the frames that received bytes complete."""
        self._parser.feed(data)
        try:
            while not self.closed:
                payload = self._parser.next_frame()
                if payload is None:
                    return
                self.receive(payload)
        except (DecodeFailed, FrameTooLarge) as error:
            self.reject(RejectionReason.MALFORMED, error)

    def receive(self, payload: bytes) -> None:
        """Handle one frame; raise DecodeFailed."""
        raise NotImplementedError

    def reject(self, reason: RejectionReason, error: LentilringError | None = None) -> None:
        """Count the reason and close the connection."""
        self.telemetry.count("peer_connections_rejected", reason=reason)
        remote = self._transport and self._transport.get_extra_info("peername")
        log.warning("peer_connection_rejected", reason=reason, remote=remote, detail=error or "")
        self.close()

    def accept(self) -> None:
        """Allow large frames once the peer is authenticated."""
        self.authenticated = True
        self._parser.limit = self.max_frame_bytes

    def send(self, frame: bytes) -> None:
        """Write a frame together with others of the same loop iteration."""
        if self.closed:
            return
        self._unsent.append(frame)
        if len(self._unsent) == 1:
            asyncio.get_running_loop().call_soon(self._flush)

    def is_clogged(self) -> bool:
        """Tell whether the peer has stopped reading."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    def close(self) -> None:
        """Send what is buffered and close."""
        self._flush()
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that nothing can be sent any more."""
        self.closed = True

    def _flush(self) -> None:
        if self._unsent and self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"".join(self._unsent))
        self._unsent.clear()


class CallerConnection(FrameConnection):
    """Send calls to one peer and match the answers by request id."""

    def __init__(
        self,
        *,
        address: str,
        authenticator: Authenticator,
        telemetry: Telemetry,
        max_frame_bytes: int,
        on_closed: Callable[["CallerConnection"], None],
    ) -> None:
        super().__init__(
            authenticator=authenticator, telemetry=telemetry, max_frame_bytes=max_frame_bytes
        )
        self.address = address
        self.ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # A call missed its deadline and nothing has arrived since.
        self.silent = False
        self._on_closed = on_closed
        self._nonce = authenticator.make_nonce()
        self._pending: dict[int, asyncio.Future[Envelope]] = {}
        self._retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Challenge the listener."""
        super().connection_made(transport)
        hello = ConnectionHello(deployment=self.authenticator.deployment, nonce=self._nonce)
        self.send(encode_frame(encode(hello)))

    def receive(self, payload: bytes) -> None:
        """Finish the handshake, then pass answers to their calls."""
        if not self.authenticated:
            self._receive_handshake(payload)
            return
        answer = decode_struct(Envelope, payload)
        if answer.kind not in (EnvelopeKind.ANSWER, EnvelopeKind.REJECTION):
            raise DecodeFailed(message="Envelope", detail=f"{answer.kind} is not an answer")
        self.silent = False
        waiting = self._pending.pop(answer.request_id, None)
        if waiting is None or waiting.done():
            self.telemetry.count("peer_answers_dropped")
            return
        waiting.set_result(answer)

    async def call(self, request_id: int, frame: bytes, *, timeout_s: float) -> Envelope:
        """Return the answer; raise PeerUnreachable, PeerAnswerLost or PeerRejected."""
        if self.closed:
            raise PeerUnreachable(address=self.address, detail="connection closed")
        if self.is_clogged():
            raise PeerUnreachable(address=self.address, detail="send buffer is full")
        loop = asyncio.get_running_loop()
        waiting = self._pending[request_id] = loop.create_future()
        self.send(frame)
        timer = loop.call_later(timeout_s, self._expire, request_id)
        try:
            answer = await waiting
        finally:
            timer.cancel()
            self._pending.pop(request_id, None)
            self._close_when_unused()
        if answer.kind is not EnvelopeKind.ANSWER:
            raise PeerRejected(address=self.address, detail=answer.detail)
        return answer

    def retire(self) -> None:
        """Send no further calls; close once none is pending."""
        self._retired = True
        self._close_when_unused()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending calls, which may have run."""
        super().connection_lost(exc)
        if not self.ready.done():
            detail = f"connection lost in the handshake: {exc}"
            self.ready.set_exception(PeerUnreachable(address=self.address, detail=detail))
        self._fail_pending(f"connection lost: {exc}")
        self._on_closed(self)

    def _receive_handshake(self, payload: bytes) -> None:
        message = decode(payload)
        if isinstance(message, ConnectionRefusal):
            detail = f"refused: {message.reason}"
            self.ready.set_exception(PeerUnreachable(address=self.address, detail=detail))
            self.close()
            return
        if not isinstance(message, ConnectionChallenge):
            raise DecodeFailed(message=type(message).__name__, detail="no part of the handshake")
        _check_nonce(message.nonce)
        nonces = {"caller_nonce": self._nonce, "listener_nonce": message.nonce}
        expected = self.authenticator.prove_listener(**nonces)
        if not self.authenticator.matches(message.proof, expected):
            self.reject(RejectionReason.AUTHENTICATION)
            return
        self.accept()
        proof = self.authenticator.prove_caller(**nonces)
        self.send(encode_frame(encode(ConnectionProof(proof=proof))))
        if not self.ready.done():
            self.ready.set_result(None)

    def _expire(self, request_id: int) -> None:
        waiting = self._pending.pop(request_id, None)
        if waiting is None or waiting.done():
            return
        self.silent = True
        waiting.set_exception(PeerAnswerLost(address=self.address, detail="timed out"))

    def _fail_pending(self, detail: str) -> None:
        for waiting in self._pending.values():
            if not waiting.done():
                waiting.set_exception(PeerAnswerLost(address=self.address, detail=detail))
        self._pending.clear()

    def _close_when_unused(self) -> None:
        if self._retired and not self._pending and not self.closed:
            self.abort()


class ListenerConnection(FrameConnection):
    """Receive calls of one peer; `dispatch` answers them with `send`."""

    def __init__(
        self,
        *,
        authenticator: Authenticator,
        telemetry: Telemetry,
        max_frame_bytes: int,
        dispatch: Callable[["ListenerConnection", Envelope], None],
        on_closed: Callable[["ListenerConnection"], None],
    ) -> None:
        super().__init__(
            authenticator=authenticator, telemetry=telemetry, max_frame_bytes=max_frame_bytes
        )
        self._dispatch = dispatch
        self._on_closed = on_closed
        self._expected_proof: bytes | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the caller's challenge for a limited time."""
        super().connection_made(transport)
        self._timer = asyncio.get_running_loop().call_later(
            HANDSHAKE_TIMEOUT_S, self._end_handshake
        )

    def receive(self, payload: bytes) -> None:
        """Finish the handshake, then dispatch calls."""
        if self.authenticated:
            self._receive_call(decode_struct(Envelope, payload))
            return
        message = decode(payload)
        if isinstance(message, ConnectionHello) and self._expected_proof is None:
            self._receive_hello(message)
        elif isinstance(message, ConnectionProof) and self._expected_proof is not None:
            self._receive_proof(message)
        else:
            raise DecodeFailed(message=type(message).__name__, detail="no part of the handshake")

    def reject(self, reason: RejectionReason, error: LentilringError | None = None) -> None:
        """Tell the caller the reason before the connection is closed."""
        if not self.authenticated:
            self.send(encode_frame(encode(ConnectionRefusal(reason=reason))))
        super().reject(reason, error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; handlers that run for it finish their work."""
        super().connection_lost(exc)
        self._stop_timer()
        self._on_closed(self)

    def _receive_call(self, envelope: Envelope) -> None:
        if envelope.kind is not EnvelopeKind.CALL:
            raise DecodeFailed(message="Envelope", detail=f"{envelope.kind} is not a call")
        self._dispatch(self, envelope)

    def _receive_hello(self, hello: ConnectionHello) -> None:
        if hello.deployment != self.authenticator.deployment:
            self.reject(RejectionReason.DEPLOYMENT)
            return
        _check_nonce(hello.nonce)
        nonces = {"caller_nonce": hello.nonce, "listener_nonce": self.authenticator.make_nonce()}
        self._expected_proof = self.authenticator.prove_caller(**nonces)
        proof = self.authenticator.prove_listener(**nonces)
        challenge = ConnectionChallenge(nonce=nonces["listener_nonce"], proof=proof)
        self.send(encode_frame(encode(challenge)))

    def _receive_proof(self, message: ConnectionProof) -> None:
        assert self._expected_proof is not None
        if not self.authenticator.matches(message.proof, self._expected_proof):
            self.reject(RejectionReason.AUTHENTICATION)
            return
        self._stop_timer()
        self.accept()

    def _end_handshake(self) -> None:
        if not self.authenticated and not self.closed:
            self.reject(RejectionReason.HANDSHAKE_TIMEOUT)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


def _check_nonce(nonce: bytes) -> None:
    """Raise DecodeFailed for another length, by which two pairs of challenges could be equal."""
    if len(nonce) != NONCE_BYTES:
        raise DecodeFailed(message="", detail=f"challenge of {len(nonce)} bytes")


def _keep_alive(connected: socket.socket) -> None:
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
