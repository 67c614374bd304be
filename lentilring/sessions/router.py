"""The service `statements`: admits operations and finds a backend server for each statement."""

from collections.abc import Callable
from dataclasses import replace
from enum import StrEnum, unique
from random import Random

from ..catalog.model import Consistency, DatabaseRoute, ServerEntry
from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..configuration.accounts import ClientAccount
from ..gateways.dispatch import DispatchResult, StatementDispatcher
from ..gateways.gateway import LEADERSHIP_UNCERTAIN
from ..gateways.messages import RunStatement, StatementAnswer, StatementKind, TransactionOpening
from ..gateways.stopping import StopSchedule
from ..kernel import Service
from ..outcomes import NotRun
from ..statements.model import (
    Done,
    Failed,
    Failure,
    Position,
    StatementOutcome,
)
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .calls import (
    UNEXECUTED,
    AccountRateLimiter,
    ReadAttempts,
    StatementCall,
    UsageRecorder,
    build_outcome,
    lacks_position,
)
from .choice import (
    FreshnessBound,
    ProxyLocation,
    ReadCost,
    ReplicaLag,
    ServerJudgements,
    WaitEstimates,
    choose_trial,
    estimate_round_trip_s,
    rank_read_servers,
)
from .context import (
    ANONYMOUS_ACCOUNT,
    Admission,
    OperationToken,
    SessionContext,
    SessionTransaction,
)

# Waiting longer for a rate-limit token would cost the caller more time than asking again.
TOKEN_TIMEOUT_S = 0.15
# Part of the route's latency objective. A statement that would wait longer for a slot is refused
# at once.
SLOT_WAIT_FRACTION = 0.5
MAX_READ_ATTEMPTS = 4
# Part of the route's latency objective that a read may spend at a bad server before it runs on
# another one.
TRIAL_TIME_FRACTION = 0.25
# Part of a statement's time that it may wait for a new primary; the rest is left for its run.
TAKEOVER_WAIT_FRACTION = 0.8
PRIMARY_POLL_INTERVAL_S = 0.1
# Each poll is a call to a gateway for each read that waits.
POSITION_POLL_S = 0.2
NO_SERVER_RETRY_S = 0.3
STALE_CONFIGURATION_RETRY_S = 1.0
STOPPING_DETAIL = "the proxy is stopping"
STOPPING = Failed(failure=Failure.OVERLOADED, detail=STOPPING_DETAIL)
NO_READ_SERVER = Failed(
    failure=Failure.OVERLOADED,
    detail="no server may serve this read",
    retry_after_s=NO_SERVER_RETRY_S,
)
NO_PRIMARY = Failed(
    failure=Failure.OVERLOADED, detail="no primary is known", retry_after_s=NO_SERVER_RETRY_S
)

log = Log(source="statements")


@unique
class Exclusion(StrEnum):
    """Name the reasons why a server may not run a caller's statements."""

    NO_NEW_WORK = "it accepts no new work"
    ROUTE_REGIONS = "the route does not allow its region"
    ACCOUNT_REGIONS = "the account does not allow its region"


