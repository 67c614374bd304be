"""A segment tree: add to a suffix, read the maximum, both in logarithmic time."""

from collections.abc import Sequence


class MaximumTree:
    """Keep maxima of suffixes of a list of numbers under additions to suffixes."""

    def __init__(self, values: Sequence[float]) -> None:
        self._size = 1 << max(0, (len(values) - 1).bit_length())
        self._best = [float("-inf")] * (2 * self._size)
        self._added = [0.0] * (2 * self._size)
        self._best[self._size : self._size + len(values)] = values
        for node in range(self._size - 1, 0, -1):
            self._best[node] = max(self._best[2 * node], self._best[2 * node + 1])

    def add_from(self, index: int, amount: float) -> None:
        """Add to the numbers at an index and after it."""
        node = index + self._size
        self._best[node] += amount
        while node > 1:
            if node % 2 == 0:
                self._best[node + 1] += amount
                self._added[node + 1] += amount
            node //= 2
            best = max(self._best[2 * node], self._best[2 * node + 1])
            self._best[node] = best + self._added[node]

    def maximum_from(self, index: int) -> float:
        """Return the greatest of the numbers at an index and after it."""
        node = index + self._size
        best = self._best[node]
        while node > 1:
            if node % 2 == 0:
                best = max(best, self._best[node + 1])
            node //= 2
            best += self._added[node]
        return best
