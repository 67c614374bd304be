"""Messages between the proxy that received a request and the gateway of a transaction."""

from dataclasses import dataclass
from enum import StrEnum

from ..peers.messages import message


class Step(StrEnum):
    """Name the steps of a transaction."""

    BEGIN = "begin"
    STATEMENT = "statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@message
@dataclass(frozen=True, kw_only=True)
class TransactionRequest:
    """Ask a gateway to run one step of a transaction; `transaction_id` is empty for BEGIN."""

    request_id: str
    group: str
    client_account: str
    step: Step
    transaction_id: str = ""
    statement: str = ""
    idempotency_key: str = ""
    needs_replica: bool = True
    timeout_s: float = 0.0
