"""One statement at a gateway: what its steps learn and how it may end."""

import asyncio
import math
from dataclasses import dataclass

from ..statements.model import Failed, Failure, StatementOutcome
from .messages import RunStatement, StatementKind, TransactionOpening
from .pool import PooledConnection

# What stays free of a server's connections for leases, takeovers and other gateways: the first
# gateway left 2 of 16 free, and takeovers were refused connections (khaima-ops trouble-1).
RESERVED_FRACTION = 0.4
MIN_RESERVED = 4
OTHER_GATEWAY_CONNECTIONS = 2


@dataclass(kw_only=True, eq=False)
class GatewayTransaction:
    """Hold the connection of a transaction; only one statement runs at a time."""

    id: str
    connection: PooledConnection
    proves_lead: bool
    is_busy: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass(frozen=True, kw_only=True)
class RunResult:
    """Hold the outcome of a statement and the transaction that stays open after it."""

    outcome: StatementOutcome
    transaction: str = ""
    age_s: float | None = None
    is_unreachable: bool = False


@dataclass(kw_only=True)
class Attempt:
    """Collect what a statement's steps learn."""

    request: RunStatement
    deadline: float
    transaction: GatewayTransaction | None = None
    connection: PooledConnection | None = None
    age_s: float | None = None
    was_sent: bool = False


def find_limit(max_connections: int, *, is_first: bool) -> int:
    """Return how many connections a gateway may hold."""
    reserved = max(MIN_RESERVED, math.ceil(max_connections * RESERVED_FRACTION))
    own = max(1, max_connections - reserved)
    return own if is_first else min(own, OTHER_GATEWAY_CONNECTIONS)


def is_open(attempt: Attempt) -> bool:
    """Tell whether a statement runs inside a transaction, its caller's or the gateway's own."""
    opens = attempt.request.opening is not TransactionOpening.NONE
    return attempt.transaction is not None or opens or attempt.request.proves_lead


def needs_primary(request: RunStatement) -> bool:
    """Tell whether only the primary can run a statement."""
    return (
        request.opening is TransactionOpening.READ_WRITE
        or request.proves_lead
        or request.work is StatementKind.WRITE
    )


def commits(attempt: Attempt) -> bool:
    """Tell whether a statement makes a write take effect."""
    work = attempt.request.work
    return work is StatementKind.COMMIT or (work is StatementKind.WRITE and not is_open(attempt))


def fail(failure: Failure, detail: str) -> RunResult:
    """Return the result of a statement that failed here."""
    return RunResult(outcome=Failed(failure=failure, detail=detail))
