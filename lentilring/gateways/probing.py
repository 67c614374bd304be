"""Probes of peers that failed to answer a call, or take long to answer one."""

import asyncio
from functools import partial

from ..catalog.fleet import FleetService
from ..catalog.source import ProxyEntry
from ..clock import Clock
from ..kernel import Service
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..tasks import SharedCalls, run_until_done
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .messages import Ping, Pong

# Ten times the latency between regions. A peer answers a ping without a slot or a server.
PING_TIMEOUT_S = 0.3
PING_INTERVAL_S = 0.4
MAX_PING_INTERVAL_S = 2.0
# A peer that has not answered a call for this long is pinged.
PROBE_DELAY_S = 0.3

log = Log(source="peers")


class PeerProber(Service):
    """Ping peers that seem unreachable, so that no caller's statement waits to find that out."""

    def __init__(
        self,
        *,
        fleet: FleetService,
        transport: PeerTransport,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._fleet, self._transport, self._clock = fleet, transport, clock
        self._telemetry = telemetry
        self._probes = SharedCalls[str, None]()
        fleet.on_suspected = self._start_probe

    async def start(self) -> None:
        """Answer pings."""
        self._transport.handle(Ping, self._answer_ping)

    async def stop(self) -> None:
        """End probing."""
        self._probes.cancel()

    async def call(self, peer: ProxyEntry, request: object, *, timeout_s: float) -> object:
        """Call a peer, but give up early if it does not answer a ping either.

        Raise PeerUnreachable, PeerAnswerLost or PeerRejected.
        """
        call = asyncio.ensure_future(
            self._transport.call(peer.address, request, timeout_s=timeout_s)
        )
        # A call that fails just as this one is cancelled has nobody else who takes its exception.
        call.add_done_callback(_take_exception)
        try:
            while True:
                done, _ = await asyncio.wait({call}, timeout=PROBE_DELAY_S)
                if done:
                    return call.result()
                if not await self._ping(peer) and not call.done():
                    raise PeerAnswerLost(address=peer.address, detail="no answer to a probe")
        finally:
            if not call.done():
                call.cancel()

    def _start_probe(self, peer: ProxyEntry) -> None:
        probe = partial(self._probe_until_answer, peer)
        run = partial(run_until_done, "probe", probe, telemetry=self._telemetry)
        self._probes.start(peer.vm, run)

    async def _probe_until_answer(self, peer: ProxyEntry) -> None:
        """Ping a suspected peer until it answers or its registration changes."""
        interval_s = PING_INTERVAL_S
        while self._fleet.is_suspect(peer.vm) and self._fleet.find(peer.vm) == peer:
            if await self._ping(peer):
                self._fleet.clear_suspicion(peer.vm)
                return
            await self._clock.sleep(interval_s)
            interval_s = min(MAX_PING_INTERVAL_S, 1.5 * interval_s)

    async def _ping(self, peer: ProxyEntry) -> bool:
        ping = Ping(incarnation=self._fleet.local.incarnation)
        try:
            await self._transport.call(peer.address, ping, timeout_s=PING_TIMEOUT_S)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected):
            return False
        return True

    async def _answer_ping(self, sender: Sender, ping: Ping) -> Pong:
        return Pong(incarnation=self._fleet.local.incarnation)


def _take_exception(call: asyncio.Future[object]) -> None:
    """Mark a call's exception as retrieved."""
    if not call.cancelled():
        call.exception()
