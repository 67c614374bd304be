"""Limits that an operator counts over a window, as the bucket that the shares divide."""

from dataclasses import dataclass, replace

from ..configuration.models import ClientAccount

# Requests are counted where they arrive, up to half a second after their admission, so a full
# window may hold a tenth more of them than were admitted within its length.
ARRIVAL_MARGIN = 0.1


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

    A bucket of the plain rate would refuse requests that are within the operator's limit.
    """
    allowed = window.count_allowed(account.rate_per_s, account.burst) * (1 - ARRIVAL_MARGIN)
    rate_per_s = max(account.rate_per_s, (allowed - account.burst) / window.length_s)
    return replace(account, rate_per_s=rate_per_s)
