"""The interface of the platform's object store and the types that it uses."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from ..errors import LentilringError
from ..outcomes import JsonValue


class Kind(StrEnum):
    """Name the kinds of objects that lentilring keeps in the store."""

    TEMPLATE = "template"
    CLIENT_ACCOUNT = "client-account"
    SERVICE = "service"
    FAILURE_DOMAIN = "failure-domain"
    DRAIN = "drain"
    GROUP = "group"
    SHARE = "share"
    LIMIT_SETTINGS = "limit-settings"
    SECRET = "secret"
    PROMOTION = "promotion"
    USAGE = "usage"


class VmState(StrEnum):
    """Name the states of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class StoredObject:
    """Hold one version of an object; `value` is None once it is deleted."""

    kind: str
    name: str
    version: int
    revision: int
    value: dict[str, JsonValue] | None


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """Hold objects and the store-wide revision up to which they are complete."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, kw_only=True)
class VmEntry:
    """Hold one row of the platform's list of VMs; `address` is `ip:port` of the peer transport."""

    name: str
    address: str
    failure_domain: str
    region: str
    state: VmState = VmState.LIVE


@dataclass(kw_only=True, eq=False)
class VersionConflict(LentilringError):
    """Report that an object has another version than the writer expected."""

    kind: str
    name: str
    expected_version: int
    current: StoredObject | None


@dataclass(kw_only=True, eq=False)
class StoreUnavailable(LentilringError):
    """Report that the store gave no answer; a change may have taken effect."""

    operation: str
    detail: str = ""


class Store(Protocol):
    """Read, change and watch objects with versions; every call may raise StoreUnavailable."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version of an object, or None if it never existed."""
        ...

    async def put(
        self, kind: str, name: str, value: dict[str, JsonValue] | None, *, expected_version: int
    ) -> StoredObject:
        """Replace an object (None deletes it) if its version is the expected one.

        An expected version of 0 means that it must not exist. Raise VersionConflict otherwise.
        """
        ...

    async def list(self, kinds: Sequence[str]) -> Snapshot:
        """Return all objects of some kinds."""
        ...

    async def watch(self, kinds: Sequence[str], *, after_revision: int, wait_s: float) -> Snapshot:
        """Return the objects changed after a revision; wait up to `wait_s` for the first change."""
        ...

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Return the platform's list of VMs, which lags behind changes."""
        ...
