"""Coalescing of concurrent requests that carry the same idempotency key."""

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
    """Run only one of several identical concurrent requests and give its outcome to all."""

    def __init__(self) -> None:
        self._in_flight: dict[RequestKey, _InFlight] = {}

    async def run(
        self, key: RequestKey, content: str, execute: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Run `execute`, or wait for the outcome of the identical request that is running.

        Refuse a request that reuses a running request's key with other `content`.
        """
        if not key.idempotency_key:
            return await execute()
        running = self._in_flight.get(key)
        if running is not None:
            if running.content != content:
                return NotRun(reason=RefusalReason.IDEMPOTENCY_KEY_REUSED)
            return await asyncio.shield(running.outcome)
        entry = _InFlight(content=content, outcome=asyncio.get_running_loop().create_future())
        self._in_flight[key] = entry
        try:
            outcome = await execute()
        except BaseException as error:
            if not entry.outcome.done():
                entry.outcome.set_exception(error)
                # Marks the exception as retrieved, or asyncio logs it if nobody waits for it.
                entry.outcome.exception()
            raise
        else:
            entry.outcome.set_result(outcome)
            return outcome
        finally:
            del self._in_flight[key]
