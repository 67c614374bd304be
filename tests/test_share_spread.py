"""Spread of the rate-limit shares over the proxies."""

import asyncio
from collections import Counter

import testtools

from lentilring.platform.store import Kind

from .deployment import Deployment
from .virtual_time import run_virtual

PROXIES = 6
SETTLE_S = 300.0


class ShareSpreadTest(testtools.TestCase):
    def test_shares_spread_over_proxies_that_start_after_the_first(self) -> None:
        """Guards against the loss of the whole rate with one proxy.

        The first proxy of a deployment sees no other member and takes every share; those that
        start later must get some of them, long before the lease of 30 minutes ends.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(proxies=1)
            await asyncio.sleep(2.0)
            for index in range(1, PROXIES):
                await deployment.add_proxy(index)
            await asyncio.sleep(SETTLE_S)
            records = deployment.table.list([Kind.SHARE], 0).objects
            holders = Counter(str(record.value["vm"]) for record in records if record.value)
            self.assertLessEqual(max(holders.values()), len(records) // 2, holders)

        run_virtual(scenario())
