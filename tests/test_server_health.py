"""Judgement of servers by their answers: the decisions, the load on them, and the messages."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import msgspec
from testtools import TestCase

from lentilring.catalog.fleet import FleetService
from lentilring.gateways.attempt import Attempt
from lentilring.gateways.health import (
    JUDGEMENT_LIFETIME_S,
    MIN_ANSWERS,
    RECOVERY_ANSWERS,
    ServerJudge,
    shows_failure,
)
from lentilring.gateways.messages import RunStatement, StatementAnswer, StatementKind
from lentilring.gateways.server import ServerLost
from lentilring.gateways.service import GatewayService
from lentilring.platform.boot import BootFile, build_settings
from lentilring.sessions.calls import StatementCall
from lentilring.sessions.choice import JUDGEMENT_MEMORY_S, ServerJudgements
from lentilring.sessions.context import SessionContext, SessionTransaction
from lentilring.sessions.router import StatementRouter
from lentilring.statements.model import Done, Failed, Failure

from .prepared import ZONES, PreparedPlatform, run, run_prepared_platform, wait_until
from .test_choice import DONE, FAR, NEAR, PRIMARY, Servers, build_admission, run_single


def build_read(server: str, *, work: StatementKind = StatementKind.READ) -> RunStatement:
    return RunStatement(
        request_id="q1",
        server=server,
        account="planner",
        work=work,
        text="READ a",
        patience_s=1.0,
        timeout_s=1.0,
    )


def judge_answers(shares: dict[str, float], *, count: int, per_s: float, seed: int = 1) -> int:
    """Play answers that fail with a share by account; return how often the server became bad."""
    now, random, became_bad = [0.0], Random(seed), 0
    judge = ServerJudge(now=lambda: now[0])
    for _ in range(count):
        now[0] += 1 / per_s
        account = random.choice(list(shares))
        judgement = judge.record(account, has_failed=random.random() < shares[account])
        became_bad += judgement is not None and judgement.is_bad
    return became_bad


class JudgeTest(TestCase):
    def test_server_that_fails_a_third_becomes_bad_and_recovers(self) -> None:
        """Guards against a failing server that keeps its place, and one that never gets it back."""
        for seed in range(20):
            now, random = [0.0], Random(seed)
            judge = ServerJudge(now=lambda now=now: now[0])  # type: ignore[misc]
            while judge.bad_share is None:
                now[0] += 1 / 35
                judge.record(random.choice("abcd"), has_failed=random.random() < 0.32)
            self.assertLess(now[0], 3.0, f"seed {seed}")
            repaired_at = now[0]
            while judge.bad_share is not None:
                now[0] += 0.5
                judge.record("a", has_failed=False)
            self.assertLess(now[0] - repaired_at, 7.0, f"seed {seed}")

    def test_bad_server_does_not_seem_to_recover_by_chance(self) -> None:
        """Guards against a failing server that becomes good again after a few lucky trials."""
        shares = dict.fromkeys("abcd", 0.35)
        for seed in range(5):
            self.assertLessEqual(judge_answers(shares, count=400, per_s=2.0, seed=seed), 4)

    def test_usual_failures_do_not_make_a_server_bad(self) -> None:
        """Guards against needless changes of servers."""
        for seed in range(5):
            # With 8 answers in a window, by chance at most once in 1,000 s.
            for per_s, most in ((4.0, 1), (40.0, 0)):
                shares = dict.fromkeys("abcd", 0.02)
                became_bad = judge_answers(shares, count=4000, per_s=per_s, seed=seed)
                self.assertLessEqual(became_bad, most)

    def test_wrong_statements_of_one_account_do_not_make_a_server_bad(self) -> None:
        """Guards against one caller who makes all servers look bad."""
        shares = {"wrong": 1.0, "planner": 0.0, "crew": 0.01}
        self.assertEqual(0, judge_answers(shares, count=4000, per_s=40.0))
        # A single account is all that is known of a server.
        self.assertEqual(1, judge_answers({"only": 0.9}, count=400, per_s=40.0))

    def test_judgement_without_answers_lapses(self) -> None:
        """Guards against an old gateway that calls a server bad long after others took over."""
        now = [0.0]
        judge = ServerJudge(now=lambda: now[0])
        for _ in range(8):
            judge.record("a", has_failed=True)
        self.assertEqual(1.0, judge.bad_share)
        now[0] = JUDGEMENT_LIFETIME_S + 0.1
        self.assertIsNone(judge.bad_share)
        judge.record("a", has_failed=True)
        self.assertIsNone(judge.bad_share)

    def test_only_runs_and_lost_answers_count(self) -> None:
        """Guards against lag, load and replicas that do not confirm making a server bad."""
        lost = ServerLost(server=NEAR, detail="closed")
        late = ServerLost(server=NEAR, detail="timed out", timed_out=True)
        read, commit = StatementKind.READ, StatementKind.COMMIT
        for answer, work, took_s, expected in (
            (Done(), read, 0.01, False),
            (Failed(failure=Failure.FAILED), read, 0.01, True),
            (Failed(failure=Failure.TIMED_OUT), read, 0.5, True),
            (Failed(failure=Failure.BEHIND), read, 0.01, None),
            (Failed(failure=Failure.OVERLOADED), read, 0.01, None),
            (lost, commit, 0.01, True),
            (late, read, 0.5, True),
            (late, read, 0.01, None),
            (late, commit, 0.5, None),
        ):
            request = build_read(NEAR, work=work)
            attempt = Attempt(request=request, deadline=1.0, was_sent=True)
            self.assertIs(expected, shows_failure(attempt, answer, took_s=took_s), answer)
        unsent = Attempt(request=request, deadline=1.0)
        self.assertIsNone(shows_failure(unsent, Failed(failure=Failure.FAILED), took_s=0.01))
        self.assertTrue(shows_failure(unsent, lost, took_s=0.01))


class JudgementsTest(TestCase):
    def test_at_most_half_of_the_servers_are_bad(self) -> None:
        """Guards against sending all reads to the only server that is not bad."""
        judgements = ServerJudgements(now=lambda: 0.0)
        for server, share in ((NEAR, 0.3), (FAR, 0.45), (PRIMARY, 0.4)):
            judgements.record(server, "vm-1", share)
        self.assertEqual({FAR}, judgements.find_bad([PRIMARY, NEAR, FAR]))
        self.assertEqual({FAR}, judgements.find_bad([NEAR, FAR]))
        self.assertEqual(set(), judgements.find_bad([FAR]))

    def test_gateway_withdraws_only_its_own_judgement(self) -> None:
        """Guards against a second gateway without knowledge that makes a bad server good."""
        now = [0.0]
        judgements = ServerJudgements(now=lambda: now[0])
        self.assertTrue(judgements.record(NEAR, "vm-1", 0.4))
        self.assertFalse(judgements.record(NEAR, "vm-2", None))
        self.assertEqual(0.4, judgements.find_share(NEAR))
        self.assertTrue(judgements.record(NEAR, "vm-1", None))
        judgements.record(NEAR, "vm-1", 0.4)
        now[0] = JUDGEMENT_MEMORY_S + 0.1
        self.assertIsNone(judgements.find_share(NEAR), "the gateway may be gone")
        judgements.record(NEAR, "vm-1", float("nan"))
        self.assertIsNone(judgements.find_share(NEAR))


class Load:
    """Play reads of many proxies against servers that fail a share of their statements."""

    def __init__(self, shares: dict[str, float]) -> None:
        self.shares = shares
        self.random = Random(7)
        self.servers = Servers(self._answer)
        self.routers: list[StatementRouter] = []
        for index in range(24):
            self.routers.append(self.servers.build_router(ZONES[index % 3], seed=index))
        self.judges = {
            server: ServerJudge(now=self.servers.monotonic) for server in (PRIMARY, NEAR, FAR)
        }

    def _answer(self, server: str, request: RunStatement) -> StatementAnswer:
        failed = self.random.random() < self.shares.get(server, 0.0)
        judge = self.judges[server]
        judgement = judge.record(f"a{self.random.randrange(9)}", has_failed=failed)
        for router in self.routers if judgement is not None else ():
            # A quarter of the datagrams is lost.
            if self.random.random() < 0.75:
                router.record_judgement(server, "vm-0", judge.bad_share)
        failure = Failure.FAILED if failed else ""
        return StatementAnswer(failure=failure, proof="p", bad_share=judge.bad_share)

    def _repeat_notices(self) -> None:
        for server, judge in self.judges.items():
            for router in self.routers if judge.bad_share is not None else ():
                router.record_judgement(server, "vm-0", judge.bad_share)

    def play(self, *, seconds: float) -> tuple[float, dict[str, float]]:
        """Run 120 reads a second; return the shares of failed reads and of each server's runs."""
        del self.servers.asked[:]
        reads = int(seconds * 120)
        failed = 0
        for index in range(reads):
            self.servers.now += 1 / 120
            if index % 240 == 0:
                self._repeat_notices()
            outcome = run_single(self.random.choice(self.routers))
            failed += isinstance(outcome, Failed)
        asked = self.servers.asked
        return failed / reads, {server: asked.count(server) / len(asked) for server in self.judges}


