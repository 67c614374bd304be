"""Configuration documents: YAML with a kind, the version that was edited, and a value."""

import difflib
from dataclasses import dataclass
from pathlib import Path

import yaml

from ..configuration.parsing import CHANGE_ID_FIELD, parse_object
from ..configuration.service import LIMIT_SETTINGS_NAME
from ..errors import LentilringError
from ..outcomes import JsonValue
from ..platform.store import Kind, StoredObject

EDITABLE_KINDS = (
    Kind.TEMPLATE,
    Kind.CLIENT_ACCOUNT,
    Kind.SERVICE,
    Kind.FAILURE_DOMAIN,
    Kind.LIMIT_SETTINGS,
)
DOCUMENT_FIELDS = frozenset({"kind", "version", "value"})


@dataclass(kw_only=True, eq=False)
class DocumentInvalid(LentilringError):
    """Report that a document does not describe a configuration object."""

    path: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class Document:
    """Hold an object to apply; with version 0 it must not exist yet."""

    kind: str
    name: str
    version: int
    value: dict[str, JsonValue]


def read_documents(path: Path) -> list[Document]:
    """Return the documents of a file after validation; raise DocumentInvalid or ObjectInvalid."""
    try:
        contents = [entry for entry in yaml.safe_load_all(path.read_text()) if entry is not None]
    except (OSError, yaml.YAMLError) as error:
        raise DocumentInvalid(path=str(path), detail=str(error)) from error
    documents = [
        _parse_document(f"{path}#{index}", content) for index, content in enumerate(contents, 1)
    ]
    for document in documents:
        parse_object(document.kind, document.name, document.value)
    return documents


def format_document(stored: StoredObject) -> str:
    """Return a stored object as a YAML document that can be edited and applied."""
    content = {"kind": stored.kind, "version": stored.version, "value": strip_value(stored)}
    return yaml.safe_dump(content, sort_keys=False)


def strip_value(stored: StoredObject | None) -> dict[str, JsonValue] | None:
    """Return a stored object's value without the change id."""
    if stored is None or stored.value is None:
        return None
    return {key: entry for key, entry in stored.value.items() if key != CHANGE_ID_FIELD}


def compare(
    old: dict[str, JsonValue] | None,
    new: dict[str, JsonValue] | None,
    *,
    old_label: str,
    new_label: str,
) -> str:
    """Return a unified diff of two values."""
    lines = difflib.unified_diff(
        _dump(old).splitlines(),
        _dump(new).splitlines(),
        fromfile=old_label,
        tofile=new_label,
        lineterm="",
    )
    return "\n".join(lines)


def _dump(value: dict[str, JsonValue] | None) -> str:
    return "" if value is None else yaml.safe_dump(value, sort_keys=True)


def _parse_document(path: str, content: object) -> Document:
    if not isinstance(content, dict):
        raise DocumentInvalid(path=path, detail="a mapping is required")
    unknown = sorted(str(field) for field in set(content) - DOCUMENT_FIELDS)
    if unknown:
        raise DocumentInvalid(path=path, detail=f"unknown field {unknown[0]}")
    kind, version, value = content.get("kind"), content.get("version", 0), content.get("value")
    if kind not in EDITABLE_KINDS:
        allowed = ", ".join(EDITABLE_KINDS)
        raise DocumentInvalid(path=path, detail=f"kind: {kind!r} is not one of {allowed}")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise DocumentInvalid(path=path, detail=f"version: {version!r} is not a version")
    if not isinstance(value, dict):
        raise DocumentInvalid(path=path, detail="value: a mapping is required")
    name = LIMIT_SETTINGS_NAME if kind == Kind.LIMIT_SETTINGS else value.get("name")
    if not isinstance(name, str):
        raise DocumentInvalid(path=path, detail="value.name: a text is required")
    return Document(kind=str(kind), name=name, version=version, value=value)
