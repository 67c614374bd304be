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

from .fakes_failover import GROUP, NAMES, Cluster, FakeMember, WriteResult, stop_at
from .virtual_time import run_virtual

EXAMPLE = Path(__file__).parent.parent / "docs" / "examples" / "promotion.py"
TERM_STARTS = (TermStart(term=1, position=0), TermStart(term=2, position=10))


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
        """Guards against a stored record that another version of the proxy cannot read."""
        record = GroupRecord(
            group=GROUP, term=2, primary="stock-1", state=GroupState.OPEN, term_starts=TERM_STARTS
        )
        stored = StoredObject(
            kind="group", name=GROUP, version=1, revision=1, value=format_record(record)
        )
        self.assertEqual(record, parse_record(stored))
        broken = StoredObject(kind="group", name=GROUP, version=1, revision=1, value={"term": "x"})
        self.assertRaises(GroupRecordInvalid, parse_record, broken)

    def test_positions_past_the_start_of_any_later_term_are_lost(self) -> None:
        """Guards against a position that counts as valid although a promotion dropped its write.

        A session with such a position would read without the writes that it has seen.
        """
        starts = (*TERM_STARTS, TermStart(term=4, position=8))
        record = GroupRecord(
            group=GROUP, term=4, primary="a", state=GroupState.OPEN, term_starts=starts
        )
        cases = {(1, 8): False, (1, 9): True, (2, 11): True, (4, 50): False, (3, 8): False}
        for (term, position), lost in cases.items():
            self.assertEqual(lost, record.position_is_lost(term=term, position=position))

    def test_log_end_leaves_out_replaced_entries(self) -> None:
        """Guards against choosing an instance that missed a term over one that has its entries."""
        self.assertEqual(
            LogEnd(term=1, position=10), find_log_end(make_status(12, (1, 0)), TERM_STARTS)
        )
        end = find_log_end(make_status(12, (1, 0), (2, 10)), TERM_STARTS)
        self.assertEqual(LogEnd(term=2, position=12), end)

    def test_term_without_entries_does_not_raise_the_log_end(self) -> None:
        """Guards against choosing a lagging replica because it has begun a later term.

        The term has begun on the replica, but its log has no entry of it yet.
        """
        end = find_log_end(make_status(8, (1, 0), (2, 10)), TERM_STARTS)
        self.assertEqual(LogEnd(term=1, position=8), end)


