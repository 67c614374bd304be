"""Stops of proxies that are gateways of their peers, or whose gateways are peers."""

import asyncio
import gc
from typing import Any, cast
from unittest.mock import patch

import logbook
from testtools import TestCase

from lentilring.catalog.fleet import FleetService
from lentilring.catalog.source import ProxyEntry
from lentilring.clock import BootClock
from lentilring.gateways.gateway import GATEWAY_STOPPING, ServerGateway
from lentilring.gateways.messages import EndTransaction
from lentilring.gateways.probing import PeerProber
from lentilring.gateways.service import GatewayService
from lentilring.peers.tcp import TcpTransport
from lentilring.peers.transport import PeerAnswerLost, PeerTransport
from lentilring.telemetry.metrics import Telemetry

from .prepared import PreparedPlatform, Proxy, run, run_prepared_platform, wait_until
from .test_planned_stop import DRAIN_TIMEOUT_S, TRANSACTION_TIME_S, stop_as_planned

# A gateway sends one statement more than the two slots of a server.
RUNNING = 3
SLOW_WORK_S = 0.6
SHORT_WORK_S = 0.05


class FailingTransport:
    """Fail a call when the test says so."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[object] = asyncio.get_running_loop().create_future()

    async def call(self, address: str, request: object, *, timeout_s: float) -> object:
        return await self.answer


class FleetStandin:
    """Stand for a fleet that suspects nobody."""

    on_suspected: Any = None


class UnfinishedCallTest(TestCase):
    def test_call_that_fails_as_its_caller_is_cancelled_is_no_unhandled_error(self) -> None:
        """Guards against `Task exception was never retrieved` at the end of a process."""
        unhandled: list[dict[str, Any]] = []

        async def scenario() -> None:
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: unhandled.append(context)
            )
            transport = FailingTransport()
            prober = PeerProber(
                fleet=cast(FleetService, FleetStandin()),
                transport=cast(PeerTransport, transport),
                clock=BootClock(),
                telemetry=Telemetry(),
            )
            peer = ProxyEntry(
                vm="vm-1",
                address="127.0.0.1:1",
                failure_domain="casa-a",
                region="casablanca",
                incarnation=1,
                weight=1.0,
            )
            call = asyncio.ensure_future(
                prober.call(peer, EndTransaction(transaction="t"), timeout_s=1.0)
            )
            await asyncio.sleep(0.01)
            lost = PeerAnswerLost(address=peer.address, detail="connection lost: None")
            transport.answer.set_exception(lost)
            await asyncio.sleep(0)
            call.cancel()
            await asyncio.wait({call})
            self.assertTrue(call.cancelled())
            del call, transport, prober
            gc.collect()

        run(scenario())
        gc.collect()
        self.assertEqual([], [context["message"] for context in unhandled])


class RollbackAtStopTest(TestCase):
    def test_rollback_that_begins_at_the_end_of_a_stop_reaches_the_gateway(self) -> None:
        """Guards against a stopped proxy's transaction that holds a connection until it is idle."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                gateways = find_gateways(gateway)
                self.assertEqual(1, gateways.count_transactions())
                # As after a call without an answer: the next call opens a connection.
                for connection in own.kernel.find("transport", TcpTransport)._callers.values():
                    connection.silent = True
                await own.stop()
                await wait_until(lambda: not gateways.count_transactions(), within_s=0.5)
                client.close()

        run(scenario())

    def test_rollback_of_a_transaction_that_still_runs_a_statement_follows_it(self) -> None:
        """Guards against a transaction that stays open after its given-up statement has run."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                platform.group.limit_work(slots=2, choose_work_s=lambda: SLOW_WORK_S)
                client.send("QUERY q WRITE a 2")
                await wait_until(lambda: "q" in platform.group.arrivals, within_s=1.0)
                await own.stop()
                self.assertIn("ERROR ABORTED", (await client.read_answer())[0])
                gateways = find_gateways(gateway)
                await wait_until(
                    lambda: not gateways.count_transactions(), within_s=2 * SLOW_WORK_S
                )
                client.close()

        run(scenario())

    def test_transaction_whose_first_statement_is_given_up_does_not_stay_open(self) -> None:
        """Guards against locks that a transaction holds whose id its proxy never learned."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 0"))[0])
                await client.query("BEGIN")
                platform.group.limit_work(slots=2, choose_work_s=lambda: SLOW_WORK_S)
                client.send("QUERY q WRITE a 1")
                await wait_until(lambda: "q" in platform.group.arrivals, within_s=1.0)
                await own.stop()
                self.assertIn("ERROR ABORTED", (await client.read_answer())[0])
                await asyncio.sleep(2 * SLOW_WORK_S)
                self.assertEqual(0, find_gateways(gateway).count_transactions())
                client.close()

        run(scenario())


