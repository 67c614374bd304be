"""Usage reports: what is counted, collected, recorded and sent while proxies and the store fail."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from itertools import pairwise
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilring.gateways.messages import (
    RunStatement,
    StatementAnswer,
    StatementKind,
    TransactionOpening,
)
from lentilring.kernel import ServiceNotFound
from lentilring.peers.tcp import TcpTransport
from lentilring.platform.boot import BootFile, build_settings
from lentilring.platform.usage import PlatformUsage
from lentilring.sessions.calls import StatementCall
from lentilring.sessions.context import ANONYMOUS_ACCOUNT
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.standin.prepared.store import PreparedStore
from lentilring.statements.model import Failure
from lentilring.usage.counts import UsageCounts, Windows, is_request
from lentilring.usage.messages import AskUsage
from lentilring.usage.record import UsageRecords
from lentilring.usage.reports import ReportResult, UsageReport
from lentilring.usage.service import UsageReporter

from .prepared import run, run_prepared_platform, wait_until
from .usage_fleet import LATE_S, LEASE_S, UsageFleet, play_random_faults
from .virtual_time import SuspensibleClock, run_virtual

RUN = RunStatement(
    request_id="r", server="s", account="planner", work=StatementKind.READ, text="READ a"
)


def make_call() -> StatementCall:
    return StatementCall(request_id="r", text="READ a", work=StatementKind.READ)


class CountTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 1000.0
        self.counts = UsageCounts(windows=Windows(length_s=5.0, now=lambda: self.now))

    def count(self, answer: StatementAnswer, **others: Any) -> bool:
        return is_request(replace(RUN, **others), answer)

    def test_statements_that_a_server_began_to_run_count(self) -> None:
        """Guards against counting refusals, or leaving out requests whose answer was lost."""
        for failure in ("", Failure.FAILED, Failure.ABORTED, Failure.TIMED_OUT, Failure.UNCERTAIN):
            self.assertTrue(self.count(StatementAnswer(failure=failure)), failure)
        for failure in (Failure.OVERLOADED, Failure.BEHIND, Failure.NOT_PRIMARY):
            self.assertFalse(self.count(StatementAnswer(failure=failure)), failure)
        unreachable = StatementAnswer(failure=Failure.ABORTED, is_unreachable=True)
        self.assertFalse(self.count(unreachable))

    def test_a_transaction_counts_once_and_anonymous_callers_do_not(self) -> None:
        """Guards against counting each statement of a transaction."""
        done = StatementAnswer()
        self.assertTrue(self.count(done, opening=TransactionOpening.READ_WRITE))
        self.assertFalse(self.count(done, transaction="t1"))
        self.assertFalse(self.count(done, account=ANONYMOUS_ACCOUNT))

    def test_a_call_that_runs_on_two_servers_counts_once(self) -> None:
        """Guards against counting a read twice that ran again on another server."""
        call = make_call()
        self.counts.record(call, RUN, StatementAnswer(failure=Failure.FAILED), age_s=0.0)
        self.counts.record(call, RUN, StatementAnswer(), age_s=0.0)
        self.counts.record(make_call(), RUN, StatementAnswer(), age_s=0.0)
        self.assertEqual({"planner": 2}, self.counts.give(200))

    def test_requests_belong_to_the_window_in_which_they_began(self) -> None:
        """Guards against counts that get lost, or move to a later window, with a late answer."""
        self.now = 1006.0
        self.counts.record(make_call(), RUN, StatementAnswer(), age_s=2.0)
        self.assertEqual({"planner": 1}, self.counts.give(200))
        self.counts.record(make_call(), RUN, StatementAnswer(), age_s=2.0)
        self.assertEqual({"planner": 1}, self.counts.give(200))
        self.assertEqual({"planner": 1}, self.counts.give(201))
        self.assertIsNone(self.counts.give(202))


class ReportTest(TestCase):
    """Play faults in a fleet; every test checks the rules for calls at its end."""

    def play(self, scenario: Callable[[UsageFleet], Awaitable[None]], *, proxies: int = 4) -> None:
        async def body() -> None:
            fleet = UsageFleet(proxies=proxies)
            await fleet.start()
            await scenario(fleet)
            self.assertEqual([], fleet.platform.find_faults())

        run_virtual(body())

    def check_window(self, fleet: UsageFleet, window: int, requests: int, *, by: int) -> None:
        call = fleet.platform.list_accepted()[window]
        self.assertEqual({"planner": requests} if requests else {}, call.counts)
        self.assertEqual(fleet.proxies[by].local.vm, call.holder)
        self.assertLessEqual(call.at, 5.0 * (window + 1) + LATE_S)

    def test_all_proxies_are_counted_and_tokens_increase(self) -> None:
        """Guards against reports that lack a proxy, and against a token that does not increase."""

        async def scenario(fleet: UsageFleet) -> None:
            for end in (5, 10, 15):
                fleet.serve_all(3)
                await fleet.run_until(end)
            await fleet.run_until(16.5)
            for window in range(3):
                self.check_window(fleet, window, 12, by=0)
            self.assertEqual(3, len(fleet.platform.calls))
            tokens = [call.token for call in fleet.platform.calls]
            self.assertEqual(sorted(set(tokens)), tokens)
            self.assertLess(fleet.proxies[3].service.report_age_s(), 6.6)

        self.play(scenario)

    def test_late_proxy_is_counted_and_a_silent_one_is_not_waited_for(self) -> None:
        """Guards against a report that is late, or lacks a proxy that answered in time."""

        async def scenario(fleet: UsageFleet) -> None:
            fleet.serve_all()
            await fleet.run_until(4.0)
            for proxy in fleet.proxies[2:]:
                proxy.pause()
            await fleet.run_until(8.0)
            fleet.proxies[2].resume()
            await fleet.run_until(12.0)
            self.check_window(fleet, 0, 3, by=0)
            self.assertEqual(1, fleet.proxies[0].telemetry.read("usage_counts_missing"))

        self.play(scenario)

    def test_reporter_that_dies_in_a_window_is_replaced(self) -> None:
        """Guards against a window without a report, or a late one, after the reporter is lost.

        Its own counts are lost with it.
        """
        for killed in (1, 2):

            async def scenario(fleet: UsageFleet, killed: int = killed) -> None:
                await fleet.run_until(8.0)
                fleet.serve_all()
                for proxy in fleet.proxies[:killed]:
                    proxy.kill()
                await fleet.run_until(22.0)
                self.check_window(fleet, 1, 4 - killed, by=killed)
                self.check_window(fleet, 2, 0, by=killed)

            self.play(scenario)

    def test_successor_repeats_a_recorded_report_exactly(self) -> None:
        """Guards against two different counts of a window after a takeover.

        The reporter dies between recording and sending. The successor's own collection would
        lack the counts of the dead reporter.
        """

        async def scenario(fleet: UsageFleet) -> None:
            fleet.serve_all()
            await fleet.run_until(2.0)
            fleet.proxies[0].store.pauses_after_put = True
            await fleet.run_until(6.0)
            fleet.proxies[0].kill()
            await fleet.run_until(18.0)
            self.check_window(fleet, 0, 4, by=1)
            self.assertGreaterEqual(fleet.platform.calls[0].at, 6.0 + LEASE_S)
            self.check_window(fleet, 1, 0, by=1)

        self.play(scenario)

    def test_reporter_suspended_after_recording_does_not_use_its_token(self) -> None:
        """Guards against a call of an earlier reporter that was suspended before it.

        A process that resumes with time before its call reads the record first.
        """

        async def scenario(fleet: UsageFleet) -> None:
            fleet.serve_all()
            first = fleet.proxies[0]
            await fleet.run_until(2.0)
            first.store.pauses_after_put = True
            await fleet.run_until(30.0)
            self.assertEqual({fleet.proxies[1].local.vm}, self.list_holders(fleet))
            first.resume()
            await fleet.run_until(31.0)
            self.assertEqual({fleet.proxies[1].local.vm}, self.list_holders(fleet))
            await fleet.run_until(50.0)
            self.check_window(fleet, 0, 4, by=1)
            self.check_window(fleet, 8, 0, by=0)

        self.play(scenario)

    def list_holders(self, fleet: UsageFleet) -> set[str]:
        return {call.holder for call in fleet.platform.calls}

    def test_reporter_suspended_at_the_call_is_fenced(self) -> None:
        """Guards against a late call of an earlier reporter, and another one after its refusal."""

        async def scenario(fleet: UsageFleet) -> None:
            fleet.serve_all()
            first = fleet.proxies[0]
            first.platform.is_paused_at_send = True
            await fleet.run_until(30.0)
            first.resume()
            await fleet.run_until(50.0)
            fenced = [c for c in fleet.platform.calls if c.result is ReportResult.FENCED]
            self.assertEqual([first.local.vm], [call.holder for call in fenced])
            self.check_window(fleet, 0, 4, by=1)
            self.check_window(fleet, 8, 0, by=0)

        self.play(scenario)

    def test_store_outage_delays_reports_and_loses_none(self) -> None:
        """Guards against a report that is sent without being recorded, or is lost in an outage."""

        async def scenario(fleet: UsageFleet) -> None:
            await fleet.run_until(8.0)
            for proxy in fleet.proxies:
                proxy.store.down = True
            for end in (10.0, 15.0, 20.0, 25.0, 30.0):
                fleet.serve_all()
                await fleet.run_until(end)
            self.assertEqual([0], [call.window for call in fleet.platform.calls])
            for proxy in fleet.proxies:
                proxy.store.down = False
            await fleet.run_until(50.0)
            accepted = fleet.platform.list_accepted()
            self.assertEqual([{"planner": 4}] * 5, [accepted[k].counts for k in range(1, 6)])

        self.play(scenario)

    def test_reporter_cut_off_from_the_store_is_passed_over(self) -> None:
        """Guards against reports that wait for a reporter which cannot record them."""

        async def scenario(fleet: UsageFleet) -> None:
            await fleet.run_until(8.0)
            fleet.proxies[0].store.down = True
            fleet.serve_all()
            await fleet.run_until(60.0)
            accepted = fleet.platform.list_accepted()
            self.assertEqual({"planner": 4}, accepted[1].counts)
            self.assertEqual(list(range(10)), sorted(accepted)[:10])
            late = [c for c in accepted.values() if c.at > 5.0 * (c.window + 1) + LATE_S]
            self.assertEqual([], late)

        self.play(scenario)

    def test_lost_answer_of_the_store_does_not_change_the_counts(self) -> None:
        """Guards against recording a window again after a write whose answer was lost."""

        async def scenario(fleet: UsageFleet) -> None:
            fleet.serve_all()
            await fleet.run_until(2.0)
            fleet.proxies[0].store.lose_next_answers = 1
            await fleet.run_until(6.0)
            fleet.serve_all()
            await fleet.run_until(12.0)
            self.check_window(fleet, 0, 4, by=0)
            self.check_window(fleet, 1, 4, by=0)

        self.play(scenario)

    def test_unanswered_calls_are_repeated_unchanged_with_a_pause(self) -> None:
        """Guards against a report that is lost, or changed, while the platform does not answer."""

        async def scenario(fleet: UsageFleet) -> None:
            fleet.serve_all()
            fleet.platform.is_silent = True
            await fleet.run_until(14.0)
            fleet.platform.is_silent = False
            await fleet.run_until(22.0)
            calls = [call for call in fleet.platform.calls if call.window == 0]
            self.assertEqual(1, len({call.token for call in calls}))
            self.assertGreater(len(calls), 3)
            self.assertLess(len(calls), 10)
            self.assertEqual([0, 1, 2, 3], sorted(fleet.platform.list_accepted()))

        self.play(scenario)

    def test_busy_platform_is_asked_again_after_a_pause(self) -> None:
        """Guards against repeats that keep the platform over its rate of calls."""

        async def scenario(fleet: UsageFleet) -> None:
            fleet.platform.busy_calls = 3
            await fleet.run_until(9.0)
            times = [call.at for call in fleet.platform.calls]
            self.assertEqual(4, len(times))
            self.assertTrue(all(later - first >= 0.5 for first, later in pairwise(times)), times)

        self.play(scenario)

    def test_refused_token_is_not_used_again(self) -> None:
        """Guards against a second call with a token that the platform has refused.

        The record is still the reporter's, so its next token comes from another write.
        """

        async def scenario(fleet: UsageFleet) -> None:
            fleet.serve_all()
            fleet.platform.fence = 4
            await fleet.run_until(9.0)
            results = [call.result for call in fleet.platform.calls]
            self.assertEqual([ReportResult.FENCED] * 2 + [ReportResult.ACCEPTED], results)
            self.check_window(fleet, 0, 4, by=0)

        self.play(scenario)

    def test_rejected_report_does_not_hold_up_later_ones(self) -> None:
        """Guards against a window that the platform never accepts and that blocks all others."""

        async def scenario(fleet: UsageFleet) -> None:
            fleet.platform.rejected_windows = {0}
            await fleet.run_until(12.0)
            self.assertEqual([1], sorted(fleet.platform.list_accepted()))

        self.play(scenario)

    def test_reporter_with_a_wrong_clock_does_not_report_the_future(self) -> None:
        """Guards against a record of windows to come, which keeps the true ones from reports."""

        async def scenario(fleet: UsageFleet) -> None:
            await fleet.run_until(8.0)
            fleet.proxies[0].clock_error_s = 40.0
            fleet.serve_all()
            await fleet.run_until(60.0)
            accepted = fleet.platform.list_accepted()
            self.assertEqual(list(range(11)), sorted(accepted))
            self.assertEqual({"planner": 3}, accepted[1].counts)

        self.play(scenario)

    def test_restart_of_all_proxies_never_reports_other_counts(self) -> None:
        """Guards against a second report of a window whose counts the processes have lost.

        They end before or after the report is recorded, before or after it is sent.
        """
        for killed_at in (9.0, 10.6, 10.755, 10.77, 12.0):

            async def scenario(fleet: UsageFleet, killed_at: float = killed_at) -> None:
                fleet.serve_all()
                await fleet.run_until(killed_at)
                for proxy in fleet.proxies:
                    proxy.kill()
                await fleet.run_until(killed_at + 1.0)
                for index in range(4):
                    await fleet.restart(index)
                fleet.serve_all()
                await fleet.run_until(21.0)
                self.assertEqual([0, 1, 2, 3], sorted(fleet.platform.list_accepted()))

            self.play(scenario)

    def test_proxies_that_cannot_reach_each_other_still_report(self) -> None:
        """Guards against two reporters that keep each other from sending."""

        async def scenario(fleet: UsageFleet) -> None:
            await fleet.run_until(8.0)
            fleet.network.isolate(fleet.proxies[0].local.address)
            await fleet.run_until(100.0)
            accepted = fleet.platform.list_accepted()
            self.assertEqual(list(range(18)), sorted(accepted)[:18])
            self.assertEqual(2, len(self.list_holders(fleet)))

        self.play(scenario)

    def test_proxy_that_stops_hands_its_counts_over(self) -> None:
        """Guards against losing the counts of proxies that are replaced as planned."""

        async def scenario(fleet: UsageFleet) -> None:
            await fleet.run_until(7.0)
            fleet.serve_all()
            for proxy in fleet.proxies[2:]:
                await proxy.service.stop()
                del fleet.entries[proxy.local.vm]
            await fleet.run_until(12.0)
            self.check_window(fleet, 1, 4, by=0)

        self.play(scenario)

    @settings(max_examples=40, deadline=None)
    @given(seed=st.integers(0, 2**32))
    def test_random_faults_break_no_rule(self, seed: int) -> None:
        """Guards against two counts of a window, shared tokens and reporters that alternate."""

        async def scenario(fleet: UsageFleet) -> None:
            await play_random_faults(fleet, Random(seed), is_platform_silent=seed % 2 == 1)
            last = int(asyncio.get_running_loop().time() // 5)
            await asyncio.sleep(40.0)
            self.assertEqual(set(), set(range(last)) - fleet.platform.list_accepted().keys(), seed)

        self.play(scenario)


class RecordTest(TestCase):
    def test_reports_outlast_a_return_of_the_store_to_an_older_copy(self) -> None:
        """Guards against counting a window again that was recorded before the store lost it."""

        async def scenario() -> None:
            table, era = ObjectTable(), 1
            records = UsageRecords(
                store=LocalStore(table=table),
                vm="vm-a",
                find_era=lambda: era,
                clock=SuspensibleClock(),
            )
            held = await records.claim(await records.read())
            assert held is not None
            older = dict(table.objects)
            report = UsageReport(window=7, counts={"planner": 3})
            self.assertIsNotNone(await records.append(held, report, accepted=6))
            table.objects, era = older, 2
            known = await records.read()
            self.assertEqual((report,), known.reports)
            written = await records.claim(known)
            assert written is not None
            self.assertEqual((report,), (await records.read()).reports)

        run_virtual(scenario())


class DutyTest(TestCase):
    BOOT = {
        "node-name": "frontend-casa-a-1",
        "ip": "127.0.0.1",
        "zone": "casa-a",
        "region": "casa",
        "zones": {"casa-a": "casa"},
        "bind-addresses": {"frontend-addr": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
        "internal-port-range": [7000, 7010],
        "platform": {"address": "127.0.0.1:3"},
    }

    def test_reports_are_off_unless_the_settings_name_the_duty(self) -> None:
        """Guards against reports, or any of their work, on platforms without this duty."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                self.assertRaises(ServiceNotFound, proxy.kernel.find, "usage", UsageReporter)
                self.assertNotIn(AskUsage, proxy.kernel.find("transport", TcpTransport)._handlers)
                self.assertIsNone(platform.store.read("lentilring-usage", "reports"))

        run(scenario())

    def test_settings_file_sets_duty_and_bounds(self) -> None:
        """Guards against a duty or a bound of the settings file that is not used."""
        bounds = {"report-window-s": 4, "usage-late-s": 8, "lease-ms": 2500}
        for duties, window_s in (([], 0), (["promotion"], 0), (["promotion", "usage_report"], 4)):
            boot = {"cloud-api": {"address": "127.0.0.1:4", "duties": duties}, "bounds": bounds}
            read = build_settings(msgspec.convert(self.BOOT | boot, BootFile))
            expected = (window_s, 8, 2.5)
            self.assertEqual(
                expected, (read.report_window_s, read.usage_late_s, read.usage_lease_s)
            )
        absent = build_settings(
            msgspec.convert(self.BOOT | {"cloud-api": {"address": "127.0.0.1:4"}}, BootFile)
        )
        self.assertEqual(0, absent.report_window_s)


