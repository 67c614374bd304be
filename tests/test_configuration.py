"""Configuration: versions, freshness, distribution, drains and operators' changes."""

import asyncio
from dataclasses import replace
from typing import Any

import testtools

from lentilring.configuration.distribution import PUSH_FANOUT, WATCH_WAIT_S, WATCHERS_PER_REGION
from lentilring.configuration.drain import is_in_service
from lentilring.configuration.editing import Applied, Conflict, Undecided, apply_change
from lentilring.configuration.freshness import Freshness
from lentilring.configuration.messages import Announcement, Confirmation
from lentilring.configuration.models import (
    BackendServer,
    Database,
    DrainState,
    hash_key,
)
from lentilring.configuration.parsing import ConfigurationRegistry, ObjectInvalid
from lentilring.configuration.service import WITHDRAWAL_BOUND_S
from lentilring.peers.transport import Sender
from lentilring.platform.store import Kind, StoredObject, StoreUnavailable
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.telemetry.metrics import Telemetry

from .fleet import Fleet, FleetNode, wait_until
from .virtual_time import run_virtual

IN_FORCE_LIMIT_S = 2.0
KEY = "secret-of-khaima"


def template(**changes: Any) -> dict[str, Any]:
    return {"name": "standard", "rate_per_s": 10.0, "burst": 20.0, **changes}


def account(name: str = "khaima", *keys: str, **changes: Any) -> dict[str, Any]:
    hashes = [hash_key(key) for key in keys]
    return {"name": name, "template": "standard", "key_hashes": hashes, **changes}


def stored(kind: str, value: dict[str, Any] | None, version: int, name: str = "") -> StoredObject:
    return StoredObject(
        kind=kind,
        name=name or (value or {})["name"],
        version=version,
        revision=version,
        value=value,
    )


def filled_table() -> ObjectTable:
    table = ObjectTable()
    table.put(Kind.TEMPLATE, "standard", template(), 0)
    table.put(Kind.CLIENT_ACCOUNT, "khaima", account("khaima", KEY), 0)
    return table


def accepts_key(node: FleetNode) -> bool:
    service = node.configuration
    return service.is_fresh() and service.find_account_by_key(KEY) is not None


class RegistryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.telemetry = Telemetry()
        self.registry = ConfigurationRegistry(telemetry=self.telemetry)
        self.registry.apply(stored("template", template(), 1))

    def test_only_greater_versions_are_applied(self) -> None:
        """Guards against a withdrawn key that returns with an old object."""
        self.assertTrue(self.registry.apply(stored("client-account", account("a", KEY), 3)))
        self.assertTrue(self.registry.apply(stored("client-account", account("a"), 4)))
        self.assertFalse(self.registry.apply(stored("client-account", account("a", KEY), 3)))
        self.assertIsNone(self.registry.find_account_by_key_hash(hash_key(KEY)))

    def test_deletion_is_a_version(self) -> None:
        """Guards against a deleted account that an old object brings back."""
        self.registry.apply(stored("client-account", account("a", KEY), 3))
        self.registry.apply(stored("client-account", None, 4, name="a"))
        self.registry.apply(stored("client-account", account("a", KEY), 3))
        self.assertIsNone(self.registry.account("a"))
        self.assertIsNone(self.registry.find_account_by_key_hash(hash_key(KEY)))

    def test_last_good_object_stays_in_force(self) -> None:
        """Guards against an invalid object that stops an account's requests."""
        self.registry.apply(stored("client-account", account("a", KEY), 3))
        self.registry.apply(stored("client-account", account("a", burst=-1), 4))
        self.assertEqual("a", self.registry.find_account_by_key_hash(hash_key(KEY)).name)
        self.assertEqual(4, self.registry.stored_object("client-account", "a").version)
        rejected = self.telemetry.read("configuration_objects_rejected", kind="client-account")
        self.assertEqual(1, rejected)

    def test_object_under_another_name_is_rejected(self) -> None:
        """Guards against a copied object that serves an account under a second name."""
        self.registry.apply(stored("client-account", account("a", KEY), 3, name="b"))
        self.assertEqual((), self.registry.accounts())

    def test_account_without_template_is_not_in_force(self) -> None:
        """Guards against an account that runs with guessed limits."""
        self.registry.apply(stored("client-account", account("a", KEY, template="gone"), 3))
        self.assertIsNone(self.registry.account("a"))
        self.assertIsNone(self.registry.find_account_by_key_hash(hash_key(KEY)))
        self.registry.apply(stored("template", template(name="gone"), 4))
        self.assertEqual("a", self.registry.find_account_by_key_hash(hash_key(KEY)).name)

    def test_template_changes_reach_accounts(self) -> None:
        """Guards against accounts that keep the values of an old template."""
        self.registry.apply(stored("client-account", account("a", burst=7.0), 3))
        self.registry.apply(stored("template", template(rate_per_s=99.0), 4))
        found = self.registry.account("a")
        self.assertEqual((99.0, 7.0), (found.rate_per_s, found.burst))

    def test_key_of_two_accounts_belongs_to_neither(self) -> None:
        """Guards against running a request for an account that its key may not belong to."""
        self.registry.apply(stored("client-account", account("a", KEY), 3))
        self.registry.apply(stored("client-account", account("b", KEY), 4))
        self.assertIsNone(self.registry.find_account_by_key_hash(hash_key(KEY)))
        self.registry.apply(stored("client-account", account("a"), 5))
        self.assertEqual("b", self.registry.find_account_by_key_hash(hash_key(KEY)).name)


