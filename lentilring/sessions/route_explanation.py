"""Explains where a request would go now, by the decisions of the router and the limiter.

Nothing is sent, no token is taken and no state changes. The work is bounded by the number of
servers of one service.
"""

import math
from dataclasses import replace

from ..catalog.model import DatabaseRoute, ServerEntry
from ..catalog.service import CatalogService
from ..configuration.accounts import ClientAccount
from ..gateways.dispatch import StatementDispatcher
from ..gateways.messages import StatementKind, TransactionOpening
from ..statements.model import Failed
from .calls import AccountRateLimiter
from .choice import FreshnessBound, ReadCost
from .context import Admission
from .route_messages import (
    FORMAT,
    AccountView,
    CandidateView,
    ExclusionView,
    GatewayView,
    RefusalView,
    RequestKind,
    RouteExplanation,
    RouteQuestion,
    RouteView,
)
from .router import (
    MAX_READ_ATTEMPTS,
    NO_PRIMARY,
    NO_READ_SERVER,
    STOPPING,
    StatementRouter,
    build_limit_refusal,
    choose_opening,
    find_patience_s,
    replicas_may_run,
)

# A service has three servers; the limit bounds the answer if many are registered.
MAX_SERVERS = 16
NOT_PRIMARY = "it is not the primary"


