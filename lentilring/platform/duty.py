"""Calls to the platform that are the duty of one holder at a time."""

from typing import Any

import msgspec

from ..http.exchange import exchange

CALL_TIMEOUT_S = 1.5


async def call_duty(
    address: str,
    path: str,
    body: dict[str, Any],
    *,
    holder: str,
    token: int,
    connect_timeout_s: float = CALL_TIMEOUT_S,
) -> int:
    """Return the status of the answer to one call; raise ExchangeFailed without an answer."""
    answer = await exchange(
        address,
        "POST",
        path,
        content=msgspec.json.encode(body),
        headers={
            "Content-Type": "application/json",
            "X-Lease-Holder": holder,
            "X-Fencing-Token": str(token),
        },
        timeout_s=CALL_TIMEOUT_S,
        connect_timeout_s=connect_timeout_s,
    )
    return answer.status
