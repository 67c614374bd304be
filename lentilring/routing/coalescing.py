"""Joins requests of one client account that carry the same idempotency key."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..outcomes import NotRun, Outcome, RefusalReason


@dataclass(frozen=True, kw_only=True)
class RequestKey:
    """Identify a request by its account, database and idempotency key."""

    client_account: str
    group: str
    idempotency_key: str


@dataclass(frozen=True, kw_only=True)
class _InFlight:
    content: str
    outcome: "asyncio.Future[Outcome]"


class Coalescer:
    """Run one of several equal requests and give its outcome to all."""

    def __init__(self) -> None:
        self._in_flight: dict[RequestKey, _InFlight] = {}

    async def run(
        self, key: RequestKey, content: str, work: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Run the work, or wait for the outcome of the same request that runs already."""
        if not key.idempotency_key:
            return await work()
        running = self._in_flight.get(key)
        if running is not None:
            if running.content != content:
                return NotRun(reason=RefusalReason.IDEMPOTENCY_KEY_REUSED)
            return await asyncio.shield(running.outcome)
        entry = _InFlight(content=content, outcome=asyncio.get_running_loop().create_future())
        self._in_flight[key] = entry
        try:
            outcome = await work()
        except BaseException as error:
            if not entry.outcome.done():
                entry.outcome.set_exception(error)
                entry.outcome.exception()
            raise
        else:
            entry.outcome.set_result(outcome)
            return outcome
        finally:
            del self._in_flight[key]
