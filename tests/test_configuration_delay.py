"""Changes are in force in time on every proxy that reaches the store, whatever its readers do."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

import logbook
from testtools import TestCase

from lentilring.catalog.source import ProxyEntry

from .relay_fleet import RelayFleet
from .virtual_time import run_virtual

DOMAINS = ("casa-a", "mrk-a", "fes-a") * 3
DELAY_S = 3.0
EVACUATION_S = 5.0
SETTLE_S = 20.0
# Calls of a whole fleet to the store, however large it is, while nothing changes.
MAX_CALLS_PER_S = 4.0
# Readers' watches begin at different times; the fault begins at each part of them.
OFFSETS_S = tuple(0.37 * index for index in range(12))


@asynccontextmanager
async def run_fleet(
    offset_s: float = 0.0, *, domains: tuple[str, ...] = DOMAINS
) -> AsyncIterator[RelayFleet]:
    fleet = RelayFleet(domains=domains, delay_s=DELAY_S)
    fleet.store.put_manifest(1)
    await fleet.start()
    await asyncio.sleep(SETTLE_S + offset_s)
    yield fleet
    await fleet.stop()


def list_vms(entries: Iterable[ProxyEntry]) -> set[str]:
    return {entry.vm for entry in entries}


def choose_followed(fleet: RelayFleet) -> list[ProxyEntry]:
    """Return the two readers that one proxy follows."""
    return fleet.list_followed(fleet.list_followers()[0])


def silence_store(fleet: RelayFleet, readers: list[ProxyEntry]) -> None:
    fleet.store.silence(list_vms(readers))


def suspend(fleet: RelayFleet, readers: list[ProxyEntry]) -> None:
    for entry in readers:
        fleet.pause(entry)
    silence_store(fleet, readers)


class SilentStoreTest(TestCase):
    def check_change(
        self,
        choose_readers: Callable[[RelayFleet], list[ProxyEntry]],
        disturb: Callable[[RelayFleet, list[ProxyEntry]], None],
    ) -> None:
        """Check that the others have each change in time while some readers are disturbed."""

        async def scenario(offset_s: float) -> None:
            async with run_fleet(offset_s) as fleet:
                readers = choose_readers(fleet)
                disturb(fleet, readers)
                for version in range(2, 8):
                    fleet.store.put_manifest(version)
                    await asyncio.sleep(DELAY_S)
                    late = fleet.list_late(version, apart_from=list_vms(readers))
                    self.assertEqual([], late, f"offset {offset_s}, version {version}")

        for offset_s in OFFSETS_S:
            run_virtual(scenario(offset_s))

    def test_change_reaches_a_proxy_whose_two_readers_lost_the_store_silently(self) -> None:
        """Guards against withdrawn keys that a proxy accepts until its readers time out."""
        self.check_change(choose_followed, silence_store)

    def test_change_reaches_all_others_when_all_readers_lost_the_store_silently(self) -> None:
        """Guards against a fleet that waits for its readers although each proxy has the store."""
        self.check_change(RelayFleet.list_readers, silence_store)

    def test_change_reaches_a_proxy_whose_two_readers_are_suspended(self) -> None:
        """Guards against waiting for answers of readers that stopped without closing."""
        self.check_change(choose_followed, suspend)

    def test_change_reaches_all_others_when_all_readers_are_suspended(self) -> None:
        """Guards against asking one silent reader after the other before the store."""
        self.check_change(RelayFleet.list_readers, suspend)

    def test_reader_without_the_store_takes_changes_from_other_readers(self) -> None:
        """Guards against withdrawn keys at a proxy that could ask its peers."""

        async def scenario() -> None:
            async with run_fleet() as fleet:
                silent = fleet.list_readers()[0]
                fleet.store.silence({silent.vm})
                fleet.store.put_manifest(2)
                await asyncio.sleep(DELAY_S)
                self.assertEqual(2, fleet.catalogs[silent.vm].version)

        run_virtual(scenario())

    def test_evacuation_is_known_in_time_though_the_readers_lost_the_store_silently(self) -> None:
        """Guards against watches of other records, which wait longer than the configuration's."""

        async def scenario(offset_s: float) -> None:
            async with run_fleet(offset_s) as fleet:
                silent = list_vms(fleet.list_readers())
                fleet.store.silence(silent)
                fleet.store.put_evacuation("fes-a")
                await asyncio.sleep(DELAY_S)
                unaware = fleet.list_unaware("fes-a", apart_from=silent)
                self.assertEqual([], unaware, f"offset {offset_s}")

        for offset_s in OFFSETS_S:
            run_virtual(scenario(offset_s))

    def test_evacuation_is_known_in_time_after_a_short_silence_of_the_store(self) -> None:
        """Guards against watches that lost their answer and wait on although the store answers."""

        async def scenario(offset_s: float) -> None:
            async with run_fleet(offset_s) as fleet:
                fleet.store.silence(list_vms(fleet.entries))
                await asyncio.sleep(1.5)
                fleet.store.end_silences()
                await asyncio.sleep(2.0)
                fleet.store.put_evacuation("fes-a")
                await asyncio.sleep(EVACUATION_S)
                unaware = fleet.list_unaware("fes-a", apart_from=set())
                self.assertEqual([], unaware, f"offset {offset_s}")

        for offset_s in OFFSETS_S:
            run_virtual(scenario(offset_s))


class StoreCallsTest(TestCase):
    def test_calls_do_not_grow_with_the_fleet(self) -> None:
        """Guards against followers that ask the store while their readers are well."""

        async def scenario(domains: tuple[str, ...], change_interval_s: float) -> float:
            async with run_fleet(domains=domains) as fleet:
                fleet.store.calls.clear()
                for version in range(2, 12):
                    await asyncio.sleep(change_interval_s)
                    fleet.store.put_manifest(version)
                readers = list_vms(fleet.list_readers())
                self.assertEqual(set(), set(fleet.store.calls) - readers)
                return fleet.store.calls.total() / (10 * change_interval_s)

        few = run_virtual(scenario(DOMAINS, 30.0))
        many = run_virtual(scenario(DOMAINS * 6, 30.0))
        self.assertAlmostEqual(few, many, delta=0.1)
        self.assertLessEqual(many, MAX_CALLS_PER_S)
        run_virtual(scenario(DOMAINS, 1.7))

    def test_silent_store_gets_few_calls(self) -> None:
        """Guards against proxies that call a store without answers again and again."""

        async def scenario() -> None:
            async with run_fleet() as fleet:
                fleet.store.silence(list_vms(fleet.entries))
                fleet.store.calls.clear()
                await asyncio.sleep(30.0)
                self.assertLessEqual(max(fleet.store.calls.values()), 2 * 30)

        run_virtual(scenario())


class AgeLogTest(TestCase):
    def test_log_names_the_readers_whose_confirmations_are_old(self) -> None:
        """Guards against logs that do not tell a suspended proxy from one with silent readers."""

        async def scenario() -> None:
            async with run_fleet() as fleet:
                followed = choose_followed(fleet)
                handler = logbook.TestHandler()
                with handler.applicationbound():
                    fleet.store.silence(list_vms(fleet.entries))
                    await asyncio.sleep(10.0)
                lines = [
                    record.message
                    for record in handler.records
                    if "event=configuration_old" in record.message
                ]
                self.assertTrue(
                    any(all(f"{entry.vm}:" in line for entry in followed) for line in lines), lines
                )

        run_virtual(scenario())
