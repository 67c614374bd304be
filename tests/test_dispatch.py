"""Choice of gateways while some do not answer."""

import asyncio

import testtools

from lentilring.outcomes import Completed

from .deployment import Deployment
from .virtual_time import run_virtual

ADD = {"op": "add", "key": "tents", "amount": 1}


class UnreachableGatewayTest(testtools.TestCase):
    def test_standby_is_used_at_once_while_the_gateway_is_cut_off(self) -> None:
        """Guards against a connect time-out for each request until membership notices."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            holder = "vm-" + deployment.primary.removeprefix("db-")
            deployment.network.isolate(deployment.proxies[holder].transport.address)
            entry = next(vm for vm in deployment.proxies if vm != holder)
            loop = asyncio.get_running_loop()
            seconds = []
            for _ in range(5):
                started = loop.time()
                outcome = await deployment.request(entry, "book", ADD)
                self.assertIsInstance(outcome, Completed, outcome)
                seconds.append(loop.time() - started)
            # One connect time-out is allowed for finding out.
            self.assertLess(seconds[0], 1.5)
            self.assertLess(max(seconds[1:]), 0.5)

        run_virtual(scenario())