class FreshnessTest(testtools.TestCase):
    def test_confirmation_counts_once_its_revision_is_complete(self) -> None:
        """Guards against a node that counts as fresh although it lacks a known change."""
        freshness = Freshness()
        freshness.complete(5)
        freshness.confirm(5, 10.0)
        freshness.confirm(6, 20.0)
        self.assertEqual(10.0, freshness.fresh_as_of)
        freshness.complete(6)
        self.assertEqual(20.0, freshness.fresh_as_of)
        self.assertFalse(freshness.confirm(5, 15.0))


class DistributionTest(testtools.TestCase):
    def test_change_is_in_force_everywhere(self) -> None:
        """Guards against a change that takes longer than its target, at two fleet sizes."""

        async def run(size: int) -> None:
            fleet = Fleet(size, table=filled_table())
            await fleet.start()
            self.assertTrue(all(accepts_key(node) for node in fleet.nodes))
            fleet.table.put(Kind.CLIENT_ACCOUNT, "khaima", account(), 1)
            await wait_until(
                lambda: not any(accepts_key(node) for node in fleet.nodes),
                limit_s=IN_FORCE_LIMIT_S,
            )
            everyone = tuple(sorted(node.vm for node in fleet.nodes))
            await wait_until(
                lambda: fleet.nodes[3].configuration.split_vms_by_confirmation(3) == (everyone, ()),
                limit_s=12,
            )
            self.assertEqual(
                ((), everyone), fleet.nodes[3].configuration.split_vms_by_confirmation(4)
            )

        for size in (9, 81):
            run_virtual(run(size))

    def test_own_change_is_announced(self) -> None:
        """Guards against a group record that only the node that wrote it knows."""

        async def run() -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            for node in fleet.nodes:
                node.store.delay_s = 100.0
            await asyncio.sleep(0.5)
            value = {"group": "rental-core.orders", "term": 1}
            record = fleet.table.put(Kind.GROUP, "rental-core.orders", value, 0)
            heard: list[int] = []
            fleet.nodes[8].configuration.subscribe(lambda changed: heard.append(changed.version))
            fleet.nodes[0].configuration.apply_local_changes([record])
            await asyncio.sleep(0.01)
            holders = [
                n for n in fleet.nodes if n.configuration.stored_object("group", record.name)
            ]
            self.assertGreater(len(holders), PUSH_FANOUT)
            await wait_until(
                lambda: all(
                    n.configuration.stored_object("group", record.name) for n in fleet.nodes
                ),
                limit_s=IN_FORCE_LIMIT_S,
            )
            self.assertEqual([1], heard)
            self.assertEqual({2}, {node.configuration.revision for node in fleet.nodes})

        run_virtual(run())

    def test_late_object_of_a_peer_reverts_nothing(self) -> None:
        """Guards against a peer whose answer is older than the local state."""

        async def run() -> None:
            fleet = Fleet(3, table=filled_table())
            await fleet.start()
            old = fleet.nodes[0].configuration.stored_object(Kind.CLIENT_ACCOUNT, "khaima")
            fleet.table.put(Kind.CLIENT_ACCOUNT, "khaima", account(), 1)
            await asyncio.sleep(2)
            fleet.nodes[0].configuration.apply_local_changes([old])
            await asyncio.sleep(2)
            self.assertEqual([False] * 3, [accepts_key(node) for node in fleet.nodes])

        run_virtual(run())

    def test_large_configuration_travels_in_batches(self) -> None:
        """Guards against a frame over the transport's limit, and against skipped batches."""

        async def run() -> None:
            table = filled_table()
            for index in range(1200):
                name = f"account-{index}"
                table.put(Kind.CLIENT_ACCOUNT, name, account(name), 0)
            fleet = Fleet(3, table=table)
            await fleet.start()
            fleet.set_store_down(True)
            fleet.seeds = (fleet.nodes[0].address,)
            late = fleet.add(3)
            late.store.down = True
            await late.start()
            self.assertEqual(1202, late.configuration.revision)
            self.assertEqual(1201, len(late.configuration.accounts()))

        run_virtual(run())

    def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        """Guards against watches and reads by every node."""

        async def count(size: int) -> float:
            fleet = Fleet(size, table=filled_table())
            await fleet.start(settle_s=10)
            before = fleet.table.calls.total()
            await asyncio.sleep(20)
            self.assertTrue(all(node.configuration.is_fresh() for node in fleet.nodes))
            return (fleet.table.calls.total() - before) / 20

        watches = 3 * WATCHERS_PER_REGION / WATCH_WAIT_S
        for size in (9, 27, 81):
            self.assertLess(run_virtual(count(size)), watches + 2)


