"""Which statements a stopping proxy still runs, so that each is answered before it ends."""

from dataclasses import dataclass
from math import inf

from .messages import StatementKind

# A commit usually takes far less than its timeout, and aborting it would undo a whole transaction.
COMMIT_RESERVE_S = 0.5


@dataclass(frozen=True, kw_only=True)
class StopSchedule:
    """Hold the times of a planned stop on the monotonic clock.

    Until `transactions_until` everything runs; at `ends_at` the process stops.
    """

    transactions_until: float
    ends_at: float

    def accepts(self, work: StatementKind, *, timeout_s: float, now: float) -> bool:
        """Tell whether a statement that takes up to `timeout_s` may start now."""
        reserve_s = COMMIT_RESERVE_S if work is StatementKind.COMMIT else timeout_s
        return now < max(self.transactions_until, self.ends_at - reserve_s)


# Accepts nothing.
STOPPED = StopSchedule(transactions_until=-inf, ends_at=-inf)
