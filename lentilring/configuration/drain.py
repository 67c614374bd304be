"""Drains: whether a failure domain, database or backend server may get new work."""

from typing import Protocol

from .models import BackendServer, Database, DrainState


class FailureDomainStates(Protocol):
    """Part of the configuration service that `is_in_service` uses."""

    def failure_domain_state(self, name: str) -> DrainState:
        """Return whether a failure domain is in service or drained."""
        ...


def is_in_service(states: FailureDomainStates, database: Database, server: BackendServer) -> bool:
    """Tell whether the database, the server and its failure domain are all in service."""
    levels = (
        database.state,
        server.state,
        states.failure_domain_state(server.failure_domain),
    )
    return all(state is DrainState.IN_SERVICE for state in levels)
