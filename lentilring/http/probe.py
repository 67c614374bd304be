"""Readiness and metrics on the process's own loop.

CherryPy serves callers and operators of the HTTP interface with threads; a probe a second and one
scrape need none, and threads would compete with the loop for the processor.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import h11

from ..kernel import Service
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry

READ_BYTES = 4096
# A prober that sends nothing for this long is dropped.
IDLE_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 64

log = Log(source="http")


@dataclass(frozen=True, kw_only=True)
class Page:
    """Hold what a path answers."""

    status: HTTPStatus
    content: bytes


class ProbeServer(Service):
    """Answer the balancer's probe and export metrics."""

    def __init__(
        self,
        *,
        readiness_address: str,
        metrics_address: str,
        is_ready: Callable[[], bool],
        telemetry: Telemetry,
    ) -> None:
        self._addresses = (readiness_address, metrics_address)
        self._is_ready, self._telemetry = is_ready, telemetry
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on both addresses."""
        readiness, metrics = self._addresses
        await self._serve(readiness, "/ready", self._build_readiness)
        await self._serve(metrics, "/metrics", self._build_metrics)

    async def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, address: str, path: str, build: Callable[[], Page]) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                if len(self._tasks) <= MAX_CONNECTIONS:
                    await _answer_requests(reader, writer, path, build)
            except (OSError, TimeoutError, h11.ProtocolError) as error:
                log.debug("probe_connection_lost", detail=repr(error))
            except asyncio.CancelledError:
                # The server stops; asyncio would log the cancelled callback as an error.
                log.debug("probe_connection_cancelled")
            finally:
                self._tasks.discard(task)
                writer.close()

        host, _, port = address.rpartition(":")
        self._servers.append(await asyncio.start_server(accept, host, int(port)))

    def _build_readiness(self) -> Page:
        if self._is_ready():
            return Page(status=HTTPStatus.OK, content=b"ready")
        return Page(status=HTTPStatus.SERVICE_UNAVAILABLE, content=b"not ready")

    def _build_metrics(self) -> Page:
        return Page(status=HTTPStatus.OK, content=self._telemetry.export())


async def _answer_requests(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    build: Callable[[], Page],
) -> None:
    connection = h11.Connection(our_role=h11.SERVER)
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            page = _choose_page(event, path, build)
        elif isinstance(event, h11.EndOfMessage):
            writer.write(_encode_page(connection, page))
            await writer.drain()
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()
        elif isinstance(event, h11.ConnectionClosed):
            return


def _choose_page(request: h11.Request, path: str, build: Callable[[], Page]) -> Page:
    if request.target.partition(b"?")[0] != path.encode():
        return Page(status=HTTPStatus.NOT_FOUND, content=b"")
    if request.method != b"GET":
        return Page(status=HTTPStatus.METHOD_NOT_ALLOWED, content=b"")
    return build()


def _encode_page(connection: h11.Connection, page: Page) -> bytes:
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(page.content)))]
    parts = [
        connection.send(h11.Response(status_code=page.status, headers=headers)),
        connection.send(h11.Data(data=page.content)),
        connection.send(h11.EndOfMessage()),
    ]
    return b"".join(part for part in parts if part)
