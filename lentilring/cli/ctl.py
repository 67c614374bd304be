"""The `lentilctl` program for operators."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatch
from pathlib import Path
from typing import Annotated, Any

import typer

from ..configuration.editing import Applied, ChangeResult, Conflict, Undecided
from ..configuration.models import DrainState, hash_key
from ..configuration.parsing import ObjectInvalid
from ..errors import LentilringError
from ..operations.changes import (
    ObjectMissing,
    apply_document,
    give_key,
    roll_back,
    set_database_state,
    set_failure_domain_state,
    withdraw_key,
)
from ..operations.documents import (
    EDITABLE_KINDS,
    DocumentInvalid,
    compare,
    format_document,
    read_documents,
    strip_value,
)
from ..operations.history import VersionUnknown
from ..operations.proxies import InForce, ProxyClient, ProxyUnavailable
from ..platform.client import HttpStore
from ..platform.store import Kind, StoreUnavailable
from ..telemetry.metrics import Telemetry
from .explain import explain
from .options import VERSION_OPTION, ExitCode
from .tables import pick, print_json, print_table

STORE_TIMEOUT_S = 5.0
DEFAULT_WAIT_S = 10.0
SHOWN_HASH_LENGTH = 12

application = typer.Typer(
    add_completion=True,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Change and inspect a lentilring deployment. Exit codes: 0 done, 1 failure, 2 wrong use "
    "or invalid document, 3 conflict with another change, 4 platform or proxy unavailable, "
    "5 accepted but not yet in force on every VM.",
)
keys = typer.Typer(no_args_is_help=True, help="Give, withdraw and list callers' keys.")
domains = typer.Typer(no_args_is_help=True, help="Drain failure domains and return them.")
databases = typer.Typer(no_args_is_help=True, help="Drain databases or single backend servers.")
status = typer.Typer(no_args_is_help=True, help="Show the state of the deployment.")
groups = typer.Typer(no_args_is_help=True, help="Act on database groups.")
application.add_typer(keys, name="keys")
application.add_typer(domains, name="failure-domain")
application.add_typer(databases, name="database")
application.add_typer(status, name="status")
application.add_typer(groups, name="group")
application.command()(explain)

Json = Annotated[bool, typer.Option("--json", help="Print JSON instead of text.")]
Wait = Annotated[
    float,
    typer.Option("--wait", min=0, max=600, help="Seconds to wait until it is in force."),
]


class Context:
    """Hold the addresses that all commands use."""

    platform: str = ""
    admin: str = ""
    token: str = ""


context = Context()


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


@application.command()
def show(
    kind: Annotated[str | None, typer.Argument(help="Kind of object.")] = None,
    name: Annotated[str | None, typer.Argument(help="Name of the object.")] = None,
    as_json: Json = False,
) -> None:
    """Show the kinds, the objects of a kind, or one object as a document to edit."""
    kinds = [kind] if kind else list(EDITABLE_KINDS)

    async def work(store: HttpStore) -> Any:
        if kind and name:
            return [await store.get(kind, name)]
        return (await store.list(kinds)).objects

    found = [entry for entry in _with_store(work) if entry is not None]
    if name and (not found or found[0].value is None):
        _fail(ObjectMissing(kind=str(kind), name=name), ExitCode.FAILURE)
    if as_json:
        print_json([{"kind": e.kind, "version": e.version, "value": strip_value(e)} for e in found])
    elif name:
        typer.echo(format_document(found[0]), nl=False)
    else:
        rows = [(e.kind, e.name, e.version, e.revision) for e in found if e.value is not None]
        print_table(("KIND", "NAME", "VERSION", "REVISION"), rows)


@application.command()
def validate(files: Annotated[list[Path], typer.Argument(help="YAML documents.")]) -> None:
    """Check documents without reaching the platform."""
    for file in files:
        for document in _read(file):
            typer.echo(f"{file}: {document.kind} {document.name} is valid")


@application.command()
def diff(files: Annotated[list[Path], typer.Argument(help="YAML documents.")]) -> None:
    """Show what applying documents would change."""

    async def work(store: HttpStore) -> None:
        for file in files:
            for document in _read(file):
                current = await store.get(document.kind, document.name)
                version = current.version if current is not None else 0
                label = f"{document.kind}/{document.name}"
                text = compare(
                    strip_value(current),
                    document.value,
                    old_label=f"{label} stored version {version}",
                    new_label=f"{label} {file}",
                )
                typer.echo(text or f"{label}: no difference")

    _with_store(work)


@application.command()
def apply(
    files: Annotated[list[Path], typer.Argument(help="YAML documents.")],
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Apply documents, each against the version that it names (none: must not exist)."""
    documents = [document for file in files for document in _read(file)]

    async def work(store: HttpStore) -> list[ChangeResult]:
        results: list[ChangeResult] = []
        for document in documents:
            results.append(await apply_document(store, document))
            if not isinstance(results[-1], Applied):
                break
        return results

    _finish(_with_store(work), as_json=as_json, wait=wait)


