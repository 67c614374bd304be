"""Each check of the load tool finds a violation that is planted in a request log."""

import random

import msgspec
from testtools import TestCase

from lentilring.loadtest.admissions import (
    check_admissions,
    check_refusals,
    measure_excess,
    was_admitted,
)
from lentilring.loadtest.checker import check_log
from lentilring.loadtest.consistency import (
    check_acknowledged_writes,
    check_at_most_once,
    check_not_run,
    check_read_your_writes,
)
from lentilring.loadtest.latency import check_latency, check_replica_reads
from lentilring.loadtest.operations import check_drains, check_failover, check_keys
from lentilring.loadtest.records import (
    AccountLimits,
    FaultMark,
    JournalEntry,
    RequestKind,
    RequestLog,
    RequestOutcome,
    RequestRecord,
    RunHeader,
    ServerLog,
    collect_records,
)

LIMITS = AccountLimits(rate_per_s=10.0, burst=5.0)
HEADER = RunHeader(
    scenario="planted",
    seed=1,
    accounts={"crew": LIMITS},
    proxies={"vm-1": "casa-a", "vm-3": "fes-a"},
    backend_servers={"tents-1": "casa-a", "tents-3": "fes-a"},
    unmeasured_phases=("warm-up",),
)


def build_request(sent: float, number: int = 0, **changes: object) -> RequestRecord:
    """Return a completed read that took 10 ms."""
    record = RequestRecord(
        scheduled=sent,
        sent=sent,
        answered=sent + 0.01,
        phase="even",
        proxy="vm-1",
        account="crew",
        key_id="crew-1",
        kind=RequestKind.READ,
        route="stock",
        database="tents",
        session="crew-0",
        request_id=f"r{number}",
        outcome=RequestOutcome.COMPLETED,
        counter="sum",
        served_by="tents-1",
    )
    return msgspec.structs.replace(record, **changes)


def build_add(sent: float, number: int, result: object, **changes: object) -> RequestRecord:
    """Return a completed write with its own key."""
    values = {"kind": RequestKind.WRITE, "result": result, "idempotency_key": f"k{number}"}
    return build_request(sent, number, **{**values, **changes})


def build_refusal(sent: float, number: int, reason: str, **changes: object) -> RequestRecord:
    """Return a request that was not run."""
    return build_request(sent, number, outcome=RequestOutcome.NOT_RUN, reason=reason, **changes)


def build_run(number: int, position: int, **changes: object) -> JournalEntry:
    """Return a journal's entry for the request and key of a number."""
    entry = JournalEntry(
        server="tents-1",
        request_id=f"r{number}",
        idempotency_key=f"k{number}",
        client_account="crew",
        action="write",
        term=1,
        position=position,
    )
    return msgspec.structs.replace(entry, **changes)


def build_mark(event: str, target: str, began: float) -> FaultMark:
    return FaultMark(began=began, ended=began + 0.1, name=event, event=event, target=target)


def build_log(*records: object) -> RequestLog:
    return collect_records([HEADER, *records])


class AdmissionTest(TestCase):
    """Limits are judged without false findings, and every certain excess is found."""

    def test_excess_of_a_window_is_found(self) -> None:
        """A burst of 8 in 20 ms passes 5 + 10 * 0.02 in the middle of a quiet log."""
        quiet = [build_request(float(second), second) for second in range(10)]
        burst = [build_request(5.5 + index / 1000, 100 + index) for index in range(8)]
        finding = check_admissions(build_log(*quiet, *burst))
        self.assertEqual(1, len(finding.violations))

    def test_load_within_the_bound_is_no_violation(self) -> None:
        """The bound itself, a full burst and then the rate, must pass."""
        burst = [build_request(0.0, index) for index in range(5)]
        steady = [build_request(0.1 * index, 10 + index) for index in range(1, 50)]
        self.assertEqual((), check_admissions(build_log(*burst, *steady)).violations)

    def test_slow_answers_do_not_count_in_shorter_windows(self) -> None:
        """Requests sent together may have been admitted one by one until their answers."""
        slow = [build_request(0.0, index, answered=10.0) for index in range(50)]
        self.assertEqual((), check_admissions(build_log(*slow)).violations)

    def test_refusals_before_admission_do_not_count(self) -> None:
        """A refused request took no token; one that failed later did."""
        self.assertFalse(was_admitted(build_refusal(0.0, 1, "rate_exceeded")))
        self.assertFalse(was_admitted(build_refusal(0.0, 1, "key_unknown")))
        self.assertTrue(was_admitted(build_refusal(0.0, 1, "no_primary")))
        unknown = build_request(0.0, outcome=RequestOutcome.OUTCOME_UNKNOWN, reason="gateway_lost")
        self.assertTrue(was_admitted(unknown))

    def test_excess_equals_that_of_all_windows_tried_one_by_one(self) -> None:
        """The segment tree must agree with the definition."""
        source = random.Random(7)
        for _ in range(50):
            sent = [round(source.uniform(0, 3), 2) for _ in range(source.randint(1, 30))]
            spans = [(time, round(time + source.uniform(0, 0.5), 2)) for time in sent]
            expected = max(
                sum(start <= s and a <= end for s, a in spans) - 5.0 - 10.0 * (end - start)
                for start in sent
                for _, end in spans
                if end >= start
            )
            self.assertAlmostEqual(expected, measure_excess(spans, LIMITS), places=6)

    def test_refusals_within_the_rate_are_wrongful(self) -> None:
        """Of six requests at once a bucket of five refuses one; the other refusal is wrongful."""
        records = [build_request(0.0, index) for index in range(4)]
        records += [build_refusal(0.0, index, "rate_exceeded") for index in (4, 5)]
        finding = check_refusals(build_log(*records))
        self.assertEqual((1, 5), (finding.figures["wrongful"], finding.figures["within_rate"]))

    def test_order_of_refusals_over_the_rate_does_not_count(self) -> None:
        """The fleet refuses the first of six requests at once, the central bucket the last."""
        records = [build_refusal(0.0, 0, "rate_exceeded")]
        records += [build_request(0.0, index) for index in range(1, 6)]
        self.assertEqual(0, check_refusals(build_log(*records)).figures["wrongful"])

    def test_warm_up_is_not_counted_as_wrongful(self) -> None:
        """Buckets begin empty, so refusals during warm-up are expected."""
        refusal = build_refusal(0.0, 1, "limit_unavailable", phase="warm-up")
        self.assertEqual(0, check_refusals(build_log(refusal)).figures["wrongful"])


