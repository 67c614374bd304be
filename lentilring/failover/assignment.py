"""Which member supervises which group, kept up to date at the cost of the changed members only."""

import asyncio
from collections.abc import Iterable
from typing import Generic, TypeVar

from ..placement import Placeable, rank_members, score_member

M = TypeVar("M", bound=Placeable)

# Ranking 1,400 groups over 790 members takes about a second; the loop runs other work in between.
GROUPS_BEFORE_YIELD = 20


def group_key(group: str) -> str:
    """Return the key that ranks members as supervisors of a group."""
    return f"supervisor/{group}"


class SupervisorTable(Generic[M]):
    """Hold the first member in rendezvous order for every group."""

    def __init__(self) -> None:
        self._members: dict[str, M] = {}
        self._first: dict[str, M] = {}

    def find(self, group: str) -> M | None:
        """Return the supervisor of a group."""
        return self._first.get(group)

    async def update(self, groups: Iterable[str], members: Iterable[M]) -> None:
        """Take the present groups and members."""
        current = {member.vm: member for member in members}
        changed = {
            vm for vm, member in current.items() if self._weight(vm) not in (None, member.weight)
        }
        gone = (self._members.keys() - current.keys()) | changed
        joined = [current[vm] for vm in (current.keys() - self._members.keys()) | changed]
        first: dict[str, M] = {}
        for count, group in enumerate(groups):
            if not current:
                break
            if count % GROUPS_BEFORE_YIELD == GROUPS_BEFORE_YIELD - 1:
                await asyncio.sleep(0)
            first[group] = self._choose(group, current, gone, joined)
        self._members, self._first = current, first

    def _choose(self, group: str, current: dict[str, M], gone: set[str], joined: list[M]) -> M:
        known = self._first.get(group)
        if known is None or known.vm in gone:
            return rank_members(group_key(group), current.values())[0]
        return min([current[known.vm], *joined], key=lambda member: _order(group, member))

    def _weight(self, vm: str) -> float | None:
        member = self._members.get(vm)
        return None if member is None else member.weight


def _order(group: str, member: Placeable) -> tuple[float, str]:
    return -score_member(group_key(group), member.vm, member.weight), member.vm