@application.command()
def rollback(
    kind: Annotated[str, typer.Argument(help="Kind of object.")],
    name: Annotated[str, typer.Argument(help="Name of the object.")],
    to: Annotated[int, typer.Option(help="Earlier version whose value to apply again.")],
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Apply an earlier version's value as a new version."""
    result = _with_store(lambda store: roll_back(store, kind, name, to))
    _finish([result], as_json=as_json, wait=wait)


@keys.command("give")
def give(
    account: Annotated[str, typer.Argument(help="Client account.")],
    key: Annotated[str | None, typer.Option(help="The key; a new one is made if absent.")] = None,
    as_json: Json = False,
    wait: Wait = DEFAULT_WAIT_S,
) -> None:
    """Give a client account a key; it is shown once and stored only as a hash."""
    given, result = _with_store(lambda store: give_key(store, account, key))
    if isinstance(result, Applied) and not as_json:
        typer.echo(f"key {given}")
    _finish([result], as_json=as_json, wait=wait, extra={"key": given})


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
        _fail_text("give either --key or --key-hash", ExitCode.USAGE)
    prefix = hash_key(key) if key is not None else str(key_hash)
    result = _with_store(lambda store: withdraw_key(store, account, prefix))
    _finish([result], as_json=as_json, wait=wait)


@keys.command("list")
def list_keys(
    account: Annotated[str, typer.Argument(help="Client account.")], as_json: Json = False
) -> None:
    """List the hashes of a client account's keys."""
    found = _with_store(lambda store: store.get(Kind.CLIENT_ACCOUNT, account))
    value = strip_value(found)
    if value is None:
        _fail(ObjectMissing(kind=Kind.CLIENT_ACCOUNT, name=account), ExitCode.FAILURE)
    hashes = value.get("key_hashes", []) if value else []
    if as_json:
        print_json(hashes)
    elif isinstance(hashes, list):
        print_table(("KEY HASH",), [(str(entry)[:SHOWN_HASH_LENGTH],) for entry in hashes])


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


@status.command("proxy")
def show_proxy(as_json: Json = False) -> None:
    """Show the proxy that answers."""
    content = _read_view("status")
    if as_json:
        print_json(content)
    elif isinstance(content, dict):
        print_table(("FIELD", "VALUE"), sorted(content.items()))


@status.command("nodes")
def show_nodes(as_json: Json = False) -> None:
    """Show all known VMs."""
    content = _read_view("members")["members"]
    if as_json:
        print_json(content)
        return
    names = ("vm", "state", "failure_domain", "region", "revision", "incarnation", "address")
    print_table([name.upper() for name in names], [pick(entry, *names) for entry in content])


@status.command("groups")
def show_groups(as_json: Json = False) -> None:
    """Show the primary and term of each database group."""
    content = _read_view("groups")["groups"]
    if as_json:
        print_json(content)
        return
    names = ("term", "primary", "state")
    rows = [(group, *pick(entry, *names)) for group, entry in content.items()]
    print_table(("GROUP", "TERM", "PRIMARY", "STATE"), rows)


@status.command("shares")
def show_shares(as_json: Json = False) -> None:
    """Show who holds the rate-limit shares."""
    content = _read_view("shares")["shares"]
    if as_json:
        print_json(content)
        return
    names = ("share", "vm", "incarnation")
    print_table(("SHARE", "HOLDER", "INCARNATION"), [pick(entry, *names) for entry in content])


@status.command("counters")
def show_counters() -> None:
    """Show the counters of the proxy that answers, as JSON."""
    print_json(_read_view("counters"))


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
        _fail_text("promotion with a majority is automatic; --force is required", ExitCode.USAGE)
    content = _run(lambda client: client.act("promote", group=group))
    print_json(content)


def _set_domain(
    name: str, state: DrainState, region: str | None, as_json: bool, wait: float
) -> None:
    result = _with_store(lambda store: set_failure_domain_state(store, name, state, region=region))
    _finish([result], as_json=as_json, wait=wait)


def _set_database(
    service: str,
    database: str,
    server: str | None,
    state: DrainState,
    as_json: bool,
    wait: float,
) -> None:
    result = _with_store(
        lambda store: set_database_state(store, service, database, state, server=server)
    )
    _finish([result], as_json=as_json, wait=wait)


def _read(file: Path) -> list[Any]:
    try:
        return list(read_documents(file))
    except (DocumentInvalid, ObjectInvalid) as error:
        _fail(error, ExitCode.USAGE)
        raise


def _with_store(work: Callable[[HttpStore], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        store = HttpStore(
            address=context.platform, call_timeout_s=STORE_TIMEOUT_S, telemetry=Telemetry()
        )
        await store.start()
        try:
            return await work(store)
        finally:
            await store.stop()

    try:
        return asyncio.run(run())
    except StoreUnavailable as error:
        _fail(error, ExitCode.UNAVAILABLE)
    except ObjectInvalid as error:
        _fail(error, ExitCode.USAGE)
    except (ObjectMissing, VersionUnknown) as error:
        _fail(error, ExitCode.FAILURE)


def _run(work: Callable[[ProxyClient], Awaitable[Any]]) -> Any:
    try:
        return asyncio.run(_await(work(ProxyClient(address=context.admin, token=context.token))))
    except ProxyUnavailable as error:
        _fail(error, ExitCode.UNAVAILABLE)


async def _await(waiting: Awaitable[Any]) -> Any:
    return await waiting


def _read_view(view: str) -> Any:
    return _run(lambda client: client.read(view))


def _finish(
    results: list[ChangeResult], *, as_json: bool, wait: float, extra: dict[str, Any] | None = None
) -> None:
    """Report changes, then wait until the last one is in force everywhere."""
    reports = [describe_result(result) for result in results]
    if not as_json:
        for report in reports:
            typer.echo(report["text"])
    refused = [result for result in results if not isinstance(result, Applied)]
    revisions = [result.stored.revision for result in results if isinstance(result, Applied)]
    in_force = None
    if not refused and revisions and wait > 0:
        in_force = _run(lambda client: client.await_in_force(max(revisions), timeout_s=wait))
        if not as_json:
            _print_in_force(in_force)
    if as_json:
        print_json({"changes": reports, "in_force": _build_in_force(in_force), **(extra or {})})
    if refused:
        raise typer.Exit(
            ExitCode.CONFLICT if isinstance(refused[0], Conflict) else ExitCode.UNAVAILABLE
        )
    if in_force is not None and in_force.missing:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


@singledispatch
def describe_result(result: object) -> dict[str, Any]:
    """Return a change's result for people and programs."""
    raise TypeError(type(result).__name__)


@describe_result.register
def _(result: Applied) -> dict[str, Any]:
    stored = result.stored
    return {
        "text": f"accepted {stored.kind} {stored.name} version {stored.version}",
        "outcome": "accepted",
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "revision": stored.revision,
    }


@describe_result.register
def _(result: Conflict) -> dict[str, Any]:
    current = result.current.version if result.current is not None else 0
    sides = compare(
        strip_value(result.current),
        result.submitted,
        old_label=f"stored version {current}",
        new_label=f"submitted against version {result.expected_version}",
    )
    return {
        "text": f"conflict on {result.kind} {result.name}: it has version {current}, the change "
        f"was made against version {result.expected_version}\n{sides}",
        "outcome": "conflict",
        "kind": result.kind,
        "name": result.name,
        "expected_version": result.expected_version,
        "stored": strip_value(result.current),
        "stored_version": current,
        "submitted": result.submitted,
    }


@describe_result.register
def _(result: Undecided) -> dict[str, Any]:
    return {
        "text": f"unknown whether {result.kind} {result.name} was changed: the platform did not "
        "answer; show it and compare",
        "outcome": "unknown",
        "kind": result.kind,
        "name": result.name,
    }


def _print_in_force(in_force: InForce) -> None:
    total = len(in_force.confirmed) + len(in_force.missing)
    typer.echo(
        f"in force on {len(in_force.confirmed)} of {total} VMs after {in_force.waited_s:.1f} s"
    )
    if in_force.missing:
        typer.echo("not yet on " + ", ".join(in_force.missing))


def _build_in_force(in_force: InForce | None) -> dict[str, Any] | None:
    if in_force is None:
        return None
    return {"confirmed": in_force.confirmed, "missing": in_force.missing}


def _fail(error: LentilringError, code: ExitCode) -> None:
    _fail_text(str(error), code)


def _fail_text(text: str, code: ExitCode) -> None:
    typer.echo(f"error: {text}", err=True)
    raise typer.Exit(code)
