"""How the commands of `lentilctl` reach the platform and the proxies, and how they fail."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, NoReturn

import typer

from ..configuration.parsing import ObjectInvalid
from ..errors import LentilringError
from ..operations.changes import ObjectMissing
from ..operations.history import VersionUnknown
from ..operations.proxies import ProxyClient, ProxyUnavailable
from ..platform.client import HttpStore
from ..platform.store import StoreUnavailable
from ..telemetry.metrics import Telemetry
from .options import ExitCode

STORE_TIMEOUT_S = 5.0
DEFAULT_WAIT_S = 10.0

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


def with_store(work: Callable[[HttpStore], Awaitable[Any]]) -> Any:
    """Run work on the platform's store; end with a code when it fails."""

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
        fail(error, ExitCode.UNAVAILABLE)
    except ObjectInvalid as error:
        fail(error, ExitCode.USAGE)
    except (ObjectMissing, VersionUnknown) as error:
        fail(error, ExitCode.FAILURE)


def ask_proxy(work: Callable[[ProxyClient], Awaitable[Any]]) -> Any:
    """Run work on a proxy's operators' interface; end with a code when it fails."""
    try:
        return asyncio.run(_await(work(ProxyClient(address=context.admin, token=context.token))))
    except ProxyUnavailable as error:
        fail(error, ExitCode.UNAVAILABLE)


async def _await(waiting: Awaitable[Any]) -> Any:
    return await waiting


def read_view(view: str) -> Any:
    """Return a view of the proxy that answers."""
    return ask_proxy(lambda client: client.read(view))


def fail(error: LentilringError, code: ExitCode) -> NoReturn:
    """Print a failure and end with a code."""
    fail_with_text(str(error), code)


def fail_with_text(text: str, code: ExitCode) -> NoReturn:
    """Print a text and end with a code."""
    typer.echo(f"error: {text}", err=True)
    raise typer.Exit(code)
