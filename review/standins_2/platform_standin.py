"""Stand-ins of the platform: the metadata store, the promotion call and database instances.

They follow PROTOCOL.md. Everything runs in the event loop of the script that uses them.
"""

import asyncio
import hashlib
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

LINE_LIMIT = 3 * 1024 * 1024
HEARTBEAT_S = 1.2
HANDSHAKE_S = 0.027
PROMOTE_S = 0.3
NETWORK_S = 0.001
APPLY_S = 0.008

Position = tuple[int, int]


class Store:
    """Serve objects, conditional changes, watches and promotions over HTTP/1.1."""

    def __init__(self, host: str) -> None:
        self.host, self.address = host, ""
        self.promotions: list[tuple[float, str, str, str, int, int]] = []
        self.promote: Callable[[str, str], bool] = lambda service, server: False
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._fences: dict[str, int] = {}

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.host, 0, limit=LINE_LIMIT)
        self.address = f"{self.host}:{server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operator, an instance or a call does; an equal one stays."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self._revision += 1
        created = self._revision if known is None else known["meta"]["created"]
        meta = {"name": name, "revision": self._revision, "created": created}
        entry = {"meta": meta | {"finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self._objects[kind][name] = entry
        self._note(kind, entry, deleted=False)
        return entry

    def remove(self, kind: str, name: str) -> None:
        entry = self._objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self._revision += 1
            self._note(kind, entry, deleted=True)

    def names(self, kind: str) -> list[str]:
        return sorted(self._objects.get(kind, {}))

    def _note(self, kind: str, entry: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self._revision, kind, entry, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, target, _ = head[0].split(" ", 2)
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in head[1:] if line)
            }
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            status, answer = await self._answer(
                method, target, headers, json.loads(body) if body else {}
            )
            data = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data
            )
            await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/promote":
            return self._answer_promotion(headers, body)
        _, _, kind, *rest = url.path.split("/")
        name = unquote(rest[0]) if rest else ""
        objects = self._objects.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        if method == "GET":
            items = [objects[entry] for entry in sorted(objects) if entry > query.get("after", "")]
            return 200, {"items": items, "more": False, "as-of": self._revision}
        meta = body.get("meta", {})
        if method == "POST":
            if meta["name"] in objects:
                return 409, objects[meta["name"]]
            return 200, self.put(kind, meta["name"], body.get("spec"))
        if name not in objects:
            return 404, {}
        expected = meta.get("revision", query.get("revision"))
        if expected is not None and int(expected) != objects[name]["meta"]["revision"]:
            return 409, objects[name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, body.get("spec"))

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"object": entry, "deleted": deleted}
                for revision, changed, entry, deleted in self._events
                if revision > since and changed == kind
            ]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "as-of": self._revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _answer_promotion(self, headers: dict[str, str], body: Any) -> tuple[int, Any]:
        service, server = body["service"], body["id"]
        token, holder = int(headers["x-fencing-token"]), headers["x-lease-holder"]
        status = 409
        if token >= self._fences.get(service, 0):
            self._fences[service] = token
            status = 200 if self.promote(service, server) else 409
        self.promotions.append((time.monotonic(), service, server, holder, token, status))
        return status, {}


