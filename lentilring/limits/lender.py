"""The holder's side: buckets of held shares, grants, and borrowing from other holders."""

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..clock import Clock
from ..configuration.models import ClientAccount
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..telemetry.metrics import Telemetry
from .bucket import GRANT_LIFETIME_S, GRANT_MARGIN_S, TokenBucket, round_down
from .directory import LimitMembership, ShareDirectory
from .lease import Lease
from .messages import (
    GrantReport,
    TokenAnswer,
    TokenGrant,
    TokenReport,
    TokenRequest,
    TokenStatus,
)
from .shares import (
    NO_LIMITS,
    ShareLimits,
    choose_shares,
    count_shares,
    divide_limits,
    take_least,
)

CHANGE_OVER_S = 5.0  # within which a new configuration is in force on every node
BORROW_TIMEOUT_S = 0.1
BORROW_AHEAD = 2.0  # a holder borrows this many times what its asker wants
PREFETCH_FRACTION = 0.25  # of the level, lent beyond what waiting requests need
MIN_RETRY_S = 0.01
# A holder that had less than half of what was asked for is asked again after this time, doubled
# each time: while an account is over its rate all holders are empty. Without the wait, holders took
# the same tokens from each other: 9,000 borrow calls/s for 840 admissions/s at 5 times the rate.
MIN_EMPTY_WAIT_S = 0.02
MAX_EMPTY_WAIT_S = 0.64
LENDER_RETRY_S = 1.0  # before a lender that did not answer is asked again
ROUNDING_S = 0.001


@dataclass(kw_only=True)
class Tenure:
    """Hold one share's lease with the buckets of this tenure, by account."""

    lease: Lease
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    closing: bool = False


@dataclass(kw_only=True)
class AccountLimitHistory:
    """Hold an account's parameters and those that may still be in force on other nodes.

    A new bucket fills from `settled_at`, when the present division took effect here. If it filled
    from the start of the tenure, a share that an account begins to use would add a whole burst to
    what the account just spent elsewhere.
    """

    rate_per_s: float
    burst: float
    share_counts: frozenset[int]
    settled_at: float
    previous: list[tuple[float, float, float]] = field(default_factory=list)


@dataclass(kw_only=True)
class LenderEstimate:
    """Hold what another holder had when it was last asked."""

    level: float
    measured_at: float
    empty_wait_s: float = 0.0  # until an empty holder is asked again


