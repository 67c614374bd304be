"""Calls and datagrams between processes over loopback addresses."""

import asyncio
from contextlib import suppress
from typing import Any

from lentilring.database.messages import Fence, ReportStatus, StatementReply, StatementRequest
from lentilring.peers.codec import decode, encode, encode_struct
from lentilring.peers.connection import MAX_HANDSHAKE_BYTES
from lentilring.peers.envelope import (
    ConnectionHello,
    ConnectionProof,
    ConnectionRefusal,
    EnvelopeKind,
)
from lentilring.peers.frames import FrameParser, encode_frame
from lentilring.peers.tcp import MAX_HANDSHAKES, DatagramTooLarge, TcpTransport
from lentilring.peers.transport import PeerAnswerLost, PeerRejected, PeerUnreachable, Sender
from lentilring.telemetry.metrics import Telemetry

from .loops import LoopTestCase, on_loop

LONG_S = 30.0
SHORT_S = 0.05


class Relay:
    """Forward TCP connections to a target; silenced ones stay open and forward nothing."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.connections = 0
        self.silenced = 0
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Stop forwarding bytes on all connections made so far."""
        self.silenced = self.connections

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        host, port = self.target.split(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.ensure_future(self._forward(number, source, sink))
            self._tasks.add(task)

    async def _forward(
        self, number: int, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(65536):
            if number > self.silenced:
                sink.write(data)
        sink.close()


def make_request(statement: str = "", term: int = 1) -> StatementRequest:
    return StatementRequest(term=term, client_account="a", action="read", statement=statement)


class TransportCase(LoopTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.gate = asyncio.Event()

    async def reply(self, sender: Sender, request: StatementRequest) -> StatementReply:
        """Answer at once, after the gate opens, in another order, or with a failure."""
        if request.statement == "gated":
            await self.gate.wait()
        if request.statement == "shuffled":
            await asyncio.sleep(request.term * 7 % 5 / 100)
        if request.statement == "fail":
            raise ValueError("no such table")
        return StatementReply(
            status="ok", term=request.term, position=1, result=f"{sender.vm} {sender.incarnation}"
        )

    async def make(self, vm: str = "vm-1", **options: Any) -> TcpTransport:
        values: dict[str, Any] = {"deployment": "khaima", "secret": b"one", "incarnation": 7}
        transport = TcpTransport(
            vm=vm, address="127.0.0.1:0", telemetry=Telemetry(), **(values | options)
        )
        transport.handle(StatementRequest, self.reply)
        await transport.start()
        self.stack.push_async_callback(transport.stop)
        return transport

    async def make_relay(self, target: TcpTransport) -> Relay:
        relay = Relay(target.address)
        await relay.start()
        self.stack.push_async_callback(relay.stop)
        return relay

    async def let_a_call_time_out(
        self, client: TcpTransport, address: str
    ) -> asyncio.Task[StatementReply]:
        """Let a gated call time out; return another that is pending on the connection."""
        await client.call(address, make_request(), timeout_s=LONG_S)
        waiting = asyncio.create_task(
            client.call(address, make_request("gated", term=9), timeout_s=LONG_S)
        )
        timed_out = client.call(address, make_request("gated", term=2), timeout_s=SHORT_S)
        await self.expect(PeerAnswerLost, timed_out)
        return waiting


class HandshakeFloodTest(TransportCase):
    @on_loop
    async def test_oldest_silent_connections_make_room_for_peers(self) -> None:
        """Guards against silent connections that stay, also those accepted at the same time."""
        server, client = await self.make(), await self.make(vm="vm-2")
        host, _, port = server.address.rpartition(":")
        count = MAX_HANDSHAKES + 100
        silent = await asyncio.gather(
            *(asyncio.open_connection(host, int(port)) for _ in range(count))
        )
        await client.call(server.address, make_request(), timeout_s=LONG_S)
        async with asyncio.timeout(LONG_S):
            for reader, _ in silent[:100]:
                # A connection that was closed before it was set up gets no refusal.
                with suppress(ConnectionResetError):
                    await reader.read()
        self.assertFalse(silent[-1][0].at_eof())
        self.assertLessEqual(len(server._listeners), MAX_HANDSHAKES + 1)
        rejected = server.telemetry.read("peer_connections_rejected", reason="too_many_handshakes")
        self.assertGreaterEqual(rejected, 100)
        for _, writer in silent:
            writer.close()


class CallTest(TransportCase):
    @on_loop
    async def test_answers_return_to_their_calls(self) -> None:
        """Guards against answers mixed up on the connection that calls share (I9)."""
        client, server = await self.make(), await self.make("vm-2")
        calls = [
            client.call(
                server.address,
                make_request("shuffled", term=i),
                timeout_s=LONG_S,
            )
            for i in range(50)
        ]
        answers = await asyncio.gather(*calls)
        self.assertEqual(list(range(50)), [answer.term for answer in answers])
        self.assertEqual({"vm-1 7"}, {answer.result for answer in answers})
        self.assertEqual(1, len(server._listeners))

    @on_loop
    async def test_a_closed_port_is_unreachable(self) -> None:
        """Guards against a call that is not repeated although nothing was sent."""
        client, server = await self.make(), await self.make("vm-2")
        await server.stop()
        await self.expect(
            PeerUnreachable, client.call(server.address, make_request(), timeout_s=LONG_S)
        )

    @on_loop
    async def test_a_peer_that_stops_loses_the_answer(self) -> None:
        """Guards against a repeat of a call that may have run (I11)."""
        client, server = await self.make(), await self.make("vm-2")
        call = asyncio.create_task(
            client.call(server.address, make_request("gated"), timeout_s=LONG_S)
        )
        while not server._handler_tasks:
            await asyncio.sleep(0.001)
        await server.stop()
        await self.expect(PeerAnswerLost, call)

    @on_loop
    async def test_refusals_are_typed(self) -> None:
        """Guards against a failed handler that looks like a lost answer, or ends the connection."""
        client, server = await self.make(), await self.make("vm-2")
        for request in (make_request("fail"), Fence(term=1)):
            await self.expect(PeerRejected, client.call(server.address, request, timeout_s=LONG_S))
        await client.call(server.address, make_request(), timeout_s=LONG_S)
        self.assertEqual(1, server.telemetry.read("peer_requests_rejected", reason="no_handler"))

    @on_loop
    async def test_an_unreadable_answer_is_lost(self) -> None:
        """Guards against an unexpected error for a call that ran."""
        client, server = await self.make(), await self.make("vm-2")
        unknown = server._make_envelope(1, EnvelopeKind.ANSWER, body=b"\3New")
        server._send_answer = lambda connection, call, answer: connection.send(
            encode_frame(encode_struct(unknown))
        )
        await self.expect(
            PeerAnswerLost, client.call(server.address, make_request(), timeout_s=LONG_S)
        )

    @on_loop
    async def test_a_late_answer_is_dropped(self) -> None:
        """Guards against a late answer that is returned for the next call (I9)."""
        client, server = await self.make(), await self.make("vm-2")
        waiting = await self.let_a_call_time_out(client, server.address)
        answer = await client.call(server.address, make_request(term=3), timeout_s=LONG_S)
        self.assertEqual(3, answer.term)
        self.gate.set()
        self.assertEqual(9, (await waiting).term)
        self.assertEqual(1, client.telemetry.read("peer_answers_dropped"))

    @on_loop
    async def test_frames_over_the_limit(self) -> None:
        """Guards against a peer that makes this process use unlimited memory."""
        client = await self.make()
        small = await self.make("vm-2", max_frame_bytes=5000)
        large = make_request("x" * 6000)
        await self.expect(PeerAnswerLost, client.call(small.address, large, timeout_s=LONG_S))
        await self.expect(PeerUnreachable, small.call(client.address, large, timeout_s=LONG_S))
        self.assertEqual(1, small.telemetry.read("peer_connections_rejected", reason="malformed"))


class SilentConnectionTest(TransportCase):
    @on_loop
    async def test_the_next_call_uses_a_new_connection(self) -> None:
        """Guards against calls that all time out on a connection that went silent."""
        client, server = await self.make(), await self.make("vm-2")
        relay = await self.make_relay(server)
        await client.call(relay.address, make_request(), timeout_s=LONG_S)
        relay.silence()
        await self.expect(
            PeerAnswerLost, client.call(relay.address, make_request(), timeout_s=SHORT_S)
        )
        await client.call(relay.address, make_request(), timeout_s=LONG_S)
        self.assertEqual(2, relay.connections)
        self.assertEqual(1, client.telemetry.read("peer_connections_replaced"))

    @on_loop
    async def test_a_slow_handler_does_not_replace_a_live_connection(self) -> None:
        """Guards against new connections for each slow call while others are answered."""
        client, server = await self.make(), await self.make("vm-2")
        waiting = await self.let_a_call_time_out(client, server.address)
        self.gate.set()
        await waiting
        await client.call(server.address, make_request(), timeout_s=LONG_S)
        self.assertEqual(0, client.telemetry.read("peer_connections_replaced"))

    @on_loop
    async def test_pending_calls_keep_a_replaced_connection(self) -> None:
        """Guards against losing the answer of a slow call when its connection is replaced."""
        client, server = await self.make(), await self.make("vm-2")
        waiting = await self.let_a_call_time_out(client, server.address)
        await client.call(server.address, make_request(), timeout_s=LONG_S)
        self.assertEqual(2, len(server._listeners))
        self.gate.set()
        self.assertEqual(9, (await waiting).term)
        while len(server._listeners) > 1:
            await asyncio.sleep(0.001)


class AuthenticationTest(TransportCase):
    @on_loop
    async def test_other_deployments_are_rejected(self) -> None:
        """Guards against a process that serves peers of another user's deployment."""
        server = await self.make("vm-2")
        cases = {"deployment": {"deployment": "bricola"}, "authentication": {"secret": b"two"}}
        for reason, options in cases.items():
            client = await self.make(**options)
            await self.expect(
                PeerUnreachable, client.call(server.address, make_request(), timeout_s=LONG_S)
            )
            rejecting = server if reason == "deployment" else client
            self.assertEqual(
                1, rejecting.telemetry.read("peer_connections_rejected", reason=reason)
            )

    @on_loop
    async def test_a_caller_without_the_secret_is_rejected(self) -> None:
        """Guards against a listener that answers before the caller proved the secret."""
        server = await self.make("vm-2")
        host, port = server.address.split(":")
        for answer in (ConnectionProof(proof=bytes(32)), make_request(), None):
            reader, writer = await asyncio.open_connection(host, int(port))
            hello = ConnectionHello(deployment="khaima", nonce=bytes(32))
            writer.write(encode_frame(encode(hello)))
            large = (MAX_HANDSHAKE_BYTES + 1).to_bytes(4, "big")
            writer.write(large if answer is None else encode_frame(encode(answer)))
            parser = FrameParser()
            parser.feed(await reader.read())
            parser.next_frame()
            self.assertIsInstance(decode(parser.next_frame()), ConnectionRefusal)
            writer.close()
        read = server.telemetry.read
        self.assertEqual(1, read("peer_connections_rejected", reason="authentication"))
        self.assertEqual(2, read("peer_connections_rejected", reason="malformed"))

    @on_loop
    async def test_datagrams_of_other_deployments_are_dropped(self) -> None:
        """Guards against gossip of one deployment that changes the members of another."""
        server = await self.make("vm-2")
        received: asyncio.Queue[tuple[str, object]] = asyncio.Queue()
        server.handle_datagram(Fence, lambda sender, m: received.put_nowait((sender.vm, m)))
        for vm, options in {
            "vm-3": {"deployment": "bricola"},
            "vm-4": {"secret": b"two"},
            "vm-1": {},
        }.items():
            client = await self.make(vm, **options)
            client.send_datagram(server.address, Fence(term=5))
        async with asyncio.timeout(LONG_S):
            self.assertEqual(("vm-1", Fence(term=5)), await received.get())
            while server.telemetry.read("peer_datagrams_rejected", reason="authentication") < 2:
                await asyncio.sleep(0.001)
        self.assertTrue(received.empty())

    @on_loop
    async def test_a_large_datagram_is_refused(self) -> None:
        """Guards against gossip datagrams that the network truncates or fragments."""
        client = await self.make()
        self.assertRaises(
            DatagramTooLarge, client.send_datagram, "127.0.0.1:9", make_request("x" * 1200)
        )
        client.send_datagram("127.0.0.1:9", ReportStatus())
