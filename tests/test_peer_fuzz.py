"""Bytes from a damaged or hostile peer."""

import asyncio
import socket
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilring.database.messages import Fence, Role, ServerStatus, TermStart
from lentilring.peers import connection as connections
from lentilring.peers.authentication import Authenticator
from lentilring.peers.codec import (
    DecodeFailed,
    check_layout,
    decode,
    decode_struct,
    encode,
    encode_struct,
)
from lentilring.peers.connection import CallerConnection, ListenerConnection
from lentilring.peers.envelope import (
    ConnectionChallenge,
    ConnectionHello,
    ConnectionProof,
    Envelope,
    EnvelopeKind,
)
from lentilring.peers.frames import FrameParser, FrameTooLarge, encode_frame
from lentilring.peers.transport import PeerAnswerLost, PeerUnreachable
from lentilring.telemetry.metrics import Telemetry

from .loops import LoopTestCase, on_virtual_time
from .virtual_time import run_virtual

FUZZ = settings(max_examples=400, derandomize=True, deadline=None, database=None)
KNOWN_NAMES = [b"ServerStatus", b"StatementReply", b"Lead", b"Envelope", b"Fence", b"Unknown"]

int64 = st.integers(-(2**63), 2**63 - 1)
statuses = st.builds(
    ServerStatus,
    server=st.text(),
    term=int64,
    role=st.sampled_from(Role),
    position=int64,
    log_terms=st.lists(st.builds(TermStart, term=int64, position=int64), max_size=5).map(tuple),
    primary_silence_s=st.floats(allow_nan=False),
    open_connections=st.integers(-(2**31), 2**31 - 1),
    accepted=st.booleans(),
)
# Valid field headers and lengths let the inputs reach deeper parts of the parser.
thrift_like = st.lists(
    st.one_of(
        st.binary(max_size=6),
        st.sampled_from([2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15]).map(lambda t: bytes((t, 0, 1))),
        st.integers(-2, 4).map(lambda n: n.to_bytes(4, "big", signed=True)),
        st.just(b"\x7f\xff\xff\xff"),
        st.just(b"\0"),
    ),
    max_size=30,
).map(b"".join)


def decodes(data: bytes) -> bool:
    try:
        decode(data)
    except DecodeFailed:
        return False
    return True


class CodecFuzzTest(testtools.TestCase):
    @FUZZ
    @given(statuses)
    def test_any_message_returns_unchanged(self, status: ServerStatus) -> None:
        """Guards against values that change between encoding and decoding."""
        self.assertEqual(status, decode(encode(status)))

    @FUZZ
    @given(st.one_of(st.binary(max_size=300), thrift_like), st.sampled_from([b"", *KNOWN_NAMES]))
    def test_random_bytes_fail_with_the_typed_error(self, data: bytes, name: bytes) -> None:
        """Guards against bytes from a peer that crash this process or keep it busy."""
        decodes(bytes((len(name),)) + name + data if name else data)

    @FUZZ
    @given(statuses, st.data())
    def test_damaged_messages_fail_with_the_typed_error(self, status: Any, data: Any) -> None:
        """Guards against a damaged field that is read beyond the end of the message."""
        damaged = bytearray(encode(status))
        for _ in range(data.draw(st.integers(1, 4))):
            damaged[data.draw(st.integers(0, len(damaged) - 1))] = data.draw(st.integers(0, 255))
        decodes(bytes(damaged))

    @FUZZ
    @given(statuses, st.data())
    def test_cut_messages_are_refused(self, status: Any, data: Any) -> None:
        """Guards against truncated messages that decode with defaults in place of lost fields."""
        encoded = encode(status)
        self.assertFalse(decodes(encoded[: data.draw(st.integers(0, len(encoded) - 1))]))
        self.assertFalse(decodes(encoded + b"\0"))

    def test_lengths_do_not_decide_the_work(self) -> None:
        """Guards against a few bytes that make the reader loop over 2**31 items or nest deeply."""
        max_length = b"\x7f\xff\xff\xff"
        for data in (
            b"\x0f\x00\x09\x01" + max_length + b"\0",  # list of void
            b"\x0f\x00\x09\x00" + max_length + b"\0",
            b"\x0d\x00\x09\x01\x01" + max_length + b"\0",  # map of void to void
            b"\x0f\x00\x09\x0c" + max_length + b"\0",
            b"\x0b\x00\x09" + max_length + b"\0",
            b"\x0b\x00\x09\xff\xff\xff\xff\0",
            b"\x0b\x00\x09\xff\xff\xff\xf9\0",  # length that leads back to the field's start
            b"\x0f\x00\x09\x02\xff\xff\xff\xff\0\0",
            b"\x0c\x00\x09" * 100_000,
            b"\x0f\x00\x09" + b"\x0f\0\0\0\1" * 100_000,
            b"\x0d\x00\x09" + b"\x0d\x0d\0\0\0\1" * 100_000,
        ):
            self.assertRaises(DecodeFailed, check_layout, data)
            self.assertRaises(DecodeFailed, decode_struct, Fence, data)