class ConsistencyTest(TestCase):
    """Results of counters and journals show what ran."""

    def test_read_that_misses_an_answered_write_is_found(self) -> None:
        write, read = build_add(0.0, 1, 1), build_request(1.0, 2, result=None)
        self.assertEqual(1, len(check_read_your_writes(build_log(write, read)).violations))

    def test_read_sent_before_the_answer_may_miss_the_write(self) -> None:
        write, read = build_add(0.0, 1, 1), build_request(0.005, 2, result=None)
        self.assertEqual((), check_read_your_writes(build_log(write, read)).violations)

    def test_lost_acknowledged_write_is_found(self) -> None:
        """After an acknowledged sum of 2, a sum of 2 again means that one write is gone."""
        writes = [build_add(0.0, 1, 1), build_add(1.0, 2, 2), build_add(2.0, 3, 2)]
        self.assertEqual(1, len(check_acknowledged_writes(build_log(*writes)).violations))

    def test_replayed_results_are_not_lost_writes(self) -> None:
        """A repeated key gets its recorded result, which later writes have passed."""
        writes = [build_add(0.0, 1, 1), build_add(1.0, 2, 2)]
        repeat = build_add(2.0, 1, 1, replayed=True)
        log = build_log(*writes, repeat)
        self.assertEqual((), check_acknowledged_writes(log).violations)
        self.assertEqual((), check_at_most_once(log).violations)

    def test_sum_above_the_number_of_sent_keys_is_found(self) -> None:
        self.assertEqual(1, len(check_at_most_once(build_log(build_add(0.0, 1, 2))).violations))

    def test_sum_that_needs_a_refused_write_is_found(self) -> None:
        """A write answered as not run must not show in the sum of the next one."""
        refused = build_refusal(0.0, 1, "no_primary", kind=RequestKind.WRITE, idempotency_key="k1")
        read = build_request(1.0, 2, result=1)
        self.assertEqual(1, len(check_at_most_once(build_log(refused, read)).violations))

    def test_two_keys_with_one_sum_are_found(self) -> None:
        writes = [build_add(0.0, 1, 1), build_add(0.0, 2, 1)]
        self.assertEqual(1, len(check_at_most_once(build_log(*writes)).violations))

    def test_commits_are_judged_by_their_last_result(self) -> None:
        commits = [build_add(0.0, number, [1], kind=RequestKind.COMMIT) for number in (1, 2)]
        self.assertEqual(1, len(check_at_most_once(build_log(*commits)).violations))

    def test_key_that_ran_twice_is_found_in_the_journals(self) -> None:
        servers = ServerLog(server="tents-1", database="tents", term_starts=((1, 0),))
        log = build_log(build_run(1, 1), build_run(1, 2), servers)
        self.assertEqual(1, len(check_at_most_once(log).violations))

    def test_execution_that_a_later_term_cut_off_has_no_effect(self) -> None:
        """The old primary's entry lies past the start of term 2, so the repeat rightly ran."""
        servers = [
            ServerLog(server="tents-1", database="tents", term_starts=((1, 0),)),
            ServerLog(server="tents-3", database="tents", term_starts=((1, 0), (2, 4))),
        ]
        lost, kept = build_run(1, 5), build_run(1, 5, server="tents-3", term=2)
        self.assertEqual((), check_at_most_once(build_log(lost, kept, *servers)).violations)
        early = build_run(1, 4)
        log = build_log(early, kept, *servers)
        self.assertEqual(1, len(check_at_most_once(log).violations))

    def test_refused_request_in_a_journal_is_found(self) -> None:
        log = build_log(build_refusal(0.0, 1, "gateway_unreachable"), build_run(1, 1))
        self.assertEqual(1, len(check_not_run(log).violations))
        other = build_log(build_refusal(0.0, 2, "gateway_unreachable"), build_run(1, 1))
        self.assertEqual((), check_not_run(other).violations)


