"""The table of members and the rules by which claims about them are merged."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import lru_cache

import xxhash

from .dissemination import DisseminationQueue, transmission_limit
from .member import Listing, Member, MemberState
from .sizes import estimate_size

# Received duplicates count as well, so a node sends about half of these. With 1.5, a node of 27
# had not heard that a member leaves after 2 s.
TRANSMISSION_MULTIPLIER = 3.0
# A larger difference between two tables, as after a start or a partition, is left to the exchange
# of tables; spreading it by datagrams took a minute at 243 nodes and all of their budget.
MAX_SPREAD_CHANGES = 16


class MemberTable:
    """Keep the strongest claim about each VM; the local process denies false ones."""

    def __init__(self, *, local: Member) -> None:
        self.local = local
        self.records: dict[str, Member] = {local.vm: local}
        self.superseded = False
        self._queue: DisseminationQueue[str] = DisseminationQueue()
        self._queue.add(local.vm)
        self._callbacks: list[Callable[[Member | None, Member], None]] = []

    def __bool__(self) -> bool:
        return bool(self._queue)

    def subscribe(self, callback: Callable[[Member | None, Member], None]) -> None:
        """Call back with the old and the new record of a VM after each change."""
        self._callbacks.append(callback)

    def merge(self, claim: Member) -> bool:
        """Apply a claim as far as it is stronger; tell whether anything changed."""
        if claim.vm == self.local.vm:
            return self._merge_local(claim)
        current = self.records.get(claim.vm)
        if current is None:
            return self._put(replace(claim, revision=0))
        merged = current
        if claim.precedence > current.precedence:
            blank = replace(claim, revision=0, listing=Listing.NEVER, listing_version=0)
            merged = _merge_listing(blank, current)
        merged = _merge_listing(merged, claim)
        if merged == current and claim.precedence == current.precedence:
            self._queue.note_duplicate(claim.vm, limit=self._limit())
        return self._put(merged)

    def merge_table(self, claims: Iterable[Member], *, spread: bool) -> None:
        """Apply a whole table; spread its changes further only if asked and if they are few."""
        queued = set(self._queue)
        changed = [claim.vm for claim in claims if self.merge(claim)]
        if spread and len(changed) <= MAX_SPREAD_CHANGES:
            return
        for vm in changed:
            if vm != self.local.vm and vm not in queued:
                self._queue.discard(vm)

    def claim_state(self, member: Member, state: MemberState) -> bool:
        """Apply the local node's own verdict on a member."""
        return self.merge(replace(member, state=state))

    def announce_leaving(self) -> None:
        """Change the local state to leaving."""
        refutation = self.local.refutation + 1
        self._put(replace(self.local, state=MemberState.LEAVING, refutation=refutation))

    def take(self, *, budget: int) -> tuple[Member, ...]:
        """Return queued records that fit in `budget` bytes."""

        def measure(vm: str) -> int:
            return measure_member(self.records[vm])

        taken = self._queue.take(limit=self._limit(), budget=budget, measure=measure)
        return tuple(self.records[vm] for vm in taken)

    def forget(self, vms: Iterable[str]) -> None:
        """Remove records of VMs that are gone."""
        for vm in vms:
            self.records.pop(vm, None)
            self._queue.discard(vm)

    def digest(self) -> int:
        """Return a hash that is equal for equal tables."""
        rows = sorted(
            (entry.vm, *entry.precedence, *entry.listing_precedence)
            for entry in self.records.values()
        )
        return int(xxhash.xxh64_intdigest(repr(rows).encode())) - 2**63

    def _limit(self) -> int:
        return transmission_limit(len(self.records), multiplier=TRANSMISSION_MULTIPLIER)

    def _merge_local(self, claim: Member) -> bool:
        local = self.local
        if claim.incarnation > local.incarnation:
            # A newer process runs under this VM's name; denying its claims would never end.
            self.superseded = True
            return False
        merged = _merge_listing(local, claim)
        if claim.precedence > local.precedence:
            merged = replace(merged, refutation=claim.refutation + 1)
        return self._put(merged)

    def _put(self, record: Member) -> bool:
        current = self.records.get(record.vm)
        if record == current:
            return False
        self.records[record.vm] = record
        if record.vm == self.local.vm:
            self.local = record
        self._queue.add(record.vm)
        for callback in self._callbacks:
            callback(current, record)
        return True


@lru_cache(maxsize=4096)
def measure_member(member: Member) -> int:
    """Return a member's size in bytes; the same records are measured for many datagrams."""
    return estimate_size(member)


def _merge_listing(record: Member, other: Member) -> Member:
    """Take the other's reading of the list if it is newer.

    The removal of an earlier process says nothing about a process that started after it.
    """
    outdated = other.listing is Listing.REMOVED and other.incarnation < record.incarnation
    reading = relist(other, Listing.NEVER) if outdated else other
    if reading.listing_precedence <= record.listing_precedence:
        return record
    return replace(record, listing=reading.listing, listing_version=reading.listing_version)


def relist(record: Member, listing: Listing) -> Member:
    """Return a record with a new reading of the platform's list."""
    return replace(record, listing=listing, listing_version=record.listing_version + 1)
