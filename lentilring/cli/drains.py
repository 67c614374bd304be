"""The commands `lentilctl failure-domain` and `lentilctl database`."""

from typing import Annotated

import typer

from ..configuration.models import DrainState
from ..operations.changes import set_database_state, set_failure_domain_state
from .access import DEFAULT_WAIT_S, Json, Wait, with_store
from .results import finish

domains = typer.Typer(no_args_is_help=True, help="Drain failure domains and return them.")
databases = typer.Typer(no_args_is_help=True, help="Drain databases or single backend servers.")


@domains.command("drain")
def drain_domain(
    name: Annotated[str, typer.Argument(help="Failure domain.")],
    region: Annotated[str | None, typer.Option(help="Its region, if it has no object yet.")] = None,
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Take a failure domain out of service."""
    _set_domain(name, DrainState.DRAINED, region, as_json, wait)


@domains.command("return")
def return_domain(
    name: Annotated[str, typer.Argument(help="Failure domain.")],
    region: Annotated[str | None, typer.Option(help="Its region, if it has no object yet.")] = None,
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Return a failure domain to service."""
    _set_domain(name, DrainState.IN_SERVICE, region, as_json, wait)


@databases.command("drain")
def drain_database(
    service: Annotated[str, typer.Argument(help="Service.")],
    database: Annotated[str, typer.Argument(help="Database.")],
    server: Annotated[str | None, typer.Option(help="Only this backend server.")] = None,
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Take a database, or one of its backend servers, out of service."""
    _set_database(service, database, server, DrainState.DRAINED, as_json, wait)


@databases.command("return")
def return_database(
    service: Annotated[str, typer.Argument(help="Service.")],
    database: Annotated[str, typer.Argument(help="Database.")],
    server: Annotated[str | None, typer.Option(help="Only this backend server.")] = None,
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Return a database, or one of its backend servers, to service."""
    _set_database(service, database, server, DrainState.IN_SERVICE, as_json, wait)


def _set_domain(
    name: str, state: DrainState, region: str | None, as_json: bool, wait: float
) -> None:
    result = with_store(lambda store: set_failure_domain_state(store, name, state, region=region))
    finish([result], as_json=as_json, wait=wait)


def _set_database(
    service: str,
    database: str,
    server: str | None,
    state: DrainState,
    as_json: bool,
    wait: float,
) -> None:
    result = with_store(
        lambda store: set_database_state(store, service, database, state, server=server)
    )
    finish([result], as_json=as_json, wait=wait)
