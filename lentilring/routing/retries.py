"""A budget that keeps retries a fraction of the requests."""

from ..clock import Clock

RETRIES_PER_REQUEST = 0.1
MIN_RETRIES_PER_S = 10.0
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """Earn a fraction of a retry with each request, and a few each second in any case."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._saved = MIN_RETRIES_PER_S
        self._updated: float | None = None

    def record_request(self) -> None:
        """Earn credit for a request."""
        self._refill()
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        self._refill()
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        if self._updated is not None:
            earned = (now - self._updated) * MIN_RETRIES_PER_S
            self._saved = min(MAX_SAVED_RETRIES, self._saved + earned)
        self._updated = now
