"""Slots, connections and checks of a gateway."""

import asyncio

import testtools

from lentilring.clock import LoopClock
from lentilring.database.messages import Action
from lentilring.kernel import Kernel
from lentilring.outcomes import RefusalReason
from lentilring.pool.connections import ServerPool, SlotRefused, split_connections
from lentilring.pool.fairness import FairQueue
from lentilring.pool.messages import GatewayReply, GatewayRequest, OutcomeTag
from lentilring.pool.service import RequestGatewayService
from lentilring.telemetry.metrics import Telemetry
from lentilring.transactions.messages import Step, TransactionRequest
from lentilring.transactions.service import TransactionService

from .deployment import GROUP, Deployment
from .fakes_database import BackendNetwork, FakeBackends
from .virtual_time import run_virtual

READ = '{"op":"get","key":"tents"}'


def find_gateway_kernel(deployment: Deployment, server: str) -> Kernel:
    """Return the kernel of the proxy that is a backend server's gateway."""
    return deployment.proxies["vm-" + server.removeprefix("db-")].kernel


def build_read_request(server: str, **values: object) -> GatewayRequest:
    return GatewayRequest(
        request_id="r",
        group=GROUP,
        server=server,
        client_account="atlas",
        action=Action.READ,
        statement=READ,
        **values,  # type: ignore[arg-type]
    )


class FairQueueTest(testtools.TestCase):
    def test_small_account_goes_ahead_of_a_backlog(self) -> None:
        """Guards against service in order of arrival, where one account's burst delays others."""
        queue: FairQueue[str] = FairQueue(capacity_per_account=64)
        for number in range(40):
            queue.push("large", f"large-{number}")
        for _ in range(5):
            queue.pop()
        queue.push("small", "small-0")
        self.assertIn("small-0", [queue.pop(), queue.pop()])

    def test_costly_statements_take_their_share_of_time_not_of_turns(self) -> None:
        """Guards against an account with slow statements that takes most of the slots' time.

        Equal turns would give the slow account nine times the time of the fast one.
        """
        queue: FairQueue[str] = FairQueue(capacity_per_account=1000)
        for _ in range(60):
            queue.record_cost("slow", 0.09)
            queue.record_cost("fast", 0.01)
        for number in range(500):
            queue.push("slow", f"slow-{number}")
            queue.push("fast", f"fast-{number}")
        popped = [queue.pop() for _ in range(100)]
        fast_count = sum(str(entry).startswith("fast") for entry in popped)
        self.assertTrue(85 <= fast_count <= 95, fast_count)

    def test_queue_of_an_account_is_bounded(self) -> None:
        """Guards against one account's backlog that grows until memory is exhausted."""
        queue: FairQueue[int] = FairQueue(capacity_per_account=3)
        self.assertEqual([True] * 3 + [False], [queue.push("large", n) for n in range(4)])
        self.assertTrue(queue.push("small", 1))


class ServerPoolTest(testtools.TestCase):
    def make_pool(self, *, budget: int = 4, slots: int = 2) -> ServerPool:
        network = BackendNetwork()
        self.server = network.add("db")
        return ServerPool(
            address="db",
            slots=slots,
            budget=lambda: budget,
            connector=FakeBackends(network=network, source="vm"),
            clock=LoopClock(),
            telemetry=Telemetry(),
        )

    def test_work_that_cannot_start_in_time_is_refused_at_once(self) -> None:
        """Guards against requests that wait in a queue although they will miss their deadline."""

        async def scenario() -> None:
            pool = self.make_pool(slots=1)
            for _ in range(60):
                pool.queue.record_cost("a", 0.1)
            loop = asyncio.get_running_loop()

            async def use_slot(deadline: float) -> None:
                async with pool.hold_slot("a", deadline):
                    await asyncio.sleep(0.1)

            tasks = [asyncio.create_task(use_slot(loop.time() + 10)) for _ in range(10)]
            await asyncio.sleep(0.01)
            started_at = loop.time()
            refusal = None
            try:
                await use_slot(loop.time() + 0.3)
            except SlotRefused as refused:
                refusal = refused
            assert refusal is not None
            self.assertIs(RefusalReason.DEADLINE_EXCEEDED, refusal.reason)
            self.assertEqual(started_at, loop.time())
            await asyncio.gather(*tasks)
            self.assertEqual(0, pool.running)

        run_virtual(scenario())

    def test_cancelled_waiters_leave_no_slot_taken(self) -> None:
        """Guards against slots that leak when waiting callers are cancelled."""

        async def scenario() -> None:
            pool = self.make_pool(slots=1)
            loop = asyncio.get_running_loop()

            async def use_slot() -> None:
                async with pool.hold_slot("a", loop.time() + 10):
                    await asyncio.sleep(0.05)

            tasks = [asyncio.create_task(use_slot()) for _ in range(6)]
            await asyncio.sleep(0.01)
            for task in tasks[1::2]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.assertEqual((0, 0), (pool.running, len(pool.queue)))

        run_virtual(scenario())

    def test_connections_stay_within_the_budget(self) -> None:
        """Guards against a gateway that opens more connections to a server than its budget."""

        async def scenario() -> None:
            pool = self.make_pool(budget=3, slots=10)
            loop = asyncio.get_running_loop()

            async def use_connection() -> None:
                async with pool.borrow_connection(loop.time() + 5):
                    await asyncio.sleep(0.05)

            tasks = [asyncio.create_task(use_connection()) for _ in range(12)]
            max_open = 0
            while not all(task.done() for task in tasks):
                max_open = max(max_open, self.server.open_connections)
                await asyncio.sleep(0.005)
            self.assertEqual(3, max_open)

        run_virtual(scenario())

    def test_budgets_of_gateway_and_standby_leave_room_for_control(self) -> None:
        """Guards against budgets of gateway and standby whose sum exceeds the server's limit."""
        for limit in (8, 15, 25, 100):
            total = split_connections(limit, is_gateway=True)
            total += split_connections(limit, is_gateway=False)
            self.assertLessEqual(total, limit - 4, limit)


