"""The statement protocol, which callers and backend servers speak in lines of text."""

from ..statements.model import (
    Begin,
    ClientMessage,
    CloseSession,
    Commit,
    Deallocate,
    Done,
    Execute,
    Failed,
    Failure,
    OpenSession,
    Position,
    Prepare,
    Query,
    Read,
    Rollback,
    SetValue,
    Statement,
    StatementOutcome,
    TransactionState,
    UnreadableMessage,
    Write,
)

LINE_END = b"\r\n"
MAX_LINE_BYTES = 1024 * 1024
NO_VALUE = "-"
FAILURE_CODES = {
    Failure.OVERLOADED: "BUSY",
    Failure.ABORTED: "ABORTED",
    Failure.BEHIND: "LAGGING",
    Failure.NOT_PRIMARY: "READONLY",
    Failure.WRONG_SERVER: "MISROUTED",
    Failure.CONNECTIONS_EXHAUSTED: "CONNLIMIT",
    Failure.FAILED: "FAILED",
    Failure.UNKNOWN_PREPARED: "NOSTMT",
    Failure.TIMED_OUT: "TIMEOUT",
    Failure.UNAUTHORIZED: "UNAUTH",
    Failure.UNKNOWN_DATABASE: "NODB",
    Failure.TOO_LARGE: "TOOBIG",
    Failure.MALFORMED: "MALFORMED",
    Failure.UNCERTAIN: "INDOUBT",
}
FAILURES = {code: failure for failure, code in FAILURE_CODES.items()}
STATE_CODES = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
STATES = {code: state for state, code in STATE_CODES.items()}
WRITE_WORD = "WRITE"
READ_WORD = "READ"


class LineCodec:
    """Decode the lines that callers send and encode the lines that answer them."""

    max_line_bytes = MAX_LINE_BYTES
    line_end = LINE_END

    def decode(self, line: bytes) -> ClientMessage:
        """Return the message in a line, which is passed without its line end."""
        try:
            text = line.decode()
        except UnicodeDecodeError:
            return _build_unreadable("", "bytes that are not text")
        word, _, rest = text.partition(" ")
        if word == "QUERY":
            return _decode_query(rest)
        if word == "START":
            database, _, key = rest.partition(" ")
            if not database or " " in key:
                return _build_unreadable("", "a session names a database and a key")
            return OpenSession(database=database, key=key)
        if word == "TERMINATE" and not rest:
            return CloseSession()
        return _build_unreadable("", "unknown message")

    def encode_ready(self, state: TransactionState, position: Position | None) -> bytes:
        """Return the line that ends every answer."""
        position_text = NO_VALUE if position is None else str(position)
        return f"READY {STATE_CODES[state]} {position_text}\r\n".encode()

    def encode_outcome(self, outcome: StatementOutcome, state: TransactionState) -> bytes:
        """Return all lines that answer a statement."""
        if isinstance(outcome, Failed):
            return self.encode_failure(outcome) + self.encode_ready(state, outcome.position)
        lines = "".join(f"DATAROW {row}\r\n" for row in outcome.rows)
        lines += f"COMPLETE {outcome.proof or NO_VALUE}\r\n"
        return lines.encode() + self.encode_ready(state, outcome.position)

    def encode_failure(self, failed: Failed) -> bytes:
        """Return the line of a failure."""
        detail = failed.detail or failed.failure
        if failed.retry_after_s is not None:
            detail += f"; retry after {round(failed.retry_after_s * 1000)} ms"
        return f"ERROR {FAILURE_CODES[failed.failure]} {detail}\r\n".encode()

    def rename_prepared(self, text: str, name: str) -> str:
        """Return the text of an execution with `name` in place of the caller's own name."""
        word, _, rest = text.partition(" ")
        _, _, arguments = rest.partition(" ")
        return f"{word} {name} {arguments}" if arguments else f"{word} {name}"


def _decode_query(rest: str) -> ClientMessage:
    request_id, _, text = rest.partition(" ")
    if not request_id or not text:
        return _build_unreadable(request_id, "a query has an id and a text")
    statement = _decode_statement(text)
    if statement is None:
        return _build_unreadable(request_id, "unknown statement")
    return Query(request_id=request_id, statement=statement, text=text)


def _decode_statement(text: str) -> Statement | None:
    word, _, rest = text.partition(" ")
    if word == READ_WORD:
        return Read() if rest and " " not in rest else None
    if word == WRITE_WORD:
        item, _, data = rest.partition(" ")
        return Write() if item and data else None
    if word == "EXECUTE":
        name, _, arguments = rest.partition(" ")
        return Execute(name=name) if name and arguments else None
    if word == "BEGIN":
        return Begin(read_only=bool(rest)) if rest in ("", READ_WORD) else None
    if word == "COMMIT":
        return Commit() if not rest else None
    if word == "ROLLBACK":
        return Rollback() if not rest else None
    return _decode_session_statement(word, rest)


def _decode_session_statement(word: str, rest: str) -> Statement | None:
    if word == "SET":
        name, _, value = rest.partition(" ")
        return SetValue(name=name, value=value) if name and value else None
    if word == "PREPARE":
        fields = rest.split(" ", 2)
        if len(fields) != 3 or fields[1] not in (READ_WORD, WRITE_WORD):
            return None
        return Prepare(name=fields[0], writes=fields[1] == WRITE_WORD, shape=fields[2])
    if word == "CLOSE":
        return Deallocate(name=rest) if rest and " " not in rest else None
    return None


def _build_unreadable(request_id: str, detail: str) -> UnreadableMessage:
    return UnreadableMessage(request_id=request_id, failure=Failure.MALFORMED, detail=detail)


def decode_position(text: str) -> Position | None:
    """Return the position in a text `TERM.NUMBER`, or None if the text has another form."""
    term, _, number = text.partition(".")
    if not (term.isdecimal() and number.isdecimal()):
        return None
    return Position(term=int(term), number=int(number))


def build_failure(code: str, detail: str, position: Position | None) -> Failed:
    """Return the failure for a server's error code; unknown codes become `FAILED`."""
    return Failed(failure=FAILURES.get(code, Failure.FAILED), detail=detail, position=position)


def build_success(rows: list[str], proof: str, position: Position | None) -> Done:
    """Return the outcome of a statement that ran."""
    return Done(rows=tuple(rows), proof="" if proof == NO_VALUE else proof, position=position)