class OperationTest(TestCase):
    """Measures around marks use the time at which the action began."""

    def test_failover_gap_is_the_longest_time_without_a_write(self) -> None:
        mark = build_mark("primary_lost", "tents", 10.0)
        times = [9.0, 9.5, 10.5, 22.0, 22.5]
        writes = [build_add(time, index, index) for index, time in enumerate(times)]
        finding = check_failover(build_log(*writes, mark))
        self.assertEqual(1, len(finding.violations))
        self.assertEqual(11.5, finding.figures["primary_lost at 10.0"]["gap_s"])

    def test_writes_that_never_resume_are_a_gap(self) -> None:
        mark = build_mark("primary_lost", "tents", 10.0)
        reads = [build_request(float(time), time) for time in range(40)]
        log = build_log(*reads, build_add(9.0, 99, 1), mark)
        self.assertEqual(20.0, check_failover(log).figures["primary_lost at 10.0"]["gap_s"])

    def test_writes_of_other_databases_do_not_hide_a_gap(self) -> None:
        mark = build_mark("primary_lost", "tents", 10.0)
        others = [build_add(time, time, 1, database="chairs") for time in range(10, 30)]
        last = build_add(29.0, 99, 1)
        self.assertEqual(1, len(check_failover(build_log(*others, last, mark)).violations))

    def test_late_work_in_a_drained_domain_is_found(self) -> None:
        """Both a server and a proxy of the domain count; work after the return does not."""
        drain, back = build_mark("domain_drained", "fes-a", 10.0), build_mark(
            "domain_returned", "fes-a", 20.0
        )
        after_return = build_request(21.0, 3, served_by="tents-3")
        self.assertEqual((), check_drains(build_log(after_return, drain, back)).violations)
        for change in ({"served_by": "tents-3"}, {"proxy": "vm-3"}):
            late = build_request(14.0, 1, **change)
            finding = check_drains(build_log(late, after_return, drain, back))
            self.assertEqual(1, len(finding.violations))

    def test_time_until_an_operators_change_is_accepted_does_not_count(self) -> None:
        """A slow start of the operator's program is not the deployment's delay."""
        slow = msgspec.structs.replace(
            build_mark("domain_drained", "fes-a", 10.0), first_output=14.0
        )
        early = build_request(14.5, 1, proxy="vm-3")
        self.assertEqual((), check_drains(build_log(early, slow)).violations)
        late = build_request(17.5, 2, proxy="vm-3")
        self.assertEqual(1, len(check_drains(build_log(late, slow)).violations))

    def test_failed_requests_of_a_drain_are_counted(self) -> None:
        drain = build_mark("domain_drained", "fes-a", 10.0)
        finding = check_drains(build_log(build_refusal(11.0, 1, "no_primary"), drain))
        self.assertEqual({"not_run/no_primary": 1}, finding.figures["fes-a at 10.0"]["failed"])

    def test_key_accepted_long_after_its_withdrawal_is_found(self) -> None:
        mark = build_mark("key_withdrawn", "crew-1", 10.0)
        early, late = build_request(12.0, 1), build_request(13.5, 2)
        self.assertEqual((), check_keys(build_log(early, mark)).violations)
        self.assertEqual(1, len(check_keys(build_log(early, late, mark)).violations))
        given = build_mark("key_given", "crew-1", 13.0)
        self.assertEqual((), check_keys(build_log(early, late, mark, given)).violations)
        other = build_request(13.5, 2, key_id="crew-2")
        self.assertEqual((), check_keys(build_log(other, mark)).violations)


class MeasureTest(TestCase):
    """Figures without a bound."""

    def test_share_of_replica_reads(self) -> None:
        reads = [build_request(index, index, from_replica=index < 3) for index in range(4)]
        finding = check_replica_reads(build_log(*reads, build_add(9, 9, 1)))
        self.assertEqual(75.0, finding.figures["share_percent"])

    def test_latency_counts_from_the_scheduled_time(self) -> None:
        """A load tool that falls behind must not hide the time that a request waited in it."""
        late = build_request(1.0, 1, scheduled=0.0)
        finding = check_latency(build_log(late))
        self.assertGreater(finding.figures["even"]["worst_p99_ms"], 1000)
        self.assertEqual("crew", finding.figures["even"]["worst_account"])

    def test_all_checks_accept_a_log_without_requests(self) -> None:
        self.assertEqual([], [f.check for f in check_log(build_log()) if f.violations])
