"""The record of what callers and backend servers saw, and the checks of the guarantees."""

import bisect
import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum, unique

from ..catalog.model import Consistency
from ..standin.prepared.servers import LOG_START, LoggedCommit, Position, StatementRun


@unique
class CallerOutcome(StrEnum):
    """Say what a caller was told; UNKNOWN if the answer does not tell whether it took effect."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Request:
    """Hold one statement as its caller sent it; times are on the event loop's clock."""

    id: str
    session: int
    text: str
    account: str
    key: str
    consistency: Consistency
    max_staleness_s: float
    values: tuple[tuple[str, str], ...]
    shape: str
    transaction: int
    transaction_began_at: float
    sent_at: float


@dataclass(frozen=True, kw_only=True)
class RecordedAnswer:
    """Hold the outcome of a request; `commits` names the writes that the outcome applies to."""

    request: str
    outcome: CallerOutcome
    commits: tuple[str, ...]
    at: float


@dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """Record when a key was withdrawn."""

    key: str
    at: float


@dataclass(frozen=True, kw_only=True)
class Violation:
    """Name a broken guarantee and the evidence."""

    rule: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Hold the limits that the checks apply; times in seconds."""

    withdrawal_s: float
    window_s: float
    allowed_per_window: dict[str, float]


@dataclass(kw_only=True)
class History:
    """Collect the requests, answers and key withdrawals of one run."""

    requests: dict[str, Request] = field(default_factory=dict)
    answers: list[RecordedAnswer] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def next_number(self) -> int:
        """Return a unique number for a session, a transaction or a request."""
        return next(self._numbers)

    def check(
        self,
        *,
        runs: Iterable[StatementRun],
        log: Iterable[LoggedCommit],
        rolled_back: Iterable[LoggedCommit],
        bounds: Bounds,
    ) -> list[Violation]:
        """Return every broken promise."""
        runs = [run for run in runs if run.request_id != "-"]
        commits = {write: entry.position for entry in log for write in entry.writes}
        lost = {write for entry in rolled_back for write in entry.writes}
        return [
            *self._check_texts(runs),
            *self._check_writes(log, commits, lost),
            *self._check_transactions(runs),
            *self._check_freshness(runs, commits),
            *self._check_keys(runs, bounds),
            *self._check_limits(runs, bounds),
        ]

    def _check_texts(self, runs: list[StatementRun]) -> Iterable[Violation]:
        for run in runs:
            request = self.requests.get(run.request_id)
            if request is None:
                yield Violation(rule="unasked", detail=f"{run} was sent by no caller")
                continue
            renamed = run.text.startswith("EXECUTE")
            same_text = run.text.split(" ")[2:] == request.text.split(" ")[2:]
            if run.text != request.text and not (renamed and same_text):
                yield Violation(rule="unasked", detail=f"{run} was asked as {request.text}")
            if run.account != request.account:
                yield Violation(rule="account", detail=f"{run} belongs to {request.account}")
            if run.values != request.values or run.shape != request.shape:
                yield Violation(rule="pinned", detail=f"{run} with the session of {request}")

    def _check_writes(
        self, log: Iterable[LoggedCommit], commits: dict[str, Position], lost: set[str]
    ) -> Iterable[Violation]:
        counted = Counter(write for entry in log for write in entry.writes)
        for write, count in counted.items():
            if count > 1:
                yield Violation(rule="twice", detail=f"{write} took effect {count} times")
        for answer in self.answers:
            for write in answer.commits:
                if answer.outcome is CallerOutcome.DONE and write not in commits:
                    why = "was rolled back" if write in lost else "is in no log"
                    yield Violation(rule="lost", detail=f"{write} was acknowledged and {why}")
                if answer.outcome is CallerOutcome.NOT_RUN and write in commits:
                    yield Violation(rule="refused", detail=f"{write} was refused as not run")

    def _check_transactions(self, runs: list[StatementRun]) -> Iterable[Violation]:
        """Check that a transaction's statements run on one connection with no other in between."""
        connections: dict[int, int] = {}
        newest: dict[int, int] = {}
        for run in runs:
            request = self.requests.get(run.request_id)
            if request is None:
                continue
            previous = newest.get(run.connection)
            newest[run.connection] = transaction = request.transaction
            if not transaction:
                continue
            first = connections.get(transaction)
            if first is None:
                connections[transaction] = run.connection
            elif first != run.connection or previous != transaction:
                yield Violation(rule="pinned", detail=f"{run} left connection {first}")

    def _check_freshness(
        self, runs: list[StatementRun], commits: dict[str, Position]
    ) -> Iterable[Violation]:
        acknowledged = sorted(
            (answer.at, self.requests[answer.request].session, commits[write])
            for answer in self.answers
            if answer.outcome is CallerOutcome.DONE
            for write in answer.commits
            if write in commits
        )
        times = [at for at, _, _ in acknowledged]
        newest: list[Position] = []
        own: dict[int, list[tuple[float, Position]]] = defaultdict(list)
        for at, session, position in acknowledged:
            newest.append(max(position, newest[-1]) if newest else position)
            own[session].append((at, position))
        for run in runs:
            request = self.requests.get(run.request_id)
            if request is None or not run.text.startswith(("READ", "EXECUTE")):
                continue
            began = request.transaction_began_at if request.transaction else request.sent_at
            is_primary = request.consistency is Consistency.PRIMARY
            allowed_s = 0.0 if is_primary else request.max_staleness_s
            index = bisect.bisect_left(times, began - allowed_s)
            needed = newest[index - 1] if index else LOG_START
            if request.consistency is Consistency.OWN_WRITES:
                mine = [position for at, position in own[request.session] if at < began]
                needed = max([needed, *mine])
            if run.applied < needed:
                yield Violation(rule="stale", detail=f"{run} lacks {needed}, asked by {request}")

    def _check_keys(self, runs: list[StatementRun], bounds: Bounds) -> Iterable[Violation]:
        withdrawn = {entry.key: entry.at for entry in self.withdrawals}
        for run in runs:
            request = self.requests.get(run.request_id)
            if request is None or request.key not in withdrawn:
                continue
            late_s = request.sent_at - withdrawn[request.key]
            if late_s > bounds.withdrawal_s:
                yield Violation(rule="key", detail=f"{run} ran {late_s:.1f} s after the withdrawal")

    def _check_limits(self, runs: list[StatementRun], bounds: Bounds) -> Iterable[Violation]:
        seen: dict[str, list[float]] = defaultdict(list)
        counted: set[str | int] = set()
        for run in runs:
            request = self.requests.get(run.request_id)
            operation = run.request_id if request is None else request.transaction or request.id
            if operation not in counted:
                counted.add(operation)
                seen[run.account].append(run.at)
        for account, times in seen.items():
            allowed = bounds.allowed_per_window.get(account, float("inf"))
            times.sort()
            for index, at in enumerate(times):
                count = bisect.bisect_right(times, at + bounds.window_s) - index
                if count > allowed:
                    detail = f"{account}: {count} operations from {at:.1f}, {allowed:.0f} allowed"
                    yield Violation(rule="limit", detail=detail)
                    break
