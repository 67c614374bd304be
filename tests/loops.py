"""Run test coroutines on a real event loop with a time limit, or on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from functools import wraps
from typing import Any, TypeVar

import testtools

from .virtual_time import run_virtual

E = TypeVar("E", bound=Exception)
Test = Callable[[Any], Coroutine[Any, Any, None]]

TEST_TIMEOUT_S = 60.0


class LoopTestCase(testtools.TestCase):
    """Test case whose `stack` closes at the end of a test what the test entered into it."""

    stack: AsyncExitStack

    async def expect(self, error: type[E], call: Awaitable[object]) -> E:
        """Return the error of a call that must raise it; fail if it returns an answer."""
        try:
            answer = await call
        except error as raised:
            return raised
        raise AssertionError(f"{answer} instead of {error.__name__}")


def on_loop(test: Test) -> Callable[[Any], None]:
    """Run a test coroutine on a new event loop, for at most `TEST_TIMEOUT_S`."""

    async def run(case: Any) -> None:
        async with AsyncExitStack() as case.stack, asyncio.timeout(TEST_TIMEOUT_S):
            await test(case)

    @wraps(test)
    def start(case: Any) -> None:
        asyncio.run(run(case))

    return start


def on_virtual_time(test: Test) -> Callable[[Any], None]:
    """Run a test coroutine on virtual time, where the clock jumps to the next timer."""

    @wraps(test)
    def start(case: Any) -> None:
        run_virtual(test(case))

    return start
