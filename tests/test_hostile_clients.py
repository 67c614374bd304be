"""Clients of the statement protocol that do not keep the limits, against a real process.

Each test gives the process the settings file of a small VM. The crowds and bounds were fixed on the
code without a budget of bytes, and show there what the docstrings say.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from testtools import TestCase

from .hostile import (
    CROWD_KEY,
    HostileScene,
    has_ended,
    run_crowd,
    run_hostile_scene,
    send,
    stay,
)
from .prepared import run

Visit = Callable[[socket.socket], Awaitable[None]]

MEMORY_MB = 100
MAX_SESSIONS = 100
# The settings file reserves 600 descriptors for other uses than sessions.
LIMITS = {"memory-mb": MEMORY_MB, "max-fds": 600 + MAX_SESSIONS}
# Listening sockets, the store, three servers, connections that are being refused.
OTHER_DESCRIPTORS = 60
HOLD_S = 4.0
WITHIN_S = 120.0
MESSAGE_BYTES = 1024 * 1024
START = f"START booking {CROWD_KEY}\r\n".encode()
HALF_MESSAGE = b"QUERY q1 WRITE a " + b"x" * (MESSAGE_BYTES - 40)
PIECE_BYTES = 32 * 1024


async def send_half_message(client: socket.socket) -> None:
    await send(client, START, HALF_MESSAGE)
    await stay(client)


async def send_half_message_in_pieces(client: socket.socket) -> None:
    pieces = range(0, len(HALF_MESSAGE), PIECE_BYTES)
    await send(client, START)
    await send(client, *(HALF_MESSAGE[at : at + PIECE_BYTES] for at in pieces), pause_s=0.02)
    await stay(client)


async def send_whole_messages(client: socket.socket) -> None:
    await send(client, START, *[HALF_MESSAGE + b"\r\n"] * 4)
    await stay(client)


async def send_wide_messages(client: socket.socket) -> None:
    """Send text whose decoded form takes four bytes for each character."""
    await send(client, START, *["\U0001f33e".encode().join([HALF_MESSAGE, b"\r\n"])] * 2)
    await stay(client)


async def send_far_too_much(client: socket.socket) -> None:
    await send(client, START, *[HALF_MESSAGE] * 16)
    await stay(client)


async def pipeline(client: socket.socket) -> None:
    statement = b"QUERY q1 READ " + b"a" * 200 + b"\r\n"
    await send(client, START, *[statement * 100] * 40)
    await stay(client)


async def prepare_much(client: socket.socket) -> None:
    """Prepare statements that the session has to keep."""
    shape = b"x" * 500_000
    await send(client, START)
    await send(client, *(b"QUERY q PREPARE s%d READ %s\r\n" % (i, shape) for i in range(60)))
    await stay(client)


async def read_nothing(client: socket.socket) -> None:
    """Ask again and again for an item of a megabyte and read no answer."""
    await send(client, START, b"QUERY q1 READ large\r\n" * 10)
    await stay(client)


async def send_nothing(client: socket.socket) -> None:
    await stay(client)


async def stop_halfway(client: socket.socket) -> None:
    await send(client, START, b"QUERY q1 WRI")
    await stay(client)


async def trickle(client: socket.socket) -> None:
    await send(client, START, b"QUERY q1 WRITE a ")
    while not has_ended(client):
        await send(client, b"x")
        await asyncio.sleep(0.5)


@pytest.mark.process
class HostileCrowdTest(TestCase):
    def test_incomplete_messages(self) -> None:
        """Guards against a process that holds a megabyte for each message that does not end."""
        self._check(90, send_half_message)

    def test_incomplete_messages_in_pieces(self) -> None:
        """Guards against the same memory when the message arrives in small pieces."""
        self._check(90, send_half_message_in_pieces)

    def test_whole_messages(self) -> None:
        """Guards against the copies of many legal messages at once."""
        self._check(90, send_whole_messages)

    def test_wide_messages(self) -> None:
        """Guards against counting the bytes of a message whose text takes four times as much."""
        self._check(90, send_wide_messages)

    def test_messages_far_over_the_limit(self) -> None:
        """Guards against a process that receives a message to its end before it refuses it."""
        self._check(90, send_far_too_much)

    def test_pipelined_statements(self) -> None:
        """Guards against a process that receives far more statements than it runs."""
        self._check(90, pipeline)

    def test_prepared_statements(self) -> None:
        """Guards against memory that sessions keep between statements."""
        self._check(20, prepare_much)

    def test_answers_that_are_not_read(self) -> None:
        """Guards against large answers that collect in front of clients that do not read."""
        self._check(90, read_nothing)

    def test_connections_without_a_session(self) -> None:
        """Guards against silent connections that take the place of all sessions."""
        self._check(2 * MAX_SESSIONS, send_nothing)

    def test_sessions_halfway_in_a_message(self) -> None:
        """Guards against sessions that all end in the middle of a message."""
        self._check(MAX_SESSIONS, stop_halfway)

    def test_messages_that_arrive_byte_by_byte(self) -> None:
        """Guards against messages that go on for ever."""
        self._check(MAX_SESSIONS, trickle)

    def test_single_message_of_the_greatest_size(self) -> None:
        """Guards against limits that refuse what the protocol allows when nothing else happens."""

        async def scenario() -> None:
            async with run_hostile_scene(limits=LIMITS) as scene:
                reader, writer = await asyncio.open_connection(*scene.address.split(":"))
                writer.write(START + HALF_MESSAGE + b"\r\n")
                self.assertEqual(b"READY I -\r\n", await reader.readline())
                self.assertTrue((await reader.readline()).startswith(b"COMPLETE"))
                writer.close()

        run(scenario(), within_s=WITHIN_S)

    def _check(self, size: int, visit: Visit) -> None:
        run(self._run_crowd(size, visit), within_s=WITHIN_S)

    async def _run_crowd(self, size: int, visit: Visit) -> None:
        async with run_hostile_scene(limits=LIMITS) as scene:
            scene.deployment.group.items["large"] = "x" * (MESSAGE_BYTES - 40)
            async with run_crowd(size, visit, scene.address):
                await asyncio.sleep(HOLD_S)
                held = scene.measure()
                is_answered = await scene.ask_ordinary()
                self._report(scene, is_answered)
            self.assertTrue(is_answered, "no ordinary request was answered")
            self.assertLess(scene.measure().peak_mb, MEMORY_MB)
            self.assertLess(held.descriptors, MAX_SESSIONS + OTHER_DESCRIPTORS)

    def _report(self, scene: HostileScene, is_answered: bool) -> None:
        use = scene.measure()
        print(
            f"{self.id().rpartition('.')[2]}: peak {use.peak_mb:.0f} MB,"
            f" {use.descriptors} descriptors, ordinary answered: {is_answered}"
        )
