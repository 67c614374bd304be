"""Connections that wait for a request, and what becomes of them when the server stops."""

import errno
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from selectors import EVENT_READ
from typing import Any

from cheroot.connections import ConnectionManager, _ThreadsafeSelector
from cheroot.server import HTTPConnection

from .client_limits import (
    PEEK_BYTES,
    BusyConnection,
    HttpClientLimits,
    HttpLimit,
    IdleConnection,
    Phase,
    choose_for_room,
    choose_stuck,
    examine_arrival,
)

# Bounds a stop during which callers go on connecting.
LAST_ARRIVALS_S = 0.5
# Part of the connections that are closed at once when there are too many.
ROOM_SHARE = 0.01
REQUEST_TIMEOUT_S = 5.0
# For what is missing of a request whose time is over, so that a thread only refuses it.
OVERDUE_READ_S = 0.05


class TimedConnection(HTTPConnection):
    """Apply a shorter timeout within a request than between requests, and tell the phase."""

    has_waited = False
    has_asked = False
    # Bytes of the next request that had arrived when it was last looked at, and until when the
    # rest must arrive.
    peeked = 0
    has_head = False
    deadline: float | None = None
    phase: tuple[Phase, float] = (Phase.RECEIVING, 0.0)

    def enter(self, phase: Phase) -> None:
        """Record what is done with the connection now."""
        self.phase = (phase, time.monotonic())

    def communicate(self) -> bool:
        """Read and answer one request; return True to keep the connection."""
        self.enter(Phase.RECEIVING)
        self.socket.settimeout(self._find_timeout_s())
        self.server.busy_connections.add(self)
        try:
            return bool(super().communicate())
        finally:
            self.server.busy_connections.discard(self)
            self.has_asked = True

    def _find_timeout_s(self) -> float:
        if self.deadline is None:
            return REQUEST_TIMEOUT_S
        left_s, self.deadline = self.deadline - time.monotonic(), None
        return min(REQUEST_TIMEOUT_S, max(OVERDUE_READ_S, left_s))

    def close(self) -> None:
        """Close the socket."""
        self.server.open_connections.discard(self)
        super().close()


class ConnectionKeeper(ConnectionManager):
    """Hold connections until a request has arrived, so that slow clients occupy no thread.

    Hand over the requests that have arrived before a stop closes the waiting connections.
    """

    _selector: _ThreadsafeSelector
    _stop_requested: bool

    def __init__(
        self,
        server: Any,
        *,
        limits: HttpClientLimits,
        body_timeout_s: float,
        on_limit: Callable[[HttpLimit, str], None],
    ) -> None:
        super().__init__(server)
        self._limits, self._body_timeout_s, self._on_limit = limits, body_timeout_s, on_limit
        # Connections with the beginning of a request.
        self._halfway: set[TimedConnection] = set()
        self._lock = threading.Lock()

    def wait_for_rest(self, conn: TimedConnection) -> bool:
        """Wait for the rest of a request; return False if a thread is to handle it now."""
        if conn.rfile.has_data() or self._stop_requested:
            self._forget_rest(conn)
            return False
        try:
            data = conn.socket.recv(PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            data = b""
        arrival = examine_arrival(data)
        # Without more bytes than before, the client has closed its end.
        if len(data) >= arrival.wanted_bytes or len(data) <= conn.peeked:
            self._forget_rest(conn)
            return False
        if conn.deadline is None or arrival.has_head and not conn.has_head:
            limits = self._limits
            timeout_s = self._body_timeout_s if arrival.has_head else limits.head_timeout_s
            conn.deadline, conn.has_head = time.monotonic() + timeout_s, arrival.has_head
        conn.peeked = len(data)
        with self._lock:
            self._halfway.add(conn)
        # The selector then reports the connection when this many bytes have arrived.
        conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, arrival.wanted_bytes)
        self._selector.register(conn.socket.fileno(), EVENT_READ, data=conn)
        return True

    def _forget_rest(self, conn: TimedConnection) -> None:
        with self._lock:
            if conn not in self._halfway:
                return
            self._halfway.discard(conn)
        conn.peeked, conn.deadline, conn.has_head = 0, None, False
        with suppress(OSError):
            conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)

    def stop(self) -> None:
        """End the loop of `run`, then pass all connections with data to the server's threads."""
        super().stop()
        for conn in self._halfway & self.server.open_connections:
            self._handle_now(conn)
        end = time.monotonic() + LAST_ARRIVALS_S
        while self._hand_over() and time.monotonic() < end:
            pass

    def _handle_now(self, conn: TimedConnection) -> None:
        """Pass a connection with an incomplete request to a thread."""
        self._selector.unregister(conn.socket.fileno())
        deadline = conn.deadline
        self._forget_rest(conn)
        conn.deadline = deadline
        self.server.queue_conn(conn)

    def _hand_over(self) -> bool:
        """Accept and pass on what has arrived; return whether there was any."""
        arrived = list(self._selector.select(timeout=0))
        for descriptor, connection in arrived:
            if connection is self.server:
                self._accept()
            else:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
        return bool(arrived)

    def _accept(self) -> None:
        connection = self._from_server_socket(self.server.socket)
        if connection is not None:
            self.server.process_conn(connection)

    def _from_server_socket(self, server_socket: socket.socket) -> TimedConnection | None:
        """Accept a connection; close idle ones when there are too many."""
        try:
            connection: TimedConnection | None = super()._from_server_socket(  # type: ignore[misc]
                server_socket
            )
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE):
                raise
            self._make_room()
            return None
        if connection is not None:
            if len(self.server.open_connections) >= self._limits.max_connections:
                self._make_room()
            self.server.open_connections.add(connection)
        return connection

    def _make_room(self) -> None:
        now = time.time()
        idle = [
            IdleConnection(
                connection=(descriptor, conn),
                has_asked=conn.has_asked,
                is_halfway=conn in self._halfway,
                idle_s=now - conn.last_used,
            )
            for descriptor, conn in list(self._selector.connections)  # type: ignore[call-overload]
            if conn is not self.server
        ]
        count = max(1, int(self._limits.max_connections * ROOM_SHARE))
        for descriptor, conn in choose_for_room(idle, count):
            self._on_limit(HttpLimit.MAX_CONNECTIONS, f"{conn.remote_addr}:{conn.remote_port}")
            self._selector.unregister(descriptor)
            self._halfway.discard(conn)
            conn.close()

    def _expire(self, threshold: float) -> None:
        super()._expire(threshold)  # type: ignore[misc]
        now = time.monotonic()
        with self._lock:
            self._halfway &= self.server.open_connections
            overdue = [conn for conn in self._halfway if (conn.deadline or now) <= now]
        for conn in overdue:
            self._on_limit(HttpLimit.REQUEST_TIMEOUT, f"{conn.remote_addr}:{conn.remote_port}")
            self._handle_now(conn)
        busy = []
        for conn in list(self.server.busy_connections):
            phase, since = conn.phase
            busy.append(BusyConnection(connection=conn, phase=phase, phase_s=now - since))
        waiting = self.server.requests.qsize
        for conn, limit in choose_stuck(busy, waiting=waiting, limits=self._limits):
            self._on_limit(limit, f"{conn.remote_addr}:{conn.remote_port}")
            # The thread that waits for the client then closes the connection.
            with suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RDWR)
