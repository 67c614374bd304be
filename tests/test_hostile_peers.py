"""Connections to the address for peers that misuse it, against a real process.

Some know the secret: a proxy passes on what its own callers send. The crowds and bounds were fixed
on the code without limits for peers.
"""

import asyncio
import socket
from contextlib import AsyncExitStack

import pytest
from testtools import TestCase

from lentilring.gateways.messages import RunStatement, StatementKind
from lentilring.peers.authentication import Authenticator
from lentilring.peers.codec import encode, encode_struct
from lentilring.peers.connection import CallerConnection
from lentilring.peers.envelope import Envelope, EnvelopeKind
from lentilring.peers.frames import MAX_FRAME_BYTES, encode_frame
from lentilring.session_process import DEPLOYMENT
from lentilring.shared_secret import SECRET_NAME
from lentilring.soak.deployment import PEER_PORT
from lentilring.telemetry.metrics import Telemetry

from .hostile import HostileScene, run_crowd, run_hostile_scene, send, stay
from .prepared import run

MEMORY_MB = 100
MAX_SESSIONS = 100
LIMITS = {"memory-mb": MEMORY_MB, "max-fds": 600 + MAX_SESSIONS}
MAX_DESCRIPTORS = 250
HOLD_S = 4.0
WITHIN_S = 120.0
CALL_BYTES = 1_000_000


async def send_nothing(client: socket.socket) -> None:
    await stay(client)


async def send_garbage(client: socket.socket) -> None:
    await send(client, *[b"\0\0\3\0" + b"x" * (1 << 20)] * 8)
    await stay(client)


@pytest.mark.process
class HostilePeerTest(TestCase):
    def test_connections_without_a_handshake(self) -> None:
        """Guards against silent connections that take the descriptors of sessions and servers."""

        async def scenario() -> None:
            async with run_hostile_scene(limits=LIMITS) as scene:
                async with run_crowd(400, send_nothing, find_peer_address(scene)):
                    await self._check(scene)

        run(scenario(), within_s=WITHIN_S)

    def test_garbage(self) -> None:
        """Guards against memory for what was not authenticated."""

        async def scenario() -> None:
            async with run_hostile_scene(limits=LIMITS) as scene:
                async with run_crowd(100, send_garbage, find_peer_address(scene)):
                    await self._check(scene)

        run(scenario(), within_s=WITHIN_S)

    def test_incomplete_frames(self) -> None:
        """Guards against a process that holds four megabytes for each frame that does not end."""
        frame = MAX_FRAME_BYTES.to_bytes(4, "big") + b"x" * (MAX_FRAME_BYTES - 1)
        run(self._send_as_peers(30, [frame]), within_s=WITHIN_S)

    def test_large_calls_that_wait(self) -> None:
        """Guards against the memory of large statements that wait at a gateway."""
        run(self._send_as_peers(10, [build_call(i) for i in range(20)]), within_s=WITHIN_S)

    async def _send_as_peers(self, size: int, frames: list[bytes]) -> None:
        async with run_hostile_scene(limits=LIMITS) as scene, AsyncExitStack() as stack:
            scene.deployment.group.servers[1].faults.silent = True
            for _ in range(size):
                transport = await connect_as_peer(scene)
                stack.callback(transport.abort)
                for frame in frames:
                    transport.write(frame)
            await self._check(scene)

    async def _check(self, scene: HostileScene) -> None:
        await asyncio.sleep(HOLD_S)
        held = scene.measure()
        is_answered = await scene.ask_ordinary()
        use = scene.measure()
        print(
            f"{self.id().rpartition('.')[2]}: peak {use.peak_mb:.0f} MB,"
            f" {held.descriptors} descriptors, ordinary answered: {is_answered}"
        )
        self.assertTrue(is_answered, "no ordinary request was answered")
        self.assertLess(use.peak_mb, MEMORY_MB)
        self.assertLess(held.descriptors, MAX_DESCRIPTORS)


def find_peer_address(scene: HostileScene) -> str:
    return f"{scene.address.rpartition(':')[0]}:{PEER_PORT}"


async def connect_as_peer(scene: HostileScene) -> asyncio.Transport:
    """Return an authenticated connection that does not read more."""
    document = scene.deployment.store.read("lentilring-secret", SECRET_NAME)
    authenticator = Authenticator(deployment=DEPLOYMENT, secret=document["secret"].encode())
    connection = CallerConnection(
        address=find_peer_address(scene),
        authenticator=authenticator,
        telemetry=Telemetry(),
        max_frame_bytes=MAX_FRAME_BYTES,
        on_closed=lambda _: None,
    )
    host, _, port = connection.address.rpartition(":")
    transport, _ = await asyncio.get_running_loop().create_connection(
        lambda: connection, host, int(port)
    )
    await connection.ready
    # Let the proof be written before the frames.
    await asyncio.sleep(0.05)
    return transport


def build_call(number: int) -> bytes:
    """Return a call that no server runs, as it names one that does not answer."""
    request = RunStatement(
        request_id=f"q{number}",
        server="i-rental-1",
        account="planner",
        work=StatementKind.READ,
        text="READ " + "x" * CALL_BYTES,
        patience_s=60.0,
        timeout_s=60.0,
    )
    envelope = Envelope(
        request_id=number + 1,
        kind=EnvelopeKind.CALL,
        vm="vm-9",
        incarnation=1,
        address="127.0.0.1:1",
        body=encode(request),
    )
    return encode_frame(encode_struct(envelope))
