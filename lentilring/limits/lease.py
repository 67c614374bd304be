"""A lease on an object of a store with conditional updates; usable on its own."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from ..clock import Clock
from ..outcomes import JsonValue
from ..platform.store import Store, StoredObject, StoreUnavailable, VersionConflict

DEFAULT_DURATION_S = 1800.0
DEFAULT_MARGIN_S = 20.0  # covers clocks whose rates differ by 1% over the default duration
ANSWER_LIMIT_S = 30.0
RENEWAL_FRACTION = 1 / 3
RENEWAL_JITTER = 0.1  # of the renewal interval, either way
RETRY_FRACTION = 1 / 60  # of the duration, after a renewal failed
MAX_PENDING_WRITES = 16
EXPIRED = float("-inf")


class AcquireResult(StrEnum):
    """Say how an attempt to acquire a lease ended."""

    ACQUIRED = "acquired"
    HELD_BY_OTHER = "held_by_other"
    STORE_UNAVAILABLE = "store_unavailable"


@dataclass(frozen=True, kw_only=True)
class LeaseHolder:
    """Identify the process that a record names; an empty VM means that it was released."""

    vm: str
    incarnation: int


def read_holder(record: StoredObject | None) -> LeaseHolder:
    """Return the holder that a record names."""
    value = (record.value if record is not None else None) or {}
    vm, incarnation = value.get("vm", ""), value.get("incarnation", 0)
    return LeaseHolder(
        vm=vm if isinstance(vm, str) else "",
        incarnation=incarnation if isinstance(incarnation, int) else 0,
    )


class Lease:
    """Hold or contend for one lease.

    A holder's expiry is measured on its own clock from before the write was sent, and a contender
    waits from after the read was answered, so the holder's term ends first while the clocks' rates
    differ by less than `margin_s / duration_s`.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        random: Random,
        kind: str,
        name: str,
        vm: str,
        incarnation: int,
        is_gone: Callable[[str, int], bool],
        duration_s: float = DEFAULT_DURATION_S,
        margin_s: float = DEFAULT_MARGIN_S,
        settle_s: float = 0.0,
        describe: Callable[[], dict[str, JsonValue]] = dict,
    ) -> None:
        self.kind, self.name = kind, name
        self.identity = LeaseHolder(vm=vm, incarnation=incarnation)
        self.duration_s, self.margin_s, self.settle_s = duration_s, margin_s, settle_s
        self.record: StoredObject | None = None
        self.seen: StoredObject | None = None  # the newest record read, of any holder
        self.expires_at = EXPIRED
        self.usable_from = 0.0
        self.renew_at = 0.0
        self._store, self._clock, self._random = store, clock, random
        self._is_gone, self._describe = is_gone, describe
        self._seen_version = -1
        self._seen_since = 0.0
        self._pending: dict[str, float] = {}
        self._writes = 0

    def is_held(self, *, for_s: float = 0.0) -> bool:
        """Tell whether the lease lasts at least `for_s` more seconds on the own clock."""
        return self._clock.monotonic() + for_s < self.expires_at

    async def acquire(self) -> AcquireResult:
        """Read the record and take the lease if it is free; call again to keep observing it."""
        try:
            current = await self._store.get(self.kind, self.name)
            self._observe(current)
            if self._adopt(current):
                # An earlier term of this process may have grants in use.
                self.usable_from = self._clock.monotonic() + self.settle_s
                return AcquireResult.ACQUIRED
            settle_s = self._find_settle_time(current)
            if settle_s is None:
                return AcquireResult.HELD_BY_OTHER
            return await self._take(current, settle_s)
        except StoreUnavailable:
            return AcquireResult.STORE_UNAVAILABLE

    async def renew(self) -> bool:
        """Extend the lease; False if the store gave no usable answer or the lease is lost."""
        if self.record is None:
            return False
        before = self._clock.monotonic()
        try:
            renewed = await self._write(self.record.version)
        except VersionConflict as conflict:
            return self._settle_conflict(conflict.current)
        except StoreUnavailable:
            self.renew_at = self._clock.monotonic() + self._jitter(self.duration_s * RETRY_FRACTION)
            return False
        return renewed and self._clock.monotonic() - before < ANSWER_LIMIT_S

    async def release(self) -> bool:
        """Give the lease up; call only when nothing that depends on it remains in use."""
        record, self.record, self.expires_at = self.record, None, EXPIRED
        if record is None:
            return False
        value: dict[str, JsonValue] = {**self._describe(), "vm": "", "incarnation": 0}
        try:
            await self._store.put(self.kind, self.name, value, expected_version=record.version)
        except (VersionConflict, StoreUnavailable):
            return False
        return True

    def _find_settle_time(self, current: StoredObject | None) -> float | None:
        """Return the wait before use if the lease can be taken, or None if it cannot."""
        holder = read_holder(current)
        if not holder.vm:
            return 0.0
        if holder == self.identity:
            # The record still names this process, so nobody else held the lease in between.
            return self.settle_s
        older_self = (
            holder.vm == self.identity.vm and holder.incarnation < self.identity.incarnation
        )
        if older_self or self._is_gone(holder.vm, holder.incarnation):
            return self.settle_s
        if self._clock.monotonic() - self._seen_since >= self.duration_s + self.margin_s:
            return 0.0
        return None

    def _observe(self, current: StoredObject | None) -> None:
        self.seen = current
        version = current.version if current is not None else 0
        if version != self._seen_version:
            self._seen_version, self._seen_since = version, self._clock.monotonic()

    async def _take(self, current: StoredObject | None, settle_s: float) -> AcquireResult:
        # Set before the write: a lost answer may make this attempt succeed later.
        self.usable_from = self._clock.monotonic() + settle_s
        try:
            held = await self._write(current.version if current is not None else 0)
        except VersionConflict as conflict:
            self._observe(conflict.current)
            held = self._adopt(conflict.current)
        return AcquireResult.ACQUIRED if held else AcquireResult.HELD_BY_OTHER

    async def _write(self, expected_version: int) -> bool:
        """Write the record; after a lost answer, read it to see whether the write took effect."""
        self._writes += 1
        change = f"{self.identity.vm}.{self.identity.incarnation}.{self._writes}"
        self._remember(change, self._clock.monotonic())
        value: dict[str, JsonValue] = {
            **self._describe(),
            "vm": self.identity.vm,
            "incarnation": self.identity.incarnation,
            "change": change,
        }
        try:
            written: StoredObject | None = await self._store.put(
                self.kind, self.name, value, expected_version=expected_version
            )
        except StoreUnavailable:
            written = await self._store.get(self.kind, self.name)
            if written is None or (written.value or {}).get("change") != change:
                raise
        return self._adopt(written)

    def _remember(self, change: str, sent_at: float) -> None:
        self._pending[change] = sent_at
        while len(self._pending) > MAX_PENDING_WRITES:
            del self._pending[next(iter(self._pending))]

    def _adopt(self, record: StoredObject | None) -> bool:
        """Use a record that one of the own writes made, unless its answer came too late."""
        change = ((record.value if record is not None else None) or {}).get("change")
        sent_at = self._pending.get(change) if isinstance(change, str) else None
        if record is None or sent_at is None:
            return False
        self.record = record
        now = self._clock.monotonic()
        if now - sent_at < min(ANSWER_LIMIT_S, self.duration_s):
            self.expires_at = sent_at + self.duration_s
            self.renew_at = now + self._jitter(self.duration_s * RENEWAL_FRACTION)
        return now < self.expires_at

    def _settle_conflict(self, current: StoredObject | None) -> bool:
        if self._adopt(current):
            return True
        if read_holder(current) != self.identity:
            self.record, self.expires_at = None, EXPIRED
        return False

    def _jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(1 - RENEWAL_JITTER, 1 + RENEWAL_JITTER)
