"""The service `limits` of session proxies: admits through the pool of the proxy's region."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from ..catalog.fleet import FleetService
from ..catalog.source import ProxyEntry
from ..clock import Clock
from ..configuration.accounts import ClientAccount
from ..kernel import Service
from ..outcomes import NotRun, RefusalReason
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..tasks import SharedCalls, start_task
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .allowance import LocalAllowance
from .messages import (
    LendTokens,
    ProxyPresence,
    ReturnTokens,
    TakeTokens,
    TokensLent,
    TokensTaken,
)
from .pools import RegionalPools
from .remaining import RemainingRate

PRESENCE_INTERVAL_S = 0.5
# In a region an answer takes a few milliseconds; callers wait for it.
TAKE_TIMEOUT_S = 0.15
LEND_TIMEOUT_S = 0.25
# Pools that had nothing to lend are not asked again at once.
DRY_S = 0.2
PREFETCH_S = 0.15
STOCK_LIFETIME_S = 0.4
DEMAND_MEMORY_S = 0.5
# While an account is over its limit, its pool is asked again this often.
OVER_LIMIT_S = 0.1
# A registered proxy that its region has not heard for this long is taken off the register.
GONE_S = 10.0
# Tokens that are given back within this time travel in one datagram for each account.
RETURN_DELAY_S = 0.05
# Tokens of operations that were admitted longer ago are not given back. While a token is away, its
# pool may fill up and lose what it gains; a token that returns then exceeds the limit by as much.
MAX_RETURN_AGE_S = 0.2
# After a start the list of proxies, and with it the region's pool, is looked for this often.
FIRST_PRESENCE_POLL_S = 0.05

log = Log(source="limits")


@dataclass(kw_only=True)
class _Stock:
    """Hold an account's tokens at this proxy and its recent demand."""

    tokens: int = 0
    taken_at: float = 0.0
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    refused_until: float = 0.0

    def count_usable(self, now: float) -> int:
        """Return the tokens that are not too old to be used."""
        return 0 if now - self.taken_at > STOCK_LIFETIME_S else self.tokens


