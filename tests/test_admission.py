"""Authorization of requests: open routes, and keys withdrawn while a request waits."""

import asyncio

import testtools

from lentilring.outcomes import Completed, NotRun, RefusalReason
from lentilring.platform.store import Kind

from .deployment import SERVICE, Deployment
from .virtual_time import run_virtual

GET = {"op": "get", "key": "tents"}
ADD = {"op": "add", "key": "tents", "amount": 1}


class AdmissionTest(testtools.TestCase):
    def test_open_route_serves_only_the_account_that_opened_it(self) -> None:
        """Guards against a request without a key that reaches the data of an account.

        Only the account that opened the route may be named, and only for this route. A request
        with a key uses the key's account, even if it names another.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            deployment.change(Kind.CLIENT_ACCOUNT, "medina", open_routes=[f"{SERVICE}/stock"])
            await deployment.request("vm-0", "book", ADD, account="medina")
            await asyncio.sleep(1)
            opened = await deployment.request(
                "vm-0", "stock", GET, key=None, client_account="medina"
            )
            self.assertEqual((True, 1), (isinstance(opened, Completed), opened.result))
            for route, account in (("stock", "atlas"), ("book", "medina"), ("stock", "nobody")):
                refused = await deployment.request(
                    "vm-0", route, ADD, key=None, client_account=account
                )
                self.assertEqual(RefusalReason.KEY_MISSING, refused.reason, (route, account))
            with_key = await deployment.request("vm-0", "stock-now", GET, client_account="medina")
            self.assertIsNone(with_key.result)

        run_virtual(scenario())

    def test_key_withdrawn_while_the_request_waits_is_refused(self) -> None:
        """Guards against a request that runs although its key was withdrawn during its retries."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            for proxy in deployment.proxies.values():
                proxy.store.down = True
            await deployment.backends.kill(deployment.primary_address)
            waiting = asyncio.create_task(deployment.request("vm-0", "book", ADD, timeout_s=20.0))
            await asyncio.sleep(3)
            self.assertFalse(waiting.done())
            # The key is withdrawn before the platform is reachable again, so before a promotion.
            deployment.change(Kind.CLIENT_ACCOUNT, "atlas", key_hashes=[])
            deployment.proxies["vm-0"].store.down = False
            outcome = await waiting
            assert isinstance(outcome, NotRun), outcome
            self.assertIs(RefusalReason.KEY_UNKNOWN, outcome.reason)

        run_virtual(scenario())
