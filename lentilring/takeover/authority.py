"""Authority to ask for promotions: fencing tokens from conditional writes to the store."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum, unique
from typing import Protocol

from ..outcomes import JsonValue
from ..platform.store import Kind, Store, VersionConflict
from ..statements.model import Position
from ..telemetry.log import Log
from .copies import RecordedCopies, read_copies

log = Log(source="takeover")

NO_COMMITS = Position(term=0, number=0)


@unique
class PromotionResult(StrEnum):
    """Say how the promotion service answered."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


class PromotionService(Protocol):
    """Ask the platform to make a backend server the primary."""

    async def promote(
        self, *, service: str, server: str, holder: str, token: int
    ) -> PromotionResult:
        """Ask once; after an unknown result the promotion may still take effect seconds later."""
        ...


@dataclass(frozen=True, kw_only=True)
class PromotionIntent:
    """Hold the newest promotion that was recorded; an open one may still take effect.

    `received` is the position that the server had received when it was chosen. `era` is that of the
    store at the write, `serial` counts the writes: if the known ones are greater than the stored
    ones, the store lost a write. `copies` are those that may hold acknowledged commits, none in a
    record without them.
    """

    version: int
    server: str
    is_open: bool
    vm: str = ""
    received: Position = NO_COMMITS
    era: int = 0
    serial: int = 0
    copies: RecordedCopies = field(default_factory=RecordedCopies)

    def is_later_than(self, other: "PromotionIntent") -> bool:
        """Tell whether this was written later; writes in a later era count as later."""
        is_uncounted = other.version > 0 and other.serial == 0
        if is_uncounted:
            # Written by a version of this program that did not count.
            return False
        return (self.era, self.serial) > (other.era, other.serial)


def names_leader(intent: PromotionIntent, server: str) -> bool:
    """Tell whether a record names a server as the primary if it answers as one."""
    return intent.server == server if intent.is_open else intent.copies.leader == server


class PromotionAuthority:
    """Claim promotions with fencing tokens that increase with each claim of a service."""

    def __init__(self, *, store: Store, vm: str, find_era: Callable[[], int]) -> None:
        self._store, self._vm, self._find_era = store, vm, find_era
        self._known: dict[str, PromotionIntent] = {}

    async def read(self, service: str) -> PromotionIntent:
        """Return the newest intent, also if the store has lost it; raise StoreUnavailable."""
        stored = await self._read_stored(service)
        known = self._known.get(service)
        if known is not None and known.is_later_than(stored):
            return replace(known, version=stored.version)
        self._known[service] = stored
        return stored

    def find_known(self, service: str) -> PromotionIntent | None:
        """Return the newest intent that this proxy has read or written."""
        return self._known.get(service)

    async def write_again(self) -> None:
        """Write the newest intents again that the store has lost; raise StoreUnavailable.

        Those of other proxies too, which may have ended.
        """
        for service, known in list(self._known.items()):
            stored = await self._read_stored(service)
            if not known.is_later_than(stored):
                continue
            written = await self._write(service, replace(known, version=stored.version))
            log.warning("promotion_written_again", service=service, written=written is not None)

    async def _read_stored(self, service: str) -> PromotionIntent:
        current = await self._store.get(Kind.PROMOTION, service)
        if current is None:
            return PromotionIntent(version=0, server="", is_open=False)
        value = current.value or {}
        server = value.get("server")
        return PromotionIntent(
            version=current.version,
            server=server if isinstance(server, str) else "",
            is_open=bool(value.get("open")),
            vm=str(value.get("vm", "")),
            received=_read_position(value),
            era=_read_count(value, "era"),
            serial=_read_count(value, "serial"),
            copies=read_copies(value),
        )

    async def claim(
        self, service: str, server: str, *, received: Position, previous: PromotionIntent
    ) -> PromotionIntent | None:
        """Record the intent to promote a server; None if another proxy recorded one meanwhile.

        The version of the returned intent is the fencing token. Raise StoreUnavailable.
        """
        claimed = replace(
            previous,
            vm=self._vm,
            server=server,
            received=received,
            is_open=True,
            serial=previous.serial + 1,
        )
        return await self._write(service, claimed)

    async def mark_completed(
        self, service: str, *, previous: PromotionIntent, leader: str = ""
    ) -> bool:
        """Record that a promotion cannot take effect any more; raise StoreUnavailable.

        `leader` is the server that it made the primary, if any. False if another proxy recorded one
        meanwhile. If True, claims by takeovers that read the previous intent fail.
        """
        copies = replace(previous.copies, leader=leader) if leader else previous.copies
        return await self.record_copies(service, copies, previous=previous)

    async def record_copies(
        self, service: str, copies: RecordedCopies, *, previous: PromotionIntent
    ) -> bool:
        """Record the copies of a service without an open promotion; raise StoreUnavailable.

        False if another proxy recorded something meanwhile.
        """
        intent = replace(
            previous, vm=self._vm, is_open=False, serial=previous.serial + 1, copies=copies
        )
        return await self._write(service, intent) is not None

    async def _write(self, service: str, intent: PromotionIntent) -> PromotionIntent | None:
        """Write an intent in place of the version that it names; None if that is not the newest."""
        era = self._find_era()
        # The previous version makes each value differ from the last, so that its own version rises.
        value: dict[str, JsonValue] = {
            "vm": intent.vm,
            "server": intent.server,
            "open": intent.is_open,
            "term": intent.received.term,
            "number": intent.received.number,
            "after": intent.version,
            "era": era,
            "serial": intent.serial,
            "leader": intent.copies.leader,
            "copies": dict(intent.copies.started_ms),
        }
        try:
            stored = await self._store.put(
                Kind.PROMOTION, service, value, expected_version=intent.version
            )
        except VersionConflict:
            return None
        written = replace(intent, version=stored.version, era=era)
        self._known[service] = written
        return written


def _read_count(value: dict[str, JsonValue], name: str) -> int:
    count = value.get(name)
    return count if isinstance(count, int) else 0


def _read_position(value: dict[str, JsonValue]) -> Position:
    term, number = value.get("term"), value.get("number")
    if not isinstance(term, int) or not isinstance(number, int):
        return NO_COMMITS
    return Position(term=term, number=number)
