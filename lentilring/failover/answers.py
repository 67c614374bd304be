"""Parallel requests to the instances of a group."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from ..database.messages import ServerStatus
from .controls import BACKEND_FAILURES
from .group import GroupServer


async def collect_answers(
    servers: Iterable[GroupServer],
    request: Callable[[GroupServer], Awaitable[ServerStatus]],
    *,
    enough: int,
    grace_s: float,
) -> dict[str, ServerStatus]:
    """Ask all servers at once and return the accepted and refused answers by server name.

    Once `enough` servers accepted, wait at most `grace_s` seconds for the others.
    """
    names = {asyncio.ensure_future(request(server)): server.name for server in servers}
    answers: dict[str, ServerStatus] = {}
    pending = set(names)
    end: float | None = None
    loop = asyncio.get_running_loop()
    try:
        while pending and (end is None or loop.time() < end):
            wait_s = None if end is None else end - loop.time()
            done, pending = await asyncio.wait(
                pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            answers |= {names[task]: task.result() for task in done if _answered(task)}
            if end is None and sum(status.accepted for status in answers.values()) >= enough:
                end = loop.time() + grace_s
    finally:
        for task in pending:
            task.cancel()
    return answers


def _answered(task: asyncio.Future[ServerStatus]) -> bool:
    error = task.exception()
    if error is not None and not isinstance(error, BACKEND_FAILURES):
        raise error
    return error is None
