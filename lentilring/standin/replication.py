"""The pull loop of a replica."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from ..database.backend import BackendAnswerLost, BackendUnreachable
from ..telemetry.log import Log
from .messages import PulledEntries, PullEntries

if TYPE_CHECKING:
    from .database import DatabaseServer

# A pull without new entries is answered after this time, so that it serves as a heartbeat.
HEARTBEAT_S = 0.2
ANSWER_MARGIN_S = 1.0
RETRY_PAUSE_S = 0.1
BATCH_ENTRIES = 500

log = Log(source="standin.replication")


class ReplicationLink(Protocol):
    """Carry pulls to other servers; addresses are `ip:port`."""

    async def pull(self, address: str, request: PullEntries, *, timeout_s: float) -> PulledEntries:
        """Return entries; raise BackendUnreachable or BackendAnswerLost."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


class Replication:
    """Keep a server's log up to date with the primary that it was told to follow."""

    def __init__(
        self, *, server: DatabaseServer, link: ReplicationLink | None, primary_address: str
    ) -> None:
        self.primary_address = primary_address
        self._server = server
        self._link = link
        self.start_position = 0
        self._last_contact_at: float | None = None
        # Each change of the primary starts a new epoch; answers of older epochs are discarded.
        self._epoch = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def silence_s(self) -> float:
        """Return the time since the primary last answered, 0 before the start."""
        if self._last_contact_at is None:
            return 0.0
        return self._server.clock.monotonic() - self._last_contact_at

    def start(self) -> None:
        """Start pulling if a primary is known."""
        self.record_contact()
        if not self.primary_address or self._link is None:
            return
        self._epoch += 1
        task = asyncio.get_running_loop().create_task(self._run(self._link, self._epoch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_contact(self) -> None:
        """Restart the measurement of the primary's silence."""
        self._last_contact_at = self._server.clock.monotonic()

    def follow(self, primary_address: str, start_position: int) -> None:
        """Pull from a primary; a repeated call changes nothing."""
        if self.primary_address == primary_address and self._tasks:
            return
        self.primary_address = primary_address
        self.start_position = start_position
        self.start()

    def forget_primary(self) -> None:
        """Stop pulling; discard the answer of a pull that is running."""
        self.primary_address = ""
        self._epoch += 1

    async def stop(self) -> None:
        """End the pull loop."""
        self._epoch += 1
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._link is not None:
            self._link.close()

    async def _run(self, link: ReplicationLink, epoch: int) -> None:
        while epoch == self._epoch:
            request = self._build_request()
            try:
                pulled = await link.pull(
                    self.primary_address, request, timeout_s=request.wait_s + ANSWER_MARGIN_S
                )
            except (BackendUnreachable, BackendAnswerLost) as error:
                self._server.telemetry.count("standin_pull_retries", reason=type(error).__name__)
                await self._server.clock.sleep(RETRY_PAUSE_S)
                continue
            if epoch != self._epoch:
                self._server.telemetry.count("standin_pulls_discarded")
                return
            await self._apply_pull(pulled)

    def _build_request(self) -> PullEntries:
        server = self._server
        paused = server.faults.pause_replication
        return PullEntries(
            server=server.name,
            term=server.term,
            position=server.log.position,
            last_term=server.log.term_at(server.log.position),
            min_age_s=server.settings.replication_lag_s,
            wait_s=HEARTBEAT_S,
            limit=0 if paused else BATCH_ENTRIES,
        )

    async def _apply_pull(self, pulled: PulledEntries) -> None:
        server = self._server
        if pulled.term > server.term:
            server.observe_term(pulled.term)
            return
        if not pulled.accepted:
            await server.clock.sleep(RETRY_PAUSE_S)
            return
        self.record_contact()
        if not pulled.matched:
            server.truncate_at_divergence(pulled)
            return
        if server.matched_term != server.term:
            server.matched_term = server.term
            server.save_terms()
        for entry in () if server.faults.pause_replication else pulled.entries:
            server.append(entry)
        server.log.begin_term(server.term, self.start_position)
        server.notify()
