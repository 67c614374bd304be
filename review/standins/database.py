"""Stand-in of a service: one primary and its replicas, which speak the pages' wire protocol.

Lines end with CR LF; anything else, a lone LF too, is part of a field. A commit that writes is
acknowledged once a replica has received it. Everything that arrives from a proxy is recorded.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Position = tuple[int, int]
MAX_LINE_BYTES = 1024 * 1024
CONTROL_WORDS = ("SET", "PREPARE", "CLOSE", "RESET", "STATUS", "PAUSE", "RESUME", "STEPDOWN")
APPLY_LAG_S = 0.005


@dataclass(kw_only=True)
class Run:
    """Hold one statement as an instance got it and what became of it."""

    at: float
    instance: str
    connection: int
    tenant: str
    request_id: str
    text: str
    result: str = ""
    done_at: float = 0.0
    position: Position | None = None


@dataclass(kw_only=True)
class Commit:
    """Hold one commit of a log: its position and the ids and texts of its writes."""

    position: Position
    writes: tuple[tuple[str, str], ...]
    acknowledged_at: float | None = None


@dataclass(kw_only=True, eq=False)
class Instance:
    """Serve one copy of the database on a loopback address."""

    id: str
    zone: str
    service: "Service"
    slots: int = 2
    queue: int = 16
    max_connections: int = 27
    address: str = ""
    log: list[Commit] = field(default_factory=list)
    applied: Position = (1, 0)
    paused_term: int = 0
    term: int = 1
    is_primary: bool = False
    is_down: bool = False
    is_deaf: bool = False
    is_draining: bool = False
    born: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _busy: int = 0
    _slot: asyncio.Semaphore | None = None

    @property
    def received(self) -> Position:
        """Return the position of the last commit in the log."""
        return self.log[-1].position if self.log else (1, 0)

    async def start(self) -> None:
        """Listen on the address that it had, or on a free port."""
        self.is_down, self.born = False, time.time_ns() // 1_000_000
        self._slot = asyncio.Semaphore(self.slots)
        host, _, port = (self.address or f"{self.service.host}:0").rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=2 * MAX_LINE_BYTES
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def crash(self) -> None:
        """Break all connections and stop to listen; the log is kept."""
        self.is_down = True
        self.paused_term = 0
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.service.note(f"instance {self.id} crashes at {self.received}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await Connection(self, reader, writer).serve()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Service:
    """Hold the copies of one database and move commits between them."""

    def __init__(
        self,
        name: str,
        zones: tuple[str, ...],
        *,
        host: str = "127.0.0.1",
        work_s: Callable[[str], float] = lambda text: 0.004,
        promote_s: float = 0.3,
        max_connections: int = 27,
    ) -> None:
        self.name, self.host, self.work_s, self.promote_s = name, host, work_s, promote_s
        self.notes: list[tuple[float, str]] = []
        self.runs: list[Run] = []
        self.connections = 0
        self.items: dict[str, str] = {}
        self.instances = [
            Instance(id=f"i-{name}-{zone}", zone=zone, service=self, max_connections=max_connections)
            for zone in zones
        ]
        self.instances[0].is_primary = True
        self.acknowledged: list[Commit] = []
        self.lost: list[tuple[Commit, str]] = []
        self.on_change: Callable[[Instance], None] = lambda instance: None

    @property
    def primary(self) -> Instance | None:
        """Return the instance that leads the newest term."""
        leading = [entry for entry in self.instances if entry.is_primary]
        return max(leading, key=lambda entry: entry.term, default=None)

    def find(self, instance: str) -> Instance:
        """Return an instance by its id."""
        return next(entry for entry in self.instances if entry.id == instance)

    def note(self, text: str) -> None:
        """Record what happens, with the time."""
        self.notes.append((time.monotonic(), text))

    async def start(self) -> None:
        """Start all instances."""
        for entry in self.instances:
            await entry.start()

    def receivers(self) -> list[Instance]:
        """Return the replicas that receive commits now."""
        return [
            entry
            for entry in self.instances
            if not (entry.is_primary or entry.is_down or entry.is_deaf or entry.paused_term)
        ]

    def spread(self) -> None:
        """Bring every replica that receives up to the primary's log."""
        primary = self.primary
        if primary is None or primary.is_down:
            return
        for entry in self.receivers():
            if entry.term <= primary.term and len(entry.log) < len(primary.log):
                entry.log += primary.log[len(entry.log) :]
                entry.term = primary.term
                asyncio.get_running_loop().call_later(APPLY_LAG_S, self._apply, entry, entry.received)

    def _apply(self, entry: Instance, position: Position) -> None:
        entry.applied = max(entry.applied, min(position, entry.received))

    async def commit(self, instance: Instance, writes: tuple[tuple[str, str], ...]) -> Commit | None:
        """Append a commit; return it once a replica has it, None if the instance lost the lead."""
        term = instance.term
        number = instance.received[1] + 1
        commit = Commit(position=(term, number), writes=writes)
        instance.log.append(commit)
        instance.applied = commit.position
        while True:
            self.spread()
            if instance.is_down or not instance.is_primary or instance.term != term:
                return None
            if any(commit in entry.log[-400:] for entry in self.instances if entry is not instance):
                commit.acknowledged_at = time.monotonic()
                self.acknowledged.append(commit)
                for _, text in writes:
                    _, item, data = text.split(" ", 2)
                    self.items[item] = data
                return commit
            await asyncio.sleep(0.005)

    def promote(self, instance: str) -> bool:
        """Begin to make an instance the primary; False if it isn't running."""
        entry = self.find(instance)
        if entry.is_down:
            return False
        if entry.is_primary and entry is self.primary:
            return True
        asyncio.get_running_loop().call_later(self.promote_s, self._finish_promotion, entry)
        return True

    def _finish_promotion(self, entry: Instance) -> None:
        if entry.is_down or (entry.is_primary and entry is self.primary):
            return
        term = max(other.term for other in self.instances) + 1
        missing = [commit for commit in self.acknowledged if commit not in entry.log]
        self.lost += [(commit, entry.id) for commit in missing]
        self.note(
            f"instance {entry.id} leads term {term} with {entry.received}; "
            f"{len(missing)} acknowledged commits are not in its log"
        )
        for other in self.instances:
            other.is_primary = other is entry
            other.paused_term = 0
            if other is not entry and not other.is_down:
                kept = [commit for commit in other.log if commit in entry.log]
                other.log, other.term = kept, term
                other.applied = min(other.applied, other.received)
        entry.term = term
        entry.applied = entry.received
        for other in self.instances:
            self.on_change(other)

    def rejoin(self, entry: Instance) -> None:
        """Bring an instance that was down back: as a replica if another one leads."""
        primary = self.primary
        if primary is not None and primary is not entry and primary.term > entry.term:
            entry.is_primary = False
            entry.log = [commit for commit in entry.log if commit in primary.log]
            entry.term = primary.term
            entry.applied = min(entry.applied, entry.received)

    def describe(self, entry: Instance, *, sequence: int) -> dict[str, Any]:
        """Return what an instance registers of itself."""
        return {
            "service": self.name,
            "address": entry.address,
            "zone": entry.zone,
            "version": "v1",
            "capacity": entry.slots,
            "state": "draining" if entry.is_draining else "ready",
            "cold-remaining-ms": 0,
            "db-role": "primary" if entry.is_primary else "replica",
            "sequence": sequence,
            "born": entry.born,
        }


