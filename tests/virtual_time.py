"""An asyncio loop whose clock jumps to the next timer, so that tests do not wait."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from lentilring.clock import LoopClock

T = TypeVar("T")


class SuspensibleClock(LoopClock):
    """Read the loop's time; its boot clock also counts `suspended_s`."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def boottime(self) -> float:
        return self.monotonic() + self.suspended_s


class _JumpingSelector(selectors.SelectSelector):
    """Advance the loop's time instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise AssertionError("deadlock: no timer and no task is ready")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting in real time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on virtual time and cancel the tasks that it leaves running."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()
