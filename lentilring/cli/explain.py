"""The command `lentilctl explain`."""

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated, Any

import typer

from ..operations.explanation import Explanation, LogEvent, explain_request, read_events
from .options import ExitCode
from .tables import print_json


def explain(
    request: Annotated[str, typer.Argument(help="Id of the request, as its caller chose it.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of any number of processes; standard input without any."),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON instead of text.")] = False,
) -> None:
    """Show a request's course through several processes' logs and what decided its outcome."""
    explanation = _read(request, logs or [])
    if explanation is None:
        typer.echo(f"error: no line names the request {request}", err=True)
        raise typer.Exit(ExitCode.FAILURE)
    if as_json:
        print_json(_build_document(explanation))
        return
    for line in format_explanation(explanation):
        typer.echo(line)


def format_explanation(explanation: Explanation) -> list[str]:
    """Format an explanation as lines of text, with times in ms since the request's first event."""
    first = explanation.events[0].at
    detail = f": {explanation.detail}" if explanation.detail not in ("", "-") else ""
    lines = [f"request {explanation.request} ended as {explanation.outcome}{detail}"]
    labelled = [(event, "request") for event in explanation.events]
    labelled += [(event, "belief") for event in explanation.related_events]
    for event, label in sorted(labelled, key=lambda entry: entry[0].at):
        after_ms = (event.at - first).total_seconds() * 1000
        lines.append(f"{after_ms:+10.1f} ms  {label:<7}  {_describe(event)}")
    return lines


def _read(request: str, logs: list[Path]) -> Explanation | None:
    if not logs:
        return explain_request(request, read_events(sys.stdin))
    with ExitStack() as stack:
        files = [stack.enter_context(path.open(errors="replace")) for path in logs]
        return explain_request(request, read_events(line for file in files for line in file))


def _describe(event: LogEvent) -> str:
    values = " ".join(f"{key}={value}" for key, value in event.values.items())
    origin = f"{event.origin} " if event.origin else ""
    return f"{origin}{event.source}/{event.name} {values}".rstrip()


def _build_document(explanation: Explanation) -> dict[str, Any]:
    return {
        "request": explanation.request,
        "outcome": explanation.outcome,
        "detail": explanation.detail,
        "events": [_build_event(event) for event in explanation.events],
        "beliefs": [_build_event(event) for event in explanation.related_events],
    }


def _build_event(event: LogEvent) -> dict[str, Any]:
    return {
        "time": event.at.isoformat(),
        "origin": event.origin,
        "source": event.source,
        "event": event.name,
        "values": event.values,
    }
