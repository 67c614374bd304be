"""What the proxy does, counts and logs when a caller of the statement protocol meets a limit."""

import asyncio
import os
import socket
from contextlib import ExitStack, suppress
from typing import Any

import logbook
from testtools import TestCase

from lentilring.sessions.client_limits import ClientLimit
from lentilring.sessions.listener import SessionListener

from .prepared import (
    ZONES,
    PreparedPlatform,
    Proxy,
    SessionClient,
    run,
    run_prepared_platform,
    wait_until,
)

LEAST_CONNECTION_BYTES = 4 * 1024 * 1024
BURST_SIZE = 200
# As in tests/test_hostile_clients.py.
OTHER_DESCRIPTORS = 60


async def add_proxy(platform: PreparedPlatform, **settings: Any) -> Proxy:
    proxy = await platform.add_proxy("vm-0", ZONES[0], **settings)
    await platform.wait_ready()
    return proxy


def count_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def connect_now(address: str) -> socket.socket:
    """Begin a connection without a turn of the event loop."""
    host, _, port = address.rpartition(":")
    client = socket.socket()
    client.setblocking(False)
    client.connect_ex((host, int(port)))
    return client


def count_closed(proxy: Proxy, limit: ClientLimit) -> int:
    return proxy.telemetry.read("connections_closed", limit=limit)


def count_ended(proxy: Proxy) -> int:
    """Return how many connections were refused, or closed to make room for others."""
    refused: int = proxy.telemetry.read("sessions_rejected", reason="too_many")
    return refused + count_closed(proxy, ClientLimit.MAX_SESSIONS)


