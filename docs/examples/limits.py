"""Use a lease and a token bucket on their own: `python docs/examples/limits.py`."""

import asyncio
from random import Random

from lentilring.clock import SystemClock
from lentilring.limits.bucket import TokenBucket
from lentilring.limits.lease import Lease
from lentilring.standin.objects import LocalStore, ObjectTable


def make_lease(store: LocalStore, vm: str) -> Lease:
    """Return one process's view of a lease of 0.2 s."""
    return Lease(
        store=store,
        clock=SystemClock(),
        random=Random(),
        kind="share",
        name="example",
        vm=vm,
        incarnation=1,
        is_gone=lambda vm, incarnation: False,
        duration_s=0.2,
        margin_s=0.01,
    )


async def show_lease() -> None:
    """Pass a lease from a process that stops renewing to another one."""
    store = LocalStore(table=ObjectTable())
    first, second = make_lease(store, "vm1"), make_lease(store, "vm2")
    print("vm1:", await first.acquire())
    print("vm2:", await second.acquire())
    while await second.acquire() != "acquired":
        await asyncio.sleep(0.02)
    print("vm2: acquired; vm1 holds it:", first.is_held())


async def show_bucket() -> None:
    """Lend tokens, then take back those that were not used."""
    bucket = TokenBucket(clock=SystemClock(), rate_per_s=100.0, burst=5.0)
    await asyncio.sleep(0.1)
    print("lent:", bucket.lend(1, 5.0), "outstanding:", bucket.outstanding)
    bucket.report(1, used=3.0, returned=2.0)
    print("outstanding:", bucket.outstanding, "level at least 2:", bucket.level >= 2.0)


async def main() -> None:
    """Run both parts."""
    await show_lease()
    await show_bucket()


if __name__ == "__main__":
    asyncio.run(main())
