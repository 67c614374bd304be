"""The `lentilring-proxy` program."""

import typer

application = typer.Typer(add_completion=True, no_args_is_help=True)


def main() -> None:
    """Run the program."""
    application()
