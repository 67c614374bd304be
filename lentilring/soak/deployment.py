"""The deployment of a soak: stand-ins of the platform, relays and proxies as real processes."""

import asyncio
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import IO

from ..http.exchange import ExchangeFailed, exchange
from ..limits.window import LimitWindow
from ..platform.boot import BOOT_VARIABLE, read_boot_file
from ..standin.prepared.boot import StandinVm, write_boot_file
from ..standin.prepared.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    StandinAccount,
    build_configuration,
)
from ..standin.prepared.servers import ServerGroup, StandinServer
from ..standin.prepared.store import PreparedStore
from .relay import Relay

DOMAINS = ("casa-a", "mrk-a", "fes-a")
REGIONS = {"casa-a": "casablanca", "mrk-a": "marrakech", "fes-a": "fes"}
SERVICE = "rental"
LAG_S = 0.06
PROMOTE_S = 0.3
RESTART_S = 0.5
GRACE_S = 3.0
# Each VM has an address of its own; the kernel chooses ports of outgoing connections above these.
SESSION_PORT, READINESS_PORT, PEER_PORT = 20_001, 20_002, 20_003
# How long proxies may use a configuration that the store does not confirm.
MAX_UNCONFIRMED_S = 5.0
READY_WITHIN_S = 30.0
PROBE_TIMEOUT_S = 1.0
ACCOUNT_RATE = 400.0
BUSY_ACCOUNT_RATE = 20.0
WINDOW = LimitWindow(length_s=5.0, overage=0.1, slack=20.0)


