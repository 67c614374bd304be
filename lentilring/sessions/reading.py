"""Reading of callers' messages that holds little more than the message under way."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

# An ordinary statement has 200 to 3,000 bytes. A StreamReader stops reading above twice its limit.
READ_LIMIT_BYTES = 2 * 1024
# What one call receives at most, so that a fast sender does not exceed the limit by far. asyncio's
# own protocols receive 256 KiB at a time.
RECEIVE_BYTES = 4 * 1024

# Shared by all connections, as the bytes are passed on before anything else is received.
_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))


class ReceivingProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Receive at most RECEIVE_BYTES at a time, and tell of each arrival."""

    on_received: Callable[[], None] | None = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes to the reader."""
        self.data_received(bytes(_receive_buffer[:nbytes]))
        if self.on_received is not None:
            self.on_received()


@dataclass(frozen=True, kw_only=True)
class MessageTooLong:
    """Stand for a message that is longer than allowed."""


class MessageReader:
    """Read messages one by one; a long one is taken from the stream's small buffer in parts."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        transport: asyncio.ReadTransport,
        line_end: bytes,
        max_bytes: int,
    ) -> None:
        self._reader, self._transport = reader, transport
        self._line_end, self._max_bytes = line_end, max_bytes
        self._begun = bytearray()
        self._is_reading = False
        self._has_ended = False
        self._began_at: float | None = None

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that were received and not returned yet."""
        return len(self._begun) + len(self._reader._buffer)  # type: ignore[attr-defined]

    @property
    def is_reading(self) -> bool:
        """Tell whether the next message is waited for."""
        return self._is_reading

    @property
    def began_at(self) -> float | None:
        """Return when the incomplete message that is waited for began, on the loop's clock."""
        return self._began_at

    def note_received(self) -> None:
        """Record the time if a message has begun."""
        if self._is_reading and self._began_at is None and self.held_bytes:
            self._began_at = asyncio.get_running_loop().time()

    def end(self) -> None:
        """Receive nothing more; messages that were received whole are still returned."""
        self._has_ended = True
        self._transport.pause_reading()
        self._reader.feed_eof()

    async def read(self) -> bytes | MessageTooLong | None:
        """Return the next message without its end, None at the end of the stream."""
        self._is_reading = True
        self.note_received()
        try:
            return await self._read_line()
        except asyncio.IncompleteReadError:
            return None
        finally:
            self._is_reading, self._began_at = False, None
            self._begun.clear()

    async def _read_line(self) -> bytes | MessageTooLong:
        while len(self._begun) <= self._max_bytes:
            try:
                line = await self._reader.readuntil(self._line_end)
            except asyncio.LimitOverrunError as error:
                self._begun += await self._reader.readexactly(error.consumed)
                continue
            finally:
                if self._has_ended:
                    # The stream resumes when it is read, also after its end was fed to it.
                    self._transport.pause_reading()
            if not self._begun:
                return line.removesuffix(self._line_end)
            self._begun += line
            if len(self._begun) - len(self._line_end) > self._max_bytes:
                break
            return bytes(self._begun.removesuffix(self._line_end))
        return MessageTooLong()