class GatewayCheckTest(testtools.TestCase):
    def test_replica_refuses_a_read_that_accepts_no_staleness(self) -> None:
        """Guards against a replica that serves a read for the primary.

        An entry proxy with an outdated group record may send such a read to a replica.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            replica = next(n for n in ("db-0", "db-1", "db-2") if n != deployment.primary)
            gateway = find_gateway_kernel(deployment, replica).find(
                "gateway", RequestGatewayService
            )
            for limit, tag in ((5.0, OutcomeTag.COMPLETED), (None, OutcomeTag.NOT_RUN)):
                await asyncio.sleep(1)
                request = build_read_request(replica, max_staleness_s=limit)
                await gateway.execute(request, timeout_s=2)
                reply = await gateway.execute(request, timeout_s=2)
                self.assertIs(tag, reply.tag, (limit, reply))

        run_virtual(scenario())

    def test_cut_off_primary_proves_no_age(self) -> None:
        """Guards against old data that a replaced primary reports as fresh.

        The primary and its gateway are cut off from all others, which promote another primary.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            primary = deployment.primary
            gateway = find_gateway_kernel(deployment, primary).find(
                "gateway", RequestGatewayService
            )
            gateway_vm = "vm-" + primary.removeprefix("db-")
            request = build_read_request(primary, max_staleness_s=5.0)
            reply = await gateway.execute(request, timeout_s=2)
            self.assertIs(OutcomeTag.COMPLETED, reply.tag, reply)
            deployment.network.isolate(deployment.proxies[gateway_vm].transport.address)
            deployment.proxies[gateway_vm].store.down = True
            others = [vm for vm in deployment.proxies if vm != gateway_vm]
            deployment.backends.isolate(deployment.primary_address, others)
            for server in list(deployment.backends.servers):
                if server != deployment.primary_address:
                    deployment.backends.cut |= {(gateway_vm, server), (server, gateway_vm)}
            await asyncio.sleep(7)
            reply = await gateway.execute(request, timeout_s=2)
            self.assertIs(OutcomeTag.NOT_RUN, reply.tag, reply)

        run_virtual(scenario())

    def test_gateway_checks_the_owner_of_a_transaction(self) -> None:
        """Guards against a gateway that lets one account use another account's transaction."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            kernel = find_gateway_kernel(deployment, deployment.primary)
            transactions = kernel.find("transactions", TransactionService)
            begun = await run_step(transactions, Step.BEGIN, "atlas")
            transaction_id = begun.transaction_id
            for step in (Step.STATEMENT, Step.COMMIT, Step.ROLLBACK):
                reply = await run_step(transactions, step, "medina", transaction_id)
                self.assertEqual(RefusalReason.TRANSACTION_UNKNOWN, reply.reason)
            self.assertIn(transaction_id, transactions.open_transactions)

        run_virtual(scenario())

    def test_transactions_of_all_accounts_leave_connections_for_statements(self) -> None:
        """Guards against many accounts whose transactions together pin every connection."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            kernel = find_gateway_kernel(deployment, deployment.primary)
            transactions = kernel.find("transactions", TransactionService)
            gateway = kernel.find("gateway", RequestGatewayService)
            pool = gateway.get_server(GROUP, deployment.primary).pool
            replies = [await run_step(transactions, Step.BEGIN, f"a{n}") for n in range(8)]
            begun = sum(reply.tag is OutcomeTag.COMPLETED for reply in replies)
            self.assertEqual(pool.budget() - pool.slots, begun)

        run_virtual(scenario())


async def run_step(
    transactions: TransactionService, step: Step, account: str, transaction_id: str = ""
) -> GatewayReply:
    """Run a transaction step directly at the gateway."""
    request = TransactionRequest(
        request_id="r",
        group=GROUP,
        client_account=account,
        step=step,
        transaction_id=transaction_id,
        statement=READ,
    )
    return await transactions.execute(request, timeout_s=2)
