"""Supervision of one group: replace a failed primary, and redirect replicas to the primary."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Protocol

from ..clock import Clock
from ..database.backend import BackendConnector
from ..database.messages import Role, ServerStatus
from ..platform.store import StoredObject
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .controls import BACKEND_FAILURES, ControlConnections, probe_backend
from .group import Group, GroupServer
from .promotion import PROMOTION_FAILURES, Promoter, send_follow
from .record import GroupRecord, parse_record
from .vantage import Peer, VantagePoints

POLL_INTERVAL_S = 0.25
# Shortest time between two polls, even if checks are requested all the time.
MIN_POLL_PAUSE_S = 0.05
# All instances are polled at every fourth poll, only the primary at the others.
POLLS_PER_ROUND = 4
POLL_TIMEOUT_S = 0.3
POLL_JITTER_FRACTION = 0.2
# Time without an answer after which the primary is suspected: three polls and a slow answer.
SUSPECT_AFTER_S = 1.0
# Time for which a term may be opening before this supervisor promotes. The steps of a promotion
# take a few milliseconds, so by then its proposer has stopped or cannot reach the store.
TAKE_OVER_AFTER_S = 1.5
# A replica that has heard nothing from the primary for this time is told to follow it again.
FOLLOW_AFTER_SILENCE_S = 1.5
# If a majority has heard nothing for this time, the primary is cut off from its replicas.
PROMOTE_AFTER_SILENCE_S = 3.0
# Replicas that cannot replicate from any primary must not cause one promotion after another.
SILENT_PROMOTION_INTERVAL_S = 30.0
# Pause after a planned handover that left the primary in place.
HAND_OVER_INTERVAL_S = 10.0
# Pause after a failed promotion, and time to wait for a group's record before its first promotion.
RETRY_INTERVAL_S = 0.5
# Largest number of entries that a replica may lack when a planned handover begins.
HAND_OVER_MAX_LAG_ENTRIES = 200

log = Log(source="failover")


class PromotionCause(StrEnum):
    """Name the reason for which a supervisor promotes."""

    NO_RECORD = "no_record"
    OPENING_STUCK = "opening_stuck"
    PRIMARY_REMOVED = "primary_removed"
    PRIMARY_NOT_LEADING = "primary_not_leading"
    PRIMARY_UNREACHABLE = "primary_unreachable"
    REPLICATION_SILENT = "replication_silent"
    PRIMARY_DRAINED = "primary_drained"


class GroupLookup(Protocol):
    """Look up what a supervisor needs to know of its group."""

    def find_group(self, name: str) -> Group | None:
        """Return a group as configured, or None."""
        ...

    def stored_record(self, group: str) -> StoredObject | None:
        """Return the newest known version of a group's record as stored."""
        ...

    def vantage_points(self, group: str) -> Sequence[Peer]:
        """Return the members that may be asked to probe a group's primary."""
        ...


@dataclass(kw_only=True)
class GroupHealth:
    """Hold the results of a group's polls; times are of the local monotonic clock."""

    answered_at: dict[str, float] = field(default_factory=dict)
    # The status of each instance that answered its last poll.
    statuses: dict[str, ServerStatus] = field(default_factory=dict)
    record_version: int = -1
    record_seen_at: float = 0.0
    not_leading_since: float | None = None


