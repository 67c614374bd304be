"""A proxy's own part of each account's limit, for when no pool answers."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..configuration.accounts import ClientAccount


@dataclass(kw_only=True)
class _Level:
    tokens: float
    filled_at: float


class LocalAllowance:
    """Admit at most one proxy's part of an account's rate and burst."""

    def __init__(self, *, clock: Clock, count_proxies: Callable[[], int]) -> None:
        self._clock, self._count_proxies = clock, count_proxies
        self._levels: dict[str, _Level] = {}

    def take(self, account: ClientAccount) -> bool:
        """Use one token if there is one."""
        proxies, now = max(1, self._count_proxies()), self._clock.monotonic()
        capacity = max(1.0, account.burst / proxies)
        level = self._levels.setdefault(account.name, _Level(tokens=1.0, filled_at=now))
        gained = (now - level.filled_at) * account.rate_per_s / proxies
        level.tokens, level.filled_at = min(capacity, level.tokens + gained), now
        if level.tokens < 1:
            return False
        level.tokens -= 1
        return True
