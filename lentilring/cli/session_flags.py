"""The `lentilring-sessions` program."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from pydantic import ValidationError

from ..platform.boot import BOOT_VARIABLE, read_boot_file
from ..session_process import run_session_proxy
from ..setting_types import LogLevel
from ..telemetry.log import write_logs
from ..telemetry.output import BoundedStream
from .options import VERSION_OPTION, ExitCode

application = typer.Typer(add_completion=True, pretty_exceptions_enable=False)

BOOT_OPTION = Annotated[
    Path, typer.Option("--boot-file", envvar=BOOT_VARIABLE, help="Settings file of the platform.")
]
CHECK_OPTION = Annotated[
    bool, typer.Option("--check", help="Check the settings and exit without starting.")
]
LEVEL_OPTION = Annotated[
    LogLevel,
    typer.Option("--log-level", envvar="LENTILRING_LOG_LEVEL", help="Least level of events."),
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
    except (OSError, msgspec.MsgspecError, ValidationError) as error:
        typer.echo(f"{boot_file}: {error}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    if check:
        typer.echo("settings are valid")
        raise typer.Exit(ExitCode.OK)
    stream = BoundedStream(descriptor=sys.stdout.fileno())
    with write_logs(level=log_level, stream=stream):
        asyncio.run(run_session_proxy(settings))
    stream.close()


def main() -> None:
    """Run the program."""
    application()


if __name__ == "__main__":
    main()
