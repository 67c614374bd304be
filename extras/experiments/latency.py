"""Compares requests through a proxy of the running demo with direct calls to a backend server.

Start `make demo-up` first, then run `python extras/experiments/latency.py`. Reads go to the proxy
in the server's failure domain. Writes through a proxy wait for the confirmation that their term is
still in force, direct ones do not.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from lentilring.database.client import TcpBackendConnector
from lentilring.database.messages import Action, StatementRequest, StatementStatus
from lentilring.telemetry.metrics import Telemetry

PROXY = ("127.1.1.1", 8080)
SERVERS = ("127.1.2.1:5400", "127.1.2.2:5400", "127.1.2.3:5400")
SECONDS = 3.0
CONCURRENCIES = (1, 32)
STATEMENTS = {
    "read": ("stock", {"op": "get", "key": "a"}),
    "write": ("note", {"op": "put", "key": "a", "value": 1}),
}

Call = Callable[[], Awaitable[bool]]


async def open_direct(action: Action, statement: str) -> Call:
    """Return a call on a connection of its own to the server that answers it."""
    connector = TcpBackendConnector(client="latency", telemetry=Telemetry())
    for address in SERVERS:
        control = await connector.connect_control(address, timeout_s=1)
        term = (await control.report_status(timeout_s=1)).term
        control.close()
        connection = await connector.connect(address, timeout_s=1)
        request = StatementRequest(
            term=term, client_account="latency", action=action, statement=statement
        )

        async def call(connection=connection, request=request) -> bool:
            reply = await connection.execute(request, timeout_s=5)
            return reply.status is StatementStatus.OK

        if await call():
            return call
        connection.close()
    raise SystemExit("no backend server runs the statement")


async def open_proxied(route: str, statement: object) -> Call:
    """Return a call on a keep-alive connection to the proxy."""
    reader, writer = await asyncio.open_connection(*PROXY)
    body = json.dumps({"statement": statement})
    head = (
        f"POST /v1/rental-core/tents/{route} HTTP/1.1\r\nHost: proxy\r\n"
        f"Authorization: Bearer planner-key\r\nContent-Length: {len(body)}\r\n\r\n"
    )

    async def call() -> bool:
        writer.write((head + body).encode())
        answer = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = answer.lower().splitlines()
        length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-len"))
        await reader.readexactly(length)
        return " 200 " in answer.splitlines()[0]

    return call


async def measure(calls: list[Call]) -> tuple[float, float, float, int]:
    """Return calls a second, median and 99th percentile in milliseconds, and failed calls."""
    durations: list[float] = []
    failed = 0
    end = time.perf_counter() + SECONDS

    async def work(call: Call) -> None:
        nonlocal failed
        while time.perf_counter() < end:
            started = time.perf_counter()
            failed += not await call()
            durations.append((time.perf_counter() - started) * 1e3)

    await asyncio.gather(*(work(call) for call in calls))
    durations.sort()
    count = len(durations)
    return count / SECONDS, durations[count // 2], durations[int(count * 0.99)], failed


async def run() -> None:
    """Print one line for each way, statement and concurrency."""
    print("way      statement  concurrency  calls/s  p50 ms  p99 ms  failed")
    for name, (route, statement) in STATEMENTS.items():
        action = Action.READ if name == "read" else Action.WRITE
        for concurrency in CONCURRENCIES:
            # A server of 15 connections, of which the proxies hold some, takes 4 more.
            direct_count = min(concurrency, 4)
            direct = [await open_direct(action, json.dumps(statement)) for _ in range(direct_count)]
            proxied = [await open_proxied(route, statement) for _ in range(concurrency)]
            for way, calls in (("direct", direct), ("proxied", proxied)):
                rate, median, high, failed = await measure(calls)
                print(
                    f"{way:8} {name:9} {len(calls):12} {rate:8.0f} {median:7.2f} {high:7.2f} "
                    f"{failed:7}"
                )


if __name__ == "__main__":
    asyncio.run(run())
