"""How long statements of each kind hold a slot of a backend server.

It handles bursts of one kind of work beside others: kinds differ by factors of 3 to 5, so that an
average over all of them refuses fast work that could run and queues slow work that could not.
"""

from collections.abc import Hashable

# Before anything is known, about the time of a read of one item.
INITIAL_COST_S = 0.005
# Weight of a new measurement: a server that becomes slower is noticed after about ten statements.
COST_SMOOTHING = 0.1


class RunCosts:
    """Average the costs of statements by kind."""

    def __init__(self) -> None:
        self._average_s = INITIAL_COST_S
        self._by_kind_s: dict[Hashable, float] = {}

    def expected_s(self, kind: Hashable) -> float:
        """Return the expected cost of a statement; that of all kinds if its kind is new."""
        return self._by_kind_s.get(kind, self._average_s)

    def record(self, kind: Hashable, cost_s: float) -> None:
        """Record the measured cost of a statement."""
        self._average_s += COST_SMOOTHING * (cost_s - self._average_s)
        known_s = self._by_kind_s.get(kind, cost_s)
        self._by_kind_s[kind] = known_s + COST_SMOOTHING * (cost_s - known_s)