@dataclass(kw_only=True, eq=False)
class ProxyProcess:
    """Hold one proxy's process; signals go only to this process."""

    vm: str
    boot_file: Path
    log: IO[bytes]
    session_address: str
    readiness_address: str
    store_link: Relay
    program_folder: Path | None = None
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start or restart the process."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lentilring.cli.sessions"],
            # Python looks for the program in the working directory first.
            cwd=self.program_folder,
            env={**os.environ, BOOT_VARIABLE: str(self.boot_file.absolute())},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it has not ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, *, within_s: float) -> None:
        """Wait for the process to end; kill it after `within_s` seconds."""
        for _ in range(int(within_s / 0.05)):
            if not self.is_running:
                return
            await asyncio.sleep(0.05)
        self.kill()

    def kill(self) -> None:
        """Kill the process with SIGKILL and reap it."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()


@dataclass(kw_only=True)
class SoakDeployment:
    """Hold the stand-ins, relays and proxies of one run."""

    folder: Path
    host_prefix: str
    group: ServerGroup
    store: PreparedStore
    grace_s: float = GRACE_S
    # The checkout whose program runs; None for this one.
    program_folder: Path | None = None
    server_links: dict[str, Relay] = field(default_factory=dict)
    proxies: list[ProxyProcess] = field(default_factory=list)
    version: int = 0
    keys: dict[str, list[str]] = field(default_factory=dict)

    async def start(self, *, vms: int) -> None:
        """Start the stand-ins, then the proxies, and wait until all are ready."""
        await self.group.start()
        for server in self.group.servers:
            link = self.server_links[server.id] = Relay(host=self._build_host(250))
            await link.start(server.address)
        await self.store.start(self._build_host(251))
        self.keys = {"planner": ["planner-key-1"], "crew": ["crew-key-1"], "busy": ["busy-key-1"]}
        self.put_configuration()
        self.register_all()
        for index in range(vms):
            await self._add_proxy(index)
        await self.wait_ready()

    async def stop(self) -> None:
        """Kill the proxies' processes and close the relays and stand-ins."""
        for proxy in self.proxies:
            proxy.send(signal.SIGCONT)
            proxy.kill()
            await proxy.store_link.stop()
            proxy.log.close()
        for link in self.server_links.values():
            await link.stop()
        await self.store.stop()
        await self.group.stop()

    def put_configuration(self) -> None:
        """Write a new version of the configuration, as the operator would."""
        self.version += 3
        rates = {"busy": BUSY_ACCOUNT_RATE}
        accounts = [
            StandinAccount(name=name, keys=tuple(keys), rate_per_s=rates.get(name, ACCOUNT_RATE))
            for name, keys in self.keys.items()
        ]
        self.store.put(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            build_configuration(self.version, service=SERVICE, accounts=accounts),
        )

    def write_again(self) -> None:
        """Repeat what the operator and the servers wrote, after a restoration of the store."""
        self.put_configuration()
        self.register_all()

    def register_all(self) -> None:
        """Register all servers that are up and remove those that are down."""
        for server in self.group.servers:
            self.register(server)

    def register(self, server: StandinServer, *, state: str = "ready") -> None:
        """Register a server at the address of its relay, or remove one that is down."""
        if server.faults.down:
            self.store.remove("servers", server.id)
            return
        entry = self.group.build_registration(server, state=state)
        entry["address"] = self.server_links[server.id].address
        if self.store.read("servers", server.id) != entry:
            self.store.put("servers", server.id, entry)

    async def restart_server(self, server: StandinServer) -> None:
        """Restart a crashed server; its log is kept."""
        await server.start()
        self.server_links[server.id].retarget(server.address)
        self.group.catch_up(server)
        self.register(server)

    def promote(self, service: str, server: str) -> bool:
        """Make a server the primary after PROMOTE_S; return False if it is down."""
        if service != SERVICE or self.group.find(server).faults.down:
            return False
        asyncio.get_running_loop().call_later(PROMOTE_S, self._finish_promotion, server)
        return True

    def _finish_promotion(self, server: str) -> None:
        if self.group.find(server).faults.down:
            return
        if self.group.leader is None or self.group.leader.id != server:
            self.group.promote(server)
        self.register_all()

    async def wait_ready(self) -> None:
        """Wait until every proxy is ready; raise TimeoutError after READY_WITHIN_S."""
        async with asyncio.timeout(READY_WITHIN_S):
            for proxy in self.proxies:
                while not await _is_ready(proxy.readiness_address):
                    await asyncio.sleep(0.1)

    def max_configuration_age_s(self) -> float:
        """Return the age at which proxies refuse requests under an unconfirmed configuration."""
        return read_boot_file(self.proxies[0].boot_file).max_configuration_age_s

    async def _add_proxy(self, index: int) -> None:
        domain, host = DOMAINS[index % len(DOMAINS)], self._build_host(index + 1)
        store_link = Relay(host=host)
        await store_link.start(self.store.address)
        boot_file = self.folder / f"vm-{index}.json"
        write_boot_file(
            boot_file,
            StandinVm(
                vm=f"vm-{index}",
                ip=host,
                failure_domain=domain,
                regions=REGIONS,
                session_port=SESSION_PORT,
                readiness_port=READINESS_PORT,
                peer_port=PEER_PORT,
                store_address=store_link.address,
                promotion_address=self.store.address,
                window=WINDOW,
                grace_s=self.grace_s,
                max_unconfirmed_s=MAX_UNCONFIRMED_S,
            ),
        )
        proxy = ProxyProcess(
            vm=f"vm-{index}",
            boot_file=boot_file,
            log=(self.folder / f"vm-{index}.log").open("wb"),
            session_address=f"{host}:{SESSION_PORT}",
            readiness_address=f"{host}:{READINESS_PORT}",
            store_link=store_link,
            program_folder=self.program_folder,
        )
        proxy.start()
        self.proxies.append(proxy)

    def _build_host(self, number: int) -> str:
        return f"{self.host_prefix}.{number}"


def build_deployment(folder: Path, *, host_prefix: str) -> SoakDeployment:
    """Return a deployment of one database with a server in each failure domain."""
    group = ServerGroup(service=SERVICE, zones=DOMAINS, lag_s=LAG_S)
    store = PreparedStore()
    deployment = SoakDeployment(folder=folder, host_prefix=host_prefix, group=group, store=store)
    store.set_promotion_handler(deployment.promote)
    return deployment


async def _is_ready(address: str) -> bool:
    try:
        answer = await exchange(
            address, "GET", "/ready", timeout_s=PROBE_TIMEOUT_S, connect_timeout_s=PROBE_TIMEOUT_S
        )
    except ExchangeFailed:
        return False
    return answer.status == HTTPStatus.OK
