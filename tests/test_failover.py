"""Failures of primaries, supervisors and the store, with several proxies."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import testtools

from lentilring.failover.promotion import PromotionStep
from lentilring.outcomes import UncertaintyReason

from .fakes_failover import GROUP, NAMES, Cluster, Proxy, drain_server, stop_at
from .virtual_time import run_virtual

# Target for the time without confirmed writes after a failure.
MAX_GAP_S = 3.0


class FailoverTestCase(testtools.TestCase):
    def run_cluster(self, check: Callable[[Cluster], Awaitable[Any]]) -> None:
        async def body() -> None:
            cluster = Cluster()
            await cluster.start()
            try:
                await check(cluster)
                self.assertEqual(set(), cluster.find_lost())
            finally:
                for proxy in cluster.proxies:
                    await proxy.groups.stop()

        run_virtual(body())

    async def write_some(self, cluster: Cluster, count: int = 5) -> None:
        for number in range(count):
            written = await cluster.non_supervisor().write(f"before-{number}")
            self.assertIsNotNone(written)
            self.assertIsNone(written.missing)


class PrimaryFailureTest(FailoverTestCase):
    def test_first_start_makes_term_1(self) -> None:
        """Guards against a group that never gets a first primary."""

        async def check(cluster: Cluster) -> None:
            self.assertEqual(1, cluster.record.term)
            await self.write_some(cluster)

        self.run_cluster(check)

    def test_killed_primary_is_replaced(self) -> None:
        """Guards against confirmed writes that are lost, and a write gap of MAX_GAP_S or more."""

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            await cluster.network.kill(cluster.address(cluster.record.primary))
            gap_s = await cluster.until_writable(cluster.non_supervisor())
            self.assertLess(gap_s, MAX_GAP_S)
            self.assertEqual(2, cluster.record.term)

        self.run_cluster(check)

    def test_two_failures_in_a_row(self) -> None:
        """Guards against a second promotion that is delayed or loses confirmed writes.

        The second failure follows two seconds after the first primary has returned as a replica.
        """

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            first = cluster.record.primary
            await cluster.network.kill(cluster.address(first))
            await cluster.until_writable(cluster.non_supervisor())
            second = cluster.record.primary
            await cluster.network.restart(cluster.address(first))
            await asyncio.sleep(2.0)
            await cluster.network.kill(cluster.address(second))
            gap_s = await cluster.until_writable(cluster.non_supervisor())
            self.assertLess(gap_s, MAX_GAP_S)
            self.assertNotEqual(second, cluster.record.primary)

        self.run_cluster(check)

    def test_partitioned_primary_confirms_nothing(self) -> None:
        """Guards against acknowledged writes on an old primary that one proxy still reaches.

        The primary is cut off from its replicas and from the other proxies, which promote another.
        """

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            old_primary = cluster.record.primary
            writing_proxy = cluster.non_supervisor()
            others = [proxy for proxy in cluster.proxies if proxy is not writing_proxy]
            cluster.network.isolate(cluster.address(old_primary), [proxy.vm for proxy in others])
            # The proxy does not receive the new record, so only confirmation can stop its writes.
            writing_proxy.configuration.isolated = True
            old_record = writing_proxy.groups.find_record(GROUP)
            results = []
            gap = asyncio.ensure_future(cluster.until_writable(others[0]))
            while len(results) < 40:
                written = await writing_proxy.write(f"old-{len(results)}", needs_replica=False)
                record = others[0].groups.find_record(GROUP)
                results.append((written, record.term > old_record.term and record.is_open))
                await asyncio.sleep(0.1)
            self.assertLess(await gap, MAX_GAP_S)
            missing = [written.missing for written, opened in results if written and opened]
            self.assertEqual({UncertaintyReason.TERM_NOT_CONFIRMED}, set(missing))
            writing_proxy.configuration.isolated = False

        self.run_cluster(check)

    def test_primary_and_one_replica_link_cut(self) -> None:
        """Guards against confirmation that counts a replica fenced for another term.

        The proxy that still writes to the old primary reaches only one replica.
        """

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            old_primary = cluster.record.primary
            writing_proxy = cluster.non_supervisor()
            others = [proxy for proxy in cluster.proxies if proxy is not writing_proxy]
            replica = next(name for name in NAMES if name != old_primary)
            cluster.network.isolate(cluster.address(old_primary), [proxy.vm for proxy in others])
            cluster.network.cut.add((writing_proxy.vm, cluster.address(replica)))
            writing_proxy.configuration.isolated = True
            self.assertLess(await cluster.until_writable(others[0]), MAX_GAP_S)
            written = await writing_proxy.write("late", needs_replica=False)
            self.assertEqual(UncertaintyReason.TERM_NOT_CONFIRMED, written.missing)
            writing_proxy.configuration.isolated = False

        self.run_cluster(check)

    def test_returning_primary_with_a_longer_log_is_truncated(self) -> None:
        """Guards against unreplicated entries of an old primary that survive its return."""

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            old_primary = cluster.record.primary
            writing_proxy = cluster.non_supervisor()
            cluster.network.isolate(cluster.address(old_primary), [])
            for number in range(8):
                await writing_proxy.run_write(f"unreplicated-{number}")
            await cluster.network.kill(cluster.address(old_primary))
            await cluster.until_writable(writing_proxy)
            cluster.network.heal()
            await cluster.network.restart(cluster.address(old_primary))
            await cluster.until(
                lambda: cluster.keys(old_primary) == cluster.keys(cluster.record.primary),
                limit_s=4.0,
            )
            self.assertNotIn("unreplicated-0", cluster.keys(old_primary))
            self.assertTrue(writing_proxy.groups.position_is_lost(GROUP, term=1, position=12))
            self.assertFalse(writing_proxy.groups.position_is_lost(GROUP, term=1, position=5))

        self.run_cluster(check)

    def test_replication_silence_replaces_a_primary_that_answers(self) -> None:
        """Guards against keeping a primary that only its replicas cannot reach.

        It answers all proxies, but its writes are never replicated.
        """

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            old_primary = cluster.record.primary
            cluster.network.isolate(cluster.address(old_primary), [])
            await cluster.until(lambda: cluster.is_settled(after_term=1), limit_s=10.0)
            self.assertNotEqual(old_primary, cluster.record.primary)
            await cluster.until_writable(cluster.non_supervisor())

        self.run_cluster(check)

    def test_supervisor_alone_cut_off_does_not_promote(self) -> None:
        """Guards against a promotion because the supervisor's own link to the primary failed."""

        async def check(cluster: Cluster) -> None:
            supervisor = cluster.supervisor()
            cluster.network.cut.add((supervisor.vm, cluster.address(cluster.record.primary)))
            await asyncio.sleep(5.0)
            self.assertEqual(1, cluster.record.term)
            self.assertLess(0, supervisor.telemetry.read("suspicions_rejected"))

        self.run_cluster(check)

    def test_no_promotion_without_another_vantage_point(self) -> None:
        """Guards against a supervisor that trusts its own view when no other member answers."""

        async def check(cluster: Cluster) -> None:
            supervisor = cluster.supervisor()
            cluster.peers.isolate(supervisor.transport.address)
            cluster.network.cut.add((supervisor.vm, cluster.address(cluster.record.primary)))
            await asyncio.sleep(5.0)
            self.assertEqual(1, cluster.record.term)

        self.run_cluster(check)

    def test_minority_does_not_promote(self) -> None:
        """Guards against claiming a term while too few instances answer to complete it."""

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            for name in NAMES[:2]:
                await cluster.network.kill(cluster.address(name))
            await asyncio.sleep(5.0)
            self.assertEqual(1, cluster.record.term)
            await cluster.network.restart(cluster.address(NAMES[0]))
            await cluster.until_writable(cluster.non_supervisor())

        self.run_cluster(check)


