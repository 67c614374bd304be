"""Tests of terms and replication of the backend server stand-in."""

import asyncio
from typing import Any

from lentilring.database.messages import (
    Action,
    AwaitPosition,
    Fence,
    Follow,
    Lead,
    Role,
    StatementStatus,
    TermStart,
)
from lentilring.standin.database import DatabaseServer, ServerSettings

from .fakes_database import BackendNetwork
from .test_database_standin import (
    A,
    B,
    C,
    VirtualTestCase,
    add,
    ask,
    build_session,
    promote,
    put,
    read,
    write,
)

CATCH_UP_S = 3.0


async def fail_over(network: BackendNetwork, *, divergent_writes: int) -> list[DatabaseServer]:
    """Leave unreplicated writes on A, promote B in term 2 and restore the network."""
    a, b, c = network.servers.values()
    await write(a, add(1))
    await b.await_position(AwaitPosition(term=1, position=1, wait_s=1.0))
    await c.await_position(AwaitPosition(term=1, position=1, wait_s=1.0))
    network.isolate(A, [])
    for _ in range(divergent_writes):
        await write(a, add(100))
    await promote([b, c], leader=b, address=B, term=2)
    network.heal()
    return [a, b, c]


class DivergenceTests(VirtualTestCase):
    def test_divergent_log_is_truncated(self) -> None:
        """Guards against a returning primary that keeps entries which the group discarded."""

        async def check(network: BackendNetwork, *_: DatabaseServer) -> None:
            a, b, c = await fail_over(network, divergent_writes=3)
            await write(b, add(1), term=2)
            a.follow(Follow(term=2, primary_address=B, start_position=1))
            self.assertEqual(1, a.log.position)
            await asyncio.sleep(CATCH_UP_S)
            self.assertEqual(b.log.entries, a.log.entries)
            self.assertEqual({"n": 2}, a.log.maps["khaima"])
            starts = (TermStart(term=1, position=0), TermStart(term=2, position=1))
            self.assertEqual([starts] * 3, [s.report_status().log_terms for s in (a, b, c)])

        self.run_on_group(check)

    def test_entries_of_a_missed_term_are_replaced(self) -> None:
        """Guards against trusting a log that ends before the start of the followed term.

        A's divergent entries stand at positions that the group filled in a term A never saw.
        """

        async def check(network: BackendNetwork, *_: DatabaseServer) -> None:
            a, b, c = await fail_over(network, divergent_writes=2)
            for _ in range(5):
                await write(b, add(1), term=2)
            await c.await_position(AwaitPosition(term=2, position=6, wait_s=2.0))
            await promote([b, c], leader=c, address=C, term=3)
            a.follow(Follow(term=3, primary_address=C, start_position=6))
            waiting = await a.await_position(AwaitPosition(term=3, position=3, wait_s=0.0))
            self.assertEqual((True, 0), (waiting.accepted, waiting.position))
            status = await a.await_position(AwaitPosition(term=3, position=3, wait_s=CATCH_UP_S))
            self.assertEqual(6, status.position)
            self.assertEqual(c.log.entries, a.log.entries)
            self.assertEqual({"n": 6}, a.log.maps["khaima"])

        self.run_on_group(check)

    def test_returning_primary_confirms_and_reads_only_after_following(self) -> None:
        """Guards against confirming or reading discarded entries under the new term (I1, I2)."""

        async def check(network: BackendNetwork, *_: DatabaseServer) -> None:
            a, b, _ = await fail_over(network, divergent_writes=3)
            await write(b, add(1), term=2)
            a.fence(Fence(term=2))
            status = await a.await_position(AwaitPosition(term=2, position=2, wait_s=0.1))
            self.assertEqual((True, 2, 0), (status.accepted, status.term, status.position))
            self.assertEqual(StatementStatus.STALE_TERM, (await read(a, term=2)).status)
            a.follow(Follow(term=2, primary_address=B, start_position=1))
            status = await a.await_position(AwaitPosition(term=2, position=2, wait_s=CATCH_UP_S))
            self.assertEqual((True, 2, 2), (status.accepted, status.term, status.position))
            self.assertEqual(StatementStatus.OK, (await read(a, term=2)).status)

        self.run_on_group(check)

    def test_incomplete_log_does_not_report_a_term(self) -> None:
        """Guards against a replica that ranks above a complete log after a second failure."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, c: DatabaseServer
        ) -> None:
            c.faults.pause_replication = True
            for _ in range(4):
                await write(a, add(1))
            await b.await_position(AwaitPosition(term=1, position=4, wait_s=1.0))
            await promote([a, b, c], leader=b, address=B, term=2)
            await asyncio.sleep(CATCH_UP_S)
            self.assertEqual(2, c.matched_term)
            self.assertEqual((TermStart(term=1, position=0),), c.report_status().log_terms)
            c.faults.pause_replication = False
            await asyncio.sleep(CATCH_UP_S)
            self.assertEqual(b.report_status().log_terms, c.report_status().log_terms)

        self.run_on_group(check)


class TermTests(VirtualTestCase):
    def test_fenced_server_refuses_lower_terms(self) -> None:
        """Guards against a deposed primary that still runs statements or commands (I2)."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            status = a.fence(Fence(term=3))
            self.assertEqual((True, 3, Role.REPLICA), (status.accepted, status.term, status.role))
            replies = [
                await write(a, add(1)),
                await read(a),
                await a.execute(build_session(), ask(Action.BEGIN)),
                await write(a, add(1), term=2),
            ]
            self.assertEqual({StatementStatus.STALE_TERM}, {reply.status for reply in replies})
            refused = [
                a.fence(Fence(term=2)),
                a.lead(Lead(term=2, start_position=0)),
                a.follow(Follow(term=2, primary_address=B, start_position=0)),
            ]
            self.assertEqual({(False, 3)}, {(entry.accepted, entry.term) for entry in refused})
            self.assertEqual(0, a.log.position)

        self.run_on_group(check)

    def test_fence_stops_a_statement_that_is_running(self) -> None:
        """Guards against a write that is applied after the server promised a greater term."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            writing = asyncio.ensure_future(write(a, add(1)))
            await asyncio.sleep(0.5)
            a.fence(Fence(term=2))
            self.assertEqual(StatementStatus.STALE_TERM, (await writing).status)
            self.assertEqual(0, a.log.position)

        self.run_on_group(check, settings=ServerSettings(statement_time_s=1.0))

    def test_fenced_replica_discards_entries_under_way(self) -> None:
        """Guards against entries of a lower term appended after a fence reported a position."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, _: DatabaseServer
        ) -> None:
            await write(a, add(1))
            b.fence(Fence(term=2))
            await asyncio.sleep(CATCH_UP_S)
            self.assertEqual(0, b.log.position)
            self.assertEqual(1, b.telemetry.read("standin_pulls_discarded"))

        self.run_on_group(check)

    def test_greater_term_in_a_statement_or_pull_deposes_the_primary(self) -> None:
        """Guards against a primary that ignores a term which it learns from others."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, _: DatabaseServer
        ) -> None:
            reply = await write(a, add(1), term=2)
            self.assertEqual(StatementStatus.NOT_PRIMARY, reply.status)
            self.assertEqual(2, a.term)
            b.follow(Follow(term=3, primary_address=A, start_position=0))
            await asyncio.sleep(1)
            self.assertEqual((3, Role.REPLICA), (a.term, a.report_status().role))
            self.assertEqual(1, b.matched_term)

        self.run_on_group(check)

    def test_replica_refuses_writes(self) -> None:
        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, _: DatabaseServer
        ) -> None:
            self.assertEqual(StatementStatus.NOT_PRIMARY, (await write(b, put(1))).status)
            begin = await b.execute(build_session(), ask(Action.BEGIN))
            self.assertEqual(StatementStatus.NOT_PRIMARY, begin.status)

        self.run_on_group(check)

    def test_lead_is_refused_without_the_whole_log_or_beside_another_primary(self) -> None:
        """Guards against a primary with missing entries and against two primaries of one term."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, c: DatabaseServer
        ) -> None:
            self.assertFalse(b.lead(Lead(term=1, start_position=0)).accepted)
            self.assertFalse(a.follow(Follow(term=1, primary_address=B, start_position=0)).accepted)
            self.assertFalse(c.lead(Lead(term=2, start_position=5)).accepted)
            self.assertEqual(Role.REPLICA, c.report_status().role)

        self.run_on_group(check)

    def test_lead_cuts_entries_past_the_start(self) -> None:
        """Guards against a primary whose own log goes past the recorded start of its term."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            await write(a, add(1))
            await write(a, add(1))
            self.assertEqual(1, a.lead(Lead(term=2, start_position=1)).position)
            self.assertEqual({"n": 1}, a.log.maps["khaima"])

        self.run_on_group(check)

    def test_await_position_ends_as_soon_as_the_term_is_greater(self) -> None:
        """Guards against a confirmation wait that lasts to its time-out after a failover."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, _: DatabaseServer
        ) -> None:
            loop = asyncio.get_running_loop()
            waiting = asyncio.ensure_future(
                b.await_position(AwaitPosition(term=1, position=9, wait_s=60.0))
            )
            await asyncio.sleep(1)
            before = loop.time()
            b.fence(Fence(term=2))
            status = await waiting
            self.assertEqual((False, 2), (status.accepted, status.term))
            self.assertEqual(before, loop.time())
            late = await b.await_position(AwaitPosition(term=3, position=0, wait_s=2.0))
            self.assertEqual((True, 2, 0), (late.accepted, late.term, late.position))
            self.assertAlmostEqual(2.0, loop.time() - before, 3)

        self.run_on_group(check)


