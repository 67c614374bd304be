"""Fairness between client accounts that use transactions."""

import asyncio

import testtools

from lentilring.outcomes import Completed
from lentilring.transactions.messages import Step

from .deployment import Deployment
from .virtual_time import run_virtual

# More than the connections of one backend server allow.
ABANDONED_TRANSACTIONS = 12


class TransactionFairnessTest(testtools.TestCase):
    def test_abandoned_transactions_of_one_account_leave_room_for_another(self) -> None:
        """Guards against one account that pins all connections that transactions may use.

        If an account exceeds its rate, its statements, commits and rollbacks are refused, so its
        transactions stay open until they expire.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            begins = (
                deployment.step("vm-0", Step.BEGIN, timeout_s=0.5)
                for _ in range(ABANDONED_TRANSACTIONS)
            )
            await asyncio.gather(*begins)
            begun = await deployment.step(
                "vm-1", Step.BEGIN, account="medina", key="key-of-medina", timeout_s=2.0
            )
            self.assertIsInstance(begun, Completed, begun)

        run_virtual(scenario())
