"""How many statements a gateway has at a server that has just started or can be reached again.

Load: a server whose process is new, or that was unreachable, silent or refused work, meets all
statements that wait for it at once, while it runs them several times slower than usual. It is
given one statement first and more as it answers; docs/design/server-pace.md compares the
alternatives. Decisions depend only on the answers and on the times that are passed in.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from math import inf

from ..catalog.model import ServerEntry
from ..statements.model import Done, Failure, StatementOutcome

# A server's process counts as new for this long after its start or the appearance of its
# registration; the first statements usually follow within a second, longer in quiet services.
NEW_PROCESS_S = 10.0
# Registrations that a proxy reads within this time after the first ones belong to its first list.
FIRST_LIST_S = 1.0
# Up to this ratio to the usual time an answer is as fast as usual. A server with one slot and one
# waiting statement takes twice its usual time without being overloaded.
MAX_USUAL_RATIO = 2.0
# Answers above this ratio to the usual time are clearly slower.
MIN_SLOW_RATIO = 3.0
# Slow and single lost answers count only for this long after the server was reached. It is the
# length of the longest usual burst; what lasts longer is the server's own, not due to the start.
WEAK_EVIDENCE_S = 6.0
# A server is no longer paced once nothing has waited for its pace for this long; twice the
# patience of a statement with a latency target of a second.
CALM_S = 1.0
# After a refusal, one statement more than the server accepted is tried after this time, which
# doubles up to the maximum with each failed trial. At the maximum, a server that permanently
# refuses below its slots refuses one statement in 2 s for this.
MIN_HOLD_S = 0.5
MAX_HOLD_S = 2.0
# A single lost answer may be the fault of one connection.
MIN_LOST_ANSWERS = 2
# Weight of a new duration in the usual time, which doubles within 14 answers at most.
USUAL_WEIGHT = 0.05
# A longer duration counts as this multiple of the usual time, so that the answers that end a
# pause of the server do not pass for its usual time.
MAX_LEARNED_RATIO = 2.0
# Weight of a new average in the present slowness. With one half, the second answer of a server
# that has become slower by any factor is within MAX_USUAL_RATIO.
SLOWNESS_WEIGHT = 0.5
# Kinds of work come in messages of peers. A manifest has a few priorities, each with few kinds.
MAX_KINDS = 64


@unique
class PaceReason(StrEnum):
    """Name the reasons why a server is paced."""

    NEW_PROCESS = "new_process"
    UNREACHABLE = "unreachable"
    ANSWERS_LOST = "answers_lost"
    REFUSALS = "refusals"


@unique
class AnswerOutcome(StrEnum):
    """Say what an answer tells about a server's load; `OTHER` tells nothing."""

    RAN = "ran"
    REFUSED = "refused"
    LOST = "lost"
    OTHER = "other"


def classify_outcome(outcome: StatementOutcome) -> AnswerOutcome:
    """Return what a server's answer to a statement tells about its load."""
    if isinstance(outcome, Done):
        return AnswerOutcome.RAN
    if outcome.failure in (Failure.OVERLOADED, Failure.CONNECTIONS_EXHAUSTED):
        return AnswerOutcome.REFUSED
    return AnswerOutcome.OTHER


@dataclass(frozen=True, kw_only=True)
class ServerAnswer:
    """Describe one answer, or a lost one.

    `running` counts the statements at the server when the answer came, including this one;
    `waiting` those in the gateway's queue.
    """

    kind: Hashable
    duration_s: float
    outcome: AnswerOutcome
    running: int
    waiting: int


@dataclass(kw_only=True)
class _Round:
    """Collect the ratios of as many answers as the limit allowed at a time."""

    ratios: list[float] = field(default_factory=list)

    def is_complete(self, limit: int) -> bool:
        return len(self.ratios) >= limit

    def find_average(self) -> float:
        return sum(self.ratios) / len(self.ratios)


