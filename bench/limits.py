"""Measure wrongful refusals and over-admissions: `python -m bench.limits`."""

import argparse
import asyncio
import contextlib
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any
from unittest import mock

import logbook

from lentilring.limits import shares
from lentilring.limits.lender import Lender
from tests.limit_fleet import Fleet, make_account
from tests.virtual_time import run_virtual

RATES = (10, 20, 30, 50, 80, 120, 200, 300)
BURST_S = 0.5  # an account's burst in seconds of its rate
FAULT_AT_S = 10.0
RESTART_AFTER_S = 3.0
LIST_LAG_S = 5.0
PAUSE_S = 20.0
OUTAGE_S = 120.0

DESIGNS = ("chosen", "no borrowing", "lease 10 s", "one limiter")
SCENARIOS = ("even", "one proxy", "skew 5x", "restarted", "killed", "paused", "store down")


@dataclass(frozen=True, kw_only=True)
class Result:
    design: str
    scenario: str
    seed: int
    requests: int
    refused: int
    wrongful: int
    excess: float
    calls: int
    store_calls: int


@contextlib.contextmanager
def use_design(design: str) -> Iterator[None]:
    """Replace parts of the implementation by those of an alternative."""

    async def refuse_to_borrow(*args: Any) -> bool:
        return True

    with contextlib.ExitStack() as stack:
        if design == "no borrowing":
            stack.enter_context(mock.patch.object(Lender, "borrow", refuse_to_borrow))
        if design == "one limiter":
            stack.enter_context(mock.patch.object(shares, "count_shares", lambda burst, count: 1))
        for cached in (shares.choose_shares, shares.divide_limits):
            cached.cache_clear()
        yield


async def inject(fleet: Fleet, scenario: str) -> None:
    """Cause the fault of a scenario at the process that holds the most shares."""
    await asyncio.sleep(FAULT_AT_S)
    victim = fleet.find_busiest_holder()
    index = fleet.proxies.index(victim)
    if scenario == "restarted":
        victim.kill()
        await asyncio.sleep(RESTART_AFTER_S)
        await fleet.restart(index)
    elif scenario == "killed":
        victim.kill()
        fleet.call_later(LIST_LAG_S, fleet.remove_from_vm_list, victim.member)
    elif scenario == "paused":
        victim.pause()
        await asyncio.sleep(PAUSE_S)
        victim.resume()
    elif scenario == "store down":
        for proxy in fleet.proxies:
            proxy.store.down = True
        await asyncio.sleep(OUTAGE_S)
        for proxy in fleet.proxies:
            proxy.store.down = False


def count_wrongful(fleet: Fleet) -> int:
    """Count the refused requests that one ideal central bucket would have admitted."""
    wrongful = 0
    for name, arrivals in fleet.arrivals.items():
        account = fleet.accounts[name]
        level, last = account.burst, 0.0
        for time, admitted in sorted(arrivals):
            level = min(account.burst, level + (time - last) * account.rate_per_s)
            last = time
            if level >= 1:
                level -= 1
                wrongful += not admitted
    return wrongful


async def play(design: str, scenario: str, seed: int, seconds: float, load: float) -> Result:
    short = design == "lease 10 s"
    fleet = Fleet(
        accounts=[make_account(f"account-{rate}", rate, rate * BURST_S) for rate in RATES],
        seed=seed,
        lease_duration_s=10.0 if short else 1800.0,
        lease_margin_s=1.0 if short else 20.0,
        early_takeover=not short,
    )
    await fleet.start()
    calls, store_calls = fleet.network.calls, sum(fleet.table.calls.values())
    weights = [1.0] * 9
    if scenario == "one proxy":
        weights = [1.0] + [0.0] * 8
    elif scenario == "skew 5x":
        weights = [5.0] + [1.0] * 8
    if scenario == "store down":
        seconds = max(seconds, FAULT_AT_S + OUTAGE_S + 10)
    loads = [
        fleet.load(account.name, rate=account.rate_per_s * load, seconds=seconds, weights=weights)
        for account in fleet.accounts.values()
    ]
    await asyncio.gather(inject(fleet, scenario), *loads)
    await fleet.finish()
    return Result(
        design=design,
        scenario=scenario,
        seed=seed,
        requests=sum(map(len, fleet.arrivals.values())),
        refused=fleet.count_refused(),
        wrongful=count_wrongful(fleet),
        excess=max(0.0, fleet.find_excess()),
        calls=fleet.network.calls - calls,
        store_calls=sum(fleet.table.calls.values()) - store_calls,
    )


def measure(cell: tuple[str, str, int, float, float]) -> Result:
    design, scenario, seed, seconds, load = cell
    with logbook.NullHandler().applicationbound(), use_design(design):
        return run_virtual(play(design, scenario, seed, seconds, load))


def format_row(results: list[Result]) -> str:
    requests = sum(result.requests for result in results)
    wrongful = sum(result.wrongful for result in results)
    refused = sum(result.refused for result in results)
    return (
        f"{results[0].design:<13} {results[0].scenario:<11} {requests:>9} "
        f"{100 * refused / requests:>9.3f} {100 * wrongful / requests:>10.3f} "
        f"{max(result.excess for result in results):>10.3f} "
        f"{sum(result.calls for result in results) / requests:>10.2f} "
        f"{sum(result.store_calls for result in results) / len(results):>11.1f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--load", type=float, default=0.8, help="offered, as part of the rate")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--design", choices=DESIGNS, action="append")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    options = parser.parse_args()
    pairs = [(d, s) for d in options.design or DESIGNS for s in options.scenario or SCENARIOS]
    cells = [
        (design, scenario, seed, options.seconds, options.load)
        for design, scenario in pairs
        for seed in range(1, options.seeds + 1)
    ]
    print(
        f"{'design':<13} {'scenario':<11} {'requests':>9} {'refused %':>9} {'wrongful %':>10} "
        f"{'excess':>10} {'calls/req.':>10} {'store calls':>11}"
    )
    with ProcessPoolExecutor(options.processes) as pool:
        results = list(pool.map(measure, cells))
    for start in range(0, len(results), options.seeds):
        print(format_row(results[start : start + options.seeds]))


if __name__ == "__main__":
    main()
