"""Members of the fleet, as described by gossip and by the platform's list of VMs."""

from dataclasses import dataclass
from enum import StrEnum, unique

import xxhash

from ..peers.messages import message

UNKNOWN_INCARNATION = 0


@unique
class MemberState(StrEnum):
    """State of a member according to gossip."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@unique
class Listing(StrEnum):
    """State of a member in the platform's list of VMs; NEVER if the list has not shown it yet."""

    NEVER = "never"
    REMOVED = "removed"
    LIVE = "live"
    LEAVING = "leaving"


# Among claims with the same refutation number, the state with the greater order wins.
STATE_ORDER = {
    MemberState.LIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}
# Two pollers may read different lists and give them the same listing version. The greater order
# wins, which is the safer choice: a VM that may still be listed does not count as removed, and
# one that may be leaving gets no new work.
LISTING_ORDER = {Listing.NEVER: 0, Listing.REMOVED: 1, Listing.LIVE: 2, Listing.LEAVING: 3}


@message
@dataclass(frozen=True, kw_only=True)
class Member:
    """Describe the proxy process on one VM.

    `incarnation` identifies the process and never changes while it runs, because leases are tied
    to it. `refutation` counts the claims that the process is suspect or dead that it has refuted.
    `listing_version` counts the changes of `listing`.
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
        """Return the sort key of claims about one VM; the greatest claim wins."""
        return self.incarnation, self.refutation, STATE_ORDER[self.state]

    @property
    def listing_precedence(self) -> tuple[int, int]:
        """Return the sort key of listings of one VM; the greatest listing wins."""
        return self.listing_version, LISTING_ORDER[self.listing]

    @property
    def is_running(self) -> bool:
        """Tell whether gossip exchanges messages with the member."""
        return self.state is not MemberState.DEAD

    @property
    def is_removed(self) -> bool:
        """Tell whether the VM has disappeared from the platform's list."""
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
        """Return the number that identifies this process in status groups."""
        return hash_process(self.vm, self.incarnation)


def hash_process(vm: str, incarnation: int) -> int:
    """Return a signed 32-bit hash that identifies a process.

    It includes the incarnation, so that statuses of an earlier process on the VM are ignored.
    """
    return int(xxhash.xxh32_intdigest(f"{vm}\0{incarnation}".encode())) - 2**31
