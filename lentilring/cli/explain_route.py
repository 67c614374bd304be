"""The command `lentilctl explain-route`."""

import asyncio
from typing import Annotated

import msgspec
import typer

from ..configuration.accounts import hash_key
from ..operations.routes import RouteAnswerInvalid, SessionProxyUnavailable, ask_route
from ..sessions.route_messages import (
    AccountView,
    CandidateView,
    RefusalView,
    RequestKind,
    RouteExplanation,
    RouteQuestion,
)
from ..statements.model import Failure
from .access import Json, fail, fail_with_text
from .options import ExitCode, check_address
from .tables import print_json

# With these, the question is wrong and not the state of the proxy.
INPUT_FAILURES = frozenset({Failure.UNKNOWN_DATABASE, Failure.UNAUTHORIZED})


def explain_route(
    route: Annotated[str, typer.Argument(help="Database or name of the route.")],
    metrics_address: Annotated[
        str,
        typer.Option(
            envvar="LENTILRING_METRICS_ADDRESS", help="ip:port of a session proxy's metrics."
        ),
    ] = "127.0.0.1:9464",
    kind: Annotated[RequestKind, typer.Option(help="What the request does.")] = RequestKind.READ,
    key: Annotated[
        str, typer.Option(envvar="LENTILRING_KEY", help="The caller's key; only its hash is sent.")
    ] = "",
    as_json: Json = False,
) -> None:
    """Show where a request would go now and why, without sending it."""
    check_address(metrics_address, "--metrics-address")
    question = RouteQuestion(route=route, kind=kind, key_hash=hash_key(key) if key else "")
    try:
        explanation = asyncio.run(ask_route(metrics_address, question))
    except SessionProxyUnavailable as error:
        fail(error, ExitCode.UNAVAILABLE)
    except RouteAnswerInvalid as error:
        fail(error, ExitCode.FAILURE)
    for refusal in explanation.refusals:
        if refusal.failure in INPUT_FAILURES:
            hint = "" if key or refusal.failure != Failure.UNAUTHORIZED else "; give --key"
            fail_with_text(f"{refusal.detail}: {route}{hint}", ExitCode.FAILURE)
    if as_json:
        print_json(msgspec.to_builtins(explanation))
    else:
        for line in format_route(explanation):
            typer.echo(line)
    if key and not explanation.is_key_known and explanation.route is not None:
        fail_with_text("the key is not known; the route admits callers without", ExitCode.FAILURE)


def format_route(explanation: RouteExplanation) -> list[str]:
    """Format an explanation as lines of text, with times in ms."""
    age_s = explanation.manifest_age_s
    age = "of unknown age" if age_s is None else f"confirmed {age_s:.1f} s ago"
    lines = [f"proxy {explanation.proxy}, configuration {explanation.manifest_version}, {age}"]
    route = explanation.route
    if route is not None:
        lines += [
            f"{explanation.kind} on route {route.name}: database {route.database}, service "
            f"{route.service}, consistency {route.consistency}",
            f"timeout {_ms(route.statement_timeout_s)}, wait for a slot at most "
            f"{_ms(route.patience_s)}",
            _format_account(explanation.account),
        ]
    lines += [_format_refusal(refusal) for refusal in explanation.refusals]
    for place, candidate in enumerate(explanation.candidates, 1):
        lines += _format_candidate(place, candidate)
    lines += [
        f"not used: {entry.server} ({entry.failure_domain}): {entry.reason}"
        for entry in explanation.excluded
    ]
    hidden = explanation.servers - len(explanation.candidates) - len(explanation.excluded)
    return [*lines, f"{hidden} more servers are not shown"] if hidden > 0 else lines


def _format_account(account: AccountView | None) -> str:
    if account is None:
        return "no account: the route admits callers without a known key, without a limit"
    tokens = f"{account.stock_tokens} tokens in this proxy's stock"
    if account.pool_tokens is None:
        tokens += f"; the region's pool is at {account.pool_holder}, which was not asked"
    else:
        tokens += f", {account.pool_tokens:.1f} in the region's pool, which this proxy holds"
    if account.must_borrow:
        tokens += "; refused unless the pool of another region lends a token"
    return (
        f"account {account.name}: {account.rate_per_s:g}/s, burst {account.burst:g}; "
        f"left now: {tokens}"
    )


def _format_refusal(refusal: RefusalView) -> str:
    wait = f" after waiting up to {_ms(refusal.after_s)}" if refusal.after_s else ""
    retry = "no retry time"
    if refusal.retry_after_s is not None:
        retry = f"retry after {_ms(refusal.retry_after_s)}"
    return f"REFUSED{wait}: {refusal.failure}, {refusal.detail}; {retry}"


def _format_candidate(place: int, candidate: CandidateView) -> list[str]:
    parts = [
        f"round trip {_ms(candidate.round_trip_s)}",
        f"expected wait {_ms(candidate.wait_s)} "
        f"({_ms(candidate.least_wait_s)} to {_ms(candidate.greatest_wait_s)})",
    ]
    penalties = {
        "primary penalty": candidate.primary_penalty_s,
        "failure penalty": candidate.failure_penalty_s,
        "lag penalty": candidate.lag_penalty_s,
    }
    parts += [f"{name} {_ms(value)}" for name, value in penalties.items() if value]
    if candidate.is_bad:
        parts.append("judged bad, so ranked last")
    if not candidate.is_tried:
        parts.append("beyond the greatest number of attempts")
    gateways = ", ".join(
        f"{gateway.vm} ({gateway.failure_domain}{', lately lost' * gateway.is_ranked_last})"
        for gateway in candidate.gateways
    )
    return [
        f"{place}. {candidate.server} ({candidate.role}, {candidate.failure_domain}): "
        f"{_ms(candidate.cost_s)} = {', '.join(parts)}",
        f"   gateways: {gateways}",
    ]


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.1f} ms"
