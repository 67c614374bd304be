"""Renews the leases of the primaries that this proxy is the gateway of."""

import asyncio

from ..catalog.model import ServerEntry, ServerRole
from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..statements.model import Failure
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .lease import STATUS_TIMEOUT_S, LeadLease
from .server import (
    ReplicationStatus,
    ServerConnector,
    ServerLost,
    ServerRefused,
    ServerSession,
    ServerUnreachable,
)

CONNECT_TIMEOUT_S = 0.35
# Witnesses are asked every 0.4 s while a lease is wanted.
UNUSED_S = 1.5

log = Log(source="leases")


class LeaseRenewal:
    """Ask a primary and its replicas for their status over connections of its own."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        connector: ServerConnector,
        clock: SuspensionClock,
        telemetry: Telemetry,
    ) -> None:
        self._catalog, self._connector = catalog, connector
        self._clock, self._telemetry = clock, telemetry
        self._sessions: dict[str, ServerSession] = {}
        self._busy: set[str] = set()
        self._used_at: dict[str, float] = {}
        self._witnesses: dict[str, str] = {}
        self._leases: dict[str, LeadLease] = {}
        self._rounds: dict[str, asyncio.Task[bool]] = {}

    def lease(self, server: str) -> LeadLease:
        """Return the lease of a server."""
        return self._leases.setdefault(server, LeadLease())

    def close(self) -> None:
        """End all rounds and close all connections."""
        for task in self._rounds.values():
            task.cancel()
        for session in self._sessions.values():
            session.close()

    async def ensure(self, server: ServerEntry) -> bool:
        """Tell whether a server surely leads now; ask if that is not known or soon will not be."""
        lease, now = self.lease(server.id), self._clock.boottime()
        if lease.is_valid(now):
            if lease.is_due(now):
                self._begin(server)
            return True
        return await asyncio.shield(self._begin(server)) and lease.is_valid(self._clock.boottime())

    def _begin(self, server: ServerEntry) -> "asyncio.Task[bool]":
        task = self._rounds.get(server.id)
        if task is None:
            task = asyncio.ensure_future(self._renew(server))
            self._rounds[server.id] = task
            task.add_done_callback(lambda _: self._rounds.pop(server.id, None))
        return task

    async def _renew(self, server: ServerEntry) -> bool:
        entries = self._catalog.servers.by_service.get(server.service, ())
        replicas = [entry for entry in entries if entry.id != server.id]
        if await self._renew_by_one(server, replicas):
            return True
        asked_at = self._clock.boottime()
        own, *others = await asyncio.gather(*(self._ask(entry) for entry in [server, *replicas]))
        self._note_leads(replicas, others)
        proved = self.lease(server.id).note(
            own,
            [status for status in others if status is not None],
            has_replicas=bool(replicas),
            asked_at=asked_at,
        )
        self._telemetry.count("lead_leases", result="renewed" if proved else "unproved")
        if not proved:
            log.info(
                "lead_unproved",
                server=server.id,
                own=_describe(own),
                others=";".join(_describe(status) for status in others),
            )
        return proved

    def _note_leads(
        self, servers: list[ServerEntry], statuses: list[ReplicationStatus | None]
    ) -> None:
        """Believe a server that leads a later term than the one that was asked for."""
        for server, status in zip(servers, statuses, strict=True):
            if status is None or status.role is not ServerRole.PRIMARY:
                continue
            if self._catalog.leadership.record_leader(server.service, server.id, status.term):
                log.info("lead_seen", service=server.service, server=server.id, term=status.term)

    async def _ask(self, server: ServerEntry) -> ReplicationStatus | None:
        if server.id in self._busy:
            return None
        self._busy.add(server.id)
        try:
            session = await self._open(server)
            answer = await session.read_status(timeout_s=STATUS_TIMEOUT_S)
        except (ServerLost, ServerUnreachable, ServerRefused):
            self._sessions.pop(server.id, None)
            return None
        finally:
            self._busy.discard(server.id)
        return None if isinstance(answer, Failure) else answer

    async def _renew_by_one(self, server: ServerEntry, replicas: list[ServerEntry]) -> bool:
        """Extend a lease by asking the replica that proved it last; statuses are priced."""
        lease = self.lease(server.id)
        if not lease.term or not replicas:
            return False
        preferred = self._witnesses.get(server.id)
        witness = next((entry for entry in replicas if entry.id == preferred), replicas[0])
        asked_at = self._clock.boottime()
        if lease.renew(await self._ask(witness), asked_at=asked_at):
            self._telemetry.count("lead_leases", result="renewed")
            return True
        others = [entry for entry in replicas if entry.id != witness.id]
        if others:
            self._witnesses[server.id] = others[0].id
        return False

    def close_unused(self) -> None:
        """Close connections that no round has used for long; a server allows few."""
        oldest = self._clock.monotonic() - UNUSED_S
        for server, session in list(self._sessions.items()):
            if self._used_at.get(server, 0.0) < oldest and server not in self._busy:
                del self._sessions[server]
                session.close()

    async def _open(self, server: ServerEntry) -> ServerSession:
        session = self._sessions.get(server.id)
        if session is None or session.is_closed:
            accounts = self._catalog.list_accounts()
            session = await self._connector.connect(
                server,
                account=accounts[0].name if accounts else "-",
                timeout_s=CONNECT_TIMEOUT_S,
            )
            self._sessions[server.id] = session
        self._used_at[server.id] = self._clock.monotonic()
        return session


def _describe(status: ReplicationStatus | None) -> str:
    if status is None:
        return "silent"
    return f"{status.role}/{status.term}/{status.paused_below_term}"