class FailingGatewayTest(TestCase):
    def test_transaction_does_not_outlive_an_unexpected_error(self) -> None:
        """Guards against a transaction and connection that nobody can use or end any more."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                with patch.object(ServerGateway, "_run_steps", side_effect=KeyError("broken")):
                    self.assertIn("ERROR ABORTED", (await client.query("WRITE a 2"))[0])
                self.assertEqual(0, find_gateways(proxy).count_transactions())
                self.assertEqual(0, find_gateways(proxy).count_running())
                client.close()

        run(scenario())


class PeersAtStoppingGatewayTest(TestCase):
    def test_statement_that_waits_at_a_stopping_gateway_runs_through_another(self) -> None:
        """Guards against INDOUBT for a write that never left the queue of a stopped gateway."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                clients = [await own.open("booking") for _ in range(RUNNING + 2)]
                *running, waiting, in_transaction = clients
                await in_transaction.query("BEGIN")
                self.assertIn("COMPLETE", (await in_transaction.query("WRITE a 0"))[0])
                platform.group.limit_work(slots=2, choose_work_s=lambda: SLOW_WORK_S)
                gateways = find_gateways(gateway)
                for number, client in enumerate(running):
                    client.send(f"QUERY running{number} WRITE a 1")
                await wait_until(lambda: gateways.count_running() == RUNNING, within_s=1.0)
                waiting.send("QUERY waiting WRITE a 2")
                in_transaction.send("QUERY inside WRITE a 3")
                await wait_until(lambda: gateways.count_running() == RUNNING + 2, within_s=0.3)
                await gateway.stop()
                self.assertIn("ERROR ABORTED", (await in_transaction.read_answer())[0])
                self.assertIn("COMPLETE", (await waiting.read_answer())[0])
                for client in running:
                    answer = await client.read_answer()
                    self.assertEqual(f"ERROR INDOUBT {GATEWAY_STOPPING}", answer[0])
                self.assertNotIn("inside", [entry.request_id for entry in platform.group.runs])
                for client in clients:
                    client.close()

        run(scenario())

    def test_commit_that_ends_right_after_draining_is_answered(self) -> None:
        """Guards against INDOUBT for a commit that its gateway could have answered."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                platform.group.limit_work(slots=2, choose_work_s=lambda: SHORT_WORK_S)
                client.send("QUERY q COMMIT")
                await wait_until(lambda: "q" in platform.group.arrivals, within_s=1.0)
                await gateway.stop()
                self.assertIn("COMPLETE", (await client.read_answer())[0])
                client.close()

        run(scenario())

    def test_read_that_runs_at_a_stopping_gateway_runs_again_through_another(self) -> None:
        """Guards against ABORTED for a read that another gateway can run."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                await client.query("READ a")
                platform.group.limit_work(slots=2, choose_work_s=lambda: SLOW_WORK_S)
                client.send("QUERY q READ a")
                await wait_until(lambda: "q" in platform.group.arrivals, within_s=1.0)
                await gateway.stop()
                self.assertIn("COMPLETE", " ".join(await client.read_answer()))
                client.close()

        run(scenario())

    def test_write_at_a_server_that_was_removed_is_answered_before_the_gateway_ends(self) -> None:
        """Guards against a stop that does not see the statements of a gateway that was closed."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 0"))[0])
                # The write ends after the last poll of the drain, and in time for its answer.
                platform.group.limit_work(slots=2, choose_work_s=lambda: DRAIN_TIMEOUT_S - 0.03)
                client.send("QUERY q WRITE a 1")
                await wait_until(lambda: "q" in platform.group.arrivals, within_s=1.0)
                server = platform.group.servers[0]
                platform.register(server, state="draining")
                await asyncio.sleep(0.1)
                platform.store.remove("servers", server.id)
                gateways = find_gateways(gateway)
                await wait_until(
                    lambda: server.id not in [entry.id for entry in gateways.list_servers()],
                    within_s=1.0,
                )
                self.assertEqual(1, gateways.count_running())
                await stop_as_planned(gateway)
                self.assertIn("COMPLETE", (await client.read_answer())[0])
                client.close()

        run(scenario())

    def test_late_write_of_a_peer_runs_through_another_gateway(self) -> None:
        """Guards against a stopping gateway that takes what it can't answer before its end."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                # The peer does not learn that the gateway is leaving, as while the store is down.
                with patch.object(FleetService, "leave"):
                    stop = asyncio.ensure_future(stop_as_planned(gateway))
                    await asyncio.sleep(DRAIN_TIMEOUT_S - SLOW_WORK_S / 2)
                platform.group.limit_work(slots=2, choose_work_s=lambda: SLOW_WORK_S)
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                client.close()
                await stop

        run(scenario())

    def test_late_statement_of_a_peers_transaction_is_answered_at_once(self) -> None:
        """Guards against transactions that go on at a gateway until its process ends."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                late, in_time = await own.open("booking"), await own.open("booking")
                for client in (late, in_time):
                    await client.query("BEGIN")
                    self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                stop = asyncio.ensure_future(stop_as_planned(gateway))
                await asyncio.sleep(TRANSACTION_TIME_S / 2)
                self.assertIn("COMPLETE", (await late.query("WRITE a 2"))[0])
                await asyncio.sleep(TRANSACTION_TIME_S / 2 + 0.1)
                self.assertIn("ERROR ABORTED", (await late.query("WRITE a 3", "late"))[0])
                self.assertIn("COMPLETE", (await in_time.query("COMMIT"))[0])
                await stop
                self.assertNotIn("late", [entry.request_id for entry in platform.group.runs])
                self.assertEqual(1, len(platform.group.log))
                late.close()
                in_time.close()

        run(scenario())

    def test_commit_after_its_gateway_has_ended_is_answered_at_once(self) -> None:
        """Guards against silence or INDOUBT for a commit that can't have run."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                client = await own.open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                await stop_as_planned(gateway)
                async with asyncio.timeout(SHORT_WORK_S * 4):
                    self.assertIn("ERROR ABORTED", (await client.query("COMMIT"))[0])
                self.assertEqual([], platform.group.log)
                client.close()

        run(scenario())


