"""The statements that a backend server stand-in received and ran, for checks."""

from collections import deque
from dataclasses import dataclass

from ..database.messages import Action, StatementRequest

# Bounds the memory of long demo runs; tests and load runs stay below it.
JOURNAL_LIMIT = 500_000


@dataclass(frozen=True, kw_only=True)
class ExecutedStatement:
    """Describe a statement that ran; replayed and refused ones are not listed.

    `statement` of a commit is the list of the transaction's writes. `position` is the log position
    after it ran.
    """

    request_id: str
    idempotency_key: str
    client_account: str
    action: Action
    statement: str
    term: int
    position: int


class Journal:
    """Keep the newest received requests and executed statements."""

    def __init__(self, *, limit: int = JOURNAL_LIMIT) -> None:
        self.received: deque[StatementRequest] = deque(maxlen=limit)
        self.executed: deque[ExecutedStatement] = deque(maxlen=limit)

    def record_execution(self, request: StatementRequest, *, statement: str, position: int) -> None:
        """Add a statement that ran."""
        self.executed.append(
            ExecutedStatement(
                request_id=request.request_id,
                idempotency_key=request.idempotency_key,
                client_account=request.client_account,
                action=request.action,
                statement=statement,
                term=request.term,
                position=position,
            )
        )
