"""Limits of retries and of waiting requests, and lost answers of gateways."""

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
from lentilring.routing.topology import select_in_service
from lentilring.standin.sessions import Silence

from .deployment import DOMAINS, Deployment
from .virtual_time import run_virtual

ADD = {"op": "add", "key": "tents", "amount": 1}
GET = {"op": "get", "key": "tents"}


class LostGatewayTest(testtools.TestCase):
    def test_write_whose_gateway_answer_is_lost_is_unknown_and_sent_once(self) -> None:
        """Guards against a booking that runs twice because the gateway's answer is lost.

        The gateway may have run it, so it must not be sent to the standby.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            gateway_vm = "vm-" + deployment.primary.removeprefix("db-")
            entry = next(vm for vm in deployment.proxies if vm != gateway_vm)
            addresses = [deployment.proxies[vm].transport.address for vm in (gateway_vm, entry)]
            deployment.network.links_losing_answers.add((addresses[0], addresses[1]))
            outcome = await deployment.request(entry, "book", ADD, timeout_s=2.0)
            self.assertIsInstance(outcome, OutcomeUnknown, outcome)
            executions = [
                e for e in deployment.journal() if e.request_id == f"r{deployment.request_count}"
            ]
            self.assertEqual(1, len(executions))

        run_virtual(scenario())

    def test_repeatable_write_with_one_unknown_attempt_is_never_not_run(self) -> None:
        """Guards against a write reported as not run although its first attempt may have run.

        The attempts that follow do not run; their refusal does not apply to the first.
        """

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
        """Guards against retries that multiply the load on overloaded proxies."""

        async def scenario() -> None:
            budget = RetryBudget(clock=LoopClock())
            retry_count = 0
            for _ in range(1000):
                budget.record_request()
                retry_count += budget.spend()
            self.assertLessEqual(retry_count, 100 + MIN_RETRIES_PER_S + 1)
            await asyncio.sleep(1)
            self.assertTrue(budget.spend())

        run_virtual(scenario())

    def test_waiting_requests_of_a_database_without_primary_are_bounded(self) -> None:
        """Guards against one database's failover blocking every thread of the HTTP server.

        Each request that waits for a new primary holds a thread.
        """

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
                started_at = loop.time()
                await deployment.request("vm-0", "book", ADD, account=account, timeout_s=6.0)
                return loop.time() - started_at

            accounts = ["atlas", "medina"] * MAX_WAITING_PER_GROUP
            durations_s = await asyncio.gather(*(book(account) for account in accounts))
            waited_count = sum(duration_s > 3 for duration_s in durations_s)
            self.assertLessEqual(waited_count, MAX_WAITING_PER_GROUP)

        run_virtual(scenario())

    def test_requests_in_flight_of_one_account_are_bounded(self) -> None:
        """Guards against one account whose requests block every thread of the HTTP server."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            outcomes = await asyncio.gather(
                *(
                    deployment.request("vm-0", "stock", GET)
                    for _ in range(MAX_IN_FLIGHT_PER_ACCOUNT + 5)
                )
            )
            refused_outcomes = [
                o for o in outcomes if isinstance(o, NotRun) and o.detail == "in flight"
            ]
            self.assertEqual(5, len(refused_outcomes))

        run_virtual(scenario())

    def test_account_reaches_only_its_services(self) -> None:
        """Guards against an account that uses a service which its `services` do not list."""

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
        """Guards against gateways on VMs of a failure domain that operators have drained.

        If all domains are drained, all members stay candidates.
        """

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
        failure_domains = {member.failure_domain for member in select_in_service(states, members)}
        self.assertEqual(set(DOMAINS[1:]), failure_domains)
        states.drained = DOMAINS
        self.assertEqual(6, len(select_in_service(states, members)))
