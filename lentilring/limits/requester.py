"""The proxy's side: a pool of lent tokens and waiting requests for each account."""

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from ..clock import Clock
from ..configuration.models import ClientAccount
from ..outcomes import NotRun, RefusalReason
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .directory import LimitMember, LimitMembership, ShareDirectory
from .lender import Lender
from .messages import GrantReport, TokenAnswer, TokenReport, TokenRequest, TokenStatus
from .remaining import HeldTokens
from .shares import choose_shares, order_holders

CALL_TIMEOUT_S = 0.15
DEMAND_MEMORY_S = 0.5
PREFETCH_S = 0.1  # of recent demand, asked for at once
LOW_WATER_S = 0.04  # of recent demand, below which more is asked for
IDLE_RETURN_S = 0.1  # after which unused tokens go back
REPORT_DELAY_S = 0.05
REPORT_DELAY_FRACTION = 0.1  # of the time in which an account's burst refills
OVER_RATE_WAIT_S = 0.25  # that a request waits at most while its account is over its rate
UNAVAILABLE_RETRY_S = 0.1
HOLDER_RETRY_S = 0.5  # doubled with each failure
MAX_HOLDER_RETRY_S = 4.0
MAX_REPORTS_PER_DATAGRAM = 16  # keeps datagrams below 1,200 bytes


class Supply(StrEnum):
    """Say how the last request for tokens ended."""

    UNKNOWN = "unknown"
    GRANTED = "granted"
    OVER_RATE = "over_rate"
    UNAVAILABLE = "unavailable"


@dataclass(kw_only=True)
class ReceivedGrant:
    """Hold the tokens of one grant."""

    account: str
    lender: str
    lender_incarnation: int
    share: int
    grant: int
    left: float
    expires_at: float
    used: float = 0.0
    returned: float = 0.0

    def report(self) -> GrantReport:
        """Return the totals so far."""
        return GrantReport(
            account=self.account,
            share=self.share,
            grant=self.grant,
            used=self.used,
            returned=self.returned,
        )


@dataclass(kw_only=True, eq=False)
class Waiter:
    """Hold a request that waits for a token."""

    admitted: asyncio.Future[NotRun | None]
    since: float
    deadline: float


@dataclass(kw_only=True)
class Pool:
    """Hold an account's tokens, waiting requests and recent demand at this proxy."""

    account: ClientAccount
    loans: deque[ReceivedGrant] = field(default_factory=deque)
    waiters: deque[Waiter] = field(default_factory=deque)
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    supply: Supply = Supply.UNKNOWN
    retry_at: float = 0.0
    task: asyncio.Task[None] | None = None


