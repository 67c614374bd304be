"""Admission after a short pause of the share holder."""

import asyncio

import testtools

from lentilring.configuration.models import hash_key
from lentilring.outcomes import Completed
from lentilring.platform.store import Kind

from .deployment import Deployment
from .virtual_time import run_virtual

CLIENT_ACCOUNTS = [f"client-{index}" for index in range(8)]
PAUSE_S = 0.4
# Longer than one call's time-out and the first wait after a failure.
RECOVERY_S = 1.0


class ShareHolderPauseTest(testtools.TestCase):
    def test_pause_of_the_holder_refuses_little_longer_than_it_lasts(self) -> None:
        """Guards against calls of several accounts that fail together and count one by one.

        Each of them doubles the time for which the holder is not asked again.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            for name in CLIENT_ACCOUNTS:
                value = {
                    "name": name,
                    "template": "standard",
                    "key_hashes": [hash_key(f"key-of-{name}")],
                }
                deployment.put(Kind.CLIENT_ACCOUNT, name, value)
            await asyncio.sleep(5.0)
            record = deployment.table.list([Kind.SHARE], 0).objects[0]
            assert record.value is not None
            holder = str(record.value["vm"])
            asker = next(vm for vm in deployment.proxies if vm != holder)

            async def read(name: str) -> object:
                key = f"key-of-{name}"
                return await deployment.request(
                    asker, "stock", {"op": "get", "key": "x"}, account=name, key=key
                )

            deployment.network.isolate(deployment.proxies[holder].transport.address)
            await asyncio.gather(*(read(name) for name in CLIENT_ACCOUNTS))
            await asyncio.sleep(PAUSE_S)
            deployment.network.heal()
            await asyncio.sleep(RECOVERY_S)
            outcome = await read(CLIENT_ACCOUNTS[0])
            self.assertIsInstance(outcome, Completed, outcome)

        run_virtual(scenario())
