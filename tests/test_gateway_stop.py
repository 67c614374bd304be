"""Stops of proxies that are gateways of their peers, or whose gateways are peers."""

import asyncio
import gc
from typing import Any, cast

from testtools import TestCase

from lentilring.catalog.fleet import FleetService
from lentilring.catalog.source import ProxyEntry
from lentilring.clock import BootClock
from lentilring.gateways.messages import EndTransaction
from lentilring.gateways.probing import PeerProber
from lentilring.peers.transport import PeerAnswerLost, PeerTransport
from lentilring.telemetry.metrics import Telemetry

from .prepared import run


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