class FrameFuzzTest(testtools.TestCase):
    @FUZZ
    @given(st.lists(st.binary(max_size=50), max_size=8), st.integers(1, 20))
    def test_frames_survive_any_split(self, payloads: list[bytes], step: int) -> None:
        """Guards against frames that depend on how TCP splits the stream."""
        stream = b"".join(encode_frame(payload) for payload in payloads)
        parser, found = FrameParser(), []
        for start in range(0, len(stream), step):
            parser.feed(stream[start : start + step])
            while (payload := parser.next_frame()) is not None:
                found.append(payload)
        self.assertEqual(payloads, found)

    @FUZZ
    @given(st.lists(st.binary(max_size=40), max_size=8))
    def test_random_bytes_are_bounded(self, chunks: list[bytes]) -> None:
        """Guards against a parser that collects more than the limit."""
        parser = FrameParser(limit=30)
        try:
            for chunk in chunks:
                parser.feed(chunk)
                while (payload := parser.next_frame()) is not None:
                    self.assertLessEqual(len(payload), 30)
        except FrameTooLarge as error:
            self.assertGreater(error.size, 30)


class FakeSocket(asyncio.Transport):
    """Record what a connection writes."""

    def __init__(self, connection: Any) -> None:
        super().__init__()
        self.written = FrameParser()
        self.unsent_bytes = 0
        self.closing = False
        self._connection = connection
        self._socket = socket.socket()
        connection.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._socket if name == "socket" else default

    def write(self, data: Any) -> None:
        self.written.feed(bytes(data))

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self._socket.close()
            asyncio.get_running_loop().call_soon(self._connection.connection_lost, None)

    abort = close


