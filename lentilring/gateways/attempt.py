"""State of one statement that a gateway runs, and the rules for how it can end."""

import asyncio
import math
from dataclasses import dataclass

from ..statements.model import Failed, Failure, StatementOutcome
from .messages import RunStatement, StatementKind, TransactionOpening
from .pool import ConnectionGrant, PooledConnection

# Fraction of a server's connections that its gateway leaves free for lease renewals, takeovers and
# other gateways. With only 2 of 16 free, takeovers were refused connections (khaima-ops trouble-1).
RESERVED_FRACTION = 0.4
MIN_RESERVED_CONNECTIONS = 4
# Leases, a takeover and two connections of each of a few standby gateways need no more. At 56 to 80
# connections, the fraction alone would leave 23 to 32 unused while transactions wait for them.
MAX_RESERVED_CONNECTIONS = 16
STANDBY_GATEWAY_CONNECTIONS = 2


@dataclass(kw_only=True, eq=False)
class GatewayTransaction:
    """Hold an open transaction and its connection; it runs one statement at a time.

    One that `is_abandoned` is rolled back when the statement that it runs has ended.
    """

    id: str
    connection: PooledConnection
    has_written: bool = False
    is_busy: bool = False
    is_abandoned: bool = False
    idle_timer: asyncio.TimerHandle | None = None


@dataclass(frozen=True, kw_only=True)
class RunResult:
    """Hold the outcome of a statement and the id of the transaction that stays open after it.

    `is_unreachable` says that this gateway has not run the statement and another one may.
    """

    outcome: StatementOutcome
    transaction: str = ""
    position_age_s: float | None = None
    is_unreachable: bool = False


@dataclass(kw_only=True)
class Attempt:
    """Track the state of one statement while the gateway runs it."""

    request: RunStatement
    deadline: float
    transaction: GatewayTransaction | None = None
    grant: ConnectionGrant | None = None
    connection: PooledConnection | None = None
    position_age_s: float | None = None
    was_sent: bool = False

    @property
    def kind(self) -> tuple[int, StatementKind]:
        """Return the kind of statements that are expected to take as long as this one."""
        return self.request.priority, self.request.work

    @property
    def needs_position(self) -> bool:
        """Tell whether the statement must include a position that the primary proved recently."""
        return self.request.max_staleness_s is not None and self.transaction is None


def compute_connection_limit(max_connections: int, *, is_first_choice: bool) -> int:
    """Return how many connections to a server a gateway may hold."""
    fraction = math.ceil(max_connections * RESERVED_FRACTION)
    reserved = min(MAX_RESERVED_CONNECTIONS, max(MIN_RESERVED_CONNECTIONS, fraction))
    own = max(1, max_connections - reserved)
    return own if is_first_choice else min(own, STANDBY_GATEWAY_CONNECTIONS)


def is_in_transaction(attempt: Attempt) -> bool:
    """Tell whether a statement runs in a transaction of its caller or of the gateway itself."""
    opens = attempt.request.opening is not TransactionOpening.NONE
    return attempt.transaction is not None or opens or attempt.request.proves_lead


def needs_primary(request: RunStatement) -> bool:
    """Tell whether only the primary can run a statement."""
    return (
        request.opening is TransactionOpening.READ_WRITE
        or request.proves_lead
        or request.work is StatementKind.WRITE
    )


def needs_lease(attempt: Attempt) -> bool:
    """Tell whether a statement may be sent only while its server certainly leads."""
    return commits_write(attempt) or (
        attempt.transaction is None and needs_primary(attempt.request)
    )


def is_commit(attempt: Attempt) -> bool:
    """Tell whether a statement is a commit, or a write that commits itself."""
    work = attempt.request.work
    return work is StatementKind.COMMIT or (
        work is StatementKind.WRITE and not is_in_transaction(attempt)
    )


def commits_write(attempt: Attempt) -> bool:
    """Tell whether a statement commits a write, alone or for its transaction."""
    transaction = attempt.transaction
    return is_commit(attempt) and (transaction is None or transaction.has_written)


def build_failed_result(failure: Failure, detail: str) -> RunResult:
    """Return the result of a statement that failed at the gateway."""
    return RunResult(outcome=Failed(failure=failure, detail=detail))
