"""The request log: one JSON object a line, read by the checker and the report."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any, BinaryIO, TypeAlias

import msgspec

from ..errors import LentilringError


class RequestKind(StrEnum):
    """Name the kinds of requests."""

    READ = "read"
    WRITE = "write"
    REPEATABLE_WRITE = "repeatable_write"
    BEGIN = "begin"
    STATEMENT = "statement"
    COMMIT = "commit"


class RequestOutcome(StrEnum):
    """Say what the caller knows; `not_sent`: no proxy took the connection."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_SENT = "not_sent"


class AccountLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an account's configured limits."""

    rate_per_s: float
    burst: float


class RunHeader(msgspec.Struct, frozen=True, kw_only=True, tag="run"):
    """Begin a log: what the checker needs to know of the scenario."""

    scenario: str
    seed: int
    accounts: dict[str, AccountLimits]
    proxies: dict[str, str]
    backend_servers: dict[str, str]
    unmeasured_phases: tuple[str, ...] = ()


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True, tag="request", omit_defaults=True):
    """Describe one request; times in seconds since the start of the run.

    `counter` names the number that the statement adds 1 to or reads; its results prove what ran.
    `position` is the session token that the answer carried, (term, position).
    """

    scheduled: float
    sent: float
    answered: float
    phase: str
    proxy: str
    account: str
    key_id: str
    kind: RequestKind
    route: str
    database: str
    session: str
    request_id: str
    outcome: RequestOutcome
    idempotency_key: str = ""
    counter: str = ""
    reason: str = ""
    detail: str = ""
    served_by: str = ""
    from_replica: bool = False
    replayed: bool = False
    result: Any = None
    position: tuple[int, int] | None = None


class FaultMark(msgspec.Struct, frozen=True, kw_only=True, tag="fault"):
    """Mark a fault; its action began and ended at these seconds.

    A command's first output says that its change was accepted, after the start of its process.
    """

    began: float
    ended: float
    name: str
    event: str
    target: str
    first_output: float | None = None
    output: str = ""

    @property
    def effective(self) -> float:
        """Return since when the change is in effect."""
        return self.began if self.first_output is None else self.first_output


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True, tag="journal"):
    """Repeat what a stand-in's journal says that it ran."""

    server: str
    request_id: str
    idempotency_key: str
    client_account: str
    action: str
    term: int
    position: int


class ServerLog(msgspec.Struct, frozen=True, kw_only=True, tag="server_log"):
    """Hold where each term of a backend server's log begins, at the end of the run."""

    server: str
    database: str
    term_starts: tuple[tuple[int, int], ...]


LogRecord: TypeAlias = RunHeader | RequestRecord | FaultMark | JournalEntry | ServerLog

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(LogRecord)


@dataclass(kw_only=True, eq=False)
class LogInvalid(LentilringError):
    """Report a line of a request log that cannot be read."""

    file: str
    line: int
    detail: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.detail}"


@dataclass(frozen=True, kw_only=True)
class RequestLog:
    """Hold a log by type of record; requests in the order they were sent."""

    header: RunHeader
    requests: list[RequestRecord]
    faults: list[FaultMark]
    journal: list[JournalEntry]
    server_logs: list[ServerLog]

    @property
    def measured(self) -> list[RequestRecord]:
        """Return the requests outside warm-up."""
        skipped = set(self.header.unmeasured_phases)
        return [entry for entry in self.requests if entry.phase not in skipped]


class LogWriter:
    """Append records to a file."""

    def __init__(self, *, stream: BinaryIO) -> None:
        self._stream = stream

    def write(self, record: LogRecord) -> None:
        """Add one line."""
        self._stream.write(_ENCODER.encode(record) + b"\n")


def collect_records(records: Iterable[LogRecord]) -> RequestLog:
    """Return the records by type; the first header counts."""
    listed = list(records)
    requests = [entry for entry in listed if isinstance(entry, RequestRecord)]
    return RequestLog(
        header=next(entry for entry in listed if isinstance(entry, RunHeader)),
        requests=sorted(requests, key=lambda entry: entry.sent),
        faults=[entry for entry in listed if isinstance(entry, FaultMark)],
        journal=[entry for entry in listed if isinstance(entry, JournalEntry)],
        server_logs=[entry for entry in listed if isinstance(entry, ServerLog)],
    )


def read_log(file: Path) -> RequestLog:
    """Return the log of a file; raise LogInvalid."""
    records: list[LogRecord] = []
    with file.open("rb") as stream:
        for number, line in enumerate(stream, start=1):
            try:
                records.append(_DECODER.decode(line))
            except msgspec.DecodeError as error:
                raise LogInvalid(file=str(file), line=number, detail=str(error)) from error
    if not any(isinstance(entry, RunHeader) for entry in records):
        raise LogInvalid(file=str(file), line=1, detail="no run header")
    return collect_records(records)
