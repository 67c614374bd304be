"""Limits by regional pools: the bound over the fleet, and what callers get."""

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilring.catalog.fleet import FleetService
from lentilring.configuration.models import ClientAccount
from lentilring.limits.allowance import LocalAllowance
from lentilring.limits.pools import HEARD_S, RegionalPools
from lentilring.limits.regional import RegionalLimiter
from lentilring.limits.window import LimitWindow, fit_account

from .prepared import PreparedPlatform, build_manifest, run, run_prepared_platform


class ManualClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def boottime(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(0)


def build_account(rate_per_s: float = 60.0, burst: float = 30.0) -> ClientAccount:
    return ClientAccount(
        name="planner",
        rate_per_s=rate_per_s,
        burst=burst,
        max_staleness_s=None,
        services=(),
        open_routes=(),
        key_hashes=(),
    )


def build_pools(clock: ManualClock, vm: str, registered: int) -> RegionalPools:
    return RegionalPools(clock=clock, local_vm=vm, count_registered=lambda: registered)


class PoolTest(TestCase):
    def test_pool_owns_the_part_of_the_proxies_that_it_hears(self) -> None:
        """Guards against a pool that also gives out what cut-off proxies use on their own."""
        clock = ManualClock()
        pools = build_pools(clock, "a1", 9)
        self.assertEqual(1 / 9, pools.fraction())
        pools.hear("a2")
        pools.hear("a3")
        self.assertEqual(3 / 9, pools.fraction())
        clock.now += HEARD_S + 0.1
        self.assertEqual(1 / 9, pools.fraction())

    def test_loan_is_debited_before_it_is_credited(self) -> None:
        """Guards against loans that make tokens."""
        clock = ManualClock()
        lender, borrower = build_pools(clock, "a1", 2), build_pools(clock, "b1", 2)
        account = build_account()
        clock.now += 10
        lender.take(account, 0)
        borrower.take(account, 0)
        clock.now += 10
        before = lender.take(account, 0)
        lent = lender.lend(account, 10)
        self.assertEqual(0, before)
        self.assertTrue(0 < lent <= 7.5)
        borrower.deposit(account, lent)
        total = lender.take(account, 100) + borrower.take(account, 100)
        self.assertTrue(total <= 30, total)

    @settings(max_examples=40, deadline=None)
    @given(seed=st.integers(min_value=0, max_value=2**32))
    def test_fleet_stays_within_rate_and_burst_under_cuts(self, seed: int) -> None:
        """Guards against a limit that is exceeded while proxies are cut off from their pools.

        The bound allows each change of a proxy's pool its part of the rate for HEARD_S.
        """
        source, clock = Random(seed), ManualClock()
        account = build_account()
        names = [f"{region}{index}" for region in "abc" for index in range(3)]
        pools = {region: build_pools(clock, f"{region}0", 9) for region in "abc"}
        alone = {name: LocalAllowance(clock=clock, count_proxies=lambda: 9) for name in names}
        cut: set[str] = set()
        admissions: list[float] = []
        changes = 0
        for step in range(2000):
            clock.now += 0.01
            if source.random() < 0.002:
                name = source.choice([entry for entry in names if not entry.endswith("0")])
                cut ^= {name}
                changes += 1
            if step % 50 == 0:
                for name in names:
                    if name not in cut:
                        pools[name[0]].hear(name)
            for name in names:
                if source.random() < 0.5:
                    taken = (
                        alone[name].take(account)
                        if name in cut
                        else pools[name[0]].take(account, 1) == 1
                    )
                    if taken:
                        admissions.append(clock.now)
        window_s = 5.0
        worst = max(
            sum(1 for at in admissions if start <= at < start + window_s) for start in admissions
        )
        part = account.rate_per_s / 9
        # Local buckets keep up to one proxy's burst each while they are not used.
        moved = changes * (part * HEARD_S + account.burst / 9)
        self.assertTrue(worst <= 60 * window_s + 30 + 9 + moved, (worst, changes))


class FleetStartTest(TestCase):
    def test_proxies_that_start_together_stay_within_the_operators_window(self) -> None:
        """Guards against pools that each own the whole limit until all proxies have registered."""
        clock, started_at = ManualClock(), ManualClock().now
        counts = dict.fromkeys("abcde", 1)
        pools = {
            name: RegionalPools(
                clock=clock, local_vm=name, count_registered=lambda name=name: counts[name]
            )
            for name in counts
        }
        account = fit_account(build_account(20.0, 20.0), WINDOW)
        taken = 0
        while clock.now < started_at + WINDOW.length_s:
            clock.now += 0.01
            if clock.now > started_at + 0.4:
                counts.update(dict.fromkeys(counts, len(counts)))
            taken += sum(pool.take(account, 1) for pool in pools.values())
        self.assertLessEqual(taken, WINDOW.count_allowed(20.0, 20.0))

    def test_proxy_that_starts_alone_admits_at_once(self) -> None:
        """Guards against refusing the first requests after a restart."""
        clock = ManualClock()
        pools = build_pools(clock, "a", 1)
        self.assertLess(0, pools.take(build_account(20.0, 20.0), 1))


WINDOW = LimitWindow(length_s=5.0, overage=0.1, slack=20.0)


class WindowTest(TestCase):
    window = WINDOW

    @given(rate=st.floats(min_value=1, max_value=500), ratio=st.floats(min_value=0.5, max_value=2))
    def test_fitted_bucket_stays_within_the_operators_window(
        self, rate: float, ratio: float
    ) -> None:
        """Guards against a fitted bucket that admits more than the operator allows."""
        burst = max(1.0, rate * ratio)
        fitted = fit_account(build_account(rate, burst), self.window)
        admitted = fitted.rate_per_s * 5 + fitted.burst
        if fitted.rate_per_s > rate:
            allowed = self.window.count_allowed(rate, burst)
            self.assertTrue(admitted <= 0.9201 * allowed, (admitted, allowed))

    def test_busy_account_gets_rate_and_burst_in_each_window(self) -> None:
        """Guards against refusing a busy account below what the operator allows."""
        for rate in (12.0, 37.0, 64.0):
            fitted = fit_account(build_account(rate, rate), self.window)
            self.assertTrue(fitted.rate_per_s * 5 >= rate * 5 + 0.9 * rate, rate)


def find_account(prepared: PreparedPlatform, name: str) -> ClientAccount:
    account = prepared.proxies["vm-0"].catalog.find_account(name)
    assert account is not None
    return account


async def count_admissions(
    limiters: list[RegionalLimiter], account: ClientAccount, *, duration_s: float
) -> int:
    """Ask all limiters as often as they allow it."""
    admitted, loop = 0, asyncio.get_running_loop()
    end = loop.time() + duration_s
    while loop.time() < end:
        answers = await asyncio.gather(
            *(limiter.acquire(account, timeout_s=1.0) for limiter in limiters)
        )
        admitted += answers.count(None)
        await asyncio.sleep(0.01)
    return admitted


class LimitedFleetTest(TestCase):
    def test_account_over_its_rate_is_refused_with_a_time_and_others_are_not(self) -> None:
        """Guards against limits that count at one proxy only, and against refusing others."""
        manifest = build_manifest()
        manifest["tenants"][0].update({"rate-per-s": 10, "burst": 5})

        async def scenario() -> None:
            async with run_prepared_platform(manifest=manifest) as prepared:
                await asyncio.sleep(1.0)
                clients = [await proxy.open("stock") for proxy in prepared.proxies.values()]
                served, refused = 0, []
                for _ in range(20):
                    answers = await asyncio.gather(*(entry.query("READ a") for entry in clients))
                    served += sum("COMPLETE" in answer[1] for answer in answers)
                    refused += [answer[0] for answer in answers if "BUSY" in answer[0]]
                self.assertTrue(1 <= served <= 25, served)
                self.assertTrue(all("retry after" in line for line in refused), refused[:1])
                other = await prepared.proxies["vm-0"].open("stock", "crew-key")
                self.assertIn("COMPLETE", (await other.query("READ a"))[1])

        run(scenario())

    def test_leaving_pool_does_not_count_twice_while_the_store_is_down(self) -> None:
        """Guards against a second pool for a proxy that leaves before the others learn of it."""
        manifest = build_manifest()
        manifest["tenants"][0].update({"rate-per-s": 20, "burst": 20})

        async def scenario() -> None:
            async with run_prepared_platform(proxies=6, manifest=manifest) as prepared:
                proxies = [proxy.kernel for proxy in prepared.proxies.values()]
                limiters = [kernel.find("limits", RegionalLimiter) for kernel in proxies]
                name = str(manifest["tenants"][0]["name"])
                account = find_account(prepared, name)
                await count_admissions(limiters, account, duration_s=3.0)
                prepared.store.faults.down = True
                await asyncio.sleep(0.1)
                for kernel in proxies[:3]:
                    kernel.find("fleet", FleetService).leave()
                admitted = await count_admissions(limiters, account, duration_s=WINDOW.length_s)
                # The settings of these proxies allow no tolerance.
                self.assertLessEqual(admitted, 20 * WINDOW.length_s + 20)

        run(scenario())

    def test_gone_proxy_is_taken_off_the_register(self) -> None:
        """Guards against a proxy that is gone and keeps its part of all limits for ever."""
        from lentilring.limits import regional

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                entry = {
                    "address": "127.0.0.1:1",
                    "failure-domain": "casa-a",
                    "region": "casablanca",
                    "incarnation": 1,
                    "weight": 1.0,
                    "leaving": False,
                }
                prepared.store.put("lentilring-proxies", "vm-gone", entry)
                for _ in range(100):
                    await asyncio.sleep(0.1)
                    if prepared.store.read("lentilring-proxies", "vm-gone") is None:
                        break
                self.assertIsNone(prepared.store.read("lentilring-proxies", "vm-gone"))
                self.assertIsNotNone(prepared.store.read("lentilring-proxies", "vm-0"))

        saved, regional.GONE_S = regional.GONE_S, 1.0
        try:
            run(scenario())
        finally:
            regional.GONE_S = saved
