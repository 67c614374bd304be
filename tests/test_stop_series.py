"""Stops of real processes in series that overlap, while callers go on in open transactions."""

import asyncio
import signal
import tempfile
from dataclasses import dataclass
from pathlib import Path

import pytest
from testtools import TestCase

from lentilring.soak.deployment import GRACE_S, SoakDeployment, build_deployment
from lentilring.soak.relay import LinkFault
from lentilring.soak.stops import run_stop_series

from .prepared import SessionClient, run

# Loopback network of its own, beside those of the soak's seeds.
NETWORK = "127.15.1"
SERIES_NETWORK = "127.15.2"
SERIES_SEED = 1
SERIES_DURATION_S = 10.0
# The grace period of the users' deployments.
SERIES_GRACE_S = 6.0
CALLERS_PER_PROXY = 8
# A statement takes this long on a server, so that some run at every moment of a stop.
SERVER_DELAY_S = 0.06
PAUSE_S = 0.1
DATABASES = ("booking", "stock", "delivery")


@dataclass(kw_only=True)
class SentStatement:
    """Hold one statement of a caller and the lines of its answer."""

    request_id: str
    answer: tuple[str, ...] = ()

    @property
    def is_answered(self) -> bool:
        """Tell whether the answer is complete."""
        return bool(self.answer) and self.answer[-1].startswith("READY")


async def run_transactions(address: str, number: int, sent: list[SentStatement]) -> None:
    """Run transactions on one connection until it closes; they are longer than a stop."""
    client = await SessionClient.open(address, DATABASES[number % 3], "planner-key-1")
    texts = ["BEGIN", *[f"WRITE i{number} d", f"READ i{number}"] * 12, "COMMIT"]
    step = 0
    try:
        while True:
            statement = SentStatement(request_id=f"c{number}s{step}")
            sent.append(statement)
            answer = await client.query(texts[step % len(texts)], statement.request_id)
            statement.answer = tuple(answer)
            if not statement.is_answered or answer[-1].startswith("READY E"):
                return
            step += 1
            await asyncio.sleep(PAUSE_S)
    except (OSError, EOFError):
        return
    finally:
        client.close()


@pytest.mark.process
class StopSeriesTest(TestCase):
    def test_overlapping_stops_answer_every_statement_that_was_passed_on(self) -> None:
        """Guards against statements that a stop cuts, at the caller's proxy or at a gateway."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)

        async def scenario() -> None:
            deployment = build_deployment(Path(folder.name), host_prefix=NETWORK)
            try:
                await deployment.start(vms=3)
                await self._play(deployment)
            finally:
                await deployment.stop()

        run(scenario(), within_s=50.0)

    async def _play(self, deployment: SoakDeployment) -> None:
        for link in deployment.server_links.values():
            link.begin(LinkFault.DELAY, delay_s=SERVER_DELAY_S)
        sent: list[SentStatement] = []
        addresses = [proxy.session_address for proxy in deployment.proxies]
        callers = [
            asyncio.ensure_future(run_transactions(addresses[number % 3], number, sent))
            for number in range(3 * CALLERS_PER_PROXY)
        ]
        await asyncio.sleep(1.0)
        first, second, third = deployment.proxies
        for signals in (
            [(first, signal.SIGTERM)],
            [(first, signal.SIGHUP), (second, signal.SIGTERM)],
            [(first, signal.SIGTERM), (second, signal.SIGINT), (second, signal.SIGTERM)],
        ):
            for proxy, number in signals:
                proxy.send(number)
            await asyncio.sleep(GRACE_S / 4)
        for proxy in (first, second):
            await proxy.wait(within_s=GRACE_S)
            assert proxy.process is not None
            self.assertEqual(0, proxy.process.returncode)
        third.send(signal.SIGTERM)
        await third.wait(within_s=GRACE_S)
        await asyncio.gather(*callers)
        passed_on = {entry.request_id for entry in deployment.group.runs}
        unanswered = [entry.request_id for entry in sent if not entry.is_answered]
        self.assertEqual([], [entry for entry in unanswered if entry in passed_on])
        answered = {entry.request_id.partition("s")[0] for entry in sent if entry.is_answered}
        self.assertEqual(len(callers), len(answered))

    def test_random_series_of_stops_leaves_no_statement_without_an_answer(self) -> None:
        """Guards against stops that cut statements of callers that never stop sending."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        result = asyncio.run(
            run_stop_series(
                seed=SERIES_SEED,
                duration_s=SERIES_DURATION_S,
                vms=3,
                grace_s=SERIES_GRACE_S,
                folder=Path(folder.name),
                host_prefix=SERIES_NETWORK,
            )
        )
        self.assertEqual([], [entry.describe() for entry in result.cut])
        self.assertEqual(0, result.failed)
        self.assertGreater(result.answered, 0)
