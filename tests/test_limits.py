"""Rate limits over a fleet: the bound on admissions, and refusals, under faults."""

import asyncio
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import logbook
import testtools

from bench.limits import measure
from lentilring.limits import lender
from lentilring.limits.bucket import GRANT_LIFETIME_S
from lentilring.limits.messages import (
    GrantReport,
    TokenAnswer,
    TokenGrant,
    TokenRequest,
    TokenStatus,
)
from lentilring.limits.shares import choose_shares
from lentilring.outcomes import RefusalReason
from lentilring.platform.store import StoreUnavailable

from .limit_fleet import Fleet, Proxy, make_account
from .virtual_time import run_virtual

TOLERANCE = 1e-6  # of a token, for sums of floating-point times


class LimitTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def play(
        self,
        story: Callable[[Fleet], Awaitable[None]],
        *,
        rate: float = 100.0,
        burst: float = 40.0,
        **options: Any,
    ) -> None:
        """Start a fleet with one account and run a story on it."""

        async def live() -> None:
            fleet = Fleet(accounts=[make_account("a", rate, burst)], **options)
            # Full buckets, or the bound would have slack that hides an excess.
            await fleet.start(settle_s=30 + burst / rate)
            await story(fleet)

        run_virtual(live())

    def find_holder(self, fleet: Fleet) -> Proxy:
        """Return a holder of a share that the account uses."""
        return next(
            proxy
            for proxy in fleet.proxies
            if any("a" in tenure.buckets for tenure in proxy.service.lender.tenures.values())
        )

    def assert_bound(self, fleet: Fleet, **options: float) -> None:
        self.assertGreater(fleet.count_admitted(), 0)
        self.assertLessEqual(fleet.find_excess(**options), TOLERANCE)

    def assert_refused_part(self, fleet: Fleet, part: float) -> None:
        total = fleet.count_admitted() + fleet.count_refused()
        self.assertLessEqual(fleet.count_refused(), part * total)


