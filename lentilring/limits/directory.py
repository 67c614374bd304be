"""Which process holds which share, as far as this node has heard."""

from collections.abc import Iterable
from typing import Protocol

import xxhash

from .messages import ShareHolder


class LimitMember(Protocol):
    """Name what the limits need to know of a member."""

    @property
    def vm(self) -> str:
        """Return the VM's name."""
        ...

    @property
    def address(self) -> str:
        """Return the address of the peer transport, `ip:port`."""
        ...

    @property
    def failure_domain(self) -> str:
        """Return the failure domain's name."""
        ...

    @property
    def region(self) -> str:
        """Return the region's name."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the process."""
        ...

    @property
    def weight(self) -> float:
        """Return the share of work relative to other members."""
        ...


class LimitMembership(Protocol):
    """Name what the limits need of the membership service."""

    @property
    def local(self) -> LimitMember:
        """Return this process as a member."""
        ...

    def members(self) -> tuple[LimitMember, ...]:
        """Return the usable members."""
        ...

    def process_has_ended(self, vm: str, incarnation: int) -> bool:
        """Tell whether an incarnation of a VM is proven to have ended."""
        ...


class ShareDirectory:
    """Keep the newest known holder of each share.

    It only saves calls: a holder checks its own lease, so a wrong entry costs a refusal with a
    hint, never a token too many.
    """

    def __init__(self, *, membership: LimitMembership) -> None:
        self._membership = membership
        self._entries: dict[int, ShareHolder] = {}
        self._members: tuple[LimitMember, ...] = ()
        self._members_by_vm: dict[str, LimitMember] = {}

    def merge(self, holders: Iterable[ShareHolder]) -> None:
        """Take the entries that are newer than the known ones."""
        for holder in holders:
            if self._is_newer(holder):
                self._entries[holder.share] = holder

    def find(self, share: int) -> ShareHolder | None:
        """Return the known holder of a share."""
        entry = self._entries.get(share)
        return entry if entry is not None and entry.vm else None

    def find_member(self, share: int) -> LimitMember | None:
        """Return the live member that holds a share, as far as known."""
        entry = self.find(share)
        if entry is None:
            return None
        members = self._membership.members()
        # Comparing is fast where the tuple holds the same objects, which is almost always.
        if members != self._members:
            self._members = members
            self._members_by_vm = {member.vm: member for member in members}
        member = self._members_by_vm.get(entry.vm)
        return member if member is not None and member.incarnation == entry.incarnation else None

    def list_holders(self, shares: Iterable[int] | None = None) -> tuple[ShareHolder, ...]:
        """Return the entries of some shares, or all, with those that say nobody."""
        chosen = self._entries if shares is None else shares
        return tuple(self._entries[share] for share in chosen if share in self._entries)

    def digest(self) -> int:
        """Return a number that changes with any holder, within 63 bits."""
        text = ",".join(
            f"{entry.share}:{entry.vm}:{entry.incarnation}"
            for _, entry in sorted(self._entries.items())
        )
        return int(xxhash.xxh3_64_intdigest(text.encode()) >> 1)

    def _is_newer(self, holder: ShareHolder) -> bool:
        known = self._entries.get(holder.share)
        if known is None or holder.version > known.version:
            return True
        return holder.version == known.version and not holder.vm and bool(known.vm)