class RegionalLimiter(Service):
    """Admit operations; implements AccountRateLimiter."""

    def __init__(
        self,
        *,
        fleet: FleetService,
        transport: PeerTransport,
        clock: Clock,
        random: Random,
        telemetry: Telemetry,
        find_account: Callable[[str], ClientAccount | None],
    ) -> None:
        self._fleet, self._transport = fleet, transport
        self._clock, self._random, self._telemetry = clock, random, telemetry
        self._find_account = find_account
        self.pools = RegionalPools(
            clock=clock, local_vm=fleet.local.vm, count_registered=fleet.count_registered
        )
        self._allowance = LocalAllowance(clock=clock, count_proxies=fleet.count_registered)
        self._stocks: dict[str, _Stock] = {}
        self._dry_until: dict[str, float] = {}
        self._borrowing = SharedCalls[str, None]()
        self._returning: dict[str, int] = {}
        self._return_timer: asyncio.TimerHandle | None = None
        self._is_holder = False
        self._started_at = math.inf
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Answer peers and report to the region's pool."""
        self._transport.handle(TakeTokens, self._handle_take)
        self._transport.handle(LendTokens, self._handle_lend)
        self._transport.handle_datagram(ProxyPresence, self._handle_presence)
        self._transport.handle_datagram(ReturnTokens, self._handle_return)
        self._started_at = self._clock.monotonic()
        self._task = start_task("report_presence", self._run, telemetry=self._telemetry)

    async def stop(self) -> None:
        """End reporting."""
        self._borrowing.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._return_timer is not None:
            self._return_timer.cancel()

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Admit one operation of an account; None: admitted."""
        stock, now = self._stocks.setdefault(account.name, _Stock()), self._clock.monotonic()
        self._note_demand(stock, now)
        stock.tokens = stock.count_usable(now)
        if stock.tokens > 0:
            stock.tokens -= 1
            return None
        if now < stock.refused_until:
            return self._refuse(account, stock.refused_until - now)
        answer = await self._take(account, 1 + math.floor(stock.demand_per_s * PREFETCH_S))
        if answer is None:
            return self._admit_locally(account)
        if answer.granted > 0:
            stock.tokens += answer.granted - 1
            stock.taken_at = self._clock.monotonic()
            return None
        wait_s = min(OVER_LIMIT_S, answer.retry_after_s)
        stock.refused_until = self._clock.monotonic() + wait_s
        return self._refuse(account, answer.retry_after_s)

    def preview(self, account: ClientAccount) -> RemainingRate:
        """Return what is left of an account's rate, without taking a token or asking a peer."""
        now, stock = self._clock.monotonic(), self._stocks.get(account.name, _Stock())
        tokens, holder = stock.count_usable(now), self._locate_pool(self._fleet.local.region)
        is_here = holder is None or holder.vm == self._fleet.local.vm
        pool_tokens, pool_retry_s = self.pools.preview(account) if is_here else (None, 0.0)
        refusal, must_borrow = None, False
        if tokens == 0 and now < stock.refused_until:
            refusal = _build_refusal(account, stock.refused_until - now)
        elif tokens == 0 and pool_tokens is not None and pool_tokens < 1:
            must_borrow = not self._is_dry(account) and bool(self._list_other_regions())
            refusal = None if must_borrow else _build_refusal(account, pool_retry_s)
        return RemainingRate(
            stock_tokens=tokens,
            pool_tokens=pool_tokens,
            pool_holder=self._fleet.local.vm if holder is None else holder.vm,
            refusal=refusal,
            must_borrow=must_borrow,
        )

    def give_back(self, account: str, *, admitted_at: float) -> None:
        """Return the token of an operation that did not run to the region's pool."""
        if self._clock.monotonic() - admitted_at > MAX_RETURN_AGE_S:
            return
        self._telemetry.count("limit_tokens_returned")
        self._returning[account] = self._returning.get(account, 0) + 1
        if self._return_timer is None:
            loop = asyncio.get_running_loop()
            self._return_timer = loop.call_later(RETURN_DELAY_S, self._send_returned)

    def _send_returned(self) -> None:
        self._return_timer = None
        returning, self._returning = self._returning, {}
        holder = self._find_pool(self._fleet.local.region)
        for name, amount in returning.items():
            log.debug("tokens_returned", account=name, amount=amount)
            returned = ReturnTokens(account=name, amount=amount)
            if holder is None or holder.vm == self._fleet.local.vm:
                self._take_back(returned)
            else:
                self._transport.send_datagram(holder.address, returned)

    def _take_back(self, returned: ReturnTokens) -> None:
        account = self._find_account(returned.account)
        if account is not None:
            self.pools.take_back(account, returned.amount)

    async def take_here(self, account: ClientAccount, wanted: int) -> TokensTaken:
        """Grant tokens of this proxy's pool; borrow from other regions when it is empty."""
        granted = self.pools.take(account, wanted)
        if granted == 0 and not self._is_dry(account):
            await self._borrow(account)
            granted = self.pools.take(account, 1)
        retry_after_s = 0.0 if granted else self.pools.retry_after_s(account)
        return TokensTaken(granted=granted, retry_after_s=retry_after_s)

    def _is_dry(self, account: ClientAccount) -> bool:
        """Tell whether the pools of other regions had nothing to lend a moment ago."""
        return self._clock.monotonic() < self._dry_until.get(account.name, 0.0)

    def _admit_locally(self, account: ClientAccount) -> NotRun | None:
        if self._allowance.take(account):
            self._telemetry.count("limit_local_admissions")
            return None
        self._telemetry.count("limit_refusals", reason=RefusalReason.LIMIT_UNAVAILABLE)
        return NotRun(reason=RefusalReason.LIMIT_UNAVAILABLE, retry_after_s=OVER_LIMIT_S)

    def _refuse(self, account: ClientAccount, retry_after_s: float) -> NotRun:
        self._telemetry.count("limit_refusals", reason=RefusalReason.RATE_EXCEEDED)
        return _build_refusal(account, retry_after_s)

    def _note_demand(self, stock: _Stock, now: float) -> None:
        kept = math.exp(-max(0.0, now - stock.demand_at) / DEMAND_MEMORY_S)
        stock.demand_per_s = stock.demand_per_s * kept + 1 / DEMAND_MEMORY_S
        stock.demand_at = now

    async def _take(self, account: ClientAccount, wanted: int) -> TokensTaken | None:
        """Ask the region's pool; None without an answer."""
        holder = self._find_pool(self._fleet.local.region)
        if holder is None or holder.vm == self._fleet.local.vm:
            return await self.take_here(account, wanted)
        request = TakeTokens(account=account.name, wanted=wanted)
        answer = await self._call(holder, request, TAKE_TIMEOUT_S + LEND_TIMEOUT_S)
        return answer if isinstance(answer, TokensTaken) else None

    async def _borrow(self, account: ClientAccount) -> None:
        """Ask the pools of other regions once; calls at one time share the loan."""
        await self._borrowing.join(account.name, partial(self._borrow_now, account))

    async def _borrow_now(self, account: ClientAccount) -> None:
        others = self._list_other_regions()
        self._random.shuffle(others)
        for region in others:
            holder = self._find_pool(region)
            if holder is None:
                continue
            request = LendTokens(account=account.name, wanted=self.pools.wanted_loan(account))
            answer = await self._call(holder, request, LEND_TIMEOUT_S)
            if isinstance(answer, TokensLent) and answer.amount > 0:
                self.pools.deposit(account, answer.amount)
            if self.pools.retry_after_s(account) <= 0.05:
                return
        self._dry_until[account.name] = self._clock.monotonic() + DRY_S

    def _list_other_regions(self) -> list[str]:
        regions = {member.region for member in self._fleet.members()}
        return sorted(regions - {self._fleet.local.region})

    async def _call(self, holder: ProxyEntry, request: object, timeout_s: float) -> object | None:
        try:
            answer = await self._transport.call(holder.address, request, timeout_s=timeout_s)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self._telemetry.count("limit_call_failures", reason=type(error).__name__)
            self._fleet.mark_suspect(holder.vm, str(error))
            return None
        self._fleet.clear_suspicion(holder.vm)
        return answer

    def _find_pool(self, region: str) -> ProxyEntry | None:
        """Return the proxy that holds a region's pools; remember whether it is this one."""
        holder, local = self._locate_pool(region), self._fleet.local
        if region == local.region:
            self._is_holder = holder is None or holder.vm == local.vm
        return holder

    def _locate_pool(self, region: str) -> ProxyEntry | None:
        local = self._fleet.local
        if region == local.region and local.is_leaving and self._is_holder:
            # The others ask a leaving proxy until they learn that it leaves. A second pool would
            # count the same proxies until then.
            return local
        return self._choose_holder(region)

    def _choose_holder(self, region: str) -> ProxyEntry | None:
        first = None
        for entry in self._fleet.rank(f"limits-{region}"):
            if entry.region != region:
                continue
            if not self._fleet.is_suspect(entry.vm):
                return entry
            first = first or entry
        return first

    async def _run(self) -> None:
        while not self._fleet.is_synchronized:
            await self._clock.sleep(FIRST_PRESENCE_POLL_S)
        while True:
            holder = self._find_pool(self._fleet.local.region)
            if holder is not None and holder.vm != self._fleet.local.vm:
                presence = ProxyPresence(incarnation=self._fleet.local.incarnation)
                self._transport.send_datagram(holder.address, presence)
            elif holder is not None:
                self._forget_gone_proxies()
            await self._clock.sleep(PRESENCE_INTERVAL_S * self._random.uniform(0.9, 1.1))

    def _forget_gone_proxies(self) -> None:
        """Take proxies of this region off the register that it has not heard for long."""
        now = self._clock.monotonic()
        if now - self._started_at < GONE_S:
            return
        for entry in self._fleet.others():
            if entry.region != self._fleet.local.region:
                continue
            silence_s = self.pools.silence_s(entry.vm)
            if silence_s is None:
                self.pools.hear(entry.vm)
            elif silence_s >= GONE_S:
                self._fleet.deregister(entry, silence_s=silence_s)
                self.pools.hear(entry.vm)

    async def _handle_take(self, sender: Sender, request: TakeTokens) -> TokensTaken:
        self.pools.hear(sender.vm)
        account = self._find_account(request.account)
        if account is None:
            return TokensTaken(granted=0, retry_after_s=OVER_LIMIT_S)
        return await self.take_here(account, request.wanted)

    async def _handle_lend(self, sender: Sender, request: LendTokens) -> TokensLent:
        account = self._find_account(request.account)
        return TokensLent(
            amount=0.0 if account is None else self.pools.lend(account, request.wanted)
        )

    def _handle_return(self, sender: Sender, returned: ReturnTokens) -> None:
        self._take_back(returned)

    def _handle_presence(self, sender: Sender, presence: ProxyPresence) -> None:
        self.pools.hear(sender.vm)


def _build_refusal(account: ClientAccount, retry_after_s: float) -> NotRun:
    return NotRun(
        reason=RefusalReason.RATE_EXCEEDED,
        detail=f"client account {account.name}",
        retry_after_s=retry_after_s,
    )
