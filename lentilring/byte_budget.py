"""The budget of bytes that all connections of a process may hold together."""

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

H = TypeVar("H")

# Part of the budget that is not of connections, so that these keep the rest.
MAX_RESERVED_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class Excess(Generic[H]):
    """Name a holder that is to be closed, its bytes, those of all and how many are allowed."""

    holder: H
    held_bytes: int
    total_bytes: int
    limit_bytes: int


class BudgetHolder(Protocol):
    """Close a connection."""

    def close_over_budget(self, *, held: int, total: int, allowed: int) -> None:
        """Close at once, as this connection holds most and all together hold too much."""
        ...


class ByteBudget(Generic[H]):
    """Count the bytes of each holder and choose whom to close when they are too many.

    It addresses some hundred clients that each send a legal message of 1 MiB, whole or without its
    end, which take more than the memory of a small VM. The greatest holder is chosen, so that
    callers with ordinary statements of a few kilobytes stay connected.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._reserved_bytes = 0
        self._held: dict[H, int] = {}

    def hold(self, holder: H, held_bytes: int) -> list[Excess[H]]:
        """Set the bytes of a holder; return the holders to close, which are released."""
        self.total_bytes += held_bytes - self._held.get(holder, 0)
        self._held[holder] = held_bytes
        chosen = []
        while self.total_bytes > self.limit_bytes and self._held:
            greatest = max(self._held, key=self._held.__getitem__)
            excess = Excess(
                holder=greatest,
                held_bytes=self._held[greatest],
                total_bytes=self.total_bytes,
                limit_bytes=self.limit_bytes,
            )
            chosen.append(excess)
            self.release(greatest)
        return chosen

    def release(self, holder: H) -> None:
        """Forget a holder."""
        self.total_bytes -= self._held.pop(holder, 0)

    def reserve(self, reserved_bytes: int) -> bool:
        """Count bytes that no connection holds; return False if there is no room for them."""
        if (
            self.total_bytes + reserved_bytes > self.limit_bytes
            or self._reserved_bytes + reserved_bytes > self.limit_bytes * MAX_RESERVED_SHARE
        ):
            return False
        self.total_bytes += reserved_bytes
        self._reserved_bytes += reserved_bytes
        return True

    def free(self, reserved_bytes: int) -> None:
        """Stop counting bytes that were reserved."""
        self.total_bytes -= reserved_bytes
        self._reserved_bytes -= reserved_bytes


def hold_bytes(budget: ByteBudget[BudgetHolder], holder: BudgetHolder, held_bytes: int) -> None:
    """Set the bytes of a connection and close those that hold most when it is too much."""
    for excess in budget.hold(holder, held_bytes):
        excess.holder.close_over_budget(
            held=excess.held_bytes, total=excess.total_bytes, allowed=excess.limit_bytes
        )
