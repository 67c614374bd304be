"""Limits of retries and waiting at the entry, and lost answers of gateways."""

import asyncio
import random

import testtools

from lentilring.clock import LoopClock
from lentilring.configuration.models import DrainState
from lentilring.membership.member import Member
from lentilring.outcomes import Completed, NotRun, OutcomeUnknown, RefusalReason
from lentilring.platform.store import Kind
from lentilring.routing.retries import MIN_RETRIES_PER_S, RetryBudget
from lentilring.routing.service import MAX_IN_FLIGHT_PER_ACCOUNT, MAX_WAITING_PER_GROUP
from lentilring.routing.topology import select_placeable
from lentilring.standin.sessions import Silence

from .deployment import DOMAINS, Deployment
from .virtual_time import run_virtual

ADD = {"op": "add", "key": "tents", "amount": 1}
GET = {"op": "get", "key": "tents"}


class LostGatewayTest(testtools.TestCase):
    def test_write_whose_gateway_answer_is_lost_is_unknown_and_sent_once(self) -> None:
        """Guards against a booking that the standby runs again."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            holder = "vm-" + deployment.primary.removeprefix("db-")
            entry = next(vm for vm in deployment.proxies if vm != holder)
            addresses = [deployment.proxies[vm].transport.address for vm in (holder, entry)]
            deployment.network.links_losing_answers.add((addresses[0], addresses[1]))
            outcome = await deployment.request(entry, "book", ADD, timeout_s=2.0)
            self.assertIsInstance(outcome, OutcomeUnknown, outcome)
            runs = [e for e in deployment.journal() if e.request_id == f"r{deployment.requests}"]
            self.assertEqual(1, len(runs))

        run_virtual(scenario())

    def test_repeatable_write_with_one_unknown_attempt_is_never_not_run(self) -> None:
        """Guards against 'not run' for the last of several attempts, the first of which ran."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            put = {"op": "put", "key": "tents", "value": 1}
            await deployment.request("vm-0", "note", put)
            for proxy in deployment.proxies.values():
                proxy.store.down = True
            deployment.backends.servers[deployment.primary_address].silence(Silence.ALL)
            outcome = await deployment.request("vm-0", "note", put, timeout_s=5.0)
            self.assertIsInstance(outcome, OutcomeUnknown, outcome)

        run_virtual(scenario())


class RetryLimitTest(testtools.TestCase):
    def test_budget_bounds_retries_to_a_part_of_the_requests(self) -> None:
        """Guards against retries that multiply the load of an overloaded fleet."""

        async def scenario() -> None:
            budget = RetryBudget(clock=LoopClock())
            spent = 0
            for _ in range(1000):
                budget.record_request()
                spent += budget.spend()
            self.assertLessEqual(spent, 100 + MIN_RETRIES_PER_S + 1)
            await asyncio.sleep(1)
            self.assertTrue(budget.spend())

        run_virtual(scenario())

    def test_waiting_requests_of_a_database_without_primary_are_bounded(self) -> None:
        """Guards against one database's failover holding every thread of the HTTP server."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            deployment.change(Kind.TEMPLATE, "standard", rate_per_s=1000, burst=500)
            await asyncio.sleep(5)
            for proxy in deployment.proxies.values():
                proxy.store.down = True
            await deployment.backends.kill(deployment.primary_address)
            loop = asyncio.get_running_loop()

            async def book(account: str) -> float:
                started = loop.time()
                await deployment.request("vm-0", "book", ADD, account=account, timeout_s=6.0)
                return loop.time() - started

            accounts = ["atlas", "medina"] * MAX_WAITING_PER_GROUP
            seconds = await asyncio.gather(*(book(account) for account in accounts))
            waited = sum(duration > 3 for duration in seconds)
            self.assertLessEqual(waited, MAX_WAITING_PER_GROUP)

        run_virtual(scenario())

    def test_requests_in_flight_of_one_account_are_bounded(self) -> None:
        """Guards against one account holding every thread of the HTTP server."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            outcomes = await asyncio.gather(
                *(
                    deployment.request("vm-0", "stock", GET)
                    for _ in range(MAX_IN_FLIGHT_PER_ACCOUNT + 5)
                )
            )
            full = [o for o in outcomes if isinstance(o, NotRun) and o.detail == "in flight"]
            self.assertEqual(5, len(full))

        run_virtual(scenario())

    def test_account_reaches_only_its_services(self) -> None:
        """Guards against an account that uses a service it was not given."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            deployment.change(Kind.CLIENT_ACCOUNT, "medina", services=["another-service"])
            await asyncio.sleep(1)
            refused = await deployment.request("vm-0", "stock", GET, account="medina")
            self.assertEqual(RefusalReason.ROUTE_FORBIDDEN, refused.reason)
            self.assertIsInstance(await deployment.request("vm-0", "stock", GET), Completed)

        run_virtual(scenario())


class PlacementTest(testtools.TestCase):
    def test_members_in_drained_failure_domains_get_no_gateway(self) -> None:
        """Guards against new work at VMs that operators are taking out."""

        class States:
            drained = (DOMAINS[0],)
            changes = 1

            def failure_domain_state(self, name: str) -> DrainState:
                return DrainState.DRAINED if name in self.drained else DrainState.IN_SERVICE

            def service(self, name: str) -> None:
                return None

        source = random.Random(1)
        members = [
            Member(
                vm=f"vm-{index}",
                address=f"10.0.0.{index}:1",
                failure_domain=DOMAINS[index % 3],
                region="r",
                incarnation=source.randrange(10),
            )
            for index in range(6)
        ]
        states = States()
        placed = {member.failure_domain for member in select_placeable(states, members)}
        self.assertEqual(set(DOMAINS[1:]), placed)
        states.drained = DOMAINS
        self.assertEqual(6, len(select_placeable(states, members)))
