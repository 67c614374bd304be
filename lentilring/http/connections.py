"""Connections that wait for a request, and what becomes of them when the server stops."""

import socket
import time
from collections.abc import Callable

from cheroot.connections import ConnectionManager, _ThreadsafeSelector
from cheroot.server import HTTPConnection

# Bounds a stop during which callers go on connecting.
LAST_ARRIVALS_S = 0.5


class ConnectionKeeper(ConnectionManager):
    """Hand over the requests that have arrived before a stop closes the waiting connections."""

    _selector: _ThreadsafeSelector
    _from_server_socket: Callable[[socket.socket], HTTPConnection | None]

    def stop(self) -> None:
        """End the loop of `run`, then pass all connections with data to the server's threads."""
        super().stop()
        end = time.monotonic() + LAST_ARRIVALS_S
        while self._hand_over() and time.monotonic() < end:
            pass

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
