"""Records through peers: a few proxies read the store, the others follow those.

Every call to the store is billed, and each change wakes every watch. Reading through peers keeps
the calls of the whole fleet independent of its size.
"""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass, field, replace
from random import Random

from ..clock import SuspensionClock
from ..errors import LentilringError
from ..kernel import Service
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..platform.store import StoreUnavailable
from ..revisions import find_era, format_revision
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .history import RecordHistory
from .messages import RelayedRecord, RelayedRecords, WatchRecords, WatchRefusal
from .readers import FOLLOWED_READERS, choose_readers, order_readers
from .source import (
    EncodedRecordSource,
    ProxyEntry,
    ProxyRegister,
    Record,
    RecordKind,
    Records,
)

# Time beyond a watch's wait in which a reader's answer arrives, retransmissions included.
ANSWER_MARGIN_S = 1.0
# When a watch has lasted its whole wait time, the records count as confirmed after this part of it,
# not only when the watch was sent.
CERTAIN_WAIT_FRACTION = 0.9
# After a failure, the first watch waits only this long, since its answer confirms the records.
REGAIN_WAIT_S = 0.5
# Readers answer watches of the configuration this often, so that a silent one is soon replaced.
HEARTBEAT_KIND = RecordKind.MANIFEST
HEARTBEAT_S = 2.0
# A new choice of readers replaces a suspected one within this time.
CHOICE_INTERVAL_S = 1.0
# Timers may fire a little before the age that they wait for.
TIMER_MARGIN_S = 0.01
# At start, time for reading which proxies there are, before records are read from the store.
START_WAIT_S = 1.0
START_POLL_S = 0.05
# A reader that failed to answer is not asked again for this long.
READER_RETRY_S = 2.0
# While readers report that the store is lost, a follower tries the store itself this often: the
# store may refuse the readers only.
DIRECT_RETRY_S = 5.0
DIRECT_RETRY_JITTER = 0.3
# Larger answers would occupy the link of a reader; followers read these from the store.
MAX_ANSWER_BYTES = 32 * 1024
MAX_LOGGED_NAMES = 5
# Key of a watch at the store itself among those at readers.
STORE_KEY = ""
# Parts of the time for applying a change, counted from the newest confirmation. After the first, a
# reader refuses to answer, as it may have lost the store without an error, and a follower asks all
# readers. After the second, a proxy asks the store itself; the rest is left for the answer.
OLD_AGE_FRACTION = 0.6
DIRECT_AGE_FRACTION = 0.75
# Part of that time in which the store answers; readers end their watches this long before the
# confirmation is old.
ANSWER_FRACTION = 0.15
MIN_WAIT_S = 0.05

log = Log(source="relay")


@dataclass(kw_only=True, eq=False)
class ReaderFailed(LentilringError):
    """Report that a reader gave no records, and why."""

    detail: str
    refusal: WatchRefusal = WatchRefusal.NONE


@dataclass(kw_only=True)
class _Feed:
    """Hold what is known of one kind of records and the watches at its readers."""

    history: RecordHistory = field(default_factory=RecordHistory)
    watches: dict[str, asyncio.Task[Records]] = field(default_factory=dict)
    updated: asyncio.Event = field(default_factory=asyncio.Event)
    failed_until: dict[str, float] = field(default_factory=dict)
    confirmations: dict[str, float] = field(default_factory=dict)
    is_store_lost: bool = False
    direct_retry_at: float = float("-inf")

    def notify(self) -> None:
        """Wake all that wait for an update."""
        self.updated.set()
        self.updated = asyncio.Event()


