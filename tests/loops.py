"""Tests as coroutines: on a real loop with a generous limit, or on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from functools import wraps
from typing import Any, TypeVar

import testtools

from .virtual_time import run_virtual

E = TypeVar("E", bound=Exception)
Test = Callable[[Any], Coroutine[Any, Any, None]]

LIMIT_S = 60.0


class LoopTestCase(testtools.TestCase):
    """Close what a test pushed on `stack` when the test ends."""

    stack: AsyncExitStack

    async def expect(self, error: type[E], call: Awaitable[object]) -> E:
        """Return the failure of a call that must fail."""
        try:
            answer = await call
        except error as raised:
            return raised
        raise AssertionError(f"{answer} instead of {error.__name__}")


def on_loop(test: Test) -> Callable[[Any], None]:
    """Run a test on a new loop."""

    async def run(case: Any) -> None:
        async with AsyncExitStack() as case.stack, asyncio.timeout(LIMIT_S):
            await test(case)

    @wraps(test)
    def start(case: Any) -> None:
        asyncio.run(run(case))

    return start


def on_virtual_time(test: Test) -> Callable[[Any], None]:
    """Run a test on a loop whose clock jumps to the next timer."""

    @wraps(test)
    def start(case: Any) -> None:
        run_virtual(test(case))

    return start
