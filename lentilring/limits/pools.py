"""Token pools of one region, without leases: each region owns the part of the proxies it hears.

Bound: with N registered proxies, a pool fills at rate * heard / N, and a proxy that no pool hears
admits at rate / N on its own. So the fleet admits at most the rate, whatever is cut off from what;
a proxy that moves from one pool to another counts in both for HEARD_S at most. Pools lend to each
other by debiting before they answer, so a lost answer loses tokens and never makes any.

Leased shares (lease_manager.py) hold a share for a holder that is gone for good until its lease
ends. On the prepared platform this refused half of all operations for 30 s after one VM was
replaced, and a shorter lease would end in an outage of the store.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..clock import Clock
from ..configuration.accounts import ClientAccount

# Three reports of a proxy may be missing before its part is left to itself.
HEARD_S = 1.6
# Restarting takes longer than this, in which nothing is admitted.
START_S = 0.5
# Proxies that start together, or that register again after the store lost them, are known by then.
REGISTRATION_S = 6.0
LEND_FRACTION = 0.5
# Two windows of demand ahead, so that a pool does not borrow for each request.
BORROW_AHEAD_S = 0.2
MIN_RETRY_S = 0.05


@dataclass(kw_only=True)
class _Pool:
    """Hold an account's tokens; `gained` counts those since the start, for `registered` proxies.

    `started_part` is the part of the limit for which the pool began with tokens.
    """

    tokens: float
    filled_at: float
    gained: float
    registered: int
    started_part: float


class RegionalPools:
    """Hold this proxy's pools; amounts in tokens."""

    def __init__(self, *, clock: Clock, local_vm: str, count_registered: Callable[[], int]) -> None:
        self._clock, self._local_vm = clock, local_vm
        self._count_registered = count_registered
        self._heard: dict[str, float] = {}
        self._pools: dict[str, _Pool] = {}
        self._started_at = clock.monotonic()

    def hear(self, vm: str) -> None:
        """Count a proxy's part for the next moments."""
        self._heard[vm] = self._clock.monotonic()

    def silence_s(self, vm: str) -> float | None:
        """Return how long a proxy has not been heard, None if it never was."""
        heard = self._heard.get(vm)
        return None if heard is None else self._clock.monotonic() - heard

    def fraction(self) -> float:
        """Return the part of all limits that this proxy's pools own."""
        oldest = self._clock.monotonic() - HEARD_S
        heard = {vm for vm, at in self._heard.items() if at >= oldest} | {self._local_vm}
        return min(1.0, len(heard) / max(1, self._count_registered(), len(heard)))

    def take(self, account: ClientAccount, wanted: int) -> int:
        """Debit up to `wanted` whole tokens."""
        pool = self._fill(account)
        granted = max(0, min(wanted, int(pool.tokens)))
        pool.tokens -= granted
        return granted

    def lend(self, account: ClientAccount, wanted: float) -> float:
        """Debit tokens for the pool of another region."""
        pool = self._fill(account)
        lent = max(0.0, min(wanted, pool.tokens * LEND_FRACTION))
        pool.tokens -= lent
        return lent

    def deposit(self, account: ClientAccount, amount: float) -> None:
        """Add tokens that another pool lent; lent tokens may exceed the pool's own burst."""
        self._fill(account).tokens += min(amount, account.burst)

    def take_back(self, account: ClientAccount, amount: int) -> None:
        """Add tokens of operations that did not run, up to the pool's part of the burst."""
        pool = self._fill(account)
        capacity = max(1.0, account.burst * self.fraction())
        pool.tokens = max(pool.tokens, min(pool.tokens + max(0, amount), capacity))

    def wanted_loan(self, account: ClientAccount) -> float:
        """Return how many tokens are worth borrowing now."""
        return max(1.0, account.rate_per_s * self.fraction() * BORROW_AHEAD_S)

    def retry_after_s(self, account: ClientAccount) -> float:
        """Return when the next token is there."""
        return self._find_retry_s(account, self._fill(account).tokens)

    def preview(self, account: ClientAccount) -> tuple[float, float]:
        """Return the tokens, and when the next one is there, without changing the pool."""
        known = self._pools.get(account.name)
        pool = self._open_pool() if known is None else replace(known)
        self._advance(pool, account)
        return pool.tokens, self._find_retry_s(account, pool.tokens)

    def _find_retry_s(self, account: ClientAccount, tokens: float) -> float:
        missing = max(0.0, 1.0 - tokens)
        return max(MIN_RETRY_S, missing / max(0.001, account.rate_per_s * self.fraction()))

    def _fill(self, account: ClientAccount) -> _Pool:
        pool = self._pools.get(account.name)
        if pool is None:
            pool = self._pools[account.name] = self._open_pool()
        self._advance(pool, account)
        return pool

    def _open_pool(self) -> _Pool:
        return _Pool(
            tokens=0.0,
            filled_at=self._clock.monotonic(),
            gained=0.0,
            registered=self._count_registered(),
            started_part=0.0,
        )

    def _advance(self, pool: _Pool, account: ClientAccount) -> None:
        now, part = self._clock.monotonic(), self.fraction()
        self._add_start(pool, account, part)
        self._return_excess(pool)
        capacity = max(1.0, account.burst * part)
        gained = (now - pool.filled_at) * account.rate_per_s * part
        # Borrowed tokens above the capacity stay, but nothing is added to them.
        tokens = max(min(pool.tokens, account.burst), min(pool.tokens + gained, capacity))
        pool.gained += max(0.0, tokens - pool.tokens)
        pool.tokens = tokens
        pool.filled_at = now

    def _add_start(self, pool: _Pool, account: ClientAccount, part: float) -> None:
        """Credit the part of the limit that was not used while the pool's proxies restarted.

        After a restart of all proxies, a pool hears most of them only after its first requests.
        """
        is_new = pool.started_part == 0.0
        is_starting = self._clock.monotonic() - self._started_at < HEARD_S
        if part <= pool.started_part or not (is_new or is_starting):
            return
        added = min(account.burst, account.rate_per_s * START_S) * (part - pool.started_part)
        pool.started_part = part
        pool.tokens += added
        pool.gained += added

    def _return_excess(self, pool: _Pool) -> None:
        """Debit what a pool gained while few of the proxies were known; it may owe some."""
        registered = self._count_registered()
        is_settling = self._clock.monotonic() - self._started_at < REGISTRATION_S
        if is_settling and registered > pool.registered:
            excess = pool.gained * (1 - pool.registered / registered)
            pool.tokens -= excess
            pool.gained -= excess
        pool.registered = registered
