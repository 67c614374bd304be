"""A caller with blocking sockets, as a process: looks for the end behind each first answer."""

import socket
import sys


def run_session(address: tuple[str, int]) -> bool:
    """Run one statement; tell whether the connection's end is there as soon as the answer is."""
    with socket.create_connection(address, timeout=5) as connection:
        connection.sendall(b"START stock plan-key\r\n")
        read_ready(connection)
        connection.sendall(b"QUERY q1 READ a\r\n")
        read_ready(connection)
        # With a timeout, Python would wait here.
        connection.settimeout(None)
        try:
            return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False


def read_ready(connection: socket.socket) -> None:
    """Read up to the message that allows the next statement."""
    received = b""
    while b"READY" not in received or not received.endswith(b"\r\n"):
        chunk = connection.recv(65536)
        if not chunk:
            raise EOFError(received)
        received += chunk


def main() -> None:
    """Run sessions one after the other: ADDRESS COUNT."""
    host, _, port = sys.argv[1].rpartition(":")
    ended = sum(run_session((host, int(port))) for _ in range(int(sys.argv[2])))
    print(ended, "ended with their answer")


if __name__ == "__main__":
    main()