class LoadTest(TestCase):
    def test_reads_leave_a_failing_server_and_return_when_it_recovers(self) -> None:
        """Guards against reads that keep failing at a server whose health check is good."""
        load = Load({NEAR: 0.4})
        load.play(seconds=3)
        failed, runs = load.play(seconds=10)
        self.assertEqual(0.0, failed)
        self.assertLess(runs[NEAR], 0.08)
        self.assertGreater(runs[NEAR], 0.005, "without trials, a recovery would not be seen")
        load.shares = {}
        load.play(seconds=12)
        failed, runs = load.play(seconds=5)
        self.assertEqual(0.0, failed)
        self.assertGreater(runs[NEAR], 0.3)

    def test_three_failing_servers_all_keep_serving(self) -> None:
        """Guards against one server that gets all reads when all servers fail at once."""
        load = Load(dict.fromkeys((PRIMARY, NEAR, FAR), 0.4))
        load.play(seconds=3)
        failed, runs = load.play(seconds=20)
        # A read runs on at most two servers: 0.4 * 0.4.
        self.assertLess(failed, 0.2)
        self.assertLess(max(runs.values()), 0.75)

    def test_transactions_are_no_trials(self) -> None:
        """Guards against trials whose failure their caller would see."""
        servers = Servers(lambda server, request: DONE)
        router = servers.build_router()
        router.record_judgement(NEAR, "vm-1", 0.4)
        call = StatementCall(request_id="q1", text="READ a", work=StatementKind.READ)
        for _ in range(200):
            context = SessionContext(database="stock", key="k")
            transaction = SessionTransaction(read_only=True, admission=build_admission())
            asyncio.run(router.run_in_transaction(context, transaction, call))
        self.assertNotIn(NEAR, servers.asked)


