"""The open sessions of two tenants write at the same moment, then those of the next two.

The case judges a machine only after all traffic has ended: whether it answers again.
"""

import asyncio
import os
from pathlib import Path

from scene import BROKEN, HELD, Client, Machine, Record, run_case, run_deployment

TROUBLE = os.environ.get("TROUBLE") != "0"
# Those of sites/khaima-ops.toml: 8 tenants, 152 open sessions.
TENANTS, SESSIONS = 8, 19
TENANTS_AT_ONCE = 2
PLAY_S = 80.0
# A tenant writes 19 times in 1.6 s or more and may do so 400 times in 1 s.
TURN_S = 0.4
ANSWER_WITHIN_S = 5.0
# A machine that has answered no request for this long is looked at without traffic.
SILENT_S = 6.0
CALM_S = 10.0
record = Record(Path(__file__).parent)


class Caller:
    """Keep a session open and write when asked to; open it again when it has been closed."""

    def __init__(self, machine: Machine, tenant: int, number: int) -> None:
        self._machine, self._key = machine, f"tenant-{tenant}-key"
        self._name = f"{machine.name}t{tenant}c{number}"
        self._client: Client | None = None
        self.asked = self.answered = 0
        self.answered_at = asyncio.get_running_loop().time()

    async def ask(self) -> bool:
        """Tell whether one write is answered, by whatever code."""
        self.asked += 1
        request = f"{self._name}n{self.asked}"
        try:
            if self._client is None:
                self._client = await Client.open(self._machine.address, f"booking {self._key}")
            answer = await self._client.query(
                request, f"WRITE {self._name} {self.asked}", timeout_s=ANSWER_WITHIN_S
            )
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            record.add(f"request {request} ended: {error!r}")
            self.close()
            return False
        self.answered += 1
        self.answered_at = asyncio.get_running_loop().time()
        if self.asked % 10 == 1 or not answer[0].startswith("COMPLETE"):
            record.add(f"answered {request}: {answer}")
        return True

    def close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None


async def ask_in_turn(callers: list[list[Caller]]) -> None:
    """Let the sessions of some tenants write, at once or one by one, then those of the next."""
    while True:
        for first in range(0, TENANTS, TENANTS_AT_ONCE):
            group = sum(callers[first : first + TENANTS_AT_ONCE], [])
            if TROUBLE:
                await asyncio.gather(*(caller.ask() for caller in group))
                await asyncio.sleep(TURN_S)
            else:
                for caller in group:
                    await caller.ask()
                    await asyncio.sleep(TURN_S / len(group))


async def is_ready(machine: Machine) -> bool:
    """Tell whether a machine answers the platform's probe within ANSWER_WITHIN_S."""
    host, _, port = machine.proxy.readiness_address.rpartition(":")
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            answer = await reader.readuntil(b"\r\n")
    except (OSError, EOFError, TimeoutError):
        record.add(f"{machine.name} does not answer the probe")
        return False
    writer.transport.abort()
    record.add(f"{machine.name} answers the probe: {answer!r}")
    return True


def read_processor_s(machine: Machine) -> float:
    """Return the processor time that a machine's process has used, 0 if it has ended."""
    try:
        text = Path(f"/proc/{machine.proxy.process.pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def hangs_in_calm(machine: Machine) -> bool:
    """Tell whether a running process answers neither a caller nor the probe for CALM_S."""
    began_s, caller = read_processor_s(machine), Caller(machine, 0, 99)
    loop = asyncio.get_running_loop()
    until = loop.time() + CALM_S
    while loop.time() < until:
        if await is_ready(machine) or await caller.ask():
            return False
    is_running = machine.proxy.process.poll() is None
    used_s = read_processor_s(machine) - began_s
    record.add(f"{machine.name} answers nothing; running: {is_running}; processor: {used_s:.1f} s")
    return is_running


async def play() -> int:
    keys = {f"tenant-{number}": [f"tenant-{number}-key"] for number in range(TENANTS)}
    async with run_deployment(record, keys=keys) as (_, machines):
        callers = [
            [Caller(machines[i % len(machines)], tenant, i) for i in range(SESSIONS)]
            for tenant in range(TENANTS)
        ]
        by_machine = {
            machine.name: [c for group in callers for c in group[index :: len(machines)]]
            for index, machine in enumerate(machines)
        }
        traffic = asyncio.ensure_future(ask_in_turn(callers))
        loop = asyncio.get_running_loop()
        until = loop.time() + PLAY_S
        silent: list[Machine] = []
        while loop.time() < until and not silent:
            await asyncio.sleep(1.0)
            silent = [
                machine
                for machine in machines
                if loop.time() - max(entry.answered_at for entry in by_machine[machine.name])
                > SILENT_S
            ]
        traffic.cancel()
        await asyncio.gather(traffic, return_exceptions=True)
        for name, group in by_machine.items():
            asked, answered = (sum(getattr(c, w) for c in group) for w in ("asked", "answered"))
            record.add(f"{name}: {asked} requests of callers, {answered} answered")
            for caller in group:
                caller.close()
        record.add(f"all traffic has ended; silent machines: {[m.name for m in silent]}")
        broken = [machine.name for machine in silent if await hangs_in_calm(machine)]
        record.add(f"BROKEN: {broken} hang" if broken else "held")
        return BROKEN if broken else HELD


run_case(play())
