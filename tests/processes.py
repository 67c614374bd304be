"""Deploys the real programs on loopback: a platform, three backend servers, three proxies."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
from testtools import TestCase
from testtools.content import text_content

from lentilring.configuration.models import hash_key
from lentilring.platform.client import HttpStore
from lentilring.platform.store import Kind
from lentilring.telemetry.metrics import Telemetry

ROOT = Path(__file__).resolve().parent.parent
CONDITION_TIMEOUT_S = 30.0  # long enough for a busy machine
POLL_S = 0.05
LOG_TAIL_LINES = 150
RATE_LIMIT_SHARES = 8
DOMAINS = ("casa-a", "mrk-a", "fes-a")
REGIONS = ("casablanca", "marrakech", "fes")
SERVICE = "rental-core"
MAX_STALENESS_S = 3600
GROUP = f"{SERVICE}.tents"
ACCOUNT = "planner"
KEY = "planner-key-5f1c"
ROUTES = (
    {"name": "stock", "kind": "read", "repeatable": True},
    {"name": "catalogue", "kind": "read", "repeatable": True, "max_staleness_s": MAX_STALENESS_S},
    {"name": "book", "kind": "write"},
    {"name": "transactions", "kind": "transaction"},
)
PROGRAMS = {"lentilring-proxy": "proxy", "lentilctl": "ctl", "lentilring-standin": "standin"}

T = TypeVar("T")
_host_numbers = count(1)
_assigned_addresses: set[str] = set()


class ConnectionLost(Exception):
    """Report that the connection ended before the whole response arrived."""


@dataclass(frozen=True, kw_only=True)
class ProxyResponse:
    """Hold the parts of a proxy's response that tests check."""

    status: int
    body: dict[str, Any]
    closes: bool

    @property
    def outcome(self) -> str:
        return str(self.body.get("outcome"))

    @property
    def reason(self) -> str:
        return str(self.body.get("reason"))

    @property
    def result(self) -> Any:
        return self.body.get("result")

    @property
    def session(self) -> str:
        return str(self.body.get("session") or "")


@dataclass(kw_only=True)
class Program:
    """Hold a running process and the command, environment and log file to restart it with."""

    name: str
    command: list[str]
    environment: dict[str, str]
    log: Path
    process: subprocess.Popen[bytes]

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and reap it."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        """Start the program again with the same flags, after it ended."""
        self.process = _start(self.command, self.environment, self.log)


@dataclass(kw_only=True)
class Backend:
    """Hold a backend server's process and its administration interface."""

    program: Program
    admin: str


@dataclass(kw_only=True)
class Proxy:
    """Hold a proxy's process and addresses; it shares a failure domain with one backend server."""

    program: Program
    callers: str
    operators: str


