"""Where databases, their backend servers and their gateways are."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..configuration.models import BackendServer, Database, DrainState, ServiceDefinition
from ..membership.member import Member
from ..placement import rank_members


class ConfigurationView(Protocol):
    """Name what routing reads of the configuration."""

    @property
    def change_count(self) -> int:
        """Return how many versions of objects were applied."""
        ...

    def service(self, name: str) -> ServiceDefinition | None:
        """Return a service."""
        ...

    def failure_domain_state(self, name: str) -> DrainState:
        """Return whether a failure domain takes new work."""
        ...


@dataclass(frozen=True, kw_only=True)
class Gateways:
    """Hold the proxies to try for a backend server, in order: gateway, standby, others."""

    ranked: tuple[Member, ...]

    @property
    def first(self) -> Member | None:
        """Return the gateway."""
        return self.ranked[0] if self.ranked else None


class MembershipView(Protocol):
    """Name what routing reads of the membership."""

    @property
    def local(self) -> Member:
        """Return this proxy."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Return the usable members."""
        ...

    def find(self, vm: str) -> Member | None:
        """Return a member by its VM's name."""
        ...


def name_group(service: str, database: str) -> str:
    """Return the name of a database's group."""
    return f"{service}.{database}"


def split_group(group: str) -> tuple[str, str]:
    """Return the service and the database of a group."""
    service, _, database = group.partition(".")
    return service, database


def find_database(configuration: ConfigurationView, group: str) -> Database | None:
    """Return the database of a group."""
    service_name, database_name = split_group(group)
    service = configuration.service(service_name)
    if service is None:
        return None
    return next((entry for entry in service.databases if entry.name == database_name), None)


def find_server(database: Database, name: str) -> BackendServer | None:
    """Return a backend server of a database."""
    return next((entry for entry in database.backend_servers if entry.name == name), None)


def select_placeable(
    configuration: ConfigurationView, members: Iterable[Member]
) -> Sequence[Member]:
    """Return the members outside drained failure domains, or all if none is."""
    everyone = tuple(members)
    usable = tuple(
        member
        for member in everyone
        if configuration.failure_domain_state(member.failure_domain) is DrainState.IN_SERVICE
    )
    return usable or everyone


def rank_gateways(group: str, server: BackendServer, members: Iterable[Member]) -> Gateways:
    """Return the gateway of a backend server, then a standby in another failure domain."""
    ranked = rank_members(
        f"{group}/{server.name}", members, preferred_failure_domain=server.failure_domain
    )
    if not ranked:
        return Gateways(ranked=())
    first = ranked[0]
    elsewhere = [member for member in ranked if member.failure_domain != first.failure_domain]
    standby = elsewhere[0] if elsewhere else None
    if standby is None:
        return Gateways(ranked=tuple(ranked))
    others = [member for member in ranked if member not in (first, standby)]
    return Gateways(ranked=(first, standby, *others))


class GatewayRanking:
    """Rank gateways, and keep the rankings while members and configuration stay the same."""

    def __init__(self, *, configuration: ConfigurationView, membership: MembershipView) -> None:
        self._configuration = configuration
        self._membership = membership
        self._members: tuple[Member, ...] = ()
        self._changes = -1
        self._ranked: dict[tuple[str, str], Gateways] = {}

    def rank(self, group: str, server: BackendServer) -> Gateways:
        """Return the gateways of a backend server, without those in drained failure domains."""
        members, changes = self._membership.members(), self._configuration.change_count
        if members is not self._members or changes != self._changes:
            self._members, self._changes = members, changes
            self._ranked.clear()
        key = (group, server.name)
        if key not in self._ranked:
            placeable = select_placeable(self._configuration, members)
            self._ranked[key] = rank_gateways(group, server, placeable)
        return self._ranked[key]
