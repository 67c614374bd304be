"""Repeated calls for one promotion: which answer counts."""

import asyncio
from collections.abc import Sequence

from testtools import TestCase

from lentilring.clock import LoopClock
from lentilring.takeover.asking import RepeatedPromotion
from lentilring.takeover.authority import PromotionResult

from .virtual_time import run_virtual


class FakePlatform:
    """Answer each call after a time; None stands for a call without an answer."""

    def __init__(self, *answers: PromotionResult | None) -> None:
        self._answers, self.tokens = list(answers), []

    async def promote(
        self, *, service: str, server: str, holder: str, token: int
    ) -> PromotionResult:
        self.tokens.append(token)
        answer = self._answers.pop(0)
        await asyncio.sleep(0.02 if answer else 1.5)
        return answer or PromotionResult.UNKNOWN


def ask(
    *answers: PromotionResult | None, checks: Sequence[bool] = ()
) -> tuple[PromotionResult, int]:
    """Ask with these answers of the platform; the server is unchanged after all `checks`."""
    platform, remaining = FakePlatform(*answers), iter(checks)

    async def is_unchanged() -> bool:
        return next(remaining, True)

    promotion = RepeatedPromotion(promotion=platform, clock=LoopClock())
    result = run_virtual(
        promotion.ask(service="s", server="i", holder="vm", token=7, is_unchanged=is_unchanged)
    )
    assert set(platform.tokens) == {7}
    return result, len(platform.tokens)


class RepeatedPromotionTest(TestCase):
    def test_answered_call_is_not_repeated(self) -> None:
        """Guards against more calls than needed."""
        for answer in (PromotionResult.ACCEPTED, PromotionResult.REFUSED, PromotionResult.BUSY):
            self.assertEqual((answer, 1), ask(answer))

    def test_call_after_an_unanswered_one_counts(self) -> None:
        """Guards against waiting for an answer that was lost."""
        self.assertEqual((PromotionResult.ACCEPTED, 2), ask(None, PromotionResult.ACCEPTED))

    def test_refusal_after_an_unanswered_call_leaves_the_result_open(self) -> None:
        """Guards against resuming replicas while an earlier call may still be executed."""
        answers = (None, PromotionResult.BUSY, PromotionResult.REFUSED)
        self.assertEqual((PromotionResult.UNKNOWN, 3), ask(*answers))

    def test_server_that_has_started_again_is_not_asked_for_again(self) -> None:
        """Guards against a repeated call that makes an empty server the primary."""
        answers = (None, PromotionResult.ACCEPTED)
        self.assertEqual((PromotionResult.UNKNOWN, 1), ask(*answers, checks=[False] * 10))

    def test_server_without_an_answer_is_looked_at_again(self) -> None:
        """Guards against one lost status that ends the calls."""
        answers = (None, PromotionResult.ACCEPTED)
        self.assertEqual((PromotionResult.ACCEPTED, 2), ask(*answers, checks=[False]))
