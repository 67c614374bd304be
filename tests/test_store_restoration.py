"""A store that comes back from an older copy: its revisions go back and are used again."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from aiohttp import web
from testtools import ExpectedException, TestCase

from lentilring.catalog.fleet import RETURN_S, FleetService
from lentilring.catalog.leadership import Leadership
from lentilring.catalog.service import REMOVAL_DELAY_S, CatalogService
from lentilring.gateways.messages import Ping
from lentilring.peers.tcp import TcpTransport
from lentilring.peers.transport import PeerUnreachable
from lentilring.platform.objects import ObjectClient
from lentilring.platform.records import PlatformStore
from lentilring.platform.store import Kind, StoreUnavailable, VersionConflict
from lentilring.shared_secret import CHECK_INTERVAL_S, encode_secret, load_secret
from lentilring.standin.prepared.servers import StandinServer
from lentilring.standin.prepared.store import MAX_PAGE, PreparedStore, StoreCopy
from lentilring.statements.model import Position
from lentilring.takeover.authority import PromotionAuthority
from lentilring.telemetry.metrics import Telemetry

from .prepared import (
    SECRET,
    PreparedPlatform,
    build_manifest,
    run,
    run_prepared_platform,
    wait_until,
)

READERS = 3


class ConfigurationTest(TestCase):
    def test_configuration_at_a_reused_revision_reaches_all_proxies(self) -> None:
        """Guards against followers of readers that keep a configuration from before the return."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=6) as platform:
                store = platform.store
                catalogs = [proxy.catalog for proxy in platform.proxies.values()]
                older = store.make_copy()
                store.put("config", "main", build_manifest(4))
                last = store.put("config", "main", build_manifest(7))
                await wait_until(
                    lambda: all(entry.version == 7 for entry in catalogs), within_s=3.0
                )
                store.calls.clear()
                store.restore(older)
                await wait_until(
                    lambda: store.calls.count(("GET", "config")) > READERS, within_s=3.0
                )
                store.put("config", "main", build_manifest(7))
                self.assertEqual(last, store.put("config", "main", build_manifest(9)))
                await wait_until(
                    lambda: all(entry.version == 9 for entry in catalogs), within_s=3.0
                )

        run(scenario())

    def test_change_at_a_revision_that_was_seen_before_is_not_missed(self) -> None:
        """Guards against a watch that the returned store accepts because it has the revision."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                store, catalog = platform.store, platform.proxies["vm-0"].catalog
                older = store.make_copy()
                store.put("other", "a", {})
                store.put("evacuations", "fes-a", {})
                await wait_until(lambda: catalog.evacuated == {"fes-a"}, within_s=3.0)
                store.restore(older)
                store.put("evacuations", "mrk-a", {})
                for _ in range(3):
                    store.put("evacuations", "fes-a", {})
                await wait_until(lambda: catalog.evacuated == {"fes-a", "mrk-a"}, within_s=3.0)

        run(scenario())

    def test_watches_from_before_a_restoration_end_when_it_is_noticed(self) -> None:
        """Guards against changes that wait for the end of a watch of another kind of records."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                store, catalog = platform.store, platform.proxies["vm-0"].catalog
                await asyncio.sleep(0.5)
                older = store.make_copy()
                store.put("evacuations", "fes-a", {})
                await wait_until(lambda: catalog.evacuated == {"fes-a"}, within_s=3.0)
                store.restore(older)
                store.put("evacuations", "mrk-a", {})
                store.put("config", "main", build_manifest(9))
                await wait_until(lambda: "mrk-a" in catalog.evacuated, within_s=1.5)

        run(scenario())