class HealthyFleetTest(LimitTest):
    def test_hot_account_at_one_proxy(self) -> None:
        """Guards against a peer call for each request and against lost parts of the rate."""

        async def story(fleet: Fleet) -> None:
            calls, stored = fleet.network.calls, dict(fleet.table.calls)
            await fleet.load("a", rate=1600, seconds=10, weights=[1.0] + [0.0] * 8)
            await fleet.finish()
            self.assert_bound(fleet)
            self.assert_refused_part(fleet, 0.001)
            self.assertLess(fleet.network.calls - calls, fleet.count_admitted() / 20)
            self.assertEqual(stored, dict(fleet.table.calls))

        self.play(story, rate=2000, burst=1000)

    def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        """Guards against store calls of each node."""
        counts = []

        async def story(fleet: Fleet) -> None:
            await asyncio.sleep(3600)
            counts.append(fleet.table.calls["put"])
            self.assertLess(sum(fleet.table.calls.values()), 8 * (3 + 7))

        for proxies in (3, 30):
            self.play(story, proxies=proxies)
        self.assertAlmostEqual(counts[0], counts[1], delta=8)

    def test_small_bursts_are_whole(self) -> None:
        """Guards against parts of a token that no proxy can use."""
        for burst in (1, 2, 5):

            async def story(fleet: Fleet, burst: int = burst) -> None:
                # A share that moved to another proxy starts empty; all have moved by then.
                await asyncio.sleep(60)
                for _ in range(2):
                    requests = [
                        fleet.request(fleet.proxies[number % 9], "a", timeout_s=0.1)
                        for number in range(12)
                    ]
                    outcomes = await asyncio.gather(*requests)
                    self.assertEqual(burst, outcomes.count(None))
                    await asyncio.sleep(20)
                self.assert_bound(fleet)

            self.play(story, rate=0.5, burst=burst)

    def test_small_account_gets_its_rate(self) -> None:
        """Guards against reports of use so late that buckets of one token stop filling."""
        for burst in (1, 2, 5):

            async def story(fleet: Fleet) -> None:
                for number in range(200):
                    await fleet.request(fleet.proxies[number % 9], "a", timeout_s=0.5)
                    await asyncio.sleep(0.25)
                self.assertEqual(0, fleet.count_refused())

            self.play(story, rate=5, burst=burst)

    def test_refusals_give_their_reason(self) -> None:
        """Guards against a refusal that blames the account for a fault, or the reverse."""

        async def story(fleet: Fleet) -> None:
            requests = [fleet.request(fleet.proxies[0], "a") for _ in range(200)]
            refused = [outcome for outcome in await asyncio.gather(*requests) if outcome]
            self.assertEqual({RefusalReason.RATE_EXCEEDED}, {entry.reason for entry in refused})
            self.assertTrue(all(entry.retry_after_s > 0 for entry in refused))
            idle = next(entry for entry in fleet.proxies if not entry.service.lender.tenures)
            fleet.network.isolate(idle.member.address)
            outcome = await fleet.request(idle, "a")
            self.assertEqual(RefusalReason.LIMIT_UNAVAILABLE, outcome.reason)
            self.assertEqual(1, idle.telemetry.read("limit_refusals", reason="limit_unavailable"))

        self.play(story)

    def test_idle_tokens_return(self) -> None:
        """Guards against tokens that stay at a proxy whose traffic moved on."""

        async def story(fleet: Fleet) -> None:
            first, second = fleet.proxies[:2]
            for _ in range(30):
                await fleet.request(first, "a")
            await asyncio.sleep(0.3)
            left = sum(
                bucket.outstanding
                for proxy in fleet.proxies
                for tenure in proxy.service.lender.tenures.values()
                for bucket in tenure.buckets.values()
            )
            self.assertEqual(0.0, left)

        self.play(story, rate=100, burst=200)

    def test_wrong_holder_answers_with_a_hint(self) -> None:
        """Guards against proxies that need the store to find a new holder."""

        async def story(fleet: Fleet) -> None:
            idle = next(entry for entry in fleet.proxies if not entry.service.lender.tenures)
            request = TokenRequest(
                account="a",
                needed=1.0,
                wanted=1.0,
                borrow=True,
                fractional=False,
                lender_incarnation=1,
                reports=(),
            )
            answer = await idle.service.lender.serve(request)
            self.assertIs(TokenStatus.NOT_HOLDER, answer.status)
            self.assertEqual(8, len(answer.holders))
            directory, known = idle.service.directory, answer.holders[0]
            directory.merge([replace(known, vm="vm-old", version=known.version - 1)])
            self.assertEqual(known, directory.find(known.share))

        self.play(story)


