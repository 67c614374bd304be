"""A stand-in for a caller of the prepared platform: a client of the statement protocol."""

import asyncio
import os
import socket
from dataclasses import dataclass

from ...errors import LentilringError
from ...platform.statements import FAILURES, LINE_END, MAX_LINE_BYTES
from ...statements.model import Failure


@dataclass(kw_only=True, eq=False)
class CallerLost(LentilringError):
    """Report a session that ended or did not answer in time; the statement may have run."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class CallerAnswer:
    """Hold a statement's rows, or why it failed, and the state of the session after it."""

    failure: Failure | None
    rows: tuple[str, ...]
    proof: str
    state: str


class StatementClient:
    """Speak the statement protocol as a caller does."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(
        cls, address: str, database: str, key: str, *, timeout_s: float
    ) -> "StatementClient":
        """Open a session; raise CallerLost."""
        host, _, port = address.rpartition(":")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=2 * MAX_LINE_BYTES
                )
                writer.write(f"START {database} {key}\r\n".encode())
                greeting = (await reader.readuntil(LINE_END)).decode().split()
        except (OSError, EOFError, TimeoutError) as error:
            if writer is not None:
                writer.transport.abort()
            raise CallerLost(detail=repr(error)) from error
        if greeting[0] != "READY":
            writer.transport.abort()
            raise CallerLost(detail=" ".join(greeting))
        return cls(reader=reader, writer=writer)

    async def query(self, request_id: str, text: str, *, timeout_s: float) -> CallerAnswer:
        """Run one statement; raise CallerLost, after which the session is closed."""
        rows, failure, proof = [], None, ""
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
                while True:
                    line = await self._reader.readuntil(LINE_END)
                    word, _, rest = line.removesuffix(LINE_END).decode().partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        proof = rest
                    elif word == "ERROR":
                        failure = FAILURES.get(rest.split(" ")[0], Failure.FAILED)
                    elif word == "READY":
                        state = rest.split(" ")[0]
                        return CallerAnswer(
                            failure=failure, rows=tuple(rows), proof=proof, state=state
                        )
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            raise CallerLost(detail=repr(error)) from error

    def is_ending(self) -> bool:
        """Tell whether the proxy has closed the session or asked to leave it.

        Asks the kernel as well, since the event loop may not have read that yet.
        """
        if self._reader.at_eof() or self._reader._buffer:  # type: ignore[attr-defined]
            return True
        descriptor = os.dup(self._writer.get_extra_info("socket").fileno())
        with socket.socket(fileno=descriptor) as connection:
            try:
                connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                return True
        return True

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()
