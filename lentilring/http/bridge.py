"""The WSGI application that passes requests from the server's threads to the event loop."""

import asyncio
import threading
import time
import traceback
from collections.abc import Awaitable, Callable, Iterable, Mapping
from concurrent.futures import CancelledError, Future
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from ..outcomes import NotRun, OutcomeUnknown, RefusalReason, UncertaintyReason
from ..telemetry.log import Log, request_id
from .client_limits import Phase
from .messages import HttpRequest, HttpResponse
from .problems import render_outcome

READ_CHUNK_BYTES = 64 * 1024
# The connection of a request in its environment.
CONNECTION_KEY = "lentilring.connection"
STATUS_LINES = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}

log = Log(source="http")


class Bridge:
    """Run requests on the event loop and wait for their responses on the server's threads."""

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        handle: Callable[[HttpRequest], Awaitable[HttpResponse]],
        max_body_bytes: int,
        body_timeout_s: float,
        answer_timeout_s: float,
    ) -> None:
        self._loop = loop
        self._handle = handle
        self._max_body_bytes = max_body_bytes
        self._body_timeout_s = body_timeout_s
        self._answer_timeout_s = answer_timeout_s
        self._running: set[Future[HttpResponse]] = set()
        # Held until a request that was passed to the event loop is among the running ones.
        self._starting = threading.Lock()

    @property
    def is_busy(self) -> bool:
        """Tell whether requests are running."""
        with self._starting:
            return bool(self._running)

    def give_up(self) -> int:
        """Answer all running requests that their outcome is unknown; return how many there were."""
        with self._starting:
            running = list(self._running)
        for future in running:
            future.cancel()
        return len(running)

    def __call__(
        self, environ: Mapping[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Answer one request."""
        body = self._read_body(environ)
        connection = environ.get(CONNECTION_KEY)
        if connection is not None:
            connection.enter(Phase.RUNNING)
        if isinstance(body, NotRun):
            response = render_outcome(body, "")
            # The rest of the body is unread, so the connection cannot carry another request.
            return _respond(response, start_response, closes=True)
        response = self._answer(_build_request(environ, body))
        return _respond(response, start_response, closes=response.closes_connection)

    def _answer(self, request: HttpRequest) -> HttpResponse:
        with self._starting:
            future = asyncio.run_coroutine_threadsafe(self._run(request), self._loop)
            self._running.add(future)
        try:
            return future.result(self._answer_timeout_s)
        except (TimeoutError, CancelledError):
            future.cancel()
            unknown = OutcomeUnknown(reason=UncertaintyReason.DEADLINE_EXCEEDED)
            return replace(render_outcome(unknown, ""), closes_connection=True)
        finally:
            self._running.discard(future)

    async def _run(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handle(request)
        except asyncio.CancelledError:
            log.warning("request_given_up", path=request.path)
            raise
        except Exception:
            log.error("request_failed", path=request.path, traceback=traceback.format_exc())
            # A caller never sees a stack trace.
            unknown = OutcomeUnknown(reason=UncertaintyReason.INTERNAL)
            return render_outcome(unknown, request_id.get())

    def _read_body(self, environ: Mapping[str, Any]) -> bytes | NotRun:
        length = environ.get("CONTENT_LENGTH") or ""
        if not length:
            if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
                return self._read_stream(environ["wsgi.input"], self._max_body_bytes + 1, None)
            return b""
        if not str(length).isdigit():
            return NotRun(reason=RefusalReason.REQUEST_MALFORMED, detail="Content-Length")
        if int(length) > self._max_body_bytes:
            return NotRun(reason=RefusalReason.BODY_TOO_LARGE, detail=f"{length} bytes")
        return self._read_stream(environ["wsgi.input"], int(length), int(length))

    def _read_stream(self, source: Any, limit: int, expected: int | None) -> bytes | NotRun:
        deadline = time.monotonic() + self._body_timeout_s
        chunks: list[bytes] = []
        size = 0
        try:
            while size < limit:
                if time.monotonic() > deadline:
                    return NotRun(reason=RefusalReason.BODY_TIMEOUT)
                chunk = _read_available(source, min(READ_CHUNK_BYTES, limit - size))
                if not chunk:
                    break
                chunks.append(chunk)
                size += len(chunk)
        except OSError:
            return NotRun(reason=RefusalReason.BODY_TIMEOUT)
        except ValueError as error:
            return NotRun(reason=RefusalReason.REQUEST_MALFORMED, detail=str(error))
        if size > self._max_body_bytes:
            return NotRun(reason=RefusalReason.BODY_TOO_LARGE)
        if expected is not None and size < expected:
            return NotRun(reason=RefusalReason.REQUEST_MALFORMED, detail="body ended early")
        return b"".join(chunks)


def _read_available(source: Any, size: int) -> bytes:
    """Wait for at least one byte and return what has arrived, at most `size` bytes.

    The server's own reader waits for the whole size and restarts its timeout at each byte, so a
    slow body would not be stopped at its deadline.
    """
    buffered: Any = getattr(source, "rfile", None)
    if buffered is None or not hasattr(buffered, "read1"):
        chunk: bytes = source.read(size)
        return chunk
    chunk = buffered.read1(min(size, source.remaining))
    source.remaining -= len(chunk)
    return chunk


def _build_request(environ: Mapping[str, Any], body: bytes) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ.get("SCRIPT_NAME", "") + environ.get("PATH_INFO", ""),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
    )


def _respond(
    response: HttpResponse, start_response: Callable[..., object], *, closes: bool
) -> list[bytes]:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    if closes:
        headers.append(("Connection", "close"))
    start_response(STATUS_LINES[int(response.status)], headers)
    return [response.body]
