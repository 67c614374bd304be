"""Requests while a backend server does not answer."""

import asyncio

import testtools

from lentilring.outcomes import Completed
from lentilring.standin.sessions import Silence

from .deployment import GROUP, Deployment
from .virtual_time import run_virtual

GET = {"op": "get", "key": "tents"}


class UnreachableServerTest(testtools.TestCase):
    def test_reads_lose_no_time_at_a_dead_replica(self) -> None:
        """Guards against a wait for a replica's progress at each read while it is dead."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            addresses = [a for a in deployment.backends.servers if a != deployment.primary_address]
            await deployment.backends.kill(addresses[0])
            await asyncio.sleep(1)
            loop = asyncio.get_running_loop()
            slow = 0
            for index in range(60):
                started = loop.time()
                read = await deployment.request(f"vm-{index % 3}", "stock", GET)
                self.assertIsInstance(read, Completed, read)
                slow += loop.time() - started > 0.09
                await asyncio.sleep(0.2)
            self.assertLessEqual(slow, 3)

        run_virtual(scenario())

    def test_waiting_statements_leave_a_silent_server_together(self) -> None:
        """Guards against a queue that passes on one statement each connect time-out."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            holder = "vm-" + deployment.primary.removeprefix("db-")
            gateway = deployment.proxies[holder].kernel.find("gateway", object)
            server = gateway.get_server(GROUP, deployment.primary)
            deployment.backends.servers[deployment.primary_address].silence(Silence.ALL)
            loop = asyncio.get_running_loop()
            started = loop.time()

            async def use() -> None:
                async with server.pool.hold_slot("atlas", started + 60):
                    async with server.pool.borrow_connection(started + 60):
                        self.fail("a silent server gave a connection")

            outcomes = await asyncio.gather(*(use() for _ in range(20)), return_exceptions=True)
            self.assertEqual({"SlotRefused"}, {type(outcome).__name__ for outcome in outcomes})
            # The first two wait for the connect time-out of 1 s, the others end with them.
            self.assertLess(loop.time() - started, 2.0)

        run_virtual(scenario())
