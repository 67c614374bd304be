"""Decisions about clients that hold too much or take too long, without a network."""

import asyncio
from unittest.mock import Mock

from testtools import TestCase

from lentilring.byte_budget import ByteBudget
from lentilring.platform.boot import MIN_CONNECTION_BYTES, derive_connection_bytes
from lentilring.platform.statements import MAX_LINE_BYTES
from lentilring.sessions.client_limits import (
    ROOM_AFTER_UNOPENED_S,
    ClientLimit,
    ClientLimits,
    ClientWait,
    choose_for_room,
    choose_overdue,
)
from lentilring.sessions.reading import READ_LIMIT_BYTES, MessageReader, MessageTooLong

LIMITS = ClientLimits(
    max_sessions=3,
    open_timeout_s=10.0,
    message_timeout_s=30.0,
    answer_timeout_s=5.0,
    room_message_s=5.0,
)
ORDINARY_BYTES = 4 * 3000
MEGABYTE = 1024 * 1024


class ByteBudgetTest(TestCase):
    def test_greatest_holder_is_closed_until_the_rest_fits(self) -> None:
        """Guards against closing callers of ordinary statements because of others."""
        budget = ByteBudget[str](limit_bytes=1000)
        for name, held in (("small", 10), ("large", 400), ("larger", 500)):
            self.assertEqual([], budget.hold(name, held))
        chosen = budget.hold("last", 700)
        found = [(entry.holder, entry.held_bytes, entry.total_bytes) for entry in chosen]
        self.assertEqual([("last", 700, 1610)], found)
        chosen = budget.hold("small", 501)
        self.assertEqual(["small"], [entry.holder for entry in chosen])
        self.assertEqual(900, budget.total_bytes)

    def test_several_are_closed_for_one_that_holds_little(self) -> None:
        """Guards against a budget that stays exceeded after one connection was closed."""
        budget = ByteBudget[int](limit_bytes=100)
        for holder in range(4):
            budget.hold(holder, 25)
        budget.limit_bytes = 50
        self.assertEqual(3, len(budget.hold(4, 1)))
        self.assertLessEqual(budget.total_bytes, 50)

    def test_changed_and_released_bytes_are_counted_once(self) -> None:
        """Guards against a total that drifts from what is held."""
        budget = ByteBudget[str](limit_bytes=1000)
        for held in (900, 10, 900, 0, 300):
            self.assertEqual([], budget.hold("a", held))
        self.assertEqual(300, budget.total_bytes)
        for _ in range(2):
            budget.release("a")
        self.assertEqual(0, budget.total_bytes)

    def test_reserved_bytes_leave_half_to_connections(self) -> None:
        """Guards against calls of peers that close all sessions of a process."""
        budget = ByteBudget[str](limit_bytes=100)
        self.assertEqual([True, False], [budget.reserve(50), budget.reserve(1)])
        self.assertEqual([], budget.hold("a", 50))
        budget.free(50)
        self.assertEqual([], budget.hold("a", 90))
        self.assertEqual([False, True], [budget.reserve(11), budget.reserve(10)])

    def test_ordinary_load_stays_far_below_the_budget_of_a_small_vm(self) -> None:
        """Guards against a default that callers within the documented limits reach."""
        limit = derive_connection_bytes(200, 3700)
        self.assertLess(2000 * ORDINARY_BYTES, limit)
        self.assertLess(4 * MEGABYTE + 3 * MEGABYTE, MIN_CONNECTION_BYTES)
        self.assertEqual(MIN_CONNECTION_BYTES, derive_connection_bytes(50, 100))
        self.assertLess(2 * derive_connection_bytes(552, 7592), 552e6 - 60e6)


class TimeLimitTest(TestCase):
    def test_clients_that_take_too_long_are_closed(self) -> None:
        """Guards against messages that never end, and against closing idle sessions."""
        waits = [
            build_wait("opening", unopened_s=9.9),
            build_wait("silent", unopened_s=10.0),
            build_wait("idle"),
            build_wait("sending", incomplete_s=29.9),
            build_wait("halfway", incomplete_s=30.0),
            build_wait("opening slowly", unopened_s=9.0, incomplete_s=40.0),
        ]
        expected = [
            ("silent", ClientLimit.OPEN_TIMEOUT),
            ("halfway", ClientLimit.MESSAGE_TIMEOUT),
        ]
        self.assertEqual(expected, choose_overdue(waits, LIMITS))

    def test_oldest_connection_without_session_makes_room_first(self) -> None:
        """Guards against silent connections that keep new callers out."""
        waits = [
            build_wait("idle"),
            build_wait("halfway", incomplete_s=20.0),
            build_wait("new", unopened_s=0.2),
            build_wait("old", unopened_s=3.0),
        ]
        self.assertEqual("old", choose_for_room(waits, LIMITS))

    def test_oldest_incomplete_message_makes_room_next(self) -> None:
        """Guards against sessions that are all halfway in a message."""
        waits = [
            build_wait("just connected", unopened_s=ROOM_AFTER_UNOPENED_S / 2),
            build_wait("halfway", incomplete_s=6.0),
            build_wait("longer", incomplete_s=7.0),
            build_wait("idle"),
        ]
        self.assertEqual("longer", choose_for_room(waits, LIMITS))

    def test_sessions_in_use_are_kept(self) -> None:
        """Guards against closing idle sessions, new ones and long messages that arrive."""
        waits = [
            build_wait("idle"),
            build_wait("just connected", unopened_s=ROOM_AFTER_UNOPENED_S / 2),
            build_wait("sending", incomplete_s=4.9),
        ]
        self.assertIsNone(choose_for_room(waits, LIMITS))


