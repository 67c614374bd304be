"""The budget of bytes that all connections of a process may hold together."""

from dataclasses import dataclass
from typing import Generic, TypeVar

H = TypeVar("H")


@dataclass(frozen=True, kw_only=True)
class Excess(Generic[H]):
    """Name a holder that is to be closed, its bytes, and those of all holders at that moment."""

    holder: H
    held_bytes: int
    total_bytes: int


class ByteBudget(Generic[H]):
    """Count the bytes of each holder and choose whom to close when they are too many.

    It addresses some hundred clients that each send a legal message of 1 MiB, whole or without its
    end: 400 such connections held 444 MB, more than twice the memory of a small VM. The greatest
    holder is chosen, so that callers with ordinary statements of a few kilobytes stay connected.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._held: dict[H, int] = {}

    def hold(self, holder: H, held_bytes: int) -> list[Excess[H]]:
        """Set the bytes of a holder; return the holders to close, which are released."""
        self.total_bytes += held_bytes - self._held.get(holder, 0)
        self._held[holder] = held_bytes
        chosen = []
        while self.total_bytes > self.limit_bytes:
            greatest = max(self._held, key=self._held.__getitem__)
            excess = Excess(
                holder=greatest,
                held_bytes=self._held[greatest],
                total_bytes=self.total_bytes,
            )
            chosen.append(excess)
            self.release(greatest)
        return chosen

    def release(self, holder: H) -> None:
        """Forget a holder."""
        self.total_bytes -= self._held.pop(holder, 0)
