"""The command `lentilctl explain-http-route`."""

from typing import Annotated

import msgspec
import typer

from ..configuration.accounts import hash_key
from ..outcomes import RefusalReason
from ..routing.explanation import FORMAT, AccountView, RefusalView, RequestExplanation
from .access import Json, ask_proxy, fail_with_text
from .options import ExitCode
from .tables import print_json

# With these, the question is wrong and not the state of the proxy.
INPUT_REASONS = frozenset(
    {RefusalReason.ROUTE_UNKNOWN, RefusalReason.KEY_UNKNOWN, RefusalReason.KEY_MISSING}
)


def explain_http_route(
    path: Annotated[
        str,
        typer.Argument(
            metavar="SERVICE/DATABASE/ROUTE", help="As in a request's path; or .../transactions."
        ),
    ],
    key: Annotated[
        str, typer.Option(envvar="LENTILRING_KEY", help="The caller's key; only its hash is sent.")
    ] = "",
    account: Annotated[str, typer.Option(help="Account that a request without a key names.")] = "",
    as_json: Json = False,
) -> None:
    """Show where a request over HTTP would go now and why, without sending it."""
    parts = path.split("/")
    if len(parts) != 3 or not all(parts):
        raise typer.BadParameter(f"{path!r} is not SERVICE/DATABASE/ROUTE", param_hint="path")
    query = dict(zip(("service", "database", "route"), parts, strict=True))
    if key:
        query["key_hash"] = hash_key(key)
    if account:
        query["account"] = account
    explanation = read_explanation(ask_proxy(lambda client: client.read("explain-route", **query)))
    for refusal in explanation.refusals:
        if refusal.reason in INPUT_REASONS:
            detail = f" ({refusal.detail})" if refusal.detail else ""
            fail_with_text(f"{refusal.reason}{detail}: {path}", ExitCode.FAILURE)
    if as_json:
        print_json(msgspec.to_builtins(explanation))
        return
    for line in format_request(path, explanation):
        typer.echo(line)


def read_explanation(content: object) -> RequestExplanation:
    """Return a proxy's answer; end with a code if it has another format."""
    known = content.get("format") if isinstance(content, dict) else None
    if known != FORMAT:
        fail_with_text(f"the answer has format {known!r}, known is {FORMAT}", ExitCode.FAILURE)
    try:
        return msgspec.convert(content, type=RequestExplanation)
    except msgspec.ValidationError as error:
        fail_with_text(f"the answer cannot be read: {error}", ExitCode.FAILURE)


def format_request(path: str, explanation: RequestExplanation) -> list[str]:
    """Format an explanation as lines of text."""
    fresh = "fresh" if explanation.is_configuration_fresh else "stale"
    lines = [
        f"proxy {explanation.proxy} ({explanation.failure_domain}, {explanation.region}), "
        f"configuration {explanation.revision}, {fresh}"
    ]
    if explanation.kind:
        staleness = explanation.max_staleness_s
        limit = "none" if staleness is None else f"up to {staleness:g} s"
        lines.append(f"{explanation.kind} on {path}; accepted staleness: {limit}")
    if explanation.account is not None:
        lines.append(_format_account(explanation.account))
    lines += [_format_refusal(refusal) for refusal in explanation.refusals]
    for place, candidate in enumerate(explanation.candidates, 1):
        role = "primary" if candidate.is_primary else "replica"
        gateways = ", ".join(
            f"{gateway.vm} ({gateway.failure_domain}{', lately lost' * gateway.is_avoided})"
            for gateway in candidate.gateways
        )
        lines.append(
            f"{place}. {candidate.server} ({role}, {candidate.failure_domain}, "
            f"{candidate.region}); gateways: {gateways}"
        )
    lines += [f"not used: {entry.server}: {entry.reason}" for entry in explanation.excluded]
    hidden = explanation.servers - len(explanation.candidates) - len(explanation.excluded)
    return [*lines, f"{hidden} more servers are not shown"] if hidden > 0 else lines


def _format_account(account: AccountView) -> str:
    holders = ", ".join(account.holders) or "nobody"
    return (
        f"account {account.name}: {account.rate_per_s:g}/s, burst {account.burst:g}; "
        f"{account.tokens:.1f} tokens held here, {account.waiting} requests wait for one; "
        f"more from {holders}, last answer: {account.supply}"
    )


def _format_refusal(refusal: RefusalView) -> str:
    detail = f" ({refusal.detail})" if refusal.detail else ""
    retry = "no retry time"
    if refusal.retry_after_s is not None:
        retry = f"retry after {refusal.retry_after_s * 1000:.1f} ms"
    wait = " after retries until its deadline" if refusal.is_retried else ""
    return f"REFUSED{wait}: {refusal.reason}{detail}; {retry}"
