"""Guards of takeovers, of the record and of acknowledgements, which the model removes in turn."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from lentilring.catalog.service import CatalogService
from lentilring.takeover import counting, upkeep
from lentilring.takeover.copies import RecordedCopies
from lentilring.takeover.service import TakeoverService

from .takeover_faults import TakeoverScene
from .takeover_world import World
from .virtual_time import run_virtual


@dataclass(frozen=True, kw_only=True)
class Guard:
    """Name a function of the product that is a guard, and what stands in for it without."""

    owner: Any
    function: str
    substitute: Callable[..., Any]
    # A search for a loss begins here.
    first_seed: int


def play(seed: int, **options: bool) -> World:
    """Play a seed and return the world after it."""
    scene = TakeoverScene(seed=seed, **options)
    run_virtual(scene.play())
    return scene.world


def find_loss(guard: Guard, *, max_seeds: int) -> int | None:
    """Return the first seed that loses a write without a guard, None if none does."""
    with remove_guard(guard):
        for seed in range(guard.first_seed, guard.first_seed + max_seeds):
            if play(seed).lost:
                return seed
    return None


@contextmanager
def remove_guard(guard: Guard) -> Iterator[None]:
    """Play without a guard."""
    with mock.patch.object(guard.owner, guard.function, guard.substitute):
        yield


_find_unheard = RecordedCopies.find_unheard


def _ignore_starts(copies: RecordedCopies, heard: dict[str, int], **named: Any) -> tuple[str, ...]:
    started_ms = {server: copies.started_ms.get(server, 0) for server in heard}
    return _find_unheard(copies, started_ms, **named)


async def _return_true(*values: Any, **named: Any) -> bool:
    return True


async def _do_nothing(*values: Any, **named: Any) -> None:
    return None


GUARDS = {
    "copies that are away": Guard(
        owner=RecordedCopies,
        function="find_unheard",
        substitute=lambda *values, **named: (),
        first_seed=2,
    ),
    "copies that started again": Guard(
        owner=RecordedCopies, function="find_unheard", substitute=_ignore_starts, first_seed=2
    ),
    "copies that are dropped": Guard(
        owner=upkeep,
        function="has_received",
        substitute=lambda *values, **named: True,
        first_seed=36,
    ),
    "replicas that count": Guard(
        owner=counting,
        function="is_counted",
        substitute=lambda *values, **named: True,
        first_seed=86,
    ),
    "last check": Guard(
        owner=TakeoverService, function="_is_still_paused", substitute=_return_true, first_seed=83
    ),
    "repeated calls": Guard(
        owner=TakeoverService, function="_has_kept_log", substitute=_return_true, first_seed=11
    ),
    "registrations from the store": Guard(
        owner=CatalogService, function="refresh_servers", substitute=_do_nothing, first_seed=296
    ),
}
