"""Statements that sessions hand to the router, and the outcomes of gateways' answers."""

from dataclasses import dataclass
from typing import Protocol

from ..configuration.accounts import ClientAccount
from ..gateways.dispatch import DispatchResult
from ..gateways.messages import RunStatement, StatementAnswer, StatementKind, TransactionOpening
from ..limits.remaining import RemainingRate
from ..outcomes import NotRun
from ..statements.model import (
    NOT_RUN,
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

# After these failures no server ran the statement. An aborted one may have run in a transaction
# that was rolled back.
UNEXECUTED = NOT_RUN - {Failure.ABORTED}
# After these failures the statement may have run.
POSSIBLY_RUN = frozenset({Failure.ABORTED, Failure.TIMED_OUT})


class AccountRateLimiter(Protocol):
    """Admit operations within the rate limits of client accounts."""

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Take one token of an account; return None if admitted, else the refusal."""
        ...

    def preview(self, account: ClientAccount) -> RemainingRate:
        """Return what is left of an account's rate, without taking a token or asking a peer."""
        ...

    def give_back(self, account: str, *, admitted_at: float) -> None:
        """Return the token of an operation that certainly did not run."""
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


def lacks_position(answer: StatementAnswer) -> bool:
    """Tell whether a gateway refused a read without asking the server, as no position is known."""
    return answer.failure == Failure.BEHIND and answer.age_s is None


class ReadAttempts:
    """Decide whether a read goes on to another server, and which answer its caller gets.

    A single read that failed at one server runs once more on another one, because its caller would
    repeat it. A second failure is probably that of the statement, so it is not repeated again.
    """

    def __init__(self, opening: TransactionOpening) -> None:
        self._opening = opening
        self.last: DispatchResult | None = None
        self.was_repeated = False
        self._lacked_position = False

    @property
    def may_wait_for_position(self) -> bool:
        """Tell whether a server refused for want of a proven position and none ran the read."""
        last = self.last
        return self._lacked_position and last is not None and last.answer.failure in UNEXECUTED

    def add(self, dispatched: DispatchResult) -> bool:
        """Record the answer of one server; return whether another server may be tried."""
        failure = dispatched.answer.failure
        self._lacked_position |= lacks_position(dispatched.answer)
        # A refusal of a later server says that nothing ran, which would hide a run at this one.
        if self.last is None or failure not in NOT_RUN or self.last.answer.failure in NOT_RUN:
            self.last = dispatched
        if self.was_repeated and failure not in NOT_RUN:
            return False
        if failure == Failure.FAILED and self._opening is TransactionOpening.NONE:
            self.was_repeated = True
            return True
        return may_try_another_server(dispatched.answer, self._opening)


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
