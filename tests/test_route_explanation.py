"""Where a request would go: the explanation on fakes, and the command on running proxies."""

import asyncio
import io
import json
from http import HTTPStatus
from random import Random
from types import SimpleNamespace
from typing import Any

from testtools import TestCase
from typer.testing import CliRunner

from lentilring.catalog.model import Consistency, build_server_table
from lentilring.catalog.source import ProxyEntry
from lentilring.cli.ctl import application
from lentilring.configuration.accounts import hash_key
from lentilring.gateways.messages import StatementAnswer
from lentilring.gateways.stopping import STOPPED
from lentilring.http.probe import ProbeRequest, ProbeResponse, ProbeServer
from lentilring.http.route_view import KEY_HASH_HEADER, ROUTE_VIEW_PATH, RouteViewer
from lentilring.limits.regional import RegionalLimiter, _Stock
from lentilring.limits.remaining import RemainingRate
from lentilring.outcomes import NotRun, RefusalReason
from lentilring.sessions.choice import ProxyLocation
from lentilring.sessions.route_explanation import MAX_SERVERS, RouteExplainer
from lentilring.sessions.route_messages import RequestKind, RouteExplanation, RouteQuestion
from lentilring.sessions.router import StatementRouter
from lentilring.statements.model import Failure
from lentilring.telemetry.log import write_logs
from lentilring.telemetry.metrics import Telemetry

from .prepared import REGIONS, ZONES, build_manifest, find_free_port, run, run_prepared_platform
from .test_choice import (
    BEHIND,
    DONE,
    FAR,
    NEAR,
    PRIMARY,
    SERVERS,
    Servers,
    build_admission,
    run_single,
)
from .test_regional_limits import ManualClock, build_account, build_pools
from .test_takeover import build_entry

ACCOUNT = build_account()
KEY_HASH = hash_key("plan-key")
FULL = RemainingRate(stock_tokens=2, pool_tokens=None, pool_holder="vm-9", refusal=None)


class FakeProxy(Servers):
    """Hold a router, whose servers answer as a test says, and the state that it looks at."""

    def __init__(self, answers: dict[str, StatementAnswer] | None = None, **route: Any) -> None:
        super().__init__(lambda server, request: (answers or {}).get(server, DONE))
        self.admission = build_admission(**route)
        self.remaining = FULL
        self.random = Random(1)
        self.catalog = SimpleNamespace(
            servers=build_server_table({server.id: server for server in SERVERS}),
            find_primary=lambda service: SERVERS[0],
            accepts_new_work=lambda server: True,
            is_store_reachable=lambda: True,
            is_fresh=lambda: True,
            find_route={"stock": self.admission.route}.get,
            find_account_by_key_hash={KEY_HASH: ACCOUNT}.get,
            manifest=SimpleNamespace(account_regions={}, routes={"stock": self.admission.route}),
            version=3,
            manifest_age_s=lambda: 0.5,
        )
        self.router = StatementRouter(
            catalog=self.catalog,  # type: ignore[arg-type]
            dispatcher=self,  # type: ignore[arg-type]
            limiter=self,  # type: ignore[arg-type]
            location=ProxyLocation(failure_domain=ZONES[1], region=REGIONS[ZONES[1]]),
            regions=REGIONS,
            clock=self,  # type: ignore[arg-type]
            random=self.random,
            telemetry=self.telemetry,
        )

    def preview(self, account: Any) -> RemainingRate:
        return self.remaining

    def choose_gateways(self, server: Any) -> list[ProxyEntry]:
        return [
            ProxyEntry(
                vm=f"vm-{index}",
                address="127.0.0.1:1",
                failure_domain=server.failure_domain,
                region=REGIONS[server.failure_domain],
                incarnation=1,
                weight=1.0,
            )
            for index in range(2)
        ]

    def is_ranked_last(self, vm: str, server: str) -> bool:
        return vm == "vm-1"

    def read(self) -> str:
        """Run a read; return the server that it reached first."""
        self.asked.clear()
        run_single(self.router, admission=self.admission)
        return self.asked[0]

    def explain(
        self, kind: RequestKind = RequestKind.READ, *, route: str = "stock", key: str = "plan-key"
    ) -> RouteExplanation:
        explainer = RouteExplainer(
            catalog=self.catalog,  # type: ignore[arg-type]
            router=self.router,
            dispatcher=self,  # type: ignore[arg-type]
            limiter=self,  # type: ignore[arg-type]
        )
        key_hash = hash_key(key) if key else ""
        return explainer.explain(RouteQuestion(route=route, kind=kind, key_hash=key_hash))


def list_servers(explanation: RouteExplanation) -> list[str]:
    return [candidate.server for candidate in explanation.candidates]


def list_details(explanation: RouteExplanation) -> list[str]:
    return [refusal.detail for refusal in explanation.refusals]


class OrderTest(TestCase):
    def test_reads_of_replicas_and_other_requests_go_where_the_router_sends_them(self) -> None:
        """Guards against an explanation by other rules than those of the router."""
        proxy = FakeProxy()
        self.assertEqual([NEAR, FAR, PRIMARY], list_servers(proxy.explain()))
        self.assertEqual(NEAR, proxy.read())
        read_only = proxy.explain(RequestKind.READ_ONLY_TRANSACTION)
        self.assertEqual([NEAR, FAR, PRIMARY], list_servers(read_only))
        for kind in (RequestKind.WRITE, RequestKind.TRANSACTION):
            self.assertEqual([PRIMARY], list_servers(proxy.explain(kind)))
        strict = FakeProxy(consistency=Consistency.PRIMARY)
        for kind in RequestKind:
            self.assertEqual([PRIMARY], list_servers(strict.explain(kind)))
        self.assertEqual(
            ["it is not the primary"] * 2, [e.reason for e in strict.explain().excluded]
        )

    def test_each_place_has_its_reasons(self) -> None:
        """Guards against an order whose cause the answer does not show."""
        for answer, field in (
            (StatementAnswer(proof="p", wait_s=0.4), "wait_s"),
            (StatementAnswer(failure=Failure.TIMED_OUT), "failure_penalty_s"),
            (BEHIND, "lag_penalty_s"),
            (StatementAnswer(proof="p", bad_share=0.4), "is_bad"),
        ):
            proxy = FakeProxy({NEAR: answer})
            self.assertEqual(NEAR, proxy.read())
            explanation = proxy.explain()
            self.assertEqual([FAR, PRIMARY, NEAR], list_servers(explanation), field)
            self.assertEqual(
                [False, False, True], [bool(getattr(c, field)) for c in explanation.candidates]
            )
        self.assertEqual(
            [False, True], [g.is_ranked_last for g in explanation.candidates[0].gateways]
        )
        self.assertTrue(explanation.candidates[1].primary_penalty_s > 0)

    def test_excluded_servers_are_named_with_the_reason(self) -> None:
        """Guards against servers that are missing from the answer without a word."""
        proxy = FakeProxy(allowed_regions=(REGIONS[ZONES[1]], REGIONS[ZONES[2]]))
        proxy.catalog.accepts_new_work = lambda server: server.id != NEAR
        explanation = proxy.explain()
        self.assertEqual([FAR], list_servers(explanation))
        self.assertEqual(
            {PRIMARY: "the route does not allow its region", NEAR: "it accepts no new work"},
            {entry.server: entry.reason for entry in explanation.excluded},
        )
        proxy.catalog.manifest.account_regions = {ACCOUNT.name: (REGIONS[ZONES[0]],)}
        reasons = [entry.reason for entry in proxy.explain().excluded]
        self.assertIn("the account does not allow its region", reasons)
        self.assertEqual(["no server may serve this read"], list_details(proxy.explain()))

    def test_question_changes_nothing_and_its_answer_is_bounded(self) -> None:
        """Guards against questions that change the choice of later reads, and long answers."""
        proxy = FakeProxy()
        many = {f"s-{index}": build_entry(f"s-{index}") for index in range(MAX_SERVERS + 4)}
        proxy.catalog.servers = build_server_table(many)
        state, counts = proxy.random.getstate(), dict(proxy.telemetry.counts)
        explanation = proxy.explain()
        self.assertEqual((state, counts), (proxy.random.getstate(), proxy.telemetry.counts))
        self.assertEqual([], proxy.asked)
        self.assertEqual(MAX_SERVERS, len(explanation.candidates))
        self.assertEqual(len(many), explanation.servers)
        tried = [candidate.is_tried for candidate in explanation.candidates]
        self.assertEqual([True] * 4 + [False] * (MAX_SERVERS - 4), tried)


class RefusalTest(TestCase):
    def test_unknown_database_and_key_are_refused_as_in_a_session(self) -> None:
        """Guards against a question about nothing that gets servers as an answer."""
        proxy = FakeProxy()
        for explanation, failure in (
            (proxy.explain(route="nothing"), Failure.UNKNOWN_DATABASE),
            (proxy.explain(key="other"), Failure.UNAUTHORIZED),
            (proxy.explain(key=""), Failure.UNAUTHORIZED),
        ):
            self.assertEqual([failure], [refusal.failure for refusal in explanation.refusals])
            self.assertEqual((None, ()), (explanation.route, explanation.candidates))
        self.assertEqual("r-stock", proxy.explain(route="r-stock").route.name)  # type: ignore[union-attr]
        anonymous = FakeProxy(allows_anonymous=True).explain(key="")
        self.assertEqual((None, ()), (anonymous.account, anonymous.refusals))

    def test_refusals_come_in_the_order_in_which_the_router_checks(self) -> None:
        """Guards against a first refusal that callers would not get, and a wrong retry time."""
        proxy = FakeProxy()
        self.assertEqual((), proxy.explain(RequestKind.WRITE).refusals)
        proxy.catalog.is_fresh = lambda: False
        proxy.catalog.find_primary = lambda service: None
        refused = NotRun(reason=RefusalReason.RATE_EXCEEDED, retry_after_s=0.07)
        proxy.remaining = RemainingRate(
            stock_tokens=0, pool_tokens=0.2, pool_holder="vm-0", refusal=refused
        )
        proxy.router.begin_stop(STOPPED)
        refusals = proxy.explain(RequestKind.WRITE).refusals
        self.assertEqual(
            [
                ("the configuration is 0.5 s old", 1.0, 0.0),
                ("the proxy is stopping", None, 0.0),
                ("rate_exceeded for account planner", 0.07, 0.0),
                ("no primary is known", 0.3, 1.2),
            ],
            [(r.detail, r.retry_after_s, round(r.after_s, 3)) for r in refusals],
        )
        proxy.catalog.manifest, proxy.catalog.manifest_age_s = None, lambda: float("inf")
        empty = proxy.explain(RequestKind.WRITE)
        self.assertEqual((1, None), (len(empty.refusals), empty.manifest_age_s))


