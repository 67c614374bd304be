"""Distribution of configuration: a few nodes watch the store, the others learn from peers."""

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
# An answered watch proves nothing about the time after its request was sent, so it may wait only a
# fraction of the withdrawal bound: 2.5 calls/s for each watcher.
WATCH_WAIT_S = 0.4
STORE_TIMEOUT_S = 0.6
WATCH_RETRY_S = 0.5
STORE_CHECK_INTERVAL_S = 0.1
# A node without recent confirmations calls the store itself at this age. With the withdrawal bound
# of 3 s, that leaves time to learn within the bound that the other nodes cannot reach it either.
OWN_CALL_AGE_S = 1.75
OWN_CALL_AGE_WHEN_REPORTED_DOWN_S = 1.0
OWN_CALL_JITTER_S = 0.3
OWN_CALL_RETRY_S = 2.0
OWN_CALL_RETRY_MAX_S = 15.0
# A node reports the store as down only at this age, so that one failed call does not count while
# confirmations from other nodes still arrive.
REPORT_DOWN_AGE_S = 0.75
REPORT_LIFETIME_S = 1.0
# Interval between announcements to one random peer: three peers every 250 ms, spread out so that
# changes travel faster.
ANNOUNCE_INTERVAL_S = 0.25 / 3
ANNOUNCE_JITTER = 0.2
PUSH_FANOUT = 4
# A peer answers only if its confirmation is newer by more than this.
MIN_AGE_GAIN_S = 0.05
TOKEN_LIFETIME_S = 1.0
FETCH_TIMEOUT_S = 0.5
MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_OBJECTS = 500
START_PEERS = 3
STORE_IS_REACHABLE = -math.inf

log = Log(source="configuration")


