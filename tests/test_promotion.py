"""Group records and the steps of a promotion, with proposers that die, pause or lose answers."""

import asyncio
import contextlib
import runpy
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from lentilring.database.messages import Role, ServerStatus, TermStart
from lentilring.failover.assignment import SupervisorTable, supervisor_key
from lentilring.failover.promotion import (
    PROMOTION_FAILURES,
    LossRisk,
    MajorityUnreachable,
    PrimaryNotInstalled,
    PromotionStep,
    RecordChanged,
)
from lentilring.failover.record import (
    GroupRecord,
    GroupRecordInvalid,
    GroupState,
    LogEnd,
    find_log_end,
    format_record,
    parse_record,
)
from lentilring.placement import rank_members
from lentilring.platform.store import StoredObject, StoreUnavailable
from lentilring.standin.objects import LocalStore

from .fakes_failover import GROUP, NAMES, Cluster, FakeMember, Written, stop_at
from .virtual_time import run_virtual

EXAMPLE = Path(__file__).parent.parent / "docs" / "examples" / "promotion.py"
STARTS = (TermStart(term=1, position=0), TermStart(term=2, position=10))


def make_status(position: int, *log_terms: tuple[int, int], term: int = 3) -> ServerStatus:
    return ServerStatus(
        server="stock-1",
        term=term,
        role=Role.REPLICA,
        position=position,
        log_terms=tuple(TermStart(term=term, position=start) for term, start in log_terms),
        primary_silence_s=0.0,
        open_connections=0,
    )


class GroupRecordTest(testtools.TestCase):
    def test_stored_form_is_parsed_back(self) -> None:
        """Guards against a record that another version of a node can't read."""
        record = GroupRecord(
            group=GROUP, term=2, primary="stock-1", state=GroupState.OPEN, term_starts=STARTS
        )
        stored = StoredObject(
            kind="group", name=GROUP, version=1, revision=1, value=format_record(record)
        )
        self.assertEqual(record, parse_record(stored))
        broken = StoredObject(kind="group", name=GROUP, version=1, revision=1, value={"term": "x"})
        self.assertRaises(GroupRecordInvalid, parse_record, broken)

    def test_positions_past_the_start_of_any_later_term_are_lost(self) -> None:
        """Guards against a session that reads past writes that a promotion dropped."""
        starts = (*STARTS, TermStart(term=4, position=8))
        record = GroupRecord(
            group=GROUP, term=4, primary="a", state=GroupState.OPEN, term_starts=starts
        )
        cases = {(1, 8): False, (1, 9): True, (2, 11): True, (4, 50): False, (3, 8): False}
        for (term, position), lost in cases.items():
            self.assertEqual(lost, record.position_is_lost(term=term, position=position))

    def test_log_end_leaves_out_replaced_entries(self) -> None:
        """Guards against an instance that missed a term and outranks those that did not."""
        self.assertEqual(LogEnd(term=1, position=10), find_log_end(make_status(12, (1, 0)), STARTS))
        end = find_log_end(make_status(12, (1, 0), (2, 10)), STARTS)
        self.assertEqual(LogEnd(term=2, position=12), end)

    def test_term_without_entries_does_not_raise_the_log_end(self) -> None:
        """Guards against a lagging replica that wins because a term was announced to it."""
        end = find_log_end(make_status(8, (1, 0), (2, 10)), STARTS)
        self.assertEqual(LogEnd(term=1, position=8), end)


