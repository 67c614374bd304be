"""Frames on a byte stream: a four-byte big-endian length, then as many bytes of payload."""

from dataclasses import dataclass

from ..errors import LentilringError

MAX_FRAME_BYTES = 4 * 1024 * 1024
LENGTH_BYTES = 4


@dataclass(kw_only=True, eq=False)
class FrameTooLarge(LentilringError):
    """Report a frame over the size limit."""

    size: int
    limit: int


def encode_frame(payload: bytes, *, limit: int = MAX_FRAME_BYTES) -> bytes:
    """Return the frame of a payload; raise FrameTooLarge."""
    if len(payload) > limit:
        raise FrameTooLarge(size=len(payload), limit=limit)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameParser:
    """Split a byte stream into the payloads of its frames; `limit` (bytes) may be changed."""

    def __init__(self, *, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._buffer = bytearray()

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that wait for the rest of their frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def discard(self) -> None:
        """Free what was received."""
        self._buffer.clear()

    def next_frame(self) -> bytes | None:
        """Return the next complete payload, or None; raise FrameTooLarge."""
        buffer = self._buffer
        if len(buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if size > self.limit:
            raise FrameTooLarge(size=size, limit=self.limit)
        end = LENGTH_BYTES + size
        if len(buffer) < end:
            return None
        payload = bytes(buffer[LENGTH_BYTES:end])
        del buffer[:end]
        return payload
