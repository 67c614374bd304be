"""The commands `lentilctl keys`."""

from typing import Annotated

import typer

from ..configuration.editing import Applied
from ..configuration.models import hash_key
from ..operations.changes import ObjectMissing, give_key, withdraw_key
from ..operations.documents import strip_value
from ..platform.store import Kind
from .access import DEFAULT_WAIT_S, Json, Wait, fail, fail_with_text, with_store
from .options import ExitCode
from .results import finish
from .tables import print_json, print_table

SHOWN_HASH_LENGTH = 12

keys = typer.Typer(no_args_is_help=True, help="Give, withdraw and list callers' keys.")


@keys.command("give")
def give(
    account: Annotated[str, typer.Argument(help="Client account.")],
    key: Annotated[str | None, typer.Option(help="The key; a new one is made if absent.")] = None,
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Give a client account a key; it is shown once and stored only as a hash."""
    given, result = with_store(lambda store: give_key(store, account, key))
    if isinstance(result, Applied) and not as_json:
        typer.echo(f"key {given}")
    finish([result], as_json=as_json, wait=wait, extra={"key": given})


@keys.command("withdraw")
def withdraw(
    account: Annotated[str, typer.Argument(help="Client account.")],
    key: Annotated[str | None, typer.Option(help="The key itself.")] = None,
    key_hash: Annotated[str | None, typer.Option(help="Beginning of the key's hash.")] = None,
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Withdraw a key from a client account."""
    if (key is None) == (key_hash is None):
        fail_with_text("give either --key or --key-hash", ExitCode.USAGE)
    prefix = hash_key(key) if key is not None else str(key_hash)
    result = with_store(lambda store: withdraw_key(store, account, prefix))
    finish([result], as_json=as_json, wait=wait)


@keys.command("list")
def list_keys(
    account: Annotated[str, typer.Argument(help="Client account.")], as_json: Json = False
) -> None:
    """List the hashes of a client account's keys."""
    found = with_store(lambda store: store.get(Kind.CLIENT_ACCOUNT, account))
    value = strip_value(found)
    if value is None:
        fail(ObjectMissing(kind=Kind.CLIENT_ACCOUNT, name=account), ExitCode.FAILURE)
    hashes = value.get("key_hashes", []) if value else []
    if as_json:
        print_json(hashes)
    elif isinstance(hashes, list):
        print_table(("KEY HASH",), [(str(entry)[:SHOWN_HASH_LENGTH],) for entry in hashes])
