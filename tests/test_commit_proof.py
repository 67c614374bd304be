"""Successes of commits, which a gateway passes on only while their server certainly leads."""

import asyncio
from typing import Any

from testtools import TestCase

from lentilring.catalog.model import ServerRole
from lentilring.gateways.lease import LEASE_S, LeadershipLease
from lentilring.gateways.messages import StatementKind, TransactionOpening
from lentilring.gateways.server import ReplicationStatus

from .test_server_queue import POSITION, Bench, find_failure, start
from .virtual_time import run_virtual

# A primary keeps a commit waiting until a replica has received it.
WAIT_TEXT = "0.3"


async def open_writing_transaction(bench: Bench) -> str:
    result = await bench.run(
        "begin", opening=TransactionOpening.READ_WRITE, work=StatementKind.WRITE
    )
    assert result.transaction, result
    return result.transaction


class CommitProofTest(TestCase):
    def test_write_is_not_sent_to_a_server_that_may_have_been_replaced(self) -> None:
        """Guards against a single write that waits at a replaced primary."""

        async def scenario() -> None:
            bench = Bench()
            bench.leads = False
            result, took_s = await bench.time_run("write", work=StatementKind.WRITE)
            self.assertEqual("not_primary", find_failure(result))
            self.assertEqual(([], 0.0), (bench.server.runs, took_s))

        run_virtual(scenario())

    def test_write_that_succeeds_after_the_lease_has_ended_is_in_doubt(self) -> None:
        """Guards against a success for a write that a promotion drops (review/7)."""

        async def scenario() -> None:
            bench = Bench()
            writing = start(bench.run("write", work=StatementKind.WRITE, text=WAIT_TEXT))
            await asyncio.sleep(float(WAIT_TEXT) / 2)
            bench.leads = False
            self.assertEqual("uncertain", find_failure(await writing))
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_commit_that_succeeds_after_the_lease_has_ended_is_in_doubt(self) -> None:
        """Guards against a success for a transaction that a promotion drops (review/7)."""

        async def scenario() -> None:
            bench = Bench()
            transaction = await open_writing_transaction(bench)
            committing = start(self.commit(bench, transaction, text=WAIT_TEXT))
            await asyncio.sleep(float(WAIT_TEXT) / 2)
            bench.leads = False
            self.assertEqual("uncertain", find_failure(await committing))
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_commit_is_rolled_back_unsent_if_the_server_may_have_been_replaced(self) -> None:
        """Guards against a commit in doubt where a true refusal is possible."""

        async def scenario() -> None:
            bench = Bench()
            transaction = await open_writing_transaction(bench)
            bench.leads = False
            self.assertEqual("aborted", find_failure(await self.commit(bench, transaction)))
            self.assertEqual(["begin"], bench.server.runs)
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_transaction_that_wrote_nothing_commits_without_a_lease(self) -> None:
        """Guards against reads that fail at replicas, which have no lease."""

        async def scenario() -> None:
            bench = Bench()
            transaction = await bench.open_transaction()
            bench.leads = False
            self.assertIsNone(find_failure(await self.commit(bench, transaction)))

        run_virtual(scenario())

    def test_success_on_a_new_connection_needs_a_proof_from_after_its_opening(self) -> None:
        """Guards against a lease that outlives a restart of the primary."""

        async def scenario() -> None:
            bench = Bench()
            began_at = bench.clock.boottime()
            await bench.run("write", work=StatementKind.WRITE)
            self.assertGreater(bench.proved_since, began_at)

        run_virtual(scenario())

    def test_wait_for_the_proof_of_a_commit_holds_no_slot_and_no_connection(self) -> None:
        """Guards against a primary that serves fewer statements while its replicas are slow."""

        async def scenario() -> None:
            bench = Bench()
            transaction = await open_writing_transaction(bench)
            committing = start(self.commit(bench, transaction, text=WAIT_TEXT))
            await asyncio.sleep(float(WAIT_TEXT) / 2)
            proof: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            bench.ensure_leadership = lambda: proof
            await asyncio.sleep(float(WAIT_TEXT))
            bench.assert_nothing_is_held()
            idle = [entry for entries in bench.gateway.pool._idle.values() for entry in entries]
            committing.cancel()
            await asyncio.wait({committing})
            self.assertEqual([False], [entry.session.is_closed for entry in idle])

        run_virtual(scenario())

    def test_proof_of_a_commit_may_take_the_time_that_the_statement_has_left(self) -> None:
        """Guards against a commit in doubt because such statements take long."""

        async def scenario() -> None:
            bench = Bench()
            writing = start(
                bench.run("write", work=StatementKind.WRITE, text=WAIT_TEXT, timeout_s=0.5)
            )
            await asyncio.sleep(float(WAIT_TEXT) / 2)
            bench.ensure_leadership = lambda: asyncio.sleep(0.1, True)
            self.assertIsNone(find_failure(await writing))

        run_virtual(scenario())

    def test_lease_holds_only_for_connections_that_were_opened_before_its_proof(self) -> None:
        """Guards against a primary that crashed and is back within its lease."""
        lease = LeadershipLease()
        own = ReplicationStatus(role=ServerRole.PRIMARY, term=1, received=POSITION)
        lease.record_statuses(own, [], has_replicas=False, asked_at=10.0)
        now = 10.0 + LEASE_S / 2
        self.assertTrue(lease.is_valid(now, since=9.9))
        self.assertFalse(lease.is_valid(now, since=10.1))

    async def commit(self, bench: Bench, transaction: str, **others: Any) -> Any:
        return await bench.run(
            "commit", work=StatementKind.COMMIT, transaction=transaction, **others
        )
