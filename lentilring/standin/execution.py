"""Execution of statements and transactions by the backend server stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..database.messages import Action, StatementReply, StatementRequest, StatementStatus
from .messages import LogEntry
from .sessions import DatabaseSession, NoAnswer, Transaction
from .statements import (
    Add,
    Append,
    Put,
    Statement,
    StatementInvalid,
    WriteStatement,
    encode_json,
    encode_operations,
    evaluate,
    parse_statement,
)

if TYPE_CHECKING:
    from .database import DatabaseServer


class StatementExecutor:
    """Run statements on a server's log within its slots."""

    def __init__(self, *, server: DatabaseServer) -> None:
        self._server = server
        self._slots = asyncio.Semaphore(server.settings.slots)

    async def execute(self, session: DatabaseSession, request: StatementRequest) -> StatementReply:
        """Run a statement of a connection."""
        self._server.journal.received.append(request)
        self._server.observe_term(request.term)
        if request.action is Action.ROLLBACK:
            return self._roll_back(session, request)
        if request.action is Action.BEGIN:
            return self._begin(session, request)
        transaction = session.transaction
        if request.action is Action.COMMIT:
            session.transaction = None
        return await self._run(request, transaction)

    async def _run(
        self, request: StatementRequest, transaction: Transaction | None
    ) -> StatementReply:
        needs_primary = request.action is not Action.READ or transaction is not None
        refusal = self._find_refusal(request, transaction, needs_primary)
        if refusal is not None:
            return refusal
        stop_count = self._server.stop_count
        async with self._slots:
            await self._server.clock.sleep(self._server.settings.statement_time_s)
            if stop_count != self._server.stop_count:
                raise NoAnswer(server=self._server.name)
            # The term may have been raised while the statement waited or ran.
            refusal = self._find_refusal(request, transaction, needs_primary)
            if refusal is not None:
                return refusal
            try:
                if request.action is Action.COMMIT:
                    return self._commit(request, transaction)
                return self._run_statement(request, transaction)
            except StatementInvalid as error:
                return self._refuse(StatementStatus.REJECTED, error.detail)

    def _find_refusal(
        self, request: StatementRequest, transaction: Transaction | None, needs_primary: bool
    ) -> StatementReply | None:
        if request.term < self._server.term:
            return self._refuse(StatementStatus.STALE_TERM)
        if transaction is not None:
            if transaction.aborted or transaction.term != request.term:
                return self._refuse(StatementStatus.STALE_TERM, "transaction ended by a new term")
            if transaction.client_account != request.client_account:
                return self._refuse(StatementStatus.REJECTED, "transaction of another account")
        if needs_primary and not self._server.is_primary:
            return self._refuse(StatementStatus.NOT_PRIMARY)
        if self._server.matched_term != request.term:
            return self._refuse(StatementStatus.STALE_TERM, "log is not matched with the term")
        return None

    def _begin(self, session: DatabaseSession, request: StatementRequest) -> StatementReply:
        refusal = self._find_refusal(request, None, True)
        if refusal is not None:
            return refusal
        if session.transaction is not None:
            return self._refuse(StatementStatus.REJECTED, "a transaction is open")
        session.transaction = Transaction(
            term=self._server.term, client_account=request.client_account
        )
        self._server.journal.record_execution(
            request, statement="", position=self._server.log.position
        )
        return self._complete(None)

    def _roll_back(self, session: DatabaseSession, request: StatementRequest) -> StatementReply:
        """End the transaction under any term; none of its writes was applied."""
        transaction = session.transaction
        if transaction is not None and transaction.client_account != request.client_account:
            return self._refuse(StatementStatus.REJECTED, "transaction of another account")
        session.transaction = None
        self._server.journal.record_execution(
            request, statement="", position=self._server.log.position
        )
        return self._complete(None)

    def _run_statement(
        self, request: StatementRequest, transaction: Transaction | None
    ) -> StatementReply:
        statement = parse_statement(request.statement)
        writes = isinstance(statement, Put | Add | Append)
        if writes and request.action is Action.READ:
            raise StatementInvalid(detail="a read request must not write")
        if transaction is not None:
            return self._run_in_transaction(request, transaction, statement)
        if isinstance(statement, Put | Add | Append):
            return self._write(request, [statement])
        table = self._server.log.maps[request.client_account]
        result = evaluate([statement], table).results[0]
        self._record_execution(request, request.statement)
        return self._complete(result)

    def _run_in_transaction(
        self, request: StatementRequest, transaction: Transaction, statement: Statement
    ) -> StatementReply:
        if request.idempotency_key:
            raise StatementInvalid(detail="in a transaction only commit takes an idempotency key")
        table = self._server.log.maps[request.client_account]
        evaluation = evaluate([*transaction.operations, statement], table)
        if isinstance(statement, Put | Add | Append):
            transaction.operations.append(statement)
        self._record_execution(request, request.statement)
        return self._complete(evaluation.results[-1])

    def _commit(self, request: StatementRequest, transaction: Transaction | None) -> StatementReply:
        if transaction is None:
            # The transaction's connection was lost; a retry finds the commit by its key.
            record = self._server.log.find_record(request.client_account, request.idempotency_key)
            if record is None or record.entry.action is not Action.COMMIT:
                raise StatementInvalid(detail="no transaction is open")
            return self._complete_recorded(record.entry, record.position)
        if not transaction.operations and not request.idempotency_key:
            self._record_execution(request, "[]")
            return self._complete([])
        return self._write(request, transaction.operations)

    def _write(self, request: StatementRequest, statements: list[WriteStatement]) -> StatementReply:
        operations = encode_operations(statements)
        record = self._server.log.find_record(request.client_account, request.idempotency_key)
        if record is not None and record.matches(request.action, operations):
            return self._complete_recorded(record.entry, record.position)
        if record is not None:
            return self._refuse(StatementStatus.KEY_REUSED)
        results = evaluate(statements, self._server.log.maps[request.client_account]).results
        result = encode_json(results if request.action is Action.COMMIT else results[0])
        entry = LogEntry(
            term=self._server.term,
            client_account=request.client_account,
            action=request.action,
            operations=operations,
            idempotency_key=request.idempotency_key,
            result=result,
        )
        position = self._server.append(entry)
        self._record_execution(
            request, operations if request.action is Action.COMMIT else request.statement
        )
        return StatementReply(
            status=StatementStatus.OK, term=self._server.term, position=position, result=result
        )

    def _record_execution(self, request: StatementRequest, statement: str) -> None:
        self._server.journal.record_execution(
            request, statement=statement, position=self._server.log.position
        )

    def _complete(self, result: object) -> StatementReply:
        return StatementReply(
            status=StatementStatus.OK,
            term=self._server.term,
            position=self._server.log.position,
            result=encode_json(result),
        )

    def _complete_recorded(self, entry: LogEntry, position: int) -> StatementReply:
        self._server.telemetry.count("standin_replays")
        return StatementReply(
            status=StatementStatus.OK,
            term=self._server.term,
            position=position,
            result=entry.result,
            replayed=True,
        )

    def _refuse(self, status: StatementStatus, detail: str = "") -> StatementReply:
        self._server.telemetry.count("standin_statement_refusals", reason=status.value)
        return StatementReply(
            status=status, term=self._server.term, position=self._server.log.position, detail=detail
        )
