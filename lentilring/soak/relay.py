"""A loopback relay that delays, resets or refuses connections or drops their bytes."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum, unique

CHUNK_BYTES = 64 * 1024


@unique
class LinkFault(StrEnum):
    """Name a relay's fault; CUT_* and SILENCE_OPEN drop bytes and keep connections open."""

    NONE = "none"
    DELAY = "delay"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    SILENCE_OPEN = "silence_open"
    REFUSE = "refuse"


@dataclass(kw_only=True, eq=False)
class _Link:
    """Hold one relayed connection; once silenced, it passes on neither bytes nor its end."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silenced: bool = False


class Relay:
    """Listen on an address of its own and forward connections to a target."""

    def __init__(self, *, host: str) -> None:
        self.address = ""
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self._host, self._target = host, ""
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()

    async def start(self, target: str) -> None:
        """Listen on a free port."""
        self._target = target
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def retarget(self, target: str) -> None:
        """Forward new connections to another address."""
        self._target = target

    def begin(self, fault: LinkFault, *, delay_s: float = 0.0) -> None:
        """Start a fault; SILENCE_OPEN affects only the connections that are open now, for good."""
        self.fault, self.delay_s = fault, delay_s
        if fault is LinkFault.SILENCE_OPEN:
            for link in self._links:
                link.silenced = True

    def end(self) -> None:
        """End the fault; after a cut, reset the connections, because their bytes are lost."""
        dropped = self.fault in (LinkFault.CUT_REQUESTS, LinkFault.CUT_ANSWERS)
        self.fault, self.delay_s = LinkFault.NONE, 0.0
        if dropped:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for link in list(self._links):
            for writer in link.writers:
                writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writers=(writer, far_writer))
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(link, reader, far_writer, LinkFault.CUT_REQUESTS),
                self._pump(link, far_reader, writer, LinkFault.CUT_ANSWERS),
            )
        finally:
            if not link.silenced:
                self._links.discard(link)

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_by: LinkFault,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if link.silenced or self.fault is cut_by:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not link.silenced:
                writer.transport.abort()
