"""History of the positions that a primary proved; it yields the position that a read needs."""

import math
from collections import deque
from dataclasses import dataclass

from ..statements.model import Position

# Samples closer together than this are merged. Older ones stay, because a read asks for the oldest
# position that its staleness bound allows: more replicas have reached it.
MIN_SPACING_S = 0.05
RETENTION_S = 10.0
# Covers the time from choosing a sample to the arrival of the read at a server.
FRESHNESS_MARGIN_S = 0.15
# After a position could not be obtained, reads do not wait for one for this long, and then at most
# this long until one is added: a primary that answers again does so within a round trip, up to
# 24 ms. Reads that each wait for an unresponsive primary are answered about 0.5 s late.
MISSING_RETRY_S = 0.1


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Hold a position that contained every commit acknowledged before `taken_at`."""

    position: Position
    taken_at: float


class ProvenPositionHistory:
    """Keep proven positions with their times on the boot clock, which counts suspensions."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque()
        self._missing_at: float | None = None

    def add(self, position: Position, taken_at: float) -> None:
        """Add a position unless it is older or smaller than the newest; answers can be late."""
        if self._samples:
            newest = self._samples[-1]
            if position < newest.position or taken_at <= newest.taken_at:
                return
            if position == newest.position or self._is_close_to_previous(newest):
                self._samples.pop()
        self._missing_at = None
        self._samples.append(Sample(position=position, taken_at=taken_at))
        while self._samples[0].taken_at < taken_at - RETENTION_S:
            self._samples.popleft()

    def _is_close_to_previous(self, newest: Sample) -> bool:
        return (
            len(self._samples) > 1 and newest.taken_at - self._samples[-2].taken_at < MIN_SPACING_S
        )

    def record_missing(self, now: float) -> None:
        """Record that the primary proved no position that is new enough."""
        self._missing_at = now

    def allowed_wait_s(self, now: float) -> float:
        """Return how long a read may wait now for a position that is not known."""
        if self._missing_at is None:
            return math.inf
        return 0.0 if now - self._missing_at < MISSING_RETRY_S else MISSING_RETRY_S

    def find_newest(self) -> Sample | None:
        """Return the newest proven position."""
        return self._samples[-1] if self._samples else None

    def find(self, *, max_staleness_s: float, now: float) -> Sample | None:
        """Return the oldest position that still satisfies a staleness bound, or None."""
        oldest_allowed = now - max(0.0, max_staleness_s - FRESHNESS_MARGIN_S)
        for sample in self._samples:
            if sample.taken_at >= oldest_allowed:
                return sample
        return None
