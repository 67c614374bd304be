"""The log of a backend server stand-in and the maps and idempotency records built from it."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from ..database.messages import Action, TermStart
from ..outcomes import JsonValue
from .messages import LogEntry
from .statements import decode_operations, evaluate
from .storage import Appended, Record, TermBegun, Truncated


@dataclass(frozen=True, kw_only=True)
class RecordedWrite:
    """Locate the entry that holds an idempotency record."""

    position: int
    entry: LogEntry

    def matches(self, action: Action, operations: str) -> bool:
        """Tell whether a request repeats the recorded one."""
        return self.entry.action is action and self.entry.operations == operations


class EntryLog:
    """Keep entries in order; position p is the p-th entry, position 0 is the empty log."""

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.term_starts: list[TermStart] = []
        self.maps: defaultdict[str, dict[str, JsonValue]] = defaultdict(dict)
        self._appended_at: list[float] = []
        self._records: dict[tuple[str, str], int] = {}
        self.recorder: Callable[[Record], None] | None = None

    @property
    def position(self) -> int:
        """Return the position of the last entry."""
        return len(self.entries)

    def term_at(self, position: int) -> int:
        """Return the term of the entry at a position, 0 for position 0."""
        return self.entries[position - 1].term if position > 0 else 0

    def append(self, entry: LogEntry, *, now: float) -> int:
        """Add an entry, apply it, and return its position."""
        self.begin_term(entry.term, self.position)
        self.entries.append(entry)
        self._appended_at.append(now)
        self._apply(entry)
        self._store_record(Appended(entry=entry))
        return self.position

    def begin_term(self, term: int, start_position: int) -> None:
        """Record the start of a term if the log reaches it.

        A log that lacks entries before the start must not report the term: a promotion
        would prefer it to a complete log and lose acknowledged writes.
        """
        newest = self.term_starts[-1].term if self.term_starts else 0
        if term > newest and self.position >= start_position:
            start = TermStart(term=term, position=start_position)
            self.term_starts.append(start)
            self._store_record(TermBegun(start=start))

    def find_record(self, client_account: str, idempotency_key: str) -> RecordedWrite | None:
        """Return the write that was recorded under a key of an account."""
        position = self._records.get((client_account, idempotency_key))
        if not idempotency_key or position is None:
            return None
        return RecordedWrite(position=position, entry=self.entries[position - 1])

    def find_divergence(self, term: int, start_position: int) -> int:
        """Return where to truncate when a term begins: entries of older terms end at its start."""
        position = self.position
        while position > start_position and self.term_at(position) < term:
            position -= 1
        return position

    def find_common_position(self, log_terms: tuple[TermStart, ...], position: int) -> int:
        """Return the last position at which another log has an entry of the same term.

        Only one server appends entries in a term, so equal terms at one position mean that the
        logs are equal up to it.
        """
        common = min(self.position, position)
        while common > 0 and self.term_at(common) != _term_of(log_terms, common):
            common -= 1
        return common

    def truncate(self, position: int) -> int:
        """Drop the entries after a position, rebuild the maps, and return how many were dropped."""
        dropped = self.position - position
        if dropped <= 0:
            return 0
        del self.entries[position:]
        del self._appended_at[position:]
        self.term_starts = [start for start in self.term_starts if start.position <= position]
        self.maps.clear()
        self._records.clear()
        kept, self.entries = self.entries, []
        for entry in kept:
            self.entries.append(entry)
            self._apply(entry)
        self._store_record(Truncated(position=position))
        return dropped

    def read_after(self, position: int, *, limit: int, appended_by: float) -> tuple[LogEntry, ...]:
        """Return entries after a position that were appended at or before a time."""
        end = position
        last = min(self.position, position + limit)
        while end < last and self._appended_at[end] <= appended_by:
            end += 1
        return tuple(self.entries[position:end])

    def appended_at(self, position: int) -> float | None:
        """Return when the entry at a position was appended, None if there is none yet."""
        return self._appended_at[position - 1] if position <= self.position else None

    def _store_record(self, record: Record) -> None:
        if self.recorder is not None:
            self.recorder(record)

    def _apply(self, entry: LogEntry) -> None:
        table = self.maps[entry.client_account]
        table.update(evaluate(decode_operations(entry.operations), table).changes)
        if entry.idempotency_key:
            self._records[(entry.client_account, entry.idempotency_key)] = self.position


def _term_of(log_terms: tuple[TermStart, ...], position: int) -> int:
    return max((start.term for start in log_terms if start.position < position), default=0)
