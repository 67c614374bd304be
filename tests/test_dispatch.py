"""Choice of gateways while some do not answer."""

import asyncio

import testtools

from lentilring.outcomes import Completed

from .deployment import Deployment
from .virtual_time import run_virtual

ADD = {"op": "add", "key": "tents", "amount": 1}


class UnreachableGatewayTest(testtools.TestCase):
    def test_standby_is_used_at_once_while_the_gateway_is_cut_off(self) -> None:
        """Guards against a connect time-out for each request until membership detects the failure.

        The gateway is cut off; after one failed call the standby must be tried first.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            gateway_vm = "vm-" + deployment.primary.removeprefix("db-")
            deployment.network.isolate(deployment.proxies[gateway_vm].transport.address)
            entry = next(vm for vm in deployment.proxies if vm != gateway_vm)
            loop = asyncio.get_running_loop()
            durations_s = []
            for _ in range(5):
                started_at = loop.time()
                outcome = await deployment.request(entry, "book", ADD)
                self.assertIsInstance(outcome, Completed, outcome)
                durations_s.append(loop.time() - started_at)
            # The first request may take one connect time-out to detect the failure.
            self.assertLess(durations_s[0], 1.5)
            self.assertLess(max(durations_s[1:]), 0.5)

        run_virtual(scenario())
