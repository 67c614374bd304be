"""Writes: at most once, truthful refusals, confirmation and coalescing."""

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
        """Guards against a second run of a booking whose first answer was lost."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            server = deployment.backends.servers[deployment.primary_address]
            server.faults.lose_next_answers = 1
            outcome = await deployment.request("vm-0", "book", ADD)
            self.assertIsInstance(outcome, OutcomeUnknown, outcome)
            runs = Counter(entry.request_id for entry in deployment.journal())
            self.assertEqual(1, max(runs.values()))

        run_virtual(scenario())

    def test_repeat_with_the_same_key_at_another_proxy_runs_once(self) -> None:
        """Guards against a caller's repeat after an unknown outcome booking twice."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            server = deployment.backends.servers[deployment.primary_address]
            await deployment.request("vm-0", "book", ADD)
            server.faults.lose_next_answers = 1
            await deployment.request("vm-0", "book", ADD, idempotency_key="order-1")
            again = await deployment.request("vm-1", "book", ADD, idempotency_key="order-1")
            self.assertEqual((True, 2), (again.replayed, again.result))

        run_virtual(scenario())

    def test_repeat_after_a_failover_returns_the_recorded_result(self) -> None:
        """Guards against a key's record that is lost with the old primary."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD, idempotency_key="order-1")
            term = deployment.term
            await deployment.backends.kill(deployment.primary_address)
            await deployment.wait_for_primary(after_term=term)
            again = await deployment.request("vm-1", "book", ADD, idempotency_key="order-1")
            self.assertEqual((True, 1), (again.replayed, again.result))
            other = await deployment.request(
                "vm-1", "book", {**ADD, "amount": 5}, idempotency_key="order-1"
            )
            self.assertEqual(RefusalReason.IDEMPOTENCY_KEY_REUSED, other.reason)

        run_virtual(scenario())

    def test_equal_keys_in_flight_are_joined_and_different_content_refused(self) -> None:
        """Guards against two runs of a double click, and against joining another request."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            first, second, third, stranger = await asyncio.gather(
                deployment.request("vm-0", "book", ADD, idempotency_key="k"),
                deployment.request("vm-0", "book", ADD, idempotency_key="k"),
                deployment.request("vm-0", "book", {**ADD, "amount": 9}, idempotency_key="k"),
                deployment.request(
                    "vm-0", "book", {**ADD, "amount": 7}, idempotency_key="k", account="medina"
                ),
            )
            self.assertEqual((1, 1), (first.result, second.result))
            self.assertEqual(RefusalReason.IDEMPOTENCY_KEY_REUSED, third.reason)
            self.assertEqual(7, stranger.result)

        run_virtual(scenario())

    def test_isolated_primary_acknowledges_nothing(self) -> None:
        """Guards against bookings acknowledged by a primary that others have replaced."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            old, term = deployment.primary_address, deployment.term
            holder = "vm-" + deployment.primary.removeprefix("db-")
            others = [vm for vm in deployment.proxies if vm != holder]
            deployment.backends.isolate(old, others)
            isolated = [
                asyncio.create_task(deployment.request(holder, "book", ADD, timeout_s=4.0))
                for _ in range(5)
            ]
            await deployment.wait_for_primary(after_term=term)
            for outcome in await asyncio.gather(*isolated):
                self.assertNotIsInstance(outcome, Completed, outcome)
            outcome = await deployment.request(others[0], "book", ADD)
            self.assertIsInstance(outcome, Completed, outcome)

        run_virtual(scenario())

    def test_acknowledged_bookings_survive_failovers(self) -> None:
        """Guards against acknowledged bookings lost with a primary, and refused ones that ran."""

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
                    killed = deployment.primary_address
                    await deployment.backends.kill(killed)
                if number in (150, 260):
                    await deployment.backends.restart(killed)
            await asyncio.gather(*tasks)
            read = await deployment.request(
                "vm-1", "stock-now", {"op": "get", "key": "orders"}, timeout_s=8.0
            )
            found = Counter(read.result)
            self.assertEqual(1, max(found.values()))
            for number, outcome in outcomes:
                if isinstance(outcome, Completed):
                    self.assertEqual(1, found[number], number)
                if isinstance(outcome, NotRun):
                    self.assertEqual(0, found[number], (number, outcome))
            acknowledged = sum(isinstance(outcome, Completed) for _, outcome in outcomes)
            self.assertGreater(acknowledged, 280)

        run_virtual(scenario())

    def test_silent_primary_does_not_hang_writes(self) -> None:
        """Guards against a request without an outcome past its deadline."""

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
