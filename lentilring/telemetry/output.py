"""A text stream that never blocks the event loop: it drops lines if the reader is too slow."""

import asyncio
import os
from collections import deque

MAX_PENDING_BYTES = 512 * 1024
FLUSH_INTERVAL_S = 0.05


class BoundedStream:
    """Buffer lines and write them to a non-blocking file descriptor."""

    encoding = "utf-8"

    def __init__(self, *, descriptor: int, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self.dropped = 0
        self._descriptor, self._max_pending_bytes = descriptor, max_pending_bytes
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        data = text.encode()
        if self._pending_bytes + len(data) > self._max_pending_bytes:
            self.dropped += 1
            return 0
        self._pending.append(data)
        self._pending_bytes += len(data)
        self._schedule_flush()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the timer writes many lines with one system call."""

    def close(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        self._write_pending()

    def _schedule_flush(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._write_pending()
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self._flush_on_timer)

    def _flush_on_timer(self) -> None:
        self._timer = None
        if self.dropped:
            notice = f"event=log_lines_dropped count={self.dropped}\n".encode()
            self._pending.append(notice)
            self._pending_bytes += len(notice)
            self.dropped = 0
        self._write_pending()
        if self._pending:
            self._schedule_flush()

    def _write_pending(self) -> None:
        data = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        if written < len(data):
            self._pending.append(data[written:])
            self._pending_bytes = len(data) - written
