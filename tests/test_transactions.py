"""Transactions: isolation, ownership, lost gateways and connections."""

import asyncio

import testtools

from lentilring.outcomes import Completed, NotRun, OutcomeUnknown, RefusalReason
from lentilring.standin.sessions import Silence
from lentilring.transactions.identity import parse_id
from lentilring.transactions.messages import Step

from .deployment import GROUP, Deployment
from .virtual_time import run_virtual

ADD = {"op": "add", "key": "tents", "amount": 1}
GET = {"op": "get", "key": "tents"}


async def _begin(deployment: Deployment, vm: str = "vm-0", account: str = "atlas") -> str:
    begun = await deployment.step(vm, Step.BEGIN, account=account)
    assert isinstance(begun, Completed), begun
    return str(begun.result)


class TransactionTest(testtools.TestCase):
    def test_commit_through_another_proxy_applies_all_writes_once(self) -> None:
        """Guards against a transaction that is bound to the proxy where it began."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            identity = await _begin(deployment)
            for vm in ("vm-0", "vm-1"):
                outcome = await deployment.step(vm, Step.STATEMENT, identity, statement=ADD)
                self.assertIsInstance(outcome, Completed, outcome)
            before = await deployment.request("vm-2", "stock-now", GET)
            self.assertIsNone(before.result)
            for vm in ("vm-2", "vm-1"):
                outcome = await deployment.step(vm, Step.COMMIT, identity)
                self.assertIsInstance(outcome, Completed, outcome)
            after = await deployment.request("vm-2", "stock-now", GET)
            self.assertEqual(2, after.result)

        run_virtual(scenario())

    def test_another_account_cannot_use_a_transaction(self) -> None:
        """Guards against one caller's statement running in another's transaction."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            identity = await _begin(deployment)
            forged = identity.replace("~atlas~", "~medina~")
            for text in (identity, forged):
                for step in (Step.STATEMENT, Step.COMMIT, Step.ROLLBACK):
                    outcome = await deployment.step(
                        "vm-1", step, text, statement=ADD, account="medina"
                    )
                    self.assertEqual(RefusalReason.TRANSACTION_UNKNOWN, outcome.reason)
            outcome = await deployment.step("vm-1", Step.COMMIT, identity)
            self.assertIsInstance(outcome, Completed)

        run_virtual(scenario())

    def test_connection_of_an_open_transaction_serves_nothing_else(self) -> None:
        """Guards against a statement that runs inside another caller's transaction."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            identity = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, identity, statement=ADD)
            others = [
                deployment.request("vm-1", "note", {"op": "put", "key": f"k{i}", "value": i})
                for i in range(20)
            ]
            for outcome in await asyncio.gather(*others):
                self.assertIsInstance(outcome, Completed, outcome)
            await deployment.step("vm-0", Step.ROLLBACK, identity)
            for i in range(20):
                read = await deployment.request("vm-1", "stock-now", {"op": "get", "key": f"k{i}"})
                self.assertEqual(i, read.result)

        run_virtual(scenario())

    def test_dead_gateway_before_commit_is_not_run(self) -> None:
        """Guards against writes of a transaction whose gateway died before commit."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(proxies=4)
            identity = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, identity, statement=ADD)
            parsed = parse_id(identity)
            assert parsed is not None
            await deployment.kill_proxy(parsed.vm)
            entry = next(iter(deployment.proxies))
            lost = await deployment.step(entry, Step.STATEMENT, identity, statement=ADD)
            self.assertIsInstance(lost, NotRun, lost)
            commit = await deployment.step(entry, Step.COMMIT, identity)
            self.assertIsInstance(commit, OutcomeUnknown, commit)
            await asyncio.sleep(2)
            read = await deployment.request(entry, "stock-now", GET)
            self.assertEqual((True, None), (isinstance(read, Completed), read.result))

        run_virtual(scenario())

    def test_unanswered_commit_is_unknown(self) -> None:
        """Guards against 'not run' for a commit that the server received."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            identity = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, identity, statement=ADD)
            server = deployment.backends.servers[deployment.primary_address]
            server.silence(Silence.EXISTING)
            outcome = await deployment.step("vm-0", Step.COMMIT, identity)
            self.assertIsInstance(outcome, OutcomeUnknown, outcome)
            again = await deployment.step("vm-1", Step.COMMIT, identity)
            self.assertIsInstance(again, OutcomeUnknown, again)

        run_virtual(scenario())

    def test_idle_transaction_is_rolled_back_and_frees_its_connection(self) -> None:
        """Guards against scarce connections held by callers that went away."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            identity = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, identity, statement=ADD)
            await asyncio.sleep(12)
            outcome = await deployment.step("vm-0", Step.COMMIT, identity)
            self.assertEqual(RefusalReason.TRANSACTION_LOST, outcome.reason)
            gateway = deployment.proxies[parse_id(identity).vm].kernel.find("gateway", object)
            server = gateway.servers[(GROUP, deployment.primary)]
            self.assertEqual(0, server.pool.pinned)

        run_virtual(scenario())

    def test_transactions_leave_connections_for_statements(self) -> None:
        """Guards against open transactions that block all other work on a database."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            begun = [await deployment.step("vm-0", Step.BEGIN, timeout_s=0.3) for _ in range(12)]
            refused = [outcome for outcome in begun if isinstance(outcome, NotRun)]
            self.assertTrue(refused)
            outcome = await deployment.request("vm-1", "book", ADD)
            self.assertIsInstance(outcome, Completed, outcome)

        run_virtual(scenario())
