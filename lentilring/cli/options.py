"""Typer options made from a settings class, so that each setting is declared once."""

import inspect
from collections.abc import Callable
from enum import IntEnum
from typing import Annotated, Any, TypeVar

import typer
from pydantic import ValidationError

from .. import __version__
from ..settings import ENVIRONMENT_PREFIX, has_default, list_settings, read_check

S = TypeVar("S")

NUMBER_METAVARS = {int: "INTEGER", float: "FLOAT"}


class ExitCode(IntEnum):
    """Name the exit codes of all programs."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_IN_FORCE = 5


def name_variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def add_settings(
    settings: type[S], *, extra: dict[str, Any] | None = None
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Decorate `run(settings, **extra)` so that typer sees one option for each setting."""

    def decorate(run: Callable[..., None]) -> Callable[..., None]:
        def command(**values: Any) -> None:
            others = {name: values.pop(name) for name in extra or {}}
            run(parse_settings(settings, values), **others)

        parameters = [_build_parameter(settings, entry) for entry in list_settings(settings)]
        parameters += [
            inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, annotation=hint, default=False)
            for name, hint in (extra or {}).items()
        ]
        command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        command.__annotations__ = {entry.name: entry.annotation for entry in parameters}
        command.__doc__ = run.__doc__
        command.__name__ = run.__name__
        return command

    return decorate


def parse_settings(settings: type[S], values: dict[str, Any]) -> S:
    """Return checked settings, or exit with one line for each bad value."""
    try:
        return settings(**values)
    except ValidationError as error:
        for problem in error.errors():
            name = str(problem["loc"][0])
            shown = "(hidden)" if name in ("secret", "admin_token") else repr(problem["input"])
            flag = "--" + name.replace("_", "-")
            typer.echo(f"{flag} ({name_variable(name)}) = {shown}: {problem['msg']}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error


def check_address(text: str, option: str) -> None:
    """Raise BadParameter unless a text is ip:port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise typer.BadParameter(f"{text!r} is not IP:PORT", param_hint=option)


def show_version(value: bool) -> None:
    """Print the version and exit."""
    if value:
        typer.echo(__version__)
        raise typer.Exit(ExitCode.OK)


VERSION_OPTION = Annotated[
    bool,
    typer.Option("--version", callback=show_version, is_eager=True, help="Print the version."),
]


def _build_parameter(settings: type, entry: Any) -> inspect.Parameter:
    base, description, allowed = read_check(settings, entry.name)
    hint = f"{description}; {allowed}" if allowed else description
    option = typer.Option(
        "--" + entry.name.replace("_", "-"),
        envvar=name_variable(entry.name),
        help=hint.replace("[", "\\["),
        metavar=NUMBER_METAVARS.get(base),
    )
    default = entry.default if has_default(entry) else inspect.Parameter.empty
    if base in NUMBER_METAVARS:
        # typer's own message for a text that is not a number leaves out the text.
        base = str
        default = str(default) if has_default(entry) else default
    return inspect.Parameter(
        entry.name,
        inspect.Parameter.KEYWORD_ONLY,
        annotation=Annotated[base, option],
        default=default,
    )