class StopAtBothEndsTest(TestCase):
    def test_statements_that_run_as_both_proxies_end_are_answered(self) -> None:
        """Guards against a gateway's answer that comes after its peer has ended draining."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                gateway, own = platform.proxies["vm-0"], platform.proxies["vm-1"]
                clients = [await own.open("booking") for _ in range(2)]
                single, in_transaction = clients
                await in_transaction.query("BEGIN")
                self.assertIn("COMPLETE", (await in_transaction.query("WRITE a 0"))[0])
                platform.group.limit_work(slots=RUNNING, choose_work_s=lambda: DRAIN_TIMEOUT_S)
                stops = asyncio.gather(stop_as_planned(own), stop_as_planned(gateway))
                single.send("QUERY q1 WRITE a 1")
                in_transaction.send("QUERY q2 COMMIT")
                for client in clients:
                    answer = await client.read_answer()
                    self.assertIn("ERROR INDOUBT", answer[0])
                    self.assertIn("READY", answer[-1])
                await stops
                for client in clients:
                    client.close()

        run(scenario())

    def test_work_goes_on_for_its_time_while_all_proxies_stop(self) -> None:
        """Guards against proxies that have no gateway as soon as all of them are leaving."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                own = platform.proxies["vm-1"]
                clients = [await own.open("booking") for _ in range(2)]
                single, in_transaction = clients
                await in_transaction.query("BEGIN")
                stops = asyncio.gather(
                    *[stop_as_planned(proxy) for proxy in platform.proxies.values()]
                )
                fleet = own.kernel.find("fleet", FleetService)
                await wait_until(lambda: fleet.find("vm-0").is_leaving, within_s=0.4)
                self.assertIn("COMPLETE", (await in_transaction.query("WRITE a 1"))[0])
                self.assertIn("COMPLETE", (await in_transaction.query("COMMIT"))[0])
                self.assertIn("COMPLETE", (await single.query("WRITE a 2"))[0])
                for client in clients:
                    client.close()
                await stops

        run(scenario())