class HolderFaultTest(LimitTest):
    async def overload(self, fleet: Fleet, seconds: float) -> None:
        rate = max(80, 3 * fleet.accounts["a"].rate_per_s)
        await fleet.load("a", rate=rate, seconds=seconds)
        await fleet.finish()

    def test_holder_paused_past_its_lease(self) -> None:
        """Guards against grants by a process that does not know that its lease ended."""

        async def story(fleet: Fleet) -> None:
            load = asyncio.ensure_future(self.overload(fleet, 90))
            await asyncio.sleep(10.0371)
            holder = self.find_holder(fleet)
            held = set(holder.service.lender.tenures)
            holder.pause()
            await asyncio.sleep(60)
            others = [entry for entry in fleet.proxies if entry is not holder]
            taken = {share for entry in others for share in entry.service.lender.tenures}
            self.assertLessEqual(held, taken)
            holder.resume()
            await load
            self.assert_bound(fleet)

        self.play(story, lease_duration_s=20, lease_margin_s=1, early_takeover=False)

    def test_resumed_holder_that_cannot_reach_the_store(self) -> None:
        """Guards against grants after a pause by a holder that cannot learn of the takeover."""

        async def story(fleet: Fleet) -> None:
            load = asyncio.ensure_future(self.overload(fleet, 60))
            await asyncio.sleep(5.0371)
            holder = self.find_holder(fleet)
            holder.pause()
            holder.store.down = True
            await asyncio.sleep(40)
            fleet.network.isolate(holder.member.address)
            holder.resume()
            await load
            self.assert_bound(fleet)

        self.play(story, lease_duration_s=20, lease_margin_s=1, early_takeover=False)

    def test_no_grants_at_the_edges_of_the_lease(self) -> None:
        """Guards against grants or loans that overlap with those of another holder."""

        async def story(fleet: Fleet) -> None:
            holder = self.find_holder(fleet)
            tenure = next(t for t in holder.service.lender.tenures.values() if "a" in t.buckets)
            request = TokenRequest(
                account="a",
                needed=1.0,
                wanted=1.0,
                borrow=False,
                fractional=False,
                lender_incarnation=1,
                reports=(),
            )
            for held in holder.service.lender.tenures.values():
                held.lease.renew_at = float("inf")
            clock = holder.service._clock
            for held in holder.service.lender.tenures.values():
                held.lease.usable_from = clock.monotonic() + 1
            answer = await holder.service.lender.serve(request)
            self.assertIs(TokenStatus.NOT_HOLDER, answer.status)
            await asyncio.sleep(1)
            for held in holder.service.lender.tenures.values():
                held.closing = True
            answer = await holder.service.lender.serve(request)
            self.assertIs(TokenStatus.NOT_HOLDER, answer.status)
            for held in holder.service.lender.tenures.values():
                held.closing = False
            await asyncio.sleep(tenure.lease.expires_at - clock.monotonic() - 1.0)
            answer = await holder.service.lender.serve(request)
            self.assertIs(TokenStatus.GRANTED, answer.status)
            await asyncio.sleep(0.7)
            answer = await holder.service.lender.serve(request)
            self.assertIs(TokenStatus.NOT_HOLDER, answer.status)

        self.play(story)

    def test_holder_restarted(self) -> None:
        """Guards against a new incarnation that adds to the grants of the old one."""

        async def story(fleet: Fleet) -> None:
            load = asyncio.ensure_future(self.overload(fleet, 20))
            await asyncio.sleep(8.0371)
            holder = self.find_holder(fleet)
            index, held = fleet.proxies.index(holder), set(holder.service.lender.tenures)
            holder.kill()
            await fleet.restart(index)
            await asyncio.sleep(4)
            self.assertLessEqual(held, {*fleet.proxies[index].service.lender.tenures})
            await load
            self.assert_bound(fleet)

        self.play(story)

    def test_holder_removed_from_the_list(self) -> None:
        """Guards against a share that stays without a holder for the rest of a long lease."""

        async def story(fleet: Fleet) -> None:
            load = asyncio.ensure_future(self.overload(fleet, 30))
            await asyncio.sleep(8.0371)
            holder = self.find_holder(fleet)
            held = set(holder.service.lender.tenures)
            holder.kill()
            await asyncio.sleep(5)
            fleet.remove_from_vm_list(holder.member)
            await asyncio.sleep(4)
            others = [entry for entry in fleet.proxies if entry is not holder]
            taken = {share for entry in others for share in entry.service.lender.tenures}
            self.assertLessEqual(held, taken)
            await load
            self.assert_bound(fleet)

        # With a low rate, the gap in filling cannot hide a bucket that starts full.
        for rate, burst in ((100, 40), (5, 200)):
            self.play(story, rate=rate, burst=burst)

    def test_graceful_release(self) -> None:
        """Guards against refusals during a planned restart."""

        async def story(fleet: Fleet) -> None:
            load = asyncio.ensure_future(fleet.load("a", rate=80, seconds=30))
            await asyncio.sleep(8.0371)
            holder = self.find_holder(fleet)
            held = set(holder.service.lender.tenures)
            fleet.members = tuple(entry for entry in fleet.members if entry != holder.member)
            await holder.service.drain(deadline_s=10)
            self.assertEqual({}, holder.service.lender.tenures)
            await asyncio.sleep(2)
            others = [entry for entry in fleet.proxies if entry is not holder]
            taken = {share for entry in others for share in entry.service.lender.tenures}
            self.assertLessEqual(held, taken)
            await load
            await fleet.finish()
            self.assert_bound(fleet)
            self.assert_refused_part(fleet, 0.01)

        self.play(story)

    def test_release_waits_for_outstanding_grants(self) -> None:
        """Guards against a released share whose old grants are still in use."""

        async def story(fleet: Fleet) -> None:
            holder = self.find_holder(fleet)
            tenures = holder.service.lender.tenures.items()
            share, bucket = next((s, t.buckets["a"]) for s, t in tenures if "a" in t.buckets)
            bucket.lend(10**6, 1.0)
            drained = asyncio.ensure_future(holder.service.drain(deadline_s=10))
            await asyncio.sleep(GRANT_LIFETIME_S)
            record = fleet.table.get("share", str(share))
            self.assertEqual(holder.member.vm, record.value["vm"])
            await drained
            self.assertEqual("", fleet.table.get("share", str(share)).value["vm"])

        self.play(story)

    def test_release_that_fails_is_made_good(self) -> None:
        """Guards against a share whose live holder neither holds nor released it."""

        async def story(fleet: Fleet) -> None:
            holder = self.find_holder(fleet)
            share = next(iter(holder.service.lender.tenures))
            holder.service.lender.tenures[share].closing = True
            holder.store.down = True
            await holder.service.lease_manager._release(
                share, holder.service._clock.monotonic() + 1
            )
            self.assertNotIn(share, holder.service.lender.tenures)
            await asyncio.sleep(20)
            holder.store.down = False
            await asyncio.sleep(10)
            self.assertIs(holder, fleet.find_holder(share))

        self.play(story)

    def test_lost_answers_create_no_tokens(self) -> None:
        """Guards against tokens that lender and borrower both count as theirs."""

        async def story(fleet: Fleet) -> None:
            addresses = [entry.member.address for entry in fleet.proxies]
            load = asyncio.ensure_future(self.overload(fleet, 30))
            for step in range(60):
                lost = [
                    (a, b)
                    for a in addresses
                    for b in addresses
                    if zlib.crc32(f"{a}{b}{step}".encode()) % 3 == 0
                ]
                fleet.network.links_losing_answers = set(lost)
                fleet.proxies[step % 9].store.lose_next_answers = 1
                await asyncio.sleep(0.5)
            fleet.network.heal()
            await load
            self.assert_bound(fleet)

        self.play(story, lease_duration_s=10, lease_margin_s=1)

    def test_late_answer_is_not_used(self) -> None:
        """Guards against tokens that the lender counts as expired and lent again."""

        async def story(fleet: Fleet) -> None:
            idle = next(entry for entry in fleet.proxies if not entry.service.lender.tenures)
            request = asyncio.ensure_future(fleet.request(idle, "a", timeout_s=5))
            await asyncio.sleep(0.0015)  # the request has arrived, the answer is on its way
            idle.pause()
            await asyncio.sleep(3)
            self.assertEqual(0, fleet.count_admitted())
            loans = idle.service.requester._pools["a"].loans
            idle.resume()
            await asyncio.sleep(0)
            self.assertTrue(
                all(loan.expires_at < idle.service._clock.monotonic() for loan in loans)
            )
            await request
            requests = [fleet.request(idle, "a", timeout_s=0.2) for _ in range(90)]
            await asyncio.gather(*requests)
            self.assert_bound(fleet)

        self.play(story)

    def test_late_borrowed_tokens_are_not_used(self) -> None:
        """Guards against a holder that was paused while it borrowed."""

        async def story(fleet: Fleet) -> None:
            service = self.find_holder(fleet).service
            account = fleet.accounts["a"]
            buckets = service.lender._open_buckets(account)
            for share, bucket in buckets:
                bucket.lend(share, 5.0)
                bucket.report(share, used=5.0, returned=0.0)
            before = [bucket.level for _, bucket in buckets]
            answer = TokenAnswer(
                status=TokenStatus.GRANTED,
                incarnation=1,
                lifetime_s=GRANT_LIFETIME_S,
                retry_after_s=0.0,
                level=0.0,
                grants=(TokenGrant(share=0, grant=1, amount=1.0),),
                holders=(),
            )
            now = service._clock.monotonic()
            service.lender._deposit(account, "10.0.0.8:7000", answer, now - GRANT_LIFETIME_S)
            self.assertEqual(before, [bucket.level for _, bucket in buckets])

        self.play(story)

    def test_reports_for_an_earlier_process_are_ignored(self) -> None:
        """Guards against returns that a restarted holder credits to another grant."""

        async def story(fleet: Fleet) -> None:
            holder = self.find_holder(fleet)
            tenures = holder.service.lender.tenures.items()
            share, bucket = next(
                (share, tenure.buckets["a"]) for share, tenure in tenures if "a" in tenure.buckets
            )
            bucket.lend(7, 2.0)
            report = GrantReport(account="a", share=share, grant=7, used=0.0, returned=2.0)
            holder.service.lender.apply_reports(0, [report])
            self.assertEqual(2.0, bucket.outstanding)
            holder.service.lender.apply_reports(1, [report])
            self.assertEqual(0.0, bucket.outstanding)

        self.play(story)

    def test_store_outage_of_ten_minutes(self) -> None:
        """Guards against a service that stops with the store."""

        async def story(fleet: Fleet) -> None:
            for proxy in fleet.proxies:
                proxy.store.down = True
            await fleet.load("a", rate=24, seconds=600)
            for proxy in fleet.proxies:
                proxy.store.down = False
            await fleet.load("a", rate=24, seconds=30)
            await fleet.finish()
            self.assert_bound(fleet)
            self.assert_refused_part(fleet, 0.001)

        self.play(story, rate=30, burst=40)

    def test_contenders_spare_a_store_that_is_down(self) -> None:
        """Guards against an outage in which all contenders call the store at every tick."""

        async def story(fleet: Fleet) -> None:
            for proxy in fleet.proxies:
                proxy.store.down = True
            holder = self.find_holder(fleet)
            held = len(holder.service.lender.tenures)
            holder.kill()
            fleet.remove_from_vm_list(holder.member)
            calls = sum(fleet.table.calls.values())
            await asyncio.sleep(60)
            # Three contenders for each share, at least 4 s apart.
            self.assertLess(sum(fleet.table.calls.values()) - calls, 3 * held * 60 / 4)
            for proxy in fleet.proxies:
                proxy.store.down = False
            await asyncio.sleep(7)
            taken = [s for p in fleet.proxies if p.running for s in p.service.lender.tenures]
            self.assertEqual(list(range(8)), sorted(taken))

        self.play(story)

    def test_clock_rates_that_differ(self) -> None:
        """Guards against clocks that run fast or slow by half a percent."""

        async def story(fleet: Fleet) -> None:
            load = asyncio.ensure_future(self.overload(fleet, 90))
            await asyncio.sleep(10.0371)
            holder = self.find_holder(fleet)
            holder.pause()
            await asyncio.sleep(50)
            holder.resume()
            await load
            self.assert_bound(fleet)

        self.play(
            story,
            clock_rates=(1.005, 0.995),
            clock_tolerance=0.005,
            lease_duration_s=20,
            lease_margin_s=1,
            early_takeover=False,
        )


