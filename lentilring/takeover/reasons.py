"""Reasons to replace a service's primary, and when to act on them."""

import math
from dataclasses import dataclass
from enum import StrEnum, unique

from .authority import PromotionIntent

# Two missed proofs. A slow server still proves its leadership, since that takes no slot.
MAX_PROOF_AGE_S = 0.6
# How long an unplanned reason must last before a takeover. A primary that was never proved gets
# more time, since a process that just started knows little.
MIN_PERSISTENCE_S = 0.3
MIN_UNPROVED_PERSISTENCE_S = 2.0
# If writes time out for this long while proofs succeed, the primary has lost its replicas.
MAX_COMMIT_SILENCE_S = 1.6
# Each later supervisor waits this much longer, so that the first one acts alone. A takeover from an
# unreachable primary takes less time.
RANK_DELAY_S = 2.5
# A promotion takes 0.3 to 1 s, and its proxy waits 2.5 s for the new primary. A second takeover in
# that time would pause the replicas that the new primary needs.
MAX_PROMOTION_S = 2.5


@unique
class ReplacementReason(StrEnum):
    """Name the reasons to replace a primary."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    MISSING = "missing"
    SILENT = "silent"
    CANNOT_COMMIT = "cannot_commit"


PLANNED = frozenset({ReplacementReason.LEAVING, ReplacementReason.EVACUATED})


@dataclass(frozen=True, kw_only=True)
class PrimaryObservation:
    """Hold what a supervisor knows of a primary; `proof_age_s` is None if it was never proved."""

    is_registered: bool
    is_draining: bool
    is_evacuated: bool
    proof_age_s: float | None
    commit_silence_s: float


def find_replacement_reason(observation: PrimaryObservation) -> ReplacementReason | None:
    """Return why a primary should be replaced, or None."""
    if not observation.is_registered:
        return ReplacementReason.MISSING
    if observation.is_draining:
        return ReplacementReason.LEAVING
    if observation.is_evacuated:
        return ReplacementReason.EVACUATED
    if observation.proof_age_s is None or observation.proof_age_s > MAX_PROOF_AGE_S:
        return ReplacementReason.SILENT
    return (
        ReplacementReason.CANNOT_COMMIT
        if observation.commit_silence_s > MAX_COMMIT_SILENCE_S
        else None
    )


class ReplacementWatch:
    """Track for how long there has been a reason to replace a service's primary."""

    def __init__(self) -> None:
        self._reason: ReplacementReason | None = None
        self._since = 0.0

    def update(self, reason: ReplacementReason | None, now: float) -> None:
        """Record the present reason, None without one."""
        if reason is None:
            self._reason = None
        elif self._reason is None:
            self._reason, self._since = reason, now
        elif self._reason in PLANNED or reason not in PLANNED:
            self._reason = reason
        else:
            self._reason, self._since = reason, now

    def is_due(self, *, rank: int, was_proved: bool, now: float) -> bool:
        """Tell whether the supervisor of a rank may start a takeover."""
        if self._reason is None:
            return False
        patience_s = rank * RANK_DELAY_S
        if self._reason not in PLANNED:
            patience_s += MIN_PERSISTENCE_S if was_proved else MIN_UNPROVED_PERSISTENCE_S
        return now - self._since >= patience_s


class PrimaryWatch:
    """Track since when each service has had its present primary."""

    def __init__(self) -> None:
        self._primaries: dict[str, tuple[str, float]] = {}

    def update(self, service: str, primary: str, now: float) -> None:
        """Record the primary of a service; the first one that is known counts as an old one."""
        if service not in self._primaries:
            self._primaries[service] = primary, -math.inf
        elif self._primaries[service][0] != primary:
            self._primaries[service] = primary, now

    def find_age_s(self, service: str, now: float) -> float:
        """Return for how long the primary of a service has been known to lead."""
        _, since = self._primaries.get(service, ("", -math.inf))
        return now - since


class PromotionWatch:
    """Track for how long the promotion that another proxy recorded has been open."""

    def __init__(self, *, local_vm: str) -> None:
        self._local_vm = local_vm
        self._first_seen: dict[str, tuple[int, float]] = {}

    def may_still_run(self, service: str, intent: PromotionIntent, *, now: float) -> bool:
        """Tell whether another proxy's promotion is open and too recent to have failed."""
        if not intent.is_open or intent.vm == self._local_vm:
            return False
        version, since = self._first_seen.get(service, (0, 0.0))
        if version != intent.version:
            self._first_seen[service] = (intent.version, now)
            return True
        return now - since < MAX_PROMOTION_S
