"""Background tasks after an unexpected error: they are logged, counted and go on."""

import asyncio
from typing import Any

from testtools import TestCase

from lentilring.catalog.fleet import FleetService
from lentilring.catalog.service import CatalogService
from lentilring.gateways.probing import PeerProber
from lentilring.gateways.sampling import PositionSampler
from lentilring.gateways.service import GatewayService
from lentilring.limits.regional import RegionalLimiter
from lentilring.shared_secret import SharedSecret
from lentilring.takeover.service import TakeoverService
from lentilring.tasks import RESTART_DELAY_S, SharedCalls, start_task
from lentilring.telemetry.metrics import Telemetry

from .prepared import Proxy, build_manifest, run, run_prepared_platform, wait_until
from .virtual_time import run_virtual


class TaskTest(TestCase):
    def test_task_runs_again_after_an_error_until_it_returns(self) -> None:
        async def scenario() -> None:
            telemetry, started = Telemetry(), []

            async def work() -> None:
                started.append(asyncio.get_running_loop().time())
                if len(started) < 3:
                    raise ValueError("unexpected")

            await start_task("work", work, telemetry=telemetry)
            self.assertEqual([0.0, RESTART_DELAY_S, 2 * RESTART_DELAY_S], started)
            self.assertEqual(2, telemetry.read("task_failures", task="work"))

        run_virtual(scenario())

    def test_cancelled_task_ends(self) -> None:
        async def scenario() -> None:
            task = start_task("work", lambda: asyncio.sleep(60), telemetry=Telemetry())
            await asyncio.sleep(1)
            task.cancel()
            await asyncio.wait({task}, timeout=1)
            self.assertTrue(task.cancelled())

        run_virtual(scenario())


class SharedCallsTest(TestCase):
    def test_concurrent_callers_share_a_call(self) -> None:
        """Guards against a call for each caller."""

        async def scenario() -> None:
            calls, began = SharedCalls[str, float](), []

            async def measure() -> float:
                began.append(asyncio.get_running_loop().time())
                await asyncio.sleep(1)
                return began[-1]

            both = await asyncio.gather(calls.join("a", measure), calls.join("a", measure))
            self.assertEqual([0.0, 0.0], both)
            self.assertEqual(1.0, await calls.join("a", measure))
            self.assertEqual([0.0, 1.0], began)

        run_virtual(scenario())

    def test_call_that_has_just_ended_is_not_shared(self) -> None:
        """Guards against a result from before a caller asked (review/15)."""

        async def scenario() -> None:
            calls, results = SharedCalls[str, int](), iter(range(10))
            event = asyncio.Event()

            async def wait() -> int:
                await event.wait()
                return next(results)

            first = calls.start("a", wait)
            await asyncio.sleep(0)
            # The callbacks of a task run in the pass after the one in which it ends.
            event.set()
            await asyncio.sleep(0)
            self.assertTrue(first.done())
            second = calls.start("a", wait)
            self.assertIsNot(first, second)
            await asyncio.sleep(0)
            self.assertEqual((0, 1), (await first, await second))

        run_virtual(scenario())

    def test_end_of_a_call_leaves_its_successor_shared(self) -> None:
        """Guards against a late callback that forgets another call."""

        async def scenario() -> None:
            calls = SharedCalls[str, None]()
            first = calls.start("a", lambda: asyncio.sleep(0))
            while not first.done():
                await asyncio.sleep(0)
            second = calls.start("a", lambda: asyncio.sleep(1))
            await asyncio.sleep(0.5)
            self.assertIs(second, calls.start("a", lambda: asyncio.sleep(1)))

        run_virtual(scenario())

    def test_caller_that_gives_up_does_not_end_the_call(self) -> None:
        """Guards against a caller that takes the call away from the others."""

        async def scenario() -> None:
            calls = SharedCalls[str, str]()
            first = asyncio.ensure_future(calls.join("a", lambda: asyncio.sleep(1, "done")))
            second = asyncio.ensure_future(calls.join("a", lambda: asyncio.sleep(1, "done")))
            await asyncio.sleep(0.5)
            first.cancel()
            self.assertEqual("done", await second)

        run_virtual(scenario())


class FailingOnce:
    """Replace a method: the first call raises, later ones reach the method."""

    def __init__(self, target: Any, name: str) -> None:
        self.calls = 0
        self._method = getattr(target, name)
        setattr(target, name, self)

    def __call__(self, *values: Any, **named: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("unexpected")
        return self._method(*values, **named)


class ServiceTaskTest(TestCase):
    def test_services_go_on_after_an_unexpected_error(self) -> None:
        """Guards against a proxy that no longer reads the store or replaces primaries."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=2) as platform:
                proxy = platform.proxies["vm-0"]
                fleet = proxy.kernel.find("fleet", FleetService)
                await wait_until(lambda: fleet.find("vm-1") is not None, within_s=5.0)
                replaced = replace_steps(proxy)
                fleet.mark_suspect("vm-1", "a test")
                platform.store.put("config", "main", build_manifest(7))
                await wait_until(
                    lambda: all(entry.calls > 1 for entry in replaced.values()), within_s=15.0
                )
                await wait_until(lambda: proxy.catalog.version == 7, within_s=5.0)
                await wait_until(lambda: not fleet.is_suspect("vm-1"), within_s=5.0)

        run(scenario())


def replace_steps(proxy: Proxy) -> dict[str, FailingOnce]:
    """Make one step of each background task fail once."""
    find = proxy.kernel.find
    catalog = find("catalog", CatalogService)
    steps = {
        "manifest": (catalog._manifests, "_step"),
        "servers": (catalog._registrations, "_step"),
        "evacuations": (catalog._evacuations, "_step"),
        "proxies": (find("fleet", FleetService)._follower, "_step"),
        "samples": (find("positions", PositionSampler), "_is_due"),
        "pools": (find("gateways", GatewayService)._renewal, "close_unused"),
        "presence": (find("limits", RegionalLimiter), "_find_pool"),
        "takeover": (find("takeover", TakeoverService), "_find_rank"),
        "probes": (find("prober", PeerProber), "_ping"),
        "secret": (find("secret", SharedSecret), "_find_era"),
    }
    return {name: FailingOnce(*target) for name, target in steps.items()}
