"""Records through peers: which proxies read the store, and what their followers make of answers."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from testtools import TestCase

from lentilring.catalog.history import RecordHistory
from lentilring.catalog.messages import RelayedRecord, RelayedRecords, WatchRecords, WatchRefusal
from lentilring.catalog.readers import choose_readers, order_readers
from lentilring.catalog.relay import DIRECT_RETRY_S, HEARTBEAT_S, RecordRelay
from lentilring.catalog.service import MAX_MANIFEST_WAIT_S
from lentilring.catalog.source import ProxyEntry, Record, RecordKind, Records
from lentilring.peers.transport import PeerAnswerLost, PeerUnreachable
from lentilring.platform.documents import STORE_KINDS
from lentilring.platform.store import StoreUnavailable
from lentilring.revisions import combine_revision
from lentilring.takeover.reasons import RANK_DELAY_S
from lentilring.takeover.service import SUPERVISORS_PER_SERVICE, TakeoverService
from lentilring.telemetry.metrics import Telemetry

from .prepared import (
    PreparedPlatform,
    Proxy,
    build_manifest,
    run,
    run_prepared_platform,
    wait_until,
)
from .relay_fleet import Register, build_proxy
from .virtual_time import SuspensibleClock, run_virtual

KIND = RecordKind.EVACUATIONS
WAIT_S = 8.0
DELAY_S = 6.0


def build_record(name: str, revision: int, *, is_deleted: bool = False) -> Record:
    return Record(name=name, revision=revision, value=None, is_deleted=is_deleted, content=b"x")


def build_batch(*records: Record, **values: Any) -> Records:
    return Records(records=records, **values)


class ScriptedTransport:
    """Answer calls by a coroutine for each address; others are unreachable."""

    def __init__(self) -> None:
        self.answers: dict[str, Callable[[WatchRecords], Awaitable[object]]] = {}
        self.asked: list[str] = []
        self.handlers: dict[type, Any] = {}

    def handle(self, request_type: type, handler: Any) -> None:
        self.handlers[request_type] = handler

    async def call(self, address: str, request: Any, *, timeout_s: float) -> object:
        self.asked.append(address)
        if address not in self.answers:
            raise PeerUnreachable(address=address)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.answers[address](request)
        except TimeoutError as error:
            raise PeerAnswerLost(address=address) from error


class ScriptedSource:
    """Answer watches after their wait with one batch; `is_down` makes all calls fail."""

    def __init__(self) -> None:
        self.batch = Records(records=(), revision=1)
        self.is_down = False
        self.calls = 0

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        self.calls += 1
        if self.is_down:
            raise StoreUnavailable(operation="list")
        return Records(records=(), revision=1, is_complete=True)

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        self.calls += 1
        if self.is_down:
            raise StoreUnavailable(operation="watch")
        if self.batch.revision <= after_revision:
            await asyncio.sleep(wait_s)
        return self.batch

    def decode(self, kind: RecordKind, record: Record) -> Record:
        return record


class Scene:
    """Hold one proxy that follows readers in three failure domains."""

    def __init__(self) -> None:
        self.entries = tuple(
            build_proxy(index, domain)
            for index, domain in enumerate(("casa-a", "casa-a", "casa-b", "casa-b", "fes-a"))
        )
        self.readers = choose_readers(self.entries)
        local = next(entry for entry in self.entries if entry not in self.readers)
        self.followed = order_readers(self.readers, local)
        self.register = Register(local, self.entries)
        self.transport, self.source = ScriptedTransport(), ScriptedSource()
        self.relay = RecordRelay(
            source=self.source,
            transport=self.transport,
            clock=SuspensibleClock(),
            random=Random(1),
            telemetry=Telemetry(),
            configuration_delay_s=DELAY_S,
        )
        self.relay.proxies = self.register

    def answer(self, reader: ProxyEntry, after_s: float, **values: Any) -> None:
        async def answer(request: WatchRecords) -> RelayedRecords:
            await asyncio.sleep(after_s)
            return RelayedRecords(**values)

        self.transport.answers[reader.address] = answer

    async def watch(self, after_revision: int = 1) -> Records:
        return await self.relay.watch(KIND, after_revision=after_revision, wait_s=WAIT_S)


class ReaderChoiceTest(TestCase):
    def test_each_failure_domain_has_a_reader(self) -> None:
        entries = [build_proxy(index, f"r{index % 3}-{index % 6}") for index in range(195)]
        readers = choose_readers(entries)
        self.assertEqual(6, len({entry.failure_domain for entry in readers}))
        self.assertEqual(6, len(readers))

    def test_few_failure_domains_have_three_readers_together(self) -> None:
        entries = [build_proxy(index, "casa-a") for index in range(9)]
        self.assertEqual(3, len(choose_readers(entries)))
        self.assertEqual(2, len(choose_readers(entries[:2])))
        self.assertEqual((), choose_readers([]))

    def test_followers_prefer_near_readers_of_different_domains(self) -> None:
        """Guards against following two readers that one lost failure domain takes away."""
        entries = [
            build_proxy(index, ("fes-a", "casa-a", "casa-b")[index % 3]) for index in range(9)
        ]
        readers = [*entries, build_proxy(10, "casa-a")]
        ordered = order_readers(readers, build_proxy(20, "casa-a"))
        self.assertEqual(
            ["casa-a", "casa-b", "fes-a"], [entry.failure_domain for entry in ordered[:3]]
        )

    def test_followers_spread_over_the_other_readers(self) -> None:
        """Guards against one reader that serves the whole fleet."""
        readers = [build_proxy(index, f"r{index}-a") for index in range(6)]
        seconds = [order_readers(readers, build_proxy(index, "x-a"))[0].vm for index in range(60)]
        self.assertEqual(6, len(set(seconds)))


class HistoryTest(TestCase):
    def test_changes_after_a_revision_are_the_newest_states(self) -> None:
        history = RecordHistory()
        history.update(build_batch(build_record("a", 3), revision=5, is_complete=True))
        changes = (build_record("a", 6), build_record("b", 7))
        history.update(build_batch(*changes, revision=7, confirmed_at=2.0))
        self.assertTrue(history.read_after(4).is_complete)
        after = history.read_after(5)
        self.assertFalse(after.is_complete)
        self.assertEqual(["a", "b"], sorted(entry.name for entry in after.records))
        self.assertEqual(["b"], [entry.name for entry in history.read_after(6).records])
        self.assertEqual((7, 2.0), (after.revision, after.confirmed_at))

    def test_a_deletion_may_name_the_revision_before_it(self) -> None:
        """Guards against a server that left and stays in use at the followers of a reader."""
        history = RecordHistory()
        history.update(build_batch(build_record("a", 3), revision=5, is_complete=True))
        deletion = build_record("a", 3, is_deleted=True)
        history.update(build_batch(deletion, revision=8))
        self.assertEqual((deletion,), history.read_after(5).records)
        self.assertEqual((), history.read_after(4).records)

    def test_a_new_list_deletes_what_it_lacks(self) -> None:
        """Guards against changes that are lost when the store forgets its history."""
        history = RecordHistory()
        history.update(build_batch(build_record("a", 3), revision=5, is_complete=True))
        history.update(build_batch(build_record("b", 8), revision=9, is_complete=True))
        changes = {entry.name: entry.is_deleted for entry in history.read_after(5).records}
        self.assertEqual({"a": True, "b": False}, changes)

    def test_an_older_batch_changes_nothing(self) -> None:
        """Guards against an old reader that brings back a record that was deleted."""
        history = RecordHistory()
        history.update(build_batch(revision=9, is_complete=True))
        history.update(build_batch(build_record("a", 3), revision=5, is_complete=True))
        self.assertEqual((9, ()), (history.revision, history.read_after(4).records))


class FollowerTest(TestCase):
    def test_the_first_of_two_readers_brings_the_change(self) -> None:
        """Guards against a frozen reader that keeps an evacuation from its followers."""

        async def scenario() -> None:
            scene = Scene()
            scene.answer(scene.followed[0], 1000.0)
            record = RelayedRecord(name="fes-a", revision=4, is_deleted=False, content=b"x")
            scene.answer(scene.followed[1], 0.2, revision=5, records=(record,), waited_s=0.2)
            started_at = scene.relay._clock.boottime()
            batch = await scene.watch()
            self.assertEqual(["fes-a"], [entry.name for entry in batch.records])
            self.assertAlmostEqual(0.2, scene.relay._clock.boottime() - started_at, places=3)
            self.assertEqual(0, scene.source.calls)

        run_virtual(scenario())

    def test_records_are_as_old_as_their_confirmation(self) -> None:
        """Guards against a confirmation that counts from the answer of a cut-off reader."""

        async def scenario() -> None:
            scene = Scene()
            scene.answer(scene.followed[0], 2.0, revision=1, age_s=7.0, waited_s=1.5)
            scene.answer(scene.followed[1], 1000.0)
            batch = await scene.watch()
            self.assertEqual(-5.5, batch.confirmed_at)

        run_virtual(scenario())

    def test_age_counts_from_the_poll_that_was_answered(self) -> None:
        """Guards against a configuration that seems newer than it is.

        The second reader answers a poll that was sent before the present watch began.
        """

        async def scenario() -> None:
            scene = Scene()
            scene.answer(scene.followed[0], 3.0, revision=1, age_s=0.5, waited_s=3.0)
            scene.answer(scene.followed[1], 5.0, revision=1, age_s=0.5, waited_s=5.0)
            first = await scene.watch()
            self.assertEqual(2.5, first.confirmed_at)
            second = await scene.watch()
            self.assertEqual(5.0, scene.relay._clock.boottime())
            self.assertEqual(4.5, second.confirmed_at)

        run_virtual(scenario())

    def test_a_reader_behind_its_follower_brings_no_records(self) -> None:
        """Guards against older states of records from the slower one of two readers."""

        async def scenario() -> None:
            scene = Scene()
            record = RelayedRecord(name="fes-a", revision=4, is_deleted=True, content=b"")
            scene.answer(scene.followed[0], 0.1, revision=6, is_complete=True, records=(record,))
            scene.answer(scene.followed[1], 1000.0)
            batch = await scene.watch(after_revision=9)
            self.assertEqual((), batch.records)
            self.assertFalse(batch.is_complete)

        run_virtual(scenario())

    def test_a_reader_that_lost_the_store_is_replaced(self) -> None:
        async def scenario() -> None:
            scene = Scene()
            scene.answer(scene.followed[0], 0.0, refusal=WatchRefusal.STORE_LOST)
            scene.answer(scene.followed[1], 0.0, refusal=WatchRefusal.NOT_A_READER)
            scene.answer(scene.followed[2], 0.3, revision=2)
            batch = await scene.watch()
            self.assertEqual(2, batch.revision)
            self.assertEqual(0, scene.source.calls)

        run_virtual(scenario())

    def test_a_reader_in_an_earlier_era_of_the_store_is_replaced(self) -> None:
        """Guards against changes that never come from readers of a version without eras."""

        async def scenario() -> None:
            scene = Scene()
            after = combine_revision(1, 7)
            for reader in scene.followed:
                scene.answer(reader, 0.1, revision=8)
            scene.source.batch = build_batch(
                build_record("a", after + 1), revision=after + 1, confirmed_at=0.0
            )
            batch = await scene.watch(after_revision=after)
            self.assertEqual(["a"], [entry.name for entry in batch.records])
            self.assertEqual(after + 1, batch.revision)

        run_virtual(scenario())

    def test_without_a_reader_the_store_is_read(self) -> None:
        async def scenario() -> None:
            scene = Scene()
            scene.source.batch = Records(records=(build_record("a", 7),), revision=7)
            batch = await scene.watch()
            self.assertEqual(7, batch.revision)
            self.assertEqual(1, scene.source.calls)

        run_virtual(scenario())

    def test_calls_are_few_while_all_readers_have_lost_the_store(self) -> None:
        """Guards against a fleet that calls a store that is down many times a second.

        The store may refuse the readers only, so that followers still try it now and then.
        """

        async def scenario() -> None:
            scene = Scene()
            for reader in scene.readers:
                scene.answer(reader, 0.0, refusal=WatchRefusal.STORE_LOST)
            scene.source.is_down = True
            for _ in range(60):
                try:
                    await scene.watch()
                except StoreUnavailable:
                    await asyncio.sleep(0.5)
            self.assertLessEqual(2, scene.source.calls)
            self.assertLessEqual(scene.source.calls, 2 * 30 / DIRECT_RETRY_S)

        run_virtual(scenario())


def count_readers_of_promotions(platform: PreparedPlatform) -> int:
    """Return how many proxies have read the record of promotions of the service."""
    takeovers = [
        proxy.kernel.find("takeover", TakeoverService) for proxy in platform.proxies.values()
    ]
    return sum(entry._authority.find_known("rental") is not None for entry in takeovers)


class FleetTest(TestCase):
    def test_followers_do_not_call_the_store(self) -> None:
        """Guards against calls to the store that grow with the fleet; each one is billed."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=9) as platform:

                def list_followers() -> list[Proxy]:
                    return [
                        proxy
                        for proxy in platform.proxies.values()
                        if not proxy.kernel.find("records", RecordRelay).is_reader()
                    ]

                await wait_until(lambda: len(list_followers()) == 6, within_s=3.0)
                followers = list_followers()
                # Each supervisor of the service reads the record of promotions once.
                await wait_until(
                    lambda: count_readers_of_promotions(platform) == SUPERVISORS_PER_SERVICE,
                    within_s=3 * RANK_DELAY_S,
                )
                await asyncio.sleep(2.5)
                counts = [proxy.telemetry.read("store_calls", method="GET") for proxy in followers]
                platform.store.put("config", "main", build_manifest(7))
                platform.store.put("evacuations", "fes-a", {})
                catalogs = [proxy.catalog for proxy in followers]
                await wait_until(
                    lambda: all(
                        entry.version == 7 and "fes-a" in entry.evacuated for entry in catalogs
                    ),
                    within_s=1.0,
                )
                platform.store.remove("evacuations", "fes-a")
                await wait_until(
                    lambda: not any(entry.evacuated for entry in catalogs), within_s=1.0
                )
                after = [proxy.telemetry.read("store_calls", method="GET") for proxy in followers]
                self.assertEqual(counts, after)
                for entry in catalogs:
                    self.assertLess(entry.manifest_age_s(), MAX_MANIFEST_WAIT_S + HEARTBEAT_S)

        run(scenario())

    def test_changes_arrive_while_a_reader_has_lost_the_store(self) -> None:
        async def scenario() -> None:
            async with run_prepared_platform(proxies=6) as platform:
                relays = {
                    vm: proxy.kernel.find("records", RecordRelay)
                    for vm, proxy in platform.proxies.items()
                }
                readers = [vm for vm, relay in relays.items() if relay.is_reader()]
                for index, vm in enumerate(readers[:2]):
                    relays[vm]._source = _LostSource()
                    platform.store.put("evacuations", f"zone-{index}", {})
                    followers = [name for name in relays if name not in readers]
                    await wait_until(
                        lambda expected=index, names=followers: all(
                            f"zone-{expected}" in platform.proxies[name].catalog.evacuated
                            for name in names
                        ),
                        within_s=3.0,
                    )

        run(scenario())

    def test_changes_arrive_after_a_reader_has_stopped(self) -> None:
        async def scenario() -> None:
            async with run_prepared_platform(proxies=6) as platform:
                reader = next(
                    vm
                    for vm, proxy in platform.proxies.items()
                    if proxy.kernel.find("records", RecordRelay).is_reader()
                )
                await platform.proxies.pop(reader).stop()
                platform.store.put("evacuations", "fes-a", {})
                await wait_until(
                    lambda: all(
                        "fes-a" in proxy.catalog.evacuated for proxy in platform.proxies.values()
                    ),
                    within_s=3.0,
                )

        run(scenario())

    def test_records_are_read_anew_once_when_the_store_forgets_its_history(self) -> None:
        """Guards against a loop of lists that are older than the history that the store keeps."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                await asyncio.sleep(0.5)
                platform.store.faults.old_revision = platform.store.put("other", "a", {})
                platform.store.put("other", "b", {})
                platform.store.forget_history()
                platform.store.calls.clear()
                await asyncio.sleep(2.0)
                paths = [path for _, path in platform.store.calls]
                for kind in STORE_KINDS.values():
                    # A refused watch may be followed by one list and one new watch.
                    self.assertLessEqual(paths.count(kind), 3, kind)

        run(scenario())


class _LostSource(ScriptedSource):
    def __init__(self) -> None:
        super().__init__()
        self.is_down = True
