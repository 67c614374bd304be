"""Execution of statements on the backend servers that this proxy is gateway for."""

import asyncio
import random
from typing import Protocol

from ..clock import Clock
from ..configuration.drain import is_in_service
from ..configuration.models import Database
from ..database.backend import BackendAnswerLost, BackendConnector, BackendUnreachable
from ..database.messages import Action, Role, ServerStatus, StatementReply, StatementRequest
from ..failover.record import GroupRecord, GroupState
from ..kernel import Service
from ..outcomes import RefusalReason, UncertaintyReason
from ..peers.transport import PeerTransport, Sender
from ..routing.topology import (
    ConfigurationView,
    GatewayRanking,
    MembershipView,
    find_database,
    find_server,
)
from ..telemetry.log import Log, request_id
from ..telemetry.metrics import Telemetry
from .connections import ServerPool, SlotRefused, split_connections
from .coverage import covers
from .messages import GatewayReply, GatewayRequest, OutcomeTag, PrimarySample, SamplePrimary
from .replies import convert_statement_reply, refuse, report_unknown
from .sampling import PrimarySampler
from .server import GatewayServer

# A statement on a connection that no longer answers would otherwise hold its slot too long.
STATEMENT_TIMEOUT_S = 2.0
REPLICA_WAIT_S = 0.1
STATUS_POLL_S = 0.01
MAX_STATUS_AGE_S = 0.5
# A read that accepts no staleness needs a proof this recent that its server is the primary.
MAX_PRIMARY_PROOF_AGE_S = 1.0

log = Log(source="gateway")


class GroupsView(Protocol):
    """Give access to the group records and checks of the failover service."""

    def find_record(self, group: str) -> GroupRecord | None:
        """Return the group's record, or None if it is unknown."""
        ...

    async def confirm_write(
        self, group: str, *, term: int, position: int, needs_replica: bool, timeout_s: float
    ) -> UncertaintyReason | None:
        """Check that a majority is still at a term; return why that is uncertain, or None."""
        ...

    def suspect_primary(self, group: str) -> None:
        """Report that the primary does not answer."""
        ...

    def position_is_lost(self, group: str, *, term: int, position: int) -> bool:
        """Tell whether a later term began before a position, so that its entry was lost."""
        ...


