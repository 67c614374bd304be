"""A small local part of each account's limit, for when no share holder answers.

Load that this answers: a fleet that restarts at once has no share holders for about a second, and
a proxy that is cut off from the holders would refuse all its callers.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..configuration.models import ClientAccount
from ..outcomes import NotRun, RefusalReason
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .service import LimitService

# With a third of the proxies cut off, the others grant the whole rate and these half of a third of
# it: a sixth more than the rate, which an operator's usual tolerance covers.
LOCAL_FRACTION = 0.5
BURST_FRACTION = 0.25

log = Log(source="limits")


@dataclass(kw_only=True)
class _Level:
    tokens: float
    filled_at: float


class LocalAllowance:
    """Admit at most this proxy's part of an account's limit."""

    def __init__(self, *, clock: Clock, count_proxies: Callable[[], int]) -> None:
        self._clock, self._count_proxies = clock, count_proxies
        self._levels: dict[str, _Level] = {}

    def take(self, account: ClientAccount) -> bool:
        """Use one token if there is one."""
        proxies, now = max(1, self._count_proxies()), self._clock.monotonic()
        capacity = max(1.0, account.burst * BURST_FRACTION / proxies)
        level = self._levels.setdefault(account.name, _Level(tokens=capacity, filled_at=now))
        gained = (now - level.filled_at) * account.rate_per_s * LOCAL_FRACTION / proxies
        level.tokens, level.filled_at = min(capacity, level.tokens + gained), now
        if level.tokens < 1:
            return False
        level.tokens -= 1
        return True


class TolerantLimiter:
    """Admit through the shares, and through the local allowance while they are out of reach."""

    def __init__(
        self, *, limits: LimitService, allowance: LocalAllowance, telemetry: Telemetry
    ) -> None:
        self._limits, self._allowance, self._telemetry = limits, allowance, telemetry

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Admit one request; None: admitted."""
        refused = await self._limits.acquire(account, timeout_s=timeout_s)
        if refused is None or refused.reason is not RefusalReason.LIMIT_UNAVAILABLE:
            return refused
        if not self._allowance.take(account):
            return refused
        self._telemetry.count("limit_local_admissions")
        log.info("admitted_locally", account=account.name)
        return None
