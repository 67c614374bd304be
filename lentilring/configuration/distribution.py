"""Spreads configuration: few nodes watch the store, the others learn from their peers."""

import asyncio
import math
from collections.abc import Callable, Coroutine, Iterable
from random import Random

import msgspec

from ..clock import Clock
from ..membership.service import MembershipService
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..platform.store import Kind, Snapshot, Store, StoredObject, StoreUnavailable
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .freshness import Freshness
from .messages import Announcement, ConfigurationObject, Confirmation, FetchReply, FetchRequest
from .parsing import ConfigurationRegistry

WATCHED_KINDS = (
    Kind.TEMPLATE,
    Kind.CLIENT_ACCOUNT,
    Kind.SERVICE,
    Kind.FAILURE_DOMAIN,
    Kind.LIMIT_SETTINGS,
    Kind.GROUP,
)
WATCHERS_PER_REGION = 2
# An answered watch proves nothing later than the moment it was sent, so it must wait only a
# fraction of the withdrawal bound: 2.5 calls/s for each watcher.
WATCH_WAIT_S = 0.4
STORE_TIMEOUT_S = 0.6
WATCH_RETRY_S = 0.5
STORE_CHECK_INTERVAL_S = 0.1
# With the bound of 3 s, a node that hears nothing tries the store early enough to learn from the
# others within the bound that they cannot reach it either.
OWN_TRY_AGE_S = 1.75
OWN_TRY_AGE_WHEN_REPORTED_DOWN_S = 1.0
OWN_TRY_JITTER_S = 0.3
OWN_TRY_RETRY_S = 2.0
OWN_TRY_RETRY_MAX_S = 15.0
# One failed call does not make the store down while confirmations of others still arrive.
REPORT_DOWN_AGE_S = 0.75
REPORT_MEMORY_S = 1.0
# One random peer this often is three peers each 250 ms, spread out so that news travels faster.
ANNOUNCE_INTERVAL_S = 0.25 / 3
ANNOUNCE_JITTER = 0.2
PUSH_FANOUT = 4
# Peers with a confirmation that is hardly newer stay silent.
WORTHWHILE_AGE_S = 0.05
TOKEN_LIFETIME_S = 1.0
FETCH_TIMEOUT_S = 0.5
MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_OBJECTS = 500
START_PEERS = 3
STORE_IS_REACHABLE = -math.inf

log = Log(source="configuration")


