"""Stand-ins of the prepared platform and several proxies on loopback, in one process."""

import asyncio
import errno
import os
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from functools import cache
from itertools import count
from typing import Any

from lentilring.catalog.service import CatalogService
from lentilring.kernel import Kernel
from lentilring.platform.objects import ObjectClient
from lentilring.platform.statements import LINE_END
from lentilring.session_process import register_session_services
from lentilring.session_settings import check_settings
from lentilring.sessions.readiness import SessionReadiness
from lentilring.shared_secret import PeerSecret
from lentilring.standin.prepared.servers import ServerGroup, StandinServer
from lentilring.standin.prepared.store import PreparedStore
from lentilring.telemetry.metrics import Telemetry

ZONES = ("casa-a", "mrk-a", "fes-a")
REGIONS = {"casa-a": "casablanca", "mrk-a": "marrakech", "fes-a": "fes"}
SECRET = PeerSecret(created_ms=1, value="a secret of the tests")
READY_TIMEOUT_S = 10.0
FIRST_PORT = 10_000
PORT_BLOCKS = 100
PORTS_PER_BLOCK = 200
_ports = count()
_reservations: list[socket.socket] = []


def find_free_port() -> int:
    """Return a port that is free for TCP and UDP.

    The ports are below the kernel's range for outgoing connections, in a block that this process
    has reserved. A port that the kernel had just chosen as free was taken before the proxy listened
    on it in about one of ten runs on a loaded machine.
    """
    first = _find_own_block()
    while True:
        # The first port of the block is the reservation.
        port = first + 1 + next(_ports) % (PORTS_PER_BLOCK - 1)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


@cache
def _find_own_block() -> int:
    return reserve_block(os.getpid())


def reserve_block(pid: int) -> int:
    """Return the first port of a block that no other test process uses, until this one ends."""
    for offset in range(PORT_BLOCKS):
        first = FIRST_PORT + (pid + offset) % PORT_BLOCKS * PORTS_PER_BLOCK
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", first))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return first
    raise OSError(errno.EADDRINUSE, "all blocks of ports are reserved")


def build_route(name: str, kind: str, *, service: str = "rental", **others: Any) -> dict[str, Any]:
    return {
        "name": f"r-{name}",
        "host": name,
        "path-prefix": "/",
        "type": kind,
        "timeout-ms": 1500,
        "target-latency-ms": 800,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "max-staleness-ms": 1500,
        "allow-anonymous": False,
        "allowed-regions": [],
        **others,
    }


def build_manifest(version: int = 1, **others: Any) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            build_route("booking", "primary"),
            build_route("stock", "bounded_staleness"),
            build_route("delivery", "read_your_writes"),
        ],
        "services": [{"name": "rental", "max-connections": 16, "sync-replicas": 1}],
        "limits": {"tx-idle-ms": 3000, "max-body-bytes": 262144},
        "tenants": [
            {"name": "planner", "api-keys": ["plan-key"], "rate-per-s": 200, "burst": 200},
            {"name": "crew", "api-keys": ["crew-key"], "rate-per-s": 200, "burst": 200},
        ],
        **others,
    }