class PromotionTest(testtools.TestCase):
    def run_cluster(self, check: Callable[[Cluster], Awaitable[Any]]) -> None:
        """Run a check without supervisors, so that only the test promotes."""

        async def body() -> None:
            cluster = Cluster()
            await cluster.start(services=False)
            await check(cluster)
            self.assertEqual(set(), cluster.find_lost())

        run_virtual(body())

    async def write(self, cluster: Cluster, key: str, *, needs_replica: bool = True) -> Written:
        written = await cluster.proxies[0].write(key, needs_replica=needs_replica)
        self.assertIsNotNone(written)
        self.assertIsNone(written.missing)
        return written

    def test_proposer_dies_after_each_step(self) -> None:
        """Guards against a half-finished promotion that blocks the next one or loses writes."""
        for step in PromotionStep:

            async def check(cluster: Cluster, step: PromotionStep = step) -> None:
                await self.write(cluster, "a")
                dying = cluster.promoter("vm-1", after_step=stop_at(step))
                task = asyncio.ensure_future(dying.promote(cluster.group, cluster.stored))
                await asyncio.sleep(1.0)
                task.cancel()
                await cluster.promoter("vm-2").promote(cluster.group, cluster.stored)
                await asyncio.sleep(0.1)
                self.assertEqual(3, cluster.record.term)
                await self.write(cluster, "b")

            self.run_cluster(check)

    def test_proposer_that_resumes_late_changes_nothing(self) -> None:
        """Guards against two primaries: a paused proposer goes on after another promoted."""
        for step in PromotionStep:

            async def check(cluster: Cluster, step: PromotionStep = step) -> None:
                await self.write(cluster, "a")
                resume = asyncio.Event()
                paused = cluster.promoter("vm-1", after_step=stop_at(step, resume))
                task = asyncio.ensure_future(paused.promote(cluster.group, cluster.stored))
                await asyncio.sleep(1.0)
                cut = cluster.address(NAMES[1])
                # One instance does not hear of the newer term until the paused proposer is back.
                cluster.network.cut.add(("vm-2", cut))
                await cluster.promoter("vm-2").promote(cluster.group, cluster.stored)
                record = cluster.record
                resume.set()
                await asyncio.gather(task, return_exceptions=True)
                await asyncio.sleep(0.1)
                self.assertEqual(record, cluster.record)
                if step in (PromotionStep.CLAIM, PromotionStep.FENCE, PromotionStep.CHOOSE):
                    self.assertIsInstance(task.exception(), PROMOTION_FAILURES)
                leading = [name for name in NAMES if cluster.server(name).led_term == record.term]
                self.assertEqual([record.primary], leading)
                await self.write(cluster, "b")

            self.run_cluster(check)

    def test_operator_and_supervisor_race(self) -> None:
        """Guards against two proposers that both open the same term."""

        async def check(cluster: Cluster) -> None:
            stored = cluster.stored
            results = await asyncio.gather(
                *(cluster.promoter(vm).promote(cluster.group, stored) for vm in ("vm-1", "vm-2")),
                return_exceptions=True,
            )
            failures = [result for result in results if isinstance(result, RecordChanged)]
            self.assertEqual(1, len(failures))
            self.assertEqual(2, cluster.record.term)

        self.run_cluster(check)

    def test_lost_answers_of_the_store_are_resolved(self) -> None:
        """Guards against a proposer that gives up, or claims twice, after its change was made."""

        async def check(cluster: Cluster) -> None:
            store = LocalStore(table=cluster.table)
            store.lose_next_answers = 2
            opened = await cluster.promoter("vm-1", store=store).promote(
                cluster.group, cluster.stored
            )
            self.assertEqual((2, opened.record), (opened.record.term, cluster.record))

        self.run_cluster(check)

    def test_lost_answer_of_an_overwritten_claim_is_a_conflict(self) -> None:
        """Guards against a proposer that takes another's change for its own."""

        class Overwritten(LocalStore):
            async def put(self, *args: Any, **options: Any) -> StoredObject:
                await super().put(*args, **options)
                other = cluster_of[0].promoter("vm-2")
                await other.promote(cluster_of[0].group, cluster_of[0].stored)
                raise StoreUnavailable(operation="put")

        cluster_of: list[Cluster] = []

        async def check(cluster: Cluster) -> None:
            cluster_of.append(cluster)
            promoter = cluster.promoter("vm-1", store=Overwritten(table=cluster.table))
            with testtools.ExpectedException(RecordChanged):
                await promoter.promote(cluster.group, cluster.stored)
            self.assertEqual(("vm-2", 3), (cluster.record.proposer, cluster.record.term))

        self.run_cluster(check)

    def test_only_fenced_instances_are_chosen(self) -> None:
        """Guards against a promotion with too few instances, and one that may lose writes."""

        async def check(cluster: Cluster) -> None:
            await self.write(cluster, "a")
            old = cluster.record.primary
            await asyncio.sleep(0.1)
            for name in NAMES:
                if name != old:
                    await cluster.network.kill(cluster.address(name))
            with testtools.ExpectedException(MajorityUnreachable):
                await cluster.promoter("vm-1").promote(cluster.group, cluster.stored)
            self.assertFalse(cluster.record.is_open)
            report = await cluster.promoter("vm-1").promote_forced(cluster.group, cluster.stored)
            self.assertEqual(LossRisk.ANY, report.risk)
            self.assertEqual(((old,), 1), (report.fenced, report.start_position))
            self.assertEqual(2, len(report.unreachable))

        self.run_cluster(check)

    def test_instances_at_a_greater_term_are_not_fenced(self) -> None:
        """Guards against counting an instance that refused the term, and may take writes."""

        async def check(cluster: Cluster) -> None:
            for name in NAMES[:2]:
                cluster.server(name).observe_term(9)
            with testtools.ExpectedException(MajorityUnreachable):
                await cluster.promoter("vm-1").promote(cluster.group, cluster.stored)

        self.run_cluster(check)

    def test_refusal_to_lead_is_a_failure(self) -> None:
        """Guards against a promotion that reports success although nothing leads."""

        async def check(cluster: Cluster) -> None:
            async def raise_terms(step: PromotionStep) -> None:
                if step is PromotionStep.OPEN:
                    for name in NAMES:
                        cluster.server(name).observe_term(9)

            with testtools.ExpectedException(PrimaryNotInstalled):
                await cluster.promoter("vm-1", after_step=raise_terms).promote(
                    cluster.group, cluster.stored
                )

        self.run_cluster(check)

    def test_replaced_entries_do_not_win_a_later_promotion(self) -> None:
        """Guards against a session position of term 2 that term 3 covers with other entries.

        The primary of term 1 returns with unreplicated entries after term 2 has made its own.
        """

        async def check(cluster: Cluster) -> None:
            first = cluster.record.primary
            for number in range(3):
                await self.write(cluster, f"a{number}")
            cluster.network.isolate(cluster.address(first), [])
            for number in range(4):
                await cluster.proxies[0].run_write(f"unreplicated-{number}")
            await cluster.network.kill(cluster.address(first))
            await cluster.promoter("vm-1").promote(cluster.group, cluster.stored)
            await asyncio.sleep(0.1)
            second = cluster.record.primary
            third = next(name for name in NAMES if name not in (first, second))
            cluster.server(third).faults.pause_replication = True
            written = await self.write(cluster, "b", needs_replica=False)
            await cluster.network.kill(cluster.address(second))
            cluster.network.heal()
            await cluster.network.restart(cluster.address(first))
            await cluster.promoter("vm-1").promote(cluster.group, cluster.stored)
            await asyncio.sleep(1.0)
            kept = "b" in cluster.keys(cluster.record.primary)
            lost = cluster.record.position_is_lost(term=written.term, position=written.position)
            self.assertEqual((False, True), (kept, lost))
            self.assertNotIn("unreplicated-0", cluster.keys(cluster.record.primary))

        self.run_cluster(check)


