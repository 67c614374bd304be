"""Keeps the proven positions of primaries recent while replicas serve reads."""

import asyncio
from functools import partial

from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..kernel import Service
from ..statements.model import Position
from ..tasks import SharedCalls, start_task
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .dispatch import StatementDispatcher
from .service import GatewayService

# A third of the shortest usual staleness bound, so that one missed sample does not matter.
# Supervisors, most of which are in the primary's failure domain, sample twice as often to notice a
# silent primary.
SAMPLE_INTERVAL_S = 0.5
SUPERVISION_INTERVAL_S = 0.25
SAMPLE_TIMEOUT_S = 0.5
# Services without reads for this long are no longer sampled.
REQUEST_LIFETIME_S = 5.0

log = Log(source="positions")


class PositionSampler(Service):
    """Ask the gateways of primaries for positions while reads need them."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        gateways: GatewayService,
        dispatcher: StatementDispatcher,
        clock: SuspensionClock,
        telemetry: Telemetry,
    ) -> None:
        self._catalog, self._gateways, self._dispatcher = catalog, gateways, dispatcher
        self._clock, self._telemetry = clock, telemetry
        self._requested_at: dict[str, float] = {}
        self._supervised_at: dict[str, float] = {}
        self._sampled_at: dict[str, float] = {}
        self._running = SharedCalls[str, None]()
        self._commit_silence_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        gateways.refresh_positions = self.refresh
        gateways.request_sampling = self.request_sampling

    async def start(self) -> None:
        """Begin to sample."""
        self._task = start_task("sample", self._run, telemetry=self._telemetry)

    async def stop(self) -> None:
        """End sampling."""
        self._running.cancel()
        if self._task is not None:
            self._task.cancel()

    def request_sampling(self, service: str) -> None:
        """Sample a service for the next seconds, because its reads need positions."""
        self._requested_at[service] = self._clock.monotonic()

    def request_frequent_sampling(self, service: str) -> None:
        """Sample a service more often, until shortly after the supervisor's next check."""
        self._supervised_at[service] = self._clock.monotonic()

    def commit_silence_s(self, service: str) -> float:
        """Return for how long a primary's commits have gone unconfirmed, 0 if they have not."""
        return self._commit_silence_s.get(service, 0.0)

    async def refresh(self, service: str) -> None:
        """Take one sample of a service now; concurrent calls share it."""
        self.request_sampling(service)
        await self._running.join(service, partial(self._sample, service))

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SUPERVISION_INTERVAL_S)
            for service in {*self._requested_at, *self._supervised_at}:
                if self._is_due(service):
                    self._running.start(service, partial(self._sample, service))

    def _is_due(self, service: str) -> bool:
        now, never = self._clock.monotonic(), float("-inf")
        if now - self._supervised_at.get(service, never) <= 2 * SUPERVISION_INTERVAL_S:
            return True
        is_requested = now - self._requested_at.get(service, never) <= REQUEST_LIFETIME_S
        # Sampling half an interval early is better than waiting for the next check.
        waited_s = now - self._sampled_at.get(service, never) + SUPERVISION_INTERVAL_S / 2
        return is_requested and waited_s >= SAMPLE_INTERVAL_S

    async def _sample(self, service: str) -> None:
        self._sampled_at[service] = self._clock.monotonic()
        primary = self._catalog.find_primary(service)
        if primary is None:
            return
        sent_at = self._clock.boottime()
        proven = await self._dispatcher.ask_position(primary, timeout_s=SAMPLE_TIMEOUT_S)
        if proven is None or proven.term == 0:
            self._telemetry.count("position_samples", result="missing")
            log.info("position_missing", service=service, primary=primary.id)
            self._gateways.get_history(service).record_missing(self._clock.boottime())
            return
        position = Position(term=proven.term, number=proven.number)
        self._commit_silence_s[service] = proven.commit_silence_s
        # The gateway measured the age after the request was sent, so counting back from that time
        # never makes the position look younger than it is.
        self._gateways.get_history(service).add(position, sent_at - proven.age_s)
        self._telemetry.count("position_samples", result="taken")