class PromotionTest(testtools.TestCase):
    def run_cluster(self, check: Callable[[Cluster], Awaitable[Any]]) -> None:
        """Run a check without supervision, so that only the test promotes."""

        async def body() -> None:
            cluster = Cluster()
            await cluster.start(services=False)
            await check(cluster)
            self.assertEqual(set(), cluster.find_lost())

        run_virtual(body())

    async def write(self, cluster: Cluster, key: str, *, needs_replica: bool = True) -> WriteResult:
        written = await cluster.proxies[0].write(key, needs_replica=needs_replica)
        self.assertIsNotNone(written)
        self.assertIsNone(written.missing)
        return written

    def test_proposer_dies_after_each_step(self) -> None:
        """Guards against a half-finished promotion that blocks the next one or loses writes.

        The proposer dies after one of the steps; then another proposer promotes.
        """
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
        """Guards against two primaries of a group.

        A proposer pauses after one of the steps and goes on after another proposer has promoted.
        """
        for step in PromotionStep:

            async def check(cluster: Cluster, step: PromotionStep = step) -> None:
                await self.write(cluster, "a")
                resume = asyncio.Event()
                paused = cluster.promoter("vm-1", after_step=stop_at(step, resume))
                task = asyncio.ensure_future(paused.promote(cluster.group, cluster.stored))
                await asyncio.sleep(1.0)
                # vm-2 cannot reach this instance, which still accepts the paused proposer's term.
                unreached = cluster.address(NAMES[1])
                cluster.network.cut.add(("vm-2", unreached))
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
        """Guards against two proposers that both open the same term.

        An operator and a supervisor promote at the same time, from the same record.
        """

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
        """Guards against a proposer that gives up, or claims twice, after its change was made.

        The store makes the change, but its answer is lost.
        """

        async def check(cluster: Cluster) -> None:
            store = LocalStore(table=cluster.table)
            store.lose_next_answers = 2
            opened = await cluster.promoter("vm-1", store=store).promote(
                cluster.group, cluster.stored
            )
            self.assertEqual((2, opened.record), (opened.record.term, cluster.record))

        self.run_cluster(check)

    def test_lost_answer_of_an_overwritten_claim_is_a_conflict(self) -> None:
        """Guards against a proposer that takes another's change for its own.

        The answer to its claim is lost, and another proposer promotes before it tries again.
        """

        class OverwritingStore(LocalStore):
            """Let another proposer change the record, and lose the answer to the first change."""

            async def put(self, *args: Any, **options: Any) -> StoredObject:
                await super().put(*args, **options)
                other = clusters[0].promoter("vm-2")
                await other.promote(clusters[0].group, clusters[0].stored)
                raise StoreUnavailable(operation="put")

        clusters: list[Cluster] = []

        async def check(cluster: Cluster) -> None:
            clusters.append(cluster)
            promoter = cluster.promoter("vm-1", store=OverwritingStore(table=cluster.table))
            with testtools.ExpectedException(RecordChanged):
                await promoter.promote(cluster.group, cluster.stored)
            self.assertEqual(("vm-2", 3), (cluster.record.proposer, cluster.record.term))

        self.run_cluster(check)

    def test_only_fenced_instances_are_chosen(self) -> None:
        """Guards against a promotion without a majority, which may lose writes.

        A forced promotion is allowed with one instance and must report the risk.
        """

        async def check(cluster: Cluster) -> None:
            await self.write(cluster, "a")
            old_primary = cluster.record.primary
            await asyncio.sleep(0.1)
            for name in NAMES:
                if name != old_primary:
                    await cluster.network.kill(cluster.address(name))
            with testtools.ExpectedException(MajorityUnreachable):
                await cluster.promoter("vm-1").promote(cluster.group, cluster.stored)
            self.assertFalse(cluster.record.is_open)
            report = await cluster.promoter("vm-1").promote_forced(cluster.group, cluster.stored)
            self.assertEqual(LossRisk.ANY, report.risk)
            self.assertEqual(((old_primary,), 1), (report.fenced, report.start_position))
            self.assertEqual(2, len(report.unreachable))

        self.run_cluster(check)

    def test_instances_at_a_greater_term_are_not_fenced(self) -> None:
        """Guards against counting an instance as fenced that refused the term.

        An instance at a greater term may accept writes of that term.
        """

        async def check(cluster: Cluster) -> None:
            for name in NAMES[:2]:
                cluster.server(name).observe_term(9)
            with testtools.ExpectedException(MajorityUnreachable):
                await cluster.promoter("vm-1").promote(cluster.group, cluster.stored)

        self.run_cluster(check)

    def test_refusal_to_lead_is_a_failure(self) -> None:
        """Guards against a promotion that reports success although no instance leads the term."""

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
        """Guards against a valid session position of term 2 at which term 3 has other entries.

        The primary of term 1 returns with unreplicated entries after term 2 has written its own.
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
            is_stored = "b" in cluster.keys(cluster.record.primary)
            is_lost = cluster.record.position_is_lost(term=written.term, position=written.position)
            self.assertEqual((False, True), (is_stored, is_lost))
            self.assertNotIn("unreplicated-0", cluster.keys(cluster.record.primary))

        self.run_cluster(check)


class SupervisorTableTest(testtools.TestCase):
    def test_table_agrees_with_ranking(self) -> None:
        """Guards against proxies that disagree on a group's supervisor after members change."""
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
    """Record who led each term and when it opened, and check the invariants."""

    def __init__(self, *, test: testtools.TestCase, cluster: Cluster) -> None:
        self.test = test
        self.cluster = cluster
        self.leaders: dict[int, str] = {}
        self.opened_at: dict[int, float] = {}
        self._original_put = cluster.table.put
        cluster.table.put = self.put  # type: ignore[method-assign]

    def put(self, kind: str, name: str, value: Any, expected_version: int) -> StoredObject:
        changed = self._original_put(kind, name, value, expected_version)
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
        primary_keys = self.cluster.keys(record.primary)
        for written, needs_replica in self.cluster.confirmed:
            lost = record.position_is_lost(term=written.term, position=written.position)
            is_stored = written.key in primary_keys
            self.test.assertTrue(is_stored or (lost and not needs_replica), f"{written} is missing")

    def check_confirmed(self, written: WriteResult) -> None:
        """Check that no later term was open when a write was confirmed, unless it has the write.

        A confirmation may arrive after a later term opened, because its answer was on its way for
        one network delay.
        """
        confirmed_at = asyncio.get_running_loop().time() - 2 * self.cluster.network.delay_s
        later = [opened_at for term, opened_at in self.opened_at.items() if term > written.term]
        is_late = bool(later) and min(later) < confirmed_at
        primary_keys = self.cluster.keys(self.cluster.record.primary)
        self.test.assertFalse(
            is_late and written.key not in primary_keys, f"{written} was confirmed late"
        )


async def run_interleaving(test: testtools.TestCase, random: Random) -> None:
    """Run writes, partitions, kills and promotions at random; check the invariants all along."""
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
            # A proxy that does not receive new records goes on writing under an old term.
            random.choice(cluster.configurations).isolated = random.random() < 0.5
        history.check()
    await asyncio.gather(*tasks)
    history.check()
