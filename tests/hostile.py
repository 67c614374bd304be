"""A real session proxy with low limits, a crowd that misuses it, and what the process holds."""

import asyncio
import os
import shutil
import socket
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lentilring.soak.deployment import ProxyProcess, SoakDeployment, build_deployment

from .prepared import SessionClient

CROWD_KEY, ORDINARY_KEY = "planner-key-1", "crew-key-1"
ORDINARY_TRIES = 40
ORDINARY_PAUSE_S = 0.5
ORDINARY_TIMEOUT_S = 5.0
RECONNECT_PAUSE_S = 0.2
CONNECT_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True)
class ProcessUse:
    """Hold what a process used: its greatest memory since its start, and descriptors now."""

    peak_mb: float
    descriptors: int


@dataclass(kw_only=True)
class HostileScene:
    """Hold a proxy's process, the stand-ins behind it and its crowd."""

    deployment: SoakDeployment
    proxy: ProxyProcess

    @property
    def address(self) -> str:
        return self.proxy.session_address

    def measure(self) -> ProcessUse:
        """Return what the process uses; raise AssertionError if it has ended."""
        assert self.proxy.is_running, "the process has ended"
        assert self.proxy.process is not None
        return measure_process(self.proxy.process.pid)

    async def ask_ordinary(self) -> bool:
        """Tell whether an ordinary caller gets one answer; it connects again when it is closed."""
        for _ in range(ORDINARY_TRIES):
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(ORDINARY_TIMEOUT_S):
                    if await self._ask_once():
                        return True
            await asyncio.sleep(ORDINARY_PAUSE_S)
        return False

    async def _ask_once(self) -> bool:
        client = await SessionClient.open(self.address, "booking", ORDINARY_KEY)
        try:
            if not client.greeting.startswith("READY"):
                return False
            answer = await client.query("WRITE ordinary 1")
            return answer[0].startswith("COMPLETE")
        finally:
            client.close()


def measure_process(pid: int) -> ProcessUse:
    """Return what a running process uses."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            peak_mb = int(line.split()[1]) / 1024
    return ProcessUse(peak_mb=peak_mb, descriptors=len(os.listdir(f"/proc/{pid}/fd")))


@asynccontextmanager
async def run_hostile_scene(*, limits: dict[str, float]) -> AsyncIterator[HostileScene]:
    """Start one proxy with `limits` in the platform's settings file."""
    folder = Path(tempfile.mkdtemp(prefix="lentilring-hostile-"))
    deployment = build_deployment(folder, host_prefix=choose_host_prefix())
    try:
        await deployment.start(vms=1)
        (proxy,) = deployment.proxies
        proxy.kill()
        document = msgspec.json.decode(proxy.boot_file.read_bytes())
        proxy.boot_file.write_bytes(msgspec.json.encode({**document, "limits": limits}))
        proxy.start()
        await deployment.wait_ready()
        yield HostileScene(deployment=deployment, proxy=proxy)
    finally:
        await deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)


def choose_host_prefix() -> str:
    """Return loopback addresses that no other test process on this machine uses."""
    pid = os.getpid()
    return f"127.{60 + (pid >> 8) % 40}.{pid & 255}"


@asynccontextmanager
async def run_crowd(
    size: int, visit: Callable[[socket.socket], Awaitable[None]], address: str
) -> AsyncIterator[None]:
    """Let `size` clients visit an address, each again as soon as its connection is closed."""
    tasks = [asyncio.ensure_future(_visit_again(visit, address)) for _ in range(size)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _visit_again(visit: Callable[[socket.socket], Awaitable[None]], address: str) -> None:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as client, suppress(OSError, TimeoutError):
            client.setblocking(False)
            # The answers that a client does not read are then in the proxy, not in its own kernel.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(client, (host, int(port)))
            await visit(client)
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def send(client: socket.socket, *parts: bytes, pause_s: float = 0.0) -> None:
    """Send parts one after another, with a pause between them."""
    loop = asyncio.get_running_loop()
    for part in parts:
        await loop.sock_sendall(client, part)
        if pause_s:
            await asyncio.sleep(pause_s)


async def stay(client: socket.socket) -> None:
    """Keep the connection, without reading, until the proxy closes it."""
    while not has_ended(client):
        await asyncio.sleep(0.1)


def has_ended(client: socket.socket) -> bool:
    """Tell whether the remote end has closed the connection, also behind unread answers."""
    # State 1 is that of an established connection; the first byte of TCP_INFO holds it.
    return client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != 1
