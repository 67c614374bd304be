"""Lookup of databases and backend servers, and choice of their gateways."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..configuration.models import BackendServer, Database, DrainState, ServiceDefinition
from ..membership.member import Member
from ..placement import rank_members


class ConfigurationView(Protocol):
    """Give access to the services and failure domains of the configuration."""

    @property
    def change_count(self) -> int:
        """Return how many object versions were applied; a change invalidates cached rankings."""
        ...

    def service(self, name: str) -> ServiceDefinition | None:
        """Return a service by its name."""
        ...

    def failure_domain_state(self, name: str) -> DrainState:
        """Return whether a failure domain takes new work."""
        ...


@dataclass(frozen=True, kw_only=True)
class GatewayCandidates:
    """Hold the proxies to try for a backend server: gateway, standby, others."""

    ranked: tuple[Member, ...]

    @property
    def gateway(self) -> Member | None:
        """Return the gateway, or None if there are no members."""
        return self.ranked[0] if self.ranked else None


class MembershipView(Protocol):
    """Give access to the proxies of the deployment."""

    @property
    def local(self) -> Member:
        """Return this proxy."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Return the members that may be chosen for new work."""
        ...

    def find(self, vm: str) -> Member | None:
        """Return a member by the name of its VM, also if it is dead or leaving."""
        ...


def name_group(service: str, database: str) -> str:
    """Return the name of the group of backend servers that hold a database."""
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


def select_in_service(
    configuration: ConfigurationView, members: Iterable[Member]
) -> Sequence[Member]:
    """Return the members outside drained failure domains, or all if every domain is drained."""
    all_members = tuple(members)
    in_service = tuple(
        member
        for member in all_members
        if configuration.failure_domain_state(member.failure_domain) is DrainState.IN_SERVICE
    )
    return in_service or all_members


def rank_gateways(
    group: str, server: BackendServer, members: Iterable[Member]
) -> GatewayCandidates:
    """Rank members as gateways of a server: gateway, standby in another failure domain, others."""
    ranked = rank_members(
        f"{group}/{server.name}", members, preferred_failure_domain=server.failure_domain
    )
    if not ranked:
        return GatewayCandidates(ranked=())
    first = ranked[0]
    outside_domain = [member for member in ranked if member.failure_domain != first.failure_domain]
    standby = outside_domain[0] if outside_domain else None
    if standby is None:
        return GatewayCandidates(ranked=tuple(ranked))
    others = [member for member in ranked if member not in (first, standby)]
    return GatewayCandidates(ranked=(first, standby, *others))


class GatewayRanking:
    """Rank gateways, and cache the rankings while members and configuration are unchanged."""

    def __init__(self, *, configuration: ConfigurationView, membership: MembershipView) -> None:
        self._configuration = configuration
        self._membership = membership
        self._members: tuple[Member, ...] = ()
        self._changes = -1
        self._ranked: dict[tuple[str, str], GatewayCandidates] = {}

    def rank(self, group: str, server: BackendServer) -> GatewayCandidates:
        """Return the gateways of a backend server, without those in drained failure domains."""
        members, changes = self._membership.members(), self._configuration.change_count
        if members is not self._members or changes != self._changes:
            self._members, self._changes = members, changes
            self._ranked.clear()
        key = (group, server.name)
        if key not in self._ranked:
            candidates = select_in_service(self._configuration, members)
            self._ranked[key] = rank_gateways(group, server, candidates)
        return self._ranked[key]
