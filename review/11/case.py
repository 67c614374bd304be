"""A replica starts again behind a cut from the store, and the primary crashes."""

import asyncio
import os
from pathlib import Path

from scene import BROKEN, HELD, NOT_RUN, Client, Machine, Record, run_case, run_deployment
from lentilring.soak.deployment import SoakDeployment

# 0: no disruption; registered: the replica is not cut from the store.
TROUBLE = os.environ.get("TROUBLE", "1")
KEY = "planner-key-1"
# srv_crash of the site file: 7 s; the primary is back sooner.
PRIMARY_DOWN_S = 6.0
record = Record(Path(__file__).parent)


async def connect_directly(deployment: SoakDeployment) -> None:
    """Register the servers at their own addresses, where a crashed one refuses connections."""
    for server in deployment.group.servers:
        deployment.server_links[server.id].address = server.address
    deployment.register_all()
    await asyncio.sleep(3.0)


async def write(machine: Machine, request_id: str) -> bool:
    """Write one item; tell whether the write was acknowledged."""
    try:
        client = await Client.open(machine.address, f"booking {KEY}")
        answer = await client.query(request_id, f"WRITE item-{request_id} data")
        client.close()
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer = [repr(error)]
    record.add(f"{machine.name} answered write {request_id}: {answer}")
    return answer[0].startswith("COMPLETE")


async def play() -> int:
    async with run_deployment(record) as (deployment, machines):
        await connect_directly(deployment)
        group = deployment.group
        primary, reborn, deaf = group.servers
        if not await write(machines[1], "before"):
            return NOT_RUN
        if TROUBLE != "0":
            deaf.faults.receives_nothing = True
            record.add(f"{deaf.id} receives nothing")
        acked = await write(machines[1], "acked")
        record.add("received: " + ", ".join(f"{e.id} {e.received}" for e in group.servers))
        if TROUBLE != "0":
            port = int(primary.address.rpartition(":")[2])
            await primary.stop()
            record.add(f"{primary.id} has crashed")
            # There is no primary to receive from until one is promoted.
            reborn.faults.receives_nothing = True
            group.restart_empty(reborn)
            record.add(f"{reborn.id} has crashed and started again: received {reborn.received}")
            if TROUBLE == "registered":
                deployment.register(reborn)
                record.add(f"{reborn.id} has registered with its new start time")
        end = asyncio.get_running_loop().time() + PRIMARY_DOWN_S
        while not deployment.store.promotions and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        record.add(f"promotions asked for: {deployment.store.promotions}")
        lost = [entry for entry in group.rolled_back if "acked" in entry.writes]
        record.add(
            f"rolled back: {[(entry.position, entry.writes) for entry in group.rolled_back]}"
        )
        deaf.faults.receives_nothing = reborn.faults.receives_nothing = False
        if TROUBLE != "0":
            await primary.start(port=port)
            deployment.register_all()
            record.add(f"{primary.id} is back with its log")
            await asyncio.sleep(4.0)
        record.add(f"primary: {'none' if group.leader is None else group.leader.id}")
        await write(machines[2], "after")
        if not acked:
            record.add("the write was not acknowledged, so the case says nothing")
            return NOT_RUN
        record.add("BROKEN" if lost else "held")
        return BROKEN if lost else HELD


run_case(play())