class SupervisorTableTest(testtools.TestCase):
    def test_table_agrees_with_ranking(self) -> None:
        """Guards against nodes that disagree on the supervisor after members change."""
        random, groups = Random(7), [f"rental-core.db-{n}" for n in range(60)]
        everyone = [
            FakeMember(vm=f"vm-{n}", address="", failure_domain="casa-a", weight=1 + n % 3)
            for n in range(20)
        ]

        async def body() -> None:
            table: SupervisorTable[FakeMember] = SupervisorTable()
            for _ in range(20):
                members = random.sample(everyone, random.randint(1, 20))
                await table.update(groups, members)
                for group in groups:
                    first = rank_members(supervisor_key(group), members)[0]
                    self.assertEqual(first, table.find(group))

        run_virtual(body())


class ExampleTest(testtools.TestCase):
    def test_example_promotes_twice(self) -> None:
        """Guards against an example in docs/ that no longer runs."""
        example = runpy.run_path(str(EXAMPLE))
        first, second = run_virtual(example["promote_twice"]())
        self.assertEqual([1, 2], [first.record.term, second.record.term])
        self.assertNotEqual(first.record.primary, second.record.primary)


class PromotionPropertyTest(testtools.TestCase):
    @seed(20240611)
    @settings(max_examples=60, deadline=None, database=None)
    @given(st.integers(0, 2**32))
    def test_random_interleavings(self, number: int) -> None:
        """Guards against two primaries in a term, lost writes and late confirmations."""
        run_virtual(run_interleaving(self, Random(number)))


