"""Tests of the `lentilring-standin database` program and its administration interface."""

import asyncio
import os
import re
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from testtools import ExpectedException, TestCase
from typer.testing import CliRunner

from lentilring.cli.standin import application
from lentilring.database.backend import ConnectionRefused
from lentilring.database.client import TcpBackendConnector
from lentilring.database.messages import Action, Lead, StatementStatus
from lentilring.standin.database import DatabaseServer
from lentilring.standin.database_admin import DatabaseAdmin
from lentilring.telemetry.metrics import Telemetry

from .test_database_standin import ask, put, write

LONG_S = 30.0
LISTENING = re.compile(r"source=standin\.(\w+) .*event=listening .*address=(\S+)")


@asynccontextmanager
async def run_program(*arguments: str) -> AsyncIterator[tuple[asyncio.subprocess.Process, dict]]:
    """Start the program and yield it with the addresses that it logs."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "lentilring.cli.standin", "database", *arguments),
        env=os.environ | {"LENTILRING_STANDIN_LISTEN": "127.0.0.1:0"},
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    addresses: dict[str, str] = {}
    try:
        async with asyncio.timeout(LONG_S):
            while len(addresses) < 2:
                line = (await process.stderr.readline()).decode()
                assert line, "the program ended"
                if found := LISTENING.search(line):
                    addresses[found[1]] = found[2]
        yield process, addresses
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


class AdminTests(TestCase):
    def test_faults_and_settings_change_at_run_time(self) -> None:
        async def body() -> None:
            server = DatabaseServer(name="a")
            server.lead(Lead(term=1, start_position=0))
            await write(server, put(1), request_id="r1")
            admin = DatabaseAdmin(server=server, address="127.0.0.1:0")
            await admin.start()
            async with aiohttp.ClientSession(f"http://{admin.address}") as client:
                faults = {"silence": "all", "pause_replication": True, "delay_s": 0.5}
                async with client.post("/faults", json=faults) as answer:
                    self.assertEqual(200, answer.status)
                async with client.post("/settings", json={"replication_lag_s": 3}) as answer:
                    self.assertEqual(200, answer.status)
                for wrong in ({"silent": True}, {"delay_s": "x"}, {"silence": "some"}):
                    async with client.post("/faults", json=wrong) as answer:
                        self.assertEqual(400, answer.status)
                async with client.get("/journal") as answer:
                    self.assertEqual(["r1"], [e["request_id"] for e in await answer.json()])
                async with client.get("/status") as answer:
                    self.assertEqual("primary", (await answer.json())["status"]["role"])
            current = server.faults
            self.assertTrue(current.silence_all and current.pause_replication)
            self.assertEqual((0.5, 3), (current.delay_s, server.settings.replication_lag_s))
            await admin.stop()

        asyncio.run(body())


class ProgramTests(TestCase):
    def test_wrong_address_is_a_usage_error(self) -> None:
        result = CliRunner().invoke(
            application, ["database", "--name", "a", "--listen", "localhost"]
        )
        self.assertEqual(2, result.exit_code)

    @pytest.mark.process
    def test_program_serves_and_finishes_statements_on_sigterm(self) -> None:
        """Guards against a stop that interrupts a running statement (I13)."""

        async def body() -> None:
            flags = [
                "--name",
                "a",
                "--role",
                "primary",
                "--connections",
                "1",
                "--statement-time-s",
                "0.5",
            ]
            async with run_program(*flags) as (process, addresses):
                backends = TcpBackendConnector(client="vm-1", telemetry=Telemetry())
                address = addresses["database_server"]
                connection = await backends.connect(address, timeout_s=LONG_S)
                with ExpectedException(ConnectionRefused):
                    await backends.connect(address, timeout_s=LONG_S)
                writing = asyncio.ensure_future(
                    connection.execute(ask(Action.WRITE, put(1)), timeout_s=LONG_S)
                )
                await self._wait_until_received(addresses["database_admin"])
                process.send_signal(signal.SIGTERM)
                self.assertEqual(StatementStatus.OK, (await writing).status)
                self.assertEqual(0, await asyncio.wait_for(process.wait(), LONG_S))

        asyncio.run(body())

    async def _wait_until_received(self, admin: str) -> None:
        async with asyncio.timeout(LONG_S), aiohttp.ClientSession() as client:
            while True:
                async with client.get(f"http://{admin}/status") as answer:
                    if (await answer.json())["received"]:
                        return
                await asyncio.sleep(0.01)
