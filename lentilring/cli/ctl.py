"""The `lentilctl` program for operators."""

from typing import Annotated

import typer

from .access import context
from .documents import apply, diff, roll_back, show, validate
from .drains import databases, domains
from .explain import explain
from .explain_http_route import explain_http_route
from .explain_route import explain_route
from .keys import keys
from .options import VERSION_OPTION
from .views import groups, status

application = typer.Typer(
    add_completion=True,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Change and inspect a lentilring deployment. Exit codes: 0 done, 1 failure, 2 wrong use "
    "or invalid document, 3 conflict with another change, 4 platform or proxy unavailable, "
    "5 accepted but not yet in force on every VM.",
)
for _name, _commands in {
    "keys": keys,
    "failure-domain": domains,
    "database": databases,
    "status": status,
    "group": groups,
}.items():
    application.add_typer(_commands, name=_name)
for _command in (show, validate, diff, apply, explain, explain_route, explain_http_route):
    application.command()(_command)
application.command("rollback")(roll_back)


@application.callback()
def configure(
    platform: Annotated[
        str,
        typer.Option(envvar="LENTILRING_PLATFORM_ADDRESS", help="ip:port of the platform."),
    ] = "127.0.0.1:7300",
    admin: Annotated[
        str,
        typer.Option(
            envvar="LENTILRING_ADMIN_ADDRESS", help="ip:port of any proxy's operators' interface."
        ),
    ] = "127.0.0.1:8081",
    admin_token: Annotated[
        str, typer.Option(envvar="LENTILRING_ADMIN_TOKEN", help="The operators' token.")
    ] = "",
    version: VERSION_OPTION = False,
) -> None:
    """Set what all commands use."""
    context.platform, context.admin, context.token = platform, admin, admin_token


def main() -> None:
    """Run the program."""
    application()