class UnsentAnswerTest(TestCase):
    def test_log_names_the_statement_whose_answer_a_peer_does_not_get(self) -> None:
        """Guards against a gateway that says nothing of a statement whose proxy is gone."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                own = platform.proxies["vm-1"]
                client = await own.open("booking")
                platform.group.limit_work(slots=2, choose_work_s=lambda: SHORT_WORK_S)
                handler = logbook.TestHandler()
                with handler.applicationbound():
                    client.send("QUERY q WRITE a 1")
                    await wait_until(lambda: "q" in platform.group.arrivals, within_s=1.0)
                    for connection in own.kernel.find("transport", TcpTransport)._callers.values():
                        connection.abort()
                    self.assertIn("ERROR INDOUBT", (await client.read_answer())[0])
                    await asyncio.sleep(2 * SHORT_WORK_S)
                unsent = [
                    entry for entry in handler.records if "peer_answer_unsent" in entry.message
                ]
                (line,) = unsent
                server = platform.group.servers[0].id
                self.assertIn(f"peer=vm-1 request=q server={server}", line.message)
                self.assertEqual("WARNING", line.level_name)
                client.close()

        run(scenario())

    def test_log_names_a_statement_that_is_cancelled_while_it_waits_for_a_slot(self) -> None:
        """Guards against a statement that disappears from a gateway's queue without a line."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                clients = [await proxy.open("booking") for _ in range(RUNNING + 1)]
                platform.group.limit_work(slots=2, choose_work_s=lambda: SLOW_WORK_S)
                gateways = find_gateways(proxy)
                for number, client in enumerate(clients):
                    client.send(f"QUERY q{number} WRITE a 1")
                    await wait_until(lambda n=number: gateways.count_running() == n + 1, within_s=1)
                handler = logbook.TestHandler()
                with handler.applicationbound():
                    await proxy.stop()
                lines = [
                    entry.message for entry in handler.records if "request=q3" in entry.message
                ]
                (broken,) = [line for line in lines if "event=statement_broken" in line]
                self.assertIn(f"server={platform.group.servers[0].id}", broken)
                self.assertIn("sent=False", broken)
                for client in clients:
                    client.close()

        run(scenario())


class ReplacedGatewayTest(TestCase):
    def test_transaction_whose_gateway_was_replaced_at_its_address_is_aborted(self) -> None:
        """Guards against a new process that takes a statement of its predecessor's transaction."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                own = platform.proxies["vm-1"]
                clients = [await own.open("booking") for _ in range(2)]
                for client in clients:
                    await client.query("BEGIN")
                    self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                await replace_process(platform, "vm-0")
                for client, text in zip(clients, ["WRITE a 2", "COMMIT"], strict=True):
                    self.assertIn("ERROR ABORTED", (await client.query(text, "late"))[0])
                self.assertNotIn("late", [entry.request_id for entry in platform.group.runs])
                self.assertEqual([], platform.group.log)
                for client in clients:
                    client.close()

        run(scenario())

    def test_statements_that_run_as_their_gateway_is_replaced_get_a_true_answer(self) -> None:
        """Guards against a write called not run, or a read called lost, at a killed gateway."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                own = platform.proxies["vm-1"]
                clients = [await own.open("booking") for _ in range(4)]
                for client in clients[2:]:
                    await client.query("BEGIN")
                    self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                platform.group.limit_work(slots=4, choose_work_s=lambda: SLOW_WORK_S)
                texts = ["READ a", "WRITE a 1", "WRITE a 2", "COMMIT"]
                for number, (client, text) in enumerate(zip(clients, texts, strict=True)):
                    client.send(f"QUERY q{number} {text}")
                await wait_until(
                    lambda: {"q0", "q1", "q2"} <= platform.group.arrivals.keys(), within_s=1.0
                )
                await replace_process(platform, "vm-0", is_killed=True)
                answers = [" ".join(await client.read_answer()) for client in clients]
                expected = ["COMPLETE", "ERROR INDOUBT", "ERROR ABORTED", "ERROR INDOUBT"]
                for answer, part in zip(answers, expected, strict=True):
                    self.assertIn(part, answer)
                self.assertIn("COMPLETE", (await clients[1].query("WRITE a 4"))[0])
                for client in clients:
                    client.close()

        run(scenario())


async def replace_process(platform: PreparedPlatform, vm: str, *, is_killed: bool = False) -> None:
    """Start a new process at the peer address of one that was stopped or killed."""
    old = platform.proxies.pop(vm)
    transport = old.kernel.find("transport", TcpTransport)
    if is_killed:
        transport._server.close()
        for connection in list(transport._listeners):
            connection.abort()
    await old.stop()
    await platform.add_proxy(
        vm, old.settings.failure_domain, incarnation=2, peer_address=old.settings.peer_address
    )
    await platform.wait_ready()


def find_gateways(proxy: Proxy) -> GatewayService:
    return proxy.kernel.find("gateways", GatewayService)
