"""One caller's session: how each kind of statement changes it and what is answered."""

import asyncio
from collections.abc import Coroutine
from functools import singledispatchmethod
from typing import Any, Protocol

import xxhash

from ..gateways.messages import StatementKind
from ..statements.model import (
    Begin,
    Commit,
    Deallocate,
    Done,
    Execute,
    Failed,
    Failure,
    Prepare,
    PreparedStatement,
    Query,
    Read,
    Rollback,
    SetValue,
    Statement,
    StatementOutcome,
    TransactionState,
    Write,
)
from ..telemetry.log import Log
from .calls import StatementCall
from .context import SessionContext, SessionTransaction
from .router import STOPPING_DETAIL, StatementRouter

MAX_SESSION_VALUES = 64
MAX_PREPARED_STATEMENTS = 256

log = Log(source="sessions")


class PreparedNameRewriter(Protocol):
    """Replace the name of a prepared statement in the text of its execution."""

    def rename_prepared(self, text: str, name: str) -> str:
        """Return the text of an execution with `name` in place of the caller's own name."""
        ...


class Session:
    """Run a caller's statements one after another."""

    def __init__(
        self,
        *,
        context: SessionContext,
        router: StatementRouter,
        name_rewriter: PreparedNameRewriter,
        transaction_idle_s: float,
    ) -> None:
        self.context = context
        self._router, self._name_rewriter = router, name_rewriter
        self._transaction_idle_s = transaction_idle_s
        self._idle_timer: asyncio.TimerHandle | None = None
        self._rollbacks: set[asyncio.Task[None]] = set()

    @property
    def state(self) -> TransactionState:
        """Return the transaction state of the session."""
        transaction = self.context.transaction
        if transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if transaction.has_failed else TransactionState.OPEN

    @property
    def transaction_id(self) -> str:
        """Return the id of the transaction that is open on a server, empty without one."""
        return "" if self.context.transaction is None else self.context.transaction.id

    async def handle(self, query: Query) -> StatementOutcome:
        """Run one statement and return its outcome."""
        self._stop_idle_timer()
        try:
            if self.state is TransactionState.FAILED and not _ends_transaction(query.statement):
                return Failed(failure=Failure.MALFORMED, detail="the transaction has failed")
            return await self._run_statement(query.statement, query)
        finally:
            if self.state is TransactionState.OPEN:
                self._start_idle_timer()

    def fail_unfinished(self, query: Query, detail: str) -> Failed:
        """Return the outcome of a statement that was given up and may have run."""
        transaction = self.context.transaction
        is_uncertain = isinstance(query.statement, Commit) or (
            transaction is None and self._writes(query.statement)
        )
        if transaction is not None:
            self._fail_transaction(transaction)
        failure = Failure.UNCERTAIN if is_uncertain else Failure.ABORTED
        log.warning("statement_unfinished", request=query.request_id, failure=failure)
        return Failed(failure=failure, detail=detail)

    def _writes(self, statement: Statement) -> bool:
        if isinstance(statement, Execute):
            prepared = self.context.prepared.get(statement.name)
            return prepared is not None and prepared.writes
        return isinstance(statement, Write)

    def abandon(self) -> None:
        """Roll the open transaction back because its caller is gone."""
        self._stop_idle_timer()
        transaction, self.context.transaction = self.context.transaction, None
        if transaction is not None:
            self._start_rollback(self._router.roll_back(transaction))

    @singledispatchmethod
    async def _run_statement(self, statement: Statement, query: Query) -> StatementOutcome:
        raise NotImplementedError(type(statement).__name__)

    @_run_statement.register
    async def _(self, statement: Begin, query: Query) -> StatementOutcome:
        if self.context.transaction is not None:
            return Failed(failure=Failure.MALFORMED, detail="a transaction is open")
        admission = await self._router.admit(self.context, query.request_id)
        if isinstance(admission, Failed):
            return admission
        # The transaction is opened on a server with its first statement, because only then is it
        # known which server runs it.
        self.context.transaction = SessionTransaction(
            read_only=statement.read_only, admission=admission
        )
        return Done()

    @_run_statement.register
    async def _(self, statement: Commit, query: Query) -> StatementOutcome:
        transaction = self.context.transaction
        if transaction is None:
            return Failed(failure=Failure.MALFORMED, detail="no transaction is open")
        if transaction.has_failed:
            self.context.transaction = None
            return Failed(failure=Failure.ABORTED, detail="the transaction was rolled back")
        refused = self._check_transaction(transaction, query, StatementKind.COMMIT)
        if refused is not None:
            self.context.transaction = None
            return refused
        call = StatementCall(
            request_id=query.request_id, text=query.text, work=StatementKind.COMMIT
        )
        try:
            return await self._router.run_in_transaction(self.context, transaction, call)
        finally:
            self.context.transaction = None

    @_run_statement.register
    async def _(self, statement: Rollback, query: Query) -> StatementOutcome:
        transaction, self.context.transaction = self.context.transaction, None
        if transaction is None:
            return Failed(failure=Failure.MALFORMED, detail="no transaction is open")
        self._start_rollback(self._router.roll_back(transaction))
        return Done()

    @_run_statement.register
    async def _(self, statement: Read, query: Query) -> StatementOutcome:
        return await self._run_on_servers(query, StatementKind.READ)

    @_run_statement.register
    async def _(self, statement: Write, query: Query) -> StatementOutcome:
        return await self._run_on_servers(query, StatementKind.WRITE)

    @_run_statement.register
    async def _(self, statement: Execute, query: Query) -> StatementOutcome:
        prepared = self.context.prepared.get(statement.name)
        if prepared is None:
            if self.context.transaction is not None:
                self._fail_transaction(self.context.transaction)
            return Failed(failure=Failure.UNKNOWN_PREPARED, detail="no statement has this name")
        work = StatementKind.WRITE if prepared.writes else StatementKind.READ
        return await self._run_on_servers(query, work, prepared)

    @_run_statement.register
    async def _(self, statement: SetValue, query: Query) -> StatementOutcome:
        values = self.context.values
        if statement.name not in values and len(values) >= MAX_SESSION_VALUES:
            return Failed(
                failure=Failure.TOO_LARGE, detail=f"more than {MAX_SESSION_VALUES} values"
            )
        values[statement.name] = statement.value
        return Done()

    @_run_statement.register
    async def _(self, statement: Prepare, query: Query) -> StatementOutcome:
        prepared = self.context.prepared
        if statement.name not in prepared and len(prepared) >= MAX_PREPARED_STATEMENTS:
            return Failed(
                failure=Failure.TOO_LARGE, detail=f"more than {MAX_PREPARED_STATEMENTS} statements"
            )
        prepared[statement.name] = PreparedStatement(
            name=build_prepared_name(statement), writes=statement.writes, shape=statement.shape
        )
        return Done()

    @_run_statement.register
    async def _(self, statement: Deallocate, query: Query) -> StatementOutcome:
        if self.context.prepared.pop(statement.name, None) is None:
            return Failed(failure=Failure.UNKNOWN_PREPARED, detail="no statement has this name")
        return Done()

    async def _run_on_servers(
        self, query: Query, work: StatementKind, prepared: PreparedStatement | None = None
    ) -> StatementOutcome:
        text = query.text
        if prepared is not None:
            text = self._name_rewriter.rename_prepared(text, prepared.name)
        call = StatementCall(request_id=query.request_id, text=text, work=work, prepared=prepared)
        transaction = self.context.transaction
        if transaction is not None:
            refused = self._check_transaction(transaction, query, work)
            if refused is not None:
                return refused
            return await self._router.run_in_transaction(self.context, transaction, call)
        admission = await self._router.admit(self.context, query.request_id)
        if isinstance(admission, Failed):
            return admission
        return await self._router.run_single(self.context, admission, call)

    def _check_transaction(
        self, transaction: SessionTransaction, query: Query, work: StatementKind
    ) -> Failed | None:
        """Return a refusal and fail the transaction if it may not go on.

        Its key may have been withdrawn since it began, or this proxy may be about to stop.
        """
        refused = None
        admission = self._router.check_session(self.context)
        if isinstance(admission, Failed) and admission.failure is Failure.UNAUTHORIZED:
            refused = admission
        elif self._router.is_too_late(transaction.admission, work):
            refused = Failed(failure=Failure.ABORTED, detail=STOPPING_DETAIL)
            log.info(
                "transaction_stopped",
                request=query.request_id,
                transaction=transaction.id or "-",
                work=work,
            )
        if refused is not None:
            self._fail_transaction(transaction)
        return refused

    def _fail_transaction(self, transaction: SessionTransaction) -> None:
        transaction.has_failed = True
        self._start_rollback(self._router.roll_back(transaction))

    def _start_idle_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(self._transaction_idle_s, self._fail_idle_transaction)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _fail_idle_transaction(self) -> None:
        transaction = self.context.transaction
        if transaction is not None:
            log.info(
                "transaction_idle", transaction=transaction.id, after_s=self._transaction_idle_s
            )
            self._fail_transaction(transaction)

    def _start_rollback(self, rollback: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(rollback)
        self._rollbacks.add(task)
        task.add_done_callback(self._rollbacks.discard)


def build_prepared_name(statement: Prepare) -> str:
    """Return the name of a statement on server connections; equal statements have equal names."""
    prefix = "w" if statement.writes else "r"
    return f"{prefix}{xxhash.xxh3_128_hexdigest(statement.shape.encode())}"


def _ends_transaction(statement: Statement) -> bool:
    return isinstance(statement, (Commit, Rollback))