class EvacuationTest(TestCase):
    def test_evacuation_that_was_lost_holds_until_the_operator_repeats_it(self) -> None:
        """Guards against work in an evacuated domain between a restoration and the repetition."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=6) as platform:
                store = platform.store
                catalogs = [proxy.catalog for proxy in platform.proxies.values()]
                await asyncio.sleep(0.5)
                older = store.make_copy()
                store.put("evacuations", "fes-a", {})
                store.put("evacuations", "mrk-a", {})
                both = frozenset({"fes-a", "mrk-a"})
                await wait_until(lambda: all_evacuate(catalogs, both), within_s=3.0)
                store.restore(older)
                store.put("config", "main", build_manifest(9))
                await wait_until(lambda: all(entry.version == 9 for entry in catalogs), within_s=5)
                self.assertTrue(all_evacuate(catalogs, both))
                store.put("evacuations", "fes-a", {})
                only_repeated = frozenset({"fes-a"})
                await wait_until(
                    lambda: all_evacuate(catalogs, only_repeated), within_s=REMOVAL_DELAY_S + 1.0
                )
                await asyncio.sleep(REMOVAL_DELAY_S)
                self.assertTrue(all_evacuate(catalogs, only_repeated))

        run(scenario())

    def test_evacuations_lost_in_two_restorations_end(self) -> None:
        """Guards against a domain that stays evacuated because a second restoration followed."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=6) as platform:
                store = platform.store
                catalogs = [proxy.catalog for proxy in platform.proxies.values()]
                await asyncio.sleep(0.5)
                older = store.make_copy()
                store.put("evacuations", "fes-a", {})
                await wait_until(lambda: all_evacuate(catalogs, frozenset({"fes-a"})), within_s=3)
                store.restore(older)
                store.put("config", "main", build_manifest(9))
                await wait_until(lambda: all_noticed(catalogs, era=2), within_s=2.0)
                older = store.make_copy()
                store.put("evacuations", "mrk-a", {})
                both = frozenset({"fes-a", "mrk-a"})
                await wait_until(lambda: all_evacuate(catalogs, both), within_s=2.0)
                store.restore(older)
                store.put("config", "main", build_manifest(10))
                await wait_until(lambda: all_noticed(catalogs, era=3), within_s=2.0)
                await wait_until(
                    lambda: all_evacuate(catalogs, frozenset()), within_s=2 * REMOVAL_DELAY_S
                )

        run(scenario())


def all_noticed(catalogs: list[CatalogService], *, era: int) -> bool:
    return all(catalog.store_era == era for catalog in catalogs)


def all_evacuate(catalogs: list[CatalogService], domains: frozenset[str]) -> bool:
    return all(catalog.evacuated == domains for catalog in catalogs)


class ServerEntryTest(TestCase):
    def test_leaving_server_does_not_become_ready_again(self) -> None:
        """Guards against new work at a server whose draining the store has forgotten."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                catalog = platform.proxies["vm-0"].catalog
                server = platform.group.servers[2]
                older = platform.store.make_copy()
                register(platform, server, state="draining", sequence=5)
                await wait_until(lambda: is_draining(catalog, server.id), within_s=3.0)
                platform.store.restore(older)
                platform.store.put("config", "main", build_manifest(9))
                await wait_until(lambda: catalog.version == 9, within_s=3.0)
                for _ in range(20):
                    await asyncio.sleep(0.05)
                    self.assertTrue(is_draining(catalog, server.id))
                register(platform, server, state="ready", sequence=1, born=2)
                await wait_until(lambda: not is_draining(catalog, server.id), within_s=3.0)

        run(scenario())

    def test_server_that_left_does_not_come_back(self) -> None:
        """Guards against new work at a server that is in the older copy only."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                catalog = platform.proxies["vm-0"].catalog
                server = platform.group.servers[2]
                older = platform.store.make_copy()
                register(platform, server, state="draining", sequence=5)
                await wait_until(lambda: is_draining(catalog, server.id), within_s=3.0)
                platform.store.remove("servers", server.id)
                await wait_until(lambda: server.id not in catalog.servers.entries, within_s=3.0)
                platform.store.restore(older)
                platform.store.put("config", "main", build_manifest(9))
                await wait_until(lambda: catalog.version == 9, within_s=3.0)
                for _ in range(20):
                    await asyncio.sleep(0.05)
                    self.assertNotIn(server.id, catalog.servers.entries)

        run(scenario())

    def test_replaced_primary_does_not_lead_again(self) -> None:
        """Guards against statements to a primary of before a promotion that the store forgot."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                catalog = platform.proxies["vm-0"].catalog
                old, new = platform.group.servers[:2]
                older = platform.store.make_copy()
                platform.group.promote(new.id)
                register(platform, new, sequence=5, **{"db-role": "primary"})
                register(platform, old, sequence=5, **{"db-role": "replica"})
                await wait_until(lambda: find_primary(catalog) == new.id, within_s=3.0)
                platform.store.restore(older)
                platform.store.put("config", "main", build_manifest(9))
                while catalog.version != 9:
                    await asyncio.sleep(0.005)
                    self.assertEqual(new.id, find_primary(catalog))
                for _ in range(100):
                    await asyncio.sleep(0.005)
                    self.assertEqual(new.id, find_primary(catalog))

        run(scenario())

    def test_replaced_primary_that_never_registered_again_does_not_lead(self) -> None:
        """Guards against statements to a dead primary until the new one is registered again."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                catalog = platform.proxies["vm-0"].catalog
                new = platform.group.servers[1]
                await asyncio.sleep(0.5)
                older = platform.store.make_copy()
                register(platform, new, sequence=5, **{"db-role": "primary"})
                await wait_until(lambda: find_claimant(catalog) == new.id, within_s=3.0)
                platform.store.restore(older)
                platform.store.put("config", "main", build_manifest(9))
                await wait_until(lambda: catalog.version == 9, within_s=3.0)
                for _ in range(100):
                    await asyncio.sleep(0.005)
                    self.assertEqual(new.id, find_claimant(catalog))

        run(scenario())


