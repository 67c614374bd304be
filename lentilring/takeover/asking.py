"""Asking the platform for a promotion until it is answered.

Failure: the platform executes some calls seconds late and does not answer them, while the service
has no primary. The same call executed twice has the effect of one.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from ..clock import Clock
from .authority import PromotionResult, PromotionService

# Ten times the round trip between regions, and longer than the answers of a slow platform.
PROMOTION_ANSWER_S = 0.5
PROMOTION_CALLS = 3
# Until the last call has been sent.
MAX_ASKING_S = PROMOTION_CALLS * PROMOTION_ANSWER_S
NOT_PROMOTED = frozenset({PromotionResult.REFUSED, PromotionResult.BUSY})


class RepeatedPromotion:
    """Ask for a promotion, again with the same token if an answer takes long."""

    def __init__(self, *, promotion: PromotionService, clock: Clock) -> None:
        self._promotion, self._clock = promotion, clock

    async def ask(
        self,
        *,
        service: str,
        server: str,
        holder: str,
        token: int,
        is_unchanged: Callable[[], Awaitable[bool]],
    ) -> PromotionResult:
        """Return the answer; a refusal counts only if no other call can still be executed.

        Calls are repeated while `is_unchanged` tells that the server has not started again.
        """
        calls: list[asyncio.Task[PromotionResult]] = []
        end = self._clock.monotonic() + MAX_ASKING_S
        try:
            while len(calls) < PROMOTION_CALLS and self._clock.monotonic() < end:
                if calls and not await is_unchanged():
                    await self._clock.sleep(PROMOTION_ANSWER_S)
                    continue
                call = self._promotion.promote(
                    service=service, server=server, holder=holder, token=token
                )
                calls.append(asyncio.ensure_future(call))
                if await _is_accepted(calls, timeout_s=PROMOTION_ANSWER_S):
                    return PromotionResult.ACCEPTED
                ended = [task.result() for task in calls if task.done()]
                if len(calls) == 1 and ended and ended[0] in NOT_PROMOTED:
                    return ended[0]
                if len(ended) == len(calls):
                    await self._clock.sleep(PROMOTION_ANSWER_S)
            is_accepted = await _is_accepted(calls, timeout_s=None)
            return PromotionResult.ACCEPTED if is_accepted else PromotionResult.UNKNOWN
        finally:
            for task in calls:
                task.cancel()


async def _is_accepted(
    calls: Sequence[asyncio.Task[PromotionResult]], *, timeout_s: float | None
) -> bool:
    """Wait until one call is accepted or all have ended; tell whether one is accepted."""
    loop, waiting = asyncio.get_running_loop(), set(calls)
    end = None if timeout_s is None else loop.time() + timeout_s
    while waiting:
        remaining_s = None if end is None else max(0.0, end - loop.time())
        ended, waiting = await asyncio.wait(
            waiting, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
        if any(call.result() is PromotionResult.ACCEPTED for call in ended):
            return True
        if not ended:
            break
    return False
