"""A small deployment on loopback: the project's stand-ins and its program as processes.

The platform's part that the project's stand-ins lack is here: it kills a process that exceeds the
memory of its machine, and restarts a process that has ended.
"""

import asyncio
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
from lentilring.platform.boot import BOOT_VARIABLE
from lentilring.soak.deployment import PEER_PORT, SESSION_PORT, SoakDeployment, build_deployment

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Those of a machine of sites/khaima-ops.toml.
LIMITS = {"cpu-share": 0.537, "cpu-speed-factor": 2, "memory-mb": 300, "max-fds": 4200}
RESTART_DELAY_S = 0.5
SAMPLE_S = 0.02
SETTLE_S = 3.0


class Record:
    """Write what was sent, answered and run to record.txt in a case's folder."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def add(self, text: str) -> None:
        line = f"{time.monotonic() - self._began_at:8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Machine:
    """Run the program of the deploy file on one machine, within its memory."""

    def __init__(self, proxy: Any, record: Record) -> None:
        self.proxy, self._record = proxy, record
        self.ends = 0
        self.peak_mb = 0.0
        self._command = shlex.split(read_command())

    @property
    def name(self) -> str:
        return self.proxy.vm

    @property
    def address(self) -> str:
        return self.proxy.session_address

    def start(self) -> None:
        self.proxy.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env={**os.environ, BOOT_VARIABLE: str(self.proxy.boot_file.absolute())},
            stdout=self.proxy.log,
            stderr=subprocess.STDOUT,
        )

    async def watch_memory(self, limit_mb: float) -> None:
        """Kill the process when it exceeds its machine's memory, as DEPLOY.md says; restart it."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            process = self.proxy.process
            if process.poll() is None:
                held_mb = read_memory_mb(process.pid)
                self.peak_mb = max(self.peak_mb, held_mb)
                if held_mb <= limit_mb:
                    continue
                process.kill()
                process.wait()
                self._record.add(f"{self.name} holds {held_mb:.0f} MB of {limit_mb}: it is killed")
            else:
                self._record.add(f"{self.name} has ended with {process.returncode}")
            self.ends += 1
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()


class Client:
    """Speak the statement protocol as a client of PROTOCOL.md does."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str, start: str, *, source: str = "") -> "Client":
        """Open a session; raise OSError, EOFError, TimeoutError or ValueError if it is refused."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=4 * 1024 * 1024, local_addr=(source, 0) if source else None
            )
            writer.write(f"START {start}\r\n".encode())
            greeting = await reader.readuntil(b"\r\n")
        if not greeting.startswith(b"READY"):
            writer.transport.abort()
            raise ValueError(greeting.decode().strip())
        return cls(reader, writer)

    async def query(self, request_id: str, text: str, *, timeout_s: float = 10.0) -> list[str]:
        """Return the lines of an answer; raise OSError, EOFError or TimeoutError without one."""
        async with asyncio.timeout(timeout_s):
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            await self._writer.drain()
            lines: list[str] = []
            while not lines or not lines[-1].startswith("READY"):
                lines.append((await self._reader.readuntil(b"\r\n")).decode().strip())
            return lines

    def close(self) -> None:
        self._writer.transport.abort()


def read_command() -> str:
    """Return the command of the deploy file's only role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return str(role["run"])


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024


def choose_hosts() -> str:
    """Return the first three numbers of loopback addresses on which the ports are free."""
    for offset in range(100):
        number = os.getpid() + offset * 7
        prefix = f"127.{130 + (number >> 8) % 100}.{number & 255}"
        if all(
            is_free(f"{prefix}.{host}", port)
            for host in (1, 2, 3)
            for port in (SESSION_PORT, PEER_PORT)
        ):
            return prefix
    raise OSError("no free ports")


def is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@asynccontextmanager
async def run_deployment(
    record: Record, *, vms: int = 3, keys: dict[str, list[str]] | None = None
) -> AsyncIterator[tuple[SoakDeployment, list[Machine]]]:
    """Start the stand-ins and `vms` machines with the settings of khaima-ops; stop all at the end."""
    folder = Path(tempfile.mkdtemp(prefix="lentilring-case-"))
    deployment = build_deployment(folder, host_prefix=choose_hosts())
    machines: list[Machine] = []
    try:
        await deployment.start(vms=vms)
        if keys is not None:
            deployment.keys = keys
            deployment.put_configuration()
        for proxy in deployment.proxies:
            proxy.kill()
            document = msgspec.json.decode(proxy.boot_file.read_bytes())
            proxy.boot_file.write_bytes(msgspec.json.encode({**document, "limits": LIMITS}))
            machines.append(Machine(proxy, record))
            machines[-1].start()
        await deployment.wait_ready()
        await asyncio.sleep(SETTLE_S)
        yield deployment, machines
    finally:
        await deployment.stop()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(folder, ignore_errors=True)


def run_case(scenario: Any, *, within_s: float = 110.0) -> None:
    """Run a case and exit with its result; 2 if it could not run or was stopped."""
    try:
        result = asyncio.run(_run_until_stopped(scenario, within_s))
    except asyncio.CancelledError:
        print("the case was stopped")
        result = NOT_RUN
    except Exception:
        # Python would end with 1, which stands for a broken rule.
        traceback.print_exc()
        result = NOT_RUN
    sys.exit(result)


async def _run_until_stopped(scenario: Any, within_s: float) -> int:
    """Run a case; SIGTERM cancels it, so that it ends the processes that it has started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return int(await asyncio.wait_for(scenario, within_s))