class Distributor:
    """Keep the local registry complete and its freshness known."""

    def __init__(
        self,
        *,
        registry: ConfigurationRegistry,
        freshness: Freshness,
        apply: Callable[[Iterable[StoredObject]], None],
        membership: MembershipService,
        clock: Clock,
        random: Random,
        transport: PeerTransport,
        store: Store,
        telemetry: Telemetry,
    ) -> None:
        self.registry = registry
        self.freshness = freshness
        self.announced = 0
        self._apply = apply
        self._membership = membership
        self._clock = clock
        self._random = random
        self._transport = transport
        self._store = store
        self._telemetry = telemetry
        self._tokens: dict[int, float] = {}
        self._last_token = 0
        self._fetching = False
        self._stopped = False
        self._store_failed_at = STORE_IS_REACHABLE
        self.heard_at = -math.inf
        self._reported_down_at = -math.inf
        self._next_try_at = -math.inf
        self._retry_s = OWN_TRY_RETRY_S
        self._tasks: set[asyncio.Task[None]] = set()
        transport.handle_datagram(Announcement, self._handle_announcement)
        transport.handle_datagram(Confirmation, self._handle_confirmation)
        transport.handle(FetchRequest, self._handle_fetch)

    async def start(self) -> None:
        """Take everything from a peer, or from the store when no peer has anything."""
        for peer in self._membership.choose_peers(START_PEERS):
            await self._fetch_from(peer.address)
            if self.freshness.revision > 0:
                break
        else:
            await self._ask_store(wait_s=0.0)
        self._spawn(self._run_announcements())
        self._spawn(self._run_store_calls())

    def stop(self) -> None:
        """End all background work.

        Python 3.11's `wait_for` can swallow a cancellation, so the loops also check a flag.
        """
        self._stopped = True
        for task in self._tasks:
            task.cancel()

    def push(self) -> None:
        """Tell several random peers at once what the local node holds."""
        for peer in self._membership.choose_peers(PUSH_FANOUT):
            self._transport.send_datagram(peer.address, self._announcement(token=None))

    def age_s(self) -> float:
        """Return the age of the newest confirmation that a peer or the store gave."""
        return self._clock.monotonic() - self.freshness.confirmed_at

    def is_behind(self) -> bool:
        """Tell whether a peer or the store announced a change that the local node lacks."""
        return self.registry.head < self.announced or not self.freshness.has_confirmed_revision()

    def _announcement(self, *, token: int | None) -> Announcement:
        return Announcement(
            revision=self.freshness.revision,
            head=self.registry.head,
            age_s=self._reported_age(),
            store_is_down=self._reports_down(),
            token=token,
        )

    def _reported_age(self) -> float | None:
        age = self.age_s()
        return None if math.isinf(age) else age

    def _reports_down(self) -> bool:
        """Tell whether the last own call failed and nothing confirmed the store since."""
        return (
            self._store_failed_at > self.freshness.confirmed_at
            and self.age_s() >= REPORT_DOWN_AGE_S
        )

    async def _run_announcements(self) -> None:
        while not self._stopped:
            factor = self._random.uniform(1 - ANNOUNCE_JITTER, 1 + ANNOUNCE_JITTER)
            await self._clock.sleep(ANNOUNCE_INTERVAL_S * factor)
            for peer in self._membership.choose_peers(1):
                announcement = self._announcement(token=self._issue_token())
                self._transport.send_datagram(peer.address, announcement)

    def _issue_token(self) -> int:
        now = self._clock.monotonic()
        self._tokens = {
            token: sent for token, sent in self._tokens.items() if now - sent <= TOKEN_LIFETIME_S
        }
        self._last_token += 1
        self._tokens[self._last_token] = now
        return self._last_token

    def _handle_announcement(self, sender: Sender, received: Announcement) -> None:
        self._note_peer(sender, received.revision, received.head, received.store_is_down)
        if received.token is None or not self._has_news_for(received):
            return
        answer = Confirmation(
            token=received.token,
            revision=self.freshness.revision,
            head=self.registry.head,
            confirmed_revision=self.freshness.confirmed_revision,
            age_s=self._reported_age(),
            store_is_down=self._reports_down(),
        )
        self._transport.send_datagram(sender.address, answer)

    def _has_news_for(self, received: Announcement) -> bool:
        if self.freshness.revision > received.revision or self.registry.head > received.head:
            return True
        if self._reports_down() and not received.store_is_down:
            return True
        their_age = math.inf if received.age_s is None else received.age_s
        return self.age_s() + WORTHWHILE_AGE_S < their_age

    def _handle_confirmation(self, sender: Sender, received: Confirmation) -> None:
        """Take a peer's confirmation as of the request, not as of its arrival.

        A datagram may lie in the socket's buffer while the process is paused, so its time of
        arrival proves nothing; the answer was certainly written after the request was sent.
        """
        self._note_peer(sender, received.revision, received.head, received.store_is_down)
        sent_at = self._tokens.pop(received.token, None)
        if sent_at is None:
            self._telemetry.count("configuration_confirmations_late")
            return
        if received.age_s is not None:
            self._confirm(received.confirmed_revision, sent_at - received.age_s)

    def _note_peer(self, sender: Sender, revision: int, head: int, store_is_down: bool) -> None:
        self.heard_at = self._clock.monotonic()
        if store_is_down:
            self._reported_down_at = self.heard_at
        self.announced = max(self.announced, head)
        if revision > self.freshness.revision or head > self.registry.head:
            self._spawn(self._fetch_from(sender.address))

    def _confirm(self, revision: int, moment: float) -> None:
        if self.freshness.confirm(revision, moment):
            self._report_store()

    def _complete(self, revision: int) -> None:
        if self.freshness.complete(revision):
            self._membership.report_revision(revision)
            self.push()

    async def _fetch_from(self, address: str) -> None:
        """Take the changes after the local revision from a peer, in batches."""
        if self._fetching:
            return
        self._fetching = True
        try:
            after = self.freshness.revision
            while True:
                request = FetchRequest(after_revision=after)
                reply = await self._transport.call(address, request, timeout_s=FETCH_TIMEOUT_S)
                if not isinstance(reply, FetchReply):
                    raise PeerRejected(address=address, detail=type(reply).__name__)
                self._apply([_unpack(entry) for entry in reply.objects])
                if not reply.more:
                    break
                after = reply.objects[-1].revision
            # Only the last batch completes the node: an object that changes between two batches
            # is missing until the batch of its new revision.
            self._complete(reply.revision)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self._telemetry.count("configuration_fetch_failures", reason=type(error).__name__)
        finally:
            self._fetching = False

    async def _handle_fetch(self, sender: Sender, request: FetchRequest) -> FetchReply:
        changed = self.registry.changed_after(request.after_revision)
        batch: list[ConfigurationObject] = []
        size = 0
        for entry in changed[:MAX_BATCH_OBJECTS]:
            packed = _pack(entry)
            size += len(packed.value or "")
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(packed)
        more = len(batch) < len(changed)
        return FetchReply(objects=tuple(batch), revision=self.freshness.revision, more=more)

    async def _run_store_calls(self) -> None:
        while not self._stopped:
            if self._membership.is_chosen("configuration-watch", count=WATCHERS_PER_REGION):
                if not await self._ask_store(wait_s=WATCH_WAIT_S):
                    await self._clock.sleep(WATCH_RETRY_S * self._random.uniform(0.8, 1.2))
            elif self._needs_own_try():
                await self._try_store()
            else:
                await self._clock.sleep(STORE_CHECK_INTERVAL_S)
            self._report_store()

    def _needs_own_try(self) -> bool:
        now = self._clock.monotonic()
        reported = now - self._reported_down_at <= REPORT_MEMORY_S
        allowed_age = OWN_TRY_AGE_WHEN_REPORTED_DOWN_S if reported else OWN_TRY_AGE_S
        if self.age_s() < allowed_age or now < self._next_try_at:
            return False
        return not (self._reports_down() and self._membership.store_is_down())

    async def _try_store(self) -> None:
        """Ask the store once; repeat with growing pauses only while the node remains stale."""
        await self._clock.sleep(self._random.uniform(0, OWN_TRY_JITTER_S))
        if not self._needs_own_try():
            return
        self._telemetry.count("configuration_own_tries")
        if await self._ask_store(wait_s=0.0):
            self._retry_s = OWN_TRY_RETRY_S
            return
        self._next_try_at = self._clock.monotonic() + self._retry_s * self._random.uniform(0.5, 1)
        self._retry_s = min(OWN_TRY_RETRY_MAX_S, 2 * self._retry_s)

    async def _ask_store(self, *, wait_s: float) -> bool:
        """Take the store's changes; tell whether it answered.

        The answer counts as of the moment the request was sent. A watch that times out was true
        until its wait ended, but only the store's clock and the network tell when that was, and
        an answer that waits in a buffer while the process is paused would look new.
        """
        sent_at = self._clock.monotonic()
        after = self.freshness.revision
        try:
            async with asyncio.timeout(wait_s + STORE_TIMEOUT_S):
                snapshot = await self._store.watch(
                    WATCHED_KINDS, after_revision=after, wait_s=wait_s
                )
        except (StoreUnavailable, TimeoutError) as error:
            self._telemetry.count("configuration_store_failures", reason=type(error).__name__)
            self._store_failed_at = sent_at
            return False
        self._take_snapshot(snapshot, after=after, sent_at=sent_at)
        return True

    def _take_snapshot(self, snapshot: Snapshot, *, after: int, sent_at: float) -> None:
        self._apply(snapshot.objects)
        # Not the snapshot's revision, which also counts changes of kinds that are not watched.
        newest = max((entry.revision for entry in snapshot.objects), default=after)
        self._complete(newest)
        self._confirm(newest, sent_at)

    def _report_store(self) -> None:
        self._membership.report_store(is_down=self._reports_down())

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._telemetry.count("configuration_task_failures")
            log.error("task_failed", error=repr(error))


def _pack(entry: StoredObject) -> ConfigurationObject:
    value = None if entry.value is None else msgspec.json.encode(entry.value).decode()
    return ConfigurationObject(
        kind=entry.kind,
        name=entry.name,
        version=entry.version,
        revision=entry.revision,
        value=value,
    )


def _unpack(entry: ConfigurationObject) -> StoredObject:
    value = None if entry.value is None else msgspec.json.decode(entry.value)
    return StoredObject(
        kind=entry.kind,
        name=entry.name,
        version=entry.version,
        revision=entry.revision,
        value=value,
    )
