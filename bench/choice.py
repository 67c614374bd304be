"""Answer times of reads when many proxies choose servers by old reports, on simulated time.

Compares the estimates as they are (`exact`) with draws from their range (`drawn`).
"""

import asyncio
import statistics
from dataclasses import dataclass
from random import Random

from lentilring.catalog.model import ServerEntry, ServerRole
from lentilring.sessions.choice import (
    ProxyLocation,
    WaitEstimates,
    estimate_round_trip_s,
    rank_read_servers,
)
from tests.test_takeover import build_entry
from tests.virtual_time import run_virtual

PROXIES, SLOTS, RUN_S, SECONDS, SEEDS = 70, 5, 0.03, 12.0, 10
DOMAINS = ("a", "b", "c")
SERVERS = [
    build_entry("primary", role=ServerRole.PRIMARY, failure_domain="a"),
    build_entry("replica-b", failure_domain="b"),
    build_entry("replica-c", failure_domain="c"),
]


@dataclass(frozen=True, kw_only=True)
class Load:
    """Describe reads per second, how proxies are spread over domains, and what changes at 3 s."""

    name: str
    reads_per_s: float
    weights: tuple[int, int, int] = (1, 1, 1)
    one_region: bool = False
    burst_factor: float = 1.0
    slowdown: float = 1.0

    def is_disturbed(self, now: float) -> bool:
        return 3.0 < now < 9.0


LOADS = (
    Load(name="calm", reads_per_s=60),
    Load(name="even, high", reads_per_s=250),
    Load(name="most proxies near one replica, high", reads_per_s=300, weights=(1, 3, 1)),
    Load(name="the same in one region", reads_per_s=300, weights=(1, 3, 1), one_region=True),
    Load(name="burst of 2.5 times", reads_per_s=150, weights=(1, 3, 1), burst_factor=2.5),
    Load(name="one replica 5.5 times slower", reads_per_s=120, slowdown=5.5),
    Load(name="the same, high", reads_per_s=250, slowdown=5.5),
)


class Server:
    """Run reads in slots and report the wait of the next one."""

    def __init__(self, load: Load, entry: ServerEntry, random: Random) -> None:
        self._load, self._entry, self._random = load, entry, random
        self._slots = asyncio.Semaphore(SLOTS)
        self._present = 0

    def _run_s(self) -> float:
        now = asyncio.get_running_loop().time()
        is_slow = self._entry.id == "replica-b" and self._load.is_disturbed(now)
        return RUN_S * (self._load.slowdown if is_slow else 1.0)

    async def run(self) -> float:
        self._present += 1
        async with self._slots:
            await asyncio.sleep(self._random.expovariate(1 / self._run_s()))
        self._present -= 1
        ahead = self._present - SLOTS
        return 0.0 if ahead < 0 else (ahead + 0.5) * self._run_s() / SLOTS


async def play(load: Load, seed: int, *, drawn: bool) -> list[float]:
    """Return the answer times of all reads in milliseconds."""
    random, loop = Random(seed), asyncio.get_running_loop()
    regions = {domain: "r" if load.one_region else domain for domain in DOMAINS}
    servers = {entry.id: Server(load, entry, random) for entry in SERVERS}
    domains = random.choices(DOMAINS, weights=load.weights, k=PROXIES)
    proxies = [(domain, WaitEstimates(now=loop.time)) for domain in domains]
    times: list[float] = []

    async def read(domain: str, waits: WaitEstimates) -> None:
        began_at = loop.time()
        location = ProxyLocation(failure_domain=domain, region=regions[domain])

        def draw_wait_s(server: str) -> float:
            return waits.draw_wait_s(server, random)

        ranked = rank_read_servers(
            SERVERS,
            primary=SERVERS[0],
            location=location,
            region_of=lambda name: regions[name],
            is_usable=lambda server: True,
            wait_s=draw_wait_s if drawn else waits.wait_s,
        )
        round_trip_s = estimate_round_trip_s(location, ranked[0], lambda name: regions[name])
        await asyncio.sleep(round_trip_s / 2)
        wait_s = await servers[ranked[0].id].run()
        await asyncio.sleep(round_trip_s / 2)
        waits.record(ranked[0].id, wait_s)
        times.append((loop.time() - began_at) * 1000)

    running = set()
    while loop.time() < SECONDS:
        factor = load.burst_factor if load.is_disturbed(loop.time()) else 1.0
        await asyncio.sleep(random.expovariate(load.reads_per_s * factor))
        running.add(asyncio.ensure_future(read(*random.choice(proxies))))
    await asyncio.wait(running)
    return times


def main() -> None:
    """Print the mean, 95th and 99th percentile of each load, both ways."""
    for load in LOADS:
        print(load.name)
        for drawn in (False, True):
            times = [
                ms for seed in range(SEEDS) for ms in run_virtual(play(load, seed, drawn=drawn))
            ]
            hundredths = statistics.quantiles(times, n=100)
            mean, high, highest = statistics.mean(times), hundredths[94], hundredths[98]
            name = "drawn" if drawn else "exact"
            print(f"  {name}: mean {mean:.1f} ms, p95 {high:.0f} ms, p99 {highest:.0f} ms")


if __name__ == "__main__":
    main()
