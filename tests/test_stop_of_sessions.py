"""Stops and faults in the way in of sessions: a statement that was read is answered."""

import asyncio
import socket
from unittest.mock import patch

import logbook
from testtools import TestCase

from lentilring.gateways.service import GatewayService

from .prepared import SessionClient, run, run_prepared_platform

# More loop steps than a connection takes from its arrival to its first statement.
ACCEPT_STEPS = 8
SILENCE_S = 0.5


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
                    for error in (KeyError("broken"), TimeoutError(), OSError(), EOFError()):
                        self.assertEqual(
                            ["ABORTED", "INDOUBT", "ABORTED", "INDOUBT"],
                            await self._fail_statements(gateways, client, error),
                        )
                lines = [line for line in handler.formatted_records if "=statement_error" in line]
                self.assertEqual(16, len(lines))
                self.assertIn("request=q1", lines[0])
                self.assertIn("KeyError('broken')", lines[0])
                client.close()

        run(scenario())

    async def _fail_statements(
        self, gateways: GatewayService, client: SessionClient, error: Exception
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


async def read_line(client: SessionClient) -> str:
    """Return a line; an empty one if the connection is closed or was never read."""
    try:
        return await asyncio.wait_for(client.read_line(), SILENCE_S)
    except (ConnectionError, TimeoutError):
        return ""