class Lender:
    """Lend tokens of the held shares."""

    def __init__(
        self,
        *,
        clock: Clock,
        transport: PeerTransport,
        telemetry: Telemetry,
        membership: LimitMembership,
        directory: ShareDirectory,
        find_account: Callable[[str], ClientAccount | None],
        share_counts: Callable[[], frozenset[int]],
        clock_tolerance: float,
    ) -> None:
        self.tenures: dict[int, Tenure] = {}
        self._clock, self._transport, self._telemetry = clock, transport, telemetry
        self._membership, self._directory = membership, directory
        self._find_account, self._share_counts = find_account, share_counts
        self._clock_tolerance = clock_tolerance
        self._limits: dict[str, AccountLimitHistory] = {}
        self._grant_ids = itertools.count(1)
        self._estimates: dict[tuple[str, str], LenderEstimate] = {}
        self._silent_until: dict[str, float] = {}
        self._borrowing: dict[str, asyncio.Lock] = {}

    async def serve(self, request: TokenRequest) -> TokenAnswer:
        """Answer a request for tokens."""
        self.apply_reports(request.lender_incarnation, request.reports)
        account = self._find_account(request.account)
        if account is None:
            return self._answer(request, TokenStatus.ACCOUNT_UNKNOWN)
        buckets = self._open_buckets(account)
        if not buckets:
            return self._answer(request, TokenStatus.NOT_HOLDER)
        over_rate = False
        if request.borrow and _sum_levels(buckets) < request.needed:
            over_rate = await self.borrow(account, request)
            # Time has passed: the leases and the parameters are checked again.
            account = self._find_account(request.account) or account
            buckets = self._open_buckets(account)
        grants = self._lend(request, buckets)
        granted = sum(grant.amount for grant in grants)
        status = TokenStatus.GRANTED
        if granted < request.needed:
            status = TokenStatus.OVER_RATE if over_rate else TokenStatus.SHORT
        level = _sum_levels(buckets)
        retry_after_s = max(MIN_RETRY_S, (1 - level) / account.rate_per_s + ROUNDING_S)
        return self._answer(request, status, grants, level, retry_after_s)

    def apply_reports(self, incarnation: int, reports: Iterable[GrantReport]) -> None:
        """Take reports of uses and returns; those meant for an earlier process are ignored."""
        if incarnation != self._membership.local.incarnation:
            return
        for report in reports:
            tenure = self.tenures.get(report.share)
            bucket = tenure.buckets.get(report.account) if tenure is not None else None
            if bucket is not None:
                bucket.report(report.grant, used=report.used, returned=report.returned)

    def update_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Note changes of accounts and open their buckets, so that idle ones fill as well."""
        for account in accounts:
            self._open_buckets(account)

    def count_outstanding(self, share: int) -> float:
        """Return the lent tokens of a share that may still be used."""
        tenure = self.tenures.get(share)
        return sum(bucket.outstanding for bucket in tenure.buckets.values()) if tenure else 0.0

    async def borrow(self, account: ClientAccount, request: TokenRequest) -> bool:
        """Fill up from other holders; True if all of them answered that they have none."""
        lock = self._borrowing.setdefault(account.name, asyncio.Lock())
        async with lock:
            if _sum_levels(self._open_buckets(account)) >= request.needed:
                return False
            exhausted = True
            for address in self._list_lenders(account):
                missing = request.needed - _sum_levels(self._open_buckets(account))
                if missing <= 0:
                    return False
                if self._is_dry(account, address):
                    continue
                answered = await self._borrow_from(account, address, missing, request.wanted)
                exhausted = exhausted and answered
            return exhausted and self._has_room(account)

    async def _borrow_from(
        self, account: ClientAccount, address: str, missing: float, wanted: float
    ) -> bool:
        """Borrow from one holder; False if it did not answer."""
        room = sum(bucket.room for _, bucket in self._open_buckets(account))
        amount = round_down(min(room, max(missing, BORROW_AHEAD * wanted)))
        if amount <= 0:
            return True
        request = TokenRequest(
            account=account.name,
            needed=amount,
            wanted=amount,
            borrow=False,
            fractional=True,
            lender_incarnation=0,
            reports=(),
        )
        sent_at = self._clock.monotonic()
        self._telemetry.count("limit_calls", purpose="borrow")
        try:
            answer = await self._transport.call(address, request, timeout_s=BORROW_TIMEOUT_S)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self._telemetry.count("limit_borrow_failures", reason=type(error).__name__)
            self._silent_until[address] = self._clock.monotonic() + LENDER_RETRY_S
            return False
        assert isinstance(answer, TokenAnswer)
        self._directory.merge(answer.holders)
        self._deposit(account, address, answer, sent_at)
        self._note_level(account, address, answer, amount)
        return answer.status not in (TokenStatus.NOT_HOLDER, TokenStatus.ACCOUNT_UNKNOWN)

    def _deposit(
        self, account: ClientAccount, address: str, answer: TokenAnswer, sent_at: float
    ) -> None:
        """Move borrowed tokens into the own buckets, then report them as used.

        Until the report arrives the lender counts them too, so they are never counted nowhere.
        """
        if not answer.grants or self._clock.monotonic() >= sent_at + answer.lifetime_s:
            return
        reports = []
        for grant in answer.grants:
            left = grant.amount
            for _, bucket in self._open_buckets(account):
                left -= bucket.deposit(left)
            used = grant.amount - left
            reports.append(_report(account.name, grant, used=used, returned=left))
        self._transport.send_datagram(
            address, TokenReport(lender_incarnation=answer.incarnation, reports=tuple(reports))
        )

    def _list_lenders(self, account: ClientAccount) -> list[str]:
        """Return the addresses of the account's other holders, the fullest first."""
        now = self._clock.monotonic()
        local = self._membership.local.vm
        found = set()
        for share in self._choose_shares(account):
            member = self._directory.find_member(share)
            if member is not None and member.vm != local:
                found.add(member.address)

        def guess(address: str) -> float:
            estimate = self._estimates.get((account.name, address))
            return -math.inf if estimate is None else -self._extrapolate(account, estimate, now)

        reachable = [entry for entry in found if self._silent_until.get(entry, 0.0) <= now]
        return sorted(reachable, key=lambda address: (guess(address), address))

    def _note_level(
        self, account: ClientAccount, address: str, answer: TokenAnswer, asked: float
    ) -> None:
        known = self._estimates.get((account.name, address))
        wait_s = 0.0
        if sum(grant.amount for grant in answer.grants) < asked / 2:
            before = known.empty_wait_s if known is not None else 0.0
            # Half the time to refill, so that a holder that only lends never stands full.
            longest_s = min(MAX_EMPTY_WAIT_S, account.burst / account.rate_per_s / 2)
            wait_s = min(longest_s, max(MIN_EMPTY_WAIT_S, 2 * before))
        self._estimates[account.name, address] = LenderEstimate(
            level=answer.level, measured_at=self._clock.monotonic(), empty_wait_s=wait_s
        )

    def _is_dry(self, account: ClientAccount, address: str) -> bool:
        """Tell whether a holder was empty so recently that asking again is useless."""
        estimate = self._estimates.get((account.name, address))
        if estimate is None:
            return False
        return self._clock.monotonic() - estimate.measured_at < estimate.empty_wait_s

    def _extrapolate(self, account: ClientAccount, estimate: LenderEstimate, now: float) -> float:
        parts = count_shares(account.burst, max(self._share_counts(), default=1))
        gained = (now - estimate.measured_at) * account.rate_per_s / parts
        return min(account.burst / parts, estimate.level + gained)

    def _has_room(self, account: ClientAccount) -> bool:
        """Tell whether lent tokens leave room to borrow; otherwise others must be asked."""
        return any(bucket.room > 0 for _, bucket in self._open_buckets(account))

    def _lend(
        self, request: TokenRequest, buckets: list[tuple[int, TokenBucket]]
    ) -> tuple[TokenGrant, ...]:
        level = _sum_levels(buckets)
        spare = max(0.0, level - request.needed) * PREFETCH_FRACTION
        amount = min(request.wanted, level, request.needed + spare)
        if not request.fractional:
            amount = math.floor(amount)
        grants = []
        for share, bucket in buckets:
            grant = next(self._grant_ids)
            lent = bucket.lend(grant, amount)
            amount -= lent
            if lent > 0:
                grants.append(TokenGrant(share=share, grant=grant, amount=lent))
        return tuple(grants)

    def _open_buckets(self, account: ClientAccount) -> list[tuple[int, TokenBucket]]:
        """Return the buckets of the shares that may grant now, with their limits up to date."""
        now = self._clock.monotonic()
        limits = self._track_limits(account, now)
        found = []
        for share, tenure in self.tenures.items():
            # Grants must have expired before another process can hold the share.
            usable = tenure.lease.is_held(for_s=GRANT_LIFETIME_S + GRANT_MARGIN_S)
            if not usable or tenure.closing or now < tenure.lease.usable_from:
                continue
            part = self._find_part(account.name, share, limits)
            if part.burst <= 0:
                # The bucket, if any, keeps its outstanding grants and its cap falls to zero.
                if account.name in tenure.buckets:
                    tenure.buckets[account.name].set_limits(rate_per_s=0.0, burst=0.0)
                continue
            fill_from = max(tenure.lease.usable_from, limits.settled_at)
            bucket = self._open_bucket(tenure, account.name, part, fill_from)
            found.append((share, bucket))
        return found

    def _open_bucket(
        self, tenure: Tenure, account: str, part: ShareLimits, fill_from: float
    ) -> TokenBucket:
        bucket = tenure.buckets.get(account)
        if bucket is None:
            bucket = tenure.buckets[account] = TokenBucket(
                clock=self._clock,
                rate_per_s=part.rate_per_s,
                burst=part.burst,
                fill_from=fill_from,
                clock_tolerance=self._clock_tolerance,
            )
        if (bucket.rate_per_s, bucket.burst) != (part.rate_per_s, part.burst):
            bucket.set_limits(rate_per_s=part.rate_per_s, burst=part.burst)
        return bucket

    def _track_limits(self, account: ClientAccount, now: float) -> AccountLimitHistory:
        """Note changes of an account's division; one that changes its shares takes a while."""
        counts = self._share_counts()
        limits = self._limits.get(account.name)
        if limits is None:
            limits = self._limits[account.name] = AccountLimitHistory(
                rate_per_s=account.rate_per_s,
                burst=account.burst,
                share_counts=counts,
                settled_at=now,
            )
        old = (limits.rate_per_s, limits.burst)
        if old != (account.rate_per_s, account.burst):
            if self._count_parts(limits.burst) != self._count_parts(account.burst):
                limits.previous.append((now + CHANGE_OVER_S, *old))
            limits.rate_per_s, limits.burst = account.rate_per_s, account.burst
            limits.settled_at = now
        if limits.share_counts != counts:
            limits.share_counts, limits.settled_at = counts, now
        remaining = [entry for entry in limits.previous if entry[0] > now]
        if len(remaining) < len(limits.previous):
            limits.previous, limits.settled_at = remaining, now
        return limits

    def _count_parts(self, burst: float) -> tuple[int, ...]:
        return tuple(count_shares(burst, shares) for shares in sorted(self._share_counts()))

    def _find_part(self, account: str, share: int, limits: AccountLimitHistory) -> ShareLimits:
        """Return a share's part, the least over all divisions that may be in force."""
        parameters = [(limits.rate_per_s, limits.burst)]
        parameters += [(rate, burst) for _, rate, burst in limits.previous]
        parts = [
            divide_limits(account, rate, burst, shares).get(share, NO_LIMITS)
            for shares in self._share_counts()
            for rate, burst in parameters
        ]
        return take_least(parts) if parts else NO_LIMITS

    def _choose_shares(self, account: ClientAccount) -> set[int]:
        chosen: set[int] = set()
        for shares in self._share_counts():
            chosen.update(choose_shares(account.name, account.burst, shares))
        return chosen

    def _answer(
        self,
        request: TokenRequest,
        status: TokenStatus,
        grants: tuple[TokenGrant, ...] = (),
        level: float = 0.0,
        retry_after_s: float = MIN_RETRY_S,
    ) -> TokenAnswer:
        holders = self._directory.list_holders() if status is TokenStatus.NOT_HOLDER else ()
        return TokenAnswer(
            status=status,
            incarnation=self._membership.local.incarnation,
            lifetime_s=GRANT_LIFETIME_S,
            retry_after_s=retry_after_s,
            level=level,
            grants=grants,
            holders=holders,
        )


def _sum_levels(buckets: list[tuple[int, TokenBucket]]) -> float:
    return sum(bucket.level for _, bucket in buckets)


def _report(account: str, grant: TokenGrant, *, used: float, returned: float) -> GrantReport:
    return GrantReport(
        account=account, share=grant.share, grant=grant.grant, used=used, returned=returned
    )
