"""Planned stops: every statement that the proxy has read is answered before the process ends."""

import asyncio
import sys
import time

import logbook
import pytest
from testtools import TestCase

from lentilring.gateways import dispatch, service
from lentilring.gateways.messages import StatementKind
from lentilring.gateways.stopping import COMMIT_RESERVE_S, StopSchedule
from lentilring.platform.boot import DRAIN_MARGIN_S
from lentilring.sessions import listener
from lentilring.sessions.listener import SessionListener
from lentilring.sessions.readiness import BALANCER_REMOVAL_S

from .prepared import PreparedPlatform, Proxy, run, run_prepared_platform

TRANSACTION_TIME_S = 0.5
# The statements' timeout of the routes is 1.5 s.
DRAIN_TIMEOUT_S = 1.5
CALLERS = 8
LOOP_ITERATION_S = 0.005


class StopScheduleTest(TestCase):
    schedule = StopSchedule(transactions_until=3.0, ends_at=6.0)

    def test_statement_starts_only_with_time_for_its_answer(self) -> None:
        """Guards against a statement that runs when the process ends."""
        accepts = self.schedule.accepts
        self.assertTrue(accepts(StatementKind.READ, timeout_s=1.0, now=4.9))
        self.assertFalse(accepts(StatementKind.READ, timeout_s=1.0, now=5.1))

    def test_transactions_have_their_time_whatever_the_timeout(self) -> None:
        """Guards against a long timeout that ends transactions as soon as the stop begins."""
        self.assertTrue(self.schedule.accepts(StatementKind.WRITE, timeout_s=30.0, now=2.9))
        self.assertFalse(self.schedule.accepts(StatementKind.WRITE, timeout_s=30.0, now=3.0))

    def test_commit_may_start_later(self) -> None:
        """Guards against undoing a whole transaction that could be committed in time."""
        last = 6.0 - COMMIT_RESERVE_S
        self.assertTrue(self.schedule.accepts(StatementKind.COMMIT, timeout_s=2.0, now=last - 0.1))
        self.assertFalse(self.schedule.accepts(StatementKind.COMMIT, timeout_s=2.0, now=last + 0.1))

    def test_waits_after_draining_leave_a_third_of_the_margin(self) -> None:
        """Guards against SIGKILL before the last answers, as the grace period ends."""
        waits_s = (
            listener.LAST_ANSWERS_TIMEOUT_S
            + dispatch.LAST_ROLLBACKS_TIMEOUT_S
            + service.LAST_RUNS_TIMEOUT_S
            + service.LAST_ANSWERS_TIMEOUT_S
        )
        self.assertLess(waits_s, DRAIN_MARGIN_S * 2 / 3)


