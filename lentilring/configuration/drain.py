"""Whether operators let a failure domain, database or backend server take new work."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .models import BackendServer, Database, DrainState, FailureDomain


@dataclass(frozen=True, kw_only=True)
class DrainView:
    """Hold the states of failure domains; those without an object are in service."""

    failure_domains: Mapping[str, DrainState]

    @classmethod
    def of(cls, failure_domains: Iterable[FailureDomain]) -> "DrainView":
        """Return the view of configured failure domains."""
        return cls(failure_domains={entry.name: entry.state for entry in failure_domains})

    def failure_domain_state(self, name: str) -> DrainState:
        """Return a failure domain's state."""
        return self.failure_domains.get(name, DrainState.IN_SERVICE)

    def failure_domain_takes_work(self, name: str) -> bool:
        """Tell whether a failure domain takes new work."""
        return self.failure_domain_state(name) is DrainState.IN_SERVICE

    def database_takes_work(self, database: Database) -> bool:
        """Tell whether a database takes new work on at least one of its backend servers."""
        return any(
            self.backend_server_takes_work(database, server) for server in database.backend_servers
        )

    def backend_server_takes_work(self, database: Database, server: BackendServer) -> bool:
        """Tell whether a backend server takes new work of its database."""
        return (
            database.state is DrainState.IN_SERVICE
            and server.state is DrainState.IN_SERVICE
            and self.failure_domain_takes_work(server.failure_domain)
        )
