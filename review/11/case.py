"""A primary crashes shortly after a new replica has joined, and one machine's watch is silent."""

import asyncio
import os
from pathlib import Path

from scene import BROKEN, HELD, NOT_RUN, Client, Machine, Record, run_case, run_deployment
from lentilring.soak.deployment import SoakDeployment
from lentilring.soak.relay import LinkFault, Relay
from lentilring.standin.prepared.servers import StandinServer
from silence import make_silent

# 0: no disruption; crash: only the silent connections are left out.
TROUBLE = os.environ.get("TROUBLE", "1")
KEY = "planner-key-1"
TAKEOVER_S = 12.0
record = Record(Path(__file__).parent)


async def connect_directly(deployment: SoakDeployment) -> None:
    """Register the servers at their own addresses, where a crashed one refuses connections."""
    for server in deployment.group.servers:
        deployment.server_links[server.id].address = server.address
    deployment.register_all()
    await asyncio.sleep(2.0)


async def add_replica(deployment: SoakDeployment) -> StandinServer:
    """Start the new replica of a release, in the zone of the primary, and register it."""
    group = deployment.group
    replica = StandinServer(id="i-rental-3", zone="casa-a", group=group)
    await replica.start()
    replica.received = group.servers[0].received
    group.servers.append(replica)
    group.catch_up(replica)
    link = deployment.server_links[replica.id] = Relay(host="127.0.0.1")
    link.address = replica.address
    deployment.register(replica)
    return replica


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
        make_silent(deployment.proxies[0].store_link)
        await connect_directly(deployment)
        await asyncio.sleep(9.0)
        group = deployment.group
        primary, *replicas = group.servers
        if not await write(machines[1], "before"):
            return NOT_RUN
        if TROUBLE == "1":
            deployment.proxies[0].store_link.begin(LinkFault.SILENCE_OPEN)
            record.add("vm-0's open connections to the store are silent, new ones work")
        added = await add_replica(deployment)
        record.add(f"{added.id} is registered, received {added.received}")
        await asyncio.sleep(0.1)
        if TROUBLE != "0":
            for replica in replicas:
                replica.faults.receives_nothing = True
            record.add(f"{', '.join(entry.id for entry in replicas)} receive nothing")
        acked = await write(machines[1], "acked")
        record.add("received: " + ", ".join(f"{e.id} {e.received}" for e in group.servers))
        if TROUBLE != "0":
            await primary.stop()
            record.add(f"{primary.id} has crashed")
        end = asyncio.get_running_loop().time() + TAKEOVER_S
        while not deployment.store.promotions and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        for replica in replicas:
            replica.faults.receives_nothing = False
        await asyncio.sleep(1.0)
        record.add(f"promotions asked for: {deployment.store.promotions}")
        record.add(f"primary: {'none' if group.leader is None else group.leader.id}")
        lost = [entry for entry in group.rolled_back if "acked" in entry.writes]
        record.add(
            f"rolled back: {[(entry.position, entry.writes) for entry in group.rolled_back]}"
        )
        await write(machines[2], "after")
        if not acked:
            record.add("the write was not acknowledged, so the case says nothing")
            return NOT_RUN
        record.add("BROKEN" if lost else "held")
        return BROKEN if lost else HELD


run_case(play())
