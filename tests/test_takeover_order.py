"""Takeovers beside other work on the same service, in the model of takeovers."""

import asyncio

import logbook

from .takeover_faults import TakeoverScene
from .virtual_time import run_virtual

# Takeovers and records of copies may begin 2.5 s after the start.
DRAIN_AT_S = 1.0
END_S = 7.0
SEEDS = range(10)


def play_leaving_primary(seed: int) -> list[str]:
    """Let the primary leave right after the start; return the lines of the log."""
    scene = TakeoverScene(seed=seed)

    async def play() -> None:
        scene.start()
        await asyncio.sleep(DRAIN_AT_S)
        scene.world.leader.is_draining = True
        await asyncio.sleep(END_S - DRAIN_AT_S)
        scene.stop()

    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_virtual(play())
    assert scene.world.promotions
    return handler.formatted_records


def test_takeover_of_a_leaving_primary_waits_for_the_record_of_the_copies() -> None:
    """Guards against a takeover that begins again because its own proxy changed the record."""
    left = [
        line for seed in SEEDS for line in play_leaving_primary(seed) if "takeover_left" in line
    ]
    assert not [line for line in left if "changed the record" in line]
