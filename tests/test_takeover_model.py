"""A model of one service under random faults: no takeover loses a commit that was acknowledged.

It runs the decisions of the product on the logs of one primary and two replicas. Copies are
recorded before the next commit; a copy that acknowledges before that is not modelled (review/1).
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from random import Random
from unittest import mock

from testtools import TestCase

from lentilring.catalog.model import ServerEntry, ServerRole
from lentilring.gateways.server import ReplicationStatus
from lentilring.statements.model import Position
from lentilring.takeover import copies
from lentilring.takeover.copies import RecordedCopies, describe_copies, find_departed, merge_copies
from lentilring.takeover.succession import Candidate, Successor, choose_successor

from .test_takeover import build_entry

SEEDS = 400
STEPS = 120
NO_COMMITS = Position(term=0, number=0)


@dataclass(kw_only=True)
class Copy:
    """Hold one copy; a replica that crashes loses its log, a primary keeps it."""

    entry: ServerEntry
    log: tuple[int, ...] = ()
    is_up: bool = True
    is_deaf: bool = False
    is_registered: bool = True


class ServiceModel:
    """Play random faults, commits, upkeep of the record and takeovers."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._copies = {name: Copy(entry=build_entry(name)) for name in ("a", "b", "c")}
        self._leader = "a"
        self._record = RecordedCopies()
        self._commits = 0
        self._acknowledged: set[int] = set()
        self.promotions = 0
        self.lost: set[int] = set()

    def play(self) -> None:
        """Take random steps."""
        steps: list[Callable[[], None]] = [
            self._commit,
            self._commit,
            self._crash,
            self._restart,
            self._lapse,
            self._change_replication,
            self._take_over,
        ]
        self._update_record()
        for _ in range(STEPS):
            self._random.choice(steps)()
            self._update_record()

    def _replicas(self) -> Iterator[Copy]:
        for name, entry in self._copies.items():
            if name != self._leader:
                yield entry

    def _replicate(self) -> None:
        leader = self._copies[self._leader]
        for replica in self._replicas():
            if leader.is_up and replica.is_up and not replica.is_deaf:
                replica.log = leader.log

    def _commit(self) -> None:
        leader = self._copies[self._leader]
        if not leader.is_up:
            return
        self._commits += 1
        leader.log += (self._commits,)
        self._replicate()
        if any(self._commits in replica.log for replica in self._replicas()):
            self._acknowledged.add(self._commits)

    def _crash(self) -> None:
        crashed = self._random.choice(list(self._copies.values()))
        crashed.is_up = False

    def _restart(self) -> None:
        down = [entry for entry in self._copies.values() if not entry.is_up]
        if not down:
            return
        started = self._random.choice(down)
        started.is_up = started.is_registered = True
        started.entry = replace(started.entry, started_ms=started.entry.started_ms + 1)
        if started.entry.id != self._leader:
            started.log = ()
        self._replicate()

    def _lapse(self) -> None:
        for entry in self._copies.values():
            entry.is_registered = entry.is_registered and entry.is_up

    def _change_replication(self) -> None:
        replica = self._random.choice(list(self._replicas()))
        replica.is_deaf = not replica.is_deaf
        self._replicate()

    def _update_record(self) -> None:
        leader = self._copies[self._leader]
        if not leader.is_up:
            return
        registered = describe_copies(
            [entry.entry for entry in self._copies.values() if entry.is_registered],
            leader=self._leader,
        )
        departed = find_departed(self._record, registered)
        statuses = {
            entry.entry.id: ReplicationStatus(
                role=ServerRole.REPLICA, term=1, received=_find_end(entry)
            )
            for entry in self._replicas()
            if entry.is_up and entry.is_registered
        }
        has_received = copies.has_received(
            statuses, leader=self._leader, position=_find_end(leader)
        )
        kept = frozenset() if has_received else departed
        self._record = merge_copies(self._record, registered, kept=kept)

    def _take_over(self) -> None:
        if self._copies[self._leader].is_up:
            return
        asked = [entry for entry in self._replicas() if entry.is_registered]
        heard = [entry for entry in asked if entry.is_up]
        started_ms = {entry.entry.id: entry.entry.started_ms for entry in heard}
        choice = choose_successor(
            [
                Candidate(server=entry.entry, received=_find_end(entry), is_eligible=True)
                for entry in heard
            ],
            replicas=[entry.entry.id for entry in asked],
            old_failure_domain="",
            min_position=NO_COMMITS,
            unheard=self._record.find_unheard(started_ms),
        )
        if isinstance(choice, Successor):
            self._promote(choice.server.id)

    def _promote(self, server: str) -> None:
        self.promotions += 1
        self.lost |= self._acknowledged - set(self._copies[server].log)
        self._leader = server
        self._record = replace(self._record, leader=server)
        kept = set(self._copies[server].log)
        for replica in self._replicas():
            # A copy that was ahead is rolled back to what the new primary had received.
            replica.log = tuple(commit for commit in replica.log if commit in kept)
        self._replicate()


def _find_end(entry: Copy) -> Position:
    return Position(term=1, number=entry.log[-1] if entry.log else 0)


def count_losses() -> tuple[int, int]:
    """Return how many seeds lost a commit, and the promotions of all seeds."""
    losses = promotions = 0
    for seed in range(SEEDS):
        model = ServiceModel(seed)
        model.play()
        losses += bool(model.lost)
        promotions += model.promotions
    return losses, promotions


@contextmanager
def remove_guard(name: str, answer: Callable[..., object]) -> Iterator[None]:
    """Replace one of the guards."""
    owner = RecordedCopies if name == "find_unheard" else copies
    with mock.patch.object(owner, name, answer):
        yield


class TakeoverModelTest(TestCase):
    def test_no_acknowledged_commit_is_lost(self) -> None:
        """Guards against losses in any order of crashes, restarts, lapses and lagging replicas."""
        losses, promotions = count_losses()
        self.assertEqual(0, losses)
        self.assertGreater(promotions, SEEDS / 4)

    def test_each_guard_is_needed(self) -> None:
        """Guards against a model that cannot lose a commit, whatever is decided."""
        find_unheard = RecordedCopies.find_unheard

        def ignore_starts(recorded: RecordedCopies, heard: dict[str, int]) -> tuple[str, ...]:
            return find_unheard(
                recorded, {name: recorded.started_ms.get(name, 0) for name in heard}
            )

        guards: dict[str, tuple[str, Callable[..., object]]] = {
            "copies that are away are waited for": ("find_unheard", lambda *values: ()),
            "a copy that started again is another": ("find_unheard", ignore_starts),
            "dropped once others have its commits": ("has_received", lambda *values, **named: True),
        }
        for guard, (name, answer) in guards.items():
            with remove_guard(name, answer):
                self.assertGreater(count_losses()[0], 0, guard)