def find_claimant(catalog: CatalogService) -> str:
    """Return the primary by registrations alone, without proofs."""
    primary = Leadership().find_primary("rental", catalog.servers)
    return "" if primary is None else primary.id


def register(
    platform: PreparedPlatform, server: StandinServer, *, state: str = "ready", **fields: Any
) -> None:
    entry = platform.group.build_registration(server, state=state)
    platform.store.put("servers", server.id, {**entry, **fields})


def is_draining(catalog: CatalogService, server: str) -> bool:
    return catalog.servers.entries[server].is_draining


def find_primary(catalog: CatalogService) -> str:
    primary = catalog.find_primary("rental")
    return "" if primary is None else primary.id


class ProxyRegistrationTest(TestCase):
    def test_proxy_whose_registration_was_lost_stays_a_member(self) -> None:
        """Guards against limits and gateways that are divided among too few proxies."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                older = platform.store.make_copy()
                await platform.add_proxy("vm-2", "fes-a")
                fleets = [
                    proxy.kernel.find("fleet", FleetService) for proxy in platform.proxies.values()
                ]
                await wait_until(lambda: count_members(fleets) == [3, 3, 3], within_s=3.0)
                platform.store.restore(older)
                platform.store.put("config", "main", build_manifest(9))
                catalogs = [proxy.catalog for proxy in platform.proxies.values()]
                await wait_until(lambda: all(entry.version == 9 for entry in catalogs), within_s=5)
                self.assertEqual([3, 3, 3], count_members(fleets))
                await wait_until(
                    lambda: platform.store.read("lentilring-proxies", "vm-2") is not None,
                    within_s=3.0,
                )
                await asyncio.sleep(RETURN_S)
                self.assertEqual([3, 3, 3], count_members(fleets))

        run(scenario())

    def test_proxy_registers_again_when_an_earlier_process_comes_back(self) -> None:
        """Guards against peers that take a proxy for a process that has ended."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                entry = platform.store.read("lentilring-proxies", "vm-1")
                platform.store.put("lentilring-proxies", "vm-1", {**entry, "incarnation": 0})
                older = platform.store.make_copy()
                platform.store.put("lentilring-proxies", "vm-1", entry)
                await asyncio.sleep(0.5)
                platform.store.restore(older)
                platform.store.put("config", "main", build_manifest(9))
                await wait_until(
                    lambda: platform.store.read("lentilring-proxies", "vm-1") == entry,
                    within_s=3.0,
                )
                fleet = platform.proxies["vm-0"].kernel.find("fleet", FleetService)
                known = fleet.find("vm-1")
                assert known is not None
                self.assertEqual(1, known.incarnation)

        run(scenario())

    def test_entry_of_a_proxy_that_is_gone_can_be_removed_after_a_restoration(self) -> None:
        """Guards against shares and gateways of a proxy that ended before it registered again."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                store = platform.store
                fleet = platform.proxies["vm-0"].kernel.find("fleet", FleetService)
                entry = {**store.read("lentilring-proxies", "vm-0"), "incarnation": 1}
                store.put("lentilring-proxies", "vm-9", entry)
                older = store.make_copy()
                store.put("lentilring-proxies", "vm-9", {**entry, "incarnation": 2})
                await wait_until(lambda: has_incarnation(fleet, "vm-9", 2), within_s=3.0)
                store.restore(older)
                store.put("config", "main", build_manifest(9))
                catalog = platform.proxies["vm-0"].catalog
                await wait_until(lambda: catalog.version == 9, within_s=3.0)
                await asyncio.sleep(1.0)
                gone = fleet.find("vm-9")
                assert gone is not None
                fleet.deregister(gone, silence_s=60.0)
                await wait_until(lambda: fleet.find("vm-9") is None, within_s=3.0)
                self.assertIsNone(store.read("lentilring-proxies", "vm-9"))

        run(scenario())


def has_incarnation(fleet: FleetService, vm: str, incarnation: int) -> bool:
    entry = fleet.find(vm)
    return entry is not None and entry.incarnation == incarnation


def count_members(fleets: list[FleetService]) -> list[int]:
    return [len(fleet.members()) for fleet in fleets]


class SharedSecretTest(TestCase):
    def test_proxy_that_started_with_another_secret_takes_the_one_of_the_fleet(self) -> None:
        """Guards against a proxy whose calls all peers reject, as the store had lost the secret."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                stored = PlatformStore(objects=build_client(platform.store))
                older = platform.store.make_copy()
                platform.store.put("lentilring-secret", "peers", encode_secret(SECRET))
                platform.store.restore(older)
                other = await load_secret(stored)
                self.assertLess(SECRET, other)
                late = await platform.add_proxy("vm-2", "fes-a", secret=other)
                transport = late.kernel.find("transport", TcpTransport)
                address = platform.proxies["vm-0"].settings.peer_address
                with ExpectedException(PeerUnreachable):
                    await transport.call(address, Ping(incarnation=1), timeout_s=1.0)
                await asyncio.sleep(4 * CHECK_INTERVAL_S)
                self.assertEqual(SECRET, await load_secret(stored))
                await transport.call(address, Ping(incarnation=1), timeout_s=1.0)

        run(scenario())


