"""Routing: from a caller's request to its outcome."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from ..clock import Clock
from ..configuration.models import RouteKind
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
from .admission import AccountsView, Admitted, Limiter, check_still_allowed, identify
from .coalescing import Coalescer, RequestKey
from .dispatch import Dispatcher
from .reads import ReplicaHints, order_servers
from .request import CallerRequest
from .retries import RetryBudget
from .sessions import SessionTokenInvalid, decode_token, keep_larger
from .topology import ConfigurationView, MembershipView, find_database, find_server

READ_ATTEMPT_TIMEOUT_S = 1.0
# Covers the way to a holder of tokens in another region. Requests over the rate must not wait for
# the bucket to fill, because each would hold one of the HTTP server's threads.
TOKEN_WAIT_S = 0.25
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25
# Each waiting request holds one of the HTTP server's threads, so one database may not hold all.
MAX_WAITING_PER_GROUP = 16
MAX_IN_FLIGHT_PER_ACCOUNT = 32

# Refusals after which nothing has run and the cause may pass within the deadline.
PASSING_REFUSALS = frozenset(
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
    """Name what routing reads of the configuration."""


@dataclass(frozen=True, kw_only=True)
class _Work:
    """Hold an admitted request while it is served; `deadline` is a time of the clock."""

    request: CallerRequest
    admitted: Admitted
    session: SessionPosition | None
    deadline: float


class RoutingService(Service):
    """Admit requests, choose backend servers, retry what did not run, keep sessions."""

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
        self._per_account: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()

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
        admitted = identify(request, self._configuration)
        if isinstance(admitted, NotRun):
            return admitted
        try:
            session = self._read_session(request)
        except SessionTokenInvalid as error:
            return NotRun(reason=RefusalReason.SESSION_INVALID, detail=str(error))
        work = _Work(request=request, admitted=admitted, session=session, deadline=deadline)
        name = admitted.account.name
        if self._per_account[name] >= MAX_IN_FLIGHT_PER_ACCOUNT:
            return NotRun(reason=RefusalReason.QUEUE_FULL, detail="in flight", retry_after_s=0.1)
        with _counted(self._per_account, name):
            return await self._admit(work)

    def _read_session(self, request: CallerRequest) -> SessionPosition | None:
        if not request.session:
            return None
        return decode_token(request.session, _database_name(request))

    async def _admit(self, work: _Work) -> Outcome:
        request, admitted = work.request, work.admitted
        wait_s = min(TOKEN_WAIT_S, self._left(work.deadline))
        refusal = await self._limits.acquire(admitted.account, timeout_s=wait_s)
        if refusal is None:
            refusal = check_still_allowed(admitted, request, self._configuration)
        if refusal is not None:
            return refusal
        self._retries.record_request()
        if request.step is not None:
            return await self._run_step(work)
        if admitted.route.kind is RouteKind.READ:
            return await self._read(work)
        key = RequestKey(
            client_account=admitted.account.name,
            group=admitted.group,
            idempotency_key=request.idempotency_key,
        )
        content = f"{request.route} {_encode(request)}"
        return await self._coalescer.run(key, content, lambda: self._write(work))

    async def _read(self, work: _Work) -> Outcome:
        reply = await self._retry(work, self._read_once, repeatable=True)
        return self._finish(work, reply)

    async def _read_once(self, work: _Work) -> GatewayReply:
        """Try the servers in order of preference, each for a part of the time that is left."""
        admitted, session = work.admitted, work.session
        database = find_database(self._configuration, admitted.group)
        record = self._groups.find_record(admitted.group)
        if database is None:
            return refuse(RefusalReason.ROUTE_UNKNOWN)
        servers = order_servers(
            database=database,
            primary=record.primary if record is not None else None,
            configuration=self._configuration,
            local=self._membership.local,
            accepts_replica=admitted.max_staleness_s is not None,
            source=self._random,
        )
        reply = refuse(RefusalReason.NO_PRIMARY)
        position = session.position if session is not None else 0
        limit = admitted.max_staleness_s
        now = self._clock.monotonic()
        behind = [
            server
            for server in servers
            if self._hints.is_behind(admitted.group, server.name, now, position, limit)
        ]
        for server in [s for s in servers if s not in behind] or servers:
            attempt_s = min(READ_ATTEMPT_TIMEOUT_S, self._left(work.deadline))
            if attempt_s <= 0:
                return refuse(RefusalReason.DEADLINE_EXCEEDED)
            gateway_request = self._build_request(work, server.name, Action.READ, attempt_s)
            reply = await self._dispatcher.send(gateway_request, server, timeout_s=attempt_s)
            if not _is_passing(reply, repeatable=True):
                self._hints.forget(admitted.group, server.name)
                return reply
            self._telemetry.count("retries", reason=reply.reason)
            self._hints.record_behind(
                admitted.group, server.name, self._clock.monotonic(), position, limit
            )
        return reply

    async def _write(self, work: _Work) -> Outcome:
        repeatable = work.admitted.route.repeatable
        reply = await self._retry(work, self._write_once, repeatable=repeatable)
        return self._finish(work, reply)

    async def _write_once(self, work: _Work) -> GatewayReply:
        database = find_database(self._configuration, work.admitted.group)
        record = self._groups.find_record(work.admitted.group)
        if database is None:
            return refuse(RefusalReason.ROUTE_UNKNOWN)
        if record is None or record.primary is None:
            return refuse(RefusalReason.NO_PRIMARY)
        server = find_server(database, record.primary)
        if server is None:
            return refuse(RefusalReason.CONFIGURATION_MISSING, record.primary)
        left = self._left(work.deadline)
        gateway_request = self._build_request(work, server.name, Action.WRITE, left)
        return await self._dispatcher.send(gateway_request, server, timeout_s=left)

    def _build_request(
        self, work: _Work, server: str, action: Action, timeout_s: float
    ) -> GatewayRequest:
        request, admitted, session = work.request, work.admitted, work.session
        return GatewayRequest(
            request_id=request.request_id,
            group=admitted.group,
            server=server,
            client_account=admitted.account.name,
            action=action,
            statement=_encode(request),
            idempotency_key=request.idempotency_key if action is Action.WRITE else "",
            session_term=session.term if session is not None else 0,
            session_position=session.position if session is not None else 0,
            max_staleness_s=admitted.max_staleness_s,
            needs_replica=admitted.route.needs_replica,
            timeout_s=timeout_s,
        )

    async def _retry(
        self,
        work: _Work,
        attempt: Callable[[_Work], Awaitable[GatewayReply]],
        *,
        repeatable: bool,
    ) -> GatewayReply:
        """Repeat an attempt that did not run for a cause that may pass, until the deadline."""
        backoff = FIRST_BACKOFF_S
        unknown: GatewayReply | None = None
        while True:
            reply = await attempt(work)
            if reply.tag is OutcomeTag.OUTCOME_UNKNOWN:
                unknown = reply
            if not _is_passing(reply, repeatable=repeatable):
                break
            pause = backoff * self._random.uniform(0.5, 1.0)
            refusal = self._refuse_retry(work, pause, first=backoff == FIRST_BACKOFF_S)
            if refusal is not None:
                self._telemetry.count("retries_refused", reason=refusal.value)
                break
            self._telemetry.count("retries", reason=reply.reason)
            with _counted(self._waiting, work.admitted.group):
                await self._clock.sleep(pause)
            withdrawn = check_still_allowed(work.admitted, work.request, self._configuration)
            if withdrawn is not None:
                reply = refuse(withdrawn.reason, withdrawn.detail)
                break
            backoff = min(MAX_BACKOFF_S, backoff * 2)
        # An earlier attempt of unknown outcome may have run, so the whole request cannot be
        # reported as not run.
        if reply.tag is OutcomeTag.NOT_RUN and unknown is not None:
            return unknown
        return reply

    def _refuse_retry(self, work: _Work, pause: float, *, first: bool) -> RefusalReason | None:
        """Return why a request may not wait for another attempt."""
        if self._left(work.deadline) <= pause:
            return RefusalReason.DEADLINE_EXCEEDED
        if self._waiting[work.admitted.group] >= MAX_WAITING_PER_GROUP:
            return RefusalReason.QUEUE_FULL
        if first and not self._retries.spend():
            return RefusalReason.RETRY_BUDGET_EXHAUSTED
        return None

    async def _run_step(self, work: _Work) -> Outcome:
        if work.request.step is not Step.BEGIN:
            return self._finish(work, await self._continue_transaction(work))
        reply = await self._retry(work, self._begin_once, repeatable=False)
        if reply.tag is OutcomeTag.COMPLETED:
            return Completed(result=reply.transaction_id, served_by=reply.server)
        return self._finish(work, reply)

    async def _begin_once(self, work: _Work) -> GatewayReply:
        database = find_database(self._configuration, work.admitted.group)
        record = self._groups.find_record(work.admitted.group)
        if database is None or record is None or record.primary is None:
            return refuse(RefusalReason.NO_PRIMARY)
        server = find_server(database, record.primary)
        member = self._dispatcher.find_gateway(work.admitted.group, server) if server else None
        if member is None:
            return refuse(RefusalReason.GATEWAY_UNREACHABLE)
        left = self._left(work.deadline)
        reply = await self._dispatcher.send_step(
            self._build_step(work, left), member, timeout_s=left
        )
        if reply is None:
            return refuse(RefusalReason.GATEWAY_UNREACHABLE, member.vm)
        if reply.reason == UncertaintyReason.GATEWAY_LOST:
            # A transaction whose id nobody received can never commit, so it did not run.
            return refuse(RefusalReason.GATEWAY_UNREACHABLE, member.vm)
        return reply

    async def _continue_transaction(self, work: _Work) -> GatewayReply:
        identity = parse_id(work.request.transaction_id)
        if identity is None or identity.client_account != work.admitted.account.name:
            return refuse(RefusalReason.TRANSACTION_UNKNOWN)
        member = self._membership.find(identity.vm)
        left = self._left(work.deadline)
        if member is None or member.incarnation != identity.incarnation:
            return self._refuse_lost(work.request)
        reply = await self._dispatcher.send_step(
            self._build_step(work, left), member, timeout_s=left
        )
        return reply if reply is not None else self._refuse_lost(work.request)

    def _refuse_lost(self, request: CallerRequest) -> GatewayReply:
        """Return the reply for a transaction whose gateway is gone.

        An earlier commit of the same transaction may have run without its answer arriving, so a
        commit is never reported as not run.
        """
        if request.step is Step.COMMIT:
            return GatewayReply(
                tag=OutcomeTag.OUTCOME_UNKNOWN, reason=UncertaintyReason.COMMIT_UNANSWERED
            )
        return refuse(RefusalReason.TRANSACTION_LOST, "its gateway is gone")

    def _build_step(self, work: _Work, timeout_s: float) -> TransactionRequest:
        request, admitted = work.request, work.admitted
        assert request.step is not None
        return TransactionRequest(
            request_id=request.request_id,
            group=admitted.group,
            client_account=admitted.account.name,
            step=request.step,
            transaction_id=request.transaction_id,
            statement=_encode(request),
            idempotency_key=request.idempotency_key,
            needs_replica=admitted.route.needs_replica,
            timeout_s=timeout_s,
        )

    def _finish(self, work: _Work, reply: GatewayReply) -> Outcome:
        outcome = build_outcome(reply, database=_database_name(work.request))
        if not isinstance(outcome, Completed):
            return outcome
        position = work.session
        if outcome.position is not None:
            position = keep_larger(position, outcome.position)
        return replace(outcome, position=position)

    def _left(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock.monotonic())


def _is_passing(reply: GatewayReply, *, repeatable: bool) -> bool:
    """Tell whether a request may be sent again: it did not run, or running twice is harmless."""
    if reply.tag is OutcomeTag.NOT_RUN:
        return reply.reason in PASSING_REFUSALS
    return repeatable and reply.tag is OutcomeTag.OUTCOME_UNKNOWN


def _encode(request: CallerRequest) -> str:
    return msgspec.json.encode(request.statement, order="sorted").decode()


def _database_name(request: CallerRequest) -> str:
    return f"{request.service}/{request.database}"


@contextmanager
def _counted(counter: Counter[str], name: str) -> Iterator[None]:
    counter[name] += 1
    try:
        yield
    finally:
        counter[name] -= 1
        if not counter[name]:
            del counter[name]
