"""Explains where a request over HTTP would go now, by the decisions of routing and limits.

Nothing is sent, no token is taken and no state changes that requests depend on. The work is bounded
by the number of backend servers of one database.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from ..configuration.drain import is_in_service
from ..configuration.models import (
    BackendServer,
    ClientAccount,
    Database,
    RouteKind,
    ServiceDefinition,
)
from ..configuration.service import ConfigurationService
from ..limits.remaining import HeldTokens
from ..limits.service import LimitService
from ..membership.member import Member
from ..outcomes import NotRun, RefusalReason
from ..pool.messages import GatewayReply
from ..transactions.messages import Step
from .admission import Authorization, authorize
from .request import CallerRequest
from .service import TRANSIENT_REFUSALS, RoutingService
from .topology import find_database

# Increases with each change that an older reader would misunderstand.
FORMAT = 1
# Route name that stands for a transaction, as in the paths of callers' requests.
TRANSACTIONS = "transactions"
MAX_SERVERS = 16


@dataclass(frozen=True, kw_only=True)
class RequestQuestion:
    """Describe a request by its path, the hash of its key and the account that it names."""

    service: str
    database: str
    route: str
    key_hash: str = ""
    account: str = ""


@dataclass(frozen=True, kw_only=True)
class RefusalView:
    """Describe a refusal; with `is_retried`, the proxy tries again until the deadline first."""

    reason: str
    detail: str
    retry_after_s: float | None
    is_retried: bool


@dataclass(frozen=True, kw_only=True)
class AccountView:
    """Describe an account and its lent tokens at this proxy.

    `supply` says how the last request for tokens ended, `holders` who is asked for more.
    """

    name: str
    rate_per_s: float
    burst: float
    tokens: float
    waiting: int
    supply: str
    holders: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class GatewayView:
    """Describe a gateway; one that did not answer lately is avoided, so it is last."""

    vm: str
    failure_domain: str
    is_avoided: bool


@dataclass(frozen=True, kw_only=True)
class CandidateView:
    """Describe a server in the order in which servers are tried."""

    server: str
    failure_domain: str
    region: str
    is_primary: bool
    gateways: tuple[GatewayView, ...]


@dataclass(frozen=True, kw_only=True)
class ExclusionView:
    """Say why a server would not be tried."""

    server: str
    reason: str


@dataclass(frozen=True, kw_only=True)
class RequestExplanation:
    """Say where a request would go now; the first of the refusals is the one callers get."""

    format: int
    proxy: str
    failure_domain: str
    region: str
    revision: int
    is_configuration_fresh: bool
    refusals: tuple[RefusalView, ...] = ()
    kind: str = ""
    max_staleness_s: float | None = None
    account: AccountView | None = None
    servers: int = 0
    candidates: tuple[CandidateView, ...] = ()
    excluded: tuple[ExclusionView, ...] = ()


class HashedKeys:
    """Find accounts by hashes in place of keys; implements AccountsView."""

    def __init__(self, configuration: ConfigurationService) -> None:
        self._configuration = configuration

    def find_account_by_key(self, key: str) -> ClientAccount | None:
        """Return the client account that the key with this hash belongs to."""
        return self._configuration.find_account_by_key_hash(key)

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account by its name."""
        return self._configuration.account(name)

    def service(self, name: str) -> ServiceDefinition | None:
        """Return a service by its name."""
        return self._configuration.service(name)

    def is_fresh(self) -> bool:
        """Tell whether all keys withdrawn longer ago than the withdrawal bound are gone."""
        return self._configuration.is_fresh()


