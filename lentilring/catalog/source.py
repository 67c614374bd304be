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
    """Hold one record; `value` is None when it was deleted or cannot be read.

    `content` is the record as its source encodes it, for processes that read through this one.
    """

    name: str
    revision: int
    value: RecordValue | None
    is_deleted: bool = False
    content: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Records:
    """Hold records and the revision of the store up to which they are complete.

    `is_complete` says that these are all records, not only changed ones. `confirmed_at` is the last
    moment at which they were certainly up to date, in seconds of the boot clock. With
    `follows_restoration`, the store returned from an older copy since the records before these:
    changes that it lost are being written again.
    """

    records: tuple[Record, ...]
    revision: int
    is_complete: bool = False
    confirmed_at: float = float("-inf")
    follows_restoration: bool = False


class RecordSource(Protocol):
    """Read and watch records; calls raise StoreUnavailable, `watch` also HistoryExpired."""

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        """Return all records of a kind; `may_be_old` allows data seconds old, at less cost."""
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


class EncodedRecordSource(RecordSource, Protocol):
    """Read records that other processes can decode from their content."""

    def decode(self, kind: RecordKind, record: Record) -> Record:
        """Return a record with the value that its content encodes."""
        ...


class ProxyRegister(Protocol):
    """Know the registered proxies."""

    @property
    def local(self) -> ProxyEntry:
        """Return this process as a member."""
        ...

    @property
    def is_synchronized(self) -> bool:
        """Tell whether the other proxies were read at least once."""
        ...

    def members(self) -> tuple[ProxyEntry, ...]:
        """Return the proxies that accept work."""
        ...

    def find(self, vm: str) -> ProxyEntry | None:
        """Return the registration of a VM's proxy."""
        ...

    def is_suspect(self, vm: str) -> bool:
        """Tell whether a peer failed to answer a call and has not answered any since."""
        ...


class HistoryExpired(Exception):
    """Report that the changes after a revision are no longer stored; list all records again."""
