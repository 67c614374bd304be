"""A strict token bucket that lends tokens; usable on its own.

Bound: in any window of w seconds at most burst + rate * w of the lent tokens are used. Proof: let
P = level + outstanding. P grows only by filling, at most rate per second, and P <= burst. Every
use in a window (a, b] is of a token that is in P(a) or that filled after a, because a token counts
as outstanding at least until it is used: a use report comes after the use, a return comes for
tokens that are never used, and the lender's expiry comes after the borrower's. So uses in (a, b]
<= P(a) + rate * (b - a). A used token therefore stops counting as soon as its report arrives.
"""

import math
from dataclasses import dataclass

from ..clock import Clock

# Longer than any round trip (40 ms between regions); a new holder of a share waits this long.
GRANT_LIFETIME_S = 0.5
GRANT_MARGIN_S = 0.1  # 20 times what clocks whose rates differ by 1% need
UNIT = 2.0**-20  # amounts are multiples of this, so that sums of them are exact


@dataclass(kw_only=True)
class OutstandingGrant:
    """Record a grant until it ends; amounts in tokens."""

    amount: float
    expires_at: float
    used: float = 0.0
    returned: float = 0.0

    @property
    def outstanding(self) -> float:
        """Return the tokens that the borrower may still use."""
        return self.amount - self.used - self.returned


def round_down(amount: float) -> float:
    """Return the greatest multiple of UNIT that is not above an amount."""
    return math.floor(amount / UNIT) * UNIT


class TokenBucket:
    """Keep level + outstanding <= burst, where outstanding are the lent tokens not known as used.

    A borrower must not use tokens later than `lifetime_s` after it sent its request, on its own
    clock. The bucket is empty at first and fills from `fill_from` on. `clock_tolerance` slows the
    filling so that a clock that runs fast by this part still keeps the bound in true seconds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rate_per_s: float,
        burst: float,
        fill_from: float | None = None,
        lifetime_s: float = GRANT_LIFETIME_S,
        margin_s: float = GRANT_MARGIN_S,
        clock_tolerance: float = 0.0,
    ) -> None:
        self._clock = clock
        self.rate_per_s, self.burst = rate_per_s, burst
        self._lifetime_s, self._margin_s = lifetime_s, margin_s
        self._fill_factor = 1.0 - clock_tolerance
        self._filled_at = clock.monotonic() if fill_from is None else fill_from
        self._level = 0.0
        self._outstanding = 0.0
        # Grants share one lifetime, so they end in the order of insertion.
        self._loans: dict[int, OutstandingGrant] = {}

    @property
    def level(self) -> float:
        """Return the tokens that can be lent now."""
        self._advance()
        return self._level

    @property
    def outstanding(self) -> float:
        """Return the lent tokens that count against the burst."""
        self._advance()
        return self._outstanding

    @property
    def room(self) -> float:
        """Return how many tokens fit below the burst."""
        self._advance()
        return max(0.0, self.burst - self._level - self._outstanding)

    def lend(self, grant_id: int, amount: float) -> float:
        """Debit up to an amount of tokens under a new id; return how many."""
        self._advance()
        lent = round_down(min(amount, self._level))
        if lent <= 0:
            return 0.0
        self._level -= lent
        self._outstanding += lent
        expires_at = self._clock.monotonic() + self._lifetime_s + self._margin_s
        self._loans[grant_id] = OutstandingGrant(amount=lent, expires_at=expires_at)
        return lent

    def report(self, grant_id: int, *, used: float, returned: float) -> None:
        """Take a borrower's totals so far for a grant; repeats and reordering do no harm."""
        self._advance()
        loan = self._loans.get(grant_id)
        if loan is None:
            return
        newly_used = min(max(0.0, used - loan.used), loan.outstanding)
        loan.used += newly_used
        newly_returned = min(max(0.0, returned - loan.returned), loan.outstanding)
        loan.returned += newly_returned
        self._outstanding -= newly_used + newly_returned
        self._level = min(self._level + newly_returned, self._cap())
        if loan.outstanding <= 0:
            del self._loans[grant_id]

    def deposit(self, amount: float) -> float:
        """Add tokens taken from another bucket as far as the burst allows; return how many."""
        accepted = round_down(min(amount, self.room))
        self._level += accepted
        return accepted

    def set_limits(self, *, rate_per_s: float, burst: float) -> None:
        """Change rate and burst; a lower burst cuts the level at once."""
        self._advance()
        self.rate_per_s, self.burst = rate_per_s, burst
        self._level = min(self._level, self._cap())

    def _cap(self) -> float:
        return max(0.0, self.burst - self._outstanding)

    def _advance(self) -> None:
        now = self._clock.monotonic()
        for grant_id, loan in list(self._loans.items()):
            if loan.expires_at > now:
                break
            self._fill(loan.expires_at)
            self._outstanding -= loan.outstanding
            del self._loans[grant_id]
        self._fill(now)
        if not self._loans:
            self._outstanding = 0.0

    def _fill(self, until: float) -> None:
        elapsed = until - self._filled_at
        if elapsed <= 0:
            return
        self._filled_at = until
        filled = self._level + elapsed * self.rate_per_s * self._fill_factor
        self._level = max(min(filled, self._cap()), 0.0)
