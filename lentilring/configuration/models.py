"""Models of configuration objects; pydantic validates each field when an object is parsed."""

from enum import StrEnum
from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from .accounts import MAX_BURST as MAX_BURST
from .accounts import MAX_RATE_PER_S as MAX_RATE_PER_S
from .accounts import ClientAccount as ClientAccount
from .accounts import hash_key as hash_key

MAX_STALENESS_S = 86_400.0
MAX_SHARES = 512
PUBLIC_ACCOUNT = "public"

STRICT = ConfigDict(extra="forbid")

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Rate = Annotated[float, Field(gt=0, le=MAX_RATE_PER_S)]
Burst = Annotated[float, Field(ge=1, le=MAX_BURST)]
Staleness = Annotated[float, Field(ge=0, le=MAX_STALENESS_S)]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
AddressText = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class RouteKind(StrEnum):
    """What the requests of a route do."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class Acknowledgement(StrEnum):
    """Server whose confirmation a write waits for."""

    PRIMARY = "primary"
    REPLICA = "replica"


class DrainState(StrEnum):
    """Whether a failure domain, database or backend server gets new work."""

    IN_SERVICE = "in-service"
    DRAINED = "drained"


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Route:
    """Describe one route of a service; without `max_staleness_s` it sets no limit on staleness."""

    name: Name
    kind: RouteKind
    repeatable: bool = False
    max_staleness_s: Staleness | None = None
    acknowledgement: Acknowledgement | None = None

    @property
    def needs_replica(self) -> bool:
        """Tell whether writes wait for a replica; non-repeatable routes do so by default."""
        if self.acknowledgement is not None:
            return self.acknowledgement is Acknowledgement.REPLICA
        return not self.repeatable


@dataclass(frozen=True, kw_only=True, config=STRICT)
class BackendServer:
    """Describe one server that runs an instance of a database."""

    name: Name
    address: AddressText
    failure_domain: Name
    region: Name
    slots: Annotated[int, Field(ge=1, le=1000)] = 2
    connections: Annotated[int, Field(ge=8, le=10_000)] = 15
    state: DrainState = DrainState.IN_SERVICE


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Database:
    """Describe one database and its group of backend servers."""

    name: Name
    backend_servers: Annotated[tuple[BackendServer, ...], Field(min_length=1, max_length=9)]
    state: DrainState = DrainState.IN_SERVICE


@dataclass(frozen=True, kw_only=True, config=STRICT)
class ServiceDefinition:
    """Describe one service: its databases and routes."""

    name: Name
    databases: Annotated[tuple[Database, ...], Field(min_length=1)]
    routes: tuple[Route, ...]


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Template:
    """Defaults shared by client accounts; an account's own parameters override them."""

    name: Name
    rate_per_s: Rate
    burst: Burst
    max_staleness_s: Staleness | None = None
    services: tuple[Name, ...] = ()
    open_routes: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, config=STRICT)
class ClientAccountParameters:
    """Parameters of one client account; for None, the template's value applies.

    `open_routes` has entries of the form `service/route`; `services` lists the services that the
    account may use.
    """

    name: Name
    template: Name
    key_hashes: tuple[KeyHash, ...] = ()
    rate_per_s: Rate | None = None
    burst: Burst | None = None
    max_staleness_s: Staleness | None = None
    services: tuple[Name, ...] | None = None
    open_routes: tuple[str, ...] | None = None


@dataclass(frozen=True, kw_only=True, config=STRICT)
class FailureDomain:
    """Describe a failure domain and whether it gets new work."""

    name: Name
    region: Name
    state: DrainState = DrainState.IN_SERVICE


@dataclass(frozen=True, kw_only=True, config=STRICT)
class LimitSettings:
    """Number of shares into which the rates and bursts of accounts are divided."""

    shares: Annotated[int, Field(ge=1, le=MAX_SHARES)] = 8


def merge_account(parameters: ClientAccountParameters, template: Template) -> ClientAccount:
    """Return an account's effective values: its parameters, else the template's."""

    def choose(field: str) -> Any:
        own = getattr(parameters, field)
        return getattr(template, field) if own is None else own

    return ClientAccount(
        name=parameters.name,
        rate_per_s=choose("rate_per_s"),
        burst=choose("burst"),
        max_staleness_s=choose("max_staleness_s"),
        services=choose("services"),
        open_routes=choose("open_routes"),
        key_hashes=parameters.key_hashes,
    )


PARSERS: dict[str, TypeAdapter[Any]] = {
    "template": TypeAdapter(Template),
    "client-account": TypeAdapter(ClientAccountParameters),
    "service": TypeAdapter(ServiceDefinition),
    "failure-domain": TypeAdapter(FailureDomain),
    "limit-settings": TypeAdapter(LimitSettings),
}
