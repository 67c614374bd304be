"""The `lentilring-proxy` program."""

import asyncio
from typing import Annotated

import typer

from ..process import run_proxy
from ..settings import ProxySettings
from ..telemetry.log import write_logs
from ..telemetry.stacks import write_stacks_on_signal
from .options import VERSION_OPTION, ExitCode, add_settings

application = typer.Typer(add_completion=True, pretty_exceptions_enable=False)

CHECK_OPTION = Annotated[
    bool, typer.Option("--check", help="Check the settings and exit without starting.")
]


@add_settings(ProxySettings, extra={"check": CHECK_OPTION, "version": VERSION_OPTION})
def run(settings: ProxySettings, *, check: bool, version: bool) -> None:
    """Serve callers and take part in the coordination of the deployment.

    SIGTERM and SIGINT stop gracefully: readiness turns false, running requests finish.
    """
    if check:
        typer.echo("settings are valid")
        raise typer.Exit(ExitCode.OK)
    write_stacks_on_signal()
    with write_logs(level=settings.log_level):
        asyncio.run(run_proxy(settings))


application.command()(run)


def main() -> None:
    """Run the program."""
    application()
