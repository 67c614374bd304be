"""The group of backend servers (its instances) that store one database."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..configuration.models import Database, DrainState, ServiceDefinition


@dataclass(frozen=True, kw_only=True)
class GroupServer:
    """Describe one instance; of instances with equal logs, an undrained one becomes primary."""

    name: str
    address: str
    failure_domain: str
    drained: bool = False


@dataclass(frozen=True, kw_only=True)
class Group:
    """Describe the instances of one database; `name` is `{service}.{database}`."""

    name: str
    servers: tuple[GroupServer, ...]

    @property
    def majority(self) -> int:
        """Return the size of a majority; any two majorities share an instance."""
        return len(self.servers) // 2 + 1

    def find(self, name: str) -> GroupServer | None:
        """Return the instance with a name, or None."""
        return next((server for server in self.servers if server.name == name), None)

    def others(self, name: str) -> tuple[GroupServer, ...]:
        """Return all instances except the one with a name."""
        return tuple(server for server in self.servers if server.name != name)


def list_groups(
    services: Iterable[ServiceDefinition], domain_state: Callable[[str], DrainState]
) -> dict[str, Group]:
    """Return the groups of all services by name."""
    groups = (
        _make_group(service.name, database, domain_state)
        for service in services
        for database in service.databases
    )
    return {group.name: group for group in groups}


def _make_group(
    service: str, database: Database, domain_state: Callable[[str], DrainState]
) -> Group:
    servers = tuple(
        GroupServer(
            name=server.name,
            address=server.address,
            failure_domain=server.failure_domain,
            drained=DrainState.DRAINED in (server.state, domain_state(server.failure_domain)),
        )
        for server in database.backend_servers
    )
    return Group(name=f"{service}.{database.name}", servers=servers)