@dataclass(kw_only=True)
class Deployment:
    """Hold the processes of one test and an HTTP client that reaches them."""

    folder: Path
    http: aiohttp.ClientSession
    platform: str = ""
    programs: list[Program] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    backends: dict[str, Backend] = field(default_factory=dict)

    async def ask(
        self,
        proxy: Proxy,
        route: str,
        statement: object = None,
        *,
        key: str = KEY,
        session: str = "",
        idempotency_key: str = "",
        deadline_ms: int = 20_000,
        http: aiohttp.ClientSession | None = None,
    ) -> ProxyResponse:
        """Send a caller's request; raise ConnectionLost if no complete response arrives."""
        headers = {"Authorization": f"Bearer {key}", "Lentilring-Deadline-Ms": str(deadline_ms)}
        if session:
            headers["Lentilring-Session"] = session
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        data = json.dumps({"statement": statement}) if statement is not None else None
        url = f"http://{proxy.callers}/v1/{SERVICE}/tents/{route}"
        try:
            async with (http or self.http).post(url, data=data, headers=headers) as response:
                body = json.loads(await response.read())
                closes = response.headers.get("Connection", "").lower() == "close"
                return ProxyResponse(status=response.status, body=body, closes=closes)
        except aiohttp.ClientError as error:
            raise ConnectionLost(f"{proxy.program.name}: {error!r}") from error

    async def complete(
        self, proxy: Proxy, route: str, statement: object, **options: Any
    ) -> ProxyResponse:
        """Repeat a request until it completes; the request must be safe to repeat."""

        async def attempt() -> ProxyResponse | None:
            answer = await self.ask(proxy, route, statement, **options)
            return answer if answer.outcome == "completed" else None

        return await wait_for(f"{route} completes at {proxy.program.name}", attempt)

    async def view(self, proxy: Proxy, name: str) -> Any:
        """Read one of a proxy's admin views."""
        return await self._get(f"http://{proxy.operators}/admin/{name}")

    async def status(self, backend: str) -> dict[str, Any]:
        """Read the status of a backend server."""
        content = await self._get(f"http://{self.backends[backend].admin}/status")
        return {**content["status"], "received": content["received"]}

    async def journal(self, backend: str) -> list[dict[str, Any]]:
        """Read the statements that a backend server ran."""
        entries: list[dict[str, Any]] = await self._get(
            f"http://{self.backends[backend].admin}/journal"
        )
        return entries

    async def set_faults(self, address: str, **faults: object) -> None:
        """Set the fault switches of a stand-in."""
        await self._post(f"http://{address}/faults", faults)

    async def change_backends(self, **settings: float) -> None:
        """Change settings of all backend servers, such as `statement_time_s`."""
        for backend in self.backends.values():
            await self._post(f"http://{backend.admin}/settings", settings)

    async def find_primary(self) -> str:
        """Return the primary's name according to the first running proxy."""
        running = next(p for p in self.proxies if p.program.process.poll() is None)
        return str((await self.view(running, "groups"))["groups"][GROUP]["primary"])

    def find_gateway(self, backend: str) -> Proxy:
        """Return the gateway of a backend server: the proxy in its failure domain."""
        return self.proxies[list(self.backends).index(backend)]

    def list_other_proxies(self, proxy: Proxy) -> list[Proxy]:
        """Return all proxies except the given one."""
        return [entry for entry in self.proxies if entry is not proxy]

    def find_proxy(self, vm: str) -> Proxy:
        """Return the proxy that runs on a VM."""
        return next(proxy for proxy in self.proxies if proxy.program.name == vm)

    async def remove_vm(self, proxy: Proxy) -> None:
        """Remove a proxy's VM from the platform's list."""
        async with self.http.delete(f"http://{self.platform}/vms/{proxy.program.name}") as response:
            response.raise_for_status()

    async def find_holders(self) -> dict[int, str]:
        """Return the VM that holds each rate-limit share, as the proxies report it."""
        holders: dict[int, str] = {}
        for proxy in self.proxies:
            for share in (await self.view(proxy, "shares"))["shares"]:
                if share["vm"]:
                    holders[share["share"]] = share["vm"]
        return holders

    async def control(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run lentilctl against the platform and the first proxy."""
        return await asyncio.to_thread(
            run_program,
            "lentilctl",
            *arguments,
            variables={
                "LENTILRING_PLATFORM_ADDRESS": self.platform,
                "LENTILRING_ADMIN_ADDRESS": self.proxies[0].operators,
            },
        )

    def start(self, name: str, program: str, *arguments: str) -> Program:
        """Start a program that writes its output to a log file in the test's folder."""
        command, environment = build_command(program, *arguments), build_environment({})
        log = self.folder / f"{name}.log"
        started = Program(
            name=name,
            command=command,
            environment=environment,
            log=log,
            process=_start(command, environment, log),
        )
        self.programs.append(started)
        return started

    def read_log(self, program: Program) -> str:
        """Return the output of a process so far."""
        return program.log.read_text(errors="replace")

    def end(self) -> None:
        """Kill all processes, including paused ones."""
        for program in self.programs:
            program.kill()

    async def _get(self, url: str) -> Any:
        async with self.http.get(url) as response:
            response.raise_for_status()
            return json.loads(await response.read())

    async def _post(self, url: str, content: object) -> None:
        async with self.http.post(url, json=content) as response:
            response.raise_for_status()


class ProcessTestCase(TestCase):
    """Run a test's body against its own deployment; attach the logs if it fails."""

    def run_deployed(self, body: Callable[[Deployment], Awaitable[None]], **options: Any) -> None:
        """Start a deployment, run the body and kill all processes."""

        async def run() -> None:
            async with deploy(self, **options) as deployment:
                await body(deployment)

        asyncio.run(run())


@asynccontextmanager
async def deploy(
    test: TestCase,
    *,
    rate_per_s: float = 5000,
    burst: float = 5000,
    proxy_flags: Sequence[str] = (),
    first_proxy_alone: bool = False,
) -> AsyncIterator[Deployment]:
    """Start a platform, a group of three backend servers and three proxies.

    With `first_proxy_alone`, the other proxies start only once the first one holds all rate-limit
    shares.
    """
    folder = Path(tempfile.mkdtemp(prefix="lentilring-test-"))
    timeout = aiohttp.ClientTimeout(total=2 * CONDITION_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
        deployment = Deployment(folder=folder, http=http)
        try:
            await _start_all(deployment, rate_per_s, burst, proxy_flags, first_proxy_alone)
            yield deployment
        except BaseException:
            for program in deployment.programs:
                lines = deployment.read_log(program).splitlines()[-LOG_TAIL_LINES:]
                test.addDetail(f"log of {program.name}", text_content("\n".join(lines)))
            raise
        finally:
            deployment.end()
            shutil.rmtree(folder, ignore_errors=True)


async def wait_for(title: str, condition: Callable[[], Awaitable[T | None]]) -> T:
    """Poll a condition until it returns a true value, and return that value.

    Connection errors and missing keys count as a condition that is not met yet.
    """
    last_result: object = None
    loop = asyncio.get_running_loop()
    end = loop.time() + CONDITION_TIMEOUT_S
    while loop.time() < end:
        try:
            last_result = await condition()
            if last_result:
                return last_result  # type: ignore[return-value]
        except (ConnectionLost, aiohttp.ClientError, OSError, KeyError) as error:
            last_result = error
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"not within {CONDITION_TIMEOUT_S:.0f} s: {title}; last {last_result!r}")


def run_program(
    program: str, *arguments: str, variables: dict[str, str] | None = None
) -> subprocess.CompletedProcess[str]:
    """Run a program and wait until it exits."""
    return subprocess.run(
        build_command(program, *arguments),
        env=build_environment(variables or {}),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=2 * CONDITION_TIMEOUT_S,
    )


def build_command(program: str, *arguments: str) -> list[str]:
    """Return the command that runs a program of this checkout."""
    module = f"lentilring.cli.{PROGRAMS[program]}"
    return [sys.executable, "-c", f"from {module} import main; main()", *arguments]


def build_environment(variables: dict[str, str]) -> dict[str, str]:
    """Return this process's environment without LENTILRING_ variables, plus `variables`."""
    kept = {name: text for name, text in os.environ.items() if not name.startswith("LENTILRING_")}
    return {**kept, "PYTHONPATH": str(ROOT), "COLUMNS": "200", "NO_COLOR": "1", **variables}


def find_address(host: str) -> str:
    """Return an address of a host whose port is free for both TCP and UDP."""
    while True:
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            try:
                datagrams.bind((host, port))
            except OSError:
                continue
            address = f"{host}:{port}"
        # The system may return the same port again before the intended process has bound it.
        if address not in _assigned_addresses:
            _assigned_addresses.add(address)
            return address


def choose_host() -> str:
    """Return a loopback address for one deployment.

    Client connections use ports of 127.0.0.1, and each test worker derives its addresses from its
    pid, so a port that is free when it is chosen is still free when its process binds it.
    """
    pid = os.getpid()
    return f"127.{100 + next(_host_numbers) % 100}.{pid >> 8 & 255}.{pid & 255}"


def _start(command: list[str], environment: dict[str, str], log: Path) -> subprocess.Popen[bytes]:
    with log.open("ab") as output:
        return subprocess.Popen(
            command, env=environment, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT
        )


async def _start_all(
    deployment: Deployment,
    rate_per_s: float,
    burst: float,
    proxy_flags: Sequence[str],
    first_proxy_alone: bool,
) -> None:
    host = choose_host()
    deployment.platform = find_address(host)
    peers = [find_address(host) for _ in DOMAINS]
    vms = [f"vm-{index}" for index in range(len(DOMAINS))]
    vm_flags: list[str] = []
    for vm, peer, domain, region in zip(vms, peers, DOMAINS, REGIONS, strict=True):
        vm_flags += ["--vm", f"{vm}={peer},{domain},{region}"]
    deployment.start(
        "platform", "lentilring-standin", "platform", "--listen", deployment.platform, *vm_flags
    )
    servers = [_start_backend(deployment, host, index) for index in range(len(DOMAINS))]
    first = 1 if first_proxy_alone else len(vms)
    for index, vm in enumerate(vms[:first]):
        _start_proxy(deployment, host, index, vm, peers[index], proxy_flags)
    await _configure(deployment, servers, rate_per_s, burst)
    if first_proxy_alone:
        await wait_for("the first proxy holds all shares", lambda: _are_shares_held(deployment))
    for index, vm in list(enumerate(vms))[first:]:
        _start_proxy(deployment, host, index, vm, peers[index], proxy_flags)
    for proxy in deployment.proxies:
        await wait_for(f"{proxy.program.name} is ready", lambda p=proxy: _is_ready(deployment, p))
    await wait_for("all shares are held", lambda: _are_shares_held(deployment))
    for proxy in deployment.proxies:
        await deployment.complete(proxy, "stock", {"op": "get", "key": "nothing"})
        await deployment.complete(proxy, "book", {"op": "put", "key": "ready", "value": 1})


def _start_backend(deployment: Deployment, host: str, index: int) -> dict[str, object]:
    name = f"tents-{index}"
    address, admin = find_address(host), find_address(host)
    program = deployment.start(
        name,
        *("lentilring-standin", "database", "--name", name, "--listen", address),
        *("--admin", admin, "--term", "0", "--statement-time-s", "0.002"),
        *("--replication-lag-s", "0.02", "--state-file", str(deployment.folder / f"{name}.state")),
    )
    deployment.backends[name] = Backend(program=program, admin=admin)
    return {
        "name": name,
        "address": address,
        "failure_domain": DOMAINS[index],
        "region": REGIONS[index],
    }


def _start_proxy(
    deployment: Deployment, host: str, index: int, vm: str, peer: str, flags: Sequence[str]
) -> None:
    callers, operators = find_address(host), find_address(host)
    program = deployment.start(
        vm,
        *("lentilring-proxy", "--vm", vm, "--failure-domain", DOMAINS[index]),
        *("--region", REGIONS[index], "--platform-address", deployment.platform),
        *("--secret", "process-tests", "--http-address", callers, "--admin-address", operators),
        *("--peer-address", peer, "--log-level", "debug", *flags),
    )
    deployment.proxies.append(Proxy(program=program, callers=callers, operators=operators))


async def _configure(
    deployment: Deployment, servers: list[dict[str, object]], rate_per_s: float, burst: float
) -> None:
    objects: list[tuple[str, dict[str, Any]]] = [
        (
            Kind.SERVICE,
            {
                "name": SERVICE,
                "databases": [{"name": "tents", "backend_servers": servers}],
                "routes": list(ROUTES),
            },
        ),
        (
            Kind.TEMPLATE,
            {
                "name": "standard",
                "rate_per_s": rate_per_s,
                "burst": burst,
                "max_staleness_s": MAX_STALENESS_S,
                "services": [SERVICE],
            },
        ),
        (
            Kind.CLIENT_ACCOUNT,
            {"name": ACCOUNT, "template": "standard", "key_hashes": [hash_key(KEY)]},
        ),
    ]

    async def is_listening() -> bool:
        async with deployment.http.get(f"http://{deployment.platform}/vms") as response:
            return response.status == 200

    await wait_for("the platform listens", is_listening)
    store = HttpStore(
        address=deployment.platform, call_timeout_s=CONDITION_TIMEOUT_S, telemetry=Telemetry()
    )
    await store.start()
    try:
        for kind, value in objects:
            await store.put(kind, value["name"], value, expected_version=0)
    finally:
        await store.stop()


async def _is_ready(deployment: Deployment, proxy: Proxy) -> bool:
    """Tell whether a proxy has the configuration, sees all members live and knows the primary."""
    async with deployment.http.get(f"http://{proxy.callers}/ready") as response:
        if response.status != 200:
            return False
    members = (await deployment.view(proxy, "members"))["members"]
    group = (await deployment.view(proxy, "groups"))["groups"].get(GROUP) or {}
    return (
        sum(member["state"] == "live" for member in members) == len(DOMAINS)
        and group.get("state") == "open"
    )


async def _are_shares_held(deployment: Deployment) -> bool:
    return len(await deployment.find_holders()) == RATE_LIMIT_SHARES
