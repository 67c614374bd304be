"""Questions where a request would go, and their answers, as they are encoded in JSON."""

from dataclasses import dataclass
from enum import StrEnum, unique

from ..catalog.model import Consistency, ServerRole

# Increases with each change that an older reader would misunderstand.
FORMAT = 1


@unique
class RequestKind(StrEnum):
    """Name the kinds of requests that go different ways."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"
    READ_ONLY_TRANSACTION = "read-only-transaction"


@dataclass(frozen=True, kw_only=True)
class RouteQuestion:
    """Describe a request by its route's database or name, its kind and the hash of its key."""

    route: str
    kind: RequestKind
    key_hash: str = ""


@dataclass(frozen=True, kw_only=True)
class RouteView:
    """Describe a route; statements wait for a slot for `patience_s` at most."""

    name: str
    database: str
    service: str
    consistency: Consistency
    statement_timeout_s: float
    patience_s: float
    max_staleness_s: float | None


@dataclass(frozen=True, kw_only=True)
class AccountView:
    """Describe an account and the tokens that are left of its rate.

    `pool_tokens` is None if the region's pool is held by another proxy, which was not asked. With
    `must_borrow`, an operation is admitted only if the pool of another region lends a token.
    """

    name: str
    rate_per_s: float
    burst: float
    stock_tokens: int
    pool_tokens: float | None
    pool_holder: str
    must_borrow: bool


@dataclass(frozen=True, kw_only=True)
class GatewayView:
    """Describe a gateway of a server; one that did not answer lately is ranked last."""

    vm: str
    failure_domain: str
    is_ranked_last: bool


@dataclass(frozen=True, kw_only=True)
class CandidateView:
    """Describe a server in the order of choice, and what its place results from.

    `wait_s` is the estimated wait for a slot; reads are ranked by a wait drawn between the least
    and the greatest. `is_tried` is false for servers beyond the greatest number of attempts.
    """

    server: str
    role: ServerRole
    failure_domain: str
    cost_s: float
    round_trip_s: float
    wait_s: float
    least_wait_s: float
    greatest_wait_s: float
    primary_penalty_s: float
    failure_penalty_s: float
    lag_penalty_s: float
    is_bad: bool
    is_tried: bool
    gateways: tuple[GatewayView, ...]


@dataclass(frozen=True, kw_only=True)
class ExclusionView:
    """Say why a server of the service would not run the request."""

    server: str
    failure_domain: str
    reason: str


@dataclass(frozen=True, kw_only=True)
class RefusalView:
    """Describe a refusal; the request first waits up to `after_s` for the cause to end."""

    failure: str
    detail: str
    retry_after_s: float | None
    after_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RouteExplanation:
    """Say where a request would go now.

    The first of the refusals, if any, is the one that the caller would get. `account` is None for
    callers without an account. Lists of servers are cut at a fixed length; `servers` is the number
    of all servers of the service.
    """

    format: int
    proxy: str
    kind: RequestKind
    manifest_version: int
    manifest_age_s: float | None
    is_key_known: bool
    refusals: tuple[RefusalView, ...]
    route: RouteView | None = None
    account: AccountView | None = None
    servers: int = 0
    candidates: tuple[CandidateView, ...] = ()
    excluded: tuple[ExclusionView, ...] = ()
