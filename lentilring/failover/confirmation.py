"""Confirmation that a write's term is still in force and that enough replicas have the write."""

import asyncio
from dataclasses import dataclass, field

from ..clock import Clock
from ..database.messages import ServerStatus, TermStart
from ..outcomes import UncertaintyReason
from ..telemetry.metrics import Telemetry
from .controls import BACKEND_FAILURES, ControlConnections
from .group import Group, GroupServer
from .record import GroupRecord, find_log_end

# A lagging replica answers with its term shortly before this time ends. A connection that stays
# silent for this time is replaced, early enough that waiting writes can use the new one.
REQUEST_TIMEOUT_S = 0.3
# Pause after a failed request.
RETRY_DELAY_S = 0.05
# Pause before asking again for writes that the last answer did not confirm, if no new ones wait.
REPEAT_DELAY_S = 0.01


@dataclass(kw_only=True, eq=False)
class WriteCheck:
    """Track which instances have confirmed the term of one write, and which have the write.

    `term_starts` is None if this process does not know the record of the write's term.
    """

    group: Group
    term: int
    position: int
    needs_replica: bool
    term_starts: tuple[TermStart, ...] | None
    term_confirmed_by: set[str] = field(default_factory=set)
    stored_by: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    finished: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def missing(self) -> UncertaintyReason | None:
        """Return what is still missing, or None once the write is confirmed."""
        if len(self.term_confirmed_by) < self.group.majority:
            return UncertaintyReason.TERM_NOT_CONFIRMED
        # Any majority that is fenced later shares an instance with this one, so it has the write.
        if self.needs_replica and len(self.stored_by) < max(2, self.group.majority):
            return UncertaintyReason.REPLICA_NOT_CONFIRMED
        return None

    def add_answer(self, server: str, status: ServerStatus) -> None:
        """Add an instance's answer to a request that was sent after the write ran."""
        if status.term > self.term:
            self.term_confirmed_by.discard(server)
            self.refused_by.add(server)
        elif status.accepted and status.term == self.term:
            self.term_confirmed_by.add(server)
            if self._has_write(status):
                self.stored_by.add(server)
        # Terms never decrease, so an instance that refused never confirms this write.
        majority_lost = len(self.group.servers) - len(self.refused_by) < self.group.majority
        if majority_lost or self.missing is None:
            self.finished.set()

    def is_settled(self, server: str) -> bool:
        """Tell whether no further answer of an instance can change the result."""
        confirmed_by = self.stored_by if self.needs_replica else self.term_confirmed_by
        return server in confirmed_by or server in self.refused_by

    def _has_write(self, status: ServerStatus) -> bool:
        # An instance that was fenced for this term but does not replicate from its primary yet may
        # have entries of an older term at the write's position.
        end = find_log_end(status, self.term_starts or ())
        is_same_log = self.term_starts is not None or end.term == self.term
        return is_same_log and end.position >= self.position


class _RequestBatcher:
    """Send one request at a time to one instance, shared by all waiting writes of a term.

    An answer counts only for the writes that were waiting when its request was sent. The answer to
    an earlier request may have been given before a write ran, so it proves nothing about the write.
    """

    def __init__(
        self, *, server: GroupServer, term: int, needs_replica: bool, controls: ControlConnections
    ) -> None:
        self._server = server
        self._term = term
        self._needs_replica = needs_replica
        self._controls = controls
        self._waiting: set[WriteCheck] = set()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Tell whether no write waits and no request is running."""
        return not self._waiting and (self._task is None or self._task.done())

    def add(self, check: WriteCheck) -> None:
        """Include a write in the next request."""
        self._waiting.add(check)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def remove(self, check: WriteCheck) -> None:
        """Leave a write out of further requests."""
        self._waiting.discard(check)

    def stop(self) -> None:
        """Cancel the running request."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while self._waiting:
            batch = tuple(self._waiting)
            # Every log has reached position 0, so a lagging replica confirms the term at once.
            position = max(check.position for check in batch) if self._needs_replica else 0
            try:
                status = await self._await_position(position)
            except BACKEND_FAILURES:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for check in batch:
                check.add_answer(self._server.name, status)
            self._waiting = {check for check in self._waiting if not self._is_settled(check)}
            if self._waiting.issubset(batch):
                await asyncio.sleep(REPEAT_DELAY_S)

    def _is_settled(self, check: WriteCheck) -> bool:
        return check.finished.is_set() or check.is_settled(self._server.name)

    async def _await_position(self, position: int) -> ServerStatus:
        return await self._controls.call(
            self._server.address,
            lambda control, left_s: control.await_position(
                term=self._term, position=position, timeout_s=left_s
            ),
            timeout_s=REQUEST_TIMEOUT_S,
        )


class Confirmer:
    """Confirm writes; writes that wait at the same time share requests."""

    def __init__(self, *, controls: ControlConnections, clock: Clock, telemetry: Telemetry) -> None:
        self._controls = controls
        self._clock = clock
        self._telemetry = telemetry
        self._batchers: dict[tuple[str, int, bool], _RequestBatcher] = {}

    async def confirm(
        self,
        group: Group,
        record: GroupRecord | None,
        *,
        term: int,
        position: int,
        needs_replica: bool,
        timeout_s: float,
    ) -> UncertaintyReason | None:
        """Return None once the write is confirmed, or what is still missing after `timeout_s`."""
        term_record = (
            record if record is not None and record.is_open and record.term == term else None
        )
        check = WriteCheck(
            group=group,
            term=term,
            position=position,
            needs_replica=needs_replica,
            term_starts=term_record.term_starts if term_record else None,
        )
        if term_record is not None:
            # The primary's answer to the write itself counts as its confirmation.
            check.term_confirmed_by.add(term_record.primary)
            check.stored_by.add(term_record.primary)
        if check.missing is not None and len(group.servers) > 1:
            await self._ask_instances(check, timeout_s)
        if check.missing is not None:
            self._telemetry.count("writes_unconfirmed", reason=check.missing)
        return check.missing

    def close(self) -> None:
        """Stop all requests."""
        for batcher in self._batchers.values():
            batcher.stop()

    async def _ask_instances(self, check: WriteCheck, timeout_s: float) -> None:
        servers = [
            server for server in check.group.servers if server.name not in check.term_confirmed_by
        ]
        batchers = [self._add_to_batcher(server, check) for server in servers]
        try:
            async with asyncio.timeout(timeout_s):
                await check.finished.wait()
        except TimeoutError:
            return
        finally:
            for batcher in batchers:
                batcher.remove(check)

    def _add_to_batcher(self, server: GroupServer, check: WriteCheck) -> _RequestBatcher:
        key = (server.address, check.term, check.needs_replica)
        if key not in self._batchers:
            self._batchers = {
                old_key: batcher
                for old_key, batcher in self._batchers.items()
                if not batcher.is_idle
            }
            self._batchers[key] = _RequestBatcher(
                server=server,
                term=check.term,
                needs_replica=check.needs_replica,
                controls=self._controls,
            )
        self._batchers[key].add(check)
        return self._batchers[key]