class SessionClient:
    """Send statements in the statement protocol, as a caller does."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._number = 0

    @classmethod
    async def open(cls, address: str, database: str, key: str) -> "SessionClient":
        host, _, port = address.rpartition(":")
        client = cls(*await asyncio.open_connection(host, int(port)))
        client.send(f"START {database} {key}")
        client.greeting = await client.read_line()
        return client

    greeting = ""

    def send(self, line: str) -> None:
        self._writer.write(line.encode() + b"\r\n")

    async def read_line(self) -> str:
        """Return the next line without its end, an empty one if the connection was closed."""
        try:
            line = await asyncio.wait_for(self._reader.readuntil(LINE_END), 5)
        except asyncio.IncompleteReadError as error:
            line = error.partial
        return line.removesuffix(LINE_END).decode()

    async def query(self, text: str, request_id: str = "") -> list[str]:
        """Run a statement; return all lines of its answer."""
        self._number += 1
        self.send(f"QUERY {request_id or f'q{id(self):x}{self._number}'} {text}")
        return await self.read_answer()

    async def read_answer(self) -> list[str]:
        lines = []
        while True:
            lines.append(await self.read_line())
            if not lines[-1] or lines[-1].startswith("READY"):
                return lines

    def close(self) -> None:
        self._writer.close()


class PreparedPlatform:
    """Hold the platform's stand-ins and the proxies that run on it."""

    def __init__(self, *, group: ServerGroup) -> None:
        self.group = group
        self.store = PreparedStore(promote=self._promote)
        self.proxies: dict[str, Proxy] = {}
        self.promote_delay_s = 0.05

    def register(self, server: StandinServer, *, state: str = "ready") -> None:
        self.store.put("servers", server.id, self.group.build_registration(server, state=state))

    def register_all(self) -> None:
        for server in self.group.servers:
            self.register(server)

    def _promote(self, service: str, server: str) -> bool:
        if service != self.group.service:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_delay_s, self._finish_promotion, server)
        return True

    def _finish_promotion(self, server: str) -> None:
        if self.group.leader is not None and self.group.leader.id == server:
            return
        self.group.promote(server)
        for entry in self.group.servers:
            if entry.id in (self.store._objects.get("servers") or {}):
                self.register(entry)

    async def add_proxy(
        self,
        vm: str,
        zone: str,
        *,
        secret: PeerSecret = SECRET,
        incarnation: int = 1,
        **settings: Any,
    ) -> "Proxy":
        proxy = Proxy(
            vm=vm,
            zone=zone,
            store_address=self.store.address,
            settings=settings,
            secret=secret,
            incarnation=incarnation,
        )
        await proxy.start()
        self.proxies[vm] = proxy
        return proxy

    async def wait_ready(self) -> None:
        await wait_until(
            lambda: all(proxy.readiness.is_ready() for proxy in self.proxies.values()),
            within_s=READY_TIMEOUT_S,
        )


class Proxy:
    """Run the services of one proxy in the event loop of the test."""

    def __init__(
        self,
        *,
        vm: str,
        zone: str,
        store_address: str,
        settings: dict[str, Any],
        secret: PeerSecret = SECRET,
        incarnation: int = 1,
    ) -> None:
        values: dict[str, Any] = {
            "vm": vm,
            "failure_domain": zone,
            "region": REGIONS[zone],
            "regions": REGIONS,
            "session_address": f"127.0.0.1:{find_free_port()}",
            "readiness_address": f"127.0.0.1:{find_free_port()}",
            "metrics_address": f"127.0.0.1:{find_free_port()}",
            "peer_address": f"127.0.0.1:{find_free_port()}",
            "store_address": store_address,
            "promotion_address": store_address,
            "drain_timeout_s": 1.0,
            **settings,
        }
        self.settings = check_settings(values)
        self.telemetry = Telemetry()
        self.kernel = Kernel()
        self._objects = ObjectClient(address=store_address, telemetry=self.telemetry)
        self.readiness: SessionReadiness = register_session_services(
            self.kernel,
            settings=self.settings,
            incarnation=incarnation,
            objects=self._objects,
            secret=secret,
            telemetry=self.telemetry,
        )

    @property
    def catalog(self) -> CatalogService:
        return self.kernel.find("catalog", CatalogService)

    async def start(self) -> None:
        await self.kernel.start()

    async def stop(self) -> None:
        await self.kernel.stop()

    async def open(self, database: str, key: str = "plan-key") -> SessionClient:
        return await SessionClient.open(self.settings.session_address, database, key)


@asynccontextmanager
async def run_prepared_platform(
    *,
    proxies: int = 3,
    lag_s: float = 0.0,
    manifest: dict[str, Any] | None = None,
    **settings: Any,
) -> AsyncIterator[PreparedPlatform]:
    """Start a group of three servers, the store and proxies in three zones."""
    platform = PreparedPlatform(group=ServerGroup(service="rental", zones=ZONES, lag_s=lag_s))
    await platform.group.start()
    await platform.store.start()
    platform.store.put("config", "main", manifest or build_manifest())
    platform.register_all()
    try:
        for index in range(proxies):
            await platform.add_proxy(f"vm-{index}", ZONES[index % len(ZONES)], **settings)
        await platform.wait_ready()
        yield platform
    finally:
        for proxy in platform.proxies.values():
            await proxy.stop()
        await platform.store.stop()
        await platform.group.stop()


async def wait_until(condition: Callable[[], bool], *, within_s: float) -> None:
    """Wait for a condition; raise AssertionError when it does not hold in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + within_s
    while not condition():
        assert loop.time() < end, f"the condition does not hold within {within_s} s"
        await asyncio.sleep(0.02)


def run(scenario: Coroutine[Any, Any, None], *, within_s: float = 30.0) -> None:
    """Run a scenario on a new event loop."""
    asyncio.run(asyncio.wait_for(scenario, within_s))
