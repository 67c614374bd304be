"""Judgement of backend servers by the answers that their gateways receive.

Load: a server that fails a third or more of its statements while its health check reports it as
healthy.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from ..statements.model import Done, Failure, StatementOutcome
from .attempt import Attempt, is_commit
from .server import ServerLost

WINDOW_S = 2.0
MIN_ANSWERS = 8
# A server that fails 2% of its statements has two failures among eight answers every few minutes.
MIN_FAILURES = 3
# Below the share of statements, a third, that a failing server with a good health check fails.
BAD_SHARE = 0.25
GOOD_SHARE = 0.05
# A bad server gets about two answers a second, too few for a window of 2 s. One that fails 32%
# gives twelve answers without a failure once in 300.
RECOVERY_ANSWERS = 12
# A judgement without answers for this long may be about the past, because other proxies became the
# server's gateway.
JUDGEMENT_LIFETIME_S = 10.0
# A statement that was sent with less time left may time out at a good server.
MIN_TIMEOUT_S = 0.1
WRONG_ACCOUNT_SHARE = 0.8
MAX_ANSWERS = 512


@dataclass(frozen=True, kw_only=True)
class _Answer:
    at: float
    account: str
    has_failed: bool


@dataclass(frozen=True, kw_only=True)
class Judgement:
    """Hold a change of a server's judgement, with the answers that it is based on."""

    is_bad: bool
    failed_share: float
    answers: int


def shows_failure(
    attempt: Attempt, answer: StatementOutcome | ServerLost, *, took_s: float
) -> bool | None:
    """Tell whether an answer shows that its server fails; None if it shows nothing.

    Refusals such as "busy" and "behind" show load and lag, which other decisions handle. A commit
    that times out or whose outcome is uncertain waits for the replicas.
    """
    if isinstance(answer, ServerLost):
        if not answer.timed_out:
            return True
        return None if is_commit(attempt) or took_s < MIN_TIMEOUT_S else True
    if not attempt.was_sent:
        return None
    if isinstance(answer, Done):
        return False
    return True if answer.failure in (Failure.FAILED, Failure.TIMED_OUT) else None


class ServerJudge:
    """Judge one server by the share of failed answers among the recent ones."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._answers: deque[_Answer] = deque(maxlen=MAX_ANSWERS)
        self._bad_share: float | None = None
        self._answered_at = now()

    @property
    def bad_share(self) -> float | None:
        """Return the share of failed answers of a bad server, None for others."""
        has_lapsed = self._now() - self._answered_at > JUDGEMENT_LIFETIME_S
        return None if has_lapsed else self._bad_share

    def record(self, account: str, *, has_failed: bool) -> Judgement | None:
        """Add an answer; return the judgement if it changes with this answer."""
        now = self._now()
        self._bad_share, self._answered_at = self.bad_share, now
        self._answers.append(_Answer(at=now, account=account, has_failed=has_failed))
        kept = 0 if self._bad_share is None else RECOVERY_ANSWERS
        while len(self._answers) > kept and self._answers[0].at < now - WINDOW_S:
            self._answers.popleft()
        if self._bad_share is not None:
            return self._look_for_recovery(self._bad_share)
        return self._look_for_failure() if has_failed else None

    def _look_for_failure(self) -> Judgement | None:
        failures = sum(answer.has_failed for answer in self._answers)
        share, count = self._find_share(), len(self._answers)
        if count < MIN_ANSWERS or failures < MIN_FAILURES or share < BAD_SHARE:
            return None
        self._bad_share = share
        # Recovery shows only in the answers that follow.
        self._answers.clear()
        return Judgement(is_bad=True, failed_share=share, answers=count)

    def _look_for_recovery(self, known_share: float) -> Judgement | None:
        share, count = self._find_share(), len(self._answers)
        if count >= RECOVERY_ANSWERS and share <= GOOD_SHARE:
            self._bad_share = None
            return Judgement(is_bad=False, failed_share=share, answers=count)
        self._bad_share = share if count >= MIN_ANSWERS else known_share
        return None

    def _find_share(self) -> float:
        """Return the share of failed answers.

        An account whose statements nearly all fail is left out if others are known, because wrong
        statements fail at every server.
        """
        counts = Counter(answer.account for answer in self._answers)
        failures = Counter(answer.account for answer in self._answers if answer.has_failed)
        failed, total = failures.total(), len(self._answers)
        for account, count in failures.most_common(1):
            is_wrong = count >= MIN_FAILURES and count >= WRONG_ACCOUNT_SHARE * counts[account]
            if is_wrong and counts[account] < total:
                failed, total = failed - count, total - counts[account]
        return failed / total
