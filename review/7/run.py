"""A replica that starts again while a promotion is under way; see claim.txt."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1] / "target" / "deps"), str(FOLDER.parent / "standins_2")]

from clients import Lost, Session  # noqa: E402
from deployment import (  # noqa: E402
    ZONES,
    Machine,
    Record,
    build_machines,
    build_manifest,
    choose_network,
    make_folder,
    run_case,
    wait_until_ready,
)
from platform_standin import Database, Instance, Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALM_S = 5.0
# The primary is dark for a moment (srv_crash, "dark primary"). The replica that is not promoted
# crashes as the promotion is asked for, and is back soon (srv_crash, "replica").
DARK_S, DOWN_S = 2.0, 0.4
# A promotion takes effect this long after the call, as in khaima-ops-large.toml.
PROMOTE_S = 1.0
PAUSE_BETWEEN_S = 8.0


async def main() -> int:
    record = Record(FOLDER / "record.txt")
    with make_folder() as folder:
        network = choose_network()
        store = Store(f"{network}.1")
        await store.start()
        zones = list(ZONES)
        databases = [
            Database(
                service=f"lists{index}",
                copies={f"i-{index}{zone[:2]}": zone for zone in zones},
                host=f"{network}.2",
                store=store,
                promote_s=PROMOTE_S,
            )
            for index in range(3)
        ]
        by_service = {database.service: database for database in databases}

        def promote(service: str, server: str) -> bool:
            if TROUBLE:
                restart_other(record, by_service[service], server)
            return by_service[service].promote(server)

        store.promote = promote
        store.put("config", "main", build_manifest([entry.service for entry in databases]))
        for database in databases:
            await database.start()
        machines = build_machines(network=network, store=store, folder=Path(folder), record=record)
        tasks = [asyncio.ensure_future(database.beat()) for database in databases]
        for machine in machines:
            machine.start()
        try:
            if not await wait_until_ready(machines, timeout_s=30):
                record.add("the machines did not get ready")
                return 2
            record.add("all machines are ready")
            return await play(record, machines, databases, tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*(machine.stop() for machine in machines))


async def play(record, machines, databases, tasks) -> int:
    acknowledged: dict[str, list[str]] = {}
    lost: list[str] = []

    def check(instance: Instance) -> None:
        database = instance.database
        held = {request for _, writes in instance.log for request in writes}
        missing = [entry for entry in acknowledged[database.service] if entry not in held]
        record.add(
            f"{instance.id} leads term {database.term}: {len(held)} commits in its log,"
            f" {len(missing)} acknowledged ones missing: {' '.join(missing[:8])}"
        )
        lost.extend(missing)

    for index, database in enumerate(databases):
        acknowledged[database.service] = []
        database.on_promoted = check
        for number in range(4):
            entry = machines[(index + number) % len(machines)]
            tasks.append(
                asyncio.ensure_future(
                    write(record, entry, index, number, acknowledged[database.service])
                )
            )
    await asyncio.sleep(CALM_S)
    for database in databases:
        if TROUBLE:
            await disturb(record, database)
        await asyncio.sleep(PAUSE_BETWEEN_S)
    record.add(f"acknowledged: {({name: len(ids) for name, ids in acknowledged.items()})}")
    record.add(f"promotions asked for: {len(databases[0].store.promotions)}")
    record.add(f"LOST is broken: {len(lost)} commits" if lost else "the rule held")
    return 1 if lost else 0


async def disturb(record: Record, database: Database) -> None:
    primary = database.leader
    primary.dark = True
    record.add(f"{primary.id} is dark at {primary.received}")
    await asyncio.sleep(DARK_S)
    primary.dark = False
    for writer in list(primary.writers):
        writer.transport.abort()
    record.add(f"{primary.id} is back")


restarted: set[str] = set()


def restart_other(record: Record, database: Database, promoted: str) -> None:
    """Let the other replica crash and start again, once for each database."""
    if database.service in restarted:
        return
    restarted.add(database.service)
    other = next(
        entry
        for entry in database.instances
        if entry.id != promoted and entry is not database.leader
    )
    other.crash()
    record.add(f"{promoted} is to be promoted; {other.id} crashes at {other.received}")
    asyncio.get_running_loop().create_task(start_again(record, other))


async def start_again(record: Record, instance: Instance) -> None:
    await asyncio.sleep(DOWN_S)
    await instance.start_empty()
    record.add(f"{instance.id} has started again, at {instance.received}")


async def write(record, entry: Machine, index: int, number: int, acknowledged: list[str]) -> None:
    """Write one item after another on a route to the primary."""
    sent = 0
    while True:
        await asyncio.sleep(0.2)
        try:
            session = await Session.open(entry.session, f"checkout{index}", "crewkey")
        except Lost:
            continue
        try:
            while True:
                await asyncio.sleep(random.uniform(0.1, 0.3))
                sent += 1
                request = f"w{index}.{number}.{sent}"
                answer = await session.query(request, f"WRITE item{number} data{sent}")
                record.add(f"{request} -> {answer.error or 'done'}")
                if not answer.error:
                    acknowledged.append(request)
        except Lost as error:
            record.add(f"w{index}.{number}.{sent} -> {error}")
        finally:
            session.close()


if __name__ == "__main__":
    random.seed(time.time_ns())
    sys.exit(run_case(main))
