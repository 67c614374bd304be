"""Measures how long a fleet takes to settle: `python -m bench.settle --size 243`.

All nodes start in one moment; the rows show the traffic of each interval after that, and then how
long a change takes to be in force everywhere. 790 nodes take several minutes of processor time.
"""

import asyncio

import typer

from lentilring.platform.store import Kind
from tests.fleet import Fleet, wait_until
from tests.virtual_time import run_virtual

from .faults import LIMIT_S, TEMPLATE, Meter

INTERVAL_S = 5.0


async def settle(size: int, intervals: int) -> None:
    """Start a fleet and print its traffic."""
    fleet = Fleet(size)
    fleet.table.put(Kind.TEMPLATE, "standard", TEMPLATE, 0)
    meter = Meter(fleet)
    starting = asyncio.ensure_future(fleet.start(settle_s=0.0))
    for index in range(intervals):
        await asyncio.sleep(INTERVAL_S)
        known = min(len(node.usable_vms()) for node in fleet.nodes)
        title = f"{index * INTERVAL_S:.0f} to {(index + 1) * INTERVAL_S:.0f} s after the start"
        meter.print_row(title, nodes=size, note=f"each knows {known} or more")
    await starting
    changed = fleet.table.put(Kind.TEMPLATE, "standard", TEMPLATE, 1)
    needed_s = await wait_until(
        lambda: all(node.configuration.revision >= changed.revision for node in fleet.nodes),
        limit_s=LIMIT_S,
    )
    meter.print_row("change, until in force everywhere", nodes=size, note=f"after {needed_s:.2f} s")
    await asyncio.sleep(INTERVAL_S)
    meter.print_row("5 s after the change", nodes=size)


def main(size: int = 243, intervals: int = 5) -> None:
    """Print one fleet's traffic."""
    columns = f"{'bytes/s':>9} {'calls/s':>8} {'store':>8} {'store/s':>8}"
    print(f"{'nodes':>5} {'phase':<34} {'s':>6} {columns}")
    run_virtual(settle(size, intervals))


if __name__ == "__main__":
    typer.run(main)
