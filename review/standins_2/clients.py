"""A client of the statement protocol."""

import asyncio
from dataclasses import dataclass

ANSWER_S = 6.0


class Lost(Exception):
    """Report a session that ended or gave no answer in time."""


@dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold the answer to one statement; `error` is empty for a success."""

    error: str
    rows: tuple[str, ...]
    mac: str
    state: str


class Session:
    """Send statements one after another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str, database: str, key: str) -> "Session":
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(ANSWER_S):
                reader, writer = await asyncio.open_connection(host, int(port), limit=3 * 2**20)
                session = cls(reader, writer)
                writer.write(f"START {database} {key}\r\n".encode())
                line = await session._read_line()
        except (OSError, EOFError, TimeoutError) as error:
            raise Lost(repr(error)) from error
        if not line.startswith("READY"):
            session.close()
            raise Lost(line)
        return session

    async def query(self, request: str, text: str) -> Answer:
        try:
            async with asyncio.timeout(ANSWER_S):
                self._writer.write(f"QUERY {request} {text}\r\n".encode())
                return await self._read_answer()
        except (OSError, EOFError, TimeoutError) as error:
            raise Lost(repr(error)) from error

    def close(self) -> None:
        self._writer.transport.abort()

    async def _read_answer(self) -> Answer:
        rows, error, mac = [], "", ""
        while True:
            line = await self._read_line()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                mac = rest
            elif word == "ERROR":
                error = rest
            elif word == "READY":
                state = rest.split(" ")[0]
                return Answer(error=error, rows=tuple(rows), mac=mac, state=state)

    async def _read_line(self) -> str:
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode()
