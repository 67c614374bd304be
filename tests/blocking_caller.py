"""Callers with blocking sockets, as a process: each sends statements without a pause."""

import socket
import sys
from concurrent.futures import ThreadPoolExecutor


def run_session(address: tuple[str, int]) -> bool:
    """Run statements until told to leave; return False if one gets no answer."""
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(b"START stock plan-key\r\n")
        read_answer(connection)
        while True:
            try:
                connection.sendall(b"QUERY q1 READ a\r\n")
                answer = read_answer(connection)
            except (OSError, EOFError):
                return False
            if b"ERROR BUSY the proxy is stopping" in answer:
                return True


def read_answer(connection: socket.socket) -> bytes:
    """Read up to the message that allows the next statement."""
    received = b""
    while b"READY" not in received or not received.endswith(b"\r\n"):
        chunk = connection.recv(65536)
        if not chunk:
            raise EOFError(received)
        received += chunk
    return received


def main() -> None:
    """Run sessions at the same time: ADDRESS COUNT."""
    host, _, port = sys.argv[1].rpartition(":")
    count = int(sys.argv[2])
    with ThreadPoolExecutor(count) as pool:
        sessions = [pool.submit(run_session, (host, int(port))) for _ in range(count)]
        print("started", flush=True)
        print(sum(session.result() for session in sessions), "told to leave")


if __name__ == "__main__":
    main()