class StalenessTest(testtools.TestCase):
    def test_withdrawn_key_is_refused_within_the_bound(self) -> None:
        """Guards against a node that accepts a withdrawn key without the store, peers or both."""

        async def run(cut: str) -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            node = fleet.nodes[0]
            if cut != "store":
                fleet.network.isolate(node.address)
            if cut != "peers":
                node.store.down = True
            fleet.table.put(Kind.CLIENT_ACCOUNT, "khaima", account(), 1)
            await asyncio.sleep(WITHDRAWAL_BOUND_S)
            self.assertEqual([False] * 9, [accepts_key(other) for other in fleet.nodes])

        for cut in ("store", "peers", "both"):
            run_virtual(run(cut))

    def test_isolated_nodes_refuse(self) -> None:
        """Guards against a few isolated nodes that mistake their isolation for a store outage."""

        async def run(count: int) -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            island = fleet.nodes[:count]
            fleet.split(island, fleet.nodes[count:])
            for node in island:
                node.store.down = True
            await asyncio.sleep(WITHDRAWAL_BOUND_S)
            for _ in range(120):
                self.assertFalse(any(node.configuration.is_fresh() for node in island))
                await asyncio.sleep(1)
            self.assertEqual({node.vm for node in island}, island[0].usable_vms())
            fleet.network.heal()
            await wait_until(lambda: all(n.configuration.is_fresh() for n in island), limit_s=2)

        for count in (1, 4):
            run_virtual(run(count))

    def test_nodes_cut_off_during_an_outage_refuse(self) -> None:
        """Guards against old reports of an outage after the store is back for the other nodes."""

        async def run(count: int, limit_s: float) -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            fleet.set_store_down(True)
            await asyncio.sleep(30)
            island = fleet.nodes[:count]
            self.assertTrue(all(node.configuration.is_fresh() for node in island))
            fleet.split(island, fleet.nodes[count:])
            for node in fleet.nodes[count:]:
                node.store.down = False
            await asyncio.sleep(limit_s)
            for _ in range(60):
                self.assertFalse(any(node.configuration.is_fresh() for node in island))
                await asyncio.sleep(1)

        run_virtual(run(1, WITHDRAWAL_BOUND_S))
        # Several nodes hear each other, so they go on until gossip takes the others for dead.
        run_virtual(run(3, WITHDRAWAL_BOUND_S + 10))

    def test_node_that_lacks_an_announced_change_refuses_in_an_outage(self) -> None:
        """Guards against a node that counts as fresh in an outage without the newest change."""

        async def run() -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            fleet.set_store_down(True)
            await asyncio.sleep(20)
            node = fleet.nodes[0]
            self.assertTrue(node.configuration.is_fresh())
            newer = Announcement(revision=3, head=3, age_s=1.0, store_is_down=True)
            lost = Sender(vm="vm-lost", incarnation=1, address="10.9.9.9:7000")
            node.configuration._distributor._handle_announcement(lost, newer)
            self.assertFalse(node.configuration.is_fresh())

        run_virtual(run())

    def test_empty_node_refuses_in_an_outage(self) -> None:
        """Guards against a new node that counts as fresh in an outage without any configuration."""

        async def run() -> None:
            fleet = Fleet(0, table=filled_table())
            fleet.seeds = ("10.0.0.1:7000",)
            fleet.nodes = [fleet.add(index) for index in range(3)]
            fleet.set_store_down(True)
            await fleet.start(settle_s=20)
            self.assertTrue(fleet.nodes[0].membership.store_is_down())
            self.assertFalse(any(node.configuration.is_fresh() for node in fleet.nodes))

        run_virtual(run())

    def test_node_without_known_peers_refuses(self) -> None:
        """Guards against a fleet of one member whose majority is itself."""

        async def run() -> None:
            fleet = Fleet(1, table=filled_table())
            await fleet.start()
            self.assertTrue(fleet.nodes[0].configuration.is_fresh())
            fleet.set_store_down(True)
            await asyncio.sleep(2 * WITHDRAWAL_BOUND_S)
            self.assertFalse(fleet.nodes[0].configuration.is_fresh())

        run_virtual(run())

    def test_peers_keep_a_node_without_store_fresh(self) -> None:
        """Guards against refusing requests when only the link to the store is broken."""

        async def run() -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            for node in fleet.nodes[:5]:
                node.store.down = True
            for _ in range(300):
                await asyncio.sleep(0.1)
                self.assertTrue(all(node.configuration.is_fresh() for node in fleet.nodes))

        run_virtual(run())

    def test_store_outage_stops_nobody(self) -> None:
        """Guards against refusals during a long outage, and in its first and last seconds."""

        async def run(size: int, seconds: int) -> None:
            fleet = Fleet(size, table=filled_table())
            await fleet.start()
            stale = 0
            for step in range(seconds * 10):
                if step == 5:
                    fleet.set_store_down(True)
                if step == seconds * 10 - 50:
                    fleet.set_store_down(False)
                await asyncio.sleep(0.1)
                stale += sum(not accepts_key(node) for node in fleet.nodes)
            self.assertEqual(0, stale)
            self.assertFalse(fleet.nodes[0].membership.store_is_down())

        run_virtual(run(9, 600))
        run_virtual(run(81, 20))

    def test_silent_store_stops_nobody(self) -> None:
        """Guards against refusals while the store answers too late instead of failing."""

        async def run() -> None:
            fleet = Fleet(27, table=filled_table())
            await fleet.start()
            for node in fleet.nodes:
                node.store.delay_s = 60.0
            for _ in range(100):
                await asyncio.sleep(0.1)
                self.assertTrue(all(accepts_key(node) for node in fleet.nodes))

        run_virtual(run())

    def test_start_during_an_outage(self) -> None:
        """Guards against a replaced VM that serves nothing until the store returns."""

        async def run() -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            fleet.set_store_down(True)
            await asyncio.sleep(60)
            fleet.seeds = (fleet.nodes[2].address,)
            late = fleet.add(9, listed=False)
            late.store.down = True
            await late.start()
            await wait_until(lambda: accepts_key(late), limit_s=3)

        run_virtual(run())

    def test_paused_node_is_stale_when_it_resumes(self) -> None:
        """Guards against datagrams that waited in the buffer of a paused process."""

        async def run() -> None:
            fleet = Fleet(9, table=filled_table())
            await fleet.start()
            node = fleet.nodes[0]
            tokens = dict(node.configuration._distributor._tokens)
            node.clock.offset_s += 60
            self.assertFalse(node.configuration.is_fresh())
            waiting = Confirmation(
                token=max(tokens),
                revision=2,
                head=2,
                confirmed_revision=2,
                age_s=0.1,
                store_is_down=False,
            )
            sender = fleet.nodes[1].transport.sender
            node.configuration._distributor._handle_confirmation(sender, waiting)
            self.assertFalse(node.configuration.is_fresh())
            await asyncio.sleep(2)
            self.assertTrue(node.configuration.is_fresh())

        run_virtual(run())

    def test_watch_answer_counts_as_of_its_request(self) -> None:
        """Guards against an answer of the store that a paused process reads late."""

        async def run() -> None:
            fleet = Fleet(1, table=filled_table())
            await fleet.start()
            node = fleet.nodes[0]
            distributor = node.configuration._distributor
            sent_at = node.clock.monotonic()
            node.clock.offset_s += 60
            snapshot = replace(fleet.table.list(["client-account"], 99), revision=2)
            distributor._apply_snapshot(snapshot, after=2, sent_at=sent_at)
            self.assertFalse(node.configuration.is_fresh())

        run_virtual(run())


