"""Interfaces for sessions on backend servers, and the errors that they raise."""

from dataclasses import dataclass
from typing import Protocol

from ..catalog.model import ServerEntry, ServerRole
from ..errors import LentilringError
from ..statements.model import (
    Failure,
    Position,
    PreparedStatement,
    StatementOutcome,
    TransactionState,
)


@dataclass(kw_only=True, eq=False)
class ServerUnreachable(LentilringError):
    """Report that a backend server could not be reached and that nothing was sent to it.

    `is_down` says that nothing listens at its address.
    """

    server: str
    detail: str
    is_down: bool = False


@dataclass(kw_only=True, eq=False)
class SessionSetupFailed(ServerUnreachable):
    """Report that a server that answers refused a session's values or prepared statement."""


@dataclass(kw_only=True, eq=False)
class ServerRefused(LentilringError):
    """Report that a backend server refused a connection."""

    server: str
    failure: Failure
    detail: str


@dataclass(kw_only=True, eq=False)
class ServerLost(LentilringError):
    """Report that a statement was sent but no answer arrived, so it may have run."""

    server: str
    detail: str
    timed_out: bool = False


@dataclass(frozen=True, kw_only=True)
class ServerReply:
    """Hold the outcome of one statement and the state of the session after it."""

    outcome: StatementOutcome
    state: TransactionState


@dataclass(frozen=True, kw_only=True)
class ReplicationStatus:
    """Hold the role and the replication state that a backend server reports.

    `received` may be ahead of what reads see. A paused replica receives no commits of terms below
    `paused_below_term`, which is 0 while it is not paused.
    """

    role: ServerRole
    term: int
    received: Position
    paused_below_term: int = 0


class ServerSession(Protocol):
    """Run statements, one at a time; each call raises ServerLost when no answer arrives."""

    position: Position | None

    @property
    def is_closed(self) -> bool:
        """Tell whether either end has closed the connection."""
        ...

    async def run(
        self, request_id: str, text: str, *, after: Position | None, timeout_s: float
    ) -> ServerReply:
        """Run a caller's statement; a read fails at once if the server lacks position `after`."""
        ...

    async def begin(
        self, *, read_only: bool, after: Position | None, timeout_s: float
    ) -> ServerReply:
        """Open a transaction; one that is not read-only proves that the server is the primary."""
        ...

    async def roll_back(self, *, timeout_s: float) -> ServerReply:
        """Roll the open transaction back."""
        ...

    async def reset(self, *, timeout_s: float) -> ServerReply:
        """Drop session values and prepared statements."""
        ...

    async def set_value(self, name: str, value: str, *, timeout_s: float) -> ServerReply:
        """Set a session value."""
        ...

    async def prepare(self, prepared: PreparedStatement, *, timeout_s: float) -> ServerReply:
        """Prepare a statement."""
        ...

    async def read_status(self, *, timeout_s: float) -> ReplicationStatus | Failure:
        """Return the status that the server reports."""
        ...

    async def pause(self, *, term: int, timeout_s: float) -> ReplicationStatus | Failure:
        """Stop a replica from receiving commits of terms below `term`."""
        ...

    async def step_down(self, *, term: int, timeout_s: float) -> ReplicationStatus | Failure:
        """Make a primary of a term below `term` a replica."""
        ...

    async def resume(self, *, timeout_s: float) -> ReplicationStatus | Failure:
        """Let a paused replica receive again."""
        ...

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        ...


class ServerConnector(Protocol):
    """Open sessions on backend servers."""

    async def connect(
        self, server: ServerEntry, *, account: str, timeout_s: float
    ) -> ServerSession:
        """Open a session; raise ServerUnreachable or ServerRefused."""
        ...
