"""Messages between proxies that read the store and proxies that follow them."""

from dataclasses import dataclass
from enum import StrEnum, unique

from ..peers.messages import message
from .source import RecordKind


@unique
class WatchRefusal(StrEnum):
    """Name the reasons why a reader does not answer a watch, or its answer cannot be used."""

    NONE = ""
    NOT_A_READER = "not_a_reader"
    STORE_LOST = "store_lost"
    TOO_LARGE = "too_large"
    EARLIER_ERA = "earlier_era"


@message
@dataclass(frozen=True, kw_only=True)
class RelayedRecord:
    """Carry the newest state of one record; `content` is what the record's source encoded."""

    name: str
    revision: int
    is_deleted: bool
    content: bytes


@message
@dataclass(frozen=True, kw_only=True)
class WatchRecords:
    """Ask a reader for the records changed after a revision.

    It answers at the first change or confirmation, at the latest after `wait_s`.
    """

    kind: RecordKind
    after_revision: int
    wait_s: float


@message
@dataclass(frozen=True, kw_only=True)
class RelayedRecords:
    """Answer a watch; the records are complete up to `revision`.

    With `is_complete` these are all records, otherwise only the changed ones. The store confirmed
    them `age_s` before this answer, which was made `waited_s` after the request had arrived.
    """

    refusal: WatchRefusal = WatchRefusal.NONE
    revision: int = 0
    is_complete: bool = False
    records: tuple[RelayedRecord, ...] = ()
    age_s: float = 0.0
    waited_s: float = 0.0
