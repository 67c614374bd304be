"""The HTTP server: CherryPy's threads parse requests and the event loop handles them."""

import asyncio
import resource
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import cherrypy
from cheroot import wsgi
from cheroot.server import HTTPRequest
from cherrypy.process.servers import ServerAdapter

from ..clock import Clock
from ..kernel import Kernel, Service
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .bridge import CONNECTION_KEY, Bridge
from .client_limits import HttpClientLimits, HttpLimit, Phase, derive_max_connections
from .connections import ConnectionKeeper, TimedConnection
from .messages import HttpRequest, HttpResponse

REQUEST_QUEUE_SIZE = 1024
MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 300
ANSWER_MARGIN_S = 5.0
MAX_DEADLINE_S = 60.0
DEFAULT_LIMITS = HttpClientLimits()

log = Log(source="http")


class ClosingRequest(HTTPRequest):
    """Close the connection after a response with the header `Connection: close`."""

    def send_headers(self) -> None:
        """Send the status and headers.

        Without this override, cheroot keeps the connection and first reads the rest of a refused
        body.
        """
        connection = [value for name, value in self.outheaders if name.lower() == b"connection"]
        if b"close" in connection:
            self.close_connection = True
        self.conn.enter(Phase.SENDING)
        super().send_headers()


class RequestConnection(TimedConnection):
    """Handle requests as ClosingRequest does."""

    RequestHandlerClass = ClosingRequest


class ConnectionGateway(wsgi.Gateway_10):
    """Name the connection in the environment of a request."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the environment of the request."""
        return {**super().get_environ(), CONNECTION_KEY: self.req.conn}


class IdleFirstServer(wsgi.Server):
    """Assign a thread to a connection only after a request has arrived.

    cheroot passes new connections to threads at once, so callers that connect and send nothing, or
    only a part of a request, would occupy all threads.
    """

    ConnectionClass = RequestConnection
    _connections: ConnectionKeeper
    make_keeper: Callable[["IdleFirstServer"], ConnectionKeeper]

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        self.open_connections: set[TimedConnection] = set()
        self.busy_connections: set[TimedConnection] = set()
        super().prepare()
        self._connections.close()
        self._connections = self.make_keeper(self)

    def process_conn(self, conn: TimedConnection) -> None:
        """Wait for a request on a connection; queue one that has arrived for a thread."""
        if not conn.has_waited:
            conn.has_waited = True
            self._connections.put(conn)
        elif not self._connections.wait_for_rest(conn):
            self.queue_conn(conn)

    def queue_conn(self, conn: TimedConnection) -> None:
        """Queue a connection for a thread."""
        super().process_conn(conn)


class HttpServer(Service):
    """Serve one WSGI application, mounted in a CherryPy tree, on one address."""

    def __init__(
        self,
        *,
        kernel: Kernel,
        host: str,
        port: int,
        handle: Callable[[HttpRequest], Awaitable[HttpResponse]],
        threads: int,
        max_body_bytes: int,
        body_timeout_s: float,
        clock: Clock,
        limits: HttpClientLimits = DEFAULT_LIMITS,
        telemetry: Telemetry | None = None,
    ) -> None:
        self._kernel = kernel
        self._host = host
        self._port = port
        self._handle = handle
        self._threads = threads
        self._max_body_bytes = max_body_bytes
        self._body_timeout_s = body_timeout_s
        self._clock = clock
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._limits = replace(
            limits, max_connections=derive_max_connections(limits.max_connections, descriptors)
        )
        self._telemetry = telemetry or Telemetry()
        self._server: IdleFirstServer | None = None
        self._adapter: ServerAdapter | None = None
        self._bridge: Bridge | None = None

    async def start(self) -> None:
        """Bind the address and serve on CherryPy's threads."""
        bridge = self._bridge = Bridge(
            loop=asyncio.get_running_loop(),
            handle=self._handle,
            max_body_bytes=self._max_body_bytes,
            body_timeout_s=self._body_timeout_s,
            answer_timeout_s=MAX_DEADLINE_S + ANSWER_MARGIN_S,
        )
        tree = cherrypy._cptree.Tree()
        tree.graft(bridge, "")
        server = IdleFirstServer(
            (self._host, self._port),
            tree,
            numthreads=self._threads,
            max=self._threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=5,
        )
        server.max_request_header_size = MAX_HEADER_BYTES
        server.keep_alive_conn_limit = self._limits.max_connections
        server.gateway = ConnectionGateway
        server.make_keeper = self._make_keeper
        self._server = server
        self._adapter = ServerAdapter(self._kernel.bus, server, (self._host, self._port))
        await asyncio.to_thread(self._adapter.start)
        log.info(
            "http_listening",
            address=f"{self._host}:{self._port}",
            threads=self._threads,
            max_connections=self._limits.max_connections,
        )

    def _make_keeper(self, server: IdleFirstServer) -> ConnectionKeeper:
        return ConnectionKeeper(
            server,
            limits=self._limits,
            body_timeout_s=self._body_timeout_s,
            on_limit=self._note_limit,
        )

    def _note_limit(self, limit: HttpLimit, remote: str) -> None:
        """Count and log a connection that is closed because its client met a limit."""
        self._telemetry.count("connections_closed", limit=limit)
        log.info("connection_closed", limit=limit, remote=remote)

    async def drain(self, *, deadline_s: float) -> None:
        """Wait until no request is in flight, but give up those that run for `deadline_s` more."""
        if self._bridge is None:
            return
        end = self._clock.monotonic() + deadline_s
        while self._bridge.is_busy and self._clock.monotonic() < end:
            await self._clock.sleep(0.02)
        if unfinished := self._bridge.give_up():
            log.warning("requests_unfinished", requests=unfinished, after_s=deadline_s)

    async def stop(self) -> None:
        """Close the listening socket and end the threads."""
        if self._adapter is not None:
            await asyncio.to_thread(self._adapter.stop)
            self._adapter = None
