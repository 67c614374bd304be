"""Background tasks that go on after an unexpected error."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from .telemetry.log import Log
from .telemetry.metrics import Telemetry

RESTART_DELAY_S = 0.5

log = Log(source="tasks")


def start_task(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], *, telemetry: Telemetry
) -> asyncio.Task[None]:
    """Run a coroutine function until it returns; run it again after an unexpected error."""
    return asyncio.ensure_future(_run_until_done(name, run, telemetry))


async def _run_until_done(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], telemetry: Telemetry
) -> None:
    while True:
        try:
            await run()
            return
        except Exception as error:
            telemetry.count("task_failures", task=name)
            log.error("task_failed", task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