class PlatformCallTest(TestCase):
    def test_statuses_of_the_platform_are_told_apart(self) -> None:
        """Guards against a refused token, or a call without an answer, that passes for accepted."""

        async def scenario() -> None:
            store = PreparedStore()
            await store.start()
            platform = PlatformUsage(address=store.address)
            report = UsageReport(window=353445120, counts={"bode960": 412})
            results = [await platform.send(report, holder="vm-a", token=t) for t in (5, 4)]
            await store.stop()
            results.append(await platform.send(report, holder="vm-a", token=6))
            expected = [ReportResult.ACCEPTED, ReportResult.FENCED, ReportResult.UNKNOWN]
            self.assertEqual(expected, results)
            self.assertEqual([("vm-a", 5, 353445120, {"bode960": 412})], store.usage_reports)

        run(scenario())


class ProcessTest(TestCase):
    def test_statements_of_all_proxies_reach_the_platform(self) -> None:
        """Guards against faults in the wiring: router, messages between proxies, store and call."""

        async def scenario() -> None:
            async with run_prepared_platform(report_window_s=1.0, usage_late_s=2.0) as platform:
                for proxy in platform.proxies.values():
                    client = await proxy.open("booking")
                    for text in ("WRITE a 1", "READ a", "BEGIN", "WRITE a 2", "READ a", "COMMIT"):
                        answer = await client.query(text)
                        self.assertTrue(answer[-1].startswith("READY"), answer)
                reports = platform.store.usage_reports

                def count_reported() -> int:
                    return sum(sum(counts.values()) for _, _, _, counts in reports)

                # Each proxy: two single statements and a transaction.
                await wait_until(lambda: count_reported() >= 9, within_s=8)
                await asyncio.sleep(1.5)
                self.assertEqual(9, count_reported())
                self.assertEqual(1, len({holder for holder, _, _, _ in reports}))
                windows = [window for _, _, window, _ in reports]
                self.assertEqual(sorted(set(windows)), windows)

        run(scenario())
