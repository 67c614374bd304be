"""Transactions, each pinned to one connection of this gateway until its end is confirmed."""

import asyncio
import contextlib
import random
from collections import OrderedDict
from dataclasses import dataclass, replace

from ..clock import Clock
from ..database.backend import BackendAnswerLost, BackendConnection, BackendUnreachable
from ..database.messages import Action, Role, StatementReply, StatementRequest, StatementStatus
from ..failover.record import GroupState
from ..kernel import Service
from ..outcomes import RefusalReason, UncertaintyReason
from ..peers.transport import PeerTransport, Sender
from ..pool.connections import SlotRefused
from ..pool.messages import GatewayReply, OutcomeTag
from ..pool.replies import convert_statement_reply, refuse, report_unknown
from ..pool.server import GatewayServer
from ..pool.service import STATEMENT_TIMEOUT_S, RequestGatewayService
from ..routing.topology import find_database
from ..telemetry.log import Log, request_id
from ..telemetry.metrics import Telemetry
from .identity import create_id
from .messages import Step, TransactionRequest

IDLE_TIMEOUT_S = 10.0
EXPIRY_INTERVAL_S = 1.0
MAX_FINAL_REPLIES = 10_000

log = Log(source="transactions")


@dataclass(kw_only=True, eq=False)
class OpenTransaction:
    """Hold a transaction's connection; nothing else may use it until the transaction has ended."""

    id: str
    group: str
    client_account: str
    term: int
    server: GatewayServer
    connection: BackendConnection
    last_used_at: float
    busy: bool = False


