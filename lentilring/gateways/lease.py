"""Until when a primary can be taken as the only one.

A primary that is cut off from the others does not learn that it was replaced: it opens plain
transactions and answers reads as before (khaima-ops trouble-1: 35 stale reads). A takeover first
stops all replicas from receiving, then waits LEASE_S unless the old primary has stepped down, and
only then promotes. So a replica that is found receiving at a moment proves that no other server
leads for the next LEASE_S.
"""

from collections.abc import Iterable

from ..catalog.model import ServerRole
from .server import ReplicationStatus

# A takeover from a dark primary waits this long; status calls are priced, so a shorter lease costs
# more of them.
LEASE_S = 1.0
# For the time from the check to the read at the server, and for clocks of different rates.
LEASE_MARGIN_S = 0.05
# Leaves time for a silent replica and for a round with the others before the lease ends.
RENEWAL_S = 0.4
STATUS_TIMEOUT_S = 0.25


class LeadLease:
    """Hold what proves a primary's lead; times are of the boot clock, so suspensions count."""

    def __init__(self) -> None:
        self._proved_at = float("-inf")
        self.term = 0

    def is_valid(self, now: float) -> bool:
        """Tell whether no other server can lead at this moment."""
        return now - self._proved_at <= LEASE_S - LEASE_MARGIN_S

    def is_due(self, now: float) -> bool:
        """Tell whether the lease should be renewed."""
        return now - self._proved_at >= RENEWAL_S

    def renew(self, status: ReplicationStatus | None, *, asked_at: float) -> bool:
        """Extend a proved lead by one replica's status; False if it does not prove it."""
        if status is None or not self.term or not _follows(status, self.term):
            return False
        self._proved_at = max(self._proved_at, asked_at)
        return True

    def note(
        self,
        own: ReplicationStatus | None,
        others: Iterable[ReplicationStatus],
        *,
        has_replicas: bool,
        asked_at: float,
    ) -> bool:
        """Take the statuses of one round; tell whether they prove the lead."""
        if own is None or own.role is not ServerRole.PRIMARY:
            return False
        self.term = max(self.term, own.term)
        proved = not has_replicas or any(_follows(status, own.term) for status in others)
        if proved:
            self._proved_at = max(self._proved_at, asked_at)
        return proved


def _follows(status: ReplicationStatus, term: int) -> bool:
    """Tell whether a replica receives and knows of no later term."""
    return (
        status.role is ServerRole.REPLICA
        and status.term <= term
        and status.paused_below_term <= term
    )
