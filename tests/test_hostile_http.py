"""Clients over HTTP that do not keep the limits, against real processes.

The proxy has few threads, and few descriptors in one test. The crowds and bounds were fixed on the
code without limits on the time that a client may hold a thread.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from .hostile import has_ended, measure_process, run_crowd, send, stay
from .processes import KEY, ConnectionLost, Deployment, ProcessTestCase, Proxy, wait_for

Visit = Callable[[socket.socket], Awaitable[None]]

THREADS = 8
DESCRIPTORS = 300
EXTRA_MEMORY_MB = 60
# Backend servers, peers, the platform, and connections that are being closed.
OTHER_DESCRIPTORS = 150
HOLD_S = 4.0
ORDINARY_TRIES = 8
ORDINARY_TIMEOUT_S = 5.0
BODY_BYTES = 256 * 1024
PATH = "/v1/rental-core/tents/book"
READ_PATH = "/v1/rental-core/tents/stock"
HEAD = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n".encode()
READ_HEAD = HEAD.replace(PATH.encode(), READ_PATH.encode())


def build_request(head: bytes, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return head + b"Content-Length: %d\r\n\r\n" % size + body


LARGE_BODY = b'{"statement": {"op": "put", "key": "large", "value": "%s"}}' % (
    b"x" * (BODY_BYTES - 100)
)
READ = build_request(READ_HEAD, b'{"statement": {"op": "get", "key": "large"}}')


async def trickle(client: socket.socket) -> None:
    while not has_ended(client):
        await send(client, b"x")
        await asyncio.sleep(0.5)


async def send_head_slowly(client: socket.socket) -> None:
    await send(client, HEAD + b"X-Slow: ")
    await trickle(client)


async def send_body_slowly(client: socket.socket) -> None:
    await send(client, build_request(HEAD, b'{"', length=BODY_BYTES))
    await trickle(client)


async def send_large_requests(client: socket.socket) -> None:
    await send(client, *[build_request(HEAD, LARGE_BODY)] * 20)
    await stay(client)


async def send_far_too_much(client: socket.socket) -> None:
    await send(client, build_request(HEAD, b"x" * 1024, length=64 << 20), *[LARGE_BODY] * 64)
    await stay(client)


async def send_endless_head(client: socket.socket) -> None:
    await send(client, HEAD + b"X-Long: ", *[LARGE_BODY] * 16)
    await stay(client)


async def pipeline(client: socket.socket) -> None:
    await send(client, *[READ * 50] * 40)
    await stay(client)


async def read_slowly(client: socket.socket) -> None:
    """Read a little of a large answer now and then, so that the server always makes progress."""
    await send(client, READ * 20)
    loop = asyncio.get_running_loop()
    while not has_ended(client):
        await loop.sock_recv(client, 512)
        await asyncio.sleep(0.5)


async def send_nothing(client: socket.socket) -> None:
    await stay(client)


@pytest.mark.process
class HostileHttpTest(ProcessTestCase):
    def test_heads_that_arrive_byte_by_byte(self) -> None:
        """Guards against clients that hold all threads with headers that never end."""
        self._check(30, send_head_slowly)

    def test_bodies_that_arrive_byte_by_byte(self) -> None:
        """Guards against clients that hold all threads with bodies that never end."""
        self._check(30, send_body_slowly)

    def test_large_requests(self) -> None:
        """Guards against the memory of many large requests at once."""
        self._check(60, send_large_requests)

    def test_bodies_far_over_the_limit(self) -> None:
        """Guards against receiving a body that is refused."""
        self._check(30, send_far_too_much)

    def test_heads_far_over_the_limit(self) -> None:
        """Guards against headers that are received to their end."""
        self._check(30, send_endless_head)

    def test_pipelined_requests(self) -> None:
        """Guards against requests that are received ahead, or answers that collect."""
        self._check(30, pipeline)

    def test_answers_that_are_read_slowly(self) -> None:
        """Guards against clients that hold all threads by reading slowly."""
        self._check(30, read_slowly)

    def test_silent_connections(self) -> None:
        """Guards against connections that take all descriptors."""
        self._check(DESCRIPTORS + 100, send_nothing, descriptors=DESCRIPTORS)

    def _check(self, size: int, visit: Visit, *, descriptors: int | None = None) -> None:
        async def body(deployment: Deployment) -> None:
            proxy = deployment.proxies[0]
            if descriptors is not None:
                await restart_with_descriptors(deployment, proxy, descriptors)
            await deployment.complete(
                proxy, "book", {"op": "put", "key": "large", "value": "x" * (BODY_BYTES - 200)}
            )
            pid = proxy.program.process.pid
            before = measure_process(pid)
            async with run_crowd(size, visit, proxy.callers):
                await asyncio.sleep(HOLD_S)
                held = measure_process(pid)
                is_answered = await ask_ordinary(deployment, proxy)
                self.assertIsNone(proxy.program.process.poll(), "the process has ended")
                use = measure_process(pid)
                print(
                    f"{self.id().rpartition('.')[2]}: peak {use.peak_mb:.0f} MB from"
                    f" {before.peak_mb:.0f}, {held.descriptors} descriptors,"
                    f" ordinary answered: {is_answered}"
                )
            self.assertTrue(is_answered, "no ordinary request was answered")
            self.assertLess(use.peak_mb, before.peak_mb + EXTRA_MEMORY_MB)
            self.assertLess(held.descriptors, DESCRIPTORS + OTHER_DESCRIPTORS)

        self.run_deployed(body, proxy_flags=("--http-threads", str(THREADS)))


async def ask_ordinary(deployment: Deployment, proxy: Proxy) -> bool:
    """Tell whether an ordinary request is answered; one that was closed is sent again."""
    for _ in range(ORDINARY_TRIES):
        try:
            async with asyncio.timeout(ORDINARY_TIMEOUT_S):
                response = await deployment.ask(proxy, "stock", {"op": "get", "key": "nothing"})
                if response.outcome == "completed":
                    return True
        except (ConnectionLost, aiohttp.ClientError, OSError, TimeoutError):
            pass
        await asyncio.sleep(0.2)
    return False


async def restart_with_descriptors(deployment: Deployment, proxy: Proxy, limit: int) -> None:
    """Restart a proxy as a process that may have only so many descriptors."""
    program = proxy.program
    program.kill()
    program.command = ["bash", "-c", f'ulimit -n {limit}; exec "$@"', "bash", *program.command]
    program.restart()

    async def is_ready() -> bool:
        async with deployment.http.get(f"http://{proxy.callers}/ready") as response:
            return response.status == 200

    await wait_for("the proxy is ready again", is_ready)
