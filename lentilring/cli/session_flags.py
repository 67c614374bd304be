"""Flags of the `lentilring-sessions` program."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from ..platform.boot import BOOT_VARIABLE, read_boot_file
from ..setting_types import LogLevel
from .options import VERSION_OPTION, ExitCode
from .session_serving import LEVEL_VARIABLE, serve

application = typer.Typer(add_completion=True, pretty_exceptions_enable=False)

BOOT_OPTION = Annotated[
    Path, typer.Option("--boot-file", envvar=BOOT_VARIABLE, help="Settings file of the platform.")
]
CHECK_OPTION = Annotated[
    bool, typer.Option("--check", help="Check the settings and exit without starting.")
]
LEVEL_OPTION = Annotated[
    LogLevel,
    typer.Option("--log-level", envvar=LEVEL_VARIABLE, help="Least level of events."),
]


@application.command()
def run(
    boot_file: BOOT_OPTION,
    log_level: LEVEL_OPTION = LogLevel.INFO,
    check: CHECK_OPTION = False,
    version: VERSION_OPTION = False,
) -> None:
    """Serve callers' sessions on a prepared platform.

    SIGTERM and SIGINT stop gracefully: readiness turns false, transactions finish.
    """
    try:
        settings = read_boot_file(boot_file)
    except (OSError, msgspec.MsgspecError) as error:
        typer.echo(f"{boot_file}: {error}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    if check:
        typer.echo("settings are valid")
        raise typer.Exit(ExitCode.OK)
    serve(settings, log_level)
