"""The state that a gateway keeps for one backend server."""

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
from ..tasks import SharedCalls
from .connections import ServerPool
from .coverage import PositionHistory

CONTROL_TIMEOUT_S = 1.0
DEMAND_LIFETIME_S = 10.0
UNREACHABLE_AFTER_FAILURE_S = 1.0

CONTROL_ERRORS = (BackendUnreachable, BackendAnswerLost, ConnectionRefused)


class GatewayServer:
    """Hold a backend server's connection pool, its last status and its primary's positions.

    All times are of the monotonic clock; `status_time` is when the last status was requested.
    """

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
        self.last_demanded_at = float("-inf")
        self.failed_at = float("-inf")
        self._connector = connector
        self._clock = clock
        self._control: BackendControl | None = None
        self._refreshes = SharedCalls[str, ServerStatus | None]()

    @property
    def in_demand(self) -> bool:
        """Tell whether a recent read needed the age of the server's data."""
        return self._clock.monotonic() - self.last_demanded_at < DEMAND_LIFETIME_S

    @property
    def is_unreachable(self) -> bool:
        """Tell whether the server recently failed to report its status."""
        return self._clock.monotonic() - self.failed_at < UNREACHABLE_AFTER_FAILURE_S

    async def refresh_status(self, *, timeout_s: float = CONTROL_TIMEOUT_S) -> ServerStatus | None:
        """Ask the server for its status; concurrent callers share one request."""
        refresh = self._refreshes.start(self.name, self._fetch_status)
        try:
            return await asyncio.wait_for(asyncio.shield(refresh), timeout_s)
        except TimeoutError:
            return None

    def advance_position(self, reply: StatementReply) -> None:
        """Raise the known position to that of a statement's reply, if both are of the same term."""
        status = self.status
        if status is None or reply.term != status.term or reply.position <= status.position:
            return
        # Entries after the known position may belong to a term that began since. The position must
        # then not be raised until the next full status reports that term.
        if status.log_terms and status.log_terms[-1].term == reply.term:
            self.status = replace(status, position=reply.position)

    def close(self) -> None:
        """Close all idle connections and the control connection."""
        self.pool.close_idle(everything=True)
        if self._control is not None:
            self._control.close()
            self._control = None

    async def _fetch_status(self) -> ServerStatus | None:
        asked_at = self._clock.monotonic()
        control: BackendControl | None = None
        try:
            control = await self._open_control()
            status = await control.report_status(timeout_s=CONTROL_TIMEOUT_S)
        except CONTROL_ERRORS:
            if control is not None:
                control.close()
                self._control = None
            self.failed_at = self._clock.monotonic()
            return None
        self.failed_at = float("-inf")
        if asked_at >= self.status_time:
            self.status, self.status_time = status, asked_at
        return status

    async def _open_control(self) -> BackendControl:
        if self._control is None:
            self._control = await self._connector.connect_control(
                self.pool.address, timeout_s=CONTROL_TIMEOUT_S
            )
        return self._control
