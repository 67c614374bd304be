"""Messages between the proxy that received a request (entry proxy) and a gateway."""

from dataclasses import dataclass
from enum import StrEnum

from ..database.messages import Action
from ..peers.messages import message


class OutcomeTag(StrEnum):
    """Name the kinds of outcome on the wire."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


@message
@dataclass(frozen=True, kw_only=True)
class GatewayRequest:
    """Ask a gateway to run one statement; a session position of 0 means no session."""

    request_id: str
    group: str
    server: str
    client_account: str
    action: Action
    statement: str
    idempotency_key: str = ""
    session_term: int = 0
    session_position: int = 0
    max_staleness_s: float | None = None
    needs_replica: bool = False
    timeout_s: float = 0.0


@message
@dataclass(frozen=True, kw_only=True)
class GatewayReply:
    """Answer a statement or a transaction step; `result` is JSON.

    `term` and `position` locate a write in the log; `server_position` is how far the server's log
    reached when it answered.
    """

    tag: OutcomeTag
    reason: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    result: str = ""
    term: int = 0
    position: int = 0
    server: str = ""
    from_replica: bool = False
    replayed: bool = False
    server_position: int = 0
    transaction_id: str = ""


@message
@dataclass(frozen=True, kw_only=True)
class SamplePrimary:
    """Ask the gateway of a group's primary for a confirmed position."""

    group: str


@message
@dataclass(frozen=True, kw_only=True)
class PrimarySample:
    """Report the position that a primary had `age_s` seconds ago.

    A majority confirmed afterwards that it was the primary. `entry_term` is the term of the log
    entry at the position. `known` is False if there is no such sample.
    """

    known: bool
    term: int = 0
    entry_term: int = 0
    position: int = 0
    age_s: float = 0.0
