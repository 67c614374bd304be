"""The check that a write's term is still in force, and that replicas hold the write."""

import asyncio
from dataclasses import dataclass, field

from ..clock import Clock
from ..database.messages import ServerStatus, TermStart
from ..outcomes import UncertaintyReason
from ..telemetry.metrics import Telemetry
from .controls import BACKEND_FAILURES, ControlConnections
from .group import Group, GroupServer
from .record import GroupRecord, find_log_end

# A lagging replica answers at the end of this time with its term; a silent connection is replaced
# after it, while writes still wait.
REQUEST_TIMEOUT_S = 0.3
RETRY_DELAY_S = 0.05
REPEAT_DELAY_S = 0.01


@dataclass(kw_only=True, eq=False)
class WriteCheck:
    """Collect the instances that confirm one write.

    `term_starts` is None while the record of the write's term is not known here.
    """

    group: Group
    term: int
    position: int
    needs_replica: bool
    term_starts: tuple[TermStart, ...] | None
    accepted: set[str] = field(default_factory=set)
    holding: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def result(self) -> UncertaintyReason | None:
        """Return what is missing, None once the write is confirmed."""
        if len(self.accepted) < self.group.majority:
            return UncertaintyReason.TERM_NOT_CONFIRMED
        # Any majority that is fenced later shares an instance with these, so it holds the write.
        if self.needs_replica and len(self.holding) < max(2, self.group.majority):
            return UncertaintyReason.REPLICA_NOT_CONFIRMED
        return None

    def note(self, server: str, status: ServerStatus) -> None:
        """Take an answer to a request that was sent after the write ran."""
        if status.term > self.term:
            self.accepted.discard(server)
            self.refused.add(server)
        elif status.accepted and status.term == self.term:
            self.accepted.add(server)
            if self._holds_write(status):
                self.holding.add(server)
        # Terms only rise, so an instance that refused never confirms this write.
        hopeless = len(self.group.servers) - len(self.refused) < self.group.majority
        if hopeless or self.result is None:
            self.ended.set()

    def is_settled(self, server: str) -> bool:
        """Tell whether another answer of an instance can add nothing."""
        confirmed = self.holding if self.needs_replica else self.accepted
        return server in confirmed or server in self.refused

    def _holds_write(self, status: ServerStatus) -> bool:
        # An instance that was fenced for this term but has not joined it yet may hold other
        # entries at the write's position.
        end = find_log_end(status, self.term_starts or ())
        known = self.term_starts is not None or end.term == self.term
        return known and end.position >= self.position


class _Lane:
    """Send one request at a time to one instance for all writes of a term that wait for it.

    A request counts only for the writes that waited when it was sent: the answer to an earlier one
    may have been given before the write ran, and so prove nothing about the time after it.
    """

    def __init__(
        self, *, server: GroupServer, term: int, for_position: bool, controls: ControlConnections
    ) -> None:
        self._server = server
        self._term = term
        self._for_position = for_position
        self._controls = controls
        self._waiting: set[WriteCheck] = set()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Tell whether no write waits and no request is under way."""
        return not self._waiting and (self._task is None or self._task.done())

    def join(self, check: WriteCheck) -> None:
        """Include a write in the next request."""
        self._waiting.add(check)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def leave(self, check: WriteCheck) -> None:
        """Ask no more for a write."""
        self._waiting.discard(check)

    def stop(self) -> None:
        """Cancel the request under way."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while self._waiting:
            asked = tuple(self._waiting)
            # Position 0 is reached at once, so a lagging replica can still confirm the term.
            position = max(check.position for check in asked) if self._for_position else 0
            try:
                status = await self._ask(position)
            except BACKEND_FAILURES:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for check in asked:
                check.note(self._server.name, status)
            self._waiting = {check for check in self._waiting if not self._is_settled(check)}
            if self._waiting.issubset(asked):
                await asyncio.sleep(REPEAT_DELAY_S)

    def _is_settled(self, check: WriteCheck) -> bool:
        return check.ended.is_set() or check.is_settled(self._server.name)

    async def _ask(self, position: int) -> ServerStatus:
        return await self._controls.call(
            self._server.address,
            lambda control, left_s: control.await_position(
                term=self._term, position=position, timeout_s=left_s
            ),
            timeout_s=REQUEST_TIMEOUT_S,
        )


class Confirmer:
    """Confirm writes; those that wait at the same time share requests."""

    def __init__(self, *, controls: ControlConnections, clock: Clock, telemetry: Telemetry) -> None:
        self._controls = controls
        self._clock = clock
        self._telemetry = telemetry
        self._lanes: dict[tuple[str, int, bool], _Lane] = {}

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
        """Return None once the write is confirmed, or what is missing after `timeout_s`."""
        known = record if record is not None and record.is_open and record.term == term else None
        check = WriteCheck(
            group=group,
            term=term,
            position=position,
            needs_replica=needs_replica,
            term_starts=known.term_starts if known else None,
        )
        if known is not None:
            # The primary's answer to the write itself counts as its confirmation.
            check.accepted.add(known.primary)
            check.holding.add(known.primary)
        if check.result is not None and len(group.servers) > 1:
            await self._ask_instances(check, timeout_s)
        if check.result is not None:
            self._telemetry.count("writes_unconfirmed", reason=check.result)
        return check.result

    def close(self) -> None:
        """Stop all requests."""
        for lane in self._lanes.values():
            lane.stop()

    async def _ask_instances(self, check: WriteCheck, timeout_s: float) -> None:
        asked = [server for server in check.group.servers if server.name not in check.accepted]
        lanes = [self._join_lane(server, check) for server in asked]
        try:
            async with asyncio.timeout(timeout_s):
                await check.ended.wait()
        except TimeoutError:
            return
        finally:
            for lane in lanes:
                lane.leave(check)

    def _join_lane(self, server: GroupServer, check: WriteCheck) -> _Lane:
        key = (server.address, check.term, check.needs_replica)
        if key not in self._lanes:
            self._lanes = {old: lane for old, lane in self._lanes.items() if not lane.is_idle}
            self._lanes[key] = _Lane(
                server=server,
                term=check.term,
                for_position=check.needs_replica,
                controls=self._controls,
            )
        self._lanes[key].join(check)
        return self._lanes[key]
