"""Choice of proxies as the platform's balancer makes it: only those that report ready."""

import asyncio
import random
from collections.abc import Sequence

import aiohttp

from ..telemetry.log import Log
from .scenario import Proxy

POLL_S = 0.25
POLL_TIMEOUT_S = 1.0

log = Log(source="loadtest")


class Balancer:
    """Poll the readiness of proxies and choose among the ready ones."""

    def __init__(
        self, *, http: aiohttp.ClientSession, proxies: dict[str, Proxy], source: random.Random
    ) -> None:
        self._http = http
        self._proxies = proxies
        self._random = source
        self._ready = dict.fromkeys(proxies, True)

    def address(self, name: str) -> str:
        """Return where a proxy listens, `ip:port`."""
        return self._proxies[name].address

    def choose(self, allowed: Sequence[str], *, current: str = "", move_share: float = 1.0) -> str:
        """Return a ready proxy: the current one, or by chance another."""
        names = [name for name in allowed or self._proxies if self._ready[name]]
        names = names or list(allowed or self._proxies)
        if current in names and self._random.random() >= move_share:
            return current
        return self._random.choice(names)

    def mark_unreachable(self, name: str) -> None:
        """Leave a proxy out until it reports ready again."""
        self._ready[name] = False

    async def poll_forever(self) -> None:
        """Keep the readiness of all proxies."""
        while True:
            await asyncio.gather(*(self._poll(name) for name in self._proxies))
            await asyncio.sleep(POLL_S)

    async def _poll(self, name: str) -> None:
        url = f"http://{self.address(name)}/ready"
        try:
            timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
            async with self._http.get(url, timeout=timeout) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        if ready != self._ready[name]:
            log.info("readiness_changed", proxy=name, ready=ready)
        self._ready[name] = ready
