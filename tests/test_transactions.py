"""Transactions: isolation, ownership, lost gateways and lost connections."""

import asyncio

import testtools

from lentilring.outcomes import Completed, NotRun, OutcomeUnknown, RefusalReason
from lentilring.standin.sessions import Silence
from lentilring.transactions.identity import parse_id
from lentilring.transactions.messages import Step
from lentilring.transactions.service import TransactionService

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
        """Guards against a transaction that can be continued only at the proxy where it began."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            transaction_id = await _begin(deployment)
            for vm in ("vm-0", "vm-1"):
                outcome = await deployment.step(vm, Step.STATEMENT, transaction_id, statement=ADD)
                self.assertIsInstance(outcome, Completed, outcome)
            before = await deployment.request("vm-2", "stock-now", GET)
            self.assertIsNone(before.result)
            for vm in ("vm-2", "vm-1"):
                outcome = await deployment.step(vm, Step.COMMIT, transaction_id)
                self.assertIsInstance(outcome, Completed, outcome)
            after = await deployment.request("vm-2", "stock-now", GET)
            self.assertEqual(2, after.result)

        run_virtual(scenario())

    def test_rollback_after_a_commit_that_was_given_up_promises_nothing(self) -> None:
        """Guards against 'rolled back' for a commit that a stop gave up as it ran."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            vm = "vm-" + deployment.primary.removeprefix("db-")
            transaction_id = await _begin(deployment, vm)
            await deployment.step(vm, Step.STATEMENT, transaction_id, statement=ADD)
            deployment.backends.servers[deployment.primary_address].settings.statement_time_s = 0.5
            commit = asyncio.ensure_future(deployment.step(vm, Step.COMMIT, transaction_id))
            await asyncio.sleep(0.1)
            commit.cancel()
            await asyncio.wait({commit})
            rollback = await deployment.step(vm, Step.ROLLBACK, transaction_id)
            self.assertIsInstance(rollback, NotRun)
            repeated = await deployment.step(vm, Step.COMMIT, transaction_id)
            self.assertIsInstance(repeated, OutcomeUnknown)

        run_virtual(scenario())

    def test_repeated_commit_is_unknown_if_the_first_was_given_up_unconfirmed(self) -> None:
        """Guards against 'not run' for a commit that ran and was given up before a majority."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            vm = "vm-" + deployment.primary.removeprefix("db-")
            transaction_id = await _begin(deployment, vm)
            await deployment.step(vm, Step.STATEMENT, transaction_id, statement=ADD)
            confirming = asyncio.Event()

            async def wait_for_majority(*_: object) -> None:
                confirming.set()
                await asyncio.Event().wait()

            service = deployment.proxies[vm].kernel.find("transactions", TransactionService)
            service.gateway.confirm = wait_for_majority  # type: ignore[assignment,method-assign]
            commit = asyncio.ensure_future(deployment.step(vm, Step.COMMIT, transaction_id))
            await confirming.wait()
            commit.cancel()
            await asyncio.wait({commit})
            repeated = await deployment.step(vm, Step.COMMIT, transaction_id)
            self.assertIsInstance(repeated, OutcomeUnknown, repeated)

        run_virtual(scenario())

    def test_another_account_cannot_use_a_transaction(self) -> None:
        """Guards against a statement of one account that runs in another account's transaction.

        The other account sends the id as it is, or with its own name in it.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            transaction_id = await _begin(deployment)
            forged = transaction_id.replace("~atlas~", "~medina~")
            for used_id in (transaction_id, forged):
                for step in (Step.STATEMENT, Step.COMMIT, Step.ROLLBACK):
                    outcome = await deployment.step(
                        "vm-1", step, used_id, statement=ADD, account="medina"
                    )
                    self.assertEqual(RefusalReason.TRANSACTION_UNKNOWN, outcome.reason)
            outcome = await deployment.step("vm-1", Step.COMMIT, transaction_id)
            self.assertIsInstance(outcome, Completed)

        run_virtual(scenario())

    def test_connection_of_an_open_transaction_serves_nothing_else(self) -> None:
        """Guards against other statements that share the connection of an open transaction.

        They would run inside the transaction, and its rollback would undo them.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            transaction_id = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, transaction_id, statement=ADD)
            other_requests = [
                deployment.request("vm-1", "note", {"op": "put", "key": f"k{i}", "value": i})
                for i in range(20)
            ]
            for outcome in await asyncio.gather(*other_requests):
                self.assertIsInstance(outcome, Completed, outcome)
            await deployment.step("vm-0", Step.ROLLBACK, transaction_id)
            for i in range(20):
                read = await deployment.request("vm-1", "stock-now", {"op": "get", "key": f"k{i}"})
                self.assertEqual(i, read.result)

        run_virtual(scenario())

    def test_dead_gateway_before_commit_is_not_run(self) -> None:
        """Guards against writes that persist although their gateway died before the commit.

        A commit sent after that is of unknown outcome, because an earlier one could have run.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(proxies=4)
            transaction_id = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, transaction_id, statement=ADD)
            parsed = parse_id(transaction_id)
            assert parsed is not None
            await deployment.kill_proxy(parsed.vm)
            entry = next(iter(deployment.proxies))
            lost = await deployment.step(entry, Step.STATEMENT, transaction_id, statement=ADD)
            self.assertIsInstance(lost, NotRun, lost)
            commit = await deployment.step(entry, Step.COMMIT, transaction_id)
            self.assertIsInstance(commit, OutcomeUnknown, commit)
            await asyncio.sleep(2)
            read = await deployment.request(entry, "stock-now", GET)
            self.assertEqual((True, None), (isinstance(read, Completed), read.result))

        run_virtual(scenario())

    def test_unanswered_commit_is_unknown(self) -> None:
        """Guards against a commit reported as not run although the server received it.

        The server stops answering; a repeated commit must not be reported as not run either.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            transaction_id = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, transaction_id, statement=ADD)
            server = deployment.backends.servers[deployment.primary_address]
            server.silence(Silence.EXISTING)
            outcome = await deployment.step("vm-0", Step.COMMIT, transaction_id)
            self.assertIsInstance(outcome, OutcomeUnknown, outcome)
            again = await deployment.step("vm-1", Step.COMMIT, transaction_id)
            self.assertIsInstance(again, OutcomeUnknown, again)

        run_virtual(scenario())

    def test_idle_transaction_is_rolled_back_and_frees_its_connection(self) -> None:
        """Guards against connections that stay pinned to transactions of callers that are gone."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            transaction_id = await _begin(deployment)
            await deployment.step("vm-0", Step.STATEMENT, transaction_id, statement=ADD)
            await asyncio.sleep(12)
            outcome = await deployment.step("vm-0", Step.COMMIT, transaction_id)
            self.assertEqual(RefusalReason.TRANSACTION_LOST, outcome.reason)
            gateway = deployment.proxies[parse_id(transaction_id).vm].kernel.find("gateway", object)
            server = gateway.servers[(GROUP, deployment.primary)]
            self.assertEqual(0, server.pool.pinned)

        run_virtual(scenario())

    def test_transactions_leave_connections_for_statements(self) -> None:
        """Guards against open transactions that leave no connection for other statements."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            begun = [await deployment.step("vm-0", Step.BEGIN, timeout_s=0.3) for _ in range(12)]
            refused = [outcome for outcome in begun if isinstance(outcome, NotRun)]
            self.assertTrue(refused)
            outcome = await deployment.request("vm-1", "book", ADD)
            self.assertIsInstance(outcome, Completed, outcome)

        run_virtual(scenario())