class TransactionService(Service):
    """Run the steps of transactions on the primaries that this proxy is gateway for."""

    def __init__(
        self,
        *,
        gateway: RequestGatewayService,
        transport: PeerTransport,
        clock: Clock,
        random_source: random.Random,
        incarnation: int,
        telemetry: Telemetry,
    ) -> None:
        self.gateway = gateway
        self.open_transactions: dict[str, OpenTransaction] = {}
        self.draining = False
        self._final_replies: OrderedDict[str, GatewayReply] = OrderedDict()
        self._clock = clock
        self._random = random_source
        self._incarnation = incarnation
        self._telemetry = telemetry
        self._task: asyncio.Task[None] | None = None
        transport.handle(TransactionRequest, self._handle_request)

    async def start(self) -> None:
        """Start to expire idle transactions in the background."""
        self._task = asyncio.ensure_future(self._expire_idle_transactions())

    async def drain(self, *, deadline_s: float) -> None:
        """Refuse new transactions and wait for the open ones to end."""
        self.draining = True
        drain_deadline = self._clock.monotonic() + deadline_s
        while self.open_transactions and self._clock.monotonic() < drain_deadline:
            await self._clock.sleep(0.02)

    async def stop(self) -> None:
        """Close the connections of open transactions, which rolls them back."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        for transaction in list(self.open_transactions.values()):
            self._close(transaction)

    async def execute(self, request: TransactionRequest, *, timeout_s: float) -> GatewayReply:
        """Run one step of a transaction."""
        deadline = self._clock.monotonic() + timeout_s
        self.gateway.running += 1
        try:
            if request.step is Step.BEGIN:
                return await self._begin(request, deadline)
            return await self._continue(request, deadline)
        except SlotRefused as error:
            return refuse(error.reason, error.detail, error.retry_after_s)
        finally:
            self.gateway.running -= 1

    async def _begin(self, request: TransactionRequest, deadline: float) -> GatewayReply:
        if self.draining:
            return refuse(RefusalReason.SHUTTING_DOWN)
        record = self.gateway.groups.find_record(request.group)
        if record is None or record.state is not GroupState.OPEN or record.primary is None:
            return refuse(RefusalReason.NO_PRIMARY)
        database = find_database(self.gateway.configuration, request.group)
        refusal = self.gateway.refuse_if_drained(database, record.primary)
        if refusal is not None:
            return refusal
        server = self.gateway.get_server(request.group, record.primary)
        if server is None:
            return refuse(RefusalReason.CONFIGURATION_MISSING)
        if not self._may_pin(server, request.client_account):
            return refuse(RefusalReason.CONNECTIONS_EXHAUSTED, "open transactions")
        return await self._open(request, server, record.term, deadline)

    def _may_pin(self, server: GatewayServer, client_account: str) -> bool:
        """Tell whether an account may pin one more connection of a server.

        As many connections as there are slots stay free for single statements. No account may pin
        more than half of the others, because abandoned transactions hold theirs until they expire.
        """
        limit = max(1, server.pool.budget() - server.pool.slots)
        account_pinned = server.pool.pinned_by[client_account]
        return server.pool.pinned < limit and account_pinned < max(1, limit // 2)

    async def _open(
        self, request: TransactionRequest, server: GatewayServer, term: int, deadline: float
    ) -> GatewayReply:
        server.pool.pin(request.client_account)
        transaction: OpenTransaction | None = None
        try:
            async with server.pool.hold_slot(request.client_account, deadline):
                connection = await server.pool.acquire_connection(deadline)
                transaction = OpenTransaction(
                    id=create_id(
                        vm=self.gateway.membership.local.vm,
                        incarnation=self._incarnation,
                        client_account=request.client_account,
                        random_source=self._random,
                    ),
                    group=request.group,
                    client_account=request.client_account,
                    term=term,
                    server=server,
                    connection=connection,
                    last_used_at=self._clock.monotonic(),
                )
                reply = await self._send(transaction, request, Action.BEGIN, deadline)
            return self._finish_begin(transaction, reply)
        except BaseException:
            if transaction is not None:
                server.pool.discard(transaction.connection)
            server.pool.unpin(request.client_account)
            raise

    def _finish_begin(
        self, transaction: OpenTransaction, reply: StatementReply | None
    ) -> GatewayReply:
        pool = transaction.server.pool
        if reply is not None and reply.status is StatementStatus.OK:
            self.open_transactions[transaction.id] = transaction
            return GatewayReply(
                tag=OutcomeTag.COMPLETED,
                transaction_id=transaction.id,
                server=transaction.server.name,
            )
        pool.discard(transaction.connection)
        pool.unpin(transaction.client_account)
        if reply is None:
            # No caller received the transaction's id, so it can never commit: it did not run.
            return refuse(RefusalReason.BACKEND_UNREACHABLE, "begin was not answered")
        return convert_statement_reply(
            reply, server=transaction.server.name, role=Role.PRIMARY, is_write=True
        )

    async def _continue(self, request: TransactionRequest, deadline: float) -> GatewayReply:
        transaction = self.open_transactions.get(request.transaction_id)
        if transaction is None or transaction.client_account != request.client_account:
            return self._answer_after_end(request)
        if transaction.group != request.group:
            return refuse(RefusalReason.TRANSACTION_UNKNOWN, "it is of another database")
        if transaction.busy:
            return refuse(RefusalReason.TRANSACTION_BUSY)
        transaction.busy = True
        try:
            return await self._step(transaction, request, deadline)
        finally:
            transaction.busy = False
            transaction.last_used_at = self._clock.monotonic()

    def _answer_after_end(self, request: TransactionRequest) -> GatewayReply:
        final_reply = self._final_replies.get(request.transaction_id)
        if final_reply is None or f"~{request.client_account}~" not in request.transaction_id:
            return refuse(RefusalReason.TRANSACTION_UNKNOWN)
        if request.step is Step.COMMIT:
            return (
                replace(final_reply, replayed=True)
                if final_reply.tag is OutcomeTag.COMPLETED
                else final_reply
            )
        return refuse(RefusalReason.TRANSACTION_LOST, "it has ended")

    async def _step(
        self, transaction: OpenTransaction, request: TransactionRequest, deadline: float
    ) -> GatewayReply:
        if request.step is Step.STATEMENT:
            return await self._run_statement(transaction, request, deadline)
        if request.step is Step.COMMIT:
            try:
                reply = await self._commit(transaction, request, deadline)
            except asyncio.CancelledError:
                self._close(transaction)
                unknown = report_unknown(UncertaintyReason.COMMIT_UNANSWERED)
                self._remember_reply(transaction.id, unknown)
                raise
            self._remember_reply(transaction.id, reply)
            return reply
        return await self._roll_back(transaction, request, deadline)

    async def _run_statement(
        self, transaction: OpenTransaction, request: TransactionRequest, deadline: float
    ) -> GatewayReply:
        pool = transaction.server.pool
        async with pool.hold_slot(transaction.client_account, deadline):
            reply = await self._send(transaction, request, Action.WRITE, deadline)
        if reply is None:
            self._close(transaction)
            # The connection was closed before the commit, so the server rolls back all changes.
            return refuse(RefusalReason.TRANSACTION_LOST, "the connection was lost")
        if reply.status in (StatementStatus.STALE_TERM, StatementStatus.NOT_PRIMARY):
            self._close(transaction)
            return refuse(RefusalReason.TRANSACTION_LOST, "the primary changed")
        converted = convert_statement_reply(
            reply, server=transaction.server.name, role=Role.PRIMARY, is_write=False
        )
        return replace(converted, transaction_id=transaction.id)

    async def _commit(
        self, transaction: OpenTransaction, request: TransactionRequest, deadline: float
    ) -> GatewayReply:
        pool = transaction.server.pool
        async with pool.hold_slot(transaction.client_account, deadline):
            reply = await self._send(transaction, request, Action.COMMIT, deadline)
        if reply is None:
            self._close(transaction)
            self.gateway.groups.suspect_primary(transaction.group)
            return report_unknown(UncertaintyReason.COMMIT_UNANSWERED)
        if reply.status is not StatementStatus.OK:
            self._close(transaction)
            return convert_statement_reply(
                reply, server=transaction.server.name, role=Role.PRIMARY, is_write=True
            )
        self._release(transaction)
        completed = convert_statement_reply(
            reply, server=transaction.server.name, role=Role.PRIMARY, is_write=True
        )
        return await self.gateway.confirm(
            transaction.group, completed, request.needs_replica, deadline
        )

    async def _roll_back(
        self, transaction: OpenTransaction, request: TransactionRequest, deadline: float
    ) -> GatewayReply:
        reply = await self._send(transaction, request, Action.ROLLBACK, deadline)
        if reply is not None and reply.status is StatementStatus.OK:
            self._release(transaction)
        else:
            self._close(transaction)
        self._remember_reply(transaction.id, refuse(RefusalReason.TRANSACTION_LOST, "rolled back"))
        return GatewayReply(tag=OutcomeTag.COMPLETED, server=transaction.server.name)

    async def _send(
        self,
        transaction: OpenTransaction,
        request: TransactionRequest,
        action: Action,
        deadline: float,
    ) -> StatementReply | None:
        """Return the server's answer, or None if it was lost; the connection is then unusable."""
        statement = StatementRequest(
            term=transaction.term,
            client_account=transaction.client_account,
            action=action,
            statement=request.statement,
            idempotency_key=request.idempotency_key if action is Action.COMMIT else "",
            request_id=request.request_id,
        )
        statement_timeout_s = min(
            STATEMENT_TIMEOUT_S, max(0.001, deadline - self._clock.monotonic())
        )
        try:
            return await transaction.connection.execute(statement, timeout_s=statement_timeout_s)
        except (BackendUnreachable, BackendAnswerLost) as error:
            self._telemetry.count("lost_answers", server=transaction.server.name)
            log.warning("transaction_connection_lost", id=transaction.id, error=error)
            return None

    def _release(self, transaction: OpenTransaction) -> None:
        """Return the connection to the pool, after the server confirmed the transaction's end."""
        if self.open_transactions.pop(transaction.id, None) is not None:
            transaction.server.pool.unpin(transaction.client_account)
            transaction.server.pool.release_connection(transaction.connection)

    def _close(self, transaction: OpenTransaction) -> None:
        """Close the connection, because the state of its transaction is uncertain."""
        if self.open_transactions.pop(transaction.id, None) is not None:
            transaction.server.pool.unpin(transaction.client_account)
            transaction.server.pool.discard(transaction.connection)

    def _remember_reply(self, transaction_id: str, reply: GatewayReply) -> None:
        self._final_replies[transaction_id] = reply
        while len(self._final_replies) > MAX_FINAL_REPLIES:
            self._final_replies.popitem(last=False)

    async def _expire_idle_transactions(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_S)
            now = self._clock.monotonic()
            for transaction in list(self.open_transactions.values()):
                if not transaction.busy and now - transaction.last_used_at > IDLE_TIMEOUT_S:
                    log.info("transaction_expired", id=transaction.id)
                    self._telemetry.count("transactions_expired")
                    self._remember_reply(
                        transaction.id, refuse(RefusalReason.TRANSACTION_LOST, "idle for too long")
                    )
                    self._close(transaction)

    async def _handle_request(self, sender: Sender, request: TransactionRequest) -> GatewayReply:
        request_id.set(request.request_id)
        try:
            return await self.execute(request, timeout_s=request.timeout_s)
        except asyncio.CancelledError:
            log.warning("step_cancelled", sender=sender.vm, step=request.step.name.lower())
            raise