class PlannedStopTest(TestCase):
    def test_open_transaction_ends_with_an_answer(self) -> None:
        """Guards against a stop that cuts statements of transactions (review/5)."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                stop = asyncio.ensure_future(stop_as_planned(proxy))
                await asyncio.sleep(TRANSACTION_TIME_S / 2)
                self.assertIn("COMPLETE", (await client.query("WRITE a 2"))[0])
                await asyncio.sleep(TRANSACTION_TIME_S)
                answer = await client.query("WRITE a 3", "late")
                self.assertIn("ERROR ABORTED", answer[0])
                self.assertEqual("READY E -", answer[-1])
                client.close()
                await stop
                self.assertNotIn("late", list_ids(platform))
                self.assertEqual([], platform.group.log)

        run(scenario())

    def test_transaction_is_committed_while_there_is_time(self) -> None:
        """Guards against a stop that undoes a transaction whose last statement is its commit."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                await client.query("BEGIN")
                await client.query("WRITE a 1")
                stop = asyncio.ensure_future(stop_as_planned(proxy))
                await asyncio.sleep(TRANSACTION_TIME_S + 0.2)
                self.assertIn("COMPLETE", (await client.query("COMMIT"))[0])
                await stop
                self.assertEqual(1, len(platform.group.log))

        run(scenario())

    def test_late_operations_are_refused_unrun(self) -> None:
        """Guards against work that is taken when no answer can be promised."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                busy, late = await proxy.open("booking"), await proxy.open("booking")
                for client in (busy, late):
                    await client.query("BEGIN")
                    await client.query("READ a")
                stop = asyncio.ensure_future(stop_as_planned(proxy))
                await asyncio.sleep(TRANSACTION_TIME_S + 0.2)
                late.send("QUERY r1 ROLLBACK\r\nQUERY w1 WRITE a 1")
                self.assertIn("COMPLETE", (await late.read_answer())[0])
                self.assertIn("ERROR BUSY", (await late.read_answer())[0])
                busy.close()
                await stop
                self.assertNotIn("w1", list_ids(platform))

        run(scenario())

    def test_statements_that_run_at_the_end_are_answered(self) -> None:
        """Guards against slow statements that are cut, and a write that is called not run."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                clients = [await proxy.open("booking") for _ in range(4)]
                for client in clients[2:]:
                    await client.query("BEGIN")
                    await client.query("WRITE a 1")
                platform.group.servers[0].faults.silent = True
                texts = ["READ a", "WRITE a 1", "WRITE a 2", "COMMIT"]
                for client, text in zip(clients, texts, strict=True):
                    client.send(f"QUERY q {text}")
                await asyncio.sleep(0.1)
                await proxy.stop()
                answers = [await client.read_answer() for client in clients]
                codes = [answer[0].split(" ")[:2] for answer in answers]
                expected = ["ABORTED", "INDOUBT", "ABORTED", "INDOUBT"]
                self.assertEqual([["ERROR", code] for code in expected], codes)
                self.assertTrue(all(answer[-1].startswith("READY") for answer in answers))

        run(scenario())

    def test_statement_that_was_read_as_the_process_stops_is_answered(self) -> None:
        """Guards against a statement that was read, but not begun, when its connection closes."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("stock")
                listener = proxy.kernel.find("sessions", SessionListener)
                (connection,) = listener._connections
                connection._reader.feed_data(b"QUERY q1 READ a\r\nQUERY q2 READ a\r\n")
                await proxy.stop()
                for _ in range(2):
                    self.assertIn("READY", (await client.read_answer())[-1])
                client.close()

        run(scenario())

    def test_statement_at_a_stopping_gateway_is_answered_by_its_own_proxy(self) -> None:
        """Guards against a caller without an answer because another proxy stops."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                client = await platform.proxies["vm-1"].open("booking")
                await client.query("BEGIN")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                platform.group.servers[0].faults.silent = True
                client.send("QUERY q COMMIT")
                await asyncio.sleep(0.1)
                await platform.proxies["vm-0"].stop()
                self.assertIn("ERROR INDOUBT", (await client.read_answer())[0])
                client.close()

        run(scenario())


