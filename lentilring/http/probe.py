"""Readiness and metrics endpoints that run on the process's event loop.

The HTTP interface for callers and operators runs on CherryPy's threads. One probe a second and one
metrics scraper need no threads, which would compete with the event loop for the processor.
"""

import asyncio
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeAlias
from urllib.parse import parse_qsl

import h11

from ..kernel import Service
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry

READ_BYTES = 4096
# Closes connections that send nothing for this long.
IDLE_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 64
MAX_QUERY_PARAMETERS = 16

log = Log(source="http")


@dataclass(frozen=True, kw_only=True)
class ProbeRequest:
    """Hold the query and the headers of a GET request; names of headers are in lower case."""

    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class ProbeResponse:
    """Hold the response of an endpoint."""

    status: HTTPStatus
    content: bytes
    content_type: str = "text/plain"


Views: TypeAlias = Mapping[str, Callable[[ProbeRequest], ProbeResponse]]


class ProbeServer(Service):
    """Answer the load balancer's probes and export metrics.

    `views` are further read-only endpoints at the metrics address, by path.
    """

    def __init__(
        self,
        *,
        readiness_address: str,
        metrics_address: str,
        is_ready: Callable[[], bool],
        telemetry: Telemetry,
        views: Views | None = None,
    ) -> None:
        self._views = views or {}
        self._addresses = (readiness_address, metrics_address)
        self._is_ready, self._telemetry = is_ready, telemetry
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on both addresses."""
        readiness, metrics = self._addresses
        await self._serve(readiness, {"/ready": self._build_readiness})
        await self._serve(metrics, {"/metrics": self._build_metrics, **self._views})

    async def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, address: str, views: Views) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                if len(self._tasks) <= MAX_CONNECTIONS:
                    await _answer_requests(reader, writer, views)
            except (OSError, TimeoutError, h11.ProtocolError) as error:
                log.debug("probe_connection_lost", detail=repr(error))
            except asyncio.CancelledError:
                # stop() cancelled this task; asyncio would log a cancelled callback as an error.
                log.debug("probe_connection_cancelled")
            finally:
                self._tasks.discard(task)
                writer.close()

        host, _, port = address.rpartition(":")
        self._servers.append(await asyncio.start_server(accept, host, int(port)))

    def _build_readiness(self, request: ProbeRequest) -> ProbeResponse:
        if self._is_ready():
            return ProbeResponse(status=HTTPStatus.OK, content=b"ready")
        return ProbeResponse(status=HTTPStatus.SERVICE_UNAVAILABLE, content=b"not ready")

    def _build_metrics(self, request: ProbeRequest) -> ProbeResponse:
        return ProbeResponse(status=HTTPStatus.OK, content=self._telemetry.export())


async def _answer_requests(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    views: Views,
) -> None:
    connection = h11.Connection(our_role=h11.SERVER)
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            response = _choose_response(event, views)
        elif isinstance(event, h11.EndOfMessage):
            writer.write(_encode_response(connection, response))
            await writer.drain()
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()
        elif isinstance(event, h11.ConnectionClosed):
            return


def _choose_response(request: h11.Request, views: Views) -> ProbeResponse:
    path, _, query = request.target.decode("latin-1").partition("?")
    view = views.get(path)
    if view is None:
        return ProbeResponse(status=HTTPStatus.NOT_FOUND, content=b"")
    if request.method != b"GET":
        return ProbeResponse(status=HTTPStatus.METHOD_NOT_ALLOWED, content=b"")
    try:
        parameters = dict(parse_qsl(query, max_num_fields=MAX_QUERY_PARAMETERS))
    except ValueError:
        return ProbeResponse(status=HTTPStatus.BAD_REQUEST, content=b"too many parameters")
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
    try:
        return view(ProbeRequest(query=parameters, headers=headers))
    except Exception:
        log.error("probe_failed", path=path, traceback=traceback.format_exc())
        return ProbeResponse(status=HTTPStatus.INTERNAL_SERVER_ERROR, content=b"")


def _encode_response(connection: h11.Connection, response: ProbeResponse) -> bytes:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.content))),
    ]
    parts = [
        connection.send(h11.Response(status_code=response.status, headers=headers)),
        connection.send(h11.Data(data=response.content)),
        connection.send(h11.EndOfMessage()),
    ]
    return b"".join(part for part in parts if part)
