"""One service in memory for the model of takeovers: its servers, their links, store and platform.

It follows what the platform's pages promise: a promotion gives a server the lead of the next term
with what it had received, and ends the pause of each replica that hears of it. Everything that a
proxy asks for is a step of its own: it takes a time that the seed chooses, and `on_step` may change
the world before it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from contextvars import Context
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, TypeVar

from lentilring.catalog.model import ServerEntry, ServerRole
from lentilring.catalog.source import Record, RecordKind, Records
from lentilring.gateways.server import ReplicationStatus
from lentilring.platform.store import StoredObject, VersionConflict
from lentilring.statements.model import Position
from lentilring.takeover.authority import PromotionResult

SERVICE = "rental"
STORE = "store"
DOMAINS = ("casa-a", "mrk-a", "fes-a")
NO_COMMITS = Position(term=0, number=0)
MAX_STEP_S = 0.02
# The platform drops a connection whose far end is dark for this long.
DROP_S = 3.0
LINK_POLL_S = 0.02
REPLICATION_S = 0.02
HEARTBEAT_S = 1.0
LAPSE_S = 3.0
MIN_PROMOTION_S, MAX_PROMOTION_S = 0.3, 1.0
# A replica that has started again may receive nothing for this long.
MAX_CATCH_UP_S = 2.0

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class LoggedWrite:
    """Hold a committed write and its position."""

    position: Position
    write: str


@dataclass(kw_only=True, eq=False)
class ModelServer:
    """Hold one copy; a replica that starts again holds nothing, a primary keeps its log."""

    id: str
    failure_domain: str
    role: ServerRole = ServerRole.REPLICA
    term: int = 1
    log: list[LoggedWrite] = field(default_factory=list)
    paused_below_term: int = 0
    started_ms: int = 1
    is_up: bool = True
    is_draining: bool = False
    receives: bool = True
    heard_at: float = 0.0
    receives_from: float = 0.0

    @property
    def received(self) -> Position:
        return self.log[-1].position if self.log else NO_COMMITS

    def describe(self) -> ReplicationStatus:
        return ReplicationStatus(
            role=self.role,
            term=self.term,
            received=self.received,
            paused_below_term=self.paused_below_term,
        )


class World:
    """Hold what is true, and note each acknowledged write that a later primary lacks."""

    def __init__(self, *, seed: int, registers_late: bool) -> None:
        self.random = Random(seed)
        # Whether a server that has started serves before its registration has changed.
        self.registers_late = registers_late
        self.servers = {
            f"i-{number}": ModelServer(id=f"i-{number}", failure_domain=domain)
            for number, domain in enumerate(DOMAINS)
        }
        self._leader = self.servers["i-0"]
        self._leader.role = ServerRole.PRIMARY
        self.term = 1
        # Parties that nobody reaches, those on the far side of a partition, and servers and
        # proxies without a path to the store.
        self.dark: set[str] = set()
        self.far: set[str] = set()
        self.without_store: set[str] = set()
        # Proxies whose watches bring nothing, while other calls to the store are answered.
        self.silent_watches: set[str] = set()
        self.acknowledged: set[str] = set()
        self.lost: set[str] = set()
        self.promotions = 0
        self.trace: list[str] = []
        self.on_step: Callable[[str, str], None] = lambda party, step: None
        self.store = ModelStore(world=self)
        self._fence = 0
        self._committed = asyncio.Condition()

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def leader(self) -> ModelServer:
        """Return the server that the platform made the primary of the newest term."""
        return self._leader

    def note(self, event: str) -> None:
        self.trace.append(f"{self.now:7.3f} {event}")

    def reaches(self, source: str, target: str) -> bool:
        if STORE in (source, target) and self.without_store & {source, target}:
            return False
        if self.dark & {source, target}:
            return False
        return (source in self.far) == (target in self.far)

    async def take_step(self, party: str, step: str) -> None:
        """Take some time, after which the world may be another."""
        self.on_step(party, step)
        await asyncio.sleep(self.random.uniform(0.0, MAX_STEP_S))

    async def pass_link(self, source: str, target: str) -> None:
        """Wait until a message has arrived; raise TimeoutError if the connection is dropped."""
        sent_at = self.now
        await asyncio.sleep(self.random.uniform(0.0, MAX_STEP_S))
        while not self.reaches(source, target):
            await asyncio.sleep(LINK_POLL_S)
            if self.now - sent_at > DROP_S:
                raise TimeoutError

    async def run(self) -> None:
        """Replicate, and register servers, until cancelled."""
        for server in self.servers.values():
            self._register(server)
        while True:
            await asyncio.sleep(REPLICATION_S)
            await self.replicate()
            for server in self.servers.values():
                self._keep_registered(server)

    async def replicate(self) -> None:
        """Bring the replicas that receive up to their primary."""
        for primary in list(self.servers.values()):
            if primary.role is not ServerRole.PRIMARY or not primary.is_up:
                continue
            if primary.term < self.term and self._hears_of_leader(primary):
                self._learn_term(primary)
                continue
            for replica in self.servers.values():
                if self._receives(replica, primary) and replica.log != primary.log:
                    replica.log, replica.term = list(primary.log), primary.term
        async with self._committed:
            self._committed.notify_all()

    def _receives(self, replica: ModelServer, primary: ModelServer) -> bool:
        return (
            replica.role is ServerRole.REPLICA
            and replica.is_up
            and replica.receives
            and replica.receives_from <= self.now
            and self.reaches(primary.id, replica.id)
            and replica.term <= primary.term
            and replica.paused_below_term <= primary.term
        )

    async def commit(self, primary: ModelServer, write: str) -> bool:
        """Commit a write at a primary; tell whether a replica has received it."""
        position = Position(term=primary.term, number=primary.received.number + 1)
        started_ms = primary.started_ms
        primary.log.append(LoggedWrite(position=position, write=write))
        while True:
            await asyncio.sleep(self.random.uniform(0.0, MAX_STEP_S))
            if primary.role is not ServerRole.PRIMARY or primary.started_ms != started_ms:
                return False
            for replica in self.servers.values():
                if self._receives(replica, primary):
                    replica.log, replica.term = list(primary.log), primary.term
            if any(
                self._receives(replica, primary) and replica.received >= position
                for replica in self.servers.values()
            ):
                return True
            async with self._committed:
                await self._committed.wait()

    def keep_running(self, call: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Run a call outside of its caller's process, which may end before it."""
        task = Context().run(asyncio.ensure_future, call)
        task.add_done_callback(_take_exception)
        return task

    def acknowledge(self, write: str) -> None:
        """Record that a caller was told that a write succeeded."""
        self.acknowledged.add(write)
        self._check_loss()

    def _check_loss(self) -> None:
        kept = {entry.write for entry in self.leader.log}
        lost = self.acknowledged - kept - self.lost
        if lost:
            self.note(f"LOST {len(lost)}: {','.join(sorted(lost))}")
        self.lost |= lost

    async def promote(self, server: str, token: int, *, started_ms: int) -> PromotionResult:
        """Execute a call for the promotion of the process that ran when the call was sent."""
        target = self.servers[server]
        if not target.is_up or target.started_ms != started_ms:
            # A proxy could not prevent that a call which was sent before its server started again
            # is executed after that.
            return PromotionResult.REFUSED
        if token < self._fence or server in self.dark:
            return PromotionResult.REFUSED
        self._fence = token
        await asyncio.sleep(self.random.uniform(MIN_PROMOTION_S, MAX_PROMOTION_S))
        if target.started_ms != started_ms or not target.is_up or token < self._fence:
            return PromotionResult.REFUSED
        if target is not self.leader:
            self._lead(target)
        return PromotionResult.ACCEPTED

    def _lead(self, target: ModelServer) -> None:
        self._leader = target
        self.term += 1
        self.promotions += 1
        target.role, target.term, target.paused_below_term = ServerRole.PRIMARY, self.term, 0
        for server in self.servers.values():
            if server is not target and self.reaches(STORE, server.id):
                self._learn_term(server)
        self.note(f"promoted {target.id} term {self.term} at {target.received}")
        self._check_loss()

    def _hears_of_leader(self, server: ModelServer) -> bool:
        return self.reaches(STORE, server.id) or self.reaches(self.leader.id, server.id)

    def _learn_term(self, server: ModelServer) -> None:
        """Let a server follow the newest primary; a promotion ends a pause below its term."""
        server.role, server.term = ServerRole.REPLICA, self.term
        if server.paused_below_term <= self.term:
            server.paused_below_term = 0

    def add_server(self) -> None:
        """Start another replica, which receives before any proxy knows of it."""
        name = f"i-{len(self.servers)}"
        self.servers[name] = ModelServer(
            id=name, failure_domain=self.random.choice(DOMAINS), term=0, heard_at=self.now
        )
        self.note(f"add {name}")

    def crash(self, server: ModelServer, *, for_s: float) -> None:
        """End a server's process and start it again later."""
        server.is_up = False
        self.note(f"crash {server.id} for {for_s:.2f} s")
        asyncio.get_running_loop().call_later(for_s, self._start, server)

    def _start(self, server: ModelServer) -> None:
        if not self.registers_late and not self.reaches(server.id, STORE):
            asyncio.get_running_loop().call_later(LINK_POLL_S, self._start, server)
            return
        server.is_up = True
        server.started_ms += 1
        server.paused_below_term = 0
        if server.role is ServerRole.REPLICA:
            server.log, server.term = [], 0
            server.receives_from = self.now + self.random.choice([0.0, MAX_CATCH_UP_S])
        server.heard_at = self.now - HEARTBEAT_S + self.random.uniform(0.0, HEARTBEAT_S)
        if not self.registers_late:
            self._register(server)
        self.note(f"start {server.id}")

    def _keep_registered(self, server: ModelServer) -> None:
        if self.now - server.heard_at < HEARTBEAT_S:
            return
        if server.is_up and self.reaches(server.id, STORE):
            self._register(server)
        elif self.now - server.heard_at > LAPSE_S:
            self.store.remove_record(RecordKind.SERVERS, server.id)

    def _register(self, server: ModelServer) -> None:
        server.heard_at = self.now
        entry = ServerEntry(
            id=server.id,
            service=SERVICE,
            address=f"{server.id}:1",
            failure_domain=server.failure_domain,
            slots=8,
            is_draining=server.is_draining,
            role=server.role,
            cold_remaining_s=0.0,
            started_ms=server.started_ms,
            revision=0,
        )
        self.store.put_record(RecordKind.SERVERS, server.id, entry)


