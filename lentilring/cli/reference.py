"""The reference page of all settings and configuration: `python -m lentilring.cli.reference`."""

import inspect
from collections.abc import Iterable
from dataclasses import MISSING, Field, dataclass, fields
from enum import StrEnum
from pathlib import Path
from types import NoneType, UnionType
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import typer

from ..configuration import models
from ..session_settings import SessionProxySettings
from ..settings import ProxySettings, format_constraint, has_default, list_settings, read_check
from .options import name_variable

# Units by the suffix of a field's name, which the house style asks for.
UNITS = {"_per_s": "requests/s", "_bytes": "bytes", "_s": "s", "burst": "requests"}
OBJECT_TYPES: dict[str, type] = {
    "service": models.ServiceDefinition,
    "template": models.Template,
    "client-account": models.ClientAccountParameters,
    "failure-domain": models.FailureDomain,
    "limit-settings": models.LimitSettings,
}
PART_TYPES: dict[str, type] = {
    "Database": models.Database,
    "Backend server": models.BackendServer,
    "Route": models.Route,
}
INTRODUCTION = """\
# Configuration

This page is generated: `python -m lentilring.cli.reference --output docs/configuration.md`.

## Settings of the proxy

Each setting of `lentilring-proxy` is a flag and an environment variable; a flag takes precedence.
The process checks all of them at start and ends with exit code 2 when one is not valid.
`lentilring-proxy --check` checks them without starting. The source is `lentilring/settings.py`.
"""
SESSION_INTRODUCTION = """\
## Settings of the session proxy

`lentilring-sessions` derives its settings from the platform's settings file
(`lentilring/platform/boot.py`): for example `max_sessions` from the process's descriptors, and
`connection_bytes` from the VM's memory. Settings that the file does not determine have the defaults
below; `docs/design/client-limits.md` describes the limits on clients. The source is
`lentilring/session_settings.py`.
"""
OBJECTS_INTRODUCTION = """\
## Configuration objects

Operators write these objects with `lentilctl`; the platform's store keeps them. A member that is
not listed is refused. The source is `lentilring/configuration/models.py`.
"""


@dataclass(frozen=True, kw_only=True)
class FieldType:
    """Describe a field's type and the values it allows."""

    name: str
    allowed: str = ""


def describe_page() -> str:
    """Return the reference page in Markdown."""
    parts = [INTRODUCTION, _describe_settings(), SESSION_INTRODUCTION, _describe_session_settings()]
    parts.append(OBJECTS_INTRODUCTION)
    parts += [_describe_model(f"Object `{kind}`", model) for kind, model in OBJECT_TYPES.items()]
    parts += [_describe_model(title, model) for title, model in PART_TYPES.items()]
    return "\n".join(parts)


def describe_type(hint: Any) -> FieldType:
    """Return what a field of a configuration object accepts."""
    origin, arguments = get_origin(hint), get_args(hint)
    if origin is Annotated:
        return _describe_annotated(arguments[0], arguments[1:])
    if origin in (Union, UnionType):
        inner = describe_type(next(entry for entry in arguments if entry is not NoneType))
        return FieldType(name=f"{inner.name} or null", allowed=inner.allowed)
    if origin is tuple:
        inner = describe_type(arguments[0])
        return FieldType(
            name=f"list of {inner.name}", allowed=inner.allowed and f"each {inner.allowed}"
        )
    if issubclass(hint, StrEnum):
        return FieldType(name="string", allowed=_quote(hint))
    names = {str: "string", float: "number", int: "integer", bool: "true or false"}
    return FieldType(name=names.get(hint) or _name_part(hint))


def find_unit(name: str) -> str:
    """Return the unit of a field by its name; empty when it has none."""
    return next((unit for suffix, unit in UNITS.items() if name.endswith(suffix)), "")


def _describe_settings() -> str:
    columns = ("flag", "environment variable", "default", "unit", "allowed values", "meaning")
    rows = []
    for entry in list_settings(ProxySettings):
        _, description, allowed = read_check(ProxySettings, entry.name)
        rows.append(
            (
                f"`--{entry.name.replace('_', '-')}`",
                f"`{name_variable(entry.name)}`",
                _format_default(entry),
                find_unit(entry.name),
                _format_allowed(allowed),
                description,
            )
        )
    return _format_table(columns, rows)


def _describe_session_settings() -> str:
    columns = ("setting", "default", "unit", "allowed values", "meaning")
    rows = []
    for entry in list_settings(SessionProxySettings):
        _, description, allowed = read_check(SessionProxySettings, entry.name)
        rows.append(
            (
                f"`{entry.name}`",
                _format_default(entry),
                find_unit(entry.name),
                _format_allowed(allowed),
                description,
            )
        )
    return _format_table(columns, rows)


def _describe_model(title: str, model: type) -> str:
    hints = get_type_hints(model, include_extras=True)
    rows = []
    for entry in fields(model):
        found = describe_type(hints[entry.name])
        rows.append(
            (
                f"`{entry.name}`",
                found.name,
                _format_default(entry),
                find_unit(entry.name),
                _format_allowed(found.allowed),
            )
        )
    table = _format_table(("member", "type", "default", "unit", "allowed values"), rows)
    return f"### {title}\n\n{inspect.getdoc(model)}\n\n{table}"


def _describe_annotated(base: Any, checks: Iterable[Any]) -> FieldType:
    inner = describe_type(base)
    own = [
        text
        for check in checks
        for entry in getattr(check, "metadata", [])
        if (text := format_constraint(entry))
    ]
    return FieldType(name=inner.name, allowed="; ".join([*own, *filter(None, [inner.allowed])]))


def _format_default(entry: Field[Any]) -> str:
    if not has_default(entry) and entry.default_factory is MISSING:
        return "required"
    if entry.default is None:
        return "null"
    if entry.default == "":
        return "empty"
    if isinstance(entry.default, bool):
        return f"`{str(entry.default).lower()}`"
    if isinstance(entry.default, tuple):
        return "`[]`" if not entry.default else f"`{list(entry.default)}`"
    return f"`{entry.default}`"


def _format_allowed(allowed: str) -> str:
    """Quote patterns, whose characters Markdown would otherwise interpret."""
    parts = []
    for part in allowed.split("; "):
        text, matched, pattern = part.partition("matching ")
        parts.append(f"{text}matching `{pattern}`" if matched else part)
    return "; ".join(parts)


def _format_table(columns: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    names = list(columns)
    lines = [names, ["---"] * len(names), *rows]
    escaped = [[cell.replace("|", "\\|") for cell in line] for line in lines]
    return "".join(f"| {' | '.join(line)} |\n" for line in escaped)


def _quote(choices: type[StrEnum]) -> str:
    return ", ".join(f"`{choice}`" for choice in choices)


def _name_part(model: type) -> str:
    titles = {part: title for title, part in PART_TYPES.items()}
    return titles[model].lower()


def main(
    output: Annotated[
        Path | None, typer.Option(help="File to write; standard output when left out.")
    ] = None,
) -> None:
    """Write the reference page."""
    page = describe_page()
    if output is None:
        typer.echo(page, nl=False)
        return
    output.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    typer.run(main)