class StatementRouter(Service):
    """Admit operations and run their statements on suitable servers."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        dispatcher: StatementDispatcher,
        limiter: AccountRateLimiter,
        location: ProxyLocation,
        regions: dict[str, str],
        clock: SuspensionClock,
        random: Random,
        telemetry: Telemetry,
        usage: UsageRecorder | None = None,
    ) -> None:
        self._catalog, self._dispatcher, self._limiter = catalog, dispatcher, limiter
        self._location, self._regions = location, regions
        self._clock, self._random = clock, random
        self._telemetry, self._usage = telemetry, usage
        self._slot_waits = WaitEstimates(now=clock.monotonic)
        self._failure_penalties = WaitEstimates(now=clock.monotonic, half_life_s=1.0)
        self._replica_lag = ReplicaLag(now=clock.monotonic)
        self._judgements = ServerJudgements(now=clock.monotonic)
        self._stop_schedule: StopSchedule | None = None

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Refuse from now on what could not be answered before the process ends."""
        self._stop_schedule = schedule

    def record_judgement(self, server: str, gateway: str, bad_share: float | None) -> None:
        """Store what the gateway on a VM reports about a server; None if it is not bad."""
        if self._judgements.record(server, gateway, bad_share):
            log.info(
                "server_judgement_changed",
                server=server,
                judged="good" if bad_share is None else "bad",
                share="-" if bad_share is None else round(bad_share, 2),
                gateway=gateway,
            )

    def is_too_late(self, admission: Admission, work: StatementKind) -> bool:
        """Tell whether this proxy is stopping and has too little time left for a statement."""
        schedule = self._stop_schedule
        return schedule is not None and not schedule.accepts(
            work, timeout_s=admission.route.statement_timeout_s, now=self._clock.monotonic()
        )

    def check_session(self, context: SessionContext) -> Failed | Admission:
        """Return the route and account that a session may use now, or why it may not run."""
        stale = self.check_configuration()
        if stale is not None:
            return stale
        account = self._catalog.find_account_by_key(context.key) if context.key else None
        return self.check_access(context.database, account)

    def check_configuration(self) -> Failed | None:
        """Return a refusal if the configuration is too old."""
        if self._catalog.is_fresh():
            return None
        return Failed(
            failure=Failure.OVERLOADED,
            detail=f"the configuration is {self._catalog.manifest_age_s():.1f} s old",
            retry_after_s=STALE_CONFIGURATION_RETRY_S,
        )

    def check_access(self, database: str, account: ClientAccount | None) -> Failed | Admission:
        """Return the route and account of a caller, or why the caller may not use the database.

        `account` is None if the caller's key belongs to none.
        """
        route = self._catalog.find_route(database)
        if route is None:
            return Failed(failure=Failure.UNKNOWN_DATABASE, detail="no route has this database")
        if account is not None:
            return Admission(route=route, account=account.name)
        if route.allows_anonymous:
            return Admission(route=route, account=ANONYMOUS_ACCOUNT)
        return Failed(failure=Failure.UNAUTHORIZED, detail="the key is not known")

    def check_new_work(self, context: SessionContext) -> Failed | Admission:
        """Return what `check_session` does, or that this proxy has no time left for new work."""
        admission = self.check_session(context)
        if isinstance(admission, Admission) and self.is_too_late(admission, StatementKind.READ):
            return STOPPING
        return admission

    async def admit(self, context: SessionContext, request_id: str) -> Failed | Admission:
        """Admit one operation if its key and route are valid and its account is within its rate."""
        admission = self.check_new_work(context)
        if isinstance(admission, Failed):
            self.log_refusal(context, request_id, admission)
            return admission
        account = self._catalog.find_account(admission.account)
        if account is None:
            return admission
        refused = await self._limiter.acquire(account, timeout_s=TOKEN_TIMEOUT_S)
        if refused is None:
            token = OperationToken(admitted_at=self._clock.monotonic())
            return replace(admission, token=token)
        failed = build_limit_refusal(account, refused)
        self.log_refusal(context, request_id, failed)
        return failed

    def give_back_unused(self, admission: Admission) -> None:
        """Return the token of an operation that has ended if no server can have run any of it."""
        token = admission.token
        if token is None or token.may_have_run or token.is_returned:
            return
        token.is_returned = True
        self._limiter.give_back(admission.account, admitted_at=token.admitted_at)

    async def run_single(
        self, context: SessionContext, admission: Admission, call: StatementCall
    ) -> StatementOutcome:
        """Run a statement outside of a transaction."""
        dispatched = await self._run_outside_transaction(
            context, admission, call, TransactionOpening.NONE
        )
        outcome = build_outcome(dispatched.answer)
        if call.work is StatementKind.WRITE and isinstance(outcome, Done):
            context.record_commit(outcome.position)
        self.give_back_unused(admission)
        return outcome

    async def run_in_transaction(
        self, context: SessionContext, transaction: SessionTransaction, call: StatementCall
    ) -> StatementOutcome:
        """Run a statement of a transaction; the first one opens the transaction on a server."""
        if transaction.gateway is None:
            dispatched = await self._open_transaction(context, transaction, call)
        else:
            dispatched = await self._continue_transaction(context, transaction, call)
        transaction.id = dispatched.answer.transaction
        outcome = build_outcome(dispatched.answer)
        if isinstance(outcome, Failed):
            transaction.has_failed = True
            self.give_back_unused(transaction.admission)
        elif call.work is StatementKind.WRITE:
            transaction.has_written = True
        elif call.work is StatementKind.COMMIT and transaction.has_written:
            context.record_commit(outcome.position)
        return outcome

    async def roll_back(self, transaction: SessionTransaction) -> None:
        """Roll back a transaction if it is open on a server."""
        self.give_back_unused(transaction.admission)
        if transaction.id and transaction.gateway is not None:
            transaction_id, transaction.id = transaction.id, ""
            await self._dispatcher.end_transaction(transaction.gateway, transaction_id)

    async def _open_transaction(
        self, context: SessionContext, transaction: SessionTransaction, call: StatementCall
    ) -> DispatchResult:
        admission = transaction.admission
        opening = choose_opening(admission.route, read_only=transaction.read_only)
        dispatched = await self._run_outside_transaction(context, admission, call, opening)
        transaction.gateway, transaction.server = dispatched.gateway, dispatched.server
        return dispatched

    async def _continue_transaction(
        self, context: SessionContext, transaction: SessionTransaction, call: StatementCall
    ) -> DispatchResult:
        assert transaction.gateway is not None
        request = self._build_request(
            context, transaction.admission, call, transaction.server, TransactionOpening.NONE
        )
        request = _assign_transaction(request, transaction.id)
        _mark_begun(transaction.admission)
        started_at = self._clock.monotonic()
        dispatched = await self._dispatcher.run_at(transaction.gateway, request)
        self._record_run(transaction.admission, call, request, dispatched, started_at)
        return dispatched

    async def _run_outside_transaction(
        self,
        context: SessionContext,
        admission: Admission,
        call: StatementCall,
        opening: TransactionOpening,
    ) -> DispatchResult:
        """Run a statement that belongs to no open transaction, on replicas or on the primary."""
        if replicas_may_run(admission.route, call.work, opening):
            return await self._run_on_read_servers(context, admission, call, opening)
        return await self._run_on_primary(context, admission, call, opening)

    async def _run_on_read_servers(
        self,
        context: SessionContext,
        admission: Admission,
        call: StatementCall,
        opening: TransactionOpening,
    ) -> DispatchResult:
        deadline = self._clock.monotonic() + admission.route.statement_timeout_s
        wait_deadline = self._clock.monotonic() + self.find_primary_wait_s(admission)
        while True:
            attempts = await self._try_read_servers(context, admission, call, opening, deadline)
            if not attempts.may_wait_for_position:
                break
            # Without a primary no position is proven. A takeover is over within about 2 s.
            if self._clock.monotonic() + POSITION_POLL_S > wait_deadline:
                break
            await self._clock.sleep(POSITION_POLL_S)
        return attempts.last or self._refuse(NO_READ_SERVER)

    async def _try_read_servers(
        self,
        context: SessionContext,
        admission: Admission,
        call: StatementCall,
        opening: TransactionOpening,
        deadline: float,
    ) -> ReadAttempts:
        """Try servers in order until one runs the read or another one would not help."""
        bound = FreshnessBound(
            max_staleness_s=admission.route.max_staleness_s, position=context.position
        )
        attempts = ReadAttempts(opening)
        dispatched: DispatchResult | None = None
        ranked, trial = self._rank_read_servers(admission, bound, opening)
        for server in ranked[:MAX_READ_ATTEMPTS]:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                break
            if dispatched is not None and dispatched.answer.failure == Failure.FAILED:
                self._record_repeat(call, dispatched, server)
            if server is trial:
                self._telemetry.count("bad_server_trials")
                log.info("bad_server_tried", request=call.request_id, server=server.id)
            request = self._build_request(
                context,
                admission,
                call,
                server.id,
                opening,
                min_position=bound.position,
                max_staleness_s=bound.max_staleness_s,
                timeout_s=self._find_attempt_s(admission, remaining_s, is_trial=server is trial),
            )
            dispatched = await self._run_on_server(admission, call, server, request)
            self._record_lag(server, bound, dispatched.answer)
            if not attempts.add(dispatched):
                break
        return attempts

    def _record_repeat(
        self, call: StatementCall, failed: DispatchResult, server: ServerEntry
    ) -> None:
        self._telemetry.count("reads_repeated")
        log.info(
            "read_repeated", request=call.request_id, failed_at=failed.server, server=server.id
        )

    def _record_lag(
        self, server: ServerEntry, bound: FreshnessBound, answer: StatementAnswer
    ) -> None:
        # Without the age of a required position, the gateway knew none and did not ask the server.
        if answer.failure != Failure.BEHIND or lacks_position(answer):
            return
        if self._replica_lag.record(server.id, bound):
            log.info("replica_behind", service=server.service, server=server.id)

    async def _run_on_primary(
        self,
        context: SessionContext,
        admission: Admission,
        call: StatementCall,
        opening: TransactionOpening,
    ) -> DispatchResult:
        last = None
        deadline = self._clock.monotonic() + admission.route.statement_timeout_s
        wait_deadline = self._clock.monotonic() + self.find_primary_wait_s(admission)
        while True:
            server = self.find_usable_primary(admission)
            if server is None:
                if not await self._await_primary(wait_deadline):
                    break
                continue
            request = self._build_request(
                context,
                admission,
                call,
                server.id,
                opening,
                proves_lead=call.work is StatementKind.READ and opening is TransactionOpening.NONE,
                timeout_s=max(0.01, deadline - self._clock.monotonic()),
            )
            last = await self._run_on_server(admission, call, server, request)
            if not self._must_wait_for_primary(server, last.answer):
                return last
            if not await self._await_primary(wait_deadline):
                break
        return last or self._refuse(NO_PRIMARY)

    def _must_wait_for_primary(self, server: ServerEntry, answer: StatementAnswer) -> bool:
        """Tell whether a statement did not run because its server does not lead or is unreachable.

        A server that denies being the primary is recorded as such.
        """
        if answer.detail == LEADERSHIP_UNCERTAIN.detail:
            return True
        if answer.failure == Failure.NOT_PRIMARY:
            entry = self._catalog.servers.entries.get(server.id, server)
            self._catalog.leadership.record_denial(entry)
            log.info("primary_denied", service=server.service, server=server.id)
            return True
        return answer.is_unreachable or answer.failure == Failure.WRONG_SERVER

    def find_usable_primary(self, admission: Admission) -> ServerEntry | None:
        """Return the primary of a route's service if it is known and may run the operation."""
        server = self._catalog.find_primary(admission.route.service)
        if server is None or self.find_exclusion(admission, server) is not None:
            return None
        return server

    def find_primary_wait_s(self, admission: Admission) -> float:
        """Return how long a statement may wait for another primary.

        While the store answers, a takeover is over within about 2 s; without it there is none.
        """
        if not self._catalog.is_store_reachable():
            return 0.0
        return admission.route.statement_timeout_s * TAKEOVER_WAIT_FRACTION

    async def _await_primary(self, deadline: float) -> bool:
        """Wait briefly for a change of the catalog; return False when no time is left."""
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return False
        await self._catalog.wait_for_change(timeout_s=min(PRIMARY_POLL_INTERVAL_S, remaining_s))
        return True

    async def _run_on_server(
        self, admission: Admission, call: StatementCall, server: ServerEntry, request: RunStatement
    ) -> DispatchResult:
        started_at = self._clock.monotonic()
        was_begun = _mark_begun(admission)
        dispatched = await self._dispatcher.run(server, request)
        answer = dispatched.answer
        if admission.token is not None and not was_begun:
            admission.token.may_have_run = dispatched.run_answer.failure not in UNEXECUTED
        self._slot_waits.record(server.id, answer.wait_s)
        # A failure may come from this proxy instead of the gateway and says nothing then.
        if answer.bad_share is not None or not answer.failure:
            self.record_judgement(server.id, dispatched.gateway.vm, answer.bad_share)
        if answer.failure in (Failure.ABORTED, Failure.TIMED_OUT, Failure.UNCERTAIN):
            self._failure_penalties.record(server.id, admission.route.latency_target_s)
        self._record_run(admission, call, request, dispatched, started_at)
        return dispatched

    def _rank_read_servers(
        self, admission: Admission, bound: FreshnessBound, opening: TransactionOpening
    ) -> tuple[list[ServerEntry], ServerEntry | None]:
        """Return the servers to try in order, and the first if it is a trial of a bad server."""
        costs = self._estimate_read_costs(
            admission, bound, lambda server: self._slot_waits.draw_wait_s(server, self._random)
        )
        ranked = [cost.server for cost in costs]
        if opening is not TransactionOpening.NONE:
            return ranked, None
        bad = [cost.server.id for cost in costs if cost.is_bad]
        trial = choose_trial(ranked, bad=bad, random=self._random)
        if trial is not None:
            ranked.remove(trial)
            ranked.insert(0, trial)
        return ranked, trial

    def preview_read_costs(self, admission: Admission, bound: FreshnessBound) -> list[ReadCost]:
        """Return what a read costs at the servers that may serve it, by their estimated waits.

        A read itself is ranked by waits drawn from `find_wait_range_s`.
        """
        return self._estimate_read_costs(admission, bound, self._slot_waits.wait_s)

    def preview_primary_cost(self, admission: Admission, primary: ServerEntry) -> ReadCost:
        """Return the time that a statement of the primary is estimated to take."""
        return ReadCost(
            server=primary,
            round_trip_s=estimate_round_trip_s(self._location, primary, self._find_region),
            wait_s=self._slot_waits.wait_s(primary.id),
            primary_penalty_s=0.0,
            failure_penalty_s=0.0,
            lag_penalty_s=0.0,
            is_bad=primary.id in self._find_bad_servers(admission),
        )

    def find_wait_range_s(self, server: str) -> tuple[float, float]:
        """Return the least and the greatest wait at a server that its last report allows."""
        return self._slot_waits.find_range_s(server)

    def _estimate_read_costs(
        self, admission: Admission, bound: FreshnessBound, wait_s: Callable[[str], float]
    ) -> list[ReadCost]:
        service = admission.route.service
        return rank_read_servers(
            self._catalog.servers.by_service.get(service, ()),
            primary=self._catalog.find_primary(service),
            location=self._location,
            region_of=self._find_region,
            is_usable=lambda server: self.find_exclusion(admission, server) is None,
            wait_s=wait_s,
            failure_penalty_s=self._failure_penalties.wait_s,
            lag_penalty_s=lambda server: self._replica_lag.penalty_s(server, bound),
            bad=self._find_bad_servers(admission),
        )

    def _find_bad_servers(self, admission: Admission) -> frozenset[str]:
        servers = self._catalog.servers.by_service.get(admission.route.service, ())
        return self._judgements.find_bad([server.id for server in servers])

    def _find_attempt_s(self, admission: Admission, remaining_s: float, *, is_trial: bool) -> float:
        trial_s = admission.route.latency_target_s * TRIAL_TIME_FRACTION
        return min(remaining_s, trial_s) if is_trial else remaining_s

    def find_exclusion(self, admission: Admission, server: ServerEntry) -> Exclusion | None:
        """Return why a server may not run an operation, None if it may."""
        if not self._catalog.accepts_new_work(server):
            return Exclusion.NO_NEW_WORK
        manifest = self._catalog.manifest
        account_regions = manifest.account_regions.get(admission.account, ()) if manifest else ()
        region = self._find_region(server.failure_domain)
        if admission.route.allowed_regions and region not in admission.route.allowed_regions:
            return Exclusion.ROUTE_REGIONS
        if account_regions and region not in account_regions:
            return Exclusion.ACCOUNT_REGIONS
        return None

    def _find_region(self, failure_domain: str) -> str:
        return self._regions.get(failure_domain, "")

    def _build_request(
        self,
        context: SessionContext,
        admission: Admission,
        call: StatementCall,
        server: str,
        opening: TransactionOpening,
        *,
        proves_lead: bool = False,
        min_position: Position | None = None,
        max_staleness_s: float | None = None,
        timeout_s: float | None = None,
    ) -> RunStatement:
        route, prepared = admission.route, call.prepared
        return RunStatement(
            request_id=call.request_id,
            server=server,
            account=admission.account,
            work=call.work,
            text=call.text,
            opening=opening,
            proves_lead=proves_lead,
            values=context.list_values(),
            prepared_name="" if prepared is None else prepared.name,
            prepared_writes=prepared is not None and prepared.writes,
            prepared_shape="" if prepared is None else prepared.shape,
            after_term=0 if min_position is None else min_position.term,
            after_number=0 if min_position is None else min_position.number,
            max_staleness_s=max_staleness_s,
            priority=route.priority,
            patience_s=find_patience_s(route),
            timeout_s=route.statement_timeout_s if timeout_s is None else timeout_s,
        )

    def _refuse(self, refusal: Failed) -> DispatchResult:
        answer = StatementAnswer(
            failure=refusal.failure, detail=refusal.detail, retry_after_s=refusal.retry_after_s
        )
        return DispatchResult(answer=answer, gateway=self._dispatcher.local)

    def log_refusal(self, context: SessionContext, request_id: str, failed: Failed) -> None:
        """Count and log an operation that is refused."""
        self._telemetry.count("statement_refusals", reason=failed.failure)
        log.info(
            "operation_refused",
            request=request_id,
            database=context.database,
            failure=failed.failure,
            detail=failed.detail,
            manifest=self._catalog.version,
            manifest_age_s=round(self._catalog.manifest_age_s(), 2),
        )

    def _record_run(
        self,
        admission: Admission,
        call: StatementCall,
        request: RunStatement,
        dispatched: DispatchResult,
        started_at: float,
    ) -> None:
        answer = dispatched.answer
        duration_s = self._clock.monotonic() - started_at
        if self._usage is not None:
            self._usage.record(call, request, dispatched.run_answer, age_s=duration_s)
        self._telemetry.count("statements", work=call.work, outcome=answer.failure or "done")
        self._telemetry.record_duration("statement_duration", duration_s, work=call.work)
        log.info(
            "statement",
            request=call.request_id,
            work=call.work,
            database=admission.route.database,
            account=admission.account,
            server=dispatched.server,
            gateway=dispatched.gateway.vm,
            took_ms=round(duration_s * 1000, 1),
            outcome=answer.failure or "done",
            detail=answer.detail or "-",
            position_age_s="-" if answer.age_s is None else round(answer.age_s, 3),
            manifest=self._catalog.version,
            manifest_age_s=round(self._catalog.manifest_age_s(), 2),
        )