class MessageReaderTest(TestCase):
    def test_messages_are_returned_whole_however_they_arrive(self) -> None:
        """Guards against bytes that are lost or mixed where a long message is put together."""
        lengths = (0, 1, READ_LIMIT_BYTES - 1, READ_LIMIT_BYTES, READ_LIMIT_BYTES + 1, 50_000)
        messages = [b"%d" % (length % 10) * length for length in lengths]
        stream = b"".join(message + b"\r\n" for message in messages)
        for piece in (1, 7, 1000, READ_LIMIT_BYTES + 1, len(stream)):
            found = asyncio.run(read_all(stream, piece))
            self.assertEqual([*messages, None], found, f"pieces of {piece}")

    def test_message_over_the_limit_is_refused_before_its_end(self) -> None:
        """Guards against receiving a message of any length."""
        for size, expected in ((MAX_LINE_BYTES, False), (MAX_LINE_BYTES + 1, True)):
            found = asyncio.run(read_all(b"x" * size + b"\r\n", 8192))
            self.assertEqual(expected, isinstance(found[0], MessageTooLong), size)
        found = asyncio.run(read_all(b"x" * (MAX_LINE_BYTES + READ_LIMIT_BYTES * 2), 8192))
        self.assertIsInstance(found[0], MessageTooLong)

    def test_ended_reader_stays_paused(self) -> None:
        """Guards against bytes that arrive behind the end, as the stream resumes when it is read.

        asyncio closes the connection then, and the statements that were read get no answer.
        """

        async def scenario() -> None:
            reader, transport = build_reader()
            reader._reader.feed_data(b"a\r\n" * READ_LIMIT_BYTES)
            reader.end()
            count = 0
            while await reader.read() == b"a":
                count += 1
                self.assertEqual("pause_reading", transport.method_calls[-1][0])
            self.assertEqual(READ_LIMIT_BYTES, count)

        asyncio.run(scenario())

    def test_time_of_a_message_begins_with_its_first_byte(self) -> None:
        """Guards against closing an idle session for the time it was idle."""

        async def scenario() -> None:
            reader, _ = build_reader()
            reading = asyncio.ensure_future(reader.read())
            await asyncio.sleep(0)
            reader.note_received()
            self.assertIsNone(reader.began_at)
            reader._reader.feed_data(b"half")
            reader.note_received()
            self.assertIsNotNone(reader.began_at)
            self.assertEqual(4, reader.held_bytes)
            reader._reader.feed_data(b"\r\n")
            self.assertEqual(b"half", await reading)
            self.assertEqual((None, 0), (reader.began_at, reader.held_bytes))

        asyncio.run(scenario())


def build_wait(
    client: str, *, unopened_s: float | None = None, incomplete_s: float | None = None
) -> ClientWait[str]:
    return ClientWait(client=client, unopened_s=unopened_s, incomplete_s=incomplete_s)


def build_reader() -> tuple[MessageReader, Mock]:
    stream, transport = asyncio.StreamReader(limit=READ_LIMIT_BYTES), Mock()
    stream.set_transport(transport)
    reader = MessageReader(
        reader=stream, transport=transport, line_end=b"\r\n", max_bytes=MAX_LINE_BYTES
    )
    return reader, transport


async def read_all(data: bytes, piece: int) -> list[bytes | MessageTooLong | None]:
    """Return what is read until the end or a message that is too long."""
    reader, _ = build_reader()

    async def feed() -> None:
        for start in range(0, len(data), piece):
            reader._reader.feed_data(data[start : start + piece])
            if start % 50_000 < piece:
                await asyncio.sleep(0)
        reader._reader.feed_eof()

    feeding = asyncio.ensure_future(feed())
    found: list[bytes | MessageTooLong | None] = []
    while not found or isinstance(found[-1], bytes):
        found.append(await reader.read())
    await feeding
    return found
