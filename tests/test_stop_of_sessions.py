"""Stops and faults in the way in of sessions: a statement that was read is answered."""

import asyncio
import os
import signal
import socket
from unittest.mock import patch

import logbook
from testtools import TestCase

from lentilring.gateways.service import GatewayService
from lentilring.session_process import run_session_proxy
from lentilring.sessions.listener import (
    FIRST_STATEMENT_TIMEOUT_S,
    LAST_ANSWERS_TIMEOUT_S,
    SessionListener,
)
from lentilring.sessions.readiness import POLL_INTERVAL_S, SessionReadiness

from .prepared import (
    READY_TIMEOUT_S,
    ZONES,
    Proxy,
    SessionClient,
    build_manifest,
    run,
    run_prepared_platform,
    wait_until,
)

# More loop steps than a connection takes from its arrival to its first statement.
ACCEPT_STEPS = 8
SILENCE_S = 0.5
STOP_TIMEOUT_S = 5.0
# Below asyncio's default limit for unsent data of a connection.
ANSWER_BYTES = 40_000

# The last one is that of a task of another service that was cancelled while a statement waited.
ERRORS = (KeyError("broken"), TimeoutError(), OSError(), EOFError(), asyncio.CancelledError())


class LateConnectionTest(TestCase):
    def test_connection_accepted_as_the_listener_stops_is_not_cut(self) -> None:
        """Guards against a connection that the stop overlooks and cancels with a statement."""
        for steps in range(ACCEPT_STEPS):
            run(self._stop_after(steps))

    async def _stop_after(self, steps: int) -> None:
        async with run_prepared_platform(proxies=1) as platform:
            proxy = platform.proxies["vm-0"]
            other = await proxy.open("booking")
            for server in platform.group.servers:
                server.faults.silent = True
            other.send("QUERY q1 READ a")
            await asyncio.sleep(0.05)
            host, _, port = proxy.settings.session_address.rpartition(":")
            late = socket.create_connection((host, int(port)))
            late.sendall(b"START booking plan-key\r\nQUERY q2 WRITE a 1\r\n")
            for _ in range(steps):
                await asyncio.sleep(0)
            await proxy.stop()
            reader, writer = await asyncio.open_connection(sock=late)
            client = SessionClient(reader, writer)
            greeting = await read_line(client)
            if greeting.startswith("READY"):
                answer = [await read_line(client), await read_line(client)]
                self.assertIn("ERROR", answer[0], f"{steps} steps")
                self.assertIn("READY", answer[1], f"{steps} steps")
            writer.close()
            other.close()


class HandlingErrorTest(TestCase):
    def test_error_in_the_handling_is_answered_and_the_session_goes_on(self) -> None:
        """Guards against a connection that an unexpected error closes without an answer."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                gateways = proxy.kernel.find("gateways", GatewayService)
                client = await proxy.open("booking")
                handler = logbook.TestHandler()
                with handler.applicationbound():
                    for error in ERRORS:
                        self.assertEqual(
                            ["ABORTED", "INDOUBT", "ABORTED", "INDOUBT"],
                            await self._fail_statements(gateways, client, error),
                        )
                lines = [line for line in handler.formatted_records if "=statement_error" in line]
                self.assertEqual(4 * len(ERRORS), len(lines))
                self.assertIn("request=q1", lines[0])
                self.assertIn("KeyError('broken')", lines[0])
                client.close()

        run(scenario())

    async def _fail_statements(
        self, gateways: GatewayService, client: SessionClient, error: BaseException
    ) -> list[str]:
        """Return the codes of a read, a write, and both a write and a commit in transactions."""
        answers = []
        for before, text in (
            ([], "READ a"),
            ([], "WRITE a 1"),
            (["BEGIN", "WRITE a 1"], "WRITE a 2"),
            (["BEGIN", "WRITE a 1"], "COMMIT"),
        ):
            for earlier in before:
                self.assertIn("COMPLETE", (await client.query(earlier))[0])
            with patch.object(gateways, "run", side_effect=error):
                answers.append(await client.query(text, f"q{len(answers) + 1}"))
            if answers[-1][-1].startswith("READY E"):
                self.assertIn("COMPLETE", (await client.query("ROLLBACK"))[0])
            self.assertIn("COMPLETE", (await client.query("READ a"))[-2])
        return [answer[0].split(" ")[1] for answer in answers]


class SlowReaderTest(TestCase):
    def test_stop_waits_until_a_slow_caller_has_its_answer(self) -> None:
        """Guards against a process that ends with half an answer in its buffer."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                platform.group.items["a"] = "x" * ANSWER_BYTES
                caller = await self._open_slowly(proxy)
                (connection,) = proxy.kernel.find("sessions", SessionListener)._connections
                transport = connection._writer.transport
                narrow(transport.get_extra_info("socket"), socket.SO_SNDBUF)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(caller, b"QUERY q1 READ a\r\n")
                await wait_until(lambda: transport.get_write_buffer_size() > 0, within_s=2.0)
                stop = asyncio.ensure_future(proxy.stop())
                await asyncio.sleep(LAST_ANSWERS_TIMEOUT_S / 3)
                reading = asyncio.ensure_future(read_all(caller))
                await stop
                self.assertEqual(0, transport.get_write_buffer_size())
                answer = await reading
                self.assertEqual(ANSWER_BYTES, answer.count(b"x"))
                self.assertTrue(answer.endswith(b"READY I 1.0\r\n"), answer[-40:])
                caller.close()

        run(scenario())

    async def _open_slowly(self, proxy: Proxy) -> socket.socket:
        """Return the open session of a caller that reads nothing on its own."""
        host, _, port = proxy.settings.session_address.rpartition(":")
        caller = socket.socket()
        narrow(caller, socket.SO_RCVBUF)
        caller.connect((host, int(port)))
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, b"START booking plan-key\r\n")
        self.assertEqual(b"READY I -\r\n", await loop.sock_recv(caller, 100))
        return caller