class ChangeTest(LimitTest):
    def change(self, burst: float, rate: float, burst_after: float, rate_after: float) -> None:
        """Change an account under overload at a moment when its burst is unspent."""

        async def story(fleet: Fleet) -> None:
            for pause in (0.0, 1.0, 5.5):
                fleet.configure(account=make_account("a", rate_after, burst_after))
                changed_at = fleet.now
                await asyncio.sleep(pause)
                await fleet.load("a", rate=6 * max(rate, rate_after), seconds=8)
                await fleet.finish()
                highest = make_account("a", max(rate, rate_after), max(burst, burst_after))
                fleet.accounts["a"], kept = highest, fleet.accounts["a"]
                self.assert_bound(fleet)
                fleet.accounts["a"] = kept
                self.assert_bound(fleet, after=changed_at + lender.CHANGE_OVER_S)
                fleet.admitted.clear()
                fleet.configure(account=make_account("a", rate, burst))
                await asyncio.sleep(30)

        self.play(story, rate=rate, burst=burst)

    def test_account_changes_under_traffic(self) -> None:
        """Guards against old and new parts that add up while holders change one by one."""
        self.change(23.9, 10, 24, 10)
        self.change(64, 40, 8, 10)
        self.change(8, 10, 64, 40)
        self.change(40, 40, 40, 5)

    def test_share_that_an_account_begins_to_use_starts_empty(self) -> None:
        """Guards against a whole part of the burst on top of what was just spent elsewhere."""

        async def story(fleet: Fleet) -> None:
            fleet.configure(account=make_account("a", 0.5, 24))
            await fleet.load("a", rate=30, seconds=15)
            await fleet.finish()
            self.assert_bound(fleet)

        self.play(story, rate=0.5, burst=23.9)

    def test_holders_that_learn_of_a_change_at_different_times(self) -> None:
        """Guards against old parts of one holder beside new parts of another."""
        # The burst is spent while only the new share's holder knows of the change, then while
        # that holder is past the change-over and the others have just learned of it.
        for spent_after_s in (4.4, 9.3):

            async def story(fleet: Fleet, spent_after_s: float = spent_after_s) -> None:
                new = choose_shares("a", 24, 8)[-1]
                first = fleet.find_holder(new)
                self.assertFalse({0, 4} & set(first.service.lender.tenures))
                fleet.accounts["a"] = first.accounts["a"] = make_account("a", 10, 24)
                fleet.call_later(4.5, fleet.configure)
                await asyncio.sleep(spent_after_s)
                requests = [fleet.request(first, "a", timeout_s=0.3) for _ in range(60)]
                await asyncio.gather(*requests)
                self.assertGreater(fleet.count_admitted(), 20)
                self.assert_bound(fleet)

            self.play(story, rate=10, burst=23.9)

    def test_no_grants_before_the_records_were_read(self) -> None:
        """Guards against a new holder that divides by a number of shares that others left."""

        async def story(fleet: Fleet) -> None:
            holder = self.find_holder(fleet)
            index = fleet.proxies.index(holder)
            holder.kill()

            async def fail(kinds: object) -> Any:
                raise StoreUnavailable(operation="list")

            restarted = fleet.add_proxy(replace(holder.member, incarnation=2))
            restarted.store.list = fail  # type: ignore[method-assign]
            fleet.ended.append(holder)
            fleet.proxies[index] = restarted
            await restarted.service.start()
            await asyncio.sleep(5)
            lender = restarted.service.lender
            self.assertNotEqual({}, lender.tenures)
            self.assertEqual([], lender._open_buckets(fleet.accounts["a"]))
            del restarted.store.list
            await asyncio.sleep(6)
            self.assertNotEqual([], lender._open_buckets(fleet.accounts["a"]))

        self.play(story)

    def test_number_of_shares_changes_under_traffic(self) -> None:
        """Guards against holders that divide by different numbers."""
        for before, after in ((8, 5), (5, 8), (8, 16)):

            async def story(fleet: Fleet, after: int = after) -> None:
                load = asyncio.ensure_future(fleet.load("a", rate=300, seconds=40))
                await asyncio.sleep(5.0371)
                fleet.configure(shares=after)
                await load
                await fleet.finish()
                self.assert_bound(fleet)
                held = [s for proxy in fleet.proxies for s in proxy.service.lender.tenures]
                self.assertEqual(list(range(after)), sorted(held))
                # The last seconds again reach the whole rate.
                late = [time for time in fleet.admitted["a"] if fleet.now - 12 < time]
                self.assertGreater(len(late), 0.95 * 100 * 10)

            self.play(story, burst=100, shares=before)

    def test_node_with_an_old_number_of_shares(self) -> None:
        """Guards against a holder that has not heard of a new number of shares."""

        async def story(fleet: Fleet) -> None:
            old = next(entry for entry in fleet.proxies if entry.service.lender.tenures)
            fleet.configure(shares=5)
            fleet.call_later(2.5, setattr, old, "shares", 8)
            await fleet.load("a", rate=300, seconds=30)
            await fleet.finish()
            self.assert_bound(fleet)

        self.play(story, burst=100)


class BenchTest(LimitTest):
    def test_bench_keeps_the_aims(self) -> None:
        """Guards against changes that raise wrongful refusals or admit too much."""
        for scenario, aim in (("even", 0.001), ("one proxy", 0.001), ("killed", 0.01)):
            result = measure(("chosen", scenario, 1, 30.0, 0.8))
            self.assertLessEqual(result.wrongful, aim * result.requests, scenario)
            self.assertEqual(0.0, result.excess)
