"""Leases: expiry, takeover, lost answers, late answers."""

import asyncio
from random import Random
from typing import Any

import testtools

from lentilring.limits.lease import AcquireResult, Lease
from lentilring.standin.objects import LocalStore, ObjectTable

from .fakes import AdjustableClock
from .virtual_time import run_virtual

DURATION_S, MARGIN_S, SETTLE_S = 60.0, 2.0, 1.25


class LeaseTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = ObjectTable()
        self.gone: set[tuple[str, int]] = set()

    def make(self, vm: str, *, incarnation: int = 1, rate: float = 1.0) -> Lease:
        self.store = LocalStore(table=self.table)
        return Lease(
            store=self.store,
            clock=AdjustableClock(rate=rate),
            random=Random(1),
            kind="share",
            name="0",
            vm=vm,
            incarnation=incarnation,
            is_gone=lambda vm, incarnation: (vm, incarnation) in self.gone,
            duration_s=DURATION_S,
            margin_s=MARGIN_S,
            settle_s=SETTLE_S,
        )

    async def contend(self, lease: Lease, *, until_s: float = 500) -> float:
        loop = asyncio.get_running_loop()
        while await lease.acquire() is not AcquireResult.ACQUIRED:
            self.assertLess(loop.time(), until_s)
            await asyncio.sleep(0.5)
        return loop.time()

    def test_two_holders_never_overlap_with_clock_rates_apart(self) -> None:
        """Guards against a takeover before a slow holder's own term has ended."""

        async def live() -> None:
            old, new = self.make("a", rate=0.995), self.make("b", rate=1.005)
            await old.acquire()
            await asyncio.sleep(20)
            self.assertTrue(await old.renew())
            taken_at = await self.contend(new)
            self.assertFalse(old.is_held())
            self.assertGreater(taken_at, 20 + DURATION_S)
            self.assertLessEqual(new.usable_from, new._clock.monotonic())
            self.assertFalse(await old.renew())

        run_virtual(live())

    def test_expiry_counts_from_before_the_request(self) -> None:
        """Guards against a term that is too long by the duration of a slow write."""

        async def live() -> None:
            lease = self.make("a")
            self.store.delay_s = 5.0
            await lease.acquire()  # a read of 5 s, then the write is sent
            self.assertEqual(5.0 + DURATION_S, lease.expires_at)

        run_virtual(live())

    def test_contender_counts_from_after_its_read(self) -> None:
        """Guards against an observation that begins before the holder's last write."""

        async def live() -> None:
            lease = self.make("b")
            await self.make("a").acquire()
            lease._store.delay_s = 5.0  # type: ignore[attr-defined]
            began = asyncio.get_running_loop().time()
            await lease.acquire()
            self.assertEqual(began + 5.0, lease._seen_since)

        run_virtual(live())

    def test_gone_holder_is_replaced_at_once_with_a_settle_time(self) -> None:
        """Guards against grants of the old holder adding to those of the new one."""

        async def live() -> None:
            await self.make("a").acquire()
            new = self.make("b")
            self.assertIs(AcquireResult.HELD_BY_OTHER, await new.acquire())
            self.gone.add(("a", 1))
            now = await self.contend(new)
            self.assertGreaterEqual(new.usable_from, now + SETTLE_S - 0.01)
            restarted = self.make("b", incarnation=2)
            self.assertIs(AcquireResult.ACQUIRED, await restarted.acquire())

        run_virtual(live())

    def test_released_lease_is_free_at_once(self) -> None:
        """Guards against a graceful stop that leaves a share without a holder."""

        async def live() -> None:
            old, new = self.make("a"), self.make("b")
            await old.acquire()
            self.assertTrue(await old.release())
            self.assertFalse(old.is_held())
            self.assertIs(AcquireResult.ACQUIRED, await new.acquire())

        run_virtual(live())

    def test_lost_answers_are_resolved_by_reading(self) -> None:
        """Guards against a holder that does not know that its own write took effect."""

        async def live() -> None:
            lease = self.make("a")
            self.store.lose_next_answers = 1
            self.assertIs(AcquireResult.ACQUIRED, await lease.acquire())
            self.store.lose_next_answers = 1
            self.assertTrue(await lease.renew())
            self.assertEqual(2, self.table.get("share", "0").version)  # type: ignore[union-attr]

        run_virtual(live())

    def test_lost_answer_found_after_an_outage_keeps_its_first_time(self) -> None:
        """Guards against a term that counts from the read instead of the write."""

        async def live() -> None:
            lease = self.make("a")
            await lease.acquire()
            await asyncio.sleep(20)
            sent_at = asyncio.get_running_loop().time()
            put = self.store.put

            async def lose(*args: Any, **values: Any) -> Any:
                self.store.lose_next_answers = 1
                try:
                    return await put(*args, **values)
                finally:
                    self.store.down = True

            self.store.put = lose  # type: ignore[method-assign]
            self.assertFalse(await lease.renew())
            self.store.put, self.store.down = put, False  # type: ignore[method-assign]
            await asyncio.sleep(10)
            self.assertTrue(await lease.renew())
            self.assertEqual(sent_at + DURATION_S, lease.expires_at)

        run_virtual(live())

    def test_late_renewal_answer_is_not_used(self) -> None:
        """Guards against a paused holder that extends its term with an old answer."""

        async def live() -> None:
            lease = self.make("a")
            await lease.acquire()
            before = lease.expires_at
            self.store.delay_s = 31.0
            self.assertFalse(await lease.renew())
            self.assertEqual(before, lease.expires_at)

        run_virtual(live())

    def test_own_lapsed_lease_is_taken_with_a_settle_time(self) -> None:
        """Guards against a new term that adds to grants of the same process's last term."""

        async def live() -> None:
            lease = self.make("a")
            await lease.acquire()
            await asyncio.sleep(DURATION_S - 0.5)
            # The last write is found again: it is still in force.
            self.assertIs(AcquireResult.ACQUIRED, await lease.acquire())
            self.assertGreaterEqual(lease.usable_from, DURATION_S - 0.5 + SETTLE_S)
            await asyncio.sleep(10)
            self.assertFalse(lease.is_held())
            lapsed_at = asyncio.get_running_loop().time()
            await self.contend(lease)
            self.assertGreaterEqual(lease.usable_from, lapsed_at + SETTLE_S)

        run_virtual(live())
