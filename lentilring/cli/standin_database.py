"""The `database` subcommand of `lentilring-standin`."""

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from ..database.messages import Role
from ..kernel import Kernel
from ..standin.database import DatabaseServer, ServerSettings
from ..standin.database_admin import DatabaseAdmin
from ..standin.database_server import DatabaseListener, TcpReplicationLink
from ..standin.storage import StateFile
from ..telemetry.log import Log, write_logs
from ..telemetry.metrics import Telemetry
from .options import ExitCode, check_address

DRAIN_DEADLINE_S = 5.0
PREFIX = "LENTILRING_STANDIN_"

app = typer.Typer()
log = Log(source="standin")


@dataclass(frozen=True, kw_only=True)
class DatabaseOptions:
    """Hold what the flags and environment variables say."""

    name: str
    listen: str
    admin: str
    role: Role
    term: int
    primary: str
    state_file: Path | None
    settings: ServerSettings


@app.command()
def database(
    name: Annotated[
        str, typer.Option(envvar=f"{PREFIX}NAME", help="Name of the server in logs and statuses.")
    ],
    listen: Annotated[
        str,
        typer.Option(
            envvar=f"{PREFIX}LISTEN",
            help="Address for clients and replicas, ip:port; 0: free port.",
        ),
    ] = "127.0.0.1:7400",
    admin: Annotated[
        str,
        typer.Option(
            envvar=f"{PREFIX}ADMIN", help="Address of the administration interface, ip:port."
        ),
    ] = "127.0.0.1:0",
    slots: Annotated[
        int, typer.Option(envvar=f"{PREFIX}SLOTS", min=1, help="Statements that run at once.")
    ] = 2,
    connections: Annotated[
        int,
        typer.Option(
            envvar=f"{PREFIX}CONNECTIONS",
            min=1,
            help="Greatest number of statement and control connections.",
        ),
    ] = 15,
    connect_delay_s: Annotated[
        float,
        typer.Option(
            envvar=f"{PREFIX}CONNECT_DELAY_S", min=0.0, help="Seconds until a connection opens."
        ),
    ] = 0.01,
    statement_time_s: Annotated[
        float,
        typer.Option(
            envvar=f"{PREFIX}STATEMENT_TIME_S",
            min=0.0,
            help="Seconds for which a statement holds its slot.",
        ),
    ] = 0.0,
    replication_lag_s: Annotated[
        float,
        typer.Option(
            envvar=f"{PREFIX}REPLICATION_LAG_S",
            min=0.0,
            help="Least age in seconds of an entry when this replica receives it.",
        ),
    ] = 0.0,
    role: Annotated[
        Role, typer.Option(envvar=f"{PREFIX}ROLE", help="Role at the start.")
    ] = Role.REPLICA,
    term: Annotated[
        int, typer.Option(envvar=f"{PREFIX}TERM", min=0, help="Term at the start.")
    ] = 1,
    primary: Annotated[
        str,
        typer.Option(
            envvar=f"{PREFIX}PRIMARY",
            help="Address of the primary that a replica follows at the start, ip:port.",
        ),
    ] = "",
    state_file: Annotated[
        Path | None,
        typer.Option(
            envvar=f"{PREFIX}STATE_FILE",
            help="File that keeps terms and log across restarts. Without it a restarted server "
            "forgets its promises, and acknowledged writes can be lost.",
        ),
    ] = None,
    log_level: Annotated[
        str,
        typer.Option(envvar=f"{PREFIX}LOG_LEVEL", help="debug, info, warning or error."),
    ] = "info",
) -> None:
    """Run a backend server: a replicated key-value store in memory, with an optional state file.

    The administration interface takes faults at run time: POST /faults with a JSON object of
    delay_s, silence (none, existing, all), pause_replication, refuse_connections,
    lose_next_answers and drop; POST /settings with connection_limit, connect_delay_s,
    statement_time_s and replication_lag_s. GET /status shows all of them, GET /journal?after=N the
    executed statements. SIGTERM lets running statements finish.
    """
    for address, flag in ((listen, "--listen"), (admin, "--admin"), (primary, "--primary")):
        if address or flag != "--primary":
            check_address(address, flag)
    options = DatabaseOptions(
        name=name,
        listen=listen,
        admin=admin,
        role=role,
        term=term,
        primary=primary,
        state_file=state_file,
        settings=ServerSettings(
            slots=slots,
            connection_limit=connections,
            connect_delay_s=connect_delay_s,
            statement_time_s=statement_time_s,
            replication_lag_s=replication_lag_s,
        ),
    )
    with write_logs(level=log_level):
        raise typer.Exit(asyncio.run(serve_database(options)))


async def serve_database(options: DatabaseOptions) -> ExitCode:
    """Serve until SIGTERM or SIGINT."""
    kernel = _build_kernel(options)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    try:
        await kernel.start()
    except OSError as error:
        log.error("cannot_listen", address=options.listen, admin=options.admin, detail=error)
        return ExitCode.FAILURE
    await stopped.wait()
    await kernel.drain(deadline_s=DRAIN_DEADLINE_S)
    await kernel.stop()
    return ExitCode.OK


def _build_kernel(options: DatabaseOptions) -> Kernel:
    telemetry = Telemetry()
    server = DatabaseServer(
        name=options.name,
        settings=options.settings,
        link=TcpReplicationLink(server=options.name, telemetry=telemetry),
        telemetry=telemetry,
        term=options.term,
        role=options.role,
        primary_address=options.primary if options.role is Role.REPLICA else "",
        state=StateFile(path=options.state_file) if options.state_file else None,
    )
    kernel = Kernel()
    kernel.register("admin", DatabaseAdmin(server=server, address=options.admin))
    kernel.register("database", DatabaseListener(server=server, address=options.listen))
    return kernel