class ConnectionTest(LoopTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.telemetry = Telemetry()
        self.dispatched: list[Envelope] = []
        self.closed: list[Any] = []

    def make(self, secret: bytes = b"one") -> dict[str, Any]:
        return {
            "authenticator": Authenticator(deployment="khaima", secret=secret),
            "telemetry": self.telemetry,
            "max_frame_bytes": 10_000,
            "on_closed": self.closed.append,
        }

    def make_listener(self) -> ListenerConnection:
        def dispatch(_: ListenerConnection, envelope: Envelope) -> None:
            self.dispatched.append(envelope)

        return ListenerConnection(dispatch=dispatch, **self.make())

    async def connect(self) -> tuple[CallerConnection, FakeSocket, ListenerConnection, FakeSocket]:
        """Return both ends of a connection after the handshake."""
        caller, listener = CallerConnection(address="a:1", **self.make()), self.make_listener()
        near, far = FakeSocket(caller), FakeSocket(listener)
        for _ in range(4):
            await asyncio.sleep(0)
            for source, sink in ((near, listener), (far, caller)):
                while (payload := source.written.next_frame()) is not None:
                    sink.data_received(encode_frame(payload))
        await caller.ready
        self.assertTrue(listener.authenticated)
        return caller, near, listener, far

    @FUZZ
    @given(st.lists(st.one_of(st.binary(max_size=200), thrift_like), max_size=5), st.booleans())
    def test_random_bytes_close_the_connection(self, chunks: list[bytes], framed: bool) -> None:
        """Guards against bytes that raise an exception in the event loop or reach a handler."""

        async def case() -> None:
            caller, near, listener, far = await self.connect()
            unauthenticated = self.make_listener()
            FakeSocket(unauthenticated)
            for chunk in chunks:
                for connection in (caller, listener, unauthenticated):
                    if not connection.closed:
                        connection.data_received(encode_frame(chunk) if framed else chunk)
            for connection in (caller, listener, unauthenticated):
                connection.abort()

        run_virtual(case())
        self.assertEqual([], self.dispatched)

    @on_virtual_time
    async def test_a_caller_must_finish_the_handshake_in_time(self) -> None:
        """Guards against connections that never authenticate and keep file descriptors in use."""
        listener = self.make_listener()
        sock = FakeSocket(listener)
        await asyncio.sleep(connections.HANDSHAKE_TIMEOUT_S + 1)
        self.assertTrue(sock.closing)
        _, near, kept, far = await self.connect()
        await asyncio.sleep(connections.HANDSHAKE_TIMEOUT_S + 1)
        self.assertFalse(far.closing)
        for each in (near, far):
            each.close()
        count = self.telemetry.read("peer_connections_rejected", reason="handshake_timeout")
        self.assertEqual(1, count)

    @on_virtual_time
    async def test_a_listener_proof_is_no_caller_proof(self) -> None:
        """Guards against a caller that sends the listener's own proof back to it."""
        listener = self.make_listener()
        sock = FakeSocket(listener)
        hello = ConnectionHello(deployment="khaima", nonce=bytes(32))
        listener.data_received(encode_frame(encode(hello)))
        await asyncio.sleep(0)
        challenge = decode(sock.written.next_frame() or b"")
        assert isinstance(challenge, ConnectionChallenge)
        listener.data_received(encode_frame(encode(ConnectionProof(proof=challenge.proof))))
        self.assertTrue(sock.closing)

    @on_virtual_time
    async def test_short_challenges_are_refused(self) -> None:
        """Guards against two pairs of nonces that concatenate to the same bytes."""
        sockets = []
        for nonce in (b"", bytes(31), bytes(33)):
            listener = self.make_listener()
            sockets.append(FakeSocket(listener))
            hello = ConnectionHello(deployment="khaima", nonce=nonce)
            listener.data_received(encode_frame(encode(hello)))
        self.assertEqual([True] * 3, [sock.closing for sock in sockets])

    @on_virtual_time
    async def test_only_calls_reach_the_dispatcher(self) -> None:
        """Guards against an answer that is handled as a request."""
        caller, near, listener, far = await self.connect()
        for kind in EnvelopeKind:
            envelope = Envelope(request_id=1, kind=kind, vm="v", incarnation=1, address="a:1")
            if not listener.closed:
                listener.data_received(encode_frame(encode_struct(envelope)))
        self.assertTrue(far.closing)
        call = Envelope(request_id=1, kind=EnvelopeKind.CALL, vm="v", incarnation=1, address="a:1")
        caller.data_received(encode_frame(encode_struct(call)))
        self.assertTrue(near.closing)
        self.assertEqual([EnvelopeKind.CALL], [envelope.kind for envelope in self.dispatched])

    @on_virtual_time
    async def test_what_was_sent_decides_the_failure(self) -> None:
        """Guards against repeating a call that may have run, or not repeating one that did not."""
        caller, near, _, far = await self.connect()
        far.close()
        near.unsent_bytes = connections.MAX_UNSENT_BYTES + 1
        await self.expect(PeerUnreachable, caller.call(1, b"full", timeout_s=1))
        near.unsent_bytes = 0
        pending = asyncio.ensure_future(caller.call(2, b"sent", timeout_s=1))
        await asyncio.sleep(0)
        near.close()
        await self.expect(PeerAnswerLost, pending)
        await self.expect(PeerUnreachable, caller.call(3, b"closed", timeout_s=1))
