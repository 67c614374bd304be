"""HTTP/1.1 calls that open a new connection for each request.

The session proxy calls the platform rarely, so it keeps no idle connections, which could go silent.
Compared with a client library that keeps connections, a process needs half a second less of
processor time to start.
"""

import asyncio
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field

import h11

from ..errors import LentilringError

READ_BYTES = 64 * 1024
# The platform's store returns lists in pages of about a megabyte.
MAX_CONTENT_BYTES = 4 * 1024 * 1024
# Closes a connection if sent bytes stay unacknowledged, as when the remote host is unreachable.
USER_TIMEOUT_MS = 3000
# A watch may wait long without receiving a byte; keepalive probes detect a lost connection.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


@dataclass(kw_only=True, eq=False)
class ExchangeFailed(LentilringError):
    """Report a request without a complete answer; the server may have executed it."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class HttpAnswer:
    """Hold a complete answer; names of headers are in lower case."""

    status: int
    content: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


async def exchange(
    address: str,
    method: str,
    target: str,
    *,
    content: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float,
    connect_timeout_s: float,
) -> HttpAnswer:
    """Send one request to `ip:port` and return the answer; raise ExchangeFailed."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(connect_timeout_s):
                reader, writer = await _connect(address)
            connection = h11.Connection(our_role=h11.CLIENT)
            writer.write(_encode_request(connection, address, method, target, content, headers))
            return await _read_answer(connection, reader)
    except (OSError, EOFError, TimeoutError, h11.ProtocolError) as error:
        raise ExchangeFailed(detail=repr(error)) from error
    finally:
        if writer is not None:
            writer.transport.abort()


async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    sock = open_socket()
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise


def _encode_request(
    connection: h11.Connection,
    address: str,
    method: str,
    target: str,
    content: bytes | None,
    headers: Mapping[str, str] | None,
) -> bytes:
    fields = [("Host", address), ("Connection", "close"), *(headers or {}).items()]
    if content is not None:
        fields.append(("Content-Length", str(len(content))))
    request = h11.Request(method=method, target=target, headers=fields)
    parts = [connection.send(request)]
    if content is not None:
        parts.append(connection.send(h11.Data(data=content)))
    parts.append(connection.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


async def _read_answer(connection: h11.Connection, reader: asyncio.StreamReader) -> HttpAnswer:
    status, parts, size = 0, [], 0
    headers: dict[str, str] = {}
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > MAX_CONTENT_BYTES:
                raise ExchangeFailed(detail=f"an answer of more than {MAX_CONTENT_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return HttpAnswer(status=status, content=b"".join(parts), headers=headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError("closed before the answer")


def open_socket() -> socket.socket:
    """Return a TCP socket that detects an unreachable remote host."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock
