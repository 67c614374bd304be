"""Where a request over HTTP would go, on a deployment of real services over fakes."""

import asyncio
import json
from typing import Any
from unittest.mock import AsyncMock, patch

import pytest
from testtools import TestCase
from typer.testing import CliRunner

from lentilring.cli.ctl import application
from lentilring.configuration.models import hash_key
from lentilring.configuration.service import ConfigurationService
from lentilring.http.admin import AdminInterface
from lentilring.http.messages import HttpRequest
from lentilring.limits.service import LimitService
from lentilring.membership.service import MembershipService
from lentilring.operations.proxies import ProxyClient
from lentilring.outcomes import NotRun, RefusalReason
from lentilring.platform.store import Kind
from lentilring.routing.explanation import RequestExplainer, RequestExplanation, RequestQuestion
from lentilring.routing.service import MAX_IN_FLIGHT_PER_ACCOUNT, RoutingService
from lentilring.status import add_route_view

from . import processes
from .deployment import DATABASE, DOMAINS, SERVICE, Deployment
from .prepared import find_free_port
from .virtual_time import run_virtual

KEY = "key-of-atlas"


class Question:
    """Ask one proxy of a deployment."""

    def __init__(self, deployment: Deployment, vm: str = "vm-1") -> None:
        self.kernel = deployment.proxies[vm].kernel
        self.stopping: NotRun | None = None

    def ask(
        self, route: str, *, key: str = KEY, database: str = DATABASE, account: str = ""
    ) -> RequestExplanation:
        explainer = RequestExplainer(
            local=self.kernel.find("membership", MembershipService).local,
            configuration=self.kernel.find("configuration", ConfigurationService),
            routing=self.kernel.find("routing", RoutingService),
            limits=self.kernel.find("limits", LimitService),
            refuse_request=lambda: self.stopping,
        )
        key_hash = hash_key(key) if key else ""
        return explainer.explain(
            RequestQuestion(
                service=SERVICE, database=database, route=route, key_hash=key_hash, account=account
            )
        )


def list_servers(explanation: RequestExplanation) -> list[str]:
    return [candidate.server for candidate in explanation.candidates]


class ExplanationTest(TestCase):
    def test_servers_are_those_that_requests_reach(self) -> None:
        """Guards against an explanation by other rules than those of routing."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            name = next(f"db-{index}" for index in range(3) if f"db-{index}" != deployment.primary)
            vm = name.replace("db", "vm")
            question = Question(deployment, vm)
            for route in ("book", "stock-now", "transactions"):
                explanation = question.ask(route)
                self.assertEqual([deployment.primary], list_servers(explanation))
                reasons = {entry.reason for entry in explanation.excluded}
                self.assertEqual({"it is not the primary"}, reasons)
                self.assertEqual((), explanation.refusals)
            read = question.ask("stock")
            self.assertEqual(deployment.primary, list_servers(read)[-1])
            self.assertEqual(name, list_servers(read)[0])
            # Nothing was written, so the replicas cannot show how far they are, and refuse.
            dispatcher = deployment.proxies[vm].routing.dispatcher
            with patch.object(dispatcher, "send", wraps=dispatcher.send) as send:
                await deployment.request(vm, "stock", {"op": "get", "key": "a"})
            tried = [call.args[1].name for call in send.call_args_list]
            self.assertEqual(list_servers(read), tried)
            excluded = question.ask("stock").excluded
            self.assertEqual(set(tried[:2]), {entry.server for entry in excluded})
            self.assertEqual({"it lagged a moment ago"}, {entry.reason for entry in excluded})
            gateways = read.candidates[0].gateways
            self.assertEqual(read.candidates[0].failure_domain, gateways[0].failure_domain)

        run_virtual(scenario())

    def test_refusals_come_in_the_order_in_which_requests_are_checked(self) -> None:
        """Guards against a first refusal that callers would not get."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            question = Question(deployment)
            for expected, values in (
                (RefusalReason.ROUTE_UNKNOWN, {"route": "nothing"}),
                (RefusalReason.ROUTE_UNKNOWN, {"route": "book", "database": "nothing"}),
                (RefusalReason.KEY_UNKNOWN, {"route": "book", "key": "other"}),
                (RefusalReason.KEY_MISSING, {"route": "book", "key": ""}),
            ):
                explanation = question.ask(**values)
                self.assertEqual([expected], [entry.reason for entry in explanation.refusals])
                self.assertEqual((None, ()), (explanation.account, explanation.candidates))
            anonymous = question.ask("stock", key="")
            self.assertEqual("public", anonymous.account.name)  # type: ignore[union-attr]
            routing = deployment.proxies["vm-1"].routing
            routing._in_flight_per_account["atlas"] = MAX_IN_FLIGHT_PER_ACCOUNT
            question.stopping = NotRun(reason=RefusalReason.SHUTTING_DOWN, retry_after_s=1.0)
            self.assertEqual(
                [("shutting_down", 1.0), ("queue_full", 0.1)],
                [(entry.reason, entry.retry_after_s) for entry in question.ask("book").refusals],
            )

        run_virtual(scenario())

    def test_drained_server_is_named_and_lost_primary_is_retried(self) -> None:
        """Guards against servers that are missing from the answer without a reason."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            question = Question(deployment)
            replica = next(n for n in ("db-0", "db-1", "db-2") if n != deployment.primary)
            domain = DOMAINS[int(replica.removeprefix("db-"))]
            drained = {"name": domain, "region": domain.split("-")[0], "state": "drained"}
            deployment.put(Kind.FAILURE_DOMAIN, domain, drained)
            await asyncio.sleep(5)
            explanation = question.ask("stock")
            self.assertNotIn(replica, list_servers(explanation))
            self.assertIn(
                (replica, "it is drained"), [(e.server, e.reason) for e in explanation.excluded]
            )
            routing = deployment.proxies["vm-1"].routing
            with patch.object(routing._groups, "find_record", lambda group: None):
                refusals = question.ask("book").refusals
            self.assertEqual([("no_primary", True)], [(r.reason, r.is_retried) for r in refusals])

        run_virtual(scenario())

    def test_tokens_stay_and_an_account_over_its_rate_is_refused(self) -> None:
        """Guards against questions that take tokens or open pools, and hidden refusals."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            question = Question(deployment)
            limits = question.kernel.find("limits", LimitService)
            for _ in range(5):
                self.assertEqual("unknown", question.ask("book").account.supply)  # type: ignore[union-attr]
            self.assertEqual({}, limits.requester._pools)
            account = question.kernel.find("configuration", ConfigurationService).account("atlas")
            assert account is not None
            flood = [
                asyncio.ensure_future(limits.acquire(account, timeout_s=1.0)) for _ in range(400)
            ]
            refusals: list[str] = []
            for _ in range(20):
                await asyncio.sleep(0.01)
                refusals += [entry.reason for entry in question.ask("book").refusals]
            await asyncio.gather(*flood)
            self.assertEqual({"rate_exceeded"}, set(refusals))

        run_virtual(scenario())


