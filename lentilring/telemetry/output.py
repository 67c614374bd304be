"""A text stream that never blocks the loop: what a slow reader does not take is dropped."""

import asyncio
import os
from collections import deque

MAX_PENDING_BYTES = 512 * 1024
FLUSH_INTERVAL_S = 0.05


class BoundedStream:
    """Collect lines and write them to a descriptor when it takes them."""

    encoding = "utf-8"

    def __init__(self, *, descriptor: int, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self.dropped = 0
        self._descriptor, self._max_pending = descriptor, max_pending_bytes
        self._pending: deque[bytes] = deque()
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take a line; drop it when too much is pending."""
        data = text.encode()
        if self._size + len(data) > self._max_pending:
            self.dropped += 1
            return 0
        self._pending.append(data)
        self._size += len(data)
        self._schedule()
        return len(text)

    def flush(self) -> None:
        """Leave writing to the timer, so that many lines share one call."""

    def close(self) -> None:
        """Write what the descriptor takes now."""
        self._write_pending()

    def _schedule(self) -> None:
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
            self._size += len(notice)
            self.dropped = 0
        self._write_pending()
        if self._pending:
            self._schedule()

    def _write_pending(self) -> None:
        data = b"".join(self._pending)
        self._pending.clear()
        self._size = 0
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        if written < len(data):
            self._pending.append(data[written:])
            self._size = len(data) - written