class SupervisionTest(FailoverTestCase):
    def test_store_outage_stops_promotions_but_not_writes(self) -> None:
        """Guards against writes that fail while the store is down, and a promotion without it."""

        async def check(cluster: Cluster) -> None:
            for proxy in cluster.proxies:
                proxy.store.down = True
            await asyncio.sleep(120.0)
            await self.write_some(cluster)
            await cluster.network.kill(cluster.address(cluster.record.primary))
            await asyncio.sleep(30.0)
            self.assertEqual(1, cluster.record.term)
            for proxy in cluster.proxies:
                proxy.store.down = False
            gap_s = await cluster.until_writable(cluster.non_supervisor())
            self.assertLess(gap_s, MAX_GAP_S)

        self.run_cluster(check)

    def test_steady_state_makes_no_store_calls(self) -> None:
        """Guards against a store load that grows with the number of databases.

        Writes and supervision without a failure must make no store call.
        """

        async def check(cluster: Cluster) -> None:
            await asyncio.sleep(1.0)
            before = cluster.table.calls.total()
            await self.write_some(cluster)
            await asyncio.sleep(60.0)
            self.assertEqual(before, cluster.table.calls.total())

        self.run_cluster(check)

    def test_two_supervisors_at_once(self) -> None:
        """Guards against supervisors of one group that keep promoting against each other.

        Each proxy suspects all others, so all of them supervise the group.
        """

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            for proxy in cluster.proxies:
                others = [m for m in cluster.members if m.vm != proxy.vm]
                suspects = [type(m)(**{**vars(m), "state": "suspect"}) for m in others]
                proxy.membership.known = [proxy.membership.local, *suspects]
            await asyncio.sleep(1.0)
            self.assertTrue(all(proxy.groups.list_supervised() for proxy in cluster.proxies))
            await cluster.network.kill(cluster.address(cluster.record.primary))
            gap_s = await cluster.until_writable(cluster.proxies[0])
            self.assertLess(gap_s, MAX_GAP_S)
            await asyncio.sleep(5.0)
            self.assertLessEqual(cluster.record.term, 3)

        self.run_cluster(check)

    def test_failed_supervisor_is_replaced(self) -> None:
        """Guards against a group that stays without a primary.

        The primary and the supervisor fail at the same time.
        """

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            supervisor = cluster.supervisor()
            writing_proxy = cluster.non_supervisor()
            await cluster.network.kill(cluster.address(cluster.record.primary))
            await supervisor.groups.stop()
            supervisor.transport.closed = True
            for proxy in cluster.proxies:
                proxy.membership.known = [m for m in cluster.members if m.vm != supervisor.vm]
            gap_s = await cluster.until_writable(writing_proxy)
            self.assertLess(gap_s, MAX_GAP_S)

        self.run_cluster(check)

    def test_supervisor_finishes_what_a_dead_proposer_began(self) -> None:
        """Guards against a term that stays opening, or is open without an acting primary.

        The proposer stops after one of the steps of the promotion.
        """
        for step in PromotionStep:

            async def check(cluster: Cluster, step: PromotionStep = step) -> None:
                await self.write_some(cluster)
                dying = cluster.promoter("vm-9", after_step=stop_at(step))
                task = asyncio.ensure_future(dying.promote(cluster.group, cluster.stored))
                await asyncio.sleep(0.1)
                task.cancel()
                self.assertLess(await cluster.until_writable(cluster.non_supervisor()), MAX_GAP_S)

            self.run_cluster(check)

    def test_supervision_survives_an_invalid_record(self) -> None:
        """Guards against a supervisor that stops at the first unexpected error."""

        async def check(cluster: Cluster) -> None:
            good = cluster.stored
            bad = replace(good, version=5, value={"term": "x"})
            cluster.configurations[0].apply_local_changes([bad])
            await asyncio.sleep(1.0)
            self.assertLess(0, cluster.supervisor().telemetry.read("supervision_errors"))
            cluster.table.objects[("group", GROUP)] = replace(good, version=6)
            cluster.configurations[0].apply_local_changes([cluster.stored])
            await cluster.network.kill(cluster.address(cluster.record.primary))
            await cluster.until_writable(cluster.non_supervisor())

        self.run_cluster(check)

    def test_deleted_record_does_not_repeat_a_term(self) -> None:
        """Guards against a second primary in a term whose record was deleted."""

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            deleted = cluster.table.put("group", GROUP, None, cluster.stored.version)
            cluster.configurations[0].apply_local_changes([deleted])
            await cluster.until_writable(cluster.non_supervisor())
            self.assertEqual(2, cluster.record.term)

        self.run_cluster(check)

    def test_supervisor_reads_a_record_that_did_not_arrive(self) -> None:
        """Guards against a supervisor that keeps an old record because it missed an update."""

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            supervisor = cluster.supervisor()
            for configuration in cluster.configurations:
                configuration.isolated = True
            await cluster.promoter("vm-9").promote(cluster.group, cluster.stored)
            await asyncio.sleep(3.0)
            self.assertEqual(cluster.record, supervisor.groups.find_record(GROUP))

        self.run_cluster(check)

    def test_hint_reaches_the_supervisor(self) -> None:
        """Guards against a reported suspicion that does not start a check at once.

        Without the report, the check would start only after SUSPECT_AFTER_S.
        """

        async def check(cluster: Cluster) -> None:
            await cluster.network.kill(cluster.address(cluster.record.primary))
            cluster.non_supervisor().groups.suspect_primary(GROUP)
            gap_s = await cluster.until(lambda: cluster.is_settled(after_term=1))
            self.assertLess(gap_s, 0.5)

        self.run_cluster(check)

    def test_silent_connections_are_replaced(self) -> None:
        """Guards against a promotion, or failing writes, because connections have gone silent.

        The servers work and answer over new connections.
        """

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            for name in NAMES:
                for session in cluster.server(name).sessions:
                    session.silent = session.client.startswith("vm-")
            await self.write_some(cluster)
            await asyncio.sleep(5.0)
            self.assertEqual(1, cluster.record.term)

        self.run_cluster(check)

    def test_drained_primary_hands_over_without_loss(self) -> None:
        """Guards against a planned handover that loses writes or keeps the drained primary."""

        async def check(cluster: Cluster) -> None:
            old_primary = cluster.record.primary
            writing_proxy = cluster.non_supervisor()
            for name in NAMES:
                cluster.server(name).settings.replication_lag_s = 0.05
            stopped = asyncio.Event()
            writer = asyncio.ensure_future(write_until(writing_proxy, stopped))
            await asyncio.sleep(0.5)
            drain(cluster, old_primary)
            await cluster.until(lambda: cluster.record.primary != old_primary, limit_s=5.0)
            await cluster.until_writable(writing_proxy)
            stopped.set()
            # A planned handover also keeps writes that were confirmed without a replica.
            lost = await writer - cluster.keys(cluster.record.primary)
            self.assertEqual(set(), lost)

        self.run_cluster(check)

    def test_drained_instance_is_not_chosen_when_another_is_equal(self) -> None:
        """Guards against a promotion that moves the primary to a drained instance."""

        async def check(cluster: Cluster) -> None:
            await self.write_some(cluster)
            old_primary = cluster.record.primary
            drained = next(name for name in NAMES if name != old_primary)
            drain(cluster, drained)
            await asyncio.sleep(1.0)
            await cluster.network.kill(cluster.address(old_primary))
            await cluster.until_writable(cluster.non_supervisor())
            self.assertNotIn(cluster.record.primary, (old_primary, drained))

        self.run_cluster(check)


def drain(cluster: Cluster, name: str) -> None:
    """Drain an instance in the configuration of every proxy."""
    for configuration in cluster.configurations:
        configuration.service = drain_server(configuration.service, name)
        configuration.notify("service")


async def write_until(proxy: Proxy, stopped: asyncio.Event) -> set[str]:
    """Write until `stopped` is set, and return the keys of the confirmed writes."""
    confirmed: set[str] = set()
    number = 0
    while not stopped.is_set():
        number += 1
        written = await proxy.write(f"w-{number}", needs_replica=False)
        if written is not None and written.missing is None:
            confirmed.add(written.key)
        await asyncio.sleep(0.005)
    return confirmed
