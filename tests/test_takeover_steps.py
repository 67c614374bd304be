"""Takeovers step by step: no acknowledged write is lost, whatever fails between two of the steps.

The seeds are fixed; `python -m tests.takeover_search` plays others.
"""

import pytest

from .takeover_guards import GUARDS, find_loss, play

SEEDS_PER_TEST = 80
MIN_PROMOTIONS = SEEDS_PER_TEST / 4
# Seeds in which a search for a loss may begin before the test gives up.
MAX_SEEDS = 150
# Seeds that lose writes by faults which are still open (KNOWN-RED.txt).
LATE_REGISTRATIONS = (104, 210, 263)
RESTARTED_SERVERS = (11, 23)
ADDED_SERVERS = (20, 92, 119)


@pytest.mark.parametrize("first_seed", range(0, 3 * SEEDS_PER_TEST, SEEDS_PER_TEST))
def test_no_acknowledged_write_is_lost(first_seed: int) -> None:
    """Guards against losses by crashes, cuts, freezes, lost calls and restarts of proxies."""
    worlds = {seed: play(seed) for seed in range(first_seed, first_seed + SEEDS_PER_TEST)}
    assert not [seed for seed, world in worlds.items() if world.lost]
    assert sum(world.promotions for world in worlds.values()) > MIN_PROMOTIONS


@pytest.mark.parametrize("name", GUARDS)
def test_each_guard_is_needed(name: str) -> None:
    """Guards against a model that cannot lose a write, whatever the product does."""
    assert find_loss(GUARDS[name], max_seeds=MAX_SEEDS) is not None


def test_copy_that_has_started_again_is_not_taken_for_the_recorded_one() -> None:
    """Guards against an old registration of a replica that is empty now (review/6)."""
    assert not [seed for seed in LATE_REGISTRATIONS if play(seed, registers_late=True).lost]


def test_promoted_server_that_has_started_again_is_not_asked_for_again() -> None:
    """Guards against a repeated call that promotes a server which has lost its log."""
    assert not [seed for seed in RESTARTED_SERVERS if play(seed).lost]


def test_copy_that_is_not_recorded_confirms_nothing() -> None:
    """Guards against a new replica that acknowledges while takeovers do not know it (review/1)."""
    assert not [seed for seed in ADDED_SERVERS if play(seed, adds_servers=True).lost]