class NewSessionTest(TestCase):
    def test_session_is_refused_when_nothing_can_run_any_more(self) -> None:
        """Guards against a session that is opened only to refuse its caller's statements."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                busy = await proxy.open("booking")
                await busy.query("BEGIN")
                await busy.query("READ a")
                stop = asyncio.ensure_future(
                    proxy.readiness.drain_sessions(timeout_s=1.5, transaction_time_s=0.3)
                )
                early = await proxy.open("booking")
                self.assertEqual("READY I -", early.greeting)
                await asyncio.sleep(0.4)
                late = await proxy.open("booking")
                self.assertEqual("ERROR BUSY the proxy is stopping", late.greeting)
                self.assertEqual("", await late.read_line())
                for client in (busy, early, late):
                    client.close()
                await stop

        run(scenario())

    def test_new_session_is_not_closed_before_its_first_statement(self) -> None:
        """Guards against a first statement that meets the close of an idle session."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                proxy = platform.proxies["vm-0"]
                stop = asyncio.ensure_future(
                    proxy.readiness.drain_sessions(timeout_s=2.0, transaction_time_s=2.0)
                )
                # New callers still arrive until half of the time is over.
                await asyncio.sleep(0.95)
                first, unused = await proxy.open("booking"), await proxy.open("booking")
                await asyncio.sleep(2 * POLL_INTERVAL_S)
                self.assertIn("COMPLETE", (await first.query("WRITE a 1"))[0])
                for client in (first, unused):
                    self.assertEqual("ERROR BUSY the proxy is stopping", await client.read_line())
                    client.close()
                await asyncio.wait_for(stop, FIRST_STATEMENT_TIMEOUT_S)

        run(scenario())


class PipelinedTest(TestCase):
    def test_statements_behind_a_failed_one_are_answered_in_order(self) -> None:
        """Guards against a stop that drops what was read behind a statement that it gives up."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                for server in platform.group.servers:
                    server.faults.silent = True
                for text in ("WRITE a 2", "READ a", "SET x 1", "COMMIT", "WRITE a 3", "SET x 2"):
                    client.send(f"QUERY q {text}")
                await asyncio.sleep(0.1)
                await proxy.stop()
                answers = [await client.read_answer() for _ in range(6)]
                self.assertEqual(
                    [
                        ("ERROR ABORTED", "READY E"),
                        ("ERROR MALFORMED", "READY E"),
                        ("ERROR MALFORMED", "READY E"),
                        ("ERROR ABORTED", "READY I"),
                        ("ERROR BUSY", "READY I"),
                        ("ERROR BUSY", "READY I"),
                    ],
                    [tuple(" ".join(line.split(" ")[:2]) for line in lines) for lines in answers],
                )
                client.close()

        run(scenario())

    def test_line_that_arrives_in_parts_keeps_its_session_open(self) -> None:
        """Guards against a session that is closed as idle while a statement arrives."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                client._writer.write(b"QUERY q1 WRITE a " + b"x" * 200_000)
                stop = asyncio.ensure_future(
                    proxy.readiness.drain_sessions(timeout_s=2.0, transaction_time_s=2.0)
                )
                await asyncio.sleep(1.0 + 2.5 * POLL_INTERVAL_S)
                client.send("")
                self.assertIn("COMPLETE", (await client.read_answer())[0])
                await stop
                client.close()

        run(scenario())