class DrainTest(testtools.TestCase):
    def test_each_level_stops_new_work(self) -> None:
        """Guards against new work on something that operators drained."""
        server = BackendServer(
            name="s1", address="10.0.0.1:1", failure_domain="casa-a", region="west"
        )
        database = Database(name="orders", backend_servers=(server,))
        drained = DrainState.DRAINED

        class States:
            def __init__(self, *names: str) -> None:
                self.names = names

            def failure_domain_state(self, name: str) -> DrainState:
                return drained if name in self.names else DrainState.IN_SERVICE

        self.assertTrue(is_in_service(States(), database, server))
        for case in (
            (States("casa-a"), database, server),
            (States(), replace(database, state=drained), server),
            (States(), database, replace(server, state=drained)),
        ):
            self.assertFalse(is_in_service(*case))

    def test_drain_reaches_every_node(self) -> None:
        """Guards against a node that goes on using a drained failure domain."""

        async def run() -> None:
            fleet = Fleet(27, table=filled_table())
            await fleet.start()
            value = {"name": "fd-1", "region": "region-1", "state": "drained"}
            fleet.table.put(Kind.FAILURE_DOMAIN, "fd-1", value, 0)
            states = [DrainState.DRAINED] * 27
            await wait_until(
                lambda: states
                == [n.configuration.failure_domain_state("fd-1") for n in fleet.nodes],
                limit_s=IN_FORCE_LIMIT_S,
            )

        run_virtual(run())


