"""Limits that an operator counts over a window, as the bucket that the shares divide."""

from dataclasses import dataclass, replace

from ..configuration.accounts import ClientAccount

# Requests are counted where they arrive, up to 0.4 s after their admission, so a full window may
# hold this much more than was admitted within its length.
ARRIVAL_MARGIN = 0.08
# A smaller burst leaves more of a window's requests to the sustained rate.
BURST_FRACTION = 0.25
MIN_BURST = 8.0


@dataclass(frozen=True, kw_only=True)
class LimitWindow:
    """Describe how the operator counts: over `length_s`, with a relative and a fixed tolerance."""

    length_s: float
    overage: float
    slack: float

    def count_allowed(self, rate_per_s: float, burst: float) -> float:
        """Return how many requests a window may hold."""
        return (rate_per_s * self.length_s + burst) * (1 + self.overage) + self.slack


def fit_account(account: ClientAccount, window: LimitWindow) -> ClientAccount:
    """Return an account whose bucket admits nearly what the operator allows in each window.

    The operator allows a burst in each window. A bucket that admits it once, and the plain rate
    from then on, refuses requests of a busy account that are within its limit.
    """
    allowed = window.count_allowed(account.rate_per_s, account.burst) * (1 - ARRIVAL_MARGIN)
    burst = min(account.burst, max(MIN_BURST, account.burst * BURST_FRACTION))
    rate_per_s = max(account.rate_per_s, (allowed - burst) / window.length_s)
    return replace(account, rate_per_s=rate_per_s, burst=burst)
