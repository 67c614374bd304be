"""Measures the peer transport: `python -m bench.transport --seconds 5`.

Both ends run on one loop of one process, over the loopback address.
"""

import asyncio
import time

import typer

from lentilring.database.messages import ReportStatus, Role, ServerStatus
from lentilring.peers.tcp import TcpTransport
from lentilring.peers.transport import Sender
from lentilring.telemetry.metrics import Telemetry

STATUS = ServerStatus(
    server="rental-core-a-1",
    term=3,
    role=Role.REPLICA,
    position=123_456,
    log_terms=(),
    primary_silence_s=0.01,
    open_connections=7,
)


def make_transport(vm: str) -> TcpTransport:
    return TcpTransport(
        vm=vm,
        incarnation=1,
        address="127.0.0.1:0",
        deployment="bench",
        secret=b"bench",
        telemetry=Telemetry(),
    )


async def report_status(sender: Sender, request: ReportStatus) -> ServerStatus:
    return STATUS


async def measure(seconds: float, callers: int) -> tuple[int, float]:
    """Return the number of calls and the elapsed seconds."""
    client, server = make_transport("vm-1"), make_transport("vm-2")
    server.handle(ReportStatus, report_status)
    await client.start()
    await server.start()
    await client.call(server.address, ReportStatus(), timeout_s=5)
    began = time.perf_counter()
    calls = 0

    async def repeat() -> None:
        nonlocal calls
        while time.perf_counter() - began < seconds:
            await client.call(server.address, ReportStatus(), timeout_s=5)
            calls += 1

    await asyncio.gather(*[repeat() for _ in range(callers)])
    elapsed = time.perf_counter() - began
    await client.stop()
    await server.stop()
    return calls, elapsed


def main(seconds: float = 5.0) -> None:
    """Print calls a second for one caller and for several concurrent ones."""
    for callers in (1, 16, 64):
        calls, elapsed = asyncio.run(measure(seconds, callers))
        typer.echo(f"callers={callers} calls={calls} calls_per_s={calls / elapsed:.0f}")


if __name__ == "__main__":
    typer.run(main)
