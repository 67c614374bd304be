"""The gateway of one backend server: its connections, slots and open transactions."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any, TypeVar

from ..catalog.model import ServerEntry
from ..clock import SuspensionClock
from ..statements.model import (
    Done,
    Failed,
    Failure,
    Position,
    PreparedStatement,
    StatementOutcome,
    TransactionState,
)
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .attempt import (
    Attempt,
    GatewayTransaction,
    RunResult,
    build_failed_result,
    commits_write,
    compute_connection_limit,
    is_commit,
    is_in_transaction,
    needs_lease,
    needs_primary,
)
from .lease import ANY_TIME
from .lifetime import ServerLifetime
from .messages import RunStatement, StatementKind, TransactionOpening
from .pacing import AnswerOutcome, PaceReason, ServerAnswer, ServerPace, classify_outcome
from .pool import CLOSE_DELAY_S, CONTROL_TIMEOUT_S, ConnectionPool, PooledConnection, apply_session
from .positions import MISSING_RETRY_S, ProvenPositionHistory
from .server import (
    ServerConnector,
    ServerLost,
    ServerRefused,
    ServerReply,
    ServerUnreachable,
    SessionSetupFailed,
)
from .slots import IN_TRANSACTION, MAX_WAITING_AT_SERVER, SlotQueue, SlotRefusal

# Added to the idle timeout, which the caller's proxy enforces itself. After it, only transactions
# whose proxy has disappeared are still open.
IDLE_TIMEOUT_MARGIN_S = 1.0
# Proving that a server is the primary takes no slot, so a slower answer counts as a missing one.
PROOF_TIMEOUT_S = 0.35
# Connections beyond the pool's limit that proofs may use. Without a proof, replicas serve no reads
# while idle transactions hold all connections to the primary.
PROOF_CONNECTIONS = 1
# New statements are refused for this long after the server could not be reached, since they would
# wait in vain. Proofs still try to connect; the first that succeeds ends this early.
UNREACHABLE_REFUSAL_S = 0.4
# A single lost answer does not mean that later commits fail too.
MIN_FAILED_COMMITS = 2
# Shortest timeout of work that waits for a planned change of the primary, which takes about half a
# second.
MIN_PAUSE_TIMEOUT_S = 0.7

GATEWAY_STOPPING = "the gateway is stopping"
LEADERSHIP_UNCERTAIN = Failed(
    failure=Failure.NOT_PRIMARY, detail="it is not certain that the server still leads"
)
COMMIT_UNPROVED = Failed(
    failure=Failure.UNCERTAIN, detail="the commit may be lost, as its server may have been replaced"
)
POSITION_UNKNOWN = Failed(failure=Failure.BEHIND, detail="no recent position is known")

T = TypeVar("T")

log = Log(source="gateway")


# Is told of each answer of the server, or its loss, and how long it took.
AnswerObserver = Callable[[Attempt, StatementOutcome | ServerLost, float], None]


class ServerGateway:
    """Run statements on one backend server."""

    def __init__(
        self,
        *,
        server: ServerEntry,
        max_connections: int,
        connector: ServerConnector,
        history: ProvenPositionHistory,
        clock: SuspensionClock,
        telemetry: Telemetry,
        make_transaction_id: Callable[[], str],
        refuse_new_work: Callable[[ServerEntry], Failed | None],
        transaction_idle_s: Callable[[], float],
        refresh_positions: Callable[[], Awaitable[None]],
        request_sampling: Callable[[], None],
        is_primary: Callable[[], bool],
        ensure_leadership: Callable[[float], Awaitable[bool]],
        has_leadership: Callable[[], bool],
        is_first_choice: Callable[[], bool],
        is_too_late: Callable[[StatementKind, float], bool],
        observe_answer: AnswerObserver,
        is_paced: bool = False,
    ) -> None:
        self.server = server
        self.history = history
        self.pace = ServerPace(max_limit=server.slots + MAX_WAITING_AT_SERVER, is_enabled=is_paced)
        self.pool = ConnectionPool(
            server=server,
            connector=connector,
            limit=lambda: compute_connection_limit(
                max_connections, is_first_choice=is_first_choice()
            ),
            keeps_idle=is_first_choice,
            clock=clock,
            telemetry=telemetry,
            on_full=self._record_full_server,
        )
        self.slots = SlotQueue(
            clock=clock,
            slots=server.slots,
            limit=lambda: self.pace.limit,
            expected_limit=lambda: self.pace.expected_limit,
            has_connection=lambda: self.pool.is_available,
        )
        self.pool.on_available = self.slots.admit_waiting
        self.transactions: dict[str, GatewayTransaction] = {}
        self._clock, self._telemetry = clock, telemetry
        self._make_transaction_id = make_transaction_id
        self._refuse_new_work = refuse_new_work
        self._transaction_idle_s = transaction_idle_s
        self._refresh_positions, self._request_sampling = refresh_positions, request_sampling
        self._is_primary = is_primary
        self._ensure_leadership, self._has_leadership = ensure_leadership, has_leadership
        self._is_too_late = is_too_late
        self._observe_answer = observe_answer
        self._attempts: dict[asyncio.Task[Any], Attempt] = {}
        self._is_ending = False
        self._primary_work_resumed: asyncio.Event | None = None
        self._commits_failing_since: float | None = None
        self._failed_commits = 0
        self._unreachable_until = 0.0
        self._lifetime = ServerLifetime()
        self._was_paced = False

    @property
    def is_busy(self) -> bool:
        """Tell whether statements wait or run."""
        return bool(self._attempts)

    def count_statements(self) -> int:
        """Return the number of statements that wait or run."""
        return len(self._attempts)

    async def run(self, request: RunStatement) -> RunResult:
        """Run one statement; the failure of its result tells whether it may have taken effect."""
        attempt = Attempt(request=request, deadline=self._clock.monotonic() + request.timeout_s)
        task = asyncio.current_task()
        assert task is not None
        self._attempts[task] = attempt
        try:
            return await self._run_attempt(attempt)
        except asyncio.CancelledError:
            result = self._give_up(attempt, GATEWAY_STOPPING if self._is_ending else "cancelled")
            if not self._is_ending:
                raise
            task.uncancel()
            return result
        except BaseException as error:
            self._give_up(attempt, repr(error))
            raise
        finally:
            self._give_back_grant(attempt)
            del self._attempts[task]

    def end_statements(self, *, only_unsent: bool) -> list[asyncio.Task[Any]]:
        """Give up statements so that they are answered; return the tasks of those that remain."""
        self._is_ending = True
        for task, attempt in self._attempts.items():
            if not (only_unsent and attempt.was_sent):
                task.cancel()
        return list(self._attempts)

    async def _run_attempt(self, attempt: Attempt) -> RunResult:
        request = attempt.request
        if request.transaction:
            attempt.transaction = self._claim_transaction(request.transaction)
            if attempt.transaction is None:
                return build_failed_result(Failure.ABORTED, "the transaction has ended")
        else:
            if self._primary_work_resumed is not None and needs_primary(request):
                await self._wait_for_resume(self._primary_work_resumed, request.patience_s)
                if not self._is_primary():
                    return build_failed_result(Failure.NOT_PRIMARY, "another server leads now")
            if (refusal := self._refuse_new_work(self.server)) is not None:
                return RunResult(outcome=refusal)
            if (unreachable := self._refuse_unreachable()) is not None:
                return unreachable
        if (late := self._refuse_late(attempt)) is not None:
            return late
        if (refusal := await self._obtain_requirements(attempt)) is not None:
            self._record_refusal(attempt, refusal.failure)
            if attempt.transaction is not None:
                # Nothing was committed: closing the connection rolls the transaction back.
                return self._fail_statement(attempt, Failure.ABORTED, refusal.detail)
            return RunResult(outcome=refusal)
        return await self._run_when_admitted(attempt)

    async def _run_when_admitted(self, attempt: Attempt) -> RunResult:
        request = attempt.request
        patience_s = min(request.patience_s, self._affordable_wait_s(attempt))
        waits_until = self._clock.monotonic() + patience_s
        is_repeated = False
        while True:
            holds_connection = attempt.transaction is not None or attempt.grant is not None
            rank = IN_TRANSACTION if holds_connection else 1 + request.priority
            if (
                rank != IN_TRANSACTION
                and not is_repeated
                and self.pace.holds_back(self.slots.running)
            ):
                self.pace.record_wait(self._clock.monotonic())
                self._telemetry.count("gateway_statements_paced")
            slot_refusal = await self.slots.acquire(
                request.account,
                rank=rank,
                patience_s=patience_s,
                kind=attempt.kind,
                on_admitted=lambda: self._take_connection(attempt),
                is_repeated=is_repeated,
            )
            if slot_refusal is not None:
                return self._refuse_without_slot(attempt, slot_refusal)
            started_at = self._clock.monotonic()
            try:
                result = await self._run_in_slot(attempt)
            finally:
                cost_s = self._clock.monotonic() - started_at
                self._telemetry.record_duration("slot_duration", cost_s)
                self.slots.release(
                    request.account,
                    rank=rank,
                    cost_s=cost_s,
                    kind=attempt.kind,
                    has_run=attempt.was_sent,
                )
            if result is not None:
                return await self._check_commit(attempt, result)
            # The server was full.
            if attempt.grant is not None:
                await self._clock.sleep(CLOSE_DELAY_S)
            is_repeated = True
            patience_s = waits_until - self._clock.monotonic()
            if patience_s <= 0:
                return self._refuse_without_connection(attempt)

    async def _check_commit(self, attempt: Attempt, result: RunResult) -> RunResult:
        """Return the result of a statement, in doubt if a promotion may drop what it has committed.

        A replica that started again while a promotion is under way has forgotten that it was
        paused. What it receives makes the old primary acknowledge commits that the new one lacks.
        A primary that started again needs a proof from after its start.
        """
        connection = attempt.connection
        if connection is None or not (isinstance(result.outcome, Done) and commits_write(attempt)):
            return result
        # Another statement may use the connection already.
        attempt.connection = attempt.transaction = None
        proof = self._ensure_leadership(self._lifetime.since)
        if await _finish_within(self._remaining_s(attempt), proof):
            return result
        self._telemetry.count("gateway_commits_unproved")
        log.warning("commit_unproved", request=attempt.request.request_id, server=self.server.id)
        return RunResult(outcome=COMMIT_UNPROVED)

    def _take_connection(self, attempt: Attempt) -> None:
        if attempt.transaction is None and attempt.grant is None:
            attempt.grant = self.pool.grant(attempt.request.account)

    def _give_back_grant(self, attempt: Attempt) -> None:
        if attempt.grant is not None:
            self.pool.give_back(attempt.grant)
            attempt.grant = None

    async def end_transaction(self, transaction_id: str) -> bool:
        """Roll a transaction back, after the statement that it runs; return False if not open."""
        transaction = self.transactions.get(transaction_id)
        if transaction is None:
            return False
        if self._claim_transaction(transaction_id) is None:
            transaction.is_abandoned = True
            return True
        await self._remove_and_roll_back(transaction)
        return True

    async def _wait_for_resume(self, resumed: asyncio.Event, patience_s: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(max(patience_s, MIN_PAUSE_TIMEOUT_S)):
                await resumed.wait()

    async def prove_leadership(self, account: str) -> Position | None:
        """Return a position that the server proved as the primary; None if it proved nothing."""
        if not await self._ensure_leadership(ANY_TIME):
            return None
        try:
            connection = await self.pool.acquire(
                account, timeout_s=PROOF_TIMEOUT_S, beyond_limit=PROOF_CONNECTIONS
            )
        except (ServerUnreachable, ServerRefused):
            return None
        self._unreachable_until = 0.0
        # The lease may have ended during the wait for the connection.
        if not self._has_leadership():
            self.pool.release(connection)
            return None
        try:
            reply = await self._begin_transaction(
                connection,
                read_only=False,
                after=None,
                is_leadership_certain=True,
                timeout_s=PROOF_TIMEOUT_S,
            )
            if reply.state is not TransactionState.IDLE:
                await connection.session.roll_back(timeout_s=PROOF_TIMEOUT_S)
        except (ServerLost, ServerUnreachable):
            self.pool.discard(connection)
            return None
        except BaseException:
            # The proof was cancelled.
            self.pool.discard(connection)
            raise
        self.pool.release(connection)
        self.pace.record_proof(self.slots.running)
        self.slots.admit_waiting()
        return reply.outcome.position if isinstance(reply.outcome, Done) else None

    def pause_primary_work(self) -> None:
        """Make new work that needs the primary wait."""
        if self._primary_work_resumed is None:
            self._primary_work_resumed = asyncio.Event()

    def resume_primary_work(self) -> None:
        """Let the waiting work go on."""
        if self._primary_work_resumed is not None:
            self._primary_work_resumed.set()
            self._primary_work_resumed = None

    def commit_silence_s(self) -> float:
        """Return for how long commits have timed out without a confirmed one in between."""
        if self._commits_failing_since is None or self._failed_commits < MIN_FAILED_COMMITS:
            return 0.0
        return self._clock.monotonic() - self._commits_failing_since

    def begin_pace(self, reason: PaceReason) -> None:
        """Start with one statement at a time."""
        self.pace.begin(reason, self._clock.monotonic())
        self._log_pace()

    def close(self) -> None:
        """End all transactions and close all connections."""
        for transaction in list(self.transactions.values()):
            self._remove_transaction(transaction)
            self.pool.discard(transaction.connection)
        self.pool.close()

    def _claim_transaction(self, transaction_id: str) -> GatewayTransaction | None:
        transaction = self.transactions.get(transaction_id)
        if transaction is None or transaction.is_busy:
            return None
        transaction.is_busy = True
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
        return transaction

    def _refuse_without_slot(self, attempt: Attempt, slot_refusal: SlotRefusal) -> RunResult:
        if slot_refusal.lacks_connection:
            return self._refuse_without_connection(attempt)
        self._record_refusal(
            attempt,
            "slots",
            queued=len(self.slots),
            expected_wait_s=round(slot_refusal.expected_wait_s, 4),
        )
        if attempt.transaction is not None:
            self._remove_transaction(attempt.transaction)
            self.pool.discard(attempt.transaction.connection)
            return build_failed_result(Failure.ABORTED, "no slot of the server became free in time")
        return RunResult(
            outcome=Failed(
                failure=Failure.OVERLOADED,
                detail="the server's slots are taken",
                retry_after_s=slot_refusal.expected_wait_s,
            )
        )

    def _refuse_without_connection(self, attempt: Attempt) -> RunResult:
        self._record_refusal(attempt, "connections", queued=len(self.slots))
        refused = self.pool.build_refusal()
        return build_failed_result(refused.failure, refused.detail)

    def _refuse_unreachable(self) -> RunResult | None:
        """Refuse a statement shortly after the server could not be reached."""
        if self._clock.monotonic() >= self._unreachable_until:
            return None
        result = build_failed_result(
            Failure.OVERLOADED, "the server did not take a connection lately"
        )
        return replace(result, is_unreachable=True)

    def _refuse_late(self, attempt: Attempt) -> RunResult | None:
        """Refuse a statement that this proxy could not answer before it stops."""
        if not self._is_too_late(attempt.request.work, self._remaining_s(attempt)):
            return None
        self._record_refusal(attempt, "stopping")
        if attempt.transaction is not None:
            self._remove_transaction(attempt.transaction)
            self.pool.discard(attempt.transaction.connection)
            return build_failed_result(Failure.ABORTED, GATEWAY_STOPPING)
        result = build_failed_result(Failure.OVERLOADED, GATEWAY_STOPPING)
        return replace(result, is_unreachable=True)

    def _record_refusal(self, attempt: Attempt, reason: str, **details: object) -> None:
        self._telemetry.count("gateway_refusals", reason=reason)
        log.info(
            "statement_refused",
            request=attempt.request.request_id,
            server=self.server.id,
            reason=reason,
            **details,
        )

    async def _run_in_slot(self, attempt: Attempt) -> RunResult | None:
        """Run a statement; return None if it did not run because the server is full."""
        # A statement may have waited long for its slot.
        if (late := self._refuse_late(attempt)) is not None:
            return late
        # An idle connection may still work, and statements of transactions have no grant.
        must_connect = attempt.grant is not None and attempt.grant.connection is None
        if must_connect and (unreachable := self._refuse_unreachable()) is not None:
            return unreachable
        started_at = self._clock.monotonic()
        try:
            if not await self._open_connection(attempt):
                return None
            outcome, state = await self._run_steps(attempt)
        except ServerRefused as error:
            # The pool tells of refused connections, as it may also be full itself.
            if error.failure is Failure.OVERLOADED:
                self._record_answer(attempt, AnswerOutcome.REFUSED, started_at)
            return self._fail_statement(attempt, error.failure, error.detail)
        except ServerUnreachable as error:
            # A server that refuses the values of one caller serves the others.
            if not isinstance(error, SessionSetupFailed):
                self._record_unreachable(attempt)
            result = self._fail_statement(attempt, Failure.OVERLOADED, error.detail)
            return replace(result, is_unreachable=attempt.transaction is None)
        except ServerLost as error:
            self._observe_answer(attempt, error, self._clock.monotonic() - started_at)
            self._record_answer(attempt, AnswerOutcome.LOST, started_at)
            if error.timed_out and is_commit(attempt):
                self._record_failed_commit()
            return self._fail_statement(
                attempt,
                self._classify_lost_answer(attempt, timed_out=error.timed_out),
                error.detail,
            )
        self._observe_answer(attempt, outcome, self._clock.monotonic() - started_at)
        return await self._finish(attempt, outcome, state)

    def _record_unreachable(self, attempt: Attempt) -> None:
        self._unreachable_until = self._clock.monotonic() + UNREACHABLE_REFUSAL_S
        # The connection of a transaction may have been closed for its own sake.
        if attempt.transaction is None:
            self.begin_pace(PaceReason.UNREACHABLE)

    async def _run_steps(self, attempt: Attempt) -> tuple[StatementOutcome, TransactionState]:
        request = attempt.request
        connection = await self._prepare_connection(attempt)
        if attempt.transaction is None:
            # The server may have stopped accepting work during the wait for a slot.
            refusal = self._refuse_new_work(self.server)
            if refusal is not None:
                return refusal, TransactionState.IDLE
        after = None
        if attempt.needs_position:
            after = self._find_required_position(attempt)
            if after is None:
                self._record_refusal(attempt, POSITION_UNKNOWN.failure)
                return POSITION_UNKNOWN, TransactionState.IDLE
        # A primary that was replaced while partitioned still takes writes and opens transactions.
        if attempt.transaction is None and needs_lease(attempt) and not self._has_leadership():
            self._record_refusal(attempt, LEADERSHIP_UNCERTAIN.failure)
            return LEADERSHIP_UNCERTAIN, TransactionState.IDLE
        if request.opening is not TransactionOpening.NONE or request.proves_lead:
            read_only = request.opening is TransactionOpening.READ_ONLY
            sent_at = self._clock.monotonic()
            reply = await self._begin_transaction(
                connection, read_only=read_only, after=after, is_leadership_certain=not read_only
            )
            if not isinstance(reply.outcome, Done):
                self._record_answer(attempt, classify_outcome(reply.outcome), sent_at)
                return reply.outcome, reply.state
            after = None
        attempt.was_sent, sent_at = True, self._clock.monotonic()
        sent_boottime = self._clock.boottime()
        reply = await connection.session.run(
            request.request_id, request.text, after=after, timeout_s=self._remaining_s(attempt)
        )
        self._lifetime.record_answer(opened_at=connection.opened_at, sent_at=sent_boottime)
        self._record_answer(attempt, classify_outcome(reply.outcome), sent_at)
        # The position of this answer proves nothing, as replicas commit read-only transactions too.
        if (
            request.work in (StatementKind.WRITE, StatementKind.COMMIT)
            and reply.state is TransactionState.IDLE
        ):
            self._commits_failing_since, self._failed_commits = None, 0
        if not request.proves_lead:
            return reply.outcome, reply.state
        try:
            ended = await connection.session.roll_back(timeout_s=CONTROL_TIMEOUT_S)
        except (ServerLost, ServerUnreachable):
            # The read has run and its answer is complete; closing the connection rolls back.
            connection.session.close()
            return reply.outcome, TransactionState.FAILED
        return reply.outcome, ended.state

    async def _open_connection(self, attempt: Attempt) -> bool:
        """Get the connection of a statement; return False if the server is full."""
        if attempt.transaction is not None:
            attempt.connection = attempt.transaction.connection
            return True
        grant = attempt.grant
        assert grant is not None
        timeout_s = min(attempt.request.patience_s, self._remaining_s(attempt))
        attempt.connection = await self.pool.open(grant, timeout_s=timeout_s)
        if grant.is_spent:
            attempt.grant = None
        return attempt.connection is not None

    async def _prepare_connection(self, attempt: Attempt) -> PooledConnection:
        request, connection = attempt.request, attempt.connection
        assert connection is not None
        prepared = None
        if request.prepared_name:
            prepared = PreparedStatement(
                name=request.prepared_name,
                writes=request.prepared_writes,
                shape=request.prepared_shape,
            )
        await apply_session(connection, request.values, prepared)
        return connection

    async def _obtain_requirements(self, attempt: Attempt) -> Failed | None:
        """Wait for the lease or the position that a statement needs; return why it has neither.

        Other servers provide them, and a primary that does not answer must not keep the slots of
        its replicas, so this precedes the wait for a slot.
        """
        if needs_lease(attempt) and not await self._finish_in_time(
            attempt, self._ensure_leadership(ANY_TIME)
        ):
            return LEADERSHIP_UNCERTAIN
        if attempt.needs_position and self._find_required_position(attempt) is None:
            return await self._wait_for_position(attempt)
        return None

    async def _wait_for_position(self, attempt: Attempt) -> Failed | None:
        allowed_s = self.history.allowed_wait_s(self._clock.boottime())
        if not allowed_s:
            return POSITION_UNKNOWN
        has_time = self._affordable_wait_s(attempt) >= MISSING_RETRY_S
        await self._finish_in_time(attempt, self._refresh_positions(), timeout_s=allowed_s)
        if self._find_required_position(attempt) is None:
            # A read that had little time left shows nothing about the primary, and all gateways of
            # the service in this process would refuse reads for it.
            if has_time:
                self.history.record_missing(self._clock.boottime())
            return POSITION_UNKNOWN
        return None

    async def _finish_in_time(
        self, attempt: Attempt, call: Awaitable[T], *, timeout_s: float = math.inf
    ) -> T | None:
        """Return the result of a call, None if it does not end while the statement can wait."""
        return await _finish_within(min(timeout_s, self._affordable_wait_s(attempt)), call)

    def _find_required_position(self, attempt: Attempt) -> Position | None:
        """Return the position that a read must include by now, None if none is known."""
        request = attempt.request
        self._request_sampling()
        now = self._clock.boottime()
        sample = self.history.find(max_staleness_s=request.max_staleness_s or 0.0, now=now)
        if sample is None:
            # The age of a position that was found before the queue would say that the server was
            # asked for it.
            attempt.position_age_s = None
            return None
        attempt.position_age_s = now - sample.taken_at
        session_position = Position(term=request.after_term, number=request.after_number)
        return max(session_position, sample.position)

    async def _begin_transaction(
        self,
        connection: PooledConnection,
        *,
        read_only: bool,
        after: Position | None,
        is_leadership_certain: bool,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> ServerReply:
        sent_at = self._clock.boottime()
        reply = await connection.session.begin(
            read_only=read_only, after=after, timeout_s=timeout_s
        )
        self._lifetime.record_answer(opened_at=connection.opened_at, sent_at=sent_at)
        if not read_only and is_leadership_certain:
            self._record_proof(reply, sent_at)
        return reply

    def _record_answer(self, attempt: Attempt, outcome: AnswerOutcome, sent_at: float) -> None:
        """Adapt the pace; the release of the statement's slot then admits what it allows."""
        request, now = attempt.request, self._clock.monotonic()
        answer = ServerAnswer(
            kind=(request.priority, request.work, is_in_transaction(attempt)),
            duration_s=now - sent_at,
            outcome=outcome,
            running=self.slots.running,
            waiting=len(self.slots),
        )
        self.pace.record_answer(answer, now)
        self._log_pace()

    def _record_full_server(self) -> None:
        self.pace.record_connection_refusal(self._clock.monotonic())

    def _log_pace(self) -> None:
        """Log the beginning and the end of a pace."""
        pace = self.pace
        if pace.is_paced == self._was_paced:
            return
        self._was_paced = pace.is_paced
        if pace.reason is not None:
            self._telemetry.count("server_paces", reason=pace.reason)
        log.info(
            "server_paced",
            server=self.server.id,
            state="ended" if pace.reason is None else "begun",
            reason=pace.reason or "-",
            limit=pace.limit,
            max_limit=pace.max_limit,
        )

    def _record_failed_commit(self) -> None:
        self._failed_commits += 1
        if self._commits_failing_since is None:
            self._commits_failing_since = self._clock.monotonic()

    def _record_proof(self, reply: ServerReply, sent_at: float) -> None:
        if isinstance(reply.outcome, Done) and reply.outcome.position is not None:
            self.history.add(reply.outcome.position, sent_at)

    def _remaining_s(self, attempt: Attempt) -> float:
        return max(0.001, attempt.deadline - self._clock.monotonic())

    def _affordable_wait_s(self, attempt: Attempt) -> float:
        """Return how long a statement may wait and still run within its timeout.

        The patience of a route may exceed its timeout: one has 750 ms and 800 ms.
        """
        return max(0.0, self._remaining_s(attempt) - self.slots.costs.expected_s(attempt.kind))

    def _classify_lost_answer(self, attempt: Attempt, *, timed_out: bool) -> Failure:
        """Return the failure to report for a statement whose answer was lost.

        Its connection is closed, which rolls its transaction back.
        """
        request = attempt.request
        if request.work is StatementKind.COMMIT or (
            request.work is StatementKind.WRITE and not is_in_transaction(attempt)
        ):
            return Failure.UNCERTAIN if attempt.was_sent else Failure.ABORTED
        if is_in_transaction(attempt):
            return Failure.ABORTED
        return Failure.TIMED_OUT if timed_out else Failure.ABORTED

    def _give_up(self, attempt: Attempt, detail: str) -> RunResult:
        """Return the result of a statement that does not go on, and close its connection."""
        if attempt.was_sent:
            failure = self._classify_lost_answer(attempt, timed_out=False)
            return self._fail_statement(attempt, failure, detail)
        result = self._fail_statement(attempt, Failure.OVERLOADED, detail)
        return replace(result, is_unreachable=attempt.transaction is None)

    def _fail_statement(self, attempt: Attempt, failure: Failure, detail: str) -> RunResult:
        if attempt.transaction is not None:
            self._remove_transaction(attempt.transaction)
            attempt.connection = attempt.transaction.connection
            if failure is not Failure.UNCERTAIN:
                failure = Failure.ABORTED
        if attempt.connection is not None:
            self.pool.discard(attempt.connection)
        self._telemetry.count("gateway_statements_broken", failure=failure)
        log.warning(
            "statement_broken",
            request=attempt.request.request_id,
            server=self.server.id,
            failure=failure,
            sent=attempt.was_sent,
            detail=detail,
        )
        return build_failed_result(failure, detail)

    async def _finish(
        self, attempt: Attempt, outcome: StatementOutcome, state: TransactionState
    ) -> RunResult:
        connection = attempt.connection
        assert connection is not None
        is_abandoned = attempt.transaction is not None and attempt.transaction.is_abandoned
        if state is TransactionState.OPEN and isinstance(outcome, Done) and not is_abandoned:
            return RunResult(
                outcome=outcome,
                transaction=self._keep_open(attempt, connection),
                position_age_s=attempt.position_age_s,
            )
        if attempt.transaction is not None:
            self._remove_transaction(attempt.transaction)
        if state is not TransactionState.IDLE:
            await self._roll_back(connection)
        else:
            self.pool.release(connection)
        return RunResult(outcome=outcome, position_age_s=attempt.position_age_s)

    def _keep_open(self, attempt: Attempt, connection: PooledConnection) -> str:
        transaction = attempt.transaction
        if transaction is None:
            transaction = GatewayTransaction(id=self._make_transaction_id(), connection=connection)
            self.transactions[transaction.id] = transaction
        transaction.has_written |= attempt.request.work is StatementKind.WRITE
        transaction.is_busy = False
        loop = asyncio.get_running_loop()
        idle_s = self._transaction_idle_s() + IDLE_TIMEOUT_MARGIN_S
        transaction.idle_timer = loop.call_later(idle_s, self._end_idle_transaction, transaction)
        return transaction.id

    def _end_idle_transaction(self, transaction: GatewayTransaction) -> None:
        if transaction.is_busy:
            return
        log.info("transaction_abandoned", transaction=transaction.id, server=self.server.id)
        self._remove_transaction(transaction)
        self.pool.discard(transaction.connection)

    def _remove_transaction(self, transaction: GatewayTransaction) -> None:
        self.transactions.pop(transaction.id, None)
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()

    async def _remove_and_roll_back(self, transaction: GatewayTransaction) -> None:
        self._remove_transaction(transaction)
        await self._roll_back(transaction.connection)

    async def _roll_back(self, connection: PooledConnection) -> None:
        """Roll back a transaction and return its connection to the pool, or close it."""
        try:
            reply = await connection.session.roll_back(timeout_s=CONTROL_TIMEOUT_S)
        except (ServerLost, ServerUnreachable):
            self.pool.discard(connection)
            return
        except BaseException:
            # The rollback was cancelled.
            self.pool.discard(connection)
            raise
        if reply.state is TransactionState.IDLE:
            self.pool.release(connection)
        else:
            self.pool.discard(connection)


async def _finish_within(timeout_s: float, call: Awaitable[T]) -> T | None:
    """Return the result of a call, None if it does not end in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await call
    except TimeoutError:
        return None
