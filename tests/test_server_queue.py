"""A server's queue under load: what callers get, most of it on virtual time without a network."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any
from unittest.mock import patch

from testtools import TestCase

from lentilring.gateways.attempt import RunResult, compute_connection_limit
from lentilring.gateways.gateway import ServerGateway
from lentilring.gateways.messages import (
    RunStatement,
    SessionValue,
    StatementKind,
    TransactionOpening,
)
from lentilring.gateways.pacing import ServerPace
from lentilring.gateways.positions import MISSING_RETRY_S, ProvenPositionHistory
from lentilring.gateways.server import ServerLost, ServerRefused, ServerReply, ServerUnreachable
from lentilring.gateways.service import GatewayService
from lentilring.gateways.slots import SlotQueue
from lentilring.statements.model import Done, Failed, Failure, Position, TransactionState
from lentilring.telemetry.metrics import Telemetry

from .prepared import (
    SessionClient,
    build_manifest,
    build_route,
    run,
    run_prepared_platform,
    wait_until,
)
from .test_takeover import build_entry
from .virtual_time import SuspensibleClock, run_virtual

WORK_S = 0.01
# A primary that does not answer keeps those who ask it waiting for this long.
SILENCE_S = 0.5
POSITION = Position(term=1, number=7)
SLOW, FAST = "0.2", "0.01"


class FakeServer:
    """Connect gateways; run a statement for `work_s`, which its text may name instead."""

    def __init__(self, *, allowed: int = 99) -> None:
        self.allowed, self.open_count, self.opened = allowed, 0, 0
        self.error: Exception | None = None
        self.runs: list[str] = []

    async def connect(self, server: object, *, account: str, timeout_s: float) -> "FakeSession":
        await asyncio.sleep(WORK_S)
        if self.error is not None:
            raise self.error
        if self.open_count >= self.allowed:
            raise ServerRefused(server="s", failure=Failure.CONNECTIONS_EXHAUSTED, detail="full")
        self.opened += 1
        return FakeSession(self)


class FakeSession:
    """Answer the statements of one connection."""

    is_closed = False
    position = None

    def __init__(self, server: FakeServer) -> None:
        self._server = server
        self._state = TransactionState.IDLE
        server.open_count += 1

    async def run(
        self, request_id: str, text: str, *, timeout_s: float, **_: object
    ) -> ServerReply:
        self._server.runs.append(request_id)
        work_s = float(text or WORK_S)
        await asyncio.sleep(min(work_s, timeout_s))
        if work_s > timeout_s:
            raise ServerLost(server="s", detail="timed out", timed_out=True)
        return self._answer(TransactionState.IDLE if request_id == "commit" else self._state)

    async def begin(self, **_: object) -> ServerReply:
        return self._answer(TransactionState.OPEN)

    async def roll_back(self, **_: object) -> ServerReply:
        return self._answer(TransactionState.IDLE)

    def _answer(self, state: TransactionState) -> ServerReply:
        self._state = state
        return ServerReply(outcome=Done(position=POSITION), state=state)

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._server.open_count -= 1


class Bench:
    """Hold a gateway of a server with two slots, and what its other servers answer it."""

    def __init__(self, server: FakeServer | None = None, *, max_connections: int = 40) -> None:
        self.server = server or FakeServer()
        self.clock, self.history = SuspensibleClock(), ProvenPositionHistory()
        self.refreshes = 0
        self.leads, self.is_first_choice = True, True
        self.proved_since = 0.0
        self.refresh: Callable[[], Awaitable[None]] = self.wait_for_silent_primary
        self.ensure_leadership: Callable[[], Awaitable[bool]] = self._tell_leadership
        names = iter(range(1000))
        self.gateway = ServerGateway(
            server=build_entry("s"),
            max_connections=max_connections,
            connector=self.server,  # type: ignore[arg-type]
            history=self.history,
            clock=self.clock,
            telemetry=Telemetry(),
            make_transaction_id=lambda: f"t{next(names)}",
            refuse_new_work=lambda _: None,
            transaction_idle_s=lambda: 60.0,
            refresh_positions=self._refresh_positions,
            request_sampling=lambda: None,
            is_primary=lambda: True,
            ensure_leadership=self._ensure_leadership_since,
            has_leadership=lambda: self.leads,
            is_first_choice=lambda: self.is_first_choice,
            is_too_late=lambda *_: False,
            observe_answer=lambda *_: None,
        )

    async def _ensure_leadership_since(self, since: float) -> bool:
        self.proved_since = since
        return await self.ensure_leadership()

    async def _tell_leadership(self) -> bool:
        return self.leads

    async def _refresh_positions(self) -> None:
        self.refreshes += 1
        await self.refresh()

    async def wait_for_silent_primary(self) -> None:
        await asyncio.sleep(SILENCE_S)

    async def run(self, request_id: str = "q", **others: Any) -> RunResult:
        values: dict[str, Any] = {
            "server": "s",
            "account": "planner",
            "work": StatementKind.READ,
            "text": "",
            "priority": 1,
            "patience_s": 0.4,
            "timeout_s": 2.0,
            **others,
        }
        return await self.gateway.run(RunStatement(request_id=request_id, **values))

    async def time_run(self, request_id: str = "q", **others: Any) -> tuple[RunResult, float]:
        began_at = self.clock.monotonic()
        result = await self.run(request_id, **others)
        return result, self.clock.monotonic() - began_at

    async def hold_all_connections(self) -> list[str]:
        """Open as many transactions as the gateway may hold connections."""
        return [await self.open_transaction() for _ in range(self.gateway.pool.limit)]

    def assert_nothing_is_held(self) -> None:
        """Check that all slots and connections came back."""
        pool = self.gateway.pool
        idle = sum(len(entries) for entries in pool._idle.values())
        assert (self.gateway.slots.running, pool.open_count - idle) == (0, 0)
        assert self.server.open_count == idle

    async def open_transaction(self) -> str:
        result = await self.run("begin", opening=TransactionOpening.READ_WRITE)
        assert result.transaction, result
        return result.transaction


def find_failure(result: RunResult) -> Failure | None:
    return result.outcome.failure if isinstance(result.outcome, Failed) else None


def start(awaitable: Awaitable[Any]) -> asyncio.Future[Any]:
    return asyncio.ensure_future(awaitable)


class SilentPrimaryTest(TestCase):
    def test_reads_with_a_known_position_go_on_while_others_wait_for_one(self) -> None:
        """Guards against reads without a position that hold all slots of a replica.

        In a played day both replicas of a service answered nothing for over 3 s, while 100 to 220
        reads waited for proofs of a primary that had stopped responding.
        """

        async def scenario() -> None:
            bench = Bench()
            bench.history.add(POSITION, bench.clock.boottime() - 1.0)
            strict = [start(bench.run(f"strict{i}", max_staleness_s=0.5)) for i in range(100)]
            await asyncio.sleep(0.05)
            for number in range(30):
                result, took_s = await bench.time_run(f"loose{number}", max_staleness_s=10.0)
                self.assertIsNone(find_failure(result))
                self.assertLess(took_s, 3 * WORK_S)
            failures = Counter(find_failure(result) for result in await asyncio.gather(*strict))
            self.assertEqual({Failure.BEHIND: 100}, failures)
            self.assertFalse([name for name in bench.server.runs if name.startswith("strict")])

        run_virtual(scenario())

    def test_read_whose_position_became_too_old_in_the_queue_is_refused_as_behind(self) -> None:
        """Guards against stale reads after a wait for a slot, and another wait in the slot."""

        async def scenario() -> None:
            bench = Bench()
            await bench.run()
            bench.history.add(POSITION, bench.clock.boottime())
            for number in range(3):
                start(bench.run(f"slow{number}", text="0.3"))
            await asyncio.sleep(0)
            result, took_s = await bench.time_run("read", max_staleness_s=0.4)
            self.assertEqual(Failure.BEHIND, find_failure(result))
            self.assertLess(took_s, 0.3 + 2 * WORK_S)
            self.assertEqual(0, bench.refreshes)

        run_virtual(scenario())

    def test_transaction_commits_while_others_wait_for_the_lease(self) -> None:
        """Guards against open transactions that no slot is left for while no lease can be had."""

        async def scenario() -> None:
            bench = Bench()
            transaction = await bench.open_transaction()

            async def wait_for_silent_replicas() -> bool:
                await asyncio.sleep(SILENCE_S)
                return False

            bench.ensure_leadership = wait_for_silent_replicas
            waiting = [start(bench.run(f"w{i}", proves_lead=True)) for i in range(20)]
            await asyncio.sleep(0.05)
            result, took_s = await bench.time_run(
                "commit", work=StatementKind.COMMIT, transaction=transaction
            )
            self.assertIsNone(find_failure(result))
            self.assertLess(took_s, 2 * WORK_S)
            failures = {find_failure(result) for result in await asyncio.gather(*waiting)}
            self.assertEqual({Failure.NOT_PRIMARY}, failures)

        run_virtual(scenario())

    def test_statement_is_not_sent_after_its_lease_ended_in_the_queue(self) -> None:
        """Guards against a replaced primary that runs what waited for its slot."""

        async def scenario() -> None:
            bench = Bench()
            for number in range(3):
                start(bench.run(f"slow{number}", text="0.3"))
            waiting = start(bench.run("late", proves_lead=True))
            await asyncio.sleep(0.05)
            bench.leads = False
            self.assertEqual(Failure.NOT_PRIMARY, find_failure(await waiting))
            self.assertNotIn("late", bench.server.runs)

        run_virtual(scenario())

    def test_position_is_not_proved_after_the_lease_ended_during_the_connect(self) -> None:
        """Guards against a replaced primary's position that reads take for recent."""

        async def scenario() -> None:
            bench = Bench()
            proof = start(bench.gateway.prove_leadership("planner"))
            await asyncio.sleep(WORK_S / 2)
            bench.leads = False
            self.assertIsNone(await proof)
            self.assertIsNone(bench.history.find_newest())

        run_virtual(scenario())

    def test_wait_for_a_position_ends_with_the_time_of_the_statement(self) -> None:
        """Guards against a read that is answered after its timeout."""

        async def scenario() -> None:
            bench = Bench()
            result, took_s = await bench.time_run(max_staleness_s=0.5, timeout_s=0.2)
            self.assertEqual(Failure.BEHIND, find_failure(result))
            self.assertLess(took_s, 0.25)

        run_virtual(scenario())

    def test_position_that_could_not_be_had_is_not_waited_for_again(self) -> None:
        """Guards against reads that each wait 0.5 s for the same unresponsive primary."""

        async def scenario() -> None:
            bench = Bench()
            _, first_s = await bench.time_run(max_staleness_s=0.5)
            result, second_s = await bench.time_run(max_staleness_s=0.5)
            self.assertEqual(Failure.BEHIND, find_failure(result))
            self.assertEqual((SILENCE_S, 0.0, 1), (first_s, second_s, bench.refreshes))
            await asyncio.sleep(MISSING_RETRY_S + 0.01)
            result, third_s = await bench.time_run(max_staleness_s=0.5)
            self.assertEqual(Failure.BEHIND, find_failure(result))
            self.assertAlmostEqual(MISSING_RETRY_S, third_s)

        run_virtual(scenario())

    def test_primary_that_answers_again_serves_the_next_reads(self) -> None:
        """Guards against reads that are refused although the primary proves positions again."""

        async def scenario() -> None:
            bench = Bench()
            await bench.run(max_staleness_s=0.5)

            async def answer() -> None:
                await asyncio.sleep(0.024)
                bench.history.add(POSITION, bench.clock.boottime())

            bench.refresh = answer
            await asyncio.sleep(MISSING_RETRY_S + 0.01)
            self.assertIsNone(find_failure(await bench.run(max_staleness_s=0.5)))

        run_virtual(scenario())

    def test_position_that_became_too_old_in_the_queue_has_no_age(self) -> None:
        """Guards against a silent primary that passes for the lag of a replica.

        An answer "behind" with an age says that the server was asked and lacks that position.
        """

        async def scenario() -> None:
            bench = Bench()
            bench.history.add(POSITION, bench.clock.boottime())
            for number in range(3):
                start(bench.run(f"slow{number}", text="0.3"))
            await asyncio.sleep(0)
            result = await bench.run("read", max_staleness_s=0.4)
            self.assertEqual(Failure.BEHIND, find_failure(result))
            self.assertIsNone(result.position_age_s)

        run_virtual(scenario())

    def test_read_without_time_to_wait_does_not_refuse_others(self) -> None:
        """Guards against reads that are refused because another one had little time left.

        The positions are those of all gateways of a service in a process.
        """

        async def scenario() -> None:
            bench = Bench()

            async def answer() -> None:
                await asyncio.sleep(0.024)
                bench.history.add(POSITION, bench.clock.boottime())

            bench.refresh = answer
            result = await bench.run("short", max_staleness_s=0.5, timeout_s=0.01)
            self.assertEqual(Failure.BEHIND, find_failure(result))
            self.assertIsNone(find_failure(await bench.run("long", max_staleness_s=0.5)))

        run_virtual(scenario())

    def test_stop_waits_for_reads_that_wait_for_a_position(self) -> None:
        """Guards against a drain that ends before such reads are answered."""

        async def scenario() -> None:
            bench = Bench()
            waiting = start(bench.run(max_staleness_s=0.5))
            await asyncio.sleep(0)
            self.assertEqual(1, bench.gateway.count_statements())
            await waiting
            self.assertEqual(0, bench.gateway.count_statements())

        run_virtual(scenario())


