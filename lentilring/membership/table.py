"""Table of members and the rules for merging claims about them.

A claim is a `Member` record that a node sends or reads; merging keeps the claim that wins.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import lru_cache

import xxhash

from .dissemination import DisseminationQueue, transmission_limit
from .member import Listing, Member, MemberState
from .sizes import estimate_size

# Received duplicates also count as sent, so a node sends a change about half as often as the limit
# allows. With 1.5, one node of 27 still did not know after 2 s that a member was leaving.
TRANSMISSION_MULTIPLIER = 3.0
# More changes than this in one table exchange, as after a start or a partition, are not spread by
# datagrams: at 243 nodes that took a minute and used the whole datagram budget. Table exchanges
# spread them instead.
MAX_SPREAD_CHANGES = 16


class MemberTable:
    """Keep the winning claim about each VM and refute false claims about the local process."""

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
        """Call `callback` with the old and the new record of a VM after each change."""
        self._callbacks.append(callback)

    def merge(self, claim: Member) -> bool:
        """Apply the parts of a claim that win over the current record; tell whether it changed."""
        if claim.vm == self.local.vm:
            return self._merge_local(claim)
        current = self.records.get(claim.vm)
        if current is None:
            return self._store_record(replace(claim, revision=0))
        merged = current
        if claim.precedence > current.precedence:
            unlisted = replace(claim, revision=0, listing=Listing.NEVER, listing_version=0)
            merged = _merge_listing(unlisted, current)
        merged = _merge_listing(merged, claim)
        if merged == current and claim.precedence == current.precedence:
            self._queue.count_duplicate(claim.vm, limit=self._limit())
        return self._store_record(merged)

    def merge_table(self, claims: Iterable[Member], *, spread: bool) -> None:
        """Merge a peer's table; gossip its changes only with `spread` and if they are few."""
        queued = set(self._queue)
        changed = [claim.vm for claim in claims if self.merge(claim)]
        if spread and len(changed) <= MAX_SPREAD_CHANGES:
            return
        for vm in changed:
            if vm != self.local.vm and vm not in queued:
                self._queue.discard(vm)

    def claim_state(self, member: Member, state: MemberState) -> bool:
        """Apply the local node's claim about the state of a member."""
        return self.merge(replace(member, state=state))

    def announce_leaving(self) -> None:
        """Set the local member's state to leaving."""
        refutation = self.local.refutation + 1
        self._store_record(replace(self.local, state=MemberState.LEAVING, refutation=refutation))

    def select_updates(self, *, budget: int) -> tuple[Member, ...]:
        """Select queued records for one datagram, up to `budget` bytes."""

        def measure(vm: str) -> int:
            return estimate_member_size(self.records[vm])

        selected = self._queue.select_keys(limit=self._limit(), budget=budget, measure=measure)
        return tuple(self.records[vm] for vm in selected)

    def forget(self, vms: Iterable[str]) -> None:
        """Remove the records of some VMs."""
        for vm in vms:
            self.records.pop(vm, None)
            self._queue.discard(vm)

    def digest(self) -> int:
        """Return a hash of the table; equal tables have equal hashes."""
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
            # A newer process has this VM's name; the two would refute each other's claims forever.
            self.superseded = True
            return False
        merged = _merge_listing(local, claim)
        if claim.precedence > local.precedence:
            merged = replace(merged, refutation=claim.refutation + 1)
        return self._store_record(merged)

    def _store_record(self, record: Member) -> bool:
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
def estimate_member_size(member: Member) -> int:
    """Return a member's maximum encoded size in bytes, cached because many datagrams carry it."""
    return estimate_size(member)


def _merge_listing(record: Member, other: Member) -> Member:
    """Return `record` with the listing of `other` if that is newer.

    A removal that applies to an earlier process does not apply to a process started after it.
    """
    outdated = other.listing is Listing.REMOVED and other.incarnation < record.incarnation
    applicable = with_listing(other, Listing.NEVER) if outdated else other
    if applicable.listing_precedence <= record.listing_precedence:
        return record
    return replace(record, listing=applicable.listing, listing_version=applicable.listing_version)


def with_listing(record: Member, listing: Listing) -> Member:
    """Return a copy of a record with a new listing and the next listing version."""
    return replace(record, listing=listing, listing_version=record.listing_version + 1)
