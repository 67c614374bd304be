"""Measures what faults do to membership and configuration: `python -m bench.faults`.

Nodes are in memory and on virtual time. Bytes include the transport's envelope, per node that runs.
A region that is cut off reaches neither the other regions nor the store.
"""

import asyncio
from collections import Counter

from lentilring.platform.store import Kind
from tests.fleet import Fleet, FleetNode, wait_until
from tests.virtual_time import run_virtual

from .membership import record_traffic

SIZES = (27, 81)
SETTLE_S = 15.0
STEADY_S = 10.0
CUT_S = 60.0
LIMIT_S = 60.0
TEMPLATE = {"name": "standard", "rate_per_s": 1, "burst": 1}


class Meter:
    """Print the traffic since the last row."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.totals: Counter[str] = Counter()
        record_traffic(fleet.nodes, self.totals)
        self.restart()

    def watch(self, node: FleetNode) -> None:
        """Count the messages of a node that was added later."""
        record_traffic([node], self.totals)

    def restart(self) -> None:
        self.began = asyncio.get_running_loop().time()
        self.before = Counter(self.totals)
        self.stores = self.fleet.table.calls.total()

    def print_row(self, title: str, *, nodes: int, note: str = "") -> None:
        elapsed_s = asyncio.get_running_loop().time() - self.began
        per_node = nodes * elapsed_s
        sent = self.totals["bytes"] - self.before["bytes"]
        calls = self.totals["calls"] - self.before["calls"]
        stores = self.fleet.table.calls.total() - self.stores
        print(
            f"{len(self.fleet.nodes):>5} {title:<34} {elapsed_s:>6.1f} {sent / per_node:>9.0f} "
            f"{calls / per_node:>8.2f} {stores:>8} {stores / elapsed_s:>8.1f}  {note}",
            flush=True,
        )
        self.restart()


def see_all(nodes: list[FleetNode], expected: set[str]) -> bool:
    return all(node.usable_vms() == expected for node in nodes)


async def start_together(size: int) -> None:
    """Start all nodes in one moment, with the configuration only in the store."""
    fleet = Fleet(size)
    fleet.table.put(Kind.TEMPLATE, "standard", TEMPLATE, 0)
    meter = Meter(fleet)
    everyone = {node.vm for node in fleet.nodes}
    starting = asyncio.ensure_future(fleet.start(settle_s=0.0))
    await asyncio.sleep(1)
    meter.print_row("all start, first second", nodes=size)
    await starting
    needed_s = await wait_until(lambda: see_all(fleet.nodes, everyone), limit_s=LIMIT_S)
    await asyncio.sleep(STEADY_S)
    meter.print_row("until 10 s after all are known", nodes=size, note=f"known {needed_s:.1f} s on")


async def inject_faults(size: int) -> None:
    """Change an object, restart a node, cut a region off and lose a failure domain."""
    fleet = Fleet(size)
    fleet.table.put(Kind.TEMPLATE, "standard", TEMPLATE, 0)
    await fleet.start(settle_s=SETTLE_S)
    everyone = {node.vm for node in fleet.nodes}
    meter = Meter(fleet)
    await asyncio.sleep(STEADY_S)
    meter.print_row("steady", nodes=size)

    changed = fleet.table.put(Kind.TEMPLATE, "standard", TEMPLATE, 1)
    needed_s = await wait_until(
        lambda: all(node.configuration.revision >= changed.revision for node in fleet.nodes),
        limit_s=LIMIT_S,
    )
    meter.print_row("change, until in force everywhere", nodes=size, note=f"after {needed_s:.2f} s")

    await fleet.nodes[1].kill()
    fleet.nodes[1] = fleet.add(1, incarnation=2)
    meter.watch(fleet.nodes[1])
    await fleet.nodes[1].start()
    await asyncio.sleep(STEADY_S)
    meter.print_row("one node restarts, 10 s", nodes=size)

    region = [node for index, node in enumerate(fleet.nodes) if index % 3 == 0]
    rest = [node for node in fleet.nodes if node not in region]
    fleet.split(region, rest)
    for node in region:
        node.store.down = True
    needed_s = await wait_until(lambda: see_all(rest, {node.vm for node in rest}), limit_s=LIMIT_S)
    meter.print_row("region cut off, until noticed", nodes=size, note=f"after {needed_s:.1f} s")
    await asyncio.sleep(CUT_S)
    fresh = sum(node.configuration.is_fresh() for node in region)
    meter.print_row(
        "region cut off, next minute", nodes=size, note=f"{fresh} of {len(region)} there are fresh"
    )
    fleet.network.heal()
    for node in region:
        node.store.down = False
    needed_s = await wait_until(lambda: see_all(fleet.nodes, everyone), limit_s=LIMIT_S)
    meter.print_row("region returns, until all known", nodes=size, note=f"after {needed_s:.1f} s")
    await asyncio.sleep(STEADY_S)
    meter.print_row("region has returned, next 10 s", nodes=size)

    lost = [node for index, node in enumerate(fleet.nodes) if index % 9 == 0]
    left = [node for node in fleet.nodes if node not in lost]
    for node in lost:
        await node.kill()
    needed_s = await wait_until(lambda: see_all(left, {node.vm for node in left}), limit_s=LIMIT_S)
    note = f"after {needed_s:.1f} s"
    meter.print_row("failure domain lost, until noticed", nodes=len(left), note=note)
    await asyncio.sleep(STEADY_S)
    meter.print_row("failure domain lost, next 10 s", nodes=len(left))


def main() -> None:
    columns = f"{'bytes/s':>9} {'calls/s':>8} {'store':>8} {'store/s':>8}"
    print(f"{'nodes':>5} {'phase':<34} {'s':>6} {columns}")
    for size in SIZES:
        run_virtual(start_together(size))
        run_virtual(inject_faults(size))


if __name__ == "__main__":
    main()