class Distributor:
    """Keep the local registry up to date and track how fresh it is."""

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
        self.announced_head = 0
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
        self.last_heard_at = -math.inf
        self._reported_down_at = -math.inf
        self._next_own_call_at = -math.inf
        self._retry_s = OWN_CALL_RETRY_S
        self._tasks: set[asyncio.Task[None]] = set()
        transport.handle_datagram(Announcement, self._handle_announcement)
        transport.handle_datagram(Confirmation, self._handle_confirmation)
        transport.handle(FetchRequest, self._handle_fetch)

    async def start(self) -> None:
        """Load the configuration from a peer, or from the store if no peer provides any."""
        for peer in self._membership.choose_peers(START_PEERS):
            await self._fetch_from(peer.address)
            if self.freshness.revision > 0:
                break
        else:
            await self._ask_store(wait_s=0.0)
        self._spawn(self._run_announcements())
        self._spawn(self._run_store_calls())

    def stop(self) -> None:
        """Cancel all background tasks.

        Python 3.11's `wait_for` can swallow a cancellation, so the loops also check a flag.
        """
        self._stopped = True
        for task in self._tasks:
            task.cancel()

    def push(self) -> None:
        """Announce the local revision to several random peers immediately."""
        for peer in self._membership.choose_peers(PUSH_FANOUT):
            self._transport.send_datagram(peer.address, self._announcement(token=None))

    def age_s(self) -> float:
        """Return the age of the newest confirmation received from a peer or the store."""
        return self._clock.monotonic() - self.freshness.confirmed_at

    def is_behind(self) -> bool:
        """Tell whether a peer or the store has announced a change that is missing locally."""
        return (
            self.registry.head < self.announced_head or not self.freshness.has_confirmed_revision()
        )

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
        """Tell whether the node's own last call failed and no newer confirmation has arrived.

        The newest confirmation must also be at least `REPORT_DOWN_AGE_S` old.
        """
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
        self._handle_peer_state(sender, received.revision, received.head, received.store_is_down)
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
        return self.age_s() + MIN_AGE_GAIN_S < their_age

    def _handle_confirmation(self, sender: Sender, received: Confirmation) -> None:
        """Apply a peer's confirmation, dated by when the announcement was sent, not by arrival.

        A datagram may wait in the socket's buffer while the process is paused, so its time of
        arrival proves nothing; the answer was certainly written after the request was sent.
        """
        self._handle_peer_state(sender, received.revision, received.head, received.store_is_down)
        sent_at = self._tokens.pop(received.token, None)
        if sent_at is None:
            self._telemetry.count("configuration_confirmations_late")
            return
        if received.age_s is not None:
            self._confirm(received.confirmed_revision, sent_at - received.age_s)

    def _handle_peer_state(
        self, sender: Sender, revision: int, head: int, store_is_down: bool
    ) -> None:
        self.last_heard_at = self._clock.monotonic()
        if store_is_down:
            self._reported_down_at = self.last_heard_at
        self.announced_head = max(self.announced_head, head)
        if revision > self.freshness.revision or head > self.registry.head:
            self._spawn(self._fetch_from(sender.address))

    def _confirm(self, revision: int, as_of: float) -> None:
        if self.freshness.confirm(revision, as_of):
            self._report_store()

    def _complete(self, revision: int) -> None:
        if self.freshness.complete(revision):
            self._membership.report_revision(revision)
            self.push()

    async def _fetch_from(self, address: str) -> None:
        """Fetch the changes after the local revision from a peer, in batches."""
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
            # Only the last batch makes the node complete: an object that changes between two
            # batches is missing until the batch with its new revision arrives.
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
            if self._membership.is_assigned("configuration-watch", count=WATCHERS_PER_REGION):
                if not await self._ask_store(wait_s=WATCH_WAIT_S):
                    await self._clock.sleep(WATCH_RETRY_S * self._random.uniform(0.8, 1.2))
            elif self._needs_own_call():
                await self._call_store_after_jitter()
            else:
                await self._clock.sleep(STORE_CHECK_INTERVAL_S)
            self._report_store()

    def _needs_own_call(self) -> bool:
        now = self._clock.monotonic()
        is_reported_down = now - self._reported_down_at <= REPORT_LIFETIME_S
        allowed_age = OWN_CALL_AGE_WHEN_REPORTED_DOWN_S if is_reported_down else OWN_CALL_AGE_S
        if self.age_s() < allowed_age or now < self._next_own_call_at:
            return False
        return not (self._reports_down() and self._membership.store_is_down())

    async def _call_store_after_jitter(self) -> None:
        """Ask the store once; while the node remains stale, double the pause between calls."""
        await self._clock.sleep(self._random.uniform(0, OWN_CALL_JITTER_S))
        if not self._needs_own_call():
            return
        self._telemetry.count("configuration_own_tries")
        if await self._ask_store(wait_s=0.0):
            self._retry_s = OWN_CALL_RETRY_S
            return
        self._next_own_call_at = self._clock.monotonic() + self._retry_s * self._random.uniform(
            0.5, 1
        )
        self._retry_s = min(OWN_CALL_RETRY_MAX_S, 2 * self._retry_s)

    async def _ask_store(self, *, wait_s: float) -> bool:
        """Fetch the changes from the store; tell whether it answered.

        The answer counts as of the time when the request was sent. A watch that ends without a
        change proves that there was none until its wait ended, but when that was depends on the
        store's clock and the network, and an answer that waits in a buffer while the process is
        paused would seem new.
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
        self._apply_snapshot(snapshot, after=after, sent_at=sent_at)
        return True

    def _apply_snapshot(self, snapshot: Snapshot, *, after: int, sent_at: float) -> None:
        self._apply(snapshot.objects)
        # Not the snapshot's own revision, which also counts changes of kinds that are not watched.
        newest = max((entry.revision for entry in snapshot.objects), default=after)
        self._complete(newest)
        self._confirm(newest, sent_at)

    def _report_store(self) -> None:
        self._membership.report_store(is_down=self._reports_down())

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
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
