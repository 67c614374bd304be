"""Promotion of a group's primary: claim a term, fence a majority, choose, open, install.

A proposer is the process that runs a promotion. It may stop or pause after any step. If it resumes
too late, its conditional updates fail on the version of the group's record, and the backend servers
refuse its lower term.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

from ..clock import Clock
from ..database.messages import ServerStatus, TermStart
from ..errors import LentilringError
from ..placement import score_member
from ..platform.store import Kind, Store, StoredObject, StoreUnavailable, VersionConflict
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .answers import collect_answers
from .controls import ControlConnections
from .group import Group, GroupServer
from .record import GroupRecord, GroupState, LogEnd, find_log_end, format_record, parse_record

STORE_TIMEOUT_S = 1.0
STORE_ATTEMPTS = 3
STORE_RETRY_DELAY_S = 0.1
CONTROL_TIMEOUT_S = 0.5
# Time to wait for the other instances after a majority has answered, so that one with a longer log,
# or the old primary, is not missed because it answers a few milliseconds later.
ANSWER_GRACE_S = 0.05
# Longest time for which a planned handover pauses writes while a replica catches up.
CATCH_UP_TIMEOUT_S = 1.0

log = Log(source="failover")


class PromotionStep(StrEnum):
    """Name the steps of a promotion, in order."""

    CLAIM = "claim"
    FENCE = "fence"
    CHOOSE = "choose"
    OPEN = "open"
    LEAD = "lead"
    FOLLOW = "follow"


class LossRisk(StrEnum):
    """Say which acknowledged writes a promotion may lose."""

    UNREPLICATED = "unreplicated"
    ANY = "any"


@dataclass(kw_only=True, eq=False)
class RecordChanged(LentilringError):
    """Report that another proposer changed the group's record first, to `current`."""

    group: str
    current: StoredObject | None


@dataclass(kw_only=True, eq=False)
class MajorityUnreachable(LentilringError):
    """Report that too few instances accepted a term."""

    group: str
    term: int
    accepted: tuple[str, ...]
    needed: int


@dataclass(kw_only=True, eq=False)
class PrimaryNotInstalled(LentilringError):
    """Report that the instance chosen as a term's primary did not take on the role."""

    group: str
    term: int
    primary: str


PROMOTION_FAILURES = (RecordChanged, MajorityUnreachable, PrimaryNotInstalled, StoreUnavailable)


@dataclass(frozen=True, kw_only=True)
class TermClaim:
    """Hold the record of a claimed term, and its stored form that opening the term replaces."""

    group: Group
    record: GroupRecord
    stored: StoredObject


@dataclass(frozen=True, kw_only=True)
class FencedGroup:
    """Hold the status of each instance that accepted the claimed term and so refuses lower ones."""

    claim: TermClaim
    statuses: dict[str, ServerStatus]


@dataclass(frozen=True, kw_only=True)
class PrimaryChoice:
    """Hold the fenced instance that becomes primary, and the end of its log."""

    claim: TermClaim
    primary: GroupServer
    end: LogEnd


@dataclass(frozen=True, kw_only=True)
class OpenTerm:
    """Hold the record in force after a promotion."""

    group: Group
    record: GroupRecord
    stored: StoredObject


@dataclass(frozen=True, kw_only=True)
class ForcedPromotion:
    """Report a promotion by operators and what it may have lost.

    With the risk ANY, writes of `previous_term` past `start_position` may be lost although they
    were acknowledged, and instances in `unreachable` may go on acknowledging writes of that term
    until they are told to follow the new primary.
    """

    opened: OpenTerm
    previous_term: int
    start_position: int
    fenced: tuple[str, ...]
    unreachable: tuple[str, ...]
    risk: LossRisk