class RouteExplainer:
    """Answer where requests would go, from the state of one proxy."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        router: StatementRouter,
        dispatcher: StatementDispatcher,
        limiter: AccountRateLimiter,
    ) -> None:
        self._catalog, self._router = catalog, router
        self._dispatcher, self._limiter = dispatcher, limiter

    def explain(self, question: RouteQuestion) -> RouteExplanation:
        """Return where a request would go and which refusals it would get, first one first."""
        account = None
        if question.key_hash:
            account = self._catalog.find_account_by_key_hash(question.key_hash)
        stale = self._router.check_configuration()
        explanation = RouteExplanation(
            format=FORMAT,
            proxy=self._dispatcher.local.vm,
            kind=question.kind,
            manifest_version=self._catalog.version,
            manifest_age_s=_find_finite(self._catalog.manifest_age_s()),
            is_key_known=account is not None,
            refusals=() if stale is None else (_build_refusal(stale),),
        )
        if self._catalog.manifest is None:
            return explanation
        admission = self._router.check_access(self._find_database(question.route), account)
        if isinstance(admission, Failed):
            return _add_refusal(explanation, admission)
        if self._router.is_too_late(admission, StatementKind.READ):
            explanation = _add_refusal(explanation, STOPPING)
        explanation = replace(explanation, route=_build_route(admission.route))
        if account is not None:
            explanation = self._add_account(explanation, account)
        if _may_use_replicas(admission.route, question.kind):
            return self._add_read_servers(explanation, admission)
        return self._add_primary(explanation, admission)

    def _find_database(self, name: str) -> str:
        """Return the database of the route that has it or that has this name."""
        if self._catalog.find_route(name) is not None or self._catalog.manifest is None:
            return name
        routes = self._catalog.manifest.routes.values()
        return next((route.database for route in routes if route.name == name), name)

    def _add_account(
        self, explanation: RouteExplanation, account: ClientAccount
    ) -> RouteExplanation:
        remaining = self._limiter.preview(account)
        if remaining.refusal is not None:
            refusal = build_limit_refusal(account, remaining.refusal)
            explanation = _add_refusal(explanation, refusal)
        view = AccountView(
            name=account.name,
            rate_per_s=account.rate_per_s,
            burst=account.burst,
            stock_tokens=remaining.stock_tokens,
            pool_tokens=remaining.pool_tokens,
            pool_holder=remaining.pool_holder,
            must_borrow=remaining.must_borrow,
        )
        return replace(explanation, account=view)

    def _add_read_servers(
        self, explanation: RouteExplanation, admission: Admission
    ) -> RouteExplanation:
        bound = FreshnessBound(max_staleness_s=admission.route.max_staleness_s)
        costs = self._router.preview_read_costs(admission, bound)
        if not costs:
            explanation = _add_refusal(explanation, NO_READ_SERVER)
        return self._add_servers(explanation, admission, costs)

    def _add_primary(self, explanation: RouteExplanation, admission: Admission) -> RouteExplanation:
        primary = self._router.find_usable_primary(admission)
        if primary is None:
            wait_s = self._router.find_primary_wait_s(admission)
            return self._add_servers(_add_refusal(explanation, NO_PRIMARY, wait_s), admission, [])
        cost = self._router.preview_primary_cost(admission, primary)
        return self._add_servers(explanation, admission, [cost])

    def _add_servers(
        self, explanation: RouteExplanation, admission: Admission, costs: list[ReadCost]
    ) -> RouteExplanation:
        servers = self._catalog.servers.by_service.get(admission.route.service, ())
        chosen = {cost.server.id for cost in costs}
        others = [server for server in servers if server.id not in chosen]
        return replace(
            explanation,
            servers=len(servers),
            candidates=tuple(
                self._build_candidate(cost, is_tried=place < MAX_READ_ATTEMPTS)
                for place, cost in enumerate(costs[:MAX_SERVERS])
            ),
            excluded=tuple(
                self._build_exclusion(admission, server) for server in others[:MAX_SERVERS]
            ),
        )

    def _build_candidate(self, cost: ReadCost, *, is_tried: bool) -> CandidateView:
        server = cost.server
        least_wait_s, greatest_wait_s = self._router.find_wait_range_s(server.id)
        return CandidateView(
            server=server.id,
            role=server.role,
            failure_domain=server.failure_domain,
            cost_s=cost.total_s,
            round_trip_s=cost.round_trip_s,
            wait_s=cost.wait_s,
            least_wait_s=least_wait_s,
            greatest_wait_s=greatest_wait_s,
            primary_penalty_s=cost.primary_penalty_s,
            failure_penalty_s=cost.failure_penalty_s,
            lag_penalty_s=cost.lag_penalty_s,
            is_bad=cost.is_bad,
            is_tried=is_tried,
            gateways=self._list_gateways(server),
        )

    def _list_gateways(self, server: ServerEntry) -> tuple[GatewayView, ...]:
        return tuple(
            GatewayView(
                vm=gateway.vm,
                failure_domain=gateway.failure_domain,
                is_ranked_last=self._dispatcher.is_ranked_last(gateway.vm, server.id),
            )
            for gateway in self._dispatcher.choose_gateways(server)
        )

    def _build_exclusion(self, admission: Admission, server: ServerEntry) -> ExclusionView:
        reason = self._router.find_exclusion(admission, server)
        return ExclusionView(
            server=server.id,
            failure_domain=server.failure_domain,
            reason=NOT_PRIMARY if reason is None else reason,
        )


def _may_use_replicas(route: DatabaseRoute, kind: RequestKind) -> bool:
    work, opening = StatementKind.READ, TransactionOpening.NONE
    if kind is RequestKind.WRITE:
        work = StatementKind.WRITE
    elif kind is not RequestKind.READ:
        read_only = kind is RequestKind.READ_ONLY_TRANSACTION
        opening = choose_opening(route, read_only=read_only)
    return replicas_may_run(route, work, opening)


def _build_route(route: DatabaseRoute) -> RouteView:
    return RouteView(
        name=route.name,
        database=route.database,
        service=route.service,
        consistency=route.consistency,
        statement_timeout_s=route.statement_timeout_s,
        patience_s=find_patience_s(route),
        max_staleness_s=_find_finite(route.max_staleness_s),
    )


def _add_refusal(
    explanation: RouteExplanation, failed: Failed, after_s: float = 0.0
) -> RouteExplanation:
    refusal = replace(_build_refusal(failed), after_s=after_s)
    return replace(explanation, refusals=(*explanation.refusals, refusal))


def _build_refusal(failed: Failed) -> RefusalView:
    return RefusalView(
        failure=failed.failure, detail=failed.detail, retry_after_s=failed.retry_after_s
    )


def _find_finite(value: float) -> float | None:
    """Return a number that JSON can hold, None for infinity."""
    return value if math.isfinite(value) else None