class RecordRelay(Service):
    """Implement RecordSource: read through peers, or from `source` if this process is a reader.

    `proxies` is set before the start, because the register of proxies itself reads through this.
    """

    proxies: ProxyRegister

    def __init__(
        self,
        *,
        source: EncodedRecordSource,
        transport: PeerTransport,
        clock: SuspensionClock,
        random: Random,
        telemetry: Telemetry,
        configuration_delay_s: float,
    ) -> None:
        self._source, self._transport = source, transport
        self._clock, self._random, self._telemetry = clock, random, telemetry
        self._old_age_s = configuration_delay_s * OLD_AGE_FRACTION
        self._direct_age_s = configuration_delay_s * DIRECT_AGE_FRACTION
        self._answer_reserve_s = configuration_delay_s * ANSWER_FRACTION
        self._was_old = False
        self._feeds = {kind: _Feed() for kind in RecordKind}
        self._members: tuple[ProxyEntry, ...] = ()
        self._readers: tuple[ProxyEntry, ...] = ()
        self._is_stopping = False

    async def start(self) -> None:
        """Answer the watches of peers."""
        self._transport.handle(WatchRecords, self._handle_watch)

    async def stop(self) -> None:
        """End all watches; followers of this process turn to other readers."""
        self._is_stopping = True
        for feed in self._feeds.values():
            feed.notify()
            for task in feed.watches.values():
                task.cancel()

    def is_reader(self) -> bool:
        """Tell whether this process reads the store itself, so that others may follow it."""
        local = self.proxies.local
        return any(entry.vm == local.vm for entry in self._find_readers())

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        """Return all records of a kind."""
        sent_at = self._clock.boottime()
        batch = await self._read_store(kind, self._source.list(kind, may_be_old=may_be_old))
        if not may_be_old:
            batch = replace(batch, confirmed_at=sent_at)
        self._update(kind, batch)
        return batch

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        """Return the records changed after a revision."""
        feed = self._feeds[kind]
        await self._wait_for_register()
        while True:
            self._ask_sources(kind, after_revision, wait_s)
            await asyncio.wait(
                feed.watches.values(),
                timeout=self._find_choice_delay(kind),
                return_when=asyncio.FIRST_COMPLETED,
            )
            self._log_age()
            batch = self._collect(feed, kind, after_revision)
            if batch is not None:
                return batch

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        """Create or replace the entry of a proxy and return its revision."""
        return await self._source.register(entry, revision=revision)

    async def deregister(self, vm: str, *, revision: int) -> None:
        """Remove the entry of a proxy unless it has another revision by now."""
        await self._source.deregister(vm, revision=revision)

    async def _wait_for_register(self) -> None:
        """Wait until the other proxies are known, so that not each of them reads the store."""
        deadline = self._clock.boottime() + START_WAIT_S
        while not self.proxies.is_synchronized and self._clock.boottime() < deadline:
            await self._clock.sleep(START_POLL_S)

    def _ask_sources(self, kind: RecordKind, after_revision: int, wait_s: float) -> None:
        """Begin the watches that are needed and not under way; at least one is then."""
        feed = self._feeds[kind]
        for reader in self._choose_usable(kind):
            if reader.vm not in feed.watches:
                feed.watches[reader.vm] = asyncio.ensure_future(
                    self._ask(reader, kind, after_revision=after_revision, wait_s=wait_s)
                )
        if STORE_KEY not in feed.watches and self._needs_store(kind):
            feed.watches[STORE_KEY] = asyncio.ensure_future(
                self._watch_directly(kind, after_revision, wait_s)
            )

    def _needs_store(self, kind: RecordKind) -> bool:
        """Tell whether to ask the store: as a reader, without one, or for want of confirmations."""
        feed = self._feeds[kind]
        if self.is_reader() or not feed.watches:
            return True
        return self._is_old(kind, self._direct_age_s) and (
            not feed.is_store_lost or self._clock.boottime() >= feed.direct_retry_at
        )

    def _find_choice_delay(self, kind: RecordKind) -> float:
        """Return the time until other sources may have to be asked."""
        if kind is not HEARTBEAT_KIND:
            return CHOICE_INTERVAL_S
        age_s = self._configuration_age_s()
        remaining = [
            limit_s - age_s for limit_s in (self._old_age_s, self._direct_age_s) if limit_s > age_s
        ]
        return min([CHOICE_INTERVAL_S, *remaining]) + TIMER_MARGIN_S

    def _is_old(self, kind: RecordKind, limit_s: float) -> bool:
        return kind is HEARTBEAT_KIND and self._configuration_age_s() >= limit_s

    def _collect(self, feed: _Feed, kind: RecordKind, after_revision: int) -> Records | None:
        """Return the first answer of the watches that ended; None if all of those failed."""
        for vm, task in list(feed.watches.items()):
            if not task.done():
                continue
            del feed.watches[vm]
            if task.cancelled():
                continue
            error = task.exception()
            if error is None:
                return _remove_known(task.result(), after_revision)
            if not isinstance(error, ReaderFailed):
                raise error
            self._note_failure(vm, kind, error)
        return None

    async def _watch_directly(
        self, kind: RecordKind, after_revision: int, wait_s: float
    ) -> Records:
        """Watch the store, but seldom while readers report that it is lost."""
        feed, now = self._feeds[kind], self._clock.boottime()
        if not self.is_reader() and feed.is_store_lost and now < feed.direct_retry_at:
            raise StoreUnavailable(operation=f"relay {kind}", detail="readers have lost the store")
        # Without readers, the wait is short, so that a reader is followed as soon as there is one.
        direct_wait_s = wait_s if self.is_reader() else min(wait_s, READER_RETRY_S)
        if feed.is_store_lost:
            direct_wait_s = min(direct_wait_s, REGAIN_WAIT_S)
        if kind is HEARTBEAT_KIND:
            # After a change, the confirmation is as old as the watch that brought it.
            fresh_s = self._old_age_s - self._answer_reserve_s - self._configuration_age_s()
            direct_wait_s = max(MIN_WAIT_S, min(direct_wait_s, fresh_s))
        watch = self._source.watch(kind, after_revision=after_revision, wait_s=direct_wait_s)
        try:
            batch = await self._read_store(kind, watch)
        except StoreUnavailable:
            jitter = self._random.uniform(1 - DIRECT_RETRY_JITTER, 1 + DIRECT_RETRY_JITTER)
            feed.direct_retry_at = self._clock.boottime() + DIRECT_RETRY_S * jitter
            if kind is HEARTBEAT_KIND:
                self._restart_store_watches()
            raise
        waited_in_full = self._clock.boottime() - now >= direct_wait_s
        certain_wait_s = direct_wait_s * CERTAIN_WAIT_FRACTION if waited_in_full else 0.0
        batch = replace(batch, confirmed_at=now + certain_wait_s)
        self._update(kind, batch)
        return batch

    def _restart_store_watches(self) -> None:
        """Ask the store for other records again, as it may not answer the calls under way."""
        for kind, feed in self._feeds.items():
            if kind is not HEARTBEAT_KIND and STORE_KEY in feed.watches:
                feed.watches[STORE_KEY].cancel()

    async def _read_store(self, kind: RecordKind, call: Awaitable[Records]) -> Records:
        """Return the answer of a call to the store; record whether the store can be reached."""
        try:
            batch = await call
        except StoreUnavailable:
            self._set_store_lost(kind, True)
            raise
        self._set_store_lost(kind, False)
        return batch

    def _update(self, kind: RecordKind, batch: Records) -> None:
        feed = self._feeds[kind]
        ignored = feed.history.list_ignored(batch)
        if ignored:
            self._telemetry.count("relay_records_ignored", len(ignored), kind=kind)
            log.info(
                "records_ignored",
                kind=kind,
                names=",".join(sorted(record.name for record in ignored)[:MAX_LOGGED_NAMES]),
                revision=format_revision(batch.revision),
                known_revision=format_revision(feed.history.revision),
            )
        feed.history.update(batch)
        feed.notify()

    def _configuration_age_s(self) -> float:
        return self._clock.boottime() - self._feeds[HEARTBEAT_KIND].history.confirmed_at

    def _log_age(self) -> None:
        """Log once when the configuration becomes old and once when it is confirmed again."""
        age_s = self._configuration_age_s()
        is_old = age_s >= self._direct_age_s
        if is_old == self._was_old:
            return
        self._was_old = is_old
        feed, now = self._feeds[HEARTBEAT_KIND], self._clock.boottime()
        confirmations = ",".join(
            f"{vm}:{now - confirmed_at:.2f}"
            for vm, confirmed_at in sorted(feed.confirmations.items())
        )
        log.info(
            "configuration_old" if is_old else "configuration_confirmed",
            age_s=round(age_s, 2),
            asked=",".join(sorted(key or "store" for key in feed.watches)),
            ages_by_reader=confirmations,
        )

    def _set_store_lost(self, kind: RecordKind, is_lost: bool) -> None:
        feed = self._feeds[kind]
        if feed.is_store_lost != is_lost:
            feed.is_store_lost = is_lost
            feed.notify()

    def _find_readers(self) -> tuple[ProxyEntry, ...]:
        if not self.proxies.is_synchronized:
            return ()
        members = self.proxies.members()
        if members is not self._members:
            self._members, self._readers = members, choose_readers(members)
        return self._readers

    def _choose_usable(self, kind: RecordKind) -> tuple[ProxyEntry, ...]:
        """Return the readers to ask; none if this process reads the store or no reader answers."""
        is_old = self._is_old(kind, self._old_age_s)
        if self.is_reader() and not is_old:
            return ()
        now, failed_until = self._clock.boottime(), self._feeds[kind].failed_until
        local = self.proxies.local
        usable = [
            entry
            for entry in order_readers(self._find_readers(), local)
            if entry.vm != local.vm
            and failed_until.get(entry.vm, 0.0) <= now
            and not self.proxies.is_suspect(entry.vm)
        ]
        return tuple(usable if is_old else usable[:FOLLOWED_READERS])

    def _note_failure(self, vm: str, kind: RecordKind, error: ReaderFailed) -> None:
        """Follow other readers for a while, for all kinds if there was no answer."""
        retry_at = self._clock.boottime() + READER_RETRY_S
        is_silent = error.refusal is WatchRefusal.NONE
        for failed_kind in RecordKind if is_silent else (kind,):
            self._feeds[failed_kind].failed_until[vm] = retry_at
        if is_silent:
            self._cancel_watches(vm)
        if error.refusal is WatchRefusal.STORE_LOST:
            self._feeds[kind].is_store_lost = True
        self._telemetry.count("relay_failures", kind=kind, reason=error.refusal or "no_answer")
        log.info("reader_failed", reader=vm, kind=kind, detail=error.detail)

    def _cancel_watches(self, vm: str) -> None:
        for feed in self._feeds.values():
            if vm in feed.watches:
                feed.watches[vm].cancel()

    async def _ask(
        self, reader: ProxyEntry, kind: RecordKind, *, after_revision: int, wait_s: float
    ) -> Records:
        """Return a reader's records; raise ReaderFailed."""
        if kind is HEARTBEAT_KIND:
            wait_s = min(wait_s, HEARTBEAT_S)
        request = WatchRecords(kind=kind, after_revision=after_revision, wait_s=wait_s)
        sent_at = self._clock.boottime()
        try:
            answer = await self._transport.call(
                reader.address, request, timeout_s=wait_s + ANSWER_MARGIN_S
            )
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            raise ReaderFailed(detail=str(error)) from error
        if not isinstance(answer, RelayedRecords):
            raise ReaderFailed(detail="answer of another type")
        if answer.refusal is not WatchRefusal.NONE:
            raise ReaderFailed(detail=answer.refusal, refusal=answer.refusal)
        if find_era(answer.revision) < find_era(after_revision):
            # No change that this reader knows can be later than `after_revision`.
            refusal = WatchRefusal.EARLIER_ERA
            raise ReaderFailed(detail=refusal, refusal=refusal)
        # The answer was made after the request was sent, so this is the earliest possible moment.
        confirmed_at = sent_at + answer.waited_s - answer.age_s
        batch = Records(
            records=tuple(self._decode(kind, entry) for entry in answer.records),
            revision=answer.revision,
            is_complete=answer.is_complete,
            confirmed_at=confirmed_at,
        )
        self._feeds[kind].is_store_lost = False
        self._feeds[kind].confirmations[reader.vm] = confirmed_at
        self._update(kind, batch)
        return batch

    def _decode(self, kind: RecordKind, entry: RelayedRecord) -> Record:
        record = Record(
            name=entry.name,
            revision=entry.revision,
            value=None,
            is_deleted=entry.is_deleted,
            content=entry.content,
        )
        return record if entry.is_deleted else self._source.decode(kind, record)

    async def _handle_watch(self, sender: Sender, request: WatchRecords) -> RelayedRecords:
        arrived_at = self._clock.boottime()
        feed = self._feeds[request.kind]
        while True:
            refusal = self._find_refusal(feed)
            if refusal is not WatchRefusal.NONE:
                return RelayedRecords(refusal=refusal)
            now = self._clock.boottime()
            updated = feed.updated
            remaining_s = arrived_at + request.wait_s - now
            old_in_s = self._old_age_s - self._configuration_age_s()
            batch = feed.history.read_after(request.after_revision)
            is_confirmed = batch.confirmed_at > arrived_at
            if batch.records or batch.is_complete or is_confirmed or remaining_s <= 0:
                return _build_answer(batch, now, arrived_at)
            try:
                async with asyncio.timeout(min(remaining_s, old_in_s + TIMER_MARGIN_S)):
                    await updated.wait()
            except TimeoutError:
                continue

    def _find_refusal(self, feed: _Feed) -> WatchRefusal:
        configuration = self._feeds[HEARTBEAT_KIND].history
        is_complete = feed.history.is_synchronized and configuration.is_synchronized
        if self._is_stopping or not self.is_reader() or not is_complete:
            return WatchRefusal.NOT_A_READER
        if feed.is_store_lost or self._configuration_age_s() >= self._old_age_s:
            return WatchRefusal.STORE_LOST
        return WatchRefusal.NONE


def _build_answer(batch: Records, now: float, arrived_at: float) -> RelayedRecords:
    if sum(len(record.content) for record in batch.records) > MAX_ANSWER_BYTES:
        return RelayedRecords(refusal=WatchRefusal.TOO_LARGE)
    return RelayedRecords(
        revision=batch.revision,
        is_complete=batch.is_complete,
        records=tuple(
            RelayedRecord(
                name=record.name,
                revision=record.revision,
                is_deleted=record.is_deleted,
                content=record.content,
            )
            for record in batch.records
        ),
        age_s=now - batch.confirmed_at,
        waited_s=now - arrived_at,
    )


def _remove_known(batch: Records, after_revision: int) -> Records:
    """Return a batch without the records that a newer one from another reader contained."""
    is_new = batch.revision > after_revision
    records = [
        record
        for record in batch.records
        if is_new and (batch.is_complete or record.is_deleted or record.revision > after_revision)
    ]
    return replace(batch, records=tuple(records), is_complete=batch.is_complete and is_new)