class Connection:
    """Answer one proxy's statements, one after the other."""

    def __init__(
        self, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.instance, self.service = instance, instance.service
        self.reader, self.writer = reader, writer
        self.service.connections += 1
        self.number = self.service.connections
        self.tenant = ""
        self.state, self.read_only, self.lead_term = "I", False, 0
        self.writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    async def serve(self) -> None:
        """Check the START line, then answer statements until either end closes."""
        fields = (await self._read_line()).split(" ")
        if len(self.instance._writers) > self.instance.max_connections:
            self.writer.write(b"ERROR CONNLIMIT full\r\n")
            return
        expected = fields[3] if len(fields) > 3 else self.instance.id
        if fields[0] != "START" or fields[1] != self.service.name or expected != self.instance.id:
            self.writer.write(f"ERROR MISROUTED {self.instance.id}\r\n".encode())
            return
        self.tenant = fields[2]
        self._send_ready()
        while True:
            line = await self._read_line()
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            await self._answer(request_id, text)
            await self.writer.drain()

    async def _read_line(self) -> str:
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def _answer(self, request_id: str, text: str) -> None:
        run = Run(
            at=time.monotonic(),
            instance=self.instance.id,
            connection=self.number,
            tenant=self.tenant,
            request_id=request_id,
            text=text,
        )
        self.service.runs.append(run)
        rows, error = await self._run(request_id, text, run)
        run.done_at = time.monotonic()
        if error is None:
            run.result = "unanswered"
            self.writer.close()
            raise EOFError
        run.result = error or "ok"
        for row in rows:
            self.writer.write(f"DATAROW {row}\r\n".encode())
        if error:
            self.state = "E" if self.state != "I" else "I"
            self.writer.write(f"ERROR {error} {self.instance.id}\r\n".encode())
        else:
            mac = "-" if request_id == "-" else f"mac.{self.instance.id}.{request_id}"
            self.writer.write(f"COMPLETE {mac}\r\n".encode())
        self._send_ready()

    async def _run(self, request_id: str, text: str, run: Run) -> tuple[list[str], str | None]:
        word, _, rest = text.partition(" ")
        if word == "AFTERLSN":
            wanted, _, text = rest.partition(" ")
            term, _, number = wanted.partition(".")
            if self.instance.applied < (int(term), int(number)):
                return [], "LAGGING"
            word, _, rest = text.partition(" ")
        if word in CONTROL_WORDS:
            return self._control(word, rest)
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return [], ""
        if self.state == "E":
            return [], "MALFORMED"
        if word == "BEGIN":
            if not rest and not self.instance.is_primary:
                return [], "READONLY"
            self.state, self.read_only = "T", bool(rest)
            self.lead_term = self.instance.term
            return [], ""
        return await self._work(request_id, text, word, rest, run)

    async def _work(
        self, request_id: str, text: str, word: str, rest: str, run: Run
    ) -> tuple[list[str], str | None]:
        instance = self.instance
        if instance._busy >= instance.slots + instance.queue:
            return [], "BUSY"
        instance._busy += 1
        try:
            assert instance._slot is not None
            async with instance._slot:
                await asyncio.sleep(self.service.work_s(text))
                return await self._execute(request_id, text, word, rest, run)
        finally:
            instance._busy -= 1

    async def _execute(
        self, request_id: str, text: str, word: str, rest: str, run: Run
    ) -> tuple[list[str], str | None]:
        instance = self.instance
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return [], "NOSTMT"
            writes = self.prepared[name][0] == "WRITE"
            text = f"{'WRITE' if writes else 'READ'} {rest}"
        leads = instance.is_primary and (self.state == "I" or self.lead_term == instance.term)
        if (writes and not leads) or (self.state == "T" and not self.read_only and not leads):
            if not (word == "COMMIT" and not self.writes):
                return [], "READONLY"
        rows = [] if writes or word == "COMMIT" else [self.service.items.get(rest, "none")]
        if writes:
            self.writes.append((request_id, text))
        if word == "COMMIT" or (writes and self.state == "I"):
            self.state = "I"
            written, self.writes = tuple(self.writes), []
            if written:
                commit = await self.service.commit(instance, written)
                if commit is None:
                    return [], None if instance.is_down else "READONLY"
                run.position = commit.position
        return rows, ""

    def _control(self, word: str, rest: str) -> tuple[list[str], str | None]:
        instance = self.instance
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return [], ""
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return [], ""
        if word == "CLOSE":
            self.prepared.pop(rest, None)
            return [], ""
        if word == "RESET":
            self.values.clear()
            self.prepared.clear()
            return [], ""
        if word == "PAUSE" and not instance.is_primary and int(rest) > instance.term:
            instance.paused_term = int(rest)
        elif word == "RESUME":
            instance.paused_term = 0
            self.service.spread()
        elif word == "STEPDOWN" and instance.is_primary and int(rest) > instance.term:
            instance.is_primary = False
            self.service.on_change(instance)
        role = "primary" if instance.is_primary else "replica"
        term, number = instance.received
        row = f"{role} {instance.term} {term}.{number} {instance.paused_term} 0 {instance._busy} 1"
        return [row], ""

    def _send_ready(self) -> None:
        term, number = self.instance.applied
        self.writer.write(f"READY {self.state} {term}.{number}\r\n".encode())
