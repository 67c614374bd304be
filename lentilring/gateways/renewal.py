"""Renews the leases of the primaries that this proxy is the gateway of."""

import asyncio

from ..catalog.model import ServerEntry, ServerRole
from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..statements.model import Failure
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .lease import ANY_TIME, STATUS_TIMEOUT_S, LeadershipLease
from .server import (
    ReplicationStatus,
    ServerConnector,
    ServerLost,
    ServerRefused,
    ServerSession,
    ServerUnreachable,
)

CONNECT_TIMEOUT_S = 0.35
# While a lease is in use, a replica is asked every 0.4 s.
MAX_IDLE_S = 1.5

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
        self._servers_being_asked: set[str] = set()
        self._used_at: dict[str, float] = {}
        self._preferred_replicas: dict[str, str] = {}
        self._leases: dict[str, LeadershipLease] = {}
        self._renewals: dict[str, asyncio.Task[bool]] = {}

    def get_lease(self, server: str) -> LeadershipLease:
        """Return the lease of a server, a new one if it has none."""
        return self._leases.setdefault(server, LeadershipLease())

    def close(self) -> None:
        """Cancel all renewals and close all connections."""
        for task in self._renewals.values():
            task.cancel()
        for session in self._sessions.values():
            session.close()

    async def ensure_lease(self, server: ServerEntry, *, since: float = ANY_TIME) -> bool:
        """Tell whether a server is certainly the primary now, by a proof begun after `since`.

        Renew its lease if it has ended or is older.
        """
        while not self.has_lease(server, since=since):
            # A renewal that was running already may have begun before `since`.
            if not await asyncio.shield(self._start_renewal(server)):
                return False
        return True

    def has_lease(self, server: ServerEntry, *, since: float = ANY_TIME) -> bool:
        """Tell whether a server is certainly the primary now, without waiting.

        Renew its lease in the background if it has ended or ends soon.
        """
        lease, now = self.get_lease(server.id), self._clock.boottime()
        if lease.needs_renewal(now):
            self._start_renewal(server)
        return lease.is_valid(now, since=since)

    def _start_renewal(self, server: ServerEntry) -> "asyncio.Task[bool]":
        task = self._renewals.get(server.id)
        if task is None:
            task = asyncio.ensure_future(self._renew(server))
            self._renewals[server.id] = task
            task.add_done_callback(lambda _: self._renewals.pop(server.id, None))
        return task

    async def _renew(self, server: ServerEntry) -> bool:
        entries = self._catalog.servers.by_service.get(server.service, ())
        replicas = [entry for entry in entries if entry.id != server.id]
        if await self._renew_by_one(server, replicas):
            return True
        asked_at = self._clock.boottime()
        own, *others = await asyncio.gather(
            *(self._read_status(entry) for entry in [server, *replicas])
        )
        self._record_leaders(replicas, others)
        proved = self.get_lease(server.id).record_statuses(
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
                own=_format_status(own),
                others=";".join(_format_status(status) for status in others),
            )
        return proved

    def _record_leaders(
        self, servers: list[ServerEntry], statuses: list[ReplicationStatus | None]
    ) -> None:
        """Record servers that are the primary of a later term than the known leader."""
        for server, status in zip(servers, statuses, strict=True):
            if status is None or status.role is not ServerRole.PRIMARY:
                continue
            if self._catalog.leadership.record_leader(server.service, server.id, status.term):
                log.info("lead_seen", service=server.service, server=server.id, term=status.term)

    async def _read_status(self, server: ServerEntry) -> ReplicationStatus | None:
        if server.id in self._servers_being_asked:
            return None
        self._servers_being_asked.add(server.id)
        try:
            session = await self._open(server)
            answer = await session.read_status(timeout_s=STATUS_TIMEOUT_S)
        except (ServerLost, ServerUnreachable, ServerRefused):
            self._sessions.pop(server.id, None)
            return None
        finally:
            self._servers_being_asked.discard(server.id)
        return None if isinstance(answer, Failure) else answer

    async def _renew_by_one(self, server: ServerEntry, replicas: list[ServerEntry]) -> bool:
        """Renew a lease by asking one replica, since status calls are billed."""
        lease = self.get_lease(server.id)
        if not lease.term or not replicas:
            return False
        preferred = self._preferred_replicas.get(server.id)
        replica = next((entry for entry in replicas if entry.id == preferred), replicas[0])
        asked_at = self._clock.boottime()
        if lease.renew(await self._read_status(replica), asked_at=asked_at):
            self._telemetry.count("lead_leases", result="renewed")
            return True
        others = [entry for entry in replicas if entry.id != replica.id]
        if others:
            self._preferred_replicas[server.id] = others[0].id
        return False

    def close_unused(self) -> None:
        """Close connections that were not used lately, as a server allows few."""
        used_after = self._clock.monotonic() - MAX_IDLE_S
        for server, session in list(self._sessions.items()):
            if (
                self._used_at.get(server, 0.0) < used_after
                and server not in self._servers_being_asked
            ):
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


def _format_status(status: ReplicationStatus | None) -> str:
    if status is None:
        return "silent"
    return f"{status.role}/{status.term}/{status.paused_below_term}"
