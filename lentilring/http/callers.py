"""The callers' interface, which converts HTTP requests to routing requests."""

import re
import secrets
import time
from dataclasses import replace

import msgspec

from ..kernel import Service
from ..outcomes import Completed, JsonValue, NotRun, Outcome, RefusalReason
from ..pool.replies import describe_outcome
from ..routing.request import CallerRequest
from ..routing.service import RoutingService
from ..telemetry.log import Log, request_id
from ..telemetry.metrics import Telemetry
from ..transactions.messages import Step
from .messages import HttpRequest, HttpResponse
from .problems import build_json, render_outcome
from .readiness import Readiness

BEARER = "bearer "
MAX_HEADER_LENGTH = 256
MAX_DEADLINE_MS = 60_000
NAME = r"[a-z0-9][a-z0-9-]{0,62}"
ROUTE_PATH = re.compile(rf"^/v1/({NAME})/({NAME})/({NAME})$")
TRANSACTION_PATH = re.compile(
    rf"^/v1/({NAME})/({NAME})/transactions/([A-Za-z0-9.~-]{{1,256}})(/commit|/rollback)?$"
)
REQUEST_ID = re.compile(r"^[A-Za-z0-9._-]{1,64}$")

log = Log(source="http")


class CallerInterface(Service):
    """Answer callers' requests, health checks and metrics."""

    def __init__(
        self,
        *,
        routing: RoutingService,
        readiness: Readiness,
        telemetry: Telemetry,
        default_deadline_s: float,
    ) -> None:
        self._routing = routing
        self._readiness = readiness
        self._telemetry = telemetry
        self._default_deadline_s = default_deadline_s

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        if request.path.startswith("/v1/"):
            return await self._handle_caller(request)
        if request.path == "/health":
            return build_json(200, {"status": "alive"})
        if request.path == "/ready":
            reasons = self._readiness.list_unready_conditions()
            return build_json(503 if reasons else 200, {"ready": not reasons, "reasons": reasons})
        if request.path == "/metrics":
            body = self._telemetry.export()
            return HttpResponse(status=200, content_type="text/plain; version=0.0.4", body=body)
        return render_outcome(NotRun(reason=RefusalReason.ROUTE_UNKNOWN), "")

    async def _handle_caller(self, request: HttpRequest) -> HttpResponse:
        identifier = choose_request_id(request)
        request_id.set(identifier)
        started = time.perf_counter()
        outcome: Outcome | None = self._readiness.refuse_request()
        if outcome is None:
            parsed = parse_caller_request(request, identifier, self._default_deadline_s)
            outcome = parsed if isinstance(parsed, NotRun) else await self._routing.handle(parsed)
        elif isinstance(outcome, NotRun):
            self._telemetry.count("refusals", reason=outcome.reason.value)
        self._log_request(request, outcome, time.perf_counter() - started)
        response = render_outcome(outcome, identifier)
        return replace(response, closes_connection=self._readiness.is_leaving)

    def _log_request(self, request: HttpRequest, outcome: Outcome, seconds: float) -> None:
        write = log.debug if isinstance(outcome, Completed) else log.info
        write(
            "request",
            path=request.path,
            outcome=describe_outcome(outcome),
            duration_ms=f"{seconds * 1e3:.2f}",
        )


def choose_request_id(request: HttpRequest) -> str:
    """Return the caller's request id if it is well formed, else a new one."""
    given = request.headers.get("x-request-id", "")
    return given if REQUEST_ID.match(given) else secrets.token_hex(8)


def parse_caller_request(
    request: HttpRequest, identifier: str, default_deadline_s: float
) -> CallerRequest | NotRun:
    """Return the routing request for an HTTP request, or why it is malformed."""
    if request.method != "POST":
        return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail=f"method {request.method}")
    base = _parse_headers(request, identifier, default_deadline_s)
    if isinstance(base, NotRun):
        return base
    target = _parse_path(request.path, base)
    if isinstance(target, NotRun):
        return target
    statement = _parse_statement(request.body, required=target.step in (None, Step.STATEMENT))
    if isinstance(statement, NotRun):
        return statement
    return replace(target, statement=statement)


def _parse_headers(
    request: HttpRequest, identifier: str, default_deadline_s: float
) -> CallerRequest | NotRun:
    headers = request.headers
    authorization = headers.get("authorization", "")
    key: str | None = None
    if authorization:
        if not authorization.lower().startswith(BEARER):
            return NotRun(reason=RefusalReason.KEY_MISSING, detail="a bearer key is required")
        key = authorization[len(BEARER) :].strip()
    idempotency_key = headers.get("idempotency-key", "")
    account = headers.get("lentilring-client-account", "")
    if max(len(idempotency_key), len(account), len(key or "")) > MAX_HEADER_LENGTH:
        return NotRun(reason=RefusalReason.REQUEST_MALFORMED, detail="a header is too long")
    deadline = headers.get("lentilring-deadline-ms", "")
    timeout_s = default_deadline_s
    if deadline:
        if not deadline.isdigit() or not 1 <= int(deadline) <= MAX_DEADLINE_MS:
            return NotRun(
                reason=RefusalReason.REQUEST_MALFORMED,
                detail=f"Lentilring-Deadline-Ms takes 1 to {MAX_DEADLINE_MS}",
            )
        timeout_s = int(deadline) / 1000
    return CallerRequest(
        request_id=identifier,
        service="",
        database="",
        timeout_s=timeout_s,
        key=key,
        client_account=account,
        idempotency_key=idempotency_key,
        session=headers.get("lentilring-session", ""),
    )


def _parse_path(path: str, base: CallerRequest) -> CallerRequest | NotRun:
    route = ROUTE_PATH.match(path)
    if route is not None:
        service, database, name = route.groups()
        if name == "transactions":
            return replace(base, service=service, database=database, step=Step.BEGIN)
        return replace(base, service=service, database=database, route=name)
    transaction = TRANSACTION_PATH.match(path)
    if transaction is None:
        return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail="no such path")
    service, database, transaction_id, end = transaction.groups()
    step = {"/commit": Step.COMMIT, "/rollback": Step.ROLLBACK}.get(end or "", Step.STATEMENT)
    return replace(
        base, service=service, database=database, step=step, transaction_id=transaction_id
    )


def _parse_statement(body: bytes, *, required: bool) -> "JsonValue | NotRun":
    if not body and not required:
        return None
    try:
        content = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return NotRun(reason=RefusalReason.REQUEST_MALFORMED, detail=f"JSON: {error}")
    if not isinstance(content, dict) or (required and "statement" not in content):
        return NotRun(reason=RefusalReason.REQUEST_MALFORMED, detail='"statement" is missing')
    unknown = sorted(set(content) - {"statement"})
    if unknown:
        return NotRun(reason=RefusalReason.REQUEST_MALFORMED, detail=f"unknown field {unknown[0]}")
    statement: JsonValue = content.get("statement")
    return statement