class ReadOfPrimaryTest(TestCase):
    def test_answer_is_kept_when_the_connection_breaks_after_it(self) -> None:
        """Guards against "not run" for a read that ran.

        The gateway opens a transaction for a read of the primary and rolls it back after the
        answer.
        """
        errors = [
            ServerUnreachable(server="s", detail="the connection is closed"),
            ServerLost(server="s", detail="timed out", timed_out=True),
        ]

        async def scenario(error: Exception) -> None:
            bench = Bench()
            with patch.object(FakeSession, "roll_back", side_effect=error):
                result = await bench.run("read", proves_lead=True)
            self.assertEqual(["read"], bench.server.runs)
            self.assertIsNone(find_failure(result), result)
            self.assertIsNone(find_failure(await bench.run("next")))
            bench.assert_nothing_is_held()

        for error in errors:
            run_virtual(scenario(error))


class ConnectionShortageTest(TestCase):
    def test_transactions_end_while_others_wait_for_their_connections(self) -> None:
        """Guards against idle transactions whose commits get no slot.

        In a played day, statements that waited for a connection held all slots while up to 144
        sessions were idle inside transactions, so that nothing ended before its timeout.
        """

        async def scenario() -> None:
            bench = Bench(max_connections=10)
            transactions = await bench.hold_all_connections()
            waiting = [start(bench.run(f"w{i}")) for i in range(30)]
            await asyncio.sleep(0.05)
            for transaction in transactions:
                result, took_s = await bench.time_run(
                    "commit", work=StatementKind.COMMIT, transaction=transaction
                )
                self.assertIsNone(find_failure(result))
                self.assertLess(took_s, 3 * WORK_S)
            failures = Counter(find_failure(result) for result in await asyncio.gather(*waiting))
            self.assertEqual({None: 30}, failures)
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_others_are_refused_when_their_patience_ends(self) -> None:
        """Guards against statements that wait without a bound for idle transactions."""

        async def scenario() -> None:
            bench = Bench(max_connections=10)
            await bench.hold_all_connections()
            runs = [start(bench.time_run(f"w{i}", patience_s=0.3)) for i in range(20)]
            for result, took_s in await asyncio.gather(*runs):
                self.assertEqual(Failure.CONNECTIONS_EXHAUSTED, find_failure(result))
                self.assertAlmostEqual(0.3, took_s)
            # Callers that choose among servers learn of the shortage.
            self.assertGreaterEqual(bench.gateway.slots.expected_wait_s("planner", 2), 0.3)

        run_virtual(scenario())

    def test_limit_that_rises_admits_waiting_statements(self) -> None:
        """Guards against statements that wait although their gateway may open connections."""

        async def scenario() -> None:
            bench = Bench()
            bench.is_first_choice = False
            await bench.hold_all_connections()
            waiting = [start(bench.time_run(f"w{i}")) for i in range(3)]
            await asyncio.sleep(0.1)
            bench.is_first_choice = True
            bench.gateway.pool.trim()
            for result, took_s in await asyncio.gather(*waiting):
                self.assertIsNone(find_failure(result))
                self.assertLess(took_s, 0.1 + 3 * WORK_S)

        run_virtual(scenario())

    def test_full_server_serves_all_through_the_connections_it_took(self) -> None:
        """Guards against statements that keep a slot, or wait forever, at a full server."""

        async def scenario() -> None:
            bench = Bench(FakeServer(allowed=2))
            accounts = ["planner", "crew", "medina"]
            runs = [start(bench.run(f"q{i}", account=accounts[i % 3])) for i in range(30)]
            failures = Counter(find_failure(result) for result in await asyncio.gather(*runs))
            self.assertEqual({None: 30}, failures)
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_unreachable_server_answers_all_waiting_statements_at_once(self) -> None:
        """Guards against statements that each wait for a connection that cannot be opened."""

        async def scenario() -> None:
            bench = Bench()
            bench.server.error = ServerUnreachable(server="s", detail="refused")
            runs = [start(bench.time_run(f"q{i}", patience_s=1.0)) for i in range(50)]
            for result, took_s in await asyncio.gather(*runs):
                self.assertTrue(result.is_unreachable)
                self.assertLess(took_s, 2 * WORK_S)
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_failed_connect_does_not_refuse_what_an_idle_connection_can_run(self) -> None:
        """Guards against a queue that is refused because one handshake at a slow server failed."""

        async def scenario() -> None:
            bench = Bench()
            await bench.run()
            bench.server.error = ServerUnreachable(server="s", detail="timed out")
            runs = [start(bench.run(f"q{i}")) for i in range(12)]
            failures = Counter(find_failure(result) for result in await asyncio.gather(*runs))
            # The idle connection runs the first one and those that wait when it is released.
            self.assertGreater(failures[None], 1)
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_refused_session_value_does_not_refuse_other_statements(self) -> None:
        """Guards against a caller whose value a server refuses, which keeps all others from it."""

        async def refuse(*_: object, **__: object) -> ServerReply:
            failed = Failed(failure=Failure.FAILED, detail="no such value")
            return ServerReply(outcome=failed, state=TransactionState.IDLE)

        async def scenario() -> None:
            bench = Bench()
            bench.gateway.pace = ServerPace(max_limit=3)
            with patch.object(FakeSession, "set_value", refuse, create=True):
                result = await bench.run("q0", values=(SessionValue(name="a", value="1"),))
            self.assertEqual(Failure.OVERLOADED, find_failure(result))
            self.assertEqual([], bench.server.runs)
            self.assertFalse(bench.gateway.pace.is_paced)
            self.assertIsNone(find_failure(await bench.run("q1")))
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_statements_at_a_replaced_server_are_answered_at_once(self) -> None:
        """Guards against statements that wait for connections of a gateway that was closed."""

        async def scenario() -> None:
            bench = Bench(max_connections=10)
            await bench.hold_all_connections()
            waiting = [start(bench.time_run(f"w{i}", patience_s=1.0)) for i in range(10)]
            await asyncio.sleep(0.05)
            bench.gateway.close()
            for result, took_s in await asyncio.gather(*waiting):
                self.assertTrue(result.is_unreachable)
                self.assertLess(took_s, 0.1)
            bench.assert_nothing_is_held()

        run_virtual(scenario())

    def test_cancelled_statements_leave_nothing_behind(self) -> None:
        """Guards against slots and connections that are lost with their callers.

        Statements of three accounts, transactions among them, are cancelled at random times at a
        server that allows fewer connections than the gateway asks for and sometimes refuses all.
        """

        async def scenario(random: Random) -> None:
            bench = Bench(FakeServer(allowed=3))

            async def call(number: int) -> None:
                await asyncio.sleep(random.uniform(0.0, 1.0))
                opening = random.choice([TransactionOpening.NONE, TransactionOpening.READ_WRITE])
                account = random.choice(["planner", "crew", "medina"])
                running = start(bench.run(f"q{number}", account=account, opening=opening))
                await asyncio.sleep(random.choice([random.uniform(0.0, 0.1), 2.0]))
                running.cancel()
                (result,) = await asyncio.gather(running, return_exceptions=True)
                if isinstance(result, RunResult) and result.transaction:
                    await bench.gateway.end_transaction(result.transaction)

            async def fail() -> None:
                await asyncio.sleep(random.uniform(0.0, 1.0))
                bench.server.error = ServerUnreachable(server="s", detail="refused")
                await asyncio.sleep(0.05)
                bench.server.error = None

            async def prove() -> None:
                await asyncio.sleep(random.uniform(0.0, 1.0))
                proof = start(bench.gateway.prove_leadership("planner"))
                await asyncio.sleep(random.choice([0.02, 2.0]))
                proof.cancel()
                await asyncio.gather(proof, return_exceptions=True)

            calls = [*(call(number) for number in range(200)), *(prove() for _ in range(20))]
            await asyncio.gather(fail(), *calls)
            for transaction in list(bench.gateway.transactions):
                await bench.gateway.end_transaction(transaction)
            bench.assert_nothing_is_held()
            await asyncio.sleep(1.0)
            self.assertIsNone(find_failure(await bench.run("last")))

        for seed in range(20):
            run_virtual(scenario(Random(seed)))


