"""The stored record that says which backend server of a group is primary."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from ..database.messages import ServerStatus, TermStart
from ..errors import LentilringError
from ..outcomes import JsonValue
from ..platform.store import StoredObject


class GroupState(StrEnum):
    """Say whether a term has its primary yet; while it is opening, no primary is in force."""

    OPENING = "opening"
    OPEN = "open"


@dataclass(kw_only=True, eq=False)
class GroupRecordInvalid(LentilringError):
    """Report that a stored object is not a group record."""

    group: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class GroupRecord:
    """Hold a group's term and primary.

    `primary` is the primary of the term, or of the last open term while this one is opening; empty
    if there was none. `term_starts` holds every term that was opened, in order. `proposer` is the
    VM that made the last change. `change_id` differs with every change, so that a proposer whose
    answer from the store was lost recognises its own change.
    """

    group: str
    term: int
    primary: str
    state: GroupState
    term_starts: tuple[TermStart, ...] = ()
    proposer: str = ""
    change_id: str = ""

    @property
    def is_open(self) -> bool:
        """Tell whether this term has its primary, which is then in force."""
        return self.state is GroupState.OPEN

    @property
    def start_position(self) -> int:
        """Return the log position after which this term's entries begin."""
        return next((start.position for start in self.term_starts if start.term == self.term), 0)

    def position_is_lost(self, *, term: int, position: int) -> bool:
        """Tell whether a position of a term lies past the start of a later term."""
        return any(start.term > term and position > start.position for start in self.term_starts)


@dataclass(frozen=True, kw_only=True, order=True)
class LogEnd:
    """Hold the term and the position of a log's last entry; the greater the more up to date."""

    term: int
    position: int


def find_log_end(status: ServerStatus, term_starts: tuple[TermStart, ...]) -> LogEnd:
    """Return the end of the part of a server's log that later terms kept.

    A server that missed a promotion may have entries past the start of the later term. The later
    term replaced them, and they are dropped when the server follows its primary. Counting them
    would let the server win the next promotion, and they would replace writes of the later term.
    """
    last_term = _term_at(status, status.position)
    later_starts = [start.position for start in term_starts if start.term > last_term]
    position = min([status.position, *later_starts])
    return LogEnd(term=_term_at(status, position), position=position)


def parse_record(stored: StoredObject | None) -> GroupRecord | None:
    """Return the record in a stored object, or None if there is none; raise GroupRecordInvalid."""
    if stored is None or stored.value is None:
        return None
    try:
        return msgspec.convert({**stored.value, "group": stored.name}, GroupRecord)
    except msgspec.ValidationError as error:
        raise GroupRecordInvalid(group=stored.name, detail=str(error)) from error


def format_record(record: GroupRecord) -> dict[str, JsonValue]:
    """Return a record as the value of the stored object of kind `group`."""
    value: Any = msgspec.to_builtins(record)
    del value["group"]
    return value


def _term_at(status: ServerStatus, position: int) -> int:
    # A term that began on the server but has no entry up to the position does not count.
    terms = (start.term for start in status.log_terms if start.position < position)
    return max(terms, default=0)
