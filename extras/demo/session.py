"""Plays the demo's session against running processes and checks the outcome of each step."""

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp

PROXIES = {"vm-casa": "127.1.1.1", "vm-mrk": "127.1.1.2", "vm-fes": "127.1.1.3"}
FOLDER = Path(__file__).parent
KEYS = {"wedding-planner": "planner-key", "drivers": "driver-key", "sousse-store": "sousse-key"}
START_TIMEOUT_S = 60.0


@dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold the parts of a response that the session checks."""

    status: int
    body: dict
    session: str


class Demo:
    """Send requests and count steps whose outcome differs."""

    def __init__(self, *, http: aiohttp.ClientSession, work: Path) -> None:
        self.http = http
        self.work = work
        self.failures = 0

    async def post(self, vm: str, path: str, statement: object = None, **headers: str) -> Answer:
        """Send a request to a proxy."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        if "key" in names:
            names["Authorization"] = f"Bearer {names.pop('key')}"
        data = json.dumps({"statement": statement}) if statement is not None else None
        url = f"http://{PROXIES[vm]}:8080/v1/{path}"
        async with self.http.post(url, data=data, headers=names) as response:
            body = json.loads(await response.read())
            return Answer(
                status=response.status,
                body=body,
                session=response.headers.get("Lentilring-Session", ""),
            )

    def check(self, title: str, answer: Answer, **expected: object) -> Answer:
        """Print a step and compare some members of the answer."""
        shown = {name: answer.body.get(name) for name in expected}
        shown = {"status": answer.status, **shown}
        good = all(answer.body.get(name) == value for name, value in expected.items())
        self.report(title, json.dumps(shown), good)
        if not good:
            print(f"       expected {json.dumps(expected)}, got {json.dumps(answer.body)}")
        return answer

    def report(self, title: str, detail: str, good: bool) -> None:
        """Print a step."""
        self.failures += not good
        print(f"{'ok   ' if good else 'WRONG'}  {title}: {detail}", flush=True)


def run_ctl(*arguments: str, check: bool = True) -> subprocess.CompletedProcess:
    """Run lentilctl against the demo's platform and first proxy."""
    environment = {**os.environ, "LENTILRING_ADMIN_ADDRESS": "127.1.1.1:8081"}
    done = subprocess.run(
        ["lentilctl", *arguments], env=environment, capture_output=True, text=True, check=False
    )
    if check and done.returncode != 0:
        raise SystemExit(f"lentilctl {' '.join(arguments)} failed: {done.stdout}{done.stderr}")
    return done


async def wait_until(title: str, condition: Callable[[], Awaitable[bool]]) -> float:
    """Wait for a condition; return the seconds it took."""
    started = time.monotonic()
    while time.monotonic() - started < START_TIMEOUT_S:
        try:
            if await condition():
                return time.monotonic() - started
        except (aiohttp.ClientError, OSError, ValueError):
            pass
        await asyncio.sleep(0.05)
    raise SystemExit(f"timed out: {title}")


async def set_up(demo: Demo) -> None:
    """Load the configuration and wait until everything is ready."""

    async def is_listening() -> bool:
        async with demo.http.get("http://127.1.0.1:7300/vms") as response:
            return response.status == 200

    await wait_until("platform", is_listening)
    for user in ("khaima", "bricola"):
        run_ctl("apply", "--wait", "0", str(FOLDER / f"{user}.yaml"))
    for account, key in KEYS.items():
        run_ctl("keys", "give", account, "--key", key, "--wait", "0")

    async def is_ready() -> bool:
        for address in PROXIES.values():
            async with demo.http.get(f"http://{address}:8080/ready") as response:
                if response.status != 200:
                    return False
        answers = [
            await demo.post("vm-casa", "rental-core/tents/stock-now", GET, key="planner-key"),
            await demo.post("vm-casa", "shopping-lists/projects/browse", GET, key="sousse-key"),
        ]
        return all(answer.status == 200 for answer in answers)

    seconds = await wait_until("readiness", is_ready)
    print(f"ok     three proxies, two databases of three: ready after {seconds:.1f} s", flush=True)


GET = {"op": "get", "key": "caidal-tent"}
ADD = {"op": "add", "key": "caidal-tent", "amount": 1}


async def play(demo: Demo) -> None:
    """Play the session."""
    await play_sessions(demo)
    await play_transaction(demo)
    await play_refusals(demo)
    await play_drain(demo)
    await play_failover(demo)


async def play_sessions(demo: Demo) -> None:
    """Write at one proxy, read at the others."""
    written = demo.check(
        "planner books a tent at casa-a",
        await demo.post(
            "vm-casa", "rental-core/tents/book", ADD, key="planner-key", Idempotency_Key="order-1"
        ),
        outcome="completed",
        result=1,
    )
    for vm in ("vm-mrk", "vm-fes"):
        demo.check(
            f"the same session reads its booking at {vm}",
            await demo.post(
                vm,
                "rental-core/tents/stock",
                GET,
                key="planner-key",
                Lentilring_Session=written.session,
            ),
            outcome="completed",
            result=1,
        )
    demo.check(
        "a repeated booking with the same idempotency key runs once",
        await demo.post(
            "vm-mrk", "rental-core/tents/book", ADD, key="planner-key", Idempotency_Key="order-1"
        ),
        outcome="completed",
        result=1,
        replayed=True,
    )


