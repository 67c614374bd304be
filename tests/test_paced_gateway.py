"""The pace of a server as its gateway applies it, and the setting that enables it."""

import asyncio
from typing import Any
from unittest.mock import patch

import msgspec
from testtools import TestCase

from lentilring.gateways.gateway import UNREACHABLE_REFUSAL_S, ServerGateway
from lentilring.gateways.messages import StatementKind
from lentilring.gateways.pacing import PaceReason, ServerPace
from lentilring.gateways.server import ServerLost, ServerReply, ServerUnreachable
from lentilring.gateways.service import GatewayService
from lentilring.platform.boot import BootFile, build_settings
from lentilring.statements.model import Failed, Failure, TransactionState

from .prepared import run, run_prepared_platform, wait_until
from .test_server_queue import WORK_S, Bench, FakeSession, find_failure, start
from .virtual_time import run_virtual

# A gateway sends one statement more than the two slots of a server.
FULL = 3


def build_bench() -> Bench:
    bench = Bench()
    bench.gateway.pace = ServerPace(max_limit=FULL)
    return bench


def count_at_server(gateway: ServerGateway) -> int:
    return gateway.slots.running


class PacedGatewayTest(TestCase):
    def test_server_that_is_reached_again_gets_more_step_by_step(self) -> None:
        """Guards against all callers that come back at once to a server that just restarted."""

        async def scenario() -> None:
            bench = build_bench()
            bench.server.error = ServerUnreachable(server="s", detail="nothing listens")
            self.assertTrue((await bench.run()).is_unreachable)
            bench.server.error = None
            await asyncio.sleep(UNREACHABLE_REFUSAL_S)
            waiting = [start(bench.run(f"q{number}")) for number in range(60)]
            peaks = []
            for _ in range(6):
                await asyncio.sleep(WORK_S)
                peaks.append(count_at_server(bench.gateway))
            # The first statement also opens its connection.
            self.assertEqual([1, 1, 2], peaks[:3])
            self.assertEqual(FULL, peaks[-1])
            results = await asyncio.gather(*waiting)
            self.assertEqual({None}, {find_failure(result) for result in results})
            self.assertFalse(bench.gateway.pace.is_paced)
            telemetry = bench.gateway._telemetry
            self.assertEqual(1, telemetry.read("server_paces", reason="unreachable"))
            self.assertEqual(59, telemetry.read("gateway_statements_paced"))

        run_virtual(scenario())

    def test_statements_that_can_run_soon_are_not_refused_at_the_first_limit(self) -> None:
        """Guards against refusals for a wait that is estimated at one statement at a time."""

        async def scenario() -> None:
            bench = build_bench()
            await asyncio.gather(*(bench.run(f"before{number}") for number in range(30)))
            bench.gateway.begin_pace(PaceReason.UNREACHABLE)
            # 64 statements of 10 ms take 0.64 s one by one, longer than they wait for a slot.
            results = await asyncio.gather(*(bench.run(f"q{number}") for number in range(64)))
            self.assertEqual({None}, {find_failure(result) for result in results})

        run_virtual(scenario())

    def test_proof_of_the_lead_admits_a_statement_behind_one_without_an_answer(self) -> None:
        """Guards against a primary that is back but idle until an old statement has timed out."""

        async def scenario() -> None:
            bench = build_bench()
            bench.gateway.begin_pace(PaceReason.UNREACHABLE)
            tasks = [start(bench.run(f"q{number}", text="0.3")) for number in range(3)]
            await asyncio.sleep(2 * WORK_S)
            self.assertEqual(1, count_at_server(bench.gateway))
            self.assertIsNotNone(await bench.gateway.prove_leadership("planner"))
            self.assertEqual(2, count_at_server(bench.gateway))
            await asyncio.gather(*tasks)

        run_virtual(scenario())

    def test_open_transaction_does_not_wait_for_the_pace(self) -> None:
        """Guards against aborted transactions, whose work the server has already done."""

        async def scenario() -> None:
            bench = build_bench()
            transaction = await bench.open_transaction()
            bench.gateway.begin_pace(PaceReason.NEW_PROCESS)
            reads = [start(bench.run(f"q{number}", text="0.5")) for number in range(2)]
            await asyncio.sleep(2 * WORK_S)
            self.assertEqual(1, count_at_server(bench.gateway))
            result, took_s = await bench.time_run(
                "commit", transaction=transaction, work=StatementKind.COMMIT, patience_s=0.0
            )
            self.assertIsNone(find_failure(result))
            self.assertLess(took_s, 2 * WORK_S)
            await asyncio.gather(*reads)

        run_virtual(scenario())

    def test_refusals_and_lost_answers_reach_the_pace(self) -> None:
        """Guards against a limit that ignores what the server says."""
        busy = ServerReply(
            outcome=Failed(failure=Failure.OVERLOADED, detail="busy"), state=TransactionState.IDLE
        )
        lost = ServerLost(server="s", detail="timed out", timed_out=True)

        async def scenario(**patched: Any) -> PaceReason | None:
            bench = build_bench()
            with patch.object(FakeSession, "_answer", **patched):
                await asyncio.gather(*(bench.run(f"q{number}") for number in range(FULL)))
            self.assertEqual(1, bench.gateway.pace.limit)
            return bench.gateway.pace.reason

        self.assertIs(PaceReason.REFUSALS, run_virtual(scenario(return_value=busy)))
        self.assertIs(PaceReason.ANSWERS_LOST, run_virtual(scenario(side_effect=lost)))

    def test_restarted_server_is_paced_only_where_the_setting_says_so(self) -> None:
        """Guards against a new process that is taken for the one known before, and the reverse."""

        async def scenario(paces_servers: bool) -> None:
            async with run_prepared_platform(proxies=0) as platform:
                proxy = await platform.add_proxy("vm-0", "casa-a", paces_servers=paces_servers)
                await platform.wait_ready()
                leader = platform.group.leader
                assert leader is not None
                client = await proxy.open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                gateways = proxy.kernel.find("gateways", GatewayService)
                known = gateways._gateways[leader.id]
                self.assertFalse(known.pace.is_paced)
                # Registrations of the first second belong to the proxy's first list.
                await asyncio.sleep(1.1)
                leader.started_ms += 1
                platform.register(leader)
                await wait_until(
                    lambda: gateways._gateways.get(leader.id) is not known, within_s=5.0
                )
                self.assertIn("COMPLETE", (await client.query("WRITE a 2"))[0])
                began = proxy.telemetry.read("server_paces", reason="new_process")
                self.assertEqual(int(paces_servers), began)
                client.close()

        run(scenario(True))
        run(scenario(False))


class SettingTest(TestCase):
    def test_invariant_of_the_settings_file_enables_the_pace(self) -> None:
        """Guards against pacing on platforms that do not ask for it."""
        values: dict[str, Any] = {
            "node-name": "vm-1",
            "ip": "127.0.0.1",
            "zone": "casa-a",
            "region": "casa",
            "zones": {"casa-a": "casa"},
            "bind-addresses": {"frontend-addr": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
            "internal-port-range": [3, 4],
            "platform": {"address": "127.0.0.1:5"},
            "cloud-api": {"address": "127.0.0.1:6"},
        }
        for others, paces_servers in (
            ({}, False),
            ({"invariants": ["limits"]}, False),
            ({"invariants": ["limits", "health"]}, True),
        ):
            boot = msgspec.convert(values | others, BootFile)
            self.assertIs(paces_servers, build_settings(boot).paces_servers, others)
