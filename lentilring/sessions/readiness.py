"""When the balancer may send callers here, and how sessions end at a stop."""

from ..catalog.fleet import FleetService
from ..catalog.service import CatalogService
from ..clock import Clock
from ..gateways.service import GatewayService
from ..kernel import Service
from ..telemetry.log import Log
from .listener import SessionListener

# The balancer takes a proxy out after two missed probes, one a second; until then callers arrive.
NOTICE_S = 2.2
POLL_S = 0.1
# Idle sessions are closed in steps, so that their callers do not all come back at once.
CLOSE_STEPS = 5

log = Log(source="readiness")


class SessionReadiness(Service):
    """Be ready with a fresh and complete catalog, and until the process stops."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        fleet: FleetService,
        listener: SessionListener,
        gateways: GatewayService,
        clock: Clock,
    ) -> None:
        self._catalog, self._fleet, self._listener = catalog, fleet, listener
        self._gateways, self._clock = gateways, clock
        self._is_stopping = False
        self._was_ready = False

    def is_ready(self) -> bool:
        """Tell whether new callers can be served."""
        ready = (
            not self._is_stopping
            and self._catalog.is_complete()
            and self._catalog.is_current()
            and self._fleet.is_synchronized
        )
        if ready != self._was_ready:
            self._was_ready = ready
            log.info(
                "readiness_changed",
                ready=ready,
                stopping=self._is_stopping,
                manifest=self._catalog.version,
                manifest_age_s=round(self._catalog.manifest_age_s(), 2),
            )
        return ready

    async def drain_sessions(self, *, timeout_s: float) -> None:
        """Serve on while callers still arrive, then close what is idle, then the rest."""
        self._is_stopping = True
        end = self._clock.monotonic() + timeout_s
        self._fleet.leave()
        await self._clock.sleep(min(NOTICE_S, timeout_s / 2))
        self._listener.end_after_answers()
        for step in range(CLOSE_STEPS):
            self._listener.close_idle(share=1 / (CLOSE_STEPS - step))
            await self._clock.sleep(POLL_S)
        while self._clock.monotonic() < end and self._has_work():
            self._listener.close_idle()
            await self._clock.sleep(POLL_S)
        log.info(
            "sessions_drained",
            sessions=self._listener.session_count,
            transactions=self._gateways.count_transactions(),
            running=self._gateways.count_running(),
        )

    def _has_work(self) -> bool:
        """Tell whether callers here or at peers still depend on this process."""
        return bool(
            self._listener.session_count
            or self._gateways.count_transactions()
            or self._gateways.count_running()
        )
