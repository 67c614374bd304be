"""Readiness of the proxy for new callers, and draining of its sessions at shutdown."""

from ..catalog.fleet import FleetService
from ..catalog.service import CatalogService
from ..clock import Clock
from ..gateways.service import GatewayService
from ..gateways.stopping import StopSchedule
from ..kernel import Service
from ..telemetry.log import Log
from .listener import SessionListener
from .router import StatementRouter

# The load balancer removes a proxy after two failed probes, one per second; until then new callers
# still arrive.
BALANCER_REMOVAL_S = 2.2
POLL_INTERVAL_S = 0.1
# Idle sessions end in steps, so that their callers do not all reconnect at once.
CLOSE_STEPS = 5

log = Log(source="readiness")


class SessionReadiness(Service):
    """Report the proxy as ready while its catalog is complete and current, until it stops."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        fleet: FleetService,
        listener: SessionListener,
        router: StatementRouter,
        gateways: GatewayService,
        clock: Clock,
    ) -> None:
        self._catalog, self._fleet, self._listener = catalog, fleet, listener
        self._router, self._gateways, self._clock = router, gateways, clock
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

    async def drain_sessions(self, *, timeout_s: float, transaction_time_s: float) -> None:
        """Keep serving while new callers still arrive, then end sessions as they become idle.

        Open transactions may go on for `transaction_time_s`, later only while their statements end
        in time. The kernel closes what is left after `timeout_s` when it stops the listener.
        """
        self._is_stopping = True
        now = self._clock.monotonic()
        deadline = now + timeout_s
        schedule = StopSchedule(
            transactions_until=now + min(transaction_time_s, timeout_s), ends_at=deadline
        )
        self._router.begin_stop(schedule)
        self._gateways.begin_stop(schedule)
        self._fleet.leave()
        await self._clock.sleep(min(BALANCER_REMOVAL_S, timeout_s / 2))
        self._listener.begin_drain()
        for step in range(CLOSE_STEPS):
            self._listener.end_idle(share=1 / (CLOSE_STEPS - step))
            await self._clock.sleep(POLL_INTERVAL_S)
        while self._clock.monotonic() < deadline and self._is_in_use():
            self._listener.end_idle()
            await self._clock.sleep(POLL_INTERVAL_S)
        log.info(
            "sessions_drained",
            sessions=self._listener.session_count,
            transactions=self._gateways.count_transactions(),
            running=self._gateways.count_running(),
        )

    def _is_in_use(self) -> bool:
        """Tell whether callers here or at peers still depend on this process."""
        return bool(
            self._listener.session_count
            or self._gateways.count_transactions()
            or self._gateways.count_running()
        )
