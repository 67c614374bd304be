"""Signals and stops of `lentilring-proxy`, with real processes and without a platform."""

import asyncio
import signal
import socket
import subprocess
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from testtools import TestCase
from testtools.content import text_content

from lentilring.http.exchange import ExchangeFailed, HttpAnswer, exchange
from lentilring.http.readiness import LEAVING_GRACE_S

from .processes import (
    ROOT,
    Deployment,
    ProcessTestCase,
    build_command,
    build_environment,
    choose_host,
    find_address,
    wait_for,
)

EXIT_TIMEOUT_S = 30.0
SHORT_DRAIN_S = 1.0
DRAIN_S = 3.0
# The platform waits this much longer than the drain time before SIGKILL (docs/operators.md).
KILL_MARGIN_S = 20.0


@dataclass(kw_only=True)
class LoneProxy:
    """Hold a proxy's process and its address for callers."""

    process: subprocess.Popen[bytes]
    callers: str

    async def ask(self, method: str, target: str) -> HttpAnswer:
        """Send a request on a connection of its own."""
        return await exchange(self.callers, method, target, timeout_s=5.0, connect_timeout_s=1.0)

    async def is_alive(self) -> bool:
        """Tell whether the proxy answers."""
        try:
            return (await self.ask("GET", "/health")).status == 200
        except ExchangeFailed:
            return False

    async def wait_for_exit(self) -> int:
        """Return the exit code; raise TimeoutExpired after EXIT_TIMEOUT_S."""
        return await asyncio.to_thread(self.process.wait, EXIT_TIMEOUT_S)


class LoneProxyTestCase(TestCase):
    """Run a test's body against one proxy whose platform is down; attach its log on failure."""

    def run_alone(self, body: Callable[[LoneProxy], Awaitable[None]], *flags: str) -> None:
        """Start a proxy, run the body and kill the process."""

        async def run() -> None:
            async with self.start(*flags) as proxy:
                await wait_for("the proxy answers", proxy.is_alive)
                await body(proxy)

        asyncio.run(run())

    @asynccontextmanager
    async def start(self, *flags: str) -> AsyncIterator[LoneProxy]:
        """Start a proxy and kill it at the end; later flags replace earlier ones."""
        host = choose_host()
        callers, operators, peers, platform = (find_address(host) for _ in range(4))
        command = build_command(
            "lentilring-proxy",
            *("--vm", "vm-0", "--failure-domain", "casa-a", "--region", "casablanca"),
            *("--platform-address", platform, "--secret", "process-tests"),
            *("--http-address", callers, "--admin-address", operators, "--peer-address", peers),
            *flags,
        )
        with tempfile.TemporaryFile() as log:
            process = subprocess.Popen(
                command, env=build_environment({}), cwd=ROOT, stdout=log, stderr=log
            )
            try:
                yield LoneProxy(process=process, callers=callers)
            except BaseException:
                log.seek(0)
                self.addDetail("log", text_content(log.read().decode(errors="replace")))
                raise
            finally:
                process.kill()
                process.wait()


class SignalTest(LoneProxyTestCase):
    def test_sighup_does_not_end_the_process(self) -> None:
        """Guards against a SIGHUP that ends the process and cuts all its requests."""

        async def body(proxy: LoneProxy) -> None:
            proxy.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            self.assertIsNone(proxy.process.poll())
            self.assertTrue(await proxy.is_alive())
            proxy.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            proxy.process.send_signal(signal.SIGHUP)
            self.assertEqual(0, await proxy.wait_for_exit())

        self.run_alone(body)

    def test_second_sigterm_does_not_shorten_the_stop(self) -> None:
        """Guards against a repeated SIGTERM that ends the process while it still serves."""

        async def body(proxy: LoneProxy) -> None:
            for _ in range(3):
                proxy.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.2)
            self.assertTrue(await proxy.is_alive())
            self.assertEqual(0, await proxy.wait_for_exit())

        self.run_alone(body)


class StartTest(LoneProxyTestCase):
    def test_process_ends_when_its_address_is_taken(self) -> None:
        """Guards against a process that runs on without its callers' interface."""

        async def run() -> None:
            with socket.create_server((choose_host(), 0)) as taken:
                host, port = taken.getsockname()
                async with self.start("--http-address", f"{host}:{port}") as proxy:
                    self.assertEqual(1, await proxy.wait_for_exit())

        asyncio.run(run())


class StopTest(ProcessTestCase):
    def test_request_that_cannot_be_served_is_refused_at_once(self) -> None:
        """Guards against requests taken in the drain's last moments and then given up."""

        async def body(deployment: Deployment) -> None:
            stopping = deployment.proxies[0]
            await deployment.change_backends(statement_time_s=5.0)
            slow = asyncio.ensure_future(deployment.ask(stopping, "book", put("slow", 1)))
            await asyncio.sleep(0.3)
            stopping.program.send(signal.SIGTERM)
            await asyncio.sleep(1.5 * SHORT_DRAIN_S)
            late = await deployment.ask(stopping, "book", put("late", 1))
            self.assertEqual(("not_run", "shutting_down"), (late.outcome, late.reason))
            self.assertEqual("outcome_unknown", (await slow).outcome)

        self.run_deployed(body, proxy_flags=("--drain-timeout-s", str(SHORT_DRAIN_S)))

    def test_stop_with_work_in_several_services_ends_in_time(self) -> None:
        """Guards against a stop that SIGKILL cuts, and steps of transactions without an answer."""

        async def body(deployment: Deployment) -> None:
            stopping = deployment.find_gateway(await deployment.find_primary())
            begun = await deployment.ask(stopping, "transactions")
            for backend in deployment.backends.values():
                backend.program.kill()
            waiting = asyncio.ensure_future(deployment.ask(stopping, "book", put("a", 1)))
            await asyncio.sleep(0.3)
            loop = asyncio.get_running_loop()
            sent_at = loop.time()
            stopping.program.send(signal.SIGTERM)
            await asyncio.sleep(LEAVING_GRACE_S + 0.3)
            late = await deployment.ask(stopping, f"transactions/{begun.result}/commit")
            self.assertEqual(("not_run", "shutting_down"), (late.outcome, late.reason))
            code = await asyncio.to_thread(stopping.program.process.wait, EXIT_TIMEOUT_S)
            took_s = loop.time() - sent_at
            self.assertEqual((0, "outcome_unknown"), (code, (await waiting).outcome))
            self.assertLess(took_s, DRAIN_S + KILL_MARGIN_S)

        self.run_deployed(body, proxy_flags=("--drain-timeout-s", str(DRAIN_S)))


def put(key: str, value: int) -> dict[str, object]:
    """Return a statement that stores a value."""
    return {"op": "put", "key": key, "value": value}
