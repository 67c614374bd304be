"""Case 3: a replica that missed acknowledged commits is promoted once the other copies are away."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parents[1] / "target/deps"), str(FOLDER.parent)]

from standins.database import Service  # noqa: E402
from standins.fleet import (  # noqa: E402
    TENANTS,
    ZONES,
    CannotRun,
    Client,
    Fleet,
    Record,
    build_manifest,
    is_troubled,
    play,
)

SETTLE_S = 6.0
# A replica receives nothing for 6 s, and the primary crashes meanwhile, as in the site file.
DEAF_S = 6.0
PRIMARY_DOWN_S = 10.0
OBSERVED_S = 18.0


async def write_on(
    fleet: Fleet, number: int, acknowledged: dict[str, float], end: float, record: Record
) -> None:
    """Save lists one after the other; reconnect after a close."""
    client: Client | None = None
    step = 0
    while time.monotonic() < end:
        step += 1
        request_id = f"w{number}x{step}"
        proxy = fleet.proxies[(number + step) % len(fleet.proxies)]
        try:
            if client is None:
                client = await Client.open(proxy.sessions, "checkout", list(TENANTS.values())[0])
            lines = await client.query(request_id, f"WRITE list{number} version{step}")
            if any(line.startswith("COMPLETE mac.") for line in lines):
                acknowledged[request_id] = time.monotonic()
                record.add(f"client {number} gets success for {request_id}: {lines}")
            else:
                record.add(f"client {number} gets no success for {request_id}: {lines}")
        except (EOFError, OSError, TimeoutError, CannotRun) as error:
            record.add(f"client {number}: {request_id} has no answer: {error!r}")
            client = None
        await asyncio.sleep(0.15)


async def scenario(record: Record) -> bool:
    """Tell whether every promoted instance had all acknowledged commits."""
    service = Service("lists", tuple(ZONES))
    fleet = Fleet(record=record, service=service)
    acknowledged: dict[str, float] = {}
    try:
        await fleet.start(build_manifest(service.name))
        await asyncio.sleep(SETTLE_S)
        end = time.monotonic() + OBSERVED_S
        writers = [
            asyncio.ensure_future(write_on(fleet, number, acknowledged, end, record))
            for number in range(4)
        ]
        await asyncio.sleep(1)
        primary, lost, deaf = service.instances
        if is_troubled():
            deaf.is_deaf = True
            service.note(f"replica {deaf.id} receives nothing from here on")
            await asyncio.sleep(0.6)
            service.note(f"replica {lost.id} is lost for good")
            await lost.crash()
            await asyncio.sleep(0.3)
            await primary.crash()
            await asyncio.sleep(DEAF_S - 0.9)
            deaf.is_deaf = False
            service.note(f"replica {deaf.id} can receive again")
            await asyncio.sleep(PRIMARY_DOWN_S - (DEAF_S - 0.9))
            service.rejoin(primary)
            await primary.start()
            fleet.register(primary)
            service.note(f"instance {primary.id} is back with its log, at {primary.received}")
        await asyncio.gather(*writers)
    finally:
        await fleet.stop()
    for at, note in service.notes:
        record.add(note, at=at)
    for run in service.runs:
        if not run.text.startswith(("BEGIN", "ROLLBACK", "STATUS")):
            record.add(
                f"instance {run.instance} gets {run.request_id} {run.text}: {run.result} "
                f"{run.position or ''}",
                at=run.at,
            )
    broken = 0
    for commit, promoted in service.lost:
        for request_id, text in commit.writes:
            if request_id in acknowledged:
                broken += 1
                record.add(
                    f"LOST: commit {commit.position} ({request_id} {text}) was acknowledged to its "
                    f"client and isn't in the log of {promoted}, which was promoted"
                )
    record.add(f"{len(acknowledged)} writes acknowledged, {broken} lost")
    if not acknowledged:
        raise RuntimeError("no write was acknowledged")
    return broken == 0


play(FOLDER, scenario)