class RequestExplainer:
    """Answer where requests would go, from the state of one proxy."""

    def __init__(
        self,
        *,
        local: Member,
        configuration: ConfigurationService,
        routing: RoutingService,
        limits: LimitService,
        refuse_request: Callable[[], NotRun | None],
    ) -> None:
        self._local, self._configuration = local, configuration
        self._routing, self._limits, self._dispatcher = routing, limits, routing.dispatcher
        self._refuse_request = refuse_request

    def explain(self, question: RequestQuestion) -> RequestExplanation:
        """Return where a request would go and which refusals it would get, first one first."""
        stopping = self._refuse_request()
        explanation = RequestExplanation(
            format=FORMAT,
            proxy=self._local.vm,
            failure_domain=self._local.failure_domain,
            region=self._local.region,
            revision=self._configuration.revision,
            is_configuration_fresh=self._configuration.is_fresh(),
            refusals=() if stopping is None else (_build_refusal(stopping),),
        )
        request = CallerRequest(
            request_id="",
            service=question.service,
            database=question.database,
            timeout_s=0.0,
            key=question.key_hash or None,
            client_account=question.account,
            route=question.route,
            step=Step.BEGIN if question.route == TRANSACTIONS else None,
        )
        authorization = authorize(request, HashedKeys(self._configuration))
        if isinstance(authorization, NotRun):
            return _add_refusal(explanation, authorization)
        in_flight = self._routing.check_in_flight(authorization.account.name)
        if in_flight is not None:
            explanation = _add_refusal(explanation, in_flight)
        held = self._limits.preview(authorization.account)
        if held.refusal is not None:
            explanation = _add_refusal(explanation, held.refusal)
        explanation = replace(
            explanation,
            kind=authorization.route.kind,
            max_staleness_s=authorization.max_staleness_s,
            account=_build_account(authorization.account, held),
        )
        return self._add_servers(explanation, authorization)

    def _add_servers(
        self, explanation: RequestExplanation, authorization: Authorization
    ) -> RequestExplanation:
        database = find_database(self._configuration, authorization.group)
        if database is None:
            return explanation
        primary = self._routing.find_primary(authorization.group)
        chosen: tuple[BackendServer, ...] = ()
        lagging: tuple[BackendServer, ...] = ()
        refusal: NotRun | None = None
        if authorization.route.kind is RouteKind.READ:
            # The order of servers at the same distance is random for each read.
            order = self._routing.order_read_servers(
                authorization, database, position=0, random_source=Random(0)
            )
            chosen, lagging = order.servers, order.left_out
            if not chosen:
                refusal = NotRun(reason=RefusalReason.NO_PRIMARY)
        elif isinstance(primary, GatewayReply):
            refusal = NotRun(reason=RefusalReason(primary.reason), detail=primary.detail)
        else:
            chosen = (primary,)
        if refusal is not None:
            is_retried = refusal.reason in TRANSIENT_REFUSALS
            explanation = _add_refusal(explanation, refusal, is_retried=is_retried)
        names = {server.name for server in chosen}
        left = [server for server in database.backend_servers if server.name not in names]
        primary_name = "" if isinstance(primary, GatewayReply) else primary.name
        return replace(
            explanation,
            servers=len(database.backend_servers),
            candidates=tuple(
                self._build_candidate(authorization, server, primary_name)
                for server in chosen[:MAX_SERVERS]
            ),
            excluded=tuple(
                ExclusionView(
                    server=server.name,
                    reason=self._find_reason(database, server, is_lagging=server in lagging),
                )
                for server in left[:MAX_SERVERS]
            ),
        )

    def _find_reason(self, database: Database, server: BackendServer, *, is_lagging: bool) -> str:
        if is_lagging:
            return "it lagged a moment ago"
        if not is_in_service(self._configuration, database, server):
            return "it is drained"
        return "it is not the primary"

    def _build_candidate(
        self, authorization: Authorization, server: BackendServer, primary: str
    ) -> CandidateView:
        gateways = self._dispatcher.list_gateways(authorization.group, server)
        if authorization.route.kind is RouteKind.TRANSACTION:
            # Only the first is asked to open a transaction.
            gateways = gateways[:1]
        return CandidateView(
            server=server.name,
            failure_domain=server.failure_domain,
            region=server.region,
            is_primary=server.name == primary,
            gateways=tuple(
                GatewayView(
                    vm=member.vm,
                    failure_domain=member.failure_domain,
                    is_avoided=self._dispatcher.is_avoided(member.vm),
                )
                for member in gateways
            ),
        )


def _build_account(account: ClientAccount, held: HeldTokens) -> AccountView:
    return AccountView(
        name=account.name,
        rate_per_s=account.rate_per_s,
        burst=account.burst,
        tokens=held.tokens,
        waiting=held.waiting,
        supply=held.supply,
        holders=held.holders,
    )


def _add_refusal(
    explanation: RequestExplanation, refused: NotRun, *, is_retried: bool = False
) -> RequestExplanation:
    refusal = _build_refusal(refused, is_retried=is_retried)
    return replace(explanation, refusals=(*explanation.refusals, refusal))


def _build_refusal(refused: NotRun, *, is_retried: bool = False) -> RefusalView:
    return RefusalView(
        reason=refused.reason,
        detail=refused.detail,
        retry_after_s=refused.retry_after_s,
        is_retried=is_retried,
    )
