"""A budget that limits retries to a fraction of the requests."""

from ..clock import Clock

RETRIES_PER_REQUEST = 0.1
MIN_RETRIES_PER_S = 10.0
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """Allow a fraction of a retry for each request, plus a fixed number each second."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._available = MIN_RETRIES_PER_S
        self._refilled_at: float | None = None

    def record_request(self) -> None:
        """Add the retry credit of one request."""
        self._refill()
        self._available = min(MAX_SAVED_RETRIES, self._available + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        self._refill()
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * MIN_RETRIES_PER_S
            self._available = min(MAX_SAVED_RETRIES, self._available + earned)
        self._refilled_at = now
