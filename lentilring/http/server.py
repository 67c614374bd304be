"""The HTTP server: CherryPy's threads parse requests and the event loop handles them."""

import asyncio
from collections.abc import Awaitable, Callable

import cherrypy
from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection, HTTPRequest
from cherrypy.process.servers import ServerAdapter

from ..clock import Clock
from ..kernel import Kernel, Service
from ..telemetry.log import Log
from .bridge import Bridge
from .connections import ConnectionKeeper
from .messages import HttpRequest, HttpResponse

REQUEST_QUEUE_SIZE = 1024
MAX_HEADER_BYTES = 16 * 1024
# Callers keep connections open between requests: 2.4 million over 790 VMs, about 3,040 for each.
MAX_IDLE_CONNECTIONS = 20_000
IDLE_TIMEOUT_S = 300
REQUEST_TIMEOUT_S = 5.0
ANSWER_MARGIN_S = 5.0
MAX_DEADLINE_S = 60.0

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
        super().send_headers()


class TimedConnection(HTTPConnection):
    """Apply a shorter timeout within a request than between requests."""

    RequestHandlerClass = ClosingRequest
    has_waited = False

    def communicate(self) -> bool:
        """Read and answer one request; return True to keep the connection."""
        self.socket.settimeout(REQUEST_TIMEOUT_S)
        return bool(super().communicate())


class IdleFirstServer(wsgi.Server):
    """Assign a thread to a new connection only after its first bytes have arrived.

    cheroot passes new connections to threads at once, so callers that connect and send nothing
    would occupy all threads.
    """

    ConnectionClass = TimedConnection
    _connections: ConnectionManager

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        super().prepare()
        self._connections.close()
        self._connections = ConnectionKeeper(self)

    def process_conn(self, conn: TimedConnection) -> None:
        """Wait for data on a new connection; queue one that has data for a thread."""
        if conn.has_waited:
            super().process_conn(conn)
        else:
            conn.has_waited = True
            self._connections.put(conn)


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
    ) -> None:
        self._kernel = kernel
        self._host = host
        self._port = port
        self._handle = handle
        self._threads = threads
        self._max_body_bytes = max_body_bytes
        self._body_timeout_s = body_timeout_s
        self._clock = clock
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
        server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server = server
        self._adapter = ServerAdapter(self._kernel.bus, server, (self._host, self._port))
        await asyncio.to_thread(self._adapter.start)
        log.info("http_listening", address=f"{self._host}:{self._port}", threads=self._threads)

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
