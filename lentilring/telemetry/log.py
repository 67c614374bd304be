"""Logs with one line of key=value pairs for each event."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Protocol

import logbook

request_id: ContextVar[str] = ContextVar("request_id", default="")

LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "source={record.channel} {record.message}"
)


def format_value(value: object) -> str:
    """Format a value for a log line; quote empty text, spaces, quotes, `=` and line breaks."""
    text = str(value)
    if text and not any(character in text for character in ' "=\n'):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


class LineStream(Protocol):
    """Accept lines of text."""

    def write(self, text: str, /) -> int:
        """Write a line."""
        ...

    def flush(self) -> None:
        """Write out buffered lines."""
        ...


class Log:
    """Write events of one source."""

    def __init__(self, *, source: str) -> None:
        self._logger = logbook.Logger(source)

    def info(self, event: str, **values: object) -> None:
        """Log an event of normal work."""
        self._logger.info(_format_event(event, values))

    def warning(self, event: str, **values: object) -> None:
        """Log an event that may need an operator's attention."""
        self._logger.warning(_format_event(event, values))

    def error(self, event: str, **values: object) -> None:
        """Log a failure."""
        self._logger.error(_format_event(event, values))

    def debug(self, event: str, **values: object) -> None:
        """Log a detail for developers."""
        self._logger.debug(_format_event(event, values))


@contextmanager
def write_logs(*, level: str = "info", stream: LineStream | None = None) -> Iterator[None]:
    """Write events of a level and above to a stream (standard error by default)."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level.upper()), format_string=LINE_FORMAT
    )
    with handler.applicationbound():
        yield


def _format_event(event: str, values: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    current = request_id.get()
    if current:
        pairs.append(f"request_id={current}")
    pairs += [f"{key}={format_value(value)}" for key, value in values.items()]
    return " ".join(pairs)
