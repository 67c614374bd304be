"""The `lentilring-standin` program: stand-ins for the outside systems, for tests and the demo."""

import asyncio
import signal
from importlib.metadata import version
from typing import Annotated

import typer

from ..kernel import Kernel
from ..platform.store import VmEntry
from ..standin.objects import ObjectTable
from ..standin.platform import PlatformServer
from ..telemetry.log import Log, write_logs
from . import standin_database
from .options import ExitCode, check_address

DRAIN_DEADLINE_S = 2.0

application = typer.Typer(
    add_completion=True,
    no_args_is_help=True,
    help="Run stand-ins for the systems around lentilring. They keep everything in memory.",
)
log = Log(source="standin")

# Subcommands of other modules are added here: application.add_typer(standin_<name>.app)
application.add_typer(standin_database.app)


def main() -> None:
    """Run the program."""
    application()


def show_version(wanted: bool) -> None:
    """Print the version and end."""
    if wanted:
        typer.echo(f"lentilring-standin {version('lentilring')}")
        raise typer.Exit


@application.callback()
def describe(
    _: Annotated[
        bool,
        typer.Option("--version", help="Print the version.", callback=show_version, is_eager=True),
    ] = False,
) -> None:
    """Run stand-ins for the systems around lentilring. They keep everything in memory."""


@application.command()
def platform(
    listen: Annotated[
        str,
        typer.Option(
            envvar="LENTILRING_STANDIN_LISTEN",
            help="Address to listen on, ip:port; port 0 takes a free port, which is logged.",
        ),
    ] = "127.0.0.1:7300",
    vm_lag_s: Annotated[
        float,
        typer.Option(
            envvar="LENTILRING_STANDIN_VM_LAG_S",
            min=0.0,
            help="Seconds until a change of the VM list shows.",
        ),
    ] = 0.0,
    vm: Annotated[
        list[str] | None,
        typer.Option(
            envvar="LENTILRING_STANDIN_VMS",
            metavar="NAME=IP:PORT,FAILURE_DOMAIN,REGION",
            help="VM that is listed from the start; repeat the flag, or separate by spaces in the "
            "environment variable.",
        ),
    ] = None,
    log_level: Annotated[
        str,
        typer.Option(envvar="LENTILRING_STANDIN_LOG_LEVEL", help="debug, info, warning or error."),
    ] = "info",
) -> None:
    """Run the platform: an object store with versions and watches, and the list of VMs.

    POST /faults sets outage, silent, delay_s, lose_answers and vm_lag_s; GET /calls counts calls.
    """
    check_address(listen, "--listen")
    entries = [parse_vm(text) for text in vm or []]
    with write_logs(level=log_level):
        raise typer.Exit(asyncio.run(serve_platform(listen, vm_lag_s, entries)))


async def serve_platform(listen: str, vm_lag_s: float, entries: list[VmEntry]) -> ExitCode:
    """Serve until SIGTERM or SIGINT."""
    server = PlatformServer(address=listen, table=ObjectTable(), vm_lag_s=vm_lag_s)
    for entry in entries:
        server.register(entry)
    kernel = Kernel()
    kernel.register("platform", server)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    try:
        await kernel.start()
    except OSError as error:
        log.error("cannot_listen", address=listen, detail=error)
        return ExitCode.FAILURE
    await stopped.wait()
    await kernel.drain(deadline_s=DRAIN_DEADLINE_S)
    await kernel.stop()
    return ExitCode.OK


def parse_vm(text: str) -> VmEntry:
    """Return the entry of NAME=IP:PORT,FAILURE_DOMAIN,REGION."""
    name, _, rest = text.partition("=")
    parts = rest.split(",")
    if not name or len(parts) != 3 or not all(parts):
        raise typer.BadParameter(
            f"{text!r} is not NAME=IP:PORT,FAILURE_DOMAIN,REGION", param_hint="--vm"
        )
    check_address(parts[0], "--vm")
    return VmEntry(name=name, address=parts[0], failure_domain=parts[1], region=parts[2])


if __name__ == "__main__":
    main()
