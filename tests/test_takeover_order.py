"""Takeovers beside other work on the same service, in the model of takeovers."""

import asyncio

import logbook
import pytest

from .takeover_faults import TakeoverScene
from .virtual_time import run_virtual

# Takeovers and records of copies may begin 2.5 s after the start.
DRAIN_AT_S = 1.0
FAIL_AT_S = 5.0
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


def play_failing_primary(seed: int, *, is_dark: bool) -> list[str]:
    """Let the primary fail for good; return the takeovers of the next one, as logged."""
    scene = TakeoverScene(seed=seed)
    failed = scene.world.leader

    async def play() -> None:
        scene.start()
        await asyncio.sleep(FAIL_AT_S)
        if is_dark:
            scene.world.dark.add(failed.id)
        else:
            scene.world.crash(failed, for_s=2 * END_S)
        await asyncio.sleep(END_S)
        scene.stop()

    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_virtual(play())
    assert scene.world.leader is not failed
    begun = [line for line in handler.formatted_records if "takeover_begun" in line]
    return [line for line in begun if f"primary={failed.id} " not in line]


@pytest.mark.parametrize("is_dark", [False, True])
def test_new_primary_is_not_replaced_for_the_silence_of_the_old_one(is_dark: bool) -> None:
    """Guards against a takeover that stops the replicas of a primary which serves."""
    assert not [line for seed in SEEDS for line in play_failing_primary(seed, is_dark=is_dark)]


def test_takeover_of_a_leaving_primary_waits_for_the_record_of_the_copies() -> None:
    """Guards against a takeover that begins again because its own proxy changed the record."""
    left = [
        line for seed in SEEDS for line in play_leaving_primary(seed) if "takeover_left" in line
    ]
    assert not [line for line in left if "changed the record" in line]
