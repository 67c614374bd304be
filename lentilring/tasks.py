"""Background tasks that go on after an unexpected error, and calls that callers share."""

import asyncio
from collections.abc import Callable, Coroutine, Hashable
from typing import Any, Generic, TypeVar

from .telemetry.log import Log
from .telemetry.metrics import Telemetry

RESTART_DELAY_S = 0.5

log = Log(source="tasks")

K = TypeVar("K", bound=Hashable)
T = TypeVar("T")


class SharedCalls(Generic[K, T]):
    """Let concurrent callers share one running call for each key.

    A call that has ended is never shared, also in the pass of the event loop in which it ends. Its
    result may be too old for a caller, and awaiting it again does not give control back.
    """

    def __init__(self) -> None:
        self._running: dict[K, asyncio.Task[T]] = {}

    def start(self, key: K, call: Callable[[], Coroutine[Any, Any, T]]) -> asyncio.Task[T]:
        """Return the running call of a key, or begin one."""
        task = self._running.get(key)
        if task is None or task.done():
            task = self._running[key] = asyncio.ensure_future(call())
            task.add_done_callback(lambda ended: self._forget(key, ended))
        return task

    async def join(self, key: K, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Wait for the running call of a key, or for one that begins now.

        The call goes on if this caller is cancelled.
        """
        return await asyncio.shield(self.start(key, call))

    def cancel(self) -> None:
        """Cancel all running calls."""
        for task in self._running.values():
            task.cancel()

    async def stop(self) -> None:
        """Cancel all running calls and wait until they have ended."""
        self.cancel()
        await asyncio.gather(*self._running.values(), return_exceptions=True)

    def _forget(self, key: K, ended: asyncio.Task[T]) -> None:
        if self._running.get(key) is ended:
            del self._running[key]


def start_task(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], *, telemetry: Telemetry
) -> asyncio.Task[None]:
    """Begin to run a coroutine function in the background; see `run_until_done`."""
    return asyncio.ensure_future(run_until_done(name, run, telemetry=telemetry))


async def run_until_done(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], *, telemetry: Telemetry
) -> None:
    """Run a coroutine function until it returns; run it again after an unexpected error."""
    while True:
        try:
            await run()
            return
        except Exception as error:
            telemetry.count("task_failures", task=name)
            log.error("task_failed", task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
