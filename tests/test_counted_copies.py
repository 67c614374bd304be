"""Which replicas count as receivers of commits, by the record of promotions."""

import asyncio

from testtools import TestCase

from lentilring.platform.store import StoreUnavailable
from lentilring.takeover.authority import PromotionIntent
from lentilring.takeover.copies import RecordedCopies
from lentilring.takeover.counting import RECORD_RETRY_S, CountedCopies, is_counted

from .test_takeover import MemoryStore, build_authority, build_entry
from .virtual_time import SuspensibleClock, run_virtual

COPIES = RecordedCopies(leader="p", started_ms={"p": 1, "a": 1, "b": 1})


def build_intent(*, promotes: str = "", copies: RecordedCopies = COPIES) -> PromotionIntent:
    return PromotionIntent(version=7, server=promotes, is_open=bool(promotes), copies=copies)


class SlowStore(MemoryStore):
    """Count readings, and answer them late or not at all."""

    def __init__(self) -> None:
        super().__init__()
        self.readings, self.delay_s, self.is_down = 0, 0.0, False

    async def get(self, kind, name):  # type: ignore[no-untyped-def]
        self.readings += 1
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            raise StoreUnavailable(operation="get", detail="down")
        return await super().get(kind, name)


class RecordedReplicaTest(TestCase):
    def test_replica_counts_if_every_later_takeover_hears_from_it(self) -> None:
        """Guards against a success that a replica confirms and the next takeover does not know."""
        cases = [
            ("recorded", build_entry("a"), build_intent(), True),
            ("started again", build_entry("a", started_ms=2), build_intent(), False),
            ("not recorded", build_entry("c"), build_intent(), False),
            ("another is promoted", build_entry("a"), build_intent(promotes="b"), False),
            ("its primary is promoted", build_entry("a"), build_intent(promotes="p"), True),
            ("no copies recorded", build_entry("c"), build_intent(copies=RecordedCopies()), True),
        ]
        for name, replica, intent, expected in cases:
            self.assertEqual(expected, is_counted(intent, replica, primary="p"), name)

    def test_former_primary_does_not_count_before_its_successor_is_recorded(self) -> None:
        """Guards against a takeover that excuses the recorded primary, which alone has a commit."""
        promoting = build_intent(promotes="a")
        self.assertFalse(is_counted(promoting, build_entry("p"), primary="a"))
        self.assertTrue(is_counted(promoting, build_entry("b"), primary="a"))


class CountedCopiesTest(TestCase):
    def test_record_is_read_after_a_replica_has_started(self) -> None:
        """Guards against a record from before a promotion began (review/7)."""

        async def scenario() -> None:
            clock, store = SuspensibleClock(), SlowStore()
            copies = await self.build(store, clock)
            replica = build_entry("a")
            self.assertTrue(await copies.check(replica, "p", clock.boottime()))
            await asyncio.sleep(1.0)
            self.assertTrue(await copies.check(replica, "p", 0.0))
            self.assertEqual(1, store.readings)
            other = build_authority(store, "vm-b")
            seen = await other.read("rental")
            assert await other.claim("rental", "b", received=seen.received, previous=seen)
            readings = store.readings
            self.assertFalse(await copies.check(replica, "p", clock.boottime()))
            self.assertEqual(readings + 1, store.readings)

        run_virtual(scenario())

    def test_record_is_read_again_only_from_time_to_time(self) -> None:
        """Guards against a call to the store for each statement while a replica does not count."""

        async def scenario() -> None:
            clock, store = SuspensibleClock(), SlowStore()
            copies = await self.build(store, clock)
            for _ in range(20):
                self.assertFalse(await copies.check(build_entry("c"), "p", 0.0))
                await asyncio.sleep(RECORD_RETRY_S / 10)
            self.assertEqual(2, store.readings)

        run_virtual(scenario())

    def test_replica_does_not_count_while_the_store_is_away(self) -> None:
        """Guards against counting a replica on an old record, and against waiting for the store."""

        async def scenario() -> None:
            clock, store = SuspensibleClock(), SlowStore()
            copies = await self.build(store, clock)
            store.is_down, store.delay_s = True, 2.0
            began_at = clock.monotonic()
            self.assertFalse(await copies.check(build_entry("a"), "p", clock.boottime()))
            self.assertLess(clock.monotonic() - began_at, 0.5)
            await asyncio.sleep(3.0)
            store.is_down, store.delay_s = False, 0.0
            self.assertTrue(await copies.check(build_entry("a"), "p", 0.0))

        run_virtual(scenario())

    def test_replica_counts_although_the_store_answers_slowly(self) -> None:
        """Guards against readings that are given up one after another before their answers."""

        async def scenario() -> None:
            clock, store = SuspensibleClock(), SlowStore()
            copies = await self.build(store, clock)
            store.delay_s = 2 * RECORD_RETRY_S
            for _ in range(3):
                if await copies.check(build_entry("a"), "p", 0.0):
                    return
            self.fail("the replica does not count")

        run_virtual(scenario())

    async def build(self, store: SlowStore, clock: SuspensibleClock) -> CountedCopies:
        authority = build_authority(store, "vm-a")
        seen = await authority.read("rental")
        assert await authority.record_copies("rental", COPIES, previous=seen)
        store.readings = 0
        return CountedCopies(authority=build_authority(store, "vm-c"), clock=clock)
