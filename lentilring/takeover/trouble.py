"""When a service's primary is to be replaced."""

from dataclasses import dataclass
from enum import StrEnum, unique

from .authority import Intent

# Two missed proofs; a slow server still proves its lead, as that takes no slot.
SILENCE_S = 0.6
# For which trouble that was not announced must last; a primary that was never proved has longer,
# since a process that just started knows little.
PERSISTENCE_S = 0.3
UNPROVED_PERSISTENCE_S = 2.0
# Writes that time out while proofs succeed: the primary has lost its replicas.
COMMIT_SILENCE_S = 1.6
# Each later supervisor waits this much longer, so that the first one acts alone: longer than a
# takeover from a primary that is dark.
RANK_PATIENCE_S = 2.5
# A promotion takes 0.3 to 1 s, and its proxy waits 2.5 s for the lead. A second takeover meanwhile
# stops the replicas that the new primary needs.
PROMOTION_PATIENCE_S = 2.5


@unique
class Trouble(StrEnum):
    """Name the reasons to replace a primary."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    MISSING = "missing"
    SILENT = "silent"
    CANNOT_COMMIT = "cannot_commit"


PLANNED = frozenset({Trouble.LEAVING, Trouble.EVACUATED})


@dataclass(frozen=True, kw_only=True)
class Observation:
    """Hold what a supervisor knows of a primary; ages in seconds, None: never proved."""

    is_registered: bool
    is_draining: bool
    is_evacuated: bool
    proof_age_s: float | None
    commit_silence_s: float


def find_trouble(seen: Observation) -> Trouble | None:
    """Return why a primary should be replaced, or None."""
    if not seen.is_registered:
        return Trouble.MISSING
    if seen.is_draining:
        return Trouble.LEAVING
    if seen.is_evacuated:
        return Trouble.EVACUATED
    if seen.proof_age_s is None or seen.proof_age_s > SILENCE_S:
        return Trouble.SILENT
    return Trouble.CANNOT_COMMIT if seen.commit_silence_s > COMMIT_SILENCE_S else None


class TroubleWatch:
    """Remember since when a service's primary has been in trouble."""

    def __init__(self) -> None:
        self._trouble: Trouble | None = None
        self._since = 0.0

    def note(self, trouble: Trouble | None, now: float) -> None:
        """Take the newest finding."""
        if trouble is None:
            self._trouble = None
        elif self._trouble is None:
            self._trouble, self._since = trouble, now
        elif self._trouble in PLANNED or trouble not in PLANNED:
            self._trouble = trouble
        else:
            self._trouble, self._since = trouble, now

    def is_due(self, *, rank: int, was_proved: bool, now: float) -> bool:
        """Tell whether the supervisor of a rank may act."""
        if self._trouble is None:
            return False
        patience_s = rank * RANK_PATIENCE_S
        if self._trouble not in PLANNED:
            patience_s += PERSISTENCE_S if was_proved else UNPROVED_PERSISTENCE_S
        return now - self._since >= patience_s


class PromotionWatch:
    """Remember since when another proxy's promotion has been open."""

    def __init__(self, *, local_vm: str) -> None:
        self._local_vm = local_vm
        self._seen: dict[str, tuple[int, float]] = {}

    def may_run(self, service: str, intent: Intent, *, now: float) -> bool:
        """Tell whether a recorded promotion of another proxy has had too little time to fail."""
        if not intent.is_open or intent.vm == self._local_vm:
            return False
        version, since = self._seen.get(service, (0, 0.0))
        if version != intent.version:
            self._seen[service] = (intent.version, now)
            return True
        return now - since < PROMOTION_PATIENCE_S
