"""Open-loop arrivals: times are drawn in advance and never wait for answers."""

import heapq
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from .scenario import Account, Phase, Scenario


@dataclass(frozen=True, kw_only=True, order=True)
class Arrival:
    """Schedule one operation of an account, in seconds after the start."""

    time: float
    account: str
    phase: str


def schedule_arrivals(scenario: Scenario) -> Iterator[Arrival]:
    """Return the arrivals of all accounts in order of time."""
    streams = [
        _draw(account, scenario.phases, random.Random(f"{scenario.seed}/{account.name}"))
        for account in scenario.accounts
    ]
    return heapq.merge(*streams)


def _draw(account: Account, phases: Sequence[Phase], source: random.Random) -> Iterator[Arrival]:
    start = 0.0
    for phase in phases:
        end = start + phase.duration_s
        rate = account.offered_per_s * phase.factors.get(account.name, 1.0)
        time = start
        while rate > 0:
            time += source.expovariate(rate)
            if time >= end:
                break
            yield Arrival(time=time, account=account.name, phase=phase.name)
        start = end
