"""The pace of servers that have just started or recovered, played without a network or clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from math import inf
from random import Random

from testtools import TestCase

from lentilring.gateways.pacing import (
    CALM_S,
    FIRST_LIST_S,
    MAX_HOLD_S,
    NEW_PROCESS_S,
    WEAK_EVIDENCE_S,
    AnswerOutcome,
    PaceReason,
    ProcessStarts,
    ServerAnswer,
    ServerPace,
)

from .test_takeover import build_entry

SLOTS = 6
FULL = SLOTS + 1
USUAL_S = 0.01


@dataclass(kw_only=True)
class PlayedServer:
    """Run statements on some slots in turn; refuse above a level, answer nothing for a while."""

    run_s: Callable[[float], float] = lambda now: USUAL_S
    slots: int = SLOTS
    accepted: int = FULL
    loses: Callable[[float], bool] = lambda now: False
    free_at: list[float] = field(default_factory=list)

    def answer(self, now: float, running: int) -> tuple[float, AnswerOutcome]:
        """Return when and how a statement that is sent now is answered."""
        if self.loses(now):
            return now + 0.8, AnswerOutcome.LOST
        if running > self.accepted:
            return now + 0.001, AnswerOutcome.REFUSED
        self.free_at = sorted(self.free_at or [-inf] * self.slots)
        end = max(now, self.free_at[0]) + self.run_s(now)
        self.free_at[0] = end
        return end, AnswerOutcome.RAN


@dataclass(kw_only=True)
class Played:
    """Hold the limit over time, the ends of statements that ran and the number of others."""

    limits: list[tuple[float, int]] = field(default_factory=list)
    ran_at: list[float] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    peak: int = 0

    def find_limit(self, at: float) -> int:
        return [limit for time, limit in self.limits if time <= at][-1]

    def find_first(self, limit: int) -> float:
        return next(time for time, entry in self.limits if entry >= limit)


def play(
    pace: ServerPace, server: PlayedServer, arrivals: list[float], *, until: float = 60.0
) -> Played:
    """Send statements as the pace allows, in the order of their arrivals."""
    played = Played(limits=[(arrivals[0], pace.limit)])
    events: list[tuple[float, int, float, AnswerOutcome | None]] = [
        (at, number, at, None) for number, at in enumerate(arrivals)
    ]
    heapq.heapify(events)
    running = waiting = 0
    number = len(events)
    while events and events[0][0] <= until:
        now, _, sent_at, outcome = heapq.heappop(events)
        if outcome is None:
            if pace.holds_back(running):
                pace.record_wait(now)
            waiting += 1
        else:
            pace.record_answer(
                ServerAnswer(
                    kind="read",
                    duration_s=now - sent_at,
                    outcome=outcome,
                    running=running,
                    waiting=waiting,
                ),
                now,
            )
            running -= 1
            ends = played.ran_at if outcome is AnswerOutcome.RAN else played.refused_at
            ends.append(now)
        while waiting and running < pace.limit:
            waiting, running, number = waiting - 1, running + 1, number + 1
            played.peak = max(played.peak, running)
            end, kind = server.answer(now, running)
            heapq.heappush(events, (end, number, now, kind))
        played.limits.append((now, pace.limit))
    return played


def build_known_pace() -> ServerPace:
    """Return the pace of a server whose usual time is known."""
    pace = ServerPace(max_limit=FULL)
    play(pace, PlayedServer(), [-10.0 + 0.02 * number for number in range(200)])
    return pace


class StartTest(TestCase):
    def test_steady_state_is_not_limited(self) -> None:
        """Guards against a pace that costs throughput while nothing is wrong."""
        pace = build_known_pace()
        played = play(pace, PlayedServer(), [0.0] * 500)
        self.assertEqual({FULL}, {limit for _, limit in played.limits})
        # Slower answers in steady state are not due to a start.
        played = play(pace, PlayedServer(run_s=lambda now: 6 * USUAL_S), [10.0] * 500)
        self.assertEqual({FULL}, {limit for _, limit in played.limits})

    def test_cold_server_is_given_more_as_it_gets_faster(self) -> None:
        """Guards against a new process that gets everything at once, or too little for long."""
        pace = ServerPace(max_limit=FULL)
        pace.begin(PaceReason.NEW_PROCESS, 0.0)
        server = PlayedServer(run_s=lambda now: max(USUAL_S, 0.06 - 0.1 * now))
        played = play(pace, server, [0.0] * 200)
        self.assertEqual(1, played.find_limit(0.0))
        self.assertLess(played.find_first(SLOTS), 0.25)
        self.assertFalse(pace.is_paced)

    def test_overloaded_cold_server_is_given_less(self) -> None:
        """Guards against growth by answers that are slow because of the growth."""
        pace = build_known_pace()
        pace.begin(PaceReason.UNREACHABLE, 0.0)
        played = play(pace, PlayedServer(slots=1), [0.0] * 400, until=WEAK_EVIDENCE_S)
        limits = [limit for at, limit in played.limits if 0.2 < at < 3.0]
        self.assertLessEqual(max(limits), 4)

    def test_recovered_server_meets_its_queue_in_steps(self) -> None:
        """Guards against 200 statements that meet a recovered primary, the only one for writes."""
        pace = build_known_pace()
        pace.begin(PaceReason.UNREACHABLE, 0.0)
        played = play(pace, PlayedServer(), [0.0] * 200)
        self.assertLess(played.find_first(SLOTS), 5 * USUAL_S)
        unpaced = play(ServerPace(max_limit=FULL), PlayedServer(), [0.0] * 200)
        self.assertLess(played.ran_at[-1], unpaced.ran_at[-1] + 4 * USUAL_S)

    def test_permanently_slower_server_does_not_stay_paced(self) -> None:
        """Guards against a server of the fallback configuration that is held at one statement."""
        for factor in (2.5, 5.0, 30.0):
            pace = build_known_pace()
            pace.begin(PaceReason.UNREACHABLE, 0.0)
            slow_s = factor * USUAL_S
            played = play(pace, PlayedServer(run_s=lambda now, s=slow_s: s), [0.0] * 200)
            self.assertLess(played.find_first(SLOTS), 7 * slow_s, factor)
        # With fewer slots than registered, slowness counts for a limited time.
        pace = build_known_pace()
        pace.begin(PaceReason.UNREACHABLE, 0.0)
        play(pace, PlayedServer(slots=2), [0.0] * 2000, until=WEAK_EVIDENCE_S + 1)
        self.assertFalse(pace.is_paced)

    def test_few_calls_end_the_pace(self) -> None:
        """Guards against a server with few calls that meets a burst while it is still paced."""
        pace = ServerPace(max_limit=FULL)
        pace.begin(PaceReason.NEW_PROCESS, 0.0)
        play(pace, PlayedServer(), [0.3, 0.6, CALM_S + 0.1])
        self.assertFalse(pace.is_paced)

    def test_burst_on_an_unused_new_server_is_paced(self) -> None:
        """Guards against a pace that ends by time alone, before the server has answered."""
        pace = ServerPace(max_limit=FULL)
        pace.begin(PaceReason.NEW_PROCESS, 0.0)
        played = play(pace, PlayedServer(), [5.0] * 50)
        self.assertEqual(1, played.find_limit(5.0))
        self.assertLess(played.find_first(SLOTS), 5.1)

    def test_answers_one_after_another_do_not_prove_that_more_can_run(self) -> None:
        """Guards against a full limit that is reached without more than one statement at a time."""
        pace = ServerPace(max_limit=FULL)
        pace.begin(PaceReason.NEW_PROCESS, 0.0)
        play(pace, PlayedServer(), [0.04 * number for number in range(20)])
        self.assertLessEqual(pace.limit, 2)

    def test_pause_of_the_server_does_not_pass_for_its_usual_time(self) -> None:
        """Guards against a pace that finds no answer slow after a pause without lost answers."""
        pace = build_known_pace()
        play(pace, PlayedServer(run_s=lambda now: 2.0), [0.0] * FULL)
        pace.begin(PaceReason.UNREACHABLE, 10.0)
        played = play(pace, PlayedServer(slots=1), [10.0] * 400, until=13.0)
        self.assertLessEqual(max(limit for at, limit in played.limits if at > 11.0), 4)

    def test_uneven_durations_do_not_hold_a_server_back(self) -> None:
        """Guards against single slow statements that pass for an overloaded server."""
        for seed in range(20):
            random = Random(seed)
            server = PlayedServer(run_s=lambda now, draw=random.expovariate: draw(1 / USUAL_S))
            pace = build_known_pace()
            pace.begin(PaceReason.UNREACHABLE, 0.0)
            self.assertLess(play(pace, server, [0.0] * 2000).find_first(SLOTS), 0.5, seed)

    def test_nothing_is_paced_when_disabled(self) -> None:
        """Guards against behaviour of deployments whose settings do not ask for it."""
        pace = ServerPace(max_limit=FULL, is_enabled=False)
        pace.begin(PaceReason.NEW_PROCESS, 0.0)
        play(pace, PlayedServer(accepted=2), [0.0] * 50)
        self.assertEqual((FULL, False), (pace.limit, pace.is_paced))


class RefusalTest(TestCase):
    def test_server_that_refuses_below_its_slots_is_rarely_asked_for_more(self) -> None:
        """Guards against refusals that callers see while the server could run other work."""
        pace = build_known_pace()
        played = play(pace, PlayedServer(accepted=3), [0.0] * 6000, until=18.0)
        settled = [at for at in played.refused_at if at > 4.0]
        self.assertLessEqual(len(settled), 14 / MAX_HOLD_S + 1)
        # Three statements at a time are 300 a second; a tenth may be lost to the trials.
        self.assertGreater(len(played.ran_at), 0.9 * 18 * 3 / USUAL_S)

    def test_server_that_refused_everything_recovers_quickly(self) -> None:
        """Guards against a limit learned while the server accepted nothing."""
        pace = build_known_pace()
        server = PlayedServer(accepted=0)
        arrivals = [0.01 * number for number in range(300)]
        play(pace, server, arrivals[:100])
        self.assertEqual(1, pace.limit)
        played = play(pace, PlayedServer(), [1.2] * 300)
        self.assertLess(played.find_first(SLOTS), 1.3)

    def test_server_that_accepts_more_again_is_given_more(self) -> None:
        """Guards against a level that stays after the reason for the refusals has gone."""
        pace = build_known_pace()
        play(pace, PlayedServer(accepted=3), [0.0] * 600, until=2.0)
        played = play(pace, PlayedServer(), [2.0] * 3000)
        self.assertLess(played.find_first(SLOTS), 2.0 + MAX_HOLD_S + 0.5)
        self.assertFalse(pace.is_paced)

    def test_full_server_reduces_only_a_pace(self) -> None:
        """Guards against a limit on statements where other users hold the connections."""
        pace = build_known_pace()
        pace.record_connection_refusal(0.0)
        self.assertEqual(FULL, pace.limit)
        pace.begin(PaceReason.UNREACHABLE, 0.0)
        play(pace, PlayedServer(), [0.0] * 4)
        before = pace.limit
        pace.record_connection_refusal(1.0)
        self.assertEqual(max(1, before // 2), pace.limit)


class LostAnswerTest(TestCase):
    def test_silent_server_gets_one_statement_at_a_time_until_it_answers(self) -> None:
        """Guards against a recovered server that meets statements sent while it was silent."""
        pace = build_known_pace()
        server = PlayedServer(loses=lambda now: now < 3.0)
        played = play(pace, server, [0.01 * number for number in range(400)])
        self.assertEqual(1, played.find_limit(2.5))
        first = min(at for at in played.ran_at if at > 3.0)
        grown = next(at for at, limit in played.limits if at > first and limit >= SLOTS)
        self.assertLess(grown - first, 5 * USUAL_S)

    def test_server_that_proves_its_lead_gets_one_statement_more(self) -> None:
        """Guards against a server that is back but idle until old statements have timed out."""
        pace = build_known_pace()
        play(pace, PlayedServer(loses=lambda now: True), [0.0] * 30, until=0.9)
        self.assertEqual((1, 1), (pace.limit, pace.expected_limit))
        pace.record_proof(1)
        self.assertEqual(2, pace.limit)
        answer = ServerAnswer(
            kind="read", duration_s=USUAL_S, outcome=AnswerOutcome.RAN, running=2, waiting=9
        )
        pace.record_answer(answer, 1.0)
        pace.record_proof(2)
        self.assertEqual((2, FULL), (pace.limit, pace.expected_limit))

    def test_lost_answers_of_a_server_that_answers_change_nothing(self) -> None:
        """Guards against a pace that begins because connections broke one by one."""
        pace = build_known_pace()
        lost = iter([True, True, False, True, False])
        server = PlayedServer(loses=lambda now: next(lost))
        played = play(pace, server, [0.0, 0.0, 0.4, 10.0, 20.0])
        self.assertEqual({FULL}, {limit for _, limit in played.limits})

    def test_server_that_loses_a_third_of_the_answers_is_not_held_at_one(self) -> None:
        """Guards against a faulty primary that gets less than it can run."""
        pace = build_known_pace()
        pace.begin(PaceReason.UNREACHABLE, 0.0)
        count = iter(range(100_000))
        server = PlayedServer(loses=lambda now: next(count) % 3 == 2)
        played = play(pace, server, [0.0] * 3000, until=WEAK_EVIDENCE_S + 6)
        self.assertEqual(FULL, played.find_limit(WEAK_EVIDENCE_S + 5))

    def test_limit_is_never_below_one(self) -> None:
        """Guards against a queue that nothing ever wakes."""
        pace = build_known_pace()
        for outcome in (AnswerOutcome.LOST, AnswerOutcome.REFUSED) * 20:
            answer = ServerAnswer(kind="w", duration_s=0, outcome=outcome, running=0, waiting=9)
            pace.record_answer(answer, 1.0)
            pace.record_connection_refusal(1.0)
            self.assertGreaterEqual(pace.limit, 1)


class ProcessStartTest(TestCase):
    def test_processes_that_start_while_the_proxy_runs_are_new(self) -> None:
        """Guards against a restarted server that is taken for the one known before."""
        starts = ProcessStarts()
        first, second = build_entry("a"), build_entry("b")
        starts.update({"a": first}, 0.0)
        starts.update({"a": first, "b": second}, 0.5 * FIRST_LIST_S)
        restarted = replace(first, started_ms=first.started_ms + 1)
        starts.update({"a": restarted, "b": second}, 100.0)
        later = {"now": 101.0, "wall_s": 1e9}
        self.assertFalse(starts.is_new(second, **later))
        self.assertTrue(starts.is_new(restarted, **later))
        self.assertFalse(starts.is_new(restarted, now=100.0 + NEW_PROCESS_S, wall_s=1e9))

    def test_process_that_started_shortly_before_the_proxy_is_new(self) -> None:
        """Guards against full load on servers that start together with all proxies."""
        starts = ProcessStarts()
        entry = replace(build_entry("a"), started_ms=1_700_000_000_000)
        starts.update({"a": entry}, 0.0)
        self.assertTrue(starts.is_new(entry, now=0.1, wall_s=1_700_000_003.0))
        self.assertFalse(starts.is_new(entry, now=0.1, wall_s=1_700_000_100.0))