@asynccontextmanager
async def run_judging_platform() -> AsyncIterator[PreparedPlatform]:
    """Start three proxies that judge servers and know each other."""
    async with run_prepared_platform(proxies=0) as platform:
        for index, zone in enumerate(ZONES):
            await platform.add_proxy(f"vm-{index}", zone, judges_servers=True)
        await platform.wait_ready()
        fleets = [proxy.kernel.find("fleet", FleetService) for proxy in platform.proxies.values()]
        await wait_until(
            lambda: all(len(fleet.others()) == len(ZONES) - 1 for fleet in fleets), within_s=5
        )
        yield platform


def count_bad(routers: list[StatementRouter], server: str) -> int:
    """Return how many proxies know that a server is bad."""
    known = [router._judgements.find_share(server) for router in routers]
    return sum(share is not None for share in known)


class MessagesTest(TestCase):
    def test_all_proxies_learn_of_a_bad_server_and_of_its_recovery(self) -> None:
        """Guards against a judgement that only the server's gateway knows."""

        async def scenario() -> None:
            async with run_judging_platform() as platform:
                proxies = platform.proxies.values()
                routers = [proxy.kernel.find("statements", StatementRouter) for proxy in proxies]
                replica = platform.group.servers[1]
                client = await platform.proxies["vm-1"].open("stock")

                replica.faults.fails = True
                telemetry = platform.proxies["vm-1"].telemetry
                # Ends with the judgement, so that no trial fails later.
                while not telemetry.read("servers_judged", judged="bad"):
                    answer = await client.query("READ a")
                    self.assertIn("COMPLETE", answer[-2], answer)
                await wait_until(lambda: count_bad(routers, replica.id) == 3, within_s=2)
                self.assertEqual(1, telemetry.read("servers_judged", judged="bad"))
                self.assertEqual(1, telemetry.gauges["servers_judged_bad"].measure())
                replica.faults.fails = False
                gateways = platform.proxies["vm-1"].kernel.find("gateways", GatewayService)
                for _ in range(RECOVERY_ANSWERS):
                    self.assertNotEqual(0, count_bad(routers, replica.id))
                    await gateways.run(build_read(replica.id))
                await wait_until(lambda: count_bad(routers, replica.id) == 0, within_s=2)
                self.assertEqual(1, telemetry.read("servers_judged", judged="good"))

        run(scenario())

    def test_server_that_starts_again_is_not_judged_by_its_past(self) -> None:
        """Guards against a new server that is asked last because of the answers of the old one."""

        async def scenario() -> None:
            async with run_judging_platform() as platform:
                proxies = platform.proxies.values()
                routers = [proxy.kernel.find("statements", StatementRouter) for proxy in proxies]
                replica = platform.group.servers[1]
                replica.faults.fails = True
                gateways = platform.proxies["vm-1"].kernel.find("gateways", GatewayService)
                for _ in range(MIN_ANSWERS):
                    await gateways.run(build_read(replica.id))
                await wait_until(lambda: count_bad(routers, replica.id) == 3, within_s=2)
                replica.started_ms += 1
                platform.register(replica)
                await wait_until(lambda: count_bad(routers, replica.id) == 0, within_s=2)

        run(scenario())

    def test_platform_that_checks_health_enables_the_judgement(self) -> None:
        """Guards against judgements on platforms that do not ask for them."""
        document = {
            "node-name": "vm-1",
            "ip": "127.0.0.1",
            "zone": "casa-a",
            "region": "casa",
            "zones": {"casa-a": "casa"},
            "bind-addresses": {"frontend-addr": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
            "internal-port-range": [3, 3],
            "platform": {"address": "127.0.0.1:4"},
            "cloud-api": {"address": "127.0.0.1:5"},
        }
        for invariants, expected in (([], False), (["base", "health"], True)):
            boot = msgspec.convert({**document, "invariants": invariants}, BootFile)
            self.assertIs(expected, build_settings(boot).judges_servers)
        self.assertFalse(build_settings(msgspec.convert(document, BootFile)).judges_servers)