async def play_transaction(demo: Demo) -> None:
    """Run a transaction that moves between proxies."""
    base = "rental-core/tents/transactions"
    begun = demo.check(
        "a transaction begins at vm-casa",
        await demo.post("vm-casa", base, key="planner-key"),
        outcome="completed",
    )
    path = f"{base}/{begun.body.get('result')}"
    demo.check(
        "its statement runs through vm-mrk",
        await demo.post("vm-mrk", path, ADD, key="planner-key"),
        outcome="completed",
        result=2,
    )
    demo.check(
        "another account cannot use it",
        await demo.post("vm-casa", path, ADD, key="driver-key"),
        outcome="not_run",
        reason="transaction_unknown",
    )
    demo.check(
        "it commits through vm-fes",
        await demo.post("vm-fes", f"{path}/commit", key="planner-key"),
        outcome="completed",
    )


async def play_refusals(demo: Demo) -> None:
    """Provoke refusals: keys and rates."""
    demo.check(
        "an unknown key is refused",
        await demo.post("vm-casa", "rental-core/tents/book", ADD, key="nobody"),
        outcome="not_run",
        reason="key_unknown",
    )
    demo.check(
        "a request without a key is refused on a closed route",
        await demo.post("vm-casa", "rental-core/tents/stock", GET),
        outcome="not_run",
        reason="key_missing",
    )
    demo.check(
        "a route that the kiosk opened to all needs no key",
        await demo.post(
            "vm-casa", "shopping-lists/projects/browse", GET, Lentilring_Client_Account="kiosk"
        ),
        outcome="completed",
    )
    answers = await asyncio.gather(
        *(
            demo.post(vm, "rental-core/tents/stock", GET, key="driver-key")
            for _ in range(8)
            for vm in PROXIES
        )
    )
    refused = [a for a in answers if a.body.get("reason") == "rate_exceeded"]
    admitted = [a for a in answers if a.body.get("outcome") == "completed"]
    demo.report(
        "drivers send 24 requests at three proxies with a burst of 5",
        f"{len(admitted)} completed, {len(refused)} rate_exceeded",
        len(refused) > 0 and len(admitted) >= 1,
    )
    run_ctl("keys", "withdraw", "wedding-planner", "--key", "planner-key")
    for vm in PROXIES:
        demo.check(
            f"the planner's withdrawn key is refused at {vm}",
            await demo.post(vm, "rental-core/tents/stock", GET, key="planner-key"),
            outcome="not_run",
            reason="key_unknown",
        )
    run_ctl("keys", "give", "wedding-planner", "--key", "planner-key")


async def play_drain(demo: Demo) -> None:
    """Drain a failure domain and return it."""
    run_ctl("failure-domain", "drain", "fes-a")

    async def is_drained() -> bool:
        async with demo.http.get("http://127.1.1.3:8080/ready") as response:
            return response.status == 503

    seconds = await wait_until("drain", is_drained)
    demo.report("fes-a is drained and its proxy not ready", f"after {seconds:.1f} s", True)
    await asyncio.sleep(3)
    served = set()
    for _ in range(20):
        answer = await demo.post("vm-casa", "rental-core/tents/stock", GET, key="planner-key")
        served.add(str(answer.body.get("served_by")))
    demo.report(
        "reads avoid the drained domain", ", ".join(sorted(served)), "tents-3" not in served
    )
    run_ctl("failure-domain", "return", "fes-a")


async def play_failover(demo: Demo) -> None:
    """Kill the primary and measure until the next booking."""
    record = json.loads(run_ctl("status", "groups", "--json").stdout)["rental-core.tents"]
    pid = int((demo.work / f"{record['primary']}.pid").read_text())
    os.kill(pid, signal.SIGKILL)
    started = time.monotonic()
    answer = await demo.post(
        "vm-mrk",
        "rental-core/tents/book",
        ADD,
        key="planner-key",
        Idempotency_Key="order-2",
        Lentilring_Deadline_Ms="10000",
    )
    while answer.body.get("outcome") != "completed" and time.monotonic() - started < 20:
        answer = await demo.post(
            "vm-mrk",
            "rental-core/tents/book",
            ADD,
            key="planner-key",
            Idempotency_Key="order-2",
            Lentilring_Deadline_Ms="10000",
        )
    gap = time.monotonic() - started
    demo.check(
        f"primary {record['primary']} is killed; the next booking completes after {gap:.1f} s",
        answer,
        outcome="completed",
        result=3,
    )


async def run(work: Path, only_setup: bool) -> int:
    """Run the demo; return the exit code."""
    async with aiohttp.ClientSession() as http:
        demo = Demo(http=http, work=work)
        await set_up(demo)
        if only_setup:
            print_addresses()
            return 0
        await play(demo)
    print("all steps as expected" if not demo.failures else f"{demo.failures} steps differ")
    return 1 if demo.failures else 0


def print_addresses() -> None:
    """Print where the processes are and a request to try."""
    for vm, address in PROXIES.items():
        print(f"{vm}: callers http://{address}:8080, operators http://{address}:8081/admin/status")
    print("Try:")
    print(
        "curl -s http://127.1.1.1:8080/v1/rental-core/tents/book "
        "-H 'Authorization: Bearer planner-key' "
        """-d '{"statement": {"op": "add", "key": "caidal-tent", "amount": 1}}'"""
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--work", type=Path, required=True)
    parser.add_argument("--only-setup", action="store_true")
    options = parser.parse_args()
    sys.exit(asyncio.run(run(options.work, options.only_setup)))
