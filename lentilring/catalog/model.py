"""Routes, client accounts and backend servers as one immutable snapshot."""

from dataclasses import dataclass, field, replace
from enum import StrEnum, unique

from ..configuration.accounts import ClientAccount
from ..revisions import find_era


@unique
class Consistency(StrEnum):
    """Say which commits a route's reads must include."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@unique
class ServerRole(StrEnum):
    """Name the role that a backend server reports."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, kw_only=True)
class DatabaseRoute:
    """Describe a route: callers name its database, statements go to its service.

    `allows_anonymous` admits callers without a key.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    statement_timeout_s: float
    latency_target_s: float
    priority: int
    max_staleness_s: float
    allows_anonymous: bool
    allowed_regions: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class DatabaseService:
    """Describe a service, which has one primary and its replicas."""

    name: str
    max_connections: int
    synchronous_replicas: int
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Manifest:
    """Hold one version of the operator's configuration.

    `routes` are keyed by database, `accounts_by_key` maps hashes of keys to account names.
    """

    version: int
    routes: dict[str, DatabaseRoute]
    services: dict[str, DatabaseService]
    accounts: dict[str, ClientAccount]
    account_regions: dict[str, tuple[str, ...]]
    accounts_by_key: dict[str, str]
    max_line_bytes: int
    transaction_idle_s: float


@dataclass(frozen=True, kw_only=True)
class ServerEntry:
    """Describe a registered backend server; `revision` is that of its record in the store.

    `sequence` counts the registrations since the server started.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    role: ServerRole
    cold_remaining_s: float
    started_ms: int
    revision: int
    version: str = ""
    sequence: int = 0

    def is_set_back_from(self, known: "ServerEntry") -> bool:
        """Tell whether a store that returned from an older copy set this entry back."""
        return find_era(self.revision) > find_era(known.revision) and (
            self.started_ms,
            self.sequence,
        ) < (known.started_ms, known.sequence)

    def repeats(self, known: "ServerEntry") -> bool:
        """Tell whether a store that returned from an older copy shows a known entry again."""
        return find_era(self.revision) > find_era(known.revision) and known == replace(
            self,
            revision=known.revision,
            sequence=known.sequence,
            cold_remaining_s=known.cold_remaining_s,
        )


@dataclass(frozen=True, kw_only=True)
class ServerTable:
    """Hold the registered backend servers by id."""

    entries: dict[str, ServerEntry] = field(default_factory=dict)
    by_service: dict[str, tuple[ServerEntry, ...]] = field(default_factory=dict)

    def put(self, entry: ServerEntry) -> "ServerTable":
        """Return the table with one entry added or replaced."""
        return build_server_table({**self.entries, entry.id: entry})

    def remove(self, server: str) -> "ServerTable":
        """Return the table without one entry."""
        remaining = {key: entry for key, entry in self.entries.items() if key != server}
        return build_server_table(remaining)


def build_server_table(entries: dict[str, ServerEntry]) -> ServerTable:
    """Return a table with an index by service."""
    services: dict[str, list[ServerEntry]] = {}
    for entry in sorted(entries.values(), key=lambda entry: entry.id):
        services.setdefault(entry.service, []).append(entry)
    indexed = {name: tuple(entries_of_service) for name, entries_of_service in services.items()}
    return ServerTable(entries=entries, by_service=indexed)
