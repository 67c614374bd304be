"""Conversions between outcomes, statement replies and gateway replies."""

from functools import singledispatch

import msgspec

from ..database.messages import Role, StatementReply, StatementStatus
from ..outcomes import (
    Completed,
    JsonValue,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalReason,
    SessionPosition,
    UncertaintyReason,
)
from .messages import GatewayReply, OutcomeTag

REFUSAL_REASONS = {
    StatementStatus.STALE_TERM: RefusalReason.PRIMARY_CHANGED,
    StatementStatus.NOT_PRIMARY: RefusalReason.PRIMARY_CHANGED,
    StatementStatus.REJECTED: RefusalReason.STATEMENT_REJECTED,
    StatementStatus.KEY_REUSED: RefusalReason.IDEMPOTENCY_KEY_REUSED,
}


def refuse(
    reason: RefusalReason, detail: str = "", retry_after_s: float | None = None
) -> GatewayReply:
    """Return the reply for a statement that did not run."""
    return GatewayReply(
        tag=OutcomeTag.NOT_RUN, reason=reason, detail=detail, retry_after_s=retry_after_s
    )


def report_unknown(reason: UncertaintyReason, detail: str = "") -> GatewayReply:
    """Return the reply for a statement that may have run."""
    return GatewayReply(tag=OutcomeTag.OUTCOME_UNKNOWN, reason=reason, detail=detail)


def convert_statement_reply(
    reply: StatementReply, *, server: str, role: Role, is_write: bool
) -> GatewayReply:
    """Convert a backend server's reply into a gateway's reply."""
    if reply.status is not StatementStatus.OK:
        return refuse(REFUSAL_REASONS[reply.status], reply.detail)
    return GatewayReply(
        tag=OutcomeTag.COMPLETED,
        result=reply.result,
        term=reply.term if is_write else 0,
        position=reply.position if is_write else 0,
        server=server,
        from_replica=role is Role.REPLICA,
        replayed=reply.replayed,
        server_position=reply.position,
    )


def build_outcome(reply: GatewayReply, *, database: str) -> Outcome:
    """Convert a gateway's reply into the outcome for the caller."""
    if reply.tag is OutcomeTag.NOT_RUN:
        return NotRun(
            reason=RefusalReason(reply.reason),
            detail=reply.detail,
            retry_after_s=reply.retry_after_s,
        )
    if reply.tag is OutcomeTag.OUTCOME_UNKNOWN:
        return OutcomeUnknown(reason=UncertaintyReason(reply.reason), detail=reply.detail)
    position = None
    if reply.position:
        position = SessionPosition(database=database, term=reply.term, position=reply.position)
    result: JsonValue = msgspec.json.decode(reply.result) if reply.result else None
    return Completed(
        result=result,
        position=position,
        served_by=reply.server,
        from_replica=reply.from_replica,
        replayed=reply.replayed,
    )


@singledispatch
def describe_outcome(outcome: object) -> str:
    """Return the code of an outcome for counters and logs."""
    raise TypeError(type(outcome).__name__)


@describe_outcome.register
def _(outcome: Completed) -> str:
    return "completed"


@describe_outcome.register
def _(outcome: NotRun) -> str:
    return outcome.reason.value


@describe_outcome.register
def _(outcome: OutcomeUnknown) -> str:
    return outcome.reason.value
