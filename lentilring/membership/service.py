"""Membership service: combines gossip with the platform's list of VMs."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from random import Random

from ..clock import Clock
from ..kernel import Service
from ..peers.transport import PeerTransport
from ..placement import rank_members
from ..platform.store import Store, StoreUnavailable, VmEntry, VmState
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .gossip import JITTER, GossipProtocol
from .member import UNKNOWN_INCARNATION, Listing, Member, MemberState
from .status import Status, StatusTable
from .table import MemberTable, with_listing

POLL_INTERVAL_S = 5.0
POLLERS_PER_REGION = 2
LIST_TIMEOUT_S = 1.0
JOIN_PEERS = 3
# Time for which records of dead members are kept, so that a late message cannot revive them.
RETENTION_S = 3600.0
HOUSEKEEPING_INTERVAL_S = 60.0
# Maximum age of the revisions that `members()` returns; `revision_of` is always current.
MEMBERS_CACHE_S = 1.0
# Ranking a region takes up to 1 ms at the design size, and callers ask 10 times a second.
ASSIGNMENT_CACHE_S = 1.0

log = Log(source="membership")


class MembershipService(Service):
    """Provide the members of the fleet, their states and the statuses that they report."""

    def __init__(
        self,
        *,
        local: Member,
        clock: Clock,
        random: Random,
        transport: PeerTransport,
        store: Store,
        telemetry: Telemetry,
        seeds: Sequence[str] = (),
    ) -> None:
        self._clock = clock
        self._random = random
        self._store = store
        self._telemetry = telemetry
        self._seeds = tuple(seeds)
        self._table = MemberTable(local=local)
        self._statuses = StatusTable()
        self._gossip = GossipProtocol(
            table=self._table,
            statuses=self._statuses,
            clock=clock,
            random=random,
            transport=transport,
            telemetry=telemetry,
        )
        self._callbacks: list[Callable[[], None]] = []
        self._members: tuple[Member, ...] | None = None
        self._local: tuple[Member, int, Member] | None = None
        self._members_change_count = 0
        self._members_built_at = 0.0
        self._store_down: tuple[int, bool] | None = None
        self._assignments: dict[str, tuple[float, bool]] = {}
        self._listing_changed_at: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._table.subscribe(self._handle_change)

    @property
    def local(self) -> Member:
        """Return the local member."""
        record = self._table.local
        revision = self.revision_of(record)
        if self._local is None or self._local[0] is not record or self._local[1] != revision:
            self._local = (record, revision, self._build_member(record))
        return self._local[2]

    async def start(self) -> None:
        """Read the platform's list once, start gossip and join the fleet through a few peers."""
        addresses = await self._find_join_addresses()
        self._gossip.start()
        await self._join(addresses)
        self._tasks = [
            asyncio.ensure_future(self._run_polls()),
            asyncio.ensure_future(self._run_housekeeping()),
        ]

    async def drain(self, *, deadline_s: float) -> None:
        """Announce that the local member is leaving."""
        self.leave()

    async def stop(self) -> None:
        """Stop gossip and polling."""
        self._gossip.stop()
        for task in self._tasks:
            task.cancel()

    def members(self) -> tuple[Member, ...]:
        """Return the members that may be chosen for new work."""
        if self._members is None or self._revisions_are_old():
            records = self._table.records.values()
            usable = (self._build_member(entry) for entry in records if entry.is_usable)
            self._members = tuple(sorted(usable, key=lambda entry: entry.vm))
            self._members_change_count = self._statuses.change_count
            self._members_built_at = self._clock.monotonic()
        return self._members

    def find(self, vm: str) -> Member | None:
        """Return the member on a VM, including a dead or leaving one."""
        record = self._table.records.get(vm)
        return None if record is None else self._build_member(record)

    def peers(self) -> tuple[Member, ...]:
        """Return the other members that are not dead, including leaving ones."""
        return self._gossip.peers()

    def choose_peers(self, count: int) -> list[Member]:
        """Return up to `count` random peers."""
        return self._gossip.choose_peers(count)

    def known_members(self) -> tuple[Member, ...]:
        """Return all members, including the local one, except dead ones that the list removed.

        Other dead members count: an isolated node sees all others as dead and must not treat
        itself as the majority.
        """
        records = self._table.records.values()
        return tuple(entry for entry in records if entry.is_running or not entry.is_removed)

    def store_is_down(self) -> bool:
        """Tell whether a majority of the known members reports that the store is down."""
        if self._store_down is None or self._store_down[0] != self._statuses.change_count:
            self._store_down = (self._statuses.change_count, self._count_store_down())
        return self._store_down[1]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of a member's state, address or listing."""
        self._callbacks.append(callback)

    def leave(self) -> None:
        """Announce that the local member is leaving; repeated calls have no effect."""
        if self._table.local.state is not MemberState.LEAVING:
            self._gossip.announce_leaving()

    def process_has_ended(self, vm: str, incarnation: int) -> bool:
        """Tell whether a process on a VM is proven to have ended.

        A VM removed from the list does not prove this while gossip still reaches the process,
        because the list may be wrong for some time.
        """
        record = self._table.records.get(vm)
        if record is None:
            return False
        if record.incarnation > incarnation:
            return True
        same_process = record.incarnation in (incarnation, UNKNOWN_INCARNATION)
        return same_process and record.is_removed and not record.is_running

    def report_revision(self, revision: int) -> None:
        """Announce the configuration revision up to which the local node has all changes."""
        status = self._statuses.get(self._table.local.key)
        self._statuses.merge(self._table.local.key, status._replace(revision=revision))

    def report_store(self, *, is_down: bool) -> None:
        """Announce whether the local node considers the store down."""
        status = self._statuses.get(self._table.local.key)
        if status.store_is_down != is_down:
            flipped = Status(revision=status.revision, flips=status.flips + 1)
            self._statuses.merge(self._table.local.key, flipped)

    def revision_of(self, member: Member) -> int:
        """Return the newest configuration revision that a member has reported."""
        return self._statuses.get(member.key).revision

    def is_assigned(self, task: str, *, count: int) -> bool:
        """Tell whether the local node is one of the `count` nodes that do a task for its region."""
        now = self._clock.monotonic()
        known = self._assignments.get(task)
        if known is not None and now - known[0] < ASSIGNMENT_CACHE_S:
            return known[1]
        local = self._table.local
        records = self._table.records.values()
        usable = [entry for entry in records if entry.is_usable and entry.region == local.region]
        ranked = rank_members(f"{task}.{local.region}", usable)
        assigned = local.vm in {entry.vm for entry in ranked[:count]}
        self._assignments[task] = (now, assigned)
        return assigned

    def _count_store_down(self) -> bool:
        known = self.known_members()
        if len(known) < 2:
            # A node that knows no other member cannot distinguish an outage from its own isolation.
            return False
        # The last report of a dead member says nothing about the store's current state.
        down = sum(
            entry.is_running and self._statuses.get(entry.key).store_is_down for entry in known
        )
        return down * 2 > len(known)

    def _revisions_are_old(self) -> bool:
        return (
            self._members_change_count != self._statuses.change_count
            and self._clock.monotonic() - self._members_built_at >= MEMBERS_CACHE_S
        )

    def _build_member(self, record: Member) -> Member:
        state = record.state
        if record.listing is Listing.LEAVING and record.is_running:
            state = MemberState.LEAVING
        return replace(record, state=state, revision=self.revision_of(record))

    def _handle_change(self, previous: Member | None, record: Member) -> None:
        self._members = None
        self._store_down = None
        if previous is None or previous.listing_version != record.listing_version:
            self._listing_changed_at[record.vm] = self._clock.monotonic()
        if record.is_running:
            self._dead_since.pop(record.vm, None)
        else:
            self._dead_since.setdefault(record.vm, self._clock.monotonic())
        for callback in self._callbacks:
            try:
                callback()
            except Exception as error:
                # A failure in one subscriber must not prevent the others from being called.
                self._telemetry.count("membership_callback_failures")
                log.error("callback_failed", vm=record.vm, error=repr(error))

    async def _find_join_addresses(self) -> list[str]:
        await self._poll(starting=True)
        listed = [entry.address for entry in self._gossip.lost_members()]
        self._random.shuffle(listed)
        return listed or [seed for seed in self._seeds if seed != self._table.local.address]

    async def _join(self, addresses: list[str]) -> None:
        """Exchange tables with a few peers at a time until one answers.

        When none answers, the gossip protocol's reconnection and the polls try further.
        """
        for start in range(0, len(addresses), JOIN_PEERS):
            batch = addresses[start : start + JOIN_PEERS]
            joined = await asyncio.gather(*(self._gossip.sync(address) for address in batch))
            if any(joined):
                return
            if start >= 2 * JOIN_PEERS:
                break
        if addresses:
            log.warning("join_unanswered", tried=len(addresses))

    async def _run_polls(self) -> None:
        while True:
            await self._clock.sleep(POLL_INTERVAL_S * self._random.uniform(1 - JITTER, 1 + JITTER))
            if not self._gossip.peers() and self._seeds:
                await self._gossip.sync(self._random.choice(self._seeds))
            if self.is_assigned("vm-list", count=POLLERS_PER_REGION):
                await self._poll()

    async def _poll(self, *, starting: bool = False) -> None:
        sent_at = self._clock.monotonic()
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                entries = await self._store.list_vms()
        except (StoreUnavailable, TimeoutError):
            self._telemetry.count("membership_list_failures")
            return
        # A starting node's peers already know the list, so it does not spread what it read.
        claims = [self._build_claim(entry) for entry in entries]
        if starting:
            self._table.merge_table(claims, spread=False)
        else:
            self._merge(claims)
        self._apply_removals({entry.name for entry in entries}, sent_at)

    def _merge(self, claims: Iterable[Member]) -> None:
        for claim in claims:
            self._table.merge(claim)

    def _build_claim(self, entry: VmEntry) -> Member:
        listing = Listing.LEAVING if entry.state is VmState.LEAVING else Listing.LIVE
        record = self._table.records.get(entry.name) or Member(
            vm=entry.name,
            address=entry.address,
            failure_domain=entry.failure_domain,
            region=entry.region,
            incarnation=UNKNOWN_INCARNATION,
            state=MemberState.DEAD,
        )
        return record if record.listing is listing else with_listing(record, listing)

    def _apply_removals(self, listed: set[str], sent_at: float) -> None:
        for record in list(self._table.records.values()):
            is_listed = record.listing in (Listing.LIVE, Listing.LEAVING)
            # A listing learned after this request was sent may come from a later read of the list.
            learned_before = self._listing_changed_at.get(record.vm, sent_at) < sent_at
            if is_listed and learned_before and record.vm not in listed:
                self._table.merge(with_listing(record, Listing.REMOVED))
                log.info("vm_removed_from_list", vm=record.vm, incarnation=record.incarnation)

    async def _run_housekeeping(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_INTERVAL_S)
            self._forget_expired()

    def _forget_expired(self) -> None:
        oldest = self._clock.monotonic() - RETENTION_S
        expired = [vm for vm, since in self._dead_since.items() if since < oldest]
        records = self._table.records
        forgotten = [vm for vm in expired if vm in records and self._may_forget(records[vm])]
        self._table.forget(forgotten)
        self._members = self._store_down = None
        for vm in forgotten:
            self._dead_since.pop(vm, None)
            self._listing_changed_at.pop(vm, None)
        self._statuses.retain({record.key for record in records.values()})

    def _may_forget(self, record: Member) -> bool:
        return record.listing in (Listing.REMOVED, Listing.NEVER)
