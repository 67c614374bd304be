"""Membership: gossip, suspicion, the platform's list, and proof that a VM is gone."""

import asyncio
from dataclasses import replace

import testtools

from lentilring.membership.gossip import SUSPICION_S
from lentilring.membership.member import Listing, Member, MemberState
from lentilring.membership.messages import Gossip, Probe, ProbeAnswer, StatusGroup
from lentilring.membership.sizes import MAX_PAYLOAD_BYTES, estimate_size
from lentilring.membership.status import StatusTable
from lentilring.membership.table import MemberTable
from lentilring.peers.codec import encode_struct
from lentilring.platform.store import VmState

from .fleet import Fleet, FleetNode, wait_until
from .virtual_time import run_virtual

DETECTION_LIMIT_S = 15.0


def member(vm: str, **changes: object) -> Member:
    base = Member(vm=vm, address="10.0.0.1:1", failure_domain="fd", region="r", incarnation=1)
    return replace(base, **changes)


def all_see(nodes: list[FleetNode], vms: set[str]) -> bool:
    return all(node.usable_vms() == vms for node in nodes)


def names(nodes: list[FleetNode]) -> set[str]:
    return {node.vm for node in nodes}


class MergeTest(testtools.TestCase):
    def test_false_claims_are_denied_without_a_new_incarnation(self) -> None:
        """Guards against a refutation that changes the incarnation: others would see a restart."""
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            table = MemberTable(local=member("a"))
            table.merge(member("a", state=state, refutation=4))
            self.assertEqual(MemberState.LIVE, table.local.state)
            self.assertEqual((1, 5), (table.local.incarnation, table.local.refutation))

    def test_older_claims_change_nothing(self) -> None:
        """Guards against a late datagram that revives a dead member or undoes a refutation."""
        table = MemberTable(local=member("a"))
        table.merge(member("b", refutation=2))
        self.assertFalse(table.merge(member("b", state=MemberState.DEAD, refutation=1)))
        table.merge(member("b", state=MemberState.DEAD, refutation=2))
        self.assertFalse(table.merge(member("b", state=MemberState.SUSPECT, refutation=2)))
        self.assertEqual(MemberState.DEAD, table.records["b"].state)

    def test_removal_of_an_earlier_process_is_not_that_of_a_later_one(self) -> None:
        """Guards against taking over the lease of a VM that was removed, returned and paused."""
        removed = member("b", state=MemberState.DEAD, listing=Listing.REMOVED, listing_version=2)
        returned = member("b", incarnation=2)
        for claims in ((removed, returned), (returned, removed)):
            table = MemberTable(local=member("a"))
            for claim in claims:
                table.merge(claim)
            self.assertEqual(Listing.NEVER, table.records["b"].listing)

    def test_a_newer_process_of_the_vm_is_not_denied(self) -> None:
        """Guards against an endless dispute between two processes of one VM name."""
        table = MemberTable(local=member("a"))
        table.merge(member("a", incarnation=2, state=MemberState.SUSPECT))
        self.assertTrue(table.superseded)
        self.assertEqual(0, table.local.refutation)

    def test_datagrams_keep_to_their_limit(self) -> None:
        """Guards against datagrams that the network fragments or the transport refuses."""
        table = MemberTable(local=member("a"))
        statuses = StatusTable()
        for index in range(800):
            table.merge(member(f"vm-with-a-long-name-{index}", region="r" * 20))
            groups = (StatusGroup(revision=index % 3, flips=1, members=(index,)),)
            statuses.merge_groups(groups)
        for _ in range(20):
            updates = table.select_updates(budget=MAX_PAYLOAD_BYTES // 2)
            message = Gossip(
                updates=updates,
                statuses=statuses.select_groups(budget=MAX_PAYLOAD_BYTES // 2, members=800),
            )
            self.assertGreater(len(updates), 0)
            self.assertLessEqual(len(encode_struct(message)), estimate_size(message))
            self.assertLessEqual(estimate_size(message), MAX_PAYLOAD_BYTES + 50)

    def test_large_exchange_is_not_spread_again(self) -> None:
        """Guards against filling all datagrams for a minute after a start or a healed partition."""
        claims = [member(f"vm-{index}") for index in range(800)]
        for spread, expected in ((True, {"a"}), (False, {"a"})):
            table = MemberTable(local=member("a"))
            table.merge_table(claims, spread=spread)
            self.assertEqual(expected, {entry.vm for entry in table.select_updates(budget=10**6)})
        table.merge_table([member("vm-1", refutation=1)], spread=True)
        self.assertIn("vm-1", {entry.vm for entry in table.select_updates(budget=10**6)})

    def test_received_duplicates_count_as_sent(self) -> None:
        """Guards against sending a change many times that all members already know."""
        table = MemberTable(local=member("a"))
        for _ in range(50):
            table.merge(member("b"))
        self.assertEqual({"a"}, {entry.vm for entry in table.select_updates(budget=10**6)})


class DetectionTest(testtools.TestCase):
    def test_killed_member_is_dead_everywhere(self) -> None:
        """Guards against placement on a VM that no longer answers."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            self.assertTrue(all_see(fleet.nodes, names(fleet.nodes)))
            await fleet.nodes[4].kill()
            rest = [node for node in fleet.nodes if node is not fleet.nodes[4]]
            await wait_until(lambda: all_see(rest, names(rest)), limit_s=DETECTION_LIMIT_S)

        run_virtual(run())

    def test_suspect_stays_usable_and_denies(self) -> None:
        """Guards against moving gateways because of a few lost datagrams."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            node = fleet.nodes[4]
            node.transport.paused = asyncio.Event()
            others = [other for other in fleet.nodes if other is not node]

            def states() -> set[MemberState]:
                return {other.membership.find(node.vm).state for other in others}

            await wait_until(lambda: states() == {MemberState.SUSPECT}, limit_s=6)
            self.assertTrue(all_see(others, names(fleet.nodes)))
            node.transport.paused.set()
            node.transport.paused = None
            await wait_until(lambda: states() == {MemberState.LIVE}, limit_s=5)
            self.assertEqual({1}, {o.membership.find(node.vm).incarnation for o in others})

        run_virtual(run())

    def test_one_bad_link_causes_no_suspicion(self) -> None:
        """Guards against mistaking the failure of one link for the failure of a member."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            fleet.split([fleet.nodes[0]], [fleet.nodes[1]])
            await asyncio.sleep(30)
            suspects = [
                n.telemetry.read("membership_changes", state="suspect") for n in fleet.nodes
            ]
            self.assertEqual(0, sum(suspects))
            answers = [n.telemetry.read("membership_indirect_answers") for n in fleet.nodes]
            self.assertGreater(sum(answers), 0)

        run_virtual(run())

    def test_resumed_process_declares_nobody_dead(self) -> None:
        """Guards against a resumed process that mistakes its own pause for silent suspects."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            node = fleet.nodes[0]
            fleet.network.isolate(node.address)
            for other in fleet.nodes[1:]:
                record = node.membership.find(other.vm)
                node.membership._gossip.suspect(record)
            node.clock.offset_s += 10 * SUSPICION_S
            await asyncio.sleep(1.5)
            fleet.network.heal()
            await asyncio.sleep(20)
            deaths = [n.telemetry.read("membership_changes", state="dead") for n in fleet.nodes]
            self.assertEqual(0, sum(deaths))
            self.assertTrue(all_see(fleet.nodes, names(fleet.nodes)))

        run_virtual(run())

    def test_long_silence_ends_with_everybody_live(self) -> None:
        """Guards against a member that stays dead after it can be reached again."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            node = fleet.nodes[0]
            fleet.network.isolate(node.address)
            await asyncio.sleep(60)
            self.assertNotIn(node.vm, fleet.nodes[1].usable_vms())
            fleet.network.heal()
            await wait_until(lambda: all_see(fleet.nodes, names(fleet.nodes)), limit_s=15)

        run_virtual(run())

    def test_partition_heals(self) -> None:
        """Guards against two halves that stay apart after an hour without contact."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            left, right = fleet.nodes[:3], fleet.nodes[3:]
            fleet.split(left, right)
            await wait_until(
                lambda: all_see(left, names(left)) and all_see(right, names(right)),
                limit_s=2 * DETECTION_LIMIT_S,
            )
            await asyncio.sleep(3600)
            fleet.network.heal()
            await wait_until(lambda: all_see(fleet.nodes, names(fleet.nodes)), limit_s=15)

        run_virtual(run())

    def test_late_answer_of_another_vm_is_no_sign_of_life(self) -> None:
        """Guards against a replaced VM at the same address that answers for the lost one."""

        async def run() -> None:
            fleet = Fleet(2)
            await fleet.start()
            first, second = fleet.nodes
            await second.kill()
            impostor = fleet.add(77, listed=False).transport
            fleet.network.transports[second.address] = impostor
            impostor.handle_datagram(
                Probe,
                lambda sender, probe: impostor.send_datagram(
                    sender.address, ProbeAnswer(sequence=probe.sequence)
                ),
            )
            await wait_until(
                lambda: first.membership.find(second.vm).state is MemberState.DEAD, limit_s=15
            )

        run_virtual(run())


class LeavingTest(testtools.TestCase):
    def test_leaving_spreads_at_once(self) -> None:
        """Guards against new work for a VM that shuts down."""

        async def run() -> None:
            fleet = Fleet(27)
            await fleet.start()
            node = fleet.nodes[0]
            node.membership.leave()
            rest = names(fleet.nodes) - {node.vm}
            self.assertNotIn(node.vm, node.usable_vms())
            await wait_until(lambda: all_see(fleet.nodes, rest), limit_s=2)
            await asyncio.sleep(20)
            found = fleet.nodes[1].membership.find(node.vm)
            self.assertEqual(MemberState.LEAVING, found.state)

        run_virtual(run())

    def test_unanswering_leaving_member_is_not_usable_again(self) -> None:
        """Guards against the state suspect, which is usable, replacing the state leaving."""

        async def run() -> None:
            fleet = Fleet(5)
            await fleet.start()
            node = fleet.nodes[0]
            node.membership.leave()
            await asyncio.sleep(2)
            await node.kill()
            others = fleet.nodes[1:]
            seen: set[bool] = set()

            def is_dead() -> bool:
                seen.update(node.vm in other.usable_vms() for other in others)
                states = {other.membership.find(node.vm).state for other in others}
                return states == {MemberState.DEAD}

            await wait_until(is_dead, limit_s=DETECTION_LIMIT_S)
            self.assertEqual({False}, seen)

        run_virtual(run())


class ListTest(testtools.TestCase):
    def test_vm_that_the_list_lacks_is_usable(self) -> None:
        """Guards against a new VM that gets no work because the platform's list lags."""

        async def run() -> None:
            fleet = Fleet(5)
            await fleet.start()
            late = fleet.add(5, listed=False)
            await late.start()
            nodes = [*fleet.nodes, late]
            await wait_until(lambda: all_see(nodes, names(nodes)), limit_s=3)

        run_virtual(run())

    def test_vm_that_the_list_calls_leaving_gets_no_work(self) -> None:
        """Guards against placing work on a VM that the platform is removing."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            node = fleet.nodes[0]
            fleet.table.vms[node.vm] = node.entry(VmState.LEAVING)
            rest = names(fleet.nodes) - {node.vm}
            await wait_until(lambda: all_see(fleet.nodes, rest), limit_s=8)
            found = fleet.nodes[5].membership.find(node.vm)
            self.assertEqual(MemberState.LEAVING, found.state)

        run_virtual(run())

    def test_gone_needs_the_list_and_gossip(self) -> None:
        """Guards against an early take-over of the lease of a VM that still runs."""

        async def run() -> None:
            fleet = Fleet(9)
            await fleet.start()
            node, observer = fleet.nodes[0], fleet.nodes[5].membership
            del fleet.table.vms[node.vm]
            await asyncio.sleep(30)
            self.assertTrue(observer.find(node.vm).is_removed)
            self.assertFalse(observer.process_has_ended(node.vm, 1))
            await node.kill()
            await wait_until(lambda: observer.process_has_ended(node.vm, 1), limit_s=20)
            killed = fleet.nodes[1]
            await killed.kill()
            await asyncio.sleep(60)
            self.assertFalse(observer.process_has_ended(killed.vm, 1))
            self.assertFalse(observer.process_has_ended("vm-never-seen", 1))

        run_virtual(run())

    def test_newer_incarnation_proves_that_the_older_is_gone(self) -> None:
        """Guards against waiting 30 minutes for the lease of a process that was restarted."""

        async def run() -> None:
            fleet = Fleet(5)
            await fleet.start()
            await fleet.nodes[0].kill()
            again = fleet.add(0, incarnation=2)
            await again.start()
            observer = fleet.nodes[3].membership
            await wait_until(lambda: observer.process_has_ended("vm-0", 1), limit_s=3)
            self.assertFalse(observer.process_has_ended("vm-0", 2))
            self.assertIn("vm-0", fleet.nodes[3].usable_vms())

        run_virtual(run())

    def test_removal_read_before_a_listing_was_learned_is_ignored(self) -> None:
        """Guards against a slow read of the list that undoes a newer one of another poller."""

        async def run() -> None:
            fleet = Fleet(3)
            await fleet.start()
            node = fleet.nodes[0]
            sent_at = node.clock.monotonic()
            await asyncio.sleep(1)
            node.membership._table.merge(member("vm-new", listing=Listing.LIVE, listing_version=1))
            listed = set(fleet.table.vms)
            node.membership._apply_removals(listed, sent_at)
            self.assertEqual(Listing.LIVE, node.membership.find("vm-new").listing)
            await asyncio.sleep(1)
            node.membership._apply_removals(listed, node.clock.monotonic())
            self.assertTrue(node.membership.find("vm-new").is_removed)

        run_virtual(run())

    def test_seeds_replace_the_list_while_the_store_is_down(self) -> None:
        """Guards against a node that cannot join during an outage of the store."""

        async def run() -> None:
            fleet = Fleet(5)
            await fleet.start()
            fleet.set_store_down(True)
            fleet.seeds = (fleet.nodes[0].address,)
            late = fleet.add(5, listed=False)
            late.store.down = True
            await late.start()
            nodes = [*fleet.nodes, late]
            await wait_until(lambda: all_see(nodes, names(nodes)), limit_s=3)

        run_virtual(run())

    def test_list_reads_do_not_grow_with_the_fleet(self) -> None:
        """Guards against every node reading the list from the store."""

        async def count(size: int) -> float:
            fleet = Fleet(size)
            await fleet.start(settle_s=20)
            before = fleet.table.calls["list_vms"]
            await asyncio.sleep(60)
            return (fleet.table.calls["list_vms"] - before) / 60

        for size in (9, 27, 81):
            self.assertLess(run_virtual(count(size)), 6 / 5 * 1.3)
