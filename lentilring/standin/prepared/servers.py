"""Stand-ins of the platform's backend servers: a primary and replicas with lag and faults."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...platform.statements import LINE_END

Position = tuple[int, int]
LOG_START: Position = (1, 0)
# A commit that no replica received is acknowledged when one does.
REPLICA_POLL_S = 0.01


@dataclass(kw_only=True)
class ServerFaults:
    """Hold the fault switches; that many statements as `lose_answers` says run unanswered."""

    silent: bool = False
    refuses_connections: bool = False
    lose_answers: int = 0
    busy: bool = False
    # Answers callers' statements with an error, as a server with a broken disk does.
    fails: bool = False
    # `receives_nothing` stops replication to a replica; `down` marks a crashed server.
    receives_nothing: bool = False
    down: bool = False


@dataclass(frozen=True, kw_only=True)
class StatementRun:
    """Record a caller's statement as a server ran it."""

    request_id: str
    text: str
    account: str
    server: str
    in_transaction: bool
    values: tuple[tuple[str, str], ...]
    applied: Position
    shape: str = ""
    at: float = 0.0
    connection: int = 0


@dataclass(frozen=True, kw_only=True)
class LoggedCommit:
    """Hold a commit's log position and the ids of its writes."""

    position: Position
    writes: tuple[str, ...]