class CancelledControlTest(TestCase):
    def test_cancelled_proofs_and_rollbacks_keep_no_connections(self) -> None:
        """Guards against connections that count as in use for good after a cancelled call."""

        async def wait_long(*_: object, **__: object) -> ServerReply:
            await asyncio.sleep(0.3)
            return ServerReply(outcome=Done(), state=TransactionState.IDLE)

        async def scenario() -> None:
            bench = Bench()
            transaction = await bench.open_transaction()
            calls: list[tuple[str, Callable[[], Awaitable[Any]]]] = [
                ("begin", lambda: bench.gateway.prove_leadership("crew")),
                ("roll_back", lambda: bench.gateway.end_transaction(transaction)),
            ]
            for name, call in calls:
                with patch.object(FakeSession, name, wait_long):
                    running = start(call())
                    await asyncio.sleep(0.1)
                    running.cancel()
                    await asyncio.wait({running})
            bench.assert_nothing_is_held()

        run_virtual(scenario())


class EstimateTest(TestCase):
    def test_estimate_of_a_wait_takes_no_longer_the_more_statements_wait(self) -> None:
        """Guards against a process that is busy with refusals while many statements wait.

        Each statement and each answer estimates a wait. In a played day, 5,011 reads were refused
        within 6 s while 100 to 220 statements waited.
        """

        async def scenario() -> None:
            slots = SlotQueue(clock=SuspensibleClock(), slots=1)
            lookups = 0

            def find_cost(kind: object) -> float:
                nonlocal lookups
                lookups += 1
                return {"read": 0.01, "write": 0.03}[str(kind)]

            slots.costs.expected_s = find_cost  # type: ignore[method-assign]
            waiting = [
                start(
                    slots.acquire(
                        f"a{i % 8}",
                        rank=1 + i % 2,
                        patience_s=99,
                        kind=("read", "write")[i // 4 % 2],
                    )
                )
                for i in range(402)
            ]
            await asyncio.sleep(0)
            for future in waiting[12:112]:
                future.cancel()
            await asyncio.sleep(0)
            costs_s = {
                rank: [
                    find_cost(waiter.kind)
                    for account in queue._queues.values()
                    for waiter in account.entries
                ]
                for rank, queue in slots._queues.items()
            }
            self.assertEqual(300, len(slots))
            all_s = sum(map(sum, costs_s.values()))
            lookups = 0
            # Two statements run, which are reads; the limit is 2.
            self.assertAlmostEqual((all_s + 0.5 * 0.01) / 2, slots.expected_wait_s("new", 3))
            expected_s = (sum(costs_s[1]) + 0.5 * 0.01) / 2
            self.assertAlmostEqual(expected_s, slots.expected_wait_s("new", 2))
            self.assertLess(lookups, 30)
            for future in waiting:
                future.cancel()

        run_virtual(scenario())


class MixedWorkTest(TestCase):
    """Statements of two routes: one kind takes 0.2 s, the other 10 ms."""

    async def learn(self, bench: Bench, **others: Any) -> None:
        for number in range(40):
            await bench.run(f"l{number}", **others)

    def start_burst(self, bench: Bench, **others: Any) -> list[asyncio.Future[Any]]:
        return [start(bench.run(f"b{i}", account=f"a{i % 10}", **others)) for i in range(30)]

    def test_slow_work_waits_behind_a_burst_of_fast_work_that_ends_in_time(self) -> None:
        """Guards against refusals by an average cost that slow work has raised."""

        async def scenario() -> None:
            bench = Bench()
            await self.learn(bench, text=FAST, priority=1)
            await self.learn(bench, text=SLOW, priority=2)
            burst = self.start_burst(bench, text=FAST, priority=1)
            await asyncio.sleep(0)
            result = await bench.run("slow", text=SLOW, priority=2, patience_s=0.3)
            self.assertIsNone(find_failure(result))
            failures = Counter(find_failure(result) for result in await asyncio.gather(*burst))
            self.assertEqual({None: 30}, failures)

        run_virtual(scenario())

    def test_work_behind_a_burst_of_slow_work_is_refused_at_once(self) -> None:
        """Guards against waiting in vain because fast work has lowered the average cost."""

        async def scenario() -> None:
            bench = Bench()
            await self.learn(bench, text=SLOW, priority=1)
            await self.learn(bench, text=FAST, priority=2)
            self.start_burst(bench, text=SLOW, priority=1, patience_s=1.8)
            await asyncio.sleep(0)
            result, took_s = await bench.time_run(text=FAST, priority=2, patience_s=0.4)
            self.assertEqual(Failure.OVERLOADED, find_failure(result))
            self.assertEqual(0.0, took_s)

        run_virtual(scenario())

    def test_no_statement_gets_a_slot_too_late_to_run(self) -> None:
        """Guards against writes of unknown outcome that waited for most of their time.

        The route has a target of 1,500 ms, half of which is its patience, and a timeout of 800 ms.
        """

        async def scenario() -> None:
            bench = Bench()
            write = {"text": "0.17", "work": StatementKind.WRITE, "patience_s": 0.75}
            await self.learn(bench, **write)
            burst = self.start_burst(bench, **write, timeout_s=0.8)
            failures = Counter(find_failure(result) for result in await asyncio.gather(*burst))
            # Three statements run at a time, four times within 0.8 s.
            self.assertEqual({None: 12, Failure.OVERLOADED: 18}, failures)

        run_virtual(scenario())


class CallersTest(TestCase):
    """Whole proxies and servers on loopback."""

    def test_reads_of_replicas_go_on_while_the_primary_is_silent(self) -> None:
        """Guards against replicas that answer nothing because reads wait for the primary."""
        manifest = build_manifest()
        archive = build_route("archive", "bounded_staleness", **{"max-staleness-ms": 10_000})
        manifest["routes"].append(archive)

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2, manifest=manifest) as platform:
                platform.promote_delay_s = 60.0
                proxy = platform.proxies["vm-1"]
                loop = asyncio.get_running_loop()
                clients = [await proxy.open("stock", "crew-key") for _ in range(20)]
                patient = await proxy.open("archive")
                self.assertIn("COMPLETE", " ".join(await patient.query("READ a")))
                platform.group.servers[0].faults.silent = True
                ends_at = loop.time() + 3.5
                answers: Counter[str] = Counter()
                times_s = []

                async def read_until_end(client: SessionClient) -> None:
                    while loop.time() < ends_at:
                        answer = " ".join(await client.query("READ a"))
                        answers["COMPLETE" if "COMPLETE" in answer else answer.split()[1]] += 1
                        await asyncio.sleep(0.15)

                readers = [start(read_until_end(client)) for client in clients]
                while loop.time() < ends_at:
                    began_at = loop.time()
                    self.assertIn("COMPLETE", " ".join(await patient.query("READ a")))
                    times_s.append(loop.time() - began_at)
                    await asyncio.sleep(0.02)
                await asyncio.gather(*readers)
                # 0.02 s; 0.6 s when reads held slots while they waited for a position.
                self.assertLess(max(times_s), 0.4)
                self.assertEqual({"COMPLETE", "LAGGING"}, answers.keys())
                for client in [*clients, patient]:
                    client.close()

        run(scenario())

    def test_gateways_do_not_keep_what_has_ended(self) -> None:
        """Guards against memory that grows with restarts of servers and lost callers."""
        manifest = build_manifest()
        manifest["limits"]["tx-idle-ms"] = 200

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1, manifest=manifest) as platform:
                proxy = platform.proxies["vm-0"]
                gateways = proxy.kernel.find("gateways", GatewayService)
                leader = platform.group.leader
                assert leader is not None
                first = RunStatement(
                    request_id="q",
                    server=leader.id,
                    account="planner",
                    work=StatementKind.READ,
                    text="READ a",
                    opening=TransactionOpening.READ_WRITE,
                    patience_s=0.5,
                    timeout_s=1.0,
                )
                # Its caller's proxy sends nothing more and does not end it either.
                self.assertTrue((await gateways.run(first)).transaction)
                await wait_until(lambda: not gateways.count_transactions(), within_s=3.0)
                known = gateways._gateways[leader.id]
                leader.started_ms += 1
                platform.register(leader)
                # The sampler may open the next gateway at once.
                await wait_until(
                    lambda: gateways._gateways.get(leader.id) is not known, within_s=5.0
                )
                await wait_until(
                    lambda: not gateways._transaction_gateways and not gateways._closing,
                    within_s=3.0,
                )

        run(scenario())

    def test_idle_transactions_end_while_others_wait_for_connections(self) -> None:
        """Guards against commits without a slot while idle transactions hold all connections."""
        manifest = build_manifest()
        manifest["routes"][0].update({"target-latency-ms": 3000, "timeout-ms": 4000})

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1, manifest=manifest) as platform:
                proxy = platform.proxies["vm-0"]
                loop = asyncio.get_running_loop()
                limit = compute_connection_limit(16, is_first_choice=True)
                idle = [await proxy.open("booking") for _ in range(limit)]
                for client in idle:
                    await client.query("BEGIN")
                    self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                others = [await proxy.open("booking", "crew-key") for _ in range(20)]
                for client in others:
                    client.send(f"QUERY q{id(client)} WRITE b 1")
                await asyncio.sleep(0.1)
                began_at = loop.time()
                for client in idle:
                    self.assertIn("COMPLETE", (await client.query("COMMIT"))[0])
                # 0.03 s; 1.4 s when statements held slots while they waited for a connection.
                self.assertLess(loop.time() - began_at, 0.7)
                for client in others:
                    self.assertIn("COMPLETE", (await client.read_answer())[0])
                for client in [*idle, *others]:
                    client.close()

        run(scenario())
