"""Renews the leases of the primaries that this proxy is the gateway of."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from ..catalog.model import ServerEntry, ServerRole
from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..statements.model import Failure
from ..tasks import SharedCalls
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .lease import ANY_TIME, STATUS_TIMEOUT_S, LeadershipLease, is_following
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
# How often a proxy that may need a lease later looks after its connections.
PREPARATION_INTERVAL_S = 0.5
# The first one that a caller waits for may have begun too early; a second one has not.
RENEWALS_PER_CALLER = 2

log = Log(source="leases")

# Tells whether all later takeovers of a primary, which is named by its id, hear from a replica that
# has run at least since a time of the boot clock.
CopyCheck = Callable[[ServerEntry, str, float], Awaitable[bool]]


@dataclass(frozen=True, kw_only=True)
class _Link:
    """Hold a session that asks for statuses; its server has run at least since `opened_at`."""

    session: ServerSession
    opened_at: float


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """Hold the status of a server that has run at least since `link_opened_at`."""

    server: ServerEntry
    status: ReplicationStatus
    link_opened_at: float


class LeaseRenewal:
    """Ask a primary and its replicas for their status over connections of its own."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        connector: ServerConnector,
        is_counted: CopyCheck,
        clock: SuspensionClock,
        telemetry: Telemetry,
    ) -> None:
        self._catalog, self._connector, self._is_counted = catalog, connector, is_counted
        self._clock, self._telemetry = clock, telemetry
        self._links: dict[str, _Link] = {}
        self._openings = SharedCalls[str, _Link]()
        self._preparations = SharedCalls[str, None]()
        self._prepared_at: dict[str, float] = {}
        self._servers_being_asked: set[str] = set()
        self._used_at: dict[str, float] = {}
        self._preferred_replicas: dict[str, str] = {}
        self._leases: dict[str, LeadershipLease] = {}
        self._renewals = SharedCalls[str, bool]()

    def get_lease(self, server: str) -> LeadershipLease:
        """Return the lease of a server, a new one if it has none."""
        return self._leases.setdefault(server, LeadershipLease())

    def close(self) -> None:
        """Cancel all renewals and close all connections."""
        self._renewals.cancel()
        self._preparations.cancel()
        self._openings.cancel()
        for link in self._links.values():
            link.session.close()

    def prepare(self, server: ServerEntry) -> None:
        """Keep connections to a primary's replicas open and counted, without asking over them.

        A new connection counts only once the store has answered. With these, another gateway can
        take over while the store is away.
        """
        now = self._clock.monotonic()
        if now - self._prepared_at.get(server.id, ANY_TIME) < PREPARATION_INTERVAL_S:
            return
        self._prepared_at[server.id] = now
        for replica in self._list_replicas(server):
            self._used_at[replica.id] = now
            self._preparations.start(replica.id, partial(self._prepare_link, server, replica))

    async def _prepare_link(self, server: ServerEntry, replica: ServerEntry) -> None:
        with suppress(ServerLost, ServerUnreachable, ServerRefused):
            link = await self._open(replica)
            await self._is_counted(replica, server.id, link.opened_at)

    def _list_replicas(self, server: ServerEntry) -> list[ServerEntry]:
        entries = self._catalog.servers.by_service.get(server.service, ())
        return [entry for entry in entries if entry.id != server.id]

    async def ensure_lease(self, server: ServerEntry, *, since: float = ANY_TIME) -> bool:
        """Tell whether a server is certainly the primary now, by a proof begun after `since`.

        Renew its lease if it has ended or is older.
        """
        for _ in range(RENEWALS_PER_CALLER):
            if self.has_lease(server, since=since):
                return True
            if not await self._renewals.join(server.id, partial(self._renew, server)):
                return False
        return self.has_lease(server, since=since)

    def has_lease(self, server: ServerEntry, *, since: float = ANY_TIME) -> bool:
        """Tell whether a server is certainly the primary now, without waiting.

        Renew its lease in the background if it has ended or ends soon.
        """
        lease, now = self.get_lease(server.id), self._clock.boottime()
        if lease.needs_renewal(now):
            self._renewals.start(server.id, partial(self._renew, server))
        return lease.is_valid(now, since=since)

    async def _renew(self, server: ServerEntry) -> bool:
        replicas = self._list_replicas(server)
        if await self._renew_by_one(server, replicas):
            return True
        asked_at = self._clock.boottime()
        answer, *others = await asyncio.gather(*(self._ask(entry) for entry in [server, *replicas]))
        own = None if answer is None else answer.status
        answers = [other for other in others if other is not None]
        self._record_leaders(answers)
        counted = [] if own is None else await self._list_counted(server, answers, term=own.term)
        proved = self.get_lease(server.id).record_statuses(
            own,
            [entry.status for entry in counted],
            has_replicas=bool(replicas),
            asked_at=asked_at,
        )
        self._telemetry.count("lead_leases", result="renewed" if proved else "unproved")
        if not proved:
            log.info(
                "lead_unproved",
                server=server.id,
                own=_format_answer(answer),
                others=";".join(_format_answer(other) for other in others),
            )
        return proved

    def _record_leaders(self, answers: Iterable[_Answer]) -> None:
        """Record servers that are the primary of a later term than the known leader."""
        for answer in answers:
            server, term = answer.server, answer.status.term
            if answer.status.role is not ServerRole.PRIMARY:
                continue
            if self._catalog.leadership.record_leader(server.service, server.id, term):
                log.info("lead_seen", service=server.service, server=server.id, term=term)

    async def _list_counted(
        self, primary: ServerEntry, answers: Iterable[_Answer], *, term: int
    ) -> list[_Answer]:
        """Return the answers of replicas that receive and that takeovers hear from."""
        following = [answer for answer in answers if is_following(answer.status, term)]
        counted = await asyncio.gather(
            *(
                self._is_counted(answer.server, primary.id, answer.link_opened_at)
                for answer in following
            )
        )
        return [answer for answer, counts in zip(following, counted, strict=True) if counts]

    async def _ask(self, server: ServerEntry) -> _Answer | None:
        if server.id in self._servers_being_asked:
            return None
        self._servers_being_asked.add(server.id)
        try:
            link = await self._open(server)
            status = await link.session.read_status(timeout_s=STATUS_TIMEOUT_S)
        except (ServerLost, ServerUnreachable, ServerRefused):
            self._links.pop(server.id, None)
            return None
        finally:
            self._servers_being_asked.discard(server.id)
        if isinstance(status, Failure):
            return None
        return _Answer(server=server, status=status, link_opened_at=link.opened_at)

    async def _renew_by_one(self, server: ServerEntry, replicas: list[ServerEntry]) -> bool:
        """Renew a lease by asking one replica, since status calls are billed."""
        lease = self.get_lease(server.id)
        if not lease.term or not replicas:
            return False
        preferred = self._preferred_replicas.get(server.id)
        replica = next((entry for entry in replicas if entry.id == preferred), replicas[0])
        asked_at = self._clock.boottime()
        answer = await self._ask(replica)
        answers = [] if answer is None else [answer]
        counted = await self._list_counted(server, answers, term=lease.term)
        if counted and lease.renew(counted[0].status, asked_at=asked_at):
            self._telemetry.count("lead_leases", result="renewed")
            return True
        others = [entry for entry in replicas if entry.id != replica.id]
        if others:
            self._preferred_replicas[server.id] = others[0].id
        return False

    def close_unused(self) -> None:
        """Close connections that were not used lately, as a server allows few."""
        used_after = self._clock.monotonic() - MAX_IDLE_S
        for server, link in list(self._links.items()):
            if (
                self._used_at.get(server, 0.0) < used_after
                and server not in self._servers_being_asked
            ):
                del self._links[server]
                link.session.close()

    async def _open(self, server: ServerEntry) -> _Link:
        """Return the connection to a server; concurrent calls share its opening."""
        self._used_at[server.id] = self._clock.monotonic()
        link = self._links.get(server.id)
        if link is not None and not link.session.is_closed:
            return link
        return await self._openings.join(server.id, partial(self._connect, server))

    async def _connect(self, server: ServerEntry) -> _Link:
        accounts = self._catalog.list_accounts()
        session = await self._connector.connect(
            server, account=accounts[0].name if accounts else "-", timeout_s=CONNECT_TIMEOUT_S
        )
        link = _Link(session=session, opened_at=self._clock.boottime())
        self._links[server.id] = link
        return link


def _format_answer(answer: _Answer | None) -> str:
    if answer is None:
        return "silent"
    status = answer.status
    return f"{status.role}/{status.term}/{status.paused_below_term}"
