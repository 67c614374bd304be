"""The two users' deployments at today's sizes, as processes on loopback addresses."""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import yaml

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0
STATEMENT_TIME_S = 0.002
REPLICATION_LAG_S = 0.05
LARGE_RATE, LARGE_OFFERED = 80.0, 50.0
SMALL_RATE, SMALL_OFFERED = 30.0, 18.0
SMALL_ACCOUNTS = 6


@dataclass(frozen=True, kw_only=True)
class User:
    """Describe one user's sizes; `net` is the second part of the loopback addresses."""

    name: str
    net: str
    service: str
    databases: tuple[str, ...]
    domains: dict[str, str]
    proxies: int
    connections: int
    connect_s: float
    large: tuple[str, ...]
    routes: dict[str, str]


USERS = {
    "khaima": User(
        name="khaima",
        net="127.2.1",
        service="rental-core",
        databases=("tents", "chairs", "lights"),
        domains={"casa-a": "casablanca", "mrk-a": "marrakech", "fes-a": "fes"},
        proxies=7,
        connections=15,
        connect_s=0.010,
        large=("wedding-planner", "warehouse-crew"),
        routes={"read": "stock", "write": "book", "repeatable_write": "note"},
    ),
    "bricola": User(
        name="bricola",
        net="127.2.5",
        service="shopping-lists",
        databases=("projects", "orders", "lists"),
        domains={"tunis-a": "tunis", "sfax-a": "sfax", "sousse-a": "sousse"},
        proxies=9,
        connections=25,
        connect_s=0.025,
        large=("tunis-store", "sousse-store"),
        routes={"read": "browse", "write": "confirm-order", "repeatable_write": "save"},
    ),
}


