"""Freshness of reads, choice of servers and the queue for slots, without a network."""

import asyncio

from testtools import TestCase

from lentilring.catalog.model import ServerRole
from lentilring.clock import LoopClock
from lentilring.gateways.positions import FRESHNESS_MARGIN_S, ProvenPositionHistory
from lentilring.gateways.slots import MAX_WAITING_AT_SERVER, SlotQueue, SlotRefusal
from lentilring.sessions.choice import ProxyLocation, WaitEstimates, rank_read_servers
from lentilring.statements.model import Position

from .prepared import REGIONS
from .test_takeover import build_entry
from .virtual_time import run_virtual


def position(number: int, term: int = 1) -> Position:
    return Position(term=term, number=number)


class PositionHistoryTest(TestCase):
    def test_oldest_position_within_the_bound_is_found(self) -> None:
        """Guards against reads that miss commits older than the bound, and needless LAGGING."""
        history = ProvenPositionHistory()
        for step in range(20):
            history.add(position(step), step * 0.2)
        found = history.find(max_staleness_s=1.5, now=4.0)
        assert found is not None
        self.assertTrue(found.taken_at >= 4.0 - 1.5 + FRESHNESS_MARGIN_S)
        self.assertTrue(found.taken_at < 4.0 - 1.5 + FRESHNESS_MARGIN_S + 0.2 + 1e-9)

    def test_samples_from_before_a_freeze_do_not_count(self) -> None:
        """Guards against a VM that serves reads from positions of before its suspension."""
        history = ProvenPositionHistory()
        history.add(position(1), 10.0)
        self.assertIsNone(history.find(max_staleness_s=1.5, now=14.0))

    def test_late_answer_does_not_take_the_position_back(self) -> None:
        """Guards against older positions from answers that arrive out of order."""
        history = ProvenPositionHistory()
        history.add(position(5), 10.0)
        history.add(position(4), 10.1)
        history.add(position(9), 9.9)
        newest = history.find_newest()
        assert newest is not None
        self.assertEqual(position(5), newest.position)

    def test_frequent_samples_leave_old_ones_in_place(self) -> None:
        """Guards against merging all samples of a busy primary into the newest one."""
        history = ProvenPositionHistory()
        for step in range(400):
            history.add(position(step), step * 0.005)
        found = history.find(max_staleness_s=1.5, now=2.0)
        assert found is not None
        self.assertTrue(found.taken_at < 0.75, found)


class ChoiceTest(TestCase):
    location = ProxyLocation(failure_domain="mrk-a", region="marrakech")
    servers = [
        build_entry("p", role=ServerRole.PRIMARY, failure_domain="casa-a"),
        build_entry("r1", failure_domain="mrk-a"),
        build_entry("r2", failure_domain="fes-a"),
    ]

    def rank(self, waits: dict[str, float], *, without: str = "") -> list[str]:
        ranked = rank_read_servers(
            self.servers,
            primary=self.servers[0],
            location=self.location,
            region_of=lambda domain: REGIONS[domain],
            is_usable=lambda server: server.id != without,
            wait_s=lambda server: waits.get(server, 0.0),
        )
        return [cost.server.id for cost in ranked]

    def test_near_replica_is_first_until_its_queue_costs_more_than_the_way(self) -> None:
        """Guards against needless reads across regions, and against queueing while others idle."""
        self.assertEqual(["r1", "r2", "p"], self.rank({}))
        self.assertEqual(["r2", "p", "r1"], self.rank({"r1": 0.2}))
        self.assertEqual(["r2", "p"], self.rank({}, without="r1"))

    def test_old_news_of_load_fades(self) -> None:
        """Guards against avoiding a server long after its queue has become empty."""
        now = [0.0]
        view = WaitEstimates(now=lambda: now[0])
        view.record("r1", 0.4)
        self.assertEqual(0.4, view.wait_s("r1"))
        now[0] = 1.0
        self.assertTrue(view.wait_s("r1") < 0.03)


class SlotQueueTest(TestCase):
    def test_transactions_and_urgent_work_run_first(self) -> None:
        """Guards against urgent work that waits behind less urgent work."""

        async def scenario() -> list[str]:
            queue = SlotQueue(clock=LoopClock(), slots=1)
            order: list[str] = []

            async def work(name: str, rank: int) -> None:
                assert await queue.acquire(name, rank=rank, patience_s=10) is None
                order.append(name)
                await asyncio.sleep(0.01)
                queue.release(name, rank=rank, cost_s=0.01)

            running = [
                asyncio.ensure_future(work(f"first{i}", 3))
                for i in range(1 + MAX_WAITING_AT_SERVER)
            ]
            await asyncio.sleep(0)
            for name, rank in (("low", 3), ("high", 1), ("transaction", 0)):
                running.append(asyncio.ensure_future(work(name, rank)))
                await asyncio.sleep(0)
            await asyncio.gather(*running)
            return order[1 + MAX_WAITING_AT_SERVER :]

        self.assertEqual(["transaction", "high", "low"], run_virtual(scenario()))

    def test_work_that_would_wait_too_long_is_refused_at_once(self) -> None:
        """Guards against queueing work that cannot be served in time."""

        async def scenario() -> tuple[SlotRefusal | None, float]:
            clock = LoopClock()
            queue = SlotQueue(clock=clock, slots=1)
            for _ in range(1 + MAX_WAITING_AT_SERVER):
                await queue.acquire("a", rank=2, patience_s=1)
            waiting = [
                asyncio.ensure_future(queue.acquire("b", rank=2, patience_s=5)) for _ in range(40)
            ]
            await asyncio.sleep(0)
            before = clock.monotonic()
            refused = await queue.acquire("c", rank=3, patience_s=0.05)
            for task in waiting:
                task.cancel()
            return refused, clock.monotonic() - before

        refused, waited = run_virtual(scenario())
        self.assertIsInstance(refused, SlotRefusal)
        self.assertEqual(0.0, waited)

    def test_cancelled_waiter_keeps_no_slot(self) -> None:
        """Guards against losing the slots of callers that are cancelled."""

        async def scenario() -> int:
            queue = SlotQueue(clock=LoopClock(), slots=1)
            for _ in range(1 + MAX_WAITING_AT_SERVER):
                await queue.acquire("a", rank=1, patience_s=1)
            waiter = asyncio.ensure_future(queue.acquire("b", rank=1, patience_s=5))
            await asyncio.sleep(0)
            queue.release("a", rank=1, cost_s=0.01)
            waiter.cancel()
            await asyncio.gather(waiter, return_exceptions=True)
            queue.release("a", rank=1, cost_s=0.01)
            return queue.running

        self.assertEqual(0, run_virtual(scenario()))

    def test_waiting_work_is_admitted_when_the_limit_rises(self) -> None:
        """Guards against statements that wait for a release although the limit has risen."""

        async def scenario() -> tuple[list[int], float]:
            limit = [1]
            queue = SlotQueue(clock=LoopClock(), slots=4, limit=lambda: limit[0])
            running = []
            for _ in range(5):
                waiting = asyncio.ensure_future(queue.acquire("a", rank=1, patience_s=1))
                await asyncio.sleep(0)
                running.append(queue.running)
            expected_s = queue.expected_wait_s("a", 1)
            limit[0] = 3
            queue.admit_waiting()
            waiting.cancel()
            return [*running, queue.running], expected_s

        running, expected_s = run_virtual(scenario())
        self.assertEqual([1, 1, 1, 1, 1, 3], running)
        # Four statements wait for one place at the server, each for the initial cost of 5 ms.
        self.assertGreater(expected_s, 0.02)