class PreviewTest(TestCase):
    def test_preview_shows_the_tokens_and_leaves_the_pool_as_it_was(self) -> None:
        """Guards against questions that open, fill or empty a pool."""
        clock = ManualClock()
        looked_at, other = build_pools(clock, "a1", 1), build_pools(clock, "a1", 1)
        for step_s, wanted in ((0.0, 0), (0.05, 2), (0.3, 50), (0.01, 1), (2.0, 99)):
            clock.now += step_s
            for _ in range(3):
                tokens, retry_s = looked_at.preview(ACCOUNT)
            self.assertEqual(other.retry_after_s(ACCOUNT), retry_s)
            granted = other.take(ACCOUNT, wanted)
            self.assertEqual(min(wanted, int(tokens)), granted)
            self.assertEqual(granted, looked_at.take(ACCOUNT, wanted))

    def test_limiter_says_who_decides_about_the_next_operation(self) -> None:
        """Guards against a refusal that another region could still prevent, and tokens too old."""
        clock = ManualClock()
        entries = {
            vm: SimpleNamespace(vm=vm, region=region, is_leaving=False)
            for vm, region in (("a1", "a"), ("a2", "a"), ("b1", "b"))
        }
        holder = ["a1"]
        fleet = SimpleNamespace(
            local=entries["a1"],
            members=lambda: tuple(entries.values()),
            rank=lambda key: (entries[holder[0]],),
            is_suspect=lambda vm: False,
            count_registered=lambda: 3,
        )
        limiter = RegionalLimiter(
            fleet=fleet,  # type: ignore[arg-type]
            transport=None,  # type: ignore[arg-type]
            clock=clock,
            random=Random(1),
            telemetry=Telemetry(),
            find_account={ACCOUNT.name: ACCOUNT}.get,
        )
        while limiter.pools.take(ACCOUNT, 1):
            pass
        remaining = limiter.preview(ACCOUNT)
        self.assertEqual((0, True), (remaining.stock_tokens, remaining.must_borrow))
        self.assertIsNone(remaining.refusal)
        limiter._dry_until[ACCOUNT.name] = clock.now + 0.1
        remaining = limiter.preview(ACCOUNT)
        self.assertFalse(remaining.must_borrow)
        self.assertIsNotNone(remaining.refusal)
        holder[0] = "a2"
        remaining = limiter.preview(ACCOUNT)
        self.assertEqual(("a2", None), (remaining.pool_holder, remaining.pool_tokens))
        self.assertIsNone(remaining.refusal)
        self.assertEqual({}, limiter._stocks)
        limiter._stocks[ACCOUNT.name] = _Stock(tokens=3, taken_at=clock.now)
        self.assertEqual(3, limiter.preview(ACCOUNT).stock_tokens)
        clock.now += 1.0
        self.assertEqual(0, limiter.preview(ACCOUNT).stock_tokens)


class ViewTest(TestCase):
    def test_bad_questions_are_answered_with_what_is_allowed(self) -> None:
        """Guards against errors in the proxy's log, or answers that repeat what was sent."""
        viewer = RouteViewer(explain=lambda question: FakeProxy().explain(), telemetry=Telemetry())
        for query, key_hash, text in (
            ({}, "", "route must have 1 to 256 characters"),
            ({"route": "x" * 257}, "", "route must have 1 to 256 characters"),
            ({"route": "stock", "kind": "commit"}, "", "kind must be one of read, write"),
            ({"route": "stock", "key": "plan-key"}, "", "only the parameters route and kind"),
            ({"route": "stock"}, "plan-key", "must be 64 lower-case hexadecimal digits"),
        ):
            request = ProbeRequest(query=query, headers={KEY_HASH_HEADER: key_hash})
            response = viewer.answer(request)
            self.assertEqual(HTTPStatus.BAD_REQUEST, response.status)
            self.assertIn(text, response.content.decode())
            self.assertNotIn("plan-key", response.content.decode())


async def ask(address: str, route: str, *options: str) -> Any:
    arguments = ["explain-route", route, "--metrics-address", address, *options]
    return await asyncio.to_thread(CliRunner().invoke, application, arguments)


