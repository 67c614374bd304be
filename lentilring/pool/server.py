"""What a gateway knows of one backend server: its connections, status and age bound."""

import asyncio
from dataclasses import replace

from ..clock import Clock
from ..database.backend import (
    BackendAnswerLost,
    BackendConnector,
    BackendControl,
    BackendUnreachable,
    ConnectionRefused,
)
from ..database.messages import ServerStatus, StatementReply
from .connections import ServerPool
from .coverage import PositionHistory

CONTROL_TIMEOUT_S = 1.0
DEMAND_LASTS_S = 10.0
UNREACHABLE_S = 1.0

ControlFailure = (BackendUnreachable, BackendAnswerLost, ConnectionRefused)


class GatewayServer:
    """Hold a backend server's pool, last status and position history."""

    def __init__(
        self,
        *,
        group: str,
        name: str,
        pool: ServerPool,
        connector: BackendConnector,
        clock: Clock,
    ) -> None:
        self.group = group
        self.name = name
        self.pool = pool
        self.history = PositionHistory()
        self.status: ServerStatus | None = None
        self.status_time = float("-inf")
        self.last_demand = float("-inf")
        self.failed_at = float("-inf")
        self._connector = connector
        self._clock = clock
        self._control: BackendControl | None = None
        self._refreshing: asyncio.Task[ServerStatus | None] | None = None

    @property
    def in_demand(self) -> bool:
        """Tell whether a recent read needed the server's age."""
        return self._clock.monotonic() - self.last_demand < DEMAND_LASTS_S

    @property
    def is_unreachable(self) -> bool:
        """Tell whether the server failed to report its status a short time ago."""
        return self._clock.monotonic() - self.failed_at < UNREACHABLE_S

    async def refresh_status(self, *, timeout_s: float = CONTROL_TIMEOUT_S) -> ServerStatus | None:
        """Ask the server for its status; callers at the same time share one request."""
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.ensure_future(self._fetch_status())
        try:
            return await asyncio.wait_for(asyncio.shield(self._refreshing), timeout_s)
        except TimeoutError:
            return None

    def learn_position(self, reply: StatementReply) -> None:
        """Raise the known position from a statement's reply of the same term."""
        status = self.status
        if status is None or reply.term != status.term or reply.position <= status.position:
            return
        # The entries after the last known position can be of a term that began since; then the
        # next full status shows it, and until then the position must not be raised.
        if status.log_terms and status.log_terms[-1].term == reply.term:
            self.status = replace(status, position=reply.position)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close_idle(everything=True)
        if self._control is not None:
            self._control.close()
            self._control = None

    async def _fetch_status(self) -> ServerStatus | None:
        asked = self._clock.monotonic()
        control: BackendControl | None = None
        try:
            control = await self._open_control()
            status = await control.report_status(timeout_s=CONTROL_TIMEOUT_S)
        except ControlFailure:
            if control is not None:
                control.close()
                self._control = None
            self.failed_at = self._clock.monotonic()
            return None
        self.failed_at = float("-inf")
        if asked >= self.status_time:
            self.status, self.status_time = status, asked
        return status

    async def _open_control(self) -> BackendControl:
        if self._control is None:
            self._control = await self._connector.connect_control(
                self.pool.address, timeout_s=CONTROL_TIMEOUT_S
            )
        return self._control
