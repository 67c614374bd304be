"""Contending for shares, renewing and releasing their leases, and changes of their number."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from random import Random

from ..clock import Clock
from ..outcomes import JsonValue
from ..peers.transport import PeerTransport
from ..placement import rank_members
from ..platform.store import Kind, Snapshot, Store, StoredObject, StoreUnavailable
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .bucket import GRANT_LIFETIME_S, GRANT_MARGIN_S
from .directory import LimitMember, LimitMembership, ShareDirectory
from .lease import AcquireResult, Lease, LeaseHolder, read_holder
from .lender import Lender, Tenure
from .messages import ShareAnnouncement, ShareHolder, ShareOffer

TICK_S = 0.25  # bounds how late a share is taken over once its holder is proven gone
CONTEND_INTERVAL_S = 5.0  # between reads of a record whose holder is missing but not proven gone
REBALANCE_INTERVAL_S = 10.0  # between shares that a proxy with more than its part gives up
GIVEN_UP_S = 30.0  # for which a proxy leaves a share that it gave up to others
CONTENDERS = 3  # members that contend for a share without a holder
CONTENDER_PATIENCE_S = 5.0  # for each rank, before the next contender begins
COUNT_CHECK_INTERVAL_S = 5.0
RELEASE_POLL_S = 0.05
SETTLE_S = GRANT_LIFETIME_S + GRANT_MARGIN_S


@dataclass(frozen=True, kw_only=True)
class SeenRecord:
    """Remember since when a share's record has had a version."""

    version: int
    since: float


