"""Statements that sessions hand to the router, and the outcomes of gateways' answers."""

from dataclasses import dataclass
from typing import Protocol

from ..configuration.accounts import ClientAccount
from ..gateways.messages import RunStatement, StatementAnswer, StatementKind, TransactionOpening
from ..outcomes import NotRun
from ..statements.model import (
    Done,
    Failed,
    Failure,
    Position,
    PreparedStatement,
    StatementOutcome,
)

# After these failures another server may be tried if the statement can run on several servers.
RETRYABLE_ON_ANOTHER_SERVER = frozenset(
    {
        Failure.BEHIND,
        Failure.OVERLOADED,
        Failure.CONNECTIONS_EXHAUSTED,
        Failure.WRONG_SERVER,
        Failure.NOT_PRIMARY,
        Failure.ABORTED,
        Failure.TIMED_OUT,
    }
)

# After these failures the statement may have run.
POSSIBLY_RUN = frozenset({Failure.ABORTED, Failure.TIMED_OUT})


class AccountRateLimiter(Protocol):
    """Admit operations within the rate limits of client accounts."""

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Take one token of an account; return None if admitted, else the refusal."""
        ...


@dataclass(frozen=True, kw_only=True)
class StatementCall:
    """Describe one statement that the router runs for a session."""

    request_id: str
    text: str
    work: StatementKind
    prepared: PreparedStatement | None = None


class UsageRecorder(Protocol):
    """Count the requests of client accounts."""

    def record(
        self, call: StatementCall, request: RunStatement, answer: StatementAnswer, *, age_s: float
    ) -> None:
        """Count a run that began `age_s` seconds ago if it counts as a request."""
        ...


def may_try_another_server(answer: StatementAnswer, opening: TransactionOpening) -> bool:
    """Tell whether a read may run on another server after this answer.

    The first statement of a transaction is not repeated once it may have run, because its
    transaction stays open on the server that ran it.
    """
    if answer.failure not in RETRYABLE_ON_ANOTHER_SERVER:
        return False
    may_have_run = answer.failure in POSSIBLY_RUN and not answer.is_unreachable
    return opening is TransactionOpening.NONE or not may_have_run


def build_outcome(answer: StatementAnswer) -> StatementOutcome:
    """Return the outcome that a gateway's answer stands for."""
    position = Position(term=answer.term, number=answer.number) if answer.term else None
    if not answer.failure:
        return Done(rows=answer.rows, proof=answer.proof, position=position)
    return Failed(
        failure=Failure(answer.failure),
        detail=answer.detail,
        retry_after_s=answer.retry_after_s,
        position=position,
    )