class RequestGatewayService(Service):
    """Run statements of HTTP callers on the backend servers that this proxy is gateway for.

    Client accounts share each server's slots fairly, writes are confirmed by a majority, and reads
    run only on servers that are recent enough.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationView,
        membership: MembershipView,
        groups: GroupsView,
        transport: PeerTransport,
        connector: BackendConnector,
        clock: Clock,
        random_source: random.Random,
        telemetry: Telemetry,
    ) -> None:
        self.configuration = configuration
        self.membership = membership
        self.ranking = GatewayRanking(configuration=configuration, membership=membership)
        self.groups = groups
        self.clock = clock
        self.servers: dict[tuple[str, str], GatewayServer] = {}
        self.running = 0
        self._transport = transport
        self._connector = connector
        self._telemetry = telemetry
        self.sampler = PrimarySampler(
            gateway=self, transport=transport, clock=clock, random_source=random_source
        )
        transport.handle(GatewayRequest, self._handle_request)
        transport.handle(SamplePrimary, self._handle_sample)

    async def start(self) -> None:
        """Start to sample primaries."""
        self.sampler.start()

    async def drain(self, *, deadline_s: float) -> None:
        """Wait until no statement is running."""
        drain_deadline = self.clock.monotonic() + deadline_s
        while self.running and self.clock.monotonic() < drain_deadline:
            await self.clock.sleep(0.02)

    async def stop(self) -> None:
        """Stop sampling and close the connections that are not in use."""
        await self.sampler.stop()
        for server in self.servers.values():
            server.close()

    async def execute(self, request: GatewayRequest, *, timeout_s: float) -> GatewayReply:
        """Run one statement on a backend server; confirm it with a majority if it is a write."""
        self.running += 1
        try:
            return await self._execute(request, self.clock.monotonic() + timeout_s)
        except SlotRefused as error:
            if error.reason is RefusalReason.BACKEND_UNREACHABLE:
                self._suspect_primary(request)
            return refuse(error.reason, error.detail, error.retry_after_s)
        finally:
            self.running -= 1

    def get_server(self, group: str, name: str) -> GatewayServer | None:
        """Return the state of a backend server, created on first use; None if not configured."""
        database = find_database(self.configuration, group)
        server = find_server(database, name) if database is not None else None
        if server is None:
            return None
        existing = self.servers.get((group, name))
        if existing is not None and existing.pool.address == server.address:
            return existing
        if existing is not None:
            existing.close()
        pool = ServerPool(
            address=server.address,
            slots=server.slots,
            budget=lambda: self._compute_budget(group, name),
            connector=self._connector,
            clock=self.clock,
            telemetry=self._telemetry,
        )
        created = GatewayServer(
            group=group, name=name, pool=pool, connector=self._connector, clock=self.clock
        )
        self.servers[(group, name)] = created
        return created

    def refuse_if_drained(self, database: Database | None, name: str) -> GatewayReply | None:
        """Return a refusal if a backend server is unknown or drained."""
        server = find_server(database, name) if database is not None else None
        if database is None or server is None:
            return refuse(RefusalReason.CONFIGURATION_MISSING, name)
        if not is_in_service(self.configuration, database, server):
            return refuse(RefusalReason.DRAINING, name)
        return None

    async def _execute(self, request: GatewayRequest, deadline: float) -> GatewayReply:
        database = find_database(self.configuration, request.group)
        refusal = self.refuse_if_drained(database, request.server)
        if refusal is not None:
            return refusal
        server = self.get_server(request.group, request.server)
        if server is None:
            return refuse(RefusalReason.CONFIGURATION_MISSING, request.server)
        if request.action is Action.READ:
            return await self._read(server, request, deadline)
        return await self._write(server, request, deadline)

    async def _write(
        self, server: GatewayServer, request: GatewayRequest, deadline: float
    ) -> GatewayReply:
        async with server.pool.hold_slot(request.client_account, deadline):
            record = self.groups.find_record(request.group)
            if record is None or record.state is not GroupState.OPEN:
                return refuse(RefusalReason.NO_PRIMARY)
            if record.primary != request.server or request.session_term > record.term:
                return refuse(RefusalReason.PRIMARY_CHANGED)
            reply = await self._send(server, request, record.term, deadline)
        if isinstance(reply, GatewayReply):
            return reply
        converted = convert_statement_reply(
            reply, server=server.name, role=Role.PRIMARY, is_write=True
        )
        if converted.tag is not OutcomeTag.COMPLETED:
            return converted
        return await self.confirm(request.group, converted, request.needs_replica, deadline)

    async def confirm(
        self, group: str, completed: GatewayReply, needs_replica: bool, deadline: float
    ) -> GatewayReply:
        """Return the write's reply once a majority confirmed its term, else an unknown outcome."""
        uncertainty = await self.groups.confirm_write(
            group,
            term=completed.term,
            position=completed.position,
            needs_replica=needs_replica,
            timeout_s=max(0.0, deadline - self.clock.monotonic()),
        )
        if uncertainty is not None:
            self.groups.suspect_primary(group)
            return report_unknown(uncertainty, "the write ran but is not confirmed")
        return completed

    async def _read(
        self, server: GatewayServer, request: GatewayRequest, deadline: float
    ) -> GatewayReply:
        refusal = await self._await_coverage(server, request, deadline)
        if refusal is not None:
            return refusal
        async with server.pool.hold_slot(request.client_account, deadline):
            # The check is repeated, because the wait for the slot can be long.
            refusal = self.check_read(server, request)
            if refusal is not None:
                return refusal
            status = server.status
            assert status is not None
            reply = await self._send(server, request, status.term, deadline)
        if isinstance(reply, GatewayReply):
            return reply
        if request.session_position and not await self._still_covers(server, request, reply):
            return refuse(RefusalReason.REPLICA_BEHIND, "the log changed during the read")
        server.advance_position(reply)
        record = self.groups.find_record(request.group)
        is_primary = record is not None and record.primary == server.name
        role = Role.PRIMARY if is_primary else Role.REPLICA
        return convert_statement_reply(reply, server=server.name, role=role, is_write=False)

    async def _await_coverage(
        self, server: GatewayServer, request: GatewayRequest, deadline: float
    ) -> GatewayReply | None:
        """Wait up to REPLICA_WAIT_S until the server covers the read; return a refusal if not."""
        server.last_demanded_at = self.clock.monotonic()
        wait_until = min(deadline, self.clock.monotonic() + REPLICA_WAIT_S)
        while True:
            refusal = self.check_read(server, request)
            if refusal is None or refusal.reason == RefusalReason.SESSION_POSITION_LOST:
                return refusal
            if self.clock.monotonic() >= wait_until or server.is_unreachable:
                return refusal
            await self.sampler.refresh_server(server, timeout_s=wait_until - self.clock.monotonic())
            if self.check_read(server, request) is not None:
                await self.clock.sleep(STATUS_POLL_S)

    def check_read(self, server: GatewayServer, request: GatewayRequest) -> GatewayReply | None:
        """Return why the server's last known state does not cover a read, or None if it does."""
        if request.session_position and self.groups.position_is_lost(
            request.group, term=request.session_term, position=request.session_position
        ):
            return refuse(RefusalReason.SESSION_POSITION_LOST)
        status = server.status
        if status is None or not self._is_recent(server):
            return refuse(RefusalReason.BACKEND_UNREACHABLE, server.name)
        if not covers(status, request.session_term, request.session_position):
            return refuse(RefusalReason.REPLICA_BEHIND, f"position {status.position}")
        return self._check_age(server, request, status)

    def _check_age(
        self, server: GatewayServer, request: GatewayRequest, status: ServerStatus
    ) -> GatewayReply | None:
        record = self.groups.find_record(request.group)
        is_primary = record is not None and record.primary == server.name
        age_limit_s = request.max_staleness_s
        if age_limit_s is None:
            if not is_primary:
                return refuse(RefusalReason.REPLICA_BEHIND, "the read accepts no staleness")
            age_limit_s = MAX_PRIMARY_PROOF_AGE_S
        age_s = server.history.bound_age_s(status, self.clock.monotonic())
        if age_s is None or age_s > age_limit_s:
            return refuse(RefusalReason.REPLICA_BEHIND, f"age {age_s} s exceeds {age_limit_s} s")
        return None

    def _is_recent(self, server: GatewayServer) -> bool:
        return self.clock.monotonic() - server.status_time <= MAX_STATUS_AGE_S

    async def _still_covers(
        self, server: GatewayServer, request: GatewayRequest, reply: StatementReply
    ) -> bool:
        """Check after a read that the server had not truncated its log before the read ran.

        If the term is unchanged and the group's open record has the same term, the session's
        position was not truncated. Otherwise the server is asked for its status again.
        """
        record = self.groups.find_record(request.group)
        status = server.status
        if (
            record is not None
            and record.state is GroupState.OPEN
            and status is not None
            and record.term == status.term == reply.term
        ):
            return True
        status = await server.refresh_status()
        return status is not None and covers(status, request.session_term, request.session_position)

    async def _send(
        self, server: GatewayServer, request: GatewayRequest, term: int, deadline: float
    ) -> StatementReply | GatewayReply:
        """Run the statement on a connection; return a gateway reply if no answer arrived."""
        async with server.pool.borrow_connection(deadline) as connection:
            remaining_s = min(deadline - self.clock.monotonic(), STATEMENT_TIMEOUT_S)
            if remaining_s <= 0:
                return refuse(RefusalReason.DEADLINE_EXCEEDED, "before the statement was sent")
            statement = StatementRequest(
                term=term,
                client_account=request.client_account,
                action=request.action,
                statement=request.statement,
                idempotency_key=request.idempotency_key,
                request_id=request.request_id,
            )
            try:
                return await connection.execute(statement, timeout_s=remaining_s)
            except BackendUnreachable as error:
                self._suspect_primary(request)
                return refuse(RefusalReason.BACKEND_UNREACHABLE, error.detail)
            except BackendAnswerLost as error:
                self._suspect_primary(request)
                self._telemetry.count("lost_answers", server=server.name)
                return report_unknown(UncertaintyReason.CONNECTION_LOST, error.detail)

    def _suspect_primary(self, request: GatewayRequest) -> None:
        record = self.groups.find_record(request.group)
        if record is not None and record.primary == request.server:
            self.groups.suspect_primary(request.group)

    def _compute_budget(self, group: str, name: str) -> int:
        database = find_database(self.configuration, group)
        server = find_server(database, name) if database is not None else None
        if server is None:
            return 1
        gateway = self.ranking.rank(group, server).gateway
        is_gateway = gateway is not None and gateway.vm == self.membership.local.vm
        return split_connections(server.connections, is_gateway=is_gateway)

    async def _handle_request(self, sender: Sender, request: GatewayRequest) -> GatewayReply:
        request_id.set(request.request_id)
        try:
            reply = await self.execute(request, timeout_s=request.timeout_s)
        except asyncio.CancelledError:
            log.warning("statement_cancelled", sender=sender.vm, server=request.server)
            raise
        if reply.tag is not OutcomeTag.COMPLETED:
            log.debug("statement_refused", sender=sender.vm, reason=reply.reason)
        return reply

    async def _handle_sample(self, sender: Sender, request: SamplePrimary) -> PrimarySample:
        return await self.sampler.sample_primary(request.group)