class ViewTest(TestCase):
    def test_view_and_command_agree_and_bad_input_fails(self) -> None:
        """Guards against a wrong question or answer with exit code 0, and keys in what is sent."""
        contents: dict[str, tuple[int, Any]] = {}

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            admin = AdminInterface(token="")
            add_route_view(admin, deployment.proxies["vm-1"].kernel, lambda: None)
            path = f"service={SERVICE}&database={DATABASE}"
            for name, query in {
                "book": f"{path}&route=book&key_hash={hash_key(KEY)}",
                "nothing": f"{path}&route=nothing&key_hash={hash_key(KEY)}",
                "other-key": f"{path}&route=book&key_hash={hash_key('other')}",
                "incomplete": path,
                "plain-key": f"{path}&route=book&key_hash={KEY}",
            }.items():
                request = HttpRequest(method="GET", path="/admin/explain-route", query=query)
                response = await admin.handle(request)
                self.assertNotIn(KEY, response.body.decode())
                self.assertNotIn(hash_key(KEY), response.body.decode())
                contents[name] = response.status, json.loads(response.body)

        run_virtual(scenario())
        self.assertEqual([400, 400], [contents[name][0] for name in ("incomplete", "plain-key")])
        contents["newer"] = 200, {**contents["book"][1], "format": 99}
        contents["malformed"] = 200, {**contents["book"][1], "proxy": 5}
        for name, path, code, text in (
            ("book", f"{SERVICE}/{DATABASE}/book", 0, "write on rental-core/tents/book"),
            ("nothing", f"{SERVICE}/{DATABASE}/nothing", 1, "route_unknown (no such route)"),
            ("other-key", f"{SERVICE}/{DATABASE}/book", 1, "key_unknown"),
            ("newer", f"{SERVICE}/{DATABASE}/book", 1, "format 99, known is 1"),
            ("malformed", f"{SERVICE}/{DATABASE}/book", 1, "cannot be read"),
            ("book", "book", 2, "is not SERVICE/DATABASE/ROUTE"),
        ):
            read = AsyncMock(return_value=contents[name][1])
            with patch.object(ProxyClient, "read", read):
                result = CliRunner().invoke(application, ["explain-http-route", path, "--key", KEY])
            self.assertEqual(code, result.exit_code, result.output)
            self.assertIn(text, result.output)
            self.assertNotIn(KEY, str(read.call_args))

    def test_unreachable_proxy_is_an_error(self) -> None:
        """Guards against a missing answer with exit code 0."""
        address = f"127.0.0.1:{find_free_port()}"
        arguments = ["--admin", address, "explain-http-route", "a/b/c"]
        result = CliRunner().invoke(application, arguments)
        self.assertEqual(4, result.exit_code, result.output)
        self.assertIn("ProxyUnavailable", result.output)


@pytest.mark.process
class ProcessTest(TestCase):
    def test_running_proxies_answer_the_command_and_keep_keys_out_of_their_logs(self) -> None:
        """Guards against a view that is not served, and keys or their hashes in logs."""

        async def scenario() -> None:
            async with processes.deploy(self) as deployment:
                key = {"LENTILRING_KEY": processes.KEY}
                for proxy in deployment.proxies:
                    result = await asyncio.to_thread(
                        processes.run_program,
                        "lentilctl",
                        *("--admin", proxy.operators, "explain-http-route"),
                        f"{processes.SERVICE}/tents/stock",
                        variables=key,
                    )
                    self.assertEqual(0, result.returncode, result.stderr)
                    self.assertIn(f"account {processes.ACCOUNT}", result.stdout)
                    self.assertIn("1. ", result.stdout)
                for program in deployment.programs:
                    lines = deployment.read_log(program)
                    self.assertNotIn(processes.KEY, lines)
                    self.assertNotIn(hash_key(processes.KEY)[:16], lines)

        asyncio.run(scenario())