class ModelStore:
    """Hold the records and objects that proxies read from the store."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._revision = 1
        self._records: dict[RecordKind, dict[str, Record]] = {kind: {} for kind in RecordKind}
        self._events: list[tuple[RecordKind, Record]] = []
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._waiters: list[asyncio.Future[None]] = []

    def put_record(self, kind: RecordKind, name: str, value: Any) -> None:
        known = self._records[kind].get(name)
        if known is not None and _has_same_content(known.value, value):
            return
        self._revision += 1
        if isinstance(value, ServerEntry):
            value = replace(value, revision=self._revision)
        self._record(kind, Record(name=name, revision=self._revision, value=value))

    def remove_record(self, kind: RecordKind, name: str) -> None:
        if self._records[kind].pop(name, None) is not None:
            self._revision += 1
            deleted = Record(name=name, revision=self._revision, value=None, is_deleted=True)
            self._events.append((kind, deleted))
            self._wake()

    def _record(self, kind: RecordKind, record: Record) -> None:
        self._records[kind][record.name] = record
        self._events.append((kind, record))
        self._wake()

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def list_records(self, kind: RecordKind) -> Records:
        return Records(
            records=tuple(self._records[kind].values()),
            revision=self._revision,
            is_complete=True,
            confirmed_at=self._world.now,
        )

    async def watch_records(self, kind: RecordKind, after: int, wait_s: float) -> Records:
        end = self._world.now + wait_s
        while True:
            records = tuple(
                record
                for event_kind, record in self._events
                if event_kind is kind and record.revision > after
            )
            remaining_s = end - self._world.now
            if records or remaining_s <= 0:
                return Records(
                    records=records, revision=self._revision, confirmed_at=self._world.now
                )
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await asyncio.wait({waiter}, timeout=remaining_s)

    def get(self, kind: str, name: str) -> StoredObject | None:
        return self._objects.get((kind, name))

    def put(self, kind: str, name: str, value: Any, expected_version: int) -> StoredObject:
        current = self.get(kind, name)
        if (0 if current is None else current.version) != expected_version:
            raise VersionConflict(
                kind=kind, name=name, expected_version=expected_version, current=current
            )
        self._revision += 1
        stored = StoredObject(
            kind=kind, name=name, version=self._revision, revision=self._revision, value=value
        )
        self._objects[kind, name] = stored
        return stored


def _has_same_content(known: Any, value: Any) -> bool:
    if isinstance(known, ServerEntry) and isinstance(value, ServerEntry):
        return replace(known, revision=value.revision) == value
    return bool(known == value)


def _take_exception(task: "asyncio.Task[Any]") -> None:
    """Mark the exception of a call that nobody awaits as retrieved."""
    if not task.cancelled():
        task.exception()
