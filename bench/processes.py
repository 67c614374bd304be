"""Measures real proxy processes: `python -m bench.processes size|fleet|connections`.

Starts a platform stand-in, backend servers and proxies on loopback addresses, and reads their
resident memory and processor time from /proc. All databases of `size` share three backend servers
and one proxy supervises them all, so the difference between two rows is the cost of supervision.
"""

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import typer

NETWORK = "127.3.77"
PLATFORM = f"{NETWORK}.250:7300"
DOMAINS = ("casa-a", "mrk-a", "fes-a", "casa-b", "mrk-b", "fes-b", "casa-c", "mrk-c", "fes-c")
SERVERS = tuple(f"{NETWORK}.{number}:5400" for number in (201, 202, 203))
START_TIMEOUT_S = 30.0
SETTLE_S = 4.0
MEASURE_S = 8.0
SIZES = ((8, 1), (800, 1), (8, 100), (800, 100))
FLEETS = (3, 9)
CONNECTIONS = (0, 100, 1000, 3000)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Case(StrEnum):
    SIZE = "size"
    FLEET = "fleet"
    CONNECTIONS = "connections"


@dataclass(frozen=True, kw_only=True)
class Usage:
    memory_mb: float
    processor_s: float


def read_usage(pid: int) -> Usage:
    """Return a process's resident memory and its processor time so far."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return Usage(
        memory_mb=pages * os.sysconf("SC_PAGESIZE") / 2**20,
        processor_s=(int(stat[11]) + int(stat[12])) / CLOCK_TICKS,
    )


@dataclass(kw_only=True)
class Bench:
    """Hold the processes of one measurement."""

    work: Path
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def start(self, name: str, *arguments: str) -> int:
        log = (self.work / f"{name}.log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=log,
            env=os.environ | {"LENTILRING_SECRET": "bench-secret"},
        )
        log.close()
        self.processes.append(process)
        return process.pid

    def stop(self) -> None:
        for process in reversed(self.processes):
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait(timeout=START_TIMEOUT_S)

    def start_platform(self, proxies: int) -> None:
        vms = []
        for index in range(proxies):
            domain = DOMAINS[index]
            region = domain.split("-")[0]
            vms += ["--vm", f"vm-{index}={NETWORK}.{index + 1}:7400,{domain},{region}"]
        self.start("platform", "lentilring.cli.standin", "platform", "--listen", PLATFORM, *vms)
        wait_for(f"http://{PLATFORM}/vms")

    def start_servers(self) -> None:
        for index, address in enumerate(SERVERS):
            role = ["--role", "primary"] if index == 0 else ["--primary", SERVERS[0]]
            host = address.partition(":")[0]
            self.start(
                f"server-{index}",
                *("lentilring.cli.standin", "database", "--name", f"server-{index}"),
                *("--listen", address, "--admin", f"{host}:5401", *role),
            )

    def start_proxy(self, index: int) -> int:
        host = f"{NETWORK}.{index + 1}"
        return self.start(
            f"vm-{index}",
            *("lentilring", "--vm", f"vm-{index}", "--failure-domain", DOMAINS[index]),
            *("--region", DOMAINS[index].split("-")[0], "--platform-address", PLATFORM),
            *("--http-address", f"{host}:8080", "--admin-address", f"{host}:8081"),
            *("--peer-address", f"{host}:7400"),
        )

    def write_configuration(self, *, accounts: int, databases: int) -> None:
        """Store accounts, databases on the shared servers, and their group records."""
        servers = [
            {
                "name": f"server-{index}",
                "address": address,
                "failure_domain": DOMAINS[index],
                "region": DOMAINS[index].split("-")[0],
            }
            for index, address in enumerate(SERVERS)
        ]
        names = [f"db-{index}" for index in range(databases)]
        for name in names:
            record = {
                "term": 1,
                "primary": "server-0",
                "state": "open",
                "term_starts": [{"term": 1, "position": 0}],
            }
            put("group", f"rental-core.{name}", record)
        put(
            "service",
            "rental-core",
            {
                "name": "rental-core",
                "databases": [{"name": name, "backend_servers": servers} for name in names],
                "routes": [{"name": "stock", "kind": "read", "repeatable": True}],
            },
        )
        put("template", "standard", {"name": "standard", "rate_per_s": 100, "burst": 50})
        for number in range(accounts):
            name = f"account-{number}"
            hashes = [f"{number:064x}"]
            put(
                "client-account", name, {"name": name, "template": "standard", "key_hashes": hashes}
            )


def put(kind: str, name: str, value: dict[str, Any]) -> None:
    request = urllib.request.Request(
        f"http://{PLATFORM}/objects/{kind}/{name}",
        data=json.dumps({"value": value}).encode(),
        headers={"If-Match": "0"},
        method="PUT",
    )
    with urllib.request.urlopen(request, timeout=10):
        pass


def wait_for(url: str) -> None:
    """Wait until a URL answers with status 200."""
    end = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            with urllib.request.urlopen(url, timeout=5):
                return
        except (OSError, urllib.error.HTTPError):
            if time.monotonic() > end:
                raise
            time.sleep(0.1)


def count_calls() -> dict[str, int]:
    with urllib.request.urlopen(f"http://{PLATFORM}/calls", timeout=10) as answer:
        calls: dict[str, int] = json.load(answer)
    return calls


@contextlib.contextmanager
def run_bench(*, proxies: int, accounts: int, databases: int) -> Iterator[list[int]]:
    """Start everything; pass on the proxies' process ids once they are ready and settled."""
    with TemporaryDirectory(prefix="bench-") as work:
        bench = Bench(work=Path(work))
        try:
            bench.start_platform(proxies)
            bench.start_servers()
            bench.write_configuration(accounts=accounts, databases=databases)
            pids = [bench.start_proxy(index) for index in range(proxies)]
            for index in range(proxies):
                wait_for(f"http://{NETWORK}.{index + 1}:8080/ready")
            time.sleep(SETTLE_S)
            yield pids
        finally:
            bench.stop()


