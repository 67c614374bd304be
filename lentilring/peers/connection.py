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
# The greatest frame takes 7 s over the slowest link of a VM (5 Mbit/s).
FRAME_TIMEOUT_S = 30.0
# Bounds the memory that is used for a peer that does not read.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
# Keepalive detects a peer whose VM disappeared without closing its connections.
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
        """Store the transport and enable TCP keepalive."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle each complete frame."""
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
        """Count and log the reason, and close the connection."""
        self.telemetry.count("peer_connections_rejected", reason=reason)
        remote = self._transport and self._transport.get_extra_info("peername")
        log.warning("peer_connection_rejected", reason=reason, remote=remote, detail=error or "")
        self.close()

    def accept(self) -> None:
        """Mark the peer as authenticated, which allows frames of up to `max_frame_bytes`."""
        self.authenticated = True
        self._parser.limit = self.max_frame_bytes

    def send(self, frame: bytes) -> None:
        """Queue a frame; the frames of one loop iteration are written together."""
        if self.closed:
            return
        self._unsent.append(frame)
        if len(self._unsent) == 1:
            asyncio.get_running_loop().call_soon(self._flush)

    def is_send_buffer_full(self) -> bool:
        """Tell whether more than MAX_UNSENT_BYTES wait for the peer to read them."""
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
        """Mark the connection as closed."""
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
        # True after a call timed out, until the next answer arrives.
        self.silent = False
        self._on_closed = on_closed
        self._nonce = authenticator.make_nonce()
        self._pending: dict[int, asyncio.Future[Envelope]] = {}
        self._retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the handshake's first message, which challenges the listener."""
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
        future = self._pending.pop(answer.request_id, None)
        if future is None or future.done():
            self.telemetry.count("peer_answers_dropped")
            return
        future.set_result(answer)

    async def call(self, request_id: int, frame: bytes, *, timeout_s: float) -> Envelope:
        """Return the answer; raise PeerUnreachable, PeerAnswerLost or PeerRejected."""
        if self.closed:
            raise PeerUnreachable(address=self.address, detail="connection closed")
        if self.is_send_buffer_full():
            raise PeerUnreachable(address=self.address, detail="send buffer is full")
        loop = asyncio.get_running_loop()
        future = self._pending[request_id] = loop.create_future()
        self.send(frame)
        timer = loop.call_later(timeout_s, self._expire, request_id)
        try:
            answer = await future
        finally:
            timer.cancel()
            self._pending.pop(request_id, None)
            self._close_when_unused()
        if answer.kind is not EnvelopeKind.ANSWER:
            raise PeerRejected(address=self.address, detail=answer.detail)
        return answer

    def retire(self) -> None:
        """Close as soon as no call is pending; the owner must make no further calls."""
        self._retired = True
        self._close_when_unused()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail pending calls with PeerAnswerLost, because the peer may have run them."""
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
        future = self._pending.pop(request_id, None)
        if future is None or future.done():
            return
        self.silent = True
        future.set_exception(PeerAnswerLost(address=self.address, detail="timed out"))

    def _fail_pending(self, detail: str) -> None:
        for future in self._pending.values():
            if not future.done():
                future.set_exception(PeerAnswerLost(address=self.address, detail=detail))
        self._pending.clear()

    def _close_when_unused(self) -> None:
        if self._retired and not self._pending and not self.closed:
            self.abort()


class ListenerConnection(FrameConnection):
    """Receive calls from one peer; `dispatch` runs them and answers with `send`."""

    def __init__(
        self,
        *,
        authenticator: Authenticator,
        telemetry: Telemetry,
        max_frame_bytes: int,
        dispatch: Callable[["ListenerConnection", Envelope], None],
        on_closed: Callable[["ListenerConnection"], None],
        on_received: Callable[["ListenerConnection"], None] = lambda _: None,
    ) -> None:
        super().__init__(
            authenticator=authenticator, telemetry=telemetry, max_frame_bytes=max_frame_bytes
        )
        self._dispatch = dispatch
        self._on_received = on_received
        self._frame_timer: asyncio.TimerHandle | None = None
        self._on_closed = on_closed
        self._expected_proof: bytes | None = None
        self._handshake_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the handshake, which the caller begins."""
        super().connection_made(transport)
        if self.closed:
            # It was closed for newer ones that were accepted in the same step of the event loop.
            self.abort()
            return
        self._handshake_timer = asyncio.get_running_loop().call_later(
            HANDSHAKE_TIMEOUT_S, self._time_out_handshake
        )

    @property
    def held_bytes(self) -> int:
        """Return the number of received bytes that wait for the rest of their frame."""
        return self._parser.held_bytes

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; start the timeout of a frame that is not complete."""
        super().data_received(data)
        if self.closed:
            return
        if self.held_bytes and self._frame_timer is None:
            self._frame_timer = asyncio.get_running_loop().call_later(
                FRAME_TIMEOUT_S, self._time_out_frame
            )
        self._on_received(self)

    def close_over_budget(self, *, held: int, total: int, allowed: int) -> None:
        """Close the connection because it holds most and all together hold too much."""
        self.telemetry.count("connections_closed", limit=RejectionReason.CONNECTION_BYTES)
        remote = self._transport and self._transport.get_extra_info("peername")
        log.warning(
            "connection_closed",
            limit=RejectionReason.CONNECTION_BYTES,
            remote=remote,
            held=held,
            total=total,
            allowed=allowed,
        )
        self.abort()
        self._parser.discard()

    def receive(self, payload: bytes) -> None:
        """Finish the handshake, then dispatch calls."""
        self._cancel_frame_timer()
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
        """Report the closed connection; handlers that run for it are not cancelled."""
        super().connection_lost(exc)
        self._cancel_handshake_timer()
        self._cancel_frame_timer()
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
        self._cancel_handshake_timer()
        self.accept()

    def _time_out_handshake(self) -> None:
        if not self.authenticated and not self.closed:
            self.reject(RejectionReason.HANDSHAKE_TIMEOUT)

    def _time_out_frame(self) -> None:
        if not self.closed:
            self.reject(RejectionReason.FRAME_TIMEOUT)

    def _cancel_frame_timer(self) -> None:
        if self._frame_timer is not None:
            self._frame_timer.cancel()
            self._frame_timer = None

    def _cancel_handshake_timer(self) -> None:
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()


def _check_nonce(nonce: bytes) -> None:
    """Raise DecodeFailed unless the nonce has NONCE_BYTES.

    Proofs cover two concatenated nonces; with other lengths, two different pairs of nonces could
    be the same bytes.
    """
    if len(nonce) != NONCE_BYTES:
        raise DecodeFailed(message="", detail=f"challenge of {len(nonce)} bytes")


def _enable_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
