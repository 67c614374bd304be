"""The commands `lentilctl status` and `lentilctl group`."""

from typing import Annotated

import typer

from .access import Json, ask_proxy, fail_with_text, read_view
from .options import ExitCode
from .tables import pick, print_json, print_table

status = typer.Typer(no_args_is_help=True, help="Show the state of the deployment.")
groups = typer.Typer(no_args_is_help=True, help="Act on database groups.")


@status.command("proxy")
def show_proxy(as_json: Json = False) -> None:
    """Show the proxy that answers."""
    content = read_view("status")
    if as_json:
        print_json(content)
    elif isinstance(content, dict):
        print_table(("FIELD", "VALUE"), sorted(content.items()))


@status.command("nodes")
def show_nodes(as_json: Json = False) -> None:
    """Show all known VMs."""
    content = read_view("members")["members"]
    if as_json:
        print_json(content)
        return
    names = ("vm", "state", "failure_domain", "region", "revision", "incarnation", "address")
    print_table([name.upper() for name in names], [pick(entry, *names) for entry in content])


@status.command("groups")
def show_groups(as_json: Json = False) -> None:
    """Show the primary and term of each database group."""
    content = read_view("groups")["groups"]
    if as_json:
        print_json(content)
        return
    names = ("term", "primary", "state")
    rows = [(group, *pick(entry, *names)) for group, entry in content.items()]
    print_table(("GROUP", "TERM", "PRIMARY", "STATE"), rows)


@status.command("shares")
def show_shares(as_json: Json = False) -> None:
    """Show who holds the rate-limit shares."""
    content = read_view("shares")["shares"]
    if as_json:
        print_json(content)
        return
    names = ("share", "vm", "incarnation")
    print_table(("SHARE", "HOLDER", "INCARNATION"), [pick(entry, *names) for entry in content])


@status.command("counters")
def show_counters() -> None:
    """Show the counters of the proxy that answers, as JSON."""
    print_json(read_view("counters"))


@groups.command("promote")
def promote(
    group: Annotated[str, typer.Argument(help="Database group: service.database.")],
    force: Annotated[
        bool,
        typer.Option(
            "--force", help="Promote without a majority; acknowledged writes can be lost."
        ),
    ] = False,
    as_json: Json = False,
) -> None:
    """Promote by hand when a majority of a group's backend servers is gone for good."""
    if not force:
        fail_with_text(
            "promotion with a majority is automatic; --force is required", ExitCode.USAGE
        )
    content = ask_proxy(lambda client: client.act("promote", group=group))
    print_json(content)