class ClosedClientTest(TestCase):
    def test_unopened_and_halfway_connections_are_closed_in_time(self) -> None:
        """Guards against connections that stay for ever, and against closing idle sessions."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                proxy = await add_proxy(platform, open_timeout_s=0.3, message_timeout_s=0.3)
                idle = await proxy.open("booking")
                halfway = await proxy.open("booking")
                halfway._writer.write(b"QUERY q1 REA")
                host, _, port = proxy.settings.session_address.rpartition(":")
                silent = SessionClient(*await asyncio.open_connection(host, int(port)))
                handler = logbook.TestHandler()
                with handler.applicationbound():
                    for client in (halfway, silent):
                        await wait_until_closed(client)
                lines = [line for line in handler.formatted_records if "connection_closed" in line]
                self.assertEqual(2, len(lines))
                for limit in (ClientLimit.OPEN_TIMEOUT, ClientLimit.MESSAGE_TIMEOUT):
                    self.assertEqual(1, count_closed(proxy, limit))
                    self.assertTrue(any(f"limit={limit}" in line for line in lines), lines)
                await asyncio.sleep(0.8)
                self.assertIn("COMPLETE", (await idle.query("WRITE a 1"))[0])
                for client in (idle, halfway, silent):
                    client.close()

        run(scenario())

    def test_session_that_holds_most_is_closed(self) -> None:
        """Guards against an ordinary caller that is closed for another one's bytes."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                proxy = await add_proxy(platform, connection_bytes=LEAST_CONNECTION_BYTES)
                ordinary, greedy = await proxy.open("booking"), await proxy.open("booking")
                await ordinary.query("SET zone blue")
                await ordinary.query("BEGIN")
                await ordinary.query("WRITE a 1")
                for number in range(8):
                    greedy.send(f"QUERY q PREPARE s{number} READ {'x' * 900_000}")
                await wait_until_closed(greedy)
                self.assertEqual(1, count_closed(proxy, ClientLimit.CONNECTION_BYTES))
                self.assertIn("COMPLETE", (await ordinary.query("COMMIT"))[0])
                listener = proxy.kernel.find("sessions", SessionListener)
                await wait_until(lambda: listener.session_count == 1, within_s=2.0)
                self.assertLess(listener._budget.total_bytes, 1000)
                ordinary.close()

        run(scenario())

    def test_running_statement_of_a_closed_session_is_given_up(self) -> None:
        """Guards against bytes that a closed connection's statement holds on to."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                proxy = await add_proxy(platform, connection_bytes=LEAST_CONNECTION_BYTES)
                for server in platform.group.servers:
                    server.faults.silent = True
                clients = [await proxy.open("booking") for _ in range(2)]
                for client in clients:
                    client.send(f"QUERY q WRITE a {'x' * 600_000}")
                await wait_until(
                    lambda: count_closed(proxy, ClientLimit.CONNECTION_BYTES) == 1, within_s=2.0
                )
                listener = proxy.kernel.find("sessions", SessionListener)
                await wait_until(lambda: len(listener._tasks) == 1, within_s=0.5)
                self.assertEqual(1, proxy.telemetry.read("statements_unanswered", stopping="false"))
                for client in clients:
                    client.close()

        run(scenario())

    def test_statement_that_closes_its_own_client_is_counted(self) -> None:
        """Guards against a statement that was read and is neither answered nor logged."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                proxy = await add_proxy(platform, connection_bytes=LEAST_CONNECTION_BYTES)
                for server in platform.group.servers:
                    server.faults.silent = True
                late, running = [await proxy.open("booking") for _ in range(2)]
                message = f"QUERY q WRITE a {'x' * 600_000}\r\n".encode()
                listener = proxy.kernel.find("sessions", SessionListener)
                # Of two that hold the same, the one that arrived first is closed.
                late._writer.write(message[:300_000])
                await wait_until(lambda: listener._budget.total_bytes >= 300_000, within_s=2.0)
                running._writer.write(message)
                await wait_until(lambda: listener._budget.total_bytes >= 2_700_000, within_s=2.0)
                late._writer.write(message[300_000:])
                await wait_until(
                    lambda: count_closed(proxy, ClientLimit.CONNECTION_BYTES) == 1, within_s=2.0
                )
                await wait_until(lambda: len(listener._tasks) == 1, within_s=2.0)
                self.assertEqual(1, proxy.telemetry.read("statements_unanswered", stopping="false"))
                for client in (late, running):
                    client.close()

        run(scenario())

    def test_many_callers_at_once_take_few_descriptors(self) -> None:
        """Guards against a burst of connections that are all accepted before one is refused."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                proxy = await add_proxy(platform, max_sessions=2)
                before = count_descriptors()
                with ExitStack() as clients:
                    for _ in range(BURST_SIZE):
                        clients.enter_context(connect_now(proxy.settings.session_address))
                    peak = 0
                    while count_ended(proxy) < BURST_SIZE - 2:
                        await asyncio.sleep(0)
                        peak = max(peak, count_descriptors())
                self.assertLess(peak - before - BURST_SIZE, OTHER_DESCRIPTORS)

        run(scenario())

    def test_new_caller_gets_the_place_of_a_silent_connection(self) -> None:
        """Guards against silent connections that keep callers out, and against closing sessions."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                proxy = await add_proxy(platform, max_sessions=2)
                first = await proxy.open("booking")
                host, _, port = proxy.settings.session_address.rpartition(":")
                silent = SessionClient(*await asyncio.open_connection(host, int(port)))
                await asyncio.sleep(0.2)
                second = await proxy.open("booking")
                self.assertEqual("READY I -", second.greeting)
                await wait_until_closed(silent)
                self.assertEqual(1, count_closed(proxy, ClientLimit.MAX_SESSIONS))
                with suppress(OSError):
                    self.assertEqual("", (await proxy.open("booking")).greeting)
                self.assertEqual(1, proxy.telemetry.read("sessions_rejected", reason="too_many"))
                for client in (first, second):
                    self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                for client in (first, second, silent):
                    client.close()

        run(scenario())


async def wait_until_closed(client: SessionClient) -> None:
    """Read until the proxy closes the connection, which may be by a reset."""
    with suppress(OSError):
        while await client.read_line():
            pass
