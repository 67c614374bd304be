"""Token buckets and the division of limits, checked against all windows."""

import math
from fractions import Fraction

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lentilring.limits.bucket import GRANT_LIFETIME_S, GRANT_MARGIN_S, TokenBucket
from lentilring.limits.shares import (
    choose_shares,
    count_shares,
    divide_amount,
    divide_limits,
    order_holders,
)

from .limit_fleet import LimitMember, find_excess


class StepClock:
    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["lend", "use", "use-lost", "return", "return-lost", "deposit"]),
        st.integers(min_value=0, max_value=9),
        st.floats(min_value=0.0, max_value=0.7),
    ),
    max_size=60,
)


class BucketTest(testtools.TestCase):
    def run_steps(self, rate: float, burst: float, steps: list[tuple[str, int, float]]) -> None:
        """Play random borrowers of two buckets and check all windows of all uses."""
        clock = StepClock()
        buckets = [TokenBucket(clock=clock, rate_per_s=rate, burst=burst) for _ in range(2)]
        uses: list[tuple[float, float]] = []
        grants: list[dict] = []
        for number, (action, pick, wait) in enumerate(steps):
            clock.now += wait
            bucket = buckets[pick % 2]
            if action == "lend":
                lent = bucket.lend(number, pick)
                # The answer and the request take time: the borrower counts from earlier.
                grants.append(
                    {"id": number, "left": lent, "used": 0.0, "back": 0.0, "bucket": bucket}
                    | {"end": clock.now - 0.05 * (pick % 3) + GRANT_LIFETIME_S}
                )
            elif grants:
                self.act(action, grants[pick % len(grants)], clock, buckets, uses)
            for checked in buckets:
                self.assertLessEqual(checked.level + checked.outstanding, burst + 1e-6)
                usable = [g for g in grants if g["bucket"] is checked and clock.now < g["end"]]
                held = sum(grant["left"] for grant in usable)
                self.assertLessEqual(checked.level + held, burst + 1e-6)
        self.assertLessEqual(find_excess(uses, rate=2 * rate, burst=2 * burst), 1e-6)

    def act(
        self,
        action: str,
        grant: dict,
        clock: StepClock,
        buckets: list[TokenBucket],
        uses: list[tuple[float, float]],
    ) -> None:
        amount = min(1.0, grant["left"])
        if clock.now >= grant["end"] or amount <= 0:
            return
        if action == "deposit":
            amount = next(b for b in buckets if b is not grant["bucket"]).deposit(amount)
        elif action.startswith("use"):
            uses.append((clock.now, amount))
        grant["left"] -= amount
        grant["back" if action.startswith("return") else "used"] += amount
        if not action.endswith("lost"):
            # Reported twice: datagrams may be repeated.
            for _ in range(2):
                grant["bucket"].report(grant["id"], used=grant["used"], returned=grant["back"])

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        rate=st.floats(min_value=0.5, max_value=50),
        burst=st.floats(min_value=1, max_value=20),
        steps=STEPS,
    )
    def test_all_windows_keep_the_bound(self, rate, burst, steps) -> None:
        """Guards against tokens that are granted at one time and used later."""
        self.run_steps(rate, burst, [("lend", 9, 2.0), *steps])

    def test_unreported_grants_count_until_they_expire(self) -> None:
        """Guards against a refill beside tokens that a borrower still holds."""
        clock = StepClock()
        bucket = TokenBucket(clock=clock, rate_per_s=10, burst=5)
        clock.now = 10.0
        self.assertEqual(5.0, bucket.lend(1, 9))
        clock.now += GRANT_LIFETIME_S
        self.assertEqual(0.0, bucket.level)
        clock.now += GRANT_MARGIN_S + 0.1
        self.assertAlmostEqual(1.0, bucket.level)

    def test_lower_burst_cuts_the_level(self) -> None:
        """Guards against a withdrawn burst that can still be spent."""
        clock = StepClock()
        bucket = TokenBucket(clock=clock, rate_per_s=10, burst=20)
        clock.now = 10.0
        bucket.lend(1, 3)
        bucket.set_limits(rate_per_s=5, burst=4)
        self.assertEqual((1.0, 3.0), (bucket.level, bucket.outstanding))

    def test_fast_clock_is_slowed(self) -> None:
        """Guards against more than the rate in true seconds on a clock that runs fast."""
        clock = StepClock()
        bucket = TokenBucket(clock=clock, rate_per_s=100, burst=500, clock_tolerance=0.01)
        clock.now = 1.01
        self.assertLessEqual(bucket.level, 100.0)


class ShareTest(testtools.TestCase):
    def test_numbers_of_shares(self) -> None:
        """Guards against accounts whose tokens are split below one a share."""
        found = [count_shares(burst, 8) for burst in (1, 1.9, 2, 15, 24, 64, 999)]
        self.assertEqual([1, 1, 2, 2, 3, 8, 8], found)
        self.assertEqual(1, count_shares(100, 1))

    @settings(suppress_health_check=[HealthCheck.differing_executors], derandomize=True)
    @given(total=st.floats(min_value=1e-3, max_value=1e6), parts=st.integers(1, 512))
    def test_division_is_exact(self, total: float, parts: int) -> None:
        """Guards against shares whose sum exceeds the account's rate or burst."""
        divided = sum(map(Fraction, divide_amount(total, parts)))
        self.assertLessEqual(divided, Fraction(total))
        self.assertGreater(divided, Fraction(total) - Fraction(1, 2**20))

    def test_more_burst_only_adds_shares(self) -> None:
        """Guards against a change of burst that moves all of an account's tokens."""
        few, many = choose_shares("a", 24, 8), choose_shares("a", 64, 8)
        self.assertEqual(few, many[: len(few)])
        self.assertEqual(set(many), set(divide_limits("a", 10.0, 64.0, 8)))

    def test_near_holders_are_asked_first_and_askers_spread(self) -> None:
        """Guards against all proxies of a failure domain asking one holder."""
        members = [
            LimitMember(
                vm=f"vm{number}",
                address=f"10.0.0.{number}:1",
                failure_domain=f"fd{number % 4}",
                region=f"r{number % 2}",
            )
            for number in range(40)
        ]
        firsts: dict[str, int] = {}
        for local in members:
            others = [entry for entry in members if entry.vm != local.vm]
            ordered = order_holders("account", local, others)
            distances = [
                0 if e.failure_domain == local.failure_domain else 1 + (e.region != local.region)
                for e in ordered
            ]
            self.assertEqual(sorted(distances), distances)
            firsts[ordered[0].vm] = firsts.get(ordered[0].vm, 0) + 1
        self.assertLessEqual(max(firsts.values()), math.ceil(len(members) / 8))
