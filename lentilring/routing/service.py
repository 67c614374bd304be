"""Routing of callers' requests to backend servers, with retries and session positions."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from ..clock import Clock
from ..configuration.models import BackendServer, Database, RouteKind
from ..database.messages import Action
from ..kernel import Service
from ..outcomes import (
    Completed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalReason,
    SessionPosition,
    UncertaintyReason,
)
from ..pool.messages import GatewayReply, GatewayRequest, OutcomeTag
from ..pool.replies import build_outcome, refuse
from ..pool.service import GroupsView
from ..telemetry.metrics import Telemetry
from ..transactions.identity import parse_id
from ..transactions.messages import Step, TransactionRequest
from .admission import AccountsView, Authorization, Limiter, authorize, check_still_authorized
from .coalescing import Coalescer, RequestKey
from .dispatch import Dispatcher
from .reads import ReadOrder, ReplicaHints, order_servers
from .request import CallerRequest
from .retries import RetryBudget
from .sessions import SessionTokenInvalid, choose_later, decode_token
from .topology import ConfigurationView, MembershipView, find_database, find_server

READ_ATTEMPT_TIMEOUT_S = 1.0
# Long enough to fetch tokens from a share holder in another region. Requests over the rate must not
# wait for the bucket to fill, because each would hold one of the HTTP server's threads.
MAX_TOKEN_WAIT_S = 0.25
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25
# Each waiting request holds one of the HTTP server's threads; one database must not hold them all.
MAX_WAITING_PER_GROUP = 16
MAX_IN_FLIGHT_PER_ACCOUNT = 32

# Refusals whose cause may disappear before the deadline; nothing has run.
TRANSIENT_REFUSALS = frozenset(
    {
        RefusalReason.NO_PRIMARY,
        RefusalReason.PRIMARY_CHANGED,
        RefusalReason.GATEWAY_UNREACHABLE,
        RefusalReason.BACKEND_UNREACHABLE,
        RefusalReason.REPLICA_BEHIND,
        RefusalReason.CONNECTIONS_EXHAUSTED,
        RefusalReason.DRAINING,
        RefusalReason.SHUTTING_DOWN,
    }
)


class RoutingConfiguration(ConfigurationView, AccountsView, Protocol):
    """Combine what routing and admission read of the configuration."""


@dataclass(frozen=True, kw_only=True)
class _RequestContext:
    """Hold an authorized request while it is served; `deadline` is a monotonic time."""

    request: CallerRequest
    authorization: Authorization
    session: SessionPosition | None
    deadline: float


class RoutingService(Service):
    """Authorize requests, choose backend servers, retry what did not run, track sessions."""

    def __init__(
        self,
        *,
        configuration: RoutingConfiguration,
        membership: MembershipView,
        limits: Limiter,
        groups: GroupsView,
        dispatcher: Dispatcher,
        clock: Clock,
        random_source: random.Random,
        telemetry: Telemetry,
    ) -> None:
        self.in_flight = 0
        self._configuration = configuration
        self._membership = membership
        self._limits = limits
        self._groups = groups
        self._dispatcher = dispatcher
        self._clock = clock
        self._random = random_source
        self._telemetry = telemetry
        self._hints = ReplicaHints()
        self._retries = RetryBudget(clock=clock)
        self._coalescer = Coalescer()
        self._in_flight_per_account: Counter[str] = Counter()
        self._waiting_per_group: Counter[str] = Counter()

    @property
    def dispatcher(self) -> Dispatcher:
        """Return the dispatcher that calls the gateways."""
        return self._dispatcher

    async def handle(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a caller's request."""
        self.in_flight += 1
        try:
            outcome = await self._handle(request)
        finally:
            self.in_flight -= 1
        if isinstance(outcome, NotRun):
            self._telemetry.count("refusals", reason=outcome.reason.value)
        elif isinstance(outcome, OutcomeUnknown):
            self._telemetry.count("unknown_outcomes", reason=outcome.reason.value)
        else:
            self._telemetry.count("completed", replica=str(outcome.from_replica).lower())
        return outcome

    async def _handle(self, request: CallerRequest) -> Outcome:
        deadline = self._clock.monotonic() + request.timeout_s
        authorization = authorize(request, self._configuration)
        if isinstance(authorization, NotRun):
            return authorization
        try:
            session = self._decode_session(request)
        except SessionTokenInvalid as error:
            return NotRun(reason=RefusalReason.SESSION_INVALID, detail=str(error))
        context = _RequestContext(
            request=request, authorization=authorization, session=session, deadline=deadline
        )
        account_name = authorization.account.name
        refusal = self.check_in_flight(account_name)
        if refusal is not None:
            return refusal
        with _increment_while(self._in_flight_per_account, account_name):
            return await self._admit(context)

    def check_in_flight(self, account: str) -> NotRun | None:
        """Return a refusal if too many requests of an account are being served."""
        if self._in_flight_per_account.get(account, 0) < MAX_IN_FLIGHT_PER_ACCOUNT:
            return None
        return NotRun(reason=RefusalReason.QUEUE_FULL, detail="in flight", retry_after_s=0.1)

    def _decode_session(self, request: CallerRequest) -> SessionPosition | None:
        if not request.session:
            return None
        return decode_token(request.session, _format_database_name(request))

    async def _admit(self, context: _RequestContext) -> Outcome:
        request, authorization = context.request, context.authorization
        wait_s = min(MAX_TOKEN_WAIT_S, self._remaining_s(context.deadline))
        refusal = await self._limits.acquire(authorization.account, timeout_s=wait_s)
        if refusal is None:
            refusal = check_still_authorized(authorization, request, self._configuration)
        if refusal is not None:
            return refusal
        self._retries.record_request()
        if request.step is not None:
            return await self._run_step(context)
        if authorization.route.kind is RouteKind.READ:
            return await self._read(context)
        key = RequestKey(
            client_account=authorization.account.name,
            group=authorization.group,
            idempotency_key=request.idempotency_key,
        )
        content = f"{request.route} {_encode_statement(request)}"
        return await self._coalescer.run(key, content, lambda: self._write(context))

    async def _read(self, context: _RequestContext) -> Outcome:
        reply = await self._retry(context, self._read_once, repeatable=True)
        return self._convert_reply(context, reply)

    async def _read_once(self, context: _RequestContext) -> GatewayReply:
        """Try the servers in order of preference, each for at most READ_ATTEMPT_TIMEOUT_S."""
        authorization, session = context.authorization, context.session
        database = find_database(self._configuration, authorization.group)
        if database is None:
            return refuse(RefusalReason.ROUTE_UNKNOWN)
        reply = refuse(RefusalReason.NO_PRIMARY)
        position = session.position if session is not None else 0
        staleness_limit_s = authorization.max_staleness_s
        order = self.order_read_servers(
            authorization, database, position=position, random_source=self._random
        )
        for server in order.servers:
            attempt_s = min(READ_ATTEMPT_TIMEOUT_S, self._remaining_s(context.deadline))
            if attempt_s <= 0:
                return refuse(RefusalReason.DEADLINE_EXCEEDED)
            gateway_request = self._build_request(context, server.name, Action.READ, attempt_s)
            reply = await self._dispatcher.send(gateway_request, server, timeout_s=attempt_s)
            if not _may_run_again(reply, repeatable=True):
                self._hints.forget(authorization.group, server.name)
                return reply
            self._telemetry.count("retries", reason=reply.reason)
            self._hints.record_behind(
                authorization.group,
                server.name,
                self._clock.monotonic(),
                position,
                staleness_limit_s,
            )
        return reply

    def order_read_servers(
        self,
        authorization: Authorization,
        database: Database,
        *,
        position: int,
        random_source: random.Random,
    ) -> ReadOrder:
        """Return the servers to try for a read of a session at a position."""
        group, staleness_limit_s = authorization.group, authorization.max_staleness_s
        record, now = self._groups.find_record(group), self._clock.monotonic()
        servers = order_servers(
            database=database,
            primary=record.primary if record is not None else None,
            configuration=self._configuration,
            local=self._membership.local,
            accepts_replica=staleness_limit_s is not None,
            random_source=random_source,
        )
        behind = tuple(
            server
            for server in servers
            if self._hints.is_behind(group, server.name, now, position, staleness_limit_s)
        )
        if len(behind) == len(servers):
            return ReadOrder(servers=tuple(servers))
        others = tuple(server for server in servers if server not in behind)
        return ReadOrder(servers=others, left_out=behind)

    async def _write(self, context: _RequestContext) -> Outcome:
        repeatable = context.authorization.route.repeatable
        reply = await self._retry(context, self._write_once, repeatable=repeatable)
        return self._convert_reply(context, reply)

    async def _write_once(self, context: _RequestContext) -> GatewayReply:
        server = self.find_primary(context.authorization.group)
        if isinstance(server, GatewayReply):
            return server
        remaining_s = self._remaining_s(context.deadline)
        gateway_request = self._build_request(context, server.name, Action.WRITE, remaining_s)
        return await self._dispatcher.send(gateway_request, server, timeout_s=remaining_s)

    def find_primary(self, group: str) -> BackendServer | GatewayReply:
        """Return the primary of a group, or the refusal of a write without one."""
        database = find_database(self._configuration, group)
        record = self._groups.find_record(group)
        if database is None:
            return refuse(RefusalReason.ROUTE_UNKNOWN)
        if record is None or record.primary is None:
            return refuse(RefusalReason.NO_PRIMARY)
        server = find_server(database, record.primary)
        if server is None:
            return refuse(RefusalReason.CONFIGURATION_MISSING, record.primary)
        return server

    def _build_request(
        self, context: _RequestContext, server: str, action: Action, timeout_s: float
    ) -> GatewayRequest:
        request, authorization, session = context.request, context.authorization, context.session
        return GatewayRequest(
            request_id=request.request_id,
            group=authorization.group,
            server=server,
            client_account=authorization.account.name,
            action=action,
            statement=_encode_statement(request),
            idempotency_key=request.idempotency_key if action is Action.WRITE else "",
            session_term=session.term if session is not None else 0,
            session_position=session.position if session is not None else 0,
            max_staleness_s=authorization.max_staleness_s,
            needs_replica=authorization.route.needs_replica,
            timeout_s=timeout_s,
        )

    async def _retry(
        self,
        context: _RequestContext,
        attempt: Callable[[_RequestContext], Awaitable[GatewayReply]],
        *,
        repeatable: bool,
    ) -> GatewayReply:
        """Repeat an attempt until the deadline, while its reply allows another run."""
        backoff_s = FIRST_BACKOFF_S
        unknown_reply: GatewayReply | None = None
        while True:
            reply = await attempt(context)
            if reply.tag is OutcomeTag.OUTCOME_UNKNOWN:
                unknown_reply = reply
            if not _may_run_again(reply, repeatable=repeatable):
                break
            pause_s = backoff_s * self._random.uniform(0.5, 1.0)
            refusal = self._refuse_retry(context, pause_s, is_first=backoff_s == FIRST_BACKOFF_S)
            if refusal is not None:
                self._telemetry.count("retries_refused", reason=refusal.value)
                break
            self._telemetry.count("retries", reason=reply.reason)
            with _increment_while(self._waiting_per_group, context.authorization.group):
                await self._clock.sleep(pause_s)
            refusal_after_wait = check_still_authorized(
                context.authorization, context.request, self._configuration
            )
            if refusal_after_wait is not None:
                reply = refuse(refusal_after_wait.reason, refusal_after_wait.detail)
                break
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        # An earlier attempt of unknown outcome may have run, so the request must not be reported as
        # not run.
        if reply.tag is OutcomeTag.NOT_RUN and unknown_reply is not None:
            return unknown_reply
        return reply

    def _refuse_retry(
        self, context: _RequestContext, pause_s: float, *, is_first: bool
    ) -> RefusalReason | None:
        """Return why a request may not wait for another attempt, or None if it may."""
        if self._remaining_s(context.deadline) <= pause_s:
            return RefusalReason.DEADLINE_EXCEEDED
        if self._waiting_per_group[context.authorization.group] >= MAX_WAITING_PER_GROUP:
            return RefusalReason.QUEUE_FULL
        if is_first and not self._retries.spend():
            return RefusalReason.RETRY_BUDGET_EXHAUSTED
        return None

    async def _run_step(self, context: _RequestContext) -> Outcome:
        if context.request.step is not Step.BEGIN:
            return self._convert_reply(context, await self._continue_transaction(context))
        reply = await self._retry(context, self._begin_once, repeatable=False)
        if reply.tag is OutcomeTag.COMPLETED:
            return Completed(result=reply.transaction_id, served_by=reply.server)
        return self._convert_reply(context, reply)

    async def _begin_once(self, context: _RequestContext) -> GatewayReply:
        database = find_database(self._configuration, context.authorization.group)
        record = self._groups.find_record(context.authorization.group)
        if database is None or record is None or record.primary is None:
            return refuse(RefusalReason.NO_PRIMARY)
        server = find_server(database, record.primary)
        member = (
            self._dispatcher.find_gateway(context.authorization.group, server) if server else None
        )
        if member is None:
            return refuse(RefusalReason.GATEWAY_UNREACHABLE)
        remaining_s = self._remaining_s(context.deadline)
        reply = await self._dispatcher.send_step(
            self._build_step(context, remaining_s), member, timeout_s=remaining_s
        )
        if reply is None:
            return refuse(RefusalReason.GATEWAY_UNREACHABLE, member.vm)
        if reply.reason == UncertaintyReason.GATEWAY_LOST:
            # No caller received the transaction's id, so it can never commit: it did not run.
            return refuse(RefusalReason.GATEWAY_UNREACHABLE, member.vm)
        return reply

    async def _continue_transaction(self, context: _RequestContext) -> GatewayReply:
        parsed_id = parse_id(context.request.transaction_id)
        if parsed_id is None or parsed_id.client_account != context.authorization.account.name:
            return refuse(RefusalReason.TRANSACTION_UNKNOWN)
        member = self._membership.find(parsed_id.vm)
        remaining_s = self._remaining_s(context.deadline)
        if member is None or member.incarnation != parsed_id.incarnation:
            return self._refuse_lost_transaction(context.request)
        reply = await self._dispatcher.send_step(
            self._build_step(context, remaining_s), member, timeout_s=remaining_s
        )
        return reply if reply is not None else self._refuse_lost_transaction(context.request)

    def _refuse_lost_transaction(self, request: CallerRequest) -> GatewayReply:
        """Return the reply for a transaction whose gateway is dead or was restarted.

        An earlier commit of the same transaction may have run without its answer arriving, so a
        commit is never reported as not run.
        """
        if request.step is Step.COMMIT:
            return GatewayReply(
                tag=OutcomeTag.OUTCOME_UNKNOWN, reason=UncertaintyReason.COMMIT_UNANSWERED
            )
        return refuse(RefusalReason.TRANSACTION_LOST, "its gateway is gone")

    def _build_step(self, context: _RequestContext, timeout_s: float) -> TransactionRequest:
        request, authorization = context.request, context.authorization
        assert request.step is not None
        return TransactionRequest(
            request_id=request.request_id,
            group=authorization.group,
            client_account=authorization.account.name,
            step=request.step,
            transaction_id=request.transaction_id,
            statement=_encode_statement(request),
            idempotency_key=request.idempotency_key,
            needs_replica=authorization.route.needs_replica,
            timeout_s=timeout_s,
        )

    def _convert_reply(self, context: _RequestContext, reply: GatewayReply) -> Outcome:
        outcome = build_outcome(reply, database=_format_database_name(context.request))
        if not isinstance(outcome, Completed):
            return outcome
        position = context.session
        if outcome.position is not None:
            position = choose_later(position, outcome.position)
        return replace(outcome, position=position)

    def _remaining_s(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock.monotonic())


def _may_run_again(reply: GatewayReply, *, repeatable: bool) -> bool:
    """Tell whether a request may run again: it did not run, or running it twice is harmless."""
    if reply.tag is OutcomeTag.NOT_RUN:
        return reply.reason in TRANSIENT_REFUSALS
    return repeatable and reply.tag is OutcomeTag.OUTCOME_UNKNOWN


def _encode_statement(request: CallerRequest) -> str:
    return msgspec.json.encode(request.statement, order="sorted").decode()


def _format_database_name(request: CallerRequest) -> str:
    return f"{request.service}/{request.database}"


@contextmanager
def _increment_while(counter: Counter[str], key: str) -> Iterator[None]:
    counter[key] += 1
    try:
        yield
    finally:
        counter[key] -= 1
        if not counter[key]:
            del counter[key]
