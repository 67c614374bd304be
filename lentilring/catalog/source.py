"""Interface of the catalog to the store that holds configuration and registrations."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Protocol, TypeAlias

from .model import Manifest, ServerEntry


@unique
class RecordKind(StrEnum):
    """Name the kinds of records that a proxy follows."""

    MANIFEST = "manifest"
    SERVERS = "servers"
    EVACUATIONS = "evacuations"
    PROXIES = "proxies"


@dataclass(frozen=True, kw_only=True)
class Evacuation:
    """Say that a failure domain's backend servers accept no new work."""

    failure_domain: str


@dataclass(frozen=True, kw_only=True)
class ProxyEntry:
    """Describe a registered proxy process; `address` is that of its peer transport."""

    vm: str
    address: str
    failure_domain: str
    region: str
    incarnation: int
    weight: float
    is_leaving: bool = False


RecordValue: TypeAlias = Manifest | ServerEntry | Evacuation | ProxyEntry


@dataclass(frozen=True, kw_only=True)
class Record:
    """Hold one record; `value` is None when it was deleted or cannot be read."""

    name: str
    revision: int
    value: RecordValue | None
    is_deleted: bool = False


@dataclass(frozen=True, kw_only=True)
class Records:
    """Hold records and the revision of the store up to which they are complete."""

    records: tuple[Record, ...]
    revision: int


class RecordSource(Protocol):
    """Read and watch records; calls raise StoreUnavailable, `watch` also HistoryExpired."""

    async def list(self, kind: RecordKind) -> Records:
        """Return all records of a kind."""
        ...

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        """Return the records changed after a revision; wait up to `wait_s` for the first."""
        ...

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        """Create or replace the entry of a proxy and return its revision."""
        ...

    async def deregister(self, vm: str, *, revision: int) -> None:
        """Remove the entry of a proxy unless it has another revision by now."""
        ...


class HistoryExpired(Exception):
    """Report that the changes after a revision are no longer stored; list all records again."""
