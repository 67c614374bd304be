"""Sampling of primaries' positions, which bound the age of the data on replicas.

A sample at time t states that every write acknowledged before t is at or before its position. It
is valid only if the sampled server was the primary at t, which a majority confirms after t.
"""

import asyncio
import contextlib
import random
from functools import partial
from typing import TYPE_CHECKING

from ..clock import Clock
from ..failover.record import GroupState
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..routing.topology import find_database, find_server
from ..tasks import SharedCalls
from .coverage import PositionSample, find_entry_term
from .messages import PrimarySample, SamplePrimary
from .server import GatewayServer

if TYPE_CHECKING:
    from .service import RequestGatewayService

SAMPLE_INTERVAL_S = 0.15
SHARED_SAMPLE_AGE_S = 0.05
SAMPLE_TIMEOUT_S = 1.0
UNKNOWN_SAMPLE = PrimarySample(known=False)


class PrimarySampler:
    """Sample the primaries of servers whose data age was needed by recent reads."""

    def __init__(
        self,
        *,
        gateway: "RequestGatewayService",
        transport: PeerTransport,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._gateway = gateway
        self._transport = transport
        self._clock = clock
        self._random = random_source
        self._task: asyncio.Task[None] | None = None
        self._refreshes = SharedCalls[tuple[str, str], None]()
        self._measurements = SharedCalls[str, PrimarySample]()
        self._last_samples: dict[str, tuple[float, PrimarySample]] = {}

    def start(self) -> None:
        """Start to refresh samples in the background."""
        self._task = asyncio.ensure_future(self._refresh_forever())

    async def stop(self) -> None:
        """Cancel the background tasks."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await self._task
        await self._refreshes.stop()
        await self._measurements.stop()

    async def refresh_server(self, server: GatewayServer, *, timeout_s: float) -> None:
        """Refresh a server's status and its primary's sample; concurrent calls share one task."""
        key = (server.group, server.name)
        refresh = self._refreshes.start(key, partial(self._refresh_server, server))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(refresh), max(0.0, timeout_s))

    async def sample_primary(self, group: str) -> PrimarySample:
        """Return a confirmed sample of a group's primary; this proxy is the primary's gateway."""
        timed_sample = self._last_samples.get(group)
        now = self._clock.monotonic()
        if timed_sample is not None and now - timed_sample[0] <= SHARED_SAMPLE_AGE_S:
            return self._build_sample(timed_sample)
        await self._measurements.join(group, partial(self._measure, group))
        timed_sample = self._last_samples.get(group)
        return self._build_sample(timed_sample) if timed_sample is not None else UNKNOWN_SAMPLE

    def _build_sample(self, timed_sample: tuple[float, PrimarySample]) -> PrimarySample:
        measured_at, sample = timed_sample
        return PrimarySample(
            known=True,
            term=sample.term,
            entry_term=sample.entry_term,
            position=sample.position,
            age_s=self._clock.monotonic() - measured_at,
        )

    async def _refresh_forever(self) -> None:
        while True:
            await self._clock.sleep(SAMPLE_INTERVAL_S * self._random.uniform(0.8, 1.2))
            for server in list(self._gateway.servers.values()):
                if server.in_demand:
                    await self.refresh_server(server, timeout_s=0.0)

    async def _refresh_server(self, server: GatewayServer) -> None:
        sample_task = asyncio.ensure_future(self._fetch_sample(server))
        await server.refresh_status()
        await sample_task

    async def _fetch_sample(self, server: GatewayServer) -> None:
        asked_at = self._clock.monotonic()
        sample = await self._ask_primary_gateway(server.group)
        if sample.known:
            server.history.add(
                PositionSample(
                    time=asked_at - sample.age_s,
                    entry_term=sample.entry_term,
                    position=sample.position,
                )
            )

    async def _ask_primary_gateway(self, group: str) -> PrimarySample:
        gateway = self._gateway
        record = gateway.groups.find_record(group)
        database = find_database(gateway.configuration, group)
        if record is None or database is None or record.primary is None:
            return UNKNOWN_SAMPLE
        primary = find_server(database, record.primary)
        if primary is None:
            return UNKNOWN_SAMPLE
        for member in gateway.ranking.rank(group, primary).ranked[:2]:
            if member.vm == gateway.membership.local.vm:
                return await self.sample_primary(group)
            try:
                answer = await self._transport.call(
                    member.address, SamplePrimary(group=group), timeout_s=SAMPLE_TIMEOUT_S
                )
            except (PeerUnreachable, PeerAnswerLost, PeerRejected):
                continue
            if isinstance(answer, PrimarySample) and answer.known:
                return answer
        return UNKNOWN_SAMPLE

    async def _measure(self, group: str) -> PrimarySample:
        """Read the primary's position, then confirm that it was still the primary."""
        gateway = self._gateway
        record = gateway.groups.find_record(group)
        if record is None or record.state is not GroupState.OPEN or record.primary is None:
            return UNKNOWN_SAMPLE
        server = gateway.get_server(group, record.primary)
        if server is None:
            return UNKNOWN_SAMPLE
        status = await server.refresh_status()
        if status is None or status.term != record.term or status is not server.status:
            return UNKNOWN_SAMPLE
        asked_at = server.status_time
        uncertainty = await gateway.groups.confirm_write(
            group, term=record.term, position=0, needs_replica=False, timeout_s=SAMPLE_TIMEOUT_S
        )
        if uncertainty is not None:
            return UNKNOWN_SAMPLE
        sample = PrimarySample(
            known=True,
            term=record.term,
            entry_term=find_entry_term(status.log_terms, status.position),
            position=status.position,
        )
        self._last_samples[group] = (asked_at, sample)
        return sample