def measure(pid: int) -> Usage:
    """Return memory, and the processor seconds used in a second."""
    before, began = read_usage(pid), time.monotonic()
    time.sleep(MEASURE_S)
    after = read_usage(pid)
    elapsed_s = time.monotonic() - began
    return Usage(
        memory_mb=after.memory_mb,
        processor_s=(after.processor_s - before.processor_s) / elapsed_s,
    )


def measure_sizes() -> None:
    print("one idle proxy; it supervises every database")
    print(f"{'accounts':>9} {'databases':>10} {'RSS MB':>8} {'core %':>8}")
    for accounts, databases in SIZES:
        with run_bench(proxies=1, accounts=accounts, databases=databases) as pids:
            used = measure(pids[0])
        row = f"{accounts:>9} {databases:>10} {used.memory_mb:>8.1f} {100 * used.processor_s:>8.2f}"
        print(row, flush=True)


def measure_fleets() -> None:
    print("idle proxies, 8 accounts, 3 databases; store calls a second of all proxies together")
    print(f"{'proxies':>8} {'RSS MB':>8} {'core % a proxy':>15}  store calls/s by operation")
    for size in FLEETS:
        with run_bench(proxies=size, accounts=8, databases=3) as pids:
            before = [read_usage(pid) for pid in pids]
            calls, began = count_calls(), time.monotonic()
            time.sleep(2 * MEASURE_S)
            after = [read_usage(pid) for pid in pids]
            elapsed_s = time.monotonic() - began
            now = count_calls()
        used_s = sum(b.processor_s - a.processor_s for a, b in zip(before, after, strict=True))
        memory_mb = sum(usage.memory_mb for usage in after) / size
        rates = {name: (count - calls.get(name, 0)) / elapsed_s for name, count in now.items()}
        shown = " ".join(f"{name}={rate:.2f}" for name, rate in sorted(rates.items()))
        share = 100 * used_s / elapsed_s / size
        print(f"{size:>8} {memory_mb:>8.1f} {share:>15.2f}  {shown}", flush=True)


def open_connections(count: int) -> list[socket.socket]:
    """Open keep-alive connections, each of which has had one answer."""
    connections = []
    for _ in range(count):
        connection = socket.create_connection((f"{NETWORK}.1", 8080), timeout=30)
        connection.sendall(b"GET /health HTTP/1.1\r\nHost: bench\r\n\r\n")
        assert connection.recv(4096).startswith(b"HTTP/1.1 200"), "no answer"
        connections.append(connection)
    return connections


def measure_connections() -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    print("one proxy, 8 accounts, 1 database; idle keep-alive connections of callers")
    print(f"{'connections':>12} {'RSS MB':>8} {'core %':>8}")
    with run_bench(proxies=1, accounts=8, databases=1) as pids:
        connections: list[socket.socket] = []
        for count in CONNECTIONS:
            connections += open_connections(count - len(connections))
            time.sleep(1)
            used = measure(pids[0])
            print(f"{count:>12} {used.memory_mb:>8.1f} {100 * used.processor_s:>8.2f}", flush=True)
        for connection in connections:
            connection.close()


def main(case: Case) -> None:
    """Print one table."""
    measures = {
        Case.SIZE: measure_sizes,
        Case.FLEET: measure_fleets,
        Case.CONNECTIONS: measure_connections,
    }
    measures[case]()


if __name__ == "__main__":
    typer.run(main)
