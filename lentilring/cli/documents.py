"""The commands of `lentilctl` that show and change documents."""

from pathlib import Path
from typing import Annotated, Any

import typer

from ..configuration.editing import Applied, ChangeResult
from ..configuration.parsing import ObjectInvalid
from ..operations.changes import ObjectMissing, apply_document
from ..operations.changes import roll_back as roll_back_object
from ..operations.documents import (
    EDITABLE_KINDS,
    DocumentInvalid,
    compare,
    format_document,
    read_documents,
    strip_value,
)
from ..platform.client import HttpStore
from .access import DEFAULT_WAIT_S, Json, Wait, fail, with_store
from .options import ExitCode
from .results import finish
from .tables import print_json, print_table


def show(
    kind: Annotated[str | None, typer.Argument(help="Kind of object.")] = None,
    name: Annotated[str | None, typer.Argument(help="Name of the object.")] = None,
    as_json: Json = False,
) -> None:
    """Show the kinds, the objects of a kind, or one object as a document to edit."""
    kinds = [kind] if kind else list(EDITABLE_KINDS)

    async def work(store: HttpStore) -> Any:
        if kind and name:
            return [await store.get(kind, name)]
        return (await store.list(kinds)).objects

    found = [entry for entry in with_store(work) if entry is not None]
    if name and (not found or found[0].value is None):
        fail(ObjectMissing(kind=str(kind), name=name), ExitCode.FAILURE)
    if as_json:
        print_json([{"kind": e.kind, "version": e.version, "value": strip_value(e)} for e in found])
    elif name:
        typer.echo(format_document(found[0]), nl=False)
    else:
        rows = [(e.kind, e.name, e.version, e.revision) for e in found if e.value is not None]
        print_table(("KIND", "NAME", "VERSION", "REVISION"), rows)


def validate(files: Annotated[list[Path], typer.Argument(help="YAML documents.")]) -> None:
    """Check documents without reaching the platform."""
    for file in files:
        for document in _read(file):
            typer.echo(f"{file}: {document.kind} {document.name} is valid")


def diff(files: Annotated[list[Path], typer.Argument(help="YAML documents.")]) -> None:
    """Show what applying documents would change."""

    async def work(store: HttpStore) -> None:
        for file in files:
            for document in _read(file):
                current = await store.get(document.kind, document.name)
                version = current.version if current is not None else 0
                label = f"{document.kind}/{document.name}"
                text = compare(
                    strip_value(current),
                    document.value,
                    old_label=f"{label} stored version {version}",
                    new_label=f"{label} {file}",
                )
                typer.echo(text or f"{label}: no difference")

    with_store(work)


def apply(
    files: Annotated[list[Path], typer.Argument(help="YAML documents.")],
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Apply documents, each against the version that it names (none: must not exist)."""
    documents = [document for file in files for document in _read(file)]

    async def work(store: HttpStore) -> list[ChangeResult]:
        results: list[ChangeResult] = []
        for document in documents:
            results.append(await apply_document(store, document))
            if not isinstance(results[-1], Applied):
                break
        return results

    finish(with_store(work), as_json=as_json, wait=wait)


def roll_back(
    kind: Annotated[str, typer.Argument(help="Kind of object.")],
    name: Annotated[str, typer.Argument(help="Name of the object.")],
    to: Annotated[int, typer.Option(help="Earlier version whose value to apply again.")],
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Apply an earlier version's value as a new version."""
    result = with_store(lambda store: roll_back_object(store, kind, name, to))
    finish([result], as_json=as_json, wait=wait)


def _read(file: Path) -> list[Any]:
    try:
        return list(read_documents(file))
    except (DocumentInvalid, ObjectInvalid) as error:
        fail(error, ExitCode.USAGE)
        raise
