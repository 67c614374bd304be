"""Whether the log of a backend server covers a session's position, and how old its data is."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ..database.messages import ServerStatus, TermStart

MAX_SAMPLES = 256


def find_entry_term(log_terms: Sequence[TermStart], position: int) -> int:
    """Return the term of the log entry at a position, 0 before the first entry."""
    term = 0
    for start in log_terms:
        if start.position >= position:
            break
        term = start.term
    return term


def covers(status: ServerStatus, term: int, position: int) -> bool:
    """Tell whether a server's log contains the entry at a position that was written in a term.

    Each term has one primary, so a term and a position identify an entry and all entries before
    it: the log then also contains everything before the position.
    """
    if position <= 0:
        return True
    if status.position < position:
        return False
    return find_entry_term(status.log_terms, position) == term


@dataclass(frozen=True, kw_only=True)
class PositionSample:
    """State that every write acknowledged before `time` is at or before `position`."""

    time: float
    entry_term: int
    position: int


class PositionHistory:
    """Keep samples of a primary's position; their times are of the local monotonic clock."""

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque(maxlen=MAX_SAMPLES)

    def add(self, sample: PositionSample) -> None:
        """Add a sample; ignore one that is older than the newest, replace one of the same entry."""
        if self._samples and sample.time < self._samples[-1].time:
            return
        if self._samples and self._samples[-1].position == sample.position:
            is_same_term = self._samples[-1].entry_term == sample.entry_term
            if is_same_term:
                self._samples.pop()
        self._samples.append(sample)

    def bound_age_s(self, status: ServerStatus, now: float) -> float | None:
        """Return an upper bound of the age of a server's data in seconds, or None if unknown."""
        for sample in reversed(self._samples):
            if covers(status, sample.entry_term, sample.position):
                return max(0.0, now - sample.time)
        return None