class ChangedConfigurationTest(TestCase):
    def test_statements_are_answered_when_route_and_key_go_during_the_stop(self) -> None:
        """Guards against a stop that cuts sessions whose route or key was withdrawn."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                proxy = platform.proxies["vm-0"]
                rerouted = await proxy.open("booking")
                withdrawn = await proxy.open("stock", "crew-key")
                for client in (rerouted, withdrawn):
                    await client.query("BEGIN")
                    self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                stop = asyncio.ensure_future(
                    proxy.readiness.drain_sessions(timeout_s=4.0, transaction_time_s=4.0)
                )
                manifest = build_manifest(2)
                manifest["routes"] = manifest["routes"][1:]
                manifest["tenants"] = manifest["tenants"][:1]
                platform.store.put("config", "main", manifest)
                await wait_until(lambda: proxy.catalog.version == 2, within_s=2.0)
                self.assertIn("COMPLETE", (await rerouted.query("COMMIT"))[0])
                self.assertIn("ERROR UNAUTH", (await withdrawn.query("COMMIT"))[0])
                self.assertIn("ERROR NODB", (await rerouted.query("WRITE a 2"))[0])
                for client in (rerouted, withdrawn):
                    client.close()
                await stop

        run(scenario())


class ProcessTest(TestCase):
    def test_statement_is_answered_although_draining_fails(self) -> None:
        """Guards against an error in draining that cuts all connections."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                settings = build_proxy(platform.store.address).settings
                process = asyncio.ensure_future(run_session_proxy(settings))
                client = await open_when_ready(settings.session_address)
                for server in platform.group.servers:
                    server.faults.silent = True
                client.send("QUERY q1 WRITE a 1")
                await asyncio.sleep(0.1)
                with patch.object(SessionReadiness, "drain_sessions", side_effect=KeyError("x")):
                    os.kill(os.getpid(), signal.SIGTERM)
                    await asyncio.wait({process}, timeout=STOP_TIMEOUT_S)
                self.assertIsInstance(process.exception(), KeyError)
                answer = await asyncio.wait_for(client.read_answer(), SILENCE_S)
                self.assertIn("ERROR INDOUBT", answer[0])
                client.close()

        run(scenario())

    def test_process_that_waits_for_the_store_ends_at_once(self) -> None:
        """Guards against a process that opens sessions when its grace period is half over."""

        async def scenario() -> None:
            store = await asyncio.start_server(lambda *_: asyncio.sleep(60), "127.0.0.1", 0)
            port = store.sockets[0].getsockname()[1]
            process = asyncio.ensure_future(
                run_session_proxy(build_proxy(f"127.0.0.1:{port}").settings)
            )
            await asyncio.sleep(0.3)
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.wait_for(process, SILENCE_S)
            store.close()

        run(scenario())

    def test_statements_are_answered_although_the_store_is_gone(self) -> None:
        """Guards against a stop that waits for a store that does not answer."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                settings = build_proxy(platform.store.address).settings
                process = asyncio.ensure_future(run_session_proxy(settings))
                client = await open_when_ready(settings.session_address)
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                await platform.store.stop()
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.sleep(settings.drain_timeout_s / 2)
                self.assertIn("COMPLETE", (await client.query("COMMIT"))[0])
                await asyncio.wait_for(process, settings.drain_timeout_s)
                client.close()

        run(scenario())


def build_proxy(store_address: str) -> Proxy:
    """Return a proxy that is not started, for its settings."""
    return Proxy(vm="vm-0", zone=ZONES[0], store_address=store_address, settings={})


async def open_when_ready(address: str) -> SessionClient:
    """Return an open session; wait until the process accepts one."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                client = await SessionClient.open(address, "booking", "plan-key")
            except OSError:
                client = None
            if client is not None and client.greeting.startswith("READY"):
                return client
            await asyncio.sleep(0.05)


def narrow(end: socket.socket, buffer: int) -> None:
    """Make a socket's buffer hold a few kilobytes only."""
    end.setsockopt(socket.SOL_SOCKET, buffer, 4096)


async def read_all(caller: socket.socket) -> bytes:
    """Return all bytes until the end of a connection."""
    parts = []
    while part := await asyncio.get_running_loop().sock_recv(caller, 65536):
        parts.append(part)
    return b"".join(parts)


async def read_line(client: SessionClient) -> str:
    """Return a line; an empty one if the connection is closed or was never read."""
    try:
        return await asyncio.wait_for(client.read_line(), SILENCE_S)
    except (ConnectionError, TimeoutError):
        return ""
