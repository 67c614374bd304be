"""Writes: run at most once, correctly reported, confirmed by a majority and coalesced."""

import asyncio
from collections import Counter

import testtools

from lentilring.outcomes import Completed, NotRun, OutcomeUnknown, RefusalReason
from lentilring.standin.sessions import Silence

from .deployment import Deployment
from .virtual_time import run_virtual

ADD = {"op": "add", "key": "tents", "amount": 1}
GET = {"op": "get", "key": "tents"}


class WriteTest(testtools.TestCase):
    def test_lost_answer_is_unknown_and_never_sent_again(self) -> None:
        """Guards against a booking that is sent again after its answer was lost."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            server = deployment.backends.servers[deployment.primary_address]
            server.faults.lose_next_answers = 1
            outcome = await deployment.request("vm-0", "book", ADD)
            self.assertIsInstance(outcome, OutcomeUnknown, outcome)
            executions = Counter(entry.request_id for entry in deployment.journal())
            self.assertEqual(1, max(executions.values()))

        run_virtual(scenario())

    def test_repeat_with_the_same_key_at_another_proxy_runs_once(self) -> None:
        """Guards against a double booking when a caller repeats a request of unknown outcome."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            server = deployment.backends.servers[deployment.primary_address]
            await deployment.request("vm-0", "book", ADD)
            server.faults.lose_next_answers = 1
            await deployment.request("vm-0", "book", ADD, idempotency_key="order-1")
            repeated = await deployment.request("vm-1", "book", ADD, idempotency_key="order-1")
            self.assertEqual((True, 2), (repeated.replayed, repeated.result))

        run_virtual(scenario())

    def test_repeat_after_a_failover_returns_the_recorded_result(self) -> None:
        """Guards against an idempotency key's record that is lost with the old primary."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD, idempotency_key="order-1")
            term = deployment.term
            await deployment.backends.kill(deployment.primary_address)
            await deployment.wait_for_primary(after_term=term)
            repeated = await deployment.request("vm-1", "book", ADD, idempotency_key="order-1")
            self.assertEqual((True, 1), (repeated.replayed, repeated.result))
            other = await deployment.request(
                "vm-1", "book", {**ADD, "amount": 5}, idempotency_key="order-1"
            )
            self.assertEqual(RefusalReason.IDEMPOTENCY_KEY_REUSED, other.reason)

        run_virtual(scenario())

    def test_equal_keys_in_flight_are_joined_and_different_content_refused(self) -> None:
        """Guards against two runs of a double click, and against coalescing different requests."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            first, second, third, other_account = await asyncio.gather(
                deployment.request("vm-0", "book", ADD, idempotency_key="k"),
                deployment.request("vm-0", "book", ADD, idempotency_key="k"),
                deployment.request("vm-0", "book", {**ADD, "amount": 9}, idempotency_key="k"),
                deployment.request(
                    "vm-0", "book", {**ADD, "amount": 7}, idempotency_key="k", account="medina"
                ),
            )
            self.assertEqual((1, 1), (first.result, second.result))
            self.assertEqual(RefusalReason.IDEMPOTENCY_KEY_REUSED, third.reason)
            self.assertEqual(7, other_account.result)

        run_virtual(scenario())

    def test_isolated_primary_acknowledges_nothing(self) -> None:
        """Guards against bookings acknowledged by a primary that has been replaced.

        The primary is cut off from all proxies but its gateway, and the others promote another.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            old_address, term = deployment.primary_address, deployment.term
            gateway_vm = "vm-" + deployment.primary.removeprefix("db-")
            others = [vm for vm in deployment.proxies if vm != gateway_vm]
            deployment.backends.isolate(old_address, others)
            isolated = [
                asyncio.create_task(deployment.request(gateway_vm, "book", ADD, timeout_s=4.0))
                for _ in range(5)
            ]
            await deployment.wait_for_primary(after_term=term)
            for outcome in await asyncio.gather(*isolated):
                self.assertNotIsInstance(outcome, Completed, outcome)
            outcome = await deployment.request(others[0], "book", ADD)
            self.assertIsInstance(outcome, Completed, outcome)

        run_virtual(scenario())

    def test_acknowledged_bookings_survive_failovers(self) -> None:
        """Guards against acknowledged bookings that a failover loses, and refused ones that ran.

        The primary is killed twice and restarted later, while bookings go on.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            outcomes = []

            async def book(vm: str, number: int) -> None:
                statement = {"op": "append", "key": "orders", "value": number}
                outcomes.append(
                    (number, await deployment.request(vm, "book", statement, timeout_s=8.0))
                )

            tasks = []
            for number in range(300):
                tasks.append(asyncio.ensure_future(book(f"vm-{number % 3}", number)))
                await asyncio.sleep(0.02)
                if number in (80, 200):
                    killed_address = deployment.primary_address
                    await deployment.backends.kill(killed_address)
                if number in (150, 260):
                    await deployment.backends.restart(killed_address)
            await asyncio.gather(*tasks)
            read = await deployment.request(
                "vm-1", "stock-now", {"op": "get", "key": "orders"}, timeout_s=8.0
            )
            counts = Counter(read.result)
            self.assertEqual(1, max(counts.values()))
            for number, outcome in outcomes:
                if isinstance(outcome, Completed):
                    self.assertEqual(1, counts[number], number)
                if isinstance(outcome, NotRun):
                    self.assertEqual(0, counts[number], (number, outcome))
            acknowledged = sum(isinstance(outcome, Completed) for _, outcome in outcomes)
            self.assertGreater(acknowledged, 280)

        run_virtual(scenario())

    def test_silent_primary_does_not_hang_writes(self) -> None:
        """Guards against a request without an outcome at its deadline.

        The primary stops answering on all connections.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            server = deployment.backends.servers[deployment.primary_address]
            server.silence(Silence.ALL)
            started = asyncio.get_running_loop().time()
            await deployment.request("vm-0", "book", ADD, timeout_s=3.0)
            self.assertLess(asyncio.get_running_loop().time() - started, 3.5)
            outcome = await deployment.request("vm-1", "book", ADD, timeout_s=8.0)
            self.assertIsInstance(outcome, Completed, outcome)

        run_virtual(scenario())
