"""Lease that shows for how long a primary is certainly the only one.

A primary that is partitioned from the other servers does not learn that it was replaced: it opens
read-write transactions and answers reads as before (khaima-ops trouble-1: 35 stale reads). A
takeover first stops all replicas from receiving, then waits LEASE_S unless the old primary has
stepped down, and only then promotes. So a replica that receives at some moment proves that no other
server becomes the primary in the next LEASE_S.
"""

from collections.abc import Iterable

from ..catalog.model import ServerRole
from .server import ReplicationStatus

# A takeover from an unreachable primary waits this long. A shorter lease would need more status
# calls, which are billed.
LEASE_S = 1.0
# Covers the time from the check until the server runs the read, and clocks of different rates.
LEASE_MARGIN_S = 0.05
# Age at which a lease is renewed. If the replica that is asked stays silent, there is still time to
# ask all servers before the lease ends.
RENEWAL_AGE_S = 0.4
STATUS_TIMEOUT_S = 0.25
ANY_TIME = float("-inf")


class LeadershipLease:
    """Hold when a primary last proved its leadership; the boot clock also counts suspensions."""

    def __init__(self) -> None:
        self._proved_at = float("-inf")
        self.term = 0

    def is_valid(self, now: float, *, since: float = ANY_TIME) -> bool:
        """Tell whether no other server can be the primary now, by a proof begun after `since`."""
        return self._proved_at >= since and now - self._proved_at <= LEASE_S - LEASE_MARGIN_S

    def needs_renewal(self, now: float) -> bool:
        """Tell whether the lease should be renewed."""
        return now - self._proved_at >= RENEWAL_AGE_S

    def renew(self, status: ReplicationStatus | None, *, asked_at: float) -> bool:
        """Renew a proved lease by one replica's status; False if the status proves nothing."""
        if status is None or not self.term or not is_following(status, self.term):
            return False
        self._proved_at = max(self._proved_at, asked_at)
        return True

    def record_statuses(
        self,
        own: ReplicationStatus | None,
        others: Iterable[ReplicationStatus],
        *,
        has_replicas: bool,
        asked_at: float,
    ) -> bool:
        """Record the statuses of all servers; tell whether they prove the leadership."""
        if own is None or own.role is not ServerRole.PRIMARY:
            return False
        self.term = max(self.term, own.term)
        proved = not has_replicas or any(is_following(status, own.term) for status in others)
        if proved:
            self._proved_at = max(self._proved_at, asked_at)
        return proved


def is_following(status: ReplicationStatus, term: int) -> bool:
    """Tell whether a replica receives commits and knows of no later term."""
    return (
        status.role is ServerRole.REPLICA
        and status.term <= term
        and status.paused_below_term <= term
    )
