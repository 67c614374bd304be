"""Pauses the replicas of a service and reads which positions they have received."""

import asyncio
from collections.abc import Sequence

from ..catalog.model import ServerEntry, ServerRole
from ..clock import Clock
from ..gateways.server import (
    ReplicationStatus,
    ServerConnector,
    ServerLost,
    ServerRefused,
    ServerSession,
    ServerUnreachable,
)
from ..statements.model import Failure
from ..telemetry.log import Log

CONNECT_TIMEOUT_S = 0.6
CALL_TIMEOUT_S = 0.5
# A full server may refuse a status call for a short time.
BUSY_RETRY_S = 0.03
MAX_BUSY_RETRIES = 8

log = Log(source="takeover")


class ReplicaControl:
    """Hold connections to a service's servers during one takeover."""

    def __init__(self, *, connector: ServerConnector, account: str, clock: Clock) -> None:
        self._connector, self._account, self._clock = connector, account, clock
        self._sessions: dict[str, ServerSession] = {}

    async def read_all(self, servers: Sequence[ServerEntry]) -> dict[str, ReplicationStatus]:
        """Return the status of each server that answers."""
        return await self._read_or_pause_all(servers, None)

    async def pause_all(
        self, servers: Sequence[ServerEntry], *, term: int
    ) -> dict[str, ReplicationStatus]:
        """Stop replicas from receiving; return the status of each one that stopped."""
        return await self._read_or_pause_all(servers, term)

    async def depose(self, server: ServerEntry, *, term: int) -> bool:
        """Make an old primary step down; tell whether it is certainly no longer the primary.

        That is certain if it answers as a replica, or if nothing listens at its address.
        """
        for _ in range(MAX_BUSY_RETRIES):
            try:
                session = await self._open(server)
                answer = await session.step_down(term=term, timeout_s=CALL_TIMEOUT_S)
            except ServerUnreachable as error:
                self._sessions.pop(server.id, None)
                return error.is_down
            except (ServerLost, ServerRefused):
                self._sessions.pop(server.id, None)
                return False
            if isinstance(answer, ReplicationStatus):
                return answer.role is ServerRole.REPLICA
            if answer is not Failure.OVERLOADED:
                log.info("step_down_refused", server=server.id, failure=answer, term=term)
                return False
            await self._clock.sleep(BUSY_RETRY_S)
        return False

    async def resume_all(self) -> None:
        """Let all connected servers receive again."""
        await asyncio.gather(
            *(self._resume(server, session) for server, session in self._sessions.items())
        )

    async def _resume(self, server: str, session: ServerSession) -> None:
        try:
            await session.resume(timeout_s=CALL_TIMEOUT_S)
        except (ServerLost, ServerUnreachable) as error:
            log.warning("replica_not_resumed", server=server, detail=error)

    def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    async def _read_or_pause_all(
        self, servers: Sequence[ServerEntry], term: int | None
    ) -> dict[str, ReplicationStatus]:
        answers = await asyncio.gather(*(self._read_or_pause(server, term) for server in servers))
        return {
            server.id: answer
            for server, answer in zip(servers, answers, strict=True)
            if answer is not None
        }

    async def _read_or_pause(
        self, server: ServerEntry, term: int | None
    ) -> ReplicationStatus | None:
        for _ in range(MAX_BUSY_RETRIES):
            try:
                session = await self._open(server)
                if term is None:
                    answer = await session.read_status(timeout_s=CALL_TIMEOUT_S)
                else:
                    answer = await session.pause(term=term, timeout_s=CALL_TIMEOUT_S)
            except (ServerLost, ServerUnreachable, ServerRefused) as error:
                self._sessions.pop(server.id, None)
                log.info("replica_silent", server=server.id, detail=error)
                return None
            if isinstance(answer, ReplicationStatus):
                return answer
            if answer is not Failure.OVERLOADED:
                log.info("replica_refused", server=server.id, failure=answer, term=term)
                return None
            await self._clock.sleep(BUSY_RETRY_S)
        return None

    async def _open(self, server: ServerEntry) -> ServerSession:
        session = self._sessions.get(server.id)
        if session is None or session.is_closed:
            session = await self._connector.connect(
                server, account=self._account, timeout_s=CONNECT_TIMEOUT_S
            )
            self._sessions[server.id] = session
        return session