class ReplicationTests(VirtualTestCase):
    def test_lag_and_pause_hold_entries_back_without_silence(self) -> None:
        """Guards against a lagging replica that reports its primary as silent."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, c: DatabaseServer
        ) -> None:
            b.settings.replication_lag_s = 5.0
            c.faults.pause_replication = True
            await asyncio.sleep(1)
            await write(a, add(1))
            await asyncio.sleep(4.9)
            self.assertEqual((0, 0), (b.log.position, c.log.position))
            silences = [server.report_status().primary_silence_s for server in (b, c)]
            self.assertTrue(max(silences) < 0.5, silences)
            await asyncio.sleep(0.3)
            self.assertEqual((1, 0), (b.log.position, c.log.position))
            c.faults.pause_replication = False
            await asyncio.sleep(1)
            self.assertEqual(1, c.log.position)

        self.run_on_group(check)

    def test_silence_grows_while_the_primary_is_unreachable(self) -> None:
        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, c: DatabaseServer
        ) -> None:
            await network.kill(A)
            network.cut.add((C, A))
            await asyncio.sleep(10)
            for server in (b, c):
                self.assertTrue(server.report_status().primary_silence_s > 9)
            await network.restart(A)
            await write(a, add(1))
            await asyncio.sleep(CATCH_UP_S)
            self.assertEqual((1, 0), (b.log.position, c.log.position))
            self.assertTrue(b.report_status().primary_silence_s < 0.5)

        self.run_on_group(check)

    def test_a_stopped_server_does_not_finish_its_statements(self) -> None:
        """Guards against a statement that is applied after its server was killed."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: Any) -> None:
            writing = asyncio.ensure_future(write(a, add(1)))
            await asyncio.sleep(0.5)
            await network.kill(A)
            await network.restart(A)
            await asyncio.wait({writing})
            self.assertIsNotNone(writing.exception())
            self.assertEqual(0, a.log.position)

        self.run_on_group(check, settings=ServerSettings(statement_time_s=1.0))
