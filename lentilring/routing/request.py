"""A caller's request, as the HTTP interface passes it to routing."""

from dataclasses import dataclass

from ..outcomes import JsonValue
from ..transactions.messages import Step


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """Hold a caller's request; `step` is set for transactions, `route` for single statements.

    `client_account` is used only without a key and names the account whose open route is used.
    """

    request_id: str
    service: str
    database: str
    timeout_s: float
    key: str | None = None
    client_account: str = ""
    route: str = ""
    step: Step | None = None
    transaction_id: str = ""
    statement: JsonValue = None
    idempotency_key: str = ""
    session: str = ""