@dataclass(kw_only=True, eq=False)
class StandinServer:
    """Serve one copy of a database on a loopback port."""

    id: str
    zone: str
    group: "ServerGroup"
    faults: ServerFaults = field(default_factory=ServerFaults)
    received: Position = LOG_START
    paused_term: int = 0
    cut_off_term: int = 0
    address: str = ""
    started_ms: int = 1
    opened: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def leads(self) -> bool:
        """Tell whether this server is the primary."""
        return self.group.leader is self

    @property
    def claims_to_lead(self) -> bool:
        """Tell whether this server considers itself primary; a partitioned one may be wrong."""
        return self.leads or bool(self.cut_off_term)

    @property
    def known_term(self) -> int:
        """Return the newest term that this server knows."""
        return self.cut_off_term or self.group.term

    @property
    def applied(self) -> Position:
        """Return the position that reads see."""
        return self.received if self.leads else self.group.applied_by(self)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a free port."""
        self.faults.down = False
        self._server = await asyncio.start_server(self._serve, host, port, limit=4 * 1024 * 1024)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Simulate a crash: break all connections and receive no commits."""
        self.faults.down = True
        if self._server is not None:
            self._server.close()
        self.break_connections()

    def break_connections(self) -> None:
        """Break all connections, as the end of a process does."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.refuses_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        self.opened += 1
        try:
            await _Connection(server=self, reader=reader, writer=writer).serve()
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class ServerGroup:
    """Hold the copies of one database; commits reach replicas at once unless they are paused."""

    def __init__(self, *, service: str, zones: tuple[str, ...], lag_s: float = 0.0) -> None:
        self.service, self.lag_s = service, lag_s
        self.runs: list[StatementRun] = []
        self.term = 1
        self.servers = [
            StandinServer(id=f"i-{service}-{index}", zone=zone, group=self)
            for index, zone in enumerate(zones)
        ]
        self.leader: StandinServer | None = self.servers[0]
        self.items: dict[str, str] = {}
        self.log: list[LoggedCommit] = []
        self.rolled_back: list[LoggedCommit] = []
        self.connections = 0
        # When each caller's statement arrived and when its work was done, on the loop's clock.
        self.arrivals: dict[str, tuple[float, float]] = {}
        self._applied: dict[str, Position] = {}
        self._slots: dict[str, asyncio.Semaphore] = {}
        self._choose_work_s: Callable[[], float] | None = None

    def limit_work(self, *, slots: int, choose_work_s: Callable[[], float]) -> None:
        """Let callers' statements take time, and each server run `slots` of them at a time."""
        self._slots = {server.id: asyncio.Semaphore(slots) for server in self.servers}
        self._choose_work_s = choose_work_s

    async def work(self, server: "StandinServer", request_id: str) -> None:
        """Take the time of one statement."""
        if self._choose_work_s is None:
            return
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        self.arrivals[request_id] = arrived_at, math.inf
        async with self._slots[server.id]:
            await asyncio.sleep(self._choose_work_s())
        self.arrivals[request_id] = arrived_at, loop.time()

    async def start(self) -> None:
        """Start all servers."""
        for server in self.servers:
            await server.start()

    async def stop(self) -> None:
        """Stop all servers."""
        for server in self.servers:
            await server.stop()

    def build_registration(
        self, server: StandinServer, *, state: str = "ready"
    ) -> dict[str, object]:
        """Return the registration that a server writes to the store."""
        return {
            "service": self.service,
            "address": server.address,
            "zone": server.zone,
            "version": "v1",
            "capacity": 2,
            "state": state,
            "cold-remaining-ms": 0,
            "db-role": "primary" if server.leads else "replica",
            "sequence": 1,
            "born": server.started_ms,
        }

    def find(self, server: str) -> StandinServer:
        """Return a server by its id."""
        return next(entry for entry in self.servers if entry.id == server)

    def promote(self, server: str) -> None:
        """Make a server primary of the next term; roll back commits that it did not receive."""
        self.leader = self.find(server)
        self.term += 1
        kept = [entry for entry in self.log if entry.position <= self.leader.received]
        self.rolled_back += self.log[len(kept) :]
        self.log = kept
        for entry in self.servers:
            if not entry.cut_off_term:
                # A replica that is paused under a later term does not follow this primary.
                if entry.paused_term <= self.term:
                    entry.paused_term = 0
                entry.received = min(entry.received, self.leader.received)

    def commit(self, writes: tuple[str, ...] = ()) -> Position | None:
        """Append a commit and return its position, None if no replica receives it."""
        assert self.leader is not None
        position = (self.term, self.leader.received[1] + 1)
        self.leader.received = position
        self.log.append(LoggedCommit(position=position, writes=writes))
        receiving = [entry for entry in self.servers if self._receives(entry)]
        for entry in receiving:
            entry.received = position
            if not self.lag_s:
                self._applied[entry.id] = position
            else:
                loop = asyncio.get_running_loop()
                loop.call_later(self.lag_s, self._apply, entry.id, position)
        return position if receiving else None

    async def wait_until_received(self, position: Position, *, term: int) -> bool:
        """Wait until a replica has a commit; tell whether it has, under the same primary.

        A primary that steps down acknowledges nothing more: its own log is no replica's.
        """
        leader = self.leader
        while self.term == term and self.leader is leader:
            if any(self._receives(entry) and entry.received >= position for entry in self.servers):
                return True
            await asyncio.sleep(REPLICA_POLL_S)
        return False

    def restart_replica(self, server: str) -> None:
        """Let a replica forget that it is paused, as a restart does, and receive again."""
        replica = self.find(server)
        replica.break_connections()
        replica.paused_term = 0
        self.catch_up(replica)

    def restart_empty(self, server: StandinServer) -> None:
        """Let a replica start again without its log; it receives what it can."""
        server.break_connections()
        server.started_ms += 1
        server.received, server.paused_term = LOG_START, 0
        self._applied.pop(server.id, None)
        self.catch_up(server)

    def catch_up(self, server: StandinServer) -> None:
        """Bring a server that receives again up to the primary's position."""
        if self.leader is not None and self._receives(server):
            server.received = self.leader.received
            self._apply(server.id, server.received)

    def _receives(self, server: StandinServer) -> bool:
        stopped = server.paused_term or server.cut_off_term
        return not (
            server is self.leader or stopped or server.faults.receives_nothing or server.faults.down
        )

    def applied_by(self, server: StandinServer) -> Position:
        """Return what a replica has applied."""
        return min(self._applied.get(server.id, LOG_START), server.received)

    def _apply(self, server: str, position: Position) -> None:
        self._applied[server] = max(self._applied.get(server, LOG_START), position)


