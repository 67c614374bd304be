"""Case 5: a stop cuts statements of open transactions that it has passed on to an instance."""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parents[1] / "target/deps"), str(FOLDER.parent)]

from standins.database import Service  # noqa: E402
from standins.fleet import (  # noqa: E402
    BOUNDS,
    TENANTS,
    ZONES,
    Client,
    Fleet,
    Record,
    build_manifest,
    is_troubled,
    play,
)

SESSIONS = 20
# A transaction has up to 12 statements, with pauses between them.
STATEMENTS = 12
PAUSE_S = 0.6
# 22 ms of work for catalogue-browse and one round trip of 40 ms between geos, which loopback lacks.
WORK_S = 0.06
ROUTE_TIMEOUT_S = 2.0
SETTLE_S = 5.5
GRACE_S = BOUNDS["grace-s"]
EXCUSED_SENT_S = 3.0


@dataclass
class Sent:
    """Hold one statement that a client sent and how it ended."""

    request_id: str
    text: str
    sent_at: float
    ended_at: float = 0.0
    answer: str = ""


async def run_transaction(
    client: Client, number: int, record: Record, sent: list[Sent], delay_s: float
) -> None:
    """Run one transaction of up to 12 statements with pauses, as a client does."""
    texts = ["BEGIN"] + [
        f"WRITE item{number} data{step}" if step % 3 == 0 else f"READ item{number}"
        for step in range(STATEMENTS - 2)
    ]
    await asyncio.sleep(delay_s)
    for step, text in enumerate([*texts, "COMMIT"]):
        entry = Sent(request_id=f"c{number}s{step}", text=text, sent_at=time.monotonic())
        sent.append(entry)
        record.add(f"client {number} sends {entry.request_id} {text}", at=entry.sent_at)
        try:
            lines = await client.query(entry.request_id, text)
        except (EOFError, OSError) as error:
            entry.ended_at = time.monotonic()
            entry.answer = ""
            record.add(f"client {number}: connection ends, no answer to {entry.request_id}")
            return
        entry.ended_at, entry.answer = time.monotonic(), " / ".join(lines)
        record.add(f"client {number} gets {entry.request_id}: {entry.answer}")
        if any(line.startswith("ERROR") for line in lines):
            break
        await asyncio.sleep(PAUSE_S)
    client.close()


async def scenario(record: Record) -> bool:
    """Tell whether every statement that a stopping process passed on was answered."""
    service = Service("lists", tuple(ZONES), work_s=lambda text: WORK_S)
    fleet = Fleet(record=record, service=service)
    sent: list[Sent] = []
    try:
        await fleet.start(build_manifest(service.name))
        await asyncio.sleep(SETTLE_S)
        proxy = fleet.proxies[1]
        clients = [
            await Client.open(proxy.sessions, "projects", list(TENANTS.values())[number % 2])
            for number in range(SESSIONS)
        ]
        tasks = [
            asyncio.ensure_future(run_transaction(client, number, record, sent, 0.033 * number))
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(1.2)
        stopped_at = time.monotonic()
        if is_troubled():
            proxy.send(signal.SIGTERM)
            record.add(f"SIGTERM to {proxy.name}", at=stopped_at)
            assert proxy.process is not None
            await asyncio.wait_for(asyncio.to_thread(proxy.process.wait), GRACE_S)
            record.add(f"{proxy.name} has ended by itself")
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    passed_on = {run.request_id: run for run in service.runs}
    for run in service.runs:
        record.add(
            f"instance {run.instance} gets {run.request_id} {run.text} on connection "
            f"{run.connection}: {run.result}",
            at=run.at,
        )
    broken = 0
    for entry in sent:
        if entry.answer or entry.request_id not in passed_on:
            continue
        after_s = entry.sent_at - stopped_at
        excused = (
            not is_troubled()
            or after_s <= EXCUSED_SENT_S
            or entry.ended_at - entry.sent_at >= ROUTE_TIMEOUT_S
            or entry.ended_at - stopped_at > GRACE_S + 1
        )
        if is_troubled() and excused:
            continue
        broken += 1
        record.add(
            f"LOST: {entry.request_id} {entry.text}, sent {after_s:.3f} s after SIGTERM, passed on "
            f"to {passed_on[entry.request_id].instance}, connection ended without an answer "
            f"{entry.ended_at - entry.sent_at:.3f} s after it was sent"
        )
    unanswered = sum(not entry.answer for entry in sent)
    record.add(f"{len(sent)} statements sent, {unanswered} unanswered, {broken} break the rule")
    return broken == 0


play(FOLDER, scenario)
