"""Possible outcomes of a request: it completed, it did not run, or that is unknown."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import TypeAlias

JsonValue: TypeAlias = "dict[str, JsonValue] | list[JsonValue] | str | int | float | bool | None"


@unique
class RefusalReason(StrEnum):
    """Name the reasons why a request was not run."""

    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    ROUTE_UNKNOWN = "route_unknown"
    ROUTE_FORBIDDEN = "route_forbidden"
    REQUEST_MALFORMED = "request_malformed"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    RATE_EXCEEDED = "rate_exceeded"
    LIMIT_UNAVAILABLE = "limit_unavailable"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_PRIMARY = "no_primary"
    PRIMARY_CHANGED = "primary_changed"
    REPLICA_BEHIND = "replica_behind"
    SESSION_INVALID = "session_invalid"
    SESSION_POSITION_LOST = "session_position_lost"
    STATEMENT_REJECTED = "statement_rejected"
    TRANSACTION_UNKNOWN = "transaction_unknown"
    TRANSACTION_LOST = "transaction_lost"
    TRANSACTION_BUSY = "transaction_busy"
    CONNECTIONS_EXHAUSTED = "connections_exhausted"
    DRAINING = "draining"
    SHUTTING_DOWN = "shutting_down"
    CONFIGURATION_STALE = "configuration_stale"
    CONFIGURATION_MISSING = "configuration_missing"
    GATEWAY_UNREACHABLE = "gateway_unreachable"
    BACKEND_UNREACHABLE = "backend_unreachable"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    INTERNAL = "internal"


@unique
class UncertaintyReason(StrEnum):
    """Name the reasons why it is unknown whether a request ran."""

    CONNECTION_LOST = "connection_lost"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    GATEWAY_LOST = "gateway_lost"
    TERM_NOT_CONFIRMED = "term_not_confirmed"
    REPLICA_NOT_CONFIRMED = "replica_not_confirmed"
    COMMIT_UNANSWERED = "commit_unanswered"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class SessionPosition:
    """Locate a session's last write in the log of one database."""

    database: str
    term: int
    position: int


@dataclass(frozen=True, kw_only=True)
class Completed:
    """Hold the complete response to a request that ran."""

    result: JsonValue = None
    position: SessionPosition | None = None
    served_by: str = ""
    from_replica: bool = False
    replayed: bool = False


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """Report that no part of a request ran, so that it is safe to send again."""

    reason: RefusalReason
    detail: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """Report that a request may or may not have run."""

    reason: UncertaintyReason
    detail: str = ""


Outcome: TypeAlias = Completed | NotRun | OutcomeUnknown