class GroupSupervisor:
    """Poll one group and promote or redirect its instances, until cancelled."""

    def __init__(
        self,
        *,
        name: str,
        groups: GroupLookup,
        promoter: Promoter,
        controls: ControlConnections,
        backends: BackendConnector,
        vantage: VantagePoints,
        clock: Clock,
        random: Random,
        telemetry: Telemetry,
    ) -> None:
        self._name = name
        self._groups = groups
        self._promoter = promoter
        self._controls = controls
        self._backends = backends
        self._vantage = vantage
        self._clock = clock
        self._random = random
        self._telemetry = telemetry
        self._health = GroupHealth()
        self._check_requested = asyncio.Event()
        self._started_at = clock.monotonic()
        self._next_attempt_at: dict[PromotionCause, float] = {}

    def request_check(self) -> None:
        """Check the primary at once."""
        self._check_requested.set()

    async def run(self) -> None:
        """Poll the group and act on what the polls show."""
        polls = 0
        while True:
            group = self._groups.find_group(self._name)
            if group is not None:
                await self._check_safely(group, poll_all=polls % POLLS_PER_ROUND == 0)
            polls += 1
            await self._await_next_poll()

    async def _check_safely(self, group: Group, *, poll_all: bool) -> None:
        try:
            await self._check(group, poll_all=poll_all)
        except Exception as error:
            # An unexpected failure must not leave the group without supervision.
            self._telemetry.count("supervision_errors")
            log.error("supervision_failed", group=group.name, error=repr(error))

    async def _await_next_poll(self) -> None:
        await self._clock.sleep(MIN_POLL_PAUSE_S)
        pause_s = (POLL_INTERVAL_S - MIN_POLL_PAUSE_S) * (
            1 + POLL_JITTER_FRACTION * self._random.uniform(-1, 1)
        )
        try:
            async with asyncio.timeout(pause_s):
                await self._check_requested.wait()
        except TimeoutError:
            return

    async def _check(self, group: Group, *, poll_all: bool) -> None:
        stored = self._groups.stored_record(group.name)
        record = parse_record(stored)
        self._track_record_version(stored)
        primary = group.find(record.primary) if record and record.is_open else None
        requested = self._check_requested.is_set()
        self._check_requested.clear()
        if primary is None or poll_all:
            await self._poll(group, group.servers)
        else:
            await self._poll(group, (primary,))
        if primary is not None and primary.name not in self._health.statuses and not poll_all:
            await self._poll(group, group.others(primary.name))
        cause = await self._find_cause(group, stored, record, primary, requested=requested)
        if cause is not None:
            await self._promote(group, stored, cause)
        elif record is not None and primary is not None:
            await self._redirect_replicas(group, record, primary)

    def _track_record_version(self, stored: StoredObject | None) -> None:
        version = stored.version if stored else 0
        if version == self._health.record_version:
            return
        self._health.record_version = version
        self._health.record_seen_at = self._clock.monotonic()
        self._health.not_leading_since = None

    async def _poll(self, group: Group, servers: Sequence[GroupServer]) -> None:
        async def ask(server: GroupServer) -> None:
            try:
                status = await self._controls.call(
                    server.address,
                    lambda control, left_s: control.report_status(timeout_s=left_s),
                    timeout_s=POLL_TIMEOUT_S,
                )
            except BACKEND_FAILURES:
                self._health.statuses.pop(server.name, None)
                return
            self._health.statuses[server.name] = status
            self._health.answered_at[server.name] = self._clock.monotonic()

        await asyncio.gather(*(ask(server) for server in servers))

    async def _find_cause(
        self,
        group: Group,
        stored: StoredObject | None,
        record: GroupRecord | None,
        primary: GroupServer | None,
        *,
        requested: bool,
    ) -> PromotionCause | None:
        now = self._clock.monotonic()
        age_s = now - self._health.record_seen_at
        if record is None:
            return PromotionCause.NO_RECORD if age_s >= RETRY_INTERVAL_S else None
        if not record.is_open:
            return PromotionCause.OPENING_STUCK if age_s >= TAKE_OVER_AFTER_S else None
        if primary is None:
            return PromotionCause.PRIMARY_REMOVED
        status = self._health.statuses.get(primary.name)
        if status is None:
            return await self._check_unreachable(group, primary, requested=requested)
        if self._fails_to_lead(record, status, now):
            return PromotionCause.PRIMARY_NOT_LEADING
        if self._is_replication_silent(group, record, primary):
            return PromotionCause.REPLICATION_SILENT
        return PromotionCause.PRIMARY_DRAINED if self._can_hand_over(group, primary) else None

    async def _check_unreachable(
        self, group: Group, primary: GroupServer, *, requested: bool
    ) -> PromotionCause | None:
        answered_at = self._health.answered_at.get(primary.name, self._started_at)
        if not requested and self._clock.monotonic() - answered_at < SUSPECT_AFTER_S:
            return None
        log.warning("primary_suspected", group=group.name, primary=primary.name)
        self._telemetry.count("primaries_suspected")
        vantage_points = self._groups.vantage_points(group.name)
        reachable, confirmed = await asyncio.gather(
            probe_backend(self._backends, primary.address, timeout_s=POLL_TIMEOUT_S),
            self._vantage.confirm_unreachable(group.name, primary, vantage_points),
        )
        if reachable:
            return None
        if confirmed:
            return PromotionCause.PRIMARY_UNREACHABLE
        silent = self._count_silent(group, SUSPECT_AFTER_S, excluded=primary)
        if silent >= group.majority:
            return PromotionCause.REPLICATION_SILENT
        self._telemetry.count("suspicions_rejected")
        return None

    def _fails_to_lead(self, record: GroupRecord, status: ServerStatus, now: float) -> bool:
        """Tell whether the primary has answered for SUSPECT_AFTER_S without leading its term.

        Either it was never told to lead, or it was fenced for a greater term whose record did not
        arrive here; the claim of the next term then fails and returns that record. The supervisor
        does not tell it to lead now, because it may have led this term before with a log that
        differs from the replicas' logs.
        """
        if status.term == record.term and status.role is Role.PRIMARY:
            self._health.not_leading_since = None
            return False
        if self._health.not_leading_since is None:
            self._health.not_leading_since = now
        return now - self._health.not_leading_since >= SUSPECT_AFTER_S

    def _is_replication_silent(
        self, group: Group, record: GroupRecord, primary: GroupServer
    ) -> bool:
        if self._clock.monotonic() - self._health.record_seen_at < PROMOTE_AFTER_SILENCE_S:
            return False
        return self._count_silent(group, PROMOTE_AFTER_SILENCE_S, excluded=primary) >= (
            group.majority
        )

    def _count_silent(self, group: Group, silence_s: float, *, excluded: GroupServer) -> int:
        statuses = (
            self._health.statuses.get(server.name) for server in group.others(excluded.name)
        )
        return sum(
            status is not None and status.primary_silence_s >= silence_s for status in statuses
        )

    def _can_hand_over(self, group: Group, primary: GroupServer) -> bool:
        if not primary.drained:
            return False
        position = self._health.statuses[primary.name].position
        return any(
            not server.drained
            and server.name in self._health.statuses
            and position - self._health.statuses[server.name].position <= HAND_OVER_MAX_LAG_ENTRIES
            for server in group.others(primary.name)
        )

    async def _promote(
        self, group: Group, stored: StoredObject | None, cause: PromotionCause
    ) -> None:
        now = self._clock.monotonic()
        if now < self._next_attempt_at.get(cause, 0.0):
            return
        record = parse_record(stored)
        silent = cause is PromotionCause.REPLICATION_SILENT and record is not None
        # A primary that only its replicas cannot reach has the longest log and would be chosen
        # again.
        excluded = frozenset({record.primary}) if silent and record else frozenset()
        await self._poll(group, group.servers)
        answering = [name for name in self._health.statuses if name not in excluded]
        if len(answering) < group.majority:
            self._telemetry.count("promotions_stopped", reason="majority_unreachable")
            return
        self._next_attempt_at[cause] = now + _retry_interval_s(cause)
        log.warning("promotion_started", group=group.name, cause=cause)
        try:
            if cause is PromotionCause.PRIMARY_DRAINED and stored is not None:
                await self._promoter.hand_over(group, stored)
            else:
                await self._promoter.promote(
                    group, stored, seen_term=self._greatest_term(), excluded=excluded
                )
        except PROMOTION_FAILURES as error:
            log.warning("promotion_failed", group=group.name, cause=cause, error=error)

    def _greatest_term(self) -> int:
        """Return the greatest term of the instances that have entries or are primary.

        Others may be new and report a first term that never had a primary.
        """
        used = (
            status.term
            for status in self._health.statuses.values()
            if status.position > 0 or status.role is Role.PRIMARY
        )
        return max(used, default=0)

    async def _redirect_replicas(
        self, group: Group, record: GroupRecord, primary: GroupServer
    ) -> None:
        leading = self._health.statuses.get(primary.name)
        if leading is None or leading.term != record.term or leading.role is not Role.PRIMARY:
            return
        not_following = [
            server
            for server in group.others(primary.name)
            if _is_not_following(self._health.statuses.get(server.name), record)
        ]
        await asyncio.gather(
            *(self._tell_to_follow(server, record, primary) for server in not_following)
        )

    async def _tell_to_follow(
        self, server: GroupServer, record: GroupRecord, primary: GroupServer
    ) -> None:
        self._telemetry.count("instances_told_to_follow")
        log.info("told_to_follow", group=record.group, server=server.name, term=record.term)
        try:
            status = await send_follow(
                self._controls, server, record.term, primary.address, record.start_position
            )
        except BACKEND_FAILURES:
            return
        self._health.statuses[server.name] = status


def _is_not_following(status: ServerStatus | None, record: GroupRecord) -> bool:
    if status is None or status.term > record.term:
        return False
    if status.term < record.term or status.role is Role.PRIMARY:
        return True
    return status.primary_silence_s >= FOLLOW_AFTER_SILENCE_S


def _retry_interval_s(cause: PromotionCause) -> float:
    if cause is PromotionCause.REPLICATION_SILENT:
        return SILENT_PROMOTION_INTERVAL_S
    if cause is PromotionCause.PRIMARY_DRAINED:
        return HAND_OVER_INTERVAL_S
    return RETRY_INTERVAL_S