class PromotionTokenTest(TestCase):
    def test_fencing_tokens_increase_across_a_restoration(self) -> None:
        """Guards against a token that two proxies use, or that is lower than one that was used."""

        async def scenario() -> None:
            async with run_store(PreparedStore()) as store:
                first, second = build_authority(store, "vm-1"), build_authority(store, "vm-2")
                older = store.make_copy()
                for _ in range(3):
                    store.put("other", "a", {})
                before = await claim(first)
                store.restore(older)
                after = await claim(second)
                self.assertGreater(after, before)

        run(scenario())


class PromotionRecordTest(TestCase):
    def test_promotion_that_was_lost_is_written_again(self) -> None:
        """Guards against a second takeover that does not know of the first one's open promotion."""

        async def scenario() -> None:
            async with run_store(PreparedStore()) as store:
                first, second = build_authority(store, "vm-1"), build_authority(store, "vm-2")
                older = store.make_copy()
                await claim(first)
                store.restore(older)
                self.assertTrue((await first.read("rental")).is_open)
                await first.write_again()
                found = await second.read("rental")
                self.assertEqual(("i-1", "vm-1", True), (found.server, found.vm, found.is_open))
                self.assertEqual(Position(term=1, number=2), found.received)
                # A later promotion of another proxy is not overwritten.
                await claim(second)
                await first.write_again()
                self.assertEqual("vm-2", (await first.read("rental")).vm)

        run(scenario())

    def test_lost_promotion_of_a_proxy_that_ended_is_written_again_by_another(self) -> None:
        """Guards against a takeover that does not know of an open promotion that may still run."""

        async def scenario() -> None:
            async with run_store(PreparedStore()) as store:
                first, second, gone = (build_authority(store, f"vm-{name}") for name in "123")
                older = store.make_copy()
                await claim(gone)
                await first.read("rental")
                store.restore(older)
                await first.write_again()
                found = await second.read("rental")
                self.assertEqual(("vm-3", True), (found.vm, found.is_open))
                self.assertEqual(Position(term=1, number=2), found.received)

        run(scenario())

    def test_claim_after_a_restoration_counts_more_than_a_lost_record(self) -> None:
        """Guards against a proxy that takes another's open promotion for an older state."""

        async def scenario() -> None:
            async with run_store(PreparedStore()) as store:
                first, second, gone = (build_authority(store, f"vm-{name}") for name in "123")
                older = store.make_copy()
                await claim(gone)
                await claim(gone)
                await first.read("rental")
                store.restore(older)
                self.assertEqual("vm-3", (await first.read("rental")).vm)
                await claim(second)
                self.assertEqual("vm-2", (await first.read("rental")).vm)

        run(scenario())

    def test_record_of_a_version_that_does_not_count_is_not_taken_for_an_older_state(self) -> None:
        """Guards against a promotion of a proxy of an earlier version that is ignored."""

        async def scenario() -> None:
            async with run_store(PreparedStore()) as store:
                authority = build_authority(store, "vm-1")
                await claim(authority)
                uncounted = {"vm": "vm-2", "server": "i-2", "open": True}
                store.put("lentilring-promotion", "rental", uncounted)
                self.assertEqual("vm-2", (await authority.read("rental")).vm)

        run(scenario())

    def test_no_takeover_begins_until_lost_records_are_written_again(self) -> None:
        """Guards against a takeover that does not know all replicas and promotions."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=3) as platform:
                catalogs = [proxy.catalog for proxy in platform.proxies.values()]
                await wait_until(lambda: all_know_servers(catalogs), within_s=5.0)
                older = platform.store.make_copy()
                platform.store.put("other", "a", {})
                platform.store.restore(older)
                leader = platform.group.leader
                assert leader is not None
                await leader.stop()
                register(platform, platform.group.servers[2])
                await asyncio.sleep(REMOVAL_DELAY_S - 0.5)
                self.assertEqual([], platform.store.promotions)
                await wait_until(lambda: platform.store.promotions != [], within_s=5.0)

        run(scenario())


def all_know_servers(catalogs: list[CatalogService]) -> bool:
    return all(catalog.knows_all_servers() for catalog in catalogs)


class ConditionTest(TestCase):
    def test_condition_on_a_revision_from_before_a_restoration_does_not_hold(self) -> None:
        """Guards against overwriting a record whose revision happens to be a reused one."""

        async def scenario() -> None:
            async with run_store(PreparedStore()) as store:
                stored = PlatformStore(objects=build_client(store))
                older = store.make_copy()
                first = await stored.put(Kind.PROMOTION, "a", {"by": "me"}, expected_version=0)
                store.restore(older)
                store.put("lentilring-promotion", "a", {"by": "another"})
                # The first write does not know of the new era yet, the second one does.
                for failure in (StoreUnavailable, VersionConflict):
                    with ExpectedException(failure):
                        await stored.put(
                            Kind.PROMOTION, "a", {"by": "me"}, expected_version=first.version
                        )

        run(scenario())

    def test_list_with_pages_of_two_eras_fails(self) -> None:
        """Guards against a list that mixes records from before and after a restoration."""

        async def scenario() -> None:
            async with run_store(_RestoredBetweenPages()) as store:
                client = build_client(store)
                with ExpectedException(StoreUnavailable):
                    await client.list("other")
                self.assertEqual(MAX_PAGE + 1, len((await client.list("other")).objects))

        run(scenario())


class _RestoredBetweenPages(PreparedStore):
    def __init__(self) -> None:
        super().__init__()
        for index in range(MAX_PAGE + 1):
            self.put("other", f"record-{index:04}", {})
        self._older: StoreCopy | None = self.make_copy()

    async def _read(self, request: web.Request, kind: str, name: str) -> web.Response:
        if "after" in request.query and self._older is not None:
            self.restore(self._older)
            self._older = None
        return await super()._read(request, kind, name)


@asynccontextmanager
async def run_store(store: PreparedStore) -> AsyncIterator[PreparedStore]:
    await store.start()
    try:
        yield store
    finally:
        await store.stop()


def build_client(store: PreparedStore) -> ObjectClient:
    return ObjectClient(address=store.address, telemetry=Telemetry())


def build_authority(store: PreparedStore, vm: str) -> PromotionAuthority:
    objects = build_client(store)
    return PromotionAuthority(
        store=PlatformStore(objects=objects), vm=vm, find_era=lambda: objects.era
    )


async def claim(authority: PromotionAuthority) -> int:
    """Claim a promotion; return the fencing token."""
    previous = await authority.read("rental")
    claimed = await authority.claim(
        "rental", "i-1", received=Position(term=1, number=2), previous=previous
    )
    assert claimed is not None
    return claimed.version