class ShareLeaseManager:
    """Hold this node's fair part of the shares."""

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        store: Store,
        transport: PeerTransport,
        telemetry: Telemetry,
        membership: LimitMembership,
        directory: ShareDirectory,
        lender: Lender,
        count_shares: Callable[[], int],
        duration_s: float,
        margin_s: float,
    ) -> None:
        self._clock, self._random, self._store = clock, random, store
        self._transport, self._telemetry = transport, telemetry
        self._membership, self._directory, self._lender = membership, directory, lender
        self._count_shares = count_shares
        self._duration_s, self._margin_s = duration_s, margin_s
        self._log = Log(source="limits")
        self._leases: dict[int, Lease] = {}
        self._ranks: dict[int, int] = {}
        self._ranked_for: tuple[int, tuple[LimitMember, ...]] = (0, ())
        self._missing_since: dict[int, float] = {}
        self._attempt_at: dict[int, float] = {}
        self._store_retry_at = 0.0
        self._busy: dict[int, asyncio.Task[None]] = {}
        self._announced_count = 0
        self._counts: frozenset[int] = frozenset()
        self._counts_known = False
        self._check_at = 0.0
        self._seen: dict[str, SeenRecord] = {}
        self._gone_since: dict[LeaseHolder, float] = {}
        self._rebalance_at = float("inf")
        self._given_up: dict[int, float] = {}
        self._offered: set[int] = set()
        self._unreleased: set[int] = set()
        self.stopping = False

    def share_counts(self) -> frozenset[int]:
        """Return the numbers of shares that holders may divide by now; none before it is known."""
        if not self._counts_known:
            return frozenset()
        return self._counts | {self._count_shares()}

    async def tick(self) -> None:
        """Start what is due: attempts, renewals, releases and checks of the number of shares."""
        count = self._count_shares()
        if count != self._announced_count:
            # From now on until all holders have taken it, the least of both divisions applies.
            self._counts |= {self._announced_count or count, count}
            self._announced_count, self._check_at = count, 0.0
            for tenure in self._lender.tenures.values():
                tenure.lease.renew_at = 0.0
        self._update_ranks(count)
        for share in sorted(self._lender.tenures):
            self._keep(share, count)
        if not self.stopping:
            self._rebalance(count)
            for share in range(count):
                self._contend(share)
        if self._lender.tenures and self._clock.monotonic() >= self._check_at:
            await self._check_counts()

    async def release_all(self, *, deadline_s: float) -> None:
        """Stop granting, wait until no grant is outstanding, and release all leases."""
        self.stopping = True
        for tenure in self._lender.tenures.values():
            tenure.closing = True
        end = self._clock.monotonic() + deadline_s
        if self._busy:
            await asyncio.wait(self._busy.values(), timeout=deadline_s)
        shares = list(self._lender.tenures)
        await asyncio.gather(*(self._release(share, end) for share in shares))

    def stop(self) -> None:
        """End running store calls."""
        for task in self._busy.values():
            task.cancel()

    def _keep(self, share: int, count: int) -> None:
        tenure, now = self._lender.tenures[share], self._clock.monotonic()
        if not tenure.closing and share >= count and self.share_counts() == {count}:
            tenure.closing = True
            self._begin(share, partial(self._release, share, now + SETTLE_S))
        elif not tenure.closing and now >= tenure.lease.renew_at:
            self._begin(share, partial(self._renew, share, tenure))

    def _fair_part(self, count: int) -> int:
        """Return how many shares this proxy holds at most when all proxies hold alike."""
        return max(1, math.ceil(count / max(1, len(self._membership.members()))))

    def _rebalance(self, count: int) -> None:
        """Give up one share at a time while this proxy holds more than its part.

        The first proxies of a deployment take all shares, and the loss of one of them would then
        cost most of the rate. A share is out of use for about the lifetime of its grants.
        """
        now = self._clock.monotonic()
        if len(self._lender.tenures) <= self._fair_part(count):
            self._rebalance_at = float("inf")
            return
        if self._rebalance_at == float("inf"):
            self._rebalance_at = now + REBALANCE_INTERVAL_S * self._random.uniform(0.5, 1.5)
        if now < self._rebalance_at:
            return
        self._rebalance_at = now + REBALANCE_INTERVAL_S * self._random.uniform(0.8, 1.2)
        share = max(self._lender.tenures, key=lambda held: self._ranks.get(held, CONTENDERS))
        target = self._find_least_loaded(share)
        if target is None or share in self._busy or self._lender.tenures[share].closing:
            return
        self._telemetry.count("limit_shares_rebalanced")
        self._lender.tenures[share].closing = True
        self._given_up[share] = now + GIVEN_UP_S
        self._begin(share, partial(self._hand_over, share, target, now + SETTLE_S))

    def _find_least_loaded(self, share: int) -> LimitMember | None:
        """Return the member with the fewest shares if it has clearly fewer than this proxy."""
        local = self._membership.local.vm
        loads = Counter(holder.vm for holder in self._directory.list_holders() if holder.vm)
        others = [member for member in self._membership.members() if member.vm != local]
        ranked = rank_members(f"share-{share}", others)
        target = min(ranked, key=lambda member: loads[member.vm], default=None)
        if target is None or loads[target.vm] + 1 >= len(self._lender.tenures):
            return None
        return target

    async def _hand_over(self, share: int, target: LimitMember, end: float) -> None:
        await self._release(share, end)
        if share not in self._lender.tenures:
            self._transport.send_datagram(target.address, ShareOffer(share=share))

    def accept_offer(self, offer: ShareOffer) -> None:
        """Contend at once for a share that its holder gave up for this proxy."""
        if not self.stopping and 0 <= offer.share < self._count_shares():
            self._offered.add(offer.share)

    def _contend(self, share: int) -> None:
        now = self._clock.monotonic()
        if share in self._lender.tenures or share in self._busy:
            return
        if self._directory.find_member(share) is not None:
            self._missing_since.pop(share, None)
            return
        missing_since = self._missing_since.setdefault(share, now)
        if share in self._offered:
            self._offered.discard(share)
        elif share not in self._unreleased and now < self._find_turn(share, missing_since):
            return
        entry = self._directory.find(share)
        gone = entry is None or self._membership.process_has_ended(entry.vm, entry.incarnation)
        wait = (
            self._store_retry_at
            if gone
            else max(self._store_retry_at, self._attempt_at.get(share, 0.0))
        )
        if now >= wait:
            self._begin(share, partial(self._attempt, share))

    def _find_turn(self, share: int, missing_since: float) -> float:
        """Return from when on this proxy may contend for a share without a holder."""
        rank = self._ranks.get(share)
        if rank is None:
            return float("inf")
        return max(self._given_up.get(share, 0.0), missing_since + rank * CONTENDER_PATIENCE_S)

    def _begin(self, share: int, work: Callable[[], Coroutine[None, None, None]]) -> None:
        if share in self._busy:
            return
        task = asyncio.ensure_future(work())
        self._busy[share] = task
        task.add_done_callback(lambda _: self._busy.pop(share, None))

    async def _attempt(self, share: int) -> None:
        lease = self._leases.get(share)
        if lease is None:
            lease = self._leases[share] = self._make_lease(share)
        interval = CONTEND_INTERVAL_S * self._random.uniform(0.8, 1.2)
        self._attempt_at[share] = self._clock.monotonic() + interval
        result = await lease.acquire()
        self._telemetry.count("limit_lease_attempts", result=result.value)
        if result is AcquireResult.STORE_UNAVAILABLE:
            # Otherwise an outage would bring calls of all contenders at every tick.
            self._store_retry_at = self._clock.monotonic() + interval
        else:
            self._unreleased.discard(share)
        if result is AcquireResult.HELD_BY_OTHER:
            self._learn(lease.seen)
        if result is not AcquireResult.ACQUIRED:
            return
        # Other holders may divide by another number: no grants before the records were read.
        self._counts_known, self._check_at = False, 0.0
        self._lender.tenures[share] = Tenure(lease=lease, closing=self.stopping)
        self._announce(share, lease, vm=self._membership.local.vm)
        self._log.info("share_acquired", share=share, usable_from=lease.usable_from)
        await self._check_counts()

    async def _renew(self, share: int, tenure: Tenure) -> None:
        renewed = await tenure.lease.renew()
        self._telemetry.count("limit_renewals", result="renewed" if renewed else "failed")
        if not tenure.lease.is_held(for_s=SETTLE_S):
            self._drop(share)
        elif renewed and tenure.lease.record is not None:
            self._directory.merge([self._describe(share, tenure.lease, self._membership.local.vm)])

    def _drop(self, share: int) -> None:
        lease = self._lender.tenures.pop(share).lease
        self._log.warning("share_lost", share=share)
        if lease.record is not None:
            self._announce(share, lease, vm="")

    async def _release(self, share: int, end: float) -> None:
        """Release a closing share; its lease ends by itself if grants outlast the deadline."""
        while self._lender.count_outstanding(share) > 0:
            if self._clock.monotonic() >= end:
                return
            await self._clock.sleep(RELEASE_POLL_S)
        tenure = self._lender.tenures.pop(share, None)
        record = tenure.lease.record if tenure is not None else None
        if tenure is None or record is None:
            return
        released = await tenure.lease.release()
        holder = self._describe_record(share, record, vm="")
        self._directory.merge([holder])
        if not released:
            # The record still names this live process, so only it can take the share again soon.
            self._unreleased.add(share)
            return
        self._send(holder)
        self._log.info("share_released", share=share)

    async def _check_counts(self) -> None:
        """Read all records to see by which numbers of shares their holders divide."""
        self._check_at = self._clock.monotonic() + COUNT_CHECK_INTERVAL_S
        count = self._count_shares()
        try:
            snapshot = await self._store.list([Kind.SHARE])
        except StoreUnavailable:
            return
        own_taken = all(
            _read_count(tenure.lease.record) == count for tenure in self._lender.tenures.values()
        )
        self._counts = self._find_counts(snapshot) | {count}
        self._counts_known = True
        if self._counts == {count} and own_taken:
            # Nothing changes from here on before the settings do or another share is acquired.
            self._check_at = float("inf")

    def _find_counts(self, snapshot: Snapshot) -> frozenset[int]:
        now = self._clock.monotonic()
        counts = set()
        for record in snapshot.objects:
            holder = read_holder(record)
            seen = self._seen.get(record.name)
            if seen is None or seen.version != record.version:
                seen = self._seen[record.name] = SeenRecord(version=record.version, since=now)
            if not self._has_ended(holder, seen, now):
                counts.add(_read_count(record))
            self._learn(record)
        return frozenset(counts - {0})

    def _has_ended(self, holder: LeaseHolder, seen: SeenRecord, now: float) -> bool:
        if not holder.vm or now - seen.since >= self._duration_s + self._margin_s:
            return True
        if not self._membership.process_has_ended(holder.vm, holder.incarnation):
            return False
        # The grants of a holder that is gone can be used a little longer.
        return now - self._gone_since.setdefault(holder, now) >= SETTLE_S

    def _learn(self, record: StoredObject | None) -> None:
        if record is None:
            return
        self._directory.merge(
            [self._describe_record(int(record.name), record, vm=read_holder(record).vm)]
        )

    def _make_lease(self, share: int) -> Lease:
        local = self._membership.local
        return Lease(
            store=self._store,
            clock=self._clock,
            random=self._random,
            kind=Kind.SHARE,
            name=str(share),
            vm=local.vm,
            incarnation=local.incarnation,
            is_gone=self._membership.process_has_ended,
            duration_s=self._duration_s,
            margin_s=self._margin_s,
            settle_s=SETTLE_S,
            describe=self._describe_self,
        )

    def _describe_self(self) -> dict[str, JsonValue]:
        return {"address": self._membership.local.address, "shares": self._count_shares()}

    def _announce(self, share: int, lease: Lease, *, vm: str) -> None:
        holder = self._describe(share, lease, vm)
        self._directory.merge([holder])
        self._send(holder)

    def _send(self, holder: ShareHolder) -> None:
        local = self._membership.local
        for member in self._membership.members():
            if member.vm != local.vm:
                self._transport.send_datagram(member.address, ShareAnnouncement(holder=holder))

    def _describe(self, share: int, lease: Lease, vm: str) -> ShareHolder:
        assert lease.record is not None
        return self._describe_record(share, lease.record, vm=vm)

    def _describe_record(self, share: int, record: StoredObject, *, vm: str) -> ShareHolder:
        address = (record.value or {}).get("address", "")
        return ShareHolder(
            share=share,
            vm=vm,
            incarnation=read_holder(record).incarnation,
            address=address if isinstance(address, str) else "",
            version=record.version,
        )

    def _update_ranks(self, count: int) -> None:
        members = self._membership.members()
        if (count, members) == self._ranked_for:
            return
        self._ranked_for = (count, members)
        local = self._membership.local.vm
        self._ranks = {}
        for share in range(count):
            ranked: list[LimitMember] = rank_members(f"share-{share}", members)
            for rank, member in enumerate(ranked[:CONTENDERS]):
                if member.vm == local:
                    self._ranks[share] = rank


def _read_count(record: StoredObject | None) -> int:
    count = ((record.value if record is not None else None) or {}).get("shares", 0)
    return count if isinstance(count, int) else 0
