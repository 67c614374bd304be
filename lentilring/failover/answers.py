"""Parallel requests to the instances (backend servers) of a group."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from ..database.messages import ServerStatus
from .controls import BACKEND_FAILURES
from .group import GroupServer


async def collect_answers(
    servers: Iterable[GroupServer],
    request: Callable[[GroupServer], Awaitable[ServerStatus]],
    *,
    quorum: int,
    grace_s: float,
) -> dict[str, ServerStatus]:
    """Ask all servers at once and return their answers by server name, accepted and refused.

    Servers that fail with one of BACKEND_FAILURES are left out. Once `quorum` servers have
    accepted, wait at most `grace_s` seconds more for the others.
    """
    server_names = {asyncio.ensure_future(request(server)): server.name for server in servers}
    answers: dict[str, ServerStatus] = {}
    pending = set(server_names)
    deadline: float | None = None
    loop = asyncio.get_running_loop()
    try:
        while pending and (deadline is None or loop.time() < deadline):
            wait_s = None if deadline is None else deadline - loop.time()
            done, pending = await asyncio.wait(
                pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            answers |= {server_names[task]: task.result() for task in done if _has_answered(task)}
            if deadline is None and sum(status.accepted for status in answers.values()) >= quorum:
                deadline = loop.time() + grace_s
    finally:
        for task in pending:
            task.cancel()
    return answers


def _has_answered(task: asyncio.Future[ServerStatus]) -> bool:
    error = task.exception()
    if error is not None and not isinstance(error, BACKEND_FAILURES):
        raise error
    return error is None
