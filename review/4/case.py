"""Case 4: a statement whose data holds a line feed is cut there, and the rest runs as another."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parents[1] / "target/deps"), str(FOLDER.parent)]

from standins.database import Service  # noqa: E402
from standins.fleet import (  # noqa: E402
    TENANTS,
    ZONES,
    Client,
    Fleet,
    Record,
    build_manifest,
    is_troubled,
    play,
)

# One line each, ended by CR LF: the second to last field of a WRITE is the item, the last the data.
BREAK = "\n" if is_troubled() else ";"
STATEMENTS = {
    "5c0e7a21d94b36f8": f"WRITE list17 2 x grout{BREAK}1 x trowel",
    "91d2c3b4a5f60718": f"WRITE list18 tiles{BREAK}QUERY 0badc0de0badc0de WRITE list99 cancelled",
}


async def scenario(record: Record) -> bool:
    """Tell whether instances ran only statements that clients sent, with the text unchanged."""
    service = Service("lists", tuple(ZONES))
    fleet = Fleet(record=record, service=service)
    try:
        await fleet.start(build_manifest(service.name))
        for request_id, text in STATEMENTS.items():
            client = await Client.open(
                fleet.proxies[0].sessions, "checkout", TENANTS["planner"]
            )
            record.add(f"a client sends {f'QUERY {request_id} {text}'!r} and CR LF, nothing else")
            try:
                lines = await client.query(request_id, text)
                record.add(f"the client gets {lines}")
                more = await asyncio.wait_for(client.reader.read(4096), 1)
                record.add(f"and then, with no request outstanding, {more!r}")
            except (EOFError, OSError, TimeoutError) as error:
                record.add(f"nothing more: {error!r}")
            client.close()
        await asyncio.sleep(0.5)
    finally:
        await fleet.stop()
    broken = 0
    for run in service.runs:
        if run.request_id == "-":
            continue
        record.add(
            f"instance {run.instance} runs {run.request_id} {run.text!r}: {run.result}", at=run.at
        )
        if run.request_id not in STATEMENTS:
            broken += 1
            record.add(f"UNASKED: no client sent a request with the id {run.request_id}")
        elif run.text != STATEMENTS[run.request_id]:
            broken += 1
            record.add(f"UNASKED: the text of {run.request_id} was changed")
    record.add(f"items in the database: {service.items}")
    if not any(run.request_id in STATEMENTS for run in service.runs):
        raise RuntimeError("no statement reached an instance")
    return broken == 0


play(FOLDER, scenario)