class ServerPace:
    """Determine how many statements may be at one server from how it answers."""

    def __init__(self, *, max_limit: int, is_enabled: bool = True) -> None:
        self.max_limit, self._is_enabled = max_limit, is_enabled
        self.limit = max_limit
        self.reason: PaceReason | None = None
        self._usual_s: dict[Hashable, float] = {}
        # The server's time for work without competition, relative to the usual time.
        self._slowness = 1.0
        self._round = _Round()
        self._weak_evidence_until = self._changed_at = self._answered_at = -inf
        self._held_back_at = -inf
        self._lost_answers = 0
        # The greatest number of statements that the server is known to accept after a refusal.
        self._ceiling = max_limit
        self._hold_s, self._hold_until = MIN_HOLD_S, -inf

    @property
    def is_paced(self) -> bool:
        """Tell whether the limit may be below its maximum."""
        return self.reason is not None

    @property
    def expected_limit(self) -> int:
        """Return the limit after a few good answers, as far as the server has answered at all."""
        if self.reason is PaceReason.ANSWERS_LOST and self._answered_at < self._changed_at:
            return self.limit
        return max(self.limit, self._ceiling)

    def begin(self, reason: PaceReason, now: float) -> None:
        """Start with one statement at a time."""
        if self._is_enabled:
            self._begin(reason, now, limit=1, ceiling=self.max_limit)

    def holds_back(self, running: int) -> bool:
        """Tell whether a further statement has to wait only because of the pace."""
        return self.limit <= running < self.max_limit

    def record_wait(self, now: float) -> None:
        """Take note of a statement that has to wait because of the pace."""
        self._held_back_at = now

    def record_proof(self, running: int) -> None:
        """Allow one statement more at a server that answers although those sent to it are lost.

        It answered outside of the slots, so it is back; the statements that were sent before may
        hold the limit until they time out.
        """
        if self.is_paced and self._answered_at < self._changed_at:
            self.limit = min(self.max_limit, max(self.limit, running + 1))

    def record_connection_refusal(self, now: float) -> None:
        """Reduce the limit of a paced server that accepts no further connection.

        In steady state only the pool of connections reacts: other users may hold the connections.
        """
        if self._has_weak_evidence(now):
            self._decrease(self.limit, now)

    def record_answer(self, answer: ServerAnswer, now: float) -> None:
        """Adapt the limit to one answer."""
        if not self._is_enabled:
            return
        sent_at = now - answer.duration_s
        if answer.waiting:
            self._held_back_at = now
        if answer.outcome is AnswerOutcome.LOST:
            self._record_lost_answer(answer, sent_at, now)
            return
        self._answered_at, self._lost_answers = now, 0
        if answer.outcome is AnswerOutcome.REFUSED:
            self._record_refusal(answer, sent_at, now)
        elif answer.outcome is AnswerOutcome.RAN:
            self._record_run(answer, sent_at, now)

    def _record_lost_answer(self, answer: ServerAnswer, sent_at: float, now: float) -> None:
        if sent_at >= self._answered_at:
            # The server answered nothing else in this time either.
            self._lost_answers += 1
            if self._lost_answers >= MIN_LOST_ANSWERS:
                self.begin(PaceReason.ANSWERS_LOST, now)
                return
        if self._has_weak_evidence(now) and sent_at >= self._changed_at:
            self._decrease(answer.running, now)

    def _record_refusal(self, answer: ServerAnswer, sent_at: float, now: float) -> None:
        """Halve the limit; grow again quickly up to what the server accepted, then slowly."""
        level = min(answer.running, self.max_limit)
        # A server that refuses the only statement tells nothing about how many it accepts.
        ceiling = max(1, level - 1) if level > 1 else self.max_limit
        if not self.is_paced:
            self._begin(PaceReason.REFUSALS, now, limit=max(1, level // 2), ceiling=ceiling)
        elif sent_at >= self._changed_at:
            was_trial = self.limit > self._ceiling
            self._hold_s = min(MAX_HOLD_S, 2 * self._hold_s) if was_trial else MIN_HOLD_S
            self._ceiling = ceiling
            self._decrease(level, now)
        else:
            return
        self._hold_until = now + self._hold_s

    def _record_run(self, answer: ServerAnswer, sent_at: float, now: float) -> None:
        if not self.is_paced:
            self._learn_usual_time(answer)
            return
        # Answers to earlier statements tell about another number of them.
        if sent_at < self._changed_at:
            return
        if now - self._held_back_at >= CALM_S:
            self._end()
            return
        # Fewer statements than allowed tell nothing about whether more could run.
        if answer.running < self.limit:
            return
        self._round.ratios.append(self._find_ratio(answer))
        if self._round.is_complete(self.limit):
            self._end_round(is_alone=answer.running == 1, now=now)

    def _end_round(self, *, is_alone: bool, now: float) -> None:
        average = self._round.find_average()
        self._round = _Round()
        ratio = average / self._slowness
        # A statement that is alone at the server takes the server's own time. An average below
        # that shows that the server has become faster.
        if is_alone or ratio < 1:
            self._slowness += SLOWNESS_WEIGHT * (average - self._slowness)
        if ratio <= MAX_USUAL_RATIO or now >= self._weak_evidence_until:
            self._increase(now)
        elif ratio >= MIN_SLOW_RATIO:
            self._decrease(self.limit, now)

    def _increase(self, now: float) -> None:
        if self.limit >= self.max_limit:
            self._end()
        elif self.limit < self._ceiling:
            self.limit = min(2 * self.limit, self._ceiling)
        elif self.limit > self._ceiling:
            self._ceiling, self._hold_s = self.limit, MIN_HOLD_S
            self.limit += 1
        elif now >= self._hold_until:
            self.limit += 1

    def _decrease(self, level: int, now: float) -> None:
        self.limit = max(1, min(self.limit, level) // 2)
        self._changed_at = now
        self._round = _Round()

    def _begin(self, reason: PaceReason, now: float, *, limit: int, ceiling: int) -> None:
        self.reason, self.limit, self._ceiling = reason, limit, ceiling
        self._hold_s, self._lost_answers, self._slowness = MIN_HOLD_S, 0, 1.0
        self._changed_at = self._held_back_at = now
        self._weak_evidence_until = now + WEAK_EVIDENCE_S
        self._round = _Round()

    def _end(self) -> None:
        self.reason, self.limit, self._ceiling = None, self.max_limit, self.max_limit

    def _has_weak_evidence(self, now: float) -> bool:
        return self.is_paced and now < self._weak_evidence_until

    def _find_ratio(self, answer: ServerAnswer) -> float:
        """Return the ratio of a duration to the usual time of its kind, which may be unknown."""
        usual_s = self._usual_s.get(answer.kind)
        if usual_s is None:
            if len(self._usual_s) < MAX_KINDS and answer.duration_s > 0:
                self._usual_s[answer.kind] = answer.duration_s / self._slowness
            return self._slowness
        return answer.duration_s / usual_s

    def _learn_usual_time(self, answer: ServerAnswer) -> None:
        usual_s = self._usual_s.get(answer.kind)
        if usual_s is None:
            self._find_ratio(answer)
            return
        learned_s = min(answer.duration_s, MAX_LEARNED_RATIO * usual_s)
        self._usual_s[answer.kind] = usual_s + USUAL_WEIGHT * (learned_s - usual_s)


class ProcessStarts:
    """Tell which registered servers have a new process.

    Load: all callers turn to a server as soon as it registers. The time of its start is compared
    with this VM's wall clock, which covers proxies that started later than the server; the
    appearance of its registration covers wall clocks that differ.
    """

    def __init__(self) -> None:
        self._first_seen_at: float | None = None
        self._appeared_at: dict[tuple[str, int], float] = {}

    def update(self, entries: dict[str, ServerEntry], now: float) -> None:
        """Take note of registrations that appeared since the last call."""
        if not entries:
            return
        if self._first_seen_at is None:
            self._first_seen_at = now
        in_first_list = now - self._first_seen_at < FIRST_LIST_S
        known = self._appeared_at
        self._appeared_at = {
            key: known.get(key, -inf if in_first_list else now)
            for key in ((entry.id, entry.started_ms) for entry in entries.values())
        }

    def is_new(self, entry: ServerEntry, *, now: float, wall_s: float) -> bool:
        """Tell whether a server's process started within the last `NEW_PROCESS_S`."""
        appeared_at = self._appeared_at.get((entry.id, entry.started_ms), -inf)
        age_s = min(abs(wall_s - entry.started_ms / 1000), now - appeared_at)
        return age_s < NEW_PROCESS_S
