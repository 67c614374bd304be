"""Authorization of requests by key, client account and route."""

from dataclasses import dataclass
from typing import Protocol

from ..configuration.models import (
    PUBLIC_ACCOUNT,
    ClientAccount,
    Database,
    DrainState,
    Route,
    RouteKind,
    ServiceDefinition,
)
from ..outcomes import NotRun, RefusalReason
from .request import CallerRequest
from .topology import name_group


class AccountsView(Protocol):
    """Give access to the accounts, keys and services of the configuration."""

    def find_account_by_key(self, key: str) -> ClientAccount | None:
        """Return the client account that a key belongs to, or None if it is unknown."""
        ...

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account by its name."""
        ...

    def service(self, name: str) -> ServiceDefinition | None:
        """Return a service by its name."""
        ...

    def is_fresh(self) -> bool:
        """Tell whether all keys withdrawn longer ago than the withdrawal bound are gone."""
        ...


class Limiter(Protocol):
    """Enforce the rate limits of client accounts."""

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Take one rate-limit token; return a refusal if none is available in time."""
        ...


@dataclass(frozen=True, kw_only=True)
class Authorization:
    """Hold the account, route and database group that a request may use.

    `max_staleness_s` is the stricter limit of route and account; None accepts no staleness.
    """

    account: ClientAccount
    route: Route
    group: str
    max_staleness_s: float | None


def authorize(request: CallerRequest, accounts: AccountsView) -> Authorization | NotRun:
    """Return the authorization of a request, or a refusal that says why it may not run."""
    target = _find_route(request, accounts)
    if isinstance(target, NotRun):
        return target
    _, route = target
    account = _find_account(request, route, accounts)
    if isinstance(account, NotRun):
        return account
    if account.services and request.service not in account.services:
        return NotRun(reason=RefusalReason.ROUTE_FORBIDDEN, detail=request.service)
    return Authorization(
        account=account,
        route=route,
        group=name_group(request.service, request.database),
        max_staleness_s=_choose_stricter(route.max_staleness_s, account.max_staleness_s),
    )


def check_still_authorized(
    authorization: Authorization, request: CallerRequest, accounts: AccountsView
) -> NotRun | None:
    """Check the key again, because it may have been withdrawn while the request waited."""
    current = authorize(request, accounts)
    if isinstance(current, NotRun):
        return current
    if current.account.name != authorization.account.name:
        return NotRun(reason=RefusalReason.KEY_UNKNOWN)
    return None


def _find_route(request: CallerRequest, accounts: AccountsView) -> tuple[Database, Route] | NotRun:
    service = accounts.service(request.service)
    if service is None:
        return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail="no such service")
    database = next((d for d in service.databases if d.name == request.database), None)
    if database is None:
        return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail="no such database")
    if database.state is DrainState.DRAINED:
        return NotRun(reason=RefusalReason.DRAINING, detail=request.database)
    if request.step is not None:
        transaction_routes = [
            route for route in service.routes if route.kind is RouteKind.TRANSACTION
        ]
        if not transaction_routes:
            return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail="no transactions")
        return database, transaction_routes[0]
    route = next((entry for entry in service.routes if entry.name == request.route), None)
    if route is None or route.kind is RouteKind.TRANSACTION:
        return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail="no such route")
    return database, route


def _find_account(
    request: CallerRequest, route: Route, accounts: AccountsView
) -> ClientAccount | NotRun:
    if request.key is None:
        return _find_open_route_account(request, route, accounts)
    if not accounts.is_fresh():
        return NotRun(reason=RefusalReason.CONFIGURATION_STALE, retry_after_s=1.0)
    account = accounts.find_account_by_key(request.key)
    if account is None:
        return NotRun(reason=RefusalReason.KEY_UNKNOWN)
    return account


def _find_open_route_account(
    request: CallerRequest, route: Route, accounts: AccountsView
) -> ClientAccount | NotRun:
    """Return the account of a request without a key, if it opened the route to such requests.

    It is the account that the request names, or `public`.
    """
    account = accounts.account(request.client_account or PUBLIC_ACCOUNT)
    name = f"{request.service}/{route.name}"
    if account is None or name not in account.open_routes or request.step is not None:
        return NotRun(reason=RefusalReason.KEY_MISSING)
    return account


def _choose_stricter(first: float | None, second: float | None) -> float | None:
    """Return the stricter of two staleness limits in seconds; None accepts no staleness."""
    if first is None or second is None:
        return None
    return min(first, second)
