"""Readiness and metrics on the process's own loop.

CherryPy serves callers and operators of the HTTP interface with threads; a probe a second and one
scrape need none, and threads would compete with the loop for the processor.
"""

from collections.abc import Awaitable, Callable

from aiohttp import web

from ..kernel import Service
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry

Handler = Callable[[web.Request], Awaitable[web.Response]]

log = Log(source="http")


class ProbeServer(Service):
    """Answer the balancer's probe and export metrics."""

    def __init__(
        self,
        *,
        readiness_address: str,
        metrics_address: str,
        is_ready: Callable[[], bool],
        telemetry: Telemetry,
    ) -> None:
        self._addresses = (readiness_address, metrics_address)
        self._is_ready, self._telemetry = is_ready, telemetry
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Listen on both addresses."""
        readiness, metrics = self._addresses
        await self._serve(readiness, "/ready", self._answer_ready)
        await self._serve(metrics, "/metrics", self._answer_metrics)

    async def stop(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(self, address: str, path: str, handler: Handler) -> None:
        application = web.Application()
        application.router.add_get(path, handler)
        runner = web.AppRunner(application, access_log=None, handle_signals=False)
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), reuse_address=True).start()

    async def _answer_ready(self, request: web.Request) -> web.Response:
        ready = self._is_ready()
        return web.Response(status=200 if ready else 503, text="ready" if ready else "not ready")

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self._telemetry.export(), content_type="text/plain")
