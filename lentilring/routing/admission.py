"""Who may run a request: key, client account, route and rate limit."""

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
    """Name what admission reads of the configuration."""

    def find_account_by_key(self, key: str) -> ClientAccount | None:
        """Return the client account that a key belongs to."""
        ...

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account."""
        ...

    def service(self, name: str) -> ServiceDefinition | None:
        """Return a service."""
        ...

    def is_fresh(self) -> bool:
        """Tell whether withdrawn keys are known to be gone."""
        ...


class Limiter(Protocol):
    """Name what admission needs of the rate limits."""

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Take one token of an account; return the refusal if there is none in time."""
        ...


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """Hold what an admitted request may use."""

    account: ClientAccount
    route: Route
    group: str
    max_staleness_s: float | None


def identify(request: CallerRequest, accounts: AccountsView) -> Admitted | NotRun:
    """Return the account and route of a request, or why it may not run."""
    found = _find_route(request, accounts)
    if isinstance(found, NotRun):
        return found
    _, route = found
    account = _find_account(request, route, accounts)
    if isinstance(account, NotRun):
        return account
    if account.services and request.service not in account.services:
        return NotRun(reason=RefusalReason.ROUTE_FORBIDDEN, detail=request.service)
    return Admitted(
        account=account,
        route=route,
        group=name_group(request.service, request.database),
        max_staleness_s=_least(route.max_staleness_s, account.max_staleness_s),
    )


def check_still_allowed(
    admitted: Admitted, request: CallerRequest, accounts: AccountsView
) -> NotRun | None:
    """Check the key again, because it may be withdrawn while a request waits."""
    again = identify(request, accounts)
    if isinstance(again, NotRun):
        return again
    if again.account.name != admitted.account.name:
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
        allowed = [route for route in service.routes if route.kind is RouteKind.TRANSACTION]
        if not allowed:
            return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail="no transactions")
        return database, allowed[0]
    route = next((entry for entry in service.routes if entry.name == request.route), None)
    if route is None or route.kind is RouteKind.TRANSACTION:
        return NotRun(reason=RefusalReason.ROUTE_UNKNOWN, detail="no such route")
    return database, route


def _find_account(
    request: CallerRequest, route: Route, accounts: AccountsView
) -> ClientAccount | NotRun:
    if request.key is None:
        return _find_opening_account(request, route, accounts)
    if not accounts.is_fresh():
        return NotRun(reason=RefusalReason.CONFIGURATION_STALE, retry_after_s=1.0)
    account = accounts.find_account_by_key(request.key)
    if account is None:
        return NotRun(reason=RefusalReason.KEY_UNKNOWN)
    return account


def _find_opening_account(
    request: CallerRequest, route: Route, accounts: AccountsView
) -> ClientAccount | NotRun:
    """Return the account that opened the route to all, `public` unless the request names one."""
    account = accounts.account(request.client_account or PUBLIC_ACCOUNT)
    name = f"{request.service}/{route.name}"
    if account is None or name not in account.open_routes or request.step is not None:
        return NotRun(reason=RefusalReason.KEY_MISSING)
    return account


def _least(first: float | None, second: float | None) -> float | None:
    """Return the stricter of two staleness limits; None accepts no staleness."""
    if first is None or second is None:
        return None
    return min(first, second)
