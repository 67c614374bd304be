"""Outcomes as HTTP responses; errors follow RFC 9457 (problem details)."""

from functools import singledispatch
from http import HTTPStatus

import msgspec

from ..outcomes import Completed, NotRun, OutcomeUnknown, RefusalReason, UncertaintyReason
from ..routing.sessions import encode_token
from .messages import HttpResponse

JSON = "application/json"
PROBLEM_JSON = "application/problem+json"
SESSION_HEADER = "Lentilring-Session"

REFUSAL_STATUSES = {
    RefusalReason.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    RefusalReason.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    RefusalReason.ROUTE_FORBIDDEN: HTTPStatus.FORBIDDEN,
    RefusalReason.REQUEST_MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    RefusalReason.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalReason.SESSION_INVALID: HTTPStatus.BAD_REQUEST,
    RefusalReason.SESSION_POSITION_LOST: HTTPStatus.CONFLICT,
    RefusalReason.STATEMENT_REJECTED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.TRANSACTION_UNKNOWN: HTTPStatus.NOT_FOUND,
    RefusalReason.TRANSACTION_LOST: HTTPStatus.CONFLICT,
    RefusalReason.TRANSACTION_BUSY: HTTPStatus.CONFLICT,
    RefusalReason.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}
OUTCOME_UNKNOWN_STATUSES = {
    UncertaintyReason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    UncertaintyReason.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


def build_json(status: int, content: object) -> HttpResponse:
    """Return a JSON response."""
    return HttpResponse(status=status, content_type=JSON, body=msgspec.json.encode(content))


@singledispatch
def render_outcome(outcome: object, request_id: str) -> HttpResponse:
    """Return the response for an outcome."""
    raise TypeError(type(outcome).__name__)


@render_outcome.register
def _(outcome: Completed, request_id: str) -> HttpResponse:
    token = encode_token(outcome.position) if outcome.position is not None else None
    content = {
        "outcome": "completed",
        "result": outcome.result,
        "session": token,
        "served_by": outcome.served_by,
        "from_replica": outcome.from_replica,
        "replayed": outcome.replayed,
        "request_id": request_id,
    }
    headers = ((SESSION_HEADER, token),) if token is not None else ()
    return HttpResponse(
        status=HTTPStatus.OK,
        content_type=JSON,
        body=msgspec.json.encode(content),
        headers=headers,
    )


@render_outcome.register
def _(outcome: NotRun, request_id: str) -> HttpResponse:
    status = REFUSAL_STATUSES.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    headers: tuple[tuple[str, str], ...] = ()
    if outcome.retry_after_s is not None:
        headers = (("Retry-After", str(max(1, round(outcome.retry_after_s)))),)
    return _build_problem(
        status, "not_run", outcome.reason.value, outcome.detail, request_id, headers
    )


@render_outcome.register
def _(outcome: OutcomeUnknown, request_id: str) -> HttpResponse:
    status = OUTCOME_UNKNOWN_STATUSES.get(outcome.reason, HTTPStatus.BAD_GATEWAY)
    return _build_problem(
        status, "outcome_unknown", outcome.reason.value, outcome.detail, request_id, ()
    )


def _build_problem(
    status: HTTPStatus,
    tag: str,
    reason: str,
    detail: str,
    request_id: str,
    headers: tuple[tuple[str, str], ...],
) -> HttpResponse:
    content = {
        "type": f"urn:lentilring:{tag}:{reason}",
        "title": reason.replace("_", " "),
        "status": status.value,
        "outcome": tag,
        "reason": reason,
        "request_id": request_id,
    }
    if detail:
        content["detail"] = detail
    return HttpResponse(
        status=status,
        content_type=PROBLEM_JSON,
        body=msgspec.json.encode(content),
        headers=headers,
    )
