"""Members of the fleet as gossip and the platform's list describe them."""

from dataclasses import dataclass
from enum import StrEnum, unique

import xxhash

from ..peers.messages import message

UNKNOWN_INCARNATION = 0


@unique
class MemberState(StrEnum):
    """Say what gossip knows of a member."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@unique
class Listing(StrEnum):
    """Say what the platform's list of VMs shows of a member."""

    NEVER = "never"
    REMOVED = "removed"
    LIVE = "live"
    LEAVING = "leaving"


# Claims of one refutation number: a later entry overrides an earlier one.
STATE_ORDER = {
    MemberState.LIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}
# Two pollers may read different lists at one listing version; the cautious reading wins.
LISTING_ORDER = {Listing.NEVER: 0, Listing.REMOVED: 1, Listing.LIVE: 2, Listing.LEAVING: 3}


@message
@dataclass(frozen=True, kw_only=True)
class Member:
    """Describe one VM's process.

    `incarnation` identifies the process and never changes while it runs, because leases are tied
    to it; `refutation` counts the suspicions and deaths that the process has denied.
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    incarnation: int
    state: MemberState = MemberState.LIVE
    revision: int = 0
    weight: float = 1.0
    refutation: int = 0
    listing: Listing = Listing.NEVER
    listing_version: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the order of claims about one VM; the greatest holds."""
        return self.incarnation, self.refutation, STATE_ORDER[self.state]

    @property
    def listing_precedence(self) -> tuple[int, int]:
        """Return the order of readings of the platform's list; the greatest holds."""
        return self.listing_version, LISTING_ORDER[self.listing]

    @property
    def is_running(self) -> bool:
        """Tell whether gossip exchanges messages with the member."""
        return self.state is not MemberState.DEAD

    @property
    def is_removed(self) -> bool:
        """Tell whether the platform's list had shown the VM and then no longer did."""
        return self.listing is Listing.REMOVED

    @property
    def is_usable(self) -> bool:
        """Tell whether the member may be chosen for new work."""
        return (
            self.state in (MemberState.LIVE, MemberState.SUSPECT)
            and self.listing is not Listing.LEAVING
        )

    @property
    def key(self) -> int:
        """Return the number that stands for this process in status reports."""
        return hash_process(self.vm, self.incarnation)


def hash_process(vm: str, incarnation: int) -> int:
    """Return a signed 32-bit number for a process.

    It covers the incarnation, so that reports of an earlier process of the VM match nothing.
    """
    return int(xxhash.xxh32_intdigest(f"{vm}\0{incarnation}".encode())) - 2**31
