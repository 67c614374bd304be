"""Control connections to backend servers, kept open and replaced when they stop answering."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from ..clock import Clock
from ..database.backend import (
    BackendAnswerLost,
    BackendConnector,
    BackendControl,
    BackendUnreachable,
    ConnectionRefused,
)
from ..database.messages import ServerStatus
from ..telemetry.metrics import Telemetry

# Sends one request; the number is the time left for it, in seconds.
ControlCall: TypeAlias = Callable[[BackendControl, float], Awaitable[ServerStatus]]
BACKEND_FAILURES = (BackendUnreachable, BackendAnswerLost, ConnectionRefused)

# A server reserves only 5 control connections for all proxies, so unused ones are closed.
IDLE_CLOSE_S = 30.0


class ControlConnections:
    """Keep one control connection to each backend server, shared by the whole process."""

    def __init__(self, *, backends: BackendConnector, clock: Clock, telemetry: Telemetry) -> None:
        self._backends = backends
        self._clock = clock
        self._telemetry = telemetry
        self._open: dict[str, BackendControl] = {}
        self._used_at: dict[str, float] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def call(self, address: str, request: ControlCall, *, timeout_s: float) -> ServerStatus:
        """Send a request; raise BackendUnreachable, BackendAnswerLost or ConnectionRefused.

        A connection that misses the deadline is closed, because it may have gone silent although
        the server works; the next call opens a new one.
        """
        control: BackendControl | None = None
        deadline = self._clock.monotonic() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                control = await self._connect(address, timeout_s)
                return await request(control, deadline - self._clock.monotonic())
        except TimeoutError as error:
            self._discard(address, control)
            raise BackendAnswerLost(address=address, detail="deadline missed") from error
        except (BackendUnreachable, BackendAnswerLost):
            self._discard(address, control)
            raise

    def close_idle(self) -> None:
        """Close the connections that have been unused for IDLE_CLOSE_S."""
        now = self._clock.monotonic()
        for address in [a for a, used_at in self._used_at.items() if now - used_at >= IDLE_CLOSE_S]:
            self._discard(address, self._open.get(address))

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._open):
            self._discard(address, self._open[address])

    async def _connect(self, address: str, timeout_s: float) -> BackendControl:
        self._used_at[address] = self._clock.monotonic()
        async with self._locks.setdefault(address, asyncio.Lock()):
            if address not in self._open:
                self._open[address] = await self._backends.connect_control(
                    address, timeout_s=timeout_s
                )
            return self._open[address]

    def _discard(self, address: str, control: BackendControl | None) -> None:
        if control is None or self._open.get(address) is not control:
            return
        del self._open[address]
        self._used_at.pop(address, None)
        control.close()
        self._telemetry.count("control_connections_closed")


async def probe_backend(backends: BackendConnector, address: str, *, timeout_s: float) -> bool:
    """Tell whether a backend server answers over a new connection."""
    control: BackendControl | None = None
    try:
        async with asyncio.timeout(timeout_s):
            control = await backends.connect_control(address, timeout_s=timeout_s)
            await control.report_status(timeout_s=timeout_s)
    except ConnectionRefused:
        return True  # A server that refuses because no connection is left is running.
    except (BackendUnreachable, BackendAnswerLost, TimeoutError):
        return False
    finally:
        if control is not None:
            control.close()
    return True
