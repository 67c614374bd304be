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
        """Guards against reads that wait for a dead replica to catch up.

        A gateway waits briefly for a replica that is behind, but a dead one does not catch up.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            addresses = [a for a in deployment.backends.servers if a != deployment.primary_address]
            await deployment.backends.kill(addresses[0])
            await asyncio.sleep(1)
            loop = asyncio.get_running_loop()
            slow_reads = 0
            for index in range(60):
                started_at = loop.time()
                read = await deployment.request(f"vm-{index % 3}", "stock", GET)
                self.assertIsInstance(read, Completed, read)
                slow_reads += loop.time() - started_at > 0.09
                await asyncio.sleep(0.2)
            self.assertLessEqual(slow_reads, 3)

        run_virtual(scenario())

    def test_waiting_statements_leave_a_silent_server_together(self) -> None:
        """Guards against waiting statements that are refused one by one.

        Each would hold a slot for the connect time-out of a server that does not answer.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            gateway_vm = "vm-" + deployment.primary.removeprefix("db-")
            gateway = deployment.proxies[gateway_vm].kernel.find("gateway", object)
            server = gateway.get_server(GROUP, deployment.primary)
            deployment.backends.servers[deployment.primary_address].silence(Silence.ALL)
            loop = asyncio.get_running_loop()
            started_at = loop.time()

            async def use_connection() -> None:
                async with server.pool.hold_slot("atlas", started_at + 60):
                    async with server.pool.borrow_connection(started_at + 60):
                        self.fail("a server that does not answer gave a connection")

            outcomes = await asyncio.gather(
                *(use_connection() for _ in range(20)), return_exceptions=True
            )
            self.assertEqual({"SlotRefused"}, {type(outcome).__name__ for outcome in outcomes})
            # The first two wait for the connect time-out of 1 s; the others are refused with them.
            self.assertLess(loop.time() - started_at, 2.0)

        run_virtual(scenario())