class EditingTest(testtools.TestCase):
    def edit(self, store: LocalStore, value: Any, version: int) -> Any:
        return apply_change(store, Kind.CLIENT_ACCOUNT, "khaima", value, version)

    def test_lost_answer_is_resolved_by_the_change_id(self) -> None:
        """Guards against reporting a change as failed that took effect."""

        async def run() -> None:
            store = LocalStore(table=filled_table())
            store.lose_next_answers = 1
            result = await self.edit(store, account("khaima", "new"), 1)
            self.assertIsInstance(result, Applied)
            self.assertEqual(2, store.table.get(Kind.CLIENT_ACCOUNT, "khaima").version)

        run_virtual(run())

    def test_racing_operators(self) -> None:
        """Guards against two operators who both believe that they replaced one version."""

        async def run(lost: int) -> None:
            table = filled_table()
            stores = [LocalStore(table=table), LocalStore(table=table)]
            stores[0].lose_next_answers = lost
            results = await asyncio.gather(
                self.edit(stores[0], account("khaima", "one"), 1),
                self.edit(stores[1], account("khaima", "two"), 1),
            )
            self.assertEqual({Applied, Conflict}, {type(entry) for entry in results})
            conflict = next(entry for entry in results if isinstance(entry, Conflict))
            self.assertEqual(account("khaima", "two"), conflict.submitted)
            found = table.get(Kind.CLIENT_ACCOUNT, "khaima")
            self.assertEqual((2, found), (found.version, conflict.current))

        for lost in (0, 1):
            run_virtual(run(lost))

    def test_overwritten_change_is_undecided(self) -> None:
        """Guards against reporting a result for a change that a later version has overwritten."""

        async def run() -> None:
            table = filled_table()
            store = LocalStore(table=table)
            store.lose_next_answers = 1
            editing = asyncio.ensure_future(self.edit(store, account("khaima", "one"), 1))
            await asyncio.sleep(0.1)
            table.put(Kind.CLIENT_ACCOUNT, "khaima", account("khaima", "two"), 2)
            self.assertIsInstance(await editing, Undecided)

        run_virtual(run())

    def test_deletions_of_two_operators(self) -> None:
        """Guards against two operators who both believe that they deleted one version."""

        async def run() -> None:
            table = filled_table()
            stores = [LocalStore(table=table), LocalStore(table=table)]
            stores[1].lose_next_answers = 1
            results = await asyncio.gather(*(self.edit(store, None, 1) for store in stores))
            self.assertEqual([Applied, Conflict], [type(entry) for entry in results])
            store = LocalStore(table=filled_table())
            store.lose_next_answers = 1
            self.assertIsInstance(await self.edit(store, None, 1), Undecided)

        run_virtual(run())

    def test_unreachable_store_is_undecided(self) -> None:
        """Guards against reporting a change as refused that a silent store may still apply."""

        async def run() -> None:
            store = LocalStore(table=filled_table())
            store.down = True
            self.assertIsInstance(await self.edit(store, account(), 1), Undecided)

        run_virtual(run())

    def test_invalid_value_is_not_sent(self) -> None:
        """Guards against storing an object that no node can put in force."""

        async def run() -> None:
            store = LocalStore(table=filled_table())
            try:
                await self.edit(store, account(burst=-1), 1)
            except ObjectInvalid:
                pass
            else:
                self.fail("an invalid value was sent")
            self.assertEqual(0, store.table.calls["put"])

        run_virtual(run())

    def test_change_id_is_no_part_of_the_configuration(self) -> None:
        """Guards against a node that rejects what operators' tools store."""

        async def run() -> None:
            fleet = Fleet(1, table=filled_table())
            await fleet.start()
            result = await self.edit(fleet.nodes[0].store, account("khaima", "new"), 1)
            self.assertIn("change_id", result.stored.value)
            await asyncio.sleep(1)
            found = fleet.nodes[0].configuration.find_account_by_key("new")
            self.assertEqual("khaima", found.name)

        run_virtual(run())