class CommandTest(TestCase):
    def test_running_proxies_answer_without_taking_tokens_or_sending_statements(self) -> None:
        """Guards against questions with side effects, and keys in logs and answers."""

        async def scenario() -> None:
            output = io.StringIO()
            with write_logs(level="debug", stream=output):
                async with run_prepared_platform() as platform:
                    proxies = list(platform.proxies.values())
                    for proxy in proxies:
                        await self.check_proxy(proxy)
            self.assertNotIn("plan-key", output.getvalue())
            self.assertNotIn(KEY_HASH, output.getvalue())

        run(scenario())

    async def check_proxy(self, proxy: Any) -> None:
        limiter = proxy.kernel.find("limits", RegionalLimiter)
        address = proxy.settings.metrics_address
        for kind in RequestKind:
            result = await ask(
                address, "stock", "--key", "plan-key", "--kind", kind.value, "--json"
            )
            self.assertEqual(0, result.exit_code, result.output)
            self.assertNotIn("plan-key", result.output)
            self.assertNotIn(KEY_HASH, result.output)
            document = json.loads(result.stdout)
            self.assertEqual(proxy.settings.vm, document["proxy"])
            self.assertEqual("planner", document["account"]["name"])
            self.assertEqual([], document["refusals"])
            is_read = kind in (RequestKind.READ, RequestKind.READ_ONLY_TRANSACTION)
            self.assertEqual(3 if is_read else 1, len(document["candidates"]))
            first = document["candidates"][0]
            if is_read:
                self.assertEqual(proxy.settings.failure_domain, first["failure_domain"])
            else:
                self.assertEqual("primary", first["role"])
        self.assertEqual({}, limiter._stocks)
        self.assertEqual(0, proxy.telemetry.read("statements", work="read", outcome="done"))

    def test_account_over_its_rate_is_shown_as_refused(self) -> None:
        """Guards against tokens that are shown as left while callers are refused."""
        tenant = {"name": "planner", "api-keys": ["plan-key"], "rate-per-s": 0.05, "burst": 4}
        manifest = build_manifest(tenants=[tenant])

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1, manifest=manifest) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("stock")
                # The account gets a token every 20 s, so none comes in while the test runs.
                answer = await client.query("READ a")
                self.assertIn("BUSY rate_exceeded for account planner", answer[0])
                address = proxy.settings.metrics_address
                result = await ask(address, "stock", "--key", "plan-key")
                self.assertEqual(0, result.exit_code, result.output)
                self.assertIn("REFUSED: overloaded, rate_exceeded for account", result.output)
                self.assertIn("retry after", result.output)
                client.close()

        run(scenario())

    def test_bad_input_and_unreadable_answers_end_with_an_error(self) -> None:
        """Guards against a wrong question, address or version that looks like an answer."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                settings = platform.proxies["vm-0"].settings
                metrics, key = settings.metrics_address, ("--key", "plan-key")
                other, closed = f"127.0.0.1:{find_free_port()}", f"127.0.0.1:{find_free_port()}"
                server = ProbeServer(
                    readiness_address=f"127.0.0.1:{find_free_port()}",
                    metrics_address=other,
                    is_ready=lambda: True,
                    telemetry=Telemetry(),
                    views={ROUTE_VIEW_PATH: self.answer_in_other_format},
                )
                await server.start()
                for address, route, options, code, text in (
                    (metrics, "nothing", key, 1, "no route has this database: nothing"),
                    (metrics, "stock", ("--key", "x"), 1, "the key is not known: stock"),
                    (metrics, "stock", (), 1, "give --key"),
                    (metrics, "x" * 300, key, 1, "route must have 1 to 256 characters"),
                    (metrics, "stock", (*key, "--kind", "commit"), 2, "commit"),
                    ("127.0.0.1", "stock", key, 2, "is not IP:PORT"),
                    (closed, "stock", key, 4, "SessionProxyUnavailable"),
                    (settings.readiness_address, "stock", key, 1, "does not explain routes"),
                    (other, "stock", key, 1, "format 99, known is 1"),
                    (other, "malformed", key, 1, "RouteAnswerInvalid"),
                ):
                    result = await ask(address, route, *options)
                    self.assertEqual(code, result.exit_code, result.output)
                    self.assertIn(text, result.output)
                shown = await ask(metrics, "r-stock", *key)
                self.assertEqual(0, shown.exit_code, shown.output)
                self.assertIn("read on route r-stock: database stock", shown.output)
                self.assertIn("in the region's pool, which this proxy holds", shown.output)
                await server.stop()

        run(scenario())

    def answer_in_other_format(self, request: ProbeRequest) -> ProbeResponse:
        known = request.query["route"] == "malformed"
        content = b'{"format": 1, "proxy": 5}' if known else b'{"format": 99}'
        return ProbeResponse(status=HTTPStatus.OK, content=content)
