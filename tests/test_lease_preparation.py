"""Gateways that take over while the store is away."""

import asyncio

from testtools import TestCase

from .prepared import PreparedPlatform, run, run_prepared_platform, wait_until
from .test_copies import read_recorded

# Several rounds in which supervisors look after their connections.
PREPARATION_S = 1.5
TAKEN_OVER_WITHIN_S = 4.0


async def writes(platform: PreparedPlatform, vm: str) -> bool:
    """Tell whether a write through a proxy succeeds."""
    client = await platform.proxies[vm].open("booking")
    try:
        return (await client.query("WRITE a 1"))[-2].startswith("COMPLETE")
    finally:
        client.close()


class LeasePreparationTest(TestCase):
    def test_another_gateway_serves_writes_while_the_store_is_away(self) -> None:
        """Guards against a primary without a lease until the store is back.

        A new connection to a replica counts only after an answer of the store. In a trial of
        khaima-ops trouble-3 the VM of a gateway was replaced while the store was down.
        """

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                await wait_until(lambda: bool(read_recorded(platform)), within_s=8.0)
                self.assertTrue(await writes(platform, "vm-1"))
                await asyncio.sleep(PREPARATION_S)
                platform.store.faults.down = True
                await platform.proxies.pop("vm-0").stop()
                loop = asyncio.get_running_loop()
                end = loop.time() + TAKEN_OVER_WITHIN_S
                while not await writes(platform, "vm-1"):
                    self.assertLess(loop.time(), end)
                    await asyncio.sleep(0.1)
                platform.store.faults.down = False

        run(scenario())
