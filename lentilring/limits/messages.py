"""Messages of the rate limits; amounts in tokens, times in seconds."""

from dataclasses import dataclass
from enum import StrEnum

from ..peers.messages import message


class TokenStatus(StrEnum):
    """Say how a holder answered a request for tokens."""

    GRANTED = "granted"
    SHORT = "short"
    OVER_RATE = "over_rate"
    NOT_HOLDER = "not_holder"
    ACCOUNT_UNKNOWN = "account_unknown"


@message
@dataclass(frozen=True, kw_only=True)
class ShareHolder:
    """Say who holds a share; `version` is that of its record, an empty VM means nobody."""

    share: int
    vm: str
    incarnation: int
    address: str
    version: int


@message
@dataclass(frozen=True, kw_only=True)
class GrantReport:
    """Report the totals of a grant that were used and returned so far."""

    account: str
    share: int
    grant: int
    used: float
    returned: float


@message
@dataclass(frozen=True, kw_only=True)
class TokenGrant:
    """Lend tokens of one share."""

    share: int
    grant: int
    amount: float


@message
@dataclass(frozen=True, kw_only=True)
class TokenRequest:
    """Ask a holder for `needed` to `wanted` tokens.

    A request with `borrow` lets the holder borrow from others and lends whole tokens in sum; one
    without is served from the holder's own buckets. `lender_incarnation` is the one that the
    reports are meant for.
    """

    account: str
    needed: float
    wanted: float
    borrow: bool
    fractional: bool
    lender_incarnation: int
    reports: tuple[GrantReport, ...]


@message
@dataclass(frozen=True, kw_only=True)
class TokenAnswer:
    """Answer a request for tokens; grants last `lifetime_s` from before the request was sent."""

    status: TokenStatus
    incarnation: int
    lifetime_s: float
    retry_after_s: float
    level: float
    grants: tuple[TokenGrant, ...]
    holders: tuple[ShareHolder, ...]


@message
@dataclass(frozen=True, kw_only=True)
class TokenReport:
    """Report uses and returns to the incarnation that lent the tokens."""

    lender_incarnation: int
    reports: tuple[GrantReport, ...]


@message
@dataclass(frozen=True, kw_only=True)
class DirectoryRequest:
    """Ask a peer for its directory of holders unless its digest is the same."""

    digest: int


@message
@dataclass(frozen=True, kw_only=True)
class DirectoryAnswer:
    """Carry a directory of holders; empty if the digests are the same."""

    holders: tuple[ShareHolder, ...]


@message
@dataclass(frozen=True, kw_only=True)
class ShareAnnouncement:
    """Announce the new holder of a share."""

    holder: ShareHolder


@message
@dataclass(frozen=True, kw_only=True)
class ShareOffer:
    """Offer a share that its holder has just released."""

    share: int


@message
@dataclass(frozen=True, kw_only=True)
class TakeTokens:
    """Ask a region's pool for whole tokens."""

    account: str
    wanted: int


@message
@dataclass(frozen=True, kw_only=True)
class TokensTaken:
    """Grant tokens; `retry_after_s` says when the next one is there."""

    granted: int
    retry_after_s: float = 0.0


@message
@dataclass(frozen=True, kw_only=True)
class LendTokens:
    """Ask the pool of another region for a loan."""

    account: str
    wanted: float


@message
@dataclass(frozen=True, kw_only=True)
class TokensLent:
    """Lend tokens."""

    amount: float


@message
@dataclass(frozen=True, kw_only=True)
class ProxyPresence:
    """Tell a region's pool that its sender uses it."""

    incarnation: int


@message
@dataclass(frozen=True, kw_only=True)
class ReturnTokens:
    """Give tokens of operations that did not run back to a region's pool."""

    account: str
    amount: int
