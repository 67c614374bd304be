"""A service registry: services find each other by name and share one life cycle."""

import asyncio
import logging
from collections.abc import Awaitable
from dataclasses import dataclass
from functools import cached_property
from typing import Any, TypeVar, cast

from .errors import LentilringError

# Enough to answer the last requests and to release what other processes wait for.
LEAST_DRAIN_S = 1.0

T = TypeVar("T")
logger = logging.getLogger(__name__)


@dataclass(kw_only=True, eq=False)
class ServiceNameTaken(LentilringError):
    """Report that a service's name is already registered."""

    name: str


@dataclass(kw_only=True, eq=False)
class ServiceNotFound(LentilringError):
    """Report that no service is registered under a name."""

    name: str


@dataclass(kw_only=True, eq=False)
class ServiceTypeMismatch(LentilringError):
    """Report that a service does not have the type that was requested."""

    name: str
    expected: str
    found: str


class Service:
    """Define the life cycle that the kernel drives; each step is optional."""

    async def start(self) -> None:
        """Begin background work."""

    async def drain(self, *, deadline_s: float) -> None:
        """Refuse new work and finish running work within `deadline_s` seconds."""

    async def stop(self) -> None:
        """End background work and release resources."""


class Kernel:
    """Register services by name and start, drain and stop them in order."""

    def __init__(self) -> None:
        self._services: dict[str, object] = {}
        self._state = "STOPPED"

    @cached_property
    def bus(self) -> Any:
        """Return CherryPy's bus, created when an HTTP server first needs it.

        Importing CherryPy takes a tenth of the startup time of a process without an HTTP server.
        """
        from cherrypy.process import wspbus

        bus = wspbus.Bus()
        bus.state = getattr(wspbus.states, self._state)
        return bus

    def register(self, name: str, service: object) -> None:
        """Register a service; raise ServiceNameTaken if the name is in use."""
        if name in self._services:
            raise ServiceNameTaken(name=name)
        self._services[name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return a registered service by name; raise ServiceNotFound or ServiceTypeMismatch."""
        if name not in self._services:
            raise ServiceNotFound(name=name)
        service = self._services[name]
        # Protocol classes cannot be checked at run time; only concrete classes are.
        if not getattr(kind, "_is_protocol", False) and not isinstance(service, kind):
            raise ServiceTypeMismatch(
                name=name, expected=kind.__name__, found=type(service).__name__
            )
        return cast(T, service)

    async def start(self) -> None:
        """Start all services in the order of registration; if one fails, stop those begun."""
        self._enter("STARTING")
        begun: list[Service] = []
        try:
            for service in self._managed():
                begun.append(service)
                await service.start()
        except BaseException:
            await self._stop(begun)
            raise
        self._enter("STARTED", event="start")

    async def drain(self, *, deadline_s: float) -> None:
        """Drain all services in reverse order of registration, within one deadline for all.

        A service whose turn comes late still gets LEAST_DRAIN_S.
        """
        self._enter("STOPPING", event="graceful")
        loop = asyncio.get_running_loop()
        end = loop.time() + deadline_s
        for service in reversed(self._managed()):
            remaining_s = max(min(LEAST_DRAIN_S, deadline_s), end - loop.time())
            await _end_safely(service.drain(deadline_s=remaining_s), "drain")

    async def stop(self) -> None:
        """Stop all services in reverse order of registration."""
        await self._stop(self._managed())

    async def _stop(self, services: list[Service]) -> None:
        for service in reversed(services):
            await _end_safely(service.stop(), "stop")
        if "bus" in self.__dict__:
            self.bus.publish("stop")
        self._enter("STOPPED")

    def _enter(self, state: str, *, event: str = "") -> None:
        """Change the state and publish it on the bus if there is one."""
        self._state = state
        if "bus" not in self.__dict__:
            return
        from cherrypy.process import wspbus

        self.bus.state = getattr(wspbus.states, state)
        if event:
            self.bus.publish(event)

    def _managed(self) -> list[Service]:
        return [entry for entry in self._services.values() if isinstance(entry, Service)]


async def _end_safely(ending: Awaitable[None], step: str) -> None:
    """Drain or stop a service; log a failure, so that the remaining services still end."""
    try:
        await ending
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        logger.exception("service failed to %s", step)
    except Exception:
        logger.exception("service failed to %s", step)