class EndingSessionTest(TestCase):
    def test_statement_that_arrived_unread_keeps_its_idle_connection_open(self) -> None:
        """Guards against a statement that meets the close of a connection that seems idle."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("stock")
                listener = proxy.kernel.find("sessions", SessionListener)
                # The event loop does not run between these two.
                client.send("QUERY q1 READ a")
                self.assertEqual(0, listener.end_idle())
                self.assertIn("READY", (await client.read_answer())[-1])
                self.assertEqual(1, listener.end_idle())
                client.close()

        run(scenario())

    def test_statement_on_its_way_to_an_ending_session_is_answered_as_not_run(self) -> None:
        """Guards against a statement that meets the end of its session and gets no answer."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                self.assertIn("COMPLETE", (await client.query("READ a"))[-2])
                listener = proxy.kernel.find("sessions", SessionListener)
                self.assertEqual(1, listener.end_idle())
                for request in ("q1", "q2"):
                    client.send(f"QUERY {request} WRITE a 1")
                for _ in range(2):
                    answer = await client.read_answer()
                    self.assertEqual(["ERROR BUSY the proxy is stopping", "READY I -"], answer)
                self.assertEqual([], [name for name in list_ids(platform) if name in ("q1", "q2")])
                client.close()

        run(scenario())

    def test_caller_that_stays_in_an_ended_session_is_disconnected(self) -> None:
        """Guards against sessions that keep a stopping process until SIGKILL."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                loop = asyncio.get_running_loop()
                began_at = loop.time()
                await proxy.readiness.drain_sessions(timeout_s=6.0, transaction_time_s=3.0)
                self.assertLess(
                    loop.time() - began_at, BALANCER_REMOVAL_S + listener.LEAVE_TIMEOUT_S + 0.5
                )
                self.assertEqual("ERROR BUSY the proxy is stopping", await client.read_line())
                self.assertEqual("", await client.read_line())

        run(scenario())

    def test_connection_that_was_just_reset_does_not_end_the_drain(self) -> None:
        """Guards against a drain that one caller's reset cuts short for all others."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("stock")
                self.assertIn("COMPLETE", (await client.query("READ a"))[-2])
                listener = proxy.kernel.find("sessions", SessionListener)
                (connection,) = listener._connections
                connection._writer.transport.abort()
                # The socket is closed now, and the connection's task has not ended yet.
                await asyncio.sleep(0)
                self.assertEqual(1, listener.session_count)
                listener.end_idle()
                client.close()

        run(scenario())

    @pytest.mark.process
    def test_callers_that_never_pause_get_an_answer_to_each_statement(self) -> None:
        """Guards against callers whose next statement meets the close behind an answer."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                proxy = platform.proxies["vm-0"]
                # The callers are another process, as they would wait for the proxy's thread here.
                callers = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "tests.blocking_caller"),
                    *(proxy.settings.session_address, str(CALLERS)),
                    stdout=asyncio.subprocess.PIPE,
                )
                assert callers.stdout is not None
                self.assertEqual(b"started\n", await callers.stdout.readline())
                load = asyncio.ensure_future(keep_loop_busy())
                await proxy.readiness.drain_sessions(timeout_s=3.0, transaction_time_s=3.0)
                output, _ = await callers.communicate()
                load.cancel()
                self.assertEqual(f"{CALLERS} told to leave", output.decode().strip())

        run(scenario())


class UnansweredLogTest(TestCase):
    def test_log_names_the_statement_gateway_and_server_of_a_cut_connection(self) -> None:
        """Guards against a connection that ends without a line that tells where its request was."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                proxy = platform.proxies["vm-0"]
                client = await proxy.open("booking")
                platform.group.servers[0].faults.silent = True
                client.send("QUERY q1 WRITE a 1")
                await asyncio.sleep(0.1)
                handler = logbook.TestHandler()
                with handler.applicationbound():
                    for task in proxy.kernel.find("sessions", SessionListener)._tasks:
                        task.cancel()
                    self.assertEqual("", (await client.read_answer())[-1])
                lines = [
                    entry.message for entry in handler.records if "request=q1" in entry.message
                ]
                (cut,) = [line for line in lines if "event=statement_unanswered" in line]
                self.assertIn("database=booking", cut)
                (call,) = [line for line in lines if "event=gateway_call_cancelled" in line]
                self.assertIn(f"gateway=vm-0 server={platform.group.servers[0].id}", call)
                client.close()

        run(scenario())


async def keep_loop_busy() -> None:
    """Let each iteration of the event loop take long, as with many sessions."""
    while True:
        time.sleep(LOOP_ITERATION_S)
        await asyncio.sleep(0)


async def stop_as_planned(proxy: Proxy) -> None:
    """Stop a proxy as its process does after SIGTERM."""
    await proxy.readiness.drain_sessions(
        timeout_s=DRAIN_TIMEOUT_S, transaction_time_s=TRANSACTION_TIME_S
    )
    await proxy.stop()


def list_ids(platform: PreparedPlatform) -> list[str]:
    return [entry.request_id for entry in platform.group.runs]