class LifeCycleTest(testtools.TestCase):
    def test_stop_at_the_moment_of_a_change(self) -> None:
        """Guards against a watch that continues because `wait_for` swallowed its cancellation."""

        async def run() -> None:
            fleet = Fleet(1, table=filled_table())
            await fleet.start()
            fleet.table.put(Kind.CLIENT_ACCOUNT, "khaima", account(), 1)
            await fleet.nodes[0].stop()
            await asyncio.sleep(1)
            calls = fleet.table.calls.total()
            await asyncio.sleep(5)
            self.assertEqual(calls, fleet.table.calls.total())

        run_virtual(run())


class SubscriberTest(testtools.TestCase):
    def test_failing_subscriber_stops_nothing(self) -> None:
        """Guards against a failing subscriber that prevents the others from seeing changes."""

        async def run() -> None:
            fleet = Fleet(1, table=filled_table())
            await fleet.start()

            def fail(_: StoredObject) -> None:
                raise StoreUnavailable(operation="test")

            fleet.nodes[0].configuration.subscribe(fail)
            fleet.table.put(Kind.CLIENT_ACCOUNT, "khaima", account(), 1)
            await asyncio.sleep(1)
            self.assertEqual(3, fleet.nodes[0].configuration.revision)
            self.assertIsNone(fleet.nodes[0].configuration.find_account_by_key(KEY))

        run_virtual(run())