class History:
    """Note who led each term and when it opened, and check the invariants."""

    def __init__(self, *, test: testtools.TestCase, cluster: Cluster) -> None:
        self.test = test
        self.cluster = cluster
        self.leaders: dict[int, str] = {}
        self.opened_at: dict[int, float] = {}
        self._put = cluster.table.put
        cluster.table.put = self.put  # type: ignore[method-assign]

    def put(self, kind: str, name: str, value: Any, expected_version: int) -> StoredObject:
        changed = self._put(kind, name, value, expected_version)
        if value["state"] == GroupState.OPEN:
            self.opened_at[value["term"]] = asyncio.get_running_loop().time()
            self.check()
        return changed

    def check(self) -> None:
        """Check that a term has one primary, and that open primaries hold the confirmed writes."""
        for server in self.cluster.network.servers.values():
            if server.led_term:
                leader = self.leaders.setdefault(server.led_term, server.name)
                self.test.assertEqual(leader, server.name, "two servers led one term")
        record = self.cluster.record
        if not record.is_open:
            return
        held = self.cluster.keys(record.primary)
        for written, needs_replica in self.cluster.confirmed:
            lost = record.position_is_lost(term=written.term, position=written.position)
            found = written.key in held
            self.test.assertTrue(found or (lost and not needs_replica), f"{written} is missing")

    def check_confirmed(self, written: Written) -> None:
        """Check that no later term was open yet, unless it contains the write.

        The answer that confirms a write is under way for one network delay.
        """
        now = asyncio.get_running_loop().time() - 2 * self.cluster.network.delay_s
        later = [at for term, at in self.opened_at.items() if term > written.term]
        late = bool(later) and min(later) < now
        held = self.cluster.keys(self.cluster.record.primary)
        self.test.assertFalse(late and written.key not in held, f"{written} was confirmed late")


async def run_interleaving(test: testtools.TestCase, random: Random) -> None:
    """Run writes, cuts, kills and promotions at random; check the invariants all the time."""
    cluster = Cluster()
    await cluster.start(services=False)
    history = History(test=test, cluster=cluster)
    tasks: set[asyncio.Future[Any]] = set()

    async def write(number: int) -> None:
        written = await random.choice(cluster.proxies).write(
            f"k{number}", needs_replica=random.random() < 0.6
        )
        if written is not None and written.missing is None:
            history.check_confirmed(written)

    async def promote(vm: str) -> None:
        resume = asyncio.Event()
        pause = stop_at(random.choice(list(PromotionStep)), resume)
        asyncio.get_running_loop().call_later(random.random(), resume.set)
        after_step = pause if random.random() < 0.3 else None
        with contextlib.suppress(*PROMOTION_FAILURES):
            await cluster.promoter(vm, after_step=after_step).promote(cluster.group, cluster.stored)

    for number in range(100):
        await asyncio.sleep(random.random() * 0.03)
        action = random.random()
        address = random.choice(list(cluster.network.servers))
        if action < 0.7:
            tasks.add(asyncio.ensure_future(write(number)))
        elif action < 0.78:
            tasks.add(asyncio.ensure_future(promote(random.choice(["vm-0", "vm-1", "vm-2"]))))
        elif action < 0.82:
            cluster.network.isolate(address, random.sample(["vm-0", "vm-1", "vm-2"], 2))
        elif action < 0.85 and not cluster.network.killed:
            await cluster.network.kill(address)
        elif action < 0.92:
            for killed in list(cluster.network.killed):
                await cluster.network.restart(killed)
            cluster.network.heal()
        else:
            # A proxy with old records goes on writing under an old term.
            random.choice(cluster.configurations).isolated = random.random() < 0.5
        history.check()
    await asyncio.gather(*tasks)
    history.check()