def choose_opening(route: DatabaseRoute, *, read_only: bool) -> TransactionOpening:
    """Return how a transaction opens on its server.

    Only a read-write transaction proves that its server is the primary, so a route whose reads need
    the primary opens one for read-only transactions too.
    """
    if read_only and route.consistency is not Consistency.PRIMARY:
        return TransactionOpening.READ_ONLY
    return TransactionOpening.READ_WRITE


def replicas_may_run(
    route: DatabaseRoute, work: StatementKind, opening: TransactionOpening
) -> bool:
    """Tell whether a statement that belongs to no open transaction may run on replicas."""
    is_single_read = work is StatementKind.READ and opening is TransactionOpening.NONE
    reads_only = is_single_read or opening is TransactionOpening.READ_ONLY
    return reads_only and route.consistency is not Consistency.PRIMARY


def find_patience_s(route: DatabaseRoute) -> float:
    """Return how long a route's statements wait for a slot at most."""
    return route.latency_target_s * SLOT_WAIT_FRACTION


def build_limit_refusal(account: ClientAccount, refused: NotRun) -> Failed:
    """Return the answer to an operation that the limit of its account refuses."""
    return Failed(
        failure=Failure.OVERLOADED,
        detail=f"{refused.reason} for account {account.name}",
        retry_after_s=refused.retry_after_s,
    )


def _mark_begun(admission: Admission) -> bool:
    """Count an operation as run from here on; return whether it counted before.

    The call may be cancelled, which says nothing about a run.
    """
    if admission.token is None:
        return True
    was_begun, admission.token.may_have_run = admission.token.may_have_run, True
    return was_begun


def _assign_transaction(request: RunStatement, transaction: str) -> RunStatement:
    return replace(request, transaction=transaction)
