"""How the commands of `lentilctl` report changes and wait until they are in force."""

from functools import singledispatch
from typing import Any

import typer

from ..configuration.editing import Applied, ChangeResult, Conflict, Undecided
from ..operations.documents import compare, strip_value
from ..operations.proxies import InForce
from .access import ask_proxy
from .options import ExitCode
from .tables import print_json


def finish(
    results: list[ChangeResult], *, as_json: bool, wait: float, extra: dict[str, Any] | None = None
) -> None:
    """Report changes, then wait until the last one is in force everywhere."""
    reports = [describe_result(result) for result in results]
    if not as_json:
        for report in reports:
            typer.echo(report["text"])
    refused = [result for result in results if not isinstance(result, Applied)]
    revisions = [result.stored.revision for result in results if isinstance(result, Applied)]
    in_force = None
    if not refused and revisions and wait > 0:
        in_force = ask_proxy(lambda client: client.await_in_force(max(revisions), timeout_s=wait))
        if not as_json:
            _print_in_force(in_force)
    if as_json:
        print_json({"changes": reports, "in_force": _build_in_force(in_force), **(extra or {})})
    if refused:
        raise typer.Exit(
            ExitCode.CONFLICT if isinstance(refused[0], Conflict) else ExitCode.UNAVAILABLE
        )
    if in_force is not None and in_force.missing:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


@singledispatch
def describe_result(result: object) -> dict[str, Any]:
    """Return a change's result for people and programs."""
    raise TypeError(type(result).__name__)


@describe_result.register
def _(result: Applied) -> dict[str, Any]:
    stored = result.stored
    return {
        "text": f"accepted {stored.kind} {stored.name} version {stored.version}",
        "outcome": "accepted",
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "revision": stored.revision,
    }


@describe_result.register
def _(result: Conflict) -> dict[str, Any]:
    current = result.current.version if result.current is not None else 0
    sides = compare(
        strip_value(result.current),
        result.submitted,
        old_label=f"stored version {current}",
        new_label=f"submitted against version {result.expected_version}",
    )
    return {
        "text": f"conflict on {result.kind} {result.name}: it has version {current}, the change "
        f"was made against version {result.expected_version}\n{sides}",
        "outcome": "conflict",
        "kind": result.kind,
        "name": result.name,
        "expected_version": result.expected_version,
        "stored": strip_value(result.current),
        "stored_version": current,
        "submitted": result.submitted,
    }


@describe_result.register
def _(result: Undecided) -> dict[str, Any]:
    return {
        "text": f"unknown whether {result.kind} {result.name} was changed: the platform did not "
        "answer; show it and compare",
        "outcome": "unknown",
        "kind": result.kind,
        "name": result.name,
    }


def _print_in_force(in_force: InForce) -> None:
    total = len(in_force.confirmed) + len(in_force.missing)
    typer.echo(
        f"in force on {len(in_force.confirmed)} of {total} VMs after {in_force.waited_s:.1f} s"
    )
    if in_force.missing:
        typer.echo("not yet on " + ", ".join(in_force.missing))


def _build_in_force(in_force: InForce | None) -> dict[str, Any] | None:
    if in_force is None:
        return None
    return {"confirmed": in_force.confirmed, "missing": in_force.missing}
