"""Interfaces of the connections to backend servers, and their errors."""

from dataclasses import dataclass
from typing import Protocol

from ..errors import LentilringError
from .messages import ServerStatus, StatementReply, StatementRequest


@dataclass(kw_only=True, eq=False)
class BackendUnreachable(LentilringError):
    """Report that a request was not sent to the backend server, so it did not run."""

    address: str
    detail: str = ""


@dataclass(kw_only=True, eq=False)
class ConnectionRefused(LentilringError):
    """Report that the backend server has no connection left."""

    address: str
    detail: str = ""


@dataclass(kw_only=True, eq=False)
class BackendAnswerLost(LentilringError):
    """Report that a request was sent and no answer came; the request may have run."""

    address: str
    detail: str = ""


class BackendConnection(Protocol):
    """Run one statement at a time; the connection is closed after a lost answer."""

    @property
    def usable(self) -> bool:
        """Tell whether another statement can be sent."""
        ...

    async def execute(self, request: StatementRequest, *, timeout_s: float) -> StatementReply:
        """Run a statement; raise BackendUnreachable or BackendAnswerLost."""
        ...

    def close(self) -> None:
        """Close the connection; the server rolls back an open transaction."""
        ...


class BackendControl(Protocol):
    """Send control requests, several at a time, without using a statement slot.

    Each call raises BackendUnreachable or BackendAnswerLost. `accepted` is False in the returned
    status if the server has seen a greater term and refused the request.
    """

    async def report_status(self, *, timeout_s: float) -> ServerStatus:
        """Return the server's term, role and log position."""
        ...

    async def fence(self, *, term: int, timeout_s: float) -> ServerStatus:
        """Raise the server's term, so that it refuses requests of lower terms."""
        ...

    async def lead(
        self,
        *,
        term: int,
        start_position: int,
        replica_addresses: tuple[str, ...],
        timeout_s: float,
    ) -> ServerStatus:
        """Make the server the primary of a term whose entries begin after `start_position`."""
        ...

    async def follow(
        self, *, term: int, primary_address: str, start_position: int, timeout_s: float
    ) -> ServerStatus:
        """Make the server a replica of a term's primary."""
        ...

    async def await_position(self, *, term: int, position: int, timeout_s: float) -> ServerStatus:
        """Return the status once the log reaches a position under a term, or near the time-out."""
        ...

    def close(self) -> None:
        """Close the control connection."""
        ...


class BackendConnector(Protocol):
    """Open connections to backend servers; addresses are `ip:port`."""

    async def connect(self, address: str, *, timeout_s: float) -> BackendConnection:
        """Open a statement connection; raise BackendUnreachable or ConnectionRefused."""
        ...

    async def connect_control(self, address: str, *, timeout_s: float) -> BackendControl:
        """Open a control connection; raise BackendUnreachable or ConnectionRefused."""
        ...