class _Connection:
    def __init__(
        self,
        *,
        server: StandinServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server, self._group = server, server.group
        self._reader, self._writer = reader, writer
        self._state, self._read_only = "I", False
        self._lead_term = 0
        self._account = ""
        self._writes: list[str] = []
        self._unreceived: Position | None = None
        self._group.connections += 1
        self._number = self._group.connections
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[str, str]] = {}

    async def serve(self) -> None:
        start = (await self._reader.readuntil(LINE_END)).decode().split()
        if len(start) < 4 or start[1] != self._group.service or start[3] != self._server.id:
            self._writer.write(b"ERROR MISROUTED other server\r\n")
            return
        self._account = start[2]
        self._send_ready()
        while True:
            line = (await self._reader.readuntil(LINE_END)).removesuffix(LINE_END).decode()
            if self._server.faults.silent:
                continue
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            await self._query(request_id, text)

    async def _query(self, request_id: str, text: str) -> None:
        if request_id != "-":
            await self._group.work(self._server, request_id)
        error = self._run(request_id, text)
        if self._unreceived is not None:
            position, self._unreceived = self._unreceived, None
            if await self._group.wait_until_received(position, term=self._group.term):
                error = ""
        if self._server.faults.lose_answers > 0 and request_id != "-":
            self._server.faults.lose_answers -= 1
            return
        if error is None:
            return
        if error == "":
            proof = "-" if request_id == "-" else f"proof.{self._server.id}.{request_id}"
            self._writer.write(f"COMPLETE {proof}\r\n".encode())
        else:
            if self._state == "T":
                self._state = "E"
            self._writer.write(f"ERROR {error} {self._server.id}\r\n".encode())
        self._send_ready()

    def _run(self, request_id: str, text: str) -> str | None:
        """Run a statement; return its error, empty for none, None for no answer."""
        word, _, rest = text.partition(" ")
        if word == "AFTERLSN":
            wanted, _, text = rest.partition(" ")
            term, _, number = wanted.partition(".")
            if self._server.applied < (int(term), int(number)):
                return "LAGGING"
            word, _, rest = text.partition(" ")
        if word in ("SET", "PREPARE", "RESET", "STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._run_control(word, rest)
        if self._state == "E" and word != "ROLLBACK":
            return "MALFORMED"
        if word == "BEGIN":
            return self._begin(read_only=bool(rest))
        if word == "ROLLBACK":
            self._state, self._writes = "I", []
            return ""
        return self._run_caller(request_id, text, word, rest)

    def _run_caller(self, request_id: str, text: str, word: str, rest: str) -> str | None:
        if self._server.faults.busy:
            return "BUSY"
        if self._server.faults.fails:
            return "FAILED"
        shape = ""
        writes = word == "WRITE"
        if word == "EXECUTE":
            name = rest.split(" ")[0]
            if name not in self._prepared:
                return "NOSTMT"
            kind, shape = self._prepared[name]
            writes = kind == "WRITE"
        lost_lead = self._state == "T" and not self._read_only and not self._still_leads()
        if (writes and not self._still_leads()) or (lost_lead and word != "COMMIT"):
            return "READONLY"
        if lost_lead and self._writes:
            return "READONLY"
        self._group.runs.append(
            StatementRun(
                request_id=request_id,
                text=text,
                account=self._account,
                server=self._server.id,
                in_transaction=self._state == "T",
                values=tuple(sorted(self._values.items())),
                applied=self._server.applied,
                shape=shape,
                at=asyncio.get_running_loop().time(),
                connection=self._number,
            )
        )
        reads = word in ("READ", "EXECUTE") and not writes
        if writes:
            self._writes.append(request_id)
        return self._finish(word, rest, reads=reads)

    def _finish(self, word: str, rest: str, *, reads: bool) -> str | None:
        if word == "COMMIT":
            self._state = "I"
        if self._state == "I" and self._writes:
            written, self._writes = tuple(self._writes), []
            if self._group.commit(written) is None:
                self._unreceived = self._server.received
                return None
        if reads:
            self._writer.write(f"DATAROW {self._group.items.get(rest, 'empty')}\r\n".encode())
        return ""

    def _begin(self, *, read_only: bool) -> str:
        if not read_only and not self._server.claims_to_lead:
            return "READONLY"
        self._state, self._read_only, self._lead_term = "T", read_only, self._group.term
        return ""

    def _still_leads(self) -> bool:
        if self._server.cut_off_term:
            return True
        if self._state == "T" and not self._read_only and self._lead_term != self._group.term:
            return False
        return self._server.leads

    def _run_control(self, word: str, rest: str) -> str:
        if word == "SET":
            name, _, value = rest.partition(" ")
            self._values[name] = value
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self._prepared[name] = (kind, shape)
        elif word == "RESET":
            self._values.clear()
            self._prepared.clear()
        else:
            if word == "PAUSE":
                self._server.paused_term = int(rest)
            elif word == "RESUME":
                self._server.paused_term = 0
                self._group.catch_up(self._server)
            elif word == "STEPDOWN" and self._server.leads and int(rest) > self._group.term:
                self._group.leader = None
            role = "primary" if self._server.claims_to_lead else "replica"
            term, number = self._server.received
            paused = self._server.paused_term
            known = self._server.known_term
            row = f"DATAROW {role} {known} {term}.{number} {paused} 0 0 1\r\n"
            self._writer.write(row.encode())
        return ""

    def _send_ready(self) -> None:
        term, number = self._server.applied
        self._writer.write(f"READY {self._state} {term}.{number}\r\n".encode())