class Promoter:
    """Run the steps of a promotion for one proposer."""

    def __init__(
        self,
        *,
        store: Store,
        controls: ControlConnections,
        clock: Clock,
        random: Random,
        proposer: str,
        telemetry: Telemetry,
        publish: Callable[[StoredObject], None] | None = None,
        after_step: Callable[[PromotionStep], Awaitable[None]] | None = None,
    ) -> None:
        self._store = store
        self._controls = controls
        self._clock = clock
        self._random = random
        self._proposer = proposer
        self._telemetry = telemetry
        self._publish = publish
        self._after_step = after_step

    async def promote(
        self,
        group: Group,
        stored: StoredObject | None,
        *,
        seen_term: int = 0,
        excluded: frozenset[str] = frozenset(),
    ) -> OpenTerm:
        """Open the term after the one in `stored`; raise one of PROMOTION_FAILURES.

        The new term is also greater than `seen_term`, the greatest term that an instance reported.
        Instances in `excluded` are neither fenced nor chosen.
        """
        claim = await self.claim_term(group, stored, seen_term=seen_term)
        fenced = await self.fence_group(claim, needed=group.majority, excluded=excluded)
        return await self._open_and_install(fenced)

    async def hand_over(self, group: Group, stored: StoredObject) -> OpenTerm:
        """Replace a drained primary without losing any write.

        If only a drained instance has the whole log, it first leads a term that is never opened:
        no statement runs while the others copy the rest of the log. Then the next term is opened.
        """
        claim = await self.claim_term(group, stored)
        fenced = await self.fence_group(claim, needed=group.majority)
        choice = choose_primary(fenced)
        if choice.primary.drained:
            await self._install(claim, choice.primary, choice.end.position)
            await self._await_caught_up_replica(choice)
            claim = await self.claim_term(group, claim.stored)
            fenced = await self.fence_group(claim, needed=group.majority)
        return await self._open_and_install(fenced)

    async def promote_forced(self, group: Group, stored: StoredObject | None) -> ForcedPromotion:
        """Promote one of the instances that answer, even if they are fewer than a majority.

        Only operators request this. It may lose acknowledged writes; the result says which.
        """
        previous = parse_record(stored)
        claim = await self.claim_term(group, stored)
        fenced = await self.fence_group(claim, needed=1)
        opened = await self._open_and_install(fenced)
        names = tuple(sorted(fenced.statuses))
        report = ForcedPromotion(
            opened=opened,
            previous_term=previous.term if previous else 0,
            start_position=opened.record.start_position,
            fenced=names,
            unreachable=tuple(s.name for s in group.servers if s.name not in names),
            risk=LossRisk.UNREPLICATED if len(names) >= group.majority else LossRisk.ANY,
        )
        log.warning("promotion_forced", group=group.name, fenced=",".join(names), risk=report.risk)
        return report

    async def claim_term(
        self, group: Group, stored: StoredObject | None, *, seen_term: int = 0
    ) -> TermClaim:
        """Store the next term as opening; proxies that know the record send no new statements."""
        previous = parse_record(stored)
        record = GroupRecord(
            group=group.name,
            term=max(previous.term if previous else 0, seen_term) + 1,
            primary=previous.primary if previous else "",
            state=GroupState.OPENING,
            term_starts=previous.term_starts if previous else (),
            proposer=self._proposer,
            change_id=self._new_change_id(),
        )
        written = await self._update(record, stored.version if stored else 0)
        log.info("term_claimed", group=group.name, term=record.term, proposer=self._proposer)
        await self._finish_step(PromotionStep.CLAIM)
        return TermClaim(group=group, record=record, stored=written)

    async def fence_group(
        self, claim: TermClaim, *, needed: int, excluded: frozenset[str] = frozenset()
    ) -> FencedGroup:
        """Raise the term of the instances; raise MajorityUnreachable if too few accept it."""
        term = claim.record.term

        async def fence(server: GroupServer) -> ServerStatus:
            return await self._controls.call(
                server.address,
                lambda control, left_s: control.fence(term=term, timeout_s=left_s),
                timeout_s=CONTROL_TIMEOUT_S,
            )

        servers = [server for server in claim.group.servers if server.name not in excluded]
        # A forced promotion that cannot reach a majority waits for the answer of every instance.
        quorum = max(needed, claim.group.majority)
        answers = await collect_answers(servers, fence, quorum=quorum, grace_s=ANSWER_GRACE_S)
        accepted = {name: status for name, status in answers.items() if status.accepted}
        if len(accepted) < needed:
            self._telemetry.count("promotions_stopped", reason="majority_unreachable")
            raise MajorityUnreachable(
                group=claim.group.name, term=term, accepted=tuple(accepted), needed=needed
            )
        await self._finish_step(PromotionStep.FENCE)
        return FencedGroup(claim=claim, statuses=accepted)

    async def open_term(self, choice: PrimaryChoice) -> OpenTerm:
        """Store the primary and start of the claimed term; raise RecordChanged if too late."""
        claim = choice.claim
        start = TermStart(term=claim.record.term, position=choice.end.position)
        record = replace(
            claim.record,
            state=GroupState.OPEN,
            primary=choice.primary.name,
            term_starts=(*claim.record.term_starts, start),
            change_id=self._new_change_id(),
        )
        written = await self._update(record, claim.stored.version)
        log.info(
            "term_opened",
            group=record.group,
            term=record.term,
            primary=record.primary,
            start_position=start.position,
        )
        await self._finish_step(PromotionStep.OPEN)
        return OpenTerm(group=claim.group, record=record, stored=written)

    async def _open_and_install(self, fenced: FencedGroup) -> OpenTerm:
        choice = choose_primary(fenced)
        await self._finish_step(PromotionStep.CHOOSE)
        opened = await self.open_term(choice)
        await self._install(choice.claim, choice.primary, choice.end.position)
        self._telemetry.count("promotions")
        return opened

    async def _install(self, claim: TermClaim, primary: GroupServer, start: int) -> None:
        term = claim.record.term
        replicas = claim.group.others(primary.name)
        addresses = tuple(server.address for server in replicas)

        async def lead(server: GroupServer) -> ServerStatus:
            return await self._controls.call(
                server.address,
                lambda control, left_s: control.lead(
                    term=term,
                    start_position=start,
                    replica_addresses=addresses,
                    timeout_s=left_s,
                ),
                timeout_s=CONTROL_TIMEOUT_S,
            )

        answers = await collect_answers([primary], lead, quorum=1, grace_s=0)
        if not any(status.accepted for status in answers.values()):
            self._telemetry.count("promotions_stopped", reason="primary_not_installed")
            raise PrimaryNotInstalled(group=claim.group.name, term=term, primary=primary.name)
        await self._finish_step(PromotionStep.LEAD)

        async def follow(server: GroupServer) -> ServerStatus:
            return await send_follow(self._controls, server, term, primary.address, start)

        # One replica is enough to confirm writes; the supervisor repeats the request to the rest.
        await collect_answers(replicas, follow, quorum=1, grace_s=ANSWER_GRACE_S)
        await self._finish_step(PromotionStep.FOLLOW)

    async def _await_caught_up_replica(self, choice: PrimaryChoice) -> None:
        async def wait(server: GroupServer) -> ServerStatus:
            return await self._controls.call(
                server.address,
                lambda control, left_s: control.await_position(
                    term=choice.claim.record.term, position=choice.end.position, timeout_s=left_s
                ),
                timeout_s=CATCH_UP_TIMEOUT_S,
            )

        candidates = [server for server in choice.claim.group.servers if not server.drained]
        await collect_answers(candidates, wait, quorum=1, grace_s=0)

    async def _update(self, record: GroupRecord, expected_version: int) -> StoredObject:
        try:
            written = await self._put_with_retries(record, expected_version)
        except RecordChanged as changed:
            self._telemetry.count("promotions_stopped", reason="record_changed")
            if changed.current is not None:
                self._announce(changed.current)
            raise
        except StoreUnavailable:
            self._telemetry.count("promotions_stopped", reason="store_unavailable")
            raise
        self._announce(written)
        return written

    async def _put_with_retries(self, record: GroupRecord, expected_version: int) -> StoredObject:
        """Replace the record with retries; its change id shows whether an earlier try succeeded."""
        for attempt in range(STORE_ATTEMPTS):
            if attempt:
                await self._clock.sleep(STORE_RETRY_DELAY_S)
            try:
                async with asyncio.timeout(STORE_TIMEOUT_S):
                    return await self._put_once(record, expected_version, is_retry=attempt > 0)
            except (StoreUnavailable, TimeoutError):
                continue
        raise StoreUnavailable(operation="put", detail=f"group {record.group}")

    async def _put_once(
        self, record: GroupRecord, expected_version: int, *, is_retry: bool
    ) -> StoredObject:
        current: StoredObject | None = None
        if is_retry:
            current = await self._store.get(Kind.GROUP, record.group)
        if (current.version if current else 0) <= expected_version:
            try:
                return await self._store.put(
                    Kind.GROUP,
                    record.group,
                    format_record(record),
                    expected_version=expected_version,
                )
            except VersionConflict as conflict:
                current = conflict.current
        # An earlier attempt may take effect after the read, so the conflict can be with its change.
        value = current.value if current is not None else None
        if current is not None and value and value.get("change_id") == record.change_id:
            return current
        raise RecordChanged(group=record.group, current=current)

    def _announce(self, stored: StoredObject) -> None:
        if self._publish is not None:
            self._publish(stored)

    def _new_change_id(self) -> str:
        return f"{self._proposer}/{self._random.getrandbits(64):016x}"

    async def _finish_step(self, step: PromotionStep) -> None:
        if self._after_step is not None:
            await self._after_step(step)


def choose_primary(fenced: FencedGroup) -> PrimaryChoice:
    """Return the fenced instance with the greatest log end.

    Among equal instances, prefer undrained ones, then the old primary, whose caches are warm.
    """
    claim = fenced.claim
    ends = {
        name: find_log_end(status, claim.record.term_starts)
        for name, status in fenced.statuses.items()
    }
    greatest = max(ends.values())

    def order(server: GroupServer) -> tuple[bool, bool, float]:
        rank = -score_member(claim.group.name, server.name)
        return server.drained, server.name != claim.record.primary, rank

    equal = [server for server in claim.group.servers if ends.get(server.name) == greatest]
    return PrimaryChoice(claim=claim, primary=min(equal, key=order), end=greatest)


async def send_follow(
    controls: ControlConnections,
    server: GroupServer,
    term: int,
    primary_address: str,
    start_position: int,
) -> ServerStatus:
    """Tell an instance to replicate from a term's primary."""
    return await controls.call(
        server.address,
        lambda control, left_s: control.follow(
            term=term,
            primary_address=primary_address,
            start_position=start_position,
            timeout_s=left_s,
        ),
        timeout_s=CONTROL_TIMEOUT_S,
    )