@dataclass(kw_only=True)
class Deployment:
    """Start, configure, inspect and stop the processes of one user."""

    user: User
    work: Path
    programs: Path
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    @property
    def platform(self) -> str:
        """Return the platform's address."""
        return f"{self.user.net}.250:7300"

    def vms(self) -> dict[str, tuple[str, str]]:
        """Return the IP address and failure domain of each VM."""
        domains = list(self.user.domains)
        return {
            f"vm-{index + 1}": (f"{self.user.net}.{index + 1}", domains[index % len(domains)])
            for index in range(self.user.proxies)
        }

    def servers(self) -> dict[str, tuple[str, str, str]]:
        """Return the IP address, failure domain and database of each backend server."""
        domains = list(self.user.domains)
        return {
            f"{database}-{number + 1}": (
                f"{self.user.net}.{100 + 10 * index + number}",
                domains[number],
                database,
            )
            for index, database in enumerate(self.user.databases)
            for number in range(len(domains))
        }

    def accounts(self) -> dict[str, tuple[float, float]]:
        """Return the configured rate and the offered rate of each account."""
        large = dict.fromkeys(self.user.large, (LARGE_RATE, LARGE_OFFERED))
        small = {
            f"account-{index + 1}": (SMALL_RATE, SMALL_OFFERED) for index in range(SMALL_ACCOUNTS)
        }
        return {**large, **small}

    def start(self) -> None:
        """Start all processes and wait until every proxy serves every database."""
        listed = [
            option
            for vm, (ip, domain) in self.vms().items()
            for option in ("--vm", f"{vm}={ip}:7400,{domain},{self.user.domains[domain]}")
        ]
        self._spawn(
            "platform", "lentilring-standin", "platform", "--listen", self.platform, *listed
        )
        for name in self.servers():
            self.start_server(name)
        for vm in self.vms():
            self.start_proxy(vm)
        self._configure()
        self._wait_until_ready()

    def start_server(self, name: str) -> None:
        """Start a database stand-in; its state file outlives it."""
        ip = self.servers()[name][0]
        self._spawn(
            name, "lentilring-standin", "database", "--name", name,
            "--listen", f"{ip}:5400", "--admin", f"{ip}:5401",
            "--connections", str(self.user.connections),
            "--connect-delay-s", str(self.user.connect_s),
            "--statement-time-s", str(STATEMENT_TIME_S),
            "--replication-lag-s", str(REPLICATION_LAG_S),
            "--term", "0", "--state-file", str(self.work / f"{name}.state"),
        )  # fmt: skip

    def start_proxy(self, vm: str) -> None:
        """Start a proxy."""
        ip, domain = self.vms()[vm]
        self._spawn(
            vm, "lentilring-proxy", "--vm", vm, "--failure-domain", domain,
            "--region", self.user.domains[domain],
            "--http-address", f"{ip}:8080", "--admin-address", f"{ip}:8081",
            "--peer-address", f"{ip}:7400",
        )  # fmt: skip

    def restart_proxy(self, vm: str) -> None:
        """Stop a proxy gracefully and start it again."""
        self.processes[vm].send_signal(signal.SIGTERM)
        self.processes[vm].wait(timeout=STOP_TIMEOUT_S)
        self.start_proxy(vm)

    def stop(self) -> None:
        """End the processes that were started here."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def ctl(self, *arguments: str) -> str:
        """Run lentilctl; return what it printed."""
        done = subprocess.run(
            [str(self.programs / "lentilctl"), *arguments],
            env=self.environment(),
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode != 0:
            raise SystemExit(f"lentilctl {' '.join(arguments)}: {done.stdout}{done.stderr}")
        return done.stdout

    def environment(self) -> dict[str, str]:
        """Return the environment of all programs."""
        return {
            **os.environ,
            "LENTILRING_SECRET": "experiment-secret",
            "LENTILRING_PLATFORM_ADDRESS": self.platform,
            "LENTILRING_ADMIN_ADDRESS": f"{self.user.net}.1:8081",
        }

    def view(self, vm: str, name: str) -> dict:
        """Return an operators' view of a proxy."""
        return _get(f"http://{self.vms()[vm][0]}:8081/admin/{name}")

    def primary(self, database: str) -> str:
        """Return a database's primary."""
        return str(
            self.view("vm-1", "groups")["groups"][f"{self.user.service}.{database}"]["primary"]
        )

    def cpu_seconds(self) -> dict[str, float]:
        """Return the processor time of each live process so far."""
        ticks = os.sysconf("SC_CLK_TCK")
        used = {}
        for name, process in self.processes.items():
            if process.poll() is None:
                fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                used[name] = (int(fields[11]) + int(fields[12])) / ticks
        return used

    def _spawn(self, name: str, program: str, *arguments: str) -> None:
        with (self.work / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [str(self.programs / program), *arguments],
                env=self.environment(),
                stdout=log,
                stderr=log,
            )
        self.processes[name] = process
        (self.work / f"{name}.pid").write_text(str(process.pid))

    def _configure(self) -> None:
        _wait(lambda: bool(_get(f"http://{self.platform}/vms")), "platform")
        documents = [{"kind": kind, "value": value} for kind, value in self._build_objects()]
        file = self.work / "configuration.yaml"
        file.write_text(yaml.safe_dump_all(documents))
        self.ctl("apply", "--wait", "0", str(file))
        for account in self.accounts():
            self.ctl("keys", "give", account, "--key", f"{account}-key", "--wait", "0")

    def _build_objects(self) -> list[tuple[str, dict]]:
        user = self.user
        databases = [
            {
                "name": database,
                "backend_servers": [
                    {
                        "name": name,
                        "address": f"{ip}:5400",
                        "failure_domain": domain,
                        "region": user.domains[domain],
                        "slots": 2,
                        "connections": user.connections,
                    }
                    for name, (ip, domain, owner) in self.servers().items()
                    if owner == database
                ],
            }
            for database in user.databases
        ]
        routes = [
            {
                "name": user.routes["read"],
                "kind": "read",
                "repeatable": True,
                "max_staleness_s": 10,
            },
            {"name": user.routes["write"], "kind": "write"},
            {"name": user.routes["repeatable_write"], "kind": "write", "repeatable": True},
            {"name": "transactions", "kind": "transaction"},
        ]
        template = {
            "name": "standard",
            "rate_per_s": SMALL_RATE,
            "burst": SMALL_RATE,
            "max_staleness_s": 10,
            "services": [user.service],
        }
        accounts = [
            {"name": name, "template": "standard", "rate_per_s": rate, "burst": rate}
            for name, (rate, _) in self.accounts().items()
        ]
        return [
            ("service", {"name": user.service, "databases": databases, "routes": routes}),
            ("template", template),
            *(("client-account", account) for account in accounts),
            *(
                ("failure-domain", {"name": name, "region": region})
                for name, region in user.domains.items()
            ),
        ]

    def _wait_until_ready(self) -> None:
        for vm, (ip, _) in self.vms().items():
            _wait(lambda ip=ip: "ready" in _get(f"http://{ip}:8080/ready"), f"{vm} ready")
        for database in self.user.databases:
            group = f"{self.user.service}.{database}"
            for vm in self.vms():
                _wait(
                    lambda vm=vm, group=group: self.view(vm, "groups")["groups"][group]["state"]
                    == "open",
                    f"{group} open at {vm}",
                )


def _get(url: str) -> dict:
    with urllib.request.urlopen(url, timeout=3) as response:
        return json.loads(response.read())


def _wait(condition, title: str) -> None:
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError, TypeError):
            pass
        time.sleep(0.1)
    raise SystemExit(f"timed out: {title}")
