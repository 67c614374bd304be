"""Collects the log lines of several processes that explain the outcome of one request."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime

# State that changed longer before the request than this rarely explains its failure.
RELATED_EVENT_WINDOW_S = 15.0

# Log keys that hold the id of a request.
REQUEST_KEYS = ("request", "request_id")
# Groups of log keys that name something that a request depends on. A line without a request id,
# with the same value under a key of the same group, may explain the outcome of the request.
SUBJECT_GROUPS = (
    frozenset({"server", "primary", "leading"}),
    frozenset({"gateway", "peer", "vm"}),
    frozenset({"service"}),
    frozenset({"account"}),
    frozenset({"manifest", "version"}),
)

_PAIR = re.compile(r'(?:^|\s)([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")


@dataclass(frozen=True, kw_only=True)
class LogEvent:
    """Hold one log line; `origin` is the text before the line's time, often the VM."""

    at: datetime
    origin: str
    source: str
    name: str
    values: dict[str, str] = field(default_factory=dict)

    @property
    def request(self) -> str:
        """Return the id of the line's request, empty if it has none."""
        return next((self.values[key] for key in REQUEST_KEYS if key in self.values), "")


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """Hold a request's events, the related events before its end, and its last outcome."""

    request: str
    events: tuple[LogEvent, ...]
    related_events: tuple[LogEvent, ...]
    outcome: str
    detail: str


def read_event(line: str) -> LogEvent | None:
    """Parse a log line; return None for a line in another format."""
    start = line.find("time=")
    if start < 0:
        return None
    values = {match[1]: _unquote(match[2]) for match in _PAIR.finditer(line[start:])}
    try:
        at = datetime.fromisoformat(values.pop("time", ""))
    except ValueError:
        return None
    name = values.pop("event", "")
    if not name:
        return None
    values.pop("level", None)
    return LogEvent(
        at=at if at.tzinfo else at.replace(tzinfo=UTC),
        origin=line[:start].strip(" :|[]\t"),
        source=values.pop("source", ""),
        name=name,
        values=values,
    )


def read_events(lines: Iterable[str]) -> Iterator[LogEvent]:
    """Parse log lines; skip lines in other formats."""
    for line in lines:
        event = read_event(line)
        if event is not None:
            yield event


def explain_request(request: str, events: Iterable[LogEvent]) -> Explanation | None:
    """Return the events that explain a request, None if no event has its id."""
    ordered = sorted(events, key=lambda event: event.at)
    own = [event for event in ordered if event.request == request]
    if not own:
        return None
    subjects = {pair for event in own for pair in _list_subjects(event)}
    first, last = own[0].at, own[-1].at
    related = [
        event
        for event in ordered
        if not event.request
        and event.at <= last
        and (first - event.at).total_seconds() <= RELATED_EVENT_WINDOW_S
        and not subjects.isdisjoint(_list_subjects(event))
    ]
    outcome_events = [
        event for event in own if "outcome" in event.values or "failure" in event.values
    ]
    values = outcome_events[-1].values if outcome_events else {}
    return Explanation(
        request=request,
        events=tuple(own),
        related_events=tuple(related),
        outcome=values.get("outcome") or values.get("failure") or "unknown",
        detail=values.get("detail", ""),
    )


def _list_subjects(event: LogEvent) -> set[tuple[int, str]]:
    """Return what a line refers to, as pairs of the number of a key group and a value."""
    return {
        (number, name)
        for number, keys in enumerate(SUBJECT_GROUPS)
        for key, value in event.values.items()
        if key in keys
        for name in value.split(",")
        if name not in ("", "-", "none")
    }


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(lambda match: "\n" if match[1] == "n" else match[1], value[1:-1])
