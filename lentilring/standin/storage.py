"""The file in which a backend server stand-in keeps its terms and log across restarts.

Each line is one JSON record and is written before the change is answered. A killed process loses
nothing that it answered; the file is not synced, so a crash of the machine may lose records.
"""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

import msgspec

from ..database.messages import TermStart
from ..errors import LentilringError
from .messages import LogEntry


class _Record(msgspec.Struct, frozen=True, tag_field="kind", forbid_unknown_fields=True):
    """Configure the JSON form that all records share."""


class Terms(_Record, frozen=True, tag="terms"):
    """Hold the server's terms and the primary that it follows."""

    term: int
    led_term: int
    matched_term: int
    primary_address: str
    start_position: int


class Appended(_Record, frozen=True, tag="appended"):
    """Hold an entry that was appended."""

    entry: LogEntry


class Truncated(_Record, frozen=True, tag="truncated"):
    """Hold the position after which entries were dropped."""

    position: int


class TermBegun(_Record, frozen=True, tag="term_begun"):
    """Hold a term whose start the log reached."""

    start: TermStart


Record: TypeAlias = Terms | Appended | Truncated | TermBegun

_decoder = msgspec.json.Decoder(Record)


@dataclass(kw_only=True, eq=False)
class StateFileInvalid(LentilringError):
    """Report a complete line that is not a valid record."""

    path: str
    line: int
    detail: str


class StateFile:
    """Append records to a file."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._file = path.open("ab+", buffering=0)

    def load(self) -> list[Record]:
        """Return all records; an incomplete last line, which was never answered, is cut off."""
        self._file.seek(0)
        lines = self._file.read().split(b"\n")
        incomplete = len(lines.pop())
        if incomplete:
            self._file.truncate(self._file.tell() - incomplete)
        return [self._decode(number, line) for number, line in enumerate(lines, start=1)]

    def write(self, record: Record) -> None:
        """Append a record without fsync; it survives a kill of the process."""
        line = msgspec.json.encode(record) + b"\n"
        while line:
            line = line[os.write(self._file.fileno(), line) :]

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _decode(self, number: int, line: bytes) -> Record:
        try:
            return _decoder.decode(line)
        except msgspec.DecodeError as error:
            raise StateFileInvalid(path=str(self._path), line=number, detail=str(error)) from error