class TokenRequester:
    """Get tokens from holders and admit requests with them."""

    def __init__(
        self,
        *,
        clock: Clock,
        transport: PeerTransport,
        telemetry: Telemetry,
        membership: LimitMembership,
        directory: ShareDirectory,
        lender: Lender,
        count_shares: Callable[[], int],
        find_missing_holders: Callable[[], Awaitable[None]],
    ) -> None:
        self._clock, self._transport, self._telemetry = clock, transport, telemetry
        self._membership, self._directory, self._lender = membership, directory, lender
        self._count_shares = count_shares
        self._find_missing_holders = find_missing_holders
        self._log = Log(source="limits")
        self._pools: dict[str, Pool] = {}
        self._unreported: dict[str, dict[tuple[int, int], ReceivedGrant]] = {}
        self._flushes: dict[str, asyncio.Task[None]] = {}
        self._idle: dict[str, asyncio.Task[None]] = {}
        self._silent: dict[str, tuple[float, float]] = {}

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Take one token, waiting for it up to `timeout_s` seconds; None: admitted."""
        pool = self._pools.get(account.name)
        if pool is None:
            pool = self._pools[account.name] = Pool(account=account)
        pool.account = account
        now = self._clock.monotonic()
        self._note_demand(pool, now)
        if not pool.waiters and self._take(pool, now):
            self._prefetch(pool, now)
            return None
        if self._queue_is_full(pool, now):
            return self._refuse(pool, now)
        return await self._wait(pool, now, timeout_s)

    def preview(self, account: ClientAccount) -> HeldTokens:
        """Return an account's tokens here, without taking one or asking for more."""
        now, known = self._clock.monotonic(), self._pools.get(account.name)
        pool = Pool(account=account) if known is None else replace(known, account=account)
        tokens = self._count_tokens(pool, now)
        must_wait = bool(pool.waiters) or tokens < 1
        return HeldTokens(
            tokens=tokens,
            waiting=len(pool.waiters),
            supply=pool.supply,
            holders=tuple(holder.vm for holder in self._list_holders(pool)),
            refusal=(
                self._build_refusal(pool, now)
                if must_wait and self._queue_is_full(pool, now)
                else None
            ),
        )

    def return_all(self) -> None:
        """Return all unused tokens and report all uses."""
        for pool in self._pools.values():
            self._return_unused(pool)
        for address in list(self._unreported):
            self._flush(address)

    def stop(self) -> None:
        """End background work and refuse what waits."""
        for pool in self._pools.values():
            if pool.task is not None:
                pool.task.cancel()
            while pool.waiters:
                waiter = pool.waiters.popleft()
                if not waiter.admitted.done():
                    waiter.admitted.set_result(NotRun(reason=RefusalReason.SHUTTING_DOWN))
        for task in [*self._flushes.values(), *self._idle.values()]:
            task.cancel()

    async def _wait(self, pool: Pool, now: float, timeout_s: float) -> NotRun | None:
        waiter = Waiter(
            admitted=asyncio.get_running_loop().create_future(),
            since=now,
            deadline=now + timeout_s,
        )
        pool.waiters.append(waiter)
        self._fetch(pool)
        return await waiter.admitted

    def _take(self, pool: Pool, now: float) -> bool:
        """Use one token, which may come from several grants."""
        while pool.loans and (pool.loans[0].expires_at <= now or pool.loans[0].left <= 0):
            expired = pool.loans.popleft()
            if expired.left > 0:
                self._telemetry.count("limit_grants_expired")
        missing, used = 1.0, []
        for loan in pool.loans:
            if loan.expires_at <= now:
                continue
            amount = min(loan.left, missing)
            used.append((loan, amount))
            missing -= amount
            if missing <= 0:
                break
        if missing > 0:
            return False
        for loan, amount in used:
            loan.left -= amount
            loan.used += amount
            self._mark_unreported(pool, loan)
        return True

    def _count_tokens(self, pool: Pool, now: float) -> float:
        return sum(loan.left for loan in pool.loans if loan.expires_at > now)

    def _note_demand(self, pool: Pool, now: float) -> None:
        kept = math.exp(-max(0.0, now - pool.demand_at) / DEMAND_MEMORY_S)
        pool.demand_per_s = pool.demand_per_s * kept + 1 / DEMAND_MEMORY_S
        pool.demand_at = now

    def _read_demand(self, pool: Pool, now: float) -> float:
        return pool.demand_per_s * math.exp(-max(0.0, now - pool.demand_at) / DEMAND_MEMORY_S)

    def _queue_is_full(self, pool: Pool, now: float) -> bool:
        if pool.supply is not Supply.OVER_RATE:
            return False
        return len(pool.waiters) >= self._queue_limit(pool)

    def _queue_limit(self, pool: Pool) -> int:
        # A proxy gets at most the account's rate, so what stands further back waits in vain.
        return max(1, math.floor(pool.account.rate_per_s * OVER_RATE_WAIT_S))

    def _refuse(self, pool: Pool, now: float) -> NotRun:
        refusal = self._build_refusal(pool, now)
        self._telemetry.count("limit_refusals", reason=refusal.reason.value)
        return refusal

    def _build_refusal(self, pool: Pool, now: float) -> NotRun:
        if pool.supply is Supply.OVER_RATE:
            behind = (len(pool.waiters) + 1) / pool.account.rate_per_s
            reason, retry_after_s = RefusalReason.RATE_EXCEEDED, behind
        else:
            reason, retry_after_s = RefusalReason.LIMIT_UNAVAILABLE, UNAVAILABLE_RETRY_S
        return NotRun(
            reason=reason,
            detail=f"client account {pool.account.name}",
            retry_after_s=max(retry_after_s, pool.retry_at - now),
        )

    def _prefetch(self, pool: Pool, now: float) -> None:
        demand = self._read_demand(pool, now)
        if demand * PREFETCH_S < 1 or pool.task is not None or now < pool.retry_at:
            return
        if self._count_tokens(pool, now) < demand * LOW_WATER_S:
            self._fetch(pool)

    def _fetch(self, pool: Pool) -> None:
        if pool.task is None:
            pool.task = asyncio.ensure_future(self._supply(pool))
            pool.task.add_done_callback(lambda task: self._end_fetch(pool, task))

    def _end_fetch(self, pool: Pool, task: "asyncio.Task[None]") -> None:
        pool.task = None
        if task.cancelled():
            return
        if task.exception() is not None:
            self._log.error("token_request_failed", error=repr(task.exception()))
            pool.supply = Supply.UNAVAILABLE
            pool.retry_at = self._clock.monotonic() + UNAVAILABLE_RETRY_S
        if pool.waiters:
            self._fetch(pool)

    async def _supply(self, pool: Pool) -> None:
        """Ask for tokens until nobody waits."""
        while True:
            self._expire_waiters(pool)
            now = self._clock.monotonic()
            if pool.waiters and now < pool.retry_at:
                ends = min(self._find_end(pool, waiter) for waiter in pool.waiters)
                await self._clock.sleep(max(0.001, min(pool.retry_at, ends) - now))
                continue
            needed = len(pool.waiters)
            ahead = math.floor(self._read_demand(pool, now) * PREFETCH_S)
            have = math.floor(self._count_tokens(pool, now))
            if needed + ahead <= have:
                self._admit(pool)
                return
            await self._ask(pool, max(0, needed - have), needed + ahead - have)
            self._admit(pool)
            if not pool.waiters:
                self._watch_idle(pool)
                return

    def _admit(self, pool: Pool) -> None:
        now = self._clock.monotonic()
        while pool.waiters:
            waiter = pool.waiters[0]
            # The caller may have given up, which cancels its future.
            if not waiter.admitted.done():
                if now >= waiter.deadline:
                    break
                if not self._take(pool, now):
                    break
                waiter.admitted.set_result(None)
            pool.waiters.popleft()
        self._expire_waiters(pool)

    def _find_end(self, pool: Pool, waiter: Waiter) -> float:
        if pool.supply is Supply.OVER_RATE:
            return min(waiter.deadline, waiter.since + OVER_RATE_WAIT_S)
        return waiter.deadline

    def _expire_waiters(self, pool: Pool) -> None:
        now = self._clock.monotonic()
        kept: deque[Waiter] = deque()
        limit = self._queue_limit(pool) if pool.supply is Supply.OVER_RATE else math.inf
        for waiter in pool.waiters:
            if waiter.admitted.done():
                continue
            if now >= self._find_end(pool, waiter) or len(kept) >= limit:
                waiter.admitted.set_result(self._refuse(pool, now))
            else:
                kept.append(waiter)
        pool.waiters = kept

    async def _ask(self, pool: Pool, needed: int, wanted: int) -> None:
        """Ask holders in order until one grants enough; note how it ended."""
        holders, retry_after_s, answered = self._list_holders(pool), UNAVAILABLE_RETRY_S, False
        borrow = True
        for holder in holders:
            answer = await self._call(pool, holder, needed, wanted, borrow)
            if answer is None or answer.status is TokenStatus.ACCOUNT_UNKNOWN:
                continue
            if answer.status is TokenStatus.NOT_HOLDER:
                self._directory.merge(answer.holders)
                continue
            retry_after_s = (
                min(retry_after_s, answer.retry_after_s) if answered else (answer.retry_after_s)
            )
            answered = True
            granted = math.floor(sum(grant.amount for grant in answer.grants))
            needed, wanted = max(0, needed - granted), max(0, wanted - granted)
            if answer.status is TokenStatus.GRANTED:
                pool.supply, pool.retry_at = Supply.GRANTED, 0.0
                return
            if answer.status is TokenStatus.OVER_RATE:
                break
            borrow = False
        pool.supply = Supply.OVER_RATE if answered else Supply.UNAVAILABLE
        if not answered:
            await self._find_missing_holders()
        pool.retry_at = self._clock.monotonic() + retry_after_s

    async def _call(
        self, pool: Pool, holder: LimitMember, needed: int, wanted: int, borrow: bool
    ) -> TokenAnswer | None:
        address, sent_at = holder.address, self._clock.monotonic()
        local = holder.vm == self._membership.local.vm
        reports = self._take_reports(pool, address)
        request = TokenRequest(
            account=pool.account.name,
            needed=float(needed),
            wanted=float(wanted),
            borrow=borrow,
            fractional=False,
            lender_incarnation=holder.incarnation,
            reports=reports,
        )
        try:
            if local:
                answer: object = await self._lender.serve(request)
            else:
                self._telemetry.count("limit_calls", purpose="tokens")
                answer = await self._transport.call(address, request, timeout_s=CALL_TIMEOUT_S)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self._note_failure(address, error)
            return None
        assert isinstance(answer, TokenAnswer)
        self._silent.pop(address, None)
        self._keep(pool, address, answer, sent_at)
        return answer

    def _keep(self, pool: Pool, address: str, answer: TokenAnswer, sent_at: float) -> None:
        for grant in answer.grants:
            pool.loans.append(
                ReceivedGrant(
                    account=pool.account.name,
                    lender=address,
                    lender_incarnation=answer.incarnation,
                    share=grant.share,
                    grant=grant.grant,
                    left=grant.amount,
                    expires_at=sent_at + answer.lifetime_s,
                )
            )

    def _list_holders(self, pool: Pool) -> list[LimitMember]:
        now = self._clock.monotonic()
        found: dict[str, LimitMember] = {}
        account = pool.account
        for share in choose_shares(account.name, account.burst, self._count_shares()):
            member = self._directory.find_member(share)
            if member is not None and self._silent.get(member.address, (0.0, 0.0))[0] <= now:
                found[member.vm] = member
        return order_holders(account.name, self._membership.local, list(found.values()))

    def _note_failure(self, address: str, error: Exception) -> None:
        self._telemetry.count("limit_call_failures", reason=type(error).__name__)
        now = self._clock.monotonic()
        until, last_wait = self._silent.get(address, (0.0, HOLDER_RETRY_S / 2))
        if now < until:
            # Calls of several accounts that fail together are one failure of the holder.
            return
        wait = min(MAX_HOLDER_RETRY_S, 2 * last_wait)
        self._silent[address] = (now + wait, wait)

    def _mark_unreported(self, pool: Pool, loan: ReceivedGrant) -> None:
        waiting = self._unreported.setdefault(loan.lender, {})
        waiting[loan.share, loan.grant] = loan
        if loan.lender not in self._flushes:
            refill_s = pool.account.burst / pool.account.rate_per_s
            delay_s = min(REPORT_DELAY_S, REPORT_DELAY_FRACTION * refill_s)
            self._flushes[loan.lender] = asyncio.ensure_future(
                self._flush_later(loan.lender, delay_s)
            )

    def _take_reports(self, pool: Pool, address: str) -> tuple[GrantReport, ...]:
        waiting = self._unreported.get(address, {})
        chosen = [key for key, loan in waiting.items() if loan.account == pool.account.name]
        return tuple(waiting.pop(key).report() for key in chosen)

    async def _flush_later(self, address: str, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        self._flushes.pop(address, None)
        self._flush(address)

    def _flush(self, address: str) -> None:
        loans = list(self._unreported.pop(address, {}).values())
        by_incarnation: dict[int, list[GrantReport]] = {}
        for loan in loans:
            by_incarnation.setdefault(loan.lender_incarnation, []).append(loan.report())
        for incarnation, reports in by_incarnation.items():
            if address == self._membership.local.address:
                self._lender.apply_reports(incarnation, reports)
                continue
            for start in range(0, len(reports), MAX_REPORTS_PER_DATAGRAM):
                part = tuple(reports[start : start + MAX_REPORTS_PER_DATAGRAM])
                self._transport.send_datagram(
                    address, TokenReport(lender_incarnation=incarnation, reports=part)
                )

    def _watch_idle(self, pool: Pool) -> None:
        """Return tokens that stay unused, so that they serve requests at other proxies."""
        name = pool.account.name
        if name not in self._idle and pool.loans:
            self._idle[name] = asyncio.ensure_future(self._return_later(pool))

    async def _return_later(self, pool: Pool) -> None:
        while pool.loans:
            now = self._clock.monotonic()
            idle_at = pool.demand_at + IDLE_RETURN_S
            if now >= idle_at:
                self._return_unused(pool)
                break
            await self._clock.sleep(idle_at - now + 0.001)
        self._idle.pop(pool.account.name, None)

    def _return_unused(self, pool: Pool) -> None:
        while pool.loans:
            loan = pool.loans.popleft()
            if loan.left > 0:
                loan.returned, loan.left = loan.returned + loan.left, 0.0
                self._mark_unreported(pool, loan)