@dataclass(kw_only=True, eq=False)
class Instance:
    """Serve one copy of a database."""

    id: str
    zone: str
    host: str
    database: "Database"
    address: str = ""
    log: list[tuple[Position, tuple[str, ...]]] = field(default_factory=list)
    start_position: Position = (1, 0)
    applied: Position = (1, 0)
    held_term: int = 0
    born_ms: int = 0
    # The newest term that the instance knows; one that has just started knows none.
    known_term: int = 1
    # A dark instance answers nothing; a deaf one receives no commits; one without the store cannot
    # write its entry there.
    dark: bool = False
    deaf: bool = False
    without_store: bool = False
    down: bool = False
    connections: int = 0
    # The most connections that were open at once, and how many were refused.
    most_connections: int = 0
    refused_connections: int = 0
    sequence: int = 1

    @property
    def received(self) -> Position:
        return self.log[-1][0] if self.log else self.start_position

    @property
    def leads(self) -> bool:
        return self.database.leader is self

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        self.slots = asyncio.Semaphore(self.database.slots)
        self.born_ms, self.down = time.time_ns() // 1_000_000, False
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(self._serve, self.host, port, limit=LINE_LIMIT)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"
        self.writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """End as a killed process does."""
        self.down = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def wait_for_light(self) -> None:
        while self.dark:
            await asyncio.sleep(0.05)

    async def start_empty(self) -> None:
        """Start again under the same id; the instance holds and knows nothing of before."""
        self.log, self.start_position, self.applied = [], (0, 0), (0, 0)
        self.known_term = self.held_term = self.sequence = 0
        await self.start()
        self.database.catch_up(self)

    def describe(self) -> dict[str, Any]:
        return {
            "service": self.database.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.database.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "db-role": "primary" if self.leads else "replica",
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        self.most_connections = max(self.most_connections, self.connections)
        try:
            if self.dark:
                await self.wait_for_light()
                return
            if self.connections > self.database.max_connections:
                self.refused_connections += 1
                await reader.readuntil(b"\r\n")
                writer.write(b"ERROR CONNLIMIT too many\r\n")
                await writer.drain()
                return
            await Connection(instance=self, reader=reader, writer=writer).serve()
        except (OSError, EOFError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()


class Connection:
    """Hold the state of one connection to an instance."""

    def __init__(
        self, *, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.instance, self.database = instance, instance.database
        self.reader, self.writer = reader, writer
        self.state, self.read_only, self.term = "I", False, 0
        self.tenant = ""
        self.writes: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    async def serve(self) -> None:
        words = (await self.reader.readuntil(b"\r\n")).decode().split()
        is_expected = words[1] == self.database.service and (
            len(words) < 4 or words[3] == self.instance.id
        )
        if words[0] != "START" or not is_expected:
            self.writer.write(b"ERROR MISROUTED another instance\r\n")
            return
        self.tenant = words[2]
        async with self.instance.slots:
            await asyncio.sleep(HANDSHAKE_S)
        await self._wait_while_dark()
        self._finish()
        while True:
            await self.writer.drain()
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            await self._wait_while_dark()
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            request, _, text = rest.partition(" ")
            error, rows, mac = await self._run(request, text)
            await self._wait_while_dark()
            for row in rows:
                self.writer.write(f"DATAROW {row}\r\n".encode())
            if error:
                if self.state == "T":
                    self.state = "E"
                self.writer.write(f"ERROR {error} {self.instance.id}\r\n".encode())
            else:
                self.writer.write(f"COMPLETE {mac}\r\n".encode())
            self._finish()

    async def _wait_while_dark(self) -> None:
        """Break the connection if the instance is dark: nothing more is heard on it."""
        if self.instance.dark:
            await self.instance.wait_for_light()
            raise EOFError("the instance was dark")

    def _finish(self) -> None:
        shown = self.instance.received if self.instance.leads else self.instance.applied
        self.writer.write(f"READY {self.state} {shown[0]}.{shown[1]}\r\n".encode())

    async def _run(self, request: str, text: str) -> tuple[str, list[str], str]:
        word, _, rest = text.partition(" ")
        if word == "AFTERLSN":
            wanted, _, text = rest.partition(" ")
            term, _, number = wanted.partition(".")
            shown = self.instance.received if self.instance.leads else self.instance.applied
            if shown < (int(term), int(number)):
                return "LAGGING", [], ""
            word, _, rest = text.partition(" ")
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
        elif word == "RESET":
            self.values.clear()
            self.prepared.clear()
        elif word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return await self._control(word, rest)
        elif word == "ROLLBACK":
            self.state, self.writes = "I", []
        elif self.state == "E":
            return "MALFORMED", [], ""
        elif word == "BEGIN":
            if not rest and not self.instance.leads:
                return "READONLY", [], ""
            self.state, self.read_only, self.term = "T", bool(rest), self.database.term
        else:
            async with self.instance.slots:
                await asyncio.sleep(self.database.work_s)
            return await self._run_statement(request, text, word, rest)
        return "", [], "-"

    async def _run_statement(
        self, request: str, text: str, word: str, rest: str
    ) -> tuple[str, list[str], str]:
        writes, shape = word == "WRITE", ""
        if word == "EXECUTE":
            name = rest.split(" ")[0]
            if name not in self.prepared:
                return "NOSTMT", [], ""
            kind, shape = self.prepared[name]
            writes = kind == "WRITE"
        is_plain = self.state == "T" and not self.read_only
        lost = is_plain and (not self.instance.leads or self.term != self.database.term)
        ends_unwritten = word == "COMMIT" and not self.writes
        if (lost and not ends_unwritten) or (writes and not self.instance.leads):
            if word == "COMMIT":
                self.state, self.writes = "I", []
            return "READONLY", [], ""
        self.database.runs.append((time.monotonic(), self.instance.id, self.tenant, request, text))
        if writes:
            self.writes.append(request)
        if word == "COMMIT":
            self.state = "I"
        if self.state == "I" and self.writes:
            written, self.writes = tuple(self.writes), []
            if not await self.database.commit(written):
                return "TIMEOUT", [], ""
        rows = [] if writes or word == "COMMIT" else [f"row-of-{request}"]
        digest = hashlib.sha256(f"{self.instance.id} {request} {rows}".encode()).hexdigest()
        return "", rows, digest[:24]

    async def _control(self, word: str, rest: str) -> tuple[str, list[str], str]:
        instance = self.instance
        if word == "PAUSE" and not instance.leads and int(rest) > instance.known_term:
            instance.held_term = int(rest)
        elif word == "RESUME":
            instance.held_term = 0
            self.database.catch_up(instance)
        elif word == "STEPDOWN" and instance.leads and int(rest) > self.database.term:
            self.database.leader = None
        role = "primary" if instance.leads else "replica"
        received = f"{instance.received[0]}.{instance.received[1]}"
        row = f"{role} {instance.known_term} {received} {instance.held_term} 0 0"
        return "", [f"{row} {instance.connections}"], "-"


class Database:
    """Hold the copies of one service; the first one is the primary."""

    def __init__(
        self,
        *,
        service: str,
        copies: dict[str, str],
        host: str,
        store: Store,
        slots: int = 2,
        max_connections: int = 27,
        work_s: float = 0.004,
        promote_s: float = PROMOTE_S,
    ) -> None:
        self.service, self.store, self.slots = service, store, slots
        self.max_connections, self.work_s = max_connections, work_s
        self.promote_s = promote_s
        self.term = 1
        self.instances = [
            Instance(id=name, zone=zone, host=host, database=self) for name, zone in copies.items()
        ]
        self.leader: Instance | None = self.instances[0]
        self.runs: list[tuple[float, str, str, str, str]] = []
        # Called after an instance has become the primary.
        self.on_promoted: Callable[[Instance], None] = lambda instance: None

    async def start(self) -> None:
        for instance in self.instances:
            await instance.start()
            self.register(instance)

    def register(self, instance: Instance) -> None:
        self.store.put("servers", instance.id, instance.describe())

    async def beat(self) -> None:
        """Write the instances' heartbeats until cancelled; entries of silent ones expire."""
        heard = dict.fromkeys(self.instances, 0.0)
        phases = {entry: random.uniform(0, HEARTBEAT_S) for entry in self.instances}
        began = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic() - began
            for instance in self.instances:
                is_silent = instance.dark or instance.down or instance.without_store
                if is_silent and now - heard[instance] > 3 * HEARTBEAT_S:
                    self.store.remove("servers", instance.id)
                if now - phases[instance] < HEARTBEAT_S:
                    continue
                phases[instance] += HEARTBEAT_S * ((now - phases[instance]) // HEARTBEAT_S)
                if not is_silent:
                    heard[instance] = now
                    instance.sequence += 1
                    self.register(instance)

    async def commit(self, writes: tuple[str, ...]) -> bool:
        """Append a commit; return once a replica has received it, False after 5 s without one."""
        leader = self.leader
        assert leader is not None
        position = (self.term, leader.received[1] + 1)
        leader.log = [*leader.log, (position, writes)]
        await asyncio.sleep(NETWORK_S)
        for instance in self.instances:
            self.catch_up(instance)
        for _ in range(500):
            # What a replica received under a later term does not count.
            if any(
                entry is not leader and position in (held for held, _ in entry.log[-100:])
                for entry in self.instances
            ):
                return True
            await asyncio.sleep(0.01)
        return False

    def catch_up(self, instance: Instance) -> None:
        """Let a replica receive what the primary has, unless it is paused."""
        leader = self.leader
        is_cut = instance.held_term or instance.deaf or instance.dark or instance.down
        if leader is None or instance is leader or is_cut or leader.dark or leader.down:
            return
        instance.known_term = self.term
        instance.log = list(self.leader.log)
        loop = asyncio.get_running_loop()
        loop.call_later(APPLY_S, self._apply, instance, instance.received)

    def _apply(self, instance: Instance, position: Position) -> None:
        instance.applied = max(instance.applied, min(position, instance.received))

    def promote(self, server: str) -> bool:
        instance = next((entry for entry in self.instances if entry.id == server), None)
        if instance is None or instance.dark or instance.down:
            return False
        if instance is not self.leader:
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, instance)
        return True

    def _lead(self, instance: Instance) -> None:
        self.leader, self.term = instance, self.term + 1
        instance.known_term, instance.held_term = self.term, 0
        kept = {position for position, _ in instance.log}
        for entry in self.instances:
            if entry is not instance:
                entry.held_term = 0
                entry.log = [commit for commit in entry.log if commit[0] in kept]
                self.catch_up(entry)
            if not (entry.dark or entry.down or entry.without_store):
                self.register(entry)
        self.on_promoted(instance)
